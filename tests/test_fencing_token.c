/* The ranges of fencing tokens that terms reserve. */
#include "check.h"

#include "coordination/fencing_token.h"

/* Every term number is above the tokens of the terms before, and reserves raised tokens if this version wrote it. */
static void numbers_of_terms(void **state) {
  (void)state;
  static const struct {
    const char *name;
    uint64_t number, next;
    bool reserves;
  } rows[] = {
      {"no term yet", 0, 4096, true},
      {"the first term of this version", 4096, 8192, true},
      {"a term of an earlier version", 5, 8192, false},
      {"a term of an earlier version after one of this version", 4097, 12288, false},
      {"two of an earlier version", 4098, 12288, false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    uint64_t next = fc_next_term_number(rows[i].number);
    check_row(rows[i].name, next == rows[i].next);
    check_row(rows[i].name, fc_term_reserves_tokens(rows[i].number) == rows[i].reserves);
    check_row(rows[i].name, fc_term_reserves_tokens(next));
    check_row(rows[i].name, fc_term_number_follows(next, rows[i].number) == rows[i].reserves);
    check_row(rows[i].name, fc_term_number_follows(rows[i].number + 1, rows[i].number));
    check_row(rows[i].name, !fc_term_number_follows(fc_next_term_number(next), rows[i].number));
    check_row(rows[i].name, !fc_term_number_follows(next, rows[i].number + 1));
  }
}

static void tokens_of_a_term(void **state) {
  (void)state;
  static const struct {
    const char *name;
    uint64_t token, term;
    bool in_term, newer;
    uint64_t accepted, raised;
    bool nearly_last;
    unsigned raised_count;
  } rows[] = {
      {"none shown yet", 0, 4096, false, false, 4096, 0, false, 0},
      {"its number", 4096, 4096, true, false, 4096, 6144, false, 0},
      {"a raised token", 6144, 4096, true, false, 6144, 6145, false, 1},
      {"the last of which enough are left", 7679, 4096, true, false, 7679, 7680, false, 1536},
      {"the first of which few are left", 7680, 4096, true, false, 7680, 7681, true, 1537},
      {"the last but one", 8190, 4096, true, false, 8190, 8191, true, 2047},
      {"the last", 8191, 4096, true, false, 8191, 8191, true, 2048},
      {"of the term before", 7000, 8192, false, false, 8192, 0, false, 0},
      {"of the next term", 8192, 4096, false, true, 0, 0, false, 0},
      {"of the next term, by an earlier version", 4097, 4096, false, true, 0, 0, false, 0},
      {"a raised token in a term of an earlier version", 6144, 4097, false, true, 0, 0, false, 0},
      {"the number of a term of an earlier version", 4097, 4097, true, false, 4097, 4097, false, 0},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    check_row(rows[i].name, fc_fencing_token_in_term(rows[i].token, rows[i].term) == rows[i].in_term);
    check_row(rows[i].name, fc_fencing_token_is_newer(rows[i].token, rows[i].term) == rows[i].newer);
    if (!rows[i].newer)
      check_row(rows[i].name, fc_fencing_token_accepted(rows[i].token, rows[i].term) == rows[i].accepted);
    check_row(rows[i].name, fc_fencing_tokens_raised(rows[i].token, rows[i].term) == rows[i].raised_count);
    check_row(rows[i].name, fc_fencing_token_nearly_last(rows[i].token, rows[i].term) == rows[i].nearly_last);
    if (rows[i].in_term) check_row(rows[i].name, fc_fencing_token_raise(rows[i].token, rows[i].term) == rows[i].raised);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {cmocka_unit_test(numbers_of_terms), cmocka_unit_test(tokens_of_a_term)};
  return cmocka_run_group_tests(tests, NULL, NULL);
}
