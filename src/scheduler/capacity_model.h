/* A model of the fleet for planning its size: the existing and requested machines, the machines that the plan
 * rents, and the room that the packed jobs leave on them. Does not change the cluster state. */
#ifndef FC_SCHEDULER_CAPACITY_MODEL_H
#define FC_SCHEDULER_CAPACITY_MODEL_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/team_quota.h"

/* Returns whether the cloud recently refused machines of this type (an index into the machine types) in this
 * zone, as spot instances or on demand. */
typedef bool (*fc_capacity_refused_fn)(int type, const char *zone, bool spot, void *arg);

typedef struct fc_model_machine {
  int type;         /* index into the machine types; -1: none */
  int owner;        /* member; -1: the one with the fewest machines */
  const char *zone; /* not owned */
  unsigned zone_index;
  bool spot;
  bool rented; /* to be rented by the plan */
  bool idle;   /* has no task */
  fc_resources room;
  const fc_machine *machine; /* NULL: requested, or to be rented */
} fc_model_machine;

typedef struct fc_capacity_model {
  const fc_cluster *cluster;
  GArray *machines;                            /* fc_model_machine, in the order in which they are filled */
  GArray *open;                                /* guint: indexes of machines with room for some job */
  unsigned machines_in_zone[FC_ZONES_MAX + 1]; /* the last: zones that are not in the settings */
  fc_capacity_refused_fn refused;              /* or NULL */
  void *refused_arg;
  fc_team_usage usage; /* by running tasks and those packed so far */
  fc_job_spec least;   /* the minimum of each resource that any job requests */
} fc_capacity_model;

/* Fills the model with the machines of the cluster state, including those starting up or requested. The caller
 * releases it with fc_capacity_model_finish(). */
void fc_capacity_model_init(fc_capacity_model *model, const fc_cluster *cluster, const fc_job_spec *least, double now);
/* Releases the model and returns its array of fc_model_machine, which the caller frees. */
GArray *fc_capacity_model_finish(fc_capacity_model *model);
/* Adds a machine that the plan rents. */
void fc_capacity_model_add(fc_capacity_model *model, const fc_model_machine *machine);
/* Removes from `open` the machines on which no job fits any more. */
void fc_capacity_model_close_full(fc_capacity_model *model);
/* The machine at this position of `open`. */
fc_model_machine *fc_capacity_model_open_at(const fc_capacity_model *model, guint position);

/* Adds one task of the job to the usage; returns false, with nothing changed, if its team's limit does not allow
 * it. */
bool fc_capacity_model_use_quota(fc_capacity_model *model, const fc_job *job);
/* Returns whether a task of the job may run on the machine and fits its free room. */
bool fc_capacity_model_fits(const fc_capacity_model *model, const fc_model_machine *machine, const fc_job *job);

#endif
