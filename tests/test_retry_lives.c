/*
 * The retry budget of all gateways is not renewed by those that are killed and
 * start again.
 */
#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"

#define RATIO 0.2
#define SLACK 40.0

static const struct lives_case {
	const char *name;
	size_t lives; /* of one gateway, in less than the budget's window */
	size_t requests; /* in each life; upstreams answer all with errors */
} cases[] = {
    {"a gateway that runs on keeps the budget", 1, 72},
    {"a gateway that is started twelve times keeps the budget", 12, 6},
};

/* Runs one life; returns the number of sends beyond each request's first. */
static size_t
run_life(size_t requests)
{
	struct fixture f = {.just_started = true};
	size_t arrivals;

	fixture_set_up(&f);
	f.exchange_context.retry.slack = SLACK;
	fake_platform_repeat_step(f.fake_platform, FAKE_STEP_ERROR);
	httpd_start(f.callers);
	fixture_wait_for_routing_state(&f);
	for (size_t i = 0; i < requests; i++) {
		f.done = false;
		fixture_call(&f, "/again/x", FIXTURE_KEY);
		RUN_UNTIL(&f, f.done);
	}
	arrivals = fake_platform_request_count(f.fake_platform);
	fixture_tear_down(&f);
	g_assert_cmpuint(arrivals, >=, requests);
	return arrivals - requests;
}

/* Runs one case. */
static void
test_lives(gconstpointer data)
{
	const struct lives_case *c = &cases[GPOINTER_TO_SIZE(data)];
	size_t retries = 0;

	for (size_t i = 0; i < c->lives; i++)
		retries += run_life(c->requests);
	g_assert_cmpfloat((double)retries, <=,
	    RATIO * (double)(c->lives * c->requests) + SLACK);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(cases, "/retry_lives", test_lives);
	return g_test_run();
}
