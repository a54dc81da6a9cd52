/* Fencing tokens of commands to workers. A worker refuses commands with a token below the highest that
 * it has seen. Each term reserves a range of tokens: its number, with which its commands begin, and
 * raised tokens, with which a single worker is made to refuse commands that were sent to it earlier
 * in the same term. The tokens of a later term are higher than all of them. Pure arithmetic.
 *
 * Versions without raised tokens number a term one above the term before. Such a number reserves no
 * raised tokens, and falls below those of the term before. */
#ifndef FC_COORDINATION_FENCING_TOKEN_H
#define FC_COORDINATION_FENCING_TOKEN_H

#include <stdbool.h>
#include <stdint.h>

/* The number of the term to commit after the one with this number; 0: there is none yet. */
uint64_t fc_next_term_number(uint64_t number);
/* Whether no other term can lie between the terms with these numbers. */
bool fc_term_number_follows(uint64_t number, uint64_t previous);
/* Whether the term has raised tokens. */
bool fc_term_reserves_tokens(uint64_t number);

/* Whether the token is one of the term's. */
bool fc_fencing_token_in_term(uint64_t token, uint64_t term);
/* Whether the token is of a term after this one. */
bool fc_fencing_token_is_newer(uint64_t token, uint64_t term);
/* The lowest token of the term that a worker accepts after it has shown the token `shown`, which must
 * not be of a later term. */
uint64_t fc_fencing_token_accepted(uint64_t shown, uint64_t term);
/* How many raised tokens of the term there are up to this one; 0: it is not one of them. */
unsigned fc_fencing_tokens_raised(uint64_t token, uint64_t term);
/* Whether so few raised tokens of the term are left above this one that a new term is needed soon. */
bool fc_fencing_token_nearly_last(uint64_t token, uint64_t term);
/* The lowest raised token of the term above its token `token`; `token` itself if there is none. */
uint64_t fc_fencing_token_raise(uint64_t token, uint64_t term);

#endif
