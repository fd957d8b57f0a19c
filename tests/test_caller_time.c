/*
 * What is left of a caller's time. Guards against prompts that wait longer than
 * their callers do.
 */
#include <glib.h>

#include "cases.h"
#include "policy/caller_time.h"

static const struct time_case {
	const char *name;
	struct caller_time_ask ask;
	struct caller_time left;
} cases[] = {
    {"a stream is abandoned after two seconds", {300, 250, 0, 10000, true},
	{300, 300, 2000}},
    {"or after four targets", {3000, 1000, 500, 15000, true},
	{3000, 2500, 11500}},
    {"or after eight gaps", {300, 1000, 0, 10000, true}, {300, 300, 8000}},
    {"but not after the deadline", {3000, 1000, 0, 4000, true},
	{3000, 3000, 4000}},
    {"other answers are waited for until the deadline",
	{300, 0, 1000, 9000, false}, {300, -700, 9000}},
    {"without a target as long as Retry-After is honoured",
	{0, 0, 1000, 8000, false}, {3000, 2000, 8000}},
};

static const struct stall_case {
	const char *name;
	double target_ms;
	double gap_ms;
	double remaining_ms;
	double stall_ms;
} stall_cases[] = {
    {"a silent upstream leaves a third of the caller's patience", 300, 250,
	10000, 1300},
    {"or of four targets", 3000, 1000, 15000, 7800},
    {"but not of more than the time until the deadline", 6000, 1000, 15000,
	9750},
    {"a short pause shortly before the deadline is no silence", 300, 250, 400,
	1300},
};

/* Guards against a silent upstream that is waited for until the deadline. */
static void
test_stall(gconstpointer data)
{
	const struct stall_case *c = &stall_cases[GPOINTER_TO_SIZE(data)];

	g_assert_cmpfloat(
	    caller_time_stall_ms(c->target_ms, c->gap_ms, c->remaining_ms), ==,
	    c->stall_ms);
}

/* Runs one case. */
static void
test_left(gconstpointer data)
{
	const struct time_case *c = &cases[GPOINTER_TO_SIZE(data)];
	const struct caller_time left = caller_time_left(&c->ask);

	g_assert_cmpfloat(left.target_ms, ==, c->left.target_ms);
	g_assert_cmpfloat(left.slack_ms, ==, c->left.slack_ms);
	g_assert_cmpfloat(left.left_ms, ==, c->left.left_ms);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/caller_time/left", test_left);
	ADD_CASES(stall_cases, "/caller_time/stall", test_stall);
	return g_test_run();
}
