#include "gateway/exchange.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>
#include <xxhash.h>

#include "base/loop_monitor.h"
#include "base/metrics.h"
#include "gateway/coordination.h"
#include "gateway/exchange_internal.h"
#include "policy/duration.h"
#include "policy/start_wait.h"

#define LOG_MODULE "exchange"
#include "base/log.h"

#define STATUS_ERROR_MIN 400

/* Status and error code of each refusal. */
static const struct refusal_kind {
	int status;
	const char *code;
	bool not_run; /* guarantees that it was not and won't be executed */
} refusals[REFUSALS] = {
    [REFUSAL_NOT_READY] = {503, "not_ready", true},
    [REFUSAL_BAD_REQUEST] = {400, "bad_request", true},
    [REFUSAL_NO_ROUTE] = {404, "no_route", true},
    [REFUSAL_NO_KEY] = {401, "unknown_key", true},
    [REFUSAL_NOT_CURRENT] = {503, "not_current", true},
    [REFUSAL_NO_UPSTREAM] = {503, "no_upstream", true},
    [REFUSAL_DRAINING] = {503, "draining", true},
    [REFUSAL_OVERLOADED] = {503, "overloaded", true},
    [REFUSAL_QUARANTINED] = {503, "quarantined", true},
    [REFUSAL_NOT_RUN] = {503, "not_run", true},
    [REFUSAL_LOST] = {502, "upstream_lost", false},
    [REFUSAL_TIMEOUT] = {504, "timeout", false},
};

/* As logged. */
static const char *const status_origins[] = {
    [STATUS_FROM_NONE] = "none",
    [STATUS_FROM_GATEWAY] = "gateway",
    [STATUS_FROM_UPSTREAM] = "upstream",
    [STATUS_FROM_UNSEALED_UPSTREAM] = "unsealed upstream",
};

METRIC_DEFINE(requests, METRIC_COUNTER, "heatherturn_gateway_requests", NULL,
    "Requests received from callers.");
METRIC_DEFINE(refused, METRIC_COUNTER, "heatherturn_gateway_refusals", NULL,
    "Requests that the gateway answered with an error of its own.");
METRIC_DEFINE(answer_ms, METRIC_HISTOGRAM, "heatherturn_gateway_answer_ms",
    NULL, "Time from a request's arrival to the end of its response.");
METRIC_DEFINE(first_event_ms, METRIC_HISTOGRAM,
    "heatherturn_gateway_first_event_ms", NULL,
    "Time from a streamed request's arrival to its first event.");

/* Initialises the members that the owner does not set. */
void
exchange_context_init(struct exchange_context *context)
{
	TAILQ_INIT(&context->exchanges);
	crash_sync_set_refused_callback(
	    context->crash_sync, exchange_on_crashing_refused, context);
	context->durations = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	context->return_slots = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees the shared state; no exchange may be open. */
void
exchange_context_clear(struct exchange_context *context)
{
	if (context->durations != NULL)
		g_hash_table_unref(context->durations);
	if (context->return_slots != NULL)
		g_hash_table_unref(context->return_slots);
	context->durations = NULL;
	context->return_slots = NULL;
}

/* Returns the durations of a route's requests; creates them if needed. */
static struct duration *
route_duration(struct exchange_context *context, const char *route)
{
	struct duration *duration = g_hash_table_lookup(
	    context->durations, route);

	if (duration == NULL) {
		duration = g_new0(struct duration, 1);
		g_hash_table_insert(
		    context->durations, g_strdup(route), duration);
	}
	return duration;
}

/*
 * Returns whether the request is likely to end before this process exits, by
 * the durations of its route's requests. A stream that has begun is continued
 * anyway.
 */
bool
exchange_may_begin(struct exchange *exchange)
{
	struct exchange_context *context = exchange->context;
	struct timespec now = clock_monotonic(context->clock);
	int64_t expected_ms;

	if (!drain_is_started(&context->drain) || exchange->streaming)
		return true;
	expected_ms = duration_expected_ms(
	    route_duration(context, exchange->route->name),
	    exchange_remaining_ms(exchange),
	    route_is_repeatable(exchange->route));
	if (exchange->may_have_run)
		return drain_may_repeat(&context->drain, expected_ms, now);
	return drain_may_begin(&context->drain, expected_ms, now);
}

/* Returns the time until the deadline in milliseconds; 0 if it has passed. */
int64_t
exchange_remaining_ms(const struct exchange *exchange)
{
	return MAX(time_diff_ms(exchange->deadline,
		       clock_monotonic(exchange->context->clock)),
	    0);
}

/* Returns the time since the request's arrival in milliseconds. */
int64_t
exchange_age_ms(const struct exchange *exchange)
{
	return time_diff_ms(
	    clock_monotonic(exchange->context->clock), exchange->arrived);
}

/* Logs the end of a request, once, and stops its timers. */
void
exchange_finish(struct exchange *exchange, const char *how)
{
	int64_t took = time_diff_ms(
	    clock_monotonic(exchange->context->clock), exchange->arrived);
	int64_t first = time_is_set(exchange->first_event_at)
	    ? time_diff_ms(exchange->first_event_at, exchange->arrived)
	    : -1;

	if (exchange->finished)
		return;
	exchange->finished = true;
	ev_timer_stop(exchange->context->loop, &exchange->deadline_timer);
	ev_timer_stop(exchange->context->loop, &exchange->wait_timer);
	metric_observe(&answer_ms, took);
	if (first >= 0)
		metric_observe(&first_event_ms, first);
	LOG_INFO("request ended",
	    "{s:s?, s:s, s:s?, s:s?, s:i, s:s, s:I, s:i, s:i, s:i, s:I, s:I, "
	    "s:I, s:I}",
	    "request", exchange->caller_headers.request_id, "how", how, "route",
	    exchange->route != NULL ? exchange->route->name : NULL,
	    "organisation",
	    exchange->organisation != NULL ? exchange->organisation->name
					   : NULL,
	    "status", exchange->status, "status_from",
	    status_origins[exchange->status_origin], "routes_version",
	    (json_int_t)exchange->routes_version, "sends", (int)exchange->sends,
	    "events", (int)exchange->events, "events_in_doubt",
	    (int)exchange->events_in_doubt, "first_event_ms", (json_int_t)first,
	    "last_event",
	    exchange->position.has_last ? (json_int_t)exchange->position.last
					: -1,
	    "longest_pause_ms", (json_int_t)exchange->longest_gap_ms, "took_ms",
	    (json_int_t)took);
}

/* Formats milliseconds as decimal seconds, the form Retry-After has here. */
static void
format_seconds(char *out, size_t size, int64_t ms)
{
	snprintf(
	    out, size, "%" PRId64 ".%03" PRId64, ms / MS_PER_S, ms % MS_PER_S);
}

/*
 * Answers the request with an error: its code, a message, and whether the
 * request was executed. Adds Retry-After if retry_after_ms is above 0. At most
 * once per exchange.
 */
void
exchange_refuse(struct exchange *exchange, enum refusal refusal,
    int64_t retry_after_ms, const char *why)
{
	const struct refusal_kind *kind = &refusals[refusal];
	char seconds[24];
	struct http_header headers[2] = {{"Content-Type", "application/json"}};
	size_t count = 1;
	json_t *body = json_pack("{s:{s:s, s:s, s:b}}", "error", "code",
	    kind->code, "message", why, "not_run", kind->not_run);
	char *text = json_dumps(body, JSON_COMPACT);

	if (retry_after_ms > 0) {
		format_seconds(seconds, sizeof(seconds), retry_after_ms);
		headers[count++] = (struct http_header){"Retry-After", seconds};
	}
	exchange->status = kind->status;
	exchange->status_origin = STATUS_FROM_GATEWAY;
	metric_add(&refused, 1);
	LOG_INFO("request refused", "{s:s?, s:s, s:s, s:i, s:I, s:i, s:I}",
	    "request", exchange->caller_headers.request_id, "code", kind->code,
	    "why", why, "status", kind->status, "retry_after_ms",
	    (json_int_t)retry_after_ms, "tries", (int)exchange->tries,
	    "routes_version", (json_int_t)exchange->routes_version);
	httpd_respond(
	    exchange->http, kind->status, headers, count, text, strlen(text));
	exchange_finish(exchange, kind->code);
	free(text);
	json_decref(body);
}

/*
 * Cancels the send and answers with an error, or aborts a stream that has
 * begun.
 */
static void
on_deadline(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct exchange *exchange = timer->data;

	exchange_stop_send(exchange);
	exchange_end_waiting(exchange);
	if (exchange->streaming) {
		httpd_abort(exchange->http);
		exchange_finish(exchange, "deadline");
		return;
	}
	if (exchange->tries == 0)
		exchange_refuse(exchange, REFUSAL_OVERLOADED, 0,
		    "no upstream had capacity before the request's deadline");
	else
		exchange_refuse(exchange, REFUSAL_TIMEOUT, 0,
		    "no response from the upstream before the request's "
		    "deadline");
}

/* Sets the deadline from the route's and the caller's time limits. */
static void
set_deadline(struct exchange *exchange)
{
	int64_t wait_ms = exchange->route->timeout_ms;

	if (wait_ms <= 0)
		wait_ms = EXCHANGE_DEADLINE_DEFAULT_MS;
	if (exchange->caller_headers.has_deadline)
		wait_ms = MIN(wait_ms, exchange->caller_headers.deadline_ms);
	exchange->deadline = time_add_ms(exchange->arrived, wait_ms);
	ev_timer_set(
	    &exchange->deadline_timer, (double)wait_ms / MS_PER_S, 0.0);
	ev_timer_start(exchange->context->loop, &exchange->deadline_timer);
}

/* Returns a hash that identifies a request, the same each time it is sent. */
static uint64_t
fingerprint(const struct exchange *exchange)
{
	const char *target = httpd_request_target(exchange->http);
	size_t length;
	const uint8_t *body = httpd_request_body(exchange->http, &length);
	uint64_t hash = XXH3_64bits(target, strlen(target));

	if (exchange->organisation != NULL)
		hash = XXH3_64bits_withSeed(exchange->organisation->name,
		    strlen(exchange->organisation->name), hash);
	return length == 0 ? hash : XXH3_64bits_withSeed(body, length, hash);
}

/*
 * Returns whether the request is sent as the probe of itself or of a refused
 * part of its prompt, which one gateway sends for all, once.
 */
static bool
becomes_probe(struct exchange *exchange)
{
	struct exchange_context *context = exchange->context;
	const struct crash_subjects subjects = exchange_crash_subjects(
	    exchange);
	char key[17];
	uint64_t subject;

	if (exchange->is_probe)
		return exchange->sends == 0;
	if (exchange->sends > 0 ||
	    !crash_sync_find_probe(context->crash_sync, &subjects, &subject))
		return false;
	snprintf(key, sizeof(key), "%" PRIx64, subject);
	if (!coordination_is_own(context->load_sync, key))
		return false;
	crash_sync_begin_probe(context->crash_sync, subject);
	exchange->is_probe = true;
	return true;
}

/* Refuses a request that crashes upstreams, or a part of whose prompt does. */
bool
exchange_refuse_crashing(struct exchange *exchange)
{
	const struct crash_subjects subjects = exchange_crash_subjects(
	    exchange);
	const struct crash_subjects request = {.request = subjects.request};
	struct crash_sync *crash_sync = exchange->context->crash_sync;

	if (!crash_sync_is_refused(crash_sync, &subjects) ||
	    becomes_probe(exchange))
		return false;
	exchange_fail(exchange, REFUSAL_QUARANTINED,
	    crash_sync_retry_after_ms(crash_sync, &subjects),
	    crash_sync_is_refused(crash_sync, &request)
		? "upstreams crashed while they ran this request"
		: "upstreams crashed when they began to answer requests with a "
		  "part of this prompt");
	return true;
}

/* Logs how much time a request has that is received while draining. */
static void
log_drain(const struct exchange *exchange)
{
	const struct drain *drain = &exchange->context->drain;

	if (!drain_is_started(drain))
		return;
	LOG_INFO("request received while draining", "{s:s?, s:I, s:I}",
	    "request", exchange->caller_headers.request_id, "since_stop_ms",
	    (json_int_t)time_diff_ms(exchange->arrived, drain->started_at),
	    "left_ms", (json_int_t)drain_left_ms(drain, exchange->arrived));
}

/* Starts the exchange of a request that has been received completely. */
void
exchange_start(struct exchange_context *context, struct httpd_request *http)
{
	const struct routing_table *table = routing_state_table(
	    context->routing_state);
	struct exchange *exchange = g_new0(struct exchange, 1);

	context->open++;
	TAILQ_INSERT_TAIL(&context->exchanges, exchange, entry);
	metric_add(&requests, 1);
	exchange->context = context;
	exchange->http = http;
	exchange->arrived = clock_monotonic(context->clock);
	ev_init(&exchange->stall_timer, exchange_on_stall_timeout);
	exchange->stall_timer.data = exchange;
	ev_init(&exchange->wait_timer, exchange_on_wait_timer);
	exchange->wait_timer.data = exchange;
	ev_init(&exchange->prefill_timer, exchange_on_prefill_timer);
	exchange->prefill_timer.data = exchange;
	ev_init(&exchange->deadline_timer, on_deadline);
	exchange->deadline_timer.data = exchange;
	/* They serve a request, so no background work goes before them. */
	ev_set_priority(&exchange->stall_timer, LOOP_PRIORITY_CALLER);
	ev_set_priority(&exchange->wait_timer, LOOP_PRIORITY_CALLER);
	ev_set_priority(&exchange->prefill_timer, LOOP_PRIORITY_CALLER);
	ev_set_priority(&exchange->deadline_timer, LOOP_PRIORITY_CALLER);
	event_splitter_init(&exchange->splitter);
	exchange->held = g_byte_array_new();
	httpd_request_set_data(http, exchange);
	headers_parse_caller(http, &exchange->caller_headers);
	if (exchange->caller_headers.has_last_event)
		event_position_start_after(
		    &exchange->position, exchange->caller_headers.last_event);
	log_drain(exchange);
	if (table == NULL) {
		exchange_refuse(exchange, REFUSAL_NOT_READY,
		    start_wait_retry_after_ms(
			routing_state_is_store_disconnected(
			    context->routing_state),
			exchange->caller_headers.has_deadline,
			exchange->caller_headers.deadline_ms),
		    "the gateway has not received its routes yet");
		return;
	}
	exchange->routes_version = table->version;
	if (!exchange_find_route(exchange, table))
		return;
	exchange->fingerprint = fingerprint(exchange);
	if (exchange_refuse_crashing(exchange) ||
	    exchange_reject_if_host_short(exchange))
		return;
	set_deadline(exchange);
	exchange_send(exchange);
}

/*
 * Returns the limits of a request by the configuration in force. A newer one,
 * or the first, may have others.
 */
struct httpd_limits
exchange_limits(const struct exchange_context *context)
{
	const struct routing_state *state = context->routing_state;
	const struct routing_table *table = routing_state_table(state);

	return (struct httpd_limits){
	    .head_bytes = table == NULL ? 0 : table->limits.header_bytes,
	    .body_bytes = table == NULL ? 0 : table->limits.body_bytes,
	    .is_final = table != NULL && routing_state_is_current(state),
	};
}

/* Returns how a request ended whose connection was closed. */
static const char *
end_reason(const struct exchange_context *context, bool complete)
{
	if (complete)
		return "answered";
	return context->exiting ? "process_exit" : "caller_left";
}

/*
 * Logs a request that the HTTP server answered with an error before it was
 * complete. No exchange was started for it.
 */
void
exchange_on_rejected(
    void *data, const struct httpd_request *http, int status, const char *code)
{
	const struct exchange_context *context = data;
	const struct routing_table *table = routing_state_table(
	    context->routing_state);
	struct caller_headers headers;

	headers_parse_caller(http, &headers);
	LOG_INFO("request rejected before it was read",
	    "{s:s?, s:s, s:i, s:s, s:I}", "request", headers.request_id, "code",
	    code, "status", status, "status_from",
	    status_origins[STATUS_FROM_GATEWAY], "routes_version",
	    table == NULL ? (json_int_t)0 : (json_int_t)table->version);
}

/*
 * Called by the HTTP server when the response has been sent or the caller has
 * disconnected. Cancels the send, which closes its upstream connection, and
 * frees the exchange.
 */
void
exchange_on_closed(void *data, struct httpd_request *http, bool complete)
{
	struct exchange *exchange = httpd_request_data(http);
	struct exchange_context *context;

	if (exchange == NULL)
		return;
	context = exchange->context;
	exchange_stop_send(exchange);
	if (complete && exchange->route != NULL && exchange->sends > 0 &&
	    exchange->status < STATUS_ERROR_MIN)
		duration_add(route_duration(context, exchange->route->name),
		    exchange_age_ms(exchange));
	exchange_finish(exchange, end_reason(context, complete));
	ev_timer_stop(context->loop, &exchange->deadline_timer);
	ev_timer_stop(context->loop, &exchange->stall_timer);
	ev_timer_stop(context->loop, &exchange->wait_timer);
	exchange_end_waiting(exchange);
	for (size_t i = 0; i < exchange->tries; i++)
		g_free(exchange->tried[i]);
	g_free(exchange->faulty_upstream);
	if (exchange->body != NULL)
		g_byte_array_unref(exchange->body);
	if (exchange->headers != NULL)
		g_array_unref(exchange->headers);
	event_splitter_clear(&exchange->splitter);
	g_byte_array_unref(exchange->held);
	exchange_release_route(exchange);
	context->open--;
	TAILQ_REMOVE(&context->exchanges, exchange, entry);
	g_free(exchange);
}
