/*
 * Concurrency limit of an upstream, ramped up as it warms. It starts at what a
 * cold upstream can handle, rises with healthy completions while the upstream
 * reports that it is warm, and drops back at the first indication of a cold
 * start, a trigger. Reports lag, so a trigger takes precedence over a report of
 * being warm.
 */
#ifndef POLICY_RAMP_H
#define POLICY_RAMP_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Reports of being warm are ignored for this long after a trigger. */
#define RAMP_WARM_HOLDOFF_MS 3000
/* A first token beyond this multiple of the corrected prediction is slow. */
#define RAMP_SLOW_FACTOR 4
/* A first token within this multiple of the corrected prediction is healthy. */
#define RAMP_HEALTHY_FACTOR 2
/* A first token is never slow if it is late by less than this. */
#define RAMP_SLOW_GRACE_MS 250
/* Number of consecutive slow first tokens that is a trigger. */
#define RAMP_SLOW_COUNT 2

/* Why the limit drops. */
enum ramp_trigger {
	RAMP_TRIGGER_REPORT, /* the upstream reports that it is cold or loading
			      */
	RAMP_TRIGGER_RESTART, /* its start counter increased */
	RAMP_TRIGGER_SLOW, /* first tokens take far longer than expected */
	RAMP_TRIGGER_REFUSED, /* it reported overload or lack of memory */
	RAMP_TRIGGER_LOST, /* it crashed or stopped responding */
	RAMP_TRIGGERS,
};

struct ramp {
	uint32_t slots;
	uint32_t cold_slots;
	uint32_t limit;
	bool reported_warm; /* according to its last report */
	bool warm; /* reported, and no recent trigger */
	struct timespec trigger_at; /* last trigger except REPORT; zero: none */
	uint32_t slow_count; /* consecutive slow first tokens */
	double latency_ratio; /* average time to first token over predicted */
	uint64_t triggers[RAMP_TRIGGERS]; /* counts */
};

void ramp_init(struct ramp *, uint32_t slots, uint32_t cold_slots);
void ramp_set_slots(struct ramp *, uint32_t slots);
void ramp_set_cold_slots(struct ramp *, uint32_t cold_slots);
void ramp_on_reported_warm(struct ramp *, struct timespec now);
void ramp_on_trigger(struct ramp *, enum ramp_trigger, struct timespec now);
bool ramp_on_first_token(
    struct ramp *, int64_t predicted_ms, int64_t took_ms, uint32_t running);
bool ramp_count_slow(struct ramp *, int64_t predicted_ms, int64_t took_ms);
void ramp_on_completed(
    struct ramp *, struct timespec started, uint32_t running);
bool ramp_is_overdue(
    const struct ramp *, int64_t predicted_ms, int64_t waited_ms);
uint32_t ramp_limit(const struct ramp *);
uint32_t ramp_capacity(const struct ramp *);
const char *ramp_trigger_name(enum ramp_trigger);

#endif
