/* Messages of the stand-ins with random unknown members: those of users, workers, the key-value store and the cloud. */
#ifndef FC_TESTS_SIM_UNKNOWN_MEMBERS_H
#define FC_TESTS_SIM_UNKNOWN_MEMBERS_H

#include <stdint.h>

/* From now on that share of the messages has such members, which follow from the seed. */
void unknown_members_start(uint32_t seed, double share);
/* How many messages had some since the start. */
unsigned unknown_members_sent(void);

#endif
