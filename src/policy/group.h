/*
 * A prompt larger than one engine: its members are held all or nothing, each
 * computes a shard, and the leader runs with the shards imported. A pure state
 * machine for the entry that serves the request.
 *
 * Members are held one after the other in the order of their ids, so that no
 * two groups wait for each other in a circle; holds expire by themselves; a
 * group that waits too long for a member gives up all it holds and starts again
 * after a random pause. Any member's death ends the group and frees everything.
 *
 * The entry reports events and then takes actions with group_next_action()
 * until there are none. Times are milliseconds, sizes are tokens.
 */
#ifndef POLICY_GROUP_H
#define POLICY_GROUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <glib.h>

#include "peer/message.h"

/* How long a hold lasts without being renewed. */
#define GROUP_HOLD_EXPIRY_MS 5000
/* Holds are renewed this often. */
#define GROUP_RENEW_INTERVAL_MS 1500
/* An unanswered hold counts as a lost member after this. */
#define GROUP_ANSWER_TIMEOUT_MS 2000
/* A member that stays busy this long makes the group give up other holds. */
#define GROUP_BUSY_TIMEOUT_MS 3000
/* Of a member's memory a group takes no more than this. */
#define GROUP_MEMBER_MEMORY_PERCENT 60

struct group;

/* An upstream that could take part, as its latest offer says. */
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
	GROUP_SEND_HOLD, /* hold or renew tokens at the member */
	GROUP_SEND_RELEASE, /* release the hold and cancel what runs under it */
	GROUP_SEND_SHARD, /* prefill [offset, offset + tokens) under the hold */
	GROUP_SEND_LEADER, /* generate from the last part, with all imports */
	GROUP_FAIL, /* the final answer: not served */
};

struct group_action {
	enum group_action_kind kind;
	const char *upstream; /* member; valid until group_free() */
	uint64_t tokens; /* to hold, or of the part of the prompt */
	uint64_t offset; /* of the part in the prompt */
	int64_t expires_ms; /* of a hold */
	const char *const *imports; /* of the leader; ends with NULL */
	enum reject_reason reason; /* of a failure */
	int64_t retry_after_ms; /* of a failure */
};

struct group *group_new(const struct group_request *,
    const struct group_candidate *, size_t count, GRand *, struct timespec now);
void group_free(struct group *);

void group_on_hold_answer(struct group *, const char *upstream, bool granted,
    int64_t retry_after_ms, struct timespec now);
void group_shard_done(struct group *, const char *upstream, bool ok,
    const char *kv, struct timespec now);
void group_leader_done(struct group *, struct timespec now);
void group_member_lost(
    struct group *, const char *upstream, struct timespec now);
void group_cancel(struct group *, struct timespec now);
void group_tick(struct group *, struct timespec now);

bool group_next_action(struct group *, struct group_action *);
struct timespec group_next_wake(const struct group *);
bool group_is_done(const struct group *);
const char *group_leader(const struct group *);

#endif
