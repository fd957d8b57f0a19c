#include "policy/cold_rate.h"

#include "base/clock.h"

/*
 * Returns one process's share, in requests per second, of the rate that a cold
 * upstream can handle.
 */
uint32_t
cold_rate_share(double sustainable_per_s, uint32_t processes)
{
	double share = sustainable_per_s / (processes > 0 ? processes : 1);

	if (share >= COLD_RATE_SENDS_MAX)
		return COLD_RATE_SENDS_MAX;
	return (uint32_t)share;
}

/* Returns whether one more request may be sent within the share. */
bool
cold_rate_allows(
    const struct cold_rate *rate, uint32_t share, struct timespec now)
{
	const struct timespec *oldest;

	if (share == 0)
		return false;
	oldest = &rate->sent[(rate->next + COLD_RATE_SENDS_MAX - share) %
	    COLD_RATE_SENDS_MAX];
	return !time_is_set(*oldest) ||
	    time_diff_ms(now, *oldest) >= COLD_RATE_WINDOW_MS;
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
