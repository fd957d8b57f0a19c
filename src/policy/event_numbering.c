#include "policy/event_numbering.h"

#include <glib.h>

/* First id and distance of ids where nothing is known. */
#define FIRST_DEFAULT_MAX 1
#define STEP_DEFAULT	  1

/*
 * A stream with ids was complete: its first id, if the route's upstream began
 * it, and the largest distance of two ids, 0 if it had only one.
 */
void
event_numbering_add_stream(struct event_numbering *numbering, bool has_first,
    uint64_t first, uint64_t step)
{
	numbering->kind = EVENT_NUMBERING_IDS;
	numbering->doubts = 0;
	numbering->step = MAX(numbering->step, step);
	if (!has_first)
		return;
	numbering->first_min = numbering->has_first
	    ? MIN(numbering->first_min, first)
	    : first;
	numbering->first_max = numbering->has_first
	    ? MAX(numbering->first_max, first)
	    : first;
	numbering->has_first = true;
}

/* A stream without ids was complete. */
void
event_numbering_add_unnumbered(struct event_numbering *numbering)
{
	numbering->kind = EVENT_NUMBERING_NONE;
	numbering->doubts = 0;
}

/* A send failed since an event was in doubt. */
void
event_numbering_add_doubt(struct event_numbering *numbering)
{
	numbering->doubts++;
	if (numbering->doubts == EVENT_NUMBERING_DOUBTS_MAX)
		*numbering = (struct event_numbering){
		    .doubts = EVENT_NUMBERING_DOUBTS_MAX};
}

/* Returns whether streams of the route begin with such an id. */
bool
event_numbering_is_first(const struct event_numbering *numbering, uint64_t id)
{
	if (!numbering->has_first)
		return id <= FIRST_DEFAULT_MAX;
	return id >= numbering->first_min && id <= numbering->first_max;
}

/*
 * Returns whether an id follows the last one: it is higher, by no more than ids
 * of the stream (step, 0 if unknown) or of the route are apart.
 */
bool
event_numbering_is_next(const struct event_numbering *numbering, uint64_t last,
    uint64_t step, uint64_t id)
{
	uint64_t farthest = MAX(step, numbering->step);

	return id > last &&
	    id - last <= (farthest == 0 ? STEP_DEFAULT : farthest);
}

/* Returns whether all complete streams of the route began with the same id. */
bool
event_numbering_has_one_first(const struct event_numbering *numbering)
{
	return numbering->has_first &&
	    numbering->first_min == numbering->first_max;
}

/* Returns whether what was known of the route was wrong too often. */
bool
event_numbering_is_outdated(const struct event_numbering *numbering)
{
	return numbering->doubts >= EVENT_NUMBERING_DOUBTS_MAX;
}
