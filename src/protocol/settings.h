/* Reads the platform's settings file (JSON) and the operators' settings file (TOML). Both are read
 * once, at the start; all strings live as long as the process. Times are in seconds, `_rps` are
 * requests per second. */
#ifndef FC_PROTOCOL_SETTINGS_H
#define FC_PROTOCOL_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>

#include "transport/conn.h"

#define FC_MEMBERS_MAX 16
#define FC_ZONES_MAX 16
#define FC_TEAMS_MAX 64
#define FC_OBJECTIVES_MAX 64

#define FC_BYTES_PER_KB 1024
/* The lowest limits that the key-value store may have: the size of a value, and the changes in a transaction. */
#define FC_KV_VALUE_KB_MIN 1
#define FC_KV_TXN_OPS_MIN 2

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

/* A service level objective of the platform; only validated here. */
typedef struct fc_objective {
  char *kind;
  char *class_name; /* NULL: not specified */
  double within_s, share;
} fc_objective;

/* The operators' settings; each has a default. */
typedef struct fc_operator_settings {
  double round_s;            /* interval between placement rounds */
  double handover_wait_s;    /* time that a job is pending before it is handed over to a shard with idle capacity */
  unsigned split_limit;      /* largest number of slices of an array */
  double member_lease_share; /* duration of a member's lease, as a share of the workers' */
  double idle_keep_share;    /* idle time before release, as a share of boot time and minimum charge */
  double over_keep_s;        /* time that an ended job stays in memory */
  double warm_deviations; /* reserve of capacity for arriving jobs, in standard deviations of the arrivals in a boot */
  bool rent;              /* whether to rent machines */
} fc_operator_settings;

typedef struct fc_settings {
  char *name; /* of this controller */
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
  double heartbeat_s; /* interval of a worker's heartbeats */
  double lease_s;     /* duration of a worker's lease */
  /* Time limits that workers apply to gangs: for all tasks to be ready, and to notice that another task
   * is gone. They are only validated here. */
  double gang_wait_s, gang_peer_s;
  double cancel_s; /* time within which a cancelled job has to stop */
  /* Limits of the key-value store, which may lower them to those of `state.next` at any time. The
   * smaller size and request limits hold from the start; the write rate is lowered once the store
   * rejects a write. */
  double kv_rps, kv_value_kb;
  unsigned kv_txn_ops;
  double kv_write_rps, kv_next_write_rps;
  double cloud_rps;
  double cloud_list_lag_s; /* time after which the cloud's list shows a change */
  double cpu;              /* in cores */
  double memory_mb;
  unsigned fd_limit;
  fc_operator_settings operator_settings;
} fc_settings;

/* On failure return false and write one line that names the faulty field to `error`. Operators' settings
 * that the file lacks keep their value in `out`. */
bool fc_settings_load(const char *path, fc_settings *out, char *error, size_t error_size);
bool fc_operator_load(const char *path, fc_operator_settings *out, char *error, size_t error_size);
/* One line, a constant, about a resource limit that suffices to run but leaves little room for a
 * larger fleet; NULL: no such limit. */
const char *fc_settings_warning(const fc_settings *settings);
void fc_operator_defaults(fc_operator_settings *out);
/* Largest size of a value in the key-value store, in bytes, under the current and the next limits, and that
 * of a transaction. */
size_t fc_settings_value_max_bytes(const fc_settings *settings);
/* The index of a team; -1: unknown. */
int fc_settings_team_index(const fc_settings *settings, const char *name);
/* The index of a zone; FC_ZONES_MAX: unknown. */
unsigned fc_settings_zone_index(const fc_settings *settings, const char *name);

#endif
