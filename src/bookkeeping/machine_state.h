/* The state of one machine: its record, its worker process, the worker's lease, and the tasks
 * placed on it. Times are on the monotonic clock of fc_now(), in seconds. */
#ifndef FC_BOOKKEEPING_MACHINE_STATE_H
#define FC_BOOKKEEPING_MACHINE_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bookkeeping/placement.h"
#include "protocol/records.h"
#include "protocol/settings.h"
#include "transport/routine.h"

/* The worker process according to its newest heartbeat or response to a direct call, whoever owned
 * the machine then. Heartbeats are ordered by epoch and sequence, as copies may arrive late. When
 * its lease has expired, the worker is in a later epoch, which only its next message shows. */
typedef struct fc_machine_worker {
  uint64_t epoch, sequence;
  bool epoch_shown;       /* the worker has reported `epoch`; false: it is the lowest that the worker may be in */
  double expired_at;      /* when its lease was last found expired; 0: never */
  uint64_t fencing_token; /* the highest that the worker has reported */
  uint64_t lowest_token;  /* the lowest to send it: raised after a restart, or to solicit a heartbeat; 0: any */
  double token_raised_at; /* when a higher token was last sent to make it report, or first shown; 0: never */
  double epoch_began_at;  /* when this controller first heard of the epoch: its lease began no later */
  double heard_at;        /* when the last heartbeat or response to a direct call arrived */
  bool reported;          /* this controller has received a heartbeat since it became the owner */
  bool restarted;         /* restarted in this term without a new epoch: its heartbeats can't be ordered */
  bool mismatch_logged;   /* a mismatch between a heartbeat and the record has been logged */
} fc_machine_worker;

/* When the worker's lease was last renewed. */
typedef struct fc_machine_lease {
  double answered_at;     /* when this controller last answered a heartbeat with status 200 */
  uint64_t connection;    /* number of the connection on which that response was sent */
  double peer_renewed_at; /* when another member last renewed it, as far as it has reported */
  double redirected_at;   /* when this controller last redirected the worker to the machine's owner */
  int redirected_to;      /* that owner, an index into the members */
  uint64_t redirected_in; /* the number of the term then */
} fc_machine_lease;

/* Whether messages arrive in both directions. */
typedef struct fc_machine_reachability {
  double unidirectional_since;   /* since when heartbeats arrive without evidence that responses do; 0: they do */
  double peer_bidirectional_at;  /* when another member last renewed the lease with evidence that responses arrive */
  double peer_unidirectional_at; /* when others began to renew it without that evidence, if later */
  bool owner_suspects;           /* the owner, another member, reports that the machine may be lost */
  double owner_suspects_since;
} fc_machine_reachability;

/* Probes: direct requests to the worker for its state and task list. */
typedef struct fc_machine_probe {
  bool wanted;             /* a probe is needed, to learn whether responses reach the worker and which tasks it has */
  bool in_flight;          /* this controller's probe of another member's machine is in flight */
  double sent_at;          /* when this controller sent the last probe that has ended, also as the owner */
  bool answered;           /* that probe was answered */
  double confirmed_at;     /* when it sent the last probe whose response listed the tasks */
  double peer_answered_at; /* when another member last sent a probe that was answered */
  double peer_unanswered_at[FC_MEMBERS_MAX]; /* for each peer: when it last sent a probe that was not answered */
} fc_machine_probe;

/* Whether the machine may take new tasks. */
typedef enum {
  FC_DRAIN_NONE,
  FC_DRAIN_CORDONED,  /* no: its tasks finish or are stopped */
  FC_DRAIN_RETURNING, /* no: its return to the cloud has begun */
} fc_drain_state;

/* Why, and how far, the machine is being drained. */
typedef struct fc_machine_drain {
  fc_drain_state state;
  bool owner_cordoned;      /* another member, as the owner, has cordoned it */
  double spot_notice_until; /* when the cloud reclaims it; 0: no notice */
} fc_machine_drain;

/* Task failures attributed to the machine. */
typedef struct fc_machine_health {
  unsigned failed_jobs; /* number of jobs that failed here, each once, less one for each task that succeeded */
  bool faulty;          /* too many failures: the machine is drained and returned */
} fc_machine_health;

/* A temporary reservation for one gang. */
typedef struct fc_machine_reservation {
  char gang[FC_JOB_ID_SIZE];
  double until;
} fc_machine_reservation;

/* The machine's state in the views sent to peers. */
typedef struct fc_machine_view {
  uint64_t digest;     /* of its entry in the newest view; 0: in none yet */
  uint64_t changed_in; /* number of the view in which the entry last changed */
} fc_machine_view;

struct fc_machine {
  char id[FC_NAME_SIZE];
  fc_machine_record record;    /* endpoint, type, zone and recorded owner */
  uint64_t record_version;     /* 0: no record; the machine must not be used */
  bool record_write_pending;   /* another member may already own it: no task is placed on it meanwhile */
  bool endpoint_recorded;      /* the record has the machine's endpoint; no task is started before */
  bool endpoint_write_pending; /* the write that sets endpoint_recorded is in flight: no second one is started */
  int type;                    /* index into the machine types; -1: unknown */
  unsigned zone;               /* index into the zones of the settings; FC_ZONES_MAX: not among them */
  int owner;                   /* index into the members of the current term; -1: none */
  double first_seen;           /* when this controller first saw it */
  double owned_since;          /* when this controller became its owner, as far as known */
  double idle_since;           /* 0: in use */
  double task_ended_at;        /* when a list last showed the end of a task here; 0: never */
  uint64_t reconciled_term;    /* the term in which its task list was last fenced, or the machine was proved gone */
  fc_routine *held_heartbeat;  /* the routine that holds the answer to its newest heartbeat; NULL: none does */
  bool command_in_flight;      /* a direct call to its worker is in flight: no second one sends commands meanwhile */
  fc_machine_worker worker;
  fc_machine_lease lease;
  fc_machine_reachability reachability;
  fc_machine_probe probe;
  fc_machine_drain drain;
  fc_machine_health health;
  fc_machine_reservation reservation;
  fc_machine_view view;
  GPtrArray *placements; /* fc_placement, owned */
  GPtrArray *images;     /* GRefString, most recently used last */
};

/* Creates a machine of which only the id is known. The caller frees it with fc_machine_free(). */
fc_machine *fc_machine_new(const char *id, double now);
/* Frees a machine with its placements, as a GDestroyNotify. */
void fc_machine_free(gpointer machine);

/* Whether the machine takes no new tasks. */
static inline bool fc_machine_cordoned(const fc_machine *machine) {
  return machine->drain.state != FC_DRAIN_NONE;
}
/* Whether its return to the cloud has begun. */
static inline bool fc_machine_returning(const fc_machine *machine) {
  return machine->drain.state == FC_DRAIN_RETURNING;
}
/* Whether the machine is reserved for a gang other than the job. */
bool fc_machine_reserved_for_other(const fc_machine *machine, const char *job_id, double now);
/* Stops placing new tasks on the machine. */
static inline void fc_machine_cordon(fc_machine *machine) {
  if (machine->drain.state == FC_DRAIN_NONE) machine->drain.state = FC_DRAIN_CORDONED;
}
/* Sets the epoch and sequence that the worker has reported. They and `epoch_shown` change nowhere
 * else except where the epoch ends. */
static inline void fc_machine_worker_show_epoch(fc_machine_worker *worker, uint64_t epoch, uint64_t sequence) {
  worker->epoch = epoch;
  worker->epoch_shown = true;
  worker->sequence = sequence;
}
/* Resets the state that depends on the owner, after the machine got a new one. */
void fc_machine_reset_owner_state(fc_machine *machine, double now);

/* NULL: that attempt is not on the machine. */
fc_placement *fc_machine_find_placement(const fc_machine *machine, const char *job_id, uint32_t index,
                                        uint64_t attempt);
/* Removes and frees all placements, once no task can be on the machine any more. */
void fc_machine_remove_placements(fc_machine *machine);
/* Whether nothing on the machine is needed any more: every placement has ended and is recorded, or
 * is an abandoned start that may still arrive. */
bool fc_machine_vacant(const fc_machine *machine);
/* Adds the resources used by the tasks on the machine to the sums by team. */
void fc_machine_add_usage(const fc_machine *machine, double cpus[FC_TEAMS_MAX], double gpus[FC_TEAMS_MAX]);

/* Records that the worker has the image or is fetching it; takes a reference. Beyond a fixed number
 * the least recently used image is removed. */
void fc_machine_touch_image(fc_machine *machine, GRefString *image);
/* Whether the worker has the image. Images are interned: equal names are equal pointers. */
bool fc_machine_has_image(const fc_machine *machine, const GRefString *image);

/* Whether this controller has owned the machine since `since`, and since then it has been silent or
 * unidirectional: heartbeats arrive without evidence that responses or commands do. Its tasks
 * are equally affected by both. */
bool fc_machine_unreachable_since(const fc_machine *machine, double since);
/* How long a machine may be unreachable before it is returned, in seconds: longer than a worker
 * takes to try another member when it can't reach this one (two failed heartbeats), but shorter than
 * its lease, as returning the machine is the quickest proof that its tasks are gone. */
double fc_machine_silence_timeout_s(const fc_settings *settings);

#endif
