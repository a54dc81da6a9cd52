/* Direct calls to simulated workers that are held up on their way: not answered, and delivered later. */
#ifndef FC_TESTS_SIM_HELD_CALLS_H
#define FC_TESTS_SIM_HELD_CALLS_H

#include "workers.h"

/* Forgets held calls; no call is held until world_hold_calls(). */
void held_calls_init(uint32_t seed);
/* Holds the call with that body to the worker, if calls are to be held now; returns whether it does. */
bool held_calls_take(sim_worker *worker, const char *body);
/* To be called when a controller crashes or stands still: on days with late calls some machines restart soon after. */
void held_calls_note_fault(void);

#endif
