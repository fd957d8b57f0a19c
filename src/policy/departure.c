#include "policy/departure.h"

#include "base/clock.h"

/* Returns whether a start time is that of another process. */
static bool
is_another_process(const struct departure *departure, int64_t start_wall_ms)
{
	return start_wall_ms != 0 && departure->start_wall_ms != 0 &&
	    start_wall_ms != departure->start_wall_ms;
}

/* Forgets all of an earlier process; keeps a known start time. */
static void
set_process(struct departure *departure, int64_t start_wall_ms)
{
	if (is_another_process(departure, start_wall_ms))
		*departure = (struct departure){0};
	if (start_wall_ms != 0)
		departure->start_wall_ms = start_wall_ms;
}

/* The list shows the upstream as draining. */
void
departure_on_draining(struct departure *departure, int64_t start_wall_ms)
{
	set_process(departure, start_wall_ms);
	departure->state = DEPARTURE_DRAINING;
	departure->doubted_until = (struct timespec){0};
}

/* The upstream left the list. */
void
departure_on_removed(struct departure *departure, struct timespec now)
{
	departure->state = DEPARTURE_REMOVED;
	departure->removed_at = now;
	departure->doubted_until = (struct timespec){0};
}

/*
 * The list shows the upstream as in service. The first list of a restored store
 * may be older than what is known, and is believed only after a time. Without a
 * start time, an upstream that is listed again counts as another process.
 */
void
departure_on_ready(struct departure *departure, int64_t start_wall_ms,
    bool restored, struct timespec now)
{
	set_process(departure, start_wall_ms);
	if (departure->state == DEPARTURE_NONE)
		return;
	if (restored) {
		departure->doubted_until = time_add_ms(
		    now, DEPARTURE_RESTORE_SETTLE_MS);
		return;
	}
	if (departure->state == DEPARTURE_REMOVED && start_wall_ms == 0)
		departure->announced = false;
	departure->state = DEPARTURE_NONE;
	departure->doubted_until = (struct timespec){0};
}

/* The upstream itself says that it leaves; false if it has said so before. */
bool
departure_on_announced(struct departure *departure)
{
	bool first = !departure->announced;

	departure->announced = true;
	return first;
}

/*
 * Returns whether an upstream must not get new requests because it has left.
 * One that has just left the list without draining is not meant here: it may
 * only have lapsed there, see FLEET_UNLISTED_GRACE_MS.
 */
bool
departure_has_left(const struct departure *departure, struct timespec now)
{
	bool doubted = time_is_set(departure->doubted_until);

	if (departure->announced)
		return true;
	if (doubted)
		return time_before(now, departure->doubted_until);
	return departure->state == DEPARTURE_DRAINING;
}

/* Returns whether a removed upstream's departure still matters. */
bool
departure_is_remembered(const struct departure *departure, struct timespec now)
{
	return departure->state == DEPARTURE_REMOVED &&
	    time_diff_ms(now, departure->removed_at) < DEPARTURE_MEMORY_MS;
}
