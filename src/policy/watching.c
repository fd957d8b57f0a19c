#include "policy/watching.h"

/*
 * Returns whether the process should watch the store now, after it has listed
 * each kind once.
 */
bool
watching_is_needed(const struct watching_input *input)
{
	if (input->is_seed || !input->has_seeds)
		return !input->complete || input->elected;
	return input->age_ms >= WATCHING_SETTLE_MS && input->elected;
}
