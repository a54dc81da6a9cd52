/* Assignment of slices and machines to the members of a term. */
#include "fixture.h"

#include "coordination/assignment.h"

/* Jobs are spread evenly over the members. Another seed moves most jobs; a member that leaves moves only its own. */
static void assignment_is_even_and_stable(void **state) {
  (void)state;
  enum { JOBS = 3000 };
  fc_term three = fixture_term(3), two = fixture_term(2), other_seed = fixture_term(3);
  other_seed.seed = 43;
  int counts[3] = {0}, moved_wrongly = 0, moved_by_seed = 0;
  for (int i = 0; i < JOBS; i++) {
    char id[32];
    g_snprintf(id, sizeof id, "job-%06d", i);
    int of_three = fc_assign_slice(&three, id, 0, 1, NULL);
    int of_two = fc_assign_slice(&two, id, 0, 1, NULL);
    counts[of_three]++;
    moved_wrongly += of_three != 2 && of_three != of_two; /* only jobs of the leaving member may move */
    moved_by_seed += of_three != fc_assign_slice(&other_seed, id, 0, 1, NULL);
  }
  for (int k = 0; k < 3; k++) assert_in_range(counts[k], JOBS / 3 - 120, JOBS / 3 + 120);
  assert_int_equal(moved_wrongly, 0);
  assert_in_range(moved_by_seed, JOBS / 2, JOBS * 5 / 6);
  fc_term none = {.count = 0};
  assert_int_equal(fc_assign_slice(&none, "job-000001", 0, 1, NULL), -1);
  assert_int_equal(fc_assign_slice(&three, "job-000001", 0, 1, "paddock-2"), 2);
  assert_int_equal(fc_assign_machine(&two, "vm-1", "paddock-1"), 1);
  assert_in_range(fc_assign_machine(&two, "vm-1", "paddock-2"), 0, 1); /* its owner has left */
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(assignment_is_even_and_stable),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
