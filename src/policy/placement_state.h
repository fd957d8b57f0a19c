/*
 * Internal state of one planning run, shared by placement.c, placement_pool.c
 * and placement_rollout.c.
 */
#ifndef POLICY_PLACEMENT_STATE_H
#define POLICY_PLACEMENT_STATE_H

#include <glib.h>

#include "policy/placement.h"

/*
 * Model, adapter and version that an upstream has loaded or is to load. Strings
 * are borrowed.
 */
struct model_spec {
	const char *model;
	const char *adapter;
	const char *version;
};

/* One upstream in the plan. */
struct planned_upstream {
	const Heatherturn__V1__Upstream *upstream;
	const char *service; /* its own or as assigned by the pool */
	struct model_spec loaded; /* as last observed; all NULL if unknown */
	struct model_spec desired; /* all NULL if nothing is assigned yet */
	uint64_t fencing; /* fencing number of its assignment */
	uint64_t observed_fencing; /* as last reported by the engine */
	bool assigned; /* desired is valid for its service */
	bool usable; /* it and its failure domain are in service */
	bool leaving; /* not usable: its sidecar drains it */
	bool warm; /* live, warm, and has the desired model loaded */
	bool loading; /* live, but has not yet loaded the desired model */
	bool changed; /* its assignment differs from the current document */
};

struct plan {
	const struct placement_limits *limits;
	const Heatherturn__V1__ConfigDocument *config;
	struct planned_upstream *planned_upstreams; /* in configuration order */
	size_t count;
	uint32_t loads_allowed; /* number of loads that may start now */
	bool pool_cooldown; /* the last move is too recent for another */
};

bool model_spec_equal(const struct model_spec *, const struct model_spec *);
size_t plan_count_usable(const struct plan *, const char *service);
bool plan_may_assign(const struct plan *, const struct planned_upstream *,
    const struct model_spec *);
void plan_assign(
    struct plan *, struct planned_upstream *, const struct model_spec *);

void placement_roll_out(struct plan *, const Heatherturn__V1__Rollout *);
bool placement_assign_pool(
    struct plan *, double (*demand)(void *, const char *service), void *data);
const Heatherturn__V1__Rollout *plan_find_rollout(
    const struct plan *, const struct model_spec *);

#endif
