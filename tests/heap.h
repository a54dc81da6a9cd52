/* Counts the memory that each simulated controller takes: calls, and bytes that it holds. */
#ifndef FC_TESTS_HEAP_H
#define FC_TESTS_HEAP_H

#include <stddef.h>
#include <stdint.h>

#include "sim/world.h"

typedef struct heap_use {
  uint64_t calls; /* of malloc and the like, so far */
  size_t bytes;   /* held now */
  size_t peak;    /* the most held since heap_mark() */
} heap_use;

/* Counts from here on; to be called once, before any controller starts. */
void heap_start(void);
heap_use heap_of(unsigned node);
void heap_mark(void);
/* Forgets what it holds: its process has ended, or a new world begins. */
void heap_forget(void);

#endif
