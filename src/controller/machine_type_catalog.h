/* Machine type catalog: updates the machine types of the cluster state from the cloud's offer. */
#ifndef FC_CONTROLLER_MACHINE_TYPE_CATALOG_H
#define FC_CONTROLLER_MACHINE_TYPE_CATALOG_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "controller/cloud_access.h"

typedef struct fc_machine_type_catalog fc_machine_type_catalog;

/* The arguments must outlive the result, which is never freed. */
fc_machine_type_catalog *fc_machine_type_catalog_new(fc_cluster *cluster, fc_cloud_access *cloud);
/* Reads the types from the cloud if none is known yet or the prices are old. A failed read changes
 * nothing. May suspend the calling routine. */
void fc_machine_type_catalog_refresh(fc_machine_type_catalog *catalog);
/* Returns whether any type is known. */
bool fc_machine_type_catalog_known(const fc_machine_type_catalog *catalog);

#endif
