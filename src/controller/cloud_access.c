#include "controller/cloud_access.h"

#include "bookkeeping/token_bucket.h"
#include "transport/routine.h"

/* Shares of the cloud's request rate: the first member of the term, which sends the requests to rent, gets one half;
 * the other members divide the rest evenly. */
#define RENTING_MEMBER_SHARE 0.5
#define OTHER_MEMBERS_SHARE 0.5

#define MIN_BURST 1.0 /* a request takes a whole token */

struct fc_cloud_access {
  const fc_cluster *cluster;
  const fc_leadership *leadership;
  fc_cloud *client;
  fc_token_bucket budget;
};

fc_cloud_access *fc_cloud_access_new(const fc_cluster *cluster, const fc_leadership *leadership) {
  const fc_settings *settings = cluster->settings;
  double even_share = settings->cloud_rps / (double)(settings->peer_count + 1);
  fc_cloud_access *access = g_new0(fc_cloud_access, 1);
  access->cluster = cluster;
  access->leadership = leadership;
  access->client = fc_cloud_new(&settings->cloud_at);
  fc_token_bucket_init(&access->budget, even_share, MAX(MIN_BURST, even_share), fc_now());
  return access;
}

fc_cloud *fc_cloud_access_client(const fc_cloud_access *access) {
  return access->client;
}

static double rate_share(const fc_cluster *cluster) {
  if (cluster->membership.self == 0) return RENTING_MEMBER_SHARE;
  return OTHER_MEMBERS_SHARE / MAX(1.0, (double)cluster->settings->peer_count);
}

bool fc_cloud_access_acquire(fc_cloud_access *access) {
  access->budget.per_s = access->cluster->settings->cloud_rps * rate_share(access->cluster);
  double wait_s = 0;
  while ((wait_s = fc_token_bucket_wait(&access->budget, 1, 0, fc_now())) > 0)
    if (fc_routine_sleep(wait_s) == FC_WAKE_CANCELLED) return false;
  return fc_token_bucket_take(&access->budget, 1, 0, fc_now());
}

bool fc_cloud_access_acquire_as_leader(fc_cloud_access *access) {
  return fc_cloud_access_acquire(access) && fc_leadership_held(access->leadership);
}
