/* The simulated controllers: their settings, versions, processes and links. */
#ifndef FC_TESTS_SIM_DEPLOYMENT_H
#define FC_TESTS_SIM_DEPLOYMENT_H

#include "controller/controller.h"
#include "stand_ins.h"

/* ---- deployment.c: settings and versions ---- */

/* Gives every controller the default settings and the current version. Call after kv_init(). */
void deployment_init(void);
/* The settings that the controller reads when it starts. */
fc_settings *deployment_settings(unsigned node);
/* Sets the version that the controller runs from its next start on. */
void deployment_set_former(unsigned node, bool former);
/* A sim_sender_tag_fn: the version that runs at the address now. */
unsigned deployment_version_at(uint32_t ip);

/* ---- controllers.c: processes ---- */

/* Clears the crash triggers and the count of terms. */
void controllers_init(void);

/* ---- links.c: faults of the network ---- */

/* Removes all faults. */
void links_init(void);
/* A sim_link_fn: whether traffic between the two addresses passes, is held or is reset now. */
sim_link links_state(uint32_t from, uint32_t to);
/* The number of the controller at the address, or -1. */
int links_controller_at(uint32_t ip);
/* The number of the controller that sent the request, or -1 if the sender is not a controller. */
int links_sender(const struct sim_exchange *exchange);
/* Adds a fault that starts now; the struct is copied. */
void links_add_fault(const link_fault *fault);

/* ---- random_faults.c ---- */

/* Starts random faults one after the other; none starts after `end`. */
void random_faults_start(double end);

#endif
