/*
 * Seeded loads: prompts of three classes in the proportions of the users'
 * deployments, with a periodic rate and random arrivals, and what becomes of
 * their callers.
 */
#ifndef EXPERIMENT_TRAFFIC_H
#define EXPERIMENT_TRAFFIC_H

#include <glib.h>

#include "engine.h"

/* Properties of a class of prompts. */
struct prompt_class {
	const char *name;
	double share; /* of the prompts */
	double tokens; /* mean */
	double sigma; /* standard deviation of the logarithm of tokens */
	double tokens_max;
	double events; /* mean */
	double target_ms; /* to the first token */
	double gap_ms; /* longest time between two events */
	double deadline_ms; /* after which its caller gives up */
	uint32_t rank; /* of its route; 0 is the most urgent */
	double burst; /* its rate during bursts, in multiples; 0 for none */
};

/* Prompts of one load, and the engines that serve them. */
struct traffic_mix {
	const char *name;
	const struct engine_profile *engine;
	struct prompt_class classes[STREAM_CLASSES];
};

/* What became of a prompt's caller. */
enum traffic_outcome {
	TRAFFIC_IN_TIME, /* first event and all gaps within the limits */
	TRAFFIC_LATE,
	TRAFFIC_REFUSED, /* told so, and not served later */
	TRAFFIC_FAILED, /* served so late that its caller had left */
	TRAFFIC_OUTCOMES,
};

/* Classes of the mix in use. */
extern const struct prompt_class *prompt_classes;

const struct traffic_mix *traffic_use_mix(const char *name);
void traffic_set_mix(const struct traffic_mix *);
double traffic_mean_prefill_ms(const struct engine_profile *);
GPtrArray *traffic_make(const struct engine_profile *, size_t engines,
    double load, double length_ms, GRand *);
enum traffic_outcome traffic_outcome(const struct prompt *);
bool traffic_is_in_time(const struct prompt *);

#endif
