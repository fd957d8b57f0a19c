#include "gateway/exchange_internal.h"
#include "gateway/exchange_selection.h"

/* Adds a part of the prompt to an upstream's prefill load. */
static void
add_prefill_part(struct exchange *exchange, struct fleet_upstream *upstream)
{
	struct timespec now = clock_monotonic(exchange->context->clock);

	upstream->own.prefill_us += exchange->prefill_part_us;
	exchange->prefill_parts[exchange->prefill_part_count++] =
	    (struct prefill_part){
		.upstream = g_strdup(upstream->id),
		.done = time_add_ms(fleet_upstream_add_prefill(upstream,
					exchange->prefill_part_us, now),
		    ENGINE_PREFILL_SLACK_MS),
	    };
}

/* Removes a part of the prompt from its upstream's prefill load. */
static void
remove_prefill_part(struct exchange *exchange, size_t at)
{
	const struct fleet *fleet = routing_state_fleet(
	    exchange->context->routing_state);
	struct fleet_upstream *upstream = fleet_find(
	    fleet, exchange->prefill_parts[at].upstream);

	/* The upstream may have been removed and added again with no load. */
	if (upstream != NULL)
		upstream->own.prefill_us -= MIN(
		    exchange->prefill_part_us, upstream->own.prefill_us);
	g_free(exchange->prefill_parts[at].upstream);
	exchange->prefill_parts[at] =
	    exchange->prefill_parts[--exchange->prefill_part_count];
}

/* Removes the parts that should be done and restarts the timer for the next. */
static void
update_prefill_parts(struct exchange *exchange)
{
	struct timespec now = clock_monotonic(exchange->context->clock);
	int64_t next_ms = INT64_MAX;

	ev_timer_stop(exchange->context->loop, &exchange->prefill_timer);
	for (size_t i = exchange->prefill_part_count; i-- > 0;) {
		int64_t left_ms = time_diff_ms(
		    exchange->prefill_parts[i].done, now);

		if (left_ms <= 0)
			remove_prefill_part(exchange, i);
		else
			next_ms = MIN(next_ms, left_ms);
	}
	if (exchange->prefill_part_count == 0)
		return;
	ev_timer_set(&exchange->prefill_timer, (double)next_ms / MS_PER_S, 0.0);
	ev_timer_start(exchange->context->loop, &exchange->prefill_timer);
}

/* A part of the prompt should have been prefilled. */
void
exchange_on_prefill_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	update_prefill_parts(timer->data);
}

/*
 * Adds the prompt to the load of all upstreams that prefill it, and reports it
 * to the peers.
 */
void
exchange_add_prefill(struct exchange *exchange,
    const struct selection *selection, const struct balance_plan *plan)
{
	const char *ids[BALANCE_HELPERS_MAX + 1];
	struct load_sync_prompt prompt = {
	    .upstreams = ids,
	    .part_ms = plan->part_ms,
	    .class = exchange_stream_class(exchange),
	    .context_tokens = exchange->context_tokens,
	};

	exchange->prefill_part_us = (uint64_t)(plan->part_ms * US_PER_MS);
	add_prefill_part(exchange, selection->upstreams[plan->first]);
	for (size_t i = 0; i < plan->helper_count; i++)
		add_prefill_part(
		    exchange, selection->upstreams[plan->helpers[i]]);
	for (size_t i = 0; i < exchange->prefill_part_count; i++)
		ids[i] = exchange->prefill_parts[i].upstream;
	prompt.count = exchange->prefill_part_count;
	if (exchange->caller_headers.has_prompt)
		load_sync_send_prompt(exchange->context->load_sync, &prompt);
	update_prefill_parts(exchange);
}

/*
 * Removes all parts of the prompt, once it is prefilled or the send has ended.
 */
void
exchange_clear_prefill(struct exchange *exchange)
{
	ev_timer_stop(exchange->context->loop, &exchange->prefill_timer);
	while (exchange->prefill_part_count > 0)
		remove_prefill_part(exchange, exchange->prefill_part_count - 1);
}

/* Returns the tokens of KV cache to be reserved at all helpers together. */
uint64_t
exchange_reserved_tokens(const struct balance_plan *plan)
{
	uint64_t total = 0;

	for (size_t i = 0; i < plan->helper_count; i++)
		total += plan->reserved_tokens[i];
	return total;
}

/* Stores the helpers and adds the memory to be reserved to their load. */
void
exchange_set_helpers(struct exchange *exchange,
    const struct selection *selection, const struct balance_plan *plan)
{
	size_t reservations = 0;

	for (size_t i = 0; i < plan->helper_count; i++) {
		struct fleet_upstream
		    *upstream = selection->upstreams[plan->helpers[i]];

		exchange->helpers[i] = (struct send_helper){
		    .address = g_strdup(upstream->address),
		    .upstream = g_strdup(upstream->id),
		    .reserved_tokens = plan->reserved_tokens[i],
		    .reservation = plan->reserved_tokens[i] > 0 ? reservations++
								: 0,
		};
		upstream->own.context_tokens += plan->reserved_tokens[i];
	}
	exchange->helper_count = plan->helper_count;
}

/* Removes the helpers of a send that has ended and frees their reservations. */
void
exchange_clear_helpers(struct exchange *exchange)
{
	const struct fleet *fleet = routing_state_fleet(
	    exchange->context->routing_state);

	for (size_t i = 0; i < exchange->helper_count; i++) {
		struct send_helper *helper = &exchange->helpers[i];
		struct fleet_upstream *upstream = fleet_find(
		    fleet, helper->upstream);

		if (upstream != NULL)
			upstream->own.context_tokens -= MIN(
			    helper->reserved_tokens,
			    upstream->own.context_tokens);
		g_free(helper->address);
		g_free(helper->upstream);
	}
	exchange->helper_count = 0;
	reservations_free(exchange->reservations);
	exchange->reservations = NULL;
}
