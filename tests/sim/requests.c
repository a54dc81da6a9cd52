/* Single requests of a scene, sent from the address of the users. */
#include "requests.h"

#include <string.h>

#include "world.h"

#define REQUEST_TIMEOUT_S 8.0 /* longer than any user waits */
#define POLL_STEP_S 0.01

static void on_reply(int status, const char *body, void *arg) {
  world_reply *reply = arg;
  reply->status = status;
  reply->retry_after = sim_retry_after();
  g_strlcpy(reply->body, body, sizeof reply->body);
  reply->took = sim_now() - reply->took;
  reply->came = true;
}

static void send_to(world_reply *reply, uint32_t ip, const char *method, const char *path, const char *body) {
  memset(reply, 0, sizeof *reply);
  reply->took = sim_now();
  sim_call(WORLD_USER_IP, ip, method, path, body, REQUEST_TIMEOUT_S, on_reply, reply);
}

void world_send(world_reply *reply, unsigned node, const char *method, const char *path, const char *body) {
  send_to(reply, WORLD_NODE_IP(node), method, path, body);
}

world_reply world_request_to(uint32_t ip, const char *method, const char *path, const char *body) {
  static world_reply reply;
  send_to(&reply, ip, method, path, body);
  while (!reply.came) sim_run_until(sim_now() + POLL_STEP_S);
  return reply;
}

world_reply world_request(unsigned node, const char *method, const char *path, const char *body) {
  return world_request_to(WORLD_NODE_IP(node), method, path, body);
}

int world_get_status(unsigned node, const char *path) {
  return world_request(node, "GET", path, "").status;
}
