/*
 * Choice of upstreams for a request that an entry host sends straight to them.
 *
 * Load pattern: prompts of a million tokens beside clerks' short ones, in a mix
 * that swings within seconds. An engine reads prompts between the steps of
 * those that write, so that a long reading stops all that write there. Short
 * streams are therefore packed on as few engines as bear them, each new one
 * where the most are already, and long prompts are read in even parts by many
 * of the others. The border between the two moves with every request. Engines
 * read the parts of prompts that came last ahead of earlier ones, so that a
 * long prompt in a burst is held back here until those before it are read.
 */
#ifndef POLICY_BALANCE_H
#define POLICY_BALANCE_H

#include <sys/types.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/engine_profile.h"

/* How long a pause between two events a stream bears. */
enum stream_class {
	STREAM_SHORT,
	STREAM_MEDIUM,
	STREAM_LONG,
	STREAM_CLASSES,
};

/* Longest pauses, as routes state them, of the first two classes. */
#define BALANCE_SHORT_GAP_MS  400.0
#define BALANCE_MEDIUM_GAP_MS 800.0
/* A short stream's prompt that one engine reads within this is not divided. */
#define BALANCE_UNDIVIDED_MS 130.0
/* Part of an engine's places that short streams are packed on. */
#define BALANCE_PACK_SHARE 0.75
/* Reading ahead beyond which an engine gets no short stream, if others can. */
#define BALANCE_PACK_BACKLOG_MS 60.0
/* Pauses that are planned for, below what the classes' callers bear. */
#define BALANCE_SHORT_PLANNED_GAP_MS  240.0
#define BALANCE_MEDIUM_PLANNED_GAP_MS 520.0
#define BALANCE_LONG_PLANNED_GAP_MS   900.0
/* What a late stream of the other classes counts for, in short ones. */
#define BALANCE_MEDIUM_WEIGHT 4.0
#define BALANCE_LONG_WEIGHT   12.0
/* Engines besides the first that may read one prompt. */
#define BALANCE_HELPERS_MAX 16
/*
 * A prompt's worth grows with its length. It is counted in short streams of the
 * usual length; longer prompts are worth less for each token.
 */
#define BALANCE_SHORT_UNIT_TOKENS 5000.0
#define BALANCE_LONG_UNIT_TOKENS  10000.0
/*
 * A prompt that costs more than this part of its own worth is turned away: its
 * reading grows with the square of its length, and at a high load it would make
 * several others late.
 */
#define BALANCE_ADMIT_COST_RATIO 1.0
/* Part of its time after which a prompt begins to count as late. */
#define BALANCE_LATE_FROM_SHARE 0.2
/*
 * An engine reads parts the last first, ahead of what it was reading: a prompt
 * in parts waits for no more than what comes after it, taken as this share of
 * the reading that lies ahead.
 */
#define BALANCE_BACKLOG_SHARE 0.5
/*
 * Cost of each millisecond by which a part holds up a prompt that is being read
 * there, in late short streams; and how much reading stands for one such
 * prompt, up to so many.
 */
#define BALANCE_PREEMPT_COST_PER_MS 0.012
#define BALANCE_PREEMPT_BACKLOG_MS  400.0
#define BALANCE_PREEMPT_PROMPTS_MAX 3.0
/*
 * Cost of a part as long as a medium stream's pause, in late short streams. It
 * grows with the square up to that, since what comes to that engine next would
 * wait; beyond it, others keep away.
 */
#define BALANCE_PART_COST 0.5
/*
 * Waiting that a reader without streams may have ahead in place of one that a
 * part makes late, and of one short stream that is near.
 */
#define BALANCE_DELAYED_STREAM_MS 240.0
#define BALANCE_SHORT_STREAM_MS	  60.0
/* Cost of one more reader, in late short streams: it may fail. */
#define BALANCE_ENGINE_COST 0.03
/* Gain of each short stream that an engine writes already, the same way. */
#define BALANCE_PACK_GAIN_MS 60.0
/* Cost of an upstream whose answers all fail, in milliseconds of waiting. */
#define BALANCE_ERROR_COST_MS 2000.0
/* Cost of each request that runs already, in milliseconds of waiting. */
#define BALANCE_RUNNING_COST_MS 6.0
/* Cost of a full upstream, and of each request that waits there already. */
#define BALANCE_FULL_COST_MS	1000.0
#define BALANCE_WAITING_COST_MS 150.0
/*
 * Part of an engine's memory that prompts are planned for: answers grow, and
 * the peers' newest requests are not known.
 */
#define BALANCE_MEMORY_SHARE 0.9

/*
 * A prompt that nobody can take waits for this part of its time to a first
 * token and is planned anew so often. Beyond it, it is told when to come back.
 */
#define BALANCE_WAIT_SHARE	 0.2
#define BALANCE_WAIT_INTERVAL_MS 50

/* An upstream that may be chosen, as it is now. */
struct balance_candidate {
	uint32_t slots;
	uint32_t running; /* requests, of all processes as far as known */
	double backlog_ms; /* reading that lies ahead */
	uint64_t context_tokens; /* memory of the requests that run */
	uint32_t streams[STREAM_CLASSES]; /* that it writes */
	double error_share; /* of its answers lately */
	uint32_t tie; /* random: equals are not chosen by their order */
};

struct balance_prompt {
	uint64_t tokens;
	uint64_t output_tokens;
	enum stream_class class;
	double target_ms; /* to its first token */
	double waited_ms; /* since it arrived */
	size_t engines_max; /* unless its memory needs more; 0 for any number */
};

/* Whether a prompt is served now. */
enum balance_verdict {
	BALANCE_SERVE,
	BALANCE_NO_ENGINE, /* there is no engine */
	BALANCE_NO_MEMORY, /* the engines together have none for it now */
	BALANCE_TOO_COSTLY, /* it would cost the others more than it is worth */
};

/* Who reads a prompt; indexes into the candidates. */
struct balance_plan {
	size_t first; /* writes the answer and keeps the prompt */
	size_t helpers[BALANCE_HELPERS_MAX];
	uint64_t held_tokens[BALANCE_HELPERS_MAX]; /* to be set aside there */
	size_t helper_count;
	double part_ms; /* reading time of each */
	double first_token_ms; /* expected */
	double wait_ms; /* until it can be served, where it is turned away */
	double cost; /* to others and by its own lateness, in short streams */
	double worth; /* of itself, the same way */
};

enum stream_class balance_stream_class(double gap_target_ms);
ssize_t balance_choose(const struct balance_candidate *, size_t count);
bool balance_prompt_may_wait(
    const struct balance_prompt *, enum balance_verdict);
enum balance_verdict balance_plan_prompt(const struct engine_profile *,
    const struct balance_candidate *, size_t count,
    const struct balance_prompt *, struct balance_plan *);

#endif
