/*
 * A gateway process that is asked to stop, with raw connections of callers.
 * Guards against requests that the exit cuts although they could be answered.
 */
#include <sys/socket.h>
#include <sys/wait.h>

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>
#include <spawn.h>

#include "commands.h"
#include "fake_platform.h"

#define TEST_TIMEOUT_S	 20.0
#define PORTS		 3
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
	struct ev_loop *loop;
	struct fake_platform *platform;
	int ports[PORTS]; /* peers, readiness, callers */
	pid_t gateway;
	struct ev_child exit;
	bool exited;
	int status;
	struct ev_timer timeout;
};

/* Runs the loop until a condition holds. */
#define RUN_UNTIL(fixture, condition)                        \
	do {                                                 \
		while (!(condition))                         \
			ev_run((fixture)->loop, EVRUN_ONCE); \
	} while (0)

/* Fails a test that does not end within TEST_TIMEOUT_S. */
static void
on_timeout(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	g_error("the test did not end in time");
}

/* The gateway has exited. */
static void
on_exit_of_gateway(struct ev_loop *loop, struct ev_child *child, int events)
{
	struct fixture *f = child->data;

	ev_child_stop(loop, child);
	f->exited = true;
	f->status = child->rstatus;
}

/* Returns a loopback address with a port. */
static struct sockaddr_in
loopback(int port)
{
	return (struct sockaddr_in){
	    .sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr = {htonl(INADDR_LOOPBACK)},
	};
}

/* Finds ports that nothing listens on. */
static void
find_ports(struct fixture *f)
{
	int fds[PORTS];

	for (size_t i = 0; i < PORTS; i++) {
		struct sockaddr_in address = loopback(0);
		socklen_t length = sizeof(address);

		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		g_assert_cmpint(
		    bind(fds[i], (struct sockaddr *)&address, length), ==, 0);
		getsockname(fds[i], (struct sockaddr *)&address, &length);
		f->ports[i] = ntohs(address.sin_port);
	}
	for (size_t i = 0; i < PORTS; i++)
		close(fds[i]);
}

/* Connects to callers' port; -1 if that is refused. */
static int
connect_to_gateway(struct fixture *f)
{
	struct sockaddr_in address = loopback(f->ports[2]);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Sends a text. */
static void
send_text(int fd, const char *text)
{
	g_assert_cmpint(
	    send(fd, text, strlen(text), MSG_NOSIGNAL), ==, strlen(text));
}

/* Appends the bytes available; returns false at the end of the connection. */
static bool
receive_available(int fd, GString *received)
{
	char bytes[4096];
	ssize_t length = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (length > 0)
		g_string_append_len(received, bytes, length);
	return length != 0 && (length > 0 || errno == EAGAIN);
}

/* Does nothing: the watcher only makes the loop return. */
static void
on_readable(struct ev_loop *loop, struct ev_io *watcher, int events)
{
}

/* Runs the loop until the text was received, or until the end if it is NULL. */
static void
read_until(struct fixture *f, int fd, GString *received, const char *text)
{
	struct ev_io watcher;

	ev_io_init(&watcher, on_readable, fd, EV_READ);
	ev_io_start(f->loop, &watcher);
	RUN_UNTIL(f,
	    !receive_available(fd, received) ||
		(text != NULL && strstr(received->str, text) != NULL));
	ev_io_stop(f->loop, &watcher);
}

/* Does nothing: the timer only makes the loop return. */
static void
on_tick(struct ev_loop *loop, struct ev_timer *timer, int events)
{
}

/* Runs the loop until callers' port is open, or is closed. */
static void
wait_for_port(struct fixture *f, bool open)
{
	struct ev_timer tick;
	bool is_open;

	ev_timer_init(&tick, on_tick, 0.01, 0.01);
	ev_timer_start(f->loop, &tick);
	do {
		int fd = connect_to_gateway(f);

		is_open = fd >= 0;
		if (is_open)
			close(fd);
		ev_run(f->loop, EVRUN_ONCE);
	} while (is_open != open);
	ev_timer_stop(f->loop, &tick);
}

/* Starts the platform and a gateway with these limits. */
static void
set_up(struct fixture *f, const char *notice_ms, const char *grace_s,
    const enum fake_platform_step *steps, size_t step_count)
{
	g_autofree char *listen = NULL, *http = NULL, *callers = NULL;
	g_autofree char *objects = NULL, *notice = NULL, *grace = NULL;

	f->loop = ev_default_loop(EVFLAG_AUTO);
	ev_timer_init(&f->timeout, on_timeout, TEST_TIMEOUT_S, 0.0);
	ev_timer_start(f->loop, &f->timeout);
	f->platform = fake_platform_new(f->loop);
	fake_platform_set_config(f->platform, CONFIG);
	fake_platform_set_steps(f->platform, steps, step_count);
	find_ports(f);
	listen = g_strdup_printf("--listen=127.0.0.1:%d", f->ports[0]);
	http = g_strdup_printf("--http=127.0.0.1:%d", f->ports[1]);
	callers = g_strdup_printf("--callers=127.0.0.1:%d", f->ports[2]);
	objects = g_strdup_printf(
	    "--objects=%s", fake_platform_store_address(f->platform));
	notice = g_strdup_printf("--drain-notice-ms=%s", notice_ms);
	grace = g_strdup_printf("--grace-s=%s", grace_s);
	{
		char *argv[] = {(char *)"heatherturn", (char *)GATEWAY_ARGUMENT,
		    (char *)"--id=g1", (char *)"--failure-domain=z", listen,
		    http, callers, objects, notice, grace, NULL};

		g_assert_cmpint(posix_spawn(&f->gateway, "/proc/self/exe", NULL,
				    NULL, argv, environ),
		    ==, 0);
	}
	ev_child_init(&f->exit, on_exit_of_gateway, f->gateway, 0);
	f->exit.data = f;
	ev_child_start(f->loop, &f->exit);
	wait_for_port(f, true);
}

/* Waits for the gateway's exit, which must be orderly, and frees all. */
static void
tear_down(struct fixture *f)
{
	RUN_UNTIL(f, f->exited);
	g_assert_cmpint(f->status, ==, 0);
	fake_platform_free(f->platform);
	ev_timer_stop(f->loop, &f->timeout);
}

/* Sends a whole request on a connection and waits for its response. */
static void
exchange(struct fixture *f, int fd)
{
	g_autoptr(GString) received = g_string_new(NULL);

	send_text(fd, HEAD "asked");
	read_until(f, fd, received, "\r\n\r\n");
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
	fd = connect_to_gateway(&f);
	send_text(fd, HEAD "as");
	other = connect_to_gateway(&f);
	exchange(&f, other);
	kill(f.gateway, SIGTERM);
	wait_for_port(&f, false);
	send_text(fd, "ked");
	read_until(&f, fd, received, NULL);
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
	fd = connect_to_gateway(&f);
	other = connect_to_gateway(&f);
	exchange(&f, other);
	kill(f.gateway, SIGTERM);
	/* Its end shows that the gateway drains. */
	read_until(&f, other, received, NULL);
	g_string_truncate(received, 0);
	send_text(fd, HEAD "asked");
	read_until(&f, fd, received, NULL);
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
	fd = connect_to_gateway(&f);
	send_text(fd, HEAD "asked");
	RUN_UNTIL(&f, fake_platform_request_count(f.platform) == 1);
	kill(f.gateway, SIGTERM);
	read_until(&f, fd, received, NULL);
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
