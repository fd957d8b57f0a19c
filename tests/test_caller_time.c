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
	return g_test_run();
}
