/* The metrics page, which operators read at the peer address. */
#ifndef FC_CONTROLLER_METRICS_PAGE_H
#define FC_CONTROLLER_METRICS_PAGE_H

#include <glib.h>

#include "controller/metrics_sources.h"

/* Appends all metrics, one per line: "name value". */
void fc_metrics_page_append(const fc_metrics_sources *sources, GString *out);

#endif
