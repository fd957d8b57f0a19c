/*
 * Measures the engine's token rate. A drop far below the baseline shows that
 * the engine has become cold before its delayed status reports it. Does no I/O;
 * times are passed in.
 */
#ifndef SIDECAR_TOKEN_RATE_H
#define SIDECAR_TOKEN_RATE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Length of a measurement window. */
#define TOKEN_RATE_WINDOW_MS 1000
/* A window is slow below the baseline divided by this. */
#define TOKEN_RATE_SLOW_FACTOR 4
/* Consecutive slow windows that count as a collapse. */
#define TOKEN_RATE_SLOW_WINDOWS 2
/* Windows before the baseline is used. */
#define TOKEN_RATE_BASELINE_WINDOWS 5
/* A collapse ends after this time without a window to measure. */
#define TOKEN_RATE_COLLAPSE_TIMEOUT_MS 5000

struct token_rate {
	struct timespec window_start;
	uint64_t tokens; /* in the current window */
	double baseline; /* tokens per second and run; 0 at first */
	uint32_t baseline_windows; /* counted up to the limit above */
	uint32_t slow_windows; /* consecutive */
	bool collapsed;
	struct timespec evaluated_at;
};

void token_rate_init(struct token_rate *, struct timespec now);
void token_rate_add(struct token_rate *, uint32_t tokens);
bool token_rate_update(
    struct token_rate *, uint32_t generating, struct timespec now);
bool token_rate_is_collapsed(const struct token_rate *);

#endif
