/* Sets of a job's tasks: bitmaps with one bit for each task, and their encoding as ranges, "0-3,7".
 * Nothing here suspends the calling routine. */
#ifndef FC_PROTOCOL_TASK_RANGES_H
#define FC_PROTOCOL_TASK_RANGES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Size of a bitmap in bytes. */
static inline size_t fc_task_bitmap_bytes(uint32_t tasks) {
  return (tasks + 7) / 8;
}
static inline bool fc_task_bitmap_has(const uint8_t *bitmap, uint32_t index) {
  return bitmap[index / 8] >> (index % 8) & 1;
}
static inline void fc_task_bitmap_set(uint8_t *bitmap, uint32_t index) {
  bitmap[index / 8] |= (uint8_t)(1u << (index % 8));
}
/* The number of set bits among the first `tasks`. */
uint32_t fc_task_bitmap_count(const uint8_t *bitmap, uint32_t tasks);

/* Clears bits so that the encoded ranges have at most `max_bytes` bytes. Retains the longest ranges. */
void fc_task_bitmap_retain_longest(uint8_t *bitmap, uint32_t tasks, size_t max_bytes);

/* Encodes the numbers of the set bits among the first `tasks` as ranges; the caller frees the text. */
char *fc_ranges_encode(const uint8_t *bitmap, uint32_t tasks);
/* Sets the bits of the ranges in the text. False for a malformed text or a number that is not below
 * `tasks`; some bits may then be set already. */
bool fc_ranges_decode(const char *text, uint8_t *bitmap, uint32_t tasks);

#endif
