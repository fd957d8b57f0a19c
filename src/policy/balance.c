#include "policy/balance.h"

#include <stdlib.h>

#include <glib.h>

#include "base/clock.h"

/* Returns the class of a stream by the longest pause that its route states. */
enum stream_class
balance_stream_class(double gap_target_ms)
{
	if (gap_target_ms > 0.0 && gap_target_ms <= BALANCE_SHORT_GAP_MS)
		return STREAM_SHORT;
	if (gap_target_ms > 0.0 && gap_target_ms <= BALANCE_MEDIUM_GAP_MS)
		return STREAM_MEDIUM;
	return STREAM_LONG;
}

/* A candidate's place in an order of preference. */
struct rank {
	size_t index;
	double cost;
	uint32_t tie;
};

/* Returns what a request pays at a candidate, in milliseconds of waiting. */
static double
waiting(const struct balance_candidate *candidate)
{
	double total = candidate->backlog_ms +
	    candidate->running * BALANCE_RUNNING_COST_MS +
	    candidate->error_share * BALANCE_ERROR_COST_MS;

	if (candidate->running >= candidate->slots)
		total += BALANCE_FULL_COST_MS +
		    BALANCE_WAITING_COST_MS *
			(candidate->running - candidate->slots);
	return total;
}

/* Orders by cost, equals by chance. */
static int
compare(const void *a, const void *b)
{
	const struct rank *left = a;
	const struct rank *right = b;

	if (left->cost < right->cost)
		return -1;
	if (left->cost > right->cost)
		return 1;
	return (left->tie > right->tie) - (left->tie < right->tie);
}

/* Orders the candidates by a cost, the cheapest first; to be freed. */
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
		qsort(ranks, count, sizeof(*ranks), compare);
	return ranks;
}

/* Chooses the upstream for a plain service's call; -1 where there is none. */
ssize_t
balance_call(const struct balance_candidate *candidates, size_t count)
{
	g_autofree struct rank *ranks = rank_all(candidates, count, waiting);

	return count == 0 ? -1 : (ssize_t)ranks[0].index;
}

/*
 * Returns what a short stream pays: an engine with many short streams costs
 * less than one with few, until it is packed or reads.
 */
static double
packing(const struct balance_candidate *candidate)
{
	double pack = candidate->slots * BALANCE_PACK_SHARE;

	if (candidate->running >= pack ||
	    candidate->backlog_ms > BALANCE_PACK_BACKLOG_MS)
		return waiting(candidate);
	return candidate->error_share * BALANCE_ERROR_COST_MS -
	    BALANCE_PACK_GAIN_MS * candidate->streams[STREAM_SHORT];
}

/* Plans a short stream's prompt, which one engine reads. */
static void
plan_short(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count, double whole_ms,
    struct balance_plan *plan)
{
	g_autofree struct rank *ranks = rank_all(candidates, count, packing);
	const struct balance_candidate *first = &candidates[ranks[0].index];

	*plan = (struct balance_plan){
	    .first = ranks[0].index,
	    .part_ms = whole_ms,
	    .first_token_ms = first->backlog_ms + whole_ms +
		reading_pass_ms(
		    profile, first->running + 1, first->context_tokens),
	};
}

/* Returns what a prompt in time is worth, in short streams of the usual length.
 */
static double
worth_of(const struct balance_prompt *prompt)
{
	double tokens = (double)prompt->tokens;

	return prompt->class == STREAM_SHORT
	    ? tokens / BALANCE_SHORT_TOKENS
	    : tokens / BALANCE_TOKENS_PER_SHORT;
}

/* Returns how late a prompt is, from 0 to 1 at its target and beyond. */
static double
lateness(double first_token_ms, double target_ms)
{
	double from = target_ms * BALANCE_LATE_FROM;

	if (target_ms <= 0.0 || first_token_ms <= from)
		return 0.0;
	return (first_token_ms - from) / (target_ms - from);
}

/* Returns how many streams, in short ones, a part makes wait too long. */
static double
delayed(const struct engine_profile *profile,
    const struct balance_candidate *candidate, double part_ms)
{
	static const struct {
		double pause_ms;
		double worth;
	} classes[STREAM_CLASSES] = {
	    [STREAM_SHORT] = {BALANCE_SHORT_PAUSE_MS, 1.0},
	    [STREAM_MEDIUM] = {BALANCE_MEDIUM_PAUSE_MS, BALANCE_MEDIUM_WORTH},
	    [STREAM_LONG] = {BALANCE_LONG_PAUSE_MS, BALANCE_LONG_WORTH},
	};
	double pause_ms = candidate->backlog_ms + part_ms +
	    reading_pass_ms(
		profile, candidate->running, candidate->context_tokens);
	double streams = 0.0;

	for (size_t i = 0; i < STREAM_CLASSES; i++) {
		if (pause_ms > classes[i].pause_ms)
			streams += candidate->streams[i] * classes[i].worth;
	}
	return streams;
}

/* Orders the candidates by what a part of such a length costs there. */
static void
rank_readers(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count, double part_ms,
    struct rank *ranks)
{
	for (size_t i = 0; i < count; i++) {
		const struct balance_candidate *one = &candidates[i];

		ranks[i] = (struct rank){
		    .index = i,
		    .cost = delayed(profile, one, part_ms) * BALANCE_DELAY_MS +
			one->streams[STREAM_SHORT] * BALANCE_NEAR_MS +
			one->backlog_ms +
			one->error_share * BALANCE_ERROR_COST_MS,
		    .tie = one->tie,
		};
	}
	if (count > 1)
		qsort(ranks, count, sizeof(*ranks), compare);
}

/* Returns what it costs the prompts that are being read to be held up. */
static double
overtaking(double backlog_ms, double part_ms)
{
	double prompts = MIN(
	    backlog_ms / BALANCE_OVERTAKE_MS, BALANCE_OVERTAKE_PROMPTS_MAX);

	return BALANCE_OVERTAKE_COST * part_ms * prompts;
}

/* Returns the cost of reading with the first so many of an order. */
static double
cost_of(const struct engine_profile *profile,
    const struct balance_candidate *candidates, const struct rank *ranks,
    size_t parts, double whole_ms, const struct balance_prompt *prompt,
    double *first_token_ms)
{
	double part_ms = whole_ms / (double)parts;
	double backlog_ms = 0.0;
	double weight = part_ms / BALANCE_MEDIUM_PAUSE_MS;
	double total = (double)parts *
	    (BALANCE_READER_COST +
		BALANCE_PART_COST * MIN(weight * weight, weight));

	for (size_t i = 0; i < parts; i++) {
		const struct balance_candidate
		    *one = &candidates[ranks[i].index];

		backlog_ms = MAX(backlog_ms, one->backlog_ms);
		total += delayed(profile, one, part_ms);
	}
	*first_token_ms = part_ms +
	    backlog_ms * (parts == 1 ? 1.0 : BALANCE_AHEAD_SHARE) +
	    reading_pass_ms(profile, candidates[ranks[0].index].running + 1,
		candidates[ranks[0].index].context_tokens);
	if (parts > 1)
		total += overtaking(backlog_ms, part_ms);
	return total +
	    lateness(prompt->waited_ms + *first_token_ms, prompt->target_ms) *
	    worth_of(prompt);
}

/* Returns how many tokens an engine has memory for beside what runs there. */
static uint64_t
room(const struct engine_profile *profile,
    const struct balance_candidate *candidate)
{
	double planned = (double)profile->memory_tokens * BALANCE_MEMORY_SHARE;

	if (planned <= (double)candidate->context_tokens)
		return 0;
	return (uint64_t)planned - candidate->context_tokens;
}

/* Says whether a prompt and its answer fit beside what runs there. */
static bool
fits(const struct engine_profile *profile,
    const struct balance_candidate *candidate,
    const struct balance_prompt *prompt)
{
	return prompt->tokens + prompt->output_tokens <=
	    room(profile, candidate);
}

/*
 * Chooses which of the readers writes: the cheapest that has room, or the one
 * with the most room.
 */
static size_t
choose_writer(const struct engine_profile *profile,
    const struct balance_candidate *candidates, const struct rank *ranks,
    size_t parts, const struct balance_prompt *prompt)
{
	size_t most = 0;

	for (size_t i = 0; i < parts; i++) {
		if (fits(profile, &candidates[ranks[i].index], prompt))
			return i;
		if (candidates[ranks[i].index].context_tokens <
		    candidates[ranks[most].index].context_tokens)
			most = i;
	}
	return most;
}

/* Says whether an engine with short streams bears one more part and stream. */
static bool
shelters(const struct engine_profile *profile,
    const struct balance_candidate *candidate, double part_ms,
    const struct balance_prompt *prompt)
{
	return candidate->streams[STREAM_SHORT] > 0 &&
	    candidate->running < candidate->slots * BALANCE_PACK_SHARE &&
	    candidate->backlog_ms <= BALANCE_PACK_BACKLOG_MS &&
	    delayed(profile, candidate, part_ms) == 0.0 &&
	    fits(profile, candidate, prompt);
}

/*
 * Finds an engine among those with short streams that can write a medium
 * stream: nobody gives long parts to these, so that its pauses stay short.
 * Returns a place in the order, or the first reader's where there is none.
 */
static size_t
find_shelter(const struct engine_profile *profile,
    const struct balance_candidate *candidates, const struct rank *ranks,
    size_t count, double part_ms, const struct balance_prompt *prompt)
{
	if (prompt->class == STREAM_LONG)
		return 0;
	for (size_t i = 0; i < count; i++) {
		if (shelters(
			profile, &candidates[ranks[i].index], part_ms, prompt))
			return i;
	}
	return 0;
}

/* Has the first of an order help a writer, so that there are so many readers.
 */
static void
add_helpers(const struct rank *ranks, size_t parts, size_t writer,
    struct balance_plan *plan)
{
	plan->helper_count = 0;
	for (size_t i = 0; plan->helper_count + 1 < parts; i++) {
		if (i != writer)
			plan->helpers[plan->helper_count++] = ranks[i].index;
	}
}

/*
 * Plans a long prompt: of the engines that delay the fewest short streams, as
 * many as make the prompt's own lateness worth their delay. Returns what that
 * costs, in late short streams.
 */
static double
plan_long(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count, double whole_ms,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	g_autofree struct rank *ranks = g_new(struct rank, count);
	size_t max = MIN(count, BALANCE_HELPERS_MAX + 1);
	size_t best = 1;
	size_t writer;
	double least = 0.0;
	double first_token_ms = 0.0;

	if (prompt->readers_max > 0)
		max = MIN(max, prompt->readers_max);
	for (size_t parts = 1; parts <= max; parts++) {
		double expected_ms;
		double cost;

		rank_readers(profile, candidates, count,
		    whole_ms / (double)parts, ranks);
		cost = cost_of(profile, candidates, ranks, parts, whole_ms,
		    prompt, &expected_ms);
		if (parts > 1 && cost >= least)
			continue;
		least = cost;
		best = parts;
		first_token_ms = expected_ms;
	}
	rank_readers(
	    profile, candidates, count, whole_ms / (double)best, ranks);
	writer = find_shelter(
	    profile, candidates, ranks, count, whole_ms / (double)best, prompt);
	if (writer == 0)
		writer = choose_writer(
		    profile, candidates, ranks, best, prompt);
	*plan = (struct balance_plan){
	    .first = ranks[writer].index,
	    .part_ms = whole_ms / (double)best,
	    .first_token_ms = first_token_ms,
	};
	add_helpers(ranks, best, writer, plan);
	return least;
}

/*
 * Divides a prompt that its writer has no memory for: the writer keeps what it
 * has room for, helpers the rest. False where all together have not enough.
 */
static bool
spread_memory(const struct engine_profile *profile,
    const struct balance_candidate *candidates,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	uint64_t left = prompt->tokens + prompt->output_tokens;

	if (profile->memory_tokens == 0)
		return true;
	left -= MIN(room(profile, &candidates[plan->first]), left);
	for (size_t i = 0; i < plan->helper_count; i++) {
		plan->held_tokens[i] = MIN(
		    room(profile, &candidates[plan->helpers[i]]), left);
		left -= plan->held_tokens[i];
	}
	return left == 0;
}

/* Plans a prompt too large for its readers' memory: more of them read it. */
static bool
plan_larger(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count, double whole_ms,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	g_autofree struct rank *ranks = g_new(struct rank, count);
	size_t max = MIN(count, BALANCE_HELPERS_MAX + 1);

	for (size_t parts = plan->helper_count + 2; parts <= max; parts++) {
		size_t writer;

		rank_readers(profile, candidates, count,
		    whole_ms / (double)parts, ranks);
		writer = choose_writer(
		    profile, candidates, ranks, parts, prompt);
		plan->first = ranks[writer].index;
		plan->part_ms = whole_ms / (double)parts;
		add_helpers(ranks, parts, writer, plan);
		if (spread_memory(profile, candidates, prompt, plan))
			return true;
	}
	return false;
}

/* Returns how long all engines need for what they have to read, in the mean. */
static double
mean_backlog_ms(const struct balance_candidate *candidates, size_t count)
{
	double total = 0.0;

	for (size_t i = 0; i < count; i++)
		total += candidates[i].backlog_ms;
	return total / (double)count;
}

/*
 * Plans which engines read a prompt and which of them writes the answer, or
 * says why it is not served now and when it may be.
 */
enum balance_verdict
balance_prompt(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	double whole_ms = reading_ms(profile, prompt->tokens);
	double worth = worth_of(prompt);
	double cost = 0.0;

	*plan = (struct balance_plan){0};
	if (count == 0)
		return BALANCE_NOBODY;
	if (prompt->class == STREAM_SHORT && whole_ms <= BALANCE_WHOLE_MS)
		plan_short(profile, candidates, count, whole_ms, plan);
	else
		cost = plan_long(
		    profile, candidates, count, whole_ms, prompt, plan);
	plan->wait_ms = mean_backlog_ms(candidates, count);
	plan->cost = cost;
	plan->worth = worth;
	if (cost > worth * BALANCE_ADMIT_SHARE)
		return BALANCE_TOO_COSTLY;
	if (spread_memory(profile, candidates, prompt, plan))
		return BALANCE_SERVE;
	return plan_larger(profile, candidates, count, whole_ms, prompt, plan)
	    ? BALANCE_SERVE
	    : BALANCE_NO_MEMORY;
}

/*
 * Says whether a prompt that is not served now may wait until it is: in the
 * bursts of long ones the engines are free again within a part of its time.
 */
bool
balance_may_wait(
    const struct balance_prompt *prompt, enum balance_verdict verdict)
{
	return (verdict == BALANCE_TOO_COSTLY ||
		   verdict == BALANCE_NO_MEMORY) &&
	    prompt->waited_ms < prompt->target_ms * BALANCE_WAIT_SHARE;
}
