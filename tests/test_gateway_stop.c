/*
 * A gateway process that is asked to stop, with raw connections of callers.
 * Guards against requests that the exit cuts although they could be answered.
 */
#include <signal.h>
#include <string.h>
#include <unistd.h>

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

/* A stream that can't be resumed, with ONCE_CONFIG. */
#define STREAM_HEAD                         \
	"POST /v/x HTTP/1.1\r\nHost: h\r\n" \
	"Heatherturn-Attempt-Id: r1\r\nContent-Length: 5\r\n\r\n"

struct fixture {
	struct stop_fixture stop;
	struct fake_platform *platform;
	const char *config; /* NULL for CONFIG */
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
	fake_platform_set_config(
	    f->platform, f->config != NULL ? f->config : CONFIG);
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

/* The same routes, but their requests may run only once. */
#define ONCE_CONFIG                                                         \
	"{\"Version\":3,\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\","        \
	"\"PathPrefix\":\"/\",\"Kind\":\"non_idempotent\",\"Public\":true," \
	"\"TimeoutMs\":15000,\"Attempts\":1,\"Service\":\"s\"},"            \
	"{\"Name\":\"v\",\"Host\":\"h\",\"PathPrefix\":\"/v/\","            \
	"\"Kind\":\"stream\",\"Public\":true,\"TimeoutMs\":15000,"          \
	"\"Attempts\":1,\"Service\":\"s\"}],"                               \
	"\"Services\":[{\"Name\":\"s\"}],\"Limits\":{\"BodyBytes\":1000},"  \
	"\"Tenants\":[]}"

/* What reaches a gateway late in a planned stop, after the notice. */
enum late_way {
	LATE_UNUSED, /* on a connection that was opened before the stop */
	LATE_KEPT, /* on one that had a request before the stop */
	LATE_BODY, /* the rest of a body that was begun before the stop */
	LATE_PIPELINED, /* behind a request that is still open */
	LATE_WAYS,
};

/* Prepares a connection for each way, before the stop. */
static void
open_late_connections(struct fixture *f, int *fds)
{
	for (size_t i = 0; i < LATE_WAYS; i++)
		fds[i] = stop_fixture_connect(&f->stop, STOP_PORT_CALLERS);
	exchange(f, fds[LATE_KEPT]);
	stop_fixture_send(fds[LATE_BODY], HEAD "as");
	stop_fixture_send(fds[LATE_PIPELINED], HEAD "asked");
	STOP_RUN_UNTIL(&f->stop, fake_platform_request_count(f->platform) == 2);
}

/*
 * Requests that come late in a planned stop are not passed on: their callers
 * learn at once that they have not run. One that is open gets a status.
 */
static void
test_late_requests(void)
{
	static const enum fake_platform_step steps[] = {
	    FAKE_STEP_OK, FAKE_STEP_HANG, FAKE_STEP_OK};
	static const char *const starts[LATE_WAYS] = {
	    "HTTP/1.1 503 ", "", "HTTP/1.1 503 ", "HTTP/1.1 502 "};
	struct fixture f = {.config = ONCE_CONFIG};
	int fds[LATE_WAYS];

	set_up(&f, "300", "3", steps, G_N_ELEMENTS(steps));
	open_late_connections(&f, fds);
	kill(f.stop.process, SIGTERM);
	stop_fixture_wait_for_port(&f.stop, STOP_PORT_CALLERS, false);
	stop_fixture_send(fds[LATE_UNUSED], HEAD "asked");
	stop_fixture_send(fds[LATE_KEPT], HEAD "asked");
	stop_fixture_send(fds[LATE_BODY], "ked");
	stop_fixture_send(fds[LATE_PIPELINED], HEAD "asked");
	for (size_t i = 0; i < LATE_WAYS; i++) {
		g_autoptr(GString) received = g_string_new(NULL);

		stop_fixture_read_until(&f.stop, fds[i], received, NULL);
		g_assert_true(g_str_has_prefix(received->str, starts[i]));
		close(fds[i]);
	}
	g_assert_cmpuint(fake_platform_request_count(f.platform), ==, 2);
	tear_down(&f);
}

/*
 * A grace time that is shorter than the notice: a request that may run only
 * once, of a length that is not known, is not begun a moment before the exit.
 */
static void
test_short_grace(gconstpointer data)
{
	static const enum fake_platform_step steps[] = {
	    FAKE_STEP_OK, FAKE_STEP_BEGIN};
	const char *head = data;
	g_autoptr(GString) received = g_string_new(NULL);
	struct fixture f = {.config = ONCE_CONFIG};
	int other, fd;

	set_up(&f, "2700", "2", steps, G_N_ELEMENTS(steps));
	fd = stop_fixture_connect(&f.stop, STOP_PORT_CALLERS);
	other = stop_fixture_connect(&f.stop, STOP_PORT_CALLERS);
	exchange(&f, other);
	kill(f.stop.process, SIGTERM);
	/* Its end shows that the gateway drains. */
	stop_fixture_read_until(&f.stop, other, received, NULL);
	g_string_truncate(received, 0);
	stop_fixture_send(fd, head);
	stop_fixture_read_until(&f.stop, fd, received, NULL);
	close(fd);
	close(other);
	g_assert_true(g_str_has_prefix(received->str, "HTTP/1.1 503 "));
	g_assert_cmpuint(fake_platform_request_count(f.platform), ==, 1);
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
	g_test_add_func("/gateway_stop/requests that come late in a stop are "
			"not passed on",
	    test_late_requests);
	g_test_add_data_func(
	    "/gateway_stop/a stream that can't be resumed is not begun a "
	    "moment before the exit",
	    STREAM_HEAD "asked", test_short_grace);
	return g_test_run();
}
