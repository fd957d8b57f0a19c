/*
 * Weighs what an upstream is believed to hold of a prompt against waiting
 * there. Engines that keep a prompt's KV cache after its request skip the
 * prefill of the prefix that the next prompt shares with it. Load pattern: a
 * prefix that many requests share, and sessions whose prompts grow from turn to
 * turn, beside prompts that share nothing.
 *
 * An assumption is never more than a preference among the upstreams that may be
 * chosen anyway: it does not admit or reject a request, and it counts for
 * nothing at an upstream that is full or has no memory for the request.
 */
#ifndef POLICY_AFFINITY_H
#define POLICY_AFFINITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/balance.h"

/*
 * Milliseconds of waiting that a millisecond of prefill saved is worth at an
 * upstream where requests wait. Prompts are prefilled between the decode
 * passes, so what is saved is saved for the streams that decode there too.
 */
#define AFFINITY_WAITING_WEIGHT 4.0
/*
 * The same at an upstream that takes short streams without waiting. It is large
 * enough for a prefix of a few thousand tokens to count more than packing short
 * streams on few engines. docs/design/prompt-affinity.md has the results of
 * other weights.
 */
#define AFFINITY_PACKING_WEIGHT 40.0
/*
 * Most that a prefix is worth, in milliseconds of waiting. Where requests wait
 * it is less than the cost of the requests that run on a packed engine, so that
 * idle engines are used before packed ones, held prefix or not.
 */
#define AFFINITY_PACKING_MAX_MS 1000.0
#define AFFINITY_WAITING_MAX_MS 60.0
/* Evidence from which one first token shows that a prefix was held or not. */
#define AFFINITY_EVIDENCE_MIN 0.5
/*
 * Sum of the evidence against assumptions, none of it refuted, from which
 * nothing is assumed of an upstream: several first tokens that each show little
 * count as much as three that show clearly that nothing was held.
 */
#define AFFINITY_DOUBT_MAX 3.0
/*
 * Expected share of the prompts whose prefix its known holder or its home, see
 * affinity_home_weight(), does hold: at first, and at least, so that it can
 * grow again where it is observed by chance.
 */
#define AFFINITY_HOLDER_SHARE 1.0
#define AFFINITY_HOME_SHARE   0.5
#define AFFINITY_SHARE_MIN    0.02
/* Tokens of the shortest prefix that is taken into account. */
#define AFFINITY_PREFIX_TOKENS_MIN 256

/* A prompt, and what an upstream is believed to hold of it. */
struct affinity_prompt {
	uint64_t tokens;
	uint64_t output_tokens;
	uint64_t held_tokens; /* leading ones */
};

/*
 * By how much first tokens come later than expected where nothing is assumed:
 * moving averages, in milliseconds. Other prompts delay those with a held
 * prefix as much.
 */
struct affinity_delay {
	double mean_ms;
	double deviation_ms; /* mean difference from the mean */
	bool known;
};

/* What the time of a first token shows about an assumption. */
enum affinity_finding {
	AFFINITY_UNCLEAR,
	AFFINITY_HELD,
	AFFINITY_NOT_HELD, /* it took as long as without the prefix */
};

double affinity_saved_ms(const struct engine_profile *,
    const struct balance_candidate *, const struct affinity_prompt *);
double affinity_credit_ms(const struct balance_candidate *, bool waits);
uint64_t affinity_home_weight(uint64_t prefix, const char *upstream);
void affinity_share_add(double *share, enum affinity_finding);
void affinity_adjust_plan(const struct engine_profile *,
    const struct balance_candidate *, size_t count,
    const struct balance_prompt *, struct balance_plan *);
void affinity_delay_add(struct affinity_delay *, double delay_ms);
double affinity_evidence(
    const struct affinity_delay *, double delay_ms, double saved_ms);
enum affinity_finding affinity_finding(double evidence);

#endif
