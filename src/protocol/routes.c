#include "protocol/routes.h"

#include <glib.h>
#include <string.h>

#define JOBS_PATH "/api/jobs"
#define JOB_PATH_PREFIX JOBS_PATH "/"
#define CANCEL_SUFFIX "/withdraw"

static const struct {
  const char *path, *method;
  fc_route route;
} k_fixed_paths[] = {
    {JOBS_PATH, "POST", FC_ROUTE_SUBMIT},
    {"/checkin", "POST", FC_ROUTE_HEARTBEAT},
    {"/ready", "GET", FC_ROUTE_READY},
    {"/metrics", "GET", FC_ROUTE_METRICS},
};

static fc_route check_method(const char *method, const char *expected, fc_route route, const char **allow) {
  if (strcmp(method, expected) == 0) return route;
  *allow = expected;
  return FC_ROUTE_WRONG_METHOD;
}

fc_route fc_route_of(const char *method, const char *path, char id[FC_ROUTE_ID_SIZE], const char **allow) {
  *allow = NULL;
  for (size_t i = 0; i < G_N_ELEMENTS(k_fixed_paths); i++)
    if (strcmp(path, k_fixed_paths[i].path) == 0)
      return check_method(method, k_fixed_paths[i].method, k_fixed_paths[i].route, allow);
  if (!g_str_has_prefix(path, JOB_PATH_PREFIX)) return FC_ROUTE_NONE;
  const char *start = path + strlen(JOB_PATH_PREFIX);
  size_t length = strcspn(start, "/");
  if (length == 0 || length >= FC_ROUTE_ID_SIZE) return FC_ROUTE_NONE;
  memcpy(id, start, length);
  id[length] = '\0';
  const char *suffix = start + length;
  if (*suffix == '\0') return check_method(method, "GET", FC_ROUTE_POLL, allow);
  if (strcmp(suffix, CANCEL_SUFFIX) == 0) return check_method(method, "POST", FC_ROUTE_CANCEL, allow);
  return FC_ROUTE_NONE;
}
