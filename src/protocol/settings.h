/* The platform's settings file (JSON) and the operators' own (TOML). Both are read once, at the
 * start; all strings live as long as the process. Times are in seconds, `_rps` are requests a
 * second. */
#ifndef FC_PROTOCOL_SETTINGS_H
#define FC_PROTOCOL_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>

#include "transport/conn.h"

#define FC_MEMBERS_MAX 16
#define FC_ZONES_MAX 16
#define FC_TEAMS_MAX 64
#define FC_OBJECTIVES_MAX 64

typedef struct fc_peer_settings {
  char *name;
  char *zone;
  fc_endpoint peer_at;
} fc_peer_settings;

typedef struct fc_team_settings {
  char *name;
  double cpus, gpus;         /* guaranteed; 0: none */
  double cpus_max, gpus_max; /* 0: no limit */
} fc_team_settings;

typedef struct fc_objective {
  char *kind;
  char *class_name; /* NULL: none named */
  double within_s, share;
} fc_objective;

/* The operators' own; each has a default. */
typedef struct fc_operator_settings {
  double round_s;            /* between rounds of placement */
  double handover_wait_s;    /* how long a job is pending before it is transferred to a shard with idle capacity */
  unsigned split_limit;      /* slices that an array may be split into */
  double member_lease_share; /* duration of a member's lease, as a share of the workers' */
  double idle_keep_share;    /* idle time before release, as a share of boot time and minimum charge */
  double over_keep_s;        /* how long an ended job stays in memory */
  double warm_deviations;    /* reserve for arrivals: standard deviations of those during a boot */
  bool rent;                 /* whether to rent machines */
} fc_operator_settings;

typedef struct fc_settings {
  char *name;
  char *zone;
  fc_endpoint client_at, peer_at, cloud_at, kv_at;
  fc_peer_settings peers[FC_MEMBERS_MAX];
  size_t peer_count;
  char *zones[FC_ZONES_MAX];
  size_t zone_count;
  fc_team_settings teams[FC_TEAMS_MAX];
  size_t team_count;
  fc_objective objectives[FC_OBJECTIVES_MAX];
  size_t objective_count;
  double heartbeat_s, lease_s, gang_wait_s, gang_peer_s, cancel_s;
  /* Limits of the key-value store. It may lower them to those of `state.next` at any moment:
   * sizes and requests keep to the smaller of both from the start, the write rate is lowered
   * once a write is refused. */
  double kv_rps, kv_value_kb;
  unsigned kv_txn_ops;
  double kv_write_rps, kv_next_write_rps;
  double cloud_rps, cloud_list_lag_s;
  double cpu; /* share of one core */
  double memory_mb;
  unsigned fd_limit;
  fc_operator_settings operator_settings;
} fc_settings;

/* False with one line that names the faulty field in `error`. */
bool fc_settings_load(const char *path, fc_settings *out, char *error, size_t error_size);
bool fc_operator_load(const char *path, fc_operator_settings *out, char *error, size_t error_size);
/* One line, a constant, about a limit under which the service works but has little room for a
 * larger fleet; NULL: there is none. */
const char *fc_settings_warning(const fc_settings *settings);
void fc_operator_defaults(fc_operator_settings *out);
/* Bytes that a value may have in the key-value store, now and later. */
size_t fc_settings_value_bytes(const fc_settings *settings);
/* The index of a team; -1: unknown. */
int fc_settings_team(const fc_settings *settings, const char *name);
/* The index of a zone; FC_ZONES_MAX: unknown. */
unsigned fc_settings_zone(const fc_settings *settings, const char *name);

#endif
