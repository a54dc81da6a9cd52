/* Single requests of a scene, with their answers and how long those took. */
#ifndef FC_TESTS_SIM_REQUESTS_H
#define FC_TESTS_SIM_REQUESTS_H

#include <stdbool.h>
#include <stdint.h>

/* An answer; status 0: there was none in time. */
typedef struct world_reply {
  int status, retry_after; /* the latter 0: not said */
  char body[400];
  double took; /* seconds, once it has come; before that the time at which it was sent */
  bool came;
} world_reply;

/* Sends a request to a controller's address for users and returns at once. *reply gets the answer
 * later: the caller keeps it alive until reply->came. */
void world_send(world_reply *reply, unsigned node, const char *method, const char *path, const char *body);
/* Sends it and runs the simulation on until the answer has come. */
world_reply world_request_to(uint32_t ip, const char *method, const char *path, const char *body);
world_reply world_request(unsigned node, const char *method, const char *path, const char *body);

#endif
