/* Placing: which task goes to which machine. Pure functions over the table. */
#ifndef FC_SCHEDULER_BIN_PACKING_H
#define FC_SCHEDULER_BIN_PACKING_H

#include <glib.h>

#include "bookkeeping/cluster.h"

typedef struct fc_decision {
  fc_job *job;
  uint32_t index;
  fc_machine *machine;
} fc_decision;

/* What a part may still start for each team; INFINITY: no limit. */
typedef struct fc_allowance {
  double cpus[FC_TEAMS_MAX], gpus[FC_TEAMS_MAX];
} fc_allowance;

/* May this part start tasks on the machine now? */
bool fc_machine_usable(const fc_cluster *cluster, const fc_machine *machine, double now);
/* Jobs of this part that want tasks started now. */
bool fc_job_placeable(const fc_cluster *cluster, const fc_job *job, double now);
#define FC_ANY_ZONE (FC_ZONES_MAX + 1u) /* where a zone is asked for: no matter which */
/* How many of a job's tasks may be in each zone: counted once, then kept up to date
 * by whoever plans more of them. */
typedef struct fc_zone_spread {
  unsigned in[FC_ZONES_MAX + 1], all; /* the last: in none of the settings' zones */
} fc_zone_spread;
fc_zone_spread fc_job_zone_spread(const fc_job *job);
void fc_zone_spread_add(fc_zone_spread *spread, unsigned zone);
/* May another task of the job start in the zone, by the job's rules about zones? */
bool fc_zone_spread_allows(const fc_zone_spread *spread, const fc_job_spec *spec, unsigned zone);
/* Runnable jobs with tasks left, most important first, then by when they should start: at
 * the latest that their deadlines and those of jobs after them allow, or when they came. */
GPtrArray *fc_cluster_open_jobs(const fc_cluster *cluster);
gint fc_job_compare_priority(gconstpointer a, gconstpointer b);
/* Sorts fc_job pointers in an order that is the same on every member. */
gint fc_job_compare_priority_and_id(gconstpointer a, gconstpointer b);
/* So many tasks of a job are looked at in a round: several times the largest arrays that
 * run, and more machines than the cloud rents in a round's calls. Of a larger job the
 * rest follows when these have their places. */
#define FC_PENDING_TASKS_MAX 1024u
/* Tasks of the job that are neither finished nor anywhere, of the slices (a bit
 * each); caps the list. */
GArray *fc_job_pending_tasks_in(const fc_job *job, unsigned slices, guint most);
/* The same of the slices that belong to `member` (-1: of all). */
GArray *fc_job_pending_tasks(const fc_job *job, int member, guint most);
/* Is there any? Makes no list. */
bool fc_job_has_pending_tasks(const fc_job *job, int member);
/* The least that any of several jobs asks for: a machine without room for that need not be
 * looked at for any of them. */
fc_job_spec fc_least_resources_none(void);
void fc_least_resources_add(fc_job_spec *least, double cpus, double gpus, double memory_gb);
fc_job_spec fc_least_resources_of(const GPtrArray *jobs);

/* Does the team's limit allow so much in all? */
bool fc_team_limit_allows(const fc_team_settings *team_settings, double cpus, double gpus);
/* For each team the gang whose turn it is with its limit, of those that wait anywhere:
 * the first, in an order that is the same on every member, which fits beside what
 * can't be stopped for it. NULL: none, or the team has no limit. Until it runs no
 * other gang of the team gathers room, and arrays of its rank or lower start nothing:
 * two gangs that each gather half wait for ever, and so does one whose limit is
 * used up task by task (fault test, seed 249). */
void fc_gang_precedence(const fc_cluster *cluster, const fc_job **turn);
/* Must the job leave the team's limit to that gang? */
bool fc_gang_precedes(const fc_cluster *cluster, const fc_job *gang, const fc_job *job, double now);

/* One round of the part: fills the free room of this member's usable machines,
 * most important rank first, then the team with the lowest share of its
 * guarantee. Decisions of one gang follow each other and are complete. */
GArray *fc_place_round(const fc_cluster *cluster, const fc_allowance *allow, double now);

#endif
