#include "protocol/routes.h"

#include <glib.h>
#include <string.h>

static const struct {
  const char *path, *method;
  fc_route route;
} k_plain[] = {
    {"/api/jobs", "POST", FC_ROUTE_SUBMIT},
    {"/checkin", "POST", FC_ROUTE_HEARTBEAT},
    {"/ready", "GET", FC_ROUTE_READY},
    {"/metrics", "GET", FC_ROUTE_METRICS},
};

static fc_route with_method(const char *method, const char *right, fc_route route, const char **allow) {
  if (strcmp(method, right) == 0) return route;
  *allow = right;
  return FC_ROUTE_WRONG_METHOD;
}

fc_route fc_route_of(const char *method, const char *path, char id[FC_ROUTE_ID_MAX], const char **allow) {
  *allow = NULL;
  for (size_t i = 0; i < G_N_ELEMENTS(k_plain); i++)
    if (strcmp(path, k_plain[i].path) == 0) return with_method(method, k_plain[i].method, k_plain[i].route, allow);
  if (!g_str_has_prefix(path, "/api/jobs/")) return FC_ROUTE_NONE;
  const char *rest = path + strlen("/api/jobs/");
  size_t len = strcspn(rest, "/");
  if (len == 0 || len >= FC_ROUTE_ID_MAX) return FC_ROUTE_NONE;
  memcpy(id, rest, len);
  id[len] = '\0';
  if (rest[len] == '\0') return with_method(method, "GET", FC_ROUTE_POLL, allow);
  if (strcmp(rest + len, "/withdraw") == 0) return with_method(method, "POST", FC_ROUTE_CANCEL, allow);
  return FC_ROUTE_NONE;
}
