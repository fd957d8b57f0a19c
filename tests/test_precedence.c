/*
 * Placement by rank and by the callers' time: which engines a prompt may use,
 * when it is held back or rejected for more urgent ones, and the urgency that
 * upstreams are told.
 */
#include <string.h>

#include <glib.h>

#include "cases.h"
#include "policy/caller_time.h"
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

/* The same kinds with one rank. */
static const struct precedence_ranks one_rank = {
    .used = {true},
    .classes = {[STREAM_SHORT] = {true, 0, 250.0},
	[STREAM_MEDIUM] = {true, 0, 600.0},
	[STREAM_LONG] = {true, 0, 1000.0}},
};

/* The first three, with organisations that are as urgent as the first. */
static const struct precedence_ranks urgent_organisation = {
    .has_ranks = true,
    .used = {true, true, true},
    .least_urgent = 2,
    .classes = {[STREAM_SHORT] = {true, 2, 250.0},
	[STREAM_MEDIUM] = {true, 2, 600.0},
	[STREAM_LONG] = {true, 2, 1000.0}},
};

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
	bool waits;
	const struct precedence_ranks *ranks;
	unsigned int allowed; /* engines, as a bit mask */
	size_t helpers_max;
} plan_cases[] = {
    {"a long prompt avoids engines with more urgent streams",
	{SHORT(4), SHORT(4), {.streams = {0, 1}}, IDLE, IDLE, IDLE, IDLE, IDLE,
	    IDLE, IDLE},
	10, STREAM_LONG, 0, BALANCE_SERVE, false, &three_ranks, 0x3f8, 6},
    {"it uses fewer engines than there are, if its target allows",
	{IDLE, IDLE, IDLE, IDLE, IDLE, IDLE, IDLE, IDLE, IDLE, IDLE, IDLE,
	    IDLE},
	12, STREAM_LONG, 0, BALANCE_SERVE, false, &three_ranks, 0xffe, 10},
    {"it leaves an idle engine for more urgent streams where theirs are full",
	{SHORT(9), SHORT(9), IDLE, IDLE, IDLE, IDLE, IDLE, IDLE, IDLE, IDLE},
	10, STREAM_LONG, 0, BALANCE_SERVE, false, &three_ranks, 0x3f8, 6},
    {"the only engine without more urgent streams is not kept from it",
	{SHORT(9), IDLE}, 2, STREAM_MEDIUM, 0, BALANCE_SERVE, false,
	&three_ranks, 0x2, 0},
    {"it waits while it would delay more urgent streams on all engines",
	{SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1),
	    SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1)},
	12, STREAM_LONG, 0, BALANCE_DELAYS_OTHERS, true, &three_ranks, 0, 0},
    {"it is rejected, not served at their cost, once it can't be in time",
	{SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1),
	    SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1)},
	12, STREAM_LONG, 5000, BALANCE_DELAYS_OTHERS, false, &three_ranks, 0,
	0},
    {"a prompt that would delay none is held back while it has time",
	{SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1),
	    SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1)},
	12, STREAM_MEDIUM, 0, BALANCE_HELD_BACK, true, &three_ranks, 0, 0},
    {"and is served when its target requires it",
	{SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1),
	    SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1)},
	12, STREAM_MEDIUM, 1000, BALANCE_SERVE, false, &three_ranks, 0xfff, 11},
    {"streams of its rank that are not delayed hold nothing back",
	{SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1),
	    SHORT(1), SHORT(1), SHORT(1), SHORT(1), SHORT(1)},
	12, STREAM_MEDIUM, 0, BALANCE_SERVE, false, &one_rank, 0xfff, 11},
    {"an urgent organisation's long prompt does not block all engines",
	{SHORT(4), SHORT(4), SHORT(4), SHORT(4), SHORT(4), SHORT(4), SHORT(4),
	    SHORT(4), SHORT(4), SHORT(4), SHORT(4), SHORT(4)},
	12, STREAM_LONG, 0, BALANCE_DELAYS_OTHERS, true, &urgent_organisation,
	0, 0},
    {"it prefers engines without streams that have less time",
	{SHORT(9), SHORT(9), IDLE, IDLE, IDLE, IDLE, IDLE, IDLE}, 8,
	STREAM_LONG, 0, BALANCE_SERVE, false, &one_rank, 0xfc, 5},
    {"a medium prompt may delay long streams, but not short ones",
	{SHORT(3), {.streams = {0, 0, 1}}, {.streams = {0, 0, 1}},
	    {.streams = {0, 0, 1}}, {.streams = {0, 0, 1}}},
	5, STREAM_MEDIUM, 0, BALANCE_SERVE, false, &three_ranks, 0x1e, 3},
    {"a short stream avoids an engine with a part of a long prompt",
	{{.streams = {6}, .backlog_ms = 400}, SHORT(2), {.backlog_ms = 20}}, 3,
	STREAM_SHORT, 0, BALANCE_SERVE, false, &three_ranks, 0x2, 0},
    {"a short stream is served where all engines prefill long prompts",
	{{.backlog_ms = 900}, {.backlog_ms = 300}, {.backlog_ms = 800}}, 3,
	STREAM_SHORT, 0, BALANCE_SERVE, false, &three_ranks, 0x2, 0},
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
	    .rank = c->ranks == &three_ranks ? kind->rank : 0,
	    .route_rank = c->ranks == &one_rank ? 0 : kind->rank,
	    .slack_ms = kind->target_ms - c->waited_ms,
	    .left_ms = caller_time_stream_ms(kind->target_ms, kind->gap_ms) -
		c->waited_ms,
	    .gap_ms = kind->gap_ms,
	};
	struct balance_plan plan;
	enum balance_verdict verdict;

	make_candidates(candidates, c->engines, c->count);
	verdict = precedence_plan_prompt(
	    &ranked_engine, c->ranks, candidates, c->count, &prompt, &plan);
	g_assert_cmpint(verdict, ==, c->verdict);
	g_assert_true(
	    balance_prompt_may_wait(&prompt, verdict, &plan) == c->waits);
	if (c->verdict != BALANCE_SERVE)
		return;
	g_assert_cmpuint(plan.helper_count, <=, c->helpers_max);
	g_assert_true((c->allowed >> plan.first & 1) == 1);
	for (size_t i = 0; i < plan.helper_count; i++)
		g_assert_true((c->allowed >> plan.helpers[i] & 1) == 1);
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
	return g_test_run();
}
