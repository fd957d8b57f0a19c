/*
 * When a caller that is rejected for lack of capacity comes back.
 *
 * Load pattern: a burst fills the engines, and each gateway rejects a part of
 * it. Callers that are all told the same time return together and meet each
 * other; callers that are told to return too late to be served wait for
 * nothing. So each is told when there is room for it, a little apart from the
 * others, or nothing at all. A caller that comes back is one like any other: it
 * has less time left, and that is all that tells it apart.
 */
#ifndef POLICY_RETURN_TIME_H
#define POLICY_RETURN_TIME_H

#include <stdint.h>

/*
 * Share of its remaining time for which a caller waits. Callers honour up to a
 * third; the margin covers the way to them.
 */
#define RETURN_TIME_PATIENCE_SHARE 0.3
/*
 * Milliseconds after which there may be room where nothing tells when: the
 * state that led to the rejection has just been looked at.
 */
#define RETURN_TIME_ROOM_MIN_MS 500
/*
 * Callers are spread over half of the time until there is room, and over at
 * least this many milliseconds.
 */
#define RETURN_TIME_SPREAD_MIN_MS 250

/* A caller that is rejected. Times in milliseconds. */
struct return_ask {
	double room_ms; /* until there is room for it */
	double left_ms; /* until it gives up */
	double serve_ms; /* from when there is room to its first event */
	double phase; /* random, from 0 to below 1 */
};

int64_t return_time_ms(const struct return_ask *);

#endif
