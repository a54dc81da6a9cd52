/* Which call of the users', workers' and health interface a request is. */
#ifndef FC_PROTOCOL_ROUTES_H
#define FC_PROTOCOL_ROUTES_H

typedef enum {
  FC_ROUTE_NONE, /* no such path */
  FC_ROUTE_WRONG_METHOD,
  FC_ROUTE_SUBMIT,
  FC_ROUTE_POLL,
  FC_ROUTE_CANCEL,
  FC_ROUTE_HEARTBEAT,
  FC_ROUTE_READY,
  FC_ROUTE_METRICS,
} fc_route;

#define FC_ROUTE_ID_MAX 256

/* `id` receives the job's id of POLL and CANCEL as it stands in the path;
 * `allow` the right method with WRONG_METHOD. */
fc_route fc_route_of(const char *method, const char *path, char id[FC_ROUTE_ID_MAX], const char **allow);

#endif
