/*
 * The run of a prompt that is larger than one engine: asks all upstreams of its
 * service, and carries out what the group's state machine decides.
 */
#ifndef ENTRY_GROUP_RUN_H
#define ENTRY_GROUP_RUN_H

#include "entry/job.h"

/* Upstreams that are asked to take part, at the most. */
#define GROUP_RUN_CANDIDATES_MAX 32

struct exchange *group_run_start(struct dispatch *, const struct job_spec *,
    const struct job_ops *, void *data);
uint64_t group_run_largest_engine_tokens(
    const struct dispatch *, const char *service, uint64_t *total);

#endif
