/*
 * Cuts a text/event-stream into whole events without changing a byte, so that
 * an event is passed on either whole or not at all, and a stream that breaks
 * off can go on elsewhere after its last whole event.
 */
#ifndef GATEWAY_EVENT_SPLITTER_H
#define GATEWAY_EVENT_SPLITTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* A longer event is passed on in pieces and can't be resumed after. */
#define EVENT_SPLITTER_MAX_BYTES ((size_t)1024 * 1024)

struct event_splitter {
	GByteArray *buffer; /* the beginning of an event */
};

/* One whole event, its empty line included. */
typedef void event_splitter_fn(
    void *data, const uint8_t *bytes, size_t length, bool has_id, uint64_t id);

void event_splitter_init(struct event_splitter *);
void event_splitter_clear(struct event_splitter *);
void event_splitter_feed(struct event_splitter *, const uint8_t *, size_t,
    event_splitter_fn *, void *data);
void event_splitter_reset(struct event_splitter *);

#endif
