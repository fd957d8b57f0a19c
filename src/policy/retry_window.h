/*
 * Limits the retries that a process sends. When upstreams fail, every request
 * would be sent again and double the load on the remaining ones, so retries are
 * limited to a share of the requests of the last seconds. All processes
 * together may send a fixed number of further retries, of which each gets its
 * part.
 */
#ifndef POLICY_RETRY_WINDOW_H
#define POLICY_RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Buckets in the sliding window; the oldest is dropped whole. */
#define RETRY_WINDOW_BUCKETS 20

struct retry_window_limits {
	double ratio; /* retries per request */
	double slack; /* further retries allowed for this process */
	int64_t window_ms;
};

struct retry_window {
	uint32_t requests[RETRY_WINDOW_BUCKETS + 1];
	uint32_t retries[RETRY_WINDOW_BUCKETS + 1];
	int64_t bucket; /* newest, counted from the clock's start */
};

/* What a window holds; its oldest bucket may be partly outside it. */
struct retry_window_sums {
	uint32_t requests;
	uint32_t retries;
};

struct retry_window_sums retry_window_sums(struct retry_window *,
    const struct retry_window_limits *, struct timespec now);
void retry_window_count_request(struct retry_window *,
    const struct retry_window_limits *, struct timespec now);
bool retry_window_allows(struct retry_window *,
    const struct retry_window_limits *, struct timespec now);
bool retry_window_take(struct retry_window *,
    const struct retry_window_limits *, struct timespec now);

#endif
