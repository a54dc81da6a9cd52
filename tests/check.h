/* What every test file includes, in the order cmocka wants. */
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

/* As fail_msg, with the caller's place. cmocka's _fail never returns, which its declaration
 * does not say: abort() says it to the analyzer. */
static inline void fail_row(const char *name, const char *what, const char *file, int line) {
  print_error("ERROR: row '%s': not so: %s\n", name, what);
  _fail(file, line);
  abort();
}

/* Fails with the name of the row of a table. */
#define check_row(name, cond) ((cond) ? (void)0 : fail_row((name), #cond, __FILE__, __LINE__))

#endif
