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

/* Fails with the name of the row of a table. fail_msg never returns, which its
 * declaration does not say: abort() says it to the analyzer. */
#define check_row(name, cond)                          \
  do {                                                 \
    if (!(cond)) {                                     \
      fail_msg("row '%s': not so: %s", (name), #cond); \
      abort();                                         \
    }                                                  \
  } while (0)

#endif
