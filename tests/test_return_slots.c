/*
 * When rejected callers come back to a service whose upstreams all name a rate:
 * not together, and not before a request can be sent.
 */
#include "base/clock.h"
#include "cases.h"
#include "policy/return_slots.h"

#define CALLERS 4

static const struct slots_case {
	const char *name;
	double per_s;
	int64_t left_ms[CALLERS]; /* until the first request can be sent */
	int64_t at_ms[CALLERS]; /* when the caller is rejected */
	int64_t wait_ms[CALLERS]; /* expected */
} cases[] = {
    {"callers come back one after the other", 2.0, {100, 100, 100, 100},
	{1000, 1000, 1000, 1000}, {100, 600, 1100, 1600}},
    {"a caller after a pause comes back as soon as it can be served", 2.0,
	{100, 100, 300, 300}, {1000, 1000, 9000, 9000}, {100, 600, 300, 800}},
    {"below one request a second they are seconds apart", 0.5,
	{500, 500, 500, 500}, {1000, 1000, 1000, 1000},
	{500, 2500, 4500, 6500}},
    {"no caller is sent away for longer than the most", 0.05,
	{500, 500, 500, 500}, {1000, 1000, 1000, 1000},
	{500, 20500, RETURN_SLOTS_MAX_MS, RETURN_SLOTS_MAX_MS}},
    {"a rate that is hardly above nothing", 1e-9, {500, 500, 500, 500},
	{1000, 1000, 1000, 1000},
	{500, RETURN_SLOTS_MAX_MS, RETURN_SLOTS_MAX_MS, RETURN_SLOTS_MAX_MS}},
};

/* Runs one case. */
static void
test_case(gconstpointer data)
{
	const struct slots_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct return_slots slots = {0};

	for (size_t i = 0; i < CALLERS; i++)
		g_assert_cmpint(
		    return_slots_take(&slots, c->left_ms[i], c->per_s,
			INT64_MAX, time_from_ms(c->at_ms[i])),
		    ==, c->wait_ms[i]);
}

/* Callers that give up before their slot leave it to the next one. */
static void
test_not_taken(void)
{
	struct return_slots slots = {0};
	struct timespec now = time_from_ms(1000);

	g_assert_cmpint(return_slots_take(&slots, 100, 2.0, 700, now), ==, 100);
	g_assert_cmpint(return_slots_take(&slots, 100, 2.0, 500, now), ==, 600);
	g_assert_cmpint(return_slots_take(&slots, 100, 2.0, 700, now), ==, 600);
	g_assert_cmpint(
	    return_slots_take(&slots, 100, 2.0, 2000, now), ==, 1100);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/return_slots", test_case);
	g_test_add_func("/return_slots/a slot that is too late is not taken",
	    test_not_taken);
	return g_test_run();
}
