/*
 * Prompt prefixes through a whole gateway. Guards against assumptions from
 * requests that were not answered, and against choices that change while
 * prompts are not tracked.
 */
#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"

#define KEEP_MS	 60000
#define REQUESTS 6

static const struct prefix_case {
	const char *name;
	const char *path;
	const char *parts;
	enum fake_platform_step steps[FAKE_PLATFORM_STEPS_MAX];
	size_t prefixes; /* believed to be held afterwards */
} cases[] = {
    {"the prompt of an answered stream is held", "/prompt/x",
	"a:2000,b:1000,e:10", {FAKE_STEP_STREAM}, 3},
    {"a part without a token count ends the prefix", "/prompt/x",
	"a:2000,b,e:10", {FAKE_STEP_STREAM}, 1},
    {"parts longer than the prompt are left out", "/prompt/x", "a:9000,e:10",
	{FAKE_STEP_STREAM}, 0},
    {"the prompt of a broken stream is not held", "/prompt/x",
	"a:2000,b:1000,e:10", {FAKE_STEP_CUT_STREAM}, 0},
    {"the prompt of a rejected request is not held", "/prompt/x",
	"a:2000,b:1000,e:10", {FAKE_STEP_NOT_RUN, FAKE_STEP_NOT_RUN}, 0},
    {"the prompt of a failed request is not held", "/prompt/x",
	"a:2000,b:1000,e:10", {FAKE_STEP_ERROR, FAKE_STEP_ERROR}, 0},
    {"only the upstream that answered in the end holds the prompt", "/prompt/x",
	"a:2000,e:10", {FAKE_STEP_NOT_RUN, FAKE_STEP_STREAM}, 2},
};

/* Sends a request and waits for its end. */
static void
request(struct fixture *f, const char *path)
{
	f->done = false;
	fixture_call(f, path, FIXTURE_KEY);
	RUN_UNTIL(f, f->done && f->exchange_context.open == 0);
}

/* Runs one case. */
static void
test_case(gconstpointer data)
{
	const struct prefix_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct fixture f = {.tokens = "3010,50", .parts = c->parts};

	fixture_set_up(&f);
	f.exchange_context.prompt_cache = prompt_cache_new(KEEP_MS);
	fake_platform_set_steps(
	    f.fake_platform, c->steps, FAKE_PLATFORM_STEPS_MAX);
	fixture_wait_for_routing_state(&f);
	request(&f, c->path);
	g_assert_cmpuint(prompt_cache_count(f.exchange_context.prompt_cache),
	    ==, c->prefixes);
	fixture_tear_down(&f);
	prompt_cache_free(f.exchange_context.prompt_cache);
}

/* Returns the upstreams that serve some requests, as the digits of a number. */
static unsigned int
serve(const char *parts, int64_t keep_ms)
{
	struct fixture f = {.tokens = "3010,50", .parts = parts};
	unsigned int upstreams = 0;

	fixture_set_up(&f);
	if (keep_ms > 0)
		f.exchange_context.prompt_cache = prompt_cache_new(keep_ms);
	fake_platform_repeat_step(f.fake_platform, FAKE_STEP_STREAM);
	fixture_wait_for_routing_state(&f);
	g_rand_set_seed(f.exchange_context.random, 11);
	for (size_t i = 0; i < REQUESTS; i++) {
		request(&f, "/prompt/x");
		upstreams = upstreams * 10 +
		    (unsigned int)fake_platform_request(f.fake_platform, i)
			->upstream;
	}
	fixture_tear_down(&f);
	prompt_cache_free(f.exchange_context.prompt_cache);
	return upstreams;
}

/* While prompts are not tracked their parts change no choice. */
static void
test_off(void)
{
	g_assert_cmpuint(serve("a:2000,e:10", 0), ==, serve(NULL, 0));
	g_assert_cmpuint(serve(NULL, KEEP_MS), ==, serve(NULL, 0));
}

/* Requests with the same prefix go to the upstream that holds it. */
static void
test_returns(void)
{
	unsigned int upstreams = serve("a:2000,e:10", KEEP_MS);

	g_assert_cmpuint(upstreams % 111111, ==, 0);
	g_assert_cmpuint(serve(NULL, KEEP_MS) % 111111, !=, 0);
}

int
main(int argc, char **argv)
{
	if (sodium_init() < 0)
		return EXIT_FAILURE;
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/prompt_prefix", test_case);
	g_test_add_func("/prompt_prefix/without the setting parts change no "
			"choice",
	    test_off);
	g_test_add_func(
	    "/prompt_prefix/a prefix returns to its holder", test_returns);
	return g_test_run();
}
