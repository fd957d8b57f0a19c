/*
 * Ranks from the configuration to the upstream: which ones a service has, what
 * an invalid one counts as, and the urgency that an upstream is told.
 */
#include <string.h>

#include <glib.h>

#include "cases.h"
#include "config_reader.h"
#include "gateway/rank_sync.h"
#include "gateway_fixture.h"
#include "routing/service_ranks.h"

#define ROUTE(name, priority)                                           \
	"{\"Name\":\"" name "\",\"Host\":\"h\",\"PathPrefix\":\"/" name \
	"/\",\"Kind\":\"stream\",\"TimeoutMs\":5000,"                   \
	"\"LatencyTargetMs\":90000,\"GapTargetMs\":250,"                \
	"\"Service\":\"s\"" priority "}"
#define QUICK_ROUTE(name, priority)                                     \
	"{\"Name\":\"" name "\",\"Host\":\"h\",\"PathPrefix\":\"/" name \
	"/\",\"Kind\":\"stream\",\"TimeoutMs\":5000,"                   \
	"\"LatencyTargetMs\":300,\"GapTargetMs\":250,"                  \
	"\"Service\":\"s\"" priority "}"
#define CONFIG(routes, tenants)                                                \
	"{\"Version\":3,\"Routes\":[" routes                                   \
	"],\"Services\":[{\"Name\":\"s\","                                     \
	"\"Engine\":{\"Slots\":16,\"KvTokens\":315000,\"read_per_s\":177000}}" \
	"],"                                                                   \
	"\"Limits\":{\"BodyBytes\":1000},\"Tenants\":[" tenants "]}"
#define OWNER(priority) "{\"Name\":\"o\",\"Keys\":[\"k1\"]" priority "}"

/* Prefill at each engine for which no caller of a quick route has time. */
#define BUSY_US 1500000
/* The same, for a caller that abandons its stream after 2 s. */
#define TOO_LATE_US 2500000
/* Less than any time for which a prompt waits; one that idle engines get. */
#define AT_ONCE_MS 1000

static const struct config_case {
	const char *name;
	const char *config;
	bool has_ranks;
	uint32_t rank; /* of a request of o to route a */
	const char *urgency;
} config_cases[] = {
    {"routes of equal ranks",
	CONFIG(ROUTE("a", ",\"Priority\":1") "," ROUTE("b", ",\"Priority\":1"),
	    OWNER("")),
	false, 1, "9"},
    {"routes without ranks",
	CONFIG(ROUTE("a", "") "," ROUTE("b", ""), OWNER("")), false, 0, "9"},
    {"routes of different ranks",
	CONFIG(ROUTE("a", ",\"Priority\":2") "," ROUTE("b", ",\"Priority\":0"),
	    OWNER("")),
	true, 2, "9"},
    {"an organisation's rank goes before that of routes of one rank",
	CONFIG(ROUTE("a", ",\"Priority\":2") "," ROUTE("b", ",\"Priority\":2"),
	    OWNER(",\"Priority\":0")),
	true, 0, "4"},
    {"an organisation that is less urgent than routes of one rank",
	CONFIG(ROUTE("a", ",\"Priority\":1") "," ROUTE("b", ",\"Priority\":1"),
	    OWNER(",\"Priority\":3")),
	true, 3, "9"},
    {"an organisation's rank goes before that of a route",
	CONFIG(ROUTE("a", ",\"Priority\":2") "," ROUTE("b", ",\"Priority\":1"),
	    OWNER(",\"Priority\":0")),
	true, 0, "2"},
    {"an organisation of the routes' rank",
	CONFIG(ROUTE("a", ",\"Priority\":2") "," ROUTE("b", ",\"Priority\":2"),
	    OWNER(",\"Priority\":2")),
	false, 2, "9"},
    {"a rank that is no number is the least urgent of its service",
	CONFIG(ROUTE("a", ",\"Priority\":\"x\"") "," ROUTE(
		   "b", ",\"Priority\":0") "," ROUTE("c", ",\"Priority\":1"),
	    OWNER("")),
	true, 1, "9"},
    {"a rank out of range is the least urgent of its service",
	CONFIG(ROUTE("a", ",\"Priority\":10") "," ROUTE(
		   "b", ",\"Priority\":0") "," ROUTE("c", ",\"Priority\":1"),
	    OWNER("")),
	true, 1, "9"},
    {"a negative rank is the least urgent of its service",
	CONFIG(ROUTE("a", ",\"Priority\":-1") "," ROUTE(
		   "b", ",\"Priority\":0") "," ROUTE("c", ",\"Priority\":1"),
	    OWNER("")),
	true, 1, "9"},
    {"an organisation's invalid rank is the least urgent of the service",
	CONFIG(ROUTE("a", ",\"Priority\":0") "," ROUTE("b", ",\"Priority\":1"),
	    OWNER(",\"Priority\":[]")),
	true, 1, "9"},
};

/* Decodes a configuration. */
static struct routing_table *
decode_config(const char *text)
{
	g_autofree char *object = g_strdup_printf(
	    "{\"Metadata\":{\"Name\":\"main\",\"Revision\":4},\"Spec\":%s}",
	    text);
	json_t *decoded = json_loads(object, 0, NULL);
	struct routing_table *table;

	g_assert_nonnull(decoded);
	table = config_reader_table(decoded, NULL);
	json_decref(decoded);
	g_assert_nonnull(table);
	return table;
}

/* Runs one case on the routing table. */
static void
test_decoded(gconstpointer data)
{
	const struct config_case *c = &config_cases[GPOINTER_TO_SIZE(data)];
	struct routing_table *table = decode_config(c->config);
	struct precedence_ranks ranks = service_ranks_find(table->ranks, "s");
	const struct organisation *owner = routing_table_find_organisation(
	    table, "k1");

	g_assert_true(ranks.has_ranks == c->has_ranks);
	g_assert_cmpuint(
	    precedence_resolve_rank(&ranks,
		routing_table_find_route(table, "h", "/a/x")->priority,
		owner->has_priority, owner->priority),
	    ==, c->rank);
	routing_table_free(table);
}

/* Runs one case on a gateway; the caller's own urgency is not passed on. */
static void
test_urgency(gconstpointer data)
{
	static const enum fake_platform_step steps[] = {FAKE_STEP_STREAM};
	const struct config_case *c = &config_cases[GPOINTER_TO_SIZE(data)];
	struct fixture f = {.config = c->config};
	const struct fake_platform_request *arrival;

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, 1);
	fixture_wait_for_routing_state(&f);
	f.tokens = "100,100";
	fixture_call(&f, "/a/x", FIXTURE_KEY);
	RUN_UNTIL(&f, fake_platform_request_count(f.fake_platform) == 1);
	arrival = fake_platform_request(f.fake_platform, 0);
	g_assert_cmpstr(fake_platform_request_header(
			    arrival, "Heatherturn-Request-Urgency"),
	    ==, c->urgency);
	RUN_UNTIL(&f, f.done);
	fixture_tear_down(&f);
}

/* A route that is removed no longer makes ranks of its service differ. */
static void
test_removal(void)
{
	struct routing_table *table = decode_config(CONFIG(
	    ROUTE("a", ",\"Priority\":2") "," ROUTE("b", ",\"Priority\":0"),
	    OWNER(",\"Priority\":2")));
	const struct route *route = routing_table_find_route(
	    table, "h", "/b/x");
	struct precedence_ranks ranks;

	g_assert_true(service_ranks_find(table->ranks, "s").has_ranks);
	service_ranks_remove_route(table->ranks, route);
	ranks = service_ranks_find(table->ranks, "s");
	g_assert_false(ranks.has_ranks);
	g_assert_cmpuint(ranks.classes[STREAM_SHORT].rank, ==, 2);
	service_ranks_add_route(table->ranks, route);
	g_assert_true(service_ranks_find(table->ranks, "s").has_ranks);
	g_assert_false(service_ranks_find(table->ranks, "t").has_ranks);
	service_ranks_remove_organisation(
	    table->ranks, routing_table_find_organisation(table, "k1"));
	g_assert_true(service_ranks_find(table->ranks, "s").has_ranks);
	routing_table_free(table);
}

/* Sets the short streams that peers report at each upstream. */
static void
set_peer_streams(struct fixture *f, uint32_t streams)
{
	struct fleet *fleet = routing_state_fleet(
	    f->exchange_context.routing_state);
	struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		upstream->peers.running = streams;
		upstream->peers.streams[STREAM_SHORT] = streams;
	}
}

/* Returns what waits of rank 2 of the service. */
static struct rank_waiting
count_rank(struct fixture *f)
{
	struct rank_waiting sums[PRECEDENCE_RANKS];

	rank_sync_sum(
	    load_sync_ranks(f->exchange_context.load_sync), "s", sums);
	return sums[2];
}

/*
 * A less urgent prompt is held back while all upstreams have more urgent
 * streams, and counted as waiting until it is sent or its caller leaves.
 */
static void
test_held_back(gconstpointer leaves)
{
	static const enum fake_platform_step steps[] = {FAKE_STEP_STREAM};
	struct fixture f = {.tokens = "60000,10",
	    .config = CONFIG(
		ROUTE("a", ",\"Priority\":2") "," ROUTE("b", ",\"Priority\":0"),
		OWNER(""))};
	struct http_call *call;

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, 1);
	fixture_wait_for_routing_state(&f);
	set_peer_streams(&f, 3);
	call = fixture_call(&f, "/a/x", FIXTURE_KEY);
	RUN_UNTIL(&f, count_rank(&f).count == 1);
	g_assert_cmpuint(count_rank(&f).tokens, ==, 60000);
	g_assert_cmpuint(fake_platform_request_count(f.fake_platform), ==, 0);
	if (leaves != NULL) {
		http_call_cancel(call);
		RUN_UNTIL(&f, count_rank(&f).count == 0);
	} else {
		set_peer_streams(&f, 0);
		RUN_UNTIL(&f, f.done);
		g_assert_cmpint(f.status, ==, 200);
	}
	g_assert_cmpuint(count_rank(&f).tokens, ==, 0);
	fixture_tear_down(&f);
}

/* Sets the prefill that peers report at each upstream. */
static void
set_peer_prefill(struct fixture *f, uint64_t prefill_us)
{
	struct fleet *fleet = routing_state_fleet(
	    f->exchange_context.routing_state);
	struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry)
		upstream->peers.prefill_us = prefill_us;
}

/* Sends a prompt and waits for the end of its response. */
static void
request(struct fixture *f, const char *path)
{
	f->done = false;
	fixture_call(f, path, FIXTURE_KEY);
	RUN_UNTIL(f, f->done);
}

/*
 * After a prompt of the most urgent rank had to be decided on while the engines
 * had no time for it, idle engines serve one of the least urgent rank at once.
 */
static void
test_served_after_rejection(void)
{
	struct fixture f = {.tokens = "60000,10",
	    .config = CONFIG(ROUTE("a", ",\"Priority\":2") "," QUICK_ROUTE(
				 "b", ",\"Priority\":0"),
		OWNER(""))};
	struct timespec before;

	fixture_set_up(&f);
	fake_platform_repeat_step(f.fake_platform, FAKE_STEP_STREAM);
	fixture_wait_for_routing_state(&f);
	request(&f, "/a/x");
	g_assert_cmpint(f.status, ==, 200);
	set_peer_prefill(&f, BUSY_US);
	request(&f, "/b/x");
	set_peer_prefill(&f, 0);
	before = clock_monotonic(clock_system());
	request(&f, "/a/x");
	g_assert_cmpint(f.status, ==, 200);
	g_assert_cmpint(time_diff_ms(clock_monotonic(clock_system()), before),
	    <, AT_ONCE_MS);
	fixture_tear_down(&f);
}

/*
 * A short prompt whose first token would come after its caller has left is
 * rejected at once, and told when the engines will have time again.
 */
static void
test_short_too_late(void)
{
	struct fixture f = {.tokens = "1000,10",
	    .config = CONFIG(QUICK_ROUTE("b", ""), OWNER(""))};

	fixture_set_up(&f);
	fake_platform_repeat_step(f.fake_platform, FAKE_STEP_STREAM);
	fixture_wait_for_routing_state(&f);
	set_peer_prefill(&f, TOO_LATE_US);
	request(&f, "/b/x");
	g_assert_cmpint(f.status, ==, 503);
	g_assert_nonnull(f.retry_after);
	g_assert_cmpuint(fake_platform_request_count(f.fake_platform), ==, 0);
	fixture_tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(config_cases, "/ranks/decoded", test_decoded);
	ADD_CASES(config_cases, "/ranks/urgency", test_urgency);
	g_test_add_data_func(
	    "/ranks/a prompt is held back, then sent", NULL, test_held_back);
	g_test_add_data_func(
	    "/ranks/the caller of a held prompt leaves", "", test_held_back);
	g_test_add_func(
	    "/ranks/a removed route no longer counts", test_removal);
	g_test_add_func("/ranks/a prompt that engines can serve is served, "
			"whoever was rejected before",
	    test_served_after_rejection);
	g_test_add_func("/ranks/a short prompt whose caller would have left is "
			"rejected at once",
	    test_short_too_late);
	return g_test_run();
}
