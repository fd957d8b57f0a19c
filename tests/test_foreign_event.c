/*
 * Streams to which an upstream adds bytes that its run did not make, through a
 * whole gateway. Guards against added bytes that reach the caller of a stream
 * that numbers its events, and against streams without a fault that are changed
 * or cut.
 */
#include <string.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"
#include "raw_responses.h"
#include "raw_server.h"

#define SENDS_MAX 6
#define EVENTS	  3
/* After so many complete streams it is known how a route numbers events. */
#define LEARNED_STREAMS EVENT_NUMBERING_STREAMS_MIN
#define EVENT_BYTES	(sizeof(E1) - 1)
#define EVENT(id)	"id: " #id "\ndata: " #id "\n\n"
#define FOREIGN		"data: x\n\n"
#define E1_CR_LF	"id: 1\r\ndata: 1\r\n\r\n"
#define WEIGHTS		"heatherturn-weight-versions: 2\n"

/* How the upstream frames a response whose body has three parts. */
enum framing {
	FRAMING_CHUNKS, /* one for each part */
	FRAMING_JOINED, /* the second part shares a chunk */
	FRAMING_CLOSE, /* the end of the connection */
	FRAMING_LENGTH,
	FRAMINGS,
};

static const char *const framing_names[FRAMINGS] = {
    [FRAMING_CHUNKS] = "chunks",
    [FRAMING_JOINED] = "a shared chunk",
    [FRAMING_CLOSE] = "a body without a length",
    [FRAMING_LENGTH] = "a body with a length",
};

static const struct route_case {
	const char *path;
	bool resumes;
} routes[] = {{"/stream/x", true}, {"/fragile/x", false}};

/* What the run of an upstream sends: the events of one without a fault. */
static const char run_events[] = E1 E2 E3;

struct parts {
	const char *before;
	const char *added;
	const char *after;
};

/* What the upstreams send, and on which route. */
struct sent {
	struct parts parts;
	const char *other_run; /* sent by all but the first upstream asked */
	const char *after; /* last event id that the second one is asked */
	enum framing framing;
	const char *path;
	bool is_learned; /* the route has had complete runs before */
};

enum end {
	END_COMPLETE,
	END_CUT,
	END_EITHER,
};

/* What a caller may receive. */
struct expected {
	const char *body; /* a stream that is cut may have less of it */
	enum end end;
	size_t arrivals_min;
	size_t arrivals_max;
};

/* A gateway whose upstreams send given responses. */
struct stream_fixture {
	struct fixture f;
	struct raw_server *server;
	struct raw_response responses[SENDS_MAX];
	GPtrArray *texts; /* their bytes */
};

/* Appends a chunk, unless it would be the last one. */
static void
append_chunk(GString *text, const char *first, const char *second)
{
	size_t length = strlen(first) + strlen(second);

	if (length > 0)
		g_string_append_printf(
		    text, "%zx\r\n%s%s\r\n", length, first, second);
}

/*
 * Returns the bytes of a response. A shared chunk has the added part and the
 * one after it, or the one before if none follows.
 */
static char *
make_response(enum framing framing, const struct parts *parts)
{
	GString *text = g_string_new(OK STREAM);
	bool joins = framing == FRAMING_JOINED;
	bool is_last = parts->after[0] == '\0';

	if (framing == FRAMING_CHUNKS || joins) {
		g_string_append(text, CHUNKED "\r\n");
		append_chunk(
		    text, parts->before, joins && is_last ? parts->added : "");
		append_chunk(text, joins ? "" : parts->added, "");
		append_chunk(
		    text, joins && !is_last ? parts->added : "", parts->after);
		g_string_append(text, "0\r\n\r\n");
		return g_string_free(text, FALSE);
	}
	if (framing == FRAMING_LENGTH)
		g_string_append_printf(text, "Content-Length: %zu\r\n",
		    strlen(parts->before) + strlen(parts->added) +
			strlen(parts->after));
	g_string_append_printf(
	    text, "\r\n%s%s%s", parts->before, parts->added, parts->after);
	return g_string_free(text, FALSE);
}

/* Adds the next response of the upstreams. */
static void
add_response(
    struct stream_fixture *s, enum framing framing, const struct parts *parts)
{
	char *text = make_response(framing, parts);

	s->responses[s->texts->len].bytes = text;
	g_ptr_array_add(s->texts, text);
}

/* Starts a gateway whose upstreams send the responses. */
static void
start(struct stream_fixture *s)
{
	fixture_set_up(&s->f);
	s->server = raw_server_new(s->f.loop, s->responses, SENDS_MAX);
	for (size_t i = 0; i < RAW_SERVER_PORTS; i++)
		fake_platform_set_upstream_port(
		    s->f.fake_platform, i, raw_server_port(s->server, i));
	fixture_wait_for_routing_state(&s->f);
}

/* Starts a gateway whose upstreams send a stream and then others. */
static void
set_up(struct stream_fixture *s, const struct sent *sent)
{
	const struct parts other = {sent->other_run, "", ""};

	s->texts = g_ptr_array_new_with_free_func(g_free);
	for (int i = 0; sent->is_learned && i < LEARNED_STREAMS; i++)
		add_response(s, FRAMING_LENGTH, &(struct parts){E1, E2, E3});
	add_response(s, sent->framing, &sent->parts);
	s->responses[s->texts->len].after = sent->after;
	while (s->texts->len < SENDS_MAX)
		add_response(s, FRAMING_LENGTH, &other);
	start(s);
}

/*
 * Returns whether the caller's body is as expected: all of it if the stream is
 * complete, and whole events from its start if it is cut.
 */
static bool
is_expected(
    const struct fixture *f, const char *body, const struct expected *expected)
{
	if (f->aborted)
		return expected->end != END_COMPLETE &&
		    g_str_has_prefix(expected->body, body) &&
		    (body[0] == '\0' || g_str_has_suffix(body, "\n\n"));
	return expected->end != END_CUT && f->status == 200 &&
	    strcmp(body, expected->body) == 0;
}

/* Sends a request and checks its stream; place says what was added to it. */
static void
check_stream(struct stream_fixture *s, const struct sent *sent,
    const struct expected *expected, const char *place)
{
	struct fixture *f = &s->f;
	size_t before = raw_server_requests(s->server);
	g_autoptr(GString) body = g_string_new(NULL);
	g_autofree char *text = NULL;
	size_t arrivals;

	f->done = false;
	g_byte_array_set_size(f->body, 0);
	fixture_call(f, sent->path, FIXTURE_KEY);
	RUN_UNTIL(f, f->done);
	g_string_append_len(body, (const char *)f->body->data, f->body->len);
	arrivals = raw_server_requests(s->server) - before;
	if (arrivals >= expected->arrivals_min &&
	    arrivals <= expected->arrivals_max &&
	    is_expected(f, body->str, expected))
		return;
	text = g_strescape(body->str, NULL);
	g_error("%s, %s, %s: %s with status %d after %zu arrivals: %s", place,
	    framing_names[sent->framing], sent->path,
	    f->aborted ? "cut" : "complete", f->status, arrivals, text);
}

/* Checks one stream of a gateway of its own. */
static void
run_stream(
    const struct sent *sent, const struct expected *expected, const char *place)
{
	const struct expected complete = {run_events, END_COMPLETE, 1, 1};
	struct stream_fixture s = {0};

	set_up(&s, sent);
	for (int i = 0; sent->is_learned && i < LEARNED_STREAMS; i++)
		check_stream(&s, sent, &complete, "complete run");
	check_stream(&s, sent, expected, place);
	raw_server_free(s.server);
	fixture_tear_down(&s.f);
	g_ptr_array_unref(s.texts);
}

static const struct added_case {
	const char *name;
	const char *bytes; /* NULL for those of the event before */
	bool numbered; /* they follow a line with an id */
	int offset; /* of that id from the id of the event before */
	size_t first_place; /* events before them, at least */
	bool takes_next; /* they look like the next event */
} added_cases[] = {
    {"an event without an id is not passed on", .bytes = FOREIGN},
    {"an event with an empty id is not passed on", .bytes = "id:\n" FOREIGN},
    {"an event whose id is a space is not passed on",
	.bytes = "id: \n" FOREIGN},
    {"an event whose id is no number is not passed on",
	.bytes = "id: 2x\n" FOREIGN},
    {"an event whose id is below zero is not passed on",
	.bytes = "id: -1\n" FOREIGN},
    {"an event whose id is above 64 bits is not passed on",
	.bytes = "id: 99999999999999999999\n" FOREIGN},
    {"an event whose id is far too high is not passed on",
	.bytes = "id: 90\n" FOREIGN},
    {"an event with the id of the one before is not passed on",
	.bytes = FOREIGN, .numbered = true, .first_place = 1},
    {"an event that comes twice is passed on once", .bytes = NULL,
	.first_place = 1},
    {"an event with a lower id is not passed on", .bytes = FOREIGN,
	.numbered = true, .offset = -1, .first_place = 1},
    {"an event with the id of the next one ends no complete stream",
	.bytes = FOREIGN, .numbered = true, .offset = 1, .takes_next = true},
    {"an event with an id and no data is not passed on", .bytes = "\n",
	.numbered = true, .offset = 1},
    {"plain bytes with an empty line are not passed on", .bytes = "x y\n\n"},
    {"a plain line before an event is not passed on", .bytes = "x y\n"},
    {"plain bytes before an event's first line are not passed on",
	.bytes = "x y"},
    {"half an event is not passed on", .bytes = "id: 9\nda"},
    {"an error event without an id is not passed on",
	.bytes = "event: error\n" FOREIGN},
};

/* Returns the bytes that a case adds behind so many events. */
static char *
make_added(const struct added_case *c, size_t place)
{
	if (c->bytes == NULL)
		return g_strndup(
		    run_events + (place - 1) * EVENT_BYTES, EVENT_BYTES);
	if (!c->numbered)
		return g_strdup(c->bytes);
	return g_strdup_printf("id: %d\n%s", (int)place + c->offset, c->bytes);
}

/*
 * Sends a stream with bytes added behind so many events. Another run goes on
 * behind the last sure event. It repeats that one if the added event has the
 * same id, or if the first run ended after the added one, to show the end. An
 * event that takes the id of the next one has been passed on when that comes:
 * the stream is cut behind it. A run that ends inside an event has not ended
 * completely, so another one need not end the stream.
 */
static void
check_place(const struct added_case *c, size_t place, enum framing framing,
    const struct route_case *route)
{
	g_autofree char *added = make_added(c, place);
	bool is_open = !g_str_has_suffix(added, "\n\n");
	bool repeats = place == EVENTS || (is_open && place == EVENTS - 1) ||
	    c->bytes == NULL || (c->numbered && c->offset == 0);
	const char *after = run_events + place * EVENT_BYTES;
	size_t last = place - (repeats ? 1 : 0);
	g_autofree char *before = g_strndup(run_events, place * EVENT_BYTES);
	g_autofree char *sure = g_strconcat(
	    before, c->takes_next ? added : "", NULL);
	g_autofree char *last_id = last == 0 ? g_strdup("")
					     : g_strdup_printf("%zu", last);
	g_autofree char *place_name = g_strdup_printf(
	    "added behind %zu events", place);
	const struct sent sent = {.parts = {before, added, after},
	    .other_run = run_events + last * EVENT_BYTES,
	    .after = is_open && place == EVENTS ? NULL : last_id,
	    .framing = framing,
	    .path = route->path};
	struct expected expected = {sure, END_CUT, 1, 1};

	if (route->resumes && place == EVENTS && is_open)
		expected = (struct expected){sure, END_EITHER, 2, SENDS_MAX};
	else if (route->resumes && c->takes_next)
		expected = (struct expected){sure, END_CUT, 2, 2};
	else if (route->resumes)
		expected = (struct expected){run_events, END_COMPLETE, 2, 2};
	run_stream(&sent, &expected, place_name);
}

/*
 * Adds the bytes of one case at each place, in each framing, on each route.
 * Behind the last event, one with the next id can't be told from the run's.
 */
static void
test_added(gconstpointer data)
{
	const struct added_case *c = &added_cases[GPOINTER_TO_SIZE(data)];
	size_t last_place = c->takes_next ? EVENTS - 1 : EVENTS;

	for (size_t place = c->first_place; place <= last_place; place++) {
		for (size_t i = 0; i < FRAMINGS * G_N_ELEMENTS(routes); i++)
			check_place(
			    c, place, i % FRAMINGS, &routes[i / FRAMINGS]);
	}
}

/*
 * Streams without a fault. Another run, if it may be asked, goes on behind the
 * first part, or repeats its last event if only one event follows.
 */
static const struct kept_case {
	const char *name;
	struct parts parts;
	bool asks; /* another run may be asked */
	bool resumes; /* only on a route that can be resumed */
	bool is_framed; /* only where the connection does not end the body */
} kept_cases[] = {
    {"a stream that numbers no events stays whole",
	.parts = {"data: a\n\n", "event: b\ndata: b\n\n", "data: c\n\n"}},
    {"a stream of two events without ids stays whole",
	.parts = {"data: a\n\n", "data: b\n\n", ""}},
    {"a stream of one event without an id stays whole",
	.parts = {"", "data: a\n\n", ""}, .is_framed = true},
    {"one event without an id and without a length stays whole if runs agree",
	.parts = {"", "data: a\n\n", ""}, .asks = true, .resumes = true},
    {"a comment before the first event is passed on",
	.parts = {": c\n\n", E1, E2 E3}},
    {"a comment between events is passed on", .parts = {E1, ": c\n\n", E2 E3}},
    {"a comment after the last event is passed on",
	.parts = {E1 E2 E3, ": c\n\n", ""}},
    {"a comment keeps its place behind a first event without an id",
	.parts = {"data: a\n\n", ": c\n\n", "data: b\n\n"}},
    {"a retry time before the first event is passed on",
	.parts = {"retry: 10\n\n", E1, E2 E3}},
    {"a retry time between events is passed on",
	.parts = {E1, "retry: 10\n\n", E2 E3}},
    {"a retry time after the last event is passed on",
	.parts = {E1 E2 E3, "retry: 10\n\n", ""}},
    {"a type without data between events is passed on",
	.parts = {E1, "event: a\n\n", E2 E3}},
    {"a comment, a type and a retry time within an event are passed on",
	.parts = {E1, ": c\nevent: a\nretry: 10\n" E2, E3}},
    {"a line of the weights' version in the first event is passed on",
	.parts = {"", WEIGHTS E1, E2 E3}},
    {"a line of the weights' version in a later event is passed on",
	.parts = {E1, WEIGHTS E2, WEIGHTS E3}},
    {"lines may end with CR LF", .parts = {E1_CR_LF, ": c\r\n\r\n", E2 E3}},
    {"ids may start at 0", .parts = {EVENT(0), E1, E2 E3}},
    {"ids may start at 40", .parts = {"", EVENT(40), EVENT(41) EVENT(42)},
	.asks = true},
    {"ids may be 10 apart", .parts = {E1, EVENT(11), EVENT(21) EVENT(31)},
	.asks = true},
    {"ids may start at 10 and be 10 apart",
	.parts = {"", EVENT(10), EVENT(20) EVENT(30)}, .asks = true},
    {"ids may jump if runs agree", .parts = {E1 E2, EVENT(40), EVENT(41)},
	.asks = true},
    {"ids may jump several times after an agreed jump",
	.parts = {E1 E2, EVENT(40) EVENT(41),
	    EVENT(90) EVENT(91) EVENT(300) EVENT(301)},
	.asks = true},
    {"a last event without an id is passed on if runs agree",
	.parts = {E1 E2 E3, FOREIGN, ""}, .asks = true, .resumes = true},
    {"a last id that is far higher is passed on if runs agree",
	.parts = {E1 E2 E3, EVENT(90), ""}, .asks = true, .resumes = true},
    {"a line of no known field is passed on if runs agree",
	.parts = {E1, "x y\n" E2, E3}, .asks = true, .resumes = true},
};

/* Runs one case in each framing on each route. */
static void
test_kept(gconstpointer data)
{
	const struct kept_case *c = &kept_cases[GPOINTER_TO_SIZE(data)];
	g_autofree char *body = g_strconcat(
	    c->parts.before, c->parts.added, c->parts.after, NULL);
	size_t other = strlen(c->parts.before);

	if (c->parts.after[0] == '\0' && other > 0)
		other -= MIN(other, EVENT_BYTES);
	for (size_t i = 0; i < FRAMINGS * G_N_ELEMENTS(routes); i++) {
		const struct route_case *route = &routes[i / FRAMINGS];
		const struct sent sent = {.parts = c->parts,
		    .other_run = body + other,
		    .framing = i % FRAMINGS,
		    .path = route->path};
		const struct expected expected = {
		    body, END_COMPLETE, 1, route->resumes && c->asks ? 2 : 1};

		if ((!c->resumes || route->resumes) &&
		    (!c->is_framed || sent.framing != FRAMING_CLOSE))
			run_stream(&sent, &expected, c->name);
	}
}

/*
 * The route has had complete streams whose ids start at 1. Ids that increase
 * are all that upstreams promise, so other ones are no fault.
 */
static const struct learned_case {
	const char *name;
	struct parts parts;
	const char *body; /* all of it, or what comes before a cut */
	enum end end;
} learned_cases[] = {
    {"a first id above the route's is refuted by a lower one",
	{"", EVENT(90), E1 E2 E3}, "", END_CUT},
    {"first ids above the route's are passed on",
	{EVENT(90), EVENT(91), EVENT(92)}, EVENT(90) EVENT(91) EVENT(92),
	END_COMPLETE},
    {"a first id below the route's is passed on", {"", EVENT(0), E1 E2 E3},
	EVENT(0) E1 E2 E3, END_COMPLETE},
    {"a route's first event is not without an id", {"", FOREIGN, E1 E2 E3}, "",
	END_CUT},
    {"a route's only event is not without an id", {FOREIGN, "", ""}, "",
	END_CUT},
    {"ids further apart than the route's are passed on",
	{E1 E2, EVENT(40), EVENT(41)}, E1 E2 EVENT(40) EVENT(41), END_COMPLETE},
    {"ids further apart than the route's are refuted by a lower one",
	{E1 E2, EVENT(40), E3}, E1 E2, END_CUT},
    {"events of several tokens are passed on",
	{"", EVENT(51) EVENT(102), EVENT(153)}, EVENT(51) EVENT(102) EVENT(153),
	END_COMPLETE},
    {"one event of several tokens is passed on", {"", EVENT(51), ""}, EVENT(51),
	END_COMPLETE},
};

/* Runs one case in each framing, on a route that can't be resumed. */
static void
test_learned(gconstpointer data)
{
	const struct learned_case *c = &learned_cases[GPOINTER_TO_SIZE(data)];
	const struct expected expected = {c->body, c->end, 1, 1};

	for (enum framing i = 0; i < FRAMINGS; i++) {
		const struct sent sent = {.parts = c->parts,
		    .other_run = run_events,
		    .framing = i,
		    .path = "/fragile/x",
		    .is_learned = true};

		run_stream(&sent, &expected, c->name);
	}
}

/* Responses to a request for a stream that are of another type. */
static const struct type_case {
	const char *name;
	const char *first;
	const char *second;
	bool is_known; /* the route has had complete streams before */
	const char *body;
	size_t arrivals;
} type_cases[] = {
    {"half a stream of another type is not passed on",
	OK TEXT "\r\n" E1 "id: 2\nda", OK STREAM "\r\n" E1 E2 E3, true,
	E1 E2 E3, 2},
    {"a response of another type is passed on if runs agree",
	OK TEXT "\r\nwhole", OK TEXT "\r\nwhole", true, "whole", 2},
    {"a response of another type is passed on where no stream was before",
	OK TEXT "\r\nwhole", NULL, false, "whole", 1},
};

/* Runs one case on a route that can be resumed. */
static void
test_type(gconstpointer data)
{
	const struct type_case *c = &type_cases[GPOINTER_TO_SIZE(data)];
	const struct sent sent = {.path = "/stream/x"};
	const struct expected complete = {run_events, END_COMPLETE, 1, 1};
	const struct expected expected = {
	    c->body, END_COMPLETE, c->arrivals, c->arrivals};
	struct stream_fixture s = {0};
	size_t count = 0;

	while (c->is_known && count < LEARNED_STREAMS)
		s.responses[count++].bytes = OK STREAM "\r\n" E1 E2 E3;
	s.responses[count++].bytes = c->first;
	s.responses[count].bytes = c->second;
	start(&s);
	for (int i = 0; c->is_known && i < LEARNED_STREAMS; i++)
		check_stream(&s, &sent, &complete, "complete run");
	check_stream(&s, &sent, &expected, c->name);
	raw_server_free(s.server);
	fixture_tear_down(&s.f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(added_cases, "/foreign_event", test_added);
	ADD_CASES(kept_cases, "/foreign_event", test_kept);
	ADD_CASES(learned_cases, "/foreign_event", test_learned);
	ADD_CASES(type_cases, "/foreign_event", test_type);
	return g_test_run();
}
