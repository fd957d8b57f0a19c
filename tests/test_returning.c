/*
 * Rejected callers that come back to a whole gateway. Guards against a caller
 * that is rejected twice while new ones are served, and against any change of
 * what is served while none is rejected.
 */
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"

/* Prefill work at each engine: for long, too much for a new prompt, and more.
 */
#define LONG_US	   3000000
#define BACKLOG_US 880000
#define BURST_US   1500000
/* Time that passes in a step of a test's clock. */
#define AGE_MS 300
#define STEP_S 0.1

/* A gateway with turns, whose requests are as old as the test says. */
struct returning {
	struct fixture f;
	struct clock_manual clock;
	struct return_queue *queue;
	bool clears; /* the peers' load, in the next step */
};

/* Starts the stand-ins and the gateway. */
static void
set_up(struct returning *r)
{
	fixture_set_up(&r->f);
	clock_manual_init(
	    &r->clock, time_to_ms(clock_monotonic(clock_system())));
	r->queue = return_queue_new();
	r->f.exchange_context.return_queue = r->queue;
	r->f.exchange_context.clock = &r->clock.clock;
	load_sync_set_return_queue(r->f.exchange_context.load_sync, r->queue);
	fixture_wait_for_routing_state(&r->f);
}

/* Frees all. */
static void
tear_down(struct returning *r)
{
	fixture_tear_down(&r->f);
	return_queue_free(r->queue);
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

/* Sets the load that peers have on all upstreams. */
static void
set_peers_load(struct returning *r, uint32_t running, uint64_t prefill_us)
{
	struct fleet *fleet = routing_state_fleet(
	    r->f.exchange_context.routing_state);
	struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		upstream->peers.running = running;
		upstream->peers.prefill_us = prefill_us;
	}
}

/* Requests that are served leave nothing in the queue. */
static void
test_served(void)
{
	struct returning r = {0};

	set_up(&r);
	request(&r, "/once/x", FAKE_STEP_OK);
	g_assert_cmpint(r.f.status, ==, 200);
	request(&r, "/stream/x", FAKE_STEP_STREAM);
	g_assert_cmpint(r.f.status, ==, 200);
	g_assert_cmpuint(return_queue_count(r.queue), ==, 0);
	tear_down(&r);
}

/* One slot is left: a new request leaves it to the caller that was rejected. */
static void
test_last_slot(void)
{
	struct returning r = {0};
	struct fleet_upstream *upstream;

	set_up(&r);
	request(&r, "/once/x", FAKE_STEP_NOT_RUN);
	g_assert_cmpint(r.f.status, ==, 503);
	g_assert_cmpint(retry_after_ms(&r), >=, RETURN_WAIT_MIN_MS);
	set_peers_load(&r, 1000, 0);
	upstream = fleet_find(
	    routing_state_fleet(r.f.exchange_context.routing_state), "i-1");
	upstream->peers.running = upstream->slots - 1;
	clock_manual_advance(&r.clock, RETURN_WAIT_MIN_MS - RETURN_EARLY_MS);
	request(&r, "/again/x", FAKE_STEP_OK);
	g_assert_cmpint(r.f.status, ==, 503);
	g_assert_cmpint(retry_after_ms(&r), >=, RETURN_WAIT_MIN_MS);
	request(&r, "/once/x", FAKE_STEP_OK);
	g_assert_cmpint(r.f.status, ==, 200);
	g_assert_cmpuint(return_queue_count(r.queue), ==, 1);
	tear_down(&r);
}

/* Called while requests are held: time passes, and the engines' work is done.
 */
static void
on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct returning *r = timer->data;

	clock_manual_advance(&r->clock, AGE_MS);
	if (r->clears)
		set_peers_load(r, 0, 0);
}

/*
 * A prompt that the engines have no time for is told its turn; if it comes back
 * before that, the same one; if in its turn, it is held until it is served.
 */
static void
test_prompt(void)
{
	struct returning r = {.f = {.tokens = "20000,10"}};
	int64_t wait_ms;
	ev_timer timer;

	set_up(&r);
	set_peers_load(&r, 0, BACKLOG_US);
	ev_timer_init(&timer, on_step, STEP_S, STEP_S);
	timer.data = &r;
	ev_timer_start(r.f.loop, &timer);
	request(&r, "/prompt/x", FAKE_STEP_STREAM);
	g_assert_cmpint(r.f.status, ==, 503);
	wait_ms = retry_after_ms(&r);
	g_assert_cmpint(wait_ms, >=, BACKLOG_US / US_PER_MS);
	set_peers_load(&r, 0, BURST_US);
	request(&r, "/prompt/x", FAKE_STEP_STREAM);
	g_assert_cmpint(r.f.status, ==, 503);
	g_assert_cmpint(retry_after_ms(&r), >, 0);
	g_assert_cmpint(retry_after_ms(&r), <=, wait_ms);
	clock_manual_advance(&r.clock, retry_after_ms(&r));
	r.clears = true;
	request(&r, "/prompt/x", FAKE_STEP_STREAM);
	g_assert_cmpint(r.f.status, ==, 200);
	ev_timer_stop(r.f.loop, &timer);
	tear_down(&r);
}

/* A prompt that costs much more than it is worth is not told to come back. */
static void
test_costly(void)
{
	struct returning r = {.f = {.tokens = "20000,10"}};
	ev_timer timer;

	set_up(&r);
	set_peers_load(&r, 0, BURST_US);
	ev_timer_init(&timer, on_step, STEP_S, STEP_S);
	timer.data = &r;
	ev_timer_start(r.f.loop, &timer);
	request(&r, "/prompt/x", FAKE_STEP_STREAM);
	g_assert_cmpint(r.f.status, ==, 503);
	g_assert_null(r.f.retry_after);
	g_assert_cmpuint(return_queue_count(r.queue), ==, 0);
	ev_timer_stop(r.f.loop, &timer);
	tear_down(&r);
}

/* A prompt that can't be served before its deadline is rejected at once. */
static void
test_hopeless(void)
{
	struct returning r = {.f = {.tokens = "20000,10"}};

	set_up(&r);
	set_peers_load(&r, 0, LONG_US);
	request(&r, "/hasty/x", FAKE_STEP_STREAM);
	g_assert_cmpint(r.f.status, ==, 503);
	g_assert_null(r.f.retry_after);
	g_assert_nonnull(g_strstr_len(
	    (const char *)r.f.body->data, r.f.body->len, "worth more"));
	g_assert_cmpuint(return_queue_count(r.queue), ==, 0);
	tear_down(&r);
}

int
main(int argc, char **argv)
{
	if (sodium_init() < 0)
		return 1;
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/returning/requests that are served leave no turn", test_served);
	g_test_add_func("/returning/a new request leaves the last slot to one "
			"that comes back",
	    test_last_slot);
	g_test_add_func(
	    "/returning/a prompt is served in its turn at last", test_prompt);
	g_test_add_func(
	    "/returning/a prompt that costs too much is not told to "
	    "come back",
	    test_costly);
	g_test_add_func("/returning/a prompt without enough time is rejected "
			"at once",
	    test_hopeless);
	return g_test_run();
}
