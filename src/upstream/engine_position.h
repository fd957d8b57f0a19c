/*
 * Where a run of an engine stands: which of its events are next, repeated or in
 * doubt, and where it is resumed.
 */
#ifndef UPSTREAM_ENGINE_POSITION_H
#define UPSTREAM_ENGINE_POSITION_H

#include "upstream/engine_event.h"

enum engine_verdict {
	ENGINE_EVENT_NEXT,
	ENGINE_EVENT_REPEATED, /* with the same content */
	ENGINE_EVENT_IN_DOUBT, /* the run must be resumed */
	ENGINE_EVENT_DENIED, /* an event that was passed on is not the run's */
};

struct engine_position {
	uint64_t last_sequence;
	uint64_t adopted_after; /* an earlier process had the events up to it */
	GArray *digests; /* uint64_t, of the events from adopted_after on */
	uint64_t in_doubt; /* part that a resumption must confirm; or 0 */
	bool at_end; /* the last event is the end */
};

void engine_position_init(struct engine_position *, uint64_t after);
void engine_position_clear(struct engine_position *);
enum engine_verdict engine_position_take(
    struct engine_position *, const struct engine_event *, const char **why);
void engine_position_take_end_back(struct engine_position *);
uint64_t engine_position_resume_after(const struct engine_position *);

#endif
