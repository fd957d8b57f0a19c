/*
 * Limit on requests per second to a cold upstream, shared by all gateways
 * without calls between them.
 */
#include <glib.h>

#include "base/clock.h"
#include "cases.h"
#include "policy/cold_rate.h"

static const struct share_case {
	const char *name;
	double requests_per_s;
	uint32_t processes;
	uint32_t share;
} shares[] = {
    {"five gateways share the rate of one upstream", 44.0, 5, 8},
    {"many gateways get one request each", 44.0, 31, 1},
    {"with more gateways than requests each gets none", 20.0, 31, 0},
    {"one gateway has the whole rate, up to the sends it records", 1000.0, 1,
	COLD_RATE_SENDS_MAX},
};

/* Runs one case: in one second exactly the share is sent. */
static void
test_share(gconstpointer data)
{
	const struct share_case *c = &shares[GPOINTER_TO_SIZE(data)];
	struct cold_rate rate = {0};
	struct timespec now = time_from_ms(5000);
	uint32_t share = cold_rate_share(c->requests_per_s, c->processes);
	uint32_t sent = 0;

	g_assert_cmpuint(share, ==, c->share);
	for (int ms = 0; ms < 1000; ms += 5) {
		now = time_add_ms(now, 5);
		if (!cold_rate_allows(&rate, share, now))
			continue;
		cold_rate_record_send(&rate, now);
		sent++;
	}
	g_assert_cmpuint(sent, ==, share);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(shares, "/cold_rate", test_share);
	return g_test_run();
}
