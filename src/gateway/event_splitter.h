/*
 * Splits a text/event-stream into events, byte for byte as received, and reads
 * what tells whether an event is one of the run. Each event is forwarded
 * completely or not at all, so that an interrupted stream can be resumed at
 * another upstream after its last complete event.
 */
#ifndef GATEWAY_EVENT_SPLITTER_H
#define GATEWAY_EVENT_SPLITTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* A longer event is an error: it may have no end. */
#define EVENT_SPLITTER_MAX_BYTES ((size_t)1024 * 1024)

struct event_splitter {
	GByteArray *buffer; /* start of an event that is still incomplete */
};

struct stream_event {
	const uint8_t *bytes; /* its terminating empty line included */
	size_t length;
	bool is_blank; /* comments and settings only; callers see no event */
	bool has_id; /* that is a number */
	uint64_t id; /* the last one, if there are several */
	bool is_malformed; /* has lines that no event of an upstream has */
};

/* Called with each complete event. */
typedef void event_splitter_fn(void *data, const struct stream_event *);

void event_splitter_init(struct event_splitter *);
void event_splitter_clear(struct event_splitter *);
bool event_splitter_feed(struct event_splitter *, const uint8_t *, size_t,
    event_splitter_fn *, void *data);
bool event_splitter_is_in_event(const struct event_splitter *);
void event_splitter_reset(struct event_splitter *);

#endif
