#include <string.h>

#include "base/metrics.h"
#include "gateway/exchange_internal.h"
#include "gateway/exchange_selection.h"
#include "policy/duration.h"

#define LOG_MODULE "return"
#include "base/log.h"

/* Time in a slot, while none of the route's requests has been answered. */
#define SLOT_DEFAULT_MS 500

METRIC_DEFINE(turns_count, METRIC_COUNTER, "heatherturn_gateway_turns", NULL,
    "Rejected callers that were given a turn to return.");
METRIC_DEFINE(turns_denied_count, METRIC_COUNTER,
    "heatherturn_gateway_turns_denied", NULL,
    "Rejected callers without a turn that they would wait for.");
METRIC_DEFINE(returned_count, METRIC_COUNTER, "heatherturn_gateway_returned",
    NULL, "Requests that came back after a rejection.");
METRIC_DEFINE(returned_refused_count, METRIC_COUNTER,
    "heatherturn_gateway_returned_refused", NULL,
    "Requests that came back and were rejected again.");
METRIC_DEFINE(yielded_count, METRIC_COUNTER, "heatherturn_gateway_yielded",
    NULL, "Decisions not to serve a new request now but a returning one.");

/* The upstreams of a service that accept new requests. */
struct servers {
	size_t count;
	uint32_t slots;
	uint32_t own; /* requests of this gateway there */
	uint32_t running; /* of all */
	double backlog_ms; /* sum over all */
};

/* Adds up the upstreams that the request's service has. */
static struct servers
count_servers(const struct exchange *exchange)
{
	const struct fleet *fleet = routing_state_fleet(
	    exchange->context->routing_state);
	struct timespec now = clock_monotonic(exchange->context->clock);
	const struct fleet_upstream *upstream;
	struct servers out = {0};

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		if (strcmp(upstream->service, exchange->profile->name) != 0 ||
		    !fleet_upstream_is_eligible(fleet, upstream, now))
			continue;
		out.count++;
		out.slots += upstream->slots;
		out.own += upstream->own.running;
		out.running += upstream->own.running + upstream->peers.running;
		out.backlog_ms += (double)fleet_upstream_prefill_us(upstream) /
		    US_PER_MS;
	}
	return out;
}

/*
 * Returns whether a request is limited by the slots of the upstreams and not by
 * the engines' prefill time, by which only prompts that may be divided are
 * rejected.
 */
static bool
is_by_slots(const struct exchange *exchange)
{
	const struct balance_prompt prompt = {
	    .tokens = exchange->caller_headers.prompt_tokens,
	    .class = exchange_stream_class(exchange),
	};

	return !exchange->profile->has_engine ||
	    !exchange->caller_headers.has_prompt ||
	    !balance_is_divisible(&exchange->profile->engine, &prompt);
}

/* Returns the queue and the rank of a request. */
static struct return_class
return_class(const struct exchange *exchange)
{
	const struct organisation *organisation = exchange->organisation;
	uint32_t rank = organisation != NULL && organisation->has_priority
	    ? organisation->priority
	    : exchange->route->priority;

	return (struct return_class){
	    .service = return_queue_service(
		exchange->profile->name, is_by_slots(exchange)),
	    .rank = MIN(rank, RETURN_RANKS - 1),
	};
}

/* Returns for how long a request of this route occupies a slot. */
static double
slot_ms(const struct exchange *exchange)
{
	const struct duration *duration = g_hash_table_lookup(
	    exchange->context->durations, exchange->route->name);
	int64_t likely_ms = duration == NULL ? 0 : duration_likely_ms(duration);

	return likely_ms > 0 ? (double)likely_ms : SLOT_DEFAULT_MS;
}

/* Finds out whether a request that has arrived is one that was rejected. */
void
exchange_return_arrive(struct exchange *exchange)
{
	struct exchange_context *context = exchange->context;

	if (context->return_queue == NULL ||
	    return_queue_count(context->return_queue) == 0)
		return;
	exchange->return_status = return_queue_arrive(context->return_queue,
	    exchange->fingerprint, return_class(exchange).service,
	    exchange->arrived);
	if (exchange->return_status.ticket == 0)
		return;
	exchange->returned = true;
	metric_add(&returned_count, 1);
	LOG_INFO("request returned", "{s:s, s:I, s:I, s:I}", "request",
	    exchange->caller_headers.request_id, "ticket",
	    (json_int_t)exchange->return_status.ticket, "early_ms",
	    (json_int_t)exchange->return_status.early_ms, "late_ms",
	    (json_int_t)exchange->return_status.late_ms);
}

/* Returns the time until the turn of a request that came back early. */
static int64_t
early_ms(const struct exchange *exchange)
{
	return MAX(
	    exchange->return_status.early_ms - exchange_age_ms(exchange), 0);
}

/*
 * Returns whether there are free slots for a request besides those kept for
 * callers that go before it.
 */
static bool
has_spare_slot(
    const struct exchange *exchange, const struct selection *selection)
{
	size_t free_slots = 0;
	size_t kept = return_queue_kept_count(exchange->context->return_queue,
	    return_class(exchange), exchange->return_status.ticket,
	    clock_monotonic(exchange->context->clock));

	for (size_t i = 0; i < selection->count && kept > 0; i++) {
		const struct balance_candidate
		    *candidate = &selection->candidates[i];

		free_slots += candidate->slots -
		    MIN(candidate->running, candidate->slots);
	}
	return kept == 0 || free_slots > kept;
}

/*
 * Returns whether a prompt would still be served if the prompts of the callers
 * that go before it were being prefilled already.
 */
static bool
has_spare_time(
    const struct exchange *exchange, const struct selection *selection)
{
	double kept_ms = return_queue_kept_ms(exchange->context->return_queue,
	    return_class(exchange), exchange->return_status.ticket,
	    clock_monotonic(exchange->context->clock));
	g_autofree struct balance_candidate *candidates = NULL;
	struct selection later = *selection;

	if (kept_ms <= 0.0)
		return true;
	candidates = g_memdup2(selection->candidates,
	    selection->count * sizeof(*selection->candidates));
	for (size_t i = 0; i < selection->count; i++)
		candidates[i].backlog_ms += kept_ms / (double)selection->count;
	later.candidates = candidates;
	return !selection_is_too_costly(exchange, &later);
}

/* Returns whether a new request has to leave its place to returning ones. */
static bool
must_yield(const struct exchange *exchange, const struct selection *selection)
{
	if (return_queue_count(exchange->context->return_queue) == 0)
		return false;
	return is_by_slots(exchange) ? !has_spare_slot(exchange, selection)
				     : !has_spare_time(exchange, selection);
}

/* Returns whether all slots of the candidates are taken. */
static bool
is_full(const struct selection *selection)
{
	for (size_t i = 0; i < selection->count; i++) {
		const struct balance_candidate
		    *candidate = &selection->candidates[i];

		if (candidate->running < candidate->slots)
			return false;
	}
	return true;
}

/* Returns whether a request that came back may be held for that long. */
static bool
may_hold(const struct exchange *exchange, int64_t for_ms)
{
	return return_queue_may_hold(
	    (double)(exchange_age_ms(exchange) + for_ms),
	    (double)exchange->route->target_ms,
	    (double)(exchange_remaining_ms(exchange) - for_ms));
}

/*
 * Returns the verdict on a request in its turn: it is served at a higher cost
 * than a new one, and after it has been held, at a still higher one.
 */
static enum balance_verdict
judge_returned(const struct exchange *exchange,
    const struct selection *selection, const struct balance_plan *plan,
    enum balance_verdict verdict)
{
	bool holds = may_hold(exchange, 0);

	if (verdict == BALANCE_TOO_COSTLY &&
	    return_queue_admits(plan->cost, plan->worth, holds))
		return BALANCE_SERVE;
	if (verdict == BALANCE_SERVE && holds && is_by_slots(exchange) &&
	    is_full(selection))
		return BALANCE_TOO_COSTLY;
	return verdict;
}

/*
 * Applies the queue of rejected callers to the verdict on a request that has
 * not been sent. Returns whether a request that came back is held, to be
 * planned again.
 */
bool
exchange_return_holds(struct exchange *exchange,
    const struct selection *selection, const struct balance_plan *plan,
    enum balance_verdict *verdict)
{
	bool in_turn = exchange->return_status.ticket != 0 &&
	    early_ms(exchange) == 0;

	exchange->yields = false;
	if (exchange->context->return_queue == NULL || exchange->tries > 0 ||
	    exchange->sends > 0 || selection->count == 0)
		return false;
	if (*verdict == BALANCE_TOO_COSTLY &&
	    plan->first_token_ms >= (double)exchange_remaining_ms(exchange)) {
		exchange->misses_deadline = true;
		return false;
	}
	if (in_turn) {
		*verdict = judge_returned(exchange, selection, plan, *verdict);
		return *verdict != BALANCE_SERVE && may_hold(exchange, 0);
	}
	if (*verdict == BALANCE_SERVE && must_yield(exchange, selection)) {
		exchange->yields = true;
		*verdict = BALANCE_TOO_COSTLY;
		if (!exchange->is_dry_run)
			metric_add(&yielded_count, 1);
	}
	return *verdict != BALANCE_SERVE &&
	    exchange->return_status.ticket != 0 &&
	    may_hold(exchange, early_ms(exchange));
}

/* A request is sent: if it came back, its turn ends. */
void
exchange_return_on_send(struct exchange *exchange)
{
	if (exchange->return_status.ticket == 0)
		return;
	LOG_INFO("returning request admitted", "{s:s, s:I, s:I, s:I, s:I}",
	    "request", exchange->caller_headers.request_id, "ticket",
	    (json_int_t)exchange->return_status.ticket, "early_ms",
	    (json_int_t)early_ms(exchange), "late_ms",
	    (json_int_t)exchange->return_status.late_ms, "held_ms",
	    (json_int_t)exchange_age_ms(exchange));
	exchange_return_end(exchange);
}

/* The turn of a request that came back ends. */
void
exchange_return_end(struct exchange *exchange)
{
	if (exchange->return_status.ticket != 0)
		return_queue_end(exchange->context->return_queue,
		    exchange->return_status.ticket);
	exchange->return_status.ticket = 0;
}

/*
 * Returns when the caller of a request that is rejected for lack of capacity
 * should come back, in milliseconds: in its turn, or at the default time if
 * turns are off; 0 if it is not to come back. room_ms is the time until there
 * is room for more work than the upstreams have now; plan is how it would have
 * been served, or NULL.
 */
int64_t
exchange_return_after_ms(struct exchange *exchange, double room_ms,
    const struct balance_plan *plan, int64_t default_ms)
{
	struct exchange_context *context = exchange->context;
	bool by_slots = is_by_slots(exchange);
	int64_t left_ms = early_ms(exchange);
	struct servers servers;
	struct return_ask ask = {
	    .fingerprint = exchange->fingerprint,
	    .class = return_class(exchange),
	    .room_ms = room_ms,
	    .left_ms = (double)exchange_remaining_ms(exchange),
	    .serve_ms = plan != NULL ? plan->part_ms : 0.0,
	    .cost_ratio = plan != NULL && plan->worth > 0.0
		? plan->cost / plan->worth
		: 0.0,
	};

	if (context->return_queue == NULL || exchange->may_have_run ||
	    exchange->streaming)
		return default_ms;
	if (exchange->return_status.ticket != 0 && left_ms > 0) {
		return_queue_defer(
		    context->return_queue, exchange->return_status.ticket);
		exchange->return_status.ticket = 0;
		return left_ms;
	}
	if (exchange->returned)
		metric_add(&returned_refused_count, 1);
	exchange_return_end(exchange);
	servers = count_servers(exchange);
	ask.ticket = g_rand_int(context->random);
	ask.phase = g_rand_double(context->random);
	ask.work_ms = by_slots
	    ? slot_ms(exchange)
	    : engine_profile_prefill_ms(&exchange->profile->engine,
		  exchange->caller_headers.prompt_tokens);
	ask.servers = by_slots ? servers.slots : (double)servers.count;
	if (by_slots && exchange->route->kind != CALL_STREAM)
		ask.serve_ms = ask.work_ms;
	ask.share = MAX((servers.own + 1.0) / (servers.running + 1.0),
	    1.0 / load_sync_count(context->load_sync));
	if (!exchange->misses_deadline)
		exchange->turn = return_queue_take(context->return_queue, &ask,
		    clock_monotonic(context->clock));
	metric_add(
	    exchange->turn.ticket != 0 ? &turns_count : &turns_denied_count, 1);
	return exchange->turn.wait_ms;
}

/*
 * Returns when the caller of a request that no upstream can take should come
 * back, see above; the room is expected once the mean backlog is done.
 */
int64_t
exchange_return_after_backlog_ms(struct exchange *exchange, int64_t default_ms)
{
	struct servers servers;

	if (exchange->context->return_queue == NULL)
		return default_ms;
	servers = count_servers(exchange);
	return exchange_return_after_ms(exchange,
	    is_by_slots(exchange) || servers.count == 0
		? 0.0
		: servers.backlog_ms / (double)servers.count,
	    NULL, default_ms);
}
