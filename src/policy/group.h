/*
 * Serves a prompt that is larger than one engine's memory on a group of
 * upstreams, its members. The prompt is divided into one part per member. The
 * leader is the member that prefills the last part and generates; each other
 * member prefills its part as a shard, whose KV block the leader imports. A
 * pure state machine for the entry that serves the request.
 *
 * A hold is memory of a member that its sidecar sets aside for the group in its
 * own accounting (policy/memory.h). Memory is held at all members or none. (A
 * gateway has no sidecars: it makes reservations at the engines, see
 * gateway/reservations.h.)
 *
 * Holds are acquired one at a time in the order of the members' ids, so that
 * groups cannot deadlock. Holds expire on their own. A group that waits too
 * long for a busy member releases all its holds and retries after a random
 * back-off. If any member is lost, the group ends and releases everything.
 *
 * The entry reports events and then fetches actions with group_next_action()
 * until there are none. Times are in milliseconds, sizes in tokens.
 */
#ifndef POLICY_GROUP_H
#define POLICY_GROUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <glib.h>

#include "peer/message.h"

/* Expiry of a hold that is not renewed. */
#define GROUP_HOLD_EXPIRY_MS 5000
/* Interval between renewals of a hold. */
#define GROUP_RENEW_INTERVAL_MS 1500
/* A member that has not answered a hold request within this time is lost. */
#define GROUP_ANSWER_TIMEOUT_MS 2000
/*
 * When a member stays busy for this long, the group releases its other holds.
 */
#define GROUP_BUSY_TIMEOUT_MS 3000
/* Upper limit of a group's share of one member's memory. */
#define GROUP_MEMBER_MEMORY_PERCENT 60

struct group;

/* An upstream that could be a member, according to its latest offer. */
struct group_candidate {
	const char *upstream; /* id; copied */
	uint64_t memory_tokens;
	uint64_t free_tokens;
	bool accepting;
};

struct group_request {
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	struct timespec deadline; /* monotonic */
};

enum group_action_kind {
	GROUP_SEND_HOLD, /* acquire or renew a hold at the member */
	GROUP_SEND_RELEASE, /* release the hold, cancel what uses it */
	GROUP_SEND_SHARD, /* prefill [offset, offset + tokens) under the hold */
	GROUP_SEND_LEADER, /* prefill the last part, generate */
	GROUP_FAIL, /* final answer: the request is not served */
};

struct group_action {
	enum group_action_kind kind;
	const char *upstream; /* member; valid until group_free() */
	uint64_t tokens; /* tokens to hold, or in the part of the prompt */
	uint64_t offset; /* start of the part in the prompt */
	int64_t expires_ms; /* of a hold */
	const char *const *imports; /* KV blocks, ends with NULL */
	enum reject_reason reason; /* of a failure */
	int64_t retry_after_ms; /* of a failure */
};

struct group *group_new(const struct group_request *,
    const struct group_candidate *, size_t count, GRand *, struct timespec now);
void group_free(struct group *);

void group_on_hold_answer(struct group *, const char *upstream, bool granted,
    int64_t retry_after_ms, struct timespec now);
void group_on_shard_done(struct group *, const char *upstream, bool ok,
    const char *kv, struct timespec now);
void group_on_leader_done(struct group *, struct timespec now);
void group_on_member_lost(
    struct group *, const char *upstream, struct timespec now);
void group_cancel(struct group *, struct timespec now);
void group_tick(struct group *, struct timespec now);

bool group_next_action(struct group *, struct group_action *);
struct timespec group_next_wake(const struct group *);
bool group_is_done(const struct group *);
const char *group_leader(const struct group *);

#endif
