/* Renting: what the queue needs beyond the room there is or will soon be, and
 * which machines are no longer worth their money. Pure functions. */
#ifndef FC_SCHEDULER_RENT_H
#define FC_SCHEDULER_RENT_H

#include <glib.h>

#include "bookkeeping/table.h"

typedef struct fc_want {
  int type;
  const char *zone; /* in the settings */
  bool spot;
  int owner; /* the part that needs it; -1: the one with the fewest */
  unsigned count;
} fc_want;

/* A kind of machine that the cloud refused lately. */
typedef bool (*fc_refused_fn)(int type, const char *zone, bool spot, void *arg);

/* Packs the whole queue into the room of all parts, booting machines included
 * (what a part can't hold is handed over or lent to), and returns what has to
 * be rented for the rest. */
GArray *fc_rent_wants(const fc_table *t, fc_refused_fn refused, void *arg, double now);
/* Machines (fc_machine pointers) that neither the queue nor the room kept for
 * arrivals needs. */
GHashTable *fc_rent_surplus(const fc_table *t, double now);
/* Free since so long that renting again is cheaper than keeping it? */
bool fc_rent_idle(const fc_table *t, const fc_machine *m, double now);

#endif
