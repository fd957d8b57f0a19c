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
on_event(
    void *data, const uint8_t *bytes, size_t length, bool has_id, uint64_t id)
{
	struct split_events *split_events = data;

	split_events->events++;
	if (has_id)
		split_events->last_id = id;
	g_string_append_len(
	    split_events->bytes, (const char *)bytes, (gssize)length);
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

static const struct comment_case {
	const char *name;
	const char *bytes;
	bool is_comment;
} comment_cases[] = {
    {"a comment", ": x\n\n", true},
    {"two comment lines", ": x\n: y\r\n\r\n", true},
    {"an empty line", "\n\n", true},
    {"a field", "data: x\n\n", false},
    {"a field after a comment line", ": x\ndata: y\n\n", false},
};

/* Only an event without any field is a comment. */
static void
test_comment(gconstpointer data)
{
	const struct comment_case *c = &comment_cases[GPOINTER_TO_SIZE(data)];

	g_assert_cmpint(event_splitter_is_comment(
			    (const uint8_t *)c->bytes, strlen(c->bytes)),
	    ==, c->is_comment);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/event_splitter", test_split);
	ADD_CASES(comment_cases, "/event_splitter/comment", test_comment);
	return g_test_run();
}
