/*
 * When callers should come back to a gateway that has no routes yet.
 *
 * Load pattern: all gateways lose power at once and start again. With the store
 * at hand they have their routes within a moment. While the store does not
 * answer nobody has them, and nobody knows for how long: callers that are told
 * to come back soon are rejected once more and give up.
 */
#ifndef POLICY_START_WAIT_H
#define POLICY_START_WAIT_H

#include <stdbool.h>
#include <stdint.h>

/* Milliseconds in which a gateway that has just started gets its routes. */
#define START_WAIT_MS 300
/*
 * Share of their remaining time for which callers wait at most, less a margin
 * for the way back.
 */
#define START_WAIT_PATIENCE_SHARE 0.3
/* Longest time that a caller without a deadline is told, in milliseconds. */
#define START_WAIT_MAX_MS 5000

int64_t start_wait_retry_after_ms(
    bool store_disconnected, bool has_deadline, int64_t left_ms);

#endif
