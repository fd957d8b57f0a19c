/*
 * How many requests an upstream is given at once. The limit starts at what a
 * cold upstream bears, rises with healthy completions while the upstream
 * reports that it is warm, and drops back at the first sign of a cold start:
 * the report lags, so the sign counts more than the report.
 */
#ifndef POLICY_RAMP_H
#define POLICY_RAMP_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* A report of warmth is believed again this long after a sign of cold. */
#define RAMP_WARM_HOLDOFF_MS 3000
/* A first token that took this many times what was expected is slow. */
#define RAMP_SLOW_FACTOR 4
/* One within this many times what was expected is healthy. */
#define RAMP_HEALTHY_FACTOR 2
/* Less than this above the expected time is never slow. */
#define RAMP_SLOW_GRACE_MS 250
/* So many slow first tokens one after the other are a sign of cold. */
#define RAMP_SLOW_COUNT 2

enum ramp_sign {
	RAMP_SIGN_REPORT, /* the upstream says that it is cold or loading */
	RAMP_SIGN_RESTART, /* its start counter rose */
	RAMP_SIGN_SLOW, /* first tokens take far longer than expected */
	RAMP_SIGN_REFUSED, /* it said overloaded or out of memory */
	RAMP_SIGN_LOST, /* it died or went silent */
	RAMP_SIGNS,
};

struct ramp {
	uint32_t slots;
	uint32_t cold_slots;
	uint32_t limit;
	bool reported_warm; /* as last reported */
	bool warm; /* reported, and believed */
	struct timespec sign_at; /* of the last sign of cold; zero for none */
	uint32_t slow_count; /* slow first tokens in a row */
	double latency_ratio; /* usual time to first token over the expected */
	uint64_t signs[RAMP_SIGNS];
};

void ramp_init(struct ramp *, uint32_t slots, uint32_t cold_slots);
void ramp_set_slots(struct ramp *, uint32_t slots);
void ramp_set_cold_slots(struct ramp *, uint32_t cold_slots);
void ramp_reported_warm(struct ramp *, struct timespec now);
void ramp_sign(struct ramp *, enum ramp_sign, struct timespec now);
bool ramp_first_token(
    struct ramp *, int64_t expected_ms, int64_t took_ms, uint32_t running);
bool ramp_count_slow(struct ramp *, int64_t expected_ms, int64_t took_ms);
void ramp_completed(struct ramp *, struct timespec started, uint32_t running);
bool ramp_is_overdue(
    const struct ramp *, int64_t expected_ms, int64_t waited_ms);
uint32_t ramp_limit(const struct ramp *);
uint32_t ramp_capacity(const struct ramp *);
const char *ramp_sign_name(enum ramp_sign);

#endif
