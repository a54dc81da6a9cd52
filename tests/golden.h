/* Compares what the program sends with fixtures/golden.txt, where each line is name|bytes, with control
 * characters escaped as in C. A difference is printed with the line that the present code would need, and
 * fails the last test of the test program (golden_finish()). */
#ifndef FC_TESTS_GOLDEN_H
#define FC_TESTS_GOLDEN_H

#include "check.h"

#define GOLDEN_FILE FIXTURES_DIR "/golden.txt"

static unsigned g_golden_compared, g_golden_mismatches;

/* The lines of the file that start with `prefix`; the caller frees the result. */
static inline GPtrArray *golden_lines(const char *prefix) {
  char *text = NULL;
  assert_true(g_file_get_contents(GOLDEN_FILE, &text, NULL, NULL));
  char **all = g_strsplit(text, "\n", -1);
  GPtrArray *found = g_ptr_array_new_with_free_func(g_free);
  for (char **line = all; *line; line++)
    if (g_str_has_prefix(*line, prefix)) g_ptr_array_add(found, g_strdup(*line));
  g_strfreev(all);
  g_free(text);
  return found;
}

/* Compares `bytes` with the line recorded as `name`; a difference does not fail the test at once. */
static inline void golden_check(const char *name, const char *bytes) {
  char *escaped = g_strescape(bytes, "\"");
  char *prefix = g_strconcat(name, "|", NULL), *line = g_strconcat(prefix, escaped, NULL);
  GPtrArray *found = golden_lines(prefix);
  g_golden_compared++;
  if (found->len != 1 || strcmp(found->pdata[0], line) != 0) {
    g_golden_mismatches++;
    g_printerr("wrote:    %s\nrecorded: %s\n", line, found->len ? (char *)found->pdata[0] : "nothing");
  }
  g_ptr_array_free(found, TRUE);
  g_free(line);
  g_free(prefix);
  g_free(escaped);
}

/* Fails unless all compared bytes were as recorded and all recorded lines that start with one of `groups`
 * (NULL at the end) were compared. */
static inline void golden_finish(const char *const *groups) {
  unsigned recorded = 0;
  for (; *groups; groups++) {
    GPtrArray *found = golden_lines(*groups);
    recorded += found->len;
    g_ptr_array_free(found, TRUE);
  }
  assert_int_equal(g_golden_mismatches, 0);
  assert_int_equal(g_golden_compared, recorded);
}

#endif
