#include "policy/balance.h"

#include <math.h>
#include <stdlib.h>

#include <glib.h>

#include "base/clock.h"
#include "policy/affinity.h"
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

/* A candidate in an order of preference. */
struct rank {
	size_t index;
	double cost;
	uint32_t tie;
};

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

/* Compares by cost, then by random tie. */
static int
compare_ranks(const void *a, const void *b)
{
	const struct rank *left = a;
	const struct rank *right = b;

	if (left->cost < right->cost)
		return -1;
	if (left->cost > right->cost)
		return 1;
	return (left->tie > right->tie) - (left->tie < right->tie);
}

/* Returns the candidates sorted by cost, lowest first. The caller frees it. */
static struct rank *
rank_all(const struct balance_candidate *candidates, size_t count,
    double (*cost)(const struct balance_candidate *))
{
	struct rank *ranks = g_new(struct rank, count);

	for (size_t i = 0; i < count; i++)
		ranks[i] = (struct rank){
		    .index = i,
		    .cost = cost(&candidates[i]),
		    .tie = candidates[i].tie,
		};
	if (count > 1)
		qsort(ranks, count, sizeof(*ranks), compare_ranks);
	return ranks;
}

/*
 * Chooses the upstream for a request to a plain service. Returns its index, or
 * -1 if there are no candidates.
 */
ssize_t
balance_choose(const struct balance_candidate *candidates, size_t count)
{
	g_autofree struct rank *ranks = rank_all(
	    candidates, count, waiting_cost_ms);

	return count == 0 ? -1 : (ssize_t)ranks[0].index;
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

/* Plans a short stream's prompt, which one engine prefills. */
static void
plan_short_stream(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count, double prefill_ms,
    struct balance_plan *plan)
{
	g_autofree struct rank *ranks = rank_all(
	    candidates, count, packing_cost_ms);
	const struct balance_candidate *first = &candidates[ranks[0].index];

	*plan = (struct balance_plan){
	    .first = ranks[0].index,
	    .part_ms = prefill_ms,
	    .first_token_ms = first->backlog_ms + prefill_ms +
		first->distance_ms +
		engine_profile_pass_ms(
		    profile, first->running + 1, first->context_tokens),
	};
}

/* Returns the worth of serving a prompt in time, in cost units. */
static double
prompt_worth(const struct balance_prompt *prompt)
{
	double tokens = (double)prompt->tokens;

	return prompt->class == STREAM_SHORT
	    ? tokens / BALANCE_SHORT_UNIT_TOKENS
	    : tokens / BALANCE_LONG_UNIT_TOKENS;
}

/*
 * Returns the time after a prompt's arrival from which its first token begins
 * to count as late. With ranks that is near its target: the parts of others may
 * delay it by one gap that its route allows.
 */
static double
late_from_ms(const struct balance_prompt *prompt)
{
	double from = prompt->target_ms * BALANCE_LATE_FROM_SHARE;

	return prompt->has_ranks ? MAX(from, prompt->target_ms - prompt->gap_ms)
				 : from;
}

/*
 * Returns how late a prompt's first token is: 0 if in time, 1 at the target,
 * more after it.
 */
static double
lateness(const struct balance_prompt *prompt, double first_token_ms)
{
	double target_ms = prompt->target_ms;
	double from = late_from_ms(prompt);

	if (target_ms <= 0.0 || first_token_ms <= from)
		return 0.0;
	return (first_token_ms - from) / (target_ms - from);
}

/*
 * Returns the cost of the streams that a part would delay beyond their planned
 * gap, in cost units.
 */
static double
delayed_streams(const struct engine_profile *profile,
    const struct balance_candidate *candidate,
    const struct balance_prompt *prompt, double part_ms)
{
	static const struct {
		double gap_ms;
		double worth;
	} classes[STREAM_CLASSES] = {
	    [STREAM_SHORT] = {BALANCE_SHORT_PLANNED_GAP_MS, 1.0},
	    [STREAM_MEDIUM] = {BALANCE_MEDIUM_PLANNED_GAP_MS,
		BALANCE_MEDIUM_WEIGHT},
	    [STREAM_LONG] = {BALANCE_LONG_PLANNED_GAP_MS, BALANCE_LONG_WEIGHT},
	};
	double gap_ms = candidate->backlog_ms + part_ms +
	    engine_profile_pass_ms(
		profile, candidate->running, candidate->context_tokens);
	double streams = 0.0;

	for (size_t i = 0; i < STREAM_CLASSES; i++) {
		double planned_ms = prompt->planned_gap_ms[i] > 0.0
		    ? prompt->planned_gap_ms[i]
		    : classes[i].gap_ms;

		if (gap_ms > planned_ms)
			streams += candidate->streams[i] * classes[i].worth;
	}
	return streams;
}

/*
 * Sorts the candidates by the cost of prefilling a part of that length there.
 */
static void
rank_engines(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, double part_ms, struct rank *ranks)
{
	for (size_t i = 0; i < count; i++) {
		const struct balance_candidate *engine = &candidates[i];

		ranks[i] = (struct rank){
		    .index = i,
		    .cost = delayed_streams(profile, engine, prompt, part_ms) *
			    BALANCE_DELAYED_STREAM_MS +
			engine->streams[STREAM_SHORT] *
			    BALANCE_SHORT_STREAM_MS +
			engine->backlog_ms +
			engine->error_share * BALANCE_ERROR_COST_MS,
		    .tie = engine->tie,
		};
	}
	if (count > 1)
		qsort(ranks, count, sizeof(*ranks), compare_ranks);
}

/*
 * Returns the cost of preempting the prompts that are being prefilled, in cost
 * units.
 */
static double
preemption_cost(double backlog_ms, double part_ms)
{
	double prompts = MIN(backlog_ms / BALANCE_PREEMPT_BACKLOG_MS,
	    BALANCE_PREEMPT_PROMPTS_MAX);

	return BALANCE_PREEMPT_COST_PER_MS * part_ms * prompts;
}

/*
 * Returns the cost of dividing a prompt among the first engines of a ranking,
 * in cost units, and sets the expected time to the first token.
 */
static double
plan_cost(const struct engine_profile *profile,
    const struct balance_candidate *candidates, const struct rank *ranks,
    size_t parts, double prefill_ms, const struct balance_prompt *prompt,
    double *first_token_ms)
{
	double part_ms = prefill_ms / (double)parts;
	double backlog_ms = 0.0;
	double weight = part_ms / BALANCE_MEDIUM_PLANNED_GAP_MS;
	double total = (double)parts *
	    (BALANCE_ENGINE_COST +
		BALANCE_PART_COST *
		    (prompt->has_ranks ? weight
				       : MIN(weight * weight, weight)));

	for (size_t i = 0; i < parts; i++) {
		const struct balance_candidate
		    *engine = &candidates[ranks[i].index];

		backlog_ms = MAX(backlog_ms, engine->backlog_ms);
		total += delayed_streams(profile, engine, prompt, part_ms);
	}
	*first_token_ms = part_ms +
	    backlog_ms * (parts == 1 ? 1.0 : BALANCE_BACKLOG_SHARE) +
	    engine_profile_pass_ms(profile,
		candidates[ranks[0].index].running + 1,
		candidates[ranks[0].index].context_tokens);
	if (parts > 1)
		total += preemption_cost(backlog_ms, part_ms);
	return total +
	    lateness(prompt, prompt->waited_ms + *first_token_ms) *
	    prompt_worth(prompt);
}

/*
 * Returns the rank of the engine that decodes: the cheapest one with enough
 * free memory, or else the one with the most.
 */
static size_t
choose_decoder(const struct engine_profile *profile,
    const struct balance_candidate *candidates, const struct rank *ranks,
    size_t parts, const struct balance_prompt *prompt)
{
	size_t most = 0;

	for (size_t i = 0; i < parts; i++) {
		if (balance_fits_memory(
			profile, &candidates[ranks[i].index], prompt))
			return i;
		if (candidates[ranks[i].index].context_tokens <
		    candidates[ranks[most].index].context_tokens)
			most = i;
	}
	return most;
}

/*
 * Returns whether an engine with short streams can take one more part and
 * stream.
 */
static bool
can_decode_medium(const struct engine_profile *profile,
    const struct balance_candidate *candidate, double part_ms,
    const struct balance_prompt *prompt)
{
	return candidate->streams[STREAM_SHORT] > 0 &&
	    candidate->running < candidate->slots * BALANCE_PACK_SHARE &&
	    candidate->backlog_ms <= BALANCE_PACK_BACKLOG_MS &&
	    delayed_streams(profile, candidate, prompt, part_ms) == 0.0 &&
	    balance_fits_memory(profile, candidate, prompt);
}

/*
 * Finds an engine among those with short streams that can decode a medium
 * stream. These engines get no long parts, so its gaps stay short. Returns its
 * rank, or 0 if there is none.
 */
static size_t
find_medium_decoder(const struct engine_profile *profile,
    const struct balance_candidate *candidates, const struct rank *ranks,
    size_t count, double part_ms, const struct balance_prompt *prompt)
{
	if (prompt->class == STREAM_LONG)
		return 0;
	for (size_t i = 0; i < count; i++) {
		if (can_decode_medium(
			profile, &candidates[ranks[i].index], part_ms, prompt))
			return i;
	}
	return 0;
}

/*
 * Adds the first engines of a ranking as helpers, up to that number of parts
 * including the decoder's.
 */
static void
add_helpers(const struct rank *ranks, size_t parts, size_t decoder,
    struct balance_plan *plan)
{
	plan->helper_count = 0;
	for (size_t i = 0; plan->helper_count + 1 < parts; i++) {
		if (i != decoder)
			plan->helpers[plan->helper_count++] = ranks[i].index;
	}
}

/*
 * Returns the fewest parts into which a prompt is divided. With ranks a part is
 * no longer than the gap that the route allows, less a decode pass, so that it
 * delays no streams of its own kind.
 */
static size_t
fewest_parts(const struct engine_profile *profile,
    const struct balance_prompt *prompt, double prefill_ms)
{
	double part_ms = prompt->gap_ms -
	    engine_profile_pass_ms(profile, profile->slots, 0);

	if (!prompt->has_ranks || part_ms <= 0.0)
		return 1;
	return MAX((size_t)ceil(2.0 * prefill_ms / part_ms), 1);
}

/*
 * Plans a prompt that may be divided. Takes the engines that delay the fewest
 * streams, and as many of them as give the lowest cost, counting the delay of
 * others and the prompt's own lateness. Returns that cost, in cost units.
 */
static double
plan_divided(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count, double prefill_ms,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	g_autofree struct rank *ranks = g_new(struct rank, count);
	size_t max = MIN(count, BALANCE_HELPERS_MAX + 1);
	size_t fewest;
	size_t best;
	size_t decoder;
	double least_cost = 0.0;
	double first_token_ms = 0.0;
	double delayed = 0.0;

	if (prompt->engines_max > 0)
		max = MIN(max, prompt->engines_max);
	if (prompt->undivided)
		max = 1;
	fewest = MIN(fewest_parts(profile, prompt, prefill_ms), max);
	best = fewest;
	for (size_t parts = fewest; parts <= max; parts++) {
		double expected_ms;
		double cost;

		rank_engines(profile, candidates, count, prompt,
		    prefill_ms / (double)parts, ranks);
		cost = plan_cost(profile, candidates, ranks, parts, prefill_ms,
		    prompt, &expected_ms);
		if (parts > fewest && cost >= least_cost)
			continue;
		least_cost = cost;
		best = parts;
		first_token_ms = expected_ms;
	}
	rank_engines(profile, candidates, count, prompt,
	    prefill_ms / (double)best, ranks);
	for (size_t i = 0; i < best; i++)
		delayed += delayed_streams(profile, &candidates[ranks[i].index],
		    prompt, prefill_ms / (double)best);
	decoder = find_medium_decoder(profile, candidates, ranks, count,
	    prefill_ms / (double)best, prompt);
	if (decoder == 0)
		decoder = choose_decoder(
		    profile, candidates, ranks, best, prompt);
	*plan = (struct balance_plan){
	    .first = ranks[decoder].index,
	    .part_ms = prefill_ms / (double)best,
	    .first_token_ms = first_token_ms,
	    .delayed = delayed,
	};
	add_helpers(ranks, best, decoder, plan);
	return least_cost;
}

/*
 * Plans a prompt that does not fit into the memory of its engines, by adding
 * more engines. Returns false if all of them do not have enough.
 */
static bool
plan_for_memory(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count, double prefill_ms,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	g_autofree struct rank *ranks = g_new(struct rank, count);
	size_t max = MIN(count, BALANCE_HELPERS_MAX + 1);

	for (size_t parts = plan->helper_count + 2; parts <= max; parts++) {
		size_t decoder;

		rank_engines(profile, candidates, count, prompt,
		    prefill_ms / (double)parts, ranks);
		decoder = choose_decoder(
		    profile, candidates, ranks, parts, prompt);
		plan->first = ranks[decoder].index;
		plan->part_ms = prefill_ms / (double)parts;
		add_helpers(ranks, parts, decoder, plan);
		if (balance_divide_memory(profile, candidates, prompt, plan))
			return true;
	}
	return false;
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
 * Plans which engines prefill a prompt and which one decodes the answer. If it
 * is not served now, the verdict says why and plan->wait_ms when it may be.
 */
enum balance_verdict
balance_plan_prompt(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	double prefill_ms = engine_profile_prefill_ms(profile, prompt->tokens);
	double worth = prompt_worth(prompt);
	double cost = 0.0;

	*plan = (struct balance_plan){0};
	if (count == 0)
		return BALANCE_NO_ENGINE;
	if (!balance_is_divisible(profile, prompt))
		plan_short_stream(profile, candidates, count, prefill_ms, plan);
	else
		cost = plan_divided(
		    profile, candidates, count, prefill_ms, prompt, plan);
	plan->wait_ms = mean_backlog_ms(candidates, count);
	plan->cost = cost;
	plan->worth = worth;
	if (cost > worth * BALANCE_ADMIT_COST_RATIO)
		return BALANCE_TOO_COSTLY;
	if (balance_divide_memory(profile, candidates, prompt, plan))
		return BALANCE_SERVE;
	return !prompt->undivided &&
		plan_for_memory(
		    profile, candidates, count, prefill_ms, prompt, plan)
	    ? BALANCE_SERVE
	    : BALANCE_NO_MEMORY;
}

/*
 * Returns whether a prompt that is not served now may wait and be planned
 * again: in bursts of long prompts the engines are free again within a part of
 * its target time.
 */
bool
balance_prompt_may_wait(
    const struct balance_prompt *prompt, enum balance_verdict verdict)
{
	if (verdict == BALANCE_HELD_BACK)
		return true;
	return (verdict == BALANCE_TOO_COSTLY ||
		   verdict == BALANCE_NO_MEMORY) &&
	    prompt->waited_ms < prompt->target_ms * BALANCE_WAIT_SHARE;
}
