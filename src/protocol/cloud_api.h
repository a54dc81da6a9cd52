/* The cloud's calls, typed. Every call waits in its routine. */
#ifndef FC_PROTOCOL_CLOUD_API_H
#define FC_PROTOCOL_CLOUD_API_H

#include <glib.h>
#include <stdbool.h>

#include "transport/conn.h"

#define FC_RENTAL_MAX 50u
#define FC_RELEASE_MAX 100u

typedef struct fc_machine_type {
  char *name;
  double cpus, gpus, memory_gb, cache_gb, fetch_gb_per_s;
  double price, spot_price, boot_s;
  char **zones; /* NULL-terminated */
} fc_machine_type;

typedef enum { FC_MACHINE_BOOTING, FC_MACHINE_UP, FC_MACHINE_FAILED } fc_machine_status;

typedef struct fc_listed_machine {
  char *id, *endpoint, *type, *zone;
  bool spot;
  fc_machine_status status;
  double age_s;
} fc_listed_machine;

typedef enum {
  FC_CLOUD_OK,
  FC_CLOUD_NO_CAPACITY,
  FC_CLOUD_BUSY,
  FC_CLOUD_DOWN,    /* not executed */
  FC_CLOUD_UNKNOWN, /* may have been, or may yet be executed */
  FC_CLOUD_REFUSED,
} fc_cloud_result;

typedef struct fc_cloud fc_cloud;
fc_cloud *fc_cloud_new(const fc_endpoint *at);
void fc_cloud_free(fc_cloud *cloud);

/* out: fc_machine_type*, to be freed with fc_machine_type_free */
fc_cloud_result fc_cloud_types(fc_cloud *cloud, double deadline, GPtrArray *out);
void fc_machine_type_free(gpointer type);
/* out: names (char*) */
fc_cloud_result fc_cloud_rent(fc_cloud *cloud, const char *rental, const char *type, const char *zone, bool spot,
                              unsigned count, double deadline, GPtrArray *out);
fc_cloud_result fc_cloud_release(fc_cloud *cloud, const char *const *ids, size_t count, double deadline);
/* One page after `after` (NULL: from the start); out: fc_listed_machine* */
fc_cloud_result fc_cloud_list(fc_cloud *cloud, const char *after, unsigned limit, double deadline, GPtrArray *out,
                              bool *more);
void fc_listed_machine_free(gpointer machine);

#endif
