#include "controller/wakeups.h"

#include <glib.h>

struct fc_wakeups {
  fc_cond raised[FC_WAKEUPS];
  uint64_t count[FC_WAKEUPS];
};

fc_wakeups *fc_wakeups_new(void) {
  return g_new0(fc_wakeups, 1);
}

void fc_wakeups_free(fc_wakeups *wakeups) {
  g_free(wakeups);
}

void fc_wakeups_raise(fc_wakeups *wakeups, fc_wakeup kind) {
  wakeups->count[kind]++;
  fc_cond_broadcast(&wakeups->raised[kind]);
}

uint64_t fc_wakeups_count(const fc_wakeups *wakeups, fc_wakeup kind) {
  return wakeups->count[kind];
}

fc_wake fc_wakeups_wait(fc_wakeups *wakeups, fc_wakeup kind, double deadline) {
  return fc_cond_wait(&wakeups->raised[kind], deadline);
}
