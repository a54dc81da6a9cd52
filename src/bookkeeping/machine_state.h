/* What this controller knows of one machine: its record, its agent, the agent's lease, and
 * what has been placed on it. */
#ifndef FC_BOOKKEEPING_MACHINE_STATE_H
#define FC_BOOKKEEPING_MACHINE_STATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bookkeeping/placement.h"
#include "protocol/records.h"
#include "protocol/settings.h"

/* The worker process as its newest heartbeat or direct answer showed it, whoever owned the
 * machine then. Heartbeats are ordered by epoch and sequence: copies may come late. When its lease
 * has expired the worker is in a later epoch; which one, only its next message shows. */
typedef struct fc_machine_agent {
  uint64_t epoch, sequence;
  bool epoch_shown;       /* the worker has shown `epoch`; false: it is the lowest that it may be in */
  double expired_at;      /* when its lease was last found to have expired; 0: never */
  uint64_t fencing_token; /* the highest that the worker has shown */
  double epoch_began_at;  /* when we first heard of the epoch: its lease began no later */
  double heard_at;        /* when the last heartbeat or direct answer came */
  bool reported;          /* a heartbeat has come to us since we became the owner */
  bool restarted;         /* in this term, under its old epoch: its heartbeats can't be ordered */
  bool mismatch_logged;   /* a heartbeat contradicted the record */
} fc_machine_agent;

/* When the worker's lease was last renewed, in steady time. */
typedef struct fc_machine_lease {
  double answered_at;     /* when we last answered a heartbeat with 200 */
  uint64_t connection;    /* the number of the connection that we did it on */
  double peer_renewed_at; /* when another member last did, as far as it has said */
  double redirected_at;   /* when we last sent the worker to its owner */
} fc_machine_lease;

/* Whether messages get through both ways. */
typedef struct fc_machine_reachability {
  double unidirectional_since;   /* heartbeats come since then, with no sign that answers arrive; 0: they do */
  double peer_bidirectional_at;  /* when another member renewed the lease, and answers did arrive */
  double peer_unidirectional_at; /* when others began to renew it with no such sign, if after that */
  bool owner_suspects;           /* another owner says that it may have lost the machine */
  double owner_suspects_since;
} fc_machine_reachability;

/* Direct questions to the worker. */
typedef struct fc_machine_probe {
  bool wanted;                               /* to be asked directly whether answers arrive, and what it holds */
  bool in_flight;                            /* another member's machine: our question is under way */
  double sent_at;                            /* when we sent the last one whose end we know, also as its owner */
  bool answered;                             /* it ended with an answer */
  double confirmed_at;                       /* when we sent the last one whose answer listed its tasks */
  double peer_answered_at;                   /* when another member last asked, and was answered */
  double peer_unanswered_at[FC_MEMBERS_MAX]; /* by peer: when it last asked in vain */
} fc_machine_probe;

/* May the machine take new tasks? */
typedef enum {
  FC_DRAIN_NONE,
  FC_DRAIN_CORDONED,  /* no: what runs there ends or is stopped */
  FC_DRAIN_RETURNING, /* no: its return to the cloud has begun */
} fc_drain_state;

/* Why and how far the machine is being emptied. */
typedef struct fc_machine_drain {
  fc_drain_state state;
  bool owner_cordoned;      /* another owner says so */
  double spot_notice_until; /* the cloud takes it then; 0: no notice */
} fc_machine_drain;

/* Failures that are blamed on the machine. */
typedef struct fc_machine_health {
  unsigned failed_jobs; /* jobs that failed here first, net of tasks that did well */
  bool faulty;          /* so many that it is drained and returned */
} fc_machine_health;

/* Reserved for one gang for a while. */
typedef struct fc_machine_reservation {
  char gang[32];
  double until; /* steady time */
} fc_machine_reservation;

/* What our views tell peers of the machine. */
typedef struct fc_machine_view {
  uint64_t digest;     /* of what the newest says; 0: nothing yet */
  uint64_t changed_in; /* the view in which that last changed */
} fc_machine_view;

/* A machine as this controller knows it. All times are steady. */
struct fc_machine {
  char id[64];
  fc_machine_record record;    /* endpoint, type, zone, recorded owner */
  uint64_t record_version;     /* 0: no record, must not be used */
  bool record_write_pending;   /* a change of the record is under way */
  bool endpoint_recorded;      /* the record has its address; nothing is started before */
  bool endpoint_write_pending; /* that is being written */
  int type;                    /* index into the machine types; -1: not known */
  unsigned zone;               /* index into the zones of the settings; FC_ZONES_MAX: none of them */
  int owner;                   /* index into the present term; -1: none */
  double first_seen;           /* when we first knew of it */
  double owned_since;          /* when we became its owner, as far as we know */
  double idle_since;           /* 0: in use */
  uint64_t reconciled_term;    /* the term in which its task list was last fenced, or it was proved gone */
  bool command_in_flight;      /* a direct command is under way */
  fc_machine_agent agent;
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

/* A machine of which nothing is known but its id. `now`: steady time. */
fc_machine *fc_machine_new(const char *id, double now);
/* Frees it with its placements; as a GDestroyNotify. */
void fc_machine_free(gpointer machine);

/* Takes it no new tasks? */
static inline bool fc_machine_cordoned(const fc_machine *machine) {
  return machine->drain.state != FC_DRAIN_NONE;
}
/* Has its return to the cloud begun? */
static inline bool fc_machine_returning(const fc_machine *machine) {
  return machine->drain.state == FC_DRAIN_RETURNING;
}
/* Is it reserved for a gang other than the job? */
bool fc_machine_reserved_from(const fc_machine *machine, const char *job_id, double now);
/* From here on it takes no new tasks. */
static inline void fc_machine_cordon(fc_machine *machine) {
  if (machine->drain.state == FC_DRAIN_NONE) machine->drain.state = FC_DRAIN_CORDONED;
}
/* The worker has shown its epoch and sequence; the three of them are set nowhere else but where the
 * epoch ends. */
static inline void fc_machine_agent_show_epoch(fc_machine_agent *agent, uint64_t epoch, uint64_t sequence) {
  agent->epoch = epoch;
  agent->epoch_shown = true;
  agent->sequence = sequence;
}
/* The machine has a new owner: forgets what the one before said of it. */
void fc_machine_forget_owner(fc_machine *machine, double now);

/* NULL: that attempt is not on the machine. */
fc_placement *fc_machine_find_placement(const fc_machine *machine, const char *job_id, uint32_t index,
                                        uint64_t attempt);
/* Removes and frees all placements: nothing runs there any more. */
void fc_machine_remove_placements(fc_machine *machine);
/* Nothing on it that anybody still needs: what is left has ended and is recorded, or is a
 * start that was given up and may yet arrive. */
bool fc_machine_vacant(const fc_machine *machine);
/* Adds what the tasks on the machine use, by team. */
void fc_machine_add_usage(const fc_machine *machine, double cpus[FC_TEAMS_MAX], double gpus[FC_TEAMS_MAX]);

/* The worker has the image, or is fetching it; takes a reference. The least recently used is
 * forgotten beyond a fixed number. */
void fc_machine_touch_image(fc_machine *machine, GRefString *image);
/* Images are interned: the same name is the same pointer. */
bool fc_machine_has_image(const fc_machine *machine, const GRefString *image);

/* Owned and silent since then, or unidirectional: its heartbeats come, with no sign since then
 * that answers or commands arrive. Both cost its tasks the same. */
bool fc_machine_unreachable_since(const fc_machine *machine, double since);
/* How long a machine may be unreachable before it is returned, in seconds: longer than a worker
 * takes to try another member when it can't reach us (two failed heartbeats), shorter than its
 * lease: returning it is the quickest proof that its tasks are gone. */
double fc_machine_silence_timeout_s(const fc_settings *settings);

#endif
