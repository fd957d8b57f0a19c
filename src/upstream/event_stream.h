/* Decodes text/event-stream (server-sent events) into the data of events. */
#ifndef UPSTREAM_EVENT_STREAM_H
#define UPSTREAM_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* Longest accepted line. */
#define EVENT_STREAM_LINE_MAX_BYTES (4 * 1024 * 1024)

struct event_stream {
	GString *line;
	GString *data;
	const char *fault; /* of the bytes, if they stopped the decoder */
};

/* Where a stream that is not decoded stands; zero before its first byte. */
struct event_stream_position {
	bool in_line; /* its current line is not empty */
	bool in_event; /* an empty line has yet to end the last event */
};

/* The data of one event, its lines joined; false stops the decoder. */
typedef bool event_stream_fn(void *data, const char *text, size_t length);

void event_stream_init(struct event_stream *);
void event_stream_clear(struct event_stream *);
bool event_stream_feed(struct event_stream *, const uint8_t *, size_t,
    event_stream_fn *, void *data);
bool event_stream_is_between_events(const struct event_stream *);
void event_stream_advance(
    struct event_stream_position *, const uint8_t *, size_t length);

#endif
