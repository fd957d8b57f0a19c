#include "policy/retry_window.h"

#include <string.h>

#include "base/clock.h"

#define BUCKETS (RETRY_WINDOW_BUCKETS + 1)

/*
 * Advances the window to now, clears new buckets and returns the index of the
 * current one.
 */
static uint32_t
advance_window(struct retry_window *window,
    const struct retry_window_limits *limits, struct timespec now)
{
	int64_t bucket_ms = limits->window_ms / RETRY_WINDOW_BUCKETS;
	int64_t bucket = time_to_ms(now) / (bucket_ms > 0 ? bucket_ms : 1);

	if (bucket - window->bucket >= BUCKETS) {
		memset(window, 0, sizeof(*window));
		window->bucket = bucket;
	}
	while (window->bucket < bucket) {
		window->bucket++;
		window->requests[window->bucket % BUCKETS] = 0;
		window->retries[window->bucket % BUCKETS] = 0;
	}
	return (uint32_t)(bucket % BUCKETS);
}

/* Counts a request when it is first sent. */
void
retry_window_count_request(struct retry_window *window,
    const struct retry_window_limits *limits, struct timespec now)
{
	window->requests[advance_window(window, limits, now)]++;
}

/* Returns the requests and retries of the window that ends now. */
struct retry_window_sums
retry_window_sums(struct retry_window *window,
    const struct retry_window_limits *limits, struct timespec now)
{
	struct retry_window_sums sums = {0};

	advance_window(window, limits, now);
	for (uint32_t i = 0; i < BUCKETS; i++) {
		sums.requests += window->requests[i];
		sums.retries += window->retries[i];
	}
	return sums;
}

/* Returns whether one more retry is within the limits. */
bool
retry_window_allows(struct retry_window *window,
    const struct retry_window_limits *limits, struct timespec now)
{
	const struct retry_window_sums sums = retry_window_sums(
	    window, limits, now);

	return sums.retries + 1 <=
	    limits->ratio * sums.requests + limits->slack;
}

/* Counts a retry if it is within the limits; returns false otherwise. */
bool
retry_window_take(struct retry_window *window,
    const struct retry_window_limits *limits, struct timespec now)
{
	if (!retry_window_allows(window, limits, now))
		return false;
	window->retries[advance_window(window, limits, now)]++;
	return true;
}
