/*
 * Choice of upstreams for a request that an entry host sends straight to them.
 *
 * Load pattern: a million-token prompt beside clerks' short ones. An engine
 * reads prompts between the steps of those that write, so that one long prompt
 * read by one engine stops all that write there for seconds. Long prompts are
 * therefore read in thin even parts by many engines, and every request goes
 * where the least reading lies ahead of it.
 */
#ifndef POLICY_BALANCE_H
#define POLICY_BALANCE_H

#include <sys/types.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/reading.h"

/* A prompt that one engine reads within this is not divided. */
#define BALANCE_WHOLE_MS 130.0
/* Reading time of one part, where there are engines enough. */
#define BALANCE_PART_MS 120.0
/* Engines besides the first that may read one prompt. */
#define BALANCE_HELPERS_MAX 16
/* Cost of an upstream whose answers all fail, in milliseconds of waiting. */
#define BALANCE_ERROR_COST_MS 2000.0
/* Cost of each request that runs already, in milliseconds of waiting. */
#define BALANCE_RUNNING_COST_MS 6.0
/* Cost of a full upstream, where the request would wait for a place. */
#define BALANCE_FULL_COST_MS 1000.0
/* Part of an engine's memory that prompts are planned for. */
#define BALANCE_MEMORY_SHARE 0.9

/* An upstream that may be chosen, as it is now. */
struct balance_candidate {
	uint32_t slots;
	uint32_t running; /* requests, of all processes as far as known */
	double backlog_ms; /* reading that lies ahead */
	uint64_t context_tokens; /* memory of the requests that run */
	uint32_t writers; /* that a pause makes late */
	double error_share; /* of its answers lately */
	uint32_t tie; /* random: equals are not chosen by their order */
};

struct balance_prompt {
	uint64_t tokens;
	uint64_t output_tokens;
};

/* Who reads a prompt; indexes into the candidates. */
struct balance_plan {
	size_t first; /* writes the answer and keeps the prompt */
	size_t helpers[BALANCE_HELPERS_MAX];
	size_t helper_count;
	double part_ms; /* reading time of each */
	double first_token_ms; /* expected */
};

ssize_t balance_call(const struct balance_candidate *, size_t count);
bool balance_prompt(const struct engine_profile *,
    const struct balance_candidate *, size_t count,
    const struct balance_prompt *, struct balance_plan *);

#endif
