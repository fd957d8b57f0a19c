#include "stop_fixture.h"

#include <sys/socket.h>
#include <sys/wait.h>

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <spawn.h>

#define TEST_TIMEOUT_S 20.0
/*
 * Ports below those that the system gives to outgoing connections, one of which
 * could otherwise take a port before the process listens, and below those of
 * script/soak.
 */
#define PORT_FIRST  4000
#define PORT_END    10000
#define BLOCK_PORTS 30
#define BLOCKS	    ((PORT_END - PORT_FIRST) / BLOCK_PORTS)

/* Fails a test that does not end within TEST_TIMEOUT_S. */
static void
on_timeout(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	g_error("the test did not end in time");
}

/* The process has exited. */
static void
on_exit_of_process(struct ev_loop *loop, struct ev_child *child, int events)
{
	struct stop_fixture *f = child->data;

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

/*
 * Returns a socket that is bound to a port; -1 if the port is in use. Several
 * can be bound to a port that may be shared, while none of them listens.
 */
static int
bind_port(int port, int may_share)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &may_share,
			    sizeof(may_share)),
	    ==, 0);
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	g_assert_cmpint(errno, ==, EADDRINUSE);
	close(fd);
	return -1;
}

/*
 * Reserves a block of ports for this test and returns the first one, whose
 * socket stays bound until the test exits: tests that run at once use different
 * blocks. Each begins its search elsewhere.
 */
static int
reserve_block(void)
{
	int start = (int)getpid() % BLOCKS;

	for (int i = 0; i < BLOCKS; i++) {
		int port = PORT_FIRST + (start + i) % BLOCKS * BLOCK_PORTS;

		if (bind_port(port, false) >= 0)
			return port;
	}
	g_error("no block of ports is free from %d to %d", PORT_FIRST,
	    PORT_END - 1);
}

/*
 * Finds ports that nothing listens on, the next ones of this test's block. Like
 * the process that is to listen, it ignores a port's closed connections.
 */
static void
find_ports(struct stop_fixture *f)
{
	static int block, used;
	size_t count = 0;

	if (block == 0)
		block = reserve_block();
	for (int i = 1; i < BLOCK_PORTS && count < STOP_PORT_COUNT; i++) {
		int port = block + 1 + used++ % (BLOCK_PORTS - 1);
		int fd = bind_port(port, true);

		if (fd < 0)
			continue;
		close(fd);
		f->ports[count++] = port;
	}
	g_assert_cmpuint(count, ==, STOP_PORT_COUNT);
}

/* Connects to a port of the process; -1 if that is refused. */
int
stop_fixture_connect(struct stop_fixture *f, enum stop_port port)
{
	struct sockaddr_in address = loopback(f->ports[port]);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Sends a text. */
void
stop_fixture_send(int fd, const char *text)
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
void
stop_fixture_read_until(
    struct stop_fixture *f, int fd, GString *received, const char *text)
{
	struct ev_io watcher;

	ev_io_init(&watcher, on_readable, fd, EV_READ);
	ev_io_start(f->loop, &watcher);
	STOP_RUN_UNTIL(f,
	    !receive_available(fd, received) ||
		(text != NULL && strstr(received->str, text) != NULL));
	ev_io_stop(f->loop, &watcher);
}

/* Does nothing: the timer only makes the loop return. */
static void
on_tick(struct ev_loop *loop, struct ev_timer *timer, int events)
{
}

/* Runs the loop until a port is open, or is closed. */
void
stop_fixture_wait_for_port(
    struct stop_fixture *f, enum stop_port port, bool open)
{
	struct ev_timer tick;
	bool is_open;

	ev_timer_init(&tick, on_tick, 0.01, 0.01);
	ev_timer_start(f->loop, &tick);
	do {
		int fd = stop_fixture_connect(f, port);

		is_open = fd >= 0;
		if (is_open)
			close(fd);
		ev_run(f->loop, EVRUN_ONCE);
	} while (is_open != open);
	ev_timer_stop(f->loop, &tick);
}

/* Creates the loop with the test's timeout and finds ports. */
void
stop_fixture_open(struct stop_fixture *f)
{
	f->loop = ev_default_loop(EVFLAG_AUTO);
	ev_timer_init(&f->timeout, on_timeout, TEST_TIMEOUT_S, 0.0);
	ev_timer_start(f->loop, &f->timeout);
	find_ports(f);
}

/*
 * Starts this test's program again as a role, with its addresses and the
 * further arguments, up to a NULL.
 */
void
stop_fixture_spawn(
    struct stop_fixture *f, const char *role, const char *const *arguments)
{
	g_autoptr(GPtrArray) argv = g_ptr_array_new_with_free_func(g_free);

	g_ptr_array_add(argv, g_strdup("heatherturn"));
	g_ptr_array_add(argv, g_strdup(role));
	g_ptr_array_add(argv, g_strdup("--id=p1"));
	g_ptr_array_add(argv, g_strdup("--failure-domain=z"));
	g_ptr_array_add(argv,
	    g_strdup_printf(
		"--listen=127.0.0.1:%d", f->ports[STOP_PORT_PEERS]));
	g_ptr_array_add(argv,
	    g_strdup_printf("--http=127.0.0.1:%d", f->ports[STOP_PORT_HTTP]));
	for (size_t i = 0; arguments[i] != NULL; i++)
		g_ptr_array_add(argv, g_strdup(arguments[i]));
	g_ptr_array_add(argv, NULL);
	g_assert_cmpint(posix_spawn(&f->process, "/proc/self/exe", NULL, NULL,
			    (char **)argv->pdata, environ),
	    ==, 0);
	ev_child_init(&f->exit, on_exit_of_process, f->process, 0);
	f->exit.data = f;
	ev_child_start(f->loop, &f->exit);
}

/* The same; returns once a port of it is open. */
void
stop_fixture_start(struct stop_fixture *f, const char *role,
    const char *const *arguments, enum stop_port port)
{
	stop_fixture_spawn(f, role, arguments);
	stop_fixture_wait_for_port(f, port, true);
}

/* Waits for the process's exit, which must be orderly. */
void
stop_fixture_close(struct stop_fixture *f)
{
	STOP_RUN_UNTIL(f, f->exited);
	g_assert_cmpint(f->status, ==, 0);
	ev_timer_stop(f->loop, &f->timeout);
}
