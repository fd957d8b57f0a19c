/*
 * Streams of which one event's id has a wrong byte, through a whole gateway.
 * Guards against events that are hidden by it or passed on with it, and against
 * a stream that is resumed after a wrong id.
 */
#include <string.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"
#include "raw_gateway.h"
#include "raw_responses.h"
#include "upstream/upstream.h"

#define SENDS_MAX   4
#define E3_TOO_HIGH "id: 90\ndata: 3\n\n"
#define E3_TOO_LOW  "id: 1\ndata: 3\n\n"
#define E3_TWICE    "id: 2\ndata: 3\n\n"
#define E3_NO_ID    "ie: 3\ndata: 3\n\n"
#define E3_LETTER   "id: 3x\ndata: 3\n\n"
/* A comment by its first byte, but it has data. */
#define E3_COMMENT   ":d: 3\ndata: 3\n\n"
#define E4	     "id: 4\ndata: 4\n\n"
#define E5	     "id: 5\ndata: 5\n\n"
#define COMMENT	     ": none\n\n"
#define HEAD	     OK STREAM "\r\n"
#define WHOLE_STREAM E1 E2 E3 E4 E5
/* The rest of the stream as another upstream sends it, if asked. */
#define REST_AFTER_1                                    \
	{                                               \
		.bytes = HEAD E2 E3 E4 E5, .after = "1" \
	}
#define REST_AFTER_2                                 \
	{                                            \
		.bytes = HEAD E3 E4 E5, .after = "2" \
	}

static const struct id_case {
	const char *name;
	const char *path;
	struct raw_response responses[SENDS_MAX];
	size_t arrivals;
	bool cut;
	const char *body; /* whole, or all that was sent before the cut */
} cases[] = {
    {"an id that is too high hides no event", "/stream/x",
	{{.bytes = HEAD E1 E2 E3_TOO_HIGH E4 E5}, REST_AFTER_2}, 2, false,
	WHOLE_STREAM},
    {"an id that is too high ends a stream that can't be resumed", "/fragile/x",
	{{.bytes = HEAD E1 E2 E3_TOO_HIGH E4 E5}}, 1, true, E1 E2},
    {"an id that is too low hides no event", "/stream/x",
	{{.bytes = HEAD E1 E2 E3_TOO_LOW E4 E5}, REST_AFTER_2}, 2, false,
	WHOLE_STREAM},
    {"an id that comes twice hides no event", "/stream/x",
	{{.bytes = HEAD E1 E2 E3_TWICE E4 E5}, REST_AFTER_1}, 2, false,
	WHOLE_STREAM},
    {"an id that can't be read hides no event", "/stream/x",
	{{.bytes = HEAD E1 E2 E3_LETTER E4 E5}, REST_AFTER_2}, 2, false,
	WHOLE_STREAM},
    {"the last event is not lost by its id", "/stream/x",
	{{.bytes = HEAD E1 E2 E3_TOO_LOW}, {.bytes = HEAD E2 E3, .after = "1"}},
	2, false, E1 E2 E3},
    {"a run without frames is no evidence of the end", "/stream/x",
	{{.bytes = HEAD E1 E2 E3_TOO_HIGH}, {.bytes = HEAD E2, .after = "1"},
	    {.bytes = HEAD E2 E3, .after = "1"}},
	3, false, E1 E2 E3},
    {"a stream that breaks off after an id that is too high is resumed before "
     "it",
	"/stream/x",
	{{.bytes = HEAD E1 E2 E3_TOO_HIGH, .end = RAW_END_RESET}, REST_AFTER_2},
	2, false, WHOLE_STREAM},
    {"a stream that breaks off after an id that is too low is resumed before "
     "it",
	"/stream/x",
	{{.bytes = HEAD E1 E2 E3_TOO_LOW, .end = RAW_END_RESET}, REST_AFTER_2},
	2, false, WHOLE_STREAM},
    {"a stream that breaks off after an id that comes twice is resumed before "
     "both",
	"/stream/x",
	{{.bytes = HEAD E1 E2 E3_TWICE "id", .end = RAW_END_CLOSE},
	    REST_AFTER_1},
	2, false, WHOLE_STREAM},
    {"a stream that breaks off after an event without an id is resumed before "
     "it",
	"/stream/x",
	{{.bytes = HEAD E1 E2 E3_NO_ID, .end = RAW_END_RESET}, REST_AFTER_2}, 2,
	false, WHOLE_STREAM},
    {"a stream that breaks off after data behind a colon is resumed before it",
	"/stream/x",
	{{.bytes = HEAD E1 E2 E3_COMMENT, .end = RAW_END_RESET}, REST_AFTER_2},
	2, false, WHOLE_STREAM},
    {"a stream that breaks off after a comment is resumed", "/stream/x",
	{{.bytes = HEAD E1 E2 E3 COMMENT, .end = RAW_END_RESET},
	    {.bytes = HEAD E4 E5, .after = "3"}},
	2, false, E1 E2 E3 COMMENT E4 E5},
    {"events after a wrong id are asked for again", "/stream/x",
	{{.bytes = HEAD E1 E2 "id: 30\ndata: 3\n\n" E4 E5,
	     .end = RAW_END_RESET},
	    REST_AFTER_2},
	2, false, WHOLE_STREAM},
    {"a run that repeats events but not the last one does not continue",
	"/last/x",
	{{.bytes = HEAD E1 E2 E3, .end = RAW_END_RESET},
	    {.bytes = HEAD E1 E2 E4 E5, .after = "3"}},
	2, true, E1 E2 E3},
    {"an id that is too low in a resumed run hides no event", "/stream/x",
	{{.bytes = HEAD E1 E2 E3, .end = RAW_END_RESET},
	    {.bytes = HEAD E4 "id: 1\ndata: 5\n\n", .after = "3"},
	    {.bytes = HEAD E4 E5, .after = "3"}},
	3, false, WHOLE_STREAM},
};

/* Runs one case. */
static void
test_stream(gconstpointer data)
{
	const struct id_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct fixture f = {0};
	struct raw_server *server = raw_gateway_set_up(
	    &f, c->responses, SENDS_MAX);
	g_autofree char *body = NULL;

	fixture_call(&f, c->path, FIXTURE_KEY);
	RUN_UNTIL(&f, f.done);
	body = f.body->len == 0
	    ? g_strdup("")
	    : g_strndup((const char *)f.body->data, f.body->len);
	g_assert_cmpuint(raw_server_requests(server), ==, c->arrivals);
	g_assert_cmpint(f.aborted, ==, c->cut);
	if (c->cut)
		g_assert_true(g_str_has_prefix(c->body, body));
	else
		g_assert_cmpstr(body, ==, c->body);
	raw_server_free(server);
	fixture_tear_down(&f);
}

#define ENGINE_1    "data: {\"seq\":1,\"text\":\"a\",\"tokens\":1}\n\n"
#define ENGINE_2    "data: {\"seq\":2,\"text\":\"b\",\"tokens\":1}\n\n"
#define ENGINE_LOW  "data: {\"seq\":1,\"text\":\"b\",\"tokens\":1}\n\n"
#define ENGINE_HIGH "data: {\"seq\":9,\"text\":\"b\",\"tokens\":1}\n\n"
#define ENGINE_3    "data: {\"seq\":3,\"text\":\"c\",\"tokens\":1}\n\n"
#define ENGINE_END                                                   \
	"data: {\"seq\":4,\"done\":true,\"finish_reason\":\"stop\"}" \
	"\n\n"
#define ENGINE_EARLY_END "data: {\"seq\":2,\"done\":true}\n\n"
#define ALIVE		 .bytes = OK "\r\n{\"state\":\"warm\"}"

/* A sidecar's engine: the POST of a run, a status query, a resumption. */
static const struct engine_case {
	const char *name;
	struct raw_response responses[SENDS_MAX];
} engine_cases[] = {
    {"an engine's sequence number that is too low hides no text",
	{{.bytes = OK "\r\n" ENGINE_1 ENGINE_LOW ENGINE_3 ENGINE_END}, {ALIVE},
	    {.bytes = OK "\r\n" ENGINE_1 ENGINE_2 ENGINE_3 ENGINE_END}}},
    {"an engine's sequence number that is too high hides no text",
	{{.bytes = OK "\r\n" ENGINE_1 ENGINE_HIGH ENGINE_3 ENGINE_END}, {ALIVE},
	    {.bytes = OK "\r\n" ENGINE_2 ENGINE_3 ENGINE_END}}},
    {"an end before a part of an event does not hide it",
	{{.bytes = OK "\r\n" ENGINE_1 ENGINE_EARLY_END "data: {\"seq\":2"},
	    {ALIVE}, {.bytes = OK "\r\n" ENGINE_2 ENGINE_3 ENGINE_END}}},
};

/* A run at an engine. */
struct run_result {
	GString *text;
	bool ended;
};

/* Appends the text of an event. */
static void
on_run_event(void *data, const struct upstream_event *event)
{
	struct run_result *result = data;

	g_string_append_len(
	    result->text, (const char *)event->data, (gssize)event->length);
}

/* The run has ended without an error. */
static void
on_run_end(void *data, const struct upstream_end *end)
{
	g_assert_no_error(end->error);
	((struct run_result *)data)->ended = true;
}

/* Runs one case. */
static void
test_engine(gconstpointer data)
{
	static const struct upstream_call_ops ops = {on_run_event, on_run_end};
	static const struct upstream_request request = {.work = WORK_GENERATE,
	    .id = "r1",
	    .method = "POST",
	    .path = "/x",
	    .body = (const uint8_t *)"asked",
	    .body_length = 5};
	const struct engine_case *c = &engine_cases[GPOINTER_TO_SIZE(data)];
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct http_client *http = http_client_new(loop, NULL);
	struct raw_server *server = raw_server_new(
	    loop, c->responses, SENDS_MAX);
	g_autofree char *url = g_strdup_printf(
	    "http://127.0.0.1:%d", raw_server_port(server, 0));
	struct upstream *upstream = upstream_engine_new(http, url);
	struct run_result result = {.text = g_string_new(NULL)};

	upstream_start(upstream, &request, &ops, &result);
	while (!result.ended)
		ev_run(loop, EVRUN_ONCE);
	g_assert_cmpstr(result.text->str, ==, "abc");
	g_string_free(result.text, TRUE);
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
	ADD_CASES(cases, "/wrong_event_id", test_stream);
	ADD_CASES(engine_cases, "/wrong_event_id", test_engine);
	return g_test_run();
}
