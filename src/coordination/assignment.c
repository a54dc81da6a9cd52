#include "coordination/assignment.h"

#include <glib.h>
#include <string.h>

/* FNV-1a, then the finaliser of splitmix64: rendezvous hashing needs weights
 * that are independent between members, which FNV alone does not give. */
static uint64_t weigh(uint64_t seed, const char *key, const char *member) {
  uint64_t h = 1469598103934665603ull ^ seed;
  for (const char *p = key; *p; p++) h = (h ^ (unsigned char)*p) * 1099511628211ull;
  h = (h ^ 0xff) * 1099511628211ull;
  for (const char *p = member; *p; p++) h = (h ^ (unsigned char)*p) * 1099511628211ull;
  h += 0x9e3779b97f4a7c15ull;
  h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9ull;
  h = (h ^ (h >> 27)) * 0x94d049bb133111ebull;
  return h ^ (h >> 31);
}

int fc_assign_key(const fc_term *term, const char *key) {
  int best = -1;
  uint64_t best_weight = 0;
  for (size_t i = 0; i < term->count; i++) {
    uint64_t w = weigh(term->seed, key, term->members[i].name);
    if (best < 0 || w > best_weight) {
      best = (int)i;
      best_weight = w;
    }
  }
  return best;
}

int fc_assign_slice(const fc_term *term, const char *id, unsigned slice, unsigned slices, const char *handed_to) {
  int m = handed_to && *handed_to ? fc_term_find(term, handed_to) : -1;
  if (m >= 0) return m;
  if (slices <= 1) return fc_assign_key(term, id);
  char key[64];
  g_snprintf(key, sizeof key, "%s#%u", id, slice);
  return fc_assign_key(term, key);
}

int fc_assign_machine(const fc_term *term, const char *id, const char *owner) {
  int m = owner && *owner ? fc_term_find(term, owner) : -1;
  return m >= 0 ? m : fc_assign_key(term, id);
}
