#include <xxhash.h>

#include "base/metrics.h"
#include "gateway/exchange_internal.h"
#include "policy/part_quarantine.h"

#define LOG_MODULE "answer"
#include "base/log.h"

/* Bytes buffered for a slow caller before reading from the upstream pauses. */
#define STREAM_PENDING_MAX_BYTES ((size_t)128 * 1024)
/* A response that is no event stream is buffered up to this size. */
#define BODY_BUFFER_MAX_BYTES ((size_t)256 * 1024)

#define ERROR_IN_DOUBT "the upstream sent an event that is in doubt"

#define STATUS_OK	   200
#define STATUS_MULTIPLE	   300
#define STATUS_SERVER_MIN  500
#define STATUS_BAD_GATEWAY 502

METRIC_DEFINE(events_in_doubt, METRIC_COUNTER,
    "heatherturn_gateway_events_in_doubt", NULL,
    "Events of streams that were held back, since they may not be of the run.");

/* What to do with a response once its headers have been received. */
enum verdict {
	VERDICT_PASS, /* forward it to the caller */
	VERDICT_NOT_RUN, /* the request may be sent to another upstream */
	VERDICT_FAILED, /* an error that another upstream may not have */
	VERDICT_MISMATCH, /* not the response to this request */
};

/* Returns whether a status guarantees that the request was not executed. */
static bool
promises_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/*
 * Returns whether a success is no event stream though the route is known for
 * streams of events with ids: nothing would tell where its events end. Another
 * run is asked once; what two runs agree on is no fault.
 */
static bool
is_other_type(struct exchange *exchange, bool success)
{
	if (!success || exchange->response.event_stream ||
	    exchange->had_other_type || exchange->route->kind != CALL_STREAM ||
	    !event_numbering_has_ids(&exchange->route->numbering) ||
	    !exchange_may_retry(exchange, exchange->sends + 1, true))
		return false;
	exchange->had_other_type = true;
	return true;
}

/* Decides what to do with a response. */
static enum verdict
classify(struct exchange *exchange, int status)
{
	const struct response_headers *response = &exchange->response;
	bool success = status >= STATUS_OK && status < STATUS_MULTIPLE;

	if (response->not_run)
		return VERDICT_NOT_RUN;
	if (!response->request_id_matches ||
	    (success && !response->has_server_seal))
		return VERDICT_MISMATCH;
	if (exchange->streaming &&
	    (status != STATUS_OK || !response->event_stream))
		return VERDICT_FAILED;
	if (status >= STATUS_SERVER_MIN &&
	    exchange_may_retry(exchange, exchange->sends + 1, true))
		return VERDICT_FAILED;
	if (is_other_type(exchange, success))
		return VERDICT_FAILED;
	return VERDICT_PASS;
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
	if (exchange->headers != NULL)
		g_array_unref(exchange->headers);
	exchange->headers = headers_build_caller(call, pass_status);
}

/* Starts the streamed response to the caller. */
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
	switch (classify(exchange, status)) {
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
	case VERDICT_MISMATCH:
		exchange->send_outcome = SEND_LOST;
		exchange->send_error = exchange->response.mismatch;
		return false;
	case VERDICT_PASS:
		break;
	}
	exchange->send_outcome = SEND_ANSWERED;
	exchange->begun_at = clock_monotonic(exchange->context->clock);
	if (exchange->streaming)
		return true;
	set_response_headers(exchange, call, status);
	if (exchange->response.event_stream && status == STATUS_OK)
		begin_stream(exchange);
	else
		exchange->body = g_byte_array_new();
	return true;
}

/* Records the time of an event and the longest gap between two. */
static void
record_event_time(struct exchange *exchange)
{
	struct timespec now = clock_monotonic(exchange->context->clock);

	if (!time_is_set(exchange->first_event_at))
		exchange->first_event_at = now;
	else
		exchange->longest_gap_ms = MAX(exchange->longest_gap_ms,
		    time_diff_ms(now, exchange->last_event_at));
	exchange->last_event_at = now;
}

/* Counts and logs the event that is held back, and why. */
static void
count_doubt(struct exchange *exchange, size_t length)
{
	static const char *const reasons[] = {
	    [EVENT_SURE] = "none",
	    [EVENT_WITHOUT_ID] = "no id that is a number",
	    [EVENT_NOT_HIGHER] = "id not above the last one",
	    [EVENT_TOO_FAR] = "id too far above the last one",
	    [EVENT_OTHER_FIRST] = "not the first id of the route's streams",
	    [EVENT_MALFORMED] = "lines that no event has",
	    [EVENT_WITH_ID] = "an id in a stream without ids",
	};
	const struct event_position *position = &exchange->position;

	exchange->events_in_doubt++;
	metric_add(&events_in_doubt, 1);
	LOG_INFO("event in doubt",
	    "{s:s?, s:s, s:s, s:i, s:b, s:i, s:b, s:I, s:I, s:I}", "request",
	    exchange->caller_headers.request_id, "upstream",
	    exchange->upstream->id, "why", reasons[position->held_doubt], "try",
	    (int)exchange->tries, "framed", exchange->response.framed,
	    "events_before", (int)exchange->send_events, "has_id",
	    position->held.has_id, "id", (json_int_t)position->held.id,
	    "last_event", position->has_last ? (json_int_t)position->last : -1,
	    "bytes", (json_int_t)length);
}

/* Passes an event on that the caller does not have. */
static void
pass_event(struct exchange *exchange, const uint8_t *bytes, size_t length)
{
	exchange->events++;
	record_event_time(exchange);
	exchange_restart_stall_timer(exchange);
	exchange_clear_prefill(exchange);
	httpd_stream_write(exchange->http, bytes, length);
}

/*
 * Counts an event that is one of the run: the upstream has survived it, and has
 * the prompt.
 */
static void
count_event(struct exchange *exchange)
{
	if (++exchange->send_events == PART_QUARANTINE_SURVIVED_EVENTS)
		exchange_report_survival(exchange);
	if (exchange->send_events == 1)
		exchange_check_prompt(exchange);
}

/* Passes the event on that was held back, which is no fault. */
static void
pass_held(struct exchange *exchange)
{
	event_position_learn_begin(
	    &exchange->position, &exchange->route->numbering);
	count_event(exchange);
	pass_event(exchange, exchange->held->data, exchange->held->len);
	g_byte_array_set_size(exchange->held, 0);
}

/* The event that was held back is not passed on: fails the send. */
static void
reject_held(struct exchange *exchange)
{
	event_position_reject_held(&exchange->position, false);
	exchange->send_outcome = SEND_FAILED;
	exchange->send_error = ERROR_IN_DOUBT;
}

/* Handles an event that is in its place, or in doubt. */
static void
add_event(struct exchange *exchange, const struct stream_event *event)
{
	const struct event_numbering *numbering = &exchange->route->numbering;
	const struct event_mark mark = {
	    .has_id = event->has_id,
	    .id = event->id,
	    .is_malformed = event->is_malformed,
	    .hash = XXH3_64bits(event->bytes, event->length),
	};

	if (exchange->position.held_doubt != EVENT_SURE) {
		if (!event_position_accept_held(
			&exchange->position, numbering, &mark)) {
			reject_held(exchange);
			return;
		}
		pass_held(exchange);
	}
	switch (event_position_add(&exchange->position, numbering, &mark)) {
	case EVENT_NEW:
		count_event(exchange);
		pass_event(exchange, event->bytes, event->length);
		break;
	case EVENT_REPEATED:
		count_event(exchange);
		break;
	case EVENT_HELD:
		count_doubt(exchange, event->length);
		g_byte_array_append(
		    exchange->held, event->bytes, (guint)event->length);
		break;
	case EVENT_MISPLACED:
		exchange->send_outcome = SEND_FAILED;
		exchange->send_error = "the upstream does not repeat the last "
				       "event";
		break;
	}
}

/*
 * Handles a complete event, unless the send has failed. Comments are passed on,
 * but those before the first event of a run that continues the stream. Those
 * after an event that is held back wait for it.
 */
static void
forward_event(void *data, const struct stream_event *event)
{
	struct exchange *exchange = data;

	if (exchange->send_outcome == SEND_FAILED)
		return;
	if (!event->is_blank) {
		add_event(exchange, event);
		return;
	}
	if (exchange->position.held_doubt != EVENT_SURE) {
		if (exchange->held->len >= EVENT_SPLITTER_MAX_BYTES)
			reject_held(exchange);
		g_byte_array_append(
		    exchange->held, event->bytes, (guint)event->length);
		return;
	}
	if (exchange->continues && !exchange->position.has_new)
		return;
	exchange_restart_stall_timer(exchange);
	httpd_stream_write(exchange->http, event->bytes, event->length);
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

/*
 * Handles a part of the response body; pauses the call if the caller is slow.
 */
static bool
on_upstream_chunk(void *data, const uint8_t *bytes, size_t length)
{
	struct exchange *exchange = data;

	if (!exchange->is_event_stream) {
		append_part(exchange, bytes, length);
	} else if (!event_splitter_feed(&exchange->splitter, bytes, length,
		       forward_event, exchange)) {
		exchange->send_outcome = SEND_LOST;
		exchange->send_error = "the upstream sent an event without end";
		return false;
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

	/* The upstream may have died in an unframed response. */
	if (exchange->send_events < PART_QUARANTINE_SURVIVED_EVENTS &&
	    exchange->response.framed)
		exchange_report_survival(exchange);
	else if (exchange->send_events < PART_QUARANTINE_SURVIVED_EVENTS)
		exchange_check_death(exchange);
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

	if (!exchange->is_event_stream)
		return false;
	return event_splitter_is_in_event(&exchange->splitter) ||
	    (exchange->continues && !exchange->position.has_new &&
		!is_end_agreed) ||
	    (!exchange->response.framed && exchange->send_events == 0 &&
		!exchange->position.has_last);
}

/*
 * The response has ended without an error. Returns whether an event that is
 * held back, if any, is no fault. One without frames may have broken off there.
 */
static bool
end_held(struct exchange *exchange)
{
	bool in_event = event_splitter_is_in_event(&exchange->splitter);

	if (exchange->position.held_doubt == EVENT_SURE)
		return true;
	if (!in_event &&
	    event_position_accept_held_at_end(
		&exchange->position, &exchange->route->numbering)) {
		pass_held(exchange);
		return true;
	}
	event_position_reject_held(&exchange->position, !in_event);
	exchange->send_error = ERROR_IN_DOUBT;
	if (exchange->response.framed)
		exchange->send_outcome = SEND_FAILED;
	return false;
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
		is_cut = !end_held(exchange) || is_cut_stream(exchange);
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
