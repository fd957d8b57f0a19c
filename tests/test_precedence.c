/*
 * Placement by rank: which engines a less urgent prompt may use, when it is
 * held back, the urgency that upstreams are told, and that nothing changes
 * without ranks.
 */
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "cases.h"
#include "policy/precedence.h"
#include "users_engine.h"

#define ENGINES 12

/* Ranks of three kinds: short streams 0, medium ones 1, long ones 2. */
static const struct precedence_ranks three_ranks = {
    .has_ranks = true,
    .used = {true, true, true},
    .least_urgent = 2,
    .classes = {[STREAM_SHORT] = {true, 0, 250.0},
	[STREAM_MEDIUM] = {true, 1, 600.0},
	[STREAM_LONG] = {true, 2, 1000.0}},
};

static const struct urgency_case {
	const char *name;
	uint32_t rank;
	double waited_ms;
	uint32_t urgency;
} urgency_cases[] = {
    {"the most urgent rank that has time is sent behind its own late ones", 0,
	0, 2},
    {"a late request of the most urgent rank is first", 0, 1000, 0},
    {"the next rank comes after all of the first", 1, 1000, 3},
    {"the next rank with time", 1, 0, 5},
    {"the least urgent rank that is late", 2, 1000, 6},
    {"the least urgent rank with time", 2, 0, 8},
    {"half of the time is left", 2, 500, 7},
};

/* Runs one case. */
static void
test_urgency(gconstpointer data)
{
	const struct urgency_case *c = &urgency_cases[GPOINTER_TO_SIZE(data)];

	g_assert_cmpuint(
	    precedence_urgency(&three_ranks, c->rank, 1000, c->waited_ms), ==,
	    c->urgency);
}

/* Ten ranks have ten urgencies, in the same order. */
static void
test_all_ranks(void)
{
	struct precedence_ranks ranks = {.has_ranks = true, .least_urgent = 9};

	for (uint32_t i = 0; i < PRECEDENCE_RANKS; i++)
		ranks.used[i] = true;
	for (uint32_t i = 0; i < PRECEDENCE_RANKS; i++)
		g_assert_cmpuint(
		    precedence_urgency(&ranks, i, 1000, 300), ==, i);
}

static const struct rank_case {
	const char *name;
	uint32_t route;
	bool has_own;
	uint32_t own;
	uint32_t rank;
} rank_cases[] = {
    {"a route's rank", 1, false, 0, 1},
    {"an organisation's rank overrides the route's", 1, true, 0, 0},
    {"an invalid rank is the least urgent of the service",
	PRECEDENCE_RANK_INVALID, false, 0, 2},
    {"an organisation's invalid rank is the least urgent one too", 0, true,
	PRECEDENCE_RANK_INVALID, 2},
};

/* Runs one case. */
static void
test_rank(gconstpointer data)
{
	const struct rank_case *c = &rank_cases[GPOINTER_TO_SIZE(data)];

	g_assert_cmpuint(
	    precedence_resolve_rank(&three_ranks, c->route, c->has_own, c->own),
	    ==, c->rank);
}

/* State of one engine in a case. */
struct state {
	uint32_t streams[STREAM_CLASSES];
	double backlog_ms;
};

/* Kinds of prompts in the cases. */
static const struct kind {
	uint64_t tokens;
	uint32_t rank;
	double target_ms;
	double gap_ms;
} kinds[STREAM_CLASSES] = {
    [STREAM_SHORT] = {5000, 0, 250, 250},
    [STREAM_MEDIUM] = {45000, 1, 1500, 600},
    [STREAM_LONG] = {190000, 2, 6000, 1000},
};

#define IDLE                    \
	{                       \
		.backlog_ms = 0 \
	}
#define SHORT(n)                 \
	{                        \
		.streams = { n } \
	}

static const struct plan_case {
	const char *name;
	struct state engines[ENGINES];
	size_t count;
	enum stream_class class;
	double waited_ms;
	enum balance_verdict verdict;
	unsigned int allowed; /* engines, as a bit mask */
	size_t helpers_max;
} plan_cases[] = {
    {"a long prompt avoids engines with more urgent streams",
	{SHORT(4), SHORT(4), {.streams = {0, 1}}, IDLE, IDLE, IDLE, IDLE, IDLE,
	    IDLE, IDLE},
	10, STREAM_LONG, 0, BALANCE_SERVE, 0x3f8, 6},
    {"it uses fewer engines than there are, if its target allows",
	{IDLE, IDLE, IDLE, IDLE, IDLE, IDLE, IDLE, IDLE, IDLE, IDLE, IDLE,
	    IDLE},
	12, STREAM_LONG, 0, BALANCE_SERVE, 0xffe, 10},
    {"it leaves an idle engine for more urgent streams where theirs are full",
	{SHORT(9), SHORT(9), IDLE, IDLE, IDLE, IDLE, IDLE, IDLE, IDLE, IDLE},
	10, STREAM_LONG, 0, BALANCE_SERVE, 0x3f8, 6},
    {"it is held back while all engines have more urgent streams",
	{SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1),
	    SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1)},
	12, STREAM_LONG, 0, BALANCE_HELD_BACK, 0, 0},
    {"it is no longer held back once its target requires it",
	{SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1),
	    SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1)},
	12, STREAM_LONG, 4800, BALANCE_SERVE, 0xfff, 11},
    {"a medium prompt may delay long streams, but not short ones",
	{SHORT(3), {.streams = {0, 0, 1}}, {.streams = {0, 0, 1}},
	    {.streams = {0, 0, 1}}, {.streams = {0, 0, 1}}},
	5, STREAM_MEDIUM, 0, BALANCE_SERVE, 0x1e, 3},
    {"a short stream avoids an engine with a part of a long prompt",
	{{.streams = {6}, .backlog_ms = 400}, SHORT(2), {.backlog_ms = 20}}, 3,
	STREAM_SHORT, 0, BALANCE_SERVE, 0x2, 0},
    {"a short stream is served where all engines prefill long prompts",
	{{.backlog_ms = 900}, {.backlog_ms = 300}, {.backlog_ms = 800}}, 3,
	STREAM_SHORT, 0, BALANCE_SERVE, 0x2, 0},
};

/* Converts the engines of a case to candidates. */
static void
make_candidates(struct balance_candidate *candidates,
    const struct state *engines, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		candidates[i] = (struct balance_candidate){
		    .slots = ranked_engine.slots,
		    .backlog_ms = engines[i].backlog_ms,
		    .tie = (uint32_t)(count - i),
		    .order = (uint32_t)i,
		};
		for (size_t j = 0; j < STREAM_CLASSES; j++) {
			candidates[i].streams[j] = engines[i].streams[j];
			candidates[i].running += engines[i].streams[j];
		}
	}
}

/* Runs one case. */
static void
test_plan(gconstpointer data)
{
	const struct plan_case *c = &plan_cases[GPOINTER_TO_SIZE(data)];
	const struct kind *kind = &kinds[c->class];
	struct balance_candidate candidates[ENGINES];
	const struct balance_prompt prompt = {
	    .tokens = kind->tokens,
	    .output_tokens = 800,
	    .class = c->class,
	    .target_ms = kind->target_ms,
	    .waited_ms = c->waited_ms,
	    .has_ranks = true,
	    .rank = kind->rank,
	    .slack_ms = kind->target_ms - c->waited_ms,
	    .gap_ms = kind->gap_ms,
	};
	struct balance_plan plan;

	make_candidates(candidates, c->engines, c->count);
	g_assert_cmpint(precedence_plan_prompt(&ranked_engine, &three_ranks,
			    candidates, c->count, &prompt, &plan),
	    ==, c->verdict);
	g_assert_true(balance_prompt_may_wait(&prompt, c->verdict) ==
	    (c->verdict == BALANCE_HELD_BACK));
	if (c->verdict != BALANCE_SERVE)
		return;
	g_assert_cmpuint(plan.helper_count, <=, c->helpers_max);
	g_assert_true((c->allowed >> plan.first & 1) == 1);
	for (size_t i = 0; i < plan.helper_count; i++)
		g_assert_true((c->allowed >> plan.helpers[i] & 1) == 1);
}

#define EQUAL_PLANS 4000
/* Hash of the plans of test_equal_ranks by the policy before there were ranks.
 */
#define EQUAL_PLANS_HASH UINT64_C(7997332975554546865)

/* Creates a random state of an engine. */
static struct balance_candidate
random_candidate(GRand *random)
{
	struct balance_candidate candidate = {
	    .slots = ranked_engine.slots,
	    .backlog_ms = g_rand_int_range(random, 0, 3) == 0
		? g_rand_int_range(random, 0, 900)
		: 0,
	    .context_tokens = (uint64_t)g_rand_int_range(random, 0, 190000),
	    .tie = g_rand_int(random),
	};

	for (size_t i = 0; i < STREAM_CLASSES; i++) {
		candidate.streams[i] = (uint32_t)g_rand_int_range(random, 0, 4);
		candidate.running += candidate.streams[i];
	}
	return candidate;
}

/* Adds a verdict and a plan to a hash. */
static uint64_t
hash_plan(uint64_t hash, enum balance_verdict verdict,
    const struct balance_plan *plan)
{
	uint64_t numbers[3 + 2 * BALANCE_HELPERS_MAX] = {
	    verdict, plan->first, plan->helper_count};

	if (verdict != BALANCE_SERVE)
		return XXH3_64bits_withSeed(numbers, sizeof(*numbers), hash);
	for (size_t i = 0; i < plan->helper_count; i++) {
		numbers[3 + 2 * i] = plan->helpers[i];
		numbers[4 + 2 * i] = plan->reserved_tokens[i];
	}
	return XXH3_64bits_withSeed(numbers, sizeof(numbers), hash);
}

/*
 * Without different ranks, random prompts at random engines get the plans that
 * they got before there were ranks, whatever their rank.
 */
static void
test_equal_ranks(void)
{
	GRand *random = g_rand_new_with_seed(11);
	struct balance_candidate candidates[ENGINES];
	uint64_t hash = 0;

	for (int i = 0; i < EQUAL_PLANS; i++) {
		size_t class = (size_t)g_rand_int_range(
		    random, 0, STREAM_CLASSES);
		size_t count = (size_t)g_rand_int_range(random, 1, ENGINES + 1);
		const struct balance_prompt prompt = {
		    .tokens = (uint64_t)g_rand_int_range(random, 1, 3) *
			kinds[class].tokens,
		    .output_tokens = 800,
		    .class = (enum stream_class) class,
		    .target_ms = kinds[class].target_ms,
		    .waited_ms = g_rand_int_range(random, 0, 300),
		    .rank = (uint32_t) class,
		    .slack_ms = 1000,
		    .gap_ms = kinds[class].gap_ms,
		};
		struct balance_plan plan;
		enum balance_verdict verdict;

		for (size_t j = 0; j < count; j++)
			candidates[j] = random_candidate(random);
		verdict = precedence_plan_prompt(&ranked_engine, &three_ranks,
		    candidates, count, &prompt, &plan);
		hash = hash_plan(hash, verdict, &plan);
	}
	g_rand_free(random);
	g_assert_cmpuint(hash, ==, EQUAL_PLANS_HASH);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(urgency_cases, "/precedence/urgency", test_urgency);
	ADD_CASES(rank_cases, "/precedence/rank", test_rank);
	ADD_CASES(plan_cases, "/precedence/plan", test_plan);
	g_test_add_func(
	    "/precedence/ten ranks have ten urgencies", test_all_ranks);
	g_test_add_func(
	    "/precedence/equal ranks leave plans as before", test_equal_ranks);
	return g_test_run();
}
