/*
 * Limits of a request's and a response's size. Guards against proper requests
 * that are rejected by a limit that is not in force, and against connections
 * that are closed without an answer because of long heads.
 */
#include <string.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"
#include "log_capture.h"
#include "raw_caller.h"
#include "raw_gateway.h"
#include "raw_responses.h"

#define SENDS_MAX      3
#define WHOLE_RESPONSE OK TEXT "\r\nwhole"
/* A configuration of which nothing can be used. */
#define UNUSABLE_CONFIG "{\"Version\":9,\"Routes\":7}"
#define LIMITED_CONFIG(version, bytes)                                      \
	"{\"Version\":" version ",\"Routes\":[{\"Name\":\"open\",\"Host\":" \
	"\"h\",\"PathPrefix\":\"/open/\",\"Kind\":\"idempotent\","          \
	"\"Public\":true,\"Service\":\"s\"}],\"Services\":[{\"Name\":"      \
	"\"s\"}],\"Limits\":{\"BodyBytes\":" bytes "}}"

/* The limit of a newer configuration counts for the first request under it. */
static void
test_body_limit(void)
{
	const struct raw_response responses[SENDS_MAX] = {
	    {.bytes = WHOLE_RESPONSE}, {.bytes = WHOLE_RESPONSE}};
	struct fixture f = {.config = LIMITED_CONFIG("3", "10")};
	struct log_capture capture;
	struct raw_server *server = raw_gateway_set_up(
	    &f, responses, SENDS_MAX);
	const char *request = "POST /open/x HTTP/1.1\r\nHost: h\r\n" ID_LINE
			      "Content-Length: 20\r\nConnection: close\r\n\r\n"
			      "01234567890123456789";
	const char *longer = "POST /open/x HTTP/1.1\r\nHost: h\r\n" ID_LINE
			     "Content-Length: 40\r\nConnection: close\r\n\r\n";

	raw_caller_call(&f, GET("/open/x", "h", ID_LINE));
	g_assert_cmpint(raw_caller_call(&f, request), ==, 413);
	fake_platform_change_config(f.fake_platform, LIMITED_CONFIG("4", "30"));
	RUN_UNTIL(&f,
	    routing_state_table(f.exchange_context.routing_state)->version ==
		4);
	g_assert_cmpint(raw_caller_call(&f, request), ==, 200);
	g_assert_cmpint(raw_caller_call(&f, longer), ==, 413);
	log_capture_start(&capture);
	fake_platform_change_config(f.fake_platform, UNUSABLE_CONFIG);
	log_capture_wait(&capture, f.loop, "configuration change ignored");
	log_capture_stop(&capture);
	g_assert_cmpint(raw_caller_call(&f, longer), ==, 503);
	raw_server_free(server);
	fixture_tear_down(&f);
}

/* Before the first configuration no limit is final. */
static void
test_first_body_limit(void)
{
	struct fixture f = {0};

	fixture_set_up(&f);
	g_assert_cmpint(
	    raw_caller_call(&f,
		"POST /open/x HTTP/1.1\r\nHost: h\r\n" ID_LINE
		"Content-Length: 999999\r\nConnection: close\r\n\r\n"),
	    ==, 503);
	fixture_tear_down(&f);
}

/* Bytes of a head beside its long lines, and of a name and a line's end. */
#define HEAD_ROOM 400
#define NAME_ROOM 12

static const struct head_case {
	const char *name;
	size_t request; /* bytes of the request's head, about */
	size_t response;
	size_t line; /* bytes of most lines */
	int status;
	size_t sends;
} head_cases[] = {
    {"a request's head at the limit in long lines passes", 16384, 0, 1000, 200,
	1},
    {"a request's head at the limit in lines of 100 bytes passes", 16384, 0,
	100, 200, 1},
    {"a request's head at the limit in lines of 40 bytes passes", 16384, 0, 40,
	200, 1},
    {"a request's head at the limit in lines of 20 bytes passes", 16384, 0, 20,
	200, 1},
    {"heads at the limit pass in both directions", 16384, 16384, 1000, 200, 1},
    {"heads at the limit in short lines pass in both directions", 16384, 16384,
	40, 200, 1},
    {"a response's head above the limit passes", 0, 30000, 100, 200, 1},
    {"a response's head that can't be passed on is an unknown outcome", 16384,
	30000, 1000, 502, 1},
    {"a request's head above the limit is rejected before it runs", 17500, 0,
	1000, 431, 0},
    {"a request's head far above the limit is rejected before it runs", 40000,
	0, 1000, 431, 0},
};

/* Appends lines of a head up to a number of bytes in all. */
static void
append_lines(GString *head, size_t bytes, size_t line)
{
	g_autofree char *value = g_strnfill(line - NAME_ROOM, 'v');

	for (int i = 0; head->len + HEAD_ROOM < bytes; i++)
		g_string_append_printf(head, "X-L-%04d: %s\r\n", i, value);
}

/*
 * Makes a request and its response with heads of about these sizes, and returns
 * the status that the caller gets.
 */
static int
exchange_heads(
    size_t request_bytes, size_t response_bytes, size_t line, size_t *sends)
{
	g_autoptr(GString) request = g_string_new(
	    "GET /once/x HTTP/1.1\r\nHost: h\r\n" KEY_LINE ID_LINE
	    "Connection: close\r\n");
	g_autoptr(GString)
	    response = g_string_new(OK TEXT "Content-Length: 5\r\n");
	struct raw_response responses[SENDS_MAX] = {{.bytes = NULL}};
	struct fixture f = {0};
	struct raw_server *server;
	int status;

	append_lines(request, request_bytes, line);
	g_string_append(request, "\r\n");
	append_lines(response, response_bytes, line);
	g_string_append(response, "\r\nwhole");
	responses[0].bytes = response->str;
	server = raw_gateway_set_up(&f, responses, SENDS_MAX);
	status = raw_caller_call(&f, request->str);
	*sends = raw_server_requests(server);
	raw_server_free(server);
	fixture_tear_down(&f);
	return status;
}

/* Heads up to the limit pass at once, and larger ones get a clear answer. */
static void
test_head(gconstpointer data)
{
	const struct head_case *c = &head_cases[GPOINTER_TO_SIZE(data)];
	size_t sends;

	g_assert_cmpint(
	    exchange_heads(c->request, c->response, c->line, &sends), ==,
	    c->status);
	g_assert_cmpuint(sends, ==, c->sends);
}

/* No size of heads closes a connection without a response. */
static void
test_head_sizes(void)
{
	static const size_t lines[] = {20, 100, 1000};
	size_t sends;

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		for (size_t bytes = 0; bytes <= 60000; bytes += 4000) {
			int status = exchange_heads(
			    bytes % 16384, bytes, lines[i], &sends);

			g_test_message("%zu bytes, lines of %zu, status %d",
			    bytes, lines[i], status);
			g_assert_true(
			    status == 200 || status == 502 || status == 431);
			g_assert_cmpuint(sends, ==, status == 431 ? 0 : 1);
		}
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(head_cases, "/request_limits/head", test_head);
	g_test_add_func("/request_limits/head_sizes", test_head_sizes);
	g_test_add_func("/request_limits/body_limit", test_body_limit);
	g_test_add_func(
	    "/request_limits/first_body_limit", test_first_body_limit);
	return g_test_run();
}
