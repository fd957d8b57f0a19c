#include "policy/balance.h"

#include <glib.h>

#include "base/clock.h"
#include "policy/affinity.h"
#include "policy/balance_division.h"
#include "policy/balance_memory.h"
#include "policy/locality.h"

/*
 * Returns the class of a stream for its route's gap target in milliseconds;
 * without a target (0) it is STREAM_LONG.
 */
enum stream_class
balance_stream_class(double gap_target_ms)
{
	if (gap_target_ms > 0.0 && gap_target_ms <= BALANCE_SHORT_GAP_MS)
		return STREAM_SHORT;
	if (gap_target_ms > 0.0 && gap_target_ms <= BALANCE_MEDIUM_GAP_MS)
		return STREAM_MEDIUM;
	return STREAM_LONG;
}

/*
 * Returns the cost of sending a request to a candidate, in milliseconds of
 * waiting.
 */
static double
waiting_cost_ms(const struct balance_candidate *candidate)
{
	double total = candidate->backlog_ms +
	    candidate->running * BALANCE_RUNNING_COST_MS +
	    candidate->error_share * BALANCE_ERROR_COST_MS +
	    candidate->distance_ms;

	if (candidate->running >= candidate->slots)
		total += BALANCE_FULL_COST_MS +
		    BALANCE_WAITING_COST_MS *
			(candidate->running - candidate->slots);
	return total;
}

/* Returns the candidates sorted by cost, lowest first. The caller frees it. */
static struct balance_option *
sort_all(const struct balance_candidate *candidates, size_t count,
    double (*cost)(const struct balance_candidate *))
{
	struct balance_option *options = g_new(struct balance_option, count);

	for (size_t i = 0; i < count; i++)
		options[i] = (struct balance_option){
		    .index = i,
		    .cost = cost(&candidates[i]),
		    .tie = candidates[i].tie,
		};
	balance_sort_options(options, count);
	return options;
}

/*
 * Chooses the upstream for a request to a plain service. Returns its index, or
 * -1 if there are no candidates.
 */
ssize_t
balance_choose(const struct balance_candidate *candidates, size_t count)
{
	g_autofree struct balance_option *options = sort_all(
	    candidates, count, waiting_cost_ms);

	return count == 0 ? -1 : (ssize_t)options[0].index;
}

/*
 * Returns the cost of placing a short stream, in milliseconds of waiting. An
 * engine with many short streams costs less than one with few, until it is
 * packed or has a prefill backlog. What it saves of the prefill is subtracted.
 */
static double
packing_cost_ms(const struct balance_candidate *candidate)
{
	double pack = candidate->slots * BALANCE_PACK_SHARE;

	if (candidate->running >= pack ||
	    candidate->backlog_ms > BALANCE_PACK_BACKLOG_MS)
		return waiting_cost_ms(candidate) -
		    affinity_credit_ms(candidate, true);
	return candidate->error_share * BALANCE_ERROR_COST_MS -
	    locality_pack_gain_ms(candidate->distance_ms,
		BALANCE_PACK_GAIN_MS * candidate->streams[STREAM_SHORT]) -
	    affinity_credit_ms(candidate, false);
}

/*
 * Returns how long a stream waits for a slot of a full engine: the streams
 * there end one after the other, evenly, and last as long as this one will.
 */
static double
slot_wait_ms(const struct engine_profile *profile,
    const struct balance_candidate *candidate,
    const struct balance_prompt *prompt)
{
	double passes = (double)prompt->output_tokens / MAX(profile->stride, 1);
	double stream_ms = passes *
	    engine_profile_pass_ms(
		profile, candidate->slots, candidate->context_tokens);

	if (candidate->running < candidate->slots)
		return 0.0;
	return (candidate->running + 1 - candidate->slots) * stream_ms /
	    MAX(candidate->slots, 1);
}

/* Plans a short stream's prompt, which one engine prefills. */
static void
plan_short_stream(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count, double prefill_ms,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	g_autofree struct balance_option *options = sort_all(
	    candidates, count, packing_cost_ms);
	const struct balance_candidate *first = &candidates[options[0].index];
	double alone_ms = prefill_ms + first->distance_ms +
	    engine_profile_pass_ms(
		profile, first->running + 1, first->context_tokens);

	*plan = (struct balance_plan){
	    .first = options[0].index,
	    .part_ms = prefill_ms,
	    .alone_ms = alone_ms,
	    .leaves_room = true,
	    .first_token_ms = first->backlog_ms + alone_ms +
		slot_wait_ms(profile, first, prompt),
	};
}

/* Returns the mean prefill backlog of all engines, in milliseconds. */
static double
mean_backlog_ms(const struct balance_candidate *candidates, size_t count)
{
	double total = 0.0;

	for (size_t i = 0; i < count; i++)
		total += candidates[i].backlog_ms;
	return total / (double)count;
}

/* Returns whether a prompt may be divided among several engines. */
bool
balance_is_divisible(
    const struct engine_profile *profile, const struct balance_prompt *prompt)
{
	return prompt->class != STREAM_SHORT ||
	    engine_profile_prefill_ms(profile, prompt->tokens) >
	    BALANCE_UNDIVIDED_MS;
}

/*
 * Returns the verdict on a plan as far as the callers' time goes. A prompt that
 * was sent before continues in any case.
 */
static enum balance_verdict
judge(const struct balance_prompt *prompt, const struct balance_plan *plan)
{
	if (prompt->was_sent)
		return BALANCE_SERVE;
	if (balance_is_too_late(prompt, plan))
		return BALANCE_TOO_LATE;
	return balance_delays_others(prompt, plan) ? BALANCE_DELAYS_OTHERS
						   : BALANCE_SERVE;
}

/*
 * Plans which engines prefill a prompt and which one decodes the answer. If it
 * is not served now, the verdict says why and plan->wait_ms when it may be.
 */
enum balance_verdict
balance_plan_prompt(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	double prefill_ms = engine_profile_prefill_ms(profile, prompt->tokens);
	enum balance_verdict verdict;

	*plan = (struct balance_plan){0};
	if (count == 0)
		return BALANCE_NO_ENGINE;
	if (!balance_is_divisible(profile, prompt))
		plan_short_stream(
		    profile, candidates, count, prefill_ms, prompt, plan);
	else
		balance_plan_divided(
		    profile, candidates, count, prefill_ms, prompt, plan);
	plan->wait_ms = mean_backlog_ms(candidates, count) + prompt->ahead_ms;
	verdict = judge(prompt, plan);
	if (verdict != BALANCE_SERVE)
		return verdict;
	if (balance_divide_memory(profile, candidates, prompt, plan))
		return BALANCE_SERVE;
	if (!prompt->undivided &&
	    balance_plan_for_memory(
		profile, candidates, count, prefill_ms, prompt, plan))
		return BALANCE_SERVE;
	return balance_ever_fits_memory(profile, count, prompt)
	    ? BALANCE_NO_MEMORY
	    : BALANCE_TOO_LARGE;
}

/*
 * Returns whether a prompt that is not served now may wait and be planned
 * again: while it is still in time if the engines are free by then and others
 * delay it by a gap that its route allows, or half of its target if that is
 * less.
 */
bool
balance_prompt_may_wait(const struct balance_prompt *prompt,
    enum balance_verdict verdict, const struct balance_plan *plan)
{
	double margin_ms = MIN(
	    prompt->gap_ms, prompt->target_ms * BALANCE_SLACK_SHARE);

	if (verdict == BALANCE_HELD_BACK)
		return true;
	return (verdict == BALANCE_DELAYS_OTHERS ||
		   verdict == BALANCE_NO_MEMORY) &&
	    plan->alone_ms + margin_ms + BALANCE_WAIT_INTERVAL_MS <
	    MIN(prompt->slack_ms, prompt->left_ms);
}
