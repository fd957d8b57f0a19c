/*
 * Choice of upstream and the retry budget.
 */
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "policy/retry.h"
#include "policy/router.h"

#define UPSTREAMS 6

static const struct {
	const char *name;
	struct router_offer offers[3];
	ssize_t expected;
} offer_cases[] = {
    {"without an accepting offer none is picked",
	{{.wait_ms = 1}, {.wait_ms = 2}}, -1},
    {"the least wait is picked",
	{{.accepting = true, .wait_ms = 90},
	    {.accepting = true, .wait_ms = 20}},
	1},
    {"a rejecting offer with a shorter wait is skipped",
	{{.wait_ms = 1}, {.accepting = true, .wait_ms = 500}}, 1},
    {"among similar waits the most cached tokens are picked",
	{{.accepting = true, .wait_ms = 20},
	    {.accepting = true, .wait_ms = 22, .cached_tokens = 1024}},
	1},
    {"among the same cached tokens the least loaded upstream is picked",
	{{.accepting = true, .running = 2, .limit = 4},
	    {.accepting = true, .running = 3, .limit = 16}},
	1},
};

/* Fills a list of untried upstreams u0 to u5. */
static void
fill_upstreams(struct router_upstream *upstreams)
{
	static const char *const ids[UPSTREAMS] = {
	    "u0", "u1", "u2", "u3", "u4", "u5"};

	for (size_t i = 0; i < UPSTREAMS; i++)
		upstreams[i] = (struct router_upstream){.id = ids[i]};
}

/* The expected offer is chosen from each list. */
static void
test_choose_offer(gconstpointer index)
{
	size_t i = GPOINTER_TO_SIZE(index);

	g_assert_cmpint(router_choose_offer(offer_cases[i].offers, 2), ==,
	    offer_cases[i].expected);
}

/* A prefix always gives the same two candidates, and a third that varies. */
static void
test_affinity(void)
{
	struct router_upstream upstreams[UPSTREAMS];
	struct router *router = router_new(ROUTER_OFFERS, 1);
	struct timespec now = time_from_ms(1000);
	size_t first[ROUTER_CANDIDATES];
	size_t again[ROUTER_CANDIDATES];
	bool changed = false;

	fill_upstreams(upstreams);
	g_assert_cmpuint(router_choose_candidates(
			     router, 7, upstreams, UPSTREAMS, now, first),
	    ==, ROUTER_CANDIDATES);
	for (int round = 0; round < 20; round++) {
		router_choose_candidates(
		    router, 7, upstreams, UPSTREAMS, now, again);
		g_assert_cmpuint(first[0], ==, again[0]);
		g_assert_cmpuint(first[1], ==, again[1]);
		changed |= first[2] != again[2];
	}
	g_assert_true(changed);
	router_free(router);
}

/* Tried upstreams are skipped, failing ones only while there are others. */
static void
test_skipped(void)
{
	struct router_upstream upstreams[UPSTREAMS];
	struct router *router = router_new(ROUTER_OFFERS, 1);
	struct timespec now = time_from_ms(1000);
	size_t chosen[ROUTER_CANDIDATES];

	fill_upstreams(upstreams);
	for (size_t i = 0; i < 4; i++)
		upstreams[i].tried = true;
	router_record_failure(router, "u4", now);
	g_assert_cmpuint(router_choose_candidates(
			     router, 0, upstreams, UPSTREAMS, now, chosen),
	    ==, 1);
	g_assert_cmpuint(chosen[0], ==, 5);
	now = time_add_ms(now, ROUTER_BACKOFF_MIN_MS);
	g_assert_cmpuint(router_choose_candidates(
			     router, 0, upstreams, UPSTREAMS, now, chosen),
	    ==, 2);
	upstreams[5].tried = true;
	router_record_failure(router, "u4", now);
	g_assert_cmpuint(router_choose_candidates(
			     router, 0, upstreams, UPSTREAMS, now, chosen),
	    ==, 1);
	g_assert_cmpuint(chosen[0], ==, 4);
	upstreams[4].tried = true;
	g_assert_cmpuint(router_choose_candidates(
			     router, 0, upstreams, UPSTREAMS, now, chosen),
	    ==, 0);
	router_free(router);
}

/* Baselines: round robin, and the least outstanding requests. */
static void
test_baselines(void)
{
	struct router_upstream upstreams[UPSTREAMS];
	struct timespec now = time_from_ms(1000);
	size_t chosen[ROUTER_CANDIDATES];
	struct router *round_robin = router_new(ROUTER_ROUND_ROBIN, 0);
	struct router *least_outstanding = router_new(
	    ROUTER_LEAST_OUTSTANDING, 0);

	fill_upstreams(upstreams);
	for (size_t i = 0; i < UPSTREAMS; i++) {
		router_choose_candidates(
		    round_robin, 0, upstreams, UPSTREAMS, now, chosen);
		g_assert_cmpuint(chosen[0], ==, i);
		router_choose_candidates(
		    least_outstanding, 0, upstreams, UPSTREAMS, now, chosen);
		g_assert_cmpuint(chosen[0], ==, i);
		router_record_sent(least_outstanding, upstreams[i].id);
	}
	router_record_done(least_outstanding, "u3");
	router_choose_candidates(
	    least_outstanding, 0, upstreams, UPSTREAMS, now, chosen);
	g_assert_cmpuint(chosen[0], ==, 3);
	router_free(round_robin);
	router_free(least_outstanding);
}

/*
 * The records of upstreams that are gone are dropped, except of those with
 * requests outstanding; those of the others are kept.
 */
static void
test_gone_upstreams(void)
{
	struct router_upstream upstreams[UPSTREAMS];
	struct timespec now = time_from_ms(1000);
	size_t chosen[ROUTER_CANDIDATES];
	struct router *router = router_new(ROUTER_LEAST_OUTSTANDING, 1);

	fill_upstreams(upstreams);
	router_choose_candidates(router, 0, upstreams, UPSTREAMS, now, chosen);
	router_record_sent(router, "u0");
	router_record_sent(router, "u5");
	router_record_failure(router, "u4", now);
	for (int i = 0; i < 3; i++) {
		now = time_add_ms(now, ROUTER_RECORD_LIFETIME_MS);
		router_choose_candidates(router, 0, upstreams, 2, now, chosen);
		g_assert_cmpuint(chosen[0], ==, 1);
	}
	g_assert_cmpuint(router_record_count(router), ==, 3);
	router_record_done(router, "u5");
	now = time_add_ms(now, ROUTER_RECORD_LIFETIME_MS);
	router_choose_candidates(router, 0, upstreams, 2, now, chosen);
	g_assert_cmpuint(router_record_count(router), ==, 2);
	router_record_done(router, "u5");
	g_assert_cmpuint(router_record_count(router), ==, 2);
	router_free(router);
}

/* Retries are limited to the initial budget and a share of successes. */
static void
test_retry_budget(void)
{
	struct retry_budget budget;
	int taken = 0;

	retry_budget_init(&budget, 10);
	while (retry_budget_take(&budget))
		taken++;
	g_assert_cmpint(taken, ==, RETRY_BUDGET_INITIAL);
	for (int i = 0; i < 10; i++)
		retry_budget_add_success(&budget);
	g_assert_true(retry_budget_take(&budget));
	g_assert_false(retry_budget_take(&budget));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(offer_cases); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/router/pick/%s", offer_cases[i].name);

		g_test_add_data_func(
		    path, GSIZE_TO_POINTER(i), test_choose_offer);
	}
	g_test_add_func("/router/a prefix always gives the same two candidates",
	    test_affinity);
	g_test_add_func(
	    "/router/tried and failing upstreams are skipped", test_skipped);
	g_test_add_func(
	    "/router/the baselines are round robin and least outstanding",
	    test_baselines);
	g_test_add_func("/router/the records of upstreams that are gone are "
			"dropped",
	    test_gone_upstreams);
	g_test_add_func("/retry/retries are limited to an initial budget and a "
			"share of successes",
	    test_retry_budget);
	return g_test_run();
}
