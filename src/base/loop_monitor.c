#include "base/loop_monitor.h"

#include <string.h>

#include "base/metrics.h"

#define LOG_MODULE "loop"
#include "base/log.h"

static const char *const work_names[LOOP_WORKS] = {
    [LOOP_WORK_CALLER] = "caller",
    [LOOP_WORK_UPSTREAM] = "upstream",
    [LOOP_WORK_STORE] = "store",
    [LOOP_WORK_ROUTES] = "routes",
    [LOOP_WORK_LOAD_REPORT] = "load_report",
    [LOOP_WORK_DIGEST] = "digest",
    [LOOP_WORK_LOG] = "log",
    [LOOP_WORK_METRICS] = "metrics",
    [LOOP_WORK_OTHER] = "other",
};

struct loop_monitor {
	struct ev_loop *loop;
	struct clock *clock;
	struct ev_check wake_up;
	struct ev_prepare wait;
	bool running; /* between a wake-up and the next wait */
	struct timespec began_at; /* this iteration */
	struct timespec switched_at; /* to the current work */
	enum loop_work work;
	int64_t spent_us[LOOP_WORKS]; /* in this iteration */
	/* Longest iterations by second and work. */
	int64_t longest_us[LOOP_MONITOR_PERIOD_S][LOOP_WORKS];
	int64_t second; /* that the newest row belongs to */
	int64_t logged_second;
	unsigned int unlogged; /* long iterations since the last line */
};

static struct loop_monitor *current; /* of this process; or NULL */

METRIC_DEFINE(iteration_us, METRIC_HISTOGRAM, "heatherturn_loop_iteration_us",
    NULL, "Time from a wake-up of the event loop to its next wait.");
METRIC_DEFINE(long_iterations, METRIC_COUNTER,
    "heatherturn_loop_long_iterations", NULL,
    "Iterations of the event loop over 50 ms.");

#define LONGEST(work_name)                                                   \
	{                                                                    \
		.kind = METRIC_GAUGE, .name = "heatherturn_loop_longest_us", \
		.labels = "work=\"" work_name "\"",                          \
		.help = "Longest iteration of the event loop in the last "   \
			"60 s, by the work that took most of it."            \
	}

static struct metric longest[LOOP_WORKS] = {
    [LOOP_WORK_CALLER] = LONGEST("caller"),
    [LOOP_WORK_UPSTREAM] = LONGEST("upstream"),
    [LOOP_WORK_STORE] = LONGEST("store"),
    [LOOP_WORK_ROUTES] = LONGEST("routes"),
    [LOOP_WORK_LOAD_REPORT] = LONGEST("load_report"),
    [LOOP_WORK_DIGEST] = LONGEST("digest"),
    [LOOP_WORK_LOG] = LONGEST("log"),
    [LOOP_WORK_METRICS] = LONGEST("metrics"),
    [LOOP_WORK_OTHER] = LONGEST("other"),
};

/* Returns the longest iteration of the period whose largest part was a work. */
static int64_t
longest_of_work(const struct loop_monitor *monitor, enum loop_work work)
{
	int64_t us = 0;

	for (size_t i = 0; i < LOOP_MONITOR_PERIOD_S; i++)
		us = MAX(us, monitor->longest_us[i][work]);
	return us;
}

/* Begins the rows of the seconds that have passed, and sets the gauges. */
static void
advance_seconds(struct loop_monitor *monitor, int64_t second)
{
	int64_t rows = MIN(second - monitor->second, LOOP_MONITOR_PERIOD_S);

	if (rows <= 0)
		return;
	for (int64_t i = 0; i < rows; i++)
		memset(
		    monitor->longest_us[(second - i) % LOOP_MONITOR_PERIOD_S],
		    0, sizeof(monitor->longest_us[0]));
	monitor->second = second;
	for (int i = 0; i < LOOP_WORKS; i++)
		metric_set(
		    &longest[i], longest_of_work(monitor, (enum loop_work)i));
}

/* Returns the work that took the largest part of this iteration. */
static enum loop_work
largest_work(const struct loop_monitor *monitor)
{
	enum loop_work most = LOOP_WORK_OTHER;

	for (int i = 0; i < LOOP_WORKS; i++) {
		if (monitor->spent_us[i] > monitor->spent_us[most])
			most = (enum loop_work)i;
	}
	return most;
}

/* Logs a long iteration, at most one per second. */
static void
log_long(struct loop_monitor *monitor, int64_t took_us, enum loop_work work)
{
	metric_add(&long_iterations, 1);
	if (monitor->second == monitor->logged_second) {
		monitor->unlogged++;
		return;
	}
	monitor->logged_second = monitor->second;
	LOG_WARN("iteration of the event loop was long", "{s:I, s:s, s:I, s:i}",
	    "took_ms", (json_int_t)(took_us / US_PER_MS), "work",
	    work_names[work], "work_ms",
	    (json_int_t)(monitor->spent_us[work] / US_PER_MS),
	    "others_not_logged", (int)monitor->unlogged);
	monitor->unlogged = 0;
}

/* Adds the time since the last switch to the current work. */
static void
charge(struct loop_monitor *monitor, struct timespec now)
{
	monitor->spent_us[monitor->work] += time_diff_us(
	    now, monitor->switched_at);
	monitor->switched_at = now;
}

/* An iteration begins. */
void
loop_monitor_wake_up(struct loop_monitor *monitor)
{
	monitor->began_at = clock_monotonic(monitor->clock);
	monitor->switched_at = monitor->began_at;
	monitor->running = true;
	monitor->work = LOOP_WORK_OTHER;
	memset(monitor->spent_us, 0, sizeof(monitor->spent_us));
	advance_seconds(monitor, (int64_t)monitor->began_at.tv_sec);
}

/* An iteration ends, since the loop is about to wait for events. */
void
loop_monitor_wait(struct loop_monitor *monitor)
{
	enum loop_work work;
	int64_t took_us;
	int64_t *row;

	if (!monitor->running)
		return;
	monitor->running = false;
	charge(monitor, clock_monotonic(monitor->clock));
	took_us = time_diff_us(monitor->switched_at, monitor->began_at);
	work = largest_work(monitor);
	row = monitor->longest_us[monitor->second % LOOP_MONITOR_PERIOD_S];
	row[work] = MAX(row[work], took_us);
	metric_observe(&iteration_us, took_us);
	if (took_us > longest[work].value)
		metric_set(&longest[work], took_us);
	if (took_us > LOOP_MONITOR_LONG_MS * US_PER_MS)
		log_long(monitor, took_us, work);
}

/* Libev has events to handle. */
static void
on_wake_up(struct ev_loop *loop, struct ev_check *watcher, int events)
{
	loop_monitor_wake_up(watcher->data);
}

/* Libev is about to wait. */
static void
on_wait(struct ev_loop *loop, struct ev_prepare *watcher, int events)
{
	loop_monitor_wait(watcher->data);
}

/*
 * Starts to measure a loop; the monitor becomes that of the process. Its
 * watchers run first after a wake-up and last before a wait, and do not keep
 * the loop running.
 */
struct loop_monitor *
loop_monitor_new(struct ev_loop *loop, struct clock *clock)
{
	struct loop_monitor *monitor = g_new0(struct loop_monitor, 1);

	monitor->loop = loop;
	monitor->clock = clock;
	monitor->work = LOOP_WORK_OTHER;
	monitor->second = (int64_t)clock_monotonic(clock).tv_sec;
	monitor->logged_second = -1;
	ev_check_init(&monitor->wake_up, on_wake_up);
	ev_set_priority(&monitor->wake_up, EV_MAXPRI);
	monitor->wake_up.data = monitor;
	ev_check_start(loop, &monitor->wake_up);
	ev_prepare_init(&monitor->wait, on_wait);
	ev_set_priority(&monitor->wait, EV_MINPRI);
	monitor->wait.data = monitor;
	ev_prepare_start(loop, &monitor->wait);
	ev_unref(loop);
	ev_unref(loop);
	current = monitor;
	return monitor;
}

/* Stops measuring; NULL is allowed. */
void
loop_monitor_free(struct loop_monitor *monitor)
{
	if (monitor == NULL)
		return;
	ev_ref(monitor->loop);
	ev_ref(monitor->loop);
	ev_check_stop(monitor->loop, &monitor->wake_up);
	ev_prepare_stop(monitor->loop, &monitor->wait);
	if (current == monitor)
		current = NULL;
	g_free(monitor);
}

/* Returns the longest iteration that ended in the last 60 s. */
struct loop_longest
loop_monitor_longest(struct loop_monitor *monitor)
{
	struct loop_longest most = {.work = LOOP_WORK_OTHER};

	advance_seconds(
	    monitor, (int64_t)clock_monotonic(monitor->clock).tv_sec);
	for (int i = 0; i < LOOP_WORKS; i++) {
		int64_t us = longest_of_work(monitor, (enum loop_work)i);

		if (us > most.us)
			most = (struct loop_longest){us, (enum loop_work)i};
	}
	return most;
}

/* Begins a work within an iteration; returns the one that it interrupts. */
enum loop_work
loop_work_begin(enum loop_work work)
{
	enum loop_work previous;

	if (current == NULL)
		return LOOP_WORK_OTHER;
	previous = current->work;
	if (work != previous && current->running)
		charge(current, clock_monotonic(current->clock));
	current->work = work;
	return previous;
}

/* Ends a work; the one that it interrupted goes on. */
void
loop_work_end(enum loop_work previous)
{
	loop_work_begin(previous);
}
