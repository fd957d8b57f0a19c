/*
 * Shares of the retry slack among gateways that report to each other, and loans
 * from one that needs none, over real links.
 */
#include <sodium.h>

#include "base/clock.h"
#include "gateway/retry_sync.h"
#include "peer_gateway.h"

#define GATEWAYS       3
#define TEST_TIMEOUT_S 20.0
#define STEP_MS	       10
#define IDLE_MS	       20000
#define CONFIG	       "{\"Version\":1,\"Routes\":[],\"Services\":[]}"

static const char *const names[GATEWAYS] = {"g-1", "g-2", "g-3"};
static const struct retry_limits limits = {
    .ratio = 0.0, .slack = 30, .window_ms = 10000};

struct test {
	struct ev_loop *loop;
	ev_timer timeout;
	ev_timer step; /* lets the clocks run with the loop */
	struct fake_platform *platform;
	struct peer_gateway gateways[GATEWAYS];
	struct retry_sync *syncs[GATEWAYS];
	bool running[GATEWAYS];
};

/* Fails a test that does not end in time. */
static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	g_error("the test did not end in time");
}

/* Advances the clocks of all gateways. */
static void
advance(struct test *t, int64_t ms)
{
	for (size_t i = 0; i < GATEWAYS; i++)
		clock_manual_advance(&t->gateways[i].clock, ms);
}

/* Advances the clocks by one step. */
static void
on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	advance(timer->data, STEP_MS);
}

/* Returns whether all gateways that run have this share. */
static bool
all_have_share(const struct test *t, double share)
{
	for (size_t i = 0; i < GATEWAYS; i++) {
		double own = t->running[i] ? retry_sync_share(t->syncs[i])
					   : share;

		if (own < share - 1e-9 || own > share + 1e-9)
			return false;
	}
	return true;
}

/* Starts gateways that know each other and waits until they share the slack. */
static void
set_up(struct test *t)
{
	const char *addresses[GATEWAYS];

	t->loop = ev_loop_new(EVFLAG_AUTO);
	ev_timer_init(&t->timeout, on_timeout, TEST_TIMEOUT_S, 0.0);
	ev_timer_start(t->loop, &t->timeout);
	ev_timer_init(&t->step, on_step, STEP_MS / 1e3, STEP_MS / 1e3);
	t->step.data = t;
	ev_timer_start(t->loop, &t->step);
	t->platform = fake_platform_new(t->loop);
	fake_platform_set_config(t->platform, CONFIG);
	for (size_t i = 0; i < GATEWAYS; i++) {
		const struct load_sync_settings settings = {
		    .self = names[i], .failure_domain = "z", .is_seed = true};
		struct peer_gateway *gateway = &t->gateways[i];

		peer_gateway_start(gateway, t->loop, t->platform, &settings);
		addresses[i] = gateway->address;
		t->syncs[i] = retry_sync_new(&gateway->clock.clock,
		    gateway->mesh, gateway->load_sync, &limits);
		t->running[i] = true;
	}
	for (size_t i = 0; i < GATEWAYS; i++)
		mesh_set_peers(t->gateways[i].mesh, MESH_SOURCE_SEEDS,
		    addresses, GATEWAYS);
	g_assert_true(all_have_share(t, 0.0));
	advance(t, LOAD_SYNC_SETTLE_MS);
	while (!all_have_share(t, 1.0 / GATEWAYS))
		ev_run(t->loop, EVRUN_ONCE);
}

/* Stops one gateway. */
static void
stop(struct test *t, size_t index)
{
	if (!t->running[index])
		return;
	t->running[index] = false;
	retry_sync_free(t->syncs[index]);
	peer_gateway_stop(&t->gateways[index]);
}

/* Stops all. */
static void
tear_down(struct test *t)
{
	for (size_t i = 0; i < GATEWAYS; i++)
		stop(t, i);
	fake_platform_free(t->platform);
	ev_timer_stop(t->loop, &t->timeout);
	ev_timer_stop(t->loop, &t->step);
	ev_loop_destroy(t->loop);
}

/* Takes retries until one is denied; returns how many were allowed. */
static size_t
take_all(struct test *t, size_t index)
{
	size_t taken = 0;

	while (retry_sync_take(t->syncs[index], "s", "r1", 1))
		taken++;
	return taken;
}

/* A gateway without tokens gets those of one that needs none, for one service.
 */
static void
test_loan(void)
{
	struct test t = {0};

	set_up(&t);
	advance(&t, IDLE_MS);
	/* A bucket holds 0.6 of 0.95 of a third of the slack. */
	g_assert_cmpuint(take_all(&t, 0), ==, 5);
	while (!retry_sync_allows(t.syncs[0], "s", "r1", 1))
		ev_run(t.loop, EVRUN_ONCE);
	g_assert_cmpuint(take_all(&t, 0), >=, 1);
	g_assert_cmpuint(retry_sync_service_count(t.syncs[1]) +
		retry_sync_service_count(t.syncs[2]),
	    >=, 1);
	tear_down(&t);
}

/* The share ends once a peer knows of many more gateways than report. */
static void
test_unknown_gateways(void)
{
	struct message message = {
	    .kind = MESSAGE_LOAD, .load = {.gateways = 31}};
	struct test t = {0};

	set_up(&t);
	advance(&t, IDLE_MS);
	while (retry_sync_share(t.syncs[0]) > 0.0) {
		mesh_send(t.gateways[1].mesh, t.gateways[0].address, &message);
		ev_run(t.loop, EVRUN_ONCE);
	}
	g_assert_cmpuint(take_all(&t, 0), ==, 0);
	tear_down(&t);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func(
	    "/retry_sync/a gateway without tokens borrows some", test_loan);
	g_test_add_func(
	    "/retry_sync/a gateway that many others don't report to has no "
	    "slack",
	    test_unknown_gateways);
	return g_test_run();
}
