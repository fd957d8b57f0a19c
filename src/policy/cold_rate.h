/*
 * Rate limit of one cold upstream. After a domain's return all its upstreams
 * look idle and would get the whole load at once, which a cold one does not
 * survive. Each process takes its part of what one bears in any second.
 */
#ifndef POLICY_COLD_RATE_H
#define POLICY_COLD_RATE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Sends that are remembered; a larger part is not used. */
#define COLD_RATE_SENDS_MAX 64
/* Sends that left here within a second may arrive within less. */
#define COLD_RATE_WINDOW_MS 1100

struct cold_rate {
	struct timespec sent[COLD_RATE_SENDS_MAX];
	uint32_t next;
};

uint32_t cold_rate_share(double sustainable_per_s, uint32_t processes);
bool cold_rate_allows(
    const struct cold_rate *, uint32_t share, struct timespec now);
void cold_rate_record_send(struct cold_rate *, struct timespec now);

#endif
