#include "protocol/task_ranges.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/job.h"

/* A range of tasks, both ends inclusive. */
typedef struct task_range {
  uint32_t first, last;
} task_range;

/* Finds the first range of set bits at or after task `from`. Returns false if there is none. */
static bool find_range(const uint8_t *bitmap, uint32_t tasks, uint32_t from, task_range *out) {
  uint32_t first = from;
  while (first < tasks && !fc_task_bitmap_has(bitmap, first)) first++;
  if (first >= tasks) return false;
  uint32_t last = first;
  while (last + 1 < tasks && fc_task_bitmap_has(bitmap, last + 1)) last++;
  *out = (task_range){first, last};
  return true;
}

uint32_t fc_task_bitmap_count(const uint8_t *bitmap, uint32_t tasks) {
  uint32_t count = 0;
  for (uint32_t index = 0; index < tasks; index++) count += fc_task_bitmap_has(bitmap, index);
  return count;
}

/* ---- encoding ---- */

static void append_range(GString *text, const task_range *range) {
  if (text->len) g_string_append_c(text, ',');
  g_string_append_printf(text, "%u", range->first);
  if (range->last > range->first) g_string_append_printf(text, "-%u", range->last);
}

char *fc_ranges_encode(const uint8_t *bitmap, uint32_t tasks) {
  GString *text = g_string_new(NULL);
  task_range range;
  for (uint32_t from = 0; find_range(bitmap, tasks, from, &range); from = range.last + 1) append_range(text, &range);
  return g_string_free(text, FALSE);
}

/* ---- retaining a part of the ranges ---- */

static uint32_t range_length(const task_range *range) {
  return range->last - range->first + 1;
}

/* Longest first; of equal length the lowest task numbers first, which have the fewest digits. */
static gint compare_lengths(gconstpointer left, gconstpointer right) {
  const task_range *left_range = left, *right_range = right;
  uint32_t left_length = range_length(left_range), right_length = range_length(right_range);
  if (left_length != right_length) return left_length > right_length ? -1 : 1;
  return left_range->first < right_range->first ? -1 : left_range->first > right_range->first;
}

static GArray *list_ranges(const uint8_t *bitmap, uint32_t tasks) {
  GArray *ranges = g_array_new(FALSE, FALSE, sizeof(task_range));
  task_range range;
  for (uint32_t from = 0; find_range(bitmap, tasks, from, &range); from = range.last + 1)
    g_array_append_val(ranges, range);
  return ranges;
}

/* Bytes of the range in an encoded list, with a comma. */
static size_t encoded_bytes(const task_range *range) {
  char text[32];
  const char *format = range->last > range->first ? "%u-%u," : "%u,";
  return (size_t)g_snprintf(text, sizeof text, format, range->first, range->last);
}

void fc_task_bitmap_retain_longest(uint8_t *bitmap, uint32_t tasks, size_t max_bytes) {
  GArray *ranges = list_ranges(bitmap, tasks);
  g_array_sort(ranges, compare_lengths);
  memset(bitmap, 0, fc_task_bitmap_bytes(tasks));
  size_t room = max_bytes + 1; /* the last range has no comma */
  for (guint i = 0; i < ranges->len; i++) {
    const task_range *range = &g_array_index(ranges, task_range, i);
    size_t bytes = encoded_bytes(range);
    if (bytes > room) continue;
    room -= bytes;
    for (uint32_t index = range->first; index <= range->last; index++) fc_task_bitmap_set(bitmap, index);
  }
  g_array_free(ranges, TRUE);
}

/* ---- decoding ---- */

static bool read_task_number(const char **next, uint32_t *number) {
  if (!g_ascii_isdigit(**next)) return false;
  char *end = NULL;
  unsigned long parsed = strtoul(*next, &end, 10);
  if (parsed > FC_TASKS_MAX) return false;
  *next = end;
  *number = (uint32_t)parsed;
  return true;
}

bool fc_ranges_decode(const char *text, uint8_t *bitmap, uint32_t tasks) {
  const char *next = text;
  while (*next) {
    uint32_t first = 0;
    if (!read_task_number(&next, &first)) return false;
    uint32_t last = first;
    if (*next == '-') {
      next++;
      if (!read_task_number(&next, &last)) return false;
    }
    if (last < first || last >= tasks) return false;
    for (uint32_t index = first; index <= last; index++) fc_task_bitmap_set(bitmap, index);
    if (*next == '\0') return true;
    if (*next != ',') return false;
    next++;
    if (*next == '\0') return false; /* nothing after the comma */
  }
  return true;
}
