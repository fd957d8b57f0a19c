/*
 * What placement.c, placement_pool.c and placement_rollout.c share of one plan.
 */
#ifndef POLICY_PLACEMENT_STATE_H
#define POLICY_PLACEMENT_STATE_H

#include <glib.h>

#include "policy/placement.h"

/* What an upstream holds or is to hold; strings are borrowed. */
struct model_spec {
	const char *model;
	const char *adapter;
	const char *version;
};

/* One upstream in the plan. */
struct planned_upstream {
	const Heatherturn__V1__Upstream *upstream;
	const char *service; /* its own or the one that the pool gives it to */
	struct model_spec loaded; /* as observed; all NULL where not known */
	struct model_spec desired; /* all NULL for nothing yet */
	uint64_t fencing; /* of its assignment */
	uint64_t observed_fencing;
	bool assigned; /* wanted is valid for its service */
	bool usable; /* in service, as is its failure domain */
	bool leaving;
	bool warm; /* live, warm, and holds what is wanted */
	bool loading; /* live, and does not hold yet what is wanted */
	bool changed;
};

struct plan {
	const struct placement_limits *limits;
	const Heatherturn__V1__ConfigDocument *config;
	struct planned_upstream
	    *planned_upstreams; /* in the order of the configuration */
	size_t count;
	uint32_t loads_allowed; /* that may begin now */
	bool pool_cooldown; /* the last move in the pool is too recent */
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
const Heatherturn__V1__Rollout *placement_rollout_of(
    const struct plan *, const struct model_spec *);

#endif
