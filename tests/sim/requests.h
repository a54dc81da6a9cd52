/* Single HTTP requests of a scene, with their responses and durations. */
#ifndef FC_TESTS_SIM_REQUESTS_H
#define FC_TESTS_SIM_REQUESTS_H

#include <stdbool.h>
#include <stdint.h>

/* A response; status 0: none arrived before the timeout. */
typedef struct world_reply {
  int status;
  int retry_after; /* seconds; 0: no Retry-After header */
  char body[400];
  double took; /* duration of the request in seconds; until `came`, the time at which it was sent */
  bool came;   /* the response has arrived, or the request has timed out */
} world_reply;

/* Sends a request to the controller's client address and returns at once. The response is written to
 * *reply later; the caller keeps it alive until reply->came. */
void world_send(world_reply *reply, unsigned node, const char *method, const char *path, const char *body);
/* Both send a request and run the simulation until it is answered or times out. */
world_reply world_request_to(uint32_t ip, const char *method, const char *path, const char *body);
world_reply world_request(unsigned node, const char *method, const char *path, const char *body);

#endif
