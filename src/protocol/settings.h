/* The platform's settings file (JSON) and the operators' own (TOML). */
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

/* The operators' own; every one has a default. */
typedef struct fc_operator_settings {
  double round_s;            /* seconds between placing rounds */
  double handover_wait_s;    /* wait beside idle room before a job is handed over */
  unsigned split_limit;      /* virtual jobs an array may be halved into */
  double member_lease_share; /* of the workers' lease */
  double idle_keep_share;    /* idle time before return, of boot time + minimum charge */
  double over_keep_s;        /* a job that is over stays in memory for so long */
  double warm_deviations;    /* room kept for arrivals: standard deviations over a boot */
  bool rent;                 /* rent machines at all */
} fc_operator_settings;

typedef struct fc_settings {
  char *name;
  char *zone;
  fc_endpoint client_at, peer_at, cloud_at, state_at;
  fc_peer_settings peers[FC_MEMBERS_MAX];
  size_t peer_count;
  char *zones[FC_ZONES_MAX];
  size_t zone_count;
  fc_team_settings teams[FC_TEAMS_MAX];
  size_t team_count;
  fc_objective objectives[FC_OBJECTIVES_MAX];
  size_t objective_count;
  double heartbeat_s, lease_s, gang_wait_s, gang_peer_s, cancel_s;
  /* Limits of the state service. It may lower them to those of `state.next` at any moment:
   * sizes and requests keep to the smaller of both from the start, the write rate follows
   * once it is refused. */
  double state_rps, state_value_kb;
  unsigned state_txn_ops;
  double state_write_rps, state_next_write_rps;
  double cloud_rps, cloud_list_lag_s;
  double cpu; /* share of one core */
  double memory_mb;
  unsigned fd_limit;
  fc_operator_settings op;
} fc_settings;

/* Both write one line that names the field into `error` when they fail. */
bool fc_settings_load(const char *path, fc_settings *out, char *error, size_t error_size);
bool fc_operator_load(const char *path, fc_operator_settings *out, char *error, size_t error_size);
/* Limits under which the service starts and keeps every rule, but has little room for a
 * larger fleet: one line that names the fields; NULL when there are none. */
const char *fc_settings_warning(const fc_settings *settings);
void fc_operator_defaults(fc_operator_settings *out);
/* Bytes that a value may have in the state service, now and later. */
size_t fc_settings_value_bytes(const fc_settings *settings);
int fc_settings_team(const fc_settings *settings, const char *name);      /* -1: unknown */
unsigned fc_settings_zone(const fc_settings *settings, const char *name); /* FC_ZONES_MAX: none of them */

#endif
