/* The metrics page that an operator reads at the peer address. */
#ifndef FC_CONTROLLER_METRICS_PAGE_H
#define FC_CONTROLLER_METRICS_PAGE_H

#include <glib.h>

#include "controller/report_sources.h"

/* Appends all figures, one a line: "name value". */
void fc_metrics_page_append(const fc_report_sources *sources, GString *out);

#endif
