/* Client of the cloud's API: lists machine types, and rents, releases and lists machines. Times are
 * in seconds; deadlines are times of the monotonic clock. */
#ifndef FC_PROTOCOL_CLOUD_API_H
#define FC_PROTOCOL_CLOUD_API_H

#include <glib.h>
#include <stdbool.h>

#include "transport/conn.h"

/* Machines that one request may rent or release. */
#define FC_RENTAL_MACHINES_MAX 50u
#define FC_RELEASE_MACHINES_MAX 100u

typedef struct fc_machine_type {
  char *name;
  double cpus, gpus, memory_gb, cache_gb, fetch_gb_per_s;
  double price, spot_price; /* per hour */
  double boot_s;
  char **zones; /* NULL-terminated */
} fc_machine_type;

typedef enum { FC_MACHINE_BOOTING, FC_MACHINE_UP, FC_MACHINE_FAILED } fc_machine_status;

typedef struct fc_listed_machine {
  char *id, *type, *zone;
  char *endpoint; /* NULL: not known yet */
  bool spot;
  fc_machine_status status;
  double age_s; /* since it was rented */
} fc_listed_machine;

typedef enum {
  FC_CLOUD_OK,
  FC_CLOUD_NO_CAPACITY, /* of this type in this zone: not executed */
  FC_CLOUD_BUSY,        /* rate limited: not executed */
  FC_CLOUD_DOWN,        /* unavailable or no connection: not executed */
  FC_CLOUD_UNKNOWN,     /* no usable response: it may have been executed, or may still be */
  FC_CLOUD_REFUSED,     /* malformed request or response */
} fc_cloud_result;

typedef struct fc_cloud fc_cloud;
fc_cloud *fc_cloud_new(const fc_endpoint *at);
void fc_cloud_free(fc_cloud *cloud);

void fc_machine_type_free(gpointer type);
void fc_listed_machine_free(gpointer machine);

/* Each of the calls below may suspend the calling routine. `out` receives the elements of the response
 * and owns them; malformed elements are skipped. */

/* Lists the machine types. `out` receives fc_machine_type. */
fc_cloud_result fc_cloud_types(fc_cloud *cloud, double deadline, GPtrArray *out);
/* Rents up to `count` machines. The name `rental` makes the request idempotent: a repeated request
 * returns the same machines. `out` receives their ids (char *). */
fc_cloud_result fc_cloud_rent(fc_cloud *cloud, const char *rental, const char *type, const char *zone, bool spot,
                              unsigned count, double deadline, GPtrArray *out);
/* Releases the machines with these ids, at most FC_RELEASE_MACHINES_MAX. */
fc_cloud_result fc_cloud_release(fc_cloud *cloud, const char *const *ids, size_t count, double deadline);
/* Lists one page of at most `limit` rented machines, after the id `after` (NULL: from the start).
 * `out` receives fc_listed_machine; *more tells whether there is another page. */
fc_cloud_result fc_cloud_list(fc_cloud *cloud, const char *after, unsigned limit, double deadline, GPtrArray *out,
                              bool *more);

#endif
