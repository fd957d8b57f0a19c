#include "policy/cold_rate.h"

#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "base/clock.h"

/* Returns the rank value of a process among those that share an upstream. */
static uint64_t
rank(const char *upstream, const char *process)
{
	uint64_t seed = XXH3_64bits(upstream, strlen(upstream));

	return XXH3_64bits_withSeed(process, strlen(process), seed);
}

/* Returns how many of the other processes come before this one. */
static uint32_t
count_before(const struct cold_rate_sharers *sharers)
{
	uint64_t own = rank(sharers->upstream, sharers->self);
	uint32_t before = 0;

	for (size_t i = 0; i < sharers->other_count; i++)
		before += rank(sharers->upstream, sharers->others[i]) > own;
	return before;
}

/*
 * Returns one process's share, in requests per second, of the rate that a cold
 * upstream can handle. The shares of all processes together don't exceed it, if
 * all know each other.
 */
uint32_t
cold_rate_share(
    double sustainable_per_s, const struct cold_rate_sharers *sharers)
{
	uint32_t processes = MAX(
	    (uint32_t)sharers->other_count + 1, sharers->count_min);
	uint32_t total = (uint32_t)MIN(sustainable_per_s, (double)UINT32_MAX);
	uint32_t share = total / processes;
	uint32_t left = total % processes;

	/* Not all are known, so the remainder can't be divided. */
	if (sharers->other_count + 1 < sharers->count_min)
		left = 0;
	if (left > 0 && count_before(sharers) < left)
		share++;
	return MIN(share, COLD_RATE_SENDS_MAX);
}

/*
 * Returns whether one more request may be sent within the share. Sends have
 * been recorded for recorded_ms; what was sent before may have used up the
 * share, as of a process that has just started again.
 */
bool
cold_rate_allows(const struct cold_rate *rate, uint32_t share,
    int64_t recorded_ms, struct timespec now)
{
	const struct timespec *oldest;

	if (share == 0)
		return false;
	oldest = &rate->sent[(rate->next + COLD_RATE_SENDS_MAX - share) %
	    COLD_RATE_SENDS_MAX];
	if (!time_is_set(*oldest))
		return recorded_ms >= COLD_RATE_WINDOW_MS;
	return time_diff_ms(now, *oldest) >= COLD_RATE_WINDOW_MS;
}

/*
 * Records a send. Sends to a warm upstream are recorded too, as it may have
 * restarted, and so be cold, before this process knows.
 */
void
cold_rate_record_send(struct cold_rate *rate, struct timespec now)
{
	rate->sent[rate->next] = now;
	rate->next = (rate->next + 1) % COLD_RATE_SENDS_MAX;
}
