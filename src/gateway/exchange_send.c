#include <string.h>

#include "base/metrics.h"
#include "gateway/exchange_internal.h"

#define LOG_MODULE "send"
#include "base/log.h"

/* To an upstream on the same network; one that is cut off does not answer. */
#define CONNECT_MS 300
/* An upstream that acknowledges nothing for this long is not there. */
#define UNREACHABLE_MS 2000
/* Time off after a failure, doubled by each further one. */
#define AVOID_MIN_MS 250
#define AVOID_MAX_MS 4000
/* One that turned a request away has no place for the moment. */
#define AVOID_FULL_MS 30
/* Weight of one answer in the share of failures. */
#define ERROR_WEIGHT 0.1
/* A request that can't be sent anywhere is told to come back after this. */
#define COME_BACK_MS 500
/* Shorter reading is not told to the peers: it is over before they need it. */
#define TOLD_READING_MS 20.0
/*
 * Callers leave a stream that pauses for the longest of two seconds, four times
 * its target and eight times its pause; this much of it is waited for.
 */
#define PATIENCE_MIN_MS	 2000
#define PATIENCE_TARGETS 4
#define PATIENCE_GAPS	 8
#define PATIENCE_PERCENT 65
#define US_PER_MS	 1000.0
/* Times that engines are asked for one prompt's memory before it is refused. */
#define TICKET_REFUSALS_MAX 2
/* A send with less time than this left is not worth a worker's while. */
#define SEND_LEFT_MIN_MS 20

METRIC_DEFINE(sends_count, METRIC_COUNTER, "heatherturn_gateway_sends", NULL,
    "Requests sent to upstreams.");
METRIC_DEFINE(repeats_count, METRIC_COUNTER, "heatherturn_gateway_repeats",
    NULL, "Sends beyond a request's first.");
METRIC_DEFINE(repeats_denied, METRIC_COUNTER,
    "heatherturn_gateway_repeats_denied", NULL,
    "Requests that were not sent once more, by their route or the budget.");

/* The candidates of a choice, beside the upstreams that they stand for. */
struct choice {
	struct balance_candidate *candidates;
	struct upstream **upstreams;
	size_t count;
	size_t listed; /* upstreams of the service, those left out included */
};

/* Frees a choice. */
static void
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
	    cold_rate_part(bearable, registry_count(all->registry)), now);
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

/* Collects who may get this request; with avoided, also after failures. */
static void
collect(struct exchange *exchange, bool avoided, struct choice *choice)
{
	struct fleet *fleet = knowledge_fleet(exchange->all->knowledge);
	struct timespec now = clock_monotonic(exchange->all->clock);
	size_t max = fleet_count(fleet);
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
		    (!avoided && time_before(now, upstream->avoid_until)))
			continue;
		choice->candidates[choice->count] = describe(
		    exchange, upstream);
		choice->upstreams[choice->count++] = upstream;
	}
}

/* Returns how long a pause a request's stream bears. */
static enum stream_class
stream_class(const struct exchange *exchange)
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
	    .class = stream_class(exchange),
	    .target_ms = (double)exchange->route->target_ms,
	};
}

/* Says whether a request carries a prompt for an engine that we can predict. */
static bool
has_predicted_prompt(const struct exchange *exchange)
{
	return exchange->profile->has_engine && exchange->head.has_prompt;
}

/* Picks who gets the request, or says why nobody does. */
static enum balance_verdict
plan(const struct exchange *exchange, const struct choice *choice,
    struct balance_plan *out)
{
	const struct balance_prompt prompt = describe_prompt(exchange);
	ssize_t at;

	if (has_predicted_prompt(exchange))
		return balance_prompt(&exchange->profile->engine,
		    choice->candidates, choice->count, &prompt, out);
	at = balance_call(choice->candidates, choice->count);
	*out = (struct balance_plan){.first = at < 0 ? 0 : (size_t)at};
	return at < 0 ? BALANCE_NOBODY : BALANCE_SERVE;
}

/* Counts a part of the prompt at an upstream that reads it. */
static void
add_reader(struct exchange *exchange, struct upstream *upstream)
{
	upstream->own.reading_us += exchange->part_us;
	exchange->readers[exchange->reader_count++] = g_strdup(upstream->id);
}

/* Counts the prompt at all that read it; the peers can't foresee a long one. */
static void
count_reading(struct exchange *exchange, const struct choice *choice,
    const struct balance_plan *plan)
{
	exchange->part_us = (uint64_t)(plan->part_ms * US_PER_MS);
	add_reader(exchange, choice->upstreams[plan->first]);
	for (size_t i = 0; i < plan->helper_count; i++)
		add_reader(exchange, choice->upstreams[plan->helpers[i]]);
	if (plan->part_ms >= TOLD_READING_MS)
		load_share_tell_reading(exchange->all->load_share,
		    (const char *const *)exchange->readers,
		    exchange->reader_count, plan->part_ms);
}

/* Takes the prompt off those that read it, once it is read or given up. */
void
exchange_prompt_read(struct exchange *exchange)
{
	const struct fleet *fleet = knowledge_fleet(exchange->all->knowledge);

	for (size_t i = 0; i < exchange->reader_count; i++) {
		struct upstream *upstream = fleet_find(
		    fleet, exchange->readers[i]);

		/* It may have gone and come back under its id. */
		if (upstream != NULL)
			upstream->own.reading_us -= MIN(
			    exchange->part_us, upstream->own.reading_us);
		g_free(exchange->readers[i]);
	}
	exchange->reader_count = 0;
}

/* Returns how much of a prompt its helpers keep. */
static uint64_t
held_tokens(const struct balance_plan *plan)
{
	uint64_t total = 0;

	for (size_t i = 0; i < plan->helper_count; i++)
		total += plan->held_tokens[i];
	return total;
}

/* Counts a send at the upstreams that take part in it. */
static void
count_send(struct exchange *exchange, const struct choice *choice,
    const struct balance_plan *plan)
{
	struct timespec now = clock_monotonic(exchange->all->clock);
	struct upstream *upstream = choice->upstreams[plan->first];

	exchange->upstream = upstream;
	exchange->sent_at = now;
	exchange->send_end = SEND_OPEN;
	exchange->send_why = NULL;
	exchange->tried[exchange->tries++] = g_strdup(upstream->id);
	fleet_began(knowledge_fleet(exchange->all->knowledge), upstream, now);
	exchange->context_tokens = exchange->head.prompt_tokens +
	    exchange->head.output_tokens - held_tokens(plan);
	upstream->own.context_tokens += exchange->context_tokens;
	exchange->stream_count = NULL;
	if (exchange->head.has_prompt)
		exchange->stream_count = &upstream->own
					      .streams[stream_class(exchange)];
	if (exchange->stream_count != NULL)
		(*exchange->stream_count)++;
	count_reading(exchange, choice, plan);
	metric_add(&sends_count, 1);
}

/* Writes the line of a decision. */
static void
log_send(const struct exchange *exchange, const struct choice *choice,
    const struct balance_plan *plan)
{
	const struct fleet *fleet = knowledge_fleet(exchange->all->knowledge);
	const struct balance_candidate *chosen = &choice
						      ->candidates[plan->first];

	LOG_INFO("request sent",
	    "{s:s, s:s, s:s, s:i, s:I, s:i, s:i, s:i, s:i, s:i, s:I, s:I, "
	    "s:I}",
	    "request", exchange->head.request_id, "upstream",
	    choice->upstreams[plan->first]->id, "route", exchange->route->name,
	    "try", (int)exchange->tries, "prompt_tokens",
	    (json_int_t)exchange->head.prompt_tokens, "helpers",
	    (int)plan->helper_count, "candidates", (int)choice->count,
	    "running", (int)chosen->running, "backlog_ms",
	    (int)chosen->backlog_ms, "expected_ms", (int)plan->first_token_ms,
	    "left_ms", (json_int_t)exchange_left_ms(exchange), "routes_version",
	    (json_int_t)exchange->table->version, "list_version",
	    (json_int_t)fleet->version);
}

/* Hands the request to the HTTP client. */
static void
start_call(struct exchange *exchange)
{
	struct helper helpers[BALANCE_HELPERS_MAX];
	const struct upstream_head head = {
	    .remaining_ms = exchange_left_ms(exchange),
	    .upstream = exchange->upstream->id,
	    .organisation = exchange->organisation != NULL
		? exchange->organisation->name
		: NULL,
	    .has_last_event = exchange->has_last_event,
	    .last_event = exchange->last_event,
	    .helpers = helpers,
	    .helper_count = exchange->helper_count,
	};
	g_autofree char *url = g_strconcat("http://",
	    exchange->upstream->address, httpd_request_target(exchange->http),
	    NULL);
	struct http_call_request request = {
	    .method = httpd_request_method(exchange->http),
	    .url = url,
	    .connect_timeout_ms = CONNECT_MS,
	    .unreachable_ms = UNREACHABLE_MS,
	    .own_connection = true,
	};
	g_autoptr(GArray) headers = NULL;

	for (size_t i = 0; i < exchange->helper_count; i++) {
		const struct send_helper *helper = &exchange->helpers[i];

		helpers[i] = (struct helper){
		    .address = helper->address,
		    .ticket = helper->held_tokens > 0
			? tickets_id(exchange->tickets, helper->ticket)
			: NULL,
		};
	}
	headers = headers_for_upstream(exchange->http, &head);
	request.headers = (const struct http_header *)(void *)headers->data;
	request.header_count = headers->len;
	request.body = httpd_request_body(exchange->http, &request.body_length);
	exchange->call = http_client_start(
	    exchange->all->http, &request, &exchange_call_ops, exchange);
	exchange_expect_progress(exchange);
}

/* Goes on once the engines have answered whether they set memory aside. */
static void
take_tickets(void *data, bool granted)
{
	struct exchange *exchange = data;

	if (granted) {
		start_call(exchange);
		return;
	}
	exchange_send_ended(exchange, SEND_NEVER);
	if (++exchange->ticket_refusals < TICKET_REFUSALS_MAX)
		exchange_next(
		    exchange, SEND_NEVER, "engines have no memory for it");
	else
		exchange_answer_refusal(exchange, REFUSAL_OVERLOADED,
		    COME_BACK_MS, "engines have no memory for the prompt now");
}

/* Keeps who helps, and counts the memory that is to be set aside there. */
static void
keep_helpers(struct exchange *exchange, const struct choice *choice,
    const struct balance_plan *plan)
{
	size_t tickets = 0;

	for (size_t i = 0; i < plan->helper_count; i++) {
		struct upstream *upstream = choice->upstreams[plan->helpers[i]];

		exchange->helpers[i] = (struct send_helper){
		    .address = g_strdup(upstream->address),
		    .upstream = g_strdup(upstream->id),
		    .held_tokens = plan->held_tokens[i],
		    .ticket = plan->held_tokens[i] > 0 ? tickets++ : 0,
		};
		upstream->own.context_tokens += plan->held_tokens[i];
	}
	exchange->helper_count = plan->helper_count;
}

/* Takes the helpers off the account of a send that is over. */
static void
drop_helpers(struct exchange *exchange)
{
	const struct fleet *fleet = knowledge_fleet(exchange->all->knowledge);

	for (size_t i = 0; i < exchange->helper_count; i++) {
		struct send_helper *helper = &exchange->helpers[i];
		struct upstream *upstream = fleet_find(fleet, helper->upstream);

		if (upstream != NULL)
			upstream->own.context_tokens -= MIN(
			    helper->held_tokens, upstream->own.context_tokens);
		g_free(helper->address);
		g_free(helper->upstream);
	}
	exchange->helper_count = 0;
	tickets_free(exchange->tickets);
	exchange->tickets = NULL;
}

/* Asks helpers to set memory aside; false where none has to. */
static bool
ask_tickets(struct exchange *exchange)
{
	struct ticket_wish wishes[BALANCE_HELPERS_MAX];
	size_t count = 0;

	for (size_t i = 0; i < exchange->helper_count; i++) {
		if (exchange->helpers[i].held_tokens == 0)
			continue;
		wishes[count++] = (struct ticket_wish){
		    .address = exchange->helpers[i].address,
		    .tokens = exchange->helpers[i].held_tokens,
		};
	}
	if (count == 0)
		return false;
	exchange->tickets = tickets_ask(exchange->all->loop,
	    exchange->all->http, exchange->head.request_id,
	    exchange->all->hold_ms, wishes, count, take_tickets, exchange);
	return true;
}

/* Answers a request that is not sent, or not sent once more. */
static void
refuse(struct exchange *exchange, const struct choice *choice,
    enum balance_verdict verdict, const struct balance_plan *plan)
{
	int64_t wait_ms = (int64_t)plan->wait_ms + COME_BACK_MS;

	if (exchange->begun) {
		httpd_abort(exchange->http);
		exchange_finish(exchange, "broken_off");
		return;
	}
	if (exchange->may_have_run) {
		exchange_answer_refusal(exchange, REFUSAL_LOST, 0,
		    "the upstream was lost and no other can take over");
		return;
	}
	switch (verdict) {
	case BALANCE_TOO_COSTLY:
		exchange_answer_refusal(exchange, REFUSAL_OVERLOADED, wait_ms,
		    "the engines' time is worth more to other prompts now");
		break;
	case BALANCE_NO_MEMORY:
		exchange_answer_refusal(exchange, REFUSAL_OVERLOADED, wait_ms,
		    "the engines have no memory for the prompt now");
		break;
	default:
		exchange_answer_refusal(exchange, REFUSAL_NO_UPSTREAM,
		    COME_BACK_MS,
		    choice->listed > 0 ? "no upstream has room now"
				       : "no upstream takes new work now");
		break;
	}
}

/* Sends the request to the upstream that serves it best. */
void
exchange_send(struct exchange *exchange)
{
	struct choice choice;
	struct balance_plan chosen;
	enum balance_verdict verdict;

	collect(exchange, false, &choice);
	if (choice.count == 0) {
		choice_clear(&choice);
		collect(exchange, true, &choice);
	}
	verdict = plan(exchange, &choice, &chosen);
	/* One that has begun goes on, whatever it costs. */
	if (verdict == BALANCE_TOO_COSTLY && exchange->sends > 0)
		verdict = BALANCE_SERVE;
	if (verdict != BALANCE_SERVE) {
		refuse(exchange, &choice, verdict, &chosen);
		goto out;
	}
	count_send(exchange, &choice, &chosen);
	log_send(exchange, &choice, &chosen);
	keep_helpers(exchange, &choice, &chosen);
	if (!ask_tickets(exchange))
		start_call(exchange);
out:
	choice_clear(&choice);
}

/* Returns the retry window of a request's service. */
static struct retry_window *
find_window(struct exchange *exchange)
{
	GHashTable *windows = exchange->all->retry_windows;
	const char *service = exchange->profile->name;
	struct retry_window *window = g_hash_table_lookup(windows, service);

	if (window == NULL) {
		window = g_new0(struct retry_window, 1);
		g_hash_table_insert(windows, g_strdup(service), window);
	}
	return window;
}

/* Returns this gateway's part of the limit of repeated sends. */
static struct retry_window_limits
own_limits(const struct exchanges *all)
{
	struct retry_window_limits limits = all->retry;

	limits.slack /= registry_count(all->registry);
	return limits;
}

/*
 * Says whether the request may be sent to one more upstream after so many
 * sends. Repeat says that it may have run before, so that only one that may run
 * twice is sent.
 */
bool
exchange_may_repeat(struct exchange *exchange, size_t sends, bool repeat)
{
	struct retry_window_limits limits = own_limits(exchange->all);

	if (repeat && !route_may_repeat(exchange->route))
		return false;
	if (sends >= MIN(exchange->route->attempts, EXCHANGE_SENDS_MAX) ||
	    exchange->tries >= EXCHANGE_TRIES_MAX ||
	    exchange_left_ms(exchange) < SEND_LEFT_MIN_MS)
		return false;
	return sends == 0 ||
	    retry_window_allows(find_window(exchange), &limits,
		clock_monotonic(exchange->all->clock));
}

/* Takes leave to send once more from the budget of repeats. */
static bool
take_repeat(struct exchange *exchange)
{
	struct retry_window_limits limits = own_limits(exchange->all);

	if (!exchange_may_repeat(
		exchange, exchange->sends, exchange->may_have_run)) {
		metric_add(&repeats_denied, 1);
		return false;
	}
	if (exchange->sends == 0)
		return true;
	metric_add(&repeats_count, 1);
	return retry_window_take(find_window(exchange), &limits,
	    clock_monotonic(exchange->all->clock));
}

/* Keeps away from an upstream for a time that grows with its failures. */
static void
avoid(struct exchange *exchange, struct upstream *upstream)
{
	struct timespec now = clock_monotonic(exchange->all->clock);
	int64_t wait_ms = MIN(
	    (int64_t)AVOID_MIN_MS << MIN(upstream->failures, 8U), AVOID_MAX_MS);

	upstream->failures++;
	upstream->avoid_until = time_add_ms(now, wait_ms);
	/* It may come back restarted. */
	upstream->cold_until = time_add_ms(
	    upstream->avoid_until, exchange->profile->cold_ms);
	LOG_INFO("upstream avoided", "{s:s, s:i, s:I}", "upstream",
	    upstream->id, "failures", (int)upstream->failures, "for_ms",
	    (json_int_t)wait_ms);
}

/*
 * Keeps away from an upstream that another one could not read with, by its id
 * or address; the one that says so is not to blame.
 */
void
exchange_blame(struct exchange *exchange, const char *at_fault)
{
	const struct fleet *fleet = knowledge_fleet(exchange->all->knowledge);
	struct upstream *upstream;

	g_clear_pointer(&exchange->at_fault, g_free);
	if (at_fault == NULL)
		return;
	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		if (upstream == exchange->upstream ||
		    (strcmp(upstream->id, at_fault) != 0 &&
			strcmp(upstream->address, at_fault) != 0))
			continue;
		exchange->at_fault = g_strdup(upstream->id);
		avoid(exchange, upstream);
		return;
	}
}

/*
 * Returns how long an upstream may say nothing before another is asked: some of
 * the time after which callers leave, so that the other one still can answer.
 */
static int64_t
patience_ms(const struct exchange *exchange)
{
	const struct route *route = exchange->route;
	int64_t leaves_ms = MAX(PATIENCE_MIN_MS,
	    MAX(route->target_ms * PATIENCE_TARGETS,
		route->gap_target_ms * PATIENCE_GAPS));

	return leaves_ms * PATIENCE_PERCENT / 100;
}

/* Starts the time anew within which an upstream has to say something. */
void
exchange_expect_progress(struct exchange *exchange)
{
	struct ev_loop *loop = exchange->all->loop;

	ev_timer_stop(loop, &exchange->stall);
	if (!route_may_repeat(exchange->route))
		return;
	ev_timer_set(
	    &exchange->stall, (double)patience_ms(exchange) / MS_PER_S, 0.0);
	ev_timer_start(loop, &exchange->stall);
}

/*
 * An upstream has said nothing for too long. It is given up only where another
 * may be asked: its silence is no reason to end an answer.
 */
void
exchange_stalled(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct exchange *exchange = timer->data;

	if (exchange->call == NULL ||
	    !exchange_may_repeat(exchange, exchange->sends + 1, true)) {
		exchange_expect_progress(exchange);
		return;
	}
	http_call_cancel(exchange->call);
	exchange_forget_partial(exchange);
	exchange_send_ended(exchange, SEND_LOST);
	exchange_next(exchange, SEND_LOST, "the upstream said nothing");
}

/* Learns from how a send ended. */
static void
judge_upstream(
    struct exchange *exchange, struct upstream *upstream, enum send_end end)
{
	double failed = end == SEND_FAILED || end == SEND_LOST ? 1.0 : 0.0;

	if (end == SEND_NEVER || end == SEND_LOST)
		avoid(exchange, upstream);
	else if (end == SEND_NOT_RUN && exchange->at_fault != NULL)
		return;
	else if (end == SEND_NOT_RUN)
		upstream->avoid_until = time_add_ms(
		    clock_monotonic(exchange->all->clock), AVOID_FULL_MS);
	else
		upstream->failures = 0;
	if (end == SEND_ANSWERED || failed > 0.0)
		upstream->error_share += ERROR_WEIGHT *
		    (failed - upstream->error_share);
}

/* Takes a send that is over off the upstream's account. */
void
exchange_send_ended(struct exchange *exchange, enum send_end end)
{
	struct upstream *upstream = exchange->upstream;
	struct timespec now = clock_monotonic(exchange->all->clock);

	if (upstream == NULL)
		return;
	ev_timer_stop(exchange->all->loop, &exchange->stall);
	exchange_prompt_read(exchange);
	drop_helpers(exchange);
	exchange->upstream = NULL;
	exchange->call = NULL;
	exchange->send_end = end;
	if (end != SEND_NEVER) {
		if (exchange->sends == 0)
			retry_window_count(
			    find_window(exchange), &exchange->all->retry, now);
		exchange->sends++;
	}
	if (end != SEND_OPEN)
		judge_upstream(exchange, upstream, end);
	upstream->own.context_tokens -= exchange->context_tokens;
	if (exchange->stream_count != NULL)
		(*exchange->stream_count)--;
	fleet_ended(knowledge_fleet(exchange->all->knowledge), upstream, now);
}

/* Stops a send whose answer nobody waits for. */
void
exchange_stop_send(struct exchange *exchange)
{
	if (exchange->call != NULL)
		http_call_cancel(exchange->call);
	exchange_send_ended(exchange, SEND_OPEN);
}

/*
 * Goes on after a send that brought no answer: with another upstream where
 * that is allowed, otherwise with the answer that is true.
 */
void
exchange_next(struct exchange *exchange, enum send_end end, const char *why)
{
	bool repeat = end == SEND_LOST || end == SEND_FAILED;

	LOG_INFO("send ended without answer", "{s:s, s:s, s:b, s:i}", "request",
	    exchange->head.request_id, "why", why, "may_have_run", repeat,
	    "sends", (int)exchange->sends);
	exchange->may_have_run |= repeat;
	if (take_repeat(exchange)) {
		exchange_send(exchange);
	} else if (exchange->begun) {
		httpd_abort(exchange->http);
		exchange_finish(exchange, "broken_off");
	} else if (exchange->may_have_run) {
		exchange_answer_refusal(exchange, REFUSAL_LOST, 0, why);
	} else {
		exchange_answer_refusal(
		    exchange, REFUSAL_NOT_RUN, COME_BACK_MS, why);
	}
}
