/*
 * The HTTP server against raw sockets: immediate and deferred responses,
 * streams, disconnects, limits on bodies, and the end of accepting.
 */
#include <sys/socket.h>

#include <arpa/inet.h>
#include <string.h>
#include <unistd.h>

#include "base/httpd.h"

#define TEST_TIMEOUT_S	   20.
#define BODY_MAX_BYTES	   1000
#define BODIES_MAX_BYTES   1500
#define STREAM_TOTAL_BYTES (1 << 20)
#define STREAM_PIECE_BYTES 5000
#define FUZZ_ROUNDS	   500
#define FUZZ_FLIPS	   3
#define PAUSED_ROUNDS	   50

struct fixture {
	struct ev_loop *loop;
	struct httpd *httpd;
	struct httpd_request *pending; /* left for the test to respond to */
	int requests;
	int closed_complete;
	int closed_early;
	size_t streamed;
	bool accept_any_request; /* skip the checks of path and headers */
	bool timed_out;
};

/* Writes the next piece of the long stream, or ends it when complete. */
static void
write_piece(void *data, struct httpd_request *request)
{
	static const char piece[STREAM_PIECE_BYTES] = "";
	struct fixture *fixture = data;

	if (fixture->streamed >= STREAM_TOTAL_BYTES) {
		httpd_stream_end(request);
		return;
	}
	fixture->streamed += sizeof(piece);
	httpd_stream_write(request, piece, sizeof(piece));
}

/* Handles a request by its path: echo, long stream, or pending for the test. */
static void
on_request(void *data, struct httpd_request *request)
{
	static const struct http_header headers[] = {{"X-Kind", "echo"}};
	struct fixture *fixture = data;
	size_t length;
	const uint8_t *body = httpd_request_body(request, &length);

	fixture->requests++;
	if (g_str_equal(httpd_request_path(request), "/long")) {
		httpd_stream_begin(request, 200, NULL, 0);
		write_piece(fixture, request);
	} else if (g_str_equal(httpd_request_path(request), "/pending")) {
		fixture->pending = request;
	} else if (fixture->accept_any_request) {
		httpd_respond(request, 200, NULL, 0, body, length);
	} else {
		g_assert_cmpstr(httpd_request_query(request, "a"), ==, "b c");
		g_assert_cmpstr(httpd_request_header(request, "x-y"), ==, "z");
		g_assert_cmpstr(
		    httpd_request_target(request), ==, "/echo?a=b%20c");
		httpd_respond(request, 201, headers, 1, body, length);
		httpd_request_drop_body(request);
	}
}

/* Counts requests by whether their response was complete. */
static void
on_closed(void *data, struct httpd_request *request, bool complete)
{
	struct fixture *fixture = data;

	if (complete)
		fixture->closed_complete++;
	else
		fixture->closed_early++;
	if (fixture->pending == request)
		fixture->pending = NULL;
}

static const struct httpd_ops ops = {
    .request = on_request,
    .closed = on_closed,
    .drained = write_piece,
};

/* Marks that a condition did not hold within TEST_TIMEOUT_S. */
static void
on_timeout(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	((struct fixture *)timer->data)->timed_out = true;
}

/* Runs the loop until a condition holds; fails after TEST_TIMEOUT_S. */
#define RUN_UNTIL(fixture, condition)                                    \
	do {                                                             \
		struct ev_timer timeout;                                 \
		ev_timer_init(&timeout, on_timeout, TEST_TIMEOUT_S, 0.); \
		timeout.data = (fixture);                                \
		ev_timer_start((fixture)->loop, &timeout);               \
		while (!(condition)) {                                   \
			ev_run((fixture)->loop, EVRUN_ONCE);             \
			g_assert_false((fixture)->timed_out);            \
		}                                                        \
		ev_timer_stop((fixture)->loop, &timeout);                \
	} while (0)

/* Starts a server on any loopback port. */
static void
set_up(struct fixture *fixture, gconstpointer unused)
{
	const struct httpd_settings settings = {
	    .address = "127.0.0.1:0",
	    .body_max_bytes = BODY_MAX_BYTES,
	    .bodies_max_bytes = BODIES_MAX_BYTES,
	};
	g_autoptr(GError) error = NULL;

	fixture->loop = ev_loop_new(EVFLAG_AUTO);
	fixture->httpd = httpd_new(
	    fixture->loop, &settings, &ops, fixture, &error);
	g_assert_no_error(error);
}

/*
 * Frees the server; no test may leave a pending request, and each one must have
 * been closed.
 */
static void
tear_down(struct fixture *fixture, gconstpointer unused)
{
	httpd_free(fixture->httpd);
	g_assert_null(fixture->pending);
	g_assert_cmpint(fixture->closed_complete + fixture->closed_early, ==,
	    fixture->requests);
	ev_loop_destroy(fixture->loop);
}

/* Connects to the server and returns the socket, -1 if refused. */
static int
connect_to(struct fixture *fixture)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_port = htons((uint16_t)httpd_port(fixture->httpd)),
	    .sin_addr = {htonl(INADDR_LOOPBACK)},
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	close(fd);
	return -1;
}

/* Connects and sends a text; returns the socket. */
static int
send_text(struct fixture *fixture, const char *text)
{
	int fd = connect_to(fixture);

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(write(fd, text, strlen(text)), ==, strlen(text));
	return fd;
}

/* Appends the bytes available; returns false at the end of the connection. */
static bool
receive_available(int fd, GString *received)
{
	char bytes[4096];
	ssize_t length = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (length > 0)
		g_string_append_len(received, bytes, length);
	return length != 0;
}

/* Does nothing: the watcher only makes the loop return. */
static void
on_client_readable(struct ev_loop *loop, struct ev_io *watcher, int events)
{
}

/* Runs the loop until the text was received, or until the end if it is NULL. */
static void
read_until(struct fixture *fixture, int fd, GString *received, const char *text)
{
	struct ev_io watcher;

	ev_io_init(&watcher, on_client_readable, fd, EV_READ);
	ev_io_start(fixture->loop, &watcher);
	RUN_UNTIL(fixture,
	    !receive_available(fd, received) ||
		(text != NULL &&
		    memmem(received->str, received->len, text, strlen(text)) !=
			NULL));
	ev_io_stop(fixture->loop, &watcher);
}

/* A chunk; two of them are above BODY_MAX_BYTES. */
#define TEN	 "0123456789"
#define HUNDRED	 TEN TEN TEN TEN TEN TEN TEN TEN TEN TEN
#define CHUNK	 "258\r\n" HUNDRED HUNDRED HUNDRED HUNDRED HUNDRED HUNDRED "\r\n"
#define HEAD_END "Connection: close\r\n\r\n"

/* The response to each request starts with status and contains part. */
static const struct {
	const char *name;
	const char *request;
	const char *status;
	const char *part;
	int requests; /* passed to the owner */
} cases[] = {
    {"a body is returned with status and header",
	"POST /echo?a=b%20c HTTP/1.1\r\nHost: h\r\nX-Y: z\r\n"
	"Content-Length: 3\r\n" HEAD_END "hey",
	"HTTP/1.1 201 ", "X-Kind: echo\r\n", 1},
    {"a chunked body is returned",
	"POST /echo?a=b%20c HTTP/1.1\r\nHost: h\r\nX-Y: z\r\n"
	"Transfer-Encoding: chunked\r\n" HEAD_END
	"2\r\nhe\r\n1\r\ny\r\n0\r\n\r\n",
	"HTTP/1.1 201 ", "\r\n\r\nhey", 1},
    {"a body with too large a Content-Length is rejected before it arrives",
	"POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n" HEAD_END,
	"HTTP/1.1 413 ", "\"code\":\"body_too_long\"", 0},
    {"a chunked body that gets too long is rejected",
	"POST /echo HTTP/1.1\r\nHost: h\r\n"
	"Transfer-Encoding: chunked\r\n" HEAD_END CHUNK CHUNK "0\r\n\r\n",
	"HTTP/1.1 413 ", "\"type\":\"invalid_request_error\"", 0},
    {"a length that is not a number is rejected",
	"POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n" HEAD_END,
	"HTTP/1.1 400 ", "", 0},
    {"an invalid request line is rejected", "GET /x HTTP/9.9 x\r\n\r\n",
	"HTTP/1.1 400 ", "", 0},
    {"a long stream arrives completely",
	"GET /long HTTP/1.1\r\nHost: h\r\n" HEAD_END, "HTTP/1.1 200 ",
	"\r\n0\r\n\r\n", 1},
};

/* Runs one case. */
static void
test_response(struct fixture *fixture, gconstpointer index)
{
	size_t i = GPOINTER_TO_SIZE(index);
	g_autoptr(GString) received = g_string_new(NULL);
	int fd = send_text(fixture, cases[i].request);

	read_until(fixture, fd, received, NULL);
	close(fd);
	g_assert_true(g_str_has_prefix(received->str, cases[i].status));
	g_assert_nonnull(memmem(received->str, received->len, cases[i].part,
	    strlen(cases[i].part)));
	g_assert_cmpint(fixture->requests, ==, cases[i].requests);
	RUN_UNTIL(fixture, fixture->closed_complete == cases[i].requests);
	g_assert_cmpuint(received->len, >, fixture->streamed);
}

#define PENDING_REQUEST "GET /pending HTTP/1.1\r\nHost: h\r\n\r\n"

/* A deferred response is sent, and the connection takes the next request. */
static void
test_deferred_response(struct fixture *fixture, gconstpointer unused)
{
	g_autoptr(GString) received = g_string_new(NULL);
	int fd = send_text(fixture, PENDING_REQUEST);

	for (int round = 0; round < 2; round++) {
		RUN_UNTIL(fixture, fixture->pending != NULL);
		httpd_respond(fixture->pending, 200, NULL, 0, "late", 4);
		read_until(fixture, fd, received, "late");
		g_string_truncate(received, 0);
		RUN_UNTIL(fixture, fixture->closed_complete == round + 1);
		g_assert_cmpint(
		    write(fd, PENDING_REQUEST, strlen(PENDING_REQUEST)), >, 0);
	}
	RUN_UNTIL(fixture, fixture->pending != NULL);
	close(fd);
	RUN_UNTIL(fixture, fixture->closed_early == 1);
}

/* The pieces of a stream are sent one by one, and its end after all of them. */
static void
test_stream(struct fixture *fixture, gconstpointer unused)
{
	g_autoptr(GString) received = g_string_new(NULL);
	int fd = send_text(fixture, PENDING_REQUEST);

	fixture->streamed = STREAM_TOTAL_BYTES - STREAM_PIECE_BYTES;
	RUN_UNTIL(fixture, fixture->pending != NULL);
	httpd_stream_begin(fixture->pending, 200, NULL, 0);
	httpd_stream_write(fixture->pending, "one", 3);
	g_assert_cmpuint(httpd_stream_pending(fixture->pending), ==, 3);
	read_until(fixture, fd, received, "one");
	RUN_UNTIL(fixture, fixture->closed_complete == 1);
	read_until(fixture, fd, received, "\r\n0\r\n\r\n");
	close(fd);
}

/* A caller's disconnect is detected while it waits and in a silent stream. */
static void
test_caller_disconnects(struct fixture *fixture, gconstpointer streaming)
{
	g_autoptr(GString) received = g_string_new(NULL);
	struct httpd_stats stats;
	int fd = send_text(fixture, PENDING_REQUEST);

	RUN_UNTIL(fixture, fixture->pending != NULL);
	if (streaming != NULL) {
		fixture->streamed = 0;
		httpd_stream_begin(fixture->pending, 200, NULL, 0);
		httpd_stream_write(fixture->pending, "one", 3);
		read_until(fixture, fd, received, "one");
	}
	close(fd);
	RUN_UNTIL(fixture, fixture->closed_early == 1);
	httpd_stats(fixture->httpd, &stats);
	g_assert_cmpuint(stats.open_requests, ==, 0);
	g_assert_cmpuint(stats.stream_bytes, ==, 0);
}

/*
 * Bodies above the common limit are rejected, and accepted again once others
 * are dropped.
 */
static void
test_bodies_limit(struct fixture *fixture, gconstpointer unused)
{
	static const char body[] = "POST /pending HTTP/1.1\r\nHost: "
				   "h\r\nContent-Length: 800\r\n\r\n" HUNDRED
				       HUNDRED HUNDRED HUNDRED HUNDRED HUNDRED
					   HUNDRED HUNDRED;
	g_autoptr(GString) received = g_string_new(NULL);
	struct httpd_stats stats;
	int first = send_text(fixture, body);
	int second;

	RUN_UNTIL(fixture, fixture->pending != NULL);
	httpd_stats(fixture->httpd, &stats);
	g_assert_cmpuint(stats.body_bytes, ==, 800);
	second = send_text(fixture, body);
	read_until(fixture, second, received, "overloaded");
	g_assert_nonnull(strstr(received->str, "HTTP/1.1 503"));
	g_assert_nonnull(strstr(received->str, "Retry-After: 1\r\n"));
	close(second);
	httpd_request_drop_body(fixture->pending);
	second = send_text(fixture, body);
	RUN_UNTIL(fixture, fixture->requests == 2);
	close(first);
	close(second);
	RUN_UNTIL(fixture, fixture->closed_early == 2);
}

/*
 * After accepting has stopped, running requests are completed and new
 * connections are refused.
 */
static void
test_stop_accepting(struct fixture *fixture, gconstpointer unused)
{
	g_autoptr(GString) received = g_string_new(NULL);
	int fd = send_text(fixture, PENDING_REQUEST);

	RUN_UNTIL(fixture, fixture->pending != NULL);
	httpd_stop_accepting(fixture->httpd);
	g_assert_cmpint(connect_to(fixture), ==, -1);
	httpd_respond(fixture->pending, 200, NULL, 0, "late", 4);
	read_until(fixture, fd, received, NULL);
	close(fd);
	g_assert_nonnull(strstr(received->str, "Connection: close"));
	g_assert_true(g_str_has_suffix(received->str, "late"));
	RUN_UNTIL(fixture, fixture->closed_complete == 1);
}

/*
 * A connection that waits to be accepted when accepting stops is served: its
 * caller may have sent its request.
 */
static void
test_stop_with_backlog(struct fixture *fixture, gconstpointer unused)
{
	g_autoptr(GString) received = g_string_new(NULL);
	int fd = send_text(fixture,
	    "POST /echo?a=b%20c HTTP/1.1\r\nHost: h\r\nX-Y: z\r\n"
	    "Content-Length: 3\r\n\r\nhey");

	httpd_stop_accepting(fixture->httpd);
	read_until(fixture, fd, received, NULL);
	close(fd);
	g_assert_true(g_str_has_prefix(received->str, "HTTP/1.1 201 "));
	RUN_UNTIL(fixture, fixture->closed_complete == 1);
}

/* Freeing a server closes its pending requests. */
static void
test_free_with_pending(struct fixture *fixture, gconstpointer unused)
{
	int fd = send_text(fixture, PENDING_REQUEST);

	RUN_UNTIL(fixture, fixture->pending != NULL);
	httpd_free(fixture->httpd);
	fixture->httpd = NULL;
	g_assert_cmpint(fixture->closed_early, ==, 1);
	close(fd);
}

/*
 * Truncated and damaged requests do no harm: a valid one is served after them,
 * and nothing leaks.
 */
static void
test_fuzz(struct fixture *fixture, gconstpointer unused)
{
	g_autoptr(GString) received = g_string_new(NULL);
	struct httpd_stats stats;
	int good;

	fixture->accept_any_request = true;
	for (int round = 0; round < FUZZ_ROUNDS; round++) {
		int i = g_test_rand_int_range(0, 2);
		g_autofree char *bytes = g_strdup(cases[i].request);
		int length = (int)strlen(bytes);
		int fd = connect_to(fixture);

		for (int flip = 0; flip < FUZZ_FLIPS; flip++)
			bytes[g_test_rand_int_range(0, length)] ^= (char)
			    g_test_rand_int_range(0, 256);
		length = g_test_rand_int_range(1, length + 1);
		g_assert_cmpint(write(fd, bytes, (size_t)length), ==, length);
		ev_run(fixture->loop, EVRUN_NOWAIT);
		close(fd);
	}
	good = send_text(fixture, PENDING_REQUEST);
	RUN_UNTIL(fixture, fixture->pending != NULL);
	httpd_respond(fixture->pending, 200, NULL, 0, "good", 4);
	read_until(fixture, good, received, "good");
	close(good);
	RUN_UNTIL(fixture,
	    (httpd_stats(fixture->httpd, &stats), stats.open_requests == 0));
	g_assert_cmpuint(stats.body_bytes, ==, 0);
}

/* Each unusable address gives its typed error. */
static void
test_bad_address(struct fixture *fixture, gconstpointer unused)
{
	g_autofree char *in_use = g_strdup_printf(
	    "127.0.0.1:%d", httpd_port(fixture->httpd));
	const struct {
		const char *address;
		int code;
	} bad[] = {
	    {"nowhere", HTTPD_ERROR_ADDRESS},
	    {"127.0.0.1:", HTTPD_ERROR_ADDRESS},
	    {"host:80", HTTPD_ERROR_ADDRESS},
	    {in_use, HTTPD_ERROR_LISTEN},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		struct httpd_settings settings = {.address = bad[i].address};
		g_autoptr(GError) error = NULL;

		g_assert_null(
		    httpd_new(fixture->loop, &settings, &ops, fixture, &error));
		g_assert_error(error, HTTPD_ERROR, bad[i].code);
	}
}

/* Registers one test with its fixture. */
static void
add_test(const char *name, gconstpointer data,
    void (*test)(struct fixture *, gconstpointer))
{
	g_autofree char *path = g_strdup_printf("/httpd/%s", name);

	g_test_add(path, struct fixture, data, set_up, test, tear_down);
}

/*
 * Connections to a server that starts paused wait and are served once it is
 * started.
 */
static void
test_start_paused(struct fixture *fixture, gconstpointer unused)
{
	const struct httpd_settings settings = {
	    .address = "127.0.0.1:0",
	    .body_max_bytes = BODY_MAX_BYTES,
	    .bodies_max_bytes = BODIES_MAX_BYTES,
	    .start_paused = true,
	};
	g_autoptr(GString) received = g_string_new(NULL);
	int fd;

	httpd_free(fixture->httpd);
	fixture->accept_any_request = true;
	fixture->httpd = httpd_new(
	    fixture->loop, &settings, &ops, fixture, NULL);
	fd = send_text(fixture, "GET /any HTTP/1.1\r\nHost: h\r\n\r\n");
	for (int i = 0; i < PAUSED_ROUNDS; i++)
		ev_run(fixture->loop, EVRUN_NOWAIT);
	g_assert_cmpint(fixture->requests, ==, 0);
	httpd_start(fixture->httpd);
	read_until(fixture, fd, received, "HTTP/1.1 200 ");
	close(fd);
	RUN_UNTIL(fixture, fixture->closed_complete == 1);
}

/*
 * Disabling keep-alive closes idle connections at once, and busy ones after the
 * response in progress.
 */
static void
test_disable_keep_alive(struct fixture *fixture, gconstpointer unused)
{
	static const char request_text[] =
	    "GET /pending HTTP/1.1\r\nHost: h\r\n\r\n";
	g_autoptr(GString) busy_received = g_string_new(NULL);
	g_autoptr(GString) idle_received = g_string_new(NULL);
	int idle = send_text(fixture, request_text);
	int busy;

	RUN_UNTIL(fixture, fixture->pending != NULL);
	httpd_respond(fixture->pending, 200, NULL, 0, "1", 1);
	fixture->pending = NULL;
	read_until(fixture, idle, idle_received, "\r\n\r\n1");
	busy = send_text(fixture, request_text);
	RUN_UNTIL(fixture, fixture->pending != NULL);
	httpd_disable_keep_alive(fixture->httpd);
	read_until(fixture, idle, idle_received, NULL);
	httpd_respond(fixture->pending, 200, NULL, 0, "2", 1);
	fixture->pending = NULL;
	read_until(fixture, busy, busy_received, NULL);
	g_assert_nonnull(strstr(busy_received->str, "\r\n\r\n2"));
	close(idle);
	close(busy);
	RUN_UNTIL(fixture, fixture->closed_complete == 2);
}

/*
 * A request that has arrived on a kept connection, but has not been read, is
 * answered when keep-alive is disabled.
 */
static void
test_disable_keep_alive_unread(struct fixture *fixture, gconstpointer unused)
{
	g_autoptr(GString) received = g_string_new(NULL);
	int fd = send_text(fixture, PENDING_REQUEST);

	for (int i = 0; i < 2; i++) {
		RUN_UNTIL(fixture, fixture->pending != NULL);
		httpd_respond(fixture->pending, 200, NULL, 0, "late", 4);
		fixture->pending = NULL;
		g_string_truncate(received, 0);
		read_until(fixture, fd, received, i == 0 ? "late" : NULL);
		g_assert_true(g_str_has_suffix(received->str, "late"));
		if (i == 0) {
			RUN_UNTIL(fixture, fixture->closed_complete == 1);
			g_assert_cmpint(
			    write(fd, PENDING_REQUEST, strlen(PENDING_REQUEST)),
			    >, 0);
			httpd_disable_keep_alive(fixture->httpd);
		}
	}
	close(fd);
	RUN_UNTIL(fixture, fixture->closed_complete == 2);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		add_test(cases[i].name, GSIZE_TO_POINTER(i), test_response);
	add_test("a response may be deferred", NULL, test_deferred_response);
	add_test("a stream is sent piece by piece", NULL, test_stream);
	add_test("a disconnect of a waiting caller is detected", NULL,
	    test_caller_disconnects);
	add_test("a disconnect in a silent stream is detected", "",
	    test_caller_disconnects);
	add_test("bodies have a common limit", NULL, test_bodies_limit);
	add_test("running requests are completed after accepting has stopped",
	    NULL, test_stop_accepting);
	add_test("connections not yet accepted are served when accepting stops",
	    NULL, test_stop_with_backlog);
	add_test(
	    "connections wait for a paused server", NULL, test_start_paused);
	add_test("connections close when keep-alive is disabled", NULL,
	    test_disable_keep_alive);
	add_test("an unread request is answered when keep-alive is disabled",
	    NULL, test_disable_keep_alive_unread);
	add_test("pending requests are closed with the server", NULL,
	    test_free_with_pending);
	add_test("random requests do no harm", NULL, test_fuzz);
	add_test("a bad address has a typed error", NULL, test_bad_address);
	return g_test_run();
}
