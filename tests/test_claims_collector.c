/*
 * The collector of expired claims against a store with random faults. Guards
 * against a claim deleted early, and against calls that a store which is away
 * or asks for quiet gets all the same.
 */
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "fake_store.h"
#include "store/claim_record.h"
#include "store/claims.h"
#include "store/claims_collector.h"

struct fixture {
	struct ev_loop *loop;
	struct clock_manual clock;
	GRand *random;
	struct store *store;
};

static void
set_up(struct fixture *fixture, guint32 seed)
{
	fixture->loop = ev_loop_new(0);
	clock_manual_init(&fixture->clock, 1000000);
	fixture->random = g_rand_new_with_seed(seed);
	fixture->store = fake_store_new(&fixture->clock.clock, fixture->random);
}

static void
tear_down(struct fixture *fixture)
{
	store_free(fixture->store);
	g_rand_free(fixture->random);
	ev_loop_destroy(fixture->loop);
}

/* Stores a claim that was made age_ms ago. */
static void
put_claim(struct fixture *fixture, int number, int64_t age_ms)
{
	struct claim_record record = {.attempt = "a",
	    .claimed_wall_ms = time_to_ms(fixture->clock.wall) - age_ms};
	g_autofree char *key = g_strdup_printf("claims/serra/%04d", number);
	g_autofree char *text = claim_record_encode(&record);

	fake_store_put(fixture->store, key, text, strlen(text));
}

/*
 * The collector deletes old claims within some scans; recent claims and other
 * keys stay. It makes no calls while inactive or between two scans.
 */
static void
test_collector(void)
{
	struct fixture fixture;
	struct claims_collector *collector;
	unsigned int calls;
	uint64_t version;

	set_up(&fixture, 1);
	fake_store_set_faults(fixture.store,
	    &(struct fake_faults){.latency_max_ms = 10,
		.unavailable_percent = 10,
		.response_lost_percent = 10});
	for (int i = 0; i < 250; i++)
		put_claim(&fixture, i, i % 2 == 0 ? CLAIMS_RETENTION_MS : 0);
	fake_store_put(fixture.store, "claims/serra/x", "?", 1);
	fake_store_put(fixture.store, "config", "?", 1);
	collector = claims_collector_new(
	    fixture.loop, &fixture.clock.clock, fixture.store);
	claims_collector_tick(collector);
	g_assert_cmpuint(fake_store_call_count(fixture.store), ==, 0);
	claims_collector_set_active(collector, true);
	for (int scan = 0; scan < 4; scan++) {
		for (int i = 0; i < 2000; i++) {
			clock_manual_advance(
			    &fixture.clock, COLLECT_CALL_INTERVAL_MS);
			fake_store_run(fixture.store);
			claims_collector_tick(collector);
		}
		clock_manual_advance(
		    &fixture.clock, COLLECT_SCAN_INTERVAL_MS / 10);
		calls = fake_store_call_count(fixture.store);
		claims_collector_tick(collector);
		g_assert_cmpuint(
		    fake_store_call_count(fixture.store), ==, calls);
		clock_manual_advance(&fixture.clock, COLLECT_SCAN_INTERVAL_MS);
	}
	for (int i = 0; i < 250; i++) {
		g_autofree char *key = g_strdup_printf("claims/serra/%04d", i);

		fake_store_value(fixture.store, key, &version);
		g_assert_cmpuint(version, ==, i % 2);
	}
	fake_store_value(fixture.store, "claims/serra/x", &version);
	g_assert_cmpuint(version, ==, 1);
	claims_collector_free(collector);
	tear_down(&fixture);
}

static const struct backoff_case {
	const char *name;
	struct fake_faults faults;
	int64_t first_wait_ms;
} backoff_cases[] = {
    {"the collector backs off while the store is away",
	{.unavailable_percent = 100}, COLLECT_BACKOFF_MIN_MS},
    {"the collector waits as long as the store asks for",
	{.rate_limited_percent = 100}, 1000},
};

/* Runs the collector until it makes a call; returns how long it waited. */
static int64_t
run_until_call(struct fixture *fixture, struct claims_collector *collector)
{
	unsigned int calls = fake_store_call_count(fixture->store);
	int64_t waited_ms = 0;

	while (fake_store_call_count(fixture->store) == calls &&
	    waited_ms <= 2 * COLLECT_BACKOFF_MAX_MS) {
		clock_manual_advance(&fixture->clock, COLLECT_CALL_INTERVAL_MS);
		claims_collector_tick(collector);
		waited_ms += COLLECT_CALL_INTERVAL_MS;
	}
	fake_store_run(fixture->store);
	return waited_ms;
}

/* Waits double up to a limit, and start again after a success. */
static void
test_backoff(gconstpointer data)
{
	const struct backoff_case *c = data;
	struct fixture fixture;
	struct claims_collector *collector;
	int64_t waited_ms = 0;

	set_up(&fixture, 1);
	put_claim(&fixture, 1, 0);
	fake_store_set_faults(fixture.store, &c->faults);
	collector = claims_collector_new(
	    fixture.loop, &fixture.clock.clock, fixture.store);
	claims_collector_set_active(collector, true);
	run_until_call(&fixture, collector);
	g_assert_cmpint(
	    run_until_call(&fixture, collector), ==, c->first_wait_ms);
	for (int i = 0; i < 10; i++) {
		int64_t before_ms = waited_ms;

		waited_ms = run_until_call(&fixture, collector);
		g_assert_cmpint(waited_ms, >=, before_ms);
	}
	g_assert_cmpint(waited_ms, ==, COLLECT_BACKOFF_MAX_MS);
	fake_store_set_faults(fixture.store, &(struct fake_faults){0});
	run_until_call(&fixture, collector);
	fake_store_set_faults(fixture.store, &c->faults);
	g_assert_cmpint(
	    run_until_call(&fixture, collector), ==, COLLECT_CALL_INTERVAL_MS);
	g_assert_cmpint(
	    run_until_call(&fixture, collector), ==, c->first_wait_ms);
	claims_collector_free(collector);
	tear_down(&fixture);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	g_test_add_func(
	    "/claims/the collector deletes old claims only", test_collector);
	for (size_t i = 0; i < G_N_ELEMENTS(backoff_cases); i++) {
		g_autofree char *path = g_strconcat(
		    "/claims/", backoff_cases[i].name, NULL);

		g_test_add_data_func(path, &backoff_cases[i], test_backoff);
	}
	return g_test_run();
}
