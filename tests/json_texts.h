/* Draws random JSON texts from the grammar of RFC 8259, adds them to messages as unknown members, and damages
 * texts so that they are not JSON any more. Equal states of the random generator give equal texts. */
#ifndef FC_TESTS_JSON_TEXTS_H
#define FC_TESTS_JSON_TEXTS_H

#include <glib.h>
#include <stddef.h>

/* Appends a random value of at most about `max_bytes`: numbers of any size and form, strings with all kinds of escapes,
 * nested and wide containers, repeated names, white space. */
void json_text_append_value(GString *out, GRand *rand, size_t max_bytes);

/* Adds members with random values to objects of the message at any depth, at their start and end, until it has
 * grown by `max_bytes` or a few are added. Their names are no names of the protocol. */
void json_text_add_unknown_members(GString *message, GRand *rand, size_t max_bytes);

/* Damages the text of an object in one way. Returns the name of the damage, a constant. */
const char *json_text_damage(GString *object, GRand *rand);

/* Changes, inserts, removes or copies a few bytes anywhere, so that the text may be JSON or not. */
void json_text_mutate(GString *text, GRand *rand);

#endif
