/*
 * A refusal that an upstream wrote for an earlier request is not taken for the
 * answer to the current one: callers are not told that it has not run, it is
 * sent to no second upstream if it must run at most once, and what the refusal
 * says of its upstream is not believed.
 */
#include <string.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"
#include "raw_responses.h"
#include "raw_server.h"

#define SENDS_MAX 2
#define OTHER	  "Heatherturn-Attempt-Id: r0\r\n"
#define OWN	  "Heatherturn-Attempt-Id: r1\r\n"
#define NOT_RUN	  "Heatherturn-Not-Executed: 1\r\n"
#define EMPTY	  "Content-Length: 0\r\n\r\n"

static const struct refusal_case {
	const char *name;
	const char *status; /* and headers of the refusal but for its id */
	bool without_id; /* the refusal has no id; else another one */
} cases[] = {
    {"503 of another request", "503 Busy\r\n" NOT_RUN, false},
    {"429 of another request", "429 Wait\r\n" NOT_RUN, false},
    {"421 of another request", "421 Not me\r\n", false},
    {"408 of another request", "408 Late\r\n" NOT_RUN, false},
    {"400 of another request", "400 Bad\r\n" NOT_RUN, false},
    {"500 of another request", "500 Odd\r\n" NOT_RUN, false},
    {"200 of another request", "200 OK\r\n" NOT_RUN, false},
    {"503 of no request", "503 Busy\r\n" NOT_RUN, true},
    {"429 of no request", "429 Wait\r\n" NOT_RUN, true},
    {"421 of no request", "421 Not me\r\n", true},
    {"503 with notices",
	"503 Busy\r\n" NOT_RUN "Retry-After: 9\r\nServer-Leaving: 1\r\n"
	"Server-Limit: 1\r\nAt-Server: i-1\r\n",
	false},
};

/* Asserts that nothing is believed of any upstream. */
static void
assert_no_notices(const struct fixture *f)
{
	const struct fleet *fleet = routing_state_fleet(
	    f->exchange_context.routing_state);
	struct timespec now = clock_monotonic(clock_system());
	const struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		g_assert_false(upstream->process.named_rate.named);
		g_assert_false(fleet_upstream_announces(upstream, now));
		g_assert_false(time_before(now, upstream->process.quiet.until));
		g_assert_false(
		    time_before(now, upstream->process.faulty_until));
	}
}

/*
 * Sends a request whose first response is that and whose second is complete;
 * returns the number of upstreams that it reached.
 */
static size_t
send_request(struct fixture *f, const char *response, const char *path,
    bool single_bytes)
{
	const struct raw_response responses[SENDS_MAX] = {
	    {.bytes = response}, {WHOLE}};
	struct raw_server *server;
	size_t requests;

	fixture_set_up(f);
	server = raw_server_new(f->loop, responses, SENDS_MAX);
	if (single_bytes)
		raw_server_send_bytes(server);
	for (size_t i = 0; i < RAW_SERVER_PORTS; i++)
		fake_platform_set_upstream_port(
		    f->fake_platform, i, raw_server_port(server, i));
	httpd_start(f->callers);
	fixture_wait_for_routing_state(f);
	fixture_call(f, path, FIXTURE_KEY);
	RUN_UNTIL(f, f->done);
	requests = raw_server_requests(server);
	assert_no_notices(f);
	raw_server_free(server);
	return requests;
}

/* Runs one case for a request that runs once, and for one that may repeat. */
static void
run_case(const struct refusal_case *c, bool single_bytes)
{
	struct fixture f = {0};
	g_autofree char *response = g_strconcat(
	    "HTTP/1.1 ", c->status, c->without_id ? "" : OTHER, EMPTY, NULL);

	g_assert_cmpuint(
	    send_request(&f, response, "/once/x", single_bytes), ==, 1);
	g_assert_cmpint(f.status, ==, 502);
	g_assert_null(f.retry_after);
	fixture_tear_down(&f);
	f = (struct fixture){0};
	g_assert_cmpuint(
	    send_request(&f, response, "/again/x", single_bytes), ==, 2);
	g_assert_cmpint(f.status, ==, 200);
	fixture_tear_down(&f);
}

/* Runs one case, with the response at once and byte by byte. */
static void
test_refusal(gconstpointer data)
{
	const struct refusal_case *c = &cases[GPOINTER_TO_SIZE(data)];

	run_case(c, false);
	run_case(c, true);
}

/* The request's own refusal lets it be sent to another upstream. */
static void
test_own_refusal(void)
{
	struct fixture f = {0};

	g_assert_cmpuint(
	    send_request(
		&f, "HTTP/1.1 503 Busy\r\n" NOT_RUN OWN EMPTY, "/once/x", true),
	    ==, 2);
	g_assert_cmpint(f.status, ==, 200);
	fixture_tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(cases, "/earlier_refusal", test_refusal);
	g_test_add_func(
	    "/earlier_refusal/a request's own refusal", test_own_refusal);
	return g_test_run();
}
