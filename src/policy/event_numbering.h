/*
 * How the streams of a route number their events, learned from those that were
 * complete.
 *
 * Load pattern: an upstream now and then adds bytes to a stream that its run
 * did not make, also before the first event. Nothing in that stream tells an
 * event that was added from the first one; earlier streams of the route do. Any
 * of them may be wrong too, so a larger distance of ids counts only once
 * EVENT_NUMBERING_STREAMS_MIN streams in a row have had it. A route whose
 * streams change is learned anew after some that were cut.
 */
#ifndef POLICY_EVENT_NUMBERING_H
#define POLICY_EVENT_NUMBERING_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The route has changed if so many streams in a row were cut because of an
 * event in doubt.
 */
#define EVENT_NUMBERING_DOUBTS_MAX 8

/*
 * Complete streams of which a route is known; for a distance of ids, so many in
 * a row.
 */
#define EVENT_NUMBERING_STREAMS_MIN 3
/*
 * Where distances vary, an id may be so many times further from the last one
 * than usual.
 */
#define EVENT_NUMBERING_VARIED_FACTOR 16

/* Zero-initialised: a route without a complete stream so far. */
struct event_numbering {
	uint32_t streams; /* with ids, that were complete */
	uint32_t unnumbered; /* without ids */
	bool has_first;
	uint64_t first_min; /* of the ids with which streams began */
	uint64_t first_max;
	uint64_t step; /* largest usual distance of two ids; 0 if unknown */
	uint32_t wider; /* last streams in a row with a larger one */
	uint64_t wider_step; /* that all of these had */
	uint32_t varied; /* last streams in a row with different distances */
	uint32_t doubts; /* streams cut in doubt since the last complete one */
};

void event_numbering_add_first(struct event_numbering *, uint64_t id);
void event_numbering_add_stream(
    struct event_numbering *, uint64_t step_min, uint64_t step_max);
void event_numbering_add_unnumbered(struct event_numbering *);
void event_numbering_add_doubt(struct event_numbering *);
bool event_numbering_is_first(const struct event_numbering *, uint64_t id);
bool event_numbering_is_next(
    const struct event_numbering *, uint64_t last, uint64_t step, uint64_t id);
bool event_numbering_has_one_first(const struct event_numbering *);
bool event_numbering_has_ids(const struct event_numbering *);
bool event_numbering_has_none(const struct event_numbering *);
bool event_numbering_is_outdated(const struct event_numbering *);

#endif
