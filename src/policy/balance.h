/*
 * Choice of upstreams for requests that an entry host sends directly to them.
 *
 * Load pattern: prompts of a million tokens beside clerks' short ones, in a mix
 * that changes within seconds. An engine prefills prompts between the steps of
 * its decoding requests, so a long prefill stalls all streams there. Short
 * streams are therefore packed on as few engines as can take them, each new one
 * on the engine that has the most, and long prompts are divided evenly among
 * many of the other engines. Which engines these are changes with every
 * request. Engines prefill the parts that arrived last before earlier ones, so
 * during a burst a long prompt is held back here until the prompts before it
 * are prefilled.
 *
 * Admission: a prompt is served if its first token comes before its caller
 * gives up, no caller of a more urgent rank is late because of it, and at most
 * one other caller for one that is in time. Each caller counts once, however
 * long its prompt is. A caller is late if its first token comes after its
 * target or an event after the gap that its route allows. At least half of the
 * engines stay free of prefill that is longer than the shortest gap, so that a
 * caller with little time that comes next can be served. A prompt that would
 * make others late waits while it can still be in time; then it is rejected,
 * when its caller has most of its time left.
 *
 * Cost unit: a caller that is late. Values that only rank engines against each
 * other are in milliseconds of waiting instead; their names end in _MS.
 */
#ifndef POLICY_BALANCE_H
#define POLICY_BALANCE_H

#include <sys/types.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/engine_profile.h"
#include "policy/stream_class.h"

/* Milliseconds: largest gap target, as in routes, of the first two classes. */
#define BALANCE_SHORT_GAP_MS  400.0
#define BALANCE_MEDIUM_GAP_MS 800.0
/*
 * Milliseconds of prefill on one engine up to which the prompt of a short
 * stream is not divided.
 */
#define BALANCE_UNDIVIDED_MS 130.0
/* Share of an engine's slots up to which short streams are packed on it. */
#define BALANCE_PACK_SHARE 0.75
/* Milliseconds of backlog above which no short streams are packed there. */
#define BALANCE_PACK_BACKLOG_MS 60.0
/* Maximum number of engines, besides the first, that prefill one prompt. */
#define BALANCE_HELPERS_MAX 16
/*
 * Share of the backlog that a divided prompt is expected to wait for. Engines
 * prefill the latest part first, so it waits only for parts that arrive later.
 */
#define BALANCE_BACKLOG_SHARE 0.5
/*
 * Share of its target that a prompt that is being prefilled still has on
 * average: it has just been sent, or is nearly done.
 */
#define BALANCE_SLACK_SHARE 0.5
/*
 * Cost units of a part that takes as long as the gap that the route allows. The
 * cost grows with the square of the length: requests that reach the engine
 * meanwhile are more, and wait longer.
 */
#define BALANCE_PART_COST 0.5
/*
 * Milliseconds of backlog that weigh as much, when engines are ranked for a
 * part, as one cost unit of delayed streams, and as one short stream there.
 */
#define BALANCE_DELAYED_STREAM_MS 240.0
#define BALANCE_SHORT_STREAM_MS	  60.0
/*
 * Share of the gap that the route allows, less a decode pass, that a part takes
 * at most: a stream that starts may wait for the rest of one pass and all of
 * the next.
 */
#define BALANCE_PART_GAP_SHARE 0.5
/* Cost units of each engine that takes part, since any of them may fail. */
#define BALANCE_ENGINE_COST 0.03
/* Milliseconds by which each short stream makes an engine preferable. */
#define BALANCE_PACK_GAIN_MS 60.0
/* Milliseconds added for an upstream all of whose answers fail. */
#define BALANCE_ERROR_COST_MS 2000.0
/* Milliseconds added for each request that runs there. */
#define BALANCE_RUNNING_COST_MS 6.0
/* Milliseconds added for a full upstream, and for each request beyond that. */
#define BALANCE_FULL_COST_MS	1000.0
#define BALANCE_WAITING_COST_MS 150.0
/*
 * Share of an engine's memory that is planned with: answers grow, and the
 * newest requests of the peers are not known.
 */
#define BALANCE_MEMORY_SHARE 0.9

/* Milliseconds after which a prompt that waits is planned again. */
#define BALANCE_WAIT_INTERVAL_MS 50

/* An upstream that may be chosen, with its current state. */
struct balance_candidate {
	uint32_t slots;
	uint32_t running; /* requests of all processes, as far as known */
	double backlog_ms; /* queued prefill work */
	uint64_t context_tokens; /* KV tokens of the running requests */
	uint32_t streams[STREAM_CLASSES]; /* streams decoding there, by class */
	double error_share; /* share of recent answers that failed */
	double saved_ms; /* of the prompt's prefill, see policy/affinity.h */
	uint32_t tie; /* random; breaks ties */
	uint32_t order; /* the same at all gateways */
	double distance_ms; /* cost of the way, see policy/locality.h */
};

struct balance_prompt {
	uint64_t tokens;
	uint64_t output_tokens;
	enum stream_class class;
	double target_ms; /* target time to the first token */
	double slack_ms; /* time left until its target */
	double left_ms; /* time left until its caller gives up */
	size_t engines_max; /* unless memory needs more; 0: no limit */
	bool undivided; /* one engine prefills it, or none */
	bool was_sent; /* before: is served at any cost to others */
	size_t engines_aside; /* of its service, not among the candidates */
	uint32_t rank; /* 0 is the most urgent */
	uint32_t route_rank; /* the same without its organisation's own */
	double ahead_ms; /* prefill of more urgent prompts that wait */
	double gap_ms; /* gap target of its route; 0: none */
	struct {
		double gap_ms; /* longest gap that is no delay; 0: none */
		uint32_t rank; /* of the most urgent of them */
	} streams[STREAM_CLASSES]; /* of its service */
};

/* Whether a prompt is served now, and the reason if not. */
enum balance_verdict {
	BALANCE_SERVE,
	BALANCE_NO_ENGINE, /* there is no engine */
	BALANCE_NO_MEMORY, /* the engines together lack memory for it now */
	BALANCE_TOO_LARGE, /* it would not fit if they were empty */
	BALANCE_DELAYS_OTHERS, /* too many others would be late */
	BALANCE_TOO_LATE, /* its caller gives up before its first token */
	BALANCE_HELD_BACK, /* it has time and would delay more urgent streams */
};

/* Which engines prefill a prompt, as indexes into the candidates. */
struct balance_plan {
	size_t first; /* decodes the answer and keeps the prompt's KV cache */
	size_t helpers[BALANCE_HELPERS_MAX];
	uint64_t reserved_tokens[BALANCE_HELPERS_MAX]; /* to reserve at each */
	size_t helper_count;
	double part_ms; /* prefill time of each part */
	double first_token_ms; /* expected time to the first token */
	double wait_ms; /* if not served: expected time until it can be */
	double alone_ms; /* first_token_ms if the engines had no backlog */
	bool late; /* the prompt itself, by its first token or its gaps */
	bool leaves_room; /* for callers with less time that come next */
	double late_urgent; /* callers of more urgent ranks that would be */
	double late_others; /* callers of its rank that would be */
	double cost; /* of the division, in cost units; ranks plans */
};

enum stream_class balance_stream_class(double gap_target_ms);
bool balance_is_divisible(
    const struct engine_profile *, const struct balance_prompt *);
ssize_t balance_choose(const struct balance_candidate *, size_t count);
bool balance_prompt_may_wait(const struct balance_prompt *,
    enum balance_verdict, const struct balance_plan *);
enum balance_verdict balance_plan_prompt(const struct engine_profile *,
    const struct balance_candidate *, size_t count,
    const struct balance_prompt *, struct balance_plan *);

#endif
