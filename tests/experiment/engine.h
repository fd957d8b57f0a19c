/*
 * Model of one engine in virtual time, after its published data sheet: passes
 * that prefill and decode. Parts of split prompts are prefilled first, last
 * come first served; whole prompts follow in order of arrival.
 */
#ifndef EXPERIMENT_ENGINE_H
#define EXPERIMENT_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "policy/balance.h"

#define PROMPT_ENGINES_MAX (BALANCE_HELPERS_MAX + 1)

/* One prompt; times are milliseconds from the start. */
struct prompt {
	enum stream_class class;
	uint64_t tokens;
	uint32_t events; /* of its response */
	uint64_t session; /* whose prompts begin alike; 0 for none */
	uint64_t prefix_tokens; /* that they share */
	double arrived_ms; /* the caller's first try */
	double last_try_ms; /* the caller's last try */
	double planned_ms; /* below 0 until it is placed */
	double expected_ms; /* planned time of the first token */
	size_t engines[PROMPT_ENGINES_MAX]; /* the first also decodes */
	double counted_until_ms[PROMPT_ENGINES_MAX]; /* 0 once uncounted */
	size_t engine_count;
	size_t prefills_left; /* engines still prefilling */
	double part_ms;
	uint32_t events_sent;
	double first_ms; /* of the first event; below 0: none yet */
	double last_ms;
	double max_gap_ms; /* longest time between two events */
	uint32_t refusals;
	double refused_ms; /* the first time, if it was */
	bool waiting; /* counted as such by its gateway */
	bool noticed; /* the other gateways know of it */
	bool decoding; /* its prefill is complete */
	bool ended; /* complete, or abandoned by its caller */
	bool released; /* ended and no longer counted by its gateway */
};

struct engine;

struct engine *engine_new(const struct engine_profile *);
void engine_free(struct engine *);
void engine_prefill(
    struct engine *, struct prompt *, size_t part, double now_ms);
void engine_decode(struct engine *, struct prompt *, double now_ms);
void engine_run(struct engine *, double until_ms);
uint32_t engine_decoding_count(const struct engine *);

#endif
