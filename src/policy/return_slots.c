#include "policy/return_slots.h"

#include <glib.h>

#include "base/clock.h"

/*
 * Takes the next free time at which a caller may come back and returns how long
 * it is until then, in milliseconds: no sooner than in left_ms, and 1 / per_s
 * after the last one. One that is most_ms away or more is returned, but not
 * taken: the caller gives up before.
 */
int64_t
return_slots_take(struct return_slots *slots, int64_t left_ms, double per_s,
    int64_t most_ms, struct timespec now)
{
	struct timespec first = time_add_ms(now, left_ms);
	int64_t interval_us = (int64_t)MIN(
	    US_PER_S / per_s, (double)RETURN_SLOTS_MAX_MS * US_PER_MS);
	int64_t wait_ms;

	if (time_before(slots->next, first))
		slots->next = first;
	wait_ms = time_diff_ms(slots->next, now);
	if (wait_ms >= RETURN_SLOTS_MAX_MS)
		return RETURN_SLOTS_MAX_MS;
	if (wait_ms >= most_ms)
		return wait_ms;
	slots->next = time_add_us(slots->next, interval_us);
	return wait_ms;
}
