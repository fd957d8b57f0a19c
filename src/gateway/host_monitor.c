#include "gateway/host_monitor.h"

#include <time.h>

#include "base/loop_monitor.h"
#include "base/metrics.h"
#include "gateway/exchange_internal.h"

#define LOG_MODULE "host"
#include "base/log.h"

/* Interval of the timer whose delay is measured. */
#define TICK_MS 100
/* Interval over which processor time is measured. */
#define CPU_PERIOD_MS 1000
/* Weight of one tick in the mean delay, which follows about a second. */
#define DELAY_WEIGHT 0.2
/*
 * Receive buffer of an upstream's connection: four times what passes in a round
 * trip of 7 ms on the slowest link (20 Mbit/s).
 */
#define RECEIVE_BUFFER_BYTES (64 * 1024)
/* A rejected caller usually reaches another gateway. */
#define RETRY_AFTER_MS 50

struct host_monitor {
	struct ev_loop *loop;
	struct clock *clock;
	struct host_limits limits;
	const struct httpd *callers;
	struct exchange_context *context;
	struct ev_timer tick;
	struct timespec armed_at;
	struct timespec cpu_since; /* beginning of the period */
	int64_t cpu_before_us; /* used until then */
	double cpu_share; /* used in the last period */
	double delay_ms;
	size_t response_bytes; /* buffered before they are passed on */
	bool closes_connections;
};

METRIC_DEFINE(cpu_permille, METRIC_GAUGE, "heatherturn_host_cpu_permille", NULL,
    "Processor time used in the last second, in thousandths of a core.");
METRIC_DEFINE(delay_us, METRIC_GAUGE, "heatherturn_host_delay_us", NULL,
    "Mean delay of timers.");
METRIC_DEFINE(buffered, METRIC_GAUGE, "heatherturn_host_buffered_bytes", NULL,
    "Bytes of requests and responses that are buffered.");
METRIC_DEFINE(refused, METRIC_COUNTER, "heatherturn_host_refusals", NULL,
    "Requests rejected because this host could not serve them in time.");
METRIC_DEFINE(cut, METRIC_COUNTER, "heatherturn_host_callers_cut", NULL,
    "Callers disconnected because they read nothing.");
METRIC_DEFINE(closed, METRIC_COUNTER, "heatherturn_host_connections_closed",
    NULL, "Responses that closed a connection as this host was short.");

/* Returns what is used at this moment. */
static struct host_use
current_use(const struct host_monitor *monitor)
{
	struct httpd_stats stats;

	httpd_stats(monitor->callers, &stats);
	return (struct host_use){
	    .cpu_share = monitor->cpu_share,
	    .delay_ms = monitor->delay_ms,
	    .open_requests = stats.open_requests,
	    .buffered_bytes = stats.body_bytes + stats.stream_bytes +
		monitor->response_bytes,
	    .queued_bytes = stats.stream_bytes,
	};
}

/* Returns the processor time of this process in microseconds. */
static int64_t
cpu_us(void)
{
	struct timespec used;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
	return (int64_t)used.tv_sec * US_PER_S + used.tv_nsec / NS_PER_US;
}

/* Ends a period of measured processor time. */
static void
measure_cpu(struct host_monitor *monitor, struct timespec now)
{
	int64_t took_us = time_diff_us(now, monitor->cpu_since);
	int64_t used_us;

	if (took_us < CPU_PERIOD_MS * US_PER_MS)
		return;
	used_us = cpu_us();
	monitor->cpu_share = (double)(used_us - monitor->cpu_before_us) /
	    (double)took_us;
	monitor->cpu_since = now;
	monitor->cpu_before_us = used_us;
	metric_set(&cpu_permille, (int64_t)(monitor->cpu_share * 1000.0));
}

/* Adds the delay of this tick to the mean. */
static void
measure_delay(struct host_monitor *monitor, struct timespec now)
{
	double late_ms = (double)time_diff_us(now, monitor->armed_at) /
		US_PER_MS -
	    TICK_MS;

	monitor->delay_ms += (MAX(late_ms, 0.0) - monitor->delay_ms) *
	    DELAY_WEIGHT;
	metric_set(&delay_us, (int64_t)(monitor->delay_ms * US_PER_MS));
}

/*
 * Returns how long a caller has read nothing of what waits for it. The HTTP
 * server may hold the last part of what it was given, so that nothing is
 * pending here while the upstream is still paused.
 */
static int64_t
unread_ms(struct exchange *exchange, struct timespec now)
{
	uint64_t taken = httpd_stream_taken(exchange->http);

	if (!time_is_set(exchange->taken_at) ||
	    taken != exchange->taken_bytes ||
	    (httpd_stream_pending(exchange->http) == 0 && !exchange->paused)) {
		exchange->taken_bytes = taken;
		exchange->taken_at = now;
	}
	return time_diff_ms(now, exchange->taken_at);
}

/* Disconnects a caller that reads nothing. */
static void
disconnect(struct exchange *exchange, const struct host_reader *reader)
{
	metric_add(&cut, 1);
	LOG_WARN("caller disconnected as it reads nothing",
	    "{s:s?, s:I, s:I, s:I}", "request",
	    exchange->caller_headers.request_id, "unread_ms",
	    (json_int_t)reader->unread_ms, "gap_limit_ms",
	    (json_int_t)reader->gap_ms, "buffered_bytes",
	    (json_int_t)httpd_stream_pending(exchange->http));
	exchange_stop_send(exchange);
	httpd_abort(exchange->http);
	exchange_finish(exchange, "caller_reads_nothing");
}

/* Checks the callers with unread bytes, and counts buffered responses. */
static void
check_callers(struct host_monitor *monitor, struct timespec now)
{
	const struct host_use use = current_use(monitor);
	struct exchange *exchange, *next;

	monitor->response_bytes = 0;
	TAILQ_FOREACH_SAFE (
	    exchange, &monitor->context->exchanges, entry, next) {
		struct host_reader reader;

		if (exchange->body != NULL)
			monitor->response_bytes += exchange->body->len;
		if (!exchange->streaming || exchange->finished)
			continue;
		reader = (struct host_reader){
		    .unread_ms = unread_ms(exchange, now),
		    .gap_ms = exchange->route->gap_target_ms,
		    .is_paused = exchange->paused,
		};
		if (host_capacity_disconnects(&monitor->limits, &use, &reader))
			disconnect(exchange, &reader);
	}
}

/* Decides whether connections are closed, and logs each change. */
static void
decide_closing(struct host_monitor *monitor)
{
	const struct host_use use = current_use(monitor);
	bool closes = host_capacity_closes_connections(
	    &monitor->limits, &use, monitor->closes_connections);

	metric_set(&buffered, (int64_t)use.buffered_bytes);
	if (closes == monitor->closes_connections)
		return;
	monitor->closes_connections = closes;
	LOG_INFO(closes ? "host is short: connections are closed"
			: "host has room: connections are kept",
	    "{s:f, s:f, s:i, s:I, s:I}", "cpu_share", use.cpu_share, "delay_ms",
	    use.delay_ms, "open_requests", (int)use.open_requests,
	    "buffered_bytes", (json_int_t)use.buffered_bytes, "queued_bytes",
	    (json_int_t)use.queued_bytes);
}

/* Starts the timer for the next tick. */
static void
arm(struct host_monitor *monitor)
{
	ev_now_update(monitor->loop);
	monitor->armed_at = clock_monotonic(monitor->clock);
	ev_timer_set(&monitor->tick, (double)TICK_MS / MS_PER_S, 0.0);
	ev_timer_start(monitor->loop, &monitor->tick);
}

/* Measures the use, and applies what follows from it. */
static void
on_tick(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct host_monitor *monitor = timer->data;
	struct timespec now = clock_monotonic(monitor->clock);

	measure_delay(monitor, now);
	measure_cpu(monitor, now);
	check_callers(monitor, now);
	decide_closing(monitor);
	arm(monitor);
}

/*
 * Starts to measure; NULL if no limit is known. The timer has the callers'
 * priority, so that its delay is theirs.
 */
struct host_monitor *
host_monitor_new(struct ev_loop *loop, struct clock *clock,
    const struct host_limits *limits, const struct httpd *callers,
    struct exchange_context *context)
{
	struct host_monitor *monitor;

	if (!host_limits_are_known(limits))
		return NULL;
	monitor = g_new0(struct host_monitor, 1);
	monitor->loop = loop;
	monitor->clock = clock;
	monitor->limits = *limits;
	monitor->callers = callers;
	monitor->context = context;
	monitor->cpu_since = clock_monotonic(clock);
	monitor->cpu_before_us = cpu_us();
	ev_init(&monitor->tick, on_tick);
	ev_set_priority(&monitor->tick, LOOP_PRIORITY_CALLER);
	monitor->tick.data = monitor;
	arm(monitor);
	return monitor;
}

/* Stops measuring; NULL is allowed. */
void
host_monitor_free(struct host_monitor *monitor)
{
	if (monitor == NULL)
		return;
	ev_timer_stop(monitor->loop, &monitor->tick);
	g_free(monitor);
}

/* Returns how many bytes may be buffered for one caller. */
size_t
host_monitor_buffer_max(struct host_monitor *monitor, size_t default_bytes)
{
	struct host_use use;

	if (monitor == NULL)
		return default_bytes;
	use = current_use(monitor);
	return host_capacity_buffer_max(&monitor->limits, &use, default_bytes);
}

/* Returns the receive buffer of upstreams' connections; 0 for the default. */
int
host_monitor_receive_buffer(const struct host_monitor *monitor)
{
	return monitor != NULL && monitor->limits.memory_mb > 0
	    ? RECEIVE_BUFFER_BYTES
	    : 0;
}

/* Returns what this host lacks to serve a new request in time. */
enum host_shortage
host_monitor_check_request(struct host_monitor *monitor, double target_ms)
{
	struct host_use use;

	if (monitor == NULL)
		return HOST_SHORTAGE_NONE;
	use = current_use(monitor);
	return host_capacity_check_request(&monitor->limits, &use, target_ms);
}

/* Returns whether responses close their connections. */
bool
host_monitor_closes_connections(const struct host_monitor *monitor)
{
	return monitor != NULL && monitor->closes_connections;
}

/*
 * Rejects a request that this host can't serve in time; otherwise its response
 * closes the connection if the host is short. Returns whether it is rejected.
 */
bool
exchange_reject_if_host_short(struct exchange *exchange)
{
	struct host_monitor *monitor = exchange->context->host;
	g_autofree char *why = NULL;
	enum host_shortage shortage;

	if (host_monitor_closes_connections(monitor)) {
		metric_add(&closed, 1);
		httpd_close_after(exchange->http);
	}
	shortage = host_monitor_check_request(
	    monitor, (double)exchange->route->target_ms);
	if (shortage == HOST_SHORTAGE_NONE)
		return false;
	metric_add(&refused, 1);
	httpd_close_after(exchange->http);
	why = g_strdup_printf("this gateway can't serve the request in time: "
			      "its host is short of %s",
	    host_shortage_name(shortage));
	exchange_refuse(exchange, REFUSAL_OVERLOADED, RETRY_AFTER_MS, why);
	return true;
}
