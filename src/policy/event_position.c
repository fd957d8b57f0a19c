#include "policy/event_position.h"

#include <glib.h>

/* With so many equal distances the events of a stream are evenly numbered. */
#define EVEN_STEPS_MIN 2

/* The caller asks for the events after one that it already has. */
void
event_position_start_after(struct event_position *position, uint64_t id)
{
	position->has_last = true;
	position->last = id;
}

/* An upstream begins the stream, or continues it after the last sure event. */
void
event_position_begin_run(struct event_position *position)
{
	if (position->held_doubt != EVENT_SURE)
		event_position_reject_held(position, false);
	position->repeating = position->has_last;
	position->has_repeat = false;
	position->has_new = false;
}

/*
 * Returns whether an event in doubt is the one that was in doubt in the run
 * before, at the same place. Without an id it may be an error that both
 * upstreams report, unless both runs have the last event before it and end
 * after it.
 */
static bool
is_agreed(const struct event_position *position, const struct event_mark *event)
{
	const struct event_mark *doubted = &position->doubted;

	if (!position->has_doubted || position->was_refuted ||
	    event->has_id != doubted->has_id ||
	    event->is_malformed != doubted->is_malformed)
		return false;
	if (event->has_id && position->has_last && event->id <= position->last)
		return false;
	if (!event->has_id)
		return event->hash == doubted->hash &&
		    position->ended_in_doubt && position->has_repeat;
	return event->is_malformed ? event->hash == doubted->hash
				   : event->id == doubted->id;
}

/* Returns whether this event of the current run is in doubt, and why. */
static enum event_doubt
judge(const struct event_position *position,
    const struct event_numbering *numbering, const struct event_mark *event)
{
	if (position->unnumbered)
		return event->has_id ? EVENT_WITH_ID : EVENT_SURE;
	if (!event->has_id)
		return !position->begun && event_numbering_has_none(numbering)
		    ? EVENT_SURE
		    : EVENT_WITHOUT_ID;
	if (event->is_malformed && !position->allows_malformed)
		return EVENT_MALFORMED;
	if (!position->has_last)
		return event_numbering_is_first(numbering, event->id)
		    ? EVENT_SURE
		    : EVENT_OTHER_FIRST;
	if (event->id <= position->last)
		return EVENT_NOT_HIGHER;
	return event_numbering_is_next(
		   numbering, position->last, position->step, event->id)
	    ? EVENT_SURE
	    : EVENT_TOO_FAR;
}

/* Adds the distance of two ids of the stream. */
static void
add_step(struct event_position *position, uint64_t step)
{
	position->step_min = position->step == 0
	    ? step
	    : MIN(step, position->step_min);
	position->step = MAX(step, position->step);
	position->steps++;
}

/* The event is passed on to the caller. */
static void
accept_event(struct event_position *position, const struct event_mark *event)
{
	position->repeating = false;
	position->has_new = true;
	position->has_doubted = false;
	position->ended_in_doubt = false;
	position->is_last_in_doubt = false;
	position->after_unnumbered = !event->has_id;
	if (!event->has_id) {
		position->unnumbered |= !position->begun;
		position->begun = true;
		return;
	}
	if (position->begun && position->has_last)
		add_step(position, event->id - position->last);
	if (!position->has_last) {
		position->has_first = true;
		position->first = event->id;
	}
	position->begun = true;
	position->has_previous = position->has_last;
	position->previous = position->last;
	position->has_last = true;
	position->last = event->id;
	position->last_hash = event->hash;
}

/*
 * Returns whether the next event may confirm an id that is unusual for the
 * route although the stream can be resumed: if ids are known to jump or to
 * begin anywhere.
 */
static bool
may_jump(const struct event_position *position,
    const struct event_numbering *numbering)
{
	if (event_numbering_is_outdated(numbering))
		return true;
	if (position->held_doubt == EVENT_OTHER_FIRST)
		return !event_numbering_has_one_first(numbering);
	return position->jumps;
}

/*
 * Returns whether the next event confirms the held one, whose id is higher than
 * the last one but unusual.
 */
static bool
is_confirmed_by(const struct event_position *position,
    const struct event_numbering *numbering, const struct event_mark *next)
{
	if (!next->has_id || next->id <= position->held.id)
		return false;
	return !position->resumable ||
	    (may_jump(position, numbering) &&
		judge(position, numbering, next) != EVENT_SURE);
}

/*
 * Returns whether the id held back is far from the others of a stream that is
 * evenly numbered.
 */
static bool
is_outlier(const struct event_position *position)
{
	return position->steps >= EVEN_STEPS_MIN &&
	    position->step_min == position->step &&
	    (position->held.id - position->last) /
		EVENT_NUMBERING_VARIED_FACTOR >
	    position->step;
}

/*
 * Accepts the event held back if the next one of the run shows that it is no
 * fault; it is then to be passed on before that one. An event that would follow
 * without the one held back shows that it was added. Returns false if it is not
 * accepted.
 */
bool
event_position_accept_held(struct event_position *position,
    const struct event_numbering *numbering, const struct event_mark *next)
{
	const struct event_mark *held = &position->held;
	bool confirmed = false;

	if (position->held_doubt == EVENT_WITHOUT_ID)
		confirmed = !position->begun && !next->has_id;
	else if (position->held_doubt == EVENT_TOO_FAR ||
	    position->held_doubt == EVENT_OTHER_FIRST)
		confirmed = is_confirmed_by(position, numbering, next);
	if (!confirmed) {
		position->is_refuted = next->has_id &&
		    ((held->has_id && next->id <= held->id) ||
			judge(position, numbering, next) == EVENT_SURE);
		return false;
	}
	position->held_doubt = EVENT_SURE;
	accept_event(position, held);
	return true;
}

/*
 * Accepts the event held back, if any, though the stream ends after it: a
 * stream of one event without an id, a second id where nothing tells how far
 * apart ids are, or a higher id that neither another run nor the stream itself
 * can refute. It is then to be passed on. Returns false if it is not accepted.
 */
bool
event_position_accept_held_at_end(
    struct event_position *position, const struct event_numbering *numbering)
{
	bool confirmed = false;

	if (position->held_doubt == EVENT_SURE)
		return true;
	if (position->held_doubt == EVENT_WITHOUT_ID)
		confirmed = !position->begun &&
		    !event_numbering_has_ids(numbering);
	else if (position->held_doubt == EVENT_TOO_FAR)
		confirmed = position->resumable
		    ? may_jump(position, numbering) && position->step == 0
		    : !is_outlier(position);
	else if (position->held_doubt == EVENT_OTHER_FIRST)
		confirmed = !position->resumable ||
		    may_jump(position, numbering);
	if (!confirmed)
		return false;
	position->held_doubt = EVENT_SURE;
	accept_event(position, &position->held);
	return true;
}

/*
 * Returns whether the next run is asked for the last event again: to confirm
 * it, or to show that none follows.
 */
static bool
is_last_asked(const struct event_position *position)
{
	return position->ended_in_doubt || position->is_last_in_doubt;
}

/*
 * Adds an event that the caller has, at the start of a resumed run. The last
 * one must be the same if it is in doubt.
 */
static enum event_verdict
add_repeated(struct event_position *position, const struct event_mark *event)
{
	position->has_repeat = true;
	position->repeat = event->id;
	if (!position->is_last_in_doubt || event->id != position->last)
		return EVENT_REPEATED;
	position->is_last_in_doubt = false;
	position->contradicted = event->hash != position->last_hash;
	return position->contradicted ? EVENT_MISPLACED : EVENT_REPEATED;
}

/*
 * Adds an event of the current run, after the one held back has been confirmed
 * or the run has been ended.
 */
enum event_verdict
event_position_add(struct event_position *position,
    const struct event_numbering *numbering, const struct event_mark *event)
{
	enum event_doubt doubt;

	if (position->repeating && event->has_id &&
	    (!event->is_malformed || position->allows_malformed) &&
	    event->id <= position->last &&
	    (!position->has_repeat || event->id > position->repeat))
		return add_repeated(position, event);
	if (position->repeating && event->has_id &&
	    (position->has_repeat ? position->repeat != position->last
				  : position->is_last_in_doubt))
		return EVENT_MISPLACED;
	doubt = judge(position, numbering, event);
	if (doubt != EVENT_SURE && is_agreed(position, event)) {
		position->jumps |= doubt == EVENT_TOO_FAR;
		position->allows_malformed |= doubt == EVENT_MALFORMED;
		doubt = EVENT_SURE;
	}
	if (doubt != EVENT_SURE) {
		position->held_doubt = doubt;
		position->held = *event;
		return EVENT_HELD;
	}
	accept_event(position, event);
	return EVENT_NEW;
}

/*
 * The event held back is not passed on: the run goes on in a way that does not
 * confirm it, or has ended as complete right after it. If its id is the last
 * one, either of the two events may be the one that was added.
 */
void
event_position_reject_held(struct event_position *position, bool ended)
{
	position->ended_in_doubt |= ended && position->has_new;
	position->is_last_in_doubt |= position->has_new && position->has_last &&
	    position->held.has_id && position->held.id == position->last;
	position->has_doubted = true;
	position->was_refuted = position->is_refuted;
	position->is_refuted = false;
	position->doubted = position->held;
	position->held_doubt = EVENT_SURE;
}

/*
 * Returns whether two runs have ended after the last event: one as complete but
 * for an event in doubt, and the current one, which has repeated the last event
 * and nothing else.
 */
bool
event_position_is_end_agreed(const struct event_position *position)
{
	return position->ended_in_doubt && !position->has_new &&
	    position->has_repeat && position->repeat == position->last;
}

/* Returns whether another upstream can continue the stream. */
bool
event_position_can_resume(const struct event_position *position)
{
	return !position->unnumbered && !position->after_unnumbered &&
	    !position->contradicted;
}

/*
 * Returns whether another upstream is to go on after an event, and its id. An
 * event that must be repeated comes after the one before.
 */
bool
event_position_resume_after(const struct event_position *position, uint64_t *id)
{
	bool repeats = is_last_asked(position);

	*id = repeats ? position->previous : position->last;
	return repeats ? position->has_previous : position->has_last;
}

/*
 * The first event was confirmed by the next one. That teaches how a route's
 * streams begin before one of them has ended, which may take long.
 */
void
event_position_learn_begin(
    const struct event_position *position, struct event_numbering *numbering)
{
	if (position->unnumbered)
		event_numbering_add_unnumbered(numbering);
	else if (position->has_first && !numbering->has_first)
		event_numbering_add_first(numbering, position->first);
}

/* The stream is complete: its ids are those of the route. */
void
event_position_learn_end(
    const struct event_position *position, struct event_numbering *numbering)
{
	if (position->unnumbered) {
		event_numbering_add_unnumbered(numbering);
	} else if (position->begun && position->has_last) {
		if (position->has_first)
			event_numbering_add_first(numbering, position->first);
		event_numbering_add_stream(
		    numbering, position->step_min, position->step);
	}
}
