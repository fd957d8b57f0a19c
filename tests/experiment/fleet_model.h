/*
 * Model of several gateways that place prompts on engines by the policy. Each
 * knows its own requests at once and those of others as they publish them.
 */
#ifndef EXPERIMENT_FLEET_MODEL_H
#define EXPERIMENT_FLEET_MODEL_H

#include <stdbool.h>

#include <glib.h>

#include "engine.h"

/* What a model adds of engines that keep prompts; each function gets data. */
struct fleet_model_ops {
	/* Completes what a gateway knows of all engines for a prompt. */
	void (*describe)(void *data, size_t gateway, const struct prompt *,
	    struct balance_candidate *, double now_ms);
	/* Returns how long each engine of a placed prompt really prefills. */
	double (*place)(
	    void *data, size_t gateway, const struct prompt *, double now_ms);
	void (*begin)(void *data, size_t gateway, const struct prompt *);
	void (*end)(
	    void *data, size_t gateway, const struct prompt *, double now_ms);
};

struct fleet_model_settings {
	const struct engine_profile *profile;
	size_t engines;
	size_t gateways;
	double round_ms; /* between two load messages of a gateway */
	double notice_ms; /* until the others know of a prompt that was sent */
	bool by_rank; /* placed by the ranks of the classes */
	bool patience; /* callers wait for a third of their time left */
	bool sticky; /* a session's requests all reach one gateway */
	const struct fleet_model_ops *ops; /* NULL for none */
	void *data; /* of these */
};

void fleet_model_run(
    const struct fleet_model_settings *, GPtrArray *prompts, GRand *);

#endif
