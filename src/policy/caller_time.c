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
 * Share of the time until a caller gives up for which an upstream may be
 * silent. The rest is for another one.
 */
#define STALL_SHARE 0.65

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

/*
 * Returns for how many milliseconds an upstream may be silent before another
 * one is asked: a share of the time until the caller abandons the stream or its
 * deadline, remaining_ms from now, passes.
 */
double
caller_time_stall_ms(double target_ms, double gap_ms, double remaining_ms)
{
	double patience_ms = MIN(
	    caller_time_stream_ms(target_ms, gap_ms), remaining_ms);

	return MAX(patience_ms, STREAM_MIN_MS) * STALL_SHARE;
}

/*
 * Returns what is left of the time of a caller that waits for the first event.
 * Where the route has no target, the target is the share of the caller's whole
 * time for which it honours Retry-After, so that a rejection comes while it can
 * still retry.
 */
struct caller_time
caller_time_left(const struct caller_time_ask *ask)
{
	struct caller_time out = {
	    .target_ms = ask->target_ms,
	    .left_ms = ask->remaining_ms,
	};

	if (ask->is_stream)
		out.left_ms = MIN(out.left_ms,
		    caller_time_stream_ms(ask->target_ms, ask->gap_ms) -
			ask->waited_ms);
	if (out.target_ms <= 0.0)
		out.target_ms = (ask->waited_ms + ask->remaining_ms) *
		    CALLER_TIME_RETRY_SHARE;
	out.slack_ms = out.target_ms - ask->waited_ms;
	return out;
}
