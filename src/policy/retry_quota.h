/*
 * Limits the retries that all processes send to a service, to a ratio of its
 * requests and a slack, in each window of time.
 *
 * Load pattern: upstreams fail, every request would be sent again and double
 * the load on the remaining ones, while processes are killed and start again.
 * Each process has a bucket of tokens, one a retry. Requests add the ratio,
 * time adds a part of the slack, and the sizes of all buckets are the rest of
 * it. A bucket begins empty and what is in it ends with its process, so that in
 * any window all processes together can spend no more than the sizes of the
 * buckets and what was added in that window, whoever starts or ends. Processes
 * that need no tokens lend theirs.
 */
#ifndef POLICY_RETRY_QUOTA_H
#define POLICY_RETRY_QUOTA_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Loans of a process at a time; it lends nothing beyond them. */
#define RETRY_QUOTA_LOANS_MAX 8
/* Lent tokens are used within this time or lapse. */
#define RETRY_QUOTA_LOAN_MS 1000
/* A process that has used or lacked a token within this time keeps some. */
#define RETRY_QUOTA_NEED_MS 1000
#define RETRY_QUOTA_KEPT    1.0
/*
 * The part of the slack that is used: sends may be delayed on their way, and a
 * process that has just joined is not yet known to the others.
 */
#define RETRY_QUOTA_SLACK_USED 0.95
/*
 * The part of a process's slack that is the size of its bucket. What breaks at
 * once is sent again at once from there; the rest is added over the window.
 */
#define RETRY_QUOTA_BUCKET 0.6
/* Size of the bucket of a process without a share of the slack. */
#define RETRY_QUOTA_BUCKET_MIN 1.0

struct retry_limits {
	double ratio; /* retries per request */
	double slack; /* further retries of all processes together */
	int64_t window_ms;
};

/* Why a retry is allowed, or that it is not. */
enum retry_verdict {
	RETRY_DENIED,
	RETRY_BY_TOKEN,
	RETRY_BY_LOAN,
};

/* Tokens that another process has until they lapse. */
struct retry_loan {
	double tokens;
	struct timespec until;
};

/*
 * The quota of one service. Zero-initialised: empty, without a share before its
 * first use.
 */
struct retry_quota {
	double tokens;
	double share; /* of the slack, when tokens were last added */
	struct timespec refilled_at;
	struct timespec needed_at; /* when a token was last used or lacked */
	struct retry_loan lent[RETRY_QUOTA_LOANS_MAX];
	struct retry_loan borrowed;
};

void retry_quota_init(
    struct retry_quota *, double share, struct timespec since);
void retry_quota_count_request(struct retry_quota *,
    const struct retry_limits *, double share, struct timespec now);
enum retry_verdict retry_quota_check(struct retry_quota *,
    const struct retry_limits *, double share, struct timespec now);
enum retry_verdict retry_quota_take(struct retry_quota *,
    const struct retry_limits *, double share, struct timespec now);
uint32_t retry_quota_lend(struct retry_quota *, const struct retry_limits *,
    double share, uint32_t wanted, struct timespec now);
void retry_quota_borrow(struct retry_quota *, uint32_t tokens,
    struct timespec asked_at, struct timespec now);
bool retry_quota_is_divisible(const struct retry_limits *, double share);
const char *retry_verdict_name(enum retry_verdict);

#endif
