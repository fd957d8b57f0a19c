#include "policy/departure.h"

#include "base/clock.h"

/* The list shows the upstream as draining. */
void
departure_on_draining(struct departure *departure)
{
	departure->state = DEPARTURE_DRAINING;
	departure->doubted_until = (struct timespec){0};
}

/* The upstream left the list. */
void
departure_on_removed(struct departure *departure, struct timespec now)
{
	departure->state = DEPARTURE_REMOVED;
	departure->doubted_until = (struct timespec){0};
}

/*
 * The list shows the upstream as in service. The first list of a restored store
 * may be older than what is known, and is believed only after a time. Without a
 * start time, an upstream that is listed again counts as another process.
 */
void
departure_on_ready(struct departure *departure, bool has_start, bool restored,
    struct timespec now)
{
	if (departure->state == DEPARTURE_NONE)
		return;
	if (restored) {
		departure->doubted_until = time_add_ms(
		    now, DEPARTURE_RESTORE_SETTLE_MS);
		return;
	}
	if (departure->state == DEPARTURE_REMOVED && !has_start)
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
