/*
 * Which model, adapter and version each upstream holds. Upstreams of a service
 * follow its rollout: as many hold the new version as the step in force says,
 * none when it is rolled back, and nothing moves while it is paused. Upstreams
 * that are registered without a service are a pool, given to model services by
 * demand.
 *
 * Changes are few and slow: whoever holds what is wanted keeps it, at most so
 * many upstreams load at once, nothing is loaded while the weight store gives
 * no permits, and no service loses warm upstreams below its floor by a change.
 * A version that does not come up therefore stops its own rollout.
 *
 * The planner only says what is desired: a new PlacementDocument, stored by
 * conditional update on the version that was read. Each changed assignment
 * carries the new document's version as its fencing number, which only rises,
 * also for an upstream that is removed and registered again.
 *
 * One entry plans, chosen by placement_choose_planner(); two that both plan for
 * a while are told apart by the conditional update.
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
	uint32_t loads_max; /* upstreams that load at once, in all */
	uint32_t warm_percent; /* of a service's upstreams that stay warm */
	int64_t demand_smoothing_ms; /* time constant of the smoothed demand */
	int64_t pool_move_interval_ms; /* between two moves in the pool */
	uint32_t pool_ratio_percent; /* of demand per upstream, to move one */
};

/* An upstream as its sidecar or its host last reported it; strings are copied.
 */
struct placement_observation {
	const char *upstream;
	bool live;
	bool warm;
	const char *model;
	const char *adapter;
	const char *model_version;
	uint64_t fencing; /* the newest that the upstream has seen */
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
