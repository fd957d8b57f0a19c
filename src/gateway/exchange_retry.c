#include "base/metrics.h"
#include "gateway/exchange_internal.h"
#include "gateway/exchange_selection.h"
#include "policy/caller_time.h"

#define LOG_MODULE "retry"
#include "base/log.h"

/* With less time left, another send could not complete in time. */
#define SEND_REMAINING_MIN_MS 20

METRIC_DEFINE(retries_denied_count, METRIC_COUNTER,
    "heatherturn_gateway_repeats_denied", NULL,
    "Requests not sent again because of their route, deadline or budget.");
/* Returns the maximum number of sends of the request. */
size_t
exchange_sends_max(const struct exchange *exchange)
{
	return MIN(exchange->route->attempts, EXCHANGE_SENDS_MAX);
}

/*
 * Returns how many of the route's attempts this number of sends has used up. A
 * rejection is no run: it uses up none of a request that may have run, whose
 * caller can't come back with it as with one that is refused.
 */
size_t
exchange_used_attempts(
    const struct exchange *exchange, size_t sends, bool may_have_run)
{
	return may_have_run ? sends - exchange->rejections : sends;
}

/*
 * Returns whether the request may be sent again after this number of sends as
 * far as its route and deadline go. If it may have been executed, its route
 * must allow that; a stream that has begun must have a place to continue at.
 */
static bool
may_retry_by_route(
    const struct exchange *exchange, size_t sends, bool may_have_run)
{
	if (may_have_run && !route_is_repeatable(exchange->route))
		return false;
	if (exchange->streaming &&
	    (!exchange->is_event_stream ||
		!event_position_can_resume(&exchange->position)))
		return false;
	return exchange_used_attempts(exchange, sends, may_have_run) <
	    exchange_sends_max(exchange) &&
	    exchange->tries < EXCHANGE_TRIES_MAX &&
	    exchange_remaining_ms(exchange) >= SEND_REMAINING_MIN_MS;
}

/*
 * Returns whether the request may be sent again after this number of sends, by
 * its route, its deadline and the budget.
 */
bool
exchange_may_retry(struct exchange *exchange, size_t sends, bool may_have_run)
{
	if (!may_retry_by_route(exchange, sends, may_have_run))
		return false;
	return sends == 0 ||
	    retry_sync_allows(exchange->context->retry_sync,
		exchange->profile->name, exchange->caller_headers.request_id,
		sends);
}

/*
 * Takes one retry from the budget; false if the request may not be sent again.
 */
static bool
consume_retry(struct exchange *exchange)
{
	bool allowed = may_retry_by_route(
	    exchange, exchange->sends, exchange->may_have_run);

	if (allowed && exchange->sends > 0)
		allowed = retry_sync_take(exchange->context->retry_sync,
		    exchange->profile->name,
		    exchange->caller_headers.request_id, exchange->sends);
	if (!allowed)
		metric_add(&retries_denied_count, 1);
	return allowed;
}

/* Returns after how much silence callers abandon a stream, in milliseconds. */
static int64_t
caller_timeout_ms(const struct exchange *exchange)
{
	return (int64_t)caller_time_stream_ms(
	    (double)exchange->route->target_ms,
	    (double)exchange->route->gap_target_ms);
}

/*
 * Returns how long an upstream may be silent, in milliseconds, before the
 * request is sent to another one.
 */
static int64_t
stall_timeout_ms(const struct exchange *exchange)
{
	return (int64_t)caller_time_stall_ms((double)exchange->route->target_ms,
	    (double)exchange->route->gap_target_ms,
	    (double)exchange_remaining_ms(exchange));
}

/*
 * Returns whether a stream that has begun may wait for an upstream that can go
 * on with it: as long as its caller does, and has time for the rest.
 */
bool
exchange_may_wait_to_resume(const struct exchange *exchange)
{
	struct timespec since = time_is_set(exchange->last_event_at)
	    ? exchange->last_event_at
	    : exchange->arrived;

	return exchange->is_event_stream &&
	    exchange_remaining_ms(exchange) >= SEND_REMAINING_MIN_MS &&
	    time_diff_ms(clock_monotonic(exchange->context->clock), since) <
	    caller_timeout_ms(exchange);
}

/* Starts the timeout for an upstream's next data. */
static void
start_stall_timer(struct exchange *exchange, int64_t timeout_ms)
{
	ev_timer_set(
	    &exchange->stall_timer, (double)timeout_ms / MS_PER_S, 0.0);
	ev_timer_start(exchange->context->loop, &exchange->stall_timer);
}

/* Restarts the timeout for an upstream's next data. */
void
exchange_restart_stall_timer(struct exchange *exchange)
{
	ev_timer_stop(exchange->context->loop, &exchange->stall_timer);
	if (route_is_repeatable(exchange->route))
		start_stall_timer(exchange, stall_timeout_ms(exchange));
}

/*
 * Cancels the send if the request may be sent to another upstream; otherwise
 * continues to wait, since silence alone is no reason to end the response. An
 * upstream that is not read, since the caller is slow, is not silent. One
 * that has begun stays while each other upstream may reject it.
 */
void
exchange_on_stall_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct exchange *exchange = timer->data;

	if (exchange->call == NULL || exchange->paused ||
	    !exchange_may_retry(exchange, exchange->sends + 1, true)) {
		exchange_restart_stall_timer(exchange);
		return;
	}
	if (exchange->streaming && !exchange_has_reliable_upstream(exchange)) {
		start_stall_timer(exchange, BALANCE_WAIT_INTERVAL_MS);
		return;
	}
	http_call_cancel(exchange->call);
	exchange_discard_partial(exchange);
	exchange_end_send(exchange, SEND_LOST);
	exchange_retry_or_fail(
	    exchange, SEND_LOST, "the upstream sent nothing for too long");
}

/*
 * Ends a request that is not sent again: aborts a stream that has begun,
 * reports the outcome as unknown if the request may have been executed, and
 * otherwise refuses it as not executed, with a time to retry after.
 */
void
exchange_fail(struct exchange *exchange, enum refusal not_run,
    int64_t retry_after_ms, const char *why)
{
	if (exchange->streaming) {
		if (exchange->position.has_doubted)
			event_numbering_add_doubt(&exchange->route->numbering);
		httpd_abort(exchange->http);
		exchange_finish(exchange, "broken_off");
	} else if (exchange->may_have_run) {
		exchange_refuse(exchange, REFUSAL_LOST, 0, why);
	} else {
		exchange_refuse(exchange, not_run, retry_after_ms, why);
	}
}

/*
 * Continues after a send without a response: sends the request again if that is
 * allowed, otherwise fails it. A stream that has begun pauses before it is sent
 * to an upstream that is as likely to reject it.
 */
void
exchange_retry_or_fail(
    struct exchange *exchange, enum send_outcome outcome, const char *why)
{
	bool may_have_run = outcome == SEND_LOST || outcome == SEND_FAILED;

	LOG_INFO("send ended without answer", "{s:s, s:s, s:b, s:i}", "request",
	    exchange->caller_headers.request_id, "why", why, "may_have_run",
	    may_have_run, "sends", (int)exchange->sends);
	exchange->may_have_run |= may_have_run;
	if (!consume_retry(exchange))
		exchange_fail(exchange, REFUSAL_NOT_RUN,
		    exchange_retry_after_ms(exchange), why);
	else if (outcome == SEND_NOT_RUN &&
	    exchange_may_wait_to_resume(exchange) &&
	    !exchange_has_reliable_upstream(exchange))
		exchange_schedule_plan(exchange);
	else
		exchange_send(exchange);
}
