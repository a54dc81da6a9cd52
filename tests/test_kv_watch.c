/* Tests of how the controller reads the key-value store. */
#include "fixture.h"

#include "controller/kv_watch.h"

/* The page size of the snapshot depends on the CPU limit, so that parsing a page takes a short time. */
static void page_size_depends_on_cpu_limit(void **state) {
  (void)state;
  static const struct {
    const char *name;
    double cpu;
    unsigned page_rows;
  } rows[] = {
      {"a whole core", 1, 1000}, {"a twelfth of one", 0.08, 400}, {"a fortieth", 0.024, 120}, {"less", 0.005, 100}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_settings settings = fixture_settings();
    settings.cpu = rows[i].cpu;
    check_row(rows[i].name, fc_kv_watch_page_rows(&settings) == rows[i].page_rows);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(page_size_depends_on_cpu_limit),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
