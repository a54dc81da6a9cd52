/* Wake-ups between the duties of a controller. Each kind signals that there is work for a duty, which
 * whoever raises it need not know. Wake-ups raised while that duty is busy are counted so as not to
 * be lost: otherwise a job submitted then would wait for the next regular round. */
#ifndef FC_CONTROLLER_WAKEUPS_H
#define FC_CONTROLLER_WAKEUPS_H

#include <stdint.h>

#include "transport/routine.h"

typedef enum {
  FC_WAKEUP_SCHEDULE,  /* jobs or resources have changed: a scheduling round may place tasks */
  FC_WAKEUP_REPLICATE, /* peers should learn of a change soon: send the next views */
  FC_WAKEUP_READ,      /* a routine waits for a fresh read of the key-value store */
  FC_WAKEUPS
} fc_wakeup;

typedef struct fc_wakeups fc_wakeups;

/* The caller frees it with fc_wakeups_free(). */
fc_wakeups *fc_wakeups_new(void);
void fc_wakeups_free(fc_wakeups *wakeups);

/* Wakes all routines that wait for the kind. */
void fc_wakeups_raise(fc_wakeups *wakeups, fc_wakeup kind);
/* How many times the kind has been raised. */
uint64_t fc_wakeups_count(const fc_wakeups *wakeups, fc_wakeup kind);
/* Suspends the calling routine until the kind is raised, or until the deadline (monotonic time). */
fc_wake fc_wakeups_wait(fc_wakeups *wakeups, fc_wakeup kind, double deadline);

#endif
