/* What controllers say to each other: packed fields, big-endian, length- and
 * version-checked. One exchange: a view, answered by an acknowledgement. */
#ifndef FC_PROTOCOL_PEER_FRAME_H
#define FC_PROTOCOL_PEER_FRAME_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/worker_api.h"

#define FC_FRAME_VERSION 5
#define FC_FRAME_HEAD 8u
/* Room for the answers of one controller to 65,535 workers, more than it has sockets
 * for. Only what a frame really brings is taken. */
#define FC_FRAME_MAX (8u * 1024u * 1024u)
/* A view goes in pieces of about this size, of whole machines. */
#define FC_PIECE_BYTES ((size_t)64 * 1024)
/* As many tasks as a report may name. */
#define FC_FRAME_TASKS_MAX 4096u

/* Cancellations that a frame may pass on; older ones are left to the state service. */
#define FC_FRAME_CANCELLATIONS_MAX 1024u

typedef enum { FC_FRAME_VIEW = 1, FC_FRAME_ACK = 2 } fc_frame_type;

typedef struct fc_frame_task {
  char job[32];
  uint32_t index;
  uint64_t attempt;
  uint8_t state; /* fc_task_state */
  uint8_t cause; /* fc_exit_cause */
} fc_frame_task;

typedef struct fc_frame_machine {
  char id[64];
  bool reconciled;  /* in the frame's term; only then is the task list complete */
  bool cordoned;    /* takes no new tasks */
  bool unreachable; /* its owner is out of touch with it */
  fc_frame_task *tasks;
  size_t task_count;
} fc_frame_machine;

/* A job that is cancelled, as a transaction that is committed says. */
typedef struct fc_frame_cancellation {
  char job[32];
  uint64_t revision;
  uint32_t age_ms; /* since the sender could first have learned of it */
} fc_frame_cancellation;

/* One piece of a view: the sender's machines, or with `base` only those that have
 * changed since the view of that number. */
typedef struct fc_view {
  char sender[64];
  uint64_t incarnation, term, sequence;
  uint64_t base;     /* the receiver has to hold that view; 0: this one is whole */
  uint32_t piece;    /* from 0 on */
  bool last;         /* of this view's pieces; it is answered */
  uint16_t backlog;  /* writes that wait at the sender */
  uint64_t revision; /* everything up to here is in the sender's table */
  fc_frame_cancellation *cancellations;
  size_t cancellation_count;
  fc_frame_machine *machines;
  size_t machine_count;
} fc_view;

typedef struct fc_frame_lease_renewal {
  char machine[64];
  uint32_t age_ms;          /* since the last answer */
  bool bidirectional;       /* it has shown that it heard an answer before */
  uint64_t epoch, sequence; /* of the newest report answered */
} fc_frame_lease_renewal;

/* A machine of another member that the sender has asked directly what it holds. */
typedef struct fc_frame_probe {
  char machine[64];
  uint32_t age_ms; /* since the question was sent */
  bool answered;
} fc_frame_probe;

typedef struct fc_ack {
  char sender[64];
  uint64_t incarnation, term, sequence;
  bool applied;                /* the whole view, so that the next may name it as its base */
  uint32_t grant_ms;           /* 0: none. "I commit no term without you" for so long */
  uint32_t no_cancellation_ms; /* since the sender last learned of a cancellation, or started */
  bool cancellations_complete; /* `cancels` are all that it knows of and the asker's table does not hold */
  fc_frame_cancellation *cancellations;
  size_t cancellation_count;
  uint32_t kv_read_age_ms;          /* since the sender last read the state service */
  uint64_t revision;                /* what the sender's table held when it applied the view */
  fc_frame_lease_renewal *renewals; /* machines of others whose reports it has answered lately */
  size_t renewal_count;
  fc_frame_probe *probes; /* machines of others that it has asked directly of late */
  size_t probe_count;
} fc_ack;

/* What the machine takes in a view. */
size_t fc_frame_machine_size(const fc_frame_machine *frame_machine);
/* Whole frames, head included. Appends to `out`. */
void fc_view_encode(GByteArray *out, const fc_view *view);
void fc_ack_encode(GByteArray *out, const fc_ack *ack);
/* Do the first bytes belong to an HTTP request instead? */
bool fc_frame_is_http(const uint8_t head[FC_FRAME_HEAD]);
/* The head: false when it is not one of ours; *len is the length of the rest. */
bool fc_frame_head(const uint8_t head[FC_FRAME_HEAD], fc_frame_type *type, uint32_t *len);
bool fc_view_decode(const uint8_t *p, size_t len, fc_view *out);
void fc_view_clear(fc_view *view);
void fc_ack_clear(fc_ack *ack);
bool fc_ack_decode(const uint8_t *p, size_t len, fc_ack *out);

#endif
