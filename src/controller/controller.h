/* One controller: its knowledge, its authority, and its duties. Each duty
 * is a routine; they share this struct and give way only inside waits. */
#ifndef FC_CONTROLLER_CONTROLLER_H
#define FC_CONTROLLER_CONTROLLER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bookkeeping/cancellation_log.h"
#include "bookkeeping/cluster.h"
#include "bookkeeping/group_commit.h"
#include "bookkeeping/record_writes.h"
#include "bookkeeping/token_bucket.h"
#include "controller/metrics.h"
#include "coordination/leader_lease.h"
#include "protocol/cloud_api.h"
#include "protocol/json.h"
#include "protocol/kv_store.h"
#include "protocol/peer_frame.h"
#include "protocol/settings.h"
#include "transport/http.h"
#include "transport/routine.h"

typedef struct fc_peer {
  const fc_peer_settings *settings;
  double grant_given_until; /* we commit no term without it before this */
  double kv_read_at;        /* when it last read the state service, as far as it told us */
  double heard_at;          /* when its last acknowledgement came */
  uint64_t revision;        /* what it has read, as far as it told us */
  unsigned backlog;         /* writes that waited there when it last told us */
  double backlog_at;
  /* The newest view of its machines that we hold whole, and the life and term it was
   * sent in; and where the view stands that comes in pieces. */
  uint64_t view_incarnation, view_term, view_sequence;
  uint64_t piece_sequence;
  uint32_t next_piece;
  /* Of the present term, by the life that is in it; 0: nothing yet. */
  double renewals_known_until; /* it has told us of every report it answered before this */
  uint64_t acked_view;         /* the newest view of ours that it has applied */
  uint64_t acked_revision;     /* what its table held then */
  uint64_t acked_sequence;     /* that view's number on the link; 0: the next has to be whole */
} fc_peer;

/* Counted since the start, for the status line and the metrics. */
typedef struct fc_counts {
  uint64_t rounds, reads, reports, requests, exchanges, views, pushes, shown, placed, preempted, handed_over, lent;
} fc_counts;

struct fc_controller {
  const fc_settings *settings;
  fc_cluster *cluster;
  fc_kv *kv;
  fc_cloud *cloud;
  fc_group_commit *commit;
  fc_token_bucket cloud_budget;
  fc_token_bucket lookup_budget; /* for questions about jobs that are not in memory */
  GHashTable *archived;          /* id -> fc_archived_job: awaited ones that were found lately */
  fc_leader_lease authority;
  fc_peer peers[FC_MEMBERS_MAX];

  uint64_t incarnation; /* this life's number; 0: none drawn yet */
  uint64_t lease;       /* 0: none */
  double entered_at;
  bool term_unknown; /* a term transaction may still be applied */

  double term_since; /* when we learned of the present term */
  double ended_at;   /* when we last learned of a term without another member's life */

  bool loaded;
  uint64_t revision;                  /* everything up to here is in the table */
  double kv_read_at;                  /* when the last successful read of changes was sent */
  unsigned readers;                   /* routines that wait for a fresh read */
  fc_cond changed;                    /* a read of changes was applied */
  fc_cond round_now;                  /* a job or room arrived: place at once */
  fc_cond view_now;                   /* peers should hear of a change */
  uint64_t round_events, view_events; /* how often that was said */
  fc_cond read_now;                   /* somebody waits for a fresh read */

  /* While a write of ours is undecided, the lower of it and the record counts. */
  double share_cap_cpus[FC_TEAMS_MAX], share_cap_gpus[FC_TEAMS_MAX];
  uint64_t share_cap_version; /* that write is conditional on it */
  bool share_capped;

  fc_counts counts;
  fc_metrics metrics;
  unsigned giving[FC_MEMBERS_MAX]; /* machines whose records, being written, give them to these */
  unsigned worker_calls;           /* direct calls to workers under way */
  uint64_t attempt_counter;
  uint64_t rental_counter;
  double started_at;
  double looked_at;             /* when places beyond free room were last looked for */
  bool waiting;                 /* something of ours found no place when that was last asked */
  double cancel_at;             /* when we last learned of a cancellation */
  fc_cancellation_log *cancels; /* those that others may not have read */
  int peer_of[FC_MEMBERS_MAX];  /* member of the term -> index of the peer; -1: none */
  double types_at;              /* when the machine types were last read */
  GHashTable *recording; /* id of a job whose ends are being written -> fc_cond: another of its tasks has ended */
};

/* May we answer workers, command them and give final answers now? */
bool fc_may_act(const fc_controller *controller);
/* The peer behind a member of the term; NULL: ourselves, or one unknown to us. */
fc_peer *fc_peer_of(fc_controller *controller, int member);
/* Does the member act, and know what is new? True for ourselves. */
bool fc_member_fit(fc_controller *controller, int member);
/* Say that there is something to place, to tell peers. What is said while a round or an
 * exchange is under way counts for the next: it was lost, and a job that came then waited
 * for the next regular one. */
void fc_round_soon(fc_controller *controller);
void fc_views_soon(fc_controller *controller);
/* Waits until everything that was committed before this call is in the table. */
bool fc_wait_fresh(fc_controller *controller, double deadline);
/* Waits until the table holds the given revision. */
bool fc_wait_revision(fc_controller *controller, uint64_t revision, double deadline);
bool fc_state_reachable(const fc_controller *controller);
/* How many rows a start reads at once: as many as the processor parses in a moment. */
unsigned fc_watch_page_rows(const fc_settings *settings);
/* A cancellation is committed: we wrote it, have read it, or were told. From here on
 * nothing of the job is started, its tasks are stopped, and the others hear of it. `from`:
 * no user was told of it before. */
void fc_cancel_learned(fc_controller *controller, const char *job, uint64_t revision, double from);

typedef enum { FC_FOUND, FC_NOT_THERE, FC_NOT_SURE } fc_lookup;
/* Looks for a job among the archived ones; the table has just been proved current. */
fc_lookup fc_archive_find(fc_controller *controller, const char *id, double deadline, fc_archived_job *out);

/* Starts listening and all duties. NULL, with the reason, when it can't. */
fc_controller *fc_controller_start(const fc_settings *settings, const char **why);

/* Duties. */
void fc_watch_main(void *controller);
void fc_read_index_main(void *controller);
void fc_commit_duty(void *controller);
void fc_member_main(void *controller);
void fc_round_main(void *controller);
void fc_rent_main(void *controller);
void fc_archive_main(void *controller);
void fc_overdue_main(void *controller);
bool fc_front_start(fc_controller *controller);
bool fc_peers_start(fc_controller *controller);

/* rent.c */
/* Waits for our share of the cloud's rate; false: cancelled. */
bool fc_cloud_turn(fc_controller *controller);
/* Takes nothing new from here on, and is among those to be given back. */
void fc_machine_begin_return(fc_machine *machine, const char *why, GPtrArray *ids);
/* The cloud has confirmed that these machines are gone: nothing is on them any more. */
void fc_machines_gone(fc_controller *controller, const GPtrArray *ids);

/* view.c */
/* Seconds from the beginning of one exchange with a peer to that of the next, at least.
 * Exchanges cost at most a small part of the processor, and a controller that falls behind
 * by `lag_s` makes fewer; a peer hears of changes within a report interval all the same. */
double fc_view_spacing(const fc_settings *settings, double lag_s);
/* A view of our machines for the peer, in as many frames as it takes: all of them, or
 * what has changed since the newest view that it holds. */
void fc_view_make(fc_controller *controller, const fc_peer *peer, uint64_t seq, GByteArray *out);
typedef enum {
  FC_VIEW_BROKEN,  /* pieces are missing, or it is late: the link has to be closed */
  FC_VIEW_IGNORED, /* not of this term or life, or on a base that we don't hold */
  FC_VIEW_TAKEN,   /* applied; with its last piece all of it */
} fc_view_fate;
fc_view_fate fc_view_take(fc_controller *controller, const fc_view *view);

/* workers.c */
void fc_workers_report(fc_controller *controller, const fc_http_request *req, int *status, GString *out);
/* Sends what the machine is owed (starts, stops, clears) or, when it is not
 * settled yet, an empty command that fences it. */
void fc_workers_push(fc_controller *controller, fc_machine *machine);
/* Takes in what a machine of ours has answered to a direct call that was sent at `asked_at`. */
void fc_workers_called(fc_controller *controller, fc_machine *machine, const fc_heartbeat *heartbeat, double asked_at);
/* Is there a socket for it? */
bool fc_workers_may_push(const fc_controller *controller, const fc_machine *machine);
/* Marks the task to be stopped with time to save; it is told by the next push or
 * answer. */
void fc_workers_stop(const fc_controller *controller, fc_placement *placement);
/* May the task not run any more? */
bool fc_workers_unwanted(const fc_controller *controller, const fc_placement *placement);
/* Marks the machine to be asked directly when there is reason to; true: it is. */
bool fc_workers_doubt(const fc_controller *controller, fc_machine *machine);
/* The member with the fewest machines of the kind; `count` (zeroed) collects
 * what one caller gives away in a row. */
const char *fc_even_owner(const fc_cluster *cluster, const char *id, const char *type, const char *zone, bool spot,
                          unsigned *count);

/* completions.c */
/* Writes the ends of a job's tasks to the state service. */
void fc_workers_record(fc_controller *controller, const char *job_id);

/* reachability.c */
/* Has another member's incarnation ended so lately that a worker it answered last may not
 * have come to others yet? */
bool fc_workers_may_be_kept(const fc_controller *controller, double now);
/* Another member has answered the machine's report. */
void fc_workers_kept(fc_controller *controller, const fc_frame_lease_renewal *k, double now);
/* A peer has asked the machine directly. `sent`: when we sent the view that it answers. */
void fc_workers_asked(fc_controller *controller, size_t peer, const fc_frame_probe *a, double sent, double now);
/* Asks another member's machine directly, where its owner may have to know whether anybody
 * reaches it. */
void fc_workers_ask(fc_controller *controller, fc_machine *machine);
/* Since the last incarnation of a member ended: did every member ask the machine, in vain? */
bool fc_workers_unreachable(const fc_controller *controller, const fc_machine *machine);
/* Silent for so long that its worker has given up all its tasks? */
void fc_workers_expire(fc_controller *controller);

#endif
