/* Duties that only the assembly and the round need to know of. */
#ifndef FC_CONTROLLER_DUTIES_H
#define FC_CONTROLLER_DUTIES_H

#include "controller/controller.h"

/* Hands over and lends what this round has shown to be better elsewhere. */
void fc_share_round(fc_controller *controller);

#endif
