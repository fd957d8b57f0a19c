#include "gateway/exchange.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>
#include <xxhash.h>

#include "base/metrics.h"
#include "gateway/exchange_internal.h"
#include "policy/quarantine.h"

#define LOG_MODULE "exchange"
#include "base/log.h"

/* Where neither the caller nor the route says how long to wait. */
#define DEADLINE_DEFAULT_MS 60000

/* A gateway that has just started learns its routes within this time. */
#define NOT_READY_MS 300

/* A request that kills upstreams may come again when somebody has looked. */
#define QUARANTINED_MS 5000

/* What a refusal is answered with. */
static const struct refusal_kind {
	int status;
	const char *code;
	bool not_run; /* promises that it has not run and never will */
} refusals[REFUSALS] = {
    [REFUSAL_NOT_READY] = {503, "not_ready", true},
    [REFUSAL_BAD_REQUEST] = {400, "bad_request", true},
    [REFUSAL_NO_ROUTE] = {404, "no_route", true},
    [REFUSAL_NO_KEY] = {401, "unknown_key", true},
    [REFUSAL_NO_UPSTREAM] = {503, "no_upstream", true},
    [REFUSAL_OVERLOADED] = {503, "overloaded", true},
    [REFUSAL_QUARANTINED] = {503, "quarantined", true},
    [REFUSAL_NOT_RUN] = {503, "not_run", true},
    [REFUSAL_LOST] = {502, "upstream_lost", false},
    [REFUSAL_TIMEOUT] = {504, "timeout", false},
};

METRIC_DEFINE(requests, METRIC_COUNTER, "heatherturn_gateway_requests", NULL,
    "Requests that callers sent.");
METRIC_DEFINE(refused, METRIC_COUNTER, "heatherturn_gateway_refusals", NULL,
    "Requests answered by the gateway itself.");
METRIC_DEFINE(answer_ms, METRIC_HISTOGRAM, "heatherturn_gateway_answer_ms",
    NULL, "From a request's arrival to the end of its answer.");
METRIC_DEFINE(first_event_ms, METRIC_HISTOGRAM,
    "heatherturn_gateway_first_event_ms", NULL,
    "From a stream's arrival to its first event.");

/* Sets up what exchanges share, beside the members that the owner sets. */
void
exchanges_init(struct exchanges *all)
{
	all->retry_windows = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
}

/* Frees it, once no exchange is open. */
void
exchanges_clear(struct exchanges *all)
{
	if (all->retry_windows != NULL)
		g_hash_table_unref(all->retry_windows);
	all->retry_windows = NULL;
}

/* Returns how long somebody still waits for the answer; 0 where nobody does. */
int64_t
exchange_left_ms(const struct exchange *exchange)
{
	return MAX(time_diff_ms(exchange->deadline,
		       clock_monotonic(exchange->all->clock)),
	    0);
}

/* Returns how long ago the request arrived. */
int64_t
exchange_age_ms(const struct exchange *exchange)
{
	return time_diff_ms(
	    clock_monotonic(exchange->all->clock), exchange->arrived);
}

/* Writes the line that tells how a request ended. */
void
exchange_finish(struct exchange *exchange, const char *how)
{
	int64_t took = time_diff_ms(
	    clock_monotonic(exchange->all->clock), exchange->arrived);
	int64_t first = time_is_set(exchange->first_event_at)
	    ? time_diff_ms(exchange->first_event_at, exchange->arrived)
	    : -1;

	if (exchange->ended)
		return;
	exchange->ended = true;
	ev_timer_stop(exchange->all->loop, &exchange->timer);
	ev_timer_stop(exchange->all->loop, &exchange->wait);
	metric_observe(&answer_ms, took);
	if (first >= 0)
		metric_observe(&first_event_ms, first);
	LOG_INFO("request ended",
	    "{s:s?, s:s, s:s?, s:s?, s:i, s:i, s:I, s:I, s:I, s:I}", "request",
	    exchange->head.request_id, "how", how, "route",
	    exchange->route != NULL ? exchange->route->name : NULL,
	    "organisation",
	    exchange->organisation != NULL ? exchange->organisation->name
					   : NULL,
	    "status", exchange->status, "sends", (int)exchange->sends,
	    "first_event_ms", (json_int_t)first, "last_event",
	    exchange->has_last_event ? (json_int_t)exchange->last_event : -1,
	    "longest_pause_ms", (json_int_t)exchange->longest_pause_ms,
	    "took_ms", (json_int_t)took);
}

/* Formats seconds with their milliseconds, as Retry-After takes them here. */
static void
format_seconds(char *out, size_t size, int64_t ms)
{
	snprintf(
	    out, size, "%" PRId64 ".%03" PRId64, ms / MS_PER_S, ms % MS_PER_S);
}

/*
 * Answers by ourselves: what went wrong, whether the request has run, and when
 * to come back where retry_after_ms is above 0. Once per exchange.
 */
void
exchange_answer_refusal(struct exchange *exchange, enum refusal refusal,
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
	metric_add(&refused, 1);
	LOG_INFO("request refused", "{s:s?, s:s, s:s, s:i, s:I, s:i}",
	    "request", exchange->head.request_id, "code", kind->code, "why",
	    why, "status", kind->status, "retry_after_ms",
	    (json_int_t)retry_after_ms, "tries", (int)exchange->tries);
	httpd_respond(
	    exchange->http, kind->status, headers, count, text, strlen(text));
	exchange_finish(exchange, kind->code);
	free(text);
	json_decref(body);
}

/* Nobody waits any longer. */
static void
deadline_passed(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct exchange *exchange = timer->data;

	exchange_stop_send(exchange);
	if (exchange->begun) {
		httpd_abort(exchange->http);
		exchange_finish(exchange, "deadline");
		return;
	}
	if (exchange->tries == 0)
		exchange_answer_refusal(exchange, REFUSAL_OVERLOADED, 0,
		    "no engine could take it before the request's deadline");
	else
		exchange_answer_refusal(exchange, REFUSAL_TIMEOUT, 0,
		    "no answer before the request's deadline");
}

/* Sets when nobody waits any longer, by the caller and the route. */
static void
set_deadline(struct exchange *exchange)
{
	int64_t wait_ms = exchange->route->timeout_ms;

	if (wait_ms <= 0)
		wait_ms = DEADLINE_DEFAULT_MS;
	if (exchange->head.has_deadline)
		wait_ms = MIN(wait_ms, exchange->head.deadline_ms);
	exchange->deadline = time_add_ms(exchange->arrived, wait_ms);
	ev_timer_set(&exchange->timer, (double)wait_ms / MS_PER_S, 0.0);
	ev_timer_start(exchange->all->loop, &exchange->timer);
}

/* Finds on whose behalf a request comes; false where it is refused. */
static bool
authenticate(struct exchange *exchange)
{
	if (exchange->route->public || exchange->table->organisations->len == 0)
		return true;
	if (exchange->head.key != NULL)
		exchange->organisation = routing_table_organisation(
		    exchange->table, exchange->head.key);
	if (exchange->organisation != NULL)
		return true;
	exchange_answer_refusal(exchange, REFUSAL_NO_KEY, 0,
	    "the request carries no key that is in force");
	return false;
}

/* Finds the route and the service; false where the request is refused. */
static bool
find_route(struct exchange *exchange)
{
	g_autofree char *path = g_strdup(httpd_request_target(exchange->http));
	const char *service;

	path[strcspn(path, "?")] = '\0';
	if (exchange->head.request_id == NULL || exchange->head.host == NULL) {
		exchange_answer_refusal(exchange, REFUSAL_BAD_REQUEST, 0,
		    "the request has no id or no host");
		return false;
	}
	exchange->route = routing_table_route(
	    exchange->table, exchange->head.host, path);
	if (exchange->route == NULL) {
		exchange_answer_refusal(exchange, REFUSAL_NO_ROUTE, 0,
		    "no route is for this host and path");
		return false;
	}
	if (!authenticate(exchange))
		return false;
	service = route_service(
	    exchange->route, g_rand_int(exchange->all->random));
	exchange->profile = service == NULL
	    ? NULL
	    : routing_table_service(exchange->table, service);
	if (exchange->profile != NULL)
		return true;
	exchange_answer_refusal(exchange, REFUSAL_NO_UPSTREAM, MS_PER_S,
	    "the route's service is not configured");
	return false;
}

/* Returns what tells a request from others, however often it is sent. */
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

/* Refuses a request that has killed the upstreams which ran it. */
static bool
is_quarantined(struct exchange *exchange)
{
	exchange->fingerprint = fingerprint(exchange);
	if (mesh_suspect_deaths(exchange->all->mesh, exchange->fingerprint) <
	    QUARANTINE_DEATHS)
		return false;
	exchange_answer_refusal(exchange, REFUSAL_QUARANTINED, QUARANTINED_MS,
	    "upstreams died while they ran this request");
	return true;
}

/* Takes a request that has been read whole. */
void
exchange_start(struct exchanges *all, struct httpd_request *http)
{
	struct exchange *exchange = g_new0(struct exchange, 1);

	all->open++;
	metric_add(&requests, 1);
	exchange->all = all;
	exchange->http = http;
	exchange->arrived = clock_monotonic(all->clock);
	ev_init(&exchange->stall, exchange_stalled);
	exchange->stall.data = exchange;
	ev_init(&exchange->wait, exchange_waited);
	exchange->wait.data = exchange;
	ev_init(&exchange->reading, exchange_part_due);
	exchange->reading.data = exchange;
	ev_init(&exchange->timer, deadline_passed);
	exchange->timer.data = exchange;
	event_cut_init(&exchange->cut);
	httpd_request_set_data(http, exchange);
	headers_parse_caller(http, &exchange->head);
	exchange->has_last_event = exchange->head.has_last_event;
	exchange->last_event = exchange->head.last_event;
	if (knowledge_table(all->knowledge) == NULL) {
		exchange_answer_refusal(exchange, REFUSAL_NOT_READY,
		    NOT_READY_MS, "the routes are not known yet");
		return;
	}
	exchange->table = routing_table_ref(knowledge_table(all->knowledge));
	if (!find_route(exchange) || is_quarantined(exchange))
		return;
	set_deadline(exchange);
	exchange_send(exchange);
}

/*
 * The caller went away, or has the whole answer. What still runs for it is
 * stopped: its connection to the upstream closes.
 */
void
exchange_closed(void *data, struct httpd_request *http, bool whole)
{
	struct exchange *exchange = httpd_request_data(http);
	struct exchanges *all;

	if (exchange == NULL)
		return;
	all = exchange->all;
	exchange_stop_send(exchange);
	exchange_finish(exchange, whole ? "answered" : "caller_left");
	ev_timer_stop(all->loop, &exchange->timer);
	ev_timer_stop(all->loop, &exchange->stall);
	ev_timer_stop(all->loop, &exchange->wait);
	for (size_t i = 0; i < exchange->tries; i++)
		g_free(exchange->tried[i]);
	g_free(exchange->at_fault);
	if (exchange->body != NULL)
		g_byte_array_unref(exchange->body);
	if (exchange->headers != NULL)
		g_array_unref(exchange->headers);
	event_cut_clear(&exchange->cut);
	routing_table_unref(exchange->table);
	all->open--;
	g_free(exchange);
}

/* The caller has taken what there was of a stream. */
void
exchange_drained(void *data, struct httpd_request *http)
{
	struct exchange *exchange = httpd_request_data(http);

	if (exchange != NULL && exchange->call != NULL)
		http_call_resume(exchange->call);
}
