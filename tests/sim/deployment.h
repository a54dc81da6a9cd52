/* The simulated controllers: their settings and versions, their processes and their links. */
#ifndef FC_TESTS_SIM_DEPLOYMENT_H
#define FC_TESTS_SIM_DEPLOYMENT_H

#include "controller/controller.h"
#include "stand_ins.h"

/* ---- deployment.c: settings and versions ---- */

/* Every controller has the usual settings and the present version. The key-value store has to
 * be set up before. */
void deployment_init(void);
/* A controller's settings, which it reads as it starts. */
fc_settings *deployment_settings(unsigned node);
/* The controller's version from its next start on. */
void deployment_set_former(unsigned node, bool former);
/* A sim_sender_tag_fn: which version runs at the address now. */
unsigned deployment_version_at(uint32_t ip);

/* ---- controllers.c: processes ---- */

void controllers_init(void);

/* ---- links.c: who reaches whom ---- */

void links_init(void);
/* How traffic between the two fares now; for sim_set_links(). */
sim_link links_state(uint32_t from, uint32_t to);
/* The number of the controller at the address; -1: none is. */
int links_controller_at(uint32_t ip);
/* The number of the controller that sent the request; -1: somebody else did. */
int links_sender(const struct sim_exchange *exchange);
void links_add_fault(const link_fault *fault);

/* ---- random_faults.c ---- */

/* Draws faults, one after the other, none after `end`. */
void random_faults_start(double end);

#endif
