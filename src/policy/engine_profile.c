#include "policy/engine_profile.h"

#define TOKENS_PER_CONTEXT_UNIT 1000.0
#define PAIRS_PER_UNIT		1e6

/*
 * Returns the time in which one idle engine prefills a prompt. The second term
 * grows with the square of the length: each token attends to all earlier ones.
 */
double
engine_profile_prefill_ms(
    const struct engine_profile *profile, uint64_t prompt_tokens)
{
	double tokens = (double)prompt_tokens;
	double pairs = tokens * tokens / 2.0;

	if (profile->prefill_tokens_per_ms <= 0.0)
		return 0.0;
	return tokens / profile->prefill_tokens_per_ms +
	    pairs / PAIRS_PER_UNIT * profile->pairs_ms;
}

/*
 * Returns the duration of a decode pass without prefill work: the gap between
 * two events of each stream. context_tokens is the sum over all decoding
 * requests.
 */
double
engine_profile_pass_ms(const struct engine_profile *profile, uint32_t requests,
    uint64_t context_tokens)
{
	double step = profile->step_ms + profile->sequence_ms * requests +
	    profile->context_ms * (double)context_tokens /
		TOKENS_PER_CONTEXT_UNIT;

	return step * (profile->stride > 0 ? profile->stride : 1);
}
