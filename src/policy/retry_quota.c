#include "policy/retry_quota.h"

#include <math.h>

#include <glib.h>

#include "base/clock.h"

/* What a process has of the slack. */
struct allotment {
	double size; /* of its bucket, in tokens */
	double per_ms; /* tokens that time adds */
};

/* Divides this process's part of the slack into its bucket and its rate. */
static struct allotment
allot(const struct retry_limits *limits, double share)
{
	double part = limits->slack * RETRY_QUOTA_SLACK_USED * share;
	double size = MAX(part * RETRY_QUOTA_BUCKET, RETRY_QUOTA_BUCKET_MIN);

	return (struct allotment){
	    .size = size,
	    .per_ms = MAX(part - size, 0.0) / (double)limits->window_ms,
	};
}

/*
 * Returns whether the slack is enough for the smallest bucket at each process;
 * if not, retries are limited by the number of processes instead.
 */
bool
retry_quota_is_divisible(const struct retry_limits *limits, double share)
{
	return share <= 0.0 ||
	    limits->slack * RETRY_QUOTA_SLACK_USED * share >=
	    RETRY_QUOTA_BUCKET_MIN;
}

/* Drops the loans that have lapsed; returns the tokens of the others. */
static double
count_lent(struct retry_quota *quota, struct timespec now)
{
	double lent = 0.0;

	for (size_t i = 0; i < RETRY_QUOTA_LOANS_MAX; i++) {
		if (!time_before(now, quota->lent[i].until))
			quota->lent[i].tokens = 0.0;
		lent += quota->lent[i].tokens;
	}
	return lent;
}

/*
 * Adds tokens, and those of the time that has passed; drops what exceeds the
 * bucket, in which lent tokens keep their place.
 */
static void
refill(struct retry_quota *quota, const struct retry_limits *limits,
    double share, double earned, struct timespec now)
{
	const struct allotment allotment = allot(limits, share);

	/* Of a share that has changed, the smaller counts for that time. */
	if (time_is_set(quota->refilled_at))
		quota->tokens += MIN(allotment.per_ms,
				     allot(limits, quota->share).per_ms) *
		    (double)time_diff_us(now, quota->refilled_at) / US_PER_MS;
	quota->refilled_at = now;
	quota->share = share;
	quota->tokens = CLAMP(quota->tokens + earned, 0.0,
	    MAX(allotment.size - count_lent(quota, now), 0.0));
	if (!time_before(now, quota->borrowed.until))
		quota->borrowed.tokens = 0.0;
}

/*
 * Initialises a quota that was not needed before, for a process with a share
 * that has not changed since that time.
 */
void
retry_quota_init(struct retry_quota *quota, double share, struct timespec since)
{
	*quota = (struct retry_quota){.share = share, .refilled_at = since};
}

/* Counts a request when its first send has ended. */
void
retry_quota_count_request(struct retry_quota *quota,
    const struct retry_limits *limits, double share, struct timespec now)
{
	refill(quota, limits, share, limits->ratio, now);
}

/* Returns by what one more retry is allowed. */
enum retry_verdict
retry_quota_check(struct retry_quota *quota, const struct retry_limits *limits,
    double share, struct timespec now)
{
	refill(quota, limits, share, 0.0, now);
	if (quota->tokens >= 1.0)
		return RETRY_BY_TOKEN;
	return quota->borrowed.tokens >= 1.0 ? RETRY_BY_LOAN : RETRY_DENIED;
}

/* Takes one retry from the quota; returns by what it is allowed. */
enum retry_verdict
retry_quota_take(struct retry_quota *quota, const struct retry_limits *limits,
    double share, struct timespec now)
{
	enum retry_verdict verdict = retry_quota_check(
	    quota, limits, share, now);

	quota->needed_at = now;
	if (verdict == RETRY_BY_TOKEN)
		quota->tokens -= 1.0;
	else if (verdict == RETRY_BY_LOAN)
		quota->borrowed.tokens -= 1.0;
	return verdict;
}

/* Returns a place for a loan; NULL if there is none. */
static struct retry_loan *
find_free_loan(struct retry_quota *quota)
{
	for (size_t i = 0; i < RETRY_QUOTA_LOANS_MAX; i++) {
		if (quota->lent[i].tokens <= 0.0)
			return &quota->lent[i];
	}
	return NULL;
}

/*
 * Lends another process up to that many tokens; returns how many. A process
 * that has needed tokens lately keeps one for its own next retry.
 */
uint32_t
retry_quota_lend(struct retry_quota *quota, const struct retry_limits *limits,
    double share, uint32_t wanted, struct timespec now)
{
	struct retry_loan *loan = NULL;
	double spare;
	uint32_t tokens;

	refill(quota, limits, share, 0.0, now);
	spare = quota->tokens;
	if (time_is_set(quota->needed_at) &&
	    time_diff_ms(now, quota->needed_at) < RETRY_QUOTA_NEED_MS)
		spare = MAX(spare - RETRY_QUOTA_KEPT, 0.0);
	tokens = MIN(wanted, (uint32_t)floor(spare));
	if (tokens > 0)
		loan = find_free_loan(quota);
	if (loan == NULL)
		return 0;
	quota->tokens -= tokens;
	*loan = (struct retry_loan){
	    .tokens = tokens, .until = time_add_ms(now, RETRY_QUOTA_LOAN_MS)};
	return tokens;
}

/*
 * Adds tokens that another process has lent in answer to a question that was
 * asked at that time, from which on they may be used for the time of a loan.
 * Tokens of several loans lapse with the first.
 */
void
retry_quota_borrow(struct retry_quota *quota, uint32_t tokens,
    struct timespec asked_at, struct timespec now)
{
	struct timespec until = time_add_ms(asked_at, RETRY_QUOTA_LOAN_MS);

	if (!time_before(now, until))
		return;
	if (!time_before(now, quota->borrowed.until))
		quota->borrowed.tokens = 0.0;
	if (quota->borrowed.tokens <= 0.0 ||
	    time_before(until, quota->borrowed.until))
		quota->borrowed.until = until;
	quota->borrowed.tokens += tokens;
}

/* Returns a verdict's name, for logs. */
const char *
retry_verdict_name(enum retry_verdict verdict)
{
	static const char *const names[] = {
	    [RETRY_DENIED] = "denied",
	    [RETRY_BY_TOKEN] = "token",
	    [RETRY_BY_LOAN] = "loan",
	};

	return names[verdict];
}
