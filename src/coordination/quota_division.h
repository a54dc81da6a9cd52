/* Shares of the teams' limits: who may use how much, so that the sum never
 * passes the limit whatever order messages come in. Pure arithmetic. */
#ifndef FC_COORDINATION_QUOTA_DIVISION_H
#define FC_COORDINATION_QUOTA_DIVISION_H

#include <stdbool.h>

#include "protocol/records.h"

/* One kind of resource of one team, over the parts. */
typedef struct fc_quota_demand {
  double used;   /* what may be running on the part's machines */
  double wanted; /* what its queue asks for besides */
  double least;  /* what the most modest of that can start with; 0: not known */
} fc_quota_demand;

/* First division in a term: every part keeps what it uses, the rest is dealt
 * by queued demand, what is left over evenly. False when the use already passes
 * the limit: with use that is only feared that can be, and then the shares say
 * nothing; they could not be raised and lowered safely later on. */
bool fc_quota_divide(double limit, const fc_quota_demand *parts, size_t count, double *shares);
/* What all the others hold and lack. */
typedef struct fc_quota_others {
  double assigned, lacking;
  size_t count;
} fc_quota_others;

/* The share this part should ask for now. Never below what it uses, never above
 * what the limit leaves. Every change is a write that others wait behind: a part
 * that needs more takes its part of what is free along, and gives back only when
 * others lack more than is free, and then half of what it can spare at least, or what
 * is too little for any that it wants. */
double fc_quota_adjust(double limit, const fc_quota_others *others, double own_share, const fc_quota_demand *own);

#endif
