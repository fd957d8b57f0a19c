/*
 * What an engine's published figures predict: how long it reads a prompt, and
 * how long a pass takes that its writers wait for. Times are milliseconds.
 */
#ifndef POLICY_ENGINE_PROFILE_H
#define POLICY_ENGINE_PROFILE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A part counts as being read for this long beyond the time that reading takes,
 * for the passes of streams between.
 */
#define ENGINE_PREFILL_SLACK_MS 400

/* The figures of a service's engines, as its configuration states them. */
struct engine_profile {
	uint32_t slots; /* requests in a batch */
	uint64_t memory_tokens;
	uint32_t stride; /* steps in a pass that has writers */
	double step_ms; /* of a step without any writer */
	double sequence_ms; /* added to a step by each writer */
	double context_ms; /* added by each 1,000 tokens of a writer's context
			    */
	double prefill_tokens_per_ms;
	double pairs_ms; /* of a million pairs of a token and an earlier one */
	uint32_t chunk_tokens; /* read in one step at the most */
	double hop_ms; /* added to a step by a prompt held in parts */
};

double engine_profile_prefill_ms(
    const struct engine_profile *, uint64_t prompt_tokens);
double engine_profile_pass_ms(
    const struct engine_profile *, uint32_t requests, uint64_t context_tokens);

#endif
