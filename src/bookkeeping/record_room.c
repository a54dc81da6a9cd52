#include "bookkeeping/record_room.h"

#include <string.h>

#include "protocol/json.h"

/* Bytes of the field of completed tasks without their numbers: ,"done":"" */
#define DONE_FIELD_BYTES 10u

/* Terms are handed over in later terms, whose numbers may have a digit more. */
#define TERM_NUMBER_GROWTH 10u

/* Stands for a name that a record must have, but nobody reads once the job has ended. */
static char g_placeholder[] = "-";

static size_t record_bytes(const fc_job_record *record) {
  json_auto_t *value = fc_job_record_encode(record);
  return fc_json_encoded_bytes(value);
}

/* ---- what a record may grow to ---- */

static const char *longer_name(const char *left, const char *right) {
  return strlen(left) >= strlen(right) ? left : right;
}

static const char *longest_member_name(const fc_cluster *cluster) {
  const fc_settings *settings = cluster->settings;
  const fc_term *term = &cluster->membership.term;
  const char *longest = settings->name;
  for (size_t i = 0; i < settings->peer_count; i++) longest = longer_name(longest, settings->peers[i].name);
  for (size_t i = 0; i < term->count; i++) longest = longer_name(longest, term->members[i].name);
  return longest;
}

static size_t bytes_in_phase(const fc_job_record *record, fc_job_phase phase) {
  fc_job_record changed = *record;
  changed.phase = phase;
  return record_bytes(&changed);
}

/* The largest size that the record may reach without completed tasks. */
static size_t longest_bytes(const fc_cluster *cluster, const fc_job_record *record) {
  fc_job_record longest = *record;
  longest.done = NULL;
  longest.origin.handed_over = longest.origin.partly_known = (1u << record->slices) - 1;
  for (unsigned slice = 0; slice < record->slices; slice++) {
    longest.handed_to[slice] = (char *)longest_member_name(cluster);
    longest.origin.last_handover[slice].term = cluster->membership.term.number * TERM_NUMBER_GROWTH;
    longest.origin.last_handover[slice].members = (1u << FC_MEMBERS_MAX) - 1;
  }
  size_t cancelled = bytes_in_phase(&longest, FC_PHASE_CANCELLED);
  /* Only the record of an accepted job lists its dependencies. */
  return record->awaiting ? MAX(cancelled, bytes_in_phase(&longest, FC_PHASE_ACCEPTED)) : cancelled;
}

size_t fc_job_record_completions_room(const fc_cluster *cluster, const fc_job_record *record) {
  size_t reserved = longest_bytes(cluster, record) + DONE_FIELD_BYTES;
  size_t max_bytes = fc_value_limit_bytes(&cluster->value_limit);
  return reserved < max_bytes ? max_bytes - reserved : 0;
}

unsigned fc_job_record_slices_with_room(const fc_cluster *cluster, const fc_job_record *record) {
  fc_job_record fewer = *record;
  while (fewer.slices > 0 && fc_job_record_completions_room(cluster, &fewer) == 0) fewer.slices /= 2;
  return fewer.slices;
}

/* ---- encoding within a limit ---- */

/* Encodes the record with as many of the completed tasks as fit. NULL: too large without any. */
static json_t *encode_shortened(const fc_job_record *record, const uint8_t *completed, size_t max_bytes) {
  uint32_t tasks = record->spec.tasks, done = fc_task_bitmap_count(completed, tasks);
  fc_job_record shortened = *record;
  shortened.done = NULL;
  if (record->phase != FC_PHASE_ACCEPTED) shortened.done_count = done;
  size_t bytes = record_bytes(&shortened) + DONE_FIELD_BYTES;
  if (bytes > max_bytes) return NULL;
  uint8_t *retained = g_memdup2(completed, fc_task_bitmap_bytes(tasks));
  fc_task_bitmap_retain_longest(retained, tasks, max_bytes - bytes);
  shortened.done = fc_ranges_encode(retained, tasks);
  if (fc_task_bitmap_count(retained, tasks) == done) shortened.done_count = 0;
  json_t *value = fc_job_record_encode(&shortened);
  g_free(shortened.done);
  g_free(retained);
  return value;
}

/* A copy, borrowing the record's strings, without what only matters for starting tasks. The resources and
 * the team stay: tasks that still run use them. */
static fc_job_record without_placement(const fc_job_record *record) {
  fc_job_record ended = *record;
  ended.spec.class_name = ended.spec.image = g_placeholder;
  ended.spec.types = ended.spec.dependencies = NULL;
  ended.spec.zone = NULL;
  ended.spec.image_gb = ended.spec.estimate_s = ended.spec.checkpoint_s = ended.spec.save_s = 0;
  ended.spec.deadline_s = -1;
  memset(ended.handed_to, 0, sizeof ended.handed_to);
  ended.origin = (fc_job_origin){.term = record->origin.term};
  return ended;
}

json_t *fc_job_record_encode_within(const fc_job_record *record, const uint8_t *completed, size_t max_bytes) {
  fc_job_record whole = *record;
  whole.done = fc_ranges_encode(completed, record->spec.tasks);
  json_t *value = fc_job_record_encode(&whole);
  g_free(whole.done);
  if (fc_json_encoded_bytes(value) <= max_bytes) return value;
  json_decref(value);
  value = encode_shortened(record, completed, max_bytes);
  if (value || record->phase == FC_PHASE_ACCEPTED) return value;
  const fc_job_record ended = without_placement(record);
  return encode_shortened(&ended, completed, max_bytes);
}
