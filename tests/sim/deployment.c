/* Settings of the simulated controllers, and the versions that they run. The former version knows
 * neither pipelines nor announced limits of the key-value store. */
#include "deployment.h"

#include <arpa/inet.h>

#include "stand_ins.h"

#define KEEP_IDLE_SHARE 1e6    /* keeps all idle machines */
#define RETURN_IDLE_SHARE 0.01 /* keeps no idle machine */
#define TEAM_GPUS_MAX 100      /* quota of a team that is added; its shares have many digits */
#define DAY_OVER_KEEP_S 20     /* short, so that jobs are archived during faults */

static fc_settings g_settings[WORLD_NODES];

/* Limits of the key-value store. */
typedef struct kv_limits {
  double value_kb;
  unsigned txn_ops;
  double write_rps;
} kv_limits;

static kv_limits g_initial_limits, g_announced_limits;
enum { CURRENT_VERSION, FORMER_VERSION };
static bool g_former[WORLD_NODES];

fc_settings *deployment_settings(unsigned node) {
  return &g_settings[node];
}

/* ---- settings ---- */

/* The second controller is in the second zone. */
static char *zone_name(int node) {
  return (char *)k_zones[node == 1];
}

static void set_addresses(fc_settings *settings, int node) {
  settings->name = g_strdup_printf("paddock-%d", node);
  settings->zone = zone_name(node);
  settings->client_at = (fc_endpoint){htonl(WORLD_NODE_IP(node)), 8080};
  settings->peer_at = (fc_endpoint){htonl(WORLD_NODE_IP(node)), 8081};
  settings->cloud_at = (fc_endpoint){htonl(WORLD_CLOUD_IP), 8443};
  settings->kv_at = (fc_endpoint){htonl(WORLD_KV_IP), 2379};
  for (int peer_node = 0; peer_node < WORLD_NODES; peer_node++) {
    if (peer_node == node) continue;
    fc_peer_settings *peer = &settings->peers[settings->peer_count++];
    peer->name = g_strdup_printf("paddock-%d", peer_node);
    peer->zone = zone_name(peer_node);
    peer->peer_at = (fc_endpoint){htonl(WORLD_NODE_IP(peer_node)), 8081};
  }
}

static void set_zones_and_teams(fc_settings *settings) {
  settings->zone_count = ZONES;
  settings->zones[0] = (char *)k_zones[0];
  settings->zones[1] = (char *)k_zones[1];
  settings->team_count = 2;
  settings->teams[0] = (fc_team_settings){.name = (char *)"red", .gpus = 8};
  settings->teams[1] = (fc_team_settings){.name = (char *)"blue", .gpus = 6, .gpus_max = BLUE_GPUS_MAX};
}

static void set_durations_and_limits(fc_settings *settings) {
  settings->heartbeat_s = HEARTBEAT_S;
  settings->lease_s = LEASE_S;
  settings->cancel_s = CANCEL_DEADLINE_S;
  settings->gang_wait_s = GANG_WAIT_S;
  settings->gang_peer_s = GANG_PEER_S;
  settings->kv_rps = 120;
  settings->kv_write_rps = settings->kv_next_write_rps = 40;
  settings->kv_value_kb = 8;
  settings->kv_txn_ops = 8;
  settings->cloud_rps = 4;
  settings->memory_mb = 56;
  settings->cpu = 0.08;
  settings->fd_limit = 900;
}

static void set_defaults(int node) {
  fc_settings *settings = &g_settings[node];
  memset(settings, 0, sizeof *settings);
  set_addresses(settings, node);
  set_zones_and_teams(settings);
  set_durations_and_limits(settings);
  fc_operator_defaults(&settings->operator_settings);
  settings->operator_settings.over_keep_s = DAY_OVER_KEEP_S;
}

void deployment_init(void) {
  memset(g_former, 0, sizeof g_former);
  for (int node = 0; node < WORLD_NODES; node++) set_defaults(node);
  const fc_settings *settings = &g_settings[0];
  g_initial_limits = g_announced_limits =
      (kv_limits){settings->kv_value_kb, settings->kv_txn_ops, settings->kv_write_rps};
}

void world_keep_idle(void) {
  for (int node = 0; node < WORLD_NODES; node++) g_settings[node].operator_settings.idle_keep_share = KEEP_IDLE_SHARE;
}

void world_release_idle(void) {
  for (int node = 0; node < WORLD_NODES; node++) g_settings[node].operator_settings.idle_keep_share = RETURN_IDLE_SHARE;
}

void world_archive_after(double for_s) {
  for (int node = 0; node < WORLD_NODES; node++) g_settings[node].operator_settings.over_keep_s = for_s;
}

void world_set_blue_quota(double cpus, double gpus) {
  for (int node = 0; node < WORLD_NODES; node++) {
    g_settings[node].teams[1].cpus_max = cpus;
    g_settings[node].teams[1].gpus_max = gpus;
  }
}

void world_add_teams(unsigned count) {
  for (int node = 0; node < WORLD_NODES; node++) {
    fc_settings *settings = &g_settings[node];
    for (unsigned i = 0; i < count; i++)
      settings->teams[settings->team_count++] =
          (fc_team_settings){.name = g_strdup_printf("team-%u", i), .gpus_max = TEAM_GPUS_MAX};
  }
}

void world_large(unsigned machines) {
  world_capacity(machines / ZONES, 0);
  world_keep_idle();
  for (int node = 0; node < WORLD_NODES; node++) {
    fc_settings *settings = &g_settings[node];
    settings->kv_rps = 500;
    settings->kv_write_rps = settings->kv_next_write_rps = machines;
    settings->kv_txn_ops = 24;
    world_kv_limit(settings->kv_value_kb, settings->kv_txn_ops, 0);
    kv_set_announced_limits(settings->kv_value_kb, settings->kv_txn_ops);
    settings->fd_limit = machines * 2;
    settings->cloud_rps = 6;
    settings->teams[0].gpus = machines;
    settings->teams[1].gpus = settings->teams[1].gpus_max = 0;
    settings->operator_settings.rent = false;
  }
}

void world_large_constrained(unsigned machines) {
  world_large(machines);
  for (int node = 0; node < WORLD_NODES; node++) {
    fc_settings *settings = &g_settings[node];
    settings->kv_rps = 100;
    settings->kv_write_rps = settings->kv_next_write_rps = 40;
    settings->cloud_rps = 2;
    settings->memory_mb = 27;
    settings->cpu = 0.024;
    settings->fd_limit = 900;
    fc_operator_settings defaults;
    fc_operator_defaults(&defaults);
    settings->operator_settings.over_keep_s = defaults.over_keep_s;
  }
}

/* ---- versions ---- */

/* A version without announced limits keeps to the initial ones. */
static void set_known_limits(unsigned node) {
  const kv_limits *known = g_former[node] ? &g_initial_limits : &g_announced_limits;
  fc_settings *settings = &g_settings[node];
  settings->kv_value_kb = known->value_kb;
  settings->kv_txn_ops = known->txn_ops;
  settings->kv_next_write_rps = known->write_rps;
}

void world_kv_announce_limits(double value_kb, unsigned txn_ops, double write_rps) {
  const fc_settings *settings = &g_settings[0];
  g_announced_limits = (kv_limits){MIN(settings->kv_value_kb, value_kb), MIN(settings->kv_txn_ops, txn_ops),
                                   MIN(settings->kv_write_rps, write_rps)};
  kv_set_announced_limits(g_announced_limits.value_kb, g_announced_limits.txn_ops);
  for (unsigned node = 0; node < WORLD_NODES; node++) set_known_limits(node);
}

void world_former_version(void) {
  for (unsigned node = 0; node < WORLD_NODES; node++) {
    g_former[node] = true;
    set_known_limits(node);
  }
}

void deployment_set_former(unsigned node, bool former) {
  g_former[node] = former;
  set_known_limits(node);
}

bool world_is_former(unsigned node) {
  return g_former[node];
}

bool world_any_former(void) {
  for (unsigned node = 0; node < WORLD_NODES; node++)
    if (g_former[node]) return true;
  return false;
}

unsigned deployment_version_at(uint32_t ip) {
  int node = links_controller_at(ip);
  return node >= 0 && g_former[node] ? FORMER_VERSION : CURRENT_VERSION;
}

/* Uses the version that sent the request, not the one that runs there when it arrives: otherwise
 * transactions of the former version that arrive after its upgrade are checked against limits unknown to it. */
bool world_sent_by_former(const struct sim_exchange *exchange) {
  return sim_sender_tag(exchange) == FORMER_VERSION;
}
