/*
 * An entry process that is asked to stop, with raw connections of callers.
 * Guards against one that the platform has to kill, and against requests that
 * its exit cuts although they could be answered.
 */
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "commands.h"
#include "stop_fixture.h"

#define ENTRY_ARGUMENT "entry"

#define HEAD                                           \
	"POST /v1/completions HTTP/1.1\r\nHost: h\r\n" \
	"Content-Length: 5\r\n\r\n"

/* Starts an entry with these limits. */
static void
set_up(struct stop_fixture *f, const char *notice, const char *grace)
{
	g_autofree char *callers = NULL;

	stop_fixture_open(f);
	callers = g_strdup_printf(
	    "--callers=127.0.0.1:%d", f->ports[STOP_PORT_CALLERS]);
	{
		const char *arguments[] = {callers, notice, grace, NULL};

		stop_fixture_start(
		    f, ENTRY_ARGUMENT, arguments, STOP_PORT_CALLERS);
	}
}

/* A request whose body never ends: the entry exits within its grace time. */
static void
test_body_without_end(void)
{
	struct stop_fixture f = {0};
	int fd;

	set_up(&f, "--drain-notice-ms=100", "--grace-s=1.5");
	fd = stop_fixture_connect(&f, STOP_PORT_CALLERS);
	stop_fixture_send(fd, HEAD "as");
	kill(f.process, SIGTERM);
	stop_fixture_close(&f);
	close(fd);
}

/*
 * Sends a check of liveness on a connection and waits for its response; returns
 * whether it announces that the connection ends.
 */
static bool
check_liveness(struct stop_fixture *f, int fd)
{
	g_autoptr(GString) received = g_string_new(NULL);

	stop_fixture_send(fd, "GET /livez HTTP/1.1\r\nHost: h\r\n\r\n");
	stop_fixture_read_until(f, fd, received, "ok\n");
	g_assert_true(g_str_has_prefix(received->str, "HTTP/1.1 200 "));
	return strstr(received->str, "\r\nConnection: close\r\n") != NULL;
}

/*
 * An idle kept connection ends at the stop, not only when the listener is
 * closed: a new one is still accepted, for one request.
 */
static void
test_kept_connection(void)
{
	g_autoptr(GString) received = g_string_new(NULL);
	struct stop_fixture f = {0};
	int fd, other;

	set_up(&f, "--drain-notice-ms=1500", "--grace-s=10");
	fd = stop_fixture_connect(&f, STOP_PORT_CALLERS);
	g_assert_false(check_liveness(&f, fd));
	kill(f.process, SIGTERM);
	stop_fixture_read_until(&f, fd, received, NULL);
	g_assert_cmpstr(received->str, ==, "");
	other = stop_fixture_connect(&f, STOP_PORT_CALLERS);
	g_assert_cmpint(other, >=, 0);
	g_assert_true(check_liveness(&f, other));
	close(fd);
	close(other);
	stop_fixture_close(&f);
}

int
main(int argc, char **argv)
{
	if (argc > 1 && strcmp(argv[1], ENTRY_ARGUMENT) == 0)
		return command_entry(argc - 1, argv + 1);
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/entry_stop/a request whose body never ends does not "
			"outlast the grace time",
	    test_body_without_end);
	g_test_add_func(
	    "/entry_stop/a kept connection ends at the stop, before "
	    "the listener is closed",
	    test_kept_connection);
	return g_test_run();
}
