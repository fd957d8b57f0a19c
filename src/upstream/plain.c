/*
 * Dialect of plain services: a request is passed through unchanged and sent at
 * most once.
 */
#include <string.h>

#include "base/list.h"
#include "upstream/event_stream.h"
#include "upstream/json_client.h"
#include "upstream/upstream.h"

#define HEALTH_TIMEOUT_MS 1000
#define HEADERS_MAX	  3
#define STATUS_PER_CLASS  100
#define EVENT_STREAM_TYPE "text/event-stream"

struct plain_call {
	struct upstream_call call;
	struct http_call *http;
	const struct upstream_call_ops *ops;
	void *data;
	uint64_t sequence;
	struct event_stream_position position; /* if it is an event stream */
	bool ending;
	bool dropped; /* in the callback of its end */
	TAILQ_ENTRY(plain_call) entry;
};

struct plain {
	struct upstream upstream;
	struct http_client *http;
	struct json_client *json;
	char *url;
	TAILQ_HEAD(plain_calls, plain_call) calls;
};

struct plain_status_call {
	upstream_status_fn *done;
	void *data;
};

/* Removes a call and frees it. */
static void
call_free(struct plain_call *call)
{
	struct plain *plain = (struct plain *)call->call.upstream;

	TAILQ_REMOVE(&plain->calls, call, entry);
	g_free(call);
}

/* Passes on a part of the response. */
static bool
on_chunk(void *data, const uint8_t *bytes, size_t length)
{
	struct plain_call *call = data;
	struct upstream_event event = {
	    .sequence = ++call->sequence, .data = bytes, .length = length};

	event_stream_advance(&call->position, bytes, length);
	call->ops->event(call->data, &event);
	return true;
}

/*
 * Returns whether a response is an event stream that ended inside an event:
 * without a length or chunks, a broken connection shows in nothing else.
 */
static bool
is_cut_in_event(const struct plain_call *call, const char *type)
{
	return type != NULL &&
	    g_ascii_strncasecmp(
		type, EVENT_STREAM_TYPE, strlen(EVENT_STREAM_TYPE)) == 0 &&
	    call->position.in_event;
}

/*
 * Returns whether a response's reason phrase is that of another class of
 * statuses: a digit of the status is wrong.
 */
static bool
contradicts_status(const struct http_call *http, int status)
{
	int class = http_call_reason_class(http);

	return class != 0 && class != status / STATUS_PER_CLASS;
}

/*
 * Passes on the end of a call. Any HTTP status is the service's own response;
 * only a failed call, a stream that broke off or a status that contradicts its
 * reason phrase is an error.
 */
static void
on_done(void *data, struct http_call *http, const struct http_result *result)
{
	struct plain_call *call = data;
	struct upstream_end end = {.sent = result->may_have_sent,
	    .status = result->status,
	    .content_type = http_call_header(http, "content-type")};
	GError *error = NULL;

	call->ending = true;
	if (result->error != NULL)
		error = upstream_error_from_result(result);
	else if (result->body->len > 0)
		on_chunk(call, result->body->data, result->body->len);
	if (error == NULL && is_cut_in_event(call, end.content_type))
		error = g_error_new_literal(UPSTREAM_ERROR, UPSTREAM_ERROR_LOST,
		    "upstream: the response ended inside an event");
	if (error == NULL && contradicts_status(http, result->status))
		error = g_error_new(UPSTREAM_ERROR, UPSTREAM_ERROR_LOST,
		    "upstream: status %d with the reason phrase of another one",
		    result->status);
	end.error = error;
	if (!call->dropped)
		call->ops->ended(call->data, &end);
	g_clear_error(&error);
	call_free(call);
}

/* Starts the HTTP call of a request. */
static struct upstream_call *
plain_start(struct upstream *upstream, const struct upstream_request *request,
    const struct upstream_call_ops *ops, void *data)
{
	static const struct http_call_ops http_ops = {
	    .chunk = on_chunk, .done = on_done};
	struct plain *plain = (struct plain *)upstream;
	struct plain_call *call = g_new0(struct plain_call, 1);
	struct http_header headers[HEADERS_MAX];
	char *url = g_strconcat(plain->url, request->path[0] == '/' ? "" : "/",
	    request->path, NULL);
	struct http_call_request http = {.method = request->method,
	    .dedicated_connection = true,
	    .url = url,
	    .headers = headers,
	    .body = request->body,
	    .body_length = request->body_length};

	headers[http.header_count++] = (struct http_header){
	    "X-Request-Id", request->id};
	if (request->content_type != NULL && request->content_type[0] != '\0')
		headers[http.header_count++] = (struct http_header){
		    "Content-Type", request->content_type};
	if (request->idempotency_key != NULL &&
	    request->idempotency_key[0] != '\0')
		headers[http.header_count++] = (struct http_header){
		    "Idempotency-Key", request->idempotency_key};
	call->call.upstream = upstream;
	call->ops = ops;
	call->data = data;
	TAILQ_INSERT_TAIL(&plain->calls, call, entry);
	call->http = http_client_start(plain->http, &http, &http_ops, call);
	g_free(url);
	return &call->call;
}

/* Pauses or resumes reading the response. */
static void
plain_pause(struct upstream_call *base, bool on)
{
	struct plain_call *call = (struct plain_call *)base;

	if (on)
		http_call_pause(call->http);
	else
		http_call_resume(call->http);
}

/* Cancels the call. Returns whether the service may have received it. */
static bool
plain_drop(struct upstream_call *base)
{
	struct plain_call *call = (struct plain_call *)base;
	bool sent = http_call_may_have_sent(call->http);

	if (call->ending) {
		call->dropped = true;
		return true;
	}
	http_call_cancel(call->http);
	call_free(call);
	return sent;
}

/*
 * Passes on the health check's result; a response other than JSON counts as up.
 */
static void
on_health(void *data, json_t *response, const GError *error)
{
	struct plain_status_call *call = data;
	struct upstream_status status = {.warm = true};
	bool is_up = error == NULL || error->code == UPSTREAM_ERROR_MALFORMED;

	call->done(call->data, is_up ? &status : NULL, is_up ? NULL : error);
}

/* Sends a health check. */
static void
plain_status(struct upstream *upstream, upstream_status_fn *done, void *data)
{
	struct plain *plain = (struct plain *)upstream;
	struct plain_status_call *call = g_new0(struct plain_status_call, 1);
	struct json_request request = {.method = "GET",
	    .path = "/healthz",
	    .timeout_ms = HEALTH_TIMEOUT_MS};

	call->done = done;
	call->data = data;
	json_client_call(plain->json, &request, on_health, call);
}

/* Cancels all calls and frees the upstream. */
static void
plain_free(struct upstream *upstream)
{
	struct plain *plain = (struct plain *)upstream;
	struct plain_call *call, *next;

	TAILQ_FOREACH_SAFE (call, &plain->calls, entry, next)
		plain_drop(&call->call);
	json_client_free(plain->json);
	g_free(plain->url);
	g_free(plain);
}

static const struct upstream_ops plain_ops = {
    .start = plain_start,
    .pause = plain_pause,
    .drop = plain_drop,
    .status = plain_status,
    .free = plain_free,
};

/*
 * Creates the upstream of a plain service at url, which has no trailing slash.
 */
struct upstream *
upstream_plain_new(struct http_client *http, const char *url)
{
	struct plain *plain = g_new0(struct plain, 1);

	plain->upstream.ops = &plain_ops;
	plain->http = http;
	plain->json = json_client_new(http, url);
	plain->url = g_strdup(url);
	TAILQ_INIT(&plain->calls);
	return &plain->upstream;
}
