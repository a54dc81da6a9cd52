/* Leadership of our shard: may this process act now, as which incarnation, and since when has
 * the present term been known. Several controllers act at once, each as the leader of its own
 * shard (docs/architecture.md). The arithmetic of the lease is in coordination/leader_lease.h. */
#ifndef FC_CONTROLLER_LEADERSHIP_H
#define FC_CONTROLLER_LEADERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bookkeeping/cluster.h"

typedef struct fc_leadership fc_leadership;

/* The cluster state has to outlive it. The caller frees it with fc_leadership_free(). */
fc_leadership *fc_leadership_new(const fc_cluster *cluster);
void fc_leadership_free(fc_leadership *leadership);

/* May we answer workers, command them and give final answers now? */
bool fc_leadership_held(const fc_leadership *leadership);
/* Are we in the present term, as this incarnation? */
bool fc_leadership_in_term(const fc_leadership *leadership);

/* The number of this incarnation; 0: none has been drawn yet, or its lease was lost. */
uint64_t fc_leadership_incarnation(const fc_leadership *leadership);
void fc_leadership_set_incarnation(fc_leadership *leadership, uint64_t incarnation);

/* The member's own lease in the key-value store: its duration in seconds, and the steady time
 * at which it ends at the earliest. */
double fc_leadership_lease_s(const fc_leadership *leadership);
double fc_leadership_lease_until(const fc_leadership *leadership);
/* The lease was opened or renewed by a request that was sent at that steady time. */
void fc_leadership_lease_renewed(fc_leadership *leadership, double sent_at);
/* The lease is gone, and the incarnation with it. */
void fc_leadership_lease_lost(fc_leadership *leadership);

/* We have entered a term. For a while after that nobody may be excluded by us. */
void fc_leadership_entered(fc_leadership *leadership);
bool fc_leadership_may_exclude(const fc_leadership *leadership);
/* May a transaction of ours that writes the term still be applied? */
bool fc_leadership_term_write_pending(const fc_leadership *leadership);
void fc_leadership_set_term_write_pending(fc_leadership *leadership, bool pending);

/* A read of the store that was sent at that time has proved the cluster state current. */
void fc_leadership_read_fresh(fc_leadership *leadership, double sent_at);
/* A new term was applied to the cluster state at `now`. `peer_left`: an incarnation of another
 * member is no longer in it. */
void fc_leadership_term_applied(fc_leadership *leadership, double now, bool peer_left);
/* A peer has granted us so many seconds, in which it commits no term without us, in answer to
 * what we sent at that time. */
void fc_leadership_granted(fc_leadership *leadership, size_t peer, double sent_at, double grant_s);
/* A peer that was asked at that time has learned of no cancellation since `quiet_since`. */
void fc_leadership_no_cancellation(fc_leadership *leadership, size_t peer, double sent_at, double quiet_since);

/* When we learned of the present term, in steady time. */
double fc_leadership_term_since(const fc_leadership *leadership);
/* When we last learned of a term without another member's incarnation; 0: never. */
double fc_leadership_peer_left_at(const fc_leadership *leadership);
/* The peer (by the order of the settings) behind a member of the present term; -1: ourselves, or
 * a controller that the settings don't know. */
int fc_leadership_peer_of(const fc_leadership *leadership, int member);

#endif
