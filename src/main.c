/* fieldcleat: command line, logging, and the assembly of one controller. */
#include <glib.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controller/controller.h"
#include "controller/duties.h"

#define VERSION "0.1.0"

static GLogLevelFlags g_most = G_LOG_LEVEL_MESSAGE;

/* One line per event: level, steady time, message. */
static GLogWriterOutput write_log(GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data) {
  (void)data;
  if ((level & G_LOG_LEVEL_MASK) > g_most) return G_LOG_WRITER_HANDLED;
  const char *message = "";
  for (gsize i = 0; i < n; i++)
    if (strcmp(fields[i].key, "MESSAGE") == 0) message = fields[i].value;
  const char *name = level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL) ? "error"
                     : level & G_LOG_LEVEL_WARNING                      ? "warning"
                     : level & G_LOG_LEVEL_DEBUG                        ? "debug"
                                                                        : "info";
  char line[1024];
  int len = g_snprintf(line, sizeof line, "%s %.3f %s\n", name, fc_now(), message);
  if (len >= (int)sizeof line) {
    len = sizeof line - 1;
    line[len - 1] = '\n';
  }
  (void)!fwrite(line, 1, (size_t)len, stderr);
  return G_LOG_WRITER_HANDLED;
}

static void set_log_level(void) {
  const char *level = g_getenv("LOG_LEVEL");
  if (!level) return;
  if (strcmp(level, "error") == 0) g_most = G_LOG_LEVEL_CRITICAL;
  if (strcmp(level, "info") == 0) g_most = G_LOG_LEVEL_INFO;
  if (strcmp(level, "debug") == 0) g_most = G_LOG_LEVEL_DEBUG;
}

static int start(const fc_settings *settings) {
  if (!fc_loop_init()) {
    fprintf(stderr, "fieldcleat: no event loop\n");
    return 1;
  }
  fc_controller *c = g_new0(fc_controller, 1);
  c->settings = settings;
  c->started_at = c->types_at = fc_now();
  for (size_t k = 0; k < settings->peer_count; k++) c->peers[k].fresh_at = -1e9;
  c->fresh_sent = -1e9;
  c->table = fc_table_new(settings);
  c->state = fc_state_new(&settings->state_at);
  c->cloud = fc_cloud_new(&settings->cloud_at);
  c->recording = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  double nodes = (double)(settings->peer_count + 1);
  c->commit = fc_commit_new(c->state, settings->state_txn_ops, settings->state_write_rps / nodes,
                            settings->state_rps / nodes * 0.35, settings->report_s * 0.75);
  fc_budget_init(&c->cloud_budget, settings->cloud_rps / nodes, MAX(1.0, settings->cloud_rps / nodes), fc_now());
  fc_right_init(&c->right, settings->lease_s * settings->op.member_lease_share, settings->lease_s,
                settings->cancel_s, settings->report_s);
  if (!fc_front_start(c)) {
    fprintf(stderr, "fieldcleat: client_listen: can't listen there\n");
    return 1;
  }
  if (!fc_peers_start(c)) {
    fprintf(stderr, "fieldcleat: peer_listen: can't listen there\n");
    return 1;
  }
  fc_routine_fn duties[] = {fc_watch_main, fc_commit_duty, fc_member_main, fc_round_main, fc_quota_main, fc_rent_main};
  for (size_t i = 0; i < G_N_ELEMENTS(duties); i++) {
    if (!fc_routine_spawn(duties[i], c)) {
      fprintf(stderr, "fieldcleat: out of memory\n");
      return 1;
    }
  }
  g_message("start name=%s zone=%s version=" VERSION, settings->name, settings->zone);
  fc_loop_run();
  return 0;
}

int main(int argc, char **argv) {
  static gchar *config, *operator_file; /* kept: they live as long as the process */
  gboolean check = FALSE, version = FALSE;
  GOptionEntry entries[] = {
      {"config", 'c', 0, G_OPTION_ARG_FILENAME, &config, "The platform's settings (JSON)", "FILE.json"},
      {"operator", 'o', 0, G_OPTION_ARG_FILENAME, &operator_file, "The operators' own settings", "FILE.toml"},
      {"check", 0, 0, G_OPTION_ARG_NONE, &check, "Check the settings and end", NULL},
      {"version", 0, 0, G_OPTION_ARG_NONE, &version, "Print the version and end", NULL},
      {NULL, 0, 0, 0, NULL, NULL, NULL}};
  GError *err = NULL;
  GOptionContext *context = g_option_context_new("- a cluster scheduler's controller");
  g_option_context_add_main_entries(context, entries, NULL);
  bool parsed = g_option_context_parse(context, &argc, &argv, &err);
  g_option_context_free(context);
  if (!parsed || argc > 1) {
    fprintf(stderr, "fieldcleat: %s\n", err ? err->message : "unexpected argument; see --help");
    g_clear_error(&err);
    return 2;
  }
  if (version) {
    puts("fieldcleat " VERSION);
    return 0;
  }
  if (!config) {
    fprintf(stderr, "fieldcleat: --config is missing; see --help\n");
    return 2;
  }
  static fc_settings settings;
  char error[400];
  if (!fc_settings_load(config, &settings, error, sizeof error) ||
      (operator_file && !fc_operator_load(operator_file, &settings.op, error, sizeof error))) {
    fprintf(stderr, "fieldcleat: %s\n", error);
    return 2;
  }
  if (check) {
    puts("settings are good");
    return 0;
  }
  set_log_level();
  g_log_set_writer_func(write_log, NULL, NULL);
  (void)signal(SIGPIPE, SIG_IGN);
  /* One thread: a second arena would only cost memory. */
  (void)mallopt(M_ARENA_MAX, 1);
  return start(&settings);
}
