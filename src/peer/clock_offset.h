/*
 * How far two monotonic clocks are apart, as round trips bound it. Windows let
 * the bound follow clocks that drift; the older window keeps a good bound alive
 * when the first samples after a stop are bad.
 */
#ifndef PEER_CLOCK_OFFSET_H
#define PEER_CLOCK_OFFSET_H

#include <stdbool.h>
#include <stdint.h>

#define CLOCK_OFFSET_WINDOW_MS 60000

/* Zero means no sample yet. Offsets are our clock less the other's. */
struct clock_offset {
	bool known;
	int64_t window_start_ms;
	int64_t min_offset_ms; /* the offset is at least this */
	int64_t previous_min_offset_ms;
};

void clock_offset_add_round_trip(struct clock_offset *, int64_t asked_ms,
    int64_t answered_ms, int64_t now_ms);
int64_t clock_offset_age_ms(
    const struct clock_offset *, int64_t sent_ms, int64_t now_ms);

#endif
