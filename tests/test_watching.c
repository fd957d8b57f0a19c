/*
 * Which processes watch the store: few of those that start together, and enough
 * of those that run.
 */
#include <glib.h>

#include "cases.h"
#include "gateway/load_sync.h"
#include "policy/watching.h"

#define GATEWAYS    68
#define SEEDS	    3
#define STEP_MS	    100
#define START_MS    (2 * WATCHING_SETTLE_MS)
#define KNOWN_MS    3000 /* until the processes know each other */
#define WATCHERS    3
#define CALLS_PER_S (3 * 5) /* of a watching process while upstreams start */
#define CALLS_MAX   200

/* Interval of reports with a few peers, and with some hundred. */
#define ROUND_MS      120
#define ROUND_LONG_MS 1400
/* Silence after which a new process watches, with a few peers. */
#define SILENCE_MS (WATCHING_SILENCE_MS + WATCHING_SILENCE_ROUNDS * ROUND_MS)

static const struct watching_case {
	const char *name;
	struct watching_input input;
	bool needed;
} cases[] = {
    {"a seed watches at once", {.is_seed = true, .has_seeds = true}, true},
    {"a process without seeds watches at once", {.has_seeds = false}, true},
    {"a process with seeds does not watch at once",
	{.has_seeds = true, .elected = true, .elected_new = true}, false},
    {"once complete, it does not watch while it hears from one that can",
	{.age_ms = WATCHING_SETTLE_MS - 1,
	    .has_seeds = true,
	    .complete = true,
	    .elected = true,
	    .elected_new = true},
	false},
    {"it watches if those that can do not say that it has the newest",
	{.age_ms = WATCHING_SETTLE_MS,
	    .has_seeds = true,
	    .complete = true,
	    .unreported_ms = 1751,
	    .max_age_ms = 2000},
	true},
    {"it does not watch while they say so",
	{.age_ms = WATCHING_SETTLE_MS,
	    .has_seeds = true,
	    .complete = true,
	    .unreported_ms = 1750,
	    .max_age_ms = 2000},
	false},
    {"of many that have just started, none watches for that reason",
	{.age_ms = WATCHING_SETTLE_MS - 1,
	    .has_seeds = true,
	    .complete = true,
	    .unreported_ms = 4000,
	    .max_age_ms = 2000},
	false},
    {"a new process that hears from none that can watch does so",
	{.age_ms = SILENCE_MS,
	    .silence_ms = SILENCE_MS,
	    .round_ms = ROUND_MS,
	    .has_seeds = true,
	    .complete = true,
	    .elected = true,
	    .elected_new = true},
	true},
    {"a new process does not watch before it could have heard",
	{.age_ms = SILENCE_MS - 1,
	    .silence_ms = SILENCE_MS - 1,
	    .round_ms = ROUND_MS,
	    .has_seeds = true,
	    .complete = true,
	    .elected = true,
	    .elected_new = true},
	false},
    {"with many peers it waits for longer rounds",
	{.age_ms = SILENCE_MS,
	    .silence_ms = SILENCE_MS,
	    .round_ms = ROUND_LONG_MS,
	    .has_seeds = true,
	    .complete = true,
	    .elected = true,
	    .elected_new = true},
	false},
    {"a new process does not watch if enough new ones rank before it",
	{.age_ms = SILENCE_MS,
	    .silence_ms = SILENCE_MS,
	    .round_ms = ROUND_MS,
	    .has_seeds = true,
	    .complete = true,
	    .elected = true},
	false},
    {"an elected process watches",
	{.age_ms = WATCHING_SETTLE_MS,
	    .has_seeds = true,
	    .complete = true,
	    .elected = true},
	true},
    {"a process that is not elected does not watch",
	{.age_ms = WATCHING_SETTLE_MS, .has_seeds = true, .complete = true},
	false},
    {"a seed that is not elected does not watch",
	{.age_ms = WATCHING_SETTLE_MS,
	    .is_seed = true,
	    .has_seeds = true,
	    .complete = true},
	false},
};

/* Runs one case. */
static void
test_case(gconstpointer data)
{
	const struct watching_case *c = &cases[GPOINTER_TO_SIZE(data)];

	g_assert_cmpint(watching_is_needed(&c->input), ==, c->needed);
}

/* Numbers of gateways that run, and the times that a change may take. */
static const struct calm_case {
	const char *name;
	int64_t gateways;
	int64_t max_age_ms;
} calm_cases[] = {
    {"5 gateways, 1.5 s", 5, 1500},
    {"31 gateways, 1.5 s", 31, 1500},
    {"68 gateways, 1.5 s", 68, 1500},
    {"31 gateways, 2 s", 31, 2000},
    {"68 gateways, 2 s", 68, 2000},
    {"68 gateways, 3 s", 68, 3000},
    {"300 gateways, 3 s", 300, 3000},
    {"300 gateways, 4 s", 300, 4000},
};

/*
 * In calm operation a report is up to a watch's wait and a round old. While
 * that is within the time that a change may take, others rely on those that
 * watch.
 */
static void
test_calm(gconstpointer data)
{
	const struct calm_case *c = &calm_cases[GPOINTER_TO_SIZE(data)];
	int64_t wait_ms = watching_wait_ms(c->max_age_ms);
	int64_t round_ms = LOAD_SYNC_ROUND_MS +
	    (c->gateways - 1) * LOAD_SYNC_ROUND_PEER_MS;
	const struct watching_input input = {
	    .age_ms = WATCHING_SETTLE_MS,
	    .round_ms = round_ms,
	    .has_seeds = true,
	    .complete = true,
	    .unreported_ms = wait_ms + round_ms,
	    .max_age_ms = c->max_age_ms,
	};

	g_assert_cmpint(input.unreported_ms, <, input.max_age_ms);
	g_assert_false(watching_is_needed(&input));
}

/* How all processes start at once. */
struct start {
	bool has_seeds;
	bool seeds_run; /* and report, once they are known */
};

/*
 * Replays the start of all processes at once, with calls for each upstream that
 * starts too. Without seeds, all watch until they know each other.
 */
static double
count_start_calls(const struct start *start)
{
	double calls = 0.0;

	for (int i = start->seeds_run ? 0 : SEEDS; i < GATEWAYS; i++) {
		for (int ms = 0; ms < START_MS; ms += STEP_MS) {
			bool hears = start->seeds_run && ms >= KNOWN_MS / 2;
			const struct watching_input input = {
			    .age_ms = ms,
			    .silence_ms = hears ? 0 : ms,
			    .round_ms = ROUND_MS,
			    .is_seed = start->has_seeds &&
				i<SEEDS, .has_seeds = start->has_seeds,
				    .complete = ms> 0,
			    .elected = ms < KNOWN_MS || i < WATCHERS,
			    /* New processes hear from each other. */
			    .elected_new = ms < KNOWN_MS / 2 ||
				i < SEEDS + WATCHERS,
			};

			if (watching_is_needed(&input) && ms < KNOWN_MS)
				calls += CALLS_PER_S * STEP_MS / 1000.0;
		}
	}
	return calls;
}

/* A common start makes few calls, also if no seed comes back. */
static void
test_start(void)
{
	const struct start usual = {.has_seeds = true, .seeds_run = true};
	const struct start no_seeds = {.has_seeds = false, .seeds_run = true};
	const struct start seeds_gone = {.has_seeds = true};

	g_assert_cmpfloat(count_start_calls(&usual), <=, CALLS_MAX);
	g_assert_cmpfloat(count_start_calls(&seeds_gone), <=, CALLS_MAX);
	g_assert_cmpfloat(
	    count_start_calls(&no_seeds), >, 10 * count_start_calls(&usual));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/watching", test_case);
	ADD_CASES(calm_cases, "/watching/calm", test_calm);
	g_test_add_func(
	    "/watching/a start of all processes makes few calls", test_start);
	return g_test_run();
}
