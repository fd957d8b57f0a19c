#include <string.h>

#include "gateway/exchange_internal.h"
#include "policy/return_time.h"

/*
 * Returns when the caller of a rejected request should come back, in
 * milliseconds; 0 if it can't be served by then. room_ms is the time until
 * there is room for it; plan is how it would have been served, or NULL.
 */
int64_t
exchange_return_after_ms(const struct exchange *exchange, double room_ms,
    const struct balance_plan *plan)
{
	const struct return_ask ask = {
	    .room_ms = room_ms,
	    .left_ms = (double)exchange_remaining_ms(exchange),
	    .serve_ms = plan != NULL ? plan->part_ms : 0.0,
	    .phase = g_rand_double(exchange->context->random),
	};

	return return_time_ms(&ask);
}

/*
 * Returns the mean prefill backlog of the upstreams that accept requests of the
 * exchange's service, in milliseconds; 0 if there are none.
 */
double
exchange_mean_backlog_ms(const struct exchange *exchange)
{
	const struct fleet *fleet = routing_state_fleet(
	    exchange->context->routing_state);
	struct timespec now = clock_monotonic(exchange->context->clock);
	const struct fleet_upstream *upstream;
	double total_ms = 0.0;
	size_t count = 0;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		if (strcmp(upstream->service, exchange->profile->name) != 0 ||
		    !fleet_upstream_is_eligible(fleet, upstream, now))
			continue;
		count++;
		total_ms += (double)fleet_upstream_prefill_us(upstream) /
		    US_PER_MS;
	}
	return count > 0 ? total_ms / (double)count : 0.0;
}
