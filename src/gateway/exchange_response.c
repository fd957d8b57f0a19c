#include "gateway/exchange_internal.h"

#define LOG_MODULE "answer"
#include "base/log.h"

/* Bytes that a slow caller may leave untaken before the upstream waits. */
#define STREAM_PENDING_MAX_BYTES ((size_t)128 * 1024)
/* An answer that is no stream of events is read whole up to this. */
#define BODY_WHOLE_MAX_BYTES ((size_t)256 * 1024)

#define STATUS_OK	   200
#define STATUS_MULTIPLE	   300
#define STATUS_SERVER_MIN  500
#define STATUS_BAD_GATEWAY 502

/* What is to become of an answer whose head has come. */
enum verdict {
	VERDICT_PASS, /* on to the caller */
	VERDICT_NOT_RUN, /* the request may go elsewhere */
	VERDICT_FAILED, /* a failure that another upstream may not have */
	VERDICT_MISMATCH, /* not the answer to this request */
};

/* Says whether a status promises that the request has not run. */
static bool
promises_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Decides what becomes of an answer. */
static enum verdict
classify(struct exchange *exchange, int status)
{
	const struct answer_head *response = &exchange->response;
	bool success = status >= STATUS_OK && status < STATUS_MULTIPLE;

	if (response->not_run)
		return VERDICT_NOT_RUN;
	if (!response->ours || (success && !response->sealed))
		return VERDICT_MISMATCH;
	if (exchange->streaming && (!success || !response->event_stream))
		return VERDICT_FAILED;
	if (status >= STATUS_SERVER_MIN &&
	    exchange_may_retry(exchange, exchange->sends + 1, true))
		return VERDICT_FAILED;
	return VERDICT_PASS;
}

/* Keeps the head of the answer that goes to the caller. */
static void
set_response_head(struct exchange *exchange, struct http_call *call, int status)
{
	/* Without its own word the upstream may have run the request. */
	bool pass_status = !promises_not_run(status);

	exchange->status = pass_status ? status : STATUS_BAD_GATEWAY;
	if (exchange->headers != NULL)
		g_array_unref(exchange->headers);
	exchange->headers = headers_for_caller(call, pass_status);
}

/* Begins to pass a streamed answer on. */
static void
begin_stream(struct exchange *exchange)
{
	const struct http_header *headers = (const struct http_header *)(void *)
						exchange->headers->data;

	exchange->streaming = true;
	exchange->is_event_stream = exchange->response.event_stream &&
	    exchange->status == STATUS_OK;
	if (exchange->response.has_length && !exchange->is_event_stream)
		httpd_stream_begin_sized(exchange->http, exchange->status,
		    headers, exchange->headers->len, exchange->response.length);
	else
		httpd_stream_begin(exchange->http, exchange->status, headers,
		    exchange->headers->len);
}

/* The head of an answer has come. */
static bool
on_upstream_head(void *data, struct http_call *call, int status)
{
	struct exchange *exchange = data;

	headers_read_answer(
	    call, status, exchange->head.request_id, &exchange->response);
	switch (classify(exchange, status)) {
	case VERDICT_NOT_RUN:
		exchange->send_outcome = SEND_NOT_RUN;
		exchange->send_error = exchange->response.other_instance
		    ? "another upstream has the address"
		    : "the upstream turned it away";
		exchange_mark_faulty(exchange, exchange->response.at_fault);
		return false;
	case VERDICT_FAILED:
		exchange->send_outcome = SEND_FAILED;
		exchange->send_error = "the upstream failed";
		return false;
	case VERDICT_MISMATCH:
		exchange->send_outcome = SEND_LOST;
		exchange->send_error = "the answer is not to this request";
		return false;
	case VERDICT_PASS:
		break;
	}
	exchange->send_outcome = SEND_ANSWERED;
	if (exchange->streaming)
		return true;
	set_response_head(exchange, call, status);
	if (exchange->response.event_stream && status == STATUS_OK)
		begin_stream(exchange);
	else
		exchange->body = g_byte_array_new();
	return true;
}

/* Notes when an event came, and how long after the one before. */
static void
note_event_time(struct exchange *exchange)
{
	struct timespec now = clock_monotonic(exchange->context->clock);

	if (!time_is_set(exchange->first_event_at))
		exchange->first_event_at = now;
	else
		exchange->longest_gap_ms = MAX(exchange->longest_gap_ms,
		    time_diff_ms(now, exchange->last_event_at));
	exchange->last_event_at = now;
}

/* Passes one whole event on, unless the caller has it already. */
static void
forward_event(
    void *data, const uint8_t *bytes, size_t length, bool has_id, uint64_t id)
{
	struct exchange *exchange = data;

	if (has_id && exchange->has_last_event && id <= exchange->last_event)
		return;
	if (has_id) {
		exchange->has_last_event = true;
		exchange->last_event = id;
	}
	note_event_time(exchange);
	exchange_restart_stall_timer(exchange);
	exchange_clear_prefill(exchange);
	httpd_stream_write(exchange->http, bytes, length);
}

/* Takes a part of an answer that is read whole first, if it is short. */
static void
append_part(struct exchange *exchange, const uint8_t *bytes, size_t length)
{
	if (exchange->body == NULL) {
		httpd_stream_write(exchange->http, bytes, length);
		return;
	}
	g_byte_array_append(exchange->body, bytes, (guint)length);
	if (exchange->body->len <= BODY_WHOLE_MAX_BYTES)
		return;
	begin_stream(exchange);
	httpd_stream_write(
	    exchange->http, exchange->body->data, exchange->body->len);
	g_byte_array_unref(exchange->body);
	exchange->body = NULL;
}

/* A part of the answer's body has come. */
static bool
on_upstream_chunk(void *data, const uint8_t *bytes, size_t length)
{
	struct exchange *exchange = data;

	if (exchange->is_event_stream)
		event_splitter_feed(&exchange->splitter, bytes, length,
		    forward_event, exchange);
	else
		append_part(exchange, bytes, length);
	if (exchange->streaming &&
	    httpd_stream_pending(exchange->http) > STREAM_PENDING_MAX_BYTES)
		http_call_pause(exchange->call);
	return true;
}

/* Ends an answer that came whole. */
static void
finish_response(struct exchange *exchange)
{
	const struct http_header *headers;

	exchange_send_ended(exchange,
	    exchange->status >= STATUS_SERVER_MIN ? SEND_FAILED
						  : SEND_ANSWERED);
	ev_timer_stop(exchange->context->loop, &exchange->deadline_timer);
	if (exchange->streaming) {
		httpd_stream_end(exchange->http);
		return;
	}
	headers = (const struct http_header *)(void *)exchange->headers->data;
	httpd_answer(exchange->http, exchange->status, headers,
	    exchange->headers->len, exchange->body->data, exchange->body->len);
}

/* Drops what came of an answer that will not be whole. */
void
exchange_discard_partial(struct exchange *exchange)
{
	event_splitter_reset(&exchange->splitter);
	if (exchange->body != NULL)
		g_byte_array_unref(exchange->body);
	exchange->body = NULL;
}

/* Says how a send ended that brought no whole answer. */
static enum send_outcome
failed_outcome(
    const struct exchange *exchange, const struct http_result *result)
{
	switch (exchange->send_outcome) {
	case SEND_NOT_RUN:
	case SEND_FAILED:
		return exchange->send_outcome;
	default:
		return result->sent ? SEND_LOST : SEND_NOT_SENT;
	}
}

/* A send has ended. */
static void
on_upstream_done(
    void *data, struct http_call *call, const struct http_result *result)
{
	struct exchange *exchange = data;
	bool has_partial_event = exchange->is_event_stream &&
	    exchange->splitter.buffer->len > 0;
	const char *why = "the answer ended inside an event";
	enum send_outcome outcome;

	if (result->error == NULL && exchange->send_outcome == SEND_ANSWERED &&
	    !has_partial_event) {
		finish_response(exchange);
		return;
	}
	outcome = failed_outcome(exchange, result);
	exchange->disconnected = result->error != NULL &&
	    result->error->code == HTTP_CLIENT_ERROR_BROKEN;
	exchange_discard_partial(exchange);
	exchange_send_ended(exchange, outcome);
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

const struct http_call_ops exchange_call_ops = {
    .head = on_upstream_head,
    .chunk = on_upstream_chunk,
    .done = on_upstream_done,
};
