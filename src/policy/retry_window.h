/*
 * Limit of what a process sends beyond each request's first send. When
 * upstreams fail, every request would be sent again and double the load on
 * those that are left; so sends beyond the first are a share of the requests of
 * the last seconds. All processes together have a slack besides, of which each
 * takes its part.
 */
#ifndef POLICY_RETRY_WINDOW_H
#define POLICY_RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Parts in which the window moves; the oldest is dropped whole. */
#define RETRY_WINDOW_BUCKETS 20

struct retry_window_limits {
	double ratio; /* sends beyond the first, of the requests */
	double slack; /* such sends allowed besides, by this process */
	int64_t window_ms;
};

struct retry_window {
	uint32_t requests[RETRY_WINDOW_BUCKETS + 1];
	uint32_t retries[RETRY_WINDOW_BUCKETS + 1];
	int64_t bucket; /* number of the newest part since the clock's start */
};

void retry_window_count_request(struct retry_window *,
    const struct retry_window_limits *, struct timespec now);
bool retry_window_allows(struct retry_window *,
    const struct retry_window_limits *, struct timespec now);
bool retry_window_take(struct retry_window *,
    const struct retry_window_limits *, struct timespec now);

#endif
