/* Descriptions that are too long for one value of the state service: written in parts before
 * the job's record, which is conditional on them, and removed when no record needs them. */
#ifndef FC_CONTROLLER_DESCRIPTION_STORE_H
#define FC_CONTROLLER_DESCRIPTION_STORE_H

#include "controller/controller.h"

/* Writes what is not there yet of the description. What has been written when the deadline
 * comes stays, so that a repeat goes on from there. *parts names it, and *first is the version
 * of its first part, on which the record has to be conditional. */
fc_kv_result fc_description_store(fc_controller *controller, const fc_job_spec *spec, double deadline,
                                  fc_description_ref *parts, uint64_t *first);
/* The duty: removes parts that no record needs. */
void fc_descriptions_main(void *controller);

#endif
