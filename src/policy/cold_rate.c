#include "policy/cold_rate.h"

#include "base/clock.h"

/* Returns one process's part of the requests a second that one bears. */
uint32_t
cold_rate_part(double bearable_per_s, uint32_t processes)
{
	double part = bearable_per_s / (processes > 0 ? processes : 1);

	if (part >= COLD_RATE_SENDS)
		return COLD_RATE_SENDS;
	return (uint32_t)part;
}

/* Says whether one more send keeps to the part. */
bool
cold_rate_allows(
    const struct cold_rate *rate, uint32_t part, struct timespec now)
{
	const struct timespec *oldest;

	if (part == 0)
		return false;
	oldest = &rate->sent[(rate->next + COLD_RATE_SENDS - part) %
	    COLD_RATE_SENDS];
	return !time_is_set(*oldest) ||
	    time_diff_ms(now, *oldest) >= COLD_RATE_WINDOW_MS;
}

/* Counts a send, to a warm upstream too: it may have become cold unseen. */
void
cold_rate_count(struct cold_rate *rate, struct timespec now)
{
	rate->sent[rate->next] = now;
	rate->next = (rate->next + 1) % COLD_RATE_SENDS;
}
