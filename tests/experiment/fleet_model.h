/*
 * Model of several gateways that place prompts on engines by the policy. Each
 * knows its own requests at once and those of others as they publish them.
 */
#ifndef EXPERIMENT_FLEET_MODEL_H
#define EXPERIMENT_FLEET_MODEL_H

#include <stdbool.h>

#include <glib.h>

#include "engine.h"

struct fleet_model_settings {
	const struct engine_profile *profile;
	size_t engines;
	size_t gateways;
	double round_ms; /* between two load messages of a gateway */
	double notice_ms; /* until the others know of a prompt that was sent */
	bool by_rank; /* placed by the ranks of the classes */
	bool patience; /* callers wait for a third of their time left */
	bool return_queue; /* they get turns, see policy/return_queue.h */
};

void fleet_model_run(
    const struct fleet_model_settings *, GPtrArray *prompts, GRand *);

#endif
