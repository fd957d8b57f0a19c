/*
 * A gateway that was asked to stop. Guards against requests that are taken long
 * after the stop and cut when the process exits.
 */
#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"
#include "policy/duration.h"

#define NOTICE_MS 3000
#define GRACE_MS  8000
#define SAMPLES	  50

static const struct drain_case {
	const char *name;
	const char *path;
	int64_t lasts_ms; /* requests of the route before; 0 for none */
	int64_t since_stop_ms;
	int status;
	size_t arrivals; /* of the request at upstreams */
} cases[] = {
    {"a request is served while there is time for it", "/stream/x", 0, 1000,
	200, 1},
    {"a request after the notice is refused", "/stream/x", 0, NOTICE_MS, 503,
	0},
    {"a request that may last until the exit is refused", "/stream/x", 6500,
	2500, 503, 0},
    {"a request that may just end before the exit is served", "/stream/x", 4000,
	1000, 200, 1},
    {"a request whose deadline is before the exit is served", "/quick/x", 6500,
	1000, 200, 1},
    {"a request that is known to be short is served until the notice ends",
	"/stream/x", 1, NOTICE_MS - 100, 200, 1},
    {"a known short request after the notice is refused", "/stream/x", 1,
	NOTICE_MS, 503, 0},
    {"a request that may run once and last until the exit is refused",
	"/once/x", 0, 2900, 503, 0},
    {"a request that may run once and ends before the exit is served",
	"/once/x", 0, 1000, 200, 1},
    {"a request that may run once and is known to be short is served",
	"/once/x", 100, 2900, 200, 1},
    {"a stream that can't be resumed and may last until the exit is refused",
	"/fragile/x", 0, 2900, 503, 0},
    {"a stream that can't be resumed and is known to be short is served",
	"/fragile/x", 100, 2900, 200, 1},
};

/* Starts the gateway's drain as if it had been asked to stop before. */
static void
start_drain(struct fixture *f, int64_t since_stop_ms)
{
	static const struct drain_limits limits = {
	    .notice_ms = NOTICE_MS, .grace_ms = GRACE_MS};

	drain_start(&f->exchange_context.drain, &limits,
	    time_add_ms(clock_monotonic(clock_system()), -since_stop_ms));
}

/* Makes the gateway know how long the requests of a route last. */
static void
set_duration(struct fixture *f, const char *route, int64_t ms)
{
	struct duration *duration = g_new0(struct duration, 1);

	for (int i = 0; ms > 0 && i < SAMPLES; i++)
		duration_add(duration, ms);
	g_hash_table_replace(
	    f->exchange_context.durations, g_strdup(route), duration);
}

/* Sends a request and waits for the end of its response. */
static void
call(struct fixture *f, const char *path)
{
	f->done = false;
	fixture_call(f, path, FIXTURE_KEY);
	RUN_UNTIL(f, f->done);
}

/* Runs one case. */
static void
test_request(gconstpointer data)
{
	static const enum fake_platform_step steps[] = {FAKE_STEP_STREAM};
	const struct drain_case *c = &cases[GPOINTER_TO_SIZE(data)];
	g_auto(GStrv) route = g_strsplit(c->path, "/", 3);
	struct fixture f = {0};

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, G_N_ELEMENTS(steps));
	fixture_wait_for_routing_state(&f);
	set_duration(&f, route[1], c->lasts_ms);
	start_drain(&f, c->since_stop_ms);
	call(&f, c->path);
	g_assert_cmpint(f.status, ==, c->status);
	g_assert_cmpuint(
	    fake_platform_request_count(f.fake_platform), ==, c->arrivals);
	g_assert_cmpint(f.retry_after != NULL, ==, c->status == 503);
	fixture_tear_down(&f);
}

/*
 * A request that an upstream rejects is not sent to another one if it could be
 * cut there: it has not run, so another gateway can serve it.
 */
static void
test_retry(void)
{
	static const enum fake_platform_step steps[] = {
	    FAKE_STEP_NOT_RUN, FAKE_STEP_STREAM};
	struct fixture f = {0};

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, G_N_ELEMENTS(steps));
	fixture_wait_for_routing_state(&f);
	fixture_call(&f, "/stream/x", FIXTURE_KEY);
	RUN_UNTIL(&f, f.exchange_context.open == 1);
	start_drain(&f, NOTICE_MS);
	RUN_UNTIL(&f, f.done);
	g_assert_cmpint(f.status, ==, 503);
	g_assert_cmpuint(fake_platform_request_count(f.fake_platform), ==, 1);
	fixture_tear_down(&f);
}

/* A request that an upstream may have run, on a route that may repeat it. */
static const struct repeat_case {
	const char *name;
	int64_t since_stop_ms;
	int status;
	size_t arrivals;
} repeat_cases[] = {
    {"a repeat that may last until the exit is not sent", 7000, 502, 1},
    {"a repeat after the notice is sent while there is time for it",
	NOTICE_MS + 500, 200, 2},
};

/* Runs one case: the first upstream disconnects, the second one responds. */
static void
test_repeat(gconstpointer data)
{
	static const enum fake_platform_step steps[] = {
	    FAKE_STEP_DISCONNECT, FAKE_STEP_OK};
	const struct repeat_case *c = &repeat_cases[GPOINTER_TO_SIZE(data)];
	struct fixture f = {0};

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, G_N_ELEMENTS(steps));
	fixture_wait_for_routing_state(&f);
	set_duration(&f, "again", 2000);
	fixture_call(&f, "/again/x", FIXTURE_KEY);
	RUN_UNTIL(&f, f.exchange_context.open == 1);
	start_drain(&f, c->since_stop_ms);
	RUN_UNTIL(&f, f.done);
	g_assert_cmpint(f.status, ==, c->status);
	g_assert_cmpuint(
	    fake_platform_request_count(f.fake_platform), ==, c->arrivals);
	fixture_tear_down(&f);
}

static const struct limits_case {
	const char *name;
	struct drain_limits limits;
	int64_t accept_ms; /* after the stop */
	int64_t exit_ms;
} limits_cases[] = {
    {"the exit is before the grace time ends", {3000, 8000}, 3000, 7300},
    {"a notice longer than the grace time ends with the exit", {9000, 8000},
	7300, 7300},
    {"a notice that ends in the last moment ends with the exit", {7900, 8000},
	7300, 7300},
    {"a grace time that is too short for anything is over at once", {2000, 500},
	0, 0},
};

/* Nothing is accepted that the process is not there to answer. */
static void
test_limits(gconstpointer data)
{
	const struct limits_case *c = &limits_cases[GPOINTER_TO_SIZE(data)];
	const struct timespec now = {.tv_sec = 1000};
	struct drain drain = {0};

	drain_start(&drain, &c->limits, now);
	g_assert_cmpint(
	    time_diff_ms(drain.accept_until, now), ==, c->accept_ms);
	g_assert_cmpint(time_diff_ms(drain.exit_at, now), ==, c->exit_ms);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(cases, "/drain", test_request);
	g_test_add_func("/drain/a rejected request is not sent again after the "
			"notice",
	    test_retry);
	ADD_CASES(repeat_cases, "/drain", test_repeat);
	ADD_CASES(limits_cases, "/drain/limits", test_limits);
	return g_test_run();
}
