#include "policy/quiet.h"

#include "base/clock.h"

/* An upstream asks for quiet; a shorter time does not end a longer one. */
void
quiet_on_request(struct quiet *quiet, int64_t quiet_ms, struct timespec now)
{
	struct timespec until = time_add_ms(
	    now, CLAMP(quiet_ms, 0, QUIET_MAX_MS));

	if (time_before(quiet->until, until))
		quiet->until = until;
}

/* Returns whether an upstream must not get requests now. */
bool
quiet_is_wanted(const struct quiet *quiet, struct timespec now)
{
	return time_before(now, quiet->until);
}

/* Returns the time until an upstream accepts requests again; 0 if it does. */
int64_t
quiet_left_ms(const struct quiet *quiet, struct timespec now)
{
	if (!quiet_is_wanted(quiet, now))
		return 0;
	return MAX(time_diff_ms(quiet->until, now), 1);
}
