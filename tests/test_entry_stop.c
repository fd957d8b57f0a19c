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
	return g_test_run();
}
