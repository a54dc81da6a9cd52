#include "bookkeeping/cancels.h"

struct fc_cancels {
  GArray *list;     /* fc_cancel, by revision */
  uint64_t dropped; /* up to here nothing is listed */
};

fc_cancels *fc_cancels_new(void) {
  fc_cancels *c = g_new0(fc_cancels, 1);
  c->list = g_array_new(FALSE, TRUE, sizeof(fc_cancel));
  return c;
}

void fc_cancels_free(fc_cancels *c) {
  if (!c) return;
  g_array_free(c->list, TRUE);
  g_free(c);
}

/* The first that is newer than `revision`. */
static guint newer_than(const fc_cancels *c, uint64_t revision) {
  guint low = 0, high = c->list->len;
  while (low < high) {
    guint mid = low + (high - low) / 2;
    if (g_array_index(c->list, fc_cancel, mid).revision > revision) {
      high = mid;
    } else {
      low = mid + 1;
    }
  }
  return low;
}

static void drop(fc_cancels *c, guint count) {
  if (count == 0) return;
  c->dropped = MAX(c->dropped, g_array_index(c->list, fc_cancel, count - 1).revision);
  g_array_remove_range(c->list, 0, count);
}

bool fc_cancels_note(fc_cancels *c, const char *job, uint64_t revision, double at) {
  if (revision <= c->dropped) return false;
  guint end = newer_than(c, revision);
  /* One transaction may cancel several jobs. */
  for (guint i = end; i-- > 0 && g_array_index(c->list, fc_cancel, i).revision == revision;)
    if (g_str_equal(g_array_index(c->list, fc_cancel, i).job, job)) return false;
  fc_cancel n = {.revision = revision, .at = at};
  g_strlcpy(n.job, job, sizeof n.job);
  g_array_insert_val(c->list, end, n);
  /* Those of one transaction go together, or what is left of it would seem to be all. */
  if (c->list->len > FC_FRAME_CANCELS_MOST) drop(c, newer_than(c, g_array_index(c->list, fc_cancel, 0).revision));
  return true;
}

bool fc_cancels_since(const fc_cancels *c, uint64_t revision, const fc_cancel **first, size_t *count) {
  guint from = newer_than(c, revision);
  *count = c->list->len - from;
  *first = *count ? &g_array_index(c->list, fc_cancel, from) : NULL;
  return revision >= c->dropped;
}

void fc_cancels_read(fc_cancels *c, uint64_t revision) {
  drop(c, newer_than(c, revision));
}

fc_frame_cancel *fc_cancels_frame(const fc_cancel *first, size_t count, double now) {
  fc_frame_cancel *out = g_new0(fc_frame_cancel, count);
  for (size_t i = 0; i < count; i++) {
    g_strlcpy(out[i].job, first[i].job, sizeof out[i].job);
    out[i].revision = first[i].revision;
    out[i].age_ms = (uint32_t)(MIN(MAX(now - first[i].at, 0), 1e6) * 1000);
  }
  return out;
}
