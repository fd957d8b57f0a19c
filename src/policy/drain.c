#include "policy/drain.h"

#include <glib.h>

#include "base/clock.h"

/*
 * The process was asked to stop; further requests to stop change nothing. A
 * notice that is longer than the time until the exit ends with it.
 */
void
drain_start(
    struct drain *drain, const struct drain_limits *limits, struct timespec now)
{
	int64_t exit_ms = MAX(limits->grace_ms - DRAIN_EXIT_RESERVE_MS, 0);

	if (drain_is_started(drain))
		return;
	*drain = (struct drain){
	    .started_at = now,
	    .accept_until = time_add_ms(now, MIN(limits->notice_ms, exit_ms)),
	    .exit_at = time_add_ms(now, exit_ms),
	};
}

/* Returns whether the process was asked to stop. */
bool
drain_is_started(const struct drain *drain)
{
	return time_is_set(drain->started_at);
}

/* Returns the time in milliseconds until the process exits; 0 if it is over. */
int64_t
drain_left_ms(const struct drain *drain, struct timespec now)
{
	return MAX(time_diff_ms(drain->exit_at, now), 0);
}

/*
 * Returns whether a request that is likely to last expected_ms may be sent to
 * an upstream: always, unless the process was asked to stop and the notice is
 * over or the request would not end before the exit.
 */
bool
drain_may_begin(
    const struct drain *drain, int64_t expected_ms, struct timespec now)
{
	if (!drain_is_started(drain))
		return true;
	return time_before(now, drain->accept_until) &&
	    expected_ms < drain_left_ms(drain, now);
}

/*
 * Returns whether a request that an upstream may have run may be sent to
 * another one: also after the notice, since no other process can take it over,
 * but not if it would not end before the exit.
 */
bool
drain_may_repeat(
    const struct drain *drain, int64_t expected_ms, struct timespec now)
{
	return !drain_is_started(drain) ||
	    expected_ms < drain_left_ms(drain, now);
}
