/*
 * Which iteration of the event loop was the longest, and which work is blamed
 * for it; the order in which libev handles events of each priority.
 */
#include <string.h>

#include <glib.h>

#include "base/loop_monitor.h"
#include "base/metrics.h"
#include "cases.h"

#define STEPS_MAX 4

/* A work and how long it runs. */
struct step {
	enum loop_work work;
	int64_t ms;
};

static const struct work_case {
	const char *name;
	struct step steps[STEPS_MAX];
	int64_t us; /* of the iteration */
	enum loop_work work; /* that took most of it */
} work_cases[] = {
    {"an iteration without work is other", {{0}}, 0, LOOP_WORK_OTHER},
    {"a work that ran alone is named", {{LOOP_WORK_STORE, 7}}, 7000,
	LOOP_WORK_STORE},
    {"the largest part is named, not the last one",
	{{LOOP_WORK_ROUTES, 40}, {LOOP_WORK_CALLER, 5}}, 45000,
	LOOP_WORK_ROUTES},
    {"the parts of a work are added up",
	{{LOOP_WORK_LOG, 4}, {LOOP_WORK_DIGEST, 6}, {LOOP_WORK_LOG, 4}}, 14000,
	LOOP_WORK_LOG},
    {"time that is not marked is other",
	{{LOOP_WORK_OTHER, 9}, {LOOP_WORK_METRICS, 3}}, 12000, LOOP_WORK_OTHER},
};

/* Runs an iteration with one work after the other. */
static void
iterate(struct loop_monitor *monitor, struct clock_manual *clock,
    const struct step *steps)
{
	enum loop_work previous;

	loop_monitor_wake_up(monitor);
	for (size_t i = 0; i < STEPS_MAX && steps[i].ms > 0; i++) {
		previous = loop_work_begin(steps[i].work);
		clock_manual_advance(clock, steps[i].ms);
		loop_work_end(previous);
	}
	loop_monitor_wait(monitor);
}

/* Guards against time that is charged to the wrong work, or twice. */
static void
test_work(gconstpointer data)
{
	const struct work_case *c = &work_cases[GPOINTER_TO_SIZE(data)];
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct clock_manual clock;
	struct loop_monitor *monitor;
	struct loop_longest longest;

	clock_manual_init(&clock, 5000);
	monitor = loop_monitor_new(loop, &clock.clock);
	iterate(monitor, &clock, c->steps);
	longest = loop_monitor_longest(monitor);
	g_assert_cmpint(longest.us, ==, c->us);
	g_assert_cmpint(longest.work, ==, c->work);
	loop_monitor_free(monitor);
	ev_loop_destroy(loop);
}

static const struct age_case {
	const char *name;
	int64_t later_ms; /* after the iteration of 30 ms */
	int64_t us;
} age_cases[] = {
    {"the longest iteration is kept for a minute", 59000, 30000},
    {"the longest iteration is forgotten after a minute", 61000, 0},
    {"a loop that waited for an hour has none", 3600000, 0},
};

/* Guards against a maximum that never falls, or falls too early. */
static void
test_age(gconstpointer data)
{
	const struct age_case *c = &age_cases[GPOINTER_TO_SIZE(data)];
	const struct step steps[STEPS_MAX] = {{LOOP_WORK_STORE, 30}};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct clock_manual clock;
	struct loop_monitor *monitor;

	clock_manual_init(&clock, 5000);
	monitor = loop_monitor_new(loop, &clock.clock);
	iterate(monitor, &clock, steps);
	clock_manual_advance(&clock, c->later_ms);
	g_assert_cmpint(loop_monitor_longest(monitor).us, ==, c->us);
	loop_monitor_free(monitor);
	ev_loop_destroy(loop);
}

/* The time that the loop waits belongs to no iteration. */
static void
test_wait(void)
{
	const struct step steps[STEPS_MAX] = {{LOOP_WORK_UPSTREAM, 2}};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct clock_manual clock;
	struct loop_monitor *monitor;

	clock_manual_init(&clock, 5000);
	monitor = loop_monitor_new(loop, &clock.clock);
	iterate(monitor, &clock, steps);
	clock_manual_advance(&clock, 400);
	iterate(monitor, &clock, steps);
	g_assert_cmpint(loop_monitor_longest(monitor).us, ==, 2000);
	loop_monitor_free(monitor);
	ev_loop_destroy(loop);
}

/* Appends the letter of a watcher to the order of calls. */
static void
on_event(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	g_string_append(ev_userdata(loop), timer->data);
}

/*
 * Guards against background work that runs before callers' data, also where the
 * data's events were added while that work was pending.
 */
static void
test_priorities(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	g_autoptr(GString) order = g_string_new(NULL);
	static const struct {
		const char *letter;
		int priority;
	} kinds[] = {
	    {"b", LOOP_PRIORITY_BACKGROUND},
	    {"u", LOOP_PRIORITY_UPSTREAM},
	    {"c", LOOP_PRIORITY_CALLER},
	};
	struct ev_timer timers[G_N_ELEMENTS(kinds)];

	ev_set_userdata(loop, order);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		ev_init(&timers[i], on_event);
		ev_set_priority(&timers[i], kinds[i].priority);
		timers[i].data = (char *)kinds[i].letter;
		ev_feed_event(loop, &timers[i], EV_CUSTOM);
	}
	ev_run(loop, EVRUN_NOWAIT);
	g_assert_cmpstr(order->str, ==, "ucb");
	ev_loop_destroy(loop);
}

/* The monitor alone does not keep a loop running, and is told of its events. */
static void
test_loop(void)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct loop_monitor *monitor = loop_monitor_new(loop, clock_system());
	g_autoptr(GString) order = g_string_new(NULL);
	g_autoptr(GString) metrics = g_string_new(NULL);
	struct ev_timer timer;

	ev_set_userdata(loop, order);
	ev_timer_init(&timer, on_event, 0.0, 0.0);
	timer.data = (char *)"t";
	ev_timer_start(loop, &timer);
	ev_run(loop, 0);
	g_assert_cmpstr(order->str, ==, "t");
	loop_monitor_wait(monitor);
	metrics_write(metrics);
	g_assert_nonnull(
	    strstr(metrics->str, "heatherturn_loop_iteration_us_count"));
	loop_monitor_free(monitor);
	ev_loop_destroy(loop);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(work_cases, "/loop_monitor/work", test_work);
	ADD_CASES(age_cases, "/loop_monitor/age", test_age);
	g_test_add_func(
	    "/loop_monitor/waiting belongs to no iteration", test_wait);
	g_test_add_func("/loop_monitor/upstreams come before callers and both "
			"before background work",
	    test_priorities);
	g_test_add_func(
	    "/loop_monitor/a monitor does not keep its loop running",
	    test_loop);
	return g_test_run();
}
