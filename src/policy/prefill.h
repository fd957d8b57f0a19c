/*
 * Tracks the prompt tokens of started requests that the upstream has still to
 * prefill, and its prefill speed. Keeps the backlog inside the upstream small,
 * so that the queue decides the order of service, and reserves as much of the
 * speed as long requests need to meet their targets.
 */
#ifndef POLICY_PREFILL_H
#define POLICY_PREFILL_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "peer/message.h"

/*
 * Short requests are started only while the prefill backlog of started short
 * requests is below this.
 */
#define PREFILL_WINDOW_MS 50
/*
 * Target for a long request's first token, as a part of the time until its
 * deadline.
 */
#define PREFILL_LONG_TARGET_PERCENT 75
/*
 * A long request behind others is rejected if its expected wait exceeds this
 * part of the time until its deadline.
 */
#define PREFILL_LONG_ACCEPT_PERCENT 50
/* Upper limit of the share of the speed that is reserved for long requests. */
#define PREFILL_LONG_SHARE_MAX 0.5
/* Time constant for smoothing the token rate of offered short requests. */
#define PREFILL_SMOOTHING_MS 30000
/*
 * Lower limit of the share of the speed that long requests are expected to get.
 */
#define PREFILL_LONG_SHARE_MIN 0.2
/* Unused allowance of short requests accumulates for at most this long. */
#define PREFILL_ALLOWANCE_MAX_MS 10000

struct prefill {
	uint32_t tokens_per_s; /* 0 if unknown: starts are not limited */
	uint64_t short_tokens; /* started, without a first token */
	uint64_t long_tokens; /* started, without a first token */
	double long_remaining_tokens; /* estimate, not yet computed */
	uint64_t short_computed_tokens; /* computed since updated_at */
	uint32_t short_count;
	uint32_t long_count;
	uint64_t short_offered_tokens; /* offered since updated_at */
	double short_tokens_per_s; /* smoothed rate of offered short requests */
	double long_share; /* share of the speed reserved for long requests */
	double short_allowance_tokens; /* that may be started */
	struct timespec updated_at;
};

void prefill_init(struct prefill *, uint32_t tokens_per_s);
void prefill_on_offered(struct prefill *, enum work_class, uint64_t tokens);
void prefill_on_started(struct prefill *, enum work_class, uint64_t tokens);
void prefill_on_ended(struct prefill *, enum work_class, uint64_t tokens);
double prefill_share(const struct prefill *, uint64_t tokens, int64_t left_ms);
void prefill_set_long_share(
    struct prefill *, double long_share, struct timespec now);
bool prefill_has_room(const struct prefill *);
int64_t prefill_ms(const struct prefill *, uint64_t tokens);
int64_t prefill_long_ms(const struct prefill *, uint64_t tokens);
int64_t prefill_expected_ms(
    const struct prefill *, enum work_class, uint64_t tokens);

#endif
