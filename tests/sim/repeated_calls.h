/* Copies of direct calls that simulated workers have executed and answered. */
#ifndef FC_TESTS_SIM_REPEATED_CALLS_H
#define FC_TESTS_SIM_REPEATED_CALLS_H

#include "workers.h"

/* Forgets recorded calls; no call is repeated until world_repeat_calls(). */
void repeated_calls_init(uint32_t seed);
/* To be called when the worker has executed a direct call with that body. */
void repeated_calls_note_executed(sim_worker *worker, const char *body);
/* To be called when the worker accepts that answer to a heartbeat. */
void repeated_calls_note_answer(sim_worker *worker, const json_t *message);
/* Draws whether a task that begins now is to fail. */
bool repeated_calls_task_fails(void);

#endif
