/*
 * Seeded loads: prompts of three classes in the users' proportions, in waves
 * and bursts, and what each is worth.
 */
#ifndef EXPERIMENT_TRAFFIC_H
#define EXPERIMENT_TRAFFIC_H

#include <glib.h>

#include "engine.h"

/* What a class of prompts is like. */
struct prompt_class {
	const char *name;
	double share; /* of the prompts */
	double tokens; /* in the mean */
	double sigma; /* of their logarithm */
	double tokens_max;
	double events; /* in the mean */
	double target_ms; /* to the first token */
	double gap_ms; /* longest pause in time */
	double deadline_ms; /* its caller leaves */
	double worth;
	double late_worth;
};

/* Worth grows with the size: this part does not. */
#define WORTH_FIXED 0.3
/* A prompt is worth this many times its class's worth at the most. */
#define WORTH_TIMES_MAX 4.0

extern const struct prompt_class prompt_classes[STREAM_CLASSES];

double traffic_mean_prefill_ms(const struct engine_profile *);
GPtrArray *traffic_make(const struct engine_profile *, size_t engines,
    double load, double length_ms, GRand *);
double traffic_worth(const struct prompt *);
double traffic_earned(const struct prompt *);
bool traffic_is_in_time(const struct prompt *);

#endif
