#include "policy/group.h"

#include <string.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "base/list.h"
#include "policy/group_plan.h"

/* Minimum delay before a busy member is asked again. */
#define BUSY_RETRY_MIN_MS 50
/* Back-off after releasing all holds: the first, doubled up to the limit. */
#define BACKOFF_INITIAL_MS 500
#define BACKOFF_LIMIT_MS   2000
/* The busy timeout doubles with each back-off, up to this. */
#define BUSY_TIMEOUT_MAX_MS 96000
/*
 * Minimum retry-after of a failure; a random time of up to the same length is
 * added.
 */
#define RETRY_AFTER_MS 2000

enum group_state {
	GROUP_ACQUIRING,
	GROUP_BACKING_OFF, /* released its holds, retries later */
	GROUP_SHARDING,
	GROUP_GENERATING,
	GROUP_DONE,
};

struct member {
	bool hold_sent; /* a hold may exist there */
	bool held;
	bool awaiting_answer; /* a hold request is unanswered */
	struct timespec answer_deadline;
	struct timespec send_at; /* time of the next hold request or renewal */
	bool sharded;
	char *kv;
};

struct pending_group_action {
	struct group_action action;
	TAILQ_ENTRY(pending_group_action) entry;
};

TAILQ_HEAD(pending_group_actions, pending_group_action);

struct group {
	enum group_state state;
	struct group_plan plan;
	struct member *members; /* in the order of the plan's parts */
	size_t current_member; /* the member whose hold is being acquired */
	struct timespec busy_since; /* zero: that member is not busy */
	struct timespec backoff_until;
	int64_t backoff_ms;
	int64_t busy_timeout_ms; /* with a busy member, while others are held */
	struct timespec deadline;
	GRand *rand;
	const char **imports;
	struct pending_group_actions actions;
};

INVARIANT_DEFINE(in_order, "group_holds_in_order");
INVARIANT_DEFINE(all_held, "group_runs_only_with_all_holds");
INVARIANT_DEFINE(all_freed, "group_ends_without_holds");

/* Queues an action for a member. */
static struct group_action *
push_action(struct group *group, enum group_action_kind kind, size_t index)
{
	const struct group_part *part = &group->plan.parts[index];
	struct pending_group_action *pending = g_new0(
	    struct pending_group_action, 1);

	pending->action = (struct group_action){
	    .kind = kind,
	    .upstream = part->upstream,
	    .tokens = part->tokens,
	    .offset = part->offset,
	};
	TAILQ_INSERT_TAIL(&group->actions, pending, entry);
	return &pending->action;
}

/* Requests a hold or renews it. */
static void
send_hold(struct group *group, size_t index, struct timespec now)
{
	struct member *member = &group->members[index];
	struct group_action *action = push_action(
	    group, GROUP_SEND_HOLD, index);

	for (size_t i = 0; i < index; i++)
		invariant_check(&in_order, group->members[i].held, NULL, NULL);
	action->tokens = group->plan.parts[index].hold_tokens;
	action->expires_ms = GROUP_HOLD_EXPIRY_MS;
	member->hold_sent = true;
	member->awaiting_answer = true;
	member->answer_deadline = time_add_ms(now, GROUP_ANSWER_TIMEOUT_MS);
	member->send_at = time_add_ms(now, GROUP_RENEW_INTERVAL_MS);
}

/* Releases all holds that may exist. */
static void
release_all(struct group *group)
{
	for (size_t i = 0; i < group->plan.count; i++) {
		struct member *member = &group->members[i];

		if (member->hold_sent)
			push_action(group, GROUP_SEND_RELEASE, i);
		g_free(member->kv);
		*member = (struct member){0};
	}
}

/* Ends the group and releases all its holds. */
static void
end_group(struct group *group)
{
	release_all(group);
	group->state = GROUP_DONE;
	for (size_t i = 0; i < group->plan.count; i++)
		invariant_check(
		    &all_freed, !group->members[i].hold_sent, NULL, NULL);
}

/* Ends the group with a failure, which is its final answer. */
static void
fail_group(struct group *group, enum reject_reason reason)
{
	struct pending_group_action *pending;

	if (group->state == GROUP_DONE)
		return;
	end_group(group);
	pending = g_new0(struct pending_group_action, 1);
	pending->action = (struct group_action){
	    .kind = GROUP_FAIL,
	    .reason = reason,
	    .retry_after_ms = RETRY_AFTER_MS +
		g_rand_int_range(group->rand, 0, RETRY_AFTER_MS),
	};
	TAILQ_INSERT_TAIL(&group->actions, pending, entry);
}

/*
 * Releases all holds and backs off for a random time, so that another group
 * that needs the same members can acquire them.
 */
static void
release_and_back_off(struct group *group, struct timespec now)
{
	release_all(group);
	group->state = GROUP_BACKING_OFF;
	group->backoff_until = time_add_ms(now,
	    g_rand_int_range(group->rand, (gint32)group->backoff_ms / 2,
		(gint32)group->backoff_ms + 1));
	group->backoff_ms = MIN(group->backoff_ms * 2, BACKOFF_LIMIT_MS);
	group->busy_timeout_ms = MIN(
	    group->busy_timeout_ms * 2, BUSY_TIMEOUT_MAX_MS);
}

/* Starts acquiring the holds, from the first member on. */
static void
begin_acquiring(struct group *group, struct timespec now)
{
	group->state = GROUP_ACQUIRING;
	group->current_member = 0;
	group->busy_since = (struct timespec){0};
	send_hold(group, 0, now);
}

/* Starts the leader; all shards are prefilled. */
static void
begin_generating(struct group *group)
{
	struct group_action *action;
	size_t count = 0;

	for (size_t i = 0; i < group->plan.count; i++) {
		invariant_check(&all_held, group->members[i].held, NULL, NULL);
		/* A member whose part has no tokens has prefilled nothing. */
		if (i != group->plan.leader && group->members[i].kv != NULL)
			group->imports[count++] = group->members[i].kv;
	}
	group->imports[count] = NULL;
	group->state = GROUP_GENERATING;
	action = push_action(group, GROUP_SEND_LEADER, group->plan.leader);
	action->imports = group->imports;
}

/* Returns whether all members except the leader have prefilled their shards. */
static bool
shards_done(const struct group *group)
{
	for (size_t i = 0; i < group->plan.count; i++) {
		if (i != group->plan.leader && !group->members[i].sharded)
			return false;
	}
	return true;
}

/* Starts the shards; all holds are acquired. */
static void
begin_sharding(struct group *group)
{
	group->state = GROUP_SHARDING;
	for (size_t i = 0; i < group->plan.count; i++) {
		invariant_check(&all_held, group->members[i].held, NULL, NULL);
		if (i == group->plan.leader)
			continue;
		if (group->plan.parts[i].tokens == 0)
			group->members[i].sharded = true;
		else
			push_action(group, GROUP_SEND_SHARD, i);
	}
	if (shards_done(group))
		begin_generating(group);
}

/* Finds a member by its upstream's id. Returns false if there is none. */
static bool
find_member(const struct group *group, const char *upstream, size_t *index)
{
	for (size_t i = 0; i < group->plan.count; i++) {
		if (strcmp(group->plan.parts[i].upstream, upstream) == 0) {
			*index = i;
			return true;
		}
	}
	return false;
}

/*
 * Creates a group for a prompt among the candidates and requests its first
 * hold. If their memory is too small together, the only action is a failure.
 * The random source is borrowed and must outlive the group.
 */
struct group *
group_new(const struct group_request *request,
    const struct group_candidate *candidates, size_t count, GRand *rand,
    struct timespec now)
{
	struct group *group = g_new0(struct group, 1);

	TAILQ_INIT(&group->actions);
	group->rand = rand;
	group->deadline = request->deadline;
	group->backoff_ms = BACKOFF_INITIAL_MS;
	group->busy_timeout_ms = GROUP_BUSY_TIMEOUT_MS;
	if (!group_plan_make(&group->plan, request, candidates, count)) {
		fail_group(group, REJECT_TOO_LARGE);
		return group;
	}
	group->members = g_new0(struct member, group->plan.count);
	group->imports = g_new0(const char *, group->plan.count);
	begin_acquiring(group, now);
	return group;
}

/* Frees the group. If it is not done, the releases of its holds are lost. */
void
group_free(struct group *group)
{
	struct pending_group_action *pending;

	if (group == NULL)
		return;
	while ((pending = TAILQ_FIRST(&group->actions)) != NULL) {
		TAILQ_REMOVE(&group->actions, pending, entry);
		g_free(pending);
	}
	for (size_t i = 0; i < group->plan.count; i++)
		g_free(group->members[i].kv);
	g_free(group->members);
	g_free(group->imports);
	group_plan_clear(&group->plan);
	g_free(group);
}

/*
 * Schedules another hold request to a busy member. If the group holds other
 * members, it backs off once the busy timeout has passed.
 */
static void
retry_busy_member(struct group *group, size_t index, int64_t retry_after_ms,
    struct timespec now)
{
	if (!time_is_set(group->busy_since))
		group->busy_since = now;
	if (index > 0 &&
	    time_diff_ms(now, group->busy_since) >= group->busy_timeout_ms) {
		release_and_back_off(group, now);
		return;
	}
	group->members[index].send_at = time_add_ms(
	    now, MAX(retry_after_ms, BUSY_RETRY_MIN_MS));
}

/* Acquires the next member's hold, or starts the shards when all are held. */
static void
acquire_next_hold(struct group *group, struct timespec now)
{
	group->busy_since = (struct timespec){0};
	if (++group->current_member < group->plan.count)
		send_hold(group, group->current_member, now);
	else
		begin_sharding(group);
}

/* Reports a member's answer to a hold request or renewal. */
void
group_on_hold_answer(struct group *group, const char *upstream, bool granted,
    int64_t retry_after_ms, struct timespec now)
{
	struct member *member;
	size_t index;

	if (!find_member(group, upstream, &index) || group->state == GROUP_DONE)
		return;
	member = &group->members[index];
	if (!member->awaiting_answer) /* to a hold that was released since */
		return;
	member->awaiting_answer = false;
	if (granted && member->held)
		return;
	if (granted) {
		member->held = true;
		acquire_next_hold(group, now);
	} else if (!member->held) {
		retry_busy_member(group, index, retry_after_ms, now);
	} else if (group->state == GROUP_ACQUIRING) {
		release_and_back_off(group, now);
	} else {
		fail_group(group, REJECT_DOWN);
	}
}

/*
 * Reports that a member has prefilled its shard, as the KV block named kv, or
 * has failed to.
 */
void
group_on_shard_done(struct group *group, const char *upstream, bool ok,
    const char *kv, struct timespec now)
{
	size_t index;

	(void)now;
	if (group->state != GROUP_SHARDING ||
	    !find_member(group, upstream, &index))
		return;
	if (!ok) {
		fail_group(group, REJECT_DOWN);
		return;
	}
	group->members[index].sharded = true;
	g_free(group->members[index].kv);
	group->members[index].kv = g_strdup(kv);
	if (shards_done(group))
		begin_generating(group);
}

/*
 * Reports that the leader's run has ended, successfully or not; the caller has
 * its answer.
 */
void
group_on_leader_done(struct group *group, struct timespec now)
{
	(void)now;
	if (group->state == GROUP_GENERATING)
		end_group(group);
}

/* Reports that a member has crashed or is unreachable; the group fails. */
void
group_on_member_lost(
    struct group *group, const char *upstream, struct timespec now)
{
	size_t index;

	(void)now;
	if (find_member(group, upstream, &index))
		fail_group(group, REJECT_DOWN);
}

/* Cancels the group; the caller has disconnected. */
void
group_cancel(struct group *group, struct timespec now)
{
	(void)now;
	fail_group(group, REJECT_CANCELLED);
}

/*
 * Handles one member's timeouts and renewals. Returns false if the group has
 * ended.
 */
static bool
tick_member(struct group *group, size_t index, struct timespec now)
{
	struct member *member = &group->members[index];

	if (member->awaiting_answer &&
	    !time_before(now, member->answer_deadline)) {
		fail_group(group, REJECT_DOWN);
		return false;
	}
	if (member->hold_sent && !member->awaiting_answer &&
	    !time_before(now, member->send_at))
		send_hold(group, index, now);
	return true;
}

/*
 * Handles the deadline, unanswered requests, renewals and the end of a
 * back-off.
 */
void
group_tick(struct group *group, struct timespec now)
{
	if (group->state == GROUP_DONE)
		return;
	if (!time_before(now, group->deadline)) {
		fail_group(group, REJECT_EXPIRED);
		return;
	}
	if (group->state == GROUP_BACKING_OFF &&
	    !time_before(now, group->backoff_until))
		begin_acquiring(group, now);
	for (size_t i = 0; i < group->plan.count; i++) {
		if (!tick_member(group, i, now))
			return;
	}
}

/* Fetches the next action. Returns false if there is none. */
bool
group_next_action(struct group *group, struct group_action *action)
{
	struct pending_group_action *pending = TAILQ_FIRST(&group->actions);

	if (pending == NULL)
		return false;
	TAILQ_REMOVE(&group->actions, pending, entry);
	*action = pending->action;
	g_free(pending);
	return true;
}

/* Returns the time by which group_tick() must be called. */
struct timespec
group_next_wake(const struct group *group)
{
	struct timespec next = group->deadline, due;

	if (group->state == GROUP_BACKING_OFF &&
	    time_before(group->backoff_until, next))
		next = group->backoff_until;
	for (size_t i = 0; i < group->plan.count; i++) {
		const struct member *member = &group->members[i];

		if (!member->hold_sent)
			continue;
		due = member->awaiting_answer ? member->answer_deadline
					      : member->send_at;
		if (time_before(due, next))
			next = due;
	}
	return next;
}

/* Returns whether the group has ended and released all its holds. */
bool
group_is_done(const struct group *group)
{
	return group->state == GROUP_DONE;
}

/* Returns the leader's upstream id, or NULL if no group could be formed. */
const char *
group_leader(const struct group *group)
{
	if (group->plan.count == 0)
		return NULL;
	return group->plan.parts[group->plan.leader].upstream;
}
