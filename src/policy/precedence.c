#include "policy/precedence.h"

#include <math.h>

#include <glib.h>

#include "base/clock.h"
#include "policy/balance_memory.h"

/* Number of urgencies of upstreams: 0 to 9. */
#define URGENCIES 10

/*
 * Returns the rank of a request: the organisation's own if it has one, else the
 * route's. An invalid one counts as the least urgent of the service.
 */
uint32_t
precedence_resolve_rank(const struct precedence_ranks *ranks,
    uint32_t route_rank, bool has_own_rank, uint32_t own_rank)
{
	uint32_t rank = has_own_rank ? own_rank : route_rank;

	return rank <= PRECEDENCE_RANK_MAX ? rank : ranks->least_urgent;
}

/*
 * Returns the urgency of a request for upstreams, 0 first. Each rank of the
 * service has a band of the same width, within which the urgency rises as the
 * time until the request's target runs out; bands do not overlap, so no request
 * gets ahead of a more urgent rank.
 */
uint32_t
precedence_urgency(const struct precedence_ranks *ranks, uint32_t rank,
    double target_ms, double waited_ms)
{
	uint32_t count = 0;
	uint32_t position = 0;
	uint32_t width;
	double left_share = 1.0;

	for (uint32_t i = 0; i < PRECEDENCE_RANKS; i++) {
		count += ranks->used[i];
		position += i < rank && ranks->used[i];
	}
	width = URGENCIES / MAX(count, 1);
	if (target_ms > 0.0)
		left_share = CLAMP(1.0 - waited_ms / target_ms, 0.0, 1.0);
	return MIN(
	    position * width + (uint32_t)(left_share * (width - 1) + 0.5),
	    URGENCIES - 1);
}

/* Returns the streams of an engine whose class has a more urgent rank. */
static uint32_t
count_more_urgent(const struct precedence_ranks *ranks,
    const struct balance_candidate *candidate, uint32_t rank)
{
	uint32_t count = 0;

	for (size_t i = 0; i < STREAM_CLASSES; i++) {
		if (ranks->classes[i].used && ranks->classes[i].rank < rank)
			count += candidate->streams[i];
	}
	return count;
}

/* Returns whether an engine decodes streams of a more urgent rank. */
bool
precedence_has_more_urgent(const struct precedence_ranks *ranks,
    const struct balance_candidate *candidate, uint32_t rank)
{
	return count_more_urgent(ranks, candidate, rank) > 0;
}

/*
 * Returns the number of idle engines to be kept clear for more urgent streams:
 * those of the present ones that have no room for the streams by which their
 * number may rise.
 */
static size_t
count_reserved(const struct precedence_ranks *ranks,
    const struct balance_candidate *candidates, size_t count, uint32_t rank)
{
	double streams = 0.0;
	double room = 0.0;
	double slots = 1.0;
	double wanted;

	for (size_t i = 0; i < count; i++) {
		double packed = candidates[i].slots * BALANCE_PACK_SHARE;
		uint32_t urgent = count_more_urgent(
		    ranks, &candidates[i], rank);

		slots = MAX(slots, packed);
		streams += urgent;
		if (urgent > 0 &&
		    candidates[i].backlog_ms <= BALANCE_PACK_BACKLOG_MS)
			room += MAX(packed - candidates[i].running, 0.0);
	}
	wanted = PRECEDENCE_ROOM_DEVIATIONS * sqrt(MAX(streams, 1.0));
	return wanted <= room ? 0 : (size_t)ceil((wanted - room) / slots);
}

/* Returns whether an engine has neither streams nor prefill. */
static bool
is_idle(const struct balance_candidate *candidate)
{
	return candidate->running == 0 && candidate->backlog_ms <= 0.0;
}

/*
 * Returns the order of the last idle engine that is kept clear, or -1. More
 * urgent streams that need another engine use the idle one that comes first in
 * the order that all gateways know, so these are the engines to be kept clear.
 */
static int64_t
last_reserved_order(
    const struct balance_candidate *candidates, size_t count, size_t reserved)
{
	int64_t last = -1;

	for (size_t i = 0; i < reserved; i++) {
		int64_t next = INT64_MAX;

		for (size_t j = 0; j < count; j++) {
			if (is_idle(&candidates[j]) &&
			    candidates[j].order > last)
				next = MIN(next, candidates[j].order);
		}
		if (next == INT64_MAX)
			break;
		last = next;
	}
	return last;
}

/* A part of the candidates, and the index of each among all of them. */
struct subset {
	struct balance_candidate *candidates;
	size_t *indexes;
	size_t count;
};

/* Initialises an empty subset of that many candidates. */
static void
subset_init(struct subset *subset, size_t count)
{
	*subset = (struct subset){
	    .candidates = g_new(struct balance_candidate, count),
	    .indexes = g_new(size_t, count),
	};
}

/* Adds a candidate to a subset. */
static void
subset_add(struct subset *subset, const struct balance_candidate *candidates,
    size_t index)
{
	subset->indexes[subset->count] = index;
	subset->candidates[subset->count++] = candidates[index];
}

/* Frees the arrays of a subset. */
static void
subset_clear(struct subset *subset)
{
	g_free(subset->candidates);
	g_free(subset->indexes);
}

/*
 * Collects the engines that a prompt may use without delaying more urgent
 * streams, those of now and those that come next.
 */
static void
collect_clear(const struct precedence_ranks *ranks,
    const struct balance_candidate *candidates, size_t count, uint32_t rank,
    struct subset *subset)
{
	int64_t reserved = last_reserved_order(
	    candidates, count, count_reserved(ranks, candidates, count, rank));

	subset_init(subset, count);
	for (size_t i = 0; i < count; i++) {
		if (count_more_urgent(ranks, &candidates[i], rank) > 0 ||
		    (is_idle(&candidates[i]) &&
			candidates[i].order <= reserved))
			continue;
		subset_add(subset, candidates, i);
	}
}

/*
 * Collects the engines whose prefill lets a prompt meet its target, after the
 * rest of a decode pass and one more, or those without prefill.
 */
static void
collect_quick(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, struct subset *subset)
{
	double pass_ms = engine_profile_pass_ms(profile, profile->slots, 0);
	double limit_ms = prompt->slack_ms - 2.0 * pass_ms -
	    engine_profile_prefill_ms(profile, prompt->tokens);

	subset_init(subset, count);
	for (size_t i = 0; i < count; i++) {
		if (candidates[i].backlog_ms <= MAX(limit_ms, 0.0))
			subset_add(subset, candidates, i);
	}
}

/* Sorts indexes of engines by their free memory, most first. */
static int
compare_memory(const void *a, const void *b, void *data)
{
	const uint64_t *free_tokens = data;
	uint64_t left = free_tokens[*(const size_t *)a];
	uint64_t right = free_tokens[*(const size_t *)b];

	return (left < right) - (left > right);
}

/*
 * Collects the engines that have memory for a whole prompt, or else those with
 * the most free memory, as many as a prompt may use.
 */
static void
collect_free(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, struct subset *subset)
{
	g_autofree uint64_t *free_tokens = g_new(uint64_t, count + 1);
	g_autofree size_t *order = g_new(size_t, count + 1);

	subset_init(subset, count);
	for (size_t i = 0; i < count; i++) {
		free_tokens[i] = balance_free_tokens(profile, &candidates[i]);
		order[i] = i;
		if (balance_fits_memory(profile, &candidates[i], prompt))
			subset_add(subset, candidates, i);
	}
	if (subset->count > 0)
		return;
	g_qsort_with_data(
	    order, (gint)count, sizeof(*order), compare_memory, free_tokens);
	for (size_t i = 0; i < MIN(count, BALANCE_HELPERS_MAX + 1); i++)
		subset_add(subset, candidates, order[i]);
}

/* Converts a plan for a subset to one for all candidates. */
static void
convert_plan(const struct subset *subset, struct balance_plan *plan)
{
	plan->first = subset->indexes[plan->first];
	for (size_t i = 0; i < plan->helper_count; i++)
		plan->helpers[i] = subset->indexes[plan->helpers[i]];
}

/*
 * Returns whether a prompt that is planned later meets its target, if others
 * delay it by one gap that its route allows.
 */
static bool
has_time_after(
    const struct balance_prompt *prompt, const struct balance_plan *plan)
{
	return plan->first_token_ms + prompt->ahead_ms + prompt->gap_ms +
	    BALANCE_WAIT_INTERVAL_MS <
	    prompt->slack_ms;
}

/* Returns whether a rank is more urgent than another one of the service. */
static bool
has_more_urgent_rank(const struct precedence_ranks *ranks, uint32_t rank)
{
	for (uint32_t i = 0; i < rank && i < PRECEDENCE_RANKS; i++) {
		if (ranks->used[i])
			return true;
	}
	return false;
}

/*
 * Plans a prompt on these engines. If those that would be the best have no
 * memory for it, plans it on those that have.
 */
static enum balance_verdict
plan_engines(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	enum balance_verdict verdict = balance_plan_prompt(
	    profile, candidates, count, prompt, plan);
	struct subset subset;

	if (verdict != BALANCE_NO_MEMORY)
		return verdict;
	collect_free(profile, candidates, count, prompt, &subset);
	verdict = balance_plan_prompt(
	    profile, subset.candidates, subset.count, prompt, plan);
	if (verdict != BALANCE_NO_ENGINE)
		convert_plan(&subset, plan);
	subset_clear(&subset);
	return verdict;
}

/*
 * Plans a prompt on engines without more urgent streams; BALANCE_NO_ENGINE if
 * there are none.
 */
static enum balance_verdict
plan_clear(const struct engine_profile *profile,
    const struct precedence_ranks *ranks,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	struct subset subset;
	enum balance_verdict verdict = BALANCE_NO_ENGINE;

	collect_clear(ranks, candidates, count, prompt->rank, &subset);
	if (subset.count > 0)
		verdict = balance_plan_prompt(
		    profile, subset.candidates, subset.count, prompt, plan);
	if (verdict != BALANCE_NO_ENGINE)
		convert_plan(&subset, plan);
	subset_clear(&subset);
	return verdict;
}

/*
 * Returns whether a plan for engines without more urgent streams is carried
 * out: the prompt meets its target, and delays no streams while it has time.
 */
static bool
is_accepted(const struct balance_prompt *prompt, enum balance_verdict verdict,
    const struct balance_plan *plan)
{
	if (verdict != BALANCE_SERVE || plan->first_token_ms > prompt->slack_ms)
		return false;
	return (plan->delayed == 0.0 && prompt->ahead_ms == 0.0) ||
	    !has_time_after(prompt, plan);
}

/*
 * Plans a prompt on engines whose prefill lets it meet its target. Returns
 * whether it is served there.
 */
static bool
plan_quick(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	struct subset subset;
	bool served;

	collect_quick(profile, candidates, count, prompt, &subset);
	served = subset.count > 0 &&
	    plan_engines(profile, subset.candidates, subset.count, prompt,
		plan) == BALANCE_SERVE;
	if (served)
		convert_plan(&subset, plan);
	subset_clear(&subset);
	return served;
}

/*
 * Sets the gaps above which streams count as delayed: those that the routes
 * allow, less the rest of the decode pass during which a part arrives.
 */
static void
set_planned_gaps(const struct engine_profile *profile,
    const struct precedence_ranks *ranks, struct balance_prompt *prompt)
{
	double pass_ms = engine_profile_pass_ms(profile, profile->slots, 0);

	for (size_t i = 0; i < STREAM_CLASSES; i++) {
		double gap_ms = ranks->classes[i].gap_ms;

		if (gap_ms > pass_ms)
			prompt->planned_gap_ms[i] = gap_ms - pass_ms;
	}
}

/*
 * Plans a prompt on the engines that its rank and slack allow. A less urgent
 * prompt that would delay more urgent streams is held back for as long as it
 * meets its target on the engines that it could use now. A more urgent one
 * avoids engines that prefill others for longer than its target allows.
 */
enum balance_verdict
precedence_plan_prompt(const struct engine_profile *profile,
    const struct precedence_ranks *ranks,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *wanted, struct balance_plan *plan)
{
	struct balance_prompt copy = *wanted;
	const struct balance_prompt *prompt = &copy;
	struct balance_plan clear;
	enum balance_verdict clear_verdict;
	enum balance_verdict verdict;

	if (!prompt->has_ranks || ranks == NULL)
		return balance_plan_prompt(
		    profile, candidates, count, prompt, plan);
	set_planned_gaps(profile, ranks, &copy);
	if (!has_more_urgent_rank(ranks, prompt->rank) ||
	    !balance_is_divisible(profile, prompt))
		return plan_quick(profile, candidates, count, prompt, plan)
		    ? BALANCE_SERVE
		    : plan_engines(profile, candidates, count, prompt, plan);
	clear_verdict = plan_clear(
	    profile, ranks, candidates, count, prompt, &clear);
	if (is_accepted(prompt, clear_verdict, &clear)) {
		*plan = clear;
		return BALANCE_SERVE;
	}
	verdict = plan_engines(profile, candidates, count, prompt, plan);
	plan->wait_ms += prompt->ahead_ms;
	if (verdict == BALANCE_SERVE && has_time_after(prompt, plan))
		return BALANCE_HELD_BACK;
	/* If it is served at any cost, it is not at that of urgent streams. */
	if (verdict == BALANCE_TOO_COSTLY &&
	    (clear_verdict == BALANCE_SERVE ||
		clear_verdict == BALANCE_TOO_COSTLY)) {
		clear.wait_ms = plan->wait_ms;
		*plan = clear;
	}
	return verdict;
}
