/*
 * Distance between failure domains against waiting. Replays loads on engines in
 * three failure domains. Guards against requests that cross to another one for
 * nothing, against an overloaded one that does not use the room of the others,
 * and against any change where they are close.
 */
#include <string.h>

#include <glib.h>

#include "cases.h"
#include "policy/locality.h"
#include "users_engine.h"

#define DOMAINS	   3
#define PER_DOMAIN 8
#define ENGINES	   ((size_t)DOMAINS * PER_DOMAIN)
#define ROUNDS	   600
#define ROUND_MS   20.0
/* Rounds for which a short stream decodes. */
#define SHORT_ROUNDS 100

static const char *const names[DOMAINS] = {"a", "b", "c"};

/* A load of the failure domain a, and a lesser or equal one of the others. */
static const struct replay_case {
	const char *name;
	double delay_ms; /* between failure domains; 0: not given */
	double shorts; /* short streams in a round, in a */
	double others; /* the same in each of the others */
	size_t long_every; /* rounds between two long prompts in each; 0: none
			    */
	double crossing_min; /* share of short streams that cross */
	double crossing_max;
} replays[] = {
    {"even load of short streams stays local", 3.5, 0.5, 0.5, 0, 0.0, 0.0},
    {"short streams beside long prompts stay local", 3.5, 0.2, 0.2, 25, 0.0,
	0.05},
    {"an overloaded failure domain uses the room of others", 3.5, 1.6, 0.1, 0,
	0.2, 0.6},
    {"an overloaded failure domain does so over longer delays", 30.0, 1.6, 0.1,
	0, 0.1, 0.6},
    {"close failure domains are used as one", 0.9, 0.5, 0.5, 0, 0.4, 1.0},
    {"without delays they are used as one", 0.0, 0.5, 0.5, 0, 0.4, 1.0},
};

/* Engines, and the streams that end in each later round. */
struct fleet_model {
	struct balance_candidate engines[ENGINES];
	uint32_t ending[ROUNDS + SHORT_ROUNDS + 1][ENGINES];
};

/* Returns the failure domain of an engine. */
static const char *
domain_of(size_t engine)
{
	return names[engine % DOMAINS];
}

/* Sends a request from a failure domain; returns whether it crosses. */
static bool
send_request(struct fleet_model *model, const struct locality *locality,
    const char *from, size_t round, bool is_long)
{
	const struct balance_prompt prompt = {
	    .tokens = is_long ? 100000 : 5000,
	    .output_tokens = 200,
	    .class = is_long ? STREAM_LONG : STREAM_SHORT,
	    .target_ms = is_long ? 4000.0 : 300.0,
	    .slack_ms = is_long ? 4000.0 : 300.0,
	    .left_ms = 10000.0,
	};
	const struct locality_request request = {
	    prompt.tokens, prompt.output_tokens, users_engine.stride};
	const char *domains[ENGINES];
	struct balance_plan plan;
	bool crosses;

	for (size_t i = 0; i < ENGINES; i++) {
		domains[i] = domain_of(i);
		model->engines[i].distance_ms = locality_request_ms(
		    locality, from, domains[i], &request);
	}
	g_assert_cmpint(balance_plan_prompt(&users_engine, model->engines,
			    ENGINES, &prompt, &plan),
	    ==, BALANCE_SERVE);
	crosses = strcmp(domains[plan.first], from) != 0;
	model->engines[plan.first].backlog_ms += plan.part_ms;
	for (size_t i = 0; i < plan.helper_count; i++)
		model->engines[plan.helpers[i]].backlog_ms += plan.part_ms;
	if (!is_long) {
		model->engines[plan.first].running++;
		model->engines[plan.first].streams[STREAM_SHORT]++;
		model->ending[round + SHORT_ROUNDS][plan.first]++;
	}
	return crosses;
}

/* Ends streams and prefills for the time of one round. */
static void
pass_round(struct fleet_model *model, size_t round)
{
	for (size_t i = 0; i < ENGINES; i++) {
		struct balance_candidate *engine = &model->engines[i];

		engine->running -= model->ending[round][i];
		engine->streams[STREAM_SHORT] -= model->ending[round][i];
		engine->backlog_ms = MAX(engine->backlog_ms - ROUND_MS, 0.0);
	}
}

/* Runs one replay and compares the share of requests that cross. */
static void
test_replay(gconstpointer data)
{
	const struct replay_case *c = &replays[GPOINTER_TO_SIZE(data)];
	struct fleet_model *model = g_new0(struct fleet_model, 1);
	struct locality locality = {0};
	double due[DOMAINS] = {0.0};
	size_t sent = 0, crossing = 0;

	for (size_t i = 0; i < DOMAINS && c->delay_ms > 0.0; i++)
		locality_add(
		    &locality, names[i], names[(i + 1) % DOMAINS], c->delay_ms);
	for (size_t i = 0; i < ENGINES; i++)
		model->engines[i] = (struct balance_candidate){
		    .slots = users_engine.slots, .tie = (uint32_t)i};
	for (size_t round = 0; round < ROUNDS; round++) {
		pass_round(model, round);
		for (size_t i = 0; i < DOMAINS; i++) {
			due[i] += i == 0 ? c->shorts : c->others;
			for (; due[i] >= 1.0; due[i] -= 1.0, sent++)
				crossing += send_request(
				    model, &locality, names[i], round, false);
			if (c->long_every == 0 ||
			    round % c->long_every != i * 7)
				continue;
			send_request(model, &locality, names[i], round, true);
		}
	}
	g_test_message("sent %zu crossing %zu", sent, crossing);
	g_assert_cmpfloat((double)crossing, >=, (double)sent * c->crossing_min);
	g_assert_cmpfloat((double)crossing, <=, (double)sent * c->crossing_max);
	locality_clear(&locality);
	g_free(model);
}

/* A prompt that is divided is planned as if there were no distances. */
static void
test_divided(void)
{
	struct balance_candidate engines[ENGINES];
	const struct balance_prompt prompt = {
	    .tokens = 150000,
	    .class = STREAM_LONG,
	    .gap_ms = 1000.0,
	    .target_ms = 3000.0,
	    .slack_ms = 3000.0,
	    .left_ms = 10000.0,
	};
	struct balance_plan far, close;

	for (size_t i = 0; i < ENGINES; i++)
		engines[i] = (struct balance_candidate){
		    .slots = users_engine.slots,
		    .backlog_ms = i % DOMAINS == 1 ? 0.0 : 600.0,
		    .tie = (uint32_t)i,
		};
	g_assert_cmpint(balance_plan_prompt(
			    &users_engine, engines, ENGINES, &prompt, &close),
	    ==, BALANCE_SERVE);
	for (size_t i = 0; i < ENGINES; i++)
		engines[i].distance_ms = i % DOMAINS == 0 ? 0.0 : 40.0;
	g_assert_cmpint(
	    balance_plan_prompt(&users_engine, engines, ENGINES, &prompt, &far),
	    ==, BALANCE_SERVE);
	g_assert_cmpuint(far.helper_count, >, 0);
	g_assert_cmpmem(&far, sizeof(far), &close, sizeof(close));
}

/* The costs grow with the delay and the bytes; close domains cost nothing. */
static void
test_costs(void)
{
	const struct locality_request few = {5000, 200, 38};
	const struct locality_request many = {260000, 200, 38};
	struct locality locality = {0};

	locality_add(&locality, "a", "b", 3.5);
	locality_add(&locality, "a", "c", 0.9);
	g_assert_cmpfloat(locality_delay_ms(&locality, "b", "a"), ==, 3.5);
	g_assert_cmpfloat(locality_delay_ms(&locality, "c", "a"), ==, 0.0);
	g_assert_cmpfloat(locality_delay_ms(&locality, "b", "c"), ==, 0.0);
	g_assert_cmpfloat(locality_delay_ms(&locality, "a", NULL), ==, 0.0);
	g_assert_cmpfloat(
	    locality_request_ms(&locality, "a", "a", &many), ==, 0.0);
	g_assert_cmpfloat(
	    locality_request_ms(&locality, "a", "b", &few), >=, 14.0);
	g_assert_cmpfloat(
	    locality_request_ms(&locality, "a", "b", &few), <, 15.0);
	g_assert_cmpfloat(
	    locality_request_ms(&locality, "a", "b", &many), >, 25.0);
	locality_clear(&locality);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(replays, "/locality/replay", test_replay);
	g_test_add_func("/locality/a divided prompt uses all failure domains",
	    test_divided);
	g_test_add_func("/locality/costs of the way", test_costs);
	return g_test_run();
}
