#include "heap.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#ifdef __SANITIZE_ADDRESS__ /* as in sanitizer/allocator_interface.h, which not every machine has */
int __sanitizer_install_malloc_and_free_hooks(void (*on_malloc)(const volatile void *, size_t),
                                              void (*on_free)(const volatile void *));
#endif

#define SLOTS (1u << 21) /* more than pieces are ever held at once */

/* What is held, by address; the calls below may take no memory themselves. */
typedef struct piece {
  const void *at; /* NULL: free */
  uint32_t bytes;
  uint32_t node;
} piece;

static piece g_pieces[SLOTS];
static size_t g_count;
static heap_use g_use[WORLD_NODES];
static bool g_on;

static size_t home(const void *at) {
  return (size_t)(((uintptr_t)at >> 4) * 0x9e3779b97f4a7c15u >> 43) & (SLOTS - 1);
}

static void taken(const void *at, size_t bytes) {
  if (!g_on || !at) return;
  uint32_t ip = sim_allocating_ip();
  if (!ip || ip < WORLD_NODE_IP(0) || ip >= WORLD_NODE_IP(WORLD_NODES)) return;
  unsigned node = ip - WORLD_NODE_IP(0);
  g_use[node].calls++;
  if (g_count >= SLOTS / 2) abort();
  size_t i = home(at);
  while (g_pieces[i].at) i = (i + 1) & (SLOTS - 1);
  g_pieces[i] = (piece){at, (uint32_t)bytes, node};
  g_count++;
  g_use[node].bytes += bytes;
  if (g_use[node].peak < g_use[node].bytes) g_use[node].peak = g_use[node].bytes;
}

static void given_back(const void *at) {
  if (!g_on || !at) return;
  size_t i = home(at);
  while (g_pieces[i].at && g_pieces[i].at != at) i = (i + 1) & (SLOTS - 1);
  if (!g_pieces[i].at) return;
  g_use[g_pieces[i].node].bytes -= g_pieces[i].bytes;
  g_count--;
  /* The hole is filled with what would not be found past it. */
  for (size_t k = (i + 1) & (SLOTS - 1); g_pieces[k].at; k = (k + 1) & (SLOTS - 1)) {
    if (((k - home(g_pieces[k].at)) & (SLOTS - 1)) < ((k - i) & (SLOTS - 1))) continue;
    g_pieces[i] = g_pieces[k];
    i = k;
  }
  g_pieces[i].at = NULL;
}

heap_use heap_of(unsigned node) {
  return g_use[node];
}

void heap_mark(void) {
  for (unsigned n = 0; n < WORLD_NODES; n++) g_use[n].peak = g_use[n].bytes;
}

void heap_forget(void) {
  memset(g_pieces, 0, sizeof g_pieces);
  memset(g_use, 0, sizeof g_use);
  g_count = 0;
}

#ifdef __SANITIZE_ADDRESS__

static void on_malloc(const volatile void *at, size_t bytes) {
  taken((const void *)at, bytes);
}

static void on_free(const volatile void *at) {
  given_back((const void *)at);
}

void heap_start(void) {
  if (!g_on && !__sanitizer_install_malloc_and_free_hooks(on_malloc, on_free)) abort();
  g_on = true;
}

#else

void heap_start(void) {
  g_on = true;
}

/* These stand in for the C library's; the names are glibc's. */
// NOLINTBEGIN(bugprone-reserved-identifier,readability-identifier-naming)
extern void *__libc_malloc(size_t bytes);
extern void *__libc_calloc(size_t count, size_t bytes);
extern void *__libc_realloc(void *at, size_t bytes);
extern void __libc_free(void *at);
// NOLINTEND(bugprone-reserved-identifier,readability-identifier-naming)

void *malloc(size_t bytes) {
  void *at = __libc_malloc(bytes);
  taken(at, bytes);
  return at;
}

void *calloc(size_t count, size_t bytes) {
  void *at = __libc_calloc(count, bytes);
  taken(at, count * bytes);
  return at;
}

void *realloc(void *at, size_t bytes) {
  given_back(at);
  void *to = __libc_realloc(at, bytes);
  taken(to, bytes);
  return to;
}

void free(void *at) {
  given_back(at);
  __libc_free(at);
}

#endif
