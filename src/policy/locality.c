#include "policy/locality.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#define BYTES_PER_KB 1000.0

/* Adds the one-way delay between two failure domains, for both directions. */
void
locality_add(struct locality *locality, const char *from, const char *to,
    double delay_ms)
{
	locality->pairs = g_renew(
	    struct locality_pair, locality->pairs, locality->count + 1);
	locality->pairs[locality->count++] = (struct locality_pair){
	    .from = g_strdup(from),
	    .to = g_strdup(to),
	    .delay_ms = delay_ms,
	};
}

/* Frees the delays. */
void
locality_clear(struct locality *locality)
{
	for (size_t i = 0; i < locality->count; i++) {
		g_free(locality->pairs[i].from);
		g_free(locality->pairs[i].to);
	}
	g_free(locality->pairs);
	*locality = (struct locality){0};
}

/*
 * Returns the one-way delay between two failure domains in milliseconds; 0 if
 * they are close, or it is not known.
 */
double
locality_delay_ms(
    const struct locality *locality, const char *from, const char *to)
{
	for (size_t i = 0; i < locality->count; i++) {
		const struct locality_pair *pair = &locality->pairs[i];

		if ((g_strcmp0(pair->from, from) == 0 &&
			g_strcmp0(pair->to, to) == 0) ||
		    (g_strcmp0(pair->from, to) == 0 &&
			g_strcmp0(pair->to, from) == 0))
			return pair->delay_ms < LOCALITY_CLOSE_MS ||
				g_strcmp0(from, to) == 0
			    ? 0.0
			    : pair->delay_ms;
	}
	return 0.0;
}

/*
 * Returns the cost of sending a request to another failure domain, in
 * milliseconds of waiting: the round trips to its first event, and its bytes.
 */
double
locality_request_ms(const struct locality *locality, const char *from,
    const char *to, const struct locality_request *request)
{
	double delay_ms = locality_delay_ms(locality, from, to);
	double body = (double)request->prompt_tokens * LOCALITY_TOKEN_BYTES;
	double events = (double)request->output_tokens /
	    MAX(request->event_tokens, 1);

	if (delay_ms <= 0.0)
		return 0.0;
	/* A connection's window doubles with each round trip. */
	return 2.0 * delay_ms *
	    (LOCALITY_ROUND_TRIPS +
		floor(log2(1.0 + body / LOCALITY_WINDOW_BYTES))) +
	    (body + events * LOCALITY_EVENT_BYTES) / BYTES_PER_KB *
	    LOCALITY_MS_PER_KB;
}

/*
 * Returns the cost of prefilling a part of a prompt in another failure domain
 * than that of its first engine, in milliseconds of waiting: in each step the
 * engines exchange data.
 */
double
locality_exchange_ms(const struct locality *locality, const char *from,
    const char *to, const struct engine_profile *profile,
    uint64_t prompt_tokens)
{
	double steps = LOCALITY_STEPS;

	if (profile->chunk_tokens > 0)
		steps = MAX(ceil((double)prompt_tokens / profile->chunk_tokens /
				LOCALITY_PARTS),
		    1.0);
	return locality_delay_ms(locality, from, to) * steps;
}

/*
 * Returns by how much an engine is preferable because of the short streams that
 * it has, in milliseconds. Each failure domain packs its own: a far engine is
 * less preferable than an empty one here, and among those the one with the most
 * streams is preferred.
 */
double
locality_pack_gain_ms(double distance_ms, double gain_ms)
{
	if (distance_ms <= 0.0)
		return gain_ms;
	return -distance_ms *
	    (1.0 + BALANCE_PACK_GAIN_MS / (BALANCE_PACK_GAIN_MS + gain_ms));
}

/* Returns whether a failure domain occurs before an index. */
static bool
occurs_before(const char *const *domains, size_t index)
{
	for (size_t i = 0; i < index; i++) {
		if (strcmp(domains[i], domains[index]) == 0)
			return true;
	}
	return false;
}

/*
 * Plans a prompt with its first engine in one failure domain: the others cost
 * their exchange with that one, besides the way to it.
 */
static enum balance_verdict
plan_around(const struct engine_profile *profile,
    const struct locality *locality, const struct balance_candidate *candidates,
    const char *const *domains, size_t count, size_t first,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	g_autofree struct balance_candidate *moved = g_memdup2(
	    candidates, count * sizeof(*candidates));

	for (size_t i = 0; i < count; i++)
		moved[i].distance_ms = candidates[first].distance_ms +
		    locality_exchange_ms(locality, domains[first], domains[i],
			profile, prompt->tokens);
	return balance_plan_prompt(profile, moved, count, prompt, plan);
}

/* Returns whether a plan is served while another is not, or is cheaper. */
static bool
is_better(enum balance_verdict verdict, const struct balance_plan *plan,
    enum balance_verdict than_verdict, const struct balance_plan *than)
{
	bool served = verdict == BALANCE_SERVE;

	if (served != (than_verdict == BALANCE_SERVE))
		return served;
	return plan->cost < than->cost;
}

/* Returns whether all engines of a plan are in this gateway's failure domain.
 */
static bool
is_local(
    const struct balance_candidate *candidates, const struct balance_plan *plan)
{
	for (size_t i = 0; i < plan->helper_count; i++) {
		if (candidates[plan->helpers[i]].distance_ms > 0.0)
			return false;
	}
	return candidates[plan->first].distance_ms <= 0.0;
}

/* Returns an engine of this gateway's failure domain, or the first one. */
static size_t
find_local(const struct balance_candidate *candidates, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (candidates[i].distance_ms <= 0.0)
			return i;
	}
	return 0;
}

/*
 * Plans a prompt like balance_plan_prompt(), where candidates have their
 * distance_ms from this gateway, and domains their failure domains. Helpers
 * exchange data with the first engine all the time, so a prompt that may be
 * divided is planned around each failure domain, and the cheapest plan is used,
 * unless the engines here serve it at a low cost.
 */
enum balance_verdict
locality_plan_prompt(const struct engine_profile *profile,
    const struct locality *locality, const struct balance_candidate *candidates,
    const char *const *domains, size_t count,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	size_t local = find_local(candidates, count);
	enum balance_verdict verdict;

	if (locality->count == 0 || count == 0 || prompt->undivided ||
	    !balance_is_divisible(profile, prompt))
		return balance_plan_prompt(
		    profile, candidates, count, prompt, plan);
	verdict = plan_around(
	    profile, locality, candidates, domains, count, local, prompt, plan);
	if (verdict == BALANCE_SERVE && is_local(candidates, plan) &&
	    plan->cost <= plan->worth * LOCALITY_LOCAL_COST_SHARE)
		return verdict;
	for (size_t i = 0; i < count; i++) {
		struct balance_plan other;
		enum balance_verdict other_verdict;

		if (occurs_before(domains, i) ||
		    strcmp(domains[i], domains[local]) == 0)
			continue;
		other_verdict = plan_around(profile, locality, candidates,
		    domains, count, i, prompt, &other);
		if (is_better(other_verdict, &other, verdict, plan)) {
			verdict = other_verdict;
			*plan = other;
		}
	}
	return verdict;
}
