/* Assigns the upstreams of the pool to model services. */
#include <string.h>

#include "policy/placement_state.h"

/* A service's demand per upstream. */
struct service_demand {
	const Heatherturn__V1__Rollout *rollout;
	double demand_one_more; /* with one more upstream */
	double demand_one_fewer; /* with one fewer; DBL_MAX for the last */
};

/* Returns whether an upstream belongs to the pool. */
static bool
is_in_pool(const struct planned_upstream *planned)
{
	return planned->upstream->service[0] == '\0';
}

/* Returns a service's demand per upstream. */
static struct service_demand
measure_demand(const struct plan *plan, const Heatherturn__V1__Rollout *rollout,
    double demand)
{
	size_t count = plan_count_usable(plan, rollout->id);

	return (struct service_demand){
	    .rollout = rollout,
	    .demand_one_more = demand / (double)(count + 1),
	    .demand_one_fewer = count > 1 ? demand / (double)(count - 1)
					  : G_MAXDOUBLE,
	};
}

/*
 * Returns the service with the highest demand per upstream, counting one more.
 */
static struct service_demand
highest_demand(const struct plan *plan,
    double (*demand)(void *, const char *service), void *data)
{
	struct service_demand best = {0}, one;

	for (size_t i = 0; i < plan->config->n_rollouts; i++) {
		one = measure_demand(plan, plan->config->rollouts[i],
		    demand(data, plan->config->rollouts[i]->id));
		if (best.rollout == NULL ||
		    one.demand_one_more > best.demand_one_more)
			best = one;
	}
	return best;
}

/*
 * Returns the upstream of the pool whose service would have the lowest demand
 * per upstream without it, or NULL; sets that demand.
 */
static struct planned_upstream *
lowest_demand_upstream(struct plan *plan, const Heatherturn__V1__Rollout *to,
    double (*demand)(void *, const char *service), void *data,
    double *remaining_demand)
{
	struct planned_upstream *best = NULL;

	for (size_t i = 0; i < plan->count; i++) {
		struct planned_upstream *planned = &plan->planned_upstreams[i];
		const Heatherturn__V1__Rollout *from;
		struct service_demand load;

		from = planned->assigned
		    ? plan_find_rollout(plan, &planned->desired)
		    : NULL;
		if (!is_in_pool(planned) || !planned->usable || from == NULL ||
		    from == to)
			continue;
		load = measure_demand(plan, from, demand(data, from->id));
		if (best == NULL || load.demand_one_fewer < *remaining_demand) {
			best = planned;
			*remaining_demand = load.demand_one_fewer;
		}
	}
	return best;
}

/*
 * Assigns the pool's unassigned upstreams to the services with the highest
 * demand per upstream. Also moves one upstream if its new service has a much
 * higher demand per upstream than its old one would have without it. Returns
 * true if one was moved.
 */
bool
placement_assign_pool(struct plan *plan,
    double (*demand)(void *, const char *service), void *data)
{
	double least = 0, ratio = plan->limits->pool_ratio_percent / 100.0;
	struct model_spec unknown = {0};
	struct planned_upstream *planned;
	struct service_demand most;

	if (plan->config->n_rollouts == 0)
		return false;
	for (size_t i = 0; i < plan->count; i++) {
		planned = &plan->planned_upstreams[i];
		if (!is_in_pool(planned) || !planned->usable ||
		    planned->assigned)
			continue;
		most = highest_demand(plan, demand, data);
		planned->service = most.rollout->id;
	}
	if (plan->pool_cooldown)
		return false;
	most = highest_demand(plan, demand, data);
	planned = lowest_demand_upstream(
	    plan, most.rollout, demand, data, &least);
	if (planned == NULL || most.demand_one_more <= least * ratio ||
	    !plan_may_assign(plan, planned, &unknown))
		return false;
	planned->service = most.rollout->id;
	planned->assigned = false;
	return true;
}
