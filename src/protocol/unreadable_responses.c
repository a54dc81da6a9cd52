#include "protocol/unreadable_responses.h"

#include <stdbool.h>

#include "transport/routine.h"

#define LOG_INTERVAL_S 5.0

const char *const fc_responder_names[FC_RESPONDERS] = {
    [FC_RESPONDER_STORE] = "store",
    [FC_RESPONDER_CLOUD] = "cloud",
    [FC_RESPONDER_WORKER] = "worker",
};

static struct {
  uint64_t count;
  bool logged;
  double logged_at;
} g_responders[FC_RESPONDERS];

void fc_unreadable_response_note(fc_responder responder, const char *path, size_t length,
                                 const fc_message_error *error) {
  g_responders[responder].count++;
  double now = fc_now();
  if (g_responders[responder].logged && now - g_responders[responder].logged_at < LOG_INTERVAL_S) return;
  g_responders[responder].logged = true;
  g_responders[responder].logged_at = now;
  g_warning("unreadable response from=%s path=%s length=%zu offset=%zu reason=%s count=%" G_GUINT64_FORMAT,
            fc_responder_names[responder], path, length, error->offset, error->text,
            (guint64)g_responders[responder].count);
}

uint64_t fc_unreadable_response_count(fc_responder responder) {
  return g_responders[responder].count;
}
