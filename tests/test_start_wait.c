/*
 * When callers come back to a gateway without routes. Guards against callers
 * that are told to come back soon while the store is down: all gateways lose
 * power, the store stays away for 2 s, and whoever comes back within that time
 * is rejected again.
 */
#include <glib.h>

#include "cases.h"
#include "policy/start_wait.h"

static const struct wait_case {
	const char *name;
	bool store_disconnected;
	bool has_deadline;
	int64_t left_ms;
	int64_t retry_after_ms;
} cases[] = {
    {"with the store at hand callers come back soon", false, true, 10000, 300},
    {"callers without a deadline too", false, false, 0, 300},
    {"without the store as late as they wait", true, true, 10000, 3000},
    {"a short deadline leaves less time", true, true, 1500, 450},
    {"no sooner than routes arrive", true, true, 600, 300},
    {"no later than five seconds", true, true, 60000, 5000},
    {"a passed deadline is no time at all", true, true, -20, 300},
    {"without a deadline the longest time", true, false, 0, 5000},
};

/* Runs one case. */
static void
test_wait(gconstpointer data)
{
	const struct wait_case *c = &cases[GPOINTER_TO_SIZE(data)];

	g_assert_cmpint(start_wait_retry_after_ms(
			    c->store_disconnected, c->has_deadline, c->left_ms),
	    ==, c->retry_after_ms);
}

/* An outage of 2 s: the callers of its whole time are served when they return.
 */
static void
test_outage(void)
{
	const int64_t outage_ms = 2000;
	size_t served = 0, served_soon = 0, callers = 0;

	for (int64_t at = 0; at < outage_ms; at += 20, callers++) {
		served += at + start_wait_retry_after_ms(true, true, 10000) >=
		    outage_ms;
		served_soon += at +
			start_wait_retry_after_ms(false, true, 10000) >=
		    outage_ms;
	}
	g_assert_cmpuint(served, ==, callers);
	g_assert_cmpuint(served_soon, <, callers / 5);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/start_wait", test_wait);
	g_test_add_func("/start_wait/an outage of two seconds", test_outage);
	return g_test_run();
}
