#include "policy/prefill.h"

#include <math.h>

#include <glib.h>

#include "base/clock.h"

/*
 * Lower limit of the remaining share of a long request without a first token.
 */
#define LONG_REMAINING_MIN_SHARE 0.1

/* Initialises the tracker without work, for a speed in tokens per second. */
void
prefill_init(struct prefill *prefill, uint32_t tokens_per_s)
{
	*prefill = (struct prefill){.tokens_per_s = tokens_per_s};
}

/*
 * Returns the time in milliseconds to prefill tokens if the upstream does
 * nothing else.
 */
int64_t
prefill_ms(const struct prefill *prefill, uint64_t tokens)
{
	if (prefill->tokens_per_s == 0)
		return 0;
	return (int64_t)(tokens * MS_PER_S / prefill->tokens_per_s);
}

/* Records the tokens of a submitted request, whether it is accepted or not. */
void
prefill_on_offered(
    struct prefill *prefill, enum work_class class, uint64_t tokens)
{
	if (class == WORK_SHORT)
		prefill->short_offered_tokens += tokens;
}

/* Records the tokens of a request that was started. */
void
prefill_on_started(
    struct prefill *prefill, enum work_class class, uint64_t tokens)
{
	if (class == WORK_LONG) {
		prefill->long_tokens += tokens;
		prefill->long_remaining_tokens += (double)tokens;
		prefill->long_count++;
		return;
	}
	prefill->short_tokens += tokens;
	prefill->short_count++;
	prefill->short_allowance_tokens -= (double)tokens;
}

/*
 * Removes the tokens of a started request that has produced its first token or
 * ended before it.
 */
void
prefill_on_ended(
    struct prefill *prefill, enum work_class class, uint64_t tokens)
{
	if (class == WORK_LONG) {
		prefill->long_tokens -= MIN(tokens, prefill->long_tokens);
		prefill->long_count -= MIN(1, prefill->long_count);
		return;
	}
	prefill->short_tokens -= MIN(tokens, prefill->short_tokens);
	prefill->short_computed_tokens += tokens;
	prefill->short_count -= MIN(1, prefill->short_count);
}

/*
 * Returns the share of the speed at which a long request would prefill this
 * number of tokens in left_ms.
 */
double
prefill_share(const struct prefill *prefill, uint64_t tokens, int64_t left_ms)
{
	return (double)prefill_ms(prefill, tokens) / (double)MAX(left_ms, 1);
}

/*
 * Subtracts what long requests have computed since the last update: all that
 * short ones did not. How it was split among them is unknown, so part of each
 * remains until its first token.
 */
static void
update_long_remaining(struct prefill *prefill, double passed_s)
{
	double total = (double)prefill->long_tokens;
	double got = prefill->tokens_per_s * passed_s -
	    (double)prefill->short_computed_tokens;

	prefill->short_computed_tokens = 0;
	prefill->long_remaining_tokens = CLAMP(
	    prefill->long_remaining_tokens - got,
	    total * LONG_REMAINING_MIN_SHARE, total);
}

/*
 * Sets the share of the speed that is reserved for long requests from now on.
 * Short requests get an allowance of tokens at the remaining speed.
 */
void
prefill_set_long_share(
    struct prefill *prefill, double long_share, struct timespec now)
{
	double speed = (double)prefill->tokens_per_s *
	    (1 - prefill->long_share);
	double passed_s = (double)time_diff_us(now, prefill->updated_at) /
	    (MS_PER_S * 1000.0);
	double smoothed_s = (double)PREFILL_SMOOTHING_MS / MS_PER_S;

	update_long_remaining(prefill, passed_s);
	prefill->short_tokens_per_s = prefill->short_tokens_per_s *
		exp(-passed_s / smoothed_s) +
	    (double)prefill->short_offered_tokens / smoothed_s;
	prefill->short_offered_tokens = 0;
	prefill->short_allowance_tokens = MIN(
	    prefill->short_allowance_tokens + speed * passed_s,
	    (double)prefill->tokens_per_s * PREFILL_ALLOWANCE_MAX_MS /
		MS_PER_S);
	prefill->updated_at = now;
	prefill->long_share = MIN(long_share, PREFILL_LONG_SHARE_MAX);
}

/* Returns whether another short request may be started. */
bool
prefill_has_room(const struct prefill *prefill)
{
	if (prefill->tokens_per_s == 0)
		return true;
	if (prefill->long_share > 0 && prefill->short_allowance_tokens < 0)
		return false;
	return prefill->short_count == 0 ||
	    prefill_ms(prefill, prefill->short_tokens) < PREFILL_WINDOW_MS;
}

/*
 * Returns the time in milliseconds to prefill tokens of long requests, if short
 * ones keep arriving at their recent rate.
 */
int64_t
prefill_long_ms(const struct prefill *prefill, uint64_t tokens)
{
	double share;

	if (prefill->tokens_per_s == 0)
		return 0;
	share = 1 - prefill->short_tokens_per_s / prefill->tokens_per_s;
	return (int64_t)((double)prefill_ms(prefill, tokens) /
	    MAX(share, PREFILL_LONG_SHARE_MIN));
}

/*
 * Returns the expected time in milliseconds to the first token of a request
 * that is started now. The upstream serves short requests before long ones.
 */
int64_t
prefill_expected_ms(
    const struct prefill *prefill, enum work_class class, uint64_t tokens)
{
	uint64_t ahead = prefill->short_tokens;

	if (class == WORK_LONG)
		ahead += prefill->long_tokens;
	return prefill_ms(prefill, ahead + tokens);
}
