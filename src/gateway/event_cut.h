/*
 * Cuts a text/event-stream into whole events without changing a byte, so that
 * an event is passed on either whole or not at all, and a stream that breaks
 * off can go on elsewhere after its last whole event.
 */
#ifndef GATEWAY_EVENT_CUT_H
#define GATEWAY_EVENT_CUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/* A longer event is passed on in pieces and can't be resumed after. */
#define EVENT_CUT_MAX_BYTES ((size_t)1024 * 1024)

struct event_cut {
	GByteArray *held; /* the beginning of an event */
};

/* One whole event, its empty line included. */
typedef void event_cut_fn(
    void *data, const uint8_t *bytes, size_t length, bool has_id, uint64_t id);

void event_cut_init(struct event_cut *);
void event_cut_clear(struct event_cut *);
void event_cut_feed(
    struct event_cut *, const uint8_t *, size_t, event_cut_fn *, void *data);
void event_cut_restart(struct event_cut *);

#endif
