/* fieldcleat: command line, logging, and the assembly of one controller. */
#include <glib.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controller/controller.h"

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
  fc_controller *controller;
  fc_controller_error error = fc_controller_start(settings, &controller);
  if (error != FC_CONTROLLER_OK) {
    fprintf(stderr, "fieldcleat: %s\n", fc_controller_strerror(error));
    return 1;
  }
  g_message("start name=%s zone=%s version=" VERSION, settings->name, settings->zone);
  fc_loop_run();
  return 0;
}

int main(int argc, char **argv) {
  static gchar *config, *operator_file; /* used as long as the process runs */
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
  const char *tight = fc_settings_warning(&settings);
  if (tight) fprintf(stderr, "fieldcleat: warning: %s\n", tight);
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
