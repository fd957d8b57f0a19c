#include "policy/balance_memory.h"

#include <glib.h>

/* Returns the free memory of an engine, in tokens. */
uint64_t
balance_free_tokens(const struct engine_profile *profile,
    const struct balance_candidate *candidate)
{
	double planned = (double)profile->memory_tokens * BALANCE_MEMORY_SHARE;

	if (planned <= (double)candidate->context_tokens)
		return 0;
	return (uint64_t)planned - candidate->context_tokens;
}

/* Returns whether a prompt and its answer fit into the free memory. */
bool
balance_fits_memory(const struct engine_profile *profile,
    const struct balance_candidate *candidate,
    const struct balance_prompt *prompt)
{
	return prompt->tokens + prompt->output_tokens <=
	    balance_free_tokens(profile, candidate);
}

/*
 * Returns whether a prompt and its answer would fit into the memory of that
 * many engines, or of as many as a prompt may use, if they were empty.
 */
bool
balance_ever_fits_memory(const struct engine_profile *profile, size_t count,
    const struct balance_prompt *prompt)
{
	size_t engines = prompt->undivided
	    ? 1
	    : MIN(count, BALANCE_HELPERS_MAX + 1);

	return (double)(prompt->tokens + prompt->output_tokens) <=
	    (double)profile->memory_tokens * BALANCE_MEMORY_SHARE *
	    (double)engines;
}

/*
 * Distributes the KV cache of a prompt that does not fit into the decoder's
 * memory: the decoder keeps what fits, the helpers the rest. Returns false if
 * they do not have enough memory together.
 */
bool
balance_divide_memory(const struct engine_profile *profile,
    const struct balance_candidate *candidates,
    const struct balance_prompt *prompt, struct balance_plan *plan)
{
	uint64_t left = prompt->tokens + prompt->output_tokens;

	if (profile->memory_tokens == 0)
		return true;
	left -= MIN(
	    balance_free_tokens(profile, &candidates[plan->first]), left);
	for (size_t i = 0; i < plan->helper_count; i++) {
		plan->reserved_tokens[i] = MIN(
		    balance_free_tokens(profile, &candidates[plan->helpers[i]]),
		    left);
		left -= plan->reserved_tokens[i];
	}
	return left == 0;
}
