#include <inttypes.h>

#include "base/metrics.h"
#include "gateway/exchange_internal.h"
#include "gateway/exchange_selection.h"
#include "policy/return_time.h"

#define LOG_MODULE "send"
#include "base/log.h"

/*
 * Upstreams are on the same network; one that is disconnected does not answer.
 */
#define CONNECT_MS 300
/* An upstream that acknowledges no data for this long is unreachable. */
#define UNREACHABLE_MS 2000
/* Another gateway can serve a request at once that this one refuses. */
#define DRAINING_RETRY_AFTER_MS 20
/* Maximum number of attempts to reserve memory for one prompt. */
#define RESERVATION_REFUSALS_MAX 2

METRIC_DEFINE(sends_count, METRIC_COUNTER, "heatherturn_gateway_sends", NULL,
    "Requests sent to upstreams.");

/* Adds a send to the load of the upstreams that take part in it. */
static void
count_send(struct exchange *exchange, const struct selection *selection,
    const struct balance_plan *plan)
{
	struct timespec now = clock_monotonic(exchange->context->clock);
	struct fleet_upstream *upstream = selection->upstreams[plan->first];

	exchange_begin_prompt(exchange, selection, plan);
	exchange->upstream = upstream;
	exchange->send_outcome = SEND_OPEN;
	exchange->send_error = NULL;
	exchange->sent_at = now;
	exchange->expected_ms = (int64_t)plan->first_token_ms;
	exchange->begun_at = (struct timespec){0};
	exchange->send_events = 0;
	exchange->continues = exchange->streaming;
	event_position_begin_run(&exchange->position);
	exchange->disconnected = false;
	exchange->tried[exchange->tries++] = g_strdup(upstream->id);
	fleet_add_request(routing_state_fleet(exchange->context->routing_state),
	    upstream, now);
	exchange->context_tokens = exchange->caller_headers.prompt_tokens +
	    exchange->caller_headers.output_tokens -
	    exchange_reserved_tokens(plan);
	upstream->own.context_tokens += exchange->context_tokens;
	exchange->stream_count = NULL;
	if (exchange->caller_headers.has_prompt)
		exchange->stream_count =
		    &upstream->own.streams[exchange_stream_class(exchange)];
	if (exchange->stream_count != NULL)
		(*exchange->stream_count)++;
	exchange_add_prefill(exchange, selection, plan);
	metric_add(&sends_count, 1);
}

/* Returns the ids of the helpers, separated by spaces; free it with g_free. */
static char *
join_helper_ids(
    const struct selection *selection, const struct balance_plan *plan)
{
	const char *ids[BALANCE_HELPERS_MAX + 1] = {NULL};

	for (size_t i = 0; i < plan->helper_count; i++)
		ids[i] = selection->upstreams[plan->helpers[i]]->id;
	return g_strjoinv(" ", (char **)ids);
}

/* Returns the hashes of the prompt's shared parts; free it with g_free. */
static char *
format_parts(const struct exchange *exchange)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < exchange->caller_headers.part_count; i++)
		g_string_append_printf(text, "%s%" PRIx64, i > 0 ? " " : "",
		    exchange->caller_headers.parts[i]);
	return g_string_free(text, FALSE);
}

/* Logs the chosen upstream and what the choice was based on. */
static void
log_send(const struct exchange *exchange, const struct selection *selection,
    const struct balance_plan *plan)
{
	const struct fleet *fleet = routing_state_fleet(
	    exchange->context->routing_state);
	const struct balance_candidate *chosen = &selection
						      ->candidates[plan->first];
	g_autofree char *helpers = join_helper_ids(selection, plan);
	g_autofree char *parts = format_parts(exchange);

	LOG_INFO("request sent",
	    "{s:s, s:s, s:s, s:i, s:I, s:s, s:i, s:s, s:f, s:i, s:i, s:i, s:i, "
	    "s:I, s:I, s:I, s:f}",
	    "request", exchange->caller_headers.request_id, "upstream",
	    selection->upstreams[plan->first]->id, "route",
	    exchange->route->name, "try", (int)exchange->tries, "prompt_tokens",
	    (json_int_t)exchange->caller_headers.prompt_tokens, "parts", parts,
	    "helpers", (int)plan->helper_count, "helped_by", helpers, "part_ms",
	    plan->part_ms, "candidates", (int)selection->count, "running",
	    (int)chosen->running, "backlog_ms", (int)chosen->backlog_ms,
	    "expected_ms", (int)plan->first_token_ms, "left_ms",
	    (json_int_t)exchange_remaining_ms(exchange), "routes_version",
	    (json_int_t)exchange->routes_version, "list_version",
	    (json_int_t)fleet->version, "distance_ms", chosen->distance_ms);
}

/* Starts the HTTP call to the upstream. */
static void
start_call(struct exchange *exchange)
{
	struct prefill_helper helpers[BALANCE_HELPERS_MAX];
	struct upstream_headers values = {
	    .remaining_ms = exchange_remaining_ms(exchange),
	    .upstream = exchange->upstream->id,
	    .organisation = exchange->organisation != NULL
		? exchange->organisation->name
		: NULL,
	    .helpers = helpers,
	    .helper_count = exchange->helper_count,
	};
	g_autofree char *url = g_strconcat(
	    "http://", exchange->upstream->address, "/", NULL);
	struct http_call_request request = {
	    .method = httpd_request_method(exchange->http),
	    .url = url,
	    .target = httpd_request_target(exchange->http),
	    .connect_timeout_ms = CONNECT_MS,
	    .unreachable_ms = UNREACHABLE_MS,
	    .receive_buffer_bytes = host_monitor_receive_buffer(
		exchange->context->host),
	    .dedicated_connection = true,
	};
	g_autoptr(GArray) headers = NULL;

	values.has_last_event = event_position_resume_after(
	    &exchange->position, &values.last_event);
	for (size_t i = 0; i < exchange->helper_count; i++) {
		const struct send_helper *helper = &exchange->helpers[i];

		helpers[i] = (struct prefill_helper){
		    .address = helper->address,
		    .reservation = helper->reserved_tokens > 0
			? reservations_id(
			      exchange->reservations, helper->reservation)
			: NULL,
		};
	}
	exchange_set_urgency(exchange, &values);
	headers = headers_build_upstream(exchange->http, &values);
	request.headers = (const struct http_header *)(void *)headers->data;
	request.header_count = headers->len;
	request.body = httpd_request_body(exchange->http, &request.body_length);
	exchange->call = http_client_start(
	    exchange->context->http, &request, &exchange_call_ops, exchange);
	exchange_restart_stall_timer(exchange);
}

/*
 * Sends the request if all reservations were granted; otherwise retries with a
 * new plan or fails.
 */
static void
on_reserved(void *data, bool granted)
{
	struct exchange *exchange = data;

	if (granted) {
		start_call(exchange);
		return;
	}
	exchange_end_send(exchange, SEND_NOT_SENT);
	if (++exchange->reservation_refusals < RESERVATION_REFUSALS_MAX)
		exchange_retry_or_fail(exchange, SEND_NOT_SENT,
		    "an engine did not reserve memory for the prompt");
	else
		exchange_fail(exchange, REFUSAL_OVERLOADED,
		    exchange_return_after_ms(exchange,
			MAX(exchange_mean_backlog_ms(exchange),
			    RETURN_TIME_ROOM_MIN_MS),
			NULL),
		    "the engines did not reserve memory for the prompt");
}

/*
 * No request uses the memory reserved for the prompt: its upstream has not
 * begun with it. Continues at another upstream if that is allowed; otherwise
 * fails, since the upstream can't begin any more without the memory.
 */
static void
on_memory_unused(void *data)
{
	struct exchange *exchange = data;

	if (exchange->call != NULL)
		http_call_cancel(exchange->call);
	exchange_discard_partial(exchange);
	exchange_end_send(exchange, SEND_LOST);
	exchange_retry_or_fail(exchange, SEND_LOST,
	    "the upstream did not begin with the prompt while memory was "
	    "reserved for it");
}

/* Applies what a helper says of itself in its response to an order. */
static void
on_helper_notice(void *data, size_t index, const struct upstream_notice *notice)
{
	struct exchange *exchange = data;
	const struct fleet *fleet = routing_state_fleet(
	    exchange->context->routing_state);

	for (size_t i = 0; i < exchange->helper_count; i++) {
		const struct send_helper *helper = &exchange->helpers[i];
		struct fleet_upstream *upstream = fleet_find(
		    fleet, helper->upstream);

		if (helper->reserved_tokens > 0 &&
		    helper->reservation == index && upstream != NULL)
			exchange_apply_notice(exchange, upstream, notice);
	}
}

/* Reserves memory at the helpers; false if none is needed. */
static bool
reserve_memory(struct exchange *exchange)
{
	static const struct reservations_ops ops = {
	    .answered = on_reserved,
	    .notice = on_helper_notice,
	    .unused = on_memory_unused,
	};
	const struct exchange_context *context = exchange->context;
	const struct reservations_settings settings = {
	    .loop = context->loop,
	    .http = context->http,
	    .clock = context->clock,
	    .rate_sync = context->rate_sync,
	    .hold_ms = context->hold_ms,
	    .unused_max_ms = context->unused_max_ms,
	    .expected_ms = exchange->expected_ms,
	};
	/* A late release of an earlier send must not end this one's memory. */
	g_autofree char *prefix = g_strdup_printf(
	    "%s-%zu", exchange->caller_headers.request_id, exchange->tries);
	struct reservation_request requests[BALANCE_HELPERS_MAX];
	size_t count = 0;

	for (size_t i = 0; i < exchange->helper_count; i++) {
		if (exchange->helpers[i].reserved_tokens == 0)
			continue;
		requests[count++] = (struct reservation_request){
		    .address = exchange->helpers[i].address,
		    .tokens = exchange->helpers[i].reserved_tokens,
		};
	}
	if (count == 0)
		return false;
	exchange->reservations = reservations_new(
	    &settings, prefix, requests, count, &ops, exchange);
	return true;
}

/* Reserves memory if that is needed, then sends the request. */
static void
begin_send(struct exchange *exchange)
{
	if (!reserve_memory(exchange))
		start_call(exchange);
}

/*
 * Sends the request if the upstream's coordinator grants it a permit; otherwise
 * looks for another upstream.
 */
static void
on_permit(void *data, bool granted)
{
	struct exchange *exchange = data;

	exchange->permit = NULL;
	if (granted) {
		begin_send(exchange);
		return;
	}
	exchange_end_send(exchange, SEND_NO_PERMIT);
	g_free(exchange->tried[--exchange->tries]);
	exchange_send(exchange);
}

/* Sends the request if its upstream names no rate or has a permit left. */
static void
obtain_permit(struct exchange *exchange)
{
	struct rate_sync *rate_sync = exchange->context->rate_sync;
	const char *request = exchange->caller_headers.request_id;

	switch (rate_sync_take(rate_sync, exchange->upstream, request)) {
	case PERMIT_REMOTE:
		exchange->permit = rate_sync_ask(rate_sync, exchange->upstream,
		    request, on_permit, exchange);
		break;
	case PERMIT_GRANTED:
		on_permit(exchange, true);
		break;
	case PERMIT_DENIED:
		on_permit(exchange, false);
		break;
	}
}

/* Logs a prompt that is rejected for lack of time or memory. */
static void
log_rejected_prompt(const struct exchange *exchange,
    const struct selection *selection, const struct balance_plan *plan)
{
	LOG_INFO("prompt rejected",
	    "{s:s, s:I, s:f, s:f, s:i, s:i, s:I, s:i, s:i}", "request",
	    exchange->caller_headers.request_id, "prompt_tokens",
	    (json_int_t)exchange->caller_headers.prompt_tokens, "late_urgent",
	    plan->late_urgent, "late_others", plan->late_others, "wait_ms",
	    (int)plan->wait_ms, "expected_ms", (int)plan->first_token_ms,
	    "left_ms", (json_int_t)exchange_remaining_ms(exchange), "helpers",
	    (int)plan->helper_count, "candidates", (int)selection->count);
}

/* Returns as what a request that is not sent is refused, and why. */
enum refusal
exchange_refusal(const struct selection *selection,
    enum balance_verdict verdict, const char **why)
{
	switch (verdict) {
	case BALANCE_DELAYS_OTHERS:
		*why = "other callers would be late because of the prompt";
		return REFUSAL_OVERLOADED;
	case BALANCE_TOO_LATE:
		*why = "the engines can't begin to answer before the caller "
		       "gives up";
		return REFUSAL_OVERLOADED;
	case BALANCE_TOO_LARGE:
		*why = "the engines together have no memory for the prompt";
		return REFUSAL_OVERLOADED;
	case BALANCE_NO_MEMORY:
		*why = "the engines have no memory for the prompt now";
		return REFUSAL_OVERLOADED;
	default:
		*why = selection_is_deferred(selection)
		    ? "no upstream takes more requests now"
		    : selection->eligible > 0
		    ? "no upstream has capacity now"
		    : "no upstream accepts new requests now";
		return REFUSAL_NO_UPSTREAM;
	}
}

/* Fails a request that is not sent, or not sent again. */
static void
refuse(struct exchange *exchange, const struct selection *selection,
    enum balance_verdict verdict, const struct balance_plan *plan)
{
	const char *why;
	enum refusal refusal = exchange_refusal(selection, verdict, &why);
	int64_t wait_ms;

	if (refusal == REFUSAL_OVERLOADED)
		log_rejected_prompt(exchange, selection, plan);
	if (verdict == BALANCE_TOO_LARGE)
		wait_ms = 0;
	else if (refusal == REFUSAL_OVERLOADED)
		wait_ms = exchange_return_after_ms(exchange,
		    MAX(plan->wait_ms, RETURN_TIME_ROOM_MIN_MS), plan);
	else
		wait_ms = exchange_retry_after_ms(exchange);
	exchange_fail(exchange, refusal, wait_ms, why);
}

/* Tries again to find an upstream for a prompt that has waited. */
void
exchange_on_wait_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	exchange_send(timer->data);
}

/* Starts the timer after which the prompt is planned again. */
void
exchange_schedule_plan(struct exchange *exchange)
{
	ev_timer_set(&exchange->wait_timer,
	    (double)BALANCE_WAIT_INTERVAL_MS / MS_PER_S, 0.0);
	ev_timer_start(exchange->context->loop, &exchange->wait_timer);
}

/*
 * Decides what to do with a request now: collects the upstreams with the
 * strictest filter that leaves any, and plans. The caller clears the selection.
 */
enum exchange_decision
exchange_decide(struct exchange *exchange, struct selection *selection,
    enum selection_filter *filter, struct balance_plan *plan,
    enum balance_verdict *verdict)
{
	*filter = SELECTION_RELIABLE;
	selection_collect(exchange, *filter, selection);
	while (selection->count == 0 && *filter < SELECTION_ANY) {
		selection_clear(selection);
		selection_collect(exchange, ++*filter, selection);
	}
	*verdict = selection_plan(exchange, selection, plan);
	/* A request that was sent before waits for memory only. */
	if ((exchange->tries == 0 || *verdict == BALANCE_NO_MEMORY) &&
	    exchange_may_wait(exchange, *verdict, plan))
		return DECISION_WAIT;
	if (*verdict == BALANCE_SERVE)
		return DECISION_SEND;
	return exchange_may_wait_to_resume(exchange) ? DECISION_WAIT
						     : DECISION_REFUSE;
}

/* Sends the request to the best upstream, lets it wait, or fails it. */
void
exchange_send(struct exchange *exchange)
{
	struct selection selection;
	struct balance_plan chosen = {0};
	enum selection_filter filter;
	enum balance_verdict verdict;

	if (exchange_refuse_crashing(exchange))
		return;
	if (!exchange_may_begin(exchange)) {
		exchange_fail(exchange, REFUSAL_DRAINING,
		    DRAINING_RETRY_AFTER_MS,
		    "this process stops and may not complete the request");
		return;
	}
	switch (
	    exchange_decide(exchange, &selection, &filter, &chosen, &verdict)) {
	case DECISION_WAIT:
		if (exchange->tries == 0)
			exchange_count_waiting(exchange);
		exchange_schedule_plan(exchange);
		goto out;
	case DECISION_REFUSE:
		exchange_end_waiting(exchange);
		refuse(exchange, &selection, verdict, &chosen);
		goto out;
	case DECISION_SEND:
		break;
	}
	exchange_end_waiting(exchange);
	count_send(exchange, &selection, &chosen);
	log_send(exchange, &selection, &chosen);
	exchange_set_helpers(exchange, &selection, &chosen);
	selection_clear(&selection);
	obtain_permit(exchange);
	return;
out:
	selection_clear(&selection);
}

/*
 * Ends the requests that have no response yet, since the process is about to
 * exit: a status tells callers more than a closed connection. Streams that have
 * begun are cut by the exit.
 */
void
exchange_end_unanswered(struct exchange_context *context)
{
	struct exchange *exchange, *next;

	context->exiting = true;
	TAILQ_FOREACH_SAFE (exchange, &context->exchanges, entry, next) {
		bool may_have_sent = exchange->call != NULL;
		bool is_waiting = ev_is_active(&exchange->wait_timer);

		if (exchange->streaming ||
		    (exchange->upstream == NULL && !is_waiting))
			continue;
		exchange_stop_send(exchange);
		exchange_discard_partial(exchange);
		exchange->may_have_run |= may_have_sent;
		exchange_fail(exchange, REFUSAL_DRAINING,
		    DRAINING_RETRY_AFTER_MS,
		    "this process exits before the upstream has responded");
	}
}
