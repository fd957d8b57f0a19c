/*
 * How the streams of a route number their events, learned from those that were
 * complete.
 *
 * Load pattern: an upstream now and then adds bytes to a stream that its run
 * did not make, also before the first event. Nothing in that stream tells an
 * event that was added from the first one; earlier streams of the route do. A
 * route whose streams change is learned anew after a few in doubt.
 */
#ifndef POLICY_EVENT_NUMBERING_H
#define POLICY_EVENT_NUMBERING_H

#include <stdbool.h>
#include <stdint.h>

/* So many streams in doubt without a complete one: the route has changed. */
#define EVENT_NUMBERING_DOUBTS_MAX 3

enum event_numbering_kind {
	EVENT_NUMBERING_UNKNOWN,
	EVENT_NUMBERING_IDS,
	EVENT_NUMBERING_NONE, /* events have no ids */
};

/* Zero-initialised: a route without a complete stream so far. */
struct event_numbering {
	enum event_numbering_kind kind; /* of the last complete stream */
	bool has_first;
	uint64_t first_min; /* of the ids with which streams began */
	uint64_t first_max;
	uint64_t step; /* largest distance of two ids; 0 if unknown */
	uint32_t doubts; /* sends in doubt since the last complete stream */
};

void event_numbering_add_stream(
    struct event_numbering *, bool has_first, uint64_t first, uint64_t step);
void event_numbering_add_unnumbered(struct event_numbering *);
void event_numbering_add_doubt(struct event_numbering *);
bool event_numbering_is_first(const struct event_numbering *, uint64_t id);
bool event_numbering_is_next(
    const struct event_numbering *, uint64_t last, uint64_t step, uint64_t id);
bool event_numbering_has_one_first(const struct event_numbering *);
bool event_numbering_is_outdated(const struct event_numbering *);

#endif
