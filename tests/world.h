/* A small table to schedule in: types, machines and jobs in a line each. */
#ifndef FC_TESTS_WORLD_H
#define FC_TESTS_WORLD_H

#include "check.h"

#include "bookkeeping/table.h"

static inline fc_settings world_settings(void) {
  fc_settings s = {.name = "paddock-0", .zone = "a", .zone_count = 2, .team_count = 2};
  fc_operator_defaults(&s.op);
  s.zones[0] = "a";
  s.zones[1] = "b";
  s.teams[0] = (fc_team_settings){.name = "red", .gpus = 8};
  s.teams[1] = (fc_team_settings){.name = "blue", .gpus = 8, .gpus_max = 16};
  s.report_s = 2;
  s.lease_s = 14;
  s.cancel_s = 34;
  s.gang_peer_s = 5;
  s.gang_wait_s = 40;
  s.cpu = 0.08;
  s.state_value_kb = 8;
  return s;
}

static inline fc_table *world_table(const fc_settings *s) {
  fc_table *t = fc_table_new(s);
  fc_machine_type *mt = g_new0(fc_machine_type, 1);
  *mt = (fc_machine_type){.name = g_strdup("g4"),
                          .cpus = 40,
                          .gpus = 4,
                          .memory_gb = 400,
                          .price = 10,
                          .spot_price = 3,
                          .boot_s = 60,
                          .fetch_gb_per_s = 0.5};
  mt->zones = g_strsplit("a b", " ", -1);
  g_ptr_array_add(t->types, mt);
  fc_term term = {.number = 1, .seed = 1, .members = {{"paddock-0", 1}}, .count = 1};
  fc_table_set_term(t, &term, 1, false, 0);
  t->settled_latch = 1;
  return t;
}

static inline fc_machine *world_machine(fc_table *t, const char *id, const char *zone, bool spot) {
  fc_machine *m = fc_table_machine_add(t, id, 0);
  g_strlcpy(m->rec.type, "g4", sizeof m->rec.type);
  g_strlcpy(m->rec.zone, zone, sizeof m->rec.zone);
  g_strlcpy(m->rec.owner, "paddock-0", sizeof m->rec.owner);
  m->rec.spot = spot;
  m->version = 2;
  m->announced = true;
  fc_machine_locate(t, m);
  fc_table_derive_owner(t, m, 0);
  m->settled_term = t->term.number;
  m->reported = true;
  return m;
}

/* After a test has put a term of its own in place. */
static inline void world_deal(fc_table *t) {
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init(&it, t->jobs);
  while (g_hash_table_iter_next(&it, NULL, &value)) fc_job_deal(t, value);
}

/* extra: more fields, each ending in a comma, that take the place of defaults */
static inline fc_job *world_job(fc_table *t, const char *id, const char *kind, const char *rank, const char *team,
                                unsigned tasks, double gpus, const char *extra) {
  char *text = g_strdup_printf(
      "{%s\"id\":\"%s\",\"squad\":\"c\",\"club\":\"%s\",\"play\":\"%s\",\"rank\":\"%s\",\"runs\":%u,\"cpus\":%f,"
      "\"gpus\":%f,\"memGb\":10,\"kit\":\"img\",\"pullGb\":1,\"builds\":null,\"ground\":null%s%s,\"loaners\":true,"
      "\"expectS\":10,\"markS\":0,\"stowS\":0,\"whistleS\":null}",
      "", id, team, kind, rank, tasks, gpus, gpus, strstr(extra, "samePlace") ? "" : ",\"samePlace\":false",
      strstr(extra, "scatter") ? "" : ",\"scatter\":false");
  GString *full = g_string_new(text);
  if (*extra) {
    g_string_truncate(full, full->len - 1);
    g_string_append_printf(full, ",%s}", extra);
  }
  fc_job_record r = {.phase = FC_PHASE_ACCEPTED, .done = "", .slices = 1};
  char error[200];
  assert_true(fc_job_spec_parse(full->str, full->len, &r.spec, error, sizeof error));
  fc_job *j = fc_table_put_job(t, id, &r, 5, true, 0);
  fc_job_spec_clear(&r.spec);
  g_string_free(full, TRUE);
  g_free(text);
  return j;
}

#endif
