#include "entry/plain_call.h"

#include <string.h>

#include <xxhash.h>

#include "base/metrics.h"
#include "entry/job.h"

#define LOG_MODULE "order"
#include "base/log.h"

#define IDEMPOTENCY_KEY_MAX_BYTES 255

struct plain_call {
	struct frontend_request_owner owner;
	struct frontend *frontend;
	struct httpd_request *http; /* NULL once the caller has disconnected */
	struct dispatch_exchange *exchange;
	struct claim *claim; /* NULL for a call without one */
	char id[REQUEST_ID_SIZE];
	char *organisation;
	uint32_t weight;
	char *service;
	char *method;
	char *path;
	char *content_type;
	char *key;
	GBytes *body;
	bool repeatable;
	struct timespec deadline;
	GByteArray *answer;
};

METRIC_DEFINE(calls_claimed, METRIC_COUNTER, "heatherturn_orders",
    "outcome=\"claimed\"", "calls that must not be repeated, by claim");
METRIC_DEFINE(calls_replayed, METRIC_COUNTER, "heatherturn_orders",
    "outcome=\"replayed\"", "calls that must not be repeated, by claim");
METRIC_DEFINE(calls_already_running, METRIC_COUNTER, "heatherturn_orders",
    "outcome=\"running\"", "calls that must not be repeated, by claim");
METRIC_DEFINE(calls_mismatched, METRIC_COUNTER, "heatherturn_orders",
    "outcome=\"mismatch\"", "calls that must not be repeated, by claim");
METRIC_DEFINE(calls_not_run, METRIC_COUNTER, "heatherturn_orders",
    "outcome=\"not_run\"", "calls that must not be repeated, by claim");

static const char *const claim_outcome_names[] = {
    [CLAIM_CLAIMED] = "claimed",
    [CLAIM_REPLAY] = "replay",
    [CLAIM_RUNNING] = "running",
    [CLAIM_MISMATCH] = "mismatch",
    [CLAIM_NOT_RUN] = "not_run",
};

/* Frees a call that has been answered. */
static void
plain_call_free(struct plain_call *call)
{
	if (call->http != NULL)
		httpd_request_set_data(call->http, NULL);
	g_free(call->organisation);
	g_free(call->service);
	g_free(call->method);
	g_free(call->path);
	g_free(call->content_type);
	g_free(call->key);
	g_bytes_unref(call->body);
	g_byte_array_unref(call->answer);
	g_free(call);
}

/* Sends an error response if the caller is connected; frees the call. */
static void
finish_with_error(struct plain_call *call, enum caller_error code,
    int64_t retry_after_ms, const char *why)
{
	if (call->http != NULL)
		frontend_respond_error_code(
		    call->http, call->id, code, retry_after_ms, why);
	plain_call_free(call);
}

/* Sends the service's response if the caller is connected; frees the call. */
static void
finish_with_response(struct plain_call *call, int status,
    const char *content_type, const void *body, size_t length)
{
	if (call->http != NULL)
		frontend_respond(call->http, call->id, status,
		    content_type[0] != '\0' ? content_type
					    : "application/octet-stream",
		    body, length);
	plain_call_free(call);
}

/* Does nothing: the caller gets one response at the end. */
static void
on_started(void *data)
{
}

/* Collects a chunk of the service's response body. */
static void
on_chunk(void *data, uint64_t sequence, const uint8_t *bytes, size_t length,
    uint32_t tokens)
{
	struct plain_call *call = data;

	g_byte_array_append(call->answer, bytes, (guint)length);
	dispatch_exchange_add_consumed(call->exchange, length);
}

/* Allows a restart of a call that may be repeated. */
static bool
on_restart(void *data)
{
	struct plain_call *call = data;

	g_byte_array_set_size(call->answer, 0);
	return call->repeatable;
}

/* Stores the response with the claim, for replay, and sends it. */
static void
on_finished(void *data, const struct message_finish *finish)
{
	struct plain_call *call = data;
	const struct claim_result result = {
	    .status = finish->status,
	    .content_type = finish->content_type,
	    .body = call->answer->data,
	    .length = call->answer->len,
	    .body_stored = true,
	};

	if (call->claim != NULL)
		claims_finish(call->claim, &result);
	finish_with_response(call, (int)finish->status, finish->content_type,
	    call->answer->data, call->answer->len);
}

/* Sends the error; releases the claim only if the call did not run. */
static void
on_failed(
    void *data, enum caller_error code, int64_t retry_after_ms, const char *why)
{
	struct plain_call *call = data;

	if (call->claim != NULL) {
		if (strcmp(failure_outcome(code), "not-run") == 0)
			claims_release(call->claim);
		else
			claims_abandon(call->claim);
	}
	finish_with_error(call, code, retry_after_ms, why);
}

static const struct job_ops job_ops = {
    .started = on_started,
    .chunk = on_chunk,
    .restart = on_restart,
    .finished = on_finished,
    .failed = on_failed,
};

/* Starts the job that sends the call to an upstream. */
static void
start_job(struct plain_call *call)
{
	struct job_spec spec = {
	    .request = call->id,
	    .organisation = call->organisation,
	    .weight = call->weight,
	    .service = call->service,
	    .work = WORK_CALL,
	    .class = WORK_SHORT,
	    .body = call->body,
	    .method = call->method,
	    .path = call->path,
	    .content_type = call->content_type,
	    .idempotency_key = call->key,
	    .repeatable = call->repeatable,
	    .deadline = call->deadline,
	};

	call->exchange = job_start(
	    frontend_dispatch(call->frontend), &spec, &job_ops, call);
}

/* The platform has decided the claim: runs, replays or refuses the call. */
static void
on_claim(void *data, struct claim *claim, const struct claim_response *answer)
{
	struct plain_call *call = data;
	const struct claim_result *result = answer->result;

	LOG_INFO("idempotency key claim decided", "{s:s, s:s, s:s}", "request",
	    call->id, "organisation", call->organisation, "outcome",
	    claim_outcome_names[answer->outcome]);
	if (answer->outcome != CLAIM_CLAIMED)
		call->claim = NULL;
	switch (answer->outcome) {
	case CLAIM_CLAIMED:
		metric_add(&calls_claimed, 1);
		call->claim = claim;
		start_job(call);
		break;
	case CLAIM_REPLAY:
		metric_add(&calls_replayed, 1);
		finish_with_response(call, (int)result->status,
		    result->content_type, result->body, result->length);
		break;
	case CLAIM_RUNNING:
		metric_add(&calls_already_running, 1);
		finish_with_error(call, CALLER_ERROR_ALREADY_RUNNING,
		    answer->retry_after_ms,
		    "a call with this Idempotency-Key is running or its "
		    "outcome is unknown");
		break;
	case CLAIM_MISMATCH:
		metric_add(&calls_mismatched, 1);
		finish_with_error(call, CALLER_ERROR_IDEMPOTENCY_KEY_REUSED, 0,
		    "the Idempotency-Key was used for a different request");
		break;
	case CLAIM_NOT_RUN:
		metric_add(&calls_not_run, 1);
		finish_with_error(call, CALLER_ERROR_CLAIM_UNAVAILABLE,
		    MAX(answer->retry_after_ms, RETRY_AFTER_DEFAULT_MS),
		    "the Idempotency-Key can't be claimed at present");
		break;
	}
}

/* Hashes what must not differ when an idempotency key is used again. */
static uint64_t
make_fingerprint(const struct plain_call *call)
{
	gsize length;
	const void *body = g_bytes_get_data(call->body, &length);
	uint64_t seed = XXH3_64bits(call->path, strlen(call->path));

	seed = XXH3_64bits_withSeed(call->method, strlen(call->method), seed);
	return XXH3_64bits_withSeed(body, length, seed);
}

/* Claims the idempotency key; the call is sent once it is claimed. */
static void
start_claim(struct plain_call *call)
{
	struct claims *claims = frontend_claims(call->frontend);
	const struct claim_key key = {
	    .organisation = call->organisation,
	    .idempotency_key = call->key,
	    .fingerprint = make_fingerprint(call),
	};

	if (claims == NULL) {
		metric_add(&calls_not_run, 1);
		finish_with_error(call, CALLER_ERROR_CLAIM_UNAVAILABLE,
		    RETRY_AFTER_DEFAULT_MS,
		    "no platform is configured to store claims");
		return;
	}
	call->claim = claims_claim(claims, &key, on_claim, call);
}

/*
 * The caller has disconnected. The call continues: its result is kept for the
 * caller's retry, and a cancellation would leave the outcome unknown.
 */
static void
on_closed(struct frontend_request_owner *owner, bool complete)
{
	struct plain_call *call = (struct plain_call *)owner;

	call->http = NULL;
}

/* Returns a copy of a request header, "" if it is missing. */
static char *
copy_header(struct httpd_request *http, const char *name)
{
	const char *value = httpd_request_header(http, name);

	return g_strdup(value != NULL ? value : "");
}

/* Creates a call from the caller's request. */
static struct plain_call *
plain_call_new(struct frontend *frontend,
    const struct frontend_request *request,
    const Heatherturn__V1__Service *service)
{
	struct plain_call *call = g_new0(struct plain_call, 1);
	const char *method = httpd_request_method(request->http);
	const uint8_t *body;
	size_t length;

	call->owner.closed = on_closed;
	call->frontend = frontend;
	call->http = request->http;
	g_strlcpy(call->id, request->id, sizeof(call->id));
	call->organisation = g_strdup(request->organisation->id);
	call->weight = request->organisation->weight;
	call->service = g_strdup(service->id);
	call->method = g_strdup(method);
	call->path = g_strdup(httpd_request_target(request->http));
	call->content_type = copy_header(request->http, "Content-Type");
	call->key = copy_header(request->http, "Idempotency-Key");
	body = httpd_request_body(request->http, &length);
	call->body = g_bytes_new(body, length);
	call->repeatable = service->repeatable || strcmp(method, "GET") == 0 ||
	    strcmp(method, "HEAD") == 0;
	call->answer = g_byte_array_new();
	httpd_request_drop_body(request->http);
	return call;
}

/* Serves a call to a plain service; GET and HEAD are always repeatable. */
void
plain_call_serve(struct frontend *frontend,
    const struct frontend_request *request,
    const Heatherturn__V1__Service *service)
{
	g_autoptr(GError) error = NULL;
	struct timespec deadline;
	struct plain_call *call;
	int64_t default_ms = service->short_deadline_ms > 0
	    ? service->short_deadline_ms
	    : DEADLINE_DEFAULT_SHORT_MS;

	if (!frontend_parse_deadline(request, default_ms, &deadline, &error)) {
		frontend_respond_error(request->http, request->id, error, 0);
		return;
	}
	call = plain_call_new(frontend, request, service);
	call->deadline = deadline;
	if (strlen(call->key) > IDEMPOTENCY_KEY_MAX_BYTES) {
		finish_with_error(call, CALLER_ERROR_INVALID_VALUE, 0,
		    "'Idempotency-Key' must be at most 255 bytes");
		return;
	}
	httpd_request_set_data(request->http, call);
	if (call->key[0] != '\0' && !call->repeatable)
		start_claim(call);
	else
		start_job(call);
}
