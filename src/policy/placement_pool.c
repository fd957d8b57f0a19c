/*
 * Which model service each upstream of the pool works for.
 */
#include <string.h>

#include "policy/placement_state.h"

/* A service with its demand for each upstream that it has. */
struct service_demand {
	const Heatherturn__V1__Rollout *rollout;
	double demand_one_more; /* with one more */
	double demand_one_fewer; /* with one fewer; very high at the last */
};

/* Says whether an upstream is of the pool. */
static bool
is_in_pool(const struct planned_upstream *planned)
{
	return planned->upstream->service[0] == '\0';
}

/* Measures a service's demand against its upstreams. */
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

/* Returns the service that most needs another upstream. */
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

/* Returns the pool's place whose service can best do without it. */
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
		    ? placement_rollout_of(plan, &planned->desired)
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
 * Gives the pool's free upstreams to the services that need them most, and
 * moves one where its new service would have far more demand for each upstream
 * than its old one would then have. True where one was moved.
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
