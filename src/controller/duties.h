/* Duties that only the assembly and the round need to know of. */
#ifndef FC_CONTROLLER_DUTIES_H
#define FC_CONTROLLER_DUTIES_H

#include "controller/controller.h"
#include "scheduler/team_quota.h"

void fc_quota_main(void *controller);
/* What this part may start now for each team. */
void fc_quota_allowance(const fc_controller *controller, fc_allowance *out);

/* Hands over and lends what this round has shown to be better elsewhere. */
void fc_share_round(fc_controller *controller);

#endif
