#include "policy/precedence.h"

#include <math.h>
#include <string.h>

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

/*
 * Returns the rank of a class of streams beside a prompt. Whose they are is not
 * known: those that are less urgent only because the prompt's organisation has
 * a more urgent rank than its route may be of that organisation too, and count
 * as equal.
 */
static uint32_t
class_rank(const struct precedence_ranks *ranks, size_t class,
    const struct balance_prompt *prompt)
{
	uint32_t rank = ranks->classes[class].rank;

	return rank > prompt->rank && rank <= prompt->route_rank ? prompt->rank
								 : rank;
}

/* Returns whether a class of streams is of a more urgent rank than a prompt. */
static bool
is_more_urgent(const struct precedence_ranks *ranks, size_t class,
    const struct balance_prompt *prompt)
{
	return ranks->classes[class].used &&
	    class_rank(ranks, class, prompt) < prompt->rank;
}

/*
 * Returns whether a class of streams goes before a prompt: its rank is more
 * urgent, or the same and its streams have less time.
 */
static bool
goes_before(const struct precedence_ranks *ranks, size_t class,
    const struct balance_prompt *prompt)
{
	return is_more_urgent(ranks, class, prompt) ||
	    (ranks->classes[class].used &&
		class_rank(ranks, class, prompt) == prompt->rank &&
		class < prompt->class);
}

/* Returns the streams of an engine in the classes for which a test holds. */
static uint32_t
count_streams(bool (*test)(const struct precedence_ranks *, size_t class,
		  const struct balance_prompt *),
    const struct precedence_ranks *ranks,
    const struct balance_candidate *candidate,
    const struct balance_prompt *prompt)
{
	uint32_t count = 0;

	for (size_t i = 0; i < STREAM_CLASSES; i++) {
		if (test(ranks, i, prompt))
			count += candidate->streams[i];
	}
	return count;
}

/* Returns whether a test holds for any class of streams of the service. */
static bool
has_class(bool (*test)(const struct precedence_ranks *, size_t class,
	      const struct balance_prompt *),
    const struct precedence_ranks *ranks, const struct balance_prompt *prompt)
{
	for (size_t i = 0; i < STREAM_CLASSES; i++) {
		if (test(ranks, i, prompt))
			return true;
	}
	return false;
}

/*
 * Returns the number of engines to be kept clear for more urgent streams that
 * come next. Their number may rise by PRECEDENCE_ROOM_DEVIATIONS standard
 * deviations; engines that have such streams already take some of that, and as
 * many engines are kept clear as the rest needs.
 */
static size_t
count_reserved(const struct precedence_ranks *ranks,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt)
{
	double streams = 0.0;
	double room = 0.0;
	double slots = 1.0;
	double wanted;

	if (!has_class(is_more_urgent, ranks, prompt))
		return 0;
	for (size_t i = 0; i < count; i++) {
		double packed = candidates[i].slots * BALANCE_PACK_SHARE;
		uint32_t urgent = count_streams(
		    is_more_urgent, ranks, &candidates[i], prompt);

		slots = MAX(slots, packed);
		streams += urgent;
		if (urgent > 0 &&
		    candidates[i].backlog_ms <= BALANCE_PACK_BACKLOG_MS)
			room += MAX(packed - candidates[i].running, 0.0);
	}
	wanted = PRECEDENCE_ROOM_DEVIATIONS * sqrt(MAX(streams, 1.0));
	return wanted <= room ? 0 : (size_t)ceil((wanted - room) / slots);
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

/* Returns whether an engine is free before another one. */
static bool
is_freer(
    const struct balance_candidate *left, const struct balance_candidate *right)
{
	if (left->backlog_ms != right->backlog_ms)
		return left->backlog_ms < right->backlog_ms;
	return left->order < right->order;
}

/* Returns whether an engine has no streams that go before a prompt. */
static bool
is_clear(const struct precedence_ranks *ranks,
    const struct balance_candidate *candidate,
    const struct balance_prompt *prompt)
{
	return count_streams(goes_before, ranks, candidate, prompt) == 0;
}

/*
 * Marks the engines that are to be kept clear for more urgent streams that come
 * next: of those without streams that go before the prompt the ones that are
 * free first, in an order that all gateways know. At least half of these are
 * left to the prompts that are already here.
 */
static void
mark_reserved(const struct precedence_ranks *ranks,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, bool *reserved)
{
	size_t clear = 0;
	size_t left;

	memset(reserved, 0, count * sizeof(*reserved));
	for (size_t i = 0; i < count; i++)
		clear += is_clear(ranks, &candidates[i], prompt);
	left = MIN(count_reserved(ranks, candidates, count, prompt), clear / 2);
	for (; left > 0; left--) {
		size_t freest = count;

		for (size_t i = 0; i < count; i++) {
			if (!reserved[i] &&
			    is_clear(ranks, &candidates[i], prompt) &&
			    (freest == count ||
				is_freer(&candidates[i], &candidates[freest])))
				freest = i;
		}
		reserved[freest] = true;
	}
}

/*
 * Collects the engines that are not kept clear for more urgent streams; with
 * only_clear those without streams that go before the prompt.
 */
static void
collect_unreserved(const struct precedence_ranks *ranks,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, bool only_clear, struct subset *subset)
{
	g_autofree bool *reserved = g_new(bool, count + 1);

	mark_reserved(ranks, candidates, count, prompt, reserved);
	subset_init(subset, count);
	for (size_t i = 0; i < count; i++) {
		if (reserved[i] ||
		    (only_clear && !is_clear(ranks, &candidates[i], prompt)))
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
 * Plans a prompt on engines that are not kept clear for more urgent streams;
 * with only_clear on those without streams that go before it.
 * BALANCE_NO_ENGINE if there are none.
 */
static enum balance_verdict
plan_unreserved(const struct engine_profile *profile,
    const struct precedence_ranks *ranks,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, bool only_clear,
    struct balance_plan *plan)
{
	struct balance_prompt copy = *prompt;
	struct subset subset;
	enum balance_verdict verdict = BALANCE_NO_ENGINE;

	*plan = (struct balance_plan){0};
	collect_unreserved(
	    ranks, candidates, count, prompt, only_clear, &subset);
	copy.engines_aside = count - subset.count;
	if (subset.count > 0)
		verdict = plan_engines(
		    profile, subset.candidates, subset.count, &copy, plan);
	if (verdict != BALANCE_NO_ENGINE)
		convert_plan(&subset, plan);
	subset_clear(&subset);
	return verdict;
}

/*
 * Returns whether a plan for clear engines is carried out: the prompt meets its
 * target, and no more urgent prompts wait while it has time.
 */
static bool
is_accepted(const struct balance_prompt *prompt, enum balance_verdict verdict,
    const struct balance_plan *plan)
{
	if (verdict != BALANCE_SERVE || plan->first_token_ms > prompt->slack_ms)
		return false;
	return prompt->ahead_ms == 0.0 || !has_time_after(prompt, plan);
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
 * Describes the streams of the prompt's service: the gaps above which they
 * count as delayed are those that their routes allow, less the rest of the
 * decode pass during which a part arrives. Of more urgent ones it is half of
 * that: those that start meanwhile wait for the rest of one pass and all of the
 * next.
 */
static void
describe_streams(const struct engine_profile *profile,
    const struct precedence_ranks *ranks, struct balance_prompt *prompt)
{
	double pass_ms = engine_profile_pass_ms(profile, profile->slots, 0);

	for (size_t i = 0; i < STREAM_CLASSES; i++) {
		double gap_ms = ranks->classes[i].gap_ms;

		if (gap_ms > pass_ms)
			gap_ms -= pass_ms;
		if (is_more_urgent(ranks, i, prompt))
			gap_ms /= 2.0;
		prompt->streams[i].rank = class_rank(ranks, i, prompt);
		prompt->streams[i].gap_ms = gap_ms;
	}
}

/*
 * Plans a prompt that one engine prefills: where it meets its target, or else
 * anywhere.
 */
static enum balance_verdict
plan_undivided(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	if (plan_quick(profile, candidates, count, prompt, plan))
		return BALANCE_SERVE;
	return plan_engines(profile, candidates, count, prompt, plan);
}

/*
 * Plans a prompt on the engines that its rank and slack allow: first on those
 * that are clear of streams that go before it, then on the others that are not
 * kept for more urgent ones. Beside more urgent ranks it is held back from the
 * latter while it has time, and is served late on clear engines rather than not
 * at all.
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

	describe_streams(profile, ranks, &copy);
	if (!balance_is_divisible(profile, prompt))
		return plan_undivided(profile, candidates, count, prompt, plan);
	if (!has_class(goes_before, ranks, prompt))
		return plan_engines(profile, candidates, count, prompt, plan);
	clear_verdict = plan_unreserved(
	    profile, ranks, candidates, count, prompt, true, &clear);
	if (is_accepted(prompt, clear_verdict, &clear)) {
		*plan = clear;
		return BALANCE_SERVE;
	}
	verdict = plan_unreserved(
	    profile, ranks, candidates, count, prompt, false, plan);
	if (verdict == BALANCE_SERVE && has_time_after(prompt, plan) &&
	    has_class(is_more_urgent, ranks, prompt))
		return BALANCE_HELD_BACK;
	if (verdict != BALANCE_SERVE && clear_verdict == BALANCE_SERVE &&
	    !balance_prompt_may_wait(prompt, verdict, plan)) {
		*plan = clear;
		return BALANCE_SERVE;
	}
	return verdict;
}
