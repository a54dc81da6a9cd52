/* Included by every test file: cmocka with its prerequisites in the order that it requires, and check_row(). */
#ifndef FC_TESTS_CHECK_H
#define FC_TESTS_CHECK_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Fails as fail_msg() does, with the position of the caller. cmocka's _fail() never returns, but is not
 * declared so: abort() tells the static analyzer. */
static inline void fail_row(const char *name, const char *what, const char *file, int line) {
  print_error("ERROR: row '%s': check failed: %s\n", name, what);
  _fail(file, line);
  abort();
}

/* Checks a condition for one row of a table of test cases; a failure names the row. */
#define check_row(name, cond) ((cond) ? (void)0 : fail_row((name), #cond, __FILE__, __LINE__))

#endif
