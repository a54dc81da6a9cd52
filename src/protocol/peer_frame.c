#include "protocol/peer_frame.h"

#include <string.h>

#define FRAME_MAGIC 0xfc1eu
#define LENGTH_OFFSET 4u /* of the body's length, in the head */

/* The smallest encoded size in bytes of each kind of list element, with empty names. A frame whose
 * count of elements exceeds what its bytes can hold is rejected before memory is allocated for them. */
#define MACHINE_SIZE_MIN (1u + 1u + 2u)
#define RENEWAL_SIZE_MIN (1u + 4u + 1u + 8u + 8u)
#define PROBE_SIZE_MIN (1u + 4u + 1u)
#define TASK_SIZE_MIN (1u + 4u + 8u + 1u + 1u)
#define CANCELLATION_SIZE_MIN (1u + 8u + 4u)

enum machine_flag { MACHINE_RECONCILED = 1, MACHINE_CORDONED = 2, MACHINE_UNREACHABLE = 4 };

/* ---- integers and texts ---- */

static void put_u8(GByteArray *out, uint8_t value) {
  g_byte_array_append(out, &value, 1);
}

static void put_u16(GByteArray *out, uint16_t value) {
  guint16 big_endian = GUINT16_TO_BE(value);
  g_byte_array_append(out, (const guint8 *)&big_endian, sizeof big_endian);
}

static void put_u32(GByteArray *out, uint32_t value) {
  guint32 big_endian = GUINT32_TO_BE(value);
  g_byte_array_append(out, (const guint8 *)&big_endian, sizeof big_endian);
}

static void put_u64(GByteArray *out, uint64_t value) {
  guint64 big_endian = GUINT64_TO_BE(value);
  g_byte_array_append(out, (const guint8 *)&big_endian, sizeof big_endian);
}

static void put_text(GByteArray *out, const char *text) {
  size_t length = strlen(text);
  put_u8(out, (uint8_t)length); /* every text here is shorter than FC_NAME_SIZE */
  g_byte_array_append(out, (const guint8 *)text, (guint)length);
}

/* The bytes that are left to decode. After the first malformed value `malformed` stays set, and all
 * further values read as zero. */
typedef struct frame_input {
  const uint8_t *next;
  size_t left;
  bool malformed;
} frame_input;

static void get_bytes(frame_input *in, void *out, size_t size) {
  if (in->malformed || in->left < size) {
    in->malformed = true;
    memset(out, 0, size);
    return;
  }
  memcpy(out, in->next, size);
  in->next += size;
  in->left -= size;
}

static uint8_t get_u8(frame_input *in) {
  uint8_t value;
  get_bytes(in, &value, sizeof value);
  return value;
}

static uint16_t get_u16(frame_input *in) {
  guint16 big_endian;
  get_bytes(in, &big_endian, sizeof big_endian);
  return GUINT16_FROM_BE(big_endian);
}

static uint32_t get_u32(frame_input *in) {
  guint32 big_endian;
  get_bytes(in, &big_endian, sizeof big_endian);
  return GUINT32_FROM_BE(big_endian);
}

static uint64_t get_u64(frame_input *in) {
  guint64 big_endian;
  get_bytes(in, &big_endian, sizeof big_endian);
  return GUINT64_FROM_BE(big_endian);
}

static bool get_bool(frame_input *in) {
  return get_u8(in) != 0;
}

static void get_text(frame_input *in, char *out, size_t size) {
  size_t length = get_u8(in);
  if (length >= size) {
    in->malformed = true;
    length = 0;
  }
  get_bytes(in, out, length);
  out[in->malformed ? 0 : length] = '\0';
  bool contains_nul = !in->malformed && strlen(out) != length;
  if (contains_nul) in->malformed = true;
}

/* ---- lists ---- */

typedef void (*element_decoder)(frame_input *in, void *element);

/* Decodes `count` elements, each of `size` bytes in memory and at least `size_min` in the frame. The
 * caller frees the array. Returns NULL, with *decoded 0, if `count` is 0, or if it exceeds `count_max`
 * or the bytes that are left. */
static void *get_list(frame_input *in, size_t count, size_t count_max, size_t size_min, size_t size,
                      element_decoder decode, size_t *decoded) {
  *decoded = 0;
  if (in->malformed || count > count_max || count > in->left / size_min) {
    in->malformed = true;
    return NULL;
  }
  char *elements = g_malloc0_n(count, size);
  *decoded = count;
  for (size_t i = 0; i < count && !in->malformed; i++) decode(in, elements + i * size);
  return elements;
}

static void put_cancellations(GByteArray *out, const fc_frame_cancellation *cancellations, size_t count) {
  put_u16(out, (uint16_t)count);
  for (size_t i = 0; i < count; i++) {
    put_text(out, cancellations[i].job);
    put_u64(out, cancellations[i].revision);
    put_u32(out, cancellations[i].age_ms);
  }
}

static void get_cancellation(frame_input *in, void *element) {
  fc_frame_cancellation *cancellation = element;
  get_text(in, cancellation->job, sizeof cancellation->job);
  cancellation->revision = get_u64(in);
  cancellation->age_ms = get_u32(in);
}

static fc_frame_cancellation *get_cancellations(frame_input *in, size_t *count) {
  size_t stated = get_u16(in);
  return get_list(in, stated, FC_FRAME_CANCELLATIONS_MAX, CANCELLATION_SIZE_MIN, sizeof(fc_frame_cancellation),
                  get_cancellation, count);
}

static void put_tasks(GByteArray *out, const fc_frame_task *tasks, size_t count) {
  put_u16(out, (uint16_t)count);
  for (size_t i = 0; i < count; i++) {
    put_text(out, tasks[i].job);
    put_u32(out, tasks[i].index);
    put_u64(out, tasks[i].attempt);
    put_u8(out, tasks[i].state);
    put_u8(out, tasks[i].cause);
  }
}

static void get_task(frame_input *in, void *element) {
  fc_frame_task *task = element;
  get_text(in, task->job, sizeof task->job);
  task->index = get_u32(in);
  task->attempt = get_u64(in);
  task->state = get_u8(in);
  task->cause = get_u8(in);
  if (task->state > FC_TASK_EXITED || task->cause > FC_CAUSE_UNKNOWN) in->malformed = true;
}

static void put_machines(GByteArray *out, const fc_frame_machine *machines, size_t count) {
  put_u32(out, (uint32_t)count);
  for (size_t i = 0; i < count; i++) {
    const fc_frame_machine *machine = &machines[i];
    put_text(out, machine->id);
    put_u8(out, (uint8_t)((machine->reconciled ? MACHINE_RECONCILED : 0) | (machine->cordoned ? MACHINE_CORDONED : 0) |
                          (machine->unreachable ? MACHINE_UNREACHABLE : 0)));
    put_tasks(out, machine->tasks, machine->task_count);
  }
}

static void get_machine(frame_input *in, void *element) {
  fc_frame_machine *machine = element;
  get_text(in, machine->id, sizeof machine->id);
  uint8_t flags = get_u8(in);
  machine->reconciled = flags & MACHINE_RECONCILED;
  machine->cordoned = flags & MACHINE_CORDONED;
  machine->unreachable = flags & MACHINE_UNREACHABLE;
  size_t stated = get_u16(in);
  machine->tasks =
      get_list(in, stated, FC_FRAME_TASKS_MAX, TASK_SIZE_MIN, sizeof(fc_frame_task), get_task, &machine->task_count);
}

static fc_frame_machine *get_machines(frame_input *in, size_t *count) {
  size_t stated = get_u32(in);
  return get_list(in, stated, SIZE_MAX, MACHINE_SIZE_MIN, sizeof(fc_frame_machine), get_machine, count);
}

size_t fc_frame_machine_size(const fc_frame_machine *machine) {
  size_t size = MACHINE_SIZE_MIN + strlen(machine->id);
  for (size_t i = 0; i < machine->task_count; i++) size += TASK_SIZE_MIN + strlen(machine->tasks[i].job);
  return size;
}

static void put_renewals(GByteArray *out, const fc_frame_lease_renewal *renewals, size_t count) {
  put_u32(out, (uint32_t)count);
  for (size_t i = 0; i < count; i++) {
    put_text(out, renewals[i].machine);
    put_u32(out, renewals[i].age_ms);
    put_u8(out, renewals[i].bidirectional);
    put_u64(out, renewals[i].epoch);
    put_u64(out, renewals[i].sequence);
  }
}

static void get_renewal(frame_input *in, void *element) {
  fc_frame_lease_renewal *renewal = element;
  get_text(in, renewal->machine, sizeof renewal->machine);
  renewal->age_ms = get_u32(in);
  renewal->bidirectional = get_bool(in);
  renewal->epoch = get_u64(in);
  renewal->sequence = get_u64(in);
}

static fc_frame_lease_renewal *get_renewals(frame_input *in, size_t *count) {
  size_t stated = get_u32(in);
  return get_list(in, stated, SIZE_MAX, RENEWAL_SIZE_MIN, sizeof(fc_frame_lease_renewal), get_renewal, count);
}

static void put_probes(GByteArray *out, const fc_frame_probe *probes, size_t count) {
  put_u32(out, (uint32_t)count);
  for (size_t i = 0; i < count; i++) {
    put_text(out, probes[i].machine);
    put_u32(out, probes[i].age_ms);
    put_u8(out, probes[i].answered);
  }
}

static void get_probe(frame_input *in, void *element) {
  fc_frame_probe *probe = element;
  get_text(in, probe->machine, sizeof probe->machine);
  probe->age_ms = get_u32(in);
  probe->answered = get_bool(in);
}

static fc_frame_probe *get_probes(frame_input *in, size_t *count) {
  size_t stated = get_u32(in);
  return get_list(in, stated, SIZE_MAX, PROBE_SIZE_MIN, sizeof(fc_frame_probe), get_probe, count);
}

/* ---- the head, and the first fields of both frames ---- */

static guint begin_frame(GByteArray *out, fc_frame_type type) {
  guint start = out->len;
  put_u16(out, FRAME_MAGIC);
  put_u8(out, FC_FRAME_VERSION);
  put_u8(out, (uint8_t)type);
  put_u32(out, 0); /* the length, set by finish_frame() */
  return start;
}

static void finish_frame(GByteArray *out, guint start) {
  guint32 length = GUINT32_TO_BE(out->len - start - FC_FRAME_HEAD_BYTES);
  memcpy(out->data + start + LENGTH_OFFSET, &length, sizeof length);
}

bool fc_frame_is_http(const uint8_t head[FC_FRAME_HEAD_BYTES]) {
  return memcmp(head, "GET /", 5) == 0;
}

bool fc_frame_head_decode(const uint8_t head[FC_FRAME_HEAD_BYTES], fc_frame_type *type, uint32_t *length) {
  frame_input in = {.next = head, .left = FC_FRAME_HEAD_BYTES};
  uint16_t magic = get_u16(&in);
  uint8_t version = get_u8(&in);
  uint8_t stated_type = get_u8(&in);
  *length = get_u32(&in);
  *type = (fc_frame_type)stated_type;
  bool known_type = stated_type == FC_FRAME_VIEW || stated_type == FC_FRAME_ACK;
  return magic == FRAME_MAGIC && version == FC_FRAME_VERSION && known_type && *length <= FC_FRAME_BODY_MAX_BYTES;
}

/* The fields that both frames begin with: the process that sent the frame, its term, and the number of
 * the view. */
static void put_common_fields(GByteArray *out, const char *sender, uint64_t incarnation, uint64_t term,
                              uint64_t sequence) {
  put_text(out, sender);
  put_u64(out, incarnation);
  put_u64(out, term);
  put_u64(out, sequence);
}

static void get_common_fields(frame_input *in, char sender[FC_NAME_SIZE], uint64_t *incarnation, uint64_t *term,
                              uint64_t *sequence) {
  get_text(in, sender, FC_NAME_SIZE);
  *incarnation = get_u64(in);
  *term = get_u64(in);
  *sequence = get_u64(in);
}

static bool decoded_completely(const frame_input *in) {
  return !in->malformed && in->left == 0;
}

/* ---- views ---- */

void fc_view_encode(GByteArray *out, const fc_view *view) {
  guint start = begin_frame(out, FC_FRAME_VIEW);
  put_common_fields(out, view->sender, view->incarnation, view->term, view->sequence);
  put_u64(out, view->base);
  put_u32(out, view->piece);
  put_u8(out, view->last);
  put_u16(out, view->backlog);
  put_u64(out, view->revision);
  put_cancellations(out, view->cancellations, view->cancellation_count);
  put_machines(out, view->machines, view->machine_count);
  finish_frame(out, start);
}

bool fc_view_decode(const uint8_t *body, size_t length, fc_view *out) {
  memset(out, 0, sizeof *out);
  frame_input in = {.next = body, .left = length};
  get_common_fields(&in, out->sender, &out->incarnation, &out->term, &out->sequence);
  out->base = get_u64(&in);
  out->piece = get_u32(&in);
  out->last = get_bool(&in);
  out->backlog = get_u16(&in);
  out->revision = get_u64(&in);
  out->cancellations = get_cancellations(&in, &out->cancellation_count);
  out->machines = get_machines(&in, &out->machine_count);
  if (decoded_completely(&in)) return true;
  fc_view_clear(out);
  return false;
}

void fc_view_clear(fc_view *view) {
  for (size_t i = 0; i < view->machine_count; i++) g_free(view->machines[i].tasks);
  g_free(view->machines);
  g_free(view->cancellations);
  memset(view, 0, sizeof *view);
}

/* ---- acknowledgements ---- */

void fc_ack_encode(GByteArray *out, const fc_ack *ack) {
  guint start = begin_frame(out, FC_FRAME_ACK);
  put_common_fields(out, ack->sender, ack->incarnation, ack->term, ack->sequence);
  put_u8(out, ack->applied);
  put_u32(out, ack->grant_ms);
  put_u32(out, ack->no_cancellation_ms);
  put_u32(out, ack->kv_read_age_ms);
  put_u64(out, ack->revision);
  put_u8(out, ack->cancellations_complete);
  put_cancellations(out, ack->cancellations, ack->cancellation_count);
  put_renewals(out, ack->renewals, ack->renewal_count);
  put_probes(out, ack->probes, ack->probe_count);
  finish_frame(out, start);
}

bool fc_ack_decode(const uint8_t *body, size_t length, fc_ack *out) {
  memset(out, 0, sizeof *out);
  frame_input in = {.next = body, .left = length};
  get_common_fields(&in, out->sender, &out->incarnation, &out->term, &out->sequence);
  out->applied = get_bool(&in);
  out->grant_ms = get_u32(&in);
  out->no_cancellation_ms = get_u32(&in);
  out->kv_read_age_ms = get_u32(&in);
  out->revision = get_u64(&in);
  out->cancellations_complete = get_bool(&in);
  out->cancellations = get_cancellations(&in, &out->cancellation_count);
  out->renewals = get_renewals(&in, &out->renewal_count);
  out->probes = get_probes(&in, &out->probe_count);
  if (decoded_completely(&in)) return true;
  fc_ack_clear(out);
  return false;
}

void fc_ack_clear(fc_ack *ack) {
  g_free(ack->renewals);
  g_free(ack->probes);
  g_free(ack->cancellations);
  memset(ack, 0, sizeof *ack);
}
