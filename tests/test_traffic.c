/*
 * The measure of the model's runs: what became of each caller. Guards against a
 * measure that lets one kind of caller count more than another, and against
 * answers that count although their callers had left.
 */
#include <glib.h>

#include "cases.h"
#include "experiment/traffic.h"

/* Times of the usual mix: targets 300 and 3,000 ms, gaps 250 and 1,000 ms. */
static const struct outcome_case {
	const char *name;
	enum stream_class class;
	uint64_t tokens;
	double planned_ms; /* below 0: refused */
	double first_ms;
	double max_gap_ms;
	enum traffic_outcome outcome;
} cases[] = {
    {"a short prompt in time", STREAM_SHORT, 100, 0, 300, 250, TRAFFIC_IN_TIME},
    {"a long prompt in time", STREAM_LONG, 700000, 0, 3000, 1000,
	TRAFFIC_IN_TIME},
    {"a first event after the target", STREAM_SHORT, 100, 0, 301, 0,
	TRAFFIC_LATE},
    {"a gap over its target", STREAM_LONG, 700000, 0, 100, 1001, TRAFFIC_LATE},
    {"a refusal", STREAM_LONG, 700000, -1, -1, 0, TRAFFIC_REFUSED},
    {"a first event after its caller has left", STREAM_SHORT, 100, 0, 2001, 0,
	TRAFFIC_FAILED},
    {"a gap for which its caller does not wait", STREAM_SHORT, 100, 0, 100,
	2001, TRAFFIC_FAILED},
    {"a first event after the deadline", STREAM_LONG, 700000, 0, 15001, 0,
	TRAFFIC_FAILED},
    {"no event", STREAM_LONG, 700000, 0, -1, 0, TRAFFIC_FAILED},
};

/* Runs one case. */
static void
test_outcome(gconstpointer data)
{
	const struct outcome_case *c = &cases[GPOINTER_TO_SIZE(data)];
	const struct prompt prompt = {
	    .class = c->class,
	    .tokens = c->tokens,
	    .planned_ms = c->planned_ms,
	    .first_ms = c->first_ms,
	    .max_gap_ms = c->max_gap_ms,
	};

	g_assert_cmpint(traffic_outcome(&prompt), ==, c->outcome);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/traffic/outcome", test_outcome);
	return g_test_run();
}
