#include "heap.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#ifdef __SANITIZE_ADDRESS__ /* as in sanitizer/allocator_interface.h, which not every machine has */
int __sanitizer_install_malloc_and_free_hooks(void (*on_malloc)(const volatile void *, size_t),
                                              void (*on_free)(const volatile void *));
#endif

#define SLOTS (1u << 21) /* at least twice as many as there are allocations at any time */

/* The live allocations, in a hash table with linear probing by address: the calls below can't allocate memory
 * themselves. */
typedef struct allocation {
  const void *at; /* NULL: slot is free */
  uint32_t bytes;
  uint32_t node;
} allocation;

static allocation g_allocations[SLOTS];
static size_t g_count;
static heap_use g_use[WORLD_NODES];
static bool g_counting;

static size_t first_slot(const void *at) {
  return (size_t)(((uintptr_t)at >> 4) * 0x9e3779b97f4a7c15u >> 43) & (SLOTS - 1);
}

static void count_allocation(const void *at, size_t bytes) {
  if (!g_counting || !at) return;
  uint32_t ip = sim_allocating_ip();
  if (!ip || ip < WORLD_NODE_IP(0) || ip >= WORLD_NODE_IP(WORLD_NODES)) return;
  unsigned node = ip - WORLD_NODE_IP(0);
  g_use[node].calls++;
  if (g_count >= SLOTS / 2) abort();
  size_t i = first_slot(at);
  while (g_allocations[i].at) i = (i + 1) & (SLOTS - 1);
  g_allocations[i] = (allocation){at, (uint32_t)bytes, node};
  g_count++;
  g_use[node].bytes += bytes;
  if (g_use[node].peak < g_use[node].bytes) g_use[node].peak = g_use[node].bytes;
}

static void count_free(const void *at) {
  if (!g_counting || !at) return;
  size_t i = first_slot(at);
  while (g_allocations[i].at && g_allocations[i].at != at) i = (i + 1) & (SLOTS - 1);
  if (!g_allocations[i].at) return;
  g_use[g_allocations[i].node].bytes -= g_allocations[i].bytes;
  g_count--;
  /* Entries that would no longer be found past the empty slot move into it. */
  for (size_t k = (i + 1) & (SLOTS - 1); g_allocations[k].at; k = (k + 1) & (SLOTS - 1)) {
    if (((k - first_slot(g_allocations[k].at)) & (SLOTS - 1)) < ((k - i) & (SLOTS - 1))) continue;
    g_allocations[i] = g_allocations[k];
    i = k;
  }
  g_allocations[i].at = NULL;
}

heap_use heap_of(unsigned node) {
  return g_use[node];
}

void heap_reset_peak(void) {
  for (unsigned n = 0; n < WORLD_NODES; n++) g_use[n].peak = g_use[n].bytes;
}

void heap_reset(void) {
  memset(g_allocations, 0, sizeof g_allocations);
  memset(g_use, 0, sizeof g_use);
  g_count = 0;
}

#ifdef __SANITIZE_ADDRESS__

static void on_malloc(const volatile void *at, size_t bytes) {
  count_allocation((const void *)at, bytes);
}

static void on_free(const volatile void *at) {
  count_free((const void *)at);
}

void heap_start_counting(void) {
  if (!g_counting && !__sanitizer_install_malloc_and_free_hooks(on_malloc, on_free)) abort();
  g_counting = true;
}

#else

void heap_start_counting(void) {
  g_counting = true;
}

/* The functions below replace the C library's, and call glibc's own under these names. */
// NOLINTBEGIN(bugprone-reserved-identifier,readability-identifier-naming)
extern void *__libc_malloc(size_t bytes);
extern void *__libc_calloc(size_t count, size_t bytes);
extern void *__libc_realloc(void *at, size_t bytes);
extern void __libc_free(void *at);
// NOLINTEND(bugprone-reserved-identifier,readability-identifier-naming)

void *malloc(size_t bytes) {
  void *at = __libc_malloc(bytes);
  count_allocation(at, bytes);
  return at;
}

void *calloc(size_t count, size_t bytes) {
  void *at = __libc_calloc(count, bytes);
  count_allocation(at, count * bytes);
  return at;
}

void *realloc(void *at, size_t bytes) {
  count_free(at);
  void *to = __libc_realloc(at, bytes);
  count_allocation(to, bytes);
  return to;
}

void free(void *at) {
  count_free(at);
  __libc_free(at);
}

#endif
