/*
 * Runs a prompt that is too large for one engine on a group of engines: probes
 * the upstreams of its service, and executes the actions of the group's state
 * machine in policy/group.h.
 */
#ifndef ENTRY_GROUP_RUN_H
#define ENTRY_GROUP_RUN_H

#include "entry/job.h"

/* Maximum number of upstreams that are probed for one group. */
#define GROUP_RUN_CANDIDATES_MAX 32

struct dispatch_exchange *group_run_start(struct dispatch *,
    const struct job_spec *, const struct job_ops *, void *data);
uint64_t group_run_largest_engine_tokens(
    const struct dispatch *, const char *service, uint64_t *total);

#endif
