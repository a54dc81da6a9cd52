/* Keeps the cluster state's machine types equal to what the cloud offers. */
#ifndef FC_CONTROLLER_MACHINE_TYPE_CATALOG_H
#define FC_CONTROLLER_MACHINE_TYPE_CATALOG_H

#include <stdbool.h>

#include "bookkeeping/cluster.h"
#include "controller/cloud_access.h"

typedef struct fc_machine_type_catalog fc_machine_type_catalog;

/* The arguments have to outlive it; it lives as long as the process. */
fc_machine_type_catalog *fc_machine_type_catalog_new(fc_cluster *cluster, fc_cloud_access *cloud);
/* Asks the cloud when no type is known yet or the prices are old. May suspend the calling
 * routine. */
void fc_machine_type_catalog_refresh(fc_machine_type_catalog *catalog);
/* Is any type known? */
bool fc_machine_type_catalog_known(const fc_machine_type_catalog *catalog);

#endif
