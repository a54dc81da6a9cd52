/* What every test file includes, in the order cmocka wants. */
#ifndef FC_TESTS_CHECK_H
#define FC_TESTS_CHECK_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>
#include <string.h>

/* Fails with the name of the row of a table. */
#define check_row(name, cond)                                     \
  do {                                                            \
    if (!(cond)) fail_msg("row '%s': not so: %s", (name), #cond); \
  } while (0)

#endif
