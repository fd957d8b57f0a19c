/*
 * A stop that is requested while a process still reads its settings: it starts
 * and exits in order, and is not killed by the signal.
 */
#include <sys/stat.h>

#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "cases.h"
#include "commands.h"
#include "stop_fixture.h"

#define CLUSTER_KEY "a secret of the test's processes\n"
#define POLL_S	    0.002

static const struct role_case {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *arguments[4]; /* the port of the second is added */
	bool needs_callers;
} cases[] = {
    {"entry", command_entry, {NULL}, true},
    {"sidecar", command_sidecar,
	{"--upstream=u1", "--dialect=plain",
	    "--upstream-url=http://127.0.0.1:1"},
	false},
    {"gateway", command_gateway, {"--objects=127.0.0.1:1"}, true},
};

static const int signals[] = {SIGTERM, SIGINT, SIGHUP};

/* Makes the loop return. */
static void
on_tick(struct ev_loop *loop, struct ev_timer *timer, int events)
{
}

/*
 * Sends the signal once the process reads its key from a pipe, and a SIGTERM,
 * then gives it the key as often as it reads it.
 */
static void
stop_while_reading(struct stop_fixture *f, const char *pipe, int number)
{
	struct ev_timer tick;
	bool sent = false;

	ev_timer_init(&tick, on_tick, POLL_S, POLL_S);
	ev_timer_start(f->loop, &tick);
	while (!f->exited) {
		int fd = open(pipe, O_WRONLY | O_NONBLOCK | O_CLOEXEC);

		if (fd >= 0 && !sent) {
			kill(f->process, number);
			kill(f->process, SIGTERM);
			sent = true;
		}
		if (fd >= 0) {
			g_assert_cmpint(
			    write(fd, CLUSTER_KEY, strlen(CLUSTER_KEY)), !=, 0);
			close(fd);
		}
		ev_run(f->loop, EVRUN_ONCE);
	}
	ev_timer_stop(f->loop, &tick);
}

/* Runs one case with each of the signals. */
static void
test_role(gconstpointer data)
{
	const struct role_case *c = &cases[GPOINTER_TO_SIZE(data)];
	g_autofree char *folder = g_dir_make_tmp("start-stop-XXXXXX", NULL);
	g_autofree char *pipe = g_build_filename(folder, "key", NULL);
	g_autofree char *key = g_strconcat("--cluster-key-file=", pipe, NULL);

	signal(SIGPIPE, SIG_IGN);
	g_assert_cmpint(mkfifo(pipe, S_IRUSR | S_IWUSR), ==, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(signals); i++) {
		struct stop_fixture f = {0};
		g_autofree char *callers = NULL;
		const char *arguments[G_N_ELEMENTS(c->arguments) + 4] = {
		    key, "--drain-notice-ms=1", "--grace-s=2"};
		size_t count = 3;

		stop_fixture_open(&f);
		callers = g_strdup_printf(
		    "--callers=127.0.0.1:%d", f.ports[STOP_PORT_CALLERS]);
		if (c->needs_callers)
			arguments[count++] = callers;
		for (size_t j = 0; c->arguments[j] != NULL; j++)
			arguments[count++] = c->arguments[j];
		stop_fixture_spawn(&f, c->name, arguments);
		stop_while_reading(&f, pipe, signals[i]);
		stop_fixture_close(&f);
	}
	g_unlink(pipe);
	g_rmdir(folder);
}

int
main(int argc, char **argv)
{
	for (size_t i = 0; argc > 1 && i < G_N_ELEMENTS(cases); i++) {
		if (strcmp(argv[1], cases[i].name) == 0)
			return cases[i].run(argc - 1, argv + 1);
	}
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/start_stop", test_role);
	return g_test_run();
}
