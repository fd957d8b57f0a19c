#include "policy/watching.h"

#include <glib.h>

/*
 * Returns whether the process would watch the store if it were elected; others
 * must not count on one that has just started.
 */
bool
watching_is_possible(const struct watching_input *input)
{
	return input->is_seed || !input->has_seeds ||
	    input->age_ms >= WATCHING_SETTLE_MS;
}

/*
 * Returns whether the process should watch the store now, after it has listed
 * each kind once.
 */
bool
watching_is_needed(const struct watching_input *input)
{
	if (watching_is_possible(input) && input->max_age_ms > 0 &&
	    input->unreported_ms >
		input->max_age_ms - WATCHING_UNREPORTED_MARGIN_MS)
		return true;
	if (input->is_seed || !input->has_seeds)
		return !input->complete || input->elected;
	if (watching_is_possible(input))
		return input->elected;
	return input->elected_new &&
	    input->silence_ms >=
	    WATCHING_SILENCE_MS + WATCHING_SILENCE_ROUNDS * input->round_ms;
}

/*
 * Returns how long a watch waits for a change, for a limit on the age of what
 * it shows.
 */
int64_t
watching_wait_ms(int64_t max_age_ms)
{
	return CLAMP(max_age_ms / 2 - WATCHING_WAIT_MARGIN_MS,
	    WATCHING_WAIT_MIN_MS, WATCHING_WAIT_MAX_MS);
}
