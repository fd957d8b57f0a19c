#include "gateway/exchange_choice.h"

#include <string.h>

#include "gateway/exchange_internal.h"

/*
 * Engines that read a prompt once one of its readers was gone: others may be as
 * well, and each one more makes the last try fail more likely.
 */
#define DOUBTFUL_READERS_MAX 4

/* Frees a choice. */
void
choice_clear(struct choice *choice)
{
	g_free(choice->candidates);
	g_free(choice->upstreams);
}

/* Says whether this request has been to an upstream already. */
static bool
was_tried(const struct exchange *exchange, const char *id)
{
	for (size_t i = 0; i < exchange->tries; i++) {
		if (strcmp(exchange->tried[i], id) == 0)
			return true;
	}
	return g_strcmp0(exchange->at_fault, id) == 0;
}

/* Says whether an upstream bears one more request now. */
static bool
bears_more(const struct exchange *exchange, const struct upstream *upstream,
    struct timespec now)
{
	const struct exchanges *all = exchange->all;
	double bearable;

	if (exchange->profile->cold_per_s <= 0.0 ||
	    !time_before(now, upstream->cold_until))
		return true;
	bearable = exchange->profile->cold_per_s * all->cold_ratio +
	    all->cold_slack;
	return cold_rate_allows(&upstream->cold_rate,
	    cold_rate_share(bearable, registry_count(all->registry)), now);
}

/*
 * Says whether an upstream may turn a request away: it is cold, or full as far
 * as is known. The last send of a request that has run in part goes to none of
 * these while there are others, since the caller would get only a part.
 */
static bool
may_turn_away(const struct upstream *upstream, struct timespec now)
{
	return time_before(now, upstream->cold_until) ||
	    upstream->own.running + upstream->peers.running >= upstream->slots;
}

/* Says whether a request's next send is its last after others. */
static bool
is_last_send(const struct exchange *exchange)
{
	return exchange->sends > 0 &&
	    exchange->sends + 1 >= exchange_sends_max(exchange);
}

/* Describes an upstream as a candidate. */
static struct balance_candidate
describe(struct exchange *exchange, const struct upstream *upstream)
{
	struct balance_candidate candidate = {
	    .slots = upstream->slots,
	    .running = upstream->own.running + upstream->peers.running,
	    .backlog_ms = (double)upstream_reading_us(upstream) / US_PER_MS,
	    .context_tokens = upstream->own.context_tokens +
		upstream->peers.context_tokens,
	    .error_share = upstream->error_share,
	    .tie = g_rand_int(exchange->all->random),
	};

	for (size_t i = 0; i < STREAM_CLASSES; i++)
		candidate.streams[i] = upstream->own.streams[i] +
		    upstream->peers.streams[i];
	return candidate;
}

/* Collects who may get this request. */
void
choice_collect(
    struct exchange *exchange, enum choice_care care, struct choice *choice)
{
	struct fleet *fleet = knowledge_fleet(exchange->all->knowledge);
	struct timespec now = clock_monotonic(exchange->all->clock);
	size_t max = fleet_count(fleet);
	bool sure = care == CHOICE_SURE && is_last_send(exchange);
	struct upstream *upstream;

	*choice = (struct choice){
	    .candidates = g_new(struct balance_candidate, max),
	    .upstreams = g_new(struct upstream *, max),
	};
	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		if (strcmp(upstream->service, exchange->profile->name) != 0 ||
		    !fleet_takes_new_work(fleet, upstream, now))
			continue;
		choice->listed++;
		if (was_tried(exchange, upstream->id) ||
		    !bears_more(exchange, upstream, now) ||
		    (care != CHOICE_ANY &&
			upstream_is_avoided(upstream, now)) ||
		    (sure && may_turn_away(upstream, now)))
			continue;
		choice->candidates[choice->count] = describe(
		    exchange, upstream);
		choice->upstreams[choice->count++] = upstream;
	}
}

/* Returns how long a pause a request's stream bears. */
enum stream_class
choice_stream_class(const struct exchange *exchange)
{
	return balance_stream_class((double)exchange->route->gap_target_ms);
}

/* Describes the prompt of a request. */
static struct balance_prompt
describe_prompt(const struct exchange *exchange)
{
	return (struct balance_prompt){
	    .tokens = exchange->head.prompt_tokens,
	    .output_tokens = exchange->head.output_tokens,
	    .class = choice_stream_class(exchange),
	    .target_ms = (double)exchange->route->target_ms,
	    .waited_ms = (double)exchange_age_ms(exchange),
	    .engines_max = exchange->at_fault != NULL ? DOUBTFUL_READERS_MAX
						      : 0,
	};
}

/* Says whether a request carries a prompt for an engine that we can predict. */
static bool
has_predicted_prompt(const struct exchange *exchange)
{
	return exchange->profile->has_engine && exchange->head.has_prompt;
}

/* Picks who gets the request, or says why nobody does. */
enum balance_verdict
choice_plan(const struct exchange *exchange, const struct choice *choice,
    struct balance_plan *out)
{
	const struct balance_prompt prompt = describe_prompt(exchange);
	ssize_t at;

	if (has_predicted_prompt(exchange))
		return balance_plan_prompt(&exchange->profile->engine,
		    choice->candidates, choice->count, &prompt, out);
	at = balance_choose(choice->candidates, choice->count);
	*out = (struct balance_plan){.first = at < 0 ? 0 : (size_t)at};
	return at < 0 ? BALANCE_NO_ENGINE : BALANCE_SERVE;
}

/* Says whether a request that nobody can take now may wait. */
bool
choice_may_wait(const struct exchange *exchange, enum balance_verdict verdict)
{
	const struct balance_prompt prompt = describe_prompt(exchange);

	return balance_prompt_may_wait(&prompt, verdict);
}
