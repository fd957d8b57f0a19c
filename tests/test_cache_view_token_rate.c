/*
 * The sidecar's view of the engine: the cached prefixes and the token rate.
 */
#include "base/clock.h"
#include "sidecar/cache_view.h"
#include "sidecar/token_rate.h"

#define START_MS     1000000
#define PREFIXES_MAX 3

/* Changes of a view, and the result for a prompt with prefixes 10, 20, 30. */
struct cache_case {
	const char *name;
	struct upstream_cache_event events[4];
	size_t event_count;
	size_t ran; /* its prefixes that were run before the events */
	int64_t
	    reported; /* cached tokens that a run reports; -1 for no report */
	bool restarted;
	uint64_t cached;
	uint64_t gaps;
};

static const struct cache_case cache_cases[] = {
    {"an empty cache has nothing", .reported = -1},
    {"the longest prefix counts", {{1, true, 10}, {2, true, 20}}, 2,
	.reported = -1, .cached = 2048},
    {"a longer prefix counts without the shorter", {{1, true, 30}}, 1,
	.reported = -1, .cached = 4096},
    {"an evicted prefix does not count", {{1, true, 10}, {2, false, 10}}, 2,
	.reported = -1},
    {"a duplicate event changes nothing",
	{{1, true, 10}, {2, false, 10}, {1, true, 10}}, 3, .reported = -1},
    {"a missing event is counted", {{1, true, 10}, {4, true, 20}}, 2,
	.reported = -1, .cached = 2048, .gaps = 1},
    {"prefixes that were run count before their events", .ran = 2,
	.reported = -1, .cached = 2048},
    {"the cached tokens that a run reports correct the view", .ran = 3,
	.reported = 1024, .cached = 1024},
    {"a restart empties the view", {{1, true, 10}}, 1, .ran = 3, .reported = -1,
	.restarted = true},
};

/* The cached tokens and the gaps are as expected. */
static void
test_cache(gconstpointer data)
{
	const struct cache_case *c = data;
	uint64_t items[PREFIXES_MAX] = {10, 20, 30};
	struct u64_array all = {items, PREFIXES_MAX}, ran = {items, c->ran};
	struct cache_view *view = cache_view_new();

	cache_view_add_prompt(view, &ran);
	cache_view_apply_events(view, c->events, c->event_count);
	if (c->reported >= 0)
		cache_view_correct(view, &all, (uint64_t)c->reported);
	if (c->restarted)
		cache_view_clear(view);
	g_assert_cmpuint(cache_view_cached_tokens(view, &all), ==, c->cached);
	g_assert_cmpuint(cache_view_gap_count(view), ==, c->gaps);
	cache_view_free(view);
}

/* Token rates of an engine, in tokens per second and run, for each window. */
struct token_rate_case {
	const char *name;
	int rates[12];
	size_t count;
	uint32_t generating;
	int64_t window_ms;
	bool collapsed;
};

static const struct token_rate_case token_rate_cases[] = {
    {"a steady rate is no collapse", {50, 50, 50, 50, 50, 50, 50, 50}, 8, 2,
	1000, false},
    {"one slow window is no collapse", {50, 50, 50, 50, 50, 50, 5}, 7, 2, 1000,
	false},
    {"two slow windows are a collapse", {50, 50, 50, 50, 50, 50, 5, 5}, 8, 2,
	1000, true},
    {"half the baseline is no collapse", {50, 50, 50, 50, 50, 50, 25, 25}, 8, 2,
	1000, false},
    {"without a baseline there is no collapse", {50, 50, 1, 1}, 4, 2, 1000,
	false},
    {"a return to the baseline ends a collapse",
	{50, 50, 50, 50, 50, 50, 5, 5, 5, 50}, 10, 2, 1000, false},
    {"a window in which this process stalled is ignored",
	{50, 50, 50, 50, 50, 50, 1, 1}, 8, 2, 2000, false},
};

/* The windows of a case lead to a collapse or not. */
static void
test_token_rate(gconstpointer data)
{
	const struct token_rate_case *c = data;
	struct timespec now = time_from_ms(START_MS);
	struct token_rate token_rate;

	token_rate_init(&token_rate, now);
	for (size_t i = 0; i < c->count; i++) {
		token_rate_add(
		    &token_rate, (uint32_t)c->rates[i] * c->generating);
		now = time_add_ms(now, c->window_ms);
		token_rate_update(&token_rate, c->generating, now);
	}
	g_assert_cmpint(token_rate_is_collapsed(&token_rate), ==, c->collapsed);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cache_cases); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/cache_view/%s", cache_cases[i].name);

		g_test_add_data_func(path, &cache_cases[i], test_cache);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(token_rate_cases); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/token_rate/%s", token_rate_cases[i].name);

		g_test_add_data_func(
		    path, &token_rate_cases[i], test_token_rate);
	}
	return g_test_run();
}
