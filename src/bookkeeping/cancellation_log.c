#include "bookkeeping/cancellation_log.h"

struct fc_cancellation_log {
  GArray *list;     /* fc_cancellation, by revision */
  uint64_t dropped; /* up to here nothing is listed */
};

fc_cancellation_log *fc_cancellation_log_new(void) {
  fc_cancellation_log *cancellations = g_new0(fc_cancellation_log, 1);
  cancellations->list = g_array_new(FALSE, TRUE, sizeof(fc_cancellation));
  return cancellations;
}

void fc_cancellation_log_free(fc_cancellation_log *cancellations) {
  if (!cancellations) return;
  g_array_free(cancellations->list, TRUE);
  g_free(cancellations);
}

/* The first that is newer than `revision`. */
static guint newer_than(const fc_cancellation_log *cancellations, uint64_t revision) {
  guint low = 0, high = cancellations->list->len;
  while (low < high) {
    guint mid = low + (high - low) / 2;
    if (g_array_index(cancellations->list, fc_cancellation, mid).revision > revision) {
      high = mid;
    } else {
      low = mid + 1;
    }
  }
  return low;
}

static void drop(fc_cancellation_log *cancellations, guint count) {
  if (count == 0) return;
  cancellations->dropped =
      MAX(cancellations->dropped, g_array_index(cancellations->list, fc_cancellation, count - 1).revision);
  g_array_remove_range(cancellations->list, 0, count);
}

bool fc_cancellation_log_add(fc_cancellation_log *cancellations, const char *job, uint64_t revision, double at) {
  if (revision <= cancellations->dropped) return false;
  guint end = newer_than(cancellations, revision);
  /* One transaction may cancel several jobs. */
  for (guint i = end; i-- > 0 && g_array_index(cancellations->list, fc_cancellation, i).revision == revision;)
    if (g_str_equal(g_array_index(cancellations->list, fc_cancellation, i).job, job)) return false;
  fc_cancellation n = {.revision = revision, .since = at};
  g_strlcpy(n.job, job, sizeof n.job);
  g_array_insert_val(cancellations->list, end, n);
  /* Those of one transaction go together, or what is left of it would seem to be all. */
  if (cancellations->list->len > FC_FRAME_CANCELLATIONS_MAX)
    drop(cancellations, newer_than(cancellations, g_array_index(cancellations->list, fc_cancellation, 0).revision));
  return true;
}

bool fc_cancellation_log_since(const fc_cancellation_log *cancellations, uint64_t revision,
                               const fc_cancellation **first, size_t *count) {
  guint from = newer_than(cancellations, revision);
  *count = cancellations->list->len - from;
  *first = *count ? &g_array_index(cancellations->list, fc_cancellation, from) : NULL;
  return revision >= cancellations->dropped;
}

void fc_cancellation_log_trim(fc_cancellation_log *cancellations, uint64_t revision) {
  drop(cancellations, newer_than(cancellations, revision));
}

fc_frame_cancellation *fc_cancellations_to_frame(const fc_cancellation *first, size_t count, double now) {
  fc_frame_cancellation *out = g_new0(fc_frame_cancellation, count);
  for (size_t i = 0; i < count; i++) {
    g_strlcpy(out[i].job, first[i].job, sizeof out[i].job);
    out[i].revision = first[i].revision;
    out[i].age_ms = (uint32_t)(MIN(MAX(now - first[i].since, 0), 1e6) * 1000);
  }
  return out;
}
