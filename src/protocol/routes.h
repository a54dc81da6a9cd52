/* Maps the method and path of an HTTP request to a call of the API for users, workers or monitoring.
 * Nothing here suspends the calling routine. */
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

/* Buffer size in bytes for an id in a path, including the NUL. A path with a longer id is
 * FC_ROUTE_NONE. */
#define FC_ROUTE_ID_SIZE 256

/* For a poll or cancel, `id` receives the job's id from the path, not validated. *allow is the method
 * that the path allows, a constant, on FC_ROUTE_WRONG_METHOD, else NULL. */
fc_route fc_route_of(const char *method, const char *path, char id[FC_ROUTE_ID_SIZE], const char **allow);

#endif
