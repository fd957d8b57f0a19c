#include "policy/watching.h"

/* Returns whether the process should watch the store now. */
bool
watching_is_needed(const struct watching_input *input)
{
	if (input->is_seed || !input->has_seeds)
		return !input->complete || input->elected;
	if (!input->complete)
		return input->age_ms >= WATCHING_DEFER_MS;
	return input->age_ms >= WATCHING_SETTLE_MS && input->elected;
}
