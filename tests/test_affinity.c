/*
 * What a held prompt prefix is worth against waiting. Guards against hot spots
 * at the holder of a prefix, against assumptions that override slots, memory or
 * the time to the first token, and against plans that differ where nothing is
 * assumed.
 */
#include <math.h>
#include <string.h>

#include <glib.h>

#include "cases.h"
#include "policy/affinity.h"
#include "users_engine.h"

#define ENGINES	    6
#define RANDOM_RUNS 2000

/* The engines of a case; the second one holds the prefix. */
static const struct plan_case {
	const char *name;
	struct balance_candidate engines[2];
	uint64_t tokens;
	uint64_t held_tokens;
	enum stream_class class;
	bool holder; /* the holder serves it alone */
} plans[] = {
    {"a session returns to the engine that holds its prompt",
	{{.running = 5, .streams = {5}}, {0}}, 5000, 4000, STREAM_SHORT, true},
    {"a prefix too short to count does not matter",
	{{.running = 5, .streams = {5}}, {0}}, 5000, 40, STREAM_SHORT, false},
    {"a popular prefix is prefilled elsewhere once its holder is packed",
	{{.running = 5, .streams = {5}}, {.running = 12, .streams = {12}}},
	5000, 4000, STREAM_SHORT, false},
    {"a popular prefix is prefilled elsewhere once its holder has a backlog",
	{{0}, {.running = 2, .streams = {2}, .backlog_ms = 200}}, 5000, 4000,
	STREAM_SHORT, false},
    {"a full holder gets no request",
	{{.running = 15, .backlog_ms = 50}, {.running = 16}}, 5000, 4000,
	STREAM_SHORT, false},
    {"a holder without memory for the request gets none",
	{{.running = 5, .streams = {5}}, {.context_tokens = 280000}}, 5000,
	4000, STREAM_SHORT, false},
    {"a holder that fails gets no request", {{0}, {.error_share = 0.9}}, 5000,
	4000, STREAM_SHORT, false},
    {"a long prompt is not divided if its holder need prefill little", {{0}},
	150000, 145000, STREAM_LONG, true},
    {"a long prompt is divided if its holder's prefix is short", {{0}}, 150000,
	10000, STREAM_LONG, false},
    {"a long prompt does not wait for its holder", {{0}, {.backlog_ms = 2500}},
	150000, 145000, STREAM_LONG, false},
    {"a long prompt needs memory for all of its tokens at the holder",
	{{0}, {.context_tokens = 200000}}, 150000, 145000, STREAM_LONG, false},
};

/* Runs one case. */
static void
test_plan(gconstpointer data)
{
	const struct plan_case *c = &plans[GPOINTER_TO_SIZE(data)];
	struct balance_candidate candidates[ENGINES] = {{0}};
	const struct affinity_prompt held = {
	    .tokens = c->tokens, .held_tokens = c->held_tokens};
	const struct balance_prompt prompt = {
	    .tokens = c->tokens,
	    .class = c->class,
	    .target_ms = c->class == STREAM_SHORT ? 300.0 : 3000.0,
	    .slack_ms = c->class == STREAM_SHORT ? 300.0 : 3000.0,
	    .left_ms = 10000.0,
	    .gap_ms = c->class == STREAM_SHORT ? 250.0 : 1000.0,
	};
	struct balance_plan plan;

	memcpy(candidates, c->engines, sizeof(c->engines));
	for (size_t i = 0; i < ENGINES; i++) {
		candidates[i].slots = users_engine.slots;
		candidates[i].tie = (uint32_t)i;
		if (i > 1)
			candidates[i].backlog_ms += 20.0;
	}
	candidates[1].saved_ms = affinity_saved_ms(
	    &users_engine, &candidates[1], &held);
	g_assert_cmpint(balance_plan_prompt(
			    &users_engine, candidates, ENGINES, &prompt, &plan),
	    ==, BALANCE_SERVE);
	affinity_adjust_plan(
	    &users_engine, candidates, ENGINES, &prompt, &plan);
	g_assert_cmpint(
	    plan.first == 1 && plan.helper_count == 0, ==, c->holder);
	if (c->holder)
		g_assert_cmpfloat(plan.part_ms, <,
		    engine_profile_prefill_ms(&users_engine, c->tokens) / 4.0);
}

/* With nothing saved all plans are those of the load alone. */
static void
test_nothing_saved(void)
{
	GRand *random = g_rand_new_with_seed(3);

	for (int run = 0; run < RANDOM_RUNS; run++) {
		struct balance_candidate candidates[ENGINES];
		const struct balance_prompt prompt = {
		    .tokens = (uint64_t)g_rand_int_range(random, 100, 200000),
		    .class = (enum stream_class)(run % STREAM_CLASSES),
		    .target_ms = 1000.0,
		    .slack_ms = 1000.0,
		    .left_ms = 10000.0,
		};
		struct balance_plan plan;
		struct balance_plan adjusted;

		for (size_t i = 0; i < ENGINES; i++)
			candidates[i] = (struct balance_candidate){
			    .slots = users_engine.slots,
			    .running = (uint32_t)g_rand_int_range(
				random, 0, 20),
			    .backlog_ms = g_rand_double_range(random, 0, 500),
			    .tie = g_rand_int(random),
			};
		if (balance_plan_prompt(&users_engine, candidates, ENGINES,
			&prompt, &plan) != BALANCE_SERVE)
			continue;
		adjusted = plan;
		affinity_adjust_plan(
		    &users_engine, candidates, ENGINES, &prompt, &adjusted);
		g_assert_cmpmem(
		    &plan, sizeof(plan), &adjusted, sizeof(adjusted));
		for (size_t i = 0; i < ENGINES; i++)
			g_assert_cmpfloat(
			    affinity_credit_ms(&candidates[i], i % 2 == 0), ==,
			    0.0);
	}
	g_rand_free(random);
}

static const struct finding_case {
	const char *name;
	struct affinity_delay usual;
	double delay_ms;
	double saved_ms;
	enum affinity_finding finding;
} findings[] = {
    {"a first token as late as without the prefix shows that it was not held",
	{.known = false}, 100, 100, AFFINITY_NOT_HELD},
    {"a first token on time shows that the prefix was held", {.known = false},
	5, 100, AFFINITY_HELD},
    {"a first token in between shows nothing", {.known = false}, 55, 100,
	AFFINITY_UNCLEAR},
    {"a delay that all requests have now does not count",
	{.mean_ms = 150, .deviation_ms = 20, .known = true}, 150, 100,
	AFFINITY_HELD},
    {"delays that vary by more than is saved show nothing",
	{.mean_ms = 50, .deviation_ms = 200, .known = true}, 130, 20,
	AFFINITY_UNCLEAR},
    {"without an assumption nothing is shown", {.known = false}, 100, 0,
	AFFINITY_UNCLEAR},
};

/* Runs one case. */
static void
test_finding(gconstpointer data)
{
	const struct finding_case *c = &findings[GPOINTER_TO_SIZE(data)];

	g_assert_cmpint(affinity_finding(affinity_evidence(
			    &c->usual, c->delay_ms, c->saved_ms)),
	    ==, c->finding);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(plans, "/affinity/plan", test_plan);
	ADD_CASES(findings, "/affinity/finding", test_finding);
	g_test_add_func(
	    "/affinity/with nothing saved no plan changes", test_nothing_saved);
	return g_test_run();
}
