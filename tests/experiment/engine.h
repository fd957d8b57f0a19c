/*
 * A model of one engine in virtual time, after the published sheet: passes that
 * read and write. Of prompts in parts it reads the last that came first; whole
 * ones come after those, the first first.
 */
#ifndef EXPERIMENT_ENGINE_H
#define EXPERIMENT_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "policy/balance.h"

#define PROMPT_ENGINES_MAX (BALANCE_HELPERS_MAX + 1)

/* One prompt on its way; times are milliseconds from the start. */
struct prompt {
	enum stream_class class;
	uint64_t tokens;
	uint32_t events; /* of its answer */
	double arrived_ms; /* the caller's first try */
	double last_try_ms; /* its last try */
	double planned_ms; /* below 0 while it waits */
	double expected_ms; /* first token, by the plan */
	size_t engines[PROMPT_ENGINES_MAX]; /* engines; the first writes */
	double counted_until_ms[PROMPT_ENGINES_MAX]; /* 0 once not counted */
	size_t engine_count;
	size_t prefills_left; /* readers that still read */
	double part_ms;
	uint32_t events_sent;
	double first_ms; /* of its first event; below 0 before */
	double last_ms;
	double max_gap_ms; /* longest between two events */
	uint32_t refusals;
	bool decoding; /* all of it has been read */
	bool ended; /* whole, or given up by its caller */
	bool released; /* and taken off all accounts */
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
