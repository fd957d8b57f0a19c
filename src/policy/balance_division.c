#include "policy/balance_division.h"

#include <math.h>
#include <stdlib.h>

#include <glib.h>

#include "policy/balance_memory.h"

/* Compares by cost, then by random tie. */
static int
compare_options(const void *a, const void *b)
{
	const struct balance_option *left = a;
	const struct balance_option *right = b;

	if (left->cost < right->cost)
		return -1;
	if (left->cost > right->cost)
		return 1;
	return (left->tie > right->tie) - (left->tie < right->tie);
}

/* Sorts candidates by cost, lowest first, then by random tie. */
void
balance_sort_options(struct balance_option *options, size_t count)
{
	if (count > 1)
		qsort(options, count, sizeof(*options), compare_options);
}

/* Streams that a part would delay beyond the gaps that their routes allow. */
struct delayed {
	double urgent; /* of more urgent ranks than the prompt's */
	double equal; /* of its rank */
	double all; /* less urgent ones too */
};

/* Adds the streams that a part would delay on an engine. */
static void
add_delayed(const struct engine_profile *profile,
    const struct balance_candidate *candidate,
    const struct balance_prompt *prompt, double part_ms,
    struct delayed *delayed)
{
	double gap_ms = candidate->backlog_ms + part_ms +
	    engine_profile_pass_ms(
		profile, candidate->running, candidate->context_tokens);

	for (size_t i = 0; i < STREAM_CLASSES; i++) {
		double allowed_ms = prompt->streams[i].gap_ms;
		uint32_t rank = prompt->streams[i].rank;

		if (allowed_ms <= 0.0 || gap_ms <= allowed_ms)
			continue;
		delayed->all += candidate->streams[i];
		if (rank < prompt->rank)
			delayed->urgent += candidate->streams[i];
		else if (rank == prompt->rank)
			delayed->equal += candidate->streams[i];
	}
}

/* Returns the streams that a part would delay on one engine. */
static struct delayed
count_delayed(const struct engine_profile *profile,
    const struct balance_candidate *candidate,
    const struct balance_prompt *prompt, double part_ms)
{
	struct delayed delayed = {0};

	add_delayed(profile, candidate, prompt, part_ms, &delayed);
	return delayed;
}

/*
 * Sorts the candidates by the cost of prefilling a part of that length there.
 */
static void
sort_engines(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, double part_ms,
    struct balance_option *options)
{
	for (size_t i = 0; i < count; i++) {
		const struct balance_candidate *engine = &candidates[i];

		options[i] = (struct balance_option){
		    .index = i,
		    .cost = count_delayed(profile, engine, prompt, part_ms)
				.all *
			    BALANCE_DELAYED_STREAM_MS +
			engine->streams[STREAM_SHORT] *
			    BALANCE_SHORT_STREAM_MS +
			engine->backlog_ms +
			engine->error_share * BALANCE_ERROR_COST_MS,
		    .tie = engine->tie,
		};
	}
	balance_sort_options(options, count);
}

/*
 * Returns how many callers would be late because a prompt's parts go before the
 * prompts that are being prefilled: all of those together are pushed back by
 * about their own work, the backlog, which makes one of them late for each time
 * that it takes what they have left of their targets.
 */
static double
preempted_callers(double backlog_ms, const struct balance_prompt *prompt)
{
	return prompt->target_ms > 0.0
	    ? backlog_ms / (prompt->target_ms * BALANCE_SLACK_SHARE)
	    : 0.0;
}

/*
 * Returns whether a prompt would be late itself: by its first token, or because
 * its stream waits for the prefill of others at the engine that decodes.
 */
static bool
is_late(const struct engine_profile *profile,
    const struct balance_candidate *decoder,
    const struct balance_prompt *prompt, const struct balance_plan *plan)
{
	double gap_ms = decoder->backlog_ms +
	    engine_profile_pass_ms(
		profile, decoder->running + 1, decoder->context_tokens);

	return plan->first_token_ms > prompt->slack_ms ||
	    (prompt->gap_ms > 0.0 && gap_ms > prompt->gap_ms);
}

/* Returns the shortest gap that routes of a prompt's rank allow; 0 for none. */
static double
shortest_gap_ms(const struct balance_prompt *prompt)
{
	double shortest_ms = 0.0;

	for (size_t i = 0; i < STREAM_CLASSES; i++) {
		double gap_ms = prompt->streams[i].gap_ms;

		if (prompt->streams[i].rank == prompt->rank && gap_ms > 0.0 &&
		    (shortest_ms <= 0.0 || gap_ms < shortest_ms))
			shortest_ms = gap_ms;
	}
	return shortest_ms;
}

/*
 * Returns how many engines may have prefill longer than the shortest gap: half
 * of the service's, or one of few.
 */
static size_t
room_engines(const struct balance_prompt *prompt, size_t count)
{
	return MAX((count + prompt->engines_aside) / 2, 1);
}

/*
 * Returns whether a prompt's parts leave room for callers of its rank with less
 * time that come next: half of the engines, or all but one of few, have no
 * prefill longer than the shortest gap then. options is the order in which they
 * get parts.
 */
static bool
leaves_room(const struct balance_candidate *candidates,
    const struct balance_option *options, size_t count, size_t parts,
    double part_ms, const struct balance_prompt *prompt)
{
	double gap_ms = shortest_gap_ms(prompt);
	size_t busy = 0;

	if (gap_ms <= 0.0 || part_ms <= gap_ms)
		return true;
	for (size_t i = 0; i < count; i++)
		busy += i < parts ||
		    candidates[options[i].index].backlog_ms > gap_ms;
	return busy <= room_engines(prompt, count);
}

/*
 * Returns what dividing a prompt into that many parts does; options gets the
 * order of the engines for it.
 */
static struct balance_plan
assess_division(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count, size_t parts,
    double prefill_ms, const struct balance_prompt *prompt,
    struct balance_option *options)
{
	double part_ms = prefill_ms / (double)parts;
	double backlog_ms = 0.0;
	double weight = prompt->gap_ms > 0.0 ? part_ms / prompt->gap_ms : 0.0;
	struct delayed delayed = {0};
	struct balance_plan out = {.part_ms = part_ms};
	struct balance_plan *plan = &out;

	sort_engines(profile, candidates, count, prompt, part_ms, options);
	for (size_t i = 0; i < parts; i++) {
		const struct balance_candidate
		    *engine = &candidates[options[i].index];

		backlog_ms = MAX(backlog_ms, engine->backlog_ms);
		add_delayed(profile, engine, prompt, part_ms, &delayed);
	}
	plan->alone_ms = part_ms +
	    engine_profile_pass_ms(profile,
		candidates[options[0].index].running + 1,
		candidates[options[0].index].context_tokens);
	plan->first_token_ms = plan->alone_ms +
	    backlog_ms * (parts == 1 ? 1.0 : BALANCE_BACKLOG_SHARE);
	plan->leaves_room = leaves_room(
	    candidates, options, count, parts, part_ms, prompt);
	plan->late_urgent = delayed.urgent;
	plan->late_others = delayed.equal +
	    (parts > 1 ? preempted_callers(backlog_ms, prompt) : 0.0);
	plan->late = is_late(
	    profile, &candidates[options[0].index], prompt, plan);
	plan->cost = plan->late_others + (plan->late ? 1.0 : 0.0) +
	    (double)parts *
		(BALANCE_ENGINE_COST + BALANCE_PART_COST * weight * weight);
	return out;
}

/* Returns whether a prompt's first token comes after its caller has left. */
bool
balance_is_too_late(
    const struct balance_prompt *prompt, const struct balance_plan *plan)
{
	return plan->first_token_ms >= prompt->left_ms;
}

/*
 * Returns whether a division is better than another: first by more urgent
 * callers that are late and by whether the prompt is served at all, then by
 * the room that it leaves, then by cost.
 */
static bool
is_better_division(const struct balance_prompt *prompt,
    const struct balance_plan *plan, const struct balance_plan *other)
{
	double harm = plan->late_urgent + balance_is_too_late(prompt, plan);
	double other_harm = other->late_urgent +
	    balance_is_too_late(prompt, other);

	if (harm != other_harm)
		return harm < other_harm;
	if (plan->leaves_room != other->leaves_room)
		return plan->leaves_room;
	return plan->cost < other->cost;
}

/*
 * Returns the rank of the engine that decodes: the cheapest one with enough
 * free memory, or else the one with the most.
 */
static size_t
choose_decoder(const struct engine_profile *profile,
    const struct balance_candidate *candidates,
    const struct balance_option *options, size_t parts,
    const struct balance_prompt *prompt)
{
	size_t most = 0;

	for (size_t i = 0; i < parts; i++) {
		if (balance_fits_memory(
			profile, &candidates[options[i].index], prompt))
			return i;
		if (candidates[options[i].index].context_tokens <
		    candidates[options[most].index].context_tokens)
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
	    count_delayed(profile, candidate, prompt, part_ms).all == 0.0 &&
	    balance_fits_memory(profile, candidate, prompt);
}

/*
 * Finds an engine among those with short streams that can decode a medium
 * stream. These engines get no long parts, so its gaps stay short. Returns its
 * rank, or 0 if there is none.
 */
static size_t
find_medium_decoder(const struct engine_profile *profile,
    const struct balance_candidate *candidates,
    const struct balance_option *options, size_t count, double part_ms,
    const struct balance_prompt *prompt)
{
	if (prompt->class == STREAM_LONG)
		return 0;
	for (size_t i = 0; i < count; i++) {
		if (can_decode_medium(profile, &candidates[options[i].index],
			part_ms, prompt))
			return i;
	}
	return 0;
}

/*
 * Adds the first engines of a ranking as helpers, up to that number of parts
 * including the decoder's.
 */
static void
add_helpers(const struct balance_option *options, size_t parts, size_t decoder,
    struct balance_plan *plan)
{
	plan->helper_count = 0;
	for (size_t i = 0; plan->helper_count + 1 < parts; i++) {
		if (i != decoder)
			plan->helpers[plan->helper_count++] = options[i].index;
	}
}

/*
 * Returns the fewest parts of a prompt that take no more than a share of the
 * gap that its route allows, less a decode pass.
 */
static size_t
fewest_parts(const struct engine_profile *profile,
    const struct balance_prompt *prompt, double prefill_ms, double gap_share)
{
	double part_ms = gap_share *
	    (prompt->gap_ms -
		engine_profile_pass_ms(profile, profile->slots, 0));

	if (part_ms <= 0.0)
		return 1;
	return MAX((size_t)ceil(prefill_ms / part_ms), 1);
}

/*
 * Returns whether too many other callers would be late because of a prompt, or
 * those that come next. One may be, if the prompt is in time for it and can't
 * be later.
 */
bool
balance_delays_others(
    const struct balance_prompt *prompt, const struct balance_plan *plan)
{
	if (plan->late_urgent > 0.0 || !plan->leaves_room)
		return true;
	if (plan->late ||
	    balance_prompt_may_wait(prompt, BALANCE_DELAYS_OTHERS, plan))
		return plan->late_others >= 1.0;
	return plan->late_others > 1.0;
}

/* Returns whether any streams of the service are more urgent than a prompt. */
static bool
has_more_urgent(const struct balance_prompt *prompt)
{
	for (size_t i = 0; i < STREAM_CLASSES; i++) {
		if (prompt->streams[i].gap_ms > 0.0 &&
		    prompt->streams[i].rank < prompt->rank)
			return true;
	}
	return false;
}

/*
 * Plans a prompt that may be divided. Takes the engines that delay the fewest
 * streams, and as many of them as make the fewest callers late, itself
 * included. Where others would be late takes fewer, with longer parts, for
 * which requests that reach their engines meanwhile have to wait: up to a gap,
 * and beside more urgent streams not at all, but down to the engines that may
 * have such parts.
 */
void
balance_plan_divided(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count, double prefill_ms,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	g_autofree struct balance_option *options = g_new(
	    struct balance_option, count);
	size_t max = MIN(count, BALANCE_HELPERS_MAX + 1);
	size_t fewest;
	size_t least;
	size_t best;
	size_t decoder;

	if (prompt->engines_max > 0)
		max = MIN(max, prompt->engines_max);
	if (prompt->undivided)
		max = 1;
	fewest = MIN(
	    fewest_parts(profile, prompt, prefill_ms, BALANCE_PART_GAP_SHARE),
	    max);
	best = fewest;
	for (size_t parts = fewest; parts <= max; parts++) {
		struct balance_plan division = assess_division(profile,
		    candidates, count, parts, prefill_ms, prompt, options);

		if (parts > fewest &&
		    !is_better_division(prompt, &division, plan))
			continue;
		best = parts;
		*plan = division;
	}
	least = has_more_urgent(prompt)
	    ? fewest
	    : fewest_parts(profile, prompt, prefill_ms, 1.0);
	least = MIN(least, room_engines(prompt, count));
	for (size_t parts = fewest;
	     parts-- > least && balance_delays_others(prompt, plan);) {
		struct balance_plan division = assess_division(profile,
		    candidates, count, parts, prefill_ms, prompt, options);

		if (!is_better_division(prompt, &division, plan))
			continue;
		best = parts;
		*plan = division;
	}
	sort_engines(profile, candidates, count, prompt,
	    prefill_ms / (double)best, options);
	decoder = find_medium_decoder(profile, candidates, options, count,
	    prefill_ms / (double)best, prompt);
	if (decoder == 0)
		decoder = choose_decoder(
		    profile, candidates, options, best, prompt);
	plan->first = options[decoder].index;
	add_helpers(options, best, decoder, plan);
}

/*
 * Plans a prompt that does not fit into the memory of its engines, by adding
 * more engines. Returns false if all of them do not have enough.
 */
bool
balance_plan_for_memory(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count, double prefill_ms,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	g_autofree struct balance_option *options = g_new(
	    struct balance_option, count);
	size_t max = MIN(count, BALANCE_HELPERS_MAX + 1);

	for (size_t parts = plan->helper_count + 2; parts <= max; parts++) {
		size_t decoder;

		sort_engines(profile, candidates, count, prompt,
		    prefill_ms / (double)parts, options);
		decoder = choose_decoder(
		    profile, candidates, options, parts, prompt);
		plan->first = options[decoder].index;
		plan->part_ms = prefill_ms / (double)parts;
		add_helpers(options, parts, decoder, plan);
		if (balance_divide_memory(profile, candidates, prompt, plan))
			return true;
	}
	return false;
}
