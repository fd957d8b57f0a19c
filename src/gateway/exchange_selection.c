#include "gateway/exchange_selection.h"

#include <string.h>

#include <xxhash.h>

#include "gateway/exchange_internal.h"
#include "policy/caller_time.h"
#include "policy/return_time.h"

/*
 * Maximum number of upstreams that prefill a prompt after one of them failed:
 * more may have failed, and each additional one makes the retry likelier to
 * fail.
 */
#define RETRY_PREFILL_UPSTREAMS_MAX 4

/* Frees the arrays of a selection. */
void
selection_clear(struct selection *selection)
{
	g_free(selection->candidates);
	g_free(selection->upstreams);
}

/*
 * Returns whether an upstream was tried or reported as faulty for this request.
 */
static bool
was_tried(const struct exchange *exchange, const char *id)
{
	for (size_t i = 0; i < exchange->tries; i++) {
		if (strcmp(exchange->tried[i], id) == 0)
			return true;
	}
	return g_strcmp0(exchange->faulty_upstream, id) == 0;
}

/*
 * Returns whether an upstream is warm, or cold with capacity for one more
 * request.
 */
static bool
may_send_to_cold(const struct exchange *exchange,
    const struct fleet_upstream *upstream, struct timespec now)
{
	const struct exchange_context *context = exchange->context;
	struct cold_rate_sharers sharers = {
	    .upstream = upstream->id,
	    .self = context->address,
	};
	double capacity_per_s;

	if (exchange->profile->cold_per_s <= 0.0 ||
	    !time_before(now, upstream->cold_until))
		return true;
	capacity_per_s = exchange->profile->cold_per_s * context->cold_ratio +
	    context->cold_slack;
	sharers.count_min = load_sync_count(context->load_sync);
	sharers.others = registry_others(
	    context->registry, &sharers.other_count);
	return cold_rate_allows(&upstream->cold_rate,
	    cold_rate_share(capacity_per_s, &sharers),
	    load_sync_uptime_ms(context->load_sync), now);
}

/*
 * Returns whether an upstream may reject a request: it is cold, names a rate,
 * or all its slots are taken as far as is known. The last send of a request
 * that has been executed in part avoids these upstreams if there are others,
 * since a rejection would leave the caller with a partial response.
 */
static bool
may_reject(const struct fleet_upstream *upstream, struct timespec now)
{
	return time_before(now, upstream->cold_until) ||
	    rate_sync_needs_permit(upstream) ||
	    upstream->own.running + upstream->peers.running >= upstream->slots;
}

/* Returns whether the next send is the last one and not the first. */
static bool
is_last_send(const struct exchange *exchange)
{
	return exchange->sends > 0 &&
	    exchange_used_attempts(exchange, exchange->sends + 1,
		exchange->may_have_run) >= exchange_sends_max(exchange);
}

/* Returns the cost of the distance between this gateway and an upstream. */
static double
request_distance_ms(
    const struct exchange *exchange, const struct fleet_upstream *upstream)
{
	const struct locality_request request = {
	    .prompt_tokens = exchange->caller_headers.prompt_tokens,
	    .output_tokens = exchange->caller_headers.output_tokens,
	    .event_tokens = exchange->profile->engine.stride,
	};

	return locality_request_ms(&exchange->profile->locality,
	    exchange->context->failure_domain, upstream->failure_domain,
	    &request);
}

/* Fills a balancing candidate with an upstream's load. */
static struct balance_candidate
make_candidate(struct exchange *exchange, const struct fleet_upstream *upstream)
{
	struct balance_candidate candidate = {
	    .slots = upstream->slots,
	    .running = upstream->own.running + upstream->peers.running,
	    .backlog_ms = (double)fleet_upstream_prefill_us(upstream) /
		US_PER_MS,
	    .context_tokens = upstream->own.context_tokens +
		upstream->peers.context_tokens,
	    .error_share = upstream->process.error_share,
	    .tie = g_rand_int(exchange->context->random),
	    .order = (uint32_t)XXH3_64bits(upstream->id, strlen(upstream->id)),
	};

	for (size_t i = 0; i < STREAM_CLASSES; i++)
		candidate.streams[i] = upstream->own.streams[i] +
		    upstream->peers.streams[i];
	if (exchange->profile->locality.count > 0)
		candidate.distance_ms = request_distance_ms(exchange, upstream);
	return candidate;
}

/*
 * Returns the time for which an upstream takes no requests: it has asked for
 * none, or the rate that it names is used up.
 */
static int64_t
deferred_ms(const struct exchange *exchange, struct fleet_upstream *upstream,
    struct timespec now)
{
	const struct shared_rate rate = upstream->shared_rate;
	int64_t left_ms = MAX(quiet_left_ms(&upstream->process.quiet, now),
	    rate_sync_wait_ms(exchange->context->rate_sync, upstream));

	if (exchange->is_dry_run)
		upstream->shared_rate = rate;
	return left_ms;
}

/*
 * Returns why an upstream of the service gets no request now; left_ms is for
 * how long, if it is deferred.
 */
static enum exclusion
find_exclusion(const struct exchange *exchange, struct fleet_upstream *upstream,
    enum selection_filter filter, int64_t *left_ms)
{
	const struct fleet *fleet = routing_state_fleet(
	    exchange->context->routing_state);
	struct timespec now = clock_monotonic(exchange->context->clock);

	if (!fleet_upstream_is_eligible(fleet, upstream, now))
		return EXCLUDED_INELIGIBLE;
	*left_ms = deferred_ms(exchange, upstream, now);
	if (*left_ms > 0)
		return EXCLUDED_DEFERRED;
	if (was_tried(exchange, upstream->id))
		return EXCLUDED_TRIED;
	if (!may_send_to_cold(exchange, upstream, now))
		return EXCLUDED_COLD;
	if (filter != SELECTION_ANY && fleet_upstream_is_avoided(upstream, now))
		return EXCLUDED_AVOIDED;
	if (filter == SELECTION_RELIABLE && is_last_send(exchange) &&
	    may_reject(upstream, now))
		return EXCLUDED_MAY_REJECT;
	return EXCLUDED_NOT;
}

/* Returns why an upstream of the service gets no request now. */
enum exclusion
selection_exclusion(const struct exchange *exchange,
    struct fleet_upstream *upstream, enum selection_filter filter)
{
	int64_t left_ms;

	return find_exclusion(exchange, upstream, filter, &left_ms);
}

/* Counts an upstream that takes no requests for some time. */
static void
count_deferred(struct selection *selection, int64_t left_ms)
{
	if (selection->deferred == 0 || left_ms < selection->deferred_ms)
		selection->deferred_ms = left_ms;
	selection->deferred++;
}

/* Adds a candidate; those that name a rate are kept behind the others. */
static void
add_candidate(struct exchange *exchange, struct selection *selection,
    struct fleet_upstream *upstream)
{
	size_t at = selection->count++;
	size_t first_rated = at - selection->rated;

	if (rate_sync_needs_permit(upstream)) {
		selection->rated++;
	} else if (selection->rated > 0) {
		selection->candidates[at] = selection->candidates[first_rated];
		selection->upstreams[at] = selection->upstreams[first_rated];
		at = first_rated;
	}
	selection->candidates[at] = make_candidate(exchange, upstream);
	selection->upstreams[at] = upstream;
}

/* Collects the candidates for a request; clear them with selection_clear. */
void
selection_collect(struct exchange *exchange, enum selection_filter filter,
    struct selection *selection)
{
	struct fleet *fleet = routing_state_fleet(
	    exchange->context->routing_state);
	size_t max = fleet_count(fleet);
	struct fleet_upstream *upstream;

	*selection = (struct selection){
	    .candidates = g_new(struct balance_candidate, max),
	    .upstreams = g_new(struct fleet_upstream *, max),
	};
	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		enum exclusion exclusion;
		int64_t left_ms;

		if (strcmp(upstream->service, exchange->profile->name) != 0)
			continue;
		exclusion = find_exclusion(
		    exchange, upstream, filter, &left_ms);
		if (exclusion == EXCLUDED_INELIGIBLE)
			continue;
		selection->eligible++;
		if (rate_sync_needs_permit(upstream))
			selection->rate_per_s += upstream->process.named_rate
						     .per_s;
		if (exclusion == EXCLUDED_DEFERRED)
			count_deferred(selection, left_ms);
		else if (exclusion == EXCLUDED_NOT)
			add_candidate(exchange, selection, upstream);
	}
	exchange_fill_saved(exchange, selection);
}

/*
 * Returns whether another upstream is not likely to reject the request, as far
 * as is known.
 */
bool
exchange_has_reliable_upstream(struct exchange *exchange)
{
	struct timespec now = clock_monotonic(exchange->context->clock);
	struct selection selection;
	bool found = false;

	selection_collect(exchange, SELECTION_HEALTHY, &selection);
	for (size_t i = 0; i < selection.count && !found; i++)
		found = !may_reject(selection.upstreams[i], now);
	selection_clear(&selection);
	return found;
}

/* Returns whether no upstream takes requests now. */
bool
selection_is_deferred(const struct selection *selection)
{
	return selection->deferred > 0 &&
	    selection->deferred == selection->eligible;
}

/* Returns the slots of a service's rejected callers; creates them if needed. */
static struct return_slots *
service_slots(const struct exchange *exchange)
{
	GHashTable *services = exchange->context->return_slots;
	const char *service = exchange->profile->name;
	struct return_slots *slots = g_hash_table_lookup(services, service);

	if (slots == NULL) {
		slots = g_new0(struct return_slots, 1);
		g_hash_table_insert(services, g_strdup(service), slots);
	}
	return slots;
}

/*
 * Returns when the caller of a rejected request should come back, in
 * milliseconds: soon, or once the first upstream accepts requests again, and
 * not together with the others; 0 if it can't be served by then.
 */
int64_t
exchange_retry_after_ms(struct exchange *exchange)
{
	struct exchange_context *context = exchange->context;
	int64_t left_ms = RETURN_TIME_ROOM_MIN_MS;
	struct selection selection;

	selection_collect(exchange, SELECTION_ANY, &selection);
	if (selection_is_deferred(&selection))
		left_ms = selection.deferred_ms;
	if (selection_is_deferred(&selection) && selection.rate_per_s > 0.0)
		left_ms = return_slots_take(service_slots(exchange), left_ms,
		    selection.rate_per_s / load_sync_count(context->load_sync),
		    exchange_remaining_ms(exchange),
		    clock_monotonic(context->clock));
	selection_clear(&selection);
	return exchange_return_after_ms(exchange, (double)left_ms, NULL);
}

/* Returns the stream class for the route's gap target. */
enum stream_class
exchange_stream_class(const struct exchange *exchange)
{
	return balance_stream_class((double)exchange->route->gap_target_ms);
}

/* Describes the request's prompt for the balancer. */
static struct balance_prompt
make_balance_prompt(const struct exchange *exchange)
{
	const struct caller_time_ask ask = {
	    .target_ms = (double)exchange->route->target_ms,
	    .gap_ms = (double)exchange->route->gap_target_ms,
	    .waited_ms = (double)exchange_age_ms(exchange),
	    .remaining_ms = (double)exchange_remaining_ms(exchange),
	    .is_stream = exchange->route->kind == CALL_STREAM,
	};
	const struct caller_time time = caller_time_left(&ask);
	struct balance_prompt prompt = {
	    .tokens = exchange->caller_headers.prompt_tokens,
	    .output_tokens = exchange->caller_headers.output_tokens,
	    .class = exchange_stream_class(exchange),
	    .target_ms = time.target_ms,
	    .slack_ms = time.slack_ms,
	    .left_ms = time.left_ms,
	    .was_sent = exchange->sends > 0,
	    .engines_max = exchange->faulty_upstream != NULL
		? RETRY_PREFILL_UPSTREAMS_MAX
		: 0,
	};

	exchange_describe_rank(exchange, &prompt);
	return prompt;
}

/* Returns whether prefill and decode times can be predicted for the request. */
static bool
has_predictable_prompt(const struct exchange *exchange)
{
	return exchange->profile->has_engine &&
	    exchange->caller_headers.has_prompt;
}

/*
 * Plans a prompt where some upstreams name a rate. These take whole prompts
 * only: each part of one would count as a request.
 */
static enum balance_verdict
plan_with_rated(const struct exchange *exchange,
    const struct selection *selection, const struct balance_prompt *wanted,
    struct balance_plan *out)
{
	const struct engine_profile *engine = &exchange->profile->engine;
	struct balance_prompt prompt = *wanted;
	size_t others = selection->count - selection->rated;
	struct balance_plan whole;
	enum balance_verdict verdict;
	enum balance_verdict whole_verdict;

	verdict = precedence_plan_prompt(engine, &exchange->ranks,
	    selection->candidates, others, &prompt, out);
	if (verdict == BALANCE_SERVE)
		return verdict;
	prompt.undivided = true;
	whole_verdict = precedence_plan_prompt(engine, &exchange->ranks,
	    selection->candidates + others, selection->rated, &prompt, &whole);
	if (whole_verdict != BALANCE_SERVE && others > 0)
		return verdict;
	whole.first += others;
	*out = whole;
	return whole_verdict;
}

/* Plans which upstreams serve a prompt, or returns why none does. */
static enum balance_verdict
plan_prompt(const struct exchange *exchange, const struct selection *selection,
    const struct balance_prompt *prompt, struct balance_plan *out)
{
	enum balance_verdict verdict;

	if (selection->rated > 0 &&
	    balance_is_divisible(&exchange->profile->engine, prompt))
		return plan_with_rated(exchange, selection, prompt, out);
	verdict = precedence_plan_prompt(&exchange->profile->engine,
	    &exchange->ranks, selection->candidates, selection->count, prompt,
	    out);
	if (selection->rated > 0 && out->helper_count > 0)
		return plan_with_rated(exchange, selection, prompt, out);
	return verdict;
}

/* Plans which upstreams serve the request, or returns why none does. */
enum balance_verdict
selection_plan(struct exchange *exchange, const struct selection *selection,
    struct balance_plan *out)
{
	struct balance_prompt prompt = make_balance_prompt(exchange);
	enum balance_verdict verdict;
	ssize_t at;

	if (!has_predictable_prompt(exchange)) {
		at = balance_choose(selection->candidates, selection->count);
		*out = (struct balance_plan){.first = at < 0 ? 0 : (size_t)at};
		return at < 0 ? BALANCE_NO_ENGINE : BALANCE_SERVE;
	}
	exchange_describe_order(exchange, selection->count, &prompt);
	verdict = plan_prompt(exchange, selection, &prompt, out);
	verdict = exchange_hold_back(exchange, verdict, out);
	if (verdict == BALANCE_SERVE)
		affinity_adjust_plan(&exchange->profile->engine,
		    selection->candidates, selection->count - selection->rated,
		    &prompt, out);
	return verdict;
}

/* Returns whether a request that no upstream can take now may wait. */
bool
exchange_may_wait(const struct exchange *exchange, enum balance_verdict verdict,
    const struct balance_plan *plan)
{
	const struct balance_prompt prompt = make_balance_prompt(exchange);

	return balance_prompt_may_wait(&prompt, verdict, plan);
}
