/*
 * Which events of a stream the caller has, and where another upstream can
 * continue the stream.
 *
 * Load pattern: a stream that breaks off is resumed at another upstream after
 * the id of its last event. That upstream may first repeat events that the
 * caller has. Ids increase, but upstreams now and then hand out wrong bytes,
 * also in an id; one that is too high must not hide the events that follow, and
 * no stream may be resumed after it.
 *
 * So only events at the start of a resumed run count as repeated, and only if
 * they lead up to the last event that the caller has. All others are passed on,
 * whatever their ids are. An id that does not follow the one before is in doubt
 * until two ids follow each other again: a stream that breaks off before can't
 * be resumed.
 */
#ifndef POLICY_EVENT_POSITION_H
#define POLICY_EVENT_POSITION_H

#include <stdbool.h>
#include <stdint.h>

enum event_verdict {
	EVENT_NEW, /* to be passed on */
	EVENT_REPEATED, /* the caller has it */
	EVENT_MISPLACED, /* the run does not join what the caller has */
};

/* Zero-initialised: a stream without any event. */
struct event_position {
	bool has_last; /* the caller has an event with an id */
	uint64_t last; /* its id */
	uint64_t step; /* largest distance of two ids so far; 0 if unknown */
	bool in_doubt; /* the last event's id may be wrong, or it has none */
	bool repeating; /* a resumed run without a new event so far */
	bool has_repeat;
	uint64_t repeat; /* id of the last event that the run has repeated */
};

void event_position_start_after(struct event_position *, uint64_t id);
void event_position_begin_run(struct event_position *);
enum event_verdict event_position_add(struct event_position *, uint64_t id);
void event_position_add_unnumbered(struct event_position *);
bool event_position_can_resume(const struct event_position *);

#endif
