/*
 * Responses whose head does not say where their body ends: a wrong byte in a
 * Content-Length, several lengths, lengths beside chunks. Guards against a part
 * of a response that reaches the caller as a complete one.
 */
#include <string.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"
#include "raw_gateway.h"
#include "raw_responses.h"
#include "upstream/upstream.h"

#define SENDS_MAX 4
/* Bytes of the body, more than any number that a wrong length starts with. */
#define BODY_BYTES ((size_t)80)
/* Longer than a response that the gateway buffers. */
#define LONG_BYTES ((size_t)300 * 1024)

/* Framing of a body of BODY_BYTES, or what is left of it. */
static const struct framing_case {
	const char *name;
	const char *header;
	bool valid;
} cases[] = {
    {"a length", "Content-Length: 80\r\n", true},
    {"a length with a leading zero", "Content-Length: 080\r\n", true},
    {"a length with blanks around it", "Content-Length: \t80 \r\n", true},
    {"the same length twice", "Content-Length: 80\r\nContent-Length: 80\r\n",
	true},
    {"a list of the same length", "Content-Length: 80, 80\r\n", true},
    {"a blank before the colon of another header",
	"X-Own : x\r\nContent-Length: 80\r\n", true},
    {"a letter in a length", "Content-Length: 8x\r\n", false},
    {"a letter inside a length", "Content-Length: 1x80\r\n", false},
    {"a letter before a length", "Content-Length: x80\r\n", false},
    {"a blank in a length", "Content-Length: 8 0\r\n", false},
    {"a fraction as length", "Content-Length: 8.5\r\n", false},
    {"a hexadecimal length", "Content-Length: 0x50\r\n", false},
    {"an octet above 127 in a length", "Content-Length: 8\xb0\r\n", false},
    {"a control character in a length", "Content-Length: 8\x01\r\n", false},
    {"a sign before a length", "Content-Length: +80\r\n", false},
    {"a negative length", "Content-Length: -80\r\n", false},
    {"a length with an exponent", "Content-Length: 8e1\r\n", false},
    {"an empty length", "Content-Length:\r\n", false},
    {"a length beyond 63 bits", "Content-Length: 18446744073709551696\r\n",
	false},
    {"a semicolon after a length", "Content-Length: 8;0\r\n", false},
    {"two lengths, the lower one last",
	"Content-Length: 80\r\nContent-Length: 8\r\n", false},
    {"two lengths, the lower one first",
	"Content-Length: 8\r\nContent-Length: 80\r\n", false},
    {"a list of two lengths", "Content-Length: 8, 80\r\n", false},
    {"a list with an empty length", "Content-Length: 8,\r\n", false},
    {"a folded length", "Content-Length: 8\r\n 0\r\n", false},
    {"a blank before the colon of a length",
	"Content-Length : 80\r\nConnection: close\r\n", false},
    {"a length without its colon", "Content-Length; 8\r\n", false},
    {"a header without a name", ": x\r\nContent-Length: 80\r\n", false},
    {"a length beside chunks", "Content-Length: 80\r\n" CHUNKED, false},
    {"a length behind chunks", CHUNKED "Content-Length: 8\r\n", false},
    {"chunks twice", CHUNKED CHUNKED, false},
    {"another transfer coding", "Transfer-Encoding: chunkee\r\n", false},
    {"a transfer coding before chunks", "Transfer-Encoding: gzip, chunked\r\n",
	false},
    {"a second status line in the head", OK "Content-Length: 8\r\n", false},
};

/* Sends a request and waits for the end of its response. */
static void
call(struct fixture *f, const char *path)
{
	fixture_call(f, path, FIXTURE_KEY);
	RUN_UNTIL(f, f->done);
}

/* A response to a request that may run once is whole or it is none. */
static void
check_once(const struct framing_case *c, const struct raw_response *response)
{
	const struct raw_response responses[SENDS_MAX] = {*response};
	struct fixture f = {0};
	struct raw_server *server = raw_gateway_set_up(
	    &f, responses, SENDS_MAX);

	call(&f, "/once/x");
	g_assert_false(f.aborted);
	g_assert_cmpint(f.status, ==, c->valid ? 200 : 502);
	if (c->valid)
		g_assert_cmpuint(f.body->len, ==, BODY_BYTES);
	g_assert_cmpuint(raw_server_requests(server), ==, 1);
	raw_server_free(server);
	fixture_tear_down(&f);
}

/* An idempotent request is sent again. */
static void
check_again(const struct framing_case *c, const struct raw_response *response)
{
	const struct raw_response responses[SENDS_MAX] = {*response, {WHOLE}};
	struct fixture f = {0};
	struct raw_server *server = raw_gateway_set_up(
	    &f, responses, SENDS_MAX);

	call(&f, "/again/x");
	g_assert_cmpint(f.status, ==, 200);
	g_assert_cmpuint(
	    f.body->len, ==, c->valid ? BODY_BYTES : strlen("whole"));
	g_assert_cmpuint(raw_server_requests(server), ==, c->valid ? 1 : 2);
	raw_server_free(server);
	fixture_tear_down(&f);
}

/* Runs one case. */
static void
test_framing(gconstpointer data)
{
	const struct framing_case *c = &cases[GPOINTER_TO_SIZE(data)];
	g_autofree char *head = g_strconcat(OK TEXT, c->header, "\r\n", NULL);
	const struct raw_response response = {
	    .bytes = head, .filler = BODY_BYTES};

	check_once(c, &response);
	check_again(c, &response);
}

/* Status lines; the header member is the line. */
static const struct framing_case status_cases[] = {
    {"a status", "HTTP/1.1 200 OK", true},
    {"a status without a reason phrase", "HTTP/1.1 200 ", true},
    {"a status of zeros", "HTTP/1.1 000 OK", false},
    {"a status below 100", "HTTP/1.1 099 OK", false},
    {"a status of one", "HTTP/1.1 001 OK", false},
    {"a status of two digits", "HTTP/1.1 20 OK", false},
    {"a status of four digits", "HTTP/1.1 2000 OK", false},
    {"a letter in a status", "HTTP/1.1 2O0 OK", false},
    {"a negative status", "HTTP/1.1 -20 OK", false},
    {"a status with a sign", "HTTP/1.1 +20 OK", false},
    {"a status with a leading zero", "HTTP/1.1 0200 OK", false},
    {"a hexadecimal status", "HTTP/1.1 0x0 OK", false},
    {"no blank before the status", "HTTP/1.1200 OK", false},
    {"two blanks before the status", "HTTP/1.1  200 OK", false},
    {"another version", "HTTP/2.7 200 OK", false},
    {"no status", "HTTP/1.1 ", false},
};

/* A response whose status line is none is no response. */
static void
test_status(gconstpointer data)
{
	const struct framing_case *c = &status_cases[GPOINTER_TO_SIZE(data)];
	g_autofree char *head = g_strconcat(
	    c->header, "\r\n" TEXT "Content-Length: 80\r\n\r\n", NULL);
	const struct raw_response response = {
	    .bytes = head, .filler = BODY_BYTES};

	check_once(c, &response);
	check_again(c, &response);
}

/* A response that is too long to be buffered is not begun either. */
static void
test_long(void)
{
	static const struct raw_response responses[SENDS_MAX] = {
	    {.bytes = OK TEXT "Content-Length: 3o7200\r\n\r\n",
		.filler = LONG_BYTES}};
	struct fixture f = {0};
	struct raw_server *server = raw_gateway_set_up(
	    &f, responses, SENDS_MAX);

	call(&f, "/once/x");
	g_assert_cmpint(f.status, ==, 502);
	raw_server_free(server);
	fixture_tear_down(&f);
}

/* A stream whose length is cut by a wrong byte is no complete one. */
static void
test_stream(void)
{
	static const struct raw_response responses[SENDS_MAX] = {
	    {.bytes = OK STREAM "Content-Length: 30x\r\n\r\n" E1 E2 E3}};
	struct fixture f = {0};
	struct raw_server *server = raw_gateway_set_up(
	    &f, responses, SENDS_MAX);

	call(&f, "/fragile/x");
	g_assert_cmpint(f.status, ==, 502);
	raw_server_free(server);
	fixture_tear_down(&f);
}

/* A call to a plain service, and how it ended. */
struct plain_result {
	bool ended;
	int error; /* UPSTREAM_ERROR, -1 for none */
};

/* Ignores a part of the response. */
static void
on_plain_event(void *data, const struct upstream_event *event)
{
}

/* Keeps how the call ended. */
static void
on_plain_end(void *data, const struct upstream_end *end)
{
	struct plain_result *result = data;

	result->ended = true;
	result->error = end->error == NULL ? -1 : end->error->code;
}

/* Responses of a sidecar's plain service that leave the outcome unknown. */
static const struct plain_case {
	const char *name;
	const char *head;
} plain_cases[] = {
    {"a wrong length", OK "Content-Length: 8x\r\n\r\n"},
    {"an error with the reason of a success",
	"HTTP/1.1 400 OK\r\nContent-Length: 80\r\n\r\n"},
    {"a success with the reason of a failure",
	"HTTP/1.1 200 Internal Server Error\r\nContent-Length: 80\r\n\r\n"},
};

/* A response of a sidecar's plain service that may be wrong is lost. */
static void
test_plain(gconstpointer data)
{
	const struct plain_case *c = &plain_cases[GPOINTER_TO_SIZE(data)];
	static const struct upstream_call_ops ops = {
	    on_plain_event, on_plain_end};
	const struct raw_response responses[SENDS_MAX] = {
	    {.bytes = c->head, .filler = BODY_BYTES}};
	static const struct upstream_request request = {
	    .work = WORK_CALL, .id = "r1", .method = "POST", .path = "/x"};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct http_client *http = http_client_new(loop, NULL);
	struct raw_server *server = raw_server_new(loop, responses, SENDS_MAX);
	g_autofree char *url = g_strdup_printf(
	    "http://127.0.0.1:%d", raw_server_port(server, 0));
	struct upstream *upstream = upstream_plain_new(http, url);
	struct plain_result result = {0};

	upstream_start(upstream, &request, &ops, &result);
	while (!result.ended)
		ev_run(loop, EVRUN_ONCE);
	g_assert_cmpint(result.error, ==, UPSTREAM_ERROR_LOST);
	upstream_free(upstream);
	http_client_free(http);
	raw_server_free(server);
	ev_loop_destroy(loop);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(cases, "/wrong_framing", test_framing);
	g_test_add_func(
	    "/wrong_framing/a long response of wrong length", test_long);
	g_test_add_func(
	    "/wrong_framing/a stream whose length is cut", test_stream);
	ADD_CASES(status_cases, "/wrong_framing/status", test_status);
	ADD_CASES(plain_cases, "/wrong_framing/plain", test_plain);
	return g_test_run();
}
