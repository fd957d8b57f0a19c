/*
 * A rate of requests that all processes share, kept by one of them: the others
 * ask it for a permit for each request that they send.
 *
 * Load pattern: an upstream takes a request a second, and five processes, or
 * seventy, all have a request for it at the same moment. Parts of the rate that
 * each process keeps alone are either too small to be used or add up to more.
 * So one process, the coordinator, counts for all. Which one it is follows from
 * who is alive, so after a death or a partition two may believe that they are.
 * The whole rate belongs only to one that more than half of the processes take
 * for the coordinator; another one has the part of those that do. All together
 * thus stay below one and a half times the rate.
 */
#ifndef POLICY_SHARED_RATE_H
#define POLICY_SHARED_RATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* Requests that may be sent at once after a pause. */
#define SHARED_RATE_BURST 2.0
/* The same in seconds of the rate, if that is more. */
#define SHARED_RATE_BURST_S 0.25
/*
 * A part of a rate below one request is not saved up, or many processes would
 * use theirs together: it lapses after this time.
 */
#define SHARED_RATE_LAPSE_S 1.0
/* Requests that can't wait may be sent in advance up to this many. */
#define SHARED_RATE_DEBT_MAX 8.0

/* A process that may be the coordinator. */
struct rate_member {
	const char *id;
	bool may_coordinate; /* it has run long enough and does not stop */
	uint64_t view; /* of the members, by its own account */
};

/* Token bucket of the coordinator. Zero-initialised: empty. */
struct shared_rate {
	double tokens;
	struct timespec updated_at; /* unset: never */
	uint64_t view; /* in which this process has been the coordinator */
	double share; /* of the rate in that view */
};

/* The part of a rate that a process grants. */
struct rate_part {
	double per_s; /* of all processes */
	double share; /* 0 to 1 */
	uint64_t view; /* of the members */
	double phase; /* 0 to 1, apart from those of other processes */
};

uint64_t shared_rate_view(const struct rate_member *, size_t count);
const char *shared_rate_coordinator(
    const char *key, const struct rate_member *, size_t count);
double shared_rate_share(
    const struct rate_member *, size_t count, const char *self, uint32_t known);
double shared_rate_phase(const char *key, const char *self);
int64_t shared_rate_wait_ms(
    struct shared_rate *, const struct rate_part *, struct timespec now);
bool shared_rate_take(
    struct shared_rate *, const struct rate_part *, struct timespec now);
void shared_rate_charge(
    struct shared_rate *, const struct rate_part *, struct timespec now);

#endif
