/* The program fieldcleat: reads the command line and the settings, sets up logging and runs one controller. */
#include <glib.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controller/controller.h"
#include "transport/routine.h"

#define VERSION "0.1.0"

#define EXIT_USAGE 2 /* invalid options or settings */

#define LOG_LINE_SIZE 1024
#define ERROR_SIZE 400

/* ---- logging ---- */

/* The least severe level that is printed. */
static GLogLevelFlags g_log_level = G_LOG_LEVEL_MESSAGE;

static const char *level_name(GLogLevelFlags level) {
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL)) return "error";
  if (level & G_LOG_LEVEL_WARNING) return "warning";
  return level & G_LOG_LEVEL_DEBUG ? "debug" : "info";
}

/* Writes one line per event to stderr: level, monotonic time in seconds, message; long lines are cut. */
static GLogWriterOutput write_log(GLogLevelFlags level, const GLogField *fields, gsize field_count, gpointer data) {
  (void)data;
  if ((level & G_LOG_LEVEL_MASK) > g_log_level) return G_LOG_WRITER_HANDLED;
  const char *message = "";
  for (gsize i = 0; i < field_count; i++)
    if (strcmp(fields[i].key, "MESSAGE") == 0) message = fields[i].value;
  char line[LOG_LINE_SIZE];
  int length = g_snprintf(line, sizeof line, "%s %.3f %s\n", level_name(level), fc_now(), message);
  if (length >= (int)sizeof line) {
    length = sizeof line - 1;
    line[length - 1] = '\n';
  }
  (void)!fwrite(line, 1, (size_t)length, stderr);
  return G_LOG_WRITER_HANDLED;
}

static void init_logging(void) {
  const char *level = g_getenv("LOG_LEVEL");
  if (g_strcmp0(level, "error") == 0) g_log_level = G_LOG_LEVEL_CRITICAL;
  if (g_strcmp0(level, "info") == 0) g_log_level = G_LOG_LEVEL_INFO;
  if (g_strcmp0(level, "debug") == 0) g_log_level = G_LOG_LEVEL_DEBUG;
  g_log_set_writer_func(write_log, NULL, NULL);
}

/* ---- command line ---- */

typedef struct options {
  gchar *config, *operator_file; /* paths; never freed */
  gboolean check, version;
} options;

/* Returns false after printing an error. */
static bool parse_options(int argc, char **argv, options *out) {
  const GOptionEntry entries[] = {
      {"config", 'c', 0, G_OPTION_ARG_FILENAME, &out->config, "The platform's settings (JSON)", "FILE.json"},
      {"operator", 'o', 0, G_OPTION_ARG_FILENAME, &out->operator_file, "The operators' settings (TOML)", "FILE.toml"},
      {"check", 0, 0, G_OPTION_ARG_NONE, &out->check, "Check the settings and exit", NULL},
      {"version", 0, 0, G_OPTION_ARG_NONE, &out->version, "Print the version and exit", NULL},
      {NULL, 0, 0, 0, NULL, NULL, NULL}};
  GError *error = NULL;
  GOptionContext *context = g_option_context_new("- a cluster scheduler's controller");
  g_option_context_add_main_entries(context, entries, NULL);
  bool parsed = g_option_context_parse(context, &argc, &argv, &error);
  g_option_context_free(context);
  if (parsed && argc == 1) return true;
  fprintf(stderr, "fieldcleat: %s\n", error ? error->message : "unexpected argument; see --help");
  g_clear_error(&error);
  return false;
}

/* Returns false after printing an error. */
static bool load_settings(const options *given, fc_settings *out) {
  char error[ERROR_SIZE];
  if (!given->config) {
    fprintf(stderr, "fieldcleat: --config is missing; see --help\n");
    return false;
  }
  if (!fc_settings_load(given->config, out, error, sizeof error) ||
      (given->operator_file && !fc_operator_load(given->operator_file, &out->operator_settings, error, sizeof error))) {
    fprintf(stderr, "fieldcleat: %s\n", error);
    return false;
  }
  const char *warning = fc_settings_warning(out);
  if (warning) fprintf(stderr, "fieldcleat: warning: %s\n", warning);
  return true;
}

/* Runs a controller until the process is killed. Returns the exit code when it cannot start. */
static int run_controller(const fc_settings *settings) {
  if (!fc_loop_init()) {
    fprintf(stderr, "fieldcleat: cannot create the event loop\n");
    return EXIT_FAILURE;
  }
  fc_controller *controller;
  fc_controller_error error = fc_controller_start(settings, &controller);
  if (error != FC_CONTROLLER_OK) {
    fprintf(stderr, "fieldcleat: %s\n", fc_controller_strerror(error));
    return EXIT_FAILURE;
  }
  g_message("start name=%s zone=%s version=" VERSION, settings->name, settings->zone);
  fc_loop_run();
  return EXIT_SUCCESS;
}

int main(int argc, char **argv) {
  static options given;
  static fc_settings settings;
  if (!parse_options(argc, argv, &given)) return EXIT_USAGE;
  if (given.version) {
    puts("fieldcleat " VERSION);
    return EXIT_SUCCESS;
  }
  if (!load_settings(&given, &settings)) return EXIT_USAGE;
  if (given.check) {
    puts("settings are good");
    return EXIT_SUCCESS;
  }
  init_logging();
  (void)signal(SIGPIPE, SIG_IGN);
  /* The process has one thread: more malloc arenas would only cost memory. */
  (void)mallopt(M_ARENA_MAX, 1);
  return run_controller(&settings);
}
