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

/* Counts a signal and ends the loop. */
static void
on_stop(void *data)
{
	struct fixture *fixture = data;

	fixture->stops++;
	ev_break(fixture->loop, EVBREAK_ALL);
}

/* Nothing here asks whether the process is ready. */
static bool
is_ready(void *data)
{
	return true;
}

/* Counts a signal; the loop goes on. */
static void
on_reload(void *data)
{
	struct fixture *fixture = data;

	fixture->reloads++;
}

/* Asks the process to read its files anew and to stop, in its loop. */
static void
raise_signals(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	raise(SIGHUP);
	raise(SIGTERM);
}

/* When a process is asked to stop, and how often its parts hear of it. */
static const struct signal_case {
	const char *name;
	bool starting, running, ending;
} cases[] = {
    {"a stop in the loop is heard", false, true, false},
    {"a stop while the process starts is heard", true, false, false},
    {"a second stop while the process ends does not kill it", false, true,
	true},
};

/* Runs one case: exactly one stop, and the process is still there. */
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
