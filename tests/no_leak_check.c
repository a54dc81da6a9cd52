/* Turns off leak detection. Linked with tests whose processes end without freeing their memory: simulated
 * processes, which are killed in the middle of their work, and forked children. */

/* AddressSanitizer defines the name. */
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming)
const char *__asan_default_options(void);
// NOLINTNEXTLINE(bugprone-reserved-identifier,readability-identifier-naming)
const char *__asan_default_options(void) {
  return "detect_leaks=0";
}
