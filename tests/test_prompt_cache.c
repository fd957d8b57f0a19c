/*
 * Which upstreams are believed to hold which prompt prefixes. Guards against
 * assumptions that outlive the prompt: after a flood of other prompts, a
 * restart, a departure, or where engines keep nothing; and against gateways
 * that keep being wrong.
 */
#include <stdio.h>

#include <glib.h>

#include "base/clock.h"
#include "cases.h"
#include "gateway/prompt_cache.h"
#include "users_engine.h"

#define KEEP_MS	 60000
#define GATEWAYS 10
#define ENGINES	 8
#define PREFIX	 ((uint64_t)4000)
#define OWN	 ((uint64_t)1000)
#define SAVED_MS 100.0

static const struct timespec start = {.tv_sec = 1000};

/* Returns the prefixes of a prompt: a shared one, and the whole. */
static struct prompt_prefixes
make_prefixes(uint64_t shared, uint64_t own)
{
	const struct caller_headers headers = {
	    .prompt_tokens = PREFIX + OWN,
	    .parts = {shared, own},
	    .part_count = 1,
	    .part_tokens = {PREFIX, OWN},
	    .prefix_count = 2,
	};
	struct prompt_prefixes prefixes;

	prompt_prefixes_init(&prefixes, &headers, "s", "o");
	g_assert_cmpuint(prefixes.shared_count, ==, 1);
	return prefixes;
}

/* Returns an engine's state with no other requests. */
static struct prompt_cache_upstream
make_upstream(const char *id)
{
	return (struct prompt_cache_upstream){
	    .id = id,
	    .start_wall_ms = 1,
	    .memory = users_engine.memory_tokens,
	};
}

static const struct held_case {
	const char *name;
	int64_t wait_ms;
	unsigned int others; /* own prompts there after it */
	uint64_t peers_sent;
	uint64_t own_running;
	int64_t start_wall_ms;
	bool dropped;
	uint64_t held;
} held[] = {
    {"a session that returns finds its prompt", 1000, 0, 0, 0, 1, false,
	PREFIX},
    {"a prompt is not kept for longer than configured", KEEP_MS, 0, 0, 0, 1,
	false, 0},
    {"a few other prompts leave it in memory", 1000, 50, 0, 0, 1, false,
	PREFIX},
    {"a flood of dissimilar prompts evicts it", 1000, 80, 0, 0, 1, false, 0},
    {"a flood of prompts from peers evicts it", 1000, 0, 315000, 0, 1, false,
	0},
    {"running prompts need its memory", 1000, 0, 0, 314000, 1, false, 0},
    {"an upstream that has restarted holds nothing", 1000, 0, 0, 0, 2, false,
	0},
    {"an upstream whose response was lost holds nothing", 1000, 0, 0, 0, 1,
	true, 0},
};

/* Runs one case. */
static void
test_held(gconstpointer data)
{
	const struct held_case *c = &held[GPOINTER_TO_SIZE(data)];
	struct prompt_cache *cache = prompt_cache_new(KEEP_MS);
	struct prompt_cache_upstream upstream = make_upstream("e0");
	struct prompt_prefixes prefixes = make_prefixes(1, 0);

	prompt_cache_add(cache, &upstream, &prefixes, start);
	for (unsigned int i = 1; i <= c->others; i++) {
		const struct prompt_prefixes other = make_prefixes(1 + i, i);

		prompt_cache_add(cache, &upstream, &other, start);
	}
	g_assert_cmpuint(
	    prompt_cache_count(cache), <=, PROMPT_CACHE_PREFIXES_MAX);
	if (c->dropped)
		prompt_cache_drop(cache, "e0");
	upstream.peers_sent = c->peers_sent;
	upstream.own_running = c->own_running;
	upstream.start_wall_ms = c->start_wall_ms;
	prefixes = make_prefixes(1, 999);
	g_assert_cmpuint(prompt_cache_held(cache, &upstream, &prefixes,
			     time_add_ms(start, c->wait_ms)),
	    ==, c->held);
	prompt_cache_free(cache);
}

/* What an upstream held is forgotten when it leaves the fleet. */
static void
test_leaves(void)
{
	const struct upstream_report report = {.id = "e0",
	    .service = "s",
	    .address = "127.0.0.1:1",
	    .failure_domain = "z"};
	const char *const removed[] = {"e0"};
	struct upstream_list list = {
	    .version = 1, .reports = &report, .count = 1};
	struct prompt_cache *cache = prompt_cache_new(KEEP_MS);
	struct prompt_cache_upstream upstream = make_upstream("e0");
	struct prompt_prefixes prefixes = make_prefixes(1, 0);
	struct fleet *fleet = fleet_new();
	struct timespec now = time_add_ms(start, FLEET_UNLISTED_GRACE_MS + 1);

	fleet_apply(fleet, &list, start);
	prompt_cache_add(cache, &upstream, &prefixes, start);
	prompt_cache_expire(cache, fleet, start);
	g_assert_cmpuint(prompt_cache_count(cache), ==, 2);
	list = (struct upstream_list){
	    .version = 2, .removed = removed, .removed_count = 1};
	fleet_apply(fleet, &list, start);
	list = (struct upstream_list){.version = 3};
	fleet_apply(fleet, &list, now);
	prompt_cache_expire(cache, fleet, now);
	g_assert_cmpuint(prompt_cache_count(cache), ==, 0);
	prompt_cache_free(cache);
	fleet_free(fleet);
}

/*
 * One popular prefix: its requests spread over the engines as they fill, and
 * none is packed while another one is idle.
 */
static void
test_popular(void)
{
	struct prompt_cache *cache = prompt_cache_new(KEEP_MS);
	struct balance_candidate engines[ENGINES] = {{0}};
	const struct balance_prompt prompt = {
	    .tokens = PREFIX + OWN,
	    .target_ms = 300.0,
	    .slack_ms = 300.0,
	    .left_ms = 2000.0,
	};
	char ids[ENGINES][8];
	unsigned int reused = 0;

	for (size_t i = 0; i < ENGINES; i++) {
		snprintf(ids[i], sizeof(ids[i]), "e%u", (unsigned int)i);
		engines[i].slots = users_engine.slots;
		engines[i].tie = (uint32_t)i;
	}
	for (unsigned int n = 0; n < 60; n++) {
		const struct prompt_prefixes prefixes = make_prefixes(1, n);
		struct prompt_cache_upstream upstream;
		struct balance_plan plan;

		for (size_t i = 0; i < ENGINES; i++) {
			struct affinity_prompt wanted = {
			    .tokens = prompt.tokens};

			upstream = make_upstream(ids[i]);
			wanted.held_tokens = prompt_cache_held(
			    cache, &upstream, &prefixes, start);
			engines[i].saved_ms = affinity_saved_ms(
			    &users_engine, &engines[i], &wanted);
		}
		balance_plan_prompt(
		    &users_engine, engines, ENGINES, &prompt, &plan);
		reused += engines[plan.first].saved_ms > 0.0;
		engines[plan.first].running++;
		engines[plan.first].streams[STREAM_SHORT]++;
		engines[plan.first].context_tokens += prompt.tokens;
		upstream = make_upstream(ids[plan.first]);
		prompt_cache_add(cache, &upstream, &prefixes, start);
	}
	g_assert_cmpuint(reused, ==, 55);
	for (size_t i = 0; i < ENGINES; i++)
		g_assert_cmpuint(engines[i].running, <=,
		    (unsigned int)(users_engine.slots * BALANCE_PACK_SHARE));
	prompt_cache_free(cache);
}

/*
 * Ten gateways believe in prompts that the engine has evicted: each is wrong
 * once for each prefix at most and three times in all, and then assumes nothing
 * of the engine. For a prefix that none knows all ten choose the same engine.
 */
static void
test_stale(void)
{
	const struct prompt_cache_upstream upstream = make_upstream("e0");
	const struct prompt_prefixes unknown = make_prefixes(77, 0);
	unsigned int wrong = 0;

	for (unsigned int gateway = 0; gateway < GATEWAYS; gateway++) {
		struct prompt_cache *cache = prompt_cache_new(KEEP_MS);
		const struct prompt_cache_first_token late = {
		    .upstream = "e0",
		    .service = "s",
		    .delay_ms = SAVED_MS,
		    .saved_ms = SAVED_MS,
		};

		for (uint64_t i = 0; i < 20; i++) {
			const struct prompt_prefixes prefixes = make_prefixes(
			    i, 0);

			prompt_cache_add(cache, &upstream, &prefixes, start);
		}
		for (uint64_t i = 0; i < 40; i++) {
			const struct prompt_prefixes prefixes = make_prefixes(
			    i / 2, i);

			if (prompt_cache_held(
				cache, &upstream, &prefixes, start) == 0)
				continue;
			wrong++;
			g_assert_cmpint(
			    prompt_cache_judge(cache, &late, &prefixes, start),
			    ==, AFFINITY_NOT_HELD);
			g_assert_cmpuint(prompt_cache_held(cache, &upstream,
					     &prefixes, start),
			    ==, 0);
		}
		g_assert_true(prompt_cache_is_distrusted(cache, "e0", start));
		g_assert_false(prompt_cache_is_distrusted(
		    cache, "e0", time_add_ms(start, KEEP_MS)));
		prompt_cache_free(cache);
	}
	g_assert_cmpuint(wrong, ==, GATEWAYS * 3);
	g_assert_cmpuint(affinity_home_weight(unknown.keys[0], "e1"), ==,
	    affinity_home_weight(make_prefixes(77, 5).keys[0], "e1"));
}

/* Guesses of a home lose their weight where engines keep nothing. */
static void
test_home_share(void)
{
	struct prompt_cache *cache = prompt_cache_new(KEEP_MS);
	const struct prompt_cache_upstream upstream = make_upstream("e0");
	const struct prompt_prefixes prefixes = make_prefixes(1, 0);
	const struct prompt_cache_use use = {.prompt_tokens = PREFIX + OWN};
	struct prompt_cache_first_token token = {
	    .upstream = "e0",
	    .service = "s",
	    .delay_ms = SAVED_MS,
	    .saved_ms = SAVED_MS,
	    .is_guess = true,
	};

	prompt_cache_begin(cache, &upstream, &use);
	g_assert_cmpfloat(
	    prompt_cache_share(cache, "s", true), ==, AFFINITY_HOME_SHARE);
	for (int i = 0; i < 100; i++)
		prompt_cache_judge(cache, &token, &prefixes, start);
	g_assert_cmpfloat(
	    prompt_cache_share(cache, "s", true), ==, AFFINITY_SHARE_MIN);
	token.delay_ms = 0.0;
	for (int i = 0; i < 100; i++)
		prompt_cache_judge(cache, &token, &prefixes, start);
	g_assert_cmpfloat(prompt_cache_share(cache, "s", true), >, 0.9);
	g_assert_false(prompt_cache_is_distrusted(cache, "e0", start));
	prompt_cache_free(cache);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(held, "/prompt_cache/held", test_held);
	g_test_add_func(
	    "/prompt_cache/an upstream that leaves holds nothing", test_leaves);
	g_test_add_func(
	    "/prompt_cache/one popular prefix makes no hot spot", test_popular);
	g_test_add_func("/prompt_cache/ten gateways with stale assumptions "
			"correct them",
	    test_stale);
	g_test_add_func("/prompt_cache/a home that holds nothing loses its "
			"weight",
	    test_home_share);
	return g_test_run();
}
