/* Assigns jobs and machines to the members of a term by rendezvous hashing. The assignment depends only on the stored
 * term, so that every controller derives the same one without further messages; a change of members moves only keys
 * of the member that joined or left. */
#ifndef FC_COORDINATION_ASSIGNMENT_H
#define FC_COORDINATION_ASSIGNMENT_H

#include <stdint.h>

#include "protocol/records.h"

/* Returns the index of the member that `key` is assigned to; -1 when the term has no members. */
int fc_assign_key(const fc_term *term, const char *key);
/* Returns the index of the member that owns slice `slice` of the job `id`, which has `slices` slices: `handed_to`
 * (NULL or "": not handed over) while it is a member, else the one given by the hash; -1 when the term has no
 * members. */
int fc_assign_slice(const fc_term *term, const char *id, unsigned slice, unsigned slices, const char *handed_to);
/* Returns the index of the member that owns the machine `id`: the recorded `owner` (NULL or "": none) while it is a
 * member, else the one given by the hash; -1 when the term has no members. */
int fc_assign_machine(const fc_term *term, const char *id, const char *owner);

#endif
