#include "gateway/exchange_choice.h"
#include "gateway/exchange_internal.h"

/* Counts a part of the prompt at an upstream that reads it. */
static void
add_reader(struct exchange *exchange, struct upstream *upstream)
{
	struct timespec now = clock_monotonic(exchange->all->clock);

	upstream->own.reading_us += exchange->part_us;
	exchange->readers[exchange->reader_count++] = (struct reader){
	    .upstream = g_strdup(upstream->id),
	    .done = time_add_ms(
		upstream_add_reading(upstream, exchange->part_us, now),
		ENGINE_PREFILL_SLACK_MS),
	};
}

/* Takes a part off the account of the upstream that reads it. */
static void
drop_reader(struct exchange *exchange, size_t at)
{
	const struct fleet *fleet = knowledge_fleet(exchange->all->knowledge);
	struct upstream *upstream = fleet_find(
	    fleet, exchange->readers[at].upstream);

	/* It may have gone and come back under its id. */
	if (upstream != NULL)
		upstream->own.reading_us -= MIN(
		    exchange->part_us, upstream->own.reading_us);
	g_free(exchange->readers[at].upstream);
	exchange->readers[at] = exchange->readers[--exchange->reader_count];
}

/* Takes note of the parts that have been read, and waits for the next. */
static void
expect_parts(struct exchange *exchange)
{
	struct timespec now = clock_monotonic(exchange->all->clock);
	int64_t next_ms = INT64_MAX;

	ev_timer_stop(exchange->all->loop, &exchange->reading);
	for (size_t i = exchange->reader_count; i-- > 0;) {
		int64_t left_ms = time_diff_ms(exchange->readers[i].done, now);

		if (left_ms <= 0)
			drop_reader(exchange, i);
		else
			next_ms = MIN(next_ms, left_ms);
	}
	if (exchange->reader_count == 0)
		return;
	ev_timer_set(&exchange->reading, (double)next_ms / MS_PER_S, 0.0);
	ev_timer_start(exchange->all->loop, &exchange->reading);
}

/* An upstream should have read its part. */
void
exchange_part_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	expect_parts(timer->data);
}

/* Counts the prompt at all that read it; the peers can't foresee a long one. */
void
exchange_count_reading(struct exchange *exchange, const struct choice *choice,
    const struct balance_plan *plan)
{
	const char *ids[BALANCE_HELPERS_MAX + 1];

	exchange->part_us = (uint64_t)(plan->part_ms * US_PER_MS);
	add_reader(exchange, choice->upstreams[plan->first]);
	for (size_t i = 0; i < plan->helper_count; i++)
		add_reader(exchange, choice->upstreams[plan->helpers[i]]);
	for (size_t i = 0; i < exchange->reader_count; i++)
		ids[i] = exchange->readers[i].upstream;
	if (plan->part_ms >= LOAD_SHARE_READING_MIN_MS)
		load_share_tell_reading(exchange->all->load_share, ids,
		    exchange->reader_count, plan->part_ms);
	expect_parts(exchange);
}

/* Takes the prompt off those that read it, once it is read or given up. */
void
exchange_prompt_read(struct exchange *exchange)
{
	ev_timer_stop(exchange->all->loop, &exchange->reading);
	while (exchange->reader_count > 0)
		drop_reader(exchange, exchange->reader_count - 1);
}

/* Returns how much of a prompt its helpers keep. */
uint64_t
exchange_held_tokens(const struct balance_plan *plan)
{
	uint64_t total = 0;

	for (size_t i = 0; i < plan->helper_count; i++)
		total += plan->held_tokens[i];
	return total;
}

/* Keeps who helps, and counts the memory that is to be set aside there. */
void
exchange_keep_helpers(struct exchange *exchange, const struct choice *choice,
    const struct balance_plan *plan)
{
	size_t tickets = 0;

	for (size_t i = 0; i < plan->helper_count; i++) {
		struct upstream *upstream = choice->upstreams[plan->helpers[i]];

		exchange->helpers[i] = (struct send_helper){
		    .address = g_strdup(upstream->address),
		    .upstream = g_strdup(upstream->id),
		    .held_tokens = plan->held_tokens[i],
		    .ticket = plan->held_tokens[i] > 0 ? tickets++ : 0,
		};
		upstream->own.context_tokens += plan->held_tokens[i];
	}
	exchange->helper_count = plan->helper_count;
}

/* Takes the helpers off the account of a send that is over. */
void
exchange_drop_helpers(struct exchange *exchange)
{
	const struct fleet *fleet = knowledge_fleet(exchange->all->knowledge);

	for (size_t i = 0; i < exchange->helper_count; i++) {
		struct send_helper *helper = &exchange->helpers[i];
		struct upstream *upstream = fleet_find(fleet, helper->upstream);

		if (upstream != NULL)
			upstream->own.context_tokens -= MIN(
			    helper->held_tokens, upstream->own.context_tokens);
		g_free(helper->address);
		g_free(helper->upstream);
	}
	exchange->helper_count = 0;
	tickets_free(exchange->tickets);
	exchange->tickets = NULL;
}
