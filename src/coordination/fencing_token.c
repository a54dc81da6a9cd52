#include "coordination/fencing_token.h"

/* Numbers between consecutive terms. The lower half is left to terms of versions that count by one. */
#define TERM_NUMBER_STEP 4096u
#define FIRST_RAISED_TOKEN (TERM_NUMBER_STEP / 2)
#define NEARLY_LAST_TOKEN (TERM_NUMBER_STEP - TERM_NUMBER_STEP / 8)

bool fc_term_reserves_tokens(uint64_t number) {
  return number % TERM_NUMBER_STEP == 0;
}

uint64_t fc_next_term_number(uint64_t number) {
  uint64_t next = (number / TERM_NUMBER_STEP + 1) * TERM_NUMBER_STEP;
  /* One more step after a number that was counted by one, so that the result follows no other term directly. */
  return fc_term_reserves_tokens(number) ? next : next + TERM_NUMBER_STEP;
}

bool fc_term_number_follows(uint64_t number, uint64_t previous) {
  if (number == previous + 1) return true;
  return fc_term_reserves_tokens(previous) && number == fc_next_term_number(previous);
}

bool fc_fencing_token_in_term(uint64_t token, uint64_t term) {
  if (token == term) return true;
  return fc_term_reserves_tokens(term) && token >= term + FIRST_RAISED_TOKEN && token < term + TERM_NUMBER_STEP;
}

bool fc_fencing_token_is_newer(uint64_t token, uint64_t term) {
  return token > term && !fc_fencing_token_in_term(token, term);
}

uint64_t fc_fencing_token_accepted(uint64_t shown, uint64_t term) {
  return fc_fencing_token_in_term(shown, term) ? shown : term;
}

unsigned fc_fencing_tokens_raised(uint64_t token, uint64_t term) {
  if (token == term || !fc_fencing_token_in_term(token, term)) return 0;
  return (unsigned)(token - term - FIRST_RAISED_TOKEN) + 1;
}

bool fc_fencing_token_nearly_last(uint64_t token, uint64_t term) {
  return fc_fencing_token_in_term(token, term) && token >= term + NEARLY_LAST_TOKEN;
}

uint64_t fc_fencing_token_raise(uint64_t token, uint64_t term) {
  if (!fc_term_reserves_tokens(term)) return token;
  uint64_t raised = token == term ? term + FIRST_RAISED_TOKEN : token + 1;
  return fc_fencing_token_in_term(raised, term) ? raised : token;
}
