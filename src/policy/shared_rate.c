#include "policy/shared_rate.h"

#include <math.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "base/clock.h"

/* Returns a hash of a text. */
static uint64_t
hash(const char *text, uint64_t seed)
{
	return XXH3_64bits_withSeed(text, strlen(text), seed);
}

/*
 * Returns an identifier of the set of members that may be the coordinator; 0 if
 * there are none.
 */
uint64_t
shared_rate_view(const struct rate_member *members, size_t count)
{
	uint64_t view = 0;

	for (size_t i = 0; i < count; i++) {
		if (members[i].may_coordinate)
			view ^= hash(members[i].id, 0);
	}
	return view;
}

/*
 * Returns the id of the member that coordinates the rate with that key; NULL if
 * none may. Each key has its own order of the members, so that they divide the
 * work, and few keys change with a member.
 */
const char *
shared_rate_coordinator(
    const char *key, const struct rate_member *members, size_t count)
{
	uint64_t seed = hash(key, 0);
	const char *best = NULL;
	uint64_t best_rank = 0;

	for (size_t i = 0; i < count; i++) {
		uint64_t rank = hash(members[i].id, seed);

		if (!members[i].may_coordinate ||
		    (best != NULL && rank <= best_rank))
			continue;
		best = members[i].id;
		best_rank = rank;
	}
	return best;
}

/*
 * Returns the share of a rate that this process may grant where it is the
 * coordinator: all of it if more than half of the known processes have the same
 * view as itself, else their part. Without any coordinator each process is its
 * own.
 */
double
shared_rate_share(const struct rate_member *members, size_t count,
    const char *self, uint32_t known)
{
	uint64_t view = shared_rate_view(members, count);
	uint32_t agreeing = 0;

	known = MAX(known, 1);
	for (size_t i = 0; i < count; i++)
		agreeing += strcmp(members[i].id, self) == 0 ||
		    (view != 0 && members[i].view == view);
	return agreeing > known / 2 ? 1.0 : (double)agreeing / (double)known;
}

/* Returns a fraction that differs between processes and keys. */
double
shared_rate_phase(const char *key, const char *self)
{
	return (double)(hash(self, hash(key, 1)) >> 32) / 4294967296.0;
}

/* Returns the largest number of tokens that are saved up. */
static double
burst(double per_s)
{
	return MAX(SHARED_RATE_BURST, per_s * SHARED_RATE_BURST_S);
}

/*
 * Adds the tokens of the time that has passed. A process that becomes the
 * coordinator begins with none, since the one before it may have granted all;
 * one with a part of the rate begins anywhere in its own interval.
 */
static void
refill(
    struct shared_rate *rate, const struct rate_part *part, struct timespec now)
{
	double per_s = part->per_s * part->share;
	double period = 1.0 + per_s * SHARED_RATE_LAPSE_S;

	if (time_is_set(rate->updated_at) && rate->view == part->view &&
	    rate->share == part->share) {
		rate->tokens += per_s *
		    (double)time_diff_us(now, rate->updated_at) / US_PER_S;
	} else {
		rate->view = part->view;
		rate->share = part->share;
		/* A debt stays. */
		rate->tokens = MIN(rate->tokens, 0.0) +
		    (part->share < 1.0 ? part->phase : 0.0);
	}
	rate->updated_at = now;
	if (part->share < 1.0 && rate->tokens >= period)
		rate->tokens = fmod(rate->tokens, period);
	rate->tokens = MIN(rate->tokens, burst(per_s));
}

/* Returns the time until a permit is free, 0 if one is, in milliseconds. */
int64_t
shared_rate_wait_ms(
    struct shared_rate *rate, const struct rate_part *part, struct timespec now)
{
	refill(rate, part, now);
	if (rate->tokens >= 1.0)
		return 0;
	return (int64_t)ceil(
	    (1.0 - rate->tokens) / (part->per_s * part->share) * MS_PER_S);
}

/* Grants a permit if one is free. */
bool
shared_rate_take(
    struct shared_rate *rate, const struct rate_part *part, struct timespec now)
{
	if (shared_rate_wait_ms(rate, part, now) > 0)
		return false;
	rate->tokens -= 1.0;
	return true;
}

/* Counts a request that is sent without a permit because it can't wait. */
void
shared_rate_charge(
    struct shared_rate *rate, const struct rate_part *part, struct timespec now)
{
	refill(rate, part, now);
	rate->tokens = MAX(rate->tokens - 1.0, -SHARED_RATE_DEBT_MAX);
}
