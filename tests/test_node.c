/*
 * Signals of a node: SIGTERM in every phase of a process, and SIGHUP.
 */
#include <signal.h>

#include "base/clock.h"
#include "base/settings.h"
#include "node/node.h"

struct fixture {
	struct ev_loop *loop;
	struct node *node;
	struct settings settings;
	unsigned int stops;
	unsigned int reloads;
	struct ev_timer timer;
};

/* Counts a stop and ends the loop. */
static void
on_stop(void *data)
{
	struct fixture *fixture = data;

	fixture->stops++;
	ev_break(fixture->loop, EVBREAK_ALL);
}

/* Readiness is not part of this test. */
static bool
is_ready(void *data)
{
	return true;
}

/* Counts a reload; the loop continues. */
static void
on_reload(void *data)
{
	struct fixture *fixture = data;

	fixture->reloads++;
}

/* Raises SIGHUP and SIGTERM within the loop. */
static void
raise_signals(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	raise(SIGHUP);
	raise(SIGTERM);
}

/* Phases in which SIGTERM is raised: before, in and after the loop. */
static const struct signal_case {
	const char *name;
	bool starting, running, ending;
} cases[] = {
    {"a stop within the loop is handled", false, true, false},
    {"a stop while the process starts is handled", true, false, false},
    {"a second stop during shutdown does not kill the process", false, true,
	true},
};

/* on_stop is called exactly once, and the process survives. */
static void
test_signals(gconstpointer data)
{
	static const struct node_ops ops = {
	    .ready = is_ready,
	    .reload = on_reload,
	};
	const struct signal_case *test = data;
	g_autoptr(GError) error = NULL;
	struct fixture fixture = {
	    .loop = ev_default_loop(0),
	    .settings =
		{
		    .id = "e",
		    .role = ROLE_ENTRY,
		    .failure_domain = "a",
		    .listen = "127.0.0.1:0",
		    .peers = (char *[]){NULL},
		},
	};

	fixture.node = node_new(fixture.loop, clock_system(), &fixture.settings,
	    &ops, &fixture, &error);
	g_assert_no_error(error);
	if (test->starting)
		raise(SIGTERM);
	ev_timer_init(&fixture.timer, raise_signals, 0., 0.);
	if (test->running)
		ev_timer_start(fixture.loop, &fixture.timer);
	node_run(fixture.node, fixture.loop, on_stop);
	if (test->ending)
		raise(SIGTERM);
	node_free(fixture.node);
	g_assert_cmpuint(fixture.stops, ==, 1);
	g_assert_cmpuint(fixture.reloads, ==, test->running);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path = g_strconcat(
		    "/node/", cases[i].name, NULL);

		g_test_add_data_func(path, &cases[i], test_signals);
	}
	return g_test_run();
}
