/*
 * Streams that broke off midway, through a whole gateway. Guards against
 * callers that lose a stream although an upstream can go on with it, and
 * against a response that is joined from two runs on a route without
 * resumption.
 */
#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"

#define EVENTS "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n"

static const struct resume_case {
	const char *name;
	const char *path; /* its route allows two attempts */
	enum fake_platform_step steps[FAKE_PLATFORM_STEPS_MAX];
	int64_t others_quiet_ms; /* from the start; 0 for not */
	size_t arrivals;
	bool whole; /* the caller gets the whole stream */
	bool from_start; /* the last run does not continue the first one */
} cases[] = {
    {"a rejection uses up no attempt of a stream that has begun", "/last/x",
	{FAKE_STEP_CUT_STREAM, FAKE_STEP_NOT_RUN, FAKE_STEP_STREAM}, 0, 3, true,
	false},
    {"a stream is not run more often than its route allows", "/last/x",
	{FAKE_STEP_CUT_STREAM, FAKE_STEP_CUT_STREAM}, 0, 2, false, false},
    {"a stream that has begun waits until an upstream can go on", "/last/x",
	{FAKE_STEP_CUT_STREAM, FAKE_STEP_STREAM}, 300, 2, true, false},
    {"a stream ends early if no upstream can go on before its caller leaves",
	"/last/x", {FAKE_STEP_CUT_STREAM}, 60000, 1, false, false},
    {"a silent stream is kept while no other upstream can go on", "/last/x",
	{FAKE_STEP_SLOW_STREAM}, 60000, 1, true, false},
    {"a silent stream goes on at another upstream", "/last/x",
	{FAKE_STEP_SLOW_STREAM, FAKE_STEP_STREAM}, 0, 2, true, false},
    {"events of an idempotent route are those of one run", "/again/x",
	{FAKE_STEP_CUT_STREAM, FAKE_STEP_STREAM}, 0, 2, true, true},
    {"those after a pause are too", "/again/x",
	{FAKE_STEP_SLOW_STREAM, FAKE_STEP_STREAM}, 0, 2, true, true},
};

/* Makes all upstreams but one ask for no requests. */
static void
set_others_quiet(struct fixture *f, int64_t quiet_ms)
{
	struct fleet *fleet = routing_state_fleet(
	    f->exchange_context.routing_state);
	struct timespec now = clock_monotonic(clock_system());
	struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		if (upstream != fleet_find(fleet, "i-0"))
			fleet_upstream_on_quiet(upstream, quiet_ms, now);
	}
}

/* Returns whether a run is asked for all events, not for those after one. */
static bool
is_from_start(const struct fixture *f, size_t run)
{
	return fake_platform_request_header(
		   fake_platform_request(f->fake_platform, run),
		   "Last-Event-Id") == NULL;
}

/* Runs one case. */
static void
test_case(gconstpointer data)
{
	const struct resume_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct fixture f = {0};
	g_autofree char *body = NULL;

	fixture_set_up(&f);
	fake_platform_set_steps(
	    f.fake_platform, c->steps, FAKE_PLATFORM_STEPS_MAX);
	fixture_wait_for_routing_state(&f);
	if (c->others_quiet_ms > 0)
		set_others_quiet(&f, c->others_quiet_ms);
	fixture_call(&f, c->path, FIXTURE_KEY);
	RUN_UNTIL(&f, f.done);
	body = g_strndup((const char *)f.body->data, f.body->len);
	g_assert_cmpuint(
	    fake_platform_request_count(f.fake_platform), ==, c->arrivals);
	g_assert_cmpint(f.aborted, ==, !c->whole);
	if (c->arrivals > 1)
		g_assert_cmpint(
		    is_from_start(&f, c->arrivals - 1), ==, c->from_start);
	if (c->whole) {
		g_assert_cmpint(f.status, ==, 200);
		g_assert_cmpstr(body, ==, EVENTS);
	}
	fixture_tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(cases, "/resume", test_case);
	return g_test_run();
}
