/*
 * What this process has learned of an upstream's process, from itself and from
 * the list: whether it leaves, until when it wants nothing, the rate that it
 * names, and how its responses to this process's requests ended.
 *
 * Load pattern: entries of the list come and go while processes live on. An
 * entry lapses while an upstream or the store is cut off, a restored store
 * lacks it or shows the process that had the id before, an upstream is started
 * again under its id. What was learned belongs to the process, so it holds
 * while no other process has the id, listed or not.
 *
 * | the list | what was learned |
 * | lacks it, for whatever reason | holds for UPSTREAM_PROCESS_MEMORY_MS |
 * | shows it again, with the same start or none | holds |
 * | shows a later start | ends: it is another process |
 * | shows an earlier start | ends, but for a restored list: that is older |
 */
#ifndef POLICY_UPSTREAM_PROCESS_H
#define POLICY_UPSTREAM_PROCESS_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "policy/departure.h"
#include "policy/named_rate.h"
#include "policy/quiet.h"

/*
 * How long it is remembered of an upstream that no list shows. It exceeds the
 * age of a copy and the time that the store is unreachable.
 */
#define UPSTREAM_PROCESS_MEMORY_MS (10 * 60 * 1000)

/* Zero-initialised: nothing is known. */
struct upstream_process {
	int64_t start_wall_ms; /* 0 until known */
	struct departure departure;
	struct timespec announced_at; /* this process was told that it leaves */
	struct quiet quiet; /* it asked for no requests */
	struct named_rate named_rate; /* requests that it takes a second */
	struct timespec rate_changed_at; /* unset: never */
	struct timespec no_permit_until; /* by its coordinator */
	uint64_t no_permit_view; /* of the gateways, when that was said */

	/* Outcome of this process's requests. */
	uint32_t failures; /* consecutive */
	struct timespec avoid_until; /* back-off after failures */
	struct timespec broken_at; /* end of a connection; or unset */
	struct timespec faulty_until; /* reported by another upstream */
	double error_share; /* moving average of failed responses, 0 to 1 */
};

/* What the list shows of an upstream. */
struct upstream_sight {
	int64_t start_wall_ms; /* 0 if not reported */
	bool draining;
	bool restored; /* first list of a store that went back to a copy */
};

bool upstream_process_is_older(
    const struct upstream_process *, const struct upstream_sight *);
void upstream_process_on_listed(struct upstream_process *,
    const struct upstream_sight *, struct timespec now);
void upstream_process_on_unlisted(
    struct upstream_process *, bool restored, struct timespec now);

#endif
