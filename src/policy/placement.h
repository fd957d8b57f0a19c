/*
 * Decides which model, adapter and version each upstream loads. Upstreams of a
 * service follow its rollout: the current step states how many of them run the
 * new version, none do after a rollback, and nothing changes while the rollout
 * is paused. Upstreams registered without a service form a pool and are
 * assigned to model services by demand.
 *
 * Changes are few and slow: an upstream that has the desired version keeps it,
 * the number of concurrent loads is limited, nothing is loaded while the weight
 * store grants no permits, and no change takes a service below its minimum of
 * warm upstreams. A version that fails to start therefore stops its own
 * rollout.
 *
 * The planner only produces the desired state: a new PlacementDocument, which
 * is stored by a conditional update against the version that was read. Each
 * changed assignment carries the new document's version as its fencing number.
 * Fencing numbers only increase, also for an upstream that is removed and
 * registered again.
 *
 * One entry plans, selected by placement_choose_planner(). If two entries plan
 * at the same time, the conditional update lets only one of them succeed.
 */
#ifndef POLICY_PLACEMENT_H
#define POLICY_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include "heatherturn/v1/operator.pb-c.h"

struct placement;

struct placement_limits {
	uint32_t loads_max; /* limit of concurrent loads, over all services */
	uint32_t warm_percent; /* of a service's upstreams, kept warm */
	int64_t demand_smoothing_ms; /* time constant of smoothing */
	int64_t pool_move_interval_ms; /* minimum time between two moves */
	uint32_t pool_ratio_percent; /* new service's demand over the old's */
};

/*
 * State of an upstream as last reported by its sidecar or host. Strings are
 * copied.
 */
struct placement_observation {
	const char *upstream;
	bool live;
	bool warm;
	const char *model;
	const char *adapter;
	const char *model_version;
	uint64_t fencing; /* highest that the upstream has seen */
};

void placement_limits_init(struct placement_limits *);
struct placement *placement_new(
    const struct placement_limits *, struct timespec now);
void placement_free(struct placement *);

void placement_observe(
    struct placement *, const struct placement_observation *);
void placement_update_demand(struct placement *, const char *service,
    double tokens_per_s, struct timespec now);
void placement_on_permit_refused(
    struct placement *, int64_t retry_after_ms, struct timespec now);

Heatherturn__V1__PlacementDocument *placement_plan(struct placement *,
    const Heatherturn__V1__ConfigDocument *,
    const Heatherturn__V1__PlacementDocument *current, struct timespec now);
size_t placement_choose_planner(const char *const *entries, size_t count);

#endif
