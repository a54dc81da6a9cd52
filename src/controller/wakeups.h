/* Wake-ups: what the duties of a controller tell each other. Each kind says that there is work
 * for some duty; whoever raises one need not know that duty. What is raised while the duty is
 * busy is counted, so that it is not lost: a job that came then would wait for the next regular
 * round. */
#ifndef FC_CONTROLLER_WAKEUPS_H
#define FC_CONTROLLER_WAKEUPS_H

#include <stdint.h>

#include "transport/routine.h"

typedef enum {
  FC_WAKEUP_SCHEDULE,  /* something to place: a job or free resources have arrived */
  FC_WAKEUP_REPLICATE, /* something to tell peers: the next views should go out soon */
  FC_WAKEUP_READ,      /* something to read: a routine waits for a fresh read of the store */
  FC_WAKEUPS
} fc_wakeup;

typedef struct fc_wakeups fc_wakeups;

/* The caller frees it with fc_wakeups_free(). */
fc_wakeups *fc_wakeups_new(void);
void fc_wakeups_free(fc_wakeups *wakeups);

void fc_wakeups_raise(fc_wakeups *wakeups, fc_wakeup kind);
/* How often the kind was raised so far. */
uint64_t fc_wakeups_count(const fc_wakeups *wakeups, fc_wakeup kind);
/* Suspends the calling routine until the kind is raised, or the deadline (steady time). */
fc_wake fc_wakeups_wait(fc_wakeups *wakeups, fc_wakeup kind, double deadline);

#endif
