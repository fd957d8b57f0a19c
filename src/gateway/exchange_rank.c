#include "base/metrics.h"
#include "gateway/exchange_internal.h"
#include "gateway/rank_sync.h"

#define LOG_MODULE "rank"
#include "base/log.h"

METRIC_DEFINE(held_back_count, METRIC_COUNTER, "heatherturn_gateway_held_back",
    NULL, "Prompts held back for more urgent streams, each counted once.");

/* Sets the rank of a request whose route and service are known. */
void
exchange_set_rank(struct exchange *exchange, const struct service_ranks *ranks)
{
	const struct organisation *organisation = exchange->organisation;
	bool has_own = organisation != NULL && organisation->has_priority;

	exchange->ranks = service_ranks_find(ranks, exchange->profile->name);
	exchange->rank = precedence_resolve_rank(&exchange->ranks,
	    exchange->route->priority, has_own,
	    has_own ? organisation->priority : 0);
}

/* Describes the rank of a request's prompt for the balancer. */
void
exchange_describe_rank(
    const struct exchange *exchange, struct balance_prompt *prompt)
{
	prompt->rank = exchange->rank;
	prompt->route_rank = precedence_resolve_rank(
	    &exchange->ranks, exchange->route->priority, false, 0);
	prompt->gap_ms = (double)exchange->route->gap_target_ms;
}

/* Returns whether the order of ranks applies to a request. */
static bool
has_order(const struct exchange *exchange)
{
	return exchange->ranks.has_ranks && exchange->profile->has_engine &&
	    exchange->caller_headers.has_prompt;
}

/* Returns what waits of the request's service and rank at this gateway. */
static struct rank_waiting *
own_waiting(const struct exchange *exchange)
{
	return rank_sync_own(load_sync_ranks(exchange->context->load_sync),
	    exchange->profile->name, exchange->rank);
}

/*
 * Adds to the description of a prompt for the balancer what waits ahead of it
 * at all gateways.
 */
void
exchange_describe_order(
    struct exchange *exchange, size_t engines, struct balance_prompt *prompt)
{
	struct rank_waiting sums[PRECEDENCE_RANKS];

	if (!has_order(exchange))
		return;
	rank_sync_sum(load_sync_ranks(exchange->context->load_sync),
	    exchange->profile->name, sums);
	prompt->ahead_ms = rank_waiting_ahead_ms(
	    sums, exchange->rank, &exchange->profile->engine, engines);
}

/* Logs and counts a prompt that is held back, the first time. */
static void
note_held_back(struct exchange *exchange, const struct balance_plan *plan)
{
	if (exchange->held_back)
		return;
	exchange->held_back = true;
	metric_add(&held_back_count, 1);
	LOG_INFO("prompt held back for more urgent streams",
	    "{s:s, s:i, s:I, s:I, s:i}", "request",
	    exchange->caller_headers.request_id, "rank", (int)exchange->rank,
	    "prompt_tokens", (json_int_t)exchange->caller_headers.prompt_tokens,
	    "slack_ms",
	    (json_int_t)exchange->route->target_ms - exchange_age_ms(exchange),
	    "expected_ms", (int)plan->first_token_ms);
}

/*
 * Returns the verdict on a prompt that may be held back for more urgent
 * streams: one that was sent before continues.
 */
enum balance_verdict
exchange_hold_back(struct exchange *exchange, enum balance_verdict verdict,
    const struct balance_plan *plan)
{
	if (verdict != BALANCE_HELD_BACK)
		return verdict;
	if (exchange->tries > 0)
		return BALANCE_SERVE;
	if (!exchange->is_dry_run)
		note_held_back(exchange, plan);
	return verdict;
}

/* Counts a prompt that waits for engines. */
void
exchange_count_waiting(struct exchange *exchange)
{
	if (!has_order(exchange) || exchange->counted_waiting)
		return;
	exchange->counted_waiting = true;
	rank_waiting_add(
	    own_waiting(exchange), exchange->caller_headers.prompt_tokens);
}

/* Removes a prompt that no longer waits, or is gone, from what waits. */
void
exchange_end_waiting(struct exchange *exchange)
{
	if (!exchange->counted_waiting)
		return;
	exchange->counted_waiting = false;
	rank_waiting_remove(
	    own_waiting(exchange), exchange->caller_headers.prompt_tokens);
}

/*
 * Sets the urgency that upstreams are told: by rank, and within a rank by how
 * much of its target a request has left.
 */
void
exchange_set_urgency(
    const struct exchange *exchange, struct upstream_headers *values)
{
	values->urgency = precedence_urgency(&exchange->ranks, exchange->rank,
	    (double)exchange->route->target_ms,
	    (double)exchange_age_ms(exchange));
}
