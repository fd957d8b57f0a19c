/*
 * The HTTP client against a scripted server on a loopback socket: responses,
 * broken and silent connections, retries on a kept connection, time limits and
 * pauses.
 */
#include <sys/socket.h>

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <unistd.h>

#include "base/http_client.h"

#define TEST_TIMEOUT_S 30.0
/*
 * Time without an iteration of the loop, after which its cached time is stale.
 */
#define STALE_LOOP_MS 400

/* What the server does with each complete request. */
enum server_behaviour {
	SERVER_RESPONDS,
	SERVER_FAILS, /* with status 503 */
	SERVER_CLOSES, /* without a response */
	SERVER_CLOSES_SECOND, /* responds once, then closes */
	SERVER_SILENT,
	SERVER_SILENT_SECOND, /* on all open connections, from then on */
	SERVER_STREAMS_HALF, /* headers and a part of the body, then nothing */
	SERVER_BREAKS_STREAM, /* headers and a part of the body, then closes */
	SERVER_NOT_LISTENING, /* no listener */
};

/* What the owner of the call does. */
enum owner_behaviour {
	OWNER_WAITS,
	OWNER_ABORTS, /* the first chunk */
	OWNER_PAUSES, /* at the first chunk, resumes from a timer */
};

struct call_case {
	const char *name;
	const char *method;
	enum server_behaviour server;
	enum owner_behaviour owner;
	bool streamed;
	bool repeatable;
	int calls; /* one after the other */
	int64_t stall_ms;
	int64_t timeout_ms;
	int64_t max_age_ms; /* of the connection of the last call */
	size_t max_bytes;
	int status; /* of the last call, as are the following members */
	bool sent;
	int error; /* -1 for none */
	const char *body;
	int requests; /* received by the server */
	bool reused; /* the connection of the call before */
};

static const struct call_case cases[] = {
    {"a response arrives completely", "GET", .calls = 1, .status = 200,
	.sent = true, .error = -1, .body = "hello", .requests = 1},
    {"a later call uses the connection of an earlier one", "GET", .calls = 2,
	.status = 200, .sent = true, .error = -1, .body = "hello",
	.requests = 2, .reused = true},
    {"a streamed response goes to the chunk callback", "POST", .streamed = true,
	.calls = 1, .status = 200, .sent = true, .error = -1, .body = "hello",
	.requests = 1},
    {"a failure's body is kept from the chunk callback", "POST", SERVER_FAILS,
	.streamed = true, .calls = 1, .status = 503, .sent = true, .error = -1,
	.body = "busy", .requests = 1},
    {"on a refused connection nothing was sent", "POST", SERVER_NOT_LISTENING,
	.calls = 1, .error = HTTP_CLIENT_ERROR_CONNECT, .body = ""},
    {"a request may have run if the connection closes after it", "POST",
	SERVER_CLOSES, .calls = 1, .sent = true,
	.error = HTTP_CLIENT_ERROR_DISCONNECTED, .body = "", .requests = 1},
    {"a call that is not repeatable is not retried", "POST",
	SERVER_CLOSES_SECOND, .calls = 2, .sent = true,
	.error = HTTP_CLIENT_ERROR_DISCONNECTED, .body = "", .requests = 2},
    {"a repeatable call is retried on a new connection", "POST",
	SERVER_CLOSES_SECOND, .repeatable = true, .calls = 2, .sent = true,
	.error = HTTP_CLIENT_ERROR_DISCONNECTED, .body = "", .requests = 3},
    {"a silent server stalls the call", "POST", SERVER_SILENT, .calls = 1,
	.stall_ms = 20, .sent = true, .error = HTTP_CLIENT_ERROR_STALLED,
	.body = "", .requests = 1},
    {"without a limit of age, a call takes a connection that went silent",
	"POST", SERVER_SILENT_SECOND, .repeatable = true, .calls = 2,
	.timeout_ms = 50, .sent = true, .error = HTTP_CLIENT_ERROR_TIMEOUT,
	.body = "", .requests = 2, .reused = true},
    {"a call with a limit of age uses no earlier connection", "POST",
	SERVER_SILENT_SECOND, .repeatable = true, .calls = 2, .timeout_ms = 50,
	.max_age_ms = 1, .status = 200, .sent = true, .error = -1,
	.body = "hello", .requests = 2},
    {"a stream that goes silent stalls the call", "POST", SERVER_STREAMS_HALF,
	.streamed = true, .calls = 1, .stall_ms = 20, .status = 200,
	.sent = true, .error = HTTP_CLIENT_ERROR_STALLED, .body = "he",
	.requests = 1},
    {"the timeout of the whole call ends it", "POST", SERVER_SILENT, .calls = 1,
	.timeout_ms = 20, .sent = true, .error = HTTP_CLIENT_ERROR_TIMEOUT,
	.body = "", .requests = 1},
    {"a broken stream is an error", "POST", SERVER_BREAKS_STREAM,
	.streamed = true, .calls = 1, .status = 200, .sent = true,
	.error = HTTP_CLIENT_ERROR_DISCONNECTED, .body = "he", .requests = 1},
    {"a response above its limit is an error", "GET", .calls = 1,
	.max_bytes = 3, .status = 200, .sent = true,
	.error = HTTP_CLIENT_ERROR_TOO_LARGE, .body = "", .requests = 1},
    {"a chunk callback ends its call", "POST", .owner = OWNER_ABORTS,
	.streamed = true, .calls = 1, .status = 200, .sent = true,
	.error = HTTP_CLIENT_ERROR_ABORTED, .body = "he", .requests = 1},
    {"a paused stream resumes where it was", "POST", .owner = OWNER_PAUSES,
	.streamed = true, .calls = 1, .status = 200, .sent = true, .error = -1,
	.body = "hello", .requests = 1},
    {"a paused stream does not stall", "POST", .owner = OWNER_PAUSES,
	.streamed = true, .calls = 1, .stall_ms = 5, .status = 200,
	.sent = true, .error = -1, .body = "hello", .requests = 1},
};

struct fixture {
	const struct call_case *c;
	struct ev_loop *loop;
	struct http_client *client;
	struct http_call *call;
	ev_io listener;
	ev_io connections[4];
	size_t connection_count;
	ev_timer resume;
	ev_timer timeout;
	char url[64];
	int requests;
	int calls_done;
	GString *streamed;
};

static const char response_start[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";

/* Sends a text completely. */
static void
send_text(int fd, const char *text)
{
	g_assert_cmpint((int)send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
	    (int)strlen(text));
}

/* Stops a watcher and closes its socket. */
static void
close_connection(struct fixture *f, ev_io *w)
{
	ev_io_stop(f->loop, w);
	close(w->fd);
}

/* Handles one complete request as the case says. */
static void
handle_request(struct fixture *f, ev_io *w)
{
	enum server_behaviour behaviour = f->c->server;

	f->requests++;
	if (behaviour == SERVER_CLOSES ||
	    (behaviour == SERVER_CLOSES_SECOND && f->requests > 1)) {
		close_connection(f, w);
	} else if (behaviour == SERVER_FAILS) {
		send_text(w->fd,
		    "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy");
	} else if (behaviour == SERVER_SILENT_SECOND && f->requests > 1 &&
	    w == &f->connections[0]) {
		return;
	} else if (behaviour != SERVER_SILENT) {
		send_text(w->fd, response_start);
		send_text(w->fd, "he");
		if (behaviour == SERVER_BREAKS_STREAM)
			close_connection(f, w);
		else if (behaviour != SERVER_STREAMS_HALF &&
		    f->c->owner == OWNER_WAITS)
			send_text(w->fd, "llo");
	}
}

/* Receives a request; those of the cases fit one read. */
static void
on_connection_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct fixture *f = w->data;
	char bytes[4096];
	ssize_t length = recv(w->fd, bytes, sizeof(bytes) - 1, 0);

	if (length <= 0) {
		close_connection(f, w);
		return;
	}
	bytes[length] = '\0';
	if (strstr(bytes, "\r\n\r\n") != NULL)
		handle_request(f, w);
}

/* Accepts a connection. */
static void
on_listener_readable(struct ev_loop *loop, ev_io *w, int events)
{
	struct fixture *f = w->data;
	ev_io *io = &f->connections[f->connection_count++];

	g_assert_cmpuint(f->connection_count, <=, G_N_ELEMENTS(f->connections));
	ev_io_init(
	    io, on_connection_readable, accept(w->fd, NULL, NULL), EV_READ);
	io->data = f;
	ev_io_start(loop, io);
}

/*
 * Listens on any loopback port, or only binds it where the case has no
 * listener.
 */
static void
listen_on_loopback(struct fixture *f)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert_cmpint(
	    bind(fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
	g_assert_cmpint(
	    getsockname(fd, (struct sockaddr *)&address, &length), ==, 0);
	g_snprintf(f->url, sizeof(f->url), "http://127.0.0.1:%d/x",
	    ntohs(address.sin_port));
	ev_io_init(&f->listener, on_listener_readable, fd, EV_READ);
	f->listener.data = f;
	if (f->c->server == SERVER_NOT_LISTENING)
		return;
	g_assert_cmpint(listen(fd, 8), ==, 0);
	ev_io_start(f->loop, &f->listener);
}

/* Ends the owner's pause: the server sends the rest and the call is resumed. */
static void
on_resume_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct fixture *f = w->data;

	send_text(f->connections[0].fd, "llo");
	http_call_resume(f->call);
}

/* Handles a chunk as the case says. */
static bool
on_chunk(void *data, const uint8_t *bytes, size_t length)
{
	struct fixture *f = data;

	g_string_append_len(f->streamed, (const char *)bytes, (gssize)length);
	if (f->c->owner == OWNER_PAUSES && f->streamed->len < 5) {
		http_call_pause(f->call);
		ev_timer_start(f->loop, &f->resume);
	}
	return f->c->owner != OWNER_ABORTS;
}

static void start_call(struct fixture *f);

/* Checks the last result of the case, or starts the next call. */
static void
on_done(void *data, struct http_call *call, const struct http_result *result)
{
	struct fixture *f = data;

	if (++f->calls_done < f->c->calls) {
		start_call(f);
		return;
	}
	g_assert_cmpint(result->status, ==, f->c->status);
	g_assert_cmpint(result->may_have_sent, ==, f->c->sent);
	g_assert_cmpint(result->reused_connection, ==, f->c->reused);
	g_assert_cmpint(
	    result->refused, ==, f->c->server == SERVER_NOT_LISTENING);
	g_assert_cmpint(
	    result->error != NULL ? result->error->code : -1, ==, f->c->error);
	g_string_append_len(f->streamed, (const char *)result->body->data,
	    (gssize)result->body->len);
	g_assert_cmpstr(f->streamed->str, ==, f->c->body);
	if (result->status == 200)
		g_assert_cmpstr(
		    http_call_header(call, "content-length"), ==, "5");
	ev_break(f->loop, EVBREAK_ALL);
}

/* Starts a call as the case says. */
static void
start_call(struct fixture *f)
{
	static const struct http_call_ops streamed = {
	    .chunk = on_chunk, .done = on_done};
	static const struct http_call_ops unstreamed = {.done = on_done};
	struct http_call_request request = {.method = f->c->method,
	    .url = f->url,
	    .body = "x",
	    .body_length = strcmp(f->c->method, "POST") == 0,
	    .stall_ms = f->c->stall_ms,
	    .timeout_ms = f->c->timeout_ms,
	    .connection_max_age_ms = f->calls_done + 1 == f->c->calls
		? f->c->max_age_ms
		: 0,
	    .response_max_bytes = f->c->max_bytes,
	    .repeatable = f->c->repeatable};

	f->call = http_client_start(
	    f->client, &request, f->c->streamed ? &streamed : &unstreamed, f);
}

/* Fails a case that does not end within TEST_TIMEOUT_S. */
static void
on_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	g_error("the case did not end in time");
}

/* Starts the server, the client and the time limit of the case. */
static void
set_up(struct fixture *f, const struct call_case *c)
{
	f->c = c;
	f->loop = ev_loop_new(EVFLAG_AUTO);
	f->client = http_client_new(f->loop, NULL);
	f->streamed = g_string_new(NULL);
	ev_timer_init(&f->resume, on_resume_timer, 0.03, 0.0);
	f->resume.data = f;
	ev_timer_init(&f->timeout, on_timeout, TEST_TIMEOUT_S, 0.0);
	ev_timer_start(f->loop, &f->timeout);
	listen_on_loopback(f);
}

/* Frees all members of a fixture. */
static void
tear_down(struct fixture *f)
{
	http_client_free(f->client);
	close_connection(f, &f->listener);
	for (size_t i = 0; i < f->connection_count; i++) {
		if (ev_is_active(&f->connections[i]))
			close_connection(f, &f->connections[i]);
	}
	ev_loop_destroy(f->loop);
	g_string_free(f->streamed, TRUE);
}

/* Runs one case. */
static void
test_call(gconstpointer data)
{
	struct fixture f = {0};

	set_up(&f, &cases[GPOINTER_TO_SIZE(data)]);
	start_call(&f);
	ev_run(f.loop, 0);
	g_assert_cmpint(f.requests, ==, f.c->requests);
	tear_down(&f);
}

/*
 * A call's timeout runs from its start: time since the loop's last iteration,
 * as while a process starts, must not count.
 */
static void
test_stale_loop(void)
{
	static const struct call_case c = {.name = "",
	    .server = SERVER_RESPONDS,
	    .method = "GET",
	    .timeout_ms = STALE_LOOP_MS / 2,
	    .calls = 1,
	    .status = 200,
	    .sent = true,
	    .error = -1,
	    .body = "hello",
	    .requests = 1};
	struct fixture f = {0};

	set_up(&f, &c);
	g_usleep(STALE_LOOP_MS * 1000);
	start_call(&f);
	ev_run(f.loop, 0);
	tear_down(&f);
}

/* Cancels the call from its own chunk callback. */
static bool
cancel_on_chunk(void *data, const uint8_t *bytes, size_t length)
{
	struct fixture *f = data;

	http_call_cancel(f->call);
	start_call(f);
	return true;
}

/* Fails the test if called. */
static void
on_unexpected_done(
    void *data, struct http_call *call, const struct http_result *result)
{
	g_error("a cancelled call invoked its done callback");
}

/*
 * A call cancelled from its own callback invokes no more callbacks, and a new
 * call can be started there.
 */
static void
test_cancel_in_chunk(void)
{
	static const struct http_call_ops ops = {
	    .chunk = cancel_on_chunk, .done = on_unexpected_done};
	struct call_case c = cases[0];
	struct fixture f = {0};
	struct http_call_request request = {.method = "GET", .url = f.url};

	c.reused = true; /* the first response was complete */
	set_up(&f, &c);
	f.call = http_client_start(f.client, &request, &ops, &f);
	ev_run(f.loop, 0);
	g_assert_cmpint(f.requests, ==, 2);
	g_assert_cmpuint(f.connection_count, ==, 1);
	tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/http_client/a chunk callback can cancel its call and "
			"start another",
	    test_cancel_in_chunk);
	g_test_add_func(
	    "/http_client/a timeout runs from the start of its call",
	    test_stale_loop);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/http_client/%s", cases[i].name);

		g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_call);
	}
	return g_test_run();
}
