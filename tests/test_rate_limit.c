/*
 * Upstreams get no more requests than the rate that they name, by any way by
 * which a request reaches them, and callers beyond that are refused at once.
 */
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"

#define RATE	   "1"
#define RATE_PER_S 1.0
/* Time that callers have. */
#define CALLER_TIME_S 5.0
#define REQUESTS      60
/* The most that an upstream may get in a window: excess, slack and length. */
#define EXCESS	 1.5
#define SLACK	 5.0
#define WINDOW_S 4.0
/* Callers are refused at once if this is less than their time to wait. */
#define REFUSED_MS_MAX 1000

static const struct way_case {
	const char *name;
	const char *path;
	const char *tokens; /* prompt and output; NULL for none */
	enum fake_platform_step step; /* of all responses */
	uint64_t taken_tokens; /* of each engine's memory, by others */
} cases[] = {
    {"calls to a plain service", "/once/x", NULL, FAKE_STEP_OK, 0},
    {"requests repeated after an error", "/again/x", NULL, FAKE_STEP_ERROR, 0},
    {"requests repeated after a rejection", "/again/x", NULL, FAKE_STEP_NOT_RUN,
	0},
    {"streams", "/stream/x", NULL, FAKE_STEP_STREAM, 0},
    {"streams that are resumed", "/stream/x", NULL, FAKE_STEP_CUT_STREAM, 0},
    {"short prompts", "/prompt/x", "4000,10", FAKE_STEP_STREAM, 0},
    {"prompts read in parts", "/prompt/x", "60000,10", FAKE_STEP_STREAM, 0},
    {"prompts that need reserved memory", "/prompt/x", "60000,10",
	FAKE_STEP_STREAM, 255000},
};

/* Sends a request and waits for the end of its response. */
static void
request(struct fixture *f, const char *path)
{
	f->done = false;
	fixture_call(f, path, FIXTURE_KEY);
	RUN_UNTIL(f, f->done);
}

/* Returns whether all upstreams are known to name a rate. */
static bool
all_name_a_rate(const struct fixture *f)
{
	const struct fleet *fleet = routing_state_fleet(
	    f->exchange_context.routing_state);
	const struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		if (!upstream->process.named_rate.named)
			return false;
	}
	return true;
}

/* Takes a part of each engine's memory. */
static void
take_memory(const struct fixture *f, uint64_t tokens)
{
	const struct fleet *fleet = routing_state_fleet(
	    f->exchange_context.routing_state);
	struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry)
		upstream->peers.context_tokens = tokens;
}

/* Returns whether an upstream helps to prefill the prompt of a request. */
static bool
is_helper(const struct fake_platform_request *request,
    const struct fleet_upstream *upstream)
{
	const char *helpers = fake_platform_request_header(
	    request, "Heatherturn-Helpers");

	return helpers != NULL && strstr(helpers, upstream->address) != NULL;
}

/*
 * Returns how many of the requests from that one on an upstream got: whole
 * ones, orders, and parts of others that it prefills.
 */
static size_t
count_arrivals(const struct fixture *f, size_t first, size_t index)
{
	g_autofree char *id = g_strdup_printf("i-%zu", index);
	const struct fleet_upstream *upstream = fleet_find(
	    routing_state_fleet(f->exchange_context.routing_state), id);
	size_t count = 0;

	for (size_t i = first;
	     i < fake_platform_request_count(f->fake_platform); i++) {
		const struct fake_platform_request
		    *received = fake_platform_request(f->fake_platform, i);

		count += received->upstream == index;
		count += is_helper(received, upstream);
	}
	return count;
}

/*
 * Runs one case: once all upstreams have named their rates, many requests come
 * at once. Each is served or refused with a Retry-After.
 */
static void
test_way(gconstpointer data)
{
	const struct way_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct fixture f = {0};
	struct timespec started;
	double elapsed_s;
	size_t first;
	unsigned int told = 0;

	fixture_set_up(&f);
	fake_platform_repeat_step(f.fake_platform, FAKE_STEP_OK);
	fake_platform_name_rate(f.fake_platform, RATE);
	fixture_wait_for_routing_state(&f);
	while (!all_name_a_rate(&f))
		request(&f, "/again/x");
	fake_platform_repeat_step(f.fake_platform, c->step);
	take_memory(&f, c->taken_tokens);
	f.tokens = c->tokens;
	first = fake_platform_request_count(f.fake_platform);
	started = clock_monotonic(clock_system());
	for (int i = 0; i < REQUESTS; i++) {
		struct timespec sent = clock_monotonic(clock_system());

		request(&f, c->path);
		if (f.status != 503)
			continue;
		g_assert_cmpint(
		    time_diff_ms(clock_monotonic(clock_system()), sent), <,
		    REFUSED_MS_MAX);
		/* A time is told if the caller can be served by then. */
		if (f.retry_after == NULL)
			continue;
		g_assert_cmpfloat(
		    strtod(f.retry_after, NULL), <, CALLER_TIME_S);
		told++;
	}
	g_assert_cmpuint(told, >, 0);
	elapsed_s = (double)time_diff_ms(
			clock_monotonic(clock_system()), started) /
	    MS_PER_S;
	for (size_t i = 0; i < FAKE_PLATFORM_UPSTREAMS; i++)
		g_assert_cmpfloat((double)count_arrivals(&f, first, i), <=,
		    EXCESS * RATE_PER_S * MAX(elapsed_s, WINDOW_S) + SLACK);
	fixture_tear_down(&f);
}

/* Returns whether no upstream is known to name a rate. */
static bool
none_names_a_rate(const struct fixture *f)
{
	const struct fleet *fleet = routing_state_fleet(
	    f->exchange_context.routing_state);
	const struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		if (upstream->process.named_rate.named)
			return false;
	}
	return true;
}

/* Lets a request through to each upstream, long after its rate was named. */
static void
allow_one_request(const struct fixture *f)
{
	const struct fleet *fleet = routing_state_fleet(
	    f->exchange_context.routing_state);
	struct timespec before = time_add_ms(
	    clock_monotonic(clock_system()), -2 * NAMED_RATE_KEEP_MS);
	struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		upstream->shared_rate.tokens = 1.0;
		if (time_before(before, upstream->process.named_rate.seen_at))
			upstream->process.named_rate.seen_at = before;
	}
}

/* Requests go on as before once the responses no longer name a rate. */
static void
test_end(void)
{
	struct fixture f = {0};

	fixture_set_up(&f);
	fake_platform_repeat_step(f.fake_platform, FAKE_STEP_OK);
	fake_platform_name_rate(f.fake_platform, RATE);
	fixture_wait_for_routing_state(&f);
	while (!all_name_a_rate(&f))
		request(&f, "/again/x");
	request(&f, "/again/x");
	g_assert_cmpint(f.status, ==, 503);
	fake_platform_name_rate(f.fake_platform, NULL);
	while (!none_names_a_rate(&f)) {
		allow_one_request(&f);
		request(&f, "/again/x");
		g_assert_cmpint(f.status, ==, 200);
	}
	for (int i = 0; i < REQUESTS; i++) {
		request(&f, "/again/x");
		g_assert_cmpint(f.status, ==, 200);
	}
	fixture_tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(cases, "/rate_limit", test_way);
	g_test_add_func(
	    "/rate_limit/ends when it is no longer named", test_end);
	return g_test_run();
}
