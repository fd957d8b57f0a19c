/*
 * How fast the engine generates, from the tokens that come: a fall far below
 * the usual rate is a sign that it has fallen cold, ahead of its own lagging
 * report. Pure arithmetic on times that are passed in.
 */
#ifndef SIDECAR_TOKEN_RATE_H
#define SIDECAR_TOKEN_RATE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Rates are taken over windows of this length. */
#define TOKEN_RATE_WINDOW_MS 1000
/* Below the usual rate divided by this, a window is slow. */
#define TOKEN_RATE_SLOW_FACTOR 4
/* So many slow windows in a row are a collapse. */
#define TOKEN_RATE_SLOW_WINDOWS 2
/* Windows before the usual rate is believed. */
#define TOKEN_RATE_BASELINE_WINDOWS 5
/* Without tokens to judge by, a collapse is forgotten after this. */
#define TOKEN_RATE_COLLAPSE_TIMEOUT_MS 5000

struct token_rate {
	struct timespec window_start;
	uint64_t tokens; /* in the window */
	double baseline; /* tokens a second and run; 0 before the first */
	uint32_t baseline_windows; /* windows */
	uint32_t slow_windows; /* windows in a row */
	bool collapsed;
	struct timespec evaluated_at;
};

void token_rate_init(struct token_rate *, struct timespec now);
void token_rate_add(struct token_rate *, uint32_t tokens);
bool token_rate_update(
    struct token_rate *, uint32_t generating, struct timespec now);
bool token_rate_is_collapsed(const struct token_rate *);

#endif
