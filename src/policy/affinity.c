#include "policy/affinity.h"

#include <math.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

/* Weights of a delay in the moving averages of the mean and the deviation. */
#define DELAY_MEAN_WEIGHT      0.125
#define DELAY_DEVIATION_WEIGHT 0.25
/* Weight of a prompt in the share of those whose prefix was held. */
#define SHARE_WEIGHT 0.1

/*
 * Returns the milliseconds of prefill that a candidate saves if it holds the
 * beginning of a prompt; 0 if the prefix is short, or if the candidate has no
 * slot or no memory for the request now.
 */
double
affinity_saved_ms(const struct engine_profile *profile,
    const struct balance_candidate *candidate,
    const struct affinity_prompt *prompt)
{
	double whole_ms = engine_profile_prefill_ms(profile, prompt->tokens);
	double planned = (double)profile->memory_tokens * BALANCE_MEMORY_SHARE;
	double wanted = (double)candidate->context_tokens +
	    (double)prompt->tokens + (double)prompt->output_tokens;

	if (prompt->held_tokens < AFFINITY_PREFIX_TOKENS_MIN ||
	    candidate->running >= candidate->slots ||
	    (profile->memory_tokens > 0 && wanted > planned))
		return 0.0;
	/* A token attends to all tokens before it, held or not. */
	return MIN(
	    engine_profile_prefill_ms(profile, prompt->held_tokens), whole_ms);
}

/*
 * Returns how much longer a request may wait at a candidate for what is saved
 * there, in milliseconds. Where requests wait already this is little, so that a
 * prefix that many prompts share is prefilled again elsewhere instead.
 */
double
affinity_credit_ms(const struct balance_candidate *candidate, bool waits)
{
	if (waits)
		return MIN(candidate->saved_ms * AFFINITY_WAITING_WEIGHT,
		    AFFINITY_WAITING_MAX_MS);
	return MIN(candidate->saved_ms * AFFINITY_PACKING_WEIGHT,
	    AFFINITY_PACKING_MAX_MS);
}

/*
 * Returns the weight of an upstream for a prefix: of several upstreams the one
 * with the highest weight is its home (rendezvous hashing). All gateways send
 * the prompts of a prefix there of which they know no holder, and so to the
 * same upstream, without any message. When upstreams come and go, only their
 * own prefixes get another home.
 */
uint64_t
affinity_home_weight(uint64_t prefix, const char *upstream)
{
	return XXH3_64bits_withSeed(upstream, strlen(upstream), prefix);
}

/* Adds to the share of prompts whose prefix was held as assumed. */
void
affinity_share_add(double *share, enum affinity_finding finding)
{
	double held = finding == AFFINITY_HELD ? 1.0 : 0.0;

	if (finding == AFFINITY_UNCLEAR)
		return;
	*share += SHARE_WEIGHT * (held - *share);
	*share = MAX(*share, AFFINITY_SHARE_MIN);
}

/*
 * Returns the length of a prompt that one idle engine prefills in that time:
 * the inverse of engine_profile_prefill_ms().
 */
static uint64_t
tokens_prefilled_in(const struct engine_profile *profile, double prefill_ms)
{
	double square = profile->pairs_ms / 2e6;
	double linear = 1.0 / profile->prefill_tokens_per_ms;

	if (square <= 0.0)
		return (uint64_t)(prefill_ms / linear);
	return (uint64_t)((sqrt(linear * linear + 4.0 * square * prefill_ms) -
			      linear) /
	    (2.0 * square));
}

/*
 * Returns the candidate that would prefill the rest of a prompt first, of those
 * that hold its beginning; count if there is none.
 */
static size_t
find_holder(const struct balance_candidate *candidates, size_t count)
{
	double least_ms = INFINITY;
	size_t best = count;

	for (size_t i = 0; i < count; i++) {
		const struct balance_candidate *candidate = &candidates[i];
		double ms = candidate->backlog_ms - candidate->saved_ms +
		    candidate->error_share * BALANCE_ERROR_COST_MS;

		if (candidate->saved_ms <= 0.0 || ms >= least_ms)
			continue;
		least_ms = ms;
		best = i;
	}
	return best;
}

/*
 * Plans the whole prompt for the best holder of its beginning, where only the
 * rest is prefilled. Returns false if it can't be served there.
 */
static bool
plan_for_holder(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, struct balance_plan *out)
{
	double prefill_ms = engine_profile_prefill_ms(profile, prompt->tokens);
	size_t at = find_holder(candidates, count);
	struct balance_candidate holder;
	struct balance_prompt rest = *prompt;

	if (at == count)
		return false;
	holder = candidates[at];
	rest.tokens = tokens_prefilled_in(
	    profile, MAX(prefill_ms - holder.saved_ms, 0.0));
	rest.undivided = true;
	/* The memory is needed for the whole prompt all the same. */
	holder.context_tokens += prompt->tokens -
	    MIN(rest.tokens, prompt->tokens);
	if (balance_plan_prompt(profile, &holder, 1, &rest, out) !=
	    BALANCE_SERVE)
		return false;
	out->first = at;
	return true;
}

/*
 * Adjusts the plan of a prompt that is served to what its engines hold. A
 * prompt that would be divided is prefilled at a holder of its beginning
 * instead, if that costs no more and the first token comes no later or still
 * in time. A prompt that one engine prefills takes as
 * much less time as the engine saves. Without anything saved the plan remains.
 */
void
affinity_adjust_plan(const struct engine_profile *profile,
    const struct balance_candidate *candidates, size_t count,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	struct balance_plan whole;
	double saved_ms;

	if (balance_is_divisible(profile, prompt) &&
	    plan_for_holder(profile, candidates, count, prompt, &whole) &&
	    whole.cost <= plan->cost &&
	    whole.first_token_ms <=
		MAX(plan->first_token_ms, prompt->slack_ms)) {
		*plan = whole;
		return;
	}
	if (plan->helper_count > 0 || plan->first >= count)
		return;
	saved_ms = MIN(candidates[plan->first].saved_ms, plan->part_ms);
	plan->part_ms -= saved_ms;
	plan->first_token_ms -= saved_ms;
}

/* Adds the delay of a first token where nothing was assumed. */
void
affinity_delay_add(struct affinity_delay *delay, double delay_ms)
{
	double difference_ms = delay_ms - delay->mean_ms;

	if (!delay->known) {
		*delay = (struct affinity_delay){
		    .mean_ms = delay_ms, .known = true};
		return;
	}
	delay->mean_ms += DELAY_MEAN_WEIGHT * difference_ms;
	delay->deviation_ms += DELAY_DEVIATION_WEIGHT *
	    (fabs(difference_ms) - delay->deviation_ms);
}

/*
 * Returns how strongly a first token speaks against the assumption that a
 * prefix was held: 1 if it came as late as without the prefix, -1 if it came as
 * early as with it, and near 0 if other prompts' delays vary by more than is
 * saved. delay_ms is how much later it came than expected with the prefix.
 */
double
affinity_evidence(
    const struct affinity_delay *usual, double delay_ms, double saved_ms)
{
	double half_ms = saved_ms / 2.0;

	if (saved_ms <= 0.0)
		return 0.0;
	return CLAMP((delay_ms - usual->mean_ms - half_ms) /
		(half_ms + usual->deviation_ms),
	    -1.0, 1.0);
}

/* Returns what the evidence of one first token shows. */
enum affinity_finding
affinity_finding(double evidence)
{
	if (evidence >= AFFINITY_EVIDENCE_MIN)
		return AFFINITY_NOT_HELD;
	return evidence <= -AFFINITY_EVIDENCE_MIN ? AFFINITY_HELD
						  : AFFINITY_UNCLEAR;
}
