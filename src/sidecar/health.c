#include "sidecar/health.h"

#include <string.h>

#include "base/metrics.h"

#define LOG_MODULE "health"
#include "base/log.h"

/* Consecutive polls without a response after which an upstream is down. */
#define FAILED_POLLS_MAX 2
/* Longest time that the engine may keep a cache event poll open. */
#define CACHE_WAIT_MS 10000
/* Delay after a failed or empty cache event poll. */
#define CACHE_RETRY_MS 1000

METRIC_DEFINE(metric_up, METRIC_GAUGE, "heatherturn_sidecar_upstream_up", NULL,
    "1 while the upstream responds to status polls.");
METRIC_DEFINE(metric_queued, METRIC_GAUGE, "heatherturn_sidecar_queued", NULL,
    "Queued requests.");
METRIC_DEFINE(metric_running, METRIC_GAUGE, "heatherturn_sidecar_running", NULL,
    "Requests running at the upstream.");
METRIC_DEFINE(metric_bytes, METRIC_GAUGE, "heatherturn_sidecar_answer_bytes",
    NULL, "Bytes of buffered responses.");

struct health {
	struct ev_loop *loop;
	struct upstream *upstream;
	struct runs *runs;
	health_status_fn *on_good_status;
	void *data;
	ev_timer status_timer;
	ev_timer list_timer;
	ev_timer cache_timer;
	bool status_in_flight; /* a response is pending */
	bool up;
	unsigned int failed_polls; /* consecutive */
	uint64_t start_count;
	uint64_t cache_after;
	bool has_listed_runs;
	bool has_listed_blocks;
};

/* Updates the gauges of this sidecar's runs. */
static void
set_gauges(const struct health *health)
{
	struct runs_stats stats;

	runs_stats(health->runs, &stats);
	metric_set(&metric_up, health->up);
	metric_set(&metric_queued, (int64_t)stats.queued);
	metric_set(&metric_running, (int64_t)stats.running);
	metric_set(&metric_bytes, (int64_t)stats.bytes);
}

/* Logs a change between up and down. */
static void
set_reachable(struct health *health, bool up, const char *why)
{
	if (health->up == up)
		return;
	health->up = up;
	LOG_WARN(
	    up ? "upstream answers" : "upstream is down", "{s:s}", "why", why);
}

/*
 * Handles a failed status poll: a refused connection counts as down at once,
 * other failures only after FAILED_POLLS_MAX polls.
 */
static void
on_status_failed(struct health *health, const GError *error)
{
	health->failed_polls++;
	if (error->code != UPSTREAM_ERROR_DIED &&
	    health->failed_polls < FAILED_POLLS_MAX)
		return;
	set_reachable(health, false, error->message);
	runs_update_status(health->runs, NULL, error);
}

/* Handles the end of a status poll. */
static void
on_status(void *data, const struct upstream_status *status, const GError *error)
{
	struct health *health = data;

	health->status_in_flight = false;
	if (status == NULL) {
		on_status_failed(health, error);
		set_gauges(health);
		return;
	}
	health->failed_polls = 0;
	if (status->start_count != health->start_count)
		health->cache_after = 0;
	health->start_count = status->start_count;
	set_reachable(health, true, "status poll succeeded");
	runs_update_status(health->runs, status, NULL);
	health->on_good_status(health->data, status);
	set_gauges(health);
}

/* Polls the status, unless the last poll is still pending. */
static void
on_status_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct health *health = w->data;

	if (health->status_in_flight)
		return;
	health->status_in_flight = true;
	health->upstream->ops->status(health->upstream, on_status, health);
}

/* Handles the list of the engine's runs. */
static void
on_runs_listed(void *data, const struct upstream_item *items, size_t count,
    const GError *error)
{
	struct health *health = data;

	if (error != NULL)
		return;
	runs_check_listed_runs(health->runs, items, count);
	health->has_listed_runs = true;
}

/* Handles the list of the engine's blocks. */
static void
on_blocks_listed(void *data, const struct upstream_item *items, size_t count,
    const GError *error)
{
	struct health *health = data;

	if (error != NULL)
		return;
	runs_check_listed_blocks(health->runs, items, count);
	health->has_listed_blocks = true;
}

/* Requests the lists of the engine's runs and blocks. */
static void
on_list_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct health *health = w->data;
	const struct upstream_ops *ops = health->upstream->ops;

	ops->list_runs(health->upstream, on_runs_listed, health);
	ops->list_blocks(health->upstream, on_blocks_listed, health);
}

/* Applies cache events and schedules the next poll. */
static void
on_cache_events(void *data, const struct upstream_cache_event *events,
    size_t count, uint64_t next, const GError *error)
{
	struct health *health = data;

	if (error == NULL) {
		runs_apply_cache_events(health->runs, events, count);
		if (count > 0)
			health->cache_after = events[count - 1].sequence;
	}
	ev_timer_set(&health->cache_timer,
	    error == NULL && count > 0 ? 0.0 : CACHE_RETRY_MS / 1000.0, 0.0);
	ev_timer_start(health->loop, &health->cache_timer);
}

/* Starts a long poll for cache events. */
static void
on_cache_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct health *health = w->data;

	health->upstream->ops->cache_events(health->upstream,
	    health->cache_after, CACHE_WAIT_MS, on_cache_events, health);
}

/* Starts monitoring; on_good_status is called with each status report. */
struct health *
health_new(struct ev_loop *loop, struct upstream *upstream, struct runs *runs,
    health_status_fn *on_good_status, void *data)
{
	struct health *health = g_new0(struct health, 1);

	health->loop = loop;
	health->upstream = upstream;
	health->runs = runs;
	health->on_good_status = on_good_status;
	health->data = data;
	ev_timer_init(&health->status_timer, on_status_timer, 0.0,
	    HEALTH_STATUS_INTERVAL_MS / 1000.0);
	ev_timer_init(&health->list_timer, on_list_timer, 0.0,
	    HEALTH_LIST_INTERVAL_MS / 1000.0);
	ev_timer_init(&health->cache_timer, on_cache_timer, 0.0, 0.0);
	health->status_timer.data = health;
	health->list_timer.data = health;
	health->cache_timer.data = health;
	ev_timer_start(loop, &health->status_timer);
	if (!upstream_has_runs(upstream))
		return health;
	ev_timer_start(loop, &health->list_timer);
	ev_timer_start(loop, &health->cache_timer);
	return health;
}

/* Stops monitoring; called after the upstream is freed. NULL is allowed. */
void
health_free(struct health *health)
{
	if (health == NULL)
		return;
	ev_timer_stop(health->loop, &health->status_timer);
	ev_timer_stop(health->loop, &health->list_timer);
	ev_timer_stop(health->loop, &health->cache_timer);
	g_free(health);
}

/* Returns whether the upstream responds to status polls. */
bool
health_is_up(const struct health *health)
{
	return health->up;
}

/*
 * Returns whether the engine's runs and blocks, which an earlier process may
 * have left, have been listed at least once. Always true for plain services.
 */
bool
health_has_listed(const struct health *health)
{
	return !upstream_has_runs(health->upstream) ||
	    (health->has_listed_runs && health->has_listed_blocks);
}
