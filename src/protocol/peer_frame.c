#include "protocol/peer_frame.h"

#include <string.h>

#define MAGIC 0xfc1eu
/* The least that a machine takes in a view and in an acknowledgement, and a task:
 * no count that a frame states can make us take more memory than it has bytes for. */
#define MACHINE_LEAST (1u + 1u + 2u)
#define KEPT_LEAST (1u + 4u + 1u + 8u + 8u)
#define ASKED_LEAST (1u + 4u + 1u)
#define TASK_LEAST (1u + 4u + 8u + 1u + 1u)
#define CANCEL_LEAST (1u + 8u + 4u)

static void put_u8(GByteArray *b, uint8_t v) {
  g_byte_array_append(b, &v, 1);
}

static void put_u16(GByteArray *b, uint16_t v) {
  guint16 n = GUINT16_TO_BE(v);
  g_byte_array_append(b, (const guint8 *)&n, 2);
}

static void put_u32(GByteArray *b, uint32_t v) {
  guint32 n = GUINT32_TO_BE(v);
  g_byte_array_append(b, (const guint8 *)&n, 4);
}

static void put_u64(GByteArray *b, uint64_t v) {
  guint64 n = GUINT64_TO_BE(v);
  g_byte_array_append(b, (const guint8 *)&n, 8);
}

static void put_text(GByteArray *b, const char *s) {
  size_t n = strlen(s);
  put_u8(b, (uint8_t)n); /* every text here is shorter than 64 bytes */
  g_byte_array_append(b, (const guint8 *)s, (guint)n);
}

static guint begin(GByteArray *b, fc_frame_type type) {
  guint at = b->len;
  put_u16(b, MAGIC);
  put_u8(b, FC_FRAME_VERSION);
  put_u8(b, (uint8_t)type);
  put_u32(b, 0);
  return at;
}

static void finish(GByteArray *b, guint at) {
  guint32 n = GUINT32_TO_BE(b->len - at - FC_FRAME_HEAD);
  memcpy(b->data + at + 4, &n, 4);
}

size_t fc_frame_machine_size(const fc_frame_machine *frame_machine) {
  size_t n = MACHINE_LEAST + strlen(frame_machine->id);
  for (size_t k = 0; k < frame_machine->task_count; k++) n += TASK_LEAST + strlen(frame_machine->tasks[k].job);
  return n;
}

static void put_cancels(GByteArray *b, const fc_frame_cancellation *cancels, size_t count) {
  put_u16(b, (uint16_t)count);
  for (size_t i = 0; i < count; i++) {
    put_text(b, cancels[i].job);
    put_u64(b, cancels[i].revision);
    put_u32(b, cancels[i].age_ms);
  }
}

void fc_view_encode(GByteArray *out, const fc_view *view) {
  guint at = begin(out, FC_FRAME_VIEW);
  put_text(out, view->sender);
  put_u64(out, view->incarnation);
  put_u64(out, view->term);
  put_u64(out, view->sequence);
  put_u64(out, view->base);
  put_u32(out, view->piece);
  put_u8(out, view->last);
  put_u16(out, view->backlog);
  put_u64(out, view->revision);
  put_cancels(out, view->cancellations, view->cancellation_count);
  put_u32(out, (uint32_t)view->machine_count);
  for (size_t i = 0; i < view->machine_count; i++) {
    const fc_frame_machine *frame_machine = &view->machines[i];
    put_text(out, frame_machine->id);
    put_u8(out, (uint8_t)((frame_machine->reconciled ? 1 : 0) | (frame_machine->cordoned ? 2 : 0) |
                          (frame_machine->unreachable ? 4 : 0)));
    put_u16(out, (uint16_t)frame_machine->task_count);
    for (size_t k = 0; k < frame_machine->task_count; k++) {
      put_text(out, frame_machine->tasks[k].job);
      put_u32(out, frame_machine->tasks[k].index);
      put_u64(out, frame_machine->tasks[k].attempt);
      put_u8(out, frame_machine->tasks[k].state);
      put_u8(out, frame_machine->tasks[k].cause);
    }
  }
  finish(out, at);
}

void fc_ack_encode(GByteArray *out, const fc_ack *ack) {
  guint at = begin(out, FC_FRAME_ACK);
  put_text(out, ack->sender);
  put_u64(out, ack->incarnation);
  put_u64(out, ack->term);
  put_u64(out, ack->sequence);
  put_u8(out, ack->applied);
  put_u32(out, ack->grant_ms);
  put_u32(out, ack->no_cancellation_ms);
  put_u32(out, ack->kv_read_age_ms);
  put_u64(out, ack->revision);
  put_u8(out, ack->cancellations_complete);
  put_cancels(out, ack->cancellations, ack->cancellation_count);
  put_u32(out, (uint32_t)ack->renewal_count);
  for (size_t i = 0; i < ack->renewal_count; i++) {
    put_text(out, ack->renewals[i].machine);
    put_u32(out, ack->renewals[i].age_ms);
    put_u8(out, ack->renewals[i].bidirectional);
    put_u64(out, ack->renewals[i].epoch);
    put_u64(out, ack->renewals[i].sequence);
  }
  put_u32(out, (uint32_t)ack->probe_count);
  for (size_t i = 0; i < ack->probe_count; i++) {
    put_text(out, ack->probes[i].machine);
    put_u32(out, ack->probes[i].age_ms);
    put_u8(out, ack->probes[i].answered);
  }
  finish(out, at);
}

typedef struct cursor {
  const uint8_t *p;
  size_t left;
  bool bad;
} cursor;

static bool take(cursor *c, void *out, size_t n) {
  if (c->bad || c->left < n) {
    c->bad = true;
    memset(out, 0, n);
    return false;
  }
  memcpy(out, c->p, n);
  c->p += n;
  c->left -= n;
  return true;
}

static uint8_t get_u8(cursor *c) {
  uint8_t v;
  take(c, &v, 1);
  return v;
}

static uint16_t get_u16(cursor *c) {
  guint16 v;
  take(c, &v, 2);
  return GUINT16_FROM_BE(v);
}

static uint32_t get_u32(cursor *c) {
  guint32 v;
  take(c, &v, 4);
  return GUINT32_FROM_BE(v);
}

static uint64_t get_u64(cursor *c) {
  guint64 v;
  take(c, &v, 8);
  return GUINT64_FROM_BE(v);
}

static void get_text(cursor *c, char *out, size_t size) {
  size_t n = get_u8(c);
  if (n >= size) {
    c->bad = true;
    n = 0;
  }
  take(c, out, n);
  out[c->bad ? 0 : n] = '\0';
  if (!c->bad && strlen(out) != n) c->bad = true; /* a NUL inside a name */
}

bool fc_frame_is_http(const uint8_t head[FC_FRAME_HEAD]) {
  return memcmp(head, "GET /", 5) == 0;
}

bool fc_frame_head(const uint8_t head[FC_FRAME_HEAD], fc_frame_type *type, uint32_t *len) {
  cursor c = {.p = head, .left = FC_FRAME_HEAD};
  uint16_t magic = get_u16(&c);
  uint8_t version = get_u8(&c);
  uint8_t kind = get_u8(&c);
  *len = get_u32(&c);
  *type = (fc_frame_type)kind;
  return magic == MAGIC && version == FC_FRAME_VERSION && (kind == FC_FRAME_VIEW || kind == FC_FRAME_ACK) &&
         *len <= FC_FRAME_MAX;
}

static void decode_machine(cursor *c, fc_frame_machine *frame_machine) {
  get_text(c, frame_machine->id, sizeof frame_machine->id);
  uint8_t flags = get_u8(c);
  frame_machine->reconciled = flags & 1;
  frame_machine->cordoned = flags & 2;
  frame_machine->unreachable = flags & 4;
  size_t n = get_u16(c);
  if (c->bad || n > FC_FRAME_TASKS_MAX || n > c->left / TASK_LEAST) {
    c->bad = true;
    return;
  }
  frame_machine->tasks = g_new0(fc_frame_task, n);
  frame_machine->task_count = n;
  for (size_t k = 0; k < n && !c->bad; k++) {
    fc_frame_task *frame_task = &frame_machine->tasks[k];
    get_text(c, frame_task->job, sizeof frame_task->job);
    frame_task->index = get_u32(c);
    frame_task->attempt = get_u64(c);
    frame_task->state = get_u8(c);
    frame_task->cause = get_u8(c);
    if (frame_task->state > FC_TASK_EXITED || frame_task->cause > FC_CAUSE_UNKNOWN) c->bad = true;
  }
}

static fc_frame_cancellation *get_cancels(cursor *c, size_t *count) {
  size_t n = get_u16(c);
  *count = 0;
  if (c->bad || n > FC_FRAME_CANCELLATIONS_MAX || n > c->left / CANCEL_LEAST) {
    c->bad = true;
    return NULL;
  }
  fc_frame_cancellation *out = g_new0(fc_frame_cancellation, n);
  *count = n;
  for (size_t i = 0; i < n; i++) {
    get_text(c, out[i].job, sizeof out[i].job);
    out[i].revision = get_u64(c);
    out[i].age_ms = get_u32(c);
  }
  return out;
}

bool fc_view_decode(const uint8_t *p, size_t len, fc_view *out) {
  memset(out, 0, sizeof *out);
  cursor c = {.p = p, .left = len};
  get_text(&c, out->sender, sizeof out->sender);
  out->incarnation = get_u64(&c);
  out->term = get_u64(&c);
  out->sequence = get_u64(&c);
  out->base = get_u64(&c);
  out->piece = get_u32(&c);
  out->last = get_u8(&c) != 0;
  out->backlog = get_u16(&c);
  out->revision = get_u64(&c);
  out->cancellations = get_cancels(&c, &out->cancellation_count);
  size_t n = get_u32(&c);
  if (!c.bad && n <= c.left / MACHINE_LEAST) {
    out->machines = g_new0(fc_frame_machine, n);
    out->machine_count = n;
    for (size_t i = 0; i < n && !c.bad; i++) decode_machine(&c, &out->machines[i]);
  } else {
    c.bad = true;
  }
  if (!c.bad && c.left == 0) return true;
  fc_view_clear(out);
  return false;
}

void fc_view_clear(fc_view *view) {
  for (size_t i = 0; i < view->machine_count; i++) g_free(view->machines[i].tasks);
  g_free(view->machines);
  g_free(view->cancellations);
  memset(view, 0, sizeof *view);
}

bool fc_ack_decode(const uint8_t *p, size_t len, fc_ack *out) {
  memset(out, 0, sizeof *out);
  cursor c = {.p = p, .left = len};
  get_text(&c, out->sender, sizeof out->sender);
  out->incarnation = get_u64(&c);
  out->term = get_u64(&c);
  out->sequence = get_u64(&c);
  out->applied = get_u8(&c) != 0;
  out->grant_ms = get_u32(&c);
  out->no_cancellation_ms = get_u32(&c);
  out->kv_read_age_ms = get_u32(&c);
  out->revision = get_u64(&c);
  out->cancellations_complete = get_u8(&c) != 0;
  out->cancellations = get_cancels(&c, &out->cancellation_count);
  size_t n = get_u32(&c);
  if (!c.bad && n <= c.left / KEPT_LEAST) {
    out->renewals = g_new0(fc_frame_lease_renewal, n);
    out->renewal_count = n;
    for (size_t i = 0; i < n; i++) {
      get_text(&c, out->renewals[i].machine, sizeof out->renewals[i].machine);
      out->renewals[i].age_ms = get_u32(&c);
      out->renewals[i].bidirectional = get_u8(&c) != 0;
      out->renewals[i].epoch = get_u64(&c);
      out->renewals[i].sequence = get_u64(&c);
    }
  } else {
    c.bad = true;
  }
  n = get_u32(&c);
  if (!c.bad && n <= c.left / ASKED_LEAST) {
    out->probes = g_new0(fc_frame_probe, n);
    out->probe_count = n;
    for (size_t i = 0; i < n; i++) {
      get_text(&c, out->probes[i].machine, sizeof out->probes[i].machine);
      out->probes[i].age_ms = get_u32(&c);
      out->probes[i].answered = get_u8(&c) != 0;
    }
  } else {
    c.bad = true;
  }
  if (!c.bad && c.left == 0) return true;
  fc_ack_clear(out);
  return false;
}

void fc_ack_clear(fc_ack *ack) {
  g_free(ack->renewals);
  g_free(ack->probes);
  g_free(ack->cancellations);
  memset(ack, 0, sizeof *ack);
}
