/* Renting: what the queue needs beyond the room there is or will soon be, and
 * which machines are no longer worth their money. Pure functions. */
#ifndef FC_SCHEDULER_CAPACITY_PLANNING_H
#define FC_SCHEDULER_CAPACITY_PLANNING_H

#include <glib.h>

#include "bookkeeping/cluster.h"

typedef struct fc_rental_request {
  int type;
  const char *zone; /* in the settings */
  bool spot;
  int owner; /* the part that needs it; -1: the one with the fewest */
  unsigned count;
} fc_rental_request;

/* A kind of machine that the cloud refused lately. */
typedef bool (*fc_capacity_refused_fn)(int type, const char *zone, bool spot, void *arg);

/* Packs the whole queue into the room of all parts, booting machines included
 * (what a part can't hold is handed over or lent to), and returns what has to
 * be rented for the rest. */
GArray *fc_scale_out_plan(const fc_cluster *cluster, fc_capacity_refused_fn refused, void *arg, double now);
/* Machines (fc_machine pointers) that neither the queue nor the room kept for
 * arrivals needs. */
GHashTable *fc_scale_in_surplus(const fc_cluster *cluster, double now);
/* Free since so long that renting again is cheaper than keeping it? */
bool fc_machine_idle_too_long(const fc_cluster *cluster, const fc_machine *machine, double now);

#endif
