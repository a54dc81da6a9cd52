/* The deal: what follows from the stored term alone, with no further message.
 * Jobs are dealt at random; a change of members moves only the jobs of the one
 * that came or went. */
#ifndef FC_COORDINATION_ASSIGNMENT_H
#define FC_COORDINATION_ASSIGNMENT_H

#include <stdint.h>

#include "protocol/records.h"

/* Index of the member that `key` falls to; -1 when there are no members. */
int fc_assign_key(const fc_term *term, const char *key);
/* The controller a job, or one slice of it, belongs to: the one it was handed
 * to while that is a member, else as dealt. */
int fc_assign_slice(const fc_term *term, const char *id, unsigned slice, unsigned slices, const char *handed_to);
/* The controller a machine belongs to: its recorded owner while that is a
 * member, else as dealt. */
int fc_assign_machine(const fc_term *term, const char *id, const char *owner);

#endif
