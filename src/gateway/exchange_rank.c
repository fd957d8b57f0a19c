#include "base/metrics.h"
#include "gateway/exchange_internal.h"

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
	prompt->has_ranks = exchange->ranks.has_ranks;
	prompt->rank = exchange->rank;
	prompt->slack_ms = prompt->target_ms - prompt->waited_ms;
	prompt->gap_ms = (double)exchange->route->gap_target_ms;
}

/*
 * Sets the urgency that upstreams are told. Without different ranks none is
 * sent: upstreams then treat all requests of the service alike.
 */
void
exchange_set_urgency(
    const struct exchange *exchange, struct upstream_headers *values)
{
	values->has_urgency = exchange->ranks.has_ranks;
	if (values->has_urgency)
		values->urgency = precedence_urgency(&exchange->ranks,
		    exchange->rank, (double)exchange->route->target_ms,
		    (double)exchange_age_ms(exchange));
}

/* Logs and counts a prompt that is held back, the first time. */
void
exchange_note_held_back(
    struct exchange *exchange, const struct balance_plan *plan)
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
