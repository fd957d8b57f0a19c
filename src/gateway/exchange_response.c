#include <string.h>

#include "base/metrics.h"
#include "gateway/exchange_internal.h"
#include "gateway/exchange_selection.h"
#include "policy/part_quarantine.h"

#define LOG_MODULE "answer"
#include "base/log.h"

/* Bytes buffered for a slow caller before reading from the upstream pauses. */
#define STREAM_PENDING_MAX_BYTES ((size_t)128 * 1024)
/* A response that is no event stream is buffered up to this size. */
#define BODY_BUFFER_MAX_BYTES ((size_t)256 * 1024)

#define STATUS_OK	   200
#define STATUS_MULTIPLE	   300
#define STATUS_SERVER_MIN  500
#define STATUS_BAD_GATEWAY 502
#define STATUS_PER_CLASS   100

METRIC_DEFINE(doubts, METRIC_COUNTER,
    "heatherturn_gateway_responses_not_believed", NULL,
    "Responses that may not be the upstream's, or not with their status.");

/* What to do with a response once its headers have been received. */
enum verdict {
	VERDICT_PASS, /* forward it to the caller */
	VERDICT_NOT_RUN, /* the request may be sent to another upstream */
	VERDICT_FAILED, /* an error that another upstream may not have */
	VERDICT_DOUBTED, /* its status may be wrong */
	VERDICT_MISMATCH, /* not the response to this request */
};

/* Returns whether a status guarantees that the request was not executed. */
static bool
promises_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Returns whether a status says that the request was executed. */
static bool
is_success(int status)
{
	return status >= STATUS_OK && status < STATUS_MULTIPLE;
}

/*
 * Returns whether a success is no event stream though the route is known for
 * streams of events with ids: nothing would tell where its events end. Another
 * run is asked once; what two runs agree on is no fault.
 */
static bool
is_other_type(struct exchange *exchange, int status)
{
	if (!is_success(status) || exchange->response.event_stream ||
	    exchange->had_other_type || exchange->route->kind != CALL_STREAM ||
	    !event_numbering_has_ids(&exchange->route->numbering) ||
	    !exchange_may_retry(exchange, exchange->sends + 1, true))
		return false;
	exchange->had_other_type = true;
	return true;
}

/* Returns what the reason phrase of a response says of its status. */
static enum reason_match
match_reason(const struct http_call *call, int status)
{
	int class = http_call_reason_class(call);

	if (class == 0)
		return REASON_UNKNOWN;
	return class == status / STATUS_PER_CLASS ? REASON_FITS
						  : REASON_CONTRADICTS;
}

/* Returns whether another upstream may be asked, and is likely to respond. */
static bool
may_ask_again(struct exchange *exchange)
{
	return exchange_may_retry(exchange, exchange->sends + 1, true) &&
	    exchange_has_reliable_upstream(exchange);
}

/*
 * Decides by its reason phrase what to do with a response that has the evidence
 * of the upstream's own.
 */
static enum verdict
check_status(
    struct exchange *exchange, const struct http_call *call, int status)
{
	struct status_evidence *evidence = &exchange->route->evidence;
	enum reason_match reason = match_reason(call, status);
	int earlier = exchange->doubted_status;
	enum status_verdict verdict = status_evidence_judge(
	    evidence, status, reason, earlier, true);

	if (verdict == STATUS_ASK_AGAIN && !may_ask_again(exchange))
		verdict = status_evidence_judge(
		    evidence, status, reason, earlier, false);
	exchange->doubted_status = verdict == STATUS_ASK_AGAIN ? status : 0;
	switch (verdict) {
	case STATUS_BELIEVED:
		if (status == earlier)
			status_evidence_add(evidence, status);
		return VERDICT_PASS;
	case STATUS_ASK_AGAIN:
		return VERDICT_DOUBTED;
	case STATUS_NOT_BELIEVED:
		break;
	}
	exchange->response.mismatch = "its reason phrase is that of another "
				      "status";
	return VERDICT_MISMATCH;
}

/* Decides what to do with a response. */
static enum verdict
classify(struct exchange *exchange, const struct http_call *call, int status)
{
	const struct response_headers *response = &exchange->response;
	enum verdict verdict;

	if (response->not_run)
		return VERDICT_NOT_RUN;
	if (response->mismatch != NULL)
		return VERDICT_MISMATCH;
	if (exchange->streaming &&
	    (status != STATUS_OK || !response->event_stream))
		return VERDICT_FAILED;
	if (status >= STATUS_SERVER_MIN &&
	    exchange_may_retry(exchange, exchange->sends + 1, true))
		return VERDICT_FAILED;
	verdict = check_status(exchange, call, status);
	if (verdict == VERDICT_PASS && is_other_type(exchange, status))
		return VERDICT_FAILED;
	return verdict;
}

/* Sets the status and headers of the response to the caller. */
static void
set_response_headers(
    struct exchange *exchange, struct http_call *call, int status)
{
	/*
	 * Without the upstream's statement the request may have been executed.
	 */
	bool pass_status = !promises_not_run(status);

	exchange->status = pass_status ? status : STATUS_BAD_GATEWAY;
	if (!pass_status)
		exchange->status_origin = STATUS_FROM_GATEWAY;
	else if (exchange->response.has_server_seal)
		exchange->status_origin = STATUS_FROM_UPSTREAM;
	else
		exchange->status_origin = STATUS_FROM_UNSEALED_UPSTREAM;
	if (exchange->headers != NULL)
		g_array_unref(exchange->headers);
	exchange->headers = headers_build_caller(call, pass_status);
}

/* Returns whether the HTTP server can pass on the headers of the response. */
static bool
head_fits(const struct exchange *exchange)
{
	size_t bytes = 0;

	for (guint i = 0; i < exchange->headers->len; i++) {
		const struct http_header *header = &g_array_index(
		    exchange->headers, struct http_header, i);

		bytes += strlen(header->name) + strlen(header->value) +
		    strlen(": \r\n");
	}
	return bytes <= httpd_request_response_head_max(exchange->http);
}

/* Returns whether the body of the response is events, on any route. */
static bool
has_events(const struct exchange *exchange)
{
	return exchange->response.event_stream && exchange->status == STATUS_OK;
}

/*
 * Returns whether events are passed on as they arrive. Those of an idempotent
 * route are buffered like any body, so that another run can replace them.
 */
static bool
passes_events_on(const struct exchange *exchange)
{
	return has_events(exchange) && exchange->route->kind != CALL_IDEMPOTENT;
}

/* Starts the streamed response to the caller. */
static void
begin_stream(struct exchange *exchange)
{
	const struct http_header *headers = (const struct http_header *)(void *)
						exchange->headers->data;

	exchange->streaming = true;
	/* Only routes for streams promise events with increasing ids. */
	exchange->is_event_stream = has_events(exchange) &&
	    exchange->route->kind == CALL_STREAM;
	if (exchange->response.has_length && !exchange->is_event_stream)
		httpd_stream_begin_sized(exchange->http, exchange->status,
		    headers, exchange->headers->len, exchange->response.length);
	else
		httpd_stream_begin(exchange->http, exchange->status, headers,
		    exchange->headers->len);
}

/* Logs a response that may not be the upstream's, or not with this status. */
static void
log_doubt(const struct exchange *exchange, int status, const char *why)
{
	metric_add(&doubts, 1);
	LOG_INFO("response not believed", "{s:s, s:s, s:i, s:s}", "request",
	    exchange->caller_headers.request_id, "upstream",
	    exchange->upstream->id, "status", status, "why", why);
}

/* Handles the headers of a response; false cancels the call. */
static bool
on_upstream_headers(void *data, struct http_call *call, int status)
{
	struct exchange *exchange = data;

	headers_parse_response(call, status,
	    exchange->caller_headers.request_id, &exchange->response);
	/* Another process that has the address now speaks of itself. */
	if (!exchange->response.wrong_instance)
		exchange_apply_notice(
		    exchange, exchange->upstream, &exchange->response.notice);
	switch (classify(exchange, call, status)) {
	case VERDICT_NOT_RUN:
		exchange->send_outcome = SEND_NOT_RUN;
		exchange->send_error = exchange->response.wrong_instance
		    ? "the address now belongs to another upstream"
		    : "the upstream turned it away";
		exchange_mark_faulty(
		    exchange, exchange->response.faulty_upstream);
		return false;
	case VERDICT_FAILED:
		exchange->send_outcome = SEND_FAILED;
		exchange->send_error = status < STATUS_MULTIPLE
		    ? "the upstream responded with no event stream"
		    : "the upstream responded with an error";
		return false;
	case VERDICT_DOUBTED:
		exchange->send_outcome = SEND_FAILED;
		exchange->send_error = "the upstream's status is in doubt";
		log_doubt(exchange, status, "nothing confirms the status");
		return false;
	case VERDICT_MISMATCH:
		exchange->send_outcome = SEND_LOST;
		exchange->send_error = exchange->response.mismatch;
		log_doubt(exchange, status, exchange->response.mismatch);
		return false;
	case VERDICT_PASS:
		break;
	}
	if (!exchange->streaming) {
		set_response_headers(exchange, call, status);
		if (!head_fits(exchange)) {
			exchange->send_outcome = SEND_FAILED;
			exchange->send_error = "the response's headers are too "
					       "long to be passed on";
			return false;
		}
	}
	exchange->send_outcome = SEND_ANSWERED;
	exchange->begun_at = clock_monotonic(exchange->context->clock);
	if (exchange->streaming)
		return true;
	if (passes_events_on(exchange))
		begin_stream(exchange);
	else
		exchange->body = g_byte_array_new();
	return true;
}

/* Buffers a part of the response; streams it once it is too long to buffer. */
static void
append_part(struct exchange *exchange, const uint8_t *bytes, size_t length)
{
	if (exchange->body == NULL) {
		httpd_stream_write(exchange->http, bytes, length);
		return;
	}
	g_byte_array_append(exchange->body, bytes, (guint)length);
	if (exchange->body->len <=
	    host_monitor_buffer_max(
		exchange->context->host, BODY_BUFFER_MAX_BYTES))
		return;
	begin_stream(exchange);
	httpd_stream_write(
	    exchange->http, exchange->body->data, exchange->body->len);
	g_byte_array_unref(exchange->body);
	exchange->body = NULL;
}

/* The bytes of an event are passed on as part of the body. */
static void
ignore_event(void *data, const struct stream_event *event)
{
}

/*
 * Handles a part of the response body; pauses the call if the caller is slow.
 */
static bool
on_upstream_chunk(void *data, const uint8_t *bytes, size_t length)
{
	struct exchange *exchange = data;

	if (has_events(exchange) &&
	    !event_splitter_feed(&exchange->splitter, bytes, length,
		exchange->is_event_stream ? exchange_forward_event
					  : ignore_event,
		exchange)) {
		exchange->send_outcome = SEND_LOST;
		exchange->send_error = "the upstream sent an event without end";
		return false;
	}
	if (!exchange->is_event_stream) {
		exchange_restart_stall_timer(exchange);
		reservations_set_used(exchange->reservations);
		append_part(exchange, bytes, length);
	}
	if (exchange->send_outcome == SEND_FAILED)
		return false;
	if (exchange->streaming &&
	    httpd_stream_pending(exchange->http) >
		host_monitor_buffer_max(
		    exchange->context->host, STREAM_PENDING_MAX_BYTES)) {
		exchange->paused = true;
		http_call_pause(exchange->call);
	}
	return true;
}

/* Completes a response that has been received completely. */
static void
finish_response(struct exchange *exchange)
{
	const struct http_header *headers;

	exchange_check_survival(exchange);
	exchange_end_send(exchange,
	    exchange->status >= STATUS_SERVER_MIN ? SEND_FAILED
						  : SEND_ANSWERED);
	if (exchange->is_event_stream)
		event_position_learn_end(
		    &exchange->position, &exchange->route->numbering);
	ev_timer_stop(exchange->context->loop, &exchange->deadline_timer);
	if (exchange->streaming) {
		httpd_stream_end(exchange->http);
		return;
	}
	headers = (const struct http_header *)(void *)exchange->headers->data;
	httpd_respond(exchange->http, exchange->status, headers,
	    exchange->headers->len, exchange->body->data, exchange->body->len);
}

/* Discards the buffered part of a response that was interrupted. */
void
exchange_discard_partial(struct exchange *exchange)
{
	event_splitter_reset(&exchange->splitter);
	g_byte_array_set_size(exchange->held, 0);
	if (exchange->body != NULL)
		g_byte_array_unref(exchange->body);
	exchange->body = NULL;
}

/* Returns the outcome of a send without a complete response. */
static enum send_outcome
failed_outcome(
    const struct exchange *exchange, const struct http_result *result)
{
	switch (exchange->send_outcome) {
	case SEND_NOT_RUN:
	case SEND_FAILED:
		return exchange->send_outcome;
	default:
		return result->may_have_sent ? SEND_LOST : SEND_NOT_SENT;
	}
}

/*
 * Returns whether an event stream broke off though its connection ended without
 * an error: inside an event or, where only the connection frames it, before the
 * first one. A run that should continue the stream and has no new event is no
 * evidence that it has ended, unless two runs agree on that.
 */
static bool
is_cut_stream(const struct exchange *exchange)
{
	bool is_end_agreed = exchange->response.framed &&
	    event_position_is_end_agreed(&exchange->position);

	if (!has_events(exchange))
		return false;
	if (event_splitter_is_in_event(&exchange->splitter))
		return true;
	if (!exchange->is_event_stream)
		return false;
	return (exchange->continues && !exchange->position.has_new &&
		   !is_end_agreed) ||
	    (!exchange->response.framed && exchange->send_events == 0 &&
		!exchange->position.has_last);
}

/* Completes the response, or retries or fails the request after an error. */
static void
on_upstream_done(
    void *data, struct http_call *call, const struct http_result *result)
{
	struct exchange *exchange = data;
	const char *why = "the response ended inside or before an event";
	enum send_outcome outcome;
	bool is_cut = false;

	if (result->error == NULL && exchange->send_outcome == SEND_ANSWERED)
		is_cut = !exchange_end_held(exchange) ||
		    is_cut_stream(exchange);
	if (result->error == NULL && exchange->send_outcome == SEND_ANSWERED &&
	    !is_cut) {
		finish_response(exchange);
		return;
	}
	outcome = failed_outcome(exchange, result);
	/* An unframed stream ends without an error wherever it breaks. */
	exchange->disconnected = result->error == NULL
	    ? is_cut
	    : result->error->code == HTTP_CLIENT_ERROR_DISCONNECTED;
	exchange_discard_partial(exchange);
	exchange_end_send(exchange, outcome);
	if (exchange->streaming && !exchange->is_event_stream) {
		httpd_abort(exchange->http);
		exchange_finish(exchange, "broken_off");
		return;
	}
	if (exchange->send_error != NULL)
		why = exchange->send_error;
	else if (result->error != NULL)
		why = result->error->message;
	exchange_retry_or_fail(exchange, outcome, why);
}

/*
 * The caller has received all pending data: resumes reading from the upstream.
 */
void
exchange_on_drained(void *data, struct httpd_request *http)
{
	struct exchange *exchange = httpd_request_data(http);

	if (exchange == NULL)
		return;
	exchange->paused = false;
	if (exchange->call != NULL)
		http_call_resume(exchange->call);
}

const struct http_call_ops exchange_call_ops = {
    .headers = on_upstream_headers,
    .chunk = on_upstream_chunk,
    .done = on_upstream_done,
};
