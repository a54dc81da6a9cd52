/* Linked with the tests whose processes end without freeing anything: simulated ones,
 * which are killed in the middle of their work, and children that are forked. */

/* The name is the sanitizer's. */
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming)
const char *__asan_default_options(void);
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming)
const char *__asan_default_options(void) {
  return "detect_leaks=0";
}
