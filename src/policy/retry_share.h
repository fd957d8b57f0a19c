/*
 * The part of a limit for all processes that this one may use, such that the
 * parts of all of them never add up to more than the whole.
 *
 * Load pattern: upstreams fail while processes are killed, started, added and
 * cut off from each other. A process that takes the limit to be divided among
 * fewer than use it, or that has a part again after each start, makes the sum
 * exceed the limit. So a part is held only while enough others agree on the
 * number of processes; the less is known, the less may be used.
 */
#ifndef POLICY_RETRY_SHARE_H
#define POLICY_RETRY_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/*
 * A share is held while more than this part of the known processes report. Two
 * sets of that size have a member in common, also if one is of a fleet that has
 * grown by up to a half.
 */
#define RETRY_SHARE_QUORUM_PERCENT 60

/* What a peer last reported. */
struct retry_peer {
	uint32_t known; /* processes, itself included; 0: not reported */
	bool holds; /* a share */
};

/* What this process knows of all, itself included in each number. */
struct retry_view {
	uint32_t known; /* the largest number that any process knows */
	uint32_t live; /* processes that report */
	uint32_t agreeing; /* of these, that report at least known */
	bool has_holder; /* a peer holds a share */
	bool is_settled; /* processes that started with this one are known */
	int64_t lapse_ms; /* after which a report no longer counts */
};

/* Whether this process holds a share. Zero-initialised: it does not. */
struct retry_share {
	bool holds;
	uint32_t known; /* the number last looked at */
	struct timespec agreed_since; /* unset: too few agree */
};

void retry_view_count(struct retry_view *, uint32_t own_known,
    const struct retry_peer *, size_t count);
double retry_share_update(
    struct retry_share *, const struct retry_view *, struct timespec now);

#endif
