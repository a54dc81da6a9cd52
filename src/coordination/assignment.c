#include "coordination/assignment.h"

#include <glib.h>
#include <string.h>

#define FNV_OFFSET_BASIS 1469598103934665603ull
#define FNV_PRIME 1099511628211ull
#define KEY_SEPARATOR 0xffu
/* Enough for "job-" with at most 18 digits, '#', and a slice number. */
#define SLICE_KEY_SIZE 64u

static uint64_t fnv1a(uint64_t hash, const char *text) {
  for (const char *byte = text; *byte; byte++) hash = (hash ^ (unsigned char)*byte) * FNV_PRIME;
  return hash;
}

/* The finaliser of splitmix64: spreads every input bit over the whole hash. */
static uint64_t mix(uint64_t hash) {
  hash += 0x9e3779b97f4a7c15ull;
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ull;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebull;
  return hash ^ (hash >> 31);
}

/* The weight of a member for a key. Rendezvous hashing needs weights that are independent between members, which
 * FNV-1a alone does not provide. */
static uint64_t rendezvous_weight(uint64_t seed, const char *key, const char *member) {
  uint64_t hash = fnv1a(FNV_OFFSET_BASIS ^ seed, key);
  hash = (hash ^ KEY_SEPARATOR) * FNV_PRIME;
  return mix(fnv1a(hash, member));
}

int fc_assign_key(const fc_term *term, const char *key) {
  int best = -1;
  uint64_t best_weight = 0;
  for (size_t i = 0; i < term->count; i++) {
    uint64_t weight = rendezvous_weight(term->seed, key, term->members[i].name);
    if (best < 0 || weight > best_weight) {
      best = (int)i;
      best_weight = weight;
    }
  }
  return best;
}

/* The index of the member with this name; -1 if `name` is NULL, empty or not a member. */
static int member_named(const fc_term *term, const char *name) {
  return name && *name ? fc_term_find(term, name) : -1;
}

int fc_assign_slice(const fc_term *term, const char *id, unsigned slice, unsigned slices, const char *handed_to) {
  int member = member_named(term, handed_to);
  if (member >= 0) return member;
  if (slices <= 1) return fc_assign_key(term, id);
  char key[SLICE_KEY_SIZE];
  g_snprintf(key, sizeof key, "%s#%u", id, slice);
  return fc_assign_key(term, key);
}

int fc_assign_machine(const fc_term *term, const char *id, const char *owner) {
  int member = member_named(term, owner);
  return member >= 0 ? member : fc_assign_key(term, id);
}
