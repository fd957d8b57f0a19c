/*
 * Estimates the offset between two monotonic clocks from round trips. Samples
 * are kept in windows so that the bound follows clock drift; the previous
 * window keeps a good bound when the first samples after a pause of the process
 * are bad.
 */
#ifndef PEER_CLOCK_OFFSET_H
#define PEER_CLOCK_OFFSET_H

#include <stdbool.h>
#include <stdint.h>

#define CLOCK_OFFSET_WINDOW_MS 60000

/* All zero before the first sample. An offset is our clock minus the peer's. */
struct clock_offset {
	bool known;
	int64_t window_start_ms;
	int64_t min_offset_ms; /* lower bound of the offset */
	int64_t previous_min_offset_ms;
};

void clock_offset_add_round_trip(struct clock_offset *, int64_t asked_ms,
    int64_t answered_ms, int64_t now_ms);
int64_t clock_offset_age_ms(
    const struct clock_offset *, int64_t sent_ms, int64_t now_ms);

#endif
