/* The state service's calls, typed. Every call waits in its routine. */
#ifndef FC_PROTOCOL_STATE_API_H
#define FC_PROTOCOL_STATE_API_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "transport/conn.h"

typedef struct fc_state fc_state;

typedef enum {
  FC_STATE_OK,
  FC_STATE_CONFLICT, /* a condition failed: nothing was changed */
  FC_STATE_GONE,     /* no such key or lease, or the history is too old */
  FC_STATE_BUSY,     /* 429: not executed */
  FC_STATE_DOWN,     /* 503 or no connection: not executed */
  FC_STATE_UNKNOWN,  /* no answer: executed, not executed, or executed later */
  FC_STATE_REFUSED,  /* malformed, or an answer that makes no sense */
} fc_state_result;

/* value NULL: the key was removed. Freed with fc_change_free. */
typedef struct fc_change {
  char *key;
  json_t *value;
  uint64_t version;
} fc_change;
void fc_change_free(gpointer change);

typedef struct fc_txn fc_txn;
fc_txn *fc_txn_new(void);
void fc_txn_free(fc_txn *t);
void fc_txn_if(fc_txn *t, const char *key, uint64_t version); /* 0: does not exist */
void fc_txn_put(fc_txn *t, const char *key, json_t *value);   /* takes the reference */
void fc_txn_put_leased(fc_txn *t, const char *key, json_t *value, uint64_t lease);
void fc_txn_delete(fc_txn *t, const char *key);
size_t fc_txn_writes(const fc_txn *t);

fc_state *fc_state_new(const fc_endpoint *at);
void fc_state_free(fc_state *s);
/* On OK *revision is the revision of the change; on CONFLICT `failed` (may be
 * NULL) receives the keys whose conditions failed, owned by the array. */
fc_state_result fc_state_commit(fc_state *s, const fc_txn *t, double deadline, uint64_t *revision, GPtrArray *failed);
/* One key's value, the reference the caller's; GONE: there is none. */
fc_state_result fc_state_get(fc_state *s, const char *key, double deadline, json_t **value);
/* One page in key order, after `after` (NULL: from the start). */
fc_state_result fc_state_list(fc_state *s, const char *prefix, const char *after, unsigned limit, double deadline,
                              GPtrArray *out, bool *more, uint64_t *revision);
/* All changes after `from`, oldest first. Waits up to wait_s for the first. */
fc_state_result fc_state_changes(fc_state *s, const char *prefix, uint64_t from, double wait_s, double deadline,
                                 GPtrArray *out, uint64_t *revision);
fc_state_result fc_state_lease_open(fc_state *s, double ttl_s, double deadline, uint64_t *lease);
fc_state_result fc_state_lease_renew(fc_state *s, uint64_t lease, double deadline);

#endif
