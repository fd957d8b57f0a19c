#include "policy/named_rate.h"

#include <math.h>

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
	rate->named = observed->named;
	rate->per_s = observed->per_s;
	rate->seen_at = observed->seen_at;
	rate->misses = 0;
	return rate->named != before.named ||
	    (rate->named && rate->per_s != before.per_s);
}

/* Sets a rate that was named, unless there is a later observation. */
static bool
apply_named(struct named_rate *rate, double per_s, struct timespec seen_at)
{
	const struct named_rate observed = {
	    .named = true,
	    .per_s = MAX(per_s, NAMED_RATE_MIN_PER_S),
	    .seen_at = seen_at,
	};

	return apply(rate, &observed);
}

/* Adds a response that names the rate, and those before that did not. */
static void
update_share(struct named_rate *rate)
{
	if (rate->naming_share == 0.0)
		rate->naming_share = NAMED_RATE_FIRST_SHARE;
	rate->naming_share *= pow(
	    1.0 - NAMED_RATE_SHARE_WEIGHT, (double)rate->misses);
	rate->naming_share += NAMED_RATE_SHARE_WEIGHT *
	    (1.0 - rate->naming_share);
}

/* A response names a rate. Returns whether that is a change. */
bool
named_rate_on_named(
    struct named_rate *rate, double per_s, struct timespec seen_at)
{
	update_share(rate);
	return apply_named(rate, per_s, seen_at);
}

/*
 * A response to a request that was sent at sent_at names no rate. Returns
 * whether that ends the rate. Only for the coordinator, which is told of all
 * responses.
 */
bool
named_rate_on_missing(
    struct named_rate *rate, struct timespec sent_at, struct timespec now)
{
	const struct named_rate ended = {.seen_at = now};

	if (!rate->named ||
	    time_diff_ms(sent_at, rate->seen_at) < NAMED_RATE_KEEP_MS ||
	    ++rate->misses < NAMED_RATE_MISSES_MIN ||
	    pow(1.0 - rate->naming_share, (double)rate->misses) >
		NAMED_RATE_MISSES_CHANCE)
		return false;
	return apply(rate, &ended);
}

/*
 * Another process reports a rate, or with a rate of 0 that none is named, and
 * how long ago it has observed that. Returns whether that is a change. A known
 * rate that is repeated is no observation: each process on its way adds to the
 * time, so that it would seem to be named again and again.
 */
bool
named_rate_on_report(
    struct named_rate *rate, double per_s, uint64_t age_ms, struct timespec now)
{
	int64_t age = (int64_t)MIN(age_ms, (uint64_t)NAMED_RATE_AGE_MAX_MS);
	const struct named_rate ended = {.seen_at = time_add_ms(now, -age)};

	if (per_s <= 0.0)
		return apply(rate, &ended);
	if (rate->named && rate->per_s == MAX(per_s, NAMED_RATE_MIN_PER_S))
		return false;
	return apply_named(rate, per_s, ended.seen_at);
}
