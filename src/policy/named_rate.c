#include "policy/named_rate.h"

#include <glib.h>

#include "base/clock.h"

/* A response names a rate. Returns whether that is a change. */
bool
named_rate_on_named(
    struct named_rate *rate, double per_s, struct timespec seen_at)
{
	const struct named_rate report = {
	    .named = true,
	    .per_s = MAX(per_s, NAMED_RATE_MIN_PER_S),
	    .seen_at = seen_at,
	};

	return named_rate_on_report(rate, &report);
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
 * A process has observed a rate, or its end. Returns whether that is a change;
 * an observation that is not the latest one is ignored.
 */
bool
named_rate_on_report(struct named_rate *rate, const struct named_rate *report)
{
	struct named_rate before = *rate;

	if (time_is_set(rate->seen_at) &&
	    !time_before(rate->seen_at, report->seen_at))
		return false;
	*rate = *report;
	return rate->named != before.named ||
	    (rate->named && rate->per_s != before.per_s);
}
