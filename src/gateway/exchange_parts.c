#include "gateway/exchange_choice.h"
#include "gateway/exchange_internal.h"

/* Shorter reading is not told to the peers: it is over before they need it. */
#define TOLD_READING_MS 20.0

/* Counts a part of the prompt at an upstream that reads it. */
static void
add_reader(struct exchange *exchange, struct upstream *upstream)
{
	upstream->own.reading_us += exchange->part_us;
	exchange->readers[exchange->reader_count++] = g_strdup(upstream->id);
}

/* Counts the prompt at all that read it; the peers can't foresee a long one. */
void
exchange_count_reading(struct exchange *exchange, const struct choice *choice,
    const struct balance_plan *plan)
{
	exchange->part_us = (uint64_t)(plan->part_ms * US_PER_MS);
	add_reader(exchange, choice->upstreams[plan->first]);
	for (size_t i = 0; i < plan->helper_count; i++)
		add_reader(exchange, choice->upstreams[plan->helpers[i]]);
	if (plan->part_ms >= TOLD_READING_MS)
		load_share_tell_reading(exchange->all->load_share,
		    (const char *const *)exchange->readers,
		    exchange->reader_count, plan->part_ms);
}

/* Takes the prompt off those that read it, once it is read or given up. */
void
exchange_prompt_read(struct exchange *exchange)
{
	const struct fleet *fleet = knowledge_fleet(exchange->all->knowledge);

	for (size_t i = 0; i < exchange->reader_count; i++) {
		struct upstream *upstream = fleet_find(
		    fleet, exchange->readers[i]);

		/* It may have gone and come back under its id. */
		if (upstream != NULL)
			upstream->own.reading_us -= MIN(
			    exchange->part_us, upstream->own.reading_us);
		g_free(exchange->readers[i]);
	}
	exchange->reader_count = 0;
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
