/* Logs and counts responses of other services that can't be read. A fault of a service may be in each of its
 * responses, so the rate of the log lines is limited. Nothing here suspends the calling routine. */
#ifndef FC_PROTOCOL_UNREADABLE_RESPONSES_H
#define FC_PROTOCOL_UNREADABLE_RESPONSES_H

#include <stddef.h>
#include <stdint.h>

#include "protocol/json.h"

typedef enum { FC_RESPONDER_STORE, FC_RESPONDER_CLOUD, FC_RESPONDER_WORKER, FC_RESPONDERS } fc_responder;

/* Names of the responders, for logs and metrics. */
extern const char *const fc_responder_names[FC_RESPONDERS];

/* Counts a response to the request for `path`, of `length` bytes, and logs it with its error unless one of the same
 * service was logged within the last seconds. */
void fc_unreadable_response_note(fc_responder responder, const char *path, size_t length,
                                 const fc_message_error *error);
/* How many responses of the service could not be read since the start of the process. */
uint64_t fc_unreadable_response_count(fc_responder responder);

#endif
