#include "policy/event_position.h"

/* The caller asks for the events after one that it already has. */
void
event_position_start_after(struct event_position *position, uint64_t id)
{
	*position = (struct event_position){.has_last = true, .last = id};
}

/* An upstream begins the stream, or continues it after the last event. */
void
event_position_begin_run(struct event_position *position)
{
	position->repeating = position->has_last;
	position->has_repeat = false;
}

/*
 * Returns whether an id follows the last one: it is higher, by no more than
 * earlier ids of the stream were apart.
 */
static bool
follows_last(const struct event_position *position, uint64_t id)
{
	if (!position->has_last)
		return true;
	return id > position->last &&
	    (position->step == 0 || id - position->last <= position->step);
}

/* Adds an event with this id. */
enum event_verdict
event_position_add(struct event_position *position, uint64_t id)
{
	if (position->repeating && id <= position->last) {
		position->has_repeat = true;
		position->repeat = id;
		return EVENT_REPEATED;
	}
	if (position->repeating && position->has_repeat &&
	    position->repeat != position->last)
		return EVENT_MISPLACED;
	position->repeating = false;
	position->in_doubt = !follows_last(position, id);
	if (position->has_last && id > position->last &&
	    id - position->last > position->step)
		position->step = id - position->last;
	position->has_last = true;
	position->last = id;
	return EVENT_NEW;
}

/*
 * Adds an event without an id that can be read. It is passed on, but a resumed
 * run would repeat it.
 */
void
event_position_add_unnumbered(struct event_position *position)
{
	position->repeating = false;
	position->in_doubt = true;
}

/* Returns whether another upstream can continue the stream. */
bool
event_position_can_resume(const struct event_position *position)
{
	return !position->in_doubt;
}
