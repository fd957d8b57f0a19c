/*
 * Who watches the store among gateways that exchange their load. Guards against
 * a time in which nobody watches.
 */
#include <sodium.h>

#include "cases.h"
#include "peer_gateway.h"
#include "policy/watching.h"
#include "store/watchers.h"

#define OTHERS	       LOAD_SYNC_WATCHERS
#define REPORTS_ENOUGH 6
/* Age of a new gateway that relies on nobody it has not heard from. */
#define NEW_MS	       2900
#define TEST_TIMEOUT_S 20.0
#define CONFIG	       "{\"Version\":1,\"Routes\":[],\"Services\":[]}"

static const struct load_case {
	const char *name;
	int64_t age_ms; /* of the others, all of which rank before */
	bool others_are_seeds;
	bool others_stop; /* they were asked to stop */
	bool watches; /* the gateway that has run for long */
	bool others_watch;
	uint32_t cpu_permille; /* of the gateway that has run for long */
	uint32_t others_cpu_permille;
} cases[] = {
    {"while others have just started, a gateway watches", 0, false, false, true,
	false, 0, 0},
    {"while others do not watch yet, a gateway watches", WATCHING_SETTLE_MS - 1,
	false, false, true, false, 0, 0},
    {"once enough others watch, a gateway stops", WATCHING_SETTLE_MS, false,
	false, false, true, 0, 0},
    {"seeds that have just started watch in place of a gateway", 0, true, false,
	false, true, 0, 0},
    {"a gateway takes over from others that stop", WATCHING_SETTLE_MS, false,
	true, true, true, 0, 0},
    {"a gateway with more CPU time watches although enough others do",
	WATCHING_SETTLE_MS, false, false, true, true, 500, 90},
    {"a gateway with less CPU time leaves the watching to others",
	WATCHING_SETTLE_MS, false, false, false, true, 90, 500},
};

/* Counts the reports that a gateway receives. */
struct counter {
	struct mesh_handler handler;
	const char *names[OTHERS];
	unsigned int reports[OTHERS];
};

/* Names of all gateways, in no order of rank. */
static const char *const names[] = {"g-1", "g-2", "g-3", "g-4"};

/* Returns the index of the gateway before which all others rank. */
static size_t
find_last_by_rank(void)
{
	struct watcher_candidate candidates[G_N_ELEMENTS(names)];

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++)
		candidates[i] = (struct watcher_candidate){
		    .id = names[i], .answers = true};
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (!watchers_is_elected(candidates, G_N_ELEMENTS(names),
			names[i], LOAD_SYNC_WATCHERS))
			return i;
	}
	g_assert_not_reached();
}

/* Counts a report by its sender. */
static void
on_message(void *data, struct link *link, const struct message *message)
{
	struct counter *counter = data;

	for (size_t i = 0; i < OTHERS; i++)
		counter->reports[i] += g_strcmp0(link_peer(link)->process,
					   counter->names[i]) == 0;
}

static const struct mesh_ops counter_ops = {.message = on_message};

/* Returns whether each sender has reported often enough. */
static bool
has_enough_reports(const struct counter *counter)
{
	for (size_t i = 0; i < OTHERS; i++) {
		if (counter->reports[i] < REPORTS_ENOUGH)
			return false;
	}
	return true;
}

/* Fails a test that does not end in time. */
static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	g_error("the test did not end in time");
}

/* Starts the other gateways, which know the address of the first one. */
static void
start_others(const struct load_case *c, struct ev_loop *loop,
    const struct fake_platform *platform, const struct peer_gateway *first,
    struct peer_gateway others[OTHERS], struct counter *counter)
{
	const char *const seeds[] = {first->address};
	size_t count = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		const struct load_sync_settings settings = {
		    .self = names[i],
		    .failure_domain = "z",
		    .is_seed = c->others_are_seeds,
		    .has_seeds = true,
		    .cpu_permille = c->others_cpu_permille,
		};

		if (i == find_last_by_rank())
			continue;
		counter->names[count] = names[i];
		peer_gateway_start(&others[count], loop, platform, &settings);
		clock_manual_advance(&others[count].clock, c->age_ms);
		if (c->others_stop)
			load_sync_start_draining(others[count].load_sync);
		mesh_set_peers(others[count++].mesh, MESH_SOURCE_SEEDS, seeds,
		    G_N_ELEMENTS(seeds));
	}
}

/* The gateway that has run for long, and the others. */
struct test {
	struct ev_loop *loop;
	ev_timer timeout;
	struct fake_platform *platform;
	struct counter counter;
	struct peer_gateway first;
	struct peer_gateway others[OTHERS];
};

/* Starts all gateways of a case. */
static void
set_up(struct test *t, const struct load_case *c)
{
	const struct load_sync_settings settings = {
	    .self = names[find_last_by_rank()],
	    .failure_domain = "z",
	    .cpu_permille = c->cpu_permille};

	t->loop = ev_loop_new(EVFLAG_AUTO);
	t->platform = fake_platform_new(t->loop);
	t->counter.handler = (struct mesh_handler){
	    .kinds = MESH_KIND(MESSAGE_LOAD),
	    .ops = &counter_ops,
	    .data = &t->counter,
	};
	ev_timer_init(&t->timeout, on_timeout, TEST_TIMEOUT_S, 0.0);
	ev_timer_start(t->loop, &t->timeout);
	fake_platform_set_config(t->platform, CONFIG);
	peer_gateway_start(&t->first, t->loop, t->platform, &settings);
	mesh_add_handler(t->first.mesh, &t->counter.handler);
	start_others(
	    c, t->loop, t->platform, &t->first, t->others, &t->counter);
}

/* Stops all. */
static void
tear_down(struct test *t)
{
	for (size_t i = 0; i < OTHERS; i++)
		peer_gateway_stop(&t->others[i]);
	mesh_remove_handler(t->first.mesh, &t->counter.handler);
	peer_gateway_stop(&t->first);
	fake_platform_free(t->platform);
	ev_timer_stop(t->loop, &t->timeout);
	ev_loop_destroy(t->loop);
}

/* Runs one case. */
static void
test_case(gconstpointer data)
{
	const struct load_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct test t = {0};

	set_up(&t, c);
	while (!has_enough_reports(&t.counter))
		ev_run(t.loop, EVRUN_ONCE);
	g_assert_cmpint(
	    routing_state_is_watching(t.first.routing_state), ==, c->watches);
	for (size_t i = 0; i < OTHERS; i++)
		g_assert_cmpint(
		    routing_state_is_watching(t.others[i].routing_state), ==,
		    c->others_watch);
	tear_down(&t);
}

/*
 * Limits that all share are divided among those that report too: gateways that
 * have started since the list was read.
 */
static void
test_count(void)
{
	static const struct load_case c = {
	    .age_ms = WATCHING_SETTLE_MS, .others_watch = true};
	struct test t = {0};

	set_up(&t, &c);
	/* The stand-in's list stays empty. */
	while (!has_enough_reports(&t.counter) ||
	    registry_count(t.first.registry) >= OTHERS)
		ev_run(t.loop, EVRUN_ONCE);
	g_assert_cmpuint(load_sync_count(t.first.load_sync), ==, OTHERS + 1);
	tear_down(&t);
}

/*
 * Limits that all share are divided among as many as any of them knows: one
 * that has just started, or does not reach the store, may know few.
 */
static void
test_reported_count(void)
{
	static const struct load_case c = {
	    .age_ms = WATCHING_SETTLE_MS, .others_watch = true};
	struct message message = {
	    .kind = MESSAGE_LOAD, .load = {.gateways = 31}};
	struct test t = {0};

	set_up(&t, &c);
	while (load_sync_count(t.first.load_sync) != 31) {
		mesh_send(t.others[0].mesh, t.first.address, &message);
		ev_run(t.loop, EVRUN_ONCE);
	}
	tear_down(&t);
}

/* A gateway that is in nobody's list becomes a peer of those it reports to. */
static void
test_unlisted(void)
{
	static const struct load_case c = {
	    .age_ms = WATCHING_SETTLE_MS, .others_watch = true};
	struct test t = {0};
	size_t peers = 0;

	set_up(&t, &c);
	while (peers < OTHERS) {
		ev_run(t.loop, EVRUN_ONCE);
		mesh_peers(t.first.mesh, &peers);
	}
	g_assert_cmpuint(peers, ==, OTHERS);
	tear_down(&t);
}

/* Longer than a change may take. */
#define UPGRADE_MS 3000

/*
 * While a fleet is upgraded, the gateways that watch may be of a build that
 * does not report which version is the newest. One that relies on them has the
 * newest configuration all the same, and need not refuse with 503 what nobody
 * knows.
 */
static void
test_watchers_without_report(void)
{
	static const struct load_case c = {
	    .age_ms = WATCHING_SETTLE_MS, .others_watch = true};
	struct timespec end;
	struct test t = {0};

	set_up(&t, &c);
	fake_platform_end_watches(t.platform, OBJECT_STORE_WATCH_WAIT_MS);
	for (size_t i = 0; i < OTHERS; i++)
		routing_state_set_max_age(
		    t.others[i].routing_state, FRESHNESS_NEVER);
	while (!has_enough_reports(&t.counter) ||
	    routing_state_is_watching(t.first.routing_state))
		ev_run(t.loop, EVRUN_ONCE);
	end = time_add_ms(clock_monotonic(clock_system()), UPGRADE_MS);
	while (time_before(clock_monotonic(clock_system()), end))
		ev_run(t.loop, EVRUN_ONCE);
	g_assert_true(routing_state_is_current(t.first.routing_state));
	tear_down(&t);
}

/*
 * A gateway that is not told that it has the newest configuration begins to
 * watch before its own evidence has lapsed, and the store answers as it should.
 * So it need not refuse with 503 what nobody knows at any time.
 */
static void
test_first_answer(void)
{
	static const struct load_case c = {
	    .age_ms = WATCHING_SETTLE_MS, .others_watch = true};
	struct timespec end;
	struct test t = {0};

	set_up(&t, &c);
	for (size_t i = 0; i < OTHERS; i++)
		routing_state_set_max_age(
		    t.others[i].routing_state, FRESHNESS_NEVER);
	while (!has_enough_reports(&t.counter) ||
	    routing_state_is_watching(t.first.routing_state))
		ev_run(t.loop, EVRUN_ONCE);
	while (!routing_state_is_watching(t.first.routing_state))
		ev_run(t.loop, EVRUN_ONCE);
	g_assert_true(routing_state_is_current(t.first.routing_state));
	fake_platform_end_watches(t.platform, OBJECT_STORE_WATCH_WAIT_MS);
	end = time_add_ms(
	    clock_monotonic(clock_system()), OBJECT_STORE_WATCH_WAIT_MS);
	while (time_before(clock_monotonic(clock_system()), end)) {
		ev_run(t.loop, EVRUN_ONCE);
		g_assert_true(routing_state_is_current(t.first.routing_state));
	}
	tear_down(&t);
}

static const struct alone_case {
	const char *name;
	bool hears; /* from a gateway that can watch */
	bool watches;
} alone_cases[] = {
    {"a new gateway that hears from none that can watch does so", false, true},
    {"a new gateway relies on one that can watch", true, false},
};

/* Waits for some more reports of the first sender. */
static void
wait_for_reports(struct ev_loop *loop, const struct counter *counter)
{
	unsigned int enough = counter->reports[0] + REPORTS_ENOUGH;

	while (counter->reports[0] < enough)
		ev_run(loop, EVRUN_ONCE);
}

/* A gateway that has just started, and one that has run for long or stops. */
static void
test_new_gateway(gconstpointer data)
{
	const struct alone_case *c = &alone_cases[GPOINTER_TO_SIZE(data)];
	const struct load_sync_settings old = {
	    .self = "old", .failure_domain = "z"};
	const struct load_sync_settings new = {
	    .self = "new", .failure_domain = "z", .has_seeds = true};
	struct counter counter = {
	    .handler = {.kinds = MESH_KIND(MESSAGE_LOAD),
		.ops = &counter_ops,
		.data = &counter},
	    .names = {"old"},
	};
	struct peer_gateway gateways[2] = {0};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct fake_platform *platform = fake_platform_new(loop);
	const char *seeds[1];
	ev_timer timeout;

	ev_timer_init(&timeout, on_timeout, TEST_TIMEOUT_S, 0.0);
	ev_timer_start(loop, &timeout);
	/* Else the old gateway loses the store while it waits for reports. */
	fake_platform_end_watches(platform, OBJECT_STORE_WATCH_WAIT_MS);
	fake_platform_set_config(platform, CONFIG);
	peer_gateway_start(&gateways[0], loop, platform, &old);
	peer_gateway_start(&gateways[1], loop, platform, &new);
	mesh_add_handler(gateways[1].mesh, &counter.handler);
	if (!c->hears)
		load_sync_start_draining(gateways[0].load_sync);
	seeds[0] = gateways[0].address;
	mesh_set_peers(gateways[1].mesh, MESH_SOURCE_SEEDS, seeds, 1);
	wait_for_reports(loop, &counter);
	clock_manual_advance(&gateways[1].clock, NEW_MS);
	wait_for_reports(loop, &counter);
	g_assert_cmpint(routing_state_is_watching(gateways[1].routing_state),
	    ==, c->watches);
	mesh_remove_handler(gateways[1].mesh, &counter.handler);
	for (size_t i = 0; i < G_N_ELEMENTS(gateways); i++)
		peer_gateway_stop(&gateways[i]);
	fake_platform_free(platform);
	ev_timer_stop(loop, &timeout);
	ev_loop_destroy(loop);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(cases, "/load_sync", test_case);
	g_test_add_func("/load_sync/gateways that are not in the list yet "
			"count where limits are divided",
	    test_count);
	g_test_add_func(
	    "/load_sync/the largest number that a peer knows counts "
	    "where limits are divided",
	    test_reported_count);
	g_test_add_func("/load_sync/a gateway that is not in the list yet is a "
			"peer of those that it reports to",
	    test_unlisted);
	g_test_add_func("/load_sync/a gateway relies on watchers that do not "
			"report the newest version",
	    test_watchers_without_report);
	g_test_add_func("/load_sync/a gateway that begins to watch hears from "
			"the store before its evidence lapses",
	    test_first_answer);
	ADD_CASES(alone_cases, "/load_sync", test_new_gateway);
	return g_test_run();
}
