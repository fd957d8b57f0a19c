/*
 * The dialects, tested with a server that sends one scripted response for each
 * stream that is requested.
 */
#include <sys/socket.h>

#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#include "base/httpd.h"
#include "upstream/event_stream.h"
#include "upstream/upstream.h"

#define TEST_TIMEOUT_S 30.0
#define STREAMS_MAX    6

#define DONE                                                   \
	"{\"seq\":3,\"done\":true,\"finish_reason\":\"stop\"," \
	"\"prompt_tokens\":9,\"output_tokens\":2,\"cached_tokens\":4}"
#define EVENT(seq, text) "{\"seq\":" #seq ",\"text\":\"" text "\",\"tokens\":1}"

/*
 * A response is the data of its events, one per line; or '!', a status and a
 * body. A stream without the last event ends early.
 */
struct engine_case {
	const char *name;
	enum work_kind work;
	const char *streams[STREAMS_MAX];
	uint64_t start_counts[2]; /* before and during the run */
	bool not_listening; /* the engine's port is closed */
	const char
	    *expected; /* requests to the engine, and events of the run */
	int status_failures; /* of status queries during the run */
};

#define END_OF(seq, counts) \
	"{\"seq\":" #seq ",\"done\":true,\"finish_reason\":\"stop\"," counts "}"
#define REST EVENT(2, "b") "\n" DONE
#define GOOD EVENT(1, "a") "\n" REST

static const struct engine_case cases[] = {
    {"a stream is passed on in order", WORK_GENERATE,
	{EVENT(1, "a") "\n" EVENT(2, "b") "\n" DONE}, {1, 1},
	.expected = "POST a1 b2 end stop 9/2/4"},
    {"a stream that ends early is resumed after its last event", WORK_GENERATE,
	{EVENT(1, "a"), EVENT(2, "b") "\n" DONE}, {1, 1},
	.expected = "POST a1 after=1 b2 end stop 9/2/4"},
    {"missing events are requested again", WORK_GENERATE,
	{EVENT(2, "b"), EVENT(1, "a") "\n" EVENT(2, "b") "\n" DONE}, {1, 1},
	.expected = "POST after=0 a1 b2 end stop 9/2/4"},
    {"a duplicate event is ignored", WORK_GENERATE,
	{EVENT(1, "a") "\n" EVENT(1, "a") "\n" EVENT(2, "b") "\n" DONE}, {1, 1},
	.expected = "POST a1 b2 end stop 9/2/4"},
    {"an event that is no JSON is requested again", WORK_GENERATE,
	{EVENT(1, "a") "\nnonsense", EVENT(2, "b") "\n" DONE}, {1, 1},
	.expected = "POST a1 after=1 b2 end stop 9/2/4"},
    {"an event without text is not skipped", WORK_GENERATE,
	{EVENT(1, "a") "\n{\"seq\":2,\"tezt\":\"b\"}\n" DONE, REST}, {1, 1},
	.expected = "POST a1 after=1 b2 end stop 9/2/4"},
    {"an event whose text is no string is not skipped", WORK_GENERATE,
	{EVENT(1, "a") "\n{\"seq\":2,\"text\":7}\n" DONE, REST}, {1, 1},
	.expected = "POST a1 after=1 b2 end stop 9/2/4"},
    {"an event with a negative token count is not passed on", WORK_GENERATE,
	{EVENT(1, "a") "\n{\"seq\":2,\"text\":\"x\",\"tokens\":-1}\n" DONE,
	    REST},
	{1, 1}, .expected = "POST a1 after=1 b2 end stop 9/2/4"},
    {"an end that has text does not hide it", WORK_GENERATE,
	{EVENT(1, "a") "\n" END_OF(2, "\"text\":\"b\""), REST}, {1, 1},
	.expected = "POST a1 after=1 b2 end stop 9/2/4"},
    {"an end with a negative count is no end", WORK_GENERATE,
	{EVENT(1, "a") "\n" END_OF(2, "\"prompt_tokens\":-9"), REST}, {1, 1},
	.expected = "POST a1 after=1 b2 end stop 9/2/4"},
    {"an event behind the end is not passed on", WORK_GENERATE,
	{GOOD "\n" EVENT(4, "x"), DONE}, {1, 1},
	.expected = "POST a1 b2 after=2 end stop 9/2/4"},
    {"an end before the last event does not hide it", WORK_GENERATE,
	{EVENT(1, "a") "\n" END_OF(2, "\"cached_tokens\":7") "\n" DONE, REST},
	{1, 1}, .expected = "POST a1 after=1 b2 end stop 9/2/4"},
    {"bytes behind the end that are no event put the end in doubt",
	WORK_GENERATE,
	{EVENT(1, "a") "\n" END_OF(2, "\"cached_tokens\":7") "\nnonsense",
	    REST},
	{1, 1}, .expected = "POST a1 after=1 b2 end stop 9/2/4"},
    {"an end that something follows each time is no end", WORK_GENERATE,
	{GOOD "\n" EVENT(4, "x"), DONE "\nx", DONE "\nx", DONE "\nx"}, {1, 1},
	.expected = "POST a1 b2 after=2 after=2 after=2 error lost sent"},
    {"an end that comes twice is one end", WORK_GENERATE, {GOOD "\n" DONE},
	{1, 1}, .expected = "POST a1 b2 end stop 9/2/4"},
    {"an event that the engine did not send under its number does not end as "
     "complete",
	WORK_GENERATE,
	{EVENT(1, "a") "\n" EVENT(2, "x") "\n" EVENT(2, "b") "\n" DONE, REST},
	{1, 1}, .expected = "POST a1 x2 after=1 error lost sent"},
    {"a number that comes again with other text hides no event", WORK_GENERATE,
	{EVENT(1, "a") "\n" EVENT(1, "b") "\n" DONE, GOOD}, {1, 1},
	.expected = "POST a1 after=0 b2 end stop 9/2/4"},
    {"an end with the number of an event does not hide it", WORK_GENERATE,
	{EVENT(1, "a") "\n" END_OF(1, "\"cached_tokens\":7"), GOOD}, {1, 1},
	.expected = "POST a1 after=0 b2 end stop 9/2/4"},
    {"an event with the number of the end puts the end in doubt", WORK_GENERATE,
	{EVENT(1, "a") "\n" END_OF(2, "\"cached_tokens\":7") "\n" EVENT(2, "b"),
	    REST},
	{1, 1}, .expected = "POST a1 after=1 b2 end stop 9/2/4"},
    {"an event in doubt that no resumption has does not end as complete",
	WORK_GENERATE, {EVENT(1, "a") "\n" EVENT(1, "x"), REST, REST, REST},
	{1, 1}, .expected = "POST a1 after=0 after=0 after=0 error lost sent"},
    {"an event with two texts is not passed on", WORK_GENERATE,
	{EVENT(1, "a") "\n{\"seq\":2,\"text\":\"b\",\"text\":\"x\"}\n" DONE,
	    REST},
	{1, 1}, .expected = "POST a1 after=1 b2 end stop 9/2/4"},
    {"an event with two numbers is not passed on", WORK_GENERATE,
	{EVENT(1, "a") "\n{\"seq\":9,\"seq\":2,\"text\":\"x\"}\n" DONE, REST},
	{1, 1}, .expected = "POST a1 after=1 b2 end stop 9/2/4"},
    {"a run that exists already is resumed from its start", WORK_GENERATE,
	{"!409 {\"error\":{\"type\":\"duplicate\",\"message\":\"\"}}",
	    EVENT(1, "a") "\n" EVENT(2, "b") "\n" DONE},
	{1, 1}, .expected = "POST after=0 a1 b2 end stop 9/2/4"},
    {"an overload has its own error", WORK_GENERATE,
	{"!503 {\"error\":{\"type\":\"overloaded\",\"message\":\"full\"}}"},
	{1, 1}, .expected = "POST error overloaded sent"},
    {"a lack of memory has its own error", WORK_GENERATE,
	{"!507 {\"error\":{\"type\":\"out_of_memory\",\"message\":\"\"}}"},
	{1, 1}, .expected = "POST error memory sent"},
    {"an engine that has restarted during a run has died", WORK_GENERATE,
	{EVENT(1, "a")}, {1, 2}, .expected = "POST a1 error died sent"},
    {"a run that the engine no longer knows is lost", WORK_GENERATE,
	{EVENT(1, "a"), "!404 {}"}, {1, 1},
	.expected = "POST a1 after=1 error lost sent"},
    {"a stream that ends early repeatedly is lost", WORK_GENERATE,
	{EVENT(1, "a"), "", "", "", ""}, {1, 1},
	.expected = "POST a1 after=1 after=1 after=1 error lost sent"},
    {"an engine that does not listen was sent nothing", WORK_GENERATE, {NULL},
	{1, 1}, .not_listening = true, .expected = "error died"},
    {"a stream that has begun waits for a stalled engine", WORK_GENERATE,
	{EVENT(1, "a"), EVENT(2, "b") "\n" DONE}, {1, 1}, .status_failures = 5,
	.expected = "POST a1 after=1 b2 end stop 9/2/4"},
    {"a stream that has not begun does not wait for a stalled engine",
	WORK_GENERATE, {""}, {1, 1}, .status_failures = 5,
	.expected = "POST error lost sent"},
    {"a stream that has begun waits only for a limited time for a stalled "
     "engine",
	WORK_GENERATE, {EVENT(1, "a")}, {1, 1}, .status_failures = 50,
	.expected = "POST a1 error lost sent"},
    {"a shard returns its tokens", WORK_SHARD,
	{"!200 {\"id\":\"x\",\"tokens\":7}"}, {1, 1},
	.expected = "POST end - 7/0/0"},
};

struct fixture {
	const struct engine_case *c;
	int failed_status_queries; /* status queries that have failed */
	struct ev_loop *loop;
	struct httpd *httpd;
	struct http_client *http;
	struct upstream *upstream;
	struct upstream_call *call;
	size_t next_stream;
	bool running;
	GString *log;
	ev_timer timeout;
	char url[64];
};

/* Appends to the log. */
static void
log_text(struct fixture *f, const char *format, ...)
{
	va_list args;

	if (f->log->len > 0)
		g_string_append_c(f->log, ' ');
	va_start(args, format);
	g_string_append_vprintf(f->log, format, args);
	va_end(args);
}

/* Sends the script's next response. */
static void
send_next_response(struct fixture *f, struct httpd_request *request)
{
	const char *response = f->c->streams[f->next_stream++];
	g_auto(GStrv) events = NULL;

	g_assert_nonnull(response);
	if (response[0] == '!') {
		httpd_respond(request, (int)strtol(response + 1, NULL, 10),
		    NULL, 0, response + 5, strlen(response + 5));
		return;
	}
	events = g_strsplit(response, "\n", -1);
	httpd_stream_begin(request, 200, NULL, 0);
	for (size_t i = 0; events[i] != NULL; i++) {
		g_autofree char *event = g_strdup_printf(
		    "id: 1\r\ndata: %s\r\n\r\n", events[i]);

		httpd_stream_write(request, event, strlen(event));
	}
	httpd_stream_end(request);
}

/* Serves requests as an engine. */
static void
serve_engine(void *data, struct httpd_request *request)
{
	struct fixture *f = data;
	const char *after = httpd_request_query(request, "after");
	g_autofree char *status = g_strdup_printf(
	    "{\"state\":\"warm\",\"start_count\":%d}",
	    (int)f->c->start_counts[f->running]);

	if (strcmp(httpd_request_path(request), "/v1/status") == 0) {
		if (f->running &&
		    f->failed_status_queries++ < f->c->status_failures) {
			httpd_respond(request, 500, NULL, 0, "", 0);
			return;
		}
		httpd_respond(request, 200, NULL, 0, status, strlen(status));
		return;
	}
	if (after != NULL)
		log_text(f, "after=%s", after);
	else
		log_text(f, "%s", httpd_request_method(request));
	send_next_response(f, request);
}

/* Closed requests are ignored. */
static void
on_closed(void *data, struct httpd_request *request, bool complete)
{
}

/* Responses are written in one go; nothing to continue. */
static void
ignore_drained(void *data, struct httpd_request *request)
{
}

/* Logs an event. */
static void
on_event(void *data, const struct upstream_event *event)
{
	log_text(data, "%.*s%d", (int)event->length, (const char *)event->data,
	    (int)event->sequence);
}

/* Logs the end and stops the loop. */
static void
on_end(void *data, const struct upstream_end *end)
{
	static const char *const errors[] = {
	    [UPSTREAM_ERROR_OVERLOADED] = "overloaded",
	    [UPSTREAM_ERROR_OUT_OF_MEMORY] = "memory",
	    [UPSTREAM_ERROR_FAILED] = "failed",
	    [UPSTREAM_ERROR_DIED] = "died",
	    [UPSTREAM_ERROR_LOST] = "lost",
	};
	struct fixture *f = data;

	if (end->error != NULL)
		log_text(f, "error %s%s", errors[end->error->code],
		    end->sent ? " sent" : "");
	else
		log_text(f, "end %s %d/%d/%d",
		    end->finish_reason != NULL ? end->finish_reason : "-",
		    (int)end->prompt_tokens, (int)end->output_tokens,
		    (int)end->cached_tokens);
	ev_break(f->loop, EVBREAK_ALL);
}

static const struct upstream_call_ops call_ops = {on_event, on_end};

/* Starts the run after the engine's first status. */
static void
start_run(void *data, const struct upstream_status *status, const GError *error)
{
	struct fixture *f = data;
	struct upstream_request request = {.work = f->c->work,
	    .id = "r-1",
	    .owner = "r",
	    .attempt = 1,
	    .body = (const uint8_t *)"hello",
	    .body_length = 5};

	g_assert_cmpint(status != NULL, ==, !f->c->not_listening);
	f->running = true;
	f->call = upstream_start(f->upstream, &request, &call_ops, f);
}

/* Fails a case that does not end. */
static void
on_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	struct fixture *f = w->data;

	g_error("the case did not end; so far: %s", f->log->str);
}

/* Makes the server and the client; closes the server if it must not listen. */
static void
set_up(struct fixture *f, const struct httpd_ops *ops, bool not_listening)
{
	struct httpd_settings settings = {.address = "127.0.0.1:0",
	    .body_max_bytes = 1024,
	    .bodies_max_bytes = 4096};

	f->loop = ev_loop_new(EVFLAG_AUTO);
	f->log = g_string_new(NULL);
	f->http = http_client_new(f->loop, NULL);
	f->httpd = httpd_new(f->loop, &settings, ops, f, NULL);
	g_assert_nonnull(f->httpd);
	g_snprintf(f->url, sizeof(f->url), "http://127.0.0.1:%d",
	    httpd_port(f->httpd));
	if (not_listening) {
		httpd_free(f->httpd);
		f->httpd = NULL;
	}
	ev_timer_init(&f->timeout, on_timeout, TEST_TIMEOUT_S, 0.0);
	f->timeout.data = f;
	ev_timer_start(f->loop, &f->timeout);
}

/* Frees the fixture. */
static void
tear_down(struct fixture *f)
{
	upstream_free(f->upstream);
	http_client_free(f->http);
	if (f->httpd != NULL)
		httpd_free(f->httpd);
	ev_loop_destroy(f->loop);
	g_string_free(f->log, TRUE);
}

/* The log of a run with the engine dialect is as expected. */
static void
test_engine(gconstpointer data)
{
	static const struct httpd_ops ops = {.request = serve_engine,
	    .closed = on_closed,
	    .drained = ignore_drained};
	struct fixture f = {.c = data};

	set_up(&f, &ops, f.c->not_listening);
	f.upstream = upstream_engine_new(f.http, f.url);
	f.upstream->ops->status(f.upstream, start_run, &f);
	ev_run(f.loop, 0);
	g_assert_cmpstr(f.log->str, ==, f.c->expected);
	tear_down(&f);
}

/* Counts an event. */
static bool
count_event(void *data, const char *text, size_t length)
{
	++*(int *)data;
	return true;
}

/* A line with a NUL byte stops the decoder. */
static void
test_nul(void)
{
	static const uint8_t bytes[] = "data: {}\0 wrong\n\n";
	struct event_stream stream;
	int events = 0;

	event_stream_init(&stream);
	g_assert_false(event_stream_feed(
	    &stream, bytes, sizeof(bytes) - 1, count_event, &events));
	g_assert_cmpint(events, ==, 0);
	event_stream_clear(&stream);
}

/* Serves requests as a plain service; returns what it received. */
static void
serve_plain(void *data, struct httpd_request *request)
{
	static const struct http_header type = {"Content-Type", "text/x-test"};
	const char *key = httpd_request_header(request, "Idempotency-Key");
	g_autofree char *body = NULL;
	size_t length;
	const uint8_t *sent = httpd_request_body(request, &length);

	body = g_strdup_printf("%s %s %s %s %.*s",
	    httpd_request_method(request), httpd_request_path(request),
	    httpd_request_header(request, "X-Request-Id"),
	    key != NULL ? key : "-", (int)length, (const char *)sent);
	httpd_respond(request, 418, &type, 1, body, strlen(body));
}

/* Checks the status and the content type of the response. */
static void
on_plain_end(void *data, const struct upstream_end *end)
{
	struct fixture *f = data;

	g_assert_no_error(end->error);
	g_assert_cmpint(end->status, ==, 418);
	g_assert_cmpstr(end->content_type, ==, "text/x-test");
	ev_break(f->loop, EVBREAK_ALL);
}

/* Requests to a plain service and its responses are passed on unchanged. */
static void
test_plain(void)
{
	static const struct httpd_ops ops = {.request = serve_plain,
	    .closed = on_closed,
	    .drained = ignore_drained};
	static const struct upstream_call_ops plain_ops = {
	    on_event, on_plain_end};
	struct fixture f = {0};
	struct upstream_request request = {.work = WORK_CALL,
	    .id = "r7",
	    .method = "PUT",
	    .path = "/orders/1",
	    .content_type = "application/json",
	    .idempotency_key = "k1",
	    .body = (const uint8_t *)"{}",
	    .body_length = 2};

	set_up(&f, &ops, false);
	f.upstream = upstream_plain_new(f.http, f.url);
	upstream_start(f.upstream, &request, &plain_ops, &f);
	ev_run(f.loop, 0);
	g_assert_cmpstr(f.log->str, ==, "PUT /orders/1 r7 k1 {}1");
	tear_down(&f);
}

#define WHOLE(text) "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" text

/* Reads one request, or what there is of it. */
static void
read_request(int fd)
{
	char text[4096];

	g_assert_cmpint(read(fd, text, sizeof(text)), >, 0);
}

/*
 * Serves two requests. A second one on the first connection gets the response
 * to the first one again.
 */
static void *
serve_twice(void *data)
{
	static const char again[] = WHOLE("first") WHOLE("other");
	int listener = GPOINTER_TO_INT(data);
	int first = accept(listener, NULL, NULL);
	char byte;

	read_request(first);
	g_assert_cmpint(write(first, again, strlen(again) / 2), >, 0);
	if (read(first, &byte, 1) > 0) {
		g_assert_cmpint(write(first, again, strlen(again)), >, 0);
		return NULL;
	}
	close(first);
	first = accept(listener, NULL, NULL);
	read_request(first);
	g_assert_cmpint(
	    write(first, again + strlen(again) / 2, strlen(again) / 2), >, 0);
	close(first);
	return NULL;
}

/* The response is complete. */
static void
on_call_end(void *data, const struct upstream_end *end)
{
	g_assert_no_error(end->error);
	ev_break(((struct fixture *)data)->loop, EVBREAK_ALL);
}

/* One more response to a request is not taken for the next one's. */
static void
test_extra_response(void)
{
	static const struct upstream_call_ops ops = {on_event, on_call_end};
	static const struct upstream_request request = {
	    .work = WORK_CALL, .id = "r7", .method = "GET", .path = "/a"};
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	struct fixture f = {
	    .loop = ev_loop_new(EVFLAG_AUTO), .log = g_string_new(NULL)};
	GThread *server;

	g_assert_cmpint(
	    bind(listener, (struct sockaddr *)&address, length), ==, 0);
	g_assert_cmpint(listen(listener, 2), ==, 0);
	getsockname(listener, (struct sockaddr *)&address, &length);
	server = g_thread_new("server", serve_twice, GINT_TO_POINTER(listener));
	f.http = http_client_new(f.loop, NULL);
	g_snprintf(f.url, sizeof(f.url), "http://127.0.0.1:%d",
	    ntohs(address.sin_port));
	f.upstream = upstream_plain_new(f.http, f.url);
	for (int i = 0; i < 2; i++) {
		upstream_start(f.upstream, &request, &ops, &f);
		ev_run(f.loop, 0);
	}
	g_assert_cmpstr(f.log->str, ==, "first1 other1");
	g_thread_join(server);
	close(listener);
	upstream_free(f.upstream);
	http_client_free(f.http);
	ev_loop_destroy(f.loop);
	g_string_free(f.log, TRUE);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/upstream/plain/requests and responses are passed on unchanged",
	    test_plain);
	g_test_add_func("/upstream/plain/a response that comes twice is not "
			"the next one's",
	    test_extra_response);
	g_test_add_func(
	    "/upstream/event_stream/bytes behind a NUL are not cut off",
	    test_nul);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/upstream/engine/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_engine);
	}
	return g_test_run();
}
