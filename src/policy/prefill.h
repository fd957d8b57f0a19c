/*
 * What the upstream still has to compute of the prompts that were started, and
 * how fast it does so. Keeps the work that waits inside the upstream small, so
 * that the order of service stays with the queue, and keeps as much of the
 * speed from shorts as longs need to be in time.
 */
#ifndef POLICY_PREFILL_H
#define POLICY_PREFILL_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "peer/message.h"

/* Shorts are started while less than this much work of shorts lies ahead. */
#define PREFILL_WINDOW_MS 50
/* Longs are to have their first token in this part of the time they have. */
#define PREFILL_LONG_TARGET_PERCENT 75
/* A long whose expected wait is a larger part of its time is refused. */
#define PREFILL_LONG_ACCEPT_PERCENT 50
/* The most of the speed that is kept from shorts. */
#define PREFILL_LONG_SHARE_MAX 0.5
/* The speed that shorts ask for is smoothed over this long. */
#define PREFILL_SMOOTHING_MS 30000
/* The least share of the speed that longs are expected to get. */
#define PREFILL_LONG_SHARE_MIN 0.2
/* Shorts save up what they did not use for this long. */
#define PREFILL_ALLOWANCE_MAX_MS 10000

struct prefill {
	uint32_t tokens_per_s; /* 0 where not known: nothing is held back */
	uint64_t short_tokens; /* started shorts without a first token */
	uint64_t long_tokens; /* started longs without a first token */
	double long_remaining_tokens; /* of them, as far as can be told */
	uint64_t short_computed_tokens; /* tokens computed since updated_at */
	uint32_t short_count;
	uint32_t long_count;
	uint64_t short_offered_tokens; /* tokens since updated_at */
	double short_tokens_per_s; /* offered lately, tokens a second */
	double long_share; /* of the speed, that longs need to be in time */
	double short_allowance_tokens; /* tokens that shorts may start */
	struct timespec updated_at;
};

void prefill_init(struct prefill *, uint32_t tokens_per_s);
void prefill_offered(struct prefill *, enum work_class, uint64_t tokens);
void prefill_started(struct prefill *, enum work_class, uint64_t tokens);
void prefill_ended(struct prefill *, enum work_class, uint64_t tokens);
double prefill_share(const struct prefill *, uint64_t tokens, int64_t left_ms);
void prefill_set_long_share(
    struct prefill *, double long_share, struct timespec now);
bool prefill_has_room(const struct prefill *);
int64_t prefill_ms(const struct prefill *, uint64_t tokens);
int64_t prefill_long_ms(const struct prefill *, uint64_t tokens);
int64_t prefill_expected_ms(
    const struct prefill *, enum work_class, uint64_t tokens);

#endif
