/*
 * Choice of upstreams for a request that an entry host sends straight to them.
 *
 * Load pattern: prompts of a million tokens beside clerks' short ones, in a mix
 * that swings within seconds. An engine reads prompts between the steps of
 * those that write, so that a long reading stops all that write there. Short
 * streams are therefore packed on as few engines as bear them, each new one
 * where the most are already, and long prompts are read in even parts by many
 * of the others. The border between the two moves with every request.
 */
#ifndef POLICY_BALANCE_H
#define POLICY_BALANCE_H

#include <sys/types.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/reading.h"

/* A stream whose pauses may last no longer counts as short. */
#define BALANCE_SHORT_GAP_MS 400
/* A short stream's prompt that one engine reads within this is not divided. */
#define BALANCE_WHOLE_MS 130.0
/* Part of an engine's places that short streams are packed on. */
#define BALANCE_PACK_SHARE 0.75
/* Reading ahead beyond which an engine gets no short stream, if others can. */
#define BALANCE_PACK_BACKLOG_MS 60.0
/* Pause of a short stream that its callers don't mind. */
#define BALANCE_PAUSE_MS 240.0
/* The same of other streams, and what each counts for in short ones. */
#define BALANCE_LONG_PAUSE_MS 520.0
#define BALANCE_LONG_WORTH    6.0
/* Engines besides the first that may read one prompt. */
#define BALANCE_HELPERS_MAX 16
/*
 * What a late prompt costs, in late short streams: its worth grows with its
 * length, and a short one has some thousand tokens.
 */
#define BALANCE_TOKENS_PER_SHORT 10000.0
/* Part of its time after which a prompt begins to count as late. */
#define BALANCE_LATE_FROM 0.4
/* Cost of one more reader, in late short streams: it may fail. */
#define BALANCE_READER_COST 0.03
/* Cost of an upstream whose answers all fail, in milliseconds of waiting. */
#define BALANCE_ERROR_COST_MS 2000.0
/* Cost of each request that runs already, in milliseconds of waiting. */
#define BALANCE_RUNNING_COST_MS 6.0
/* Cost of a full upstream, and of each request that waits there already. */
#define BALANCE_FULL_COST_MS	1000.0
#define BALANCE_WAITING_COST_MS 150.0
/* Part of an engine's memory that prompts are planned for. */
#define BALANCE_MEMORY_SHARE 0.9

/* An upstream that may be chosen, as it is now. */
struct balance_candidate {
	uint32_t slots;
	uint32_t running; /* requests, of all processes as far as known */
	double backlog_ms; /* reading that lies ahead */
	uint64_t context_tokens; /* memory of the requests that run */
	uint32_t short_streams; /* that it writes */
	uint32_t long_streams;
	double error_share; /* of its answers lately */
	uint32_t tie; /* random: equals are not chosen by their order */
};

struct balance_prompt {
	uint64_t tokens;
	uint64_t output_tokens;
	bool is_short; /* a short pause makes it late */
	double target_ms; /* to its first token */
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
