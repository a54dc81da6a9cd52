/* Leadership of this member's shard: whether the process may act now, its incarnation number, and
 * when it learned of the current term. Several controllers act at the same time, each as the leader
 * of its own shard (docs/architecture.md). The lease arithmetic is in coordination/leader_lease.h. */
#ifndef FC_CONTROLLER_LEADERSHIP_H
#define FC_CONTROLLER_LEADERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bookkeeping/cluster.h"

typedef struct fc_leadership fc_leadership;

/* `cluster` must outlive the result, which the caller frees with fc_leadership_free(). */
fc_leadership *fc_leadership_new(const fc_cluster *cluster);
void fc_leadership_free(fc_leadership *leadership);

/* Returns whether this process may now answer workers, send them commands and give clients final
 * answers: it is a member of the current term and its leader lease has not expired. */
bool fc_leadership_held(const fc_leadership *leadership);
/* Returns whether the current term lists this member with its current incarnation. */
bool fc_leadership_in_term(const fc_leadership *leadership);

/* The number of this incarnation; 0 before one is assigned and after the member lease is lost. */
uint64_t fc_leadership_incarnation(const fc_leadership *leadership);
void fc_leadership_set_incarnation(fc_leadership *leadership, uint64_t incarnation);

/* The member's own lease in the key-value store: its duration in seconds, and the earliest monotonic time at which it
 * may expire. */
double fc_leadership_lease_s(const fc_leadership *leadership);
double fc_leadership_lease_until(const fc_leadership *leadership);
/* Records that a request sent at monotonic time `sent_at` opened or renewed the lease. */
void fc_leadership_lease_renewed(fc_leadership *leadership, double sent_at);
/* Records that the lease is lost; this also clears the incarnation. */
void fc_leadership_lease_lost(fc_leadership *leadership);

/* Records that this member has just joined a term. For some time afterwards it must not exclude
 * other members (fc_leader_lease_exclusion_wait_s()). */
void fc_leadership_joined(fc_leadership *leadership);
/* Returns whether that time has passed. */
bool fc_leadership_may_exclude(const fc_leadership *leadership);
/* Whether a transaction of this process that writes the term may still be applied. */
bool fc_leadership_term_write_pending(const fc_leadership *leadership);
void fc_leadership_set_term_write_pending(fc_leadership *leadership, bool pending);

/* Records that a read of the store, sent at monotonic time `sent_at`, proved the cluster state current. */
void fc_leadership_read_fresh(fc_leadership *leadership, double sent_at);
/* Records that a new term was applied to the cluster state at monotonic time `now`. `peer_left`: the incarnation of
 * another member is no longer part of the term. */
void fc_leadership_term_applied(fc_leadership *leadership, double now, bool peer_left);
/* Records that peer number `peer`, in reply to a message sent at monotonic time `sent_at`, has guaranteed for `grant_s`
 * seconds not to commit a term without this member. */
void fc_leadership_granted(fc_leadership *leadership, size_t peer, double sent_at, double grant_s);
/* Records that peer number `peer`, in reply to a message sent at monotonic time `sent_at`, has learned of no
 * cancellation since monotonic time `no_cancellation_from`. */
void fc_leadership_no_cancellation(fc_leadership *leadership, size_t peer, double sent_at, double no_cancellation_from);

/* Monotonic time at which the current term was applied here. */
double fc_leadership_term_since(const fc_leadership *leadership);
/* Monotonic time at which the incarnation of another member was last seen to leave the term; 0: never. */
double fc_leadership_peer_left_at(const fc_leadership *leadership);
/* Maps a member of the current term to its index among the peers of the settings; -1: this member,
 * or a controller that is not in the settings. */
int fc_leadership_peer_of(const fc_leadership *leadership, int member);

#endif
