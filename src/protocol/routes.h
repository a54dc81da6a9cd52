/* Maps HTTP requests to the calls of the users', workers' and health interface. */
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

/* Of the buffer for an id in a path, with the closing NUL. A longer one is FC_ROUTE_NONE. */
#define FC_ROUTE_ID_MAX 256

/* `id` receives the job's id of a poll or cancel as it stands in the path, unchecked; *allow the
 * method to use, a constant, with FC_ROUTE_WRONG_METHOD, else NULL. */
fc_route fc_route_of(const char *method, const char *path, char id[FC_ROUTE_ID_MAX], const char **allow);

#endif
