#include "scheduler/scale_out.h"

#include <string.h>

#include "scheduler/queue_packing.h"

/* The request for machines of the same type, zone and owner, spot or on-demand; NULL: none yet. */
static fc_rental_request *find_request(const GArray *requests, const fc_model_machine *machine) {
  for (guint i = 0; i < requests->len; i++) {
    fc_rental_request *request = &g_array_index(requests, fc_rental_request, i);
    if (request->type == machine->type && request->owner == machine->owner && request->spot == machine->spot &&
        strcmp(request->zone, machine->zone) == 0)
      return request;
  }
  return NULL;
}

GArray *fc_scale_out_plan(const fc_cluster *cluster, fc_capacity_refused_fn refused, void *refused_arg, double now) {
  GArray *machines = fc_queue_packing_plan(cluster, refused, refused_arg, now);
  GArray *requests = g_array_new(FALSE, TRUE, sizeof(fc_rental_request));
  for (guint i = 0; i < machines->len; i++) {
    const fc_model_machine *machine = &g_array_index(machines, fc_model_machine, i);
    if (!machine->rented) continue;
    fc_rental_request *request = find_request(requests, machine);
    if (request) {
      request->count++;
      continue;
    }
    fc_rental_request added = {
        .type = machine->type, .zone = machine->zone, .spot = machine->spot, .owner = machine->owner, .count = 1};
    g_array_append_val(requests, added);
  }
  g_array_free(machines, TRUE);
  return requests;
}
