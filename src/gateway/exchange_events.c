/*
 * Events of a stream: passes on those that are sure, holds back those in doubt,
 * and counts what they say of the upstream.
 */
#include <xxhash.h>

#include "base/metrics.h"
#include "gateway/exchange_internal.h"
#include "policy/part_quarantine.h"

#define LOG_MODULE "events"
#include "base/log.h"

#define ERROR_IN_DOUBT "the upstream sent an event that is in doubt"

METRIC_DEFINE(events_in_doubt, METRIC_COUNTER,
    "heatherturn_gateway_events_in_doubt", NULL,
    "Events of streams that were held back, since they may not be of the run.");

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

/*
 * Logs what became of the event held back; next is the one after it, NULL for
 * the end.
 */
static void
log_decision(const struct exchange *exchange, const struct event_mark *held,
    const struct event_mark *next, bool accepted)
{
	LOG_INFO("event in doubt decided",
	    "{s:s?, s:s, s:b, s:b, s:b, s:I, s:I}", "request",
	    exchange->caller_headers.request_id, "upstream",
	    exchange->upstream->id, "accepted", accepted, "resumable",
	    exchange->position.resumable, "at_end", next == NULL, "id",
	    held->has_id ? (json_int_t)held->id : -1, "next_id",
	    next != NULL && next->has_id ? (json_int_t)next->id : -1);
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
		exchange_report_begin_survival(exchange);
	if (exchange->send_events == 1) {
		reservations_set_used(exchange->reservations);
		exchange_check_prompt(exchange);
	}
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
	const struct event_mark held = exchange->position.held;
	const struct event_mark mark = {
	    .has_id = event->has_id,
	    .id = event->id,
	    .is_malformed = event->is_malformed,
	    .hash = XXH3_64bits(event->bytes, event->length),
	};
	bool accepted;

	if (exchange->position.held_doubt != EVENT_SURE) {
		accepted = event_position_accept_held(
		    &exchange->position, numbering, &mark);
		log_decision(exchange, &held, &mark, accepted);
		if (!accepted) {
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
void
exchange_forward_event(void *data, const struct stream_event *event)
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

/*
 * The response has ended without an error. Returns whether an event that is
 * held back, if any, is no fault. One without frames may have broken off there.
 */
bool
exchange_end_held(struct exchange *exchange)
{
	const struct event_mark held = exchange->position.held;
	bool in_event = event_splitter_is_in_event(&exchange->splitter);
	bool accepted;

	if (exchange->position.held_doubt == EVENT_SURE)
		return true;
	accepted = !in_event &&
	    event_position_accept_held_at_end(
		&exchange->position, &exchange->route->numbering);
	log_decision(exchange, &held, NULL, accepted);
	if (accepted) {
		pass_held(exchange);
		return true;
	}
	event_position_reject_held(&exchange->position, !in_event);
	exchange->send_error = ERROR_IN_DOUBT;
	if (exchange->response.framed)
		exchange->send_outcome = SEND_FAILED;
	return false;
}
