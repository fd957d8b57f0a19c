/*
 * How callers are told that a response is incomplete, and how the client of a
 * plain service finds out, where nothing but the end of a connection ends it.
 */
#include <sys/socket.h>

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"
#include "raw_caller.h"
#include "raw_gateway.h"
#include "raw_responses.h"
#include "upstream/upstream.h"

#define SENDS_MAX 5
/* Longer than a response that the gateway buffers. */
#define LONG_BYTES ((size_t)300 * 1024)

static const struct caller_case {
	const char *name;
	const char *path;
	const char *version;
	const char *header;
	struct raw_response responses[SENDS_MAX];
	bool cut;
	const char *end; /* of what a caller gets that is not cut */
} caller_cases[] = {
    {"a caller of HTTP 1.0 gets an unframed response with its length",
	"/once/x", "1.0", "", {{WHOLE}}, false, "whole"},
    {"a caller of HTTP 1.0 gets a complete stream", "/fragile/x", "1.0", "",
	{{ALL_EVENTS}}, false, E1 E2 E3},
    {"a caller of HTTP 1.0 sees that a stream is cut", "/fragile/x", "1.0", "",
	{{.bytes = OK STREAM "\r\n" E1 "id: 2\nda"}}, true, NULL},
    {"a caller of HTTP 1.0 sees that a stream is cut before its first event",
	"/fragile/x", "1.0", "", {{.bytes = OK STREAM "\r\nid: 1\nda"}}, true,
	NULL},
    {"a caller of HTTP 1.0 sees that a long response is cut", "/once/x", "1.0",
	"",
	{{.bytes = OK TEXT "\r\n", .filler = LONG_BYTES, .end = RAW_END_RESET}},
	true, NULL},
    {"a caller of HTTP 1.0 that keeps its connection sees the cut",
	"/fragile/x", "1.0", "Connection: keep-alive\r\n",
	{{.bytes = OK STREAM "\r\n" E1 "id: 2\nda"}}, true, NULL},
    {"a caller that closes its connection gets a complete stream", "/fragile/x",
	"1.1", "Connection: close\r\n", {{ALL_EVENTS}}, false, "0\r\n\r\n"},
    {"a caller that closes its connection sees that a stream is cut",
	"/fragile/x", "1.1", "Connection: close\r\n",
	{{.bytes = OK STREAM "\r\n" E1 "id: 2\nda"}}, true, NULL},
    {"a caller that closes its connection sees that a long response is cut",
	"/once/x", "1.1", "Connection: close\r\n",
	{{.bytes = OK TEXT "\r\n", .filler = LONG_BYTES, .end = RAW_END_RESET}},
	true, NULL},
};

/* Runs one case. */
static void
test_caller(gconstpointer data)
{
	const struct caller_case *c = &caller_cases[GPOINTER_TO_SIZE(data)];
	struct fixture f = {0};
	struct raw_caller caller = {0};
	struct raw_server *server = raw_gateway_set_up(
	    &f, c->responses, SENDS_MAX);

	raw_caller_start(&caller, &f, c->path, c->version, c->header);
	RUN_UNTIL(&f, caller.ended);
	g_assert_cmpint(raw_caller_is_cut(&caller), ==, c->cut);
	if (!c->cut)
		g_assert_true(g_str_has_suffix(caller.response->str, c->end));
	close(caller.io.fd);
	g_string_free(caller.response, TRUE);
	raw_server_free(server);
	fixture_tear_down(&f);
}

/* A caller of HTTP 1.0 sees that its stream was cut by the gateway's exit. */
static void
test_exit(void)
{
	static const struct raw_response responses[SENDS_MAX] = {
	    {.bytes = OK STREAM "\r\n", .repeated = E1}};
	struct fixture f = {0};
	struct raw_caller caller = {0};
	struct raw_server *server = raw_gateway_set_up(
	    &f, responses, SENDS_MAX);

	raw_caller_start(&caller, &f, "/fragile/x", "1.0", "");
	RUN_UNTIL(&f, strstr(caller.response->str, E1) != NULL);
	httpd_free(f.callers);
	f.callers = NULL;
	RUN_UNTIL(&f, caller.ended);
	g_assert_true(raw_caller_is_cut(&caller));
	close(caller.io.fd);
	g_string_free(caller.response, TRUE);
	raw_server_free(server);
	fixture_tear_down(&f);
}

static const struct upstream_case {
	const char *name;
	struct raw_response responses[SENDS_MAX];
	const char *expected; /* the body, then how the call ended */
} plain_cases[] = {
    {"an unframed response of a plain service is complete",
	{{.bytes = OK "\r\nwhole"}}, "whole|200"},
    {"an unframed response of a plain service that is reset is lost",
	{{.bytes = OK "\r\nwho", .end = RAW_END_RESET}}, "who|lost"},
    {"a plain service's response that ends after its status line is lost",
	{{.bytes = OK}}, "|lost"},
    {"a plain service's response that ends inside its headers is lost",
	{{.bytes = OK "Content-Type: text/plain\r\n"}}, "|lost"},
    {"a plain service's error that ends inside its headers is lost",
	{{.bytes = "HTTP/1.1 404 No\r\nContent-Type: text/plain\r\n"}},
	"|lost"},
    {"a plain service's response that is shorter than its length is lost",
	{{.bytes = OK "Content-Length: 5\r\n\r\nwho"}}, "who|lost"},
    {"a plain service's response without its last chunk is lost",
	{{.bytes = OK CHUNKED "\r\n3\r\nwho\r\n"}}, "who|lost"},
    {"a plain service's unframed stream that ends after an event is complete",
	{{.bytes = OK "Content-Type: text/event-stream\r\n\r\n" E1 E2}},
	E1 E2 "|200"},
    {"a plain service's unframed stream that ends inside an event is lost",
	{{.bytes = OK "Content-Type: text/event-stream\r\n\r\n" E1
		      "id: 2\nda"}},
	E1 "id: 2\nda|lost"},
    {"a plain service's unframed stream without its last empty line is lost",
	{{.bytes = OK
	    "Content-Type: text/event-stream; charset=utf-8\r\n\r\n" E1
	    "id: 2\ndata: 2\n"}},
	E1 "id: 2\ndata: 2\n|lost"},
};

#define EVENT_1 "data: {\"seq\":1,\"text\":\"a\",\"tokens\":1}\n\n"
#define EVENT_2 "data: {\"seq\":2,\"text\":\"b\",\"tokens\":1}\n\n"
#define DONE	"data: {\"seq\":3,\"done\":true,\"finish_reason\":\"stop\"}"
#define ALIVE	.bytes = OK "\r\n{\"state\":\"warm\"}"

/* The POST of a run; where it broke, a status query and a resumption. */
static const struct upstream_case engine_cases[] = {
    {"an engine's unframed stream is complete",
	{{.bytes = OK "\r\n" EVENT_1 EVENT_2 DONE "\n\n"}}, "ab|0"},
    {"an engine's unframed stream that ends between events is resumed",
	{{.bytes = OK "\r\n" EVENT_1}, {ALIVE},
	    {.bytes = OK "\r\n" EVENT_2 DONE "\n\n"}},
	"ab|0"},
    {"an engine's unframed stream that ends inside an event is resumed",
	{{.bytes = OK "\r\n" EVENT_1 "data: {\"seq\":2"}, {ALIVE},
	    {.bytes = OK "\r\n" EVENT_2 DONE "\n\n"}},
	"ab|0"},
    {"an engine's unframed stream without its last empty line is resumed",
	{{.bytes = OK "\r\n" EVENT_1 EVENT_2 DONE "\n"}, {ALIVE},
	    {.bytes = OK "\r\n" DONE "\n\n"}},
	"ab|0"},
    {"an engine's unframed stream that is reset is resumed",
	{{.bytes = OK "\r\n" EVENT_1, .end = RAW_END_RESET}, {ALIVE},
	    {.bytes = OK "\r\n" EVENT_2 DONE "\n\n"}},
	"ab|0"},
    {"an engine's response that ends inside its headers is resumed",
	{{.bytes = OK "Content-Type: text/event-stream\r\n"}, {ALIVE},
	    {.bytes = OK "\r\n" EVENT_1 EVENT_2 DONE "\n\n"}},
	"ab|0"},
    {"an engine's error that ends inside its headers is not the run's end",
	{{.bytes = OK "\r\n" EVENT_1}, {ALIVE},
	    {.bytes = "HTTP/1.1 404 No\r\n"}, {ALIVE},
	    {.bytes = OK "\r\n" EVENT_2 DONE "\n\n"}},
	"ab|0"},
};

/* A call to an upstream. */
struct call_result {
	GString *log;
	bool ended;
};

/* Logs a part of the response. */
static void
on_event(void *data, const struct upstream_event *event)
{
	struct call_result *result = data;

	g_string_append_len(
	    result->log, (const char *)event->data, (gssize)event->length);
}

/* Logs how the call ended. */
static void
on_end(void *data, const struct upstream_end *end)
{
	struct call_result *result = data;

	if (end->error == NULL)
		g_string_append_printf(result->log, "|%d", end->status);
	else
		g_string_append(result->log,
		    end->error->code == UPSTREAM_ERROR_LOST ? "|lost"
							    : "|other");
	g_assert_true(end->sent);
	result->ended = true;
}

/* Sends a request to an upstream with these responses. */
static void
test_upstream(const struct upstream_case *c, enum work_kind work,
    struct upstream *(*create)(struct http_client *, const char *url))
{
	static const struct upstream_call_ops ops = {on_event, on_end};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct http_client *http = http_client_new(loop, NULL);
	struct raw_server *server = raw_server_new(
	    loop, c->responses, SENDS_MAX);
	g_autofree char *url = g_strdup_printf(
	    "http://127.0.0.1:%d", raw_server_port(server, 0));
	struct upstream *upstream = create(http, url);
	struct call_result result = {.log = g_string_new(NULL)};
	const struct upstream_request request = {.work = work,
	    .id = "r1",
	    .method = "POST",
	    .path = "/x",
	    .body = (const uint8_t *)"asked",
	    .body_length = 5};

	upstream_start(upstream, &request, &ops, &result);
	while (!result.ended)
		ev_run(loop, EVRUN_ONCE);
	g_assert_cmpstr(result.log->str, ==, c->expected);
	g_string_free(result.log, TRUE);
	upstream_free(upstream);
	http_client_free(http);
	raw_server_free(server);
	ev_loop_destroy(loop);
}

/* Runs one case of a plain service. */
static void
test_plain(gconstpointer data)
{
	test_upstream(&plain_cases[GPOINTER_TO_SIZE(data)], WORK_CALL,
	    upstream_plain_new);
}

/* Runs one case of an engine. */
static void
test_engine(gconstpointer data)
{
	test_upstream(&engine_cases[GPOINTER_TO_SIZE(data)], WORK_GENERATE,
	    upstream_engine_new);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(caller_cases, "/unframed", test_caller);
	g_test_add_func(
	    "/unframed/a caller of HTTP 1.0 sees that the gateway's "
	    "exit cuts its stream",
	    test_exit);
	ADD_CASES(plain_cases, "/unframed", test_plain);
	ADD_CASES(engine_cases, "/unframed", test_engine);
	return g_test_run();
}
