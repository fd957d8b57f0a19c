/*
 * Prompts for which engines reserve memory, through a whole gateway whose
 * upstreams take them and begin none. Guards against memory that is kept, and a
 * caller that waits, until the caller leaves, and against a late release that
 * ends the memory of a later send.
 */
#include <string.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"

/* A prompt that needs the memory of two engines. */
#define TOKENS "1500,10"
#define CONFIG                                                           \
	"{\"Version\":1,\"Routes\":["                                    \
	"{\"Name\":\"again\",\"Host\":\"h\",\"PathPrefix\":\"/again/\"," \
	"\"Kind\":\"stream\",\"TimeoutMs\":15000,"                       \
	"\"LatencyTargetMs\":1000,\"GapTargetMs\":1000,\"Attempts\":2,"  \
	"\"CanResume\":true,\"Service\":\"s\"},"                         \
	"{\"Name\":\"once\",\"Host\":\"h\",\"PathPrefix\":\"/once/\","   \
	"\"Kind\":\"stream\",\"TimeoutMs\":15000,"                       \
	"\"LatencyTargetMs\":1000,\"GapTargetMs\":1000,\"Attempts\":2,"  \
	"\"Service\":\"s\"}],"                                           \
	"\"Services\":[{\"Name\":\"s\",\"Engine\":{\"Slots\":16,"        \
	"\"KvTokens\":1000,\"read_per_s\":177000}}],"                    \
	"\"Limits\":{\"BodyBytes\":1000},"                               \
	"\"Tenants\":[{\"Name\":\"o\",\"Keys\":[\"k1\"]}]}"

static const struct prompt_case {
	const char *name;
	const char *path;
	enum fake_platform_step first; /* of the upstreams */
	bool just_started; /* the gateway has no share of the retry slack */
	size_t arrivals;
	int status;
} cases[] = {
    {"a prompt that no engine begins is sent to another", "/again/x",
	FAKE_STEP_HANG, false, 2, 200},
    {"a response without an event is no begin", "/again/x", FAKE_STEP_BEGIN,
	false, 2, 200},
    {"one that may not be repeated fails at once", "/once/x", FAKE_STEP_HANG,
	false, 1, 502},
    {"one without a retry left fails at once", "/again/x", FAKE_STEP_HANG, true,
	1, 502},
};

/* Returns how many orders of a kind have been granted. */
static size_t
count_orders(const struct fixture *f, const char *kind)
{
	const GPtrArray *orders = fake_platform_orders(f->fake_platform);
	size_t count = 0;

	for (guint i = 0; i < orders->len; i++)
		count += strstr(orders->pdata[i], kind) != NULL;
	return count;
}

/* Runs one case. The memory may go unused until its first renewal is due. */
static void
test_prompt(gconstpointer data)
{
	const struct prompt_case *c = &cases[GPOINTER_TO_SIZE(data)];
	const enum fake_platform_step steps[] = {c->first, FAKE_STEP_STREAM};
	struct fixture f = {.config = CONFIG,
	    .tokens = TOKENS,
	    .just_started = c->just_started};

	fixture_set_up(&f);
	f.exchange_context.unused_max_ms = f.exchange_context.hold_ms;
	fake_platform_grant_orders(f.fake_platform);
	fake_platform_set_steps(f.fake_platform, steps, G_N_ELEMENTS(steps));
	fixture_wait_for_routing_state(&f);
	fixture_call(&f, c->path, FIXTURE_KEY);
	RUN_UNTIL(&f, f.done);
	g_assert_cmpuint(
	    fake_platform_request_count(f.fake_platform), ==, c->arrivals);
	g_assert_cmpint(f.status, ==, c->status);
	RUN_UNTIL(&f, count_orders(&f, "\"release\"") == c->arrivals);
	g_assert_cmpuint(count_orders(&f, "\"reserve\""), ==, c->arrivals);
	fixture_tear_down(&f);
}

/* Returns the id of the memory that a request names. */
static const char *
find_reservation(const struct fixture *f, size_t request)
{
	const char *helpers = fake_platform_request_header(
	    fake_platform_request(f->fake_platform, request),
	    "Heatherturn-Helpers");

	g_assert_nonnull(helpers);
	g_assert_nonnull(strchr(helpers, '/'));
	return strchr(helpers, '/');
}

/* Each send has memory of its own. */
static void
test_ids(void)
{
	static const enum fake_platform_step steps[] = {
	    FAKE_STEP_NOT_RUN, FAKE_STEP_STREAM};
	struct fixture f = {.config = CONFIG, .tokens = TOKENS};

	fixture_set_up(&f);
	fake_platform_grant_orders(f.fake_platform);
	fake_platform_set_steps(f.fake_platform, steps, G_N_ELEMENTS(steps));
	fixture_wait_for_routing_state(&f);
	fixture_call(&f, "/again/x", FIXTURE_KEY);
	RUN_UNTIL(&f, f.done);
	g_assert_cmpint(f.status, ==, 200);
	g_assert_cmpstr(find_reservation(&f, 0), !=, find_reservation(&f, 1));
	fixture_tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(cases, "/reserved_prompt", test_prompt);
	g_test_add_func("/reserved_prompt/a late release ends no other send's "
			"memory",
	    test_ids);
	return g_test_run();
}
