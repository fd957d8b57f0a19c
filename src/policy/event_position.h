/*
 * Which events of a stream are sure, which of them the caller has, and where
 * another upstream can continue the stream.
 *
 * Load pattern: an upstream now and then hands out bytes that its run did not
 * make: an event without an id or with any other one, or a line before an
 * event; or it spoils a byte of an id. A caller must get all events of a run
 * and nothing else. So an event is passed on only if its id follows the last
 * one. Any other one is in doubt: it is held back until the next event or the
 * end decides, or the request goes to another upstream at the last sure event.
 * What two runs agree on is no fault. A stream whose events have no ids is
 * passed on as it is, and can't be resumed.
 *
 * Upstreams promise only that ids increase. Where a stream can't be resumed, a
 * cut is final, and nothing promises that upstreams number alike, so only the
 * stream itself is evidence: how other streams of the route are numbered is
 * not.
 *
 * Events at the start of a resumed run that the caller has count as repeated,
 * if they lead up to the last one.
 */
#ifndef POLICY_EVENT_POSITION_H
#define POLICY_EVENT_POSITION_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/event_numbering.h"

/* What is known of an event beside its place. */
struct event_mark {
	bool has_id; /* that is a number */
	uint64_t id;
	bool is_malformed; /* has lines that no event has */
	uint64_t hash; /* of its bytes */
};

enum event_doubt {
	EVENT_SURE,
	EVENT_WITHOUT_ID,
	EVENT_NOT_HIGHER, /* than the last id */
	EVENT_TOO_FAR, /* from the last id */
	EVENT_OTHER_FIRST, /* streams of the route begin with another id */
	EVENT_MALFORMED, /* has lines that no event has */
	EVENT_WITH_ID, /* in a stream without ids */
};

enum event_verdict {
	EVENT_NEW, /* to be passed on */
	EVENT_REPEATED, /* the caller has it */
	EVENT_HELD, /* in doubt until the next event, or the end */
	EVENT_MISPLACED, /* the run does not join what the caller has */
};

/* Zero-initialised: a stream that can't be resumed, without events so far. */
struct event_position {
	bool resumable; /* another upstream may continue the stream */
	bool begun; /* an event was passed on to the caller */
	bool has_last; /* the caller has an event with an id */
	uint64_t last; /* its id */
	uint64_t last_hash; /* 0 if the caller brought it along */
	bool has_previous; /* the one before, also with an id */
	uint64_t previous;
	uint64_t step; /* largest distance of two ids so far; 0 if unknown */
	uint64_t step_min; /* smallest one */
	uint32_t steps; /* distances so far */
	bool has_first; /* the stream did not begin after a caller's event */
	uint64_t first;
	bool unnumbered; /* its events have no ids */
	bool after_unnumbered; /* the caller's last event has no id */
	bool jumps; /* two runs agreed that an id was far from the last one */
	bool allows_malformed; /* two runs agreed on such an event */

	/* The current run. */
	bool repeating; /* a resumed run without a new event so far */
	bool has_repeat;
	uint64_t repeat; /* id of the last event that the run has repeated */
	bool has_new; /* a new event */
	enum event_doubt held_doubt; /* why held; EVENT_SURE for none held */
	struct event_mark held;
	bool is_refuted; /* the next event shows that the held one was added */

	/* Earlier runs, of which one had an event in doubt at this place. */
	bool has_doubted;
	struct event_mark doubted; /* the last such event */
	bool was_refuted; /* that one */
	bool ended_in_doubt; /* as complete, right after such an event */
	bool is_last_in_doubt; /* another event had the same id */
	bool contradicted; /* a later run has another last event */
};

void event_position_start_after(struct event_position *, uint64_t id);
void event_position_begin_run(struct event_position *);
bool event_position_accept_held(struct event_position *,
    const struct event_numbering *, const struct event_mark *next);
bool event_position_accept_held_at_end(
    struct event_position *, const struct event_numbering *);
enum event_verdict event_position_add(struct event_position *,
    const struct event_numbering *, const struct event_mark *);
void event_position_reject_held(struct event_position *, bool ended);
bool event_position_is_end_agreed(const struct event_position *);
bool event_position_can_resume(const struct event_position *);
bool event_position_resume_after(const struct event_position *, uint64_t *id);
void event_position_learn_begin(
    const struct event_position *, struct event_numbering *);
void event_position_learn_end(
    const struct event_position *, struct event_numbering *);

#endif
