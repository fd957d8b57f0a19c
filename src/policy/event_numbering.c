#include "policy/event_numbering.h"

#include <glib.h>

/* First id and distance of ids where nothing is known. */
#define FIRST_DEFAULT_MAX 1
#define STEP_DEFAULT	  UINT64_C(1)

/* A stream began with this id, and others followed it. */
void
event_numbering_add_first(struct event_numbering *numbering, uint64_t id)
{
	numbering->first_min = numbering->has_first
	    ? MIN(numbering->first_min, id)
	    : id;
	numbering->first_max = numbering->has_first
	    ? MAX(numbering->first_max, id)
	    : id;
	numbering->has_first = true;
}

/* Learns how far apart ids are from the largest distance in a stream. */
static void
add_step(struct event_numbering *numbering, uint64_t step)
{
	if (step <= numbering->step) {
		numbering->wider = 0;
		return;
	}
	numbering->wider_step = numbering->wider == 0
	    ? step
	    : MIN(step, numbering->wider_step);
	if (++numbering->wider < EVENT_NUMBERING_STREAMS_MIN)
		return;
	numbering->step = numbering->wider_step;
	numbering->wider = 0;
}

/*
 * A stream with ids was complete, with these smallest and largest distances of
 * two of them; 0 if it had only one.
 */
void
event_numbering_add_stream(
    struct event_numbering *numbering, uint64_t step_min, uint64_t step_max)
{
	numbering->streams++;
	numbering->doubts = 0;
	numbering->varied = step_min < step_max ? numbering->varied + 1 : 0;
	add_step(numbering, step_max);
}

/* A stream had only events without ids. */
void
event_numbering_add_unnumbered(struct event_numbering *numbering)
{
	numbering->unnumbered++;
	numbering->doubts = 0;
}

/* A stream was cut since an event was in doubt. */
void
event_numbering_add_doubt(struct event_numbering *numbering)
{
	if (++numbering->doubts == EVENT_NUMBERING_DOUBTS_MAX)
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
	uint64_t farthest = MAX(MAX(step, numbering->step), STEP_DEFAULT);

	if (id <= last)
		return false;
	if (numbering->varied >= EVENT_NUMBERING_STREAMS_MIN)
		return (id - last) / EVENT_NUMBERING_VARIED_FACTOR <= farthest;
	return id - last <= farthest;
}

/* Returns whether streams of the route are known to begin with the same id. */
bool
event_numbering_has_one_first(const struct event_numbering *numbering)
{
	return event_numbering_has_ids(numbering) && numbering->has_first &&
	    numbering->first_min == numbering->first_max;
}

/* Returns whether streams of the route are known to have ids. */
bool
event_numbering_has_ids(const struct event_numbering *numbering)
{
	return numbering->streams >= EVENT_NUMBERING_STREAMS_MIN;
}

/* Returns whether streams of the route are known to have no ids. */
bool
event_numbering_has_none(const struct event_numbering *numbering)
{
	return numbering->unnumbered > 0 && numbering->streams == 0;
}

/* Returns whether what was known of the route was wrong too often. */
bool
event_numbering_is_outdated(const struct event_numbering *numbering)
{
	return numbering->doubts >= EVENT_NUMBERING_DOUBTS_MAX;
}
