/*
 * The rate of requests that an upstream names in its responses: as many a
 * second as it takes from all processes together, for as long as it says so.
 *
 * Load pattern: an upstream in need names a rate far below what it gets. Each
 * process sees only the responses to its own requests, and responses on
 * different connections overtake each other. The latest observation of any
 * process therefore holds. Not each response may name the rate, so one without
 * it tells little: the coordinator, which is told of all responses, takes the
 * rate for ended after so many in a row without it as would hardly come by
 * chance, by the share of responses that have named it before.
 */
#ifndef POLICY_NAMED_RATE_H
#define POLICY_NAMED_RATE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/*
 * A response without a rate counts if its request was sent this long after the
 * rate was last named.
 */
#define NAMED_RATE_KEEP_MS 500
/* The least number of them in a row that end the rate. */
#define NAMED_RATE_MISSES_MIN 2
/* They end it if their chance is not above this. */
#define NAMED_RATE_MISSES_CHANCE 0.005
/* Share of responses that name a rate, until more is known. */
#define NAMED_RATE_FIRST_SHARE 0.8
/* Weight of one response in the moving average of that share. */
#define NAMED_RATE_SHARE_WEIGHT 0.2
/*
 * An upstream that takes no requests at all still gets this many a second, or
 * nobody would learn that it takes them again.
 */
#define NAMED_RATE_MIN_PER_S 0.1
/* An older observation by a peer is taken for one of this age. */
#define NAMED_RATE_AGE_MAX_MS (INT64_C(3600) * 1000)

/* Zero-initialised: an upstream that names no rate. */
struct named_rate {
	bool named;
	double per_s; /* if named */
	struct timespec seen_at; /* by any process; unset for never */
	double naming_share; /* of the responses; 0: not known yet */
	uint32_t misses; /* responses in a row that did not name it */
};

bool named_rate_on_named(
    struct named_rate *, double per_s, struct timespec seen_at);
bool named_rate_on_missing(
    struct named_rate *, struct timespec sent_at, struct timespec now);
bool named_rate_on_report(
    struct named_rate *, double per_s, uint64_t age_ms, struct timespec now);

#endif
