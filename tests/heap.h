/* Counts the heap allocations of each simulated controller, and the bytes that it has in use. */
#ifndef FC_TESTS_HEAP_H
#define FC_TESTS_HEAP_H

#include <stddef.h>
#include <stdint.h>

#include "sim/world.h"

typedef struct heap_use {
  uint64_t calls; /* of malloc, calloc and realloc so far */
  size_t bytes;   /* in use now */
  size_t peak;    /* most bytes in use since heap_reset_peak() */
} heap_use;

/* Counts from here on; called once, before any controller starts. */
void heap_start_counting(void);
heap_use heap_of(unsigned node);
/* Sets the peak of all controllers to their use now. */
void heap_reset_peak(void);
/* Sets all counts to zero and forgets all allocations, after controllers have crashed or before a new simulation. */
void heap_reset(void);

#endif
