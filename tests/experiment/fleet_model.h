/*
 * Engines before a few gateways that place prompts by the policy, each with its
 * own knowledge: its own requests at once, the others' as they tell them.
 */
#ifndef EXPERIMENT_FLEET_MODEL_H
#define EXPERIMENT_FLEET_MODEL_H

#include <glib.h>

#include "engine.h"

struct fleet_model_settings {
	const struct engine_profile *profile;
	size_t engines;
	size_t gateways;
	double round_ms; /* between two messages of a gateway's load */
};

void fleet_model_run(
    const struct fleet_model_settings *, GPtrArray *prompts, GRand *);

#endif
