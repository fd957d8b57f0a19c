/*
 * Which ranks of a service were served and rejected lately, at all gateways,
 * and what follows for the next prompt.
 *
 * Load pattern: a burst of prompts of one rank beside those of others. By cost
 * alone the prompts that cost the most are rejected, whatever their rank, and a
 * rank whose prompts cost more than they are worth would not be served at all.
 *
 * Bounds: a prompt is not rejected for its cost if that makes its rank rejected
 * more often, over RANK_LEDGER_WINDOW_MS, than a less urgent one; instead the
 * less urgent ranks yield until they are rejected as often. A rank is served at
 * least RANK_LEDGER_FLOOR_SHARE times as often as all ranks together, and at
 * least once in a window, as far as the engines' memory allows. Large prompts,
 * which cost more than they are worth first, are served at least
 * RANK_LEDGER_LARGE_SHARE times as often as all of their rank.
 */
#ifndef POLICY_RANK_LEDGER_H
#define POLICY_RANK_LEDGER_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "policy/balance.h"
#include "policy/precedence.h"

/*
 * Time over which the shares of ranks are compared, and slots that it consists
 * of. The latter half of it is compared too, so that the order also holds over
 * times that begin or end between two rejections.
 */
#define RANK_LEDGER_WINDOW_MS 5000
#define RANK_LEDGER_SLOTS     10
/* Least share of prompts served of a rank, in shares of all prompts. */
#define RANK_LEDGER_FLOOR_SHARE 0.25
/*
 * Prompts longer than this many times the mean of their rank count as large. In
 * loads with lognormal lengths the largest tenth begins at 1.4 to 2.1 times it.
 */
#define RANK_LEDGER_LARGE_TIMES 1.5
/* Least share of large prompts served, in shares of their rank's prompts. */
#define RANK_LEDGER_LARGE_SHARE 0.5
/* Prompts of a rank at one gateway after which the aged counts are halved. */
#define RANK_LEDGER_AGED_MAX 100

/* Prompts of one rank. */
struct rank_counts {
	uint32_t served;
	uint32_t rejected;
	uint32_t forced; /* of those served: by cost they would be rejected */
	uint32_t recent_served; /* in the latter half of the window */
	uint32_t recent_rejected;
	uint32_t aged_served; /* over a longer time */
	uint32_t aged_decided;
	uint64_t aged_tokens; /* of their prompts */
	uint32_t large_served; /* of these, large prompts */
	uint32_t large_decided;
	uint32_t waiting; /* now */
	uint64_t waiting_tokens; /* of their prompts */
};

/* Zero-initialised: empty. */
struct rank_ledger {
	struct {
		int64_t number; /* of the slot since the clock's start */
		struct rank_counts counts[PRECEDENCE_RANKS];
	} slots[RANK_LEDGER_SLOTS];
	struct rank_counts current[PRECEDENCE_RANKS]; /* not by slot */
};

/* What happens to a prompt. */
enum rank_outcome {
	RANK_SERVED,
	RANK_FORCED, /* served although its cost exceeds its worth */
	RANK_REJECTED,
};

/* A prompt that was decided on. */
struct rank_prompt {
	uint32_t rank;
	uint64_t tokens;
	bool is_large; /* among the prompts of its rank */
};

void rank_ledger_add(struct rank_ledger *, const struct rank_prompt *,
    enum rank_outcome, struct timespec now);
bool rank_counts_is_large(const struct rank_counts *, uint64_t tokens);
void rank_ledger_add_waiting(
    struct rank_ledger *, uint32_t rank, uint64_t tokens);
void rank_ledger_remove_waiting(
    struct rank_ledger *, uint32_t rank, uint64_t tokens);
void rank_ledger_sum(const struct rank_ledger *, struct timespec now,
    struct rank_counts sums[PRECEDENCE_RANKS]);
bool rank_counts_is_empty(const struct rank_counts *);
void rank_counts_add(struct rank_counts *, const struct rank_counts *);
void rank_counts_subtract(struct rank_counts *, const struct rank_counts *);
double rank_counts_ahead_ms(const struct rank_counts sums[PRECEDENCE_RANKS],
    uint32_t rank, const struct engine_profile *, size_t engines);
enum balance_verdict rank_counts_rule(
    const struct rank_counts sums[PRECEDENCE_RANKS],
    const struct balance_prompt *, enum balance_verdict);

#endif
