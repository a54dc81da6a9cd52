#include "unknown_members.h"

#include "json_texts.h"
#include "sim.h"

#define FEW_BYTES 400u
#define MANY_BYTES 16000u
#define MANY_SHARE 0.02 /* of the messages with unknown members */

static GRand *g_rand; /* of its own: the other random numbers of a day stay the same */
static double g_share;
static unsigned g_sent;

static char *add_members(const char *body) {
  if (*body != '{' || g_rand_double(g_rand) >= g_share) return g_strdup(body);
  g_sent++;
  GString *text = g_string_new(body);
  json_text_add_unknown_members(text, g_rand, g_rand_double(g_rand) < MANY_SHARE ? MANY_BYTES : FEW_BYTES);
  return g_string_free(text, FALSE);
}

void unknown_members_start(uint32_t seed, double share) {
  if (g_rand) g_rand_free(g_rand);
  g_rand = g_rand_new_with_seed(seed);
  g_share = share;
  g_sent = 0;
  sim_set_stand_in_bodies(add_members);
}

unsigned unknown_members_sent(void) {
  return g_sent;
}
