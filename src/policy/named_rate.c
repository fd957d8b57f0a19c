#include "policy/named_rate.h"

#include <glib.h>

#include "base/clock.h"

/*
 * Applies an observation unless there is a later one. Returns whether it is a
 * change.
 */
static bool
apply(struct named_rate *rate, const struct named_rate *observed)
{
	struct named_rate before = *rate;

	if (time_is_set(rate->seen_at) &&
	    !time_before(rate->seen_at, observed->seen_at))
		return false;
	*rate = *observed;
	return rate->named != before.named ||
	    (rate->named && rate->per_s != before.per_s);
}

/* A response names a rate. Returns whether that is a change. */
bool
named_rate_on_named(
    struct named_rate *rate, double per_s, struct timespec seen_at)
{
	const struct named_rate observed = {
	    .named = true,
	    .per_s = MAX(per_s, NAMED_RATE_MIN_PER_S),
	    .seen_at = seen_at,
	};

	return apply(rate, &observed);
}

/*
 * A response to a request that was sent at sent_at names no rate. Returns
 * whether that ends the rate.
 */
bool
named_rate_on_missing(
    struct named_rate *rate, struct timespec sent_at, struct timespec now)
{
	if (!rate->named ||
	    time_diff_ms(sent_at, rate->seen_at) < NAMED_RATE_KEEP_MS)
		return false;
	*rate = (struct named_rate){.seen_at = now};
	return true;
}

/*
 * Another process reports a rate, or with a rate of 0 that none is named, and
 * how long ago it has observed that. Returns whether that is a change.
 */
bool
named_rate_on_report(
    struct named_rate *rate, double per_s, uint64_t age_ms, struct timespec now)
{
	int64_t age = (int64_t)MIN(age_ms, (uint64_t)NAMED_RATE_AGE_MAX_MS);
	const struct named_rate ended = {.seen_at = time_add_ms(now, -age)};

	return per_s > 0.0 ? named_rate_on_named(rate, per_s, ended.seen_at)
			   : apply(rate, &ended);
}
