/*
 * Model of engines that keep prompts while memory lasts, before gateways that
 * assume which engine holds which prefix: sessions whose prompts begin alike
 * return after a while. Compares gateways that use these assumptions with
 * gateways that do not, before the same engines.
 */
#ifndef EXPERIMENT_REUSE_H
#define EXPERIMENT_REUSE_H

#include <stddef.h>
#include <stdint.h>

#include "policy/engine_profile.h"

enum reuse_mode {
	REUSE_IGNORED, /* gateways choose by load only */
	REUSE_ASSUMED, /* by what they have sent, too */
	REUSE_HOME, /* and by a hash that all gateways agree on */
	/* The first and the last before engines that keep nothing. */
	REUSE_NONE_IGNORED,
	REUSE_NONE_HOME,
	REUSE_MODES,
};

struct reuse_settings {
	const struct engine_profile *profile;
	size_t engines;
	size_t gateways;
	double round_ms; /* between two load messages of a gateway */
	double load; /* 1 keeps all engines prefilling whole prompts */
	double length_ms;
	double
	    return_ms; /* mean time from a session's prompt to its next one */
	uint64_t prefix_tokens; /* that a session's prompts share */
	uint64_t own_tokens; /* of each prompt beside them */
	size_t sessions; /* 0: as many as the load needs */
	bool sticky; /* a session's requests reach one gateway */
};

struct reuse_result {
	size_t prompts; /* after the first returns */
	double reused; /* share of the prompt tokens not prefilled again */
	double hits; /* share of the prompts sent to an assumed holder */
	double wrong; /* share of the prompts whose holder held nothing */
	double first_p50_ms;
	double first_p95_ms;
	double in_time; /* share */
	double refused; /* share */
};

void reuse_run(const struct reuse_settings *, enum reuse_mode, uint32_t seed,
    struct reuse_result *);

#endif
