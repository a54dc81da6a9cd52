/* Parsing and validation of workers' heartbeats. */
#include "check.h"

#include "protocol/worker_api.h"

static void heartbeats_are_validated(void **state) {
  (void)state;
  static const struct {
    const char *name, *text;
    bool valid;
  } rows[] = {
      {"as documented",
       "{\"paddock\":\"vm-1\",\"endpoint\":\"10.1.0.2:9000\",\"build\":\"g8\",\"ground\":\"a\",\"loaners\":true,"
       "\"stint\":1,\"tally\":88,\"captaincy\":41,\"recallS\":null,\"runs\":[{\"run\":\"job-000412/3\",\"kickoff\":2,"
       "\"status\":\"exited\",\"cause\":\"stopped\",\"saved\":true}]}",
       true},
      {"no tasks field",
       "{\"paddock\":\"vm-1\",\"endpoint\":\"10.1.0.2:9000\",\"build\":\"g8\",\"ground\":\"a\",\"stint\":1,\"tally\":1,"
       "\"captaincy\":0}",
       false},
      {"task without a number",
       "{\"paddock\":\"vm-1\",\"endpoint\":\"x\",\"build\":\"g8\",\"ground\":\"a\",\"stint\":1,\"tally\":1,"
       "\"captaincy\":0,\"runs\":[{\"run\":\"job-000412\",\"kickoff\":2,\"status\":\"running\"}]}",
       false},
      {"unknown state",
       "{\"paddock\":\"vm-1\",\"endpoint\":\"x\",\"build\":\"g8\",\"ground\":\"a\",\"stint\":1,\"tally\":1,"
       "\"captaincy\":0,\"runs\":[{\"run\":\"job-000412/1\",\"kickoff\":2,\"status\":\"flying\"}]}",
       false},
      {"negative fencing token",
       "{\"paddock\":\"vm-1\",\"endpoint\":\"x\",\"build\":\"g8\",\"ground\":\"a\",\"stint\":1,\"tally\":1,"
       "\"captaincy\":-1,\"runs\":[]}",
       false},
      {"not JSON", "report", false},
  };
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    fc_heartbeat heartbeat;
    fc_message_error error;
    bool parsed = fc_heartbeat_parse(rows[i].text, strlen(rows[i].text), &heartbeat, &error);
    check_row(rows[i].name, parsed == rows[i].valid);
    if (!parsed) continue;
    check_row(rows[i].name, heartbeat.task_count == 1 && heartbeat.tasks[0].index == 3 && heartbeat.tasks[0].saved &&
                                heartbeat.spot_notice_s < 0);
    fc_heartbeat_clear(&heartbeat);
  }
}

/* A heartbeat with FC_HEARTBEAT_TASKS_MAX tasks is parsed completely; one with more is rejected. */
static void heartbeats_with_many_tasks(void **state) {
  (void)state;
  static const struct {
    unsigned tasks;
    bool parsed;
  } rows[] = {{0, true}, {900, true}, {4096, true}, {4097, false}};
  for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
    GString *text = g_string_new(
        "{\"paddock\":\"vm-1\",\"endpoint\":\"10.1.0.2:9000\",\"build\":\"g4\",\"ground\":\"a\",\"loaners\":false,"
        "\"stint\":1,\"tally\":1,\"captaincy\":1,\"runs\":[");
    for (unsigned k = 0; k < rows[i].tasks; k++)
      g_string_append_printf(text, "%s{\"run\":\"job-000001/%u\",\"kickoff\":1,\"status\":\"running\"}", k ? "," : "",
                             k);
    g_string_append(text, "]}");
    fc_heartbeat heartbeat;
    fc_message_error error = {0};
    bool parsed = fc_heartbeat_parse(text->str, text->len, &heartbeat, &error);
    check_row("large heartbeat", parsed == rows[i].parsed);
    check_row("large heartbeat", parsed ? heartbeat.task_count == rows[i].tasks : strstr(error.text, "runs") != NULL);
    if (parsed) fc_heartbeat_clear(&heartbeat);
    g_string_free(text, TRUE);
  }
}

int main(void) {
  const struct CMUnitTest tests[] = {
      cmocka_unit_test(heartbeats_are_validated),
      cmocka_unit_test(heartbeats_with_many_tasks),
  };
  return cmocka_run_group_tests(tests, NULL, NULL);
}
