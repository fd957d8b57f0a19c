/*
 * Rejected callers and those that come after them at a whole gateway. Guards
 * against a new caller that is rejected for the sake of one that may come back,
 * callers that come back being judged otherwise than new ones, and callers that
 * are told to come back too late to be served.
 */
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"

/* Prefill work at each engine: some, and more than a caller has time for. */
#define BACKLOG_US 980000
#define LONG_US	   9000000
#define STREAMS	   2
/* Time that passes in a step of a test's clock. */
#define AGE_MS 300
#define STEP_S 0.1

/* A gateway whose requests are as old as the test says. */
struct returning {
	struct fixture f;
	struct clock_manual clock;
};

/* Starts the stand-ins and the gateway. */
static void
set_up(struct returning *r)
{
	fixture_set_up(&r->f);
	clock_manual_init(
	    &r->clock, time_to_ms(clock_monotonic(clock_system())));
	r->f.exchange_context.clock = &r->clock.clock;
	fixture_wait_for_routing_state(&r->f);
}

/* Frees all. */
static void
tear_down(struct returning *r)
{
	fixture_tear_down(&r->f);
}

/* Sends a request and waits for the end of its response. */
static void
request(struct returning *r, const char *path, enum fake_platform_step step)
{
	fake_platform_repeat_step(r->f.fake_platform, step);
	g_byte_array_set_size(r->f.body, 0);
	r->f.done = false;
	fixture_call(&r->f, path, FIXTURE_KEY);
	RUN_UNTIL(&r->f, r->f.done);
}

/* Returns the last response's Retry-After in milliseconds; 0 for none. */
static int64_t
retry_after_ms(const struct returning *r)
{
	return r->f.retry_after == NULL
	    ? 0
	    : (int64_t)(strtod(r->f.retry_after, NULL) * MS_PER_S);
}

/*
 * Sets the load that peers have on all upstreams; streams that more prefill
 * would delay run beside prefill.
 */
static void
set_peers_load(struct returning *r, uint32_t running, uint64_t prefill_us)
{
	struct fleet *fleet = routing_state_fleet(
	    r->f.exchange_context.routing_state);
	struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		upstream->peers.running = running;
		upstream->peers.prefill_us = prefill_us;
		upstream->peers.streams[STREAM_LONG] = prefill_us > 0 ? STREAMS
								      : 0;
	}
}

/* One slot is left: a new caller gets it, though another was rejected. */
static void
test_last_slot(void)
{
	struct returning r = {0};
	struct fleet_upstream *upstream;

	set_up(&r);
	request(&r, "/once/x", FAKE_STEP_NOT_RUN);
	g_assert_cmpint(r.f.status, ==, 503);
	g_assert_cmpint(retry_after_ms(&r), >, 0);
	set_peers_load(&r, 1000, 0);
	upstream = fleet_find(
	    routing_state_fleet(r.f.exchange_context.routing_state), "i-1");
	upstream->peers.running = upstream->slots - 1;
	clock_manual_advance(&r.clock, retry_after_ms(&r));
	request(&r, "/again/x", FAKE_STEP_OK);
	g_assert_cmpint(r.f.status, ==, 200);
	request(&r, "/once/x", FAKE_STEP_OK);
	g_assert_cmpint(r.f.status, ==, 200);
	tear_down(&r);
}

/* Called while requests wait: time passes. */
static void
on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct returning *r = timer->data;

	clock_manual_advance(&r->clock, AGE_MS);
}

/*
 * A prompt that the engines have no time for is told when their backlog is
 * done. If it comes back to the same backlog, it is rejected as a new one is;
 * to idle engines, served.
 */
static void
test_prompt(void)
{
	struct returning r = {.f = {.tokens = "20000,10"}};
	ev_timer timer;

	set_up(&r);
	set_peers_load(&r, 0, BACKLOG_US);
	ev_timer_init(&timer, on_step, STEP_S, STEP_S);
	timer.data = &r;
	ev_timer_start(r.f.loop, &timer);
	for (int i = 0; i < 2; i++) {
		request(&r, "/prompt/x", FAKE_STEP_STREAM);
		g_assert_cmpint(r.f.status, ==, 503);
		g_assert_cmpint(retry_after_ms(&r), >=, BACKLOG_US / US_PER_MS);
	}
	clock_manual_advance(&r.clock, retry_after_ms(&r));
	set_peers_load(&r, 0, 0);
	request(&r, "/prompt/x", FAKE_STEP_STREAM);
	g_assert_cmpint(r.f.status, ==, 200);
	ev_timer_stop(r.f.loop, &timer);
	tear_down(&r);
}

/* A prompt that can't be served before its deadline is not told to return. */
static void
test_hopeless(void)
{
	struct returning r = {.f = {.tokens = "20000,10"}};
	ev_timer timer;

	set_up(&r);
	set_peers_load(&r, 0, LONG_US);
	ev_timer_init(&timer, on_step, STEP_S, STEP_S);
	timer.data = &r;
	ev_timer_start(r.f.loop, &timer);
	request(&r, "/hasty/x", FAKE_STEP_STREAM);
	g_assert_cmpint(r.f.status, ==, 503);
	g_assert_null(r.f.retry_after);
	ev_timer_stop(r.f.loop, &timer);
	tear_down(&r);
}

/*
 * A request that the upstreams reject shortly before its deadline is not told
 * to come back: it could not be served by then.
 */
static void
test_rejected_late(void)
{
	struct returning r = {0};

	set_up(&r);
	request(&r, "/quick/x", FAKE_STEP_NOT_RUN);
	g_assert_cmpint(r.f.status, ==, 503);
	g_assert_null(r.f.retry_after);
	tear_down(&r);
}

int
main(int argc, char **argv)
{
	if (sodium_init() < 0)
		return 1;
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/returning/a new caller is not rejected for one that "
			"may come back",
	    test_last_slot);
	g_test_add_func("/returning/a prompt that comes back is judged as a "
			"new one",
	    test_prompt);
	g_test_add_func("/returning/a prompt without enough time is not told "
			"to come back",
	    test_hopeless);
	g_test_add_func("/returning/a request without time left is not told to "
			"come back",
	    test_rejected_late);
	return g_test_run();
}
