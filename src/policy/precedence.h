/*
 * Placement of prompts by rank and by the time that their callers have.
 *
 * Load pattern: many short streams with a target of a few hundred milliseconds
 * beside few long prompts with a target of several seconds. An engine prefills
 * the parts of a divided prompt before everything else, so one part makes all
 * short streams of its engine late, while the long prompt has time to spare.
 *
 * A prompt therefore uses engines without streams that go before it as far as
 * these let it meet its target: streams of a more urgent rank, and of its own
 * rank those with less time. For more urgent ranks it also leaves room for the
 * streams that come next, and is held back while it can still meet its target.
 */
#ifndef POLICY_PRECEDENCE_H
#define POLICY_PRECEDENCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/balance.h"
#include "policy/engine_profile.h"
#include "policy/stream_class.h"

/* Ranks are 0, the most urgent, to this one. */
#define PRECEDENCE_RANK_MAX 9
#define PRECEDENCE_RANKS    (PRECEDENCE_RANK_MAX + 1)
/* A rank that is not valid; it counts as the least urgent of its service. */
#define PRECEDENCE_RANK_INVALID UINT32_MAX
/*
 * The number of streams that run at a time varies about its mean like a Poisson
 * variable. Room is kept for this many standard deviations above it.
 */
#define PRECEDENCE_ROOM_DEVIATIONS 2.0

/* Streams of one class in a service. */
struct precedence_class {
	bool used; /* by at least one route */
	uint32_t rank; /* of the most urgent of them */
	double gap_ms; /* smallest gap target; 0: none */
};

/* Ranks of a service's routes and of the organisations. */
struct precedence_ranks {
	bool has_ranks; /* at least two are different */
	bool used[PRECEDENCE_RANKS];
	uint32_t least_urgent;
	struct precedence_class classes[STREAM_CLASSES];
};

uint32_t precedence_resolve_rank(const struct precedence_ranks *,
    uint32_t route_rank, bool has_own_rank, uint32_t own_rank);
uint32_t precedence_urgency(const struct precedence_ranks *, uint32_t rank,
    double target_ms, double waited_ms);
enum balance_verdict precedence_plan_prompt(const struct engine_profile *,
    const struct precedence_ranks *, const struct balance_candidate *,
    size_t count, const struct balance_prompt *, struct balance_plan *);

#endif
