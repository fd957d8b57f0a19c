#include "base/metrics.h"
#include "gateway/exchange_internal.h"

#define LOG_MODULE "retry"
#include "base/log.h"

/*
 * Callers leave a stream that pauses for the longest of two seconds, four times
 * its target and eight times its pause; this much of it is waited for.
 */
#define PATIENCE_MIN_MS	 2000
#define PATIENCE_TARGETS 4
#define PATIENCE_GAPS	 8
#define PATIENCE_PERCENT 65
/* A send with less time than this left is not worth a worker's while. */
#define SEND_LEFT_MIN_MS 20

METRIC_DEFINE(repeats_count, METRIC_COUNTER, "heatherturn_gateway_repeats",
    NULL, "Sends beyond a request's first.");
METRIC_DEFINE(repeats_denied, METRIC_COUNTER,
    "heatherturn_gateway_repeats_denied", NULL,
    "Requests that were not sent once more, by their route or the budget.");

/* Returns the retry window of a request's service. */
struct retry_window *
exchange_retry_window(struct exchange *exchange)
{
	GHashTable *windows = exchange->all->retry_windows;
	const char *service = exchange->profile->name;
	struct retry_window *window = g_hash_table_lookup(windows, service);

	if (window == NULL) {
		window = g_new0(struct retry_window, 1);
		g_hash_table_insert(windows, g_strdup(service), window);
	}
	return window;
}

/* Returns this gateway's part of the limit of repeated sends. */
static struct retry_window_limits
own_limits(const struct exchanges *all)
{
	struct retry_window_limits limits = all->retry;

	limits.slack /= registry_count(all->registry);
	return limits;
}

/* Returns how often the request may be sent at the most. */
size_t
exchange_sends_max(const struct exchange *exchange)
{
	return MIN(exchange->route->attempts, EXCHANGE_SENDS_MAX);
}

/*
 * Says whether the request may be sent to one more upstream after so many
 * sends. Repeat says that it may have run before, so that only one that may run
 * twice is sent.
 */
bool
exchange_may_repeat(struct exchange *exchange, size_t sends, bool repeat)
{
	struct retry_window_limits limits = own_limits(exchange->all);

	if (repeat && !route_may_repeat(exchange->route))
		return false;
	if (sends >= exchange_sends_max(exchange) ||
	    exchange->tries >= EXCHANGE_TRIES_MAX ||
	    exchange_left_ms(exchange) < SEND_LEFT_MIN_MS)
		return false;
	return sends == 0 ||
	    retry_window_allows(exchange_retry_window(exchange), &limits,
		clock_monotonic(exchange->all->clock));
}

/* Takes leave to send once more from the budget of repeats. */
static bool
take_repeat(struct exchange *exchange)
{
	struct retry_window_limits limits = own_limits(exchange->all);

	if (!exchange_may_repeat(
		exchange, exchange->sends, exchange->may_have_run)) {
		metric_add(&repeats_denied, 1);
		return false;
	}
	if (exchange->sends == 0)
		return true;
	metric_add(&repeats_count, 1);
	return retry_window_take(exchange_retry_window(exchange), &limits,
	    clock_monotonic(exchange->all->clock));
}

/*
 * Returns how long an upstream may say nothing before another is asked: some of
 * the time after which callers leave, so that the other one still can answer.
 */
static int64_t
patience_ms(const struct exchange *exchange)
{
	const struct route *route = exchange->route;
	int64_t leaves_ms = MAX(PATIENCE_MIN_MS,
	    MAX(route->target_ms * PATIENCE_TARGETS,
		route->gap_target_ms * PATIENCE_GAPS));

	return leaves_ms * PATIENCE_PERCENT / 100;
}

/* Starts the time anew within which an upstream has to say something. */
void
exchange_expect_progress(struct exchange *exchange)
{
	struct ev_loop *loop = exchange->all->loop;

	ev_timer_stop(loop, &exchange->stall);
	if (!route_may_repeat(exchange->route))
		return;
	ev_timer_set(
	    &exchange->stall, (double)patience_ms(exchange) / MS_PER_S, 0.0);
	ev_timer_start(loop, &exchange->stall);
}

/*
 * An upstream has said nothing for too long. It is given up only where another
 * may be asked: its silence is no reason to end an answer.
 */
void
exchange_stalled(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct exchange *exchange = timer->data;

	if (exchange->call == NULL ||
	    !exchange_may_repeat(exchange, exchange->sends + 1, true)) {
		exchange_expect_progress(exchange);
		return;
	}
	http_call_cancel(exchange->call);
	exchange_forget_partial(exchange);
	exchange_send_ended(exchange, SEND_LOST);
	exchange_next(exchange, SEND_LOST, "the upstream said nothing");
}

/*
 * Ends a request that is sent nowhere any more, with what is true of it: a
 * stream that has begun is cut, one that may have run is lost, and only one
 * that did not run is told so, and when to come back.
 */
void
exchange_give_up(struct exchange *exchange, enum refusal not_run,
    int64_t retry_after_ms, const char *why)
{
	if (exchange->begun) {
		httpd_abort(exchange->http);
		exchange_finish(exchange, "broken_off");
	} else if (exchange->may_have_run) {
		exchange_answer_refusal(exchange, REFUSAL_LOST, 0, why);
	} else {
		exchange_answer_refusal(exchange, not_run, retry_after_ms, why);
	}
}

/*
 * Goes on after a send that brought no answer: with another upstream where
 * that is allowed, otherwise with the answer that is true.
 */
void
exchange_next(struct exchange *exchange, enum send_end end, const char *why)
{
	bool repeat = end == SEND_LOST || end == SEND_FAILED;

	LOG_INFO("send ended without answer", "{s:s, s:s, s:b, s:i}", "request",
	    exchange->head.request_id, "why", why, "may_have_run", repeat,
	    "sends", (int)exchange->sends);
	exchange->may_have_run |= repeat;
	if (take_repeat(exchange))
		exchange_send(exchange);
	else
		exchange_give_up(
		    exchange, REFUSAL_NOT_RUN, EXCHANGE_COME_BACK_MS, why);
}
