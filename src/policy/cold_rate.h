/*
 * Limits the requests per second that are sent to one cold upstream. An
 * upstream counts as cold for its warm-up time after a start, a failure or its
 * failure domain's return to service. When a failure domain returns to service,
 * all its upstreams look idle and would receive the whole load at once, which a
 * cold upstream does not survive. Each process therefore sends at most its
 * share of the requests per second that a cold upstream can handle. Shares are
 * whole requests: with more processes than requests, some have one and others
 * none, and which these are differs from one upstream to the next.
 */
#ifndef POLICY_COLD_RATE_H
#define POLICY_COLD_RATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* Number of recorded sends, and the upper limit of the share. */
#define COLD_RATE_SENDS_MAX 64
/*
 * Length of the rate window. It exceeds one second because requests sent within
 * a second may arrive within a shorter time.
 */
#define COLD_RATE_WINDOW_MS 1100

struct cold_rate {
	struct timespec sent[COLD_RATE_SENDS_MAX];
	uint32_t next;
};

/* The processes that share the rate of an upstream. */
struct cold_rate_sharers {
	const char *upstream; /* id */
	const char *self; /* address of this process */
	const char *const *others; /* addresses of the others */
	size_t other_count;
	uint32_t count_min; /* processes that there are at least */
};

uint32_t cold_rate_share(
    double sustainable_per_s, const struct cold_rate_sharers *);
bool cold_rate_allows(const struct cold_rate *, uint32_t share,
    int64_t recorded_ms, struct timespec now);
void cold_rate_record_send(struct cold_rate *, struct timespec now);

#endif
