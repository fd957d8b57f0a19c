/*
 * A gateway process that is asked to stop, with raw connections of callers.
 * Guards against requests that the exit cuts although they could be answered.
 */
#include <signal.h>
#include <string.h>

#include <sodium.h>

#include "commands.h"
#include "fake_platform.h"
#include "stop_fixture.h"

#define GATEWAY_ARGUMENT "gateway"

#define CONFIG                                                             \
	"{\"Version\":3,\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\","       \
	"\"PathPrefix\":\"/\",\"Kind\":\"idempotent\",\"Public\":true,"    \
	"\"TimeoutMs\":15000,\"Attempts\":1,\"Service\":\"s\"}],"          \
	"\"Services\":[{\"Name\":\"s\"}],\"Limits\":{\"BodyBytes\":1000}," \
	"\"Tenants\":[]}"

#define HEAD                              \
	"POST /x HTTP/1.1\r\nHost: h\r\n" \
	"Heatherturn-Attempt-Id: r1\r\nContent-Length: 5\r\n\r\n"

struct fixture {
	struct stop_fixture stop;
	struct fake_platform *platform;
};

/* Starts the platform and a gateway with these limits. */
static void
set_up(struct fixture *f, const char *notice_ms, const char *grace_s,
    const enum fake_platform_step *steps, size_t step_count)
{
	g_autofree char *callers = NULL, *objects = NULL;
	g_autofree char *notice = NULL, *grace = NULL;

	stop_fixture_open(&f->stop);
	f->platform = fake_platform_new(f->stop.loop);
	fake_platform_set_config(f->platform, CONFIG);
	fake_platform_set_steps(f->platform, steps, step_count);
	callers = g_strdup_printf(
	    "--callers=127.0.0.1:%d", f->stop.ports[STOP_PORT_CALLERS]);
	objects = g_strdup_printf(
	    "--objects=%s", fake_platform_store_address(f->platform));
	notice = g_strdup_printf("--drain-notice-ms=%s", notice_ms);
	grace = g_strdup_printf("--grace-s=%s", grace_s);
	{
		const char *arguments[] = {
		    callers, objects, notice, grace, NULL};

		stop_fixture_start(
		    &f->stop, GATEWAY_ARGUMENT, arguments, STOP_PORT_CALLERS);
	}
}

/* Waits for the gateway's exit, which must be orderly, and frees all. */
static void
tear_down(struct fixture *f)
{
	stop_fixture_close(&f->stop);
	fake_platform_free(f->platform);
}

/* Sends a whole request on a connection and waits for its response. */
static void
exchange(struct fixture *f, int fd)
{
	g_autoptr(GString) received = g_string_new(NULL);

	stop_fixture_send(fd, HEAD "asked");
	stop_fixture_read_until(&f->stop, fd, received, "\r\n\r\n");
	g_assert_true(g_str_has_prefix(received->str, "HTTP/1.1 200 "));
}

/* The rest of a body that comes after the notice: the request is refused. */
static void
test_body_after_notice(void)
{
	g_autoptr(GString) received = g_string_new(NULL);
	static const enum fake_platform_step steps[] = {FAKE_STEP_OK};
	struct fixture f = {0};
	int other, fd;

	set_up(&f, "300", "4", steps, G_N_ELEMENTS(steps));
	fd = stop_fixture_connect(&f.stop, STOP_PORT_CALLERS);
	stop_fixture_send(fd, HEAD "as");
	other = stop_fixture_connect(&f.stop, STOP_PORT_CALLERS);
	exchange(&f, other);
	kill(f.stop.process, SIGTERM);
	stop_fixture_wait_for_port(&f.stop, STOP_PORT_CALLERS, false);
	stop_fixture_send(fd, "ked");
	stop_fixture_read_until(&f.stop, fd, received, NULL);
	close(fd);
	close(other);
	g_assert_true(g_str_has_prefix(received->str, "HTTP/1.1 503 "));
	tear_down(&f);
}

/* A connection without a request so far: its request is answered. */
static void
test_new_connection(void)
{
	g_autoptr(GString) received = g_string_new(NULL);
	static const enum fake_platform_step steps[] = {
	    FAKE_STEP_OK, FAKE_STEP_OK};
	struct fixture f = {0};
	int other, fd;

	set_up(&f, "2000", "4", steps, G_N_ELEMENTS(steps));
	fd = stop_fixture_connect(&f.stop, STOP_PORT_CALLERS);
	other = stop_fixture_connect(&f.stop, STOP_PORT_CALLERS);
	exchange(&f, other);
	kill(f.stop.process, SIGTERM);
	/* Its end shows that the gateway drains. */
	stop_fixture_read_until(&f.stop, other, received, NULL);
	g_string_truncate(received, 0);
	stop_fixture_send(fd, HEAD "asked");
	stop_fixture_read_until(&f.stop, fd, received, NULL);
	close(fd);
	close(other);
	g_assert_true(g_str_has_prefix(received->str, "HTTP/1.1 200 "));
	tear_down(&f);
}

/* A request whose upstream has not responded by the exit gets a status. */
static void
test_unanswered(void)
{
	g_autoptr(GString) received = g_string_new(NULL);
	static const enum fake_platform_step steps[] = {FAKE_STEP_HANG};
	struct fixture f = {0};
	int fd;

	set_up(&f, "100", "1.5", steps, G_N_ELEMENTS(steps));
	fd = stop_fixture_connect(&f.stop, STOP_PORT_CALLERS);
	stop_fixture_send(fd, HEAD "asked");
	STOP_RUN_UNTIL(&f.stop, fake_platform_request_count(f.platform) == 1);
	kill(f.stop.process, SIGTERM);
	stop_fixture_read_until(&f.stop, fd, received, NULL);
	close(fd);
	g_assert_true(g_str_has_prefix(received->str, "HTTP/1.1 502 "));
	tear_down(&f);
}

int
main(int argc, char **argv)
{
	if (argc > 1 && strcmp(argv[1], GATEWAY_ARGUMENT) == 0)
		return command_gateway(argc - 1, argv + 1);
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/gateway_stop/a request whose body ends after the "
			"notice is refused",
	    test_body_after_notice);
	g_test_add_func("/gateway_stop/a request on a new connection is "
			"answered after the stop",
	    test_new_connection);
	g_test_add_func("/gateway_stop/a request without a response at the "
			"exit gets a status",
	    test_unanswered);
	return g_test_run();
}
