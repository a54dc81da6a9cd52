#include "controller/decided_write.h"

#define RETRY_PAUSE_HEARTBEATS 0.1

static void wait_for_revision(fc_kv_watch *watch, uint64_t revision, double heartbeat_s) {
  while (!fc_kv_watch_wait_revision(watch, revision, fc_now() + heartbeat_s) && !fc_routine_cancelled()) {
  }
}

static void wait_for_fresh_read(fc_kv_watch *watch, double heartbeat_s) {
  while (!fc_kv_watch_wait_fresh(watch, fc_now() + heartbeat_s) && !fc_routine_cancelled()) {
  }
}

void fc_decided_write(const fc_cluster *cluster, fc_group_commit *commit, fc_kv_watch *watch, fc_make_write_fn make,
                      const void *arg) {
  double heartbeat_s = cluster->settings->heartbeat_s;
  bool maybe_executed = false;
  while (!fc_routine_cancelled()) {
    fc_write *write = make(cluster, arg);
    if (!write) break;
    uint64_t revision = 0;
    fc_kv_result result =
        fc_group_commit_write(commit, write, FC_WRITE_PRIORITY_DECISION, fc_now() + heartbeat_s, &revision);
    if (result == FC_KV_OK) {
      wait_for_revision(watch, revision, heartbeat_s);
      return;
    }
    if (result == FC_KV_CONFLICT) break;
    maybe_executed |= result == FC_KV_UNKNOWN;
    if (!maybe_executed) return;
    (void)fc_routine_sleep(heartbeat_s * RETRY_PAUSE_HEARTBEATS);
  }
  /* The conflict may be with an earlier copy of this write, whose effect has to be read first. */
  wait_for_fresh_read(watch, heartbeat_s);
}
