/*
 * When a gateway may say that a route or key does not exist. Load patterns:
 * changes while the store's answers stop, while the process stands still, and
 * while only peers hear from the store. Guards against refusals of what was
 * added longer ago than a change may take.
 */
#include <string.h>

#include "base/clock.h"
#include "cases.h"
#include "policy/freshness.h"

#define MAX_AGE_MS 2000
#define EVENTS_MAX 6
#define IN_FORCE   7

/* What a process hears, and at what time it is true. */
struct event {
	enum {
		END,
		STORE,
		PEER
	} from;
	int64_t at_ms;
	uint64_t version; /* that a peer names */
};

static const struct freshness_case {
	const char *name;
	struct event events[EVENTS_MAX];
	int64_t now_ms;
	bool is_current;
	const char *source;
	int64_t age_ms;
} cases[] = {
    {"nobody was heard", .now_ms = 10000, .source = "none",
	.age_ms = FRESHNESS_NEVER},
    {"the store's last answer is within the time of a change",
	{{STORE, 8000, 0}}, 10000, true, "store", 2000},
    {"the store is silent for longer than a change may take",
	{{STORE, 7999, 0}}, 10000, false, "store", 2001},
    {"a call that ends late does not make an earlier answer older",
	{{STORE, 9000, 0}, {STORE, 8000, 0}}, 10000, true, "store", 1000},
    {"the process stood still since the store's answer",
	{{STORE, 9000, 0}, {PEER, 9100, IN_FORCE}}, 15000, false, "peer", 5900},
    {"a peer that watches the store has heard from it",
	{{STORE, 1000, 0}, {PEER, 9800, IN_FORCE}}, 10000, true, "peer", 200},
    {"no peer has heard from the store lately",
	{{STORE, 1000, 0}, {PEER, 7000, IN_FORCE}}, 10000, false, "peer", 3000},
    {"a peer names a later version",
	{{STORE, 9900, 0}, {PEER, 9950, IN_FORCE + 1}}, 10000, false, "store",
	100},
    {"a later version is not named again",
	{{PEER, 7900, IN_FORCE + 1}, {STORE, 9900, 0}}, 10000, true, "store",
	100},
    {"a later version is named after one that nobody sends",
	{{PEER, 1000, IN_FORCE + 9}, {STORE, 9900, 0},
	    {PEER, 9950, IN_FORCE + 1}},
	10000, false, "store", 100},
    {"a peer that lags behind shows nothing",
	{{STORE, 1000, 0}, {PEER, 9900, IN_FORCE - 1}}, 10000, false, "store",
	9000},
    {"a peer that lags behind does no harm",
	{{STORE, 9900, 0}, {PEER, 9990, IN_FORCE - 1}}, 10000, true, "store",
	100},
    {"the version that a peer named has come into force",
	{{PEER, 9000, IN_FORCE}, {PEER, 9100, IN_FORCE}}, 10000, true, "peer",
	900},
};

/* The newest evidence counts, with its age. */
static void
test_freshness(gconstpointer data)
{
	const struct freshness_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct timespec now = time_from_ms(c->now_ms);
	struct freshness freshness = {0};

	for (size_t i = 0; c->events[i].from != END; i++) {
		const struct event *event = &c->events[i];

		if (event->from == STORE)
			freshness_on_store(
			    &freshness, time_from_ms(event->at_ms));
		else
			freshness_on_peer(&freshness, IN_FORCE, event->version,
			    time_from_ms(event->at_ms),
			    time_from_ms(event->at_ms));
	}
	g_assert_cmpint(
	    freshness_is_current(&freshness, IN_FORCE, MAX_AGE_MS, now), ==,
	    c->is_current);
	g_assert_cmpstr(freshness_source(&freshness), ==, c->source);
	g_assert_cmpint(freshness_age_ms(&freshness, now), ==, c->age_ms);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/freshness", test_freshness);
	return g_test_run();
}
