#include "policy/caller_time.h"

#include <glib.h>

/*
 * Callers abandon a stream after a gap of two seconds, four times the target or
 * eight times the gap target of its route, whichever is longest.
 */
#define STREAM_MIN_MS  2000.0
#define STREAM_TARGETS 4.0
#define STREAM_GAPS    8.0

/*
 * Returns after how many milliseconds without an event, the first one included,
 * a caller abandons a stream.
 */
double
caller_time_stream_ms(double target_ms, double gap_ms)
{
	return MAX(STREAM_MIN_MS,
	    MAX(target_ms * STREAM_TARGETS, gap_ms * STREAM_GAPS));
}
