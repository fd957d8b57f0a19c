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
	VERDICT_FOREIGN, /* not the answer to this request */
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
	const struct response_headers *answer = &exchange->answer;
	bool success = status >= STATUS_OK && status < STATUS_MULTIPLE;

	if (answer->not_run)
		return VERDICT_NOT_RUN;
	if (!answer->request_id_matches || (success && !answer->has_signature))
		return VERDICT_FOREIGN;
	if (exchange->begun && (!success || !answer->event_stream))
		return VERDICT_FAILED;
	if (status >= STATUS_SERVER_MIN &&
	    exchange_may_repeat(exchange, exchange->sends + 1, true))
		return VERDICT_FAILED;
	return VERDICT_PASS;
}

/* Keeps the head of the answer that goes to the caller. */
static void
keep_head(struct exchange *exchange, struct http_call *call, int status)
{
	/* Without its own word the upstream may have run the request. */
	bool own = !promises_not_run(status);

	exchange->status = own ? status : STATUS_BAD_GATEWAY;
	if (exchange->headers != NULL)
		g_array_unref(exchange->headers);
	exchange->headers = headers_build_caller(call, own);
}

/* Begins to pass a streamed answer on. */
static void
begin_stream(struct exchange *exchange)
{
	const struct http_header *headers = (const struct http_header *)(void *)
						exchange->headers->data;

	exchange->begun = true;
	exchange->events = exchange->answer.event_stream &&
	    exchange->status == STATUS_OK;
	if (exchange->answer.has_length && !exchange->events)
		httpd_stream_begin_sized(exchange->http, exchange->status,
		    headers, exchange->headers->len, exchange->answer.length);
	else
		httpd_stream_begin(exchange->http, exchange->status, headers,
		    exchange->headers->len);
}

/* The head of an answer has come. */
static bool
take_head(void *data, struct http_call *call, int status)
{
	struct exchange *exchange = data;

	headers_parse_response(
	    call, status, exchange->head.request_id, &exchange->answer);
	switch (classify(exchange, status)) {
	case VERDICT_NOT_RUN:
		exchange->send_end = SEND_NOT_RUN;
		exchange->send_why = exchange->answer.wrong_instance
		    ? "another upstream has the address"
		    : "the upstream turned it away";
		exchange_blame(exchange, exchange->answer.faulty_upstream);
		return false;
	case VERDICT_FAILED:
		exchange->send_end = SEND_FAILED;
		exchange->send_why = "the upstream failed";
		return false;
	case VERDICT_FOREIGN:
		exchange->send_end = SEND_LOST;
		exchange->send_why = "the answer is not to this request";
		return false;
	case VERDICT_PASS:
		break;
	}
	exchange->send_end = SEND_ANSWERED;
	if (exchange->begun)
		return true;
	keep_head(exchange, call, status);
	if (exchange->answer.event_stream && status == STATUS_OK)
		begin_stream(exchange);
	else
		exchange->body = g_byte_array_new();
	return true;
}

/* Notes when an event came, and how long after the one before. */
static void
note_event_time(struct exchange *exchange)
{
	struct timespec now = clock_monotonic(exchange->all->clock);

	if (!time_is_set(exchange->first_event_at))
		exchange->first_event_at = now;
	else
		exchange->longest_pause_ms = MAX(exchange->longest_pause_ms,
		    time_diff_ms(now, exchange->last_event_at));
	exchange->last_event_at = now;
}

/* Passes one whole event on, unless the caller has it already. */
static void
pass_event(
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
	exchange_expect_progress(exchange);
	exchange_prompt_read(exchange);
	httpd_stream_write(exchange->http, bytes, length);
}

/* Takes a part of an answer that is read whole first, if it is short. */
static void
take_part(struct exchange *exchange, const uint8_t *bytes, size_t length)
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
take_chunk(void *data, const uint8_t *bytes, size_t length)
{
	struct exchange *exchange = data;

	if (exchange->events)
		event_cut_feed(
		    &exchange->cut, bytes, length, pass_event, exchange);
	else
		take_part(exchange, bytes, length);
	if (exchange->begun &&
	    httpd_stream_pending(exchange->http) > STREAM_PENDING_MAX_BYTES)
		http_call_pause(exchange->call);
	return true;
}

/* Ends an answer that came whole. */
static void
end_answer(struct exchange *exchange)
{
	const struct http_header *headers;

	exchange_send_ended(exchange,
	    exchange->status >= STATUS_SERVER_MIN ? SEND_FAILED
						  : SEND_ANSWERED);
	ev_timer_stop(exchange->all->loop, &exchange->timer);
	if (exchange->begun) {
		httpd_stream_end(exchange->http);
		return;
	}
	headers = (const struct http_header *)(void *)exchange->headers->data;
	httpd_respond(exchange->http, exchange->status, headers,
	    exchange->headers->len, exchange->body->data, exchange->body->len);
}

/* Drops what came of an answer that will not be whole. */
void
exchange_forget_partial(struct exchange *exchange)
{
	event_cut_restart(&exchange->cut);
	if (exchange->body != NULL)
		g_byte_array_unref(exchange->body);
	exchange->body = NULL;
}

/* Says how a send ended that brought no whole answer. */
static enum send_end
broken_end(const struct exchange *exchange, const struct http_result *result)
{
	switch (exchange->send_end) {
	case SEND_NOT_RUN:
	case SEND_FAILED:
		return exchange->send_end;
	default:
		return result->sent ? SEND_LOST : SEND_NEVER;
	}
}

/* A send has ended. */
static void
take_done(void *data, struct http_call *call, const struct http_result *result)
{
	struct exchange *exchange = data;
	bool half_event = exchange->events && exchange->cut.held->len > 0;
	const char *why = "the answer ended inside an event";
	enum send_end end;

	if (result->error == NULL && exchange->send_end == SEND_ANSWERED &&
	    !half_event) {
		end_answer(exchange);
		return;
	}
	end = broken_end(exchange, result);
	exchange->broke = result->error != NULL &&
	    result->error->code == HTTP_CLIENT_ERROR_DISCONNECTED;
	exchange_forget_partial(exchange);
	exchange_send_ended(exchange, end);
	if (exchange->begun && !exchange->events) {
		httpd_abort(exchange->http);
		exchange_finish(exchange, "broken_off");
		return;
	}
	if (exchange->send_why != NULL)
		why = exchange->send_why;
	else if (result->error != NULL)
		why = result->error->message;
	exchange_next(exchange, end, why);
}

const struct http_call_ops exchange_call_ops = {
    .head = take_head,
    .chunk = take_chunk,
    .done = take_done,
};
