#include "policy/watching.h"

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
	    (double)input->unheard_ms >
		WATCHING_UNHEARD_SHARE * (double)input->max_age_ms)
		return true;
	if (input->is_seed || !input->has_seeds)
		return !input->complete || input->elected;
	if (watching_is_possible(input))
		return input->elected;
	return input->elected_new &&
	    input->silence_ms >=
	    WATCHING_SILENCE_MS + WATCHING_SILENCE_ROUNDS * input->round_ms;
}
