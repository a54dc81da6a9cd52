/* Encodes and decodes the frames that controllers exchange: packed big-endian fields after a head with
 * version and length. One exchange is a view (the sender's machines and their tasks) and its
 * acknowledgement. Nothing here suspends the calling routine. */
#ifndef FC_PROTOCOL_PEER_FRAME_H
#define FC_PROTOCOL_PEER_FRAME_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "protocol/job.h"
#include "protocol/worker_api.h"

#define FC_FRAME_VERSION 5
#define FC_MS_PER_S 1000.0 /* ages and durations in frames are in milliseconds */
#define FC_FRAME_HEAD_BYTES 8u
/* Largest body of a frame. It has room for one controller's lease renewals for 65,535 workers, more
 * than it can have connections to. Memory is allocated only for what a frame really contains. */
#define FC_FRAME_BODY_MAX_BYTES (8u * 1024u * 1024u)
/* A view is split into pieces of about this size, at the boundaries of machines. */
#define FC_PIECE_BYTES ((size_t)64 * 1024)
/* Tasks of one machine, as in a heartbeat. */
#define FC_FRAME_TASKS_MAX FC_HEARTBEAT_TASKS_MAX
/* Cancellations in one frame; the receiver reads older ones from the key-value store. */
#define FC_FRAME_CANCELLATIONS_MAX 1024u

typedef enum { FC_FRAME_VIEW = 1, FC_FRAME_ACK = 2 } fc_frame_type;

typedef struct fc_frame_task {
  char job[FC_JOB_ID_SIZE];
  uint32_t index;
  uint64_t attempt;
  uint8_t state; /* fc_task_state */
  uint8_t cause; /* fc_exit_cause */
} fc_frame_task;

typedef struct fc_frame_machine {
  char id[FC_NAME_SIZE];
  bool reconciled;  /* by its owner in the frame's term; only then is the task list complete */
  bool cordoned;    /* takes no new tasks */
  bool unreachable; /* for its owner */
  fc_frame_task *tasks;
  size_t task_count;
} fc_frame_machine;

/* A job whose cancellation is committed. */
typedef struct fc_frame_cancellation {
  char job[FC_JOB_ID_SIZE];
  uint64_t revision;
  uint32_t age_ms; /* since the sender could first have learned of it */
} fc_frame_cancellation;

/* One piece of a view: the sender's machines, or with `base` only those that have changed since the
 * view of that number. */
typedef struct fc_view {
  char sender[FC_NAME_SIZE];
  uint64_t incarnation, term, sequence;
  uint64_t base;     /* number of the view that the receiver must have applied; 0: this one is complete */
  uint32_t piece;    /* number of the piece, from 0 */
  bool last;         /* this is the last piece of the view, the one that is acknowledged */
  uint16_t backlog;  /* pending writes of the sender */
  uint64_t revision; /* the sender's cluster state is current up to this revision */
  fc_frame_cancellation *cancellations;
  size_t cancellation_count;
  fc_frame_machine *machines;
  size_t machine_count;
} fc_view;

/* A machine of another member whose heartbeat the sender has answered. */
typedef struct fc_frame_lease_renewal {
  char machine[FC_NAME_SIZE];
  uint32_t age_ms;          /* since the last response */
  bool bidirectional;       /* its heartbeats show that it received an earlier response */
  uint64_t epoch, sequence; /* of the newest heartbeat answered */
} fc_frame_lease_renewal;

/* A machine of another member that the sender has called directly for its task list. */
typedef struct fc_frame_probe {
  char machine[FC_NAME_SIZE];
  uint32_t age_ms; /* since the call was sent */
  bool answered;
} fc_frame_probe;

typedef struct fc_ack {
  char sender[FC_NAME_SIZE];
  uint64_t incarnation, term, sequence;
  bool applied;                /* the view was applied completely, so the next one may have it as its base */
  uint32_t grant_ms;           /* time for which the sender commits no term that excludes the receiver; 0: no grant */
  uint32_t no_cancellation_ms; /* since the sender last learned of a cancellation, or started */
  bool cancellations_complete; /* the list has every one that the sender knows and the receiver has not read */
  fc_frame_cancellation *cancellations;
  size_t cancellation_count;
  uint32_t kv_read_age_ms; /* since the sender last read the key-value store */
  uint64_t revision;       /* of the sender's cluster state when it applied the view */
  fc_frame_lease_renewal *renewals;
  size_t renewal_count;
  fc_frame_probe *probes;
  size_t probe_count;
} fc_ack;

/* Encoded size of a machine in a view, in bytes. */
size_t fc_frame_machine_size(const fc_frame_machine *machine);

/* Append a whole frame, including its head, to `out`. */
void fc_view_encode(GByteArray *out, const fc_view *view);
void fc_ack_encode(GByteArray *out, const fc_ack *ack);

/* Whether the first bytes of a connection are those of an HTTP GET request, not of a frame. */
bool fc_frame_is_http(const uint8_t head[FC_FRAME_HEAD_BYTES]);
/* Decodes the head; *length is the size of the body in bytes. False for another magic or version, an
 * unknown type, or a body larger than FC_FRAME_BODY_MAX_BYTES. */
bool fc_frame_head_decode(const uint8_t head[FC_FRAME_HEAD_BYTES], fc_frame_type *type, uint32_t *length);

/* Decode a frame's body. False when it is malformed, with `out` empty; else the caller frees the lists
 * in `out` with the matching clear function. */
bool fc_view_decode(const uint8_t *body, size_t length, fc_view *out);
bool fc_ack_decode(const uint8_t *body, size_t length, fc_ack *out);
void fc_view_clear(fc_view *view);
void fc_ack_clear(fc_ack *ack);

#endif
