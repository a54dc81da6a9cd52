/* Set-up that scenes (tests of whole controllers in the simulated world) have in common: the deployment,
 * its machines, and series of similar jobs. */
#ifndef FC_TESTS_SCENE_H
#define FC_TESTS_SCENE_H

#include "check.h"

#include "sim/world.h"

typedef struct scene_setup {
  uint32_t seed;
  unsigned capacity, spot_capacity; /* ordinary and spot machines that the cloud can rent out in each zone */
  bool keep_idle;                   /* idle machines are not returned */
  bool images_cached;               /* machines have every container image */
  unsigned machines[2];             /* by zone: ordinary machines that run from the start */
} scene_setup;

/* Everything that is set before the controllers start; a scene may set more before scene_start(). */
static inline void scene_prepare(const scene_setup *setup) {
  world_set_up(setup->seed, 0);
  world_capacity(setup->capacity, setup->spot_capacity);
  if (setup->keep_idle) world_keep_idle();
  if (setup->images_cached) world_cache_images();
}

static inline void scene_start(const scene_setup *setup) {
  world_start_nodes();
  world_add_machines(0, setup->machines[0]);
  world_add_machines(1, setup->machines[1]);
}

static inline void scene_begin(const scene_setup *setup) {
  scene_prepare(setup);
  scene_start(setup);
}

/* Jobs that differ only in their ids and submission times. */
typedef struct scene_jobs {
  unsigned first, count; /* the number in the first id; the ids are consecutive */
  const char *kind, *priority;
  unsigned tasks;
  double gpus, run_s;
  double in_s, every_s; /* delay until the first submission; interval between submissions */
} scene_jobs;

static inline void scene_submit(const scene_jobs *jobs) {
  for (unsigned k = 0; k < jobs->count; k++)
    world_submit(world_id(jobs->first + k), jobs->kind, jobs->priority, jobs->tasks, jobs->gpus, jobs->run_s,
                 jobs->in_s + k * jobs->every_s);
}

/* Services of priority prod with one GPU per task, which run until they are cancelled; the first is
 * submitted in 5 s. */
static inline void scene_submit_services(unsigned count, unsigned tasks, double every_s) {
  scene_submit(&(scene_jobs){.count = count,
                             .kind = "service",
                             .priority = "prod",
                             .tasks = tasks,
                             .gpus = 1,
                             .run_s = 1e6,
                             .in_s = 5,
                             .every_s = every_s});
}

#endif
