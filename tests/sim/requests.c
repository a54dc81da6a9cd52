#include "requests.h"

#include <string.h>

#include "world.h"

#define PATIENCE_S 8.0 /* longer than any user has */

static void on_reply(int status, const char *body, void *arg) {
  world_reply *r = arg;
  r->status = status;
  r->retry_after = sim_retry_after();
  g_strlcpy(r->body, body, sizeof r->body);
  r->took = sim_now() - r->took;
  r->came = true;
}

void world_send_to(world_reply *r, uint32_t ip, const char *method, const char *path, const char *body) {
  memset(r, 0, sizeof *r);
  r->took = sim_now();
  sim_call(WORLD_USER_IP, ip, method, path, body, PATIENCE_S, on_reply, r);
}

void world_send(world_reply *r, unsigned node, const char *method, const char *path, const char *body) {
  world_send_to(r, WORLD_NODE_IP(node), method, path, body);
}

world_reply world_request_to(uint32_t ip, const char *method, const char *path, const char *body) {
  static world_reply r;
  world_send_to(&r, ip, method, path, body);
  while (!r.came) sim_run_until(sim_now() + 0.01);
  return r;
}

world_reply world_request(unsigned node, const char *method, const char *path, const char *body) {
  return world_request_to(WORLD_NODE_IP(node), method, path, body);
}
