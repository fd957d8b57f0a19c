#include "policy/return_time.h"

#include <math.h>

#include <glib.h>

/*
 * Returns when a rejected caller comes back, in milliseconds; 0 if it could not
 * be served then before it gives up. A time within its patience is not spread
 * beyond that; a longer one is told as it is.
 */
int64_t
return_time_ms(const struct return_ask *ask)
{
	double room_ms = ask->room_ms;
	double patience_ms = ask->left_ms * RETURN_TIME_PATIENCE_SHARE;
	double spread_ms = MAX(room_ms / 2.0, RETURN_TIME_SPREAD_MIN_MS);
	double wait_ms;

	if (room_ms <= patience_ms)
		spread_ms = MIN(spread_ms, patience_ms - room_ms);
	wait_ms = room_ms + ask->phase * spread_ms;
	if (wait_ms + ask->serve_ms >= ask->left_ms)
		return 0;
	return (int64_t)lround(wait_ms);
}
