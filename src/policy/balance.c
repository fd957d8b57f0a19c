#include "policy/balance.h"

#include <math.h>
#include <stdlib.h>

#include <glib.h>

/* A candidate's place in the order of preference. */
struct rank {
	size_t index;
	double cost;
	uint32_t tie;
};

/* Returns what a request pays at a candidate, in milliseconds. */
static double
cost(const struct balance_candidate *candidate)
{
	double total = candidate->backlog_ms +
	    candidate->running * BALANCE_RUNNING_COST_MS +
	    candidate->error_share * BALANCE_ERROR_COST_MS;

	if (candidate->running >= candidate->slots)
		total += BALANCE_FULL_COST_MS;
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

/* Orders the candidates, the cheapest first; to be freed. */
static struct rank *
rank_all(const struct balance_candidate *candidates, size_t count)
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
	g_autofree struct rank *ranks = rank_all(candidates, count);

	return count == 0 ? -1 : (ssize_t)ranks[0].index;
}

/* Returns in how many parts a prompt is read. */
static size_t
part_count(double whole_ms, size_t count)
{
	size_t parts;

	if (whole_ms <= BALANCE_WHOLE_MS)
		return 1;
	parts = (size_t)ceil(whole_ms / BALANCE_PART_MS);
	return MIN(parts, MIN(count, BALANCE_HELPERS_MAX + 1));
}

/* Says whether a prompt and its answer fit beside what runs there. */
static bool
fits(const struct engine_profile *profile,
    const struct balance_candidate *candidate,
    const struct balance_prompt *prompt)
{
	double room = (double)profile->memory_tokens * BALANCE_MEMORY_SHARE -
	    (double)candidate->context_tokens;

	return (double)(prompt->tokens + prompt->output_tokens) <= room;
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

/*
 * Plans which engines read a prompt and which of them writes the answer. False
 * where there is no engine at all.
 */
bool
balance_prompt(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	g_autofree struct rank *ranks = rank_all(candidates, count);
	double whole_ms = reading_ms(profile, prompt->tokens);
	size_t parts = part_count(whole_ms, count);
	size_t writer;
	double backlog_ms = 0.0;

	if (count == 0)
		return false;
	writer = choose_writer(profile, candidates, ranks, parts, prompt);
	*plan = (struct balance_plan){
	    .first = ranks[writer].index,
	    .part_ms = whole_ms / (double)parts,
	};
	for (size_t i = 0; i < parts; i++) {
		backlog_ms = MAX(
		    backlog_ms, candidates[ranks[i].index].backlog_ms);
		if (i != writer)
			plan->helpers[plan->helper_count++] = ranks[i].index;
	}
	plan->first_token_ms = backlog_ms + plan->part_ms +
	    reading_pass_ms(profile, candidates[plan->first].running + 1,
		candidates[plan->first].context_tokens);
	return true;
}
