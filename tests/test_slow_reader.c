/*
 * A caller that reads nothing of a stream without end: what the gateway buffers
 * for it, and when its connection ends.
 */
#include <sys/socket.h>

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "base/metrics.h"
#include "cases.h"
#include "endless_server.h"
#include "gateway/exchange_internal.h"
#include "gateway_fixture.h"

#define HEAD                                                \
	"HTTP/1.1 200 OK\r\nHeatherturn-Attempt-Id: r1\r\n" \
	"Heatherturn-Server-Seal: seal\r\n"                 \
	"Content-Type: text/event-stream\r\n"               \
	"Transfer-Encoding: chunked\r\n\r\n"
#define EVENT                                            \
	"data: 0123456789012345678901234567890123456789" \
	"01234567890123456789012345678901234567890123456789\n\n"
#define REQUEST                                                       \
	"POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k1\r\n" \
	"Heatherturn-Attempt-Id: r1\r\nContent-Length: 0\r\n\r\n"
/* The default limit of a caller's buffer and a read of the upstream's socket.
 */
#define DEFAULT_BUFFER_BYTES ((size_t)(128 + 32) * 1024)
/* A quarter of 1 MB and a read of the upstream's socket. */
#define SMALL_BUFFER_BYTES ((size_t)(250000 + 32 * 1024))
/* Open requests that leave no memory on a host of 1 MB. */
#define REQUESTS_OF_1_MB 13

static const struct slow_case {
	const char *name;
	const char *path;
	int64_t memory_mb; /* of the host; 0 for unknown */
	size_t buffered_max; /* bytes */
	int cut; /* callers disconnected by the host's rules */
} slow_cases[] = {
    {"without limits the connection ends at the deadline", "/hasty/x", 0,
	DEFAULT_BUFFER_BYTES, 0},
    {"on a host with little memory it ends before", "/stream/x", 1,
	SMALL_BUFFER_BYTES, 1},
};

/* Connects as a caller and sends a request. */
static int
connect_caller(struct fixture *f, const char *path)
{
	g_autofree char *request = g_strdup_printf(REQUEST, path);
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_port = htons((uint16_t)httpd_port(f->callers)),
	    .sin_addr = {htonl(INADDR_LOOPBACK)},
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
	g_assert_cmpint(send(fd, request, strlen(request), MSG_NOSIGNAL), ==,
	    strlen(request));
	return fd;
}

/* Returns the value of a counter in this process. */
static int
counter(const char *name)
{
	g_autoptr(GString) text = g_string_new(NULL);
	g_autofree char *line = g_strdup_printf("\n%s ", name);
	const char *found;

	metrics_write(text);
	found = strstr(text->str, line);
	return found == NULL ? 0 : atoi(found + strlen(line));
}

/*
 * Guards against buffers without end, and against a connection that stays open
 * because the library waits until the caller reads.
 */
static void
test_slow(gconstpointer data)
{
	const struct slow_case *c = &slow_cases[GPOINTER_TO_SIZE(data)];
	const struct host_limits limits = {.memory_mb = c->memory_mb};
	g_autoptr(GString) head = g_string_new(HEAD);
	g_autoptr(GString) event = g_string_new(NULL);
	int cut = counter("heatherturn_host_callers_cut");
	struct httpd_stats stats = {0};
	struct endless_server *server;
	struct fixture f = {0};
	size_t most = 0;
	int fd;

	g_string_printf(event, "%zx\r\n%s\r\n", strlen(EVENT), EVENT);
	fixture_set_up(&f);
	server = endless_server_new_bytes(f.loop, head, event);
	for (size_t i = 0; i < FAKE_PLATFORM_UPSTREAMS; i++)
		fake_platform_set_upstream_port(
		    f.fake_platform, i, endless_server_port(server));
	f.exchange_context.host = host_monitor_new(
	    f.loop, clock_system(), &limits, f.callers, &f.exchange_context);
	fixture_wait_for_routing_state(&f);
	fd = connect_caller(&f, c->path);
	RUN_UNTIL(&f, f.exchange_context.open > 0);
	while (f.exchange_context.open > 0) {
		ev_run(f.loop, EVRUN_ONCE);
		httpd_stats(f.callers, &stats);
		most = MAX(most, stats.stream_bytes);
	}
	httpd_stats(f.callers, &stats);
	g_assert_cmpuint(most, >, 0);
	g_assert_cmpuint(most, <=, c->buffered_max);
	g_assert_cmpuint(stats.stream_bytes, ==, 0);
	g_assert_cmpint(
	    counter("heatherturn_host_callers_cut") - cut, ==, c->cut);
	close(fd);
	host_monitor_free(f.exchange_context.host);
	endless_server_free(server);
	fixture_tear_down(&f);
}

/*
 * Guards against an upstream that is taken for silent, and a request that is
 * sent again, because the gateway itself does not read.
 */
static void
test_paused(void)
{
	g_autoptr(GString) head = g_string_new(HEAD);
	g_autoptr(GString) event = g_string_new(NULL);
	struct endless_server *server;
	struct exchange *exchange;
	struct fixture f = {0};
	int fd;

	g_string_printf(event, "%zx\r\n%s\r\n", strlen(EVENT), EVENT);
	fixture_set_up(&f);
	server = endless_server_new_bytes(f.loop, head, event);
	for (size_t i = 0; i < FAKE_PLATFORM_UPSTREAMS; i++)
		fake_platform_set_upstream_port(
		    f.fake_platform, i, endless_server_port(server));
	fixture_wait_for_routing_state(&f);
	fd = connect_caller(&f, "/stream/x");
	RUN_UNTIL(&f, f.exchange_context.open > 0);
	exchange = TAILQ_FIRST(&f.exchange_context.exchanges);
	RUN_UNTIL(&f, exchange->paused);
	exchange_on_stall_timeout(f.loop, &exchange->stall_timer, EV_TIMER);
	g_assert_nonnull(exchange->call);
	g_assert_cmpuint(exchange->tries, ==, 1);
	close(fd);
	RUN_UNTIL(&f, f.exchange_context.open == 0);
	endless_server_free(server);
	fixture_tear_down(&f);
}

/* Returns what a caller receives until the end of the headers. */
static GString *
receive_head(struct fixture *f, int fd)
{
	GString *received = g_string_new(NULL);
	char bytes[4096];
	ssize_t length;

	while (strstr(received->str, "\r\n\r\n") == NULL) {
		ev_run(f->loop, EVRUN_ONCE);
		length = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		g_assert_cmpint(length, !=, 0);
		if (length > 0)
			g_string_append_len(received, bytes, length);
	}
	return received;
}

/*
 * Guards against requests that are accepted until the memory is used up, and
 * against a rejected caller that comes back on the same connection.
 */
static void
test_memory(void)
{
	const struct host_limits limits = {.memory_mb = 1};
	g_autoptr(GString) head = g_string_new(HEAD);
	g_autoptr(GString) event = g_string_new("");
	g_autoptr(GString) received = NULL;
	struct endless_server *server;
	struct fixture f = {0};
	int fds[REQUESTS_OF_1_MB];
	int fd;

	g_string_printf(event, "%zx\r\n%s\r\n", strlen(EVENT), EVENT);
	fixture_set_up(&f);
	server = endless_server_new_bytes(f.loop, head, event);
	for (size_t i = 0; i < FAKE_PLATFORM_UPSTREAMS; i++)
		fake_platform_set_upstream_port(
		    f.fake_platform, i, endless_server_port(server));
	f.exchange_context.host = host_monitor_new(
	    f.loop, clock_system(), &limits, f.callers, &f.exchange_context);
	fixture_wait_for_routing_state(&f);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		fds[i] = connect_caller(&f, "/stream/x");
	RUN_UNTIL(&f, f.exchange_context.open == G_N_ELEMENTS(fds));
	fd = connect_caller(&f, "/once/x");
	received = receive_head(&f, fd);
	g_assert_true(g_str_has_prefix(received->str, "HTTP/1.1 503 "));
	g_assert_nonnull(strstr(received->str, "Retry-After: 0.050\r\n"));
	g_assert_nonnull(strstr(received->str, "Connection: close\r\n"));
	close(fd);
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		close(fds[i]);
	host_monitor_free(f.exchange_context.host);
	endless_server_free(server);
	fixture_tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(slow_cases, "/slow_reader", test_slow);
	g_test_add_func("/slow_reader/a host without memory left rejects "
			"requests and closes their connections",
	    test_memory);
	g_test_add_func("/slow_reader/an upstream that is not read is not "
			"taken for silent",
	    test_paused);
	return g_test_run();
}
