/*
 * When rejected callers come back to a service whose upstreams all name the
 * rate of requests that they take.
 *
 * Load pattern: more callers come than the rates allow. Those that are rejected
 * and told the same time would come back together, and all but one would be
 * rejected again. So each gets a time of its own, as far apart as the rates let
 * requests through.
 */
#ifndef POLICY_RETURN_SLOTS_H
#define POLICY_RETURN_SLOTS_H

#include <stdint.h>
#include <time.h>

/* Callers are not told a later time: the load may be another one by then. */
#define RETURN_SLOTS_MAX_MS 30000

/* Zero-initialised: none is taken. */
struct return_slots {
	struct timespec next;
};

int64_t return_slots_take(struct return_slots *, int64_t left_ms, double per_s,
    int64_t most_ms, struct timespec now);

#endif
