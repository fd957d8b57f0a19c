/*
 * When rejected callers come back. Guards against callers that are told to
 * come back when they can't be served any more, before there is room, or all
 * at once.
 */
#include <math.h>
#include <stdlib.h>

#include <glib.h>

#include "cases.h"
#include "policy/return_time.h"

static const struct time_case {
	const char *name;
	struct return_ask ask;
	int64_t from_ms; /* 0: none */
	int64_t until_ms;
} cases[] = {
    {"room is there at once", {0, 10000, 100, 0.5}, 125, 125},
    {"the backlog is done first", {2000, 10000, 100, 0.0}, 2000, 2000},
    {"the last one is told half of that later", {2000, 10000, 100, 0.999}, 2999,
	3000},
    {"none is told more than it would wait, if there is room by then",
	{2800, 10000, 100, 0.999}, 2999, 3000},
    {"room comes later than it would wait", {4000, 10000, 100, 0.5}, 4000,
	6000},
    {"room comes too late to be served", {4000, 4000, 100, 0.0}, 0, 0},
    {"it could come back, but not be served", {2000, 2500, 600, 0.0}, 0, 0},
    {"no time is left", {0, 0, 0, 0.0}, 0, 0},
};

/* Runs one case. */
static void
test_time(gconstpointer data)
{
	const struct time_case *c = &cases[GPOINTER_TO_SIZE(data)];
	int64_t wait_ms = return_time_ms(&c->ask);

	g_assert_cmpint(wait_ms, >=, c->from_ms);
	g_assert_cmpint(wait_ms, <=, c->until_ms);
}

#define CALLERS	    600
#define BUCKET_MS   50.0
#define BUCKETS	    200
#define BACKLOG_MS  1500.0
#define DEADLINE_MS 10000.0

/*
 * Replays a burst whose callers are rejected at the same moment by many
 * gateways: none returns before there is room, none later than it would wait,
 * and in no 50 ms do more than twice as many return as on average.
 */
static void
test_burst(void)
{
	GRand *random = g_rand_new_with_seed(7);
	unsigned int counts[BUCKETS] = {0};
	unsigned int most = 0;

	for (int i = 0; i < CALLERS; i++) {
		const struct return_ask ask = {
		    .room_ms = BACKLOG_MS,
		    .left_ms = DEADLINE_MS,
		    .serve_ms = 100.0,
		    .phase = g_rand_double(random),
		};
		int64_t wait_ms = return_time_ms(&ask);

		g_assert_cmpint(wait_ms, >=, (int64_t)BACKLOG_MS);
		g_assert_cmpint(wait_ms, <=, (int64_t)(DEADLINE_MS / 3.0));
		counts[(size_t)(wait_ms / BUCKET_MS)]++;
	}
	for (size_t i = 0; i < BUCKETS; i++)
		most = MAX(most, counts[i]);
	g_assert_cmpfloat(
	    most, <=, 2.0 * CALLERS * BUCKET_MS / (BACKLOG_MS / 2.0));
	g_rand_free(random);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/return_time/time", test_time);
	g_test_add_func(
	    "/return_time/a burst does not come back all at once", test_burst);
	return g_test_run();
}
