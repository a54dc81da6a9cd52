/* The fleet as a plan of its size sees it: the machines that there are or soon will be, those that
 * the plan rents, and what room the packed jobs leave on them. Nothing of it changes the cluster
 * state. */
#ifndef FC_SCHEDULER_CAPACITY_MODEL_H
#define FC_SCHEDULER_CAPACITY_MODEL_H

#include <glib.h>

#include "bookkeeping/cluster.h"
#include "scheduler/team_quota.h"

/* Has the cloud refused machines of this type (an index), zone and kind lately? */
typedef bool (*fc_capacity_refused_fn)(int type, const char *zone, bool spot, void *arg);

typedef struct fc_model_machine {
  int type;         /* index into the machine types; -1: none */
  int owner;        /* member; -1: whoever has the fewest machines */
  const char *zone; /* not owned */
  unsigned zone_index;
  bool spot;
  bool rented; /* by the plan */
  bool idle;   /* holds nothing yet */
  fc_resources room;
  const fc_machine *machine; /* NULL: not there yet */
} fc_model_machine;

typedef struct fc_capacity_model {
  const fc_cluster *cluster;
  GArray *machines;                            /* fc_model_machine: in the order of their use */
  GArray *open;                                /* guint: indexes of machines that some job may still fit on */
  unsigned machines_in_zone[FC_ZONES_MAX + 1]; /* the last: in none of the zones of the settings */
  fc_capacity_refused_fn refused;              /* or NULL */
  void *refused_arg;
  fc_team_usage usage; /* of running tasks and of those packed so far */
  fc_job_spec least;   /* the least that any job asks for */
} fc_capacity_model;

/* Starts with the machines that the cluster state shows, those starting up and requested ones included. The
 * caller ends it with fc_capacity_model_finish(). */
void fc_capacity_model_init(fc_capacity_model *model, const fc_cluster *cluster, const fc_job_spec *least, double now);
/* Frees what the model holds; returns its machines, which the caller frees. */
GArray *fc_capacity_model_finish(fc_capacity_model *model);
/* Adds a machine that the plan rents. */
void fc_capacity_model_add(fc_capacity_model *model, const fc_model_machine *machine);
/* Drops from `open` the machines that no job fits on any more. */
void fc_capacity_model_close_full(fc_capacity_model *model);
/* The open machine at a position of `open`. */
fc_model_machine *fc_capacity_model_open_at(const fc_capacity_model *model, guint position);

/* Counts one more task of the job, if its team's limit allows it; false: it does not. */
bool fc_capacity_model_use_quota(fc_capacity_model *model, const fc_job *job);
/* May a task of the job run on the machine, and has it the room? */
bool fc_capacity_model_fits(const fc_capacity_model *model, const fc_model_machine *machine, const fc_job *job);

#endif
