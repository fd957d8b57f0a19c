/*
 * What gateways tell each other of prompt parts that crash upstreams. Guards
 * against gateways that go on sending requests with such a part because they
 * have started, missed a report, or were disconnected.
 */
#include <sodium.h>

#include "cases.h"
#include "gateway/crash_sync.h"

#define GATEWAYS_MAX   68
#define TEST_TIMEOUT_S 30.0
#define PART	       77
#define SOUND	       78
#define DEATHS	       3

struct gateway {
	struct link_identity identity;
	char *address;
	struct mesh *mesh;
	struct crash_sync *sync;
	GRand *random;
};

struct fleet_test {
	struct ev_loop *loop;
	ev_timer timeout;
	size_t count;
	struct gateway gateways[GATEWAYS_MAX];
};

/* Fails a test that does not end. */
static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	g_error("not all gateways know the part");
}

/* Starts one gateway without peers. */
static void
start(struct fleet_test *t, struct gateway *gateway)
{
	const struct mesh_settings settings = {
	    .identity = &gateway->identity, .listen = "127.0.0.1:0"};

	gateway->identity = (struct link_identity){.process = "g",
	    .role = ROLE_GATEWAY,
	    .failure_domain = "z",
	    .cluster_key = "secret"};
	gateway->random = g_rand_new_with_seed(
	    (guint32)(gateway - t->gateways));
	gateway->mesh = mesh_new(t->loop, clock_system(), &settings, NULL);
	g_assert_nonnull(gateway->mesh);
	g_free(gateway->address);
	gateway->address = g_strdup_printf(
	    "127.0.0.1:%d", mesh_port(gateway->mesh));
	gateway->identity.address = gateway->address;
	gateway->sync = crash_sync_new(
	    t->loop, clock_system(), gateway->mesh, gateway->random);
}

/* Stops one gateway. */
static void
stop(struct gateway *gateway)
{
	crash_sync_free(gateway->sync);
	mesh_free(gateway->mesh);
	g_rand_free(gateway->random);
}

/* Makes the first gateways, as many as count, know each other. */
static void
connect_first(struct fleet_test *t, size_t count)
{
	const char *addresses[GATEWAYS_MAX];

	for (size_t i = 0; i < count; i++)
		addresses[i] = t->gateways[i].address;
	for (size_t i = 0; i < count; i++)
		mesh_set_peers(
		    t->gateways[i].mesh, MESH_SOURCE_SEEDS, addresses, count);
}

/* Starts gateways. */
static void
set_up(struct fleet_test *t, size_t count)
{
	t->loop = ev_loop_new(EVFLAG_AUTO);
	ev_timer_init(&t->timeout, on_timeout, TEST_TIMEOUT_S, 0.0);
	ev_timer_start(t->loop, &t->timeout);
	t->count = count;
	for (size_t i = 0; i < count; i++)
		start(t, &t->gateways[i]);
}

/* Frees all. */
static void
tear_down(struct fleet_test *t)
{
	for (size_t i = 0; i < t->count; i++) {
		stop(&t->gateways[i]);
		g_free(t->gateways[i].address);
	}
	ev_timer_stop(t->loop, &t->timeout);
	ev_loop_destroy(t->loop);
}

/* Returns whether a gateway refuses a part. */
static bool
refuses(const struct gateway *gateway, uint64_t part)
{
	const struct crash_subjects subjects = {
	    .parts = &part, .part_count = 1};

	return crash_sync_is_refused(gateway->sync, &subjects);
}

/* Runs the loop until the first gateways all refuse the part, or none does. */
static void
run_until_all(struct fleet_test *t, size_t count, uint64_t part, bool refused)
{
	size_t done = 0;

	while (done < count) {
		ev_run(t->loop, EVRUN_ONCE);
		for (done = 0; done < count &&
		     refuses(&t->gateways[done], part) == refused;
		     done++)
			;
	}
}

/* Each of the first gateways sees one upstream die. */
static void
report_deaths(struct fleet_test *t, uint64_t part)
{
	static const struct part_death_stage begun = {.begun = true};
	const struct crash_subjects subjects = {
	    .parts = &part, .part_count = 1};

	for (size_t i = 0; i < DEATHS; i++)
		crash_sync_report_death(
		    t->gateways[i].sync, i + 1, &subjects, &begun);
}

static const struct spread_case {
	const char *name;
	size_t gateways;
	size_t connected; /* when the deaths are reported */
	bool restart_last; /* after all have known */
} cases[] = {
    {"deaths that three gateways see are known to all", 8, 8, false},
    {"deaths are known to 68 gateways", GATEWAYS_MAX, GATEWAYS_MAX, false},
    {"gateways that were disconnected learn of deaths later", 8, 5, false},
    {"a gateway that restarts learns of deaths", 8, 8, true},
};

/* Runs one case. */
static void
test_spread(gconstpointer data)
{
	const struct spread_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct fleet_test t = {0};
	struct gateway *last;

	set_up(&t, c->gateways);
	last = &t.gateways[c->gateways - 1];
	connect_first(&t, c->connected);
	report_deaths(&t, PART);
	run_until_all(&t, c->connected, PART, true);
	if (c->connected < c->gateways) {
		g_assert_false(refuses(last, PART));
		connect_first(&t, c->gateways);
		run_until_all(&t, c->gateways, PART, true);
	}
	if (c->restart_last) {
		stop(last);
		start(&t, last);
		g_assert_false(refuses(last, PART));
		connect_first(&t, c->gateways);
		run_until_all(&t, c->gateways, PART, true);
	}
	g_assert_false(refuses(last, SOUND));
	tear_down(&t);
}

/*
 * A survival that one gateway knows ends the refusal by all, also where it knew
 * of the survival before the deaths were reported.
 */
static void
test_refuted(void)
{
	const uint64_t part = SOUND;
	const struct crash_subjects subjects = {
	    .parts = &part, .part_count = 1};
	struct fleet_test t = {0};

	set_up(&t, 8);
	crash_sync_report_survival(
	    t.gateways[7].sync, &subjects, clock_monotonic(clock_system()));
	connect_first(&t, 7);
	report_deaths(&t, SOUND);
	run_until_all(&t, 7, SOUND, true);
	connect_first(&t, 8);
	run_until_all(&t, 8, SOUND, false);
	tear_down(&t);
}

/*
 * Gateways at which copies of one request ran when an upstream died count that
 * death once, and learn that the request is answered from the one that knows.
 */
static void
test_request(void)
{
	const struct crash_subjects request = {.request = SOUND};
	const struct crash_subjects other = {.request = PART};
	static const struct part_death_stage in_company = {0};
	struct fleet_test t = {0};

	set_up(&t, 8);
	connect_first(&t, 8);
	for (uint64_t death = 1; death <= DEATHS; death++) {
		for (size_t i = 0; i < 8; i++)
			crash_sync_report_death(t.gateways[i].sync,
			    death == 1 ? death : death + i, &other,
			    &in_company);
		if (death < DEATHS)
			crash_sync_report_death(
			    t.gateways[death].sync, 1, &request, &in_company);
	}
	/* Once all know enough of the other request, they know of this too. */
	for (size_t done = 0; done < 8;) {
		ev_run(t.loop, EVRUN_ONCE);
		for (done = 0; done < 8 &&
		     crash_sync_is_refused(t.gateways[done].sync, &other);
		     done++)
			;
	}
	for (size_t i = 0; i < 8; i++)
		g_assert_false(
		    crash_sync_is_refused(t.gateways[i].sync, &request));
	crash_sync_report_survival(
	    t.gateways[7].sync, &other, clock_monotonic(clock_system()));
	for (size_t done = 0; done < 8;) {
		ev_run(t.loop, EVRUN_ONCE);
		for (done = 0; done < 8 &&
		     !crash_sync_is_refused(t.gateways[done].sync, &other);
		     done++)
			;
	}
	tear_down(&t);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(cases, "/crash sync", test_spread);
	g_test_add_func("/crash sync/a survival ends the refusal at all "
			"gateways",
	    test_refuted);
	g_test_add_func("/crash sync/a death at which copies of a request ran "
			"counts once, and its success is known to all",
	    test_request);
	return g_test_run();
}
