/*
 * Responses that end inside their head, after each of its bytes. Guards against
 * an empty or short response that reaches the caller as a complete one.
 */
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"
#include "raw_caller.h"
#include "raw_responses.h"
#include "raw_server.h"
#include "upstream/upstream.h"

#define SENDS_MAX 4
/* A head is also cut at each multiple of this. */
#define CUT_BYTES 8
#define INTERIM	  "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
/* Request headers of a raw caller that wants no more than one response. */
#define CLOSE_AFTER "Connection: close\r\n"

static const struct head_case {
	const char *name;
	const char *head;
	bool is_stream;
} cases[] = {
    {"a head with a length", OK TEXT "Content-Length: 5\r\n\r\n", false},
    {"a head whose length is its first header",
	OK "Content-Length: 5\r\n" TEXT "\r\n", false},
    {"a head of an empty response", OK TEXT "Content-Length: 0\r\n\r\n", false},
    {"a head with chunks", OK TEXT CHUNKED "\r\n", false},
    {"a head without framing", OK TEXT "\r\n", false},
    {"a head of HTTP 1.0", OK_1_0 TEXT CLOSE "\r\n", false},
    {"a head without content", "HTTP/1.1 204 None\r\n" SEAL "\r\n", false},
    {"a head with lines that end with LF",
	"HTTP/1.1 200 OK\nHeatherturn-Attempt-Id: r1\n"
	"Heatherturn-Server-Seal: seal\nContent-Length: 5\n\n",
	false},
    {"a head behind an interim response",
	INTERIM OK TEXT "Content-Length: 5\r\n\r\n", false},
    {"a stream's head with chunks", OK STREAM CHUNKED "\r\n", true},
    {"a stream's head without framing", OK STREAM "\r\n", true},
    {"a stream's head behind an interim response",
	INTERIM OK STREAM CHUNKED "\r\n", true},
};

/* A gateway whose upstreams send the responses of one head. */
struct head_fixture {
	struct fixture f;
	struct raw_server *server;
	GArray *responses; /* of struct raw_response */
	GPtrArray *heads; /* beginnings of the head */
	size_t requests;
};

/*
 * Returns whether a head is cut after this many bytes: around the end of each
 * line, and at some places between.
 */
static bool
is_cut_at(const char *head, size_t length)
{
	return length % CUT_BYTES == 0 || head[length] == '\n' ||
	    head[length] == '\r' || (length > 0 && head[length - 1] == '\n');
}

/* Adds a response. */
static void
add_response(struct head_fixture *h, const char *bytes, enum raw_end end)
{
	const struct raw_response response = {.bytes = bytes, .end = end};

	g_array_append_val(h->responses, response);
}

/*
 * Adds the responses to the requests of check_head(): the head, cut after each
 * place, closed three times, the last time before a whole response, and reset.
 */
static void
add_responses(struct head_fixture *h, const struct head_case *c)
{
	static const struct raw_response whole = {WHOLE};
	static const struct raw_response events = {ALL_EVENTS};

	for (size_t length = 0; length < strlen(c->head); length++) {
		char *bytes;

		if (!is_cut_at(c->head, length))
			continue;
		bytes = g_strndup(c->head, length);
		g_ptr_array_add(h->heads, bytes);
		add_response(h, bytes, RAW_END_CLOSE);
		add_response(h, bytes, RAW_END_RESET);
		add_response(h, bytes, RAW_END_CLOSE);
		add_response(h, bytes, RAW_END_CLOSE);
		add_response(h, c->is_stream ? events.bytes : whole.bytes,
		    RAW_END_CLOSE);
	}
}

/* Starts the gateway and its upstreams once the responses are added. */
static void
set_up(struct head_fixture *h)
{
	fixture_set_up(&h->f);
	h->server = raw_server_new(h->f.loop,
	    (const struct raw_response *)(void *)h->responses->data,
	    h->responses->len);
	for (size_t i = 0; i < RAW_SERVER_PORTS; i++)
		fake_platform_set_upstream_port(
		    h->f.fake_platform, i, raw_server_port(h->server, i));
	fixture_wait_for_routing_state(&h->f);
}

/* Frees all. */
static void
tear_down(struct head_fixture *h)
{
	raw_server_free(h->server);
	fixture_tear_down(&h->f);
	g_array_unref(h->responses);
	g_ptr_array_unref(h->heads);
}

/* Sends a request below a route and waits for the end of its response. */
static void
call(struct head_fixture *h, const char *route)
{
	g_autofree char *path = g_strdup_printf(
	    "/%s/%zu", route, h->requests++);

	h->f.done = false;
	g_byte_array_set_size(h->f.body, 0);
	fixture_call(&h->f, path, FIXTURE_KEY);
	RUN_UNTIL(&h->f, h->f.done);
}

/* A caller whose request may not be repeated gets 502. */
static void
check_once(struct head_fixture *h, const char *route)
{
	call(h, route);
	g_assert_false(h->f.aborted);
	g_assert_cmpint(h->f.status, ==, 502);
}

/* A caller whose request may be repeated gets the next upstream's response. */
static void
check_again(struct head_fixture *h, const char *route, const char *body)
{
	call(h, route);
	g_assert_false(h->f.aborted);
	g_assert_cmpint(h->f.status, ==, 200);
	g_assert_cmpmem(h->f.body->data, h->f.body->len, body, strlen(body));
}

/* A caller of HTTP 1.0, which gets unframed responses, gets 502 too. */
static void
check_old_caller(struct head_fixture *h, const char *route)
{
	struct raw_caller caller = {0};
	g_autofree char *path = g_strdup_printf(
	    "/%s/%zu", route, h->requests++);

	raw_caller_start(&caller, &h->f, path, "1.0", CLOSE_AFTER);
	RUN_UNTIL(&h->f, caller.ended);
	g_assert_cmpint(caller.error, ==, 0);
	g_assert_nonnull(strstr(caller.response->str, " 502 "));
	close(caller.io.fd);
	g_string_free(caller.response, TRUE);
}

/* Cuts the head of one case after each place. */
static void
test_head(gconstpointer data)
{
	const struct head_case *c = &cases[GPOINTER_TO_SIZE(data)];
	const char *once = c->is_stream ? "fragile" : "once";
	struct head_fixture h = {
	    .responses = g_array_new(FALSE, FALSE, sizeof(struct raw_response)),
	    .heads = g_ptr_array_new_with_free_func(g_free),
	};

	add_responses(&h, c);
	set_up(&h);
	for (guint i = 0; i < h.heads->len; i++) {
		check_once(&h, once);
		check_once(&h, once);
		check_old_caller(&h, once);
		if (c->is_stream)
			check_again(&h, "stream", E1 E2 E3);
		else
			check_again(&h, "again", "whole");
	}
	g_assert_cmpuint(raw_server_requests(h.server), ==, h.responses->len);
	tear_down(&h);
}

/* A call of a sidecar to its upstream, and how it ended. */
struct call_result {
	bool ended;
	int error; /* UPSTREAM_ERROR, -1 for none */
};

/* No part of a response may arrive. */
static void
on_event(void *data, const struct upstream_event *event)
{
	g_assert_not_reached();
}

/* Keeps how the call ended. */
static void
on_end(void *data, const struct upstream_end *end)
{
	struct call_result *result = data;

	result->ended = true;
	result->error = end->error == NULL ? -1 : end->error->code;
}

/* A plain service behind a sidecar: the outcome of its call is unknown. */
static void
test_plain(gconstpointer data)
{
	static const struct upstream_call_ops ops = {on_event, on_end};
	static const struct upstream_request request = {
	    .work = WORK_CALL, .id = "r1", .method = "POST", .path = "/x"};
	const struct head_case *c = &cases[GPOINTER_TO_SIZE(data)];

	for (size_t length = 0; length < strlen(c->head); length++) {
		g_autofree char *bytes = g_strndup(c->head, length);
		const struct raw_response responses[SENDS_MAX] = {
		    {.bytes = bytes}};
		struct ev_loop *loop;
		struct http_client *http;
		struct raw_server *server;
		g_autofree char *url = NULL;
		struct upstream *upstream;
		struct call_result result = {0};

		if (!is_cut_at(c->head, length))
			continue;
		loop = ev_loop_new(EVFLAG_AUTO);
		http = http_client_new(loop, NULL);
		server = raw_server_new(loop, responses, SENDS_MAX);
		url = g_strdup_printf(
		    "http://127.0.0.1:%d", raw_server_port(server, 0));
		upstream = upstream_plain_new(http, url);
		upstream_start(upstream, &request, &ops, &result);
		while (!result.ended)
			ev_run(loop, EVRUN_ONCE);
		g_assert_cmpint(result.error, ==, UPSTREAM_ERROR_LOST);
		upstream_free(upstream);
		http_client_free(http);
		raw_server_free(server);
		ev_loop_destroy(loop);
	}
}

/* Heads that are complete, but announce no response. */
static const struct no_answer_case {
	const char *name;
	const char *bytes;
} no_answer_cases[] = {
    {"an interim response alone is no response", INTERIM},
    {"two interim responses are no response", INTERIM INTERIM},
    {"a change of protocol is no response",
	"HTTP/1.1 101 Switching Protocols\r\n" SEAL "Upgrade: x\r\n"
	"Connection: Upgrade\r\n\r\n"},
    {"bytes after a change of protocol are no response",
	"HTTP/1.1 101 Switching Protocols\r\n" SEAL "Upgrade: x\r\n"
	"Connection: Upgrade\r\n\r\nwhole"},
    {"a second head in place of the rest of the first",
	OK "Heatherturn-Attempt-Id: r1\r\n" OK TEXT
	   "Content-Length: 0\r\n\r\n"},
};

/* Runs one case. */
static void
test_no_answer(gconstpointer data)
{
	const struct no_answer_case
	    *c = &no_answer_cases[GPOINTER_TO_SIZE(data)];
	struct head_fixture h = {
	    .responses = g_array_new(FALSE, FALSE, sizeof(struct raw_response)),
	    .heads = g_ptr_array_new_with_free_func(g_free),
	};

	add_response(&h, c->bytes, RAW_END_CLOSE);
	add_response(&h, c->bytes, RAW_END_CLOSE);
	set_up(&h);
	check_once(&h, "once");
	check_once(&h, "fragile");
	tear_down(&h);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(cases, "/cut_head", test_head);
	ADD_CASES(cases, "/cut_head/plain service", test_plain);
	ADD_CASES(no_answer_cases, "/cut_head", test_no_answer);
	return g_test_run();
}
