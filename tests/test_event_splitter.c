/*
 * An event stream is split into complete events, whatever the sizes of the
 * pieces in which its bytes arrive.
 */
#include <string.h>

#include <glib.h>

#include "cases.h"
#include "gateway/event_splitter.h"

static const struct split_case {
	const char *name;
	const char *bytes;
	int events;
	uint64_t last_id; /* 0 for none */
	size_t remaining; /* bytes after the last complete event */
	bool in_event; /* and they have begun another one */
} cases[] = {
    {"one event", "id: 3\ndata: x\n\n", 1, 3, 0, false},
    {"two events", "id: 3\ndata: x\n\nid: 4\ndata: y\n\n", 2, 4, 0, false},
    {"an incomplete event", "id: 3\ndata: x\n\nid: 4\nda", 1, 3, 8, true},
    {"an event without id", "data: x\n\n", 1, 0, 0, false},
    {"lines that end with CR LF", "id: 12\r\ndata: x\r\n\r\n", 1, 12, 0, false},
    {"an id after the data", "data: x\nid:7\n\n", 1, 7, 0, false},
    {"the last id of an event counts", "id: 3\ndata: x\nid: 4\n\n", 1, 4, 0,
	false},
    {"an id that is not a number", "id: x\ndata: y\n\n", 1, 0, 0, false},
    {"nothing", "", 0, 0, 0, false},
    {"an empty line after an event", "id: 3\ndata: x\n\n\n", 1, 3, 1, false},
    {"an empty line that ends with CR LF after an event",
	"id: 3\ndata: x\n\n\r\n", 1, 3, 2, false},
    {"an event whose empty line is missing", "id: 3\ndata: x\n", 0, 0, 14,
	true},
    {"an empty line before an event", "\nid: 3\ndata: x\n\n", 1, 3, 0, false},
};

struct split_events {
	int events;
	GString *bytes;
	uint64_t last_id; /* of the last event with an id; 0 before */
};

/* Appends one event and counts it. */
static void
on_event(void *data, const struct stream_event *event)
{
	struct split_events *split_events = data;

	split_events->events++;
	if (event->has_id)
		split_events->last_id = event->id;
	g_string_append_len(split_events->bytes, (const char *)event->bytes,
	    (gssize)event->length);
}

/* Feeds a case's bytes in pieces of every size; the events are the same. */
static void
test_split(gconstpointer data)
{
	const struct split_case *c = &cases[GPOINTER_TO_SIZE(data)];
	size_t length = strlen(c->bytes);

	for (size_t step = 1; step <= length + 1; step++) {
		struct split_events split_events = {
		    .bytes = g_string_new(NULL)};
		struct event_splitter splitter;

		event_splitter_init(&splitter);
		for (size_t at = 0; at < length; at += step)
			event_splitter_feed(&splitter,
			    (const uint8_t *)c->bytes + at,
			    MIN(step, length - at), on_event, &split_events);
		g_assert_cmpint(split_events.events, ==, c->events);
		g_assert_cmpuint(splitter.buffer->len, ==, c->remaining);
		g_assert_cmpint(
		    event_splitter_is_in_event(&splitter), ==, c->in_event);
		g_assert_cmpuint(
		    split_events.bytes->len + c->remaining, ==, length);
		g_assert_true(memcmp(split_events.bytes->str, c->bytes,
				  split_events.bytes->len) == 0);
		g_assert_cmpuint(split_events.last_id, ==, c->last_id);
		event_splitter_reset(&splitter);
		g_assert_cmpuint(splitter.buffer->len, ==, 0);
		event_splitter_clear(&splitter);
		g_string_free(split_events.bytes, TRUE);
	}
}

static const struct line_case {
	const char *name;
	const char *bytes;
	bool is_blank;
	bool is_malformed;
} line_cases[] = {
    {"a comment is no event", ": x\n\n", true, false},
    {"two comment lines are no event", ": x\n: y\r\n\r\n", true, false},
    {"an empty line is no event", "\n\n", true, false},
    {"a time to retry after is no event", "retry: 10\n\n", true, false},
    {"a type without data is no event", "event: x\n\n", true, false},
    {"data is an event", "data: x\n\n", false, false},
    {"data without a value is an event", "data\n\n", false, false},
    {"data after a comment line is an event", ": x\ndata: y\n\n", false, false},
    {"an event may have all fields",
	"event: x\nid: 1\ndata: y\ndata: z\nretry: 1\n\n", false, false},
    {"an event may have the platform's line",
	"heatherturn-weight-versions: 2\nid: 1\ndata: x\n\n", false, false},
    {"other bytes are malformed", "bytes\n\n", false, true},
    {"a name that only begins with a field's is malformed",
	"idx: 1\nid: 1\ndata: x\n\n", false, true},
    {"a line before an event is malformed", "bytes\r\nid: 1\r\ndata: x\r\n\r\n",
	false, true},
    {"bytes before the first line are malformed", "bytesid: 1\ndata: x\n\n",
	false, true},
    {"two ids are malformed", "id: 1\ndata: x\nid: 2\n\n", false, true},
    {"a comment in an event with an id is malformed",
	"id: 1\ndata: x\n:id: 2\ndata: y\n\n", false, true},
    {"a line with a CR inside is malformed", "id: 1\ndata: x\rid: 2\n\n", false,
	true},
    {"an id without data is malformed", "id: 1\n\n", false, true},
    {"an id without data and value is malformed", "id\n\n", false, true},
};

/* Checks what the lines of one event say of it. */
static void
check_lines(void *data, const struct stream_event *event)
{
	const struct line_case *c = data;

	g_assert_cmpint(event->is_blank, ==, c->is_blank);
	g_assert_cmpint(event->is_malformed, ==, c->is_malformed);
	g_assert_cmpuint(event->length, ==, strlen(c->bytes));
}

/* Reads the lines of an event. */
static void
test_lines(gconstpointer data)
{
	struct line_case c = line_cases[GPOINTER_TO_SIZE(data)];
	struct event_splitter splitter;

	event_splitter_init(&splitter);
	g_assert_true(event_splitter_feed(&splitter, (const uint8_t *)c.bytes,
	    strlen(c.bytes), check_lines, &c));
	g_assert_cmpuint(splitter.buffer->len, ==, 0);
	event_splitter_clear(&splitter);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/event_splitter", test_split);
	ADD_CASES(line_cases, "/event_splitter", test_lines);
	return g_test_run();
}
