#include "base/metrics.h"
#include "gateway/exchange_internal.h"
#include "gateway/exchange_selection.h"

#define LOG_MODULE "prompt_cache"
#include "base/log.h"

METRIC_DEFINE(hits, METRIC_COUNTER, "heatherturn_prompt_cache_hits", NULL,
    "Requests sent to an upstream that is believed to hold a prefix of their "
    "prompt.");
METRIC_DEFINE(misses, METRIC_COUNTER, "heatherturn_prompt_cache_misses", NULL,
    "Requests with a prompt prefix that others may share, sent to an upstream "
    "that is not believed to hold it.");
METRIC_DEFINE(wrong, METRIC_COUNTER, "heatherturn_prompt_cache_wrong", NULL,
    "Requests whose first token took as long as without the prefix that the "
    "upstream was believed to hold.");
METRIC_DEFINE(guesses, METRIC_COUNTER, "heatherturn_prompt_cache_guesses", NULL,
    "Requests sent to the home of their prompt's prefix, which no upstream was "
    "known to hold.");
METRIC_DEFINE(wrong_guesses, METRIC_COUNTER,
    "heatherturn_prompt_cache_wrong_guesses", NULL,
    "Of these, requests whose first token took as long as without the prefix.");
METRIC_DEFINE(held_tokens, METRIC_COUNTER, "heatherturn_prompt_cache_tokens",
    NULL,
    "Prompt tokens that upstreams were believed to hold already when requests "
    "were sent to them.");

static const char *const finding_names[] = {
    [AFFINITY_UNCLEAR] = "unclear",
    [AFFINITY_HELD] = "held",
    [AFFINITY_NOT_HELD] = "not_held",
};

/* Describes an upstream's memory. */
static struct prompt_cache_upstream
describe_memory(
    const struct exchange *exchange, const struct fleet_upstream *upstream)
{
	return (struct prompt_cache_upstream){
	    .id = upstream->id,
	    .start_wall_ms = upstream->process.start_wall_ms,
	    .memory = exchange->profile->engine.memory_tokens,
	    .own_running = upstream->own.context_tokens,
	    .peers_running = upstream->peers.context_tokens,
	    .peers_sent = upstream->peers_sent_tokens,
	};
}

/*
 * Returns whether the request's prompt has a prefix of which upstreams may hold
 * something, and that is tracked.
 */
static bool
has_prefix(struct exchange *exchange)
{
	struct exchange_prompt *prompt = &exchange->prompt;

	if (exchange->context->prompt_cache == NULL ||
	    !exchange->profile->has_engine ||
	    !exchange->caller_headers.has_prompt)
		return false;
	if (!prompt->initialised)
		prompt_prefixes_init(&prompt->prefixes,
		    &exchange->caller_headers, exchange->profile->name,
		    exchange->organisation != NULL
			? exchange->organisation->name
			: NULL);
	prompt->initialised = true;
	return prompt->prefixes.count > 0;
}

/* Returns the tokens that an upstream is believed to hold of the prompt. */
static uint64_t
held_by(struct exchange *exchange, const struct fleet_upstream *upstream)
{
	const struct prompt_cache_upstream memory = describe_memory(
	    exchange, upstream);

	return prompt_cache_held(exchange->context->prompt_cache, &memory,
	    &exchange->prompt.prefixes,
	    clock_monotonic(exchange->context->clock));
}

/*
 * Returns the prefill time that a candidate saves if its upstream holds that
 * much of the prompt, in milliseconds. Nothing is assumed of an upstream that
 * is cold, since it may have restarted.
 */
static double
saved_ms(const struct exchange *exchange, const struct selection *selection,
    size_t at, uint64_t tokens)
{
	const struct affinity_prompt prompt = {
	    .tokens = exchange->caller_headers.prompt_tokens,
	    .output_tokens = exchange->caller_headers.output_tokens,
	    .held_tokens = tokens,
	};
	struct timespec now = clock_monotonic(exchange->context->clock);

	if (time_before(now, selection->upstreams[at]->cold_until))
		return 0.0;
	return affinity_saved_ms(
	    &exchange->profile->engine, &selection->candidates[at], &prompt);
}

/*
 * Sets what the home of the prompt's prefix saves on average. Used if no
 * candidate is known to hold the prefix.
 */
static void
credit_home(struct exchange *exchange, struct selection *selection)
{
	const struct prompt_prefixes *prefixes = &exchange->prompt.prefixes;
	size_t prefix = prompt_prefixes_home(prefixes);
	uint64_t most = 0;
	size_t home = 0;

	if (prefix == prefixes->shared_count ||
	    selection->rated == selection->count)
		return;
	for (size_t i = 0; i + selection->rated < selection->count; i++) {
		uint64_t weight = affinity_home_weight(
		    prefixes->keys[prefix], selection->upstreams[i]->id);

		if (weight < most)
			continue;
		most = weight;
		home = i;
	}
	selection->candidates[home].saved_ms = saved_ms(exchange, selection,
						   home,
						   prefixes->tokens[prefix]) *
	    prompt_cache_share(
		exchange->context->prompt_cache, exchange->profile->name, true);
}

/*
 * Sets what the candidates of a selection save of the prompt's prefill on
 * average, except those whose rate of requests is limited.
 */
void
exchange_fill_saved(struct exchange *exchange, struct selection *selection)
{
	bool found = false;
	double share;

	if (!has_prefix(exchange))
		return;
	share = prompt_cache_share(
	    exchange->context->prompt_cache, exchange->profile->name, false);
	for (size_t i = 0; i + selection->rated < selection->count; i++) {
		uint64_t tokens = held_by(exchange, selection->upstreams[i]);

		found |= tokens >= AFFINITY_PREFIX_TOKENS_MIN;
		selection->candidates[i].saved_ms = saved_ms(exchange,
							selection, i, tokens) *
		    share;
	}
	if (!found)
		credit_home(exchange, selection);
}

/* Records what is believed of the upstream of a send that begins. */
void
exchange_begin_prompt(struct exchange *exchange,
    const struct selection *selection, const struct balance_plan *plan)
{
	struct exchange_prompt *prompt = &exchange->prompt;
	const struct prompt_prefixes *prefixes = &prompt->prefixes;
	const struct fleet_upstream *upstream = selection
						    ->upstreams[plan->first];
	const struct prompt_cache_upstream memory = describe_memory(
	    exchange, upstream);
	double planned_ms = selection->candidates[plan->first].saved_ms;

	prompt->sent = has_prefix(exchange);
	if (!prompt->sent)
		return;
	if (plan->helper_count > 0)
		planned_ms = 0.0;
	prompt->kept = exchange_reserved_tokens(plan) == 0;
	prompt->use = (struct prompt_cache_use){
	    .prompt_tokens = exchange->caller_headers.prompt_tokens,
	    .held_tokens = planned_ms > 0.0 ? held_by(exchange, upstream) : 0,
	};
	prompt->is_guess = planned_ms > 0.0 && prompt->use.held_tokens == 0;
	prompt->saved_ms = 0.0;
	if (planned_ms > 0.0)
		prompt->saved_ms = saved_ms(exchange, selection, plan->first,
		    prompt->is_guess
			? prefixes->tokens[prompt_prefixes_home(prefixes)]
			: prompt->use.held_tokens);
	prompt->expected_ms = plan->first_token_ms + planned_ms -
	    prompt->saved_ms;
	prompt_cache_begin(
	    exchange->context->prompt_cache, &memory, &prompt->use);
	if (prompt->use.held_tokens > 0)
		metric_add(&hits, 1);
	else if (prompt->is_guess)
		metric_add(&guesses, 1);
	else if (prefixes->shared_count > 0)
		metric_add(&misses, 1);
	metric_add(&held_tokens, (int64_t)prompt->use.held_tokens);
}

/* Checks by the first token whether the upstream held the prompt's prefix. */
void
exchange_check_prompt(struct exchange *exchange)
{
	struct prompt_cache *cache = exchange->context->prompt_cache;
	struct exchange_prompt *prompt = &exchange->prompt;
	struct timespec now = clock_monotonic(exchange->context->clock);
	double took_ms = (double)time_diff_us(now, exchange->sent_at) /
	    US_PER_MS;
	const struct prompt_cache_first_token token = {
	    .upstream = exchange->upstream->id,
	    .service = exchange->profile->name,
	    .delay_ms = took_ms - prompt->expected_ms,
	    .saved_ms = prompt->saved_ms,
	    .is_guess = prompt->is_guess,
	};
	enum affinity_finding finding;

	if (!prompt->sent)
		return;
	finding = prompt_cache_judge(cache, &token, &prompt->prefixes, now);
	if (prompt->saved_ms <= 0.0)
		return;
	if (finding == AFFINITY_NOT_HELD)
		metric_add(prompt->is_guess ? &wrong_guesses : &wrong, 1);
	LOG_INFO("prompt prefix expected at upstream",
	    "{s:s, s:s, s:I, s:b, s:f, s:f, s:f, s:s, s:b}", "request",
	    exchange->caller_headers.request_id, "upstream",
	    exchange->upstream->id, "held_tokens",
	    (json_int_t)prompt->use.held_tokens, "guessed", prompt->is_guess,
	    "saved_ms", prompt->saved_ms, "expected_ms", prompt->expected_ms,
	    "first_event_ms", took_ms, "finding", finding_names[finding],
	    "distrusted",
	    prompt_cache_is_distrusted(cache, exchange->upstream->id, now));
}

/*
 * A send has ended. The upstream holds the prompt of one that was answered. An
 * upstream that a request did not reach, or whose response was lost, may have
 * restarted and is believed to hold nothing. Any other failure, or a request
 * that the caller ended, says nothing.
 */
void
exchange_end_prompt(struct exchange *exchange,
    const struct fleet_upstream *upstream, enum send_outcome outcome)
{
	struct exchange_context *context = exchange->context;
	struct exchange_prompt *prompt = &exchange->prompt;
	struct timespec now = clock_monotonic(context->clock);
	struct prompt_cache_upstream memory;

	if (!prompt->sent)
		return;
	prompt->sent = false;
	memory = describe_memory(exchange, upstream);
	prompt_cache_end(context->prompt_cache, upstream->id, &prompt->use);
	if (outcome == SEND_ANSWERED && prompt->kept)
		prompt_cache_add(
		    context->prompt_cache, &memory, &prompt->prefixes, now);
	else if (outcome == SEND_LOST || outcome == SEND_NOT_SENT)
		prompt_cache_drop(context->prompt_cache, upstream->id);
	prompt_cache_expire(context->prompt_cache,
	    routing_state_fleet(context->routing_state), now);
}
