#include "policy/engine_profile.h"

#define TOKENS_PER_CONTEXT_UNIT 1000.0
#define PAIRS_PER_UNIT		1e6

/*
 * Returns how long one engine reads a prompt that nothing else delays. The
 * second part grows with the square of the length: each token is paired with
 * all earlier ones.
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
 * Returns how long a pass takes that reads nothing: the pause of each writer
 * between two events. The context is that of all writers together.
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
