/*
 * Limit on requests per second to a cold upstream, shared by all gateways
 * without calls between them.
 */
#include <glib.h>

#include "base/clock.h"
#include "cases.h"
#include "policy/cold_rate.h"

#define PROCESSES_MAX 340
#define UPSTREAMS     8
#define SECOND_MS     1000
#define STEP_MS	      5
#define UPTIME_MS     60000

static const struct share_case {
	const char *name;
	double requests_per_s;
	uint32_t processes;
	uint32_t least; /* share of a process */
	uint32_t most;
	uint32_t total; /* of all processes */
} shares[] = {
    {"five gateways share the rate of one upstream", 44.0, 5, 8, 9, 44},
    {"many gateways get one request or two", 44.0, 31, 1, 2, 44},
    {"with more gateways than requests some get one", 20.0, 31, 0, 1, 20},
    {"hundreds of gateways share the rate", 44.9, 340, 0, 1, 44},
    {"one gateway has the whole rate, up to the sends it records", 1000.0, 1,
	COLD_RATE_SENDS_MAX, COLD_RATE_SENDS_MAX, COLD_RATE_SENDS_MAX},
};

/* Returns the number of requests that a share allows in one second. */
static uint32_t
count_sends(uint32_t share)
{
	struct cold_rate rate = {0};
	struct timespec now = time_from_ms(5000);
	uint32_t sent = 0;

	for (int ms = 0; ms < SECOND_MS; ms += STEP_MS) {
		now = time_add_ms(now, STEP_MS);
		if (!cold_rate_allows(&rate, share, UPTIME_MS, now))
			continue;
		cold_rate_record_send(&rate, now);
		sent++;
	}
	return sent;
}

/* Returns the share of one of the processes. */
static uint32_t
share_of(size_t self, char *names[], uint32_t processes, double requests_per_s,
    const char *upstream)
{
	const char *others[PROCESSES_MAX];
	struct cold_rate_sharers sharers = {
	    .upstream = upstream,
	    .self = names[self],
	    .others = others,
	    .count_min = processes,
	};

	for (size_t i = 0; i < processes; i++) {
		if (i != self)
			others[sharers.other_count++] = names[i];
	}
	return cold_rate_share(requests_per_s, &sharers);
}

/*
 * Runs one case: in one second exactly the shares are sent, together the whole
 * rate, and the remainder of other upstreams goes to other gateways.
 */
static void
test_share(gconstpointer data)
{
	const struct share_case *c = &shares[GPOINTER_TO_SIZE(data)];
	char *names[PROCESSES_MAX] = {NULL};
	uint32_t total = 0;
	uint32_t differ = 0;

	for (size_t i = 0; i < c->processes; i++)
		names[i] = g_strdup_printf("10.0.0.%zu:7", i);
	for (size_t i = 0; i < c->processes; i++) {
		uint32_t share = share_of(
		    i, names, c->processes, c->requests_per_s, "i-1");

		g_assert_cmpuint(share, >=, c->least);
		g_assert_cmpuint(share, <=, c->most);
		g_assert_cmpuint(count_sends(share), ==, share);
		total += share;
		for (int j = 0; j < UPSTREAMS; j++) {
			g_autofree char *upstream = g_strdup_printf(
			    "other-%d", j);

			differ += share !=
			    share_of(i, names, c->processes, c->requests_per_s,
				upstream);
		}
	}
	g_assert_cmpuint(total, ==, c->total);
	if (c->least < c->most)
		g_assert_cmpuint(differ, >, 0);
	for (size_t i = 0; i < c->processes; i++)
		g_free(names[i]);
}

/*
 * A gateway that is killed and starts again within the second does not send its
 * share again in it.
 */
static void
test_restart(void)
{
	enum {
		SHARE = 8,
		DOWN_MS = 500
	};
	struct timespec now = time_from_ms(5000);
	uint32_t sent_in_window = 0;

	for (int life = 0; life < 2; life++) {
		struct cold_rate rate = {0};
		int64_t uptime_ms = life == 0 ? UPTIME_MS : 0;

		for (int ms = 0; ms < SECOND_MS - DOWN_MS; ms += STEP_MS) {
			now = time_add_ms(now, STEP_MS);
			uptime_ms += STEP_MS;
			if (!cold_rate_allows(&rate, SHARE, uptime_ms, now))
				continue;
			cold_rate_record_send(&rate, now);
			sent_in_window++;
		}
	}
	g_assert_cmpuint(sent_in_window, ==, SHARE);
}

/* While not all gateways are known, none takes a part of the remainder. */
static void
test_unknown_gateways(void)
{
	const char *const others[] = {"10.0.0.2:7"};
	const struct cold_rate_sharers sharers = {
	    .upstream = "i-1",
	    .self = "10.0.0.1:7",
	    .others = others,
	    .other_count = 1,
	    .count_min = 8,
	};

	g_assert_cmpuint(cold_rate_share(44.0, &sharers), ==, 5);
}

/* The shares hold while only a new process itself knows that it is there. */
static void
test_new_process(void)
{
	enum {
		OLD = 5
	};
	char *names[OLD + 1];
	uint32_t total = 0;

	for (size_t i = 0; i <= OLD; i++)
		names[i] = g_strdup_printf("10.0.0.%zu:7", i);
	for (size_t i = 0; i <= OLD; i++) {
		const char *others[OLD];
		struct cold_rate_sharers sharers = {
		    .upstream = "i-1",
		    .self = names[i],
		    .others = others,
		    /* The others have heard of it, but not its address. */
		    .count_min = OLD + 1,
		};

		for (size_t j = 0; j <= OLD; j++) {
			if (j != i && (i == OLD || j != OLD))
				others[sharers.other_count++] = names[j];
		}
		total += cold_rate_share(44.0, &sharers);
	}
	g_assert_cmpuint(total, <=, 44);
	for (size_t i = 0; i <= OLD; i++)
		g_free(names[i]);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(shares, "/cold_rate", test_share);
	g_test_add_func("/cold_rate/while not all gateways are known, none "
			"takes a part of the remainder",
	    test_unknown_gateways);
	g_test_add_func("/cold_rate/the shares hold with a process that is not "
			"listed yet",
	    test_new_process);
	g_test_add_func("/cold_rate/a restart within the second adds nothing",
	    test_restart);
	return g_test_run();
}
