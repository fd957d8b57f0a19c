/*
 * Responses that end while the request's body is still being written. Guards
 * against a response without a length that is taken for complete though its
 * connection is reset by what is written after its end.
 */
#include <sys/socket.h>

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/http_client.h"
#include "cases.h"

#define TEST_TIMEOUT_S 20.0
/* More than the buffers of both ends of a connection hold. */
#define BODY_BYTES ((size_t)32 * 1024 * 1024)
/* Of the body, that the server reads before it responds. */
#define READ_BYTES ((size_t)2 * 1024 * 1024)
#define READ_MAX   ((size_t)256 * 1024)
#define LATE_MS	   300
/* The body's bytes repeat after a prime number. */
#define PATTERN_BYTES 251

#define OK	"HTTP/1.1 200 OK\r\n"
#define STREAM	"Content-Type: text/event-stream\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"

/* What the server does once it has sent its response. */
enum server_end {
	END_CLOSE, /* with nothing unread: a reset answers later bytes */
	END_RESET,
	END_HALF, /* shuts its sending side down and reads the rest */
	END_HALF_LATE, /* likewise, while it does not read, and later */
	END_OPEN, /* reads the rest, then closes */
};

static const struct early_case {
	const char *name;
	const char *method;
	const char *response;
	enum server_end end;
	bool complete;
	int64_t timeout_ms; /* of the call; 0 for none */
} cases[] = {
    {"an unframed response that is reset by the rest of the request", "POST",
	OK "\r\nwhole", END_CLOSE, false, 0},
    {"an unframed response to a PUT", "PUT", OK "\r\nwhole", END_CLOSE, false,
	0},
    {"an unframed event stream", "POST", OK STREAM "\r\ndata: 1\n\n", END_CLOSE,
	false, 0},
    {"an unframed error", "POST", "HTTP/1.1 500 X\r\n\r\nwhole", END_CLOSE,
	false, 0},
    {"an unframed partial response", "PUT",
	"HTTP/1.1 206 Partial Content\r\n\r\nwhole", END_CLOSE, false, 0},
    {"a response of HTTP 1.0", "POST", "HTTP/1.0 200 OK\r\n\r\nwhole",
	END_CLOSE, false, 0},
    {"an unframed response that is reset at once", "POST", OK "\r\nwhole",
	END_RESET, false, 0},
    {"an unframed response whose server reads on", "POST", OK "\r\nwhole",
	END_HALF, true, 0},
    {"an unframed event stream whose server reads on", "POST",
	OK STREAM "\r\ndata: 1\n\n", END_HALF, true, 0},
    {"an unframed response whose server reads on later", "POST", OK "\r\nwhole",
	END_HALF_LATE, true, 0},
    {"an unframed response whose server does not read on in time", "POST",
	OK "\r\nwhole", END_HALF_LATE, false, LATE_MS * 3 / 2},
    {"a response with a length", "POST",
	OK "Content-Length: 5\r\nConnection: close\r\n\r\nwhole", END_CLOSE,
	true, 0},
    {"a response in chunks", "POST",
	OK CHUNKED "Connection: close\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	END_CLOSE, true, 0},
    {"a response without content", "PUT",
	"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n", END_CLOSE, true,
	0},
    {"a response that is not modified", "POST",
	"HTTP/1.1 304 Not Modified\r\nConnection: close\r\n\r\n", END_CLOSE,
	true, 0},
    {"an unframed response that has not ended", "POST", OK "\r\nwho", END_OPEN,
	true, 0},
};

struct fixture {
	const struct early_case *c;
	struct ev_loop *loop;
	ev_timer timeout;
	ev_timer late;
	ev_io listener;
	ev_io connection;
	uint8_t *buffer;
	size_t received;
	size_t head_bytes; /* of the request; 0 until known */
	bool responded;
	bool done;
	bool failed;
	int status;
};

/* Fails a test that does not end. */
static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	g_error("the test did not end in time");
}

/* Closes the server's connection. */
static void
close_connection(struct fixture *f)
{
	ev_io_stop(f->loop, &f->connection);
	close(f->connection.fd);
	f->connection.fd = -1;
}

/* Sends the response, and ends the connection in the way of the case. */
static void
respond(struct fixture *f)
{
	static const struct linger reset = {.l_onoff = 1};
	const struct early_case *c = f->c;
	int fd = f->connection.fd;

	f->responded = true;
	send(fd, c->response, strlen(c->response), MSG_NOSIGNAL);
	switch (c->end) {
	case END_RESET:
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		close_connection(f);
		break;
	case END_CLOSE:
		while (recv(fd, f->buffer, READ_MAX, MSG_DONTWAIT) > 0)
			;
		close_connection(f);
		break;
	case END_HALF_LATE:
	case END_HALF:
		shutdown(fd, SHUT_WR);
		break;
	case END_OPEN:
		break;
	}
}

/*
 * Responds, a while after the server has stopped reading, so that the client
 * can send no more; reads on after another while.
 */
static void
on_late(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct fixture *f = timer->data;

	if (f->responded) {
		ev_timer_stop(loop, timer);
		ev_io_start(loop, &f->connection);
	} else {
		respond(f);
	}
}

/* Checks that the server gets the bytes of the body and no others. */
static void
check_body(struct fixture *f, size_t count)
{
	const char *end;
	size_t at = 0;

	if (f->head_bytes == 0) {
		end = g_strstr_len(
		    (const char *)f->buffer, (gssize)count, "\r\n\r\n");
		g_assert_nonnull(end);
		at = (size_t)(end - (const char *)f->buffer) + 4;
		f->head_bytes = at;
	}
	for (; at < count; at++)
		g_assert_cmpint(f->buffer[at], ==,
		    (int)((f->received + at - f->head_bytes) % PATTERN_BYTES));
}

/* Reads what the client sends. */
static void
on_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct fixture *f = w->data;
	ssize_t count = recv(w->fd, f->buffer, READ_MAX, MSG_DONTWAIT);

	if (count <= 0) {
		close_connection(f);
		return;
	}
	check_body(f, (size_t)count);
	f->received += (size_t)count;
	if (!f->responded && f->received >= READ_BYTES &&
	    f->c->end == END_HALF_LATE) {
		ev_io_stop(loop, w);
		ev_timer_start(loop, &f->late);
	} else if (!f->responded && f->received >= READ_BYTES)
		respond(f);
	else if (f->c->end == END_OPEN && f->received >= BODY_BYTES)
		close_connection(f);
}

/* Accepts the client's connection. */
static void
on_acceptable(struct ev_loop *loop, ev_io *w, int events)
{
	struct fixture *f = w->data;

	ev_io_init(
	    &f->connection, on_readable, accept(w->fd, NULL, NULL), EV_READ);
	f->connection.data = f;
	ev_io_start(loop, &f->connection);
}

/* Keeps the status. */
static bool
on_headers(void *data, struct http_call *call, int status)
{
	((struct fixture *)data)->status = status;
	return true;
}

/* Ignores the body. */
static bool
on_chunk(void *data, const uint8_t *bytes, size_t length)
{
	return true;
}

/* Keeps how the call ended. */
static void
on_done(void *data, struct http_call *call, const struct http_result *result)
{
	struct fixture *f = data;

	f->done = true;
	f->failed = result->error != NULL;
}

/* Listens on a free port and returns it. */
static int
listen_at_port(struct fixture *f)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(bind(fd, (struct sockaddr *)&address, size), ==, 0);
	g_assert_cmpint(listen(fd, 1), ==, 0);
	getsockname(fd, (struct sockaddr *)&address, &size);
	ev_io_init(&f->listener, on_acceptable, fd, EV_READ);
	f->listener.data = f;
	ev_io_start(f->loop, &f->listener);
	return ntohs(address.sin_port);
}

/* Runs one case. */
static void
test_case(gconstpointer data)
{
	static const struct http_call_ops ops = {
	    .headers = on_headers, .chunk = on_chunk, .done = on_done};
	struct fixture f = {.c = &cases[GPOINTER_TO_SIZE(data)]};
	g_autofree uint8_t *body = g_malloc0(BODY_BYTES);
	g_autofree char *url = NULL;
	struct http_call_request request = {.method = f.c->method,
	    .body = body,
	    .body_length = BODY_BYTES,
	    .timeout_ms = f.c->timeout_ms};
	struct http_client *client;

	for (size_t i = 0; i < BODY_BYTES; i++)
		body[i] = (uint8_t)(i % PATTERN_BYTES);
	f.buffer = g_malloc(READ_MAX);
	f.connection.fd = -1;
	f.loop = ev_loop_new(EVFLAG_AUTO);
	ev_timer_init(&f.timeout, on_timeout, TEST_TIMEOUT_S, 0.0);
	ev_timer_start(f.loop, &f.timeout);
	ev_timer_init(&f.late, on_late, (double)LATE_MS / MS_PER_S,
	    (double)LATE_MS / MS_PER_S);
	f.late.data = &f;
	client = http_client_new(f.loop, NULL);
	url = g_strdup_printf("http://127.0.0.1:%d/", listen_at_port(&f));
	request.url = url;
	http_client_start(client, &request, &ops, &f);
	while (!f.done)
		ev_run(f.loop, EVRUN_ONCE);
	g_assert_cmpint(f.failed, ==, !f.c->complete);
	g_assert_cmpint(f.received, >=, READ_BYTES);
	while (f.connection.fd >= 0)
		ev_run(f.loop, EVRUN_ONCE);
	http_client_free(client);
	ev_io_stop(f.loop, &f.listener);
	close(f.listener.fd);
	ev_timer_stop(f.loop, &f.timeout);
	ev_timer_stop(f.loop, &f.late);
	ev_loop_destroy(f.loop);
	g_free(f.buffer);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/early responses", test_case);
	return g_test_run();
}
