/* Assignment of jobs and machines to the members of a term. It follows from the stored term
 * alone, so that every controller derives the same one without a further message. Rendezvous
 * hashing: a change of members moves only the keys of the member that joined or left. */
#ifndef FC_COORDINATION_ASSIGNMENT_H
#define FC_COORDINATION_ASSIGNMENT_H

#include <stdint.h>

#include "protocol/records.h"

/* Index of the member that `key` is assigned to; -1 when the term has no members. */
int fc_assign_key(const fc_term *term, const char *key);
/* Index of the member that owns slice number `slice` of the job `id`, which has `slices` of
 * them: `handed_to` (NULL or "": nobody) while it is a member, else the hashed one; -1 when the
 * term has no members. */
int fc_assign_slice(const fc_term *term, const char *id, unsigned slice, unsigned slices, const char *handed_to);
/* Index of the member that owns the machine `id`: the recorded `owner` (NULL or "": none) while
 * it is a member, else the hashed one; -1 when the term has no members. */
int fc_assign_machine(const fc_term *term, const char *id, const char *owner);

#endif
