#include "peer/clock_offset.h"

#include <glib.h>

/*
 * Adds a round trip: a message sent at asked_ms by our clock was answered at
 * answered_ms by the peer's. The answer was sent no earlier than the message,
 * so the difference is a lower bound of the offset; the largest is the best.
 */
void
clock_offset_add_round_trip(struct clock_offset *offset, int64_t asked_ms,
    int64_t answered_ms, int64_t now_ms)
{
	int64_t min_offset_ms = asked_ms - answered_ms;

	if (!offset->known) {
		*offset = (struct clock_offset){
		    .known = true,
		    .window_start_ms = now_ms,
		    .min_offset_ms = min_offset_ms,
		    .previous_min_offset_ms = min_offset_ms,
		};
		return;
	}
	if (now_ms - offset->window_start_ms >= CLOCK_OFFSET_WINDOW_MS) {
		offset->previous_min_offset_ms = offset->min_offset_ms;
		offset->min_offset_ms = min_offset_ms;
		offset->window_start_ms = now_ms;
		return;
	}
	offset->min_offset_ms = MAX(offset->min_offset_ms, min_offset_ms);
}

/*
 * Returns the age of a message that the peer sent at sent_ms by its clock; 0
 * before the first sample.
 */
int64_t
clock_offset_age_ms(
    const struct clock_offset *offset, int64_t sent_ms, int64_t now_ms)
{
	if (!offset->known)
		return 0;
	return MAX(0,
	    now_ms - sent_ms -
		MAX(offset->min_offset_ms, offset->previous_min_offset_ms));
}
