#include "policy/group_plan.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/invariant.h"

INVARIANT_DEFINE(parts_complete, "group_parts_make_the_prompt");

/* Compares candidates: most free memory first, then by id. */
static int
compare_free_tokens(const void *a, const void *b)
{
	const struct group_candidate *x = a, *y = b;

	if (x->free_tokens != y->free_tokens)
		return x->free_tokens < y->free_tokens ? 1 : -1;
	return strcmp(x->upstream, y->upstream);
}

/* Compares parts by upstream id. */
static int
compare_ids(const void *a, const void *b)
{
	const struct group_part *x = a, *y = b;

	return strcmp(x->upstream, y->upstream);
}

/*
 * Returns the tokens that a candidate can hold; with free_only, only those that
 * are free now.
 */
static uint64_t
candidate_capacity(const struct group_candidate *candidate, bool free_only)
{
	uint64_t most = candidate->memory_tokens * GROUP_MEMBER_MEMORY_PERCENT /
	    100;

	if (!candidate->accepting)
		return 0;
	return free_only ? MIN(most, candidate->free_tokens) : most;
}

/*
 * Chooses candidates in order until they can hold enough. Returns false if all
 * of them together cannot.
 */
static bool
choose_members(struct group_plan *plan,
    const struct group_candidate *candidates, size_t count, uint64_t needed,
    bool free_only)
{
	uint64_t sum = 0, capacity;

	plan->count = 0;
	for (size_t i = 0; i < count && sum < needed; i++) {
		capacity = candidate_capacity(&candidates[i], free_only);
		if (capacity == 0)
			continue;
		plan->parts[plan->count++] = (struct group_part){
		    .upstream = (char *)candidates[i].upstream,
		    .capacity = capacity,
		};
		sum += capacity;
	}
	return sum >= needed;
}

/* Returns the index of the part with the largest capacity. */
static size_t
largest_part(const struct group_plan *plan)
{
	size_t best = 0;

	for (size_t i = 1; i < plan->count; i++) {
		if (plan->parts[i].capacity > plan->parts[best].capacity)
			best = i;
	}
	return best;
}

/*
 * Divides the prompt in proportion to the capacities. The leader, which has the
 * last part, also holds memory for the output.
 */
static void
divide_prompt(struct group_plan *plan, const struct group_request *request)
{
	uint64_t needed = request->prompt_tokens + request->output_tokens;
	uint64_t sum = 0, offset = 0, given = 0;
	struct group_part *leader = &plan->parts[plan->leader];

	for (size_t i = 0; i < plan->count; i++)
		sum += plan->parts[i].capacity;
	for (size_t i = 0; i < plan->count; i++) {
		struct group_part *part = &plan->parts[i];

		if (i == plan->leader)
			continue;
		part->tokens = (uint64_t)((unsigned __int128)needed *
		    part->capacity / sum);
		part->tokens = MIN(
		    part->tokens, request->prompt_tokens - offset);
		part->offset = offset;
		part->hold_tokens = part->tokens;
		offset += part->tokens;
	}
	leader->tokens = request->prompt_tokens - offset;
	leader->offset = offset;
	leader->hold_tokens = leader->tokens + request->output_tokens;
	for (size_t i = 0; i < plan->count; i++)
		given += plan->parts[i].tokens;
	invariant_check(
	    &parts_complete, given == request->prompt_tokens, NULL, NULL);
}

/*
 * Plans a group among the candidates: those with enough free memory now if
 * possible, otherwise those with enough memory in total. Returns false if all
 * together are too small.
 */
bool
group_plan_make(struct group_plan *plan, const struct group_request *request,
    const struct group_candidate *candidates, size_t count)
{
	uint64_t needed = request->prompt_tokens + request->output_tokens;
	g_autofree struct group_candidate *sorted = g_memdup2(
	    candidates, count * sizeof(*candidates));

	*plan = (struct group_plan){.parts = g_new0(struct group_part, count)};
	if (count == 0)
		return false;
	qsort(sorted, count, sizeof(*sorted), compare_free_tokens);
	/* Rounding adds up to one token per member to the leader's part. */
	if (!choose_members(
		plan, sorted, count, needed + count * count, true) &&
	    !choose_members(
		plan, sorted, count, needed + count * count, false)) {
		plan->count = 0;
		return false;
	}
	qsort(plan->parts, plan->count, sizeof(*plan->parts), compare_ids);
	for (size_t i = 0; i < plan->count; i++)
		plan->parts[i].upstream = g_strdup(plan->parts[i].upstream);
	plan->leader = largest_part(plan);
	divide_prompt(plan, request);
	return true;
}

/* Frees a plan's contents. */
void
group_plan_clear(struct group_plan *plan)
{
	for (size_t i = 0; i < plan->count; i++)
		g_free(plan->parts[i].upstream);
	g_free(plan->parts);
	*plan = (struct group_plan){0};
}
