/*
 * A stream has begun and breaks off, and the next upstream answers with an
 * error, or with anything else that is no continuation: the caller gets events
 * alone, in order and none twice, and an end that shows as broken unless the
 * last event has come.
 */
#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"
#include "raw_caller.h"
#include "raw_responses.h"
#include "raw_server.h"

#define SENDS_MAX    4
#define WHOLE_STREAM E1 E2 E3
#define OWN	     "Heatherturn-Attempt-Id: r1\r\n"
#define ERROR_TEXT   "Content-Length: 5\r\n\r\nerror"
#define NONE	     "0\r\n\r\n"
/* E2 and E3 as chunks. */
#define E2_CHUNK "f\r\n" E2 "\r\n"
#define E3_CHUNK "f\r\n" E3 "\r\n"

/* How the stream breaks off, after the first event. */
static const struct stream_end {
	const char *name;
	const char *bytes;
	enum raw_end end;
} ends[] = {
    {"closed between chunks", OK STREAM CHUNKED "\r\n" E1_CHUNK, RAW_END_CLOSE},
    {"closed inside a chunk", OK STREAM CHUNKED "\r\n" E1_CHUNK "f\r\nid: 2",
	RAW_END_CLOSE},
    {"closed inside an event", OK STREAM "\r\n" E1 "id: 2\nda", RAW_END_CLOSE},
    {"reset", OK STREAM CHUNKED "\r\n" E1_CHUNK, RAW_END_RESET},
    {"reset without frames", OK STREAM "\r\n" E1 "id", RAW_END_RESET},
    {"shorter than its length", OK STREAM "Content-Length: 45\r\n\r\n" E1,
	RAW_END_CLOSE},
    {"a chunk of bad length", OK STREAM CHUNKED "\r\n" E1_CHUNK "zz\r\n",
	RAW_END_CLOSE},
    {"its upstream gone", OK STREAM CHUNKED "\r\n" E1_CHUNK, RAW_END_STOP},
};

/* What the next upstream answers. */
static const struct answer {
	const char *name;
	const char *bytes;
	enum raw_end end;
} answers[] = {
    {"400", "HTTP/1.1 400 Bad\r\n" SEAL ERROR_TEXT, RAW_END_CLOSE},
    {"404 as events",
	"HTTP/1.1 404 No\r\n" STREAM "Content-Length: 15\r\n\r\n" E2,
	RAW_END_CLOSE},
    {"500", "HTTP/1.1 500 Bad\r\n" SEAL ERROR_TEXT, RAW_END_CLOSE},
    {"500 without an id", "HTTP/1.1 500 Bad\r\n" ERROR_TEXT, RAW_END_CLOSE},
    {"502 as events", "HTTP/1.1 502 Bad\r\n" STREAM "\r\n" E2, RAW_END_CLOSE},
    {"503 that says not run",
	"HTTP/1.1 503 Busy\r\n" OWN
	"Heatherturn-Not-Executed: 1\r\n" ERROR_TEXT,
	RAW_END_CLOSE},
    {"503 that says nothing", "HTTP/1.1 503 Busy\r\n" SEAL ERROR_TEXT,
	RAW_END_CLOSE},
    {"421", "HTTP/1.1 421 Not me\r\n" OWN ERROR_TEXT, RAW_END_CLOSE},
    {"429",
	"HTTP/1.1 429 Wait\r\n" OWN
	"Heatherturn-Not-Executed: 1\r\n" ERROR_TEXT,
	RAW_END_CLOSE},
    {"301", "HTTP/1.1 301 Moved\r\n" SEAL "Location: /\r\n" ERROR_TEXT,
	RAW_END_CLOSE},
    {"204", "HTTP/1.1 204 None\r\n" SEAL "\r\n", RAW_END_CLOSE},
    {"206", "HTTP/1.1 206 Part\r\n" STREAM "Content-Length: 15\r\n\r\n" E2,
	RAW_END_CLOSE},
    {"200 of another type", OK TEXT ERROR_TEXT, RAW_END_CLOSE},
    {"200 without a type", OK SEAL ERROR_TEXT, RAW_END_CLOSE},
    {"200 without a seal",
	OK OWN "Content-Type: text/event-stream\r\n\r\n" E2 E3, RAW_END_CLOSE},
    {"200 of another request",
	OK "Heatherturn-Attempt-Id: r0\r\nHeatherturn-Server-Seal: seal\r\n"
	   "Content-Type: text/event-stream\r\n\r\n" E2 E3,
	RAW_END_CLOSE},
    {"no events, framed", OK STREAM CHUNKED "\r\n" NONE, RAW_END_CLOSE},
    {"no events, of length 0", OK STREAM "Content-Length: 0\r\n\r\n",
	RAW_END_CLOSE},
    {"no events, unframed", OK STREAM "\r\n", RAW_END_CLOSE},
    {"no events, reset", OK STREAM "\r\n", RAW_END_RESET},
    {"an error event",
	OK STREAM CHUNKED "\r\n"
			  "1b\r\nevent: error\ndata: broken\n\n\r\n" NONE,
	RAW_END_CLOSE},
    {"an error event, unframed", OK STREAM "\r\nevent: error\ndata: broken\n\n",
	RAW_END_CLOSE},
    {"data without an id, then the connection's end",
	OK STREAM "\r\ndata: broken\n\n", RAW_END_CLOSE},
    {"an earlier event again", OK STREAM CHUNKED "\r\n" E1_CHUNK NONE,
	RAW_END_CLOSE},
    {"one more event, cut", OK STREAM CHUNKED "\r\n" E2_CHUNK, RAW_END_CLOSE},
    {"a cut head", "HTTP/1.1 200 OK\r\nHeather", RAW_END_CLOSE},
    {"a cut head of an error", "HTTP/1.1 500 Bad\r\nContent-Le", RAW_END_CLOSE},
    {"nothing", "", RAW_END_CLOSE},
    {"no HTTP", "error error error\r\n\r\nerror", RAW_END_CLOSE},
    {"gone", "", RAW_END_STOP},
};

/*
 * Returns whether an answer refuses the request: the gateway then waits up to 2
 * s for an upstream that can continue.
 */
static bool
is_refusal(const struct answer *answer)
{
	return strstr(answer->bytes, "Not-Executed") != NULL ||
	    strstr(answer->bytes, " 421 ") != NULL;
}

/* Returns whether a text is some whole events of the stream, from its first. */
static bool
is_start_of_stream(const char *text)
{
	static const char *const starts[] = {"", E1, E1 E2, E1 E2 E3};

	for (size_t i = 0; i < G_N_ELEMENTS(starts); i++) {
		if (strcmp(text, starts[i]) == 0)
			return true;
	}
	return false;
}

/* Starts a gateway whose upstreams send these responses. */
static struct raw_server *
set_up(struct fixture *f, const struct raw_response *responses)
{
	struct raw_server *server;

	fixture_set_up(f);
	server = raw_server_new(f->loop, responses, SENDS_MAX);
	for (size_t i = 0; i < RAW_SERVER_PORTS; i++)
		fake_platform_set_upstream_port(
		    f->fake_platform, i, raw_server_port(server, i));
	httpd_start(f->callers);
	fixture_wait_for_routing_state(f);
	return server;
}

/* Asks for the stream as a caller of HTTP 1.1, who sees chunks. */
static void
check_chunks(const char *name, const struct raw_response *responses)
{
	struct fixture f = {0};
	struct raw_server *server = set_up(&f, responses);
	g_autofree char *body = NULL;

	fixture_call(&f, "/stream/x", FIXTURE_KEY);
	RUN_UNTIL(&f, f.done);
	body = g_strndup((const char *)f.body->data, f.body->len);
	if (f.status != 200 || !is_start_of_stream(body) ||
	    (!f.aborted && strcmp(body, WHOLE_STREAM) != 0))
		g_error("%s: status %d, %s, body '%s'", name, f.status,
		    f.aborted ? "broken" : "complete", body);
	raw_server_free(server);
	fixture_tear_down(&f);
}

/* Asks for the stream as a caller of HTTP 1.0, who sees only the end. */
static void
check_unframed(const char *name, const struct raw_response *responses)
{
	struct fixture f = {0};
	struct raw_server *server = set_up(&f, responses);
	struct raw_caller caller = {0};
	const char *body;

	raw_caller_start(&caller, &f, "/stream/x", "1.0", "");
	RUN_UNTIL(&f, caller.ended);
	body = strstr(caller.response->str, "\r\n\r\n");
	body = body == NULL ? "" : body + 4;
	if (!is_start_of_stream(body) ||
	    (caller.error == 0 && strcmp(body, WHOLE_STREAM) != 0))
		g_error("%s: error %d, response '%s'", name, caller.error,
		    caller.response->str);
	close(caller.io.fd);
	g_string_free(caller.response, TRUE);
	raw_server_free(server);
	fixture_tear_down(&f);
}

/*
 * Runs one answer after each end, followed by a continuation or by itself; the
 * latter after one end alone if that takes long.
 */
static void
test_answer(gconstpointer data)
{
	const struct answer *answer = &answers[GPOINTER_TO_SIZE(data)];
	const struct raw_response continued = {LAST_EVENTS};
	const struct raw_response bad = {
	    .bytes = answer->bytes, .end = answer->end};

	for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
		const struct raw_response first = {
		    .bytes = ends[i].bytes, .end = ends[i].end};
		const struct raw_response responses[2][SENDS_MAX] = {
		    {first, bad, continued, continued}, {first, bad, bad, bad}};

		for (size_t j = 0; j < G_N_ELEMENTS(responses); j++) {
			if (is_refusal(answer) && i > 0 && j > 0)
				continue;
			check_chunks(ends[i].name, responses[j]);
			check_unframed(ends[i].name, responses[j]);
		}
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(answers, "/error_in_stream", test_answer);
	return g_test_run();
}
