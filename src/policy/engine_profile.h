/*
 * Predicts times from an engine's published figures: the prefill of a prompt,
 * and the decode pass that separates two events of a stream. Times are in
 * milliseconds.
 */
#ifndef POLICY_ENGINE_PROFILE_H
#define POLICY_ENGINE_PROFILE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Time, beyond its predicted prefill time, for which a part counts as being
 * prefilled; it covers the decode passes in between.
 */
#define ENGINE_PREFILL_SLACK_MS 400

/* Figures of a service's engines, as stated in its configuration. */
struct engine_profile {
	uint32_t slots; /* requests in a batch */
	uint64_t memory_tokens;
	uint32_t stride; /* steps in a pass with decoding requests */
	double step_ms; /* step without decoding requests */
	double sequence_ms; /* added to a step by each decoding request */
	double context_ms; /* per 1,000 tokens of context being decoded */
	double prefill_tokens_per_ms;
	double pairs_ms; /* per million pairs of a token and an earlier token */
	uint32_t chunk_tokens; /* prefilled in one step at most */
	double hop_ms; /* added to a step by a prompt divided among engines */
};

double engine_profile_prefill_ms(
    const struct engine_profile *, uint64_t prompt_tokens);
double engine_profile_pass_ms(
    const struct engine_profile *, uint32_t requests, uint64_t context_tokens);

#endif
