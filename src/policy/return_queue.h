/*
 * When callers that were rejected for lack of capacity come back: a virtual
 * queue over all gateways. A rejected caller gets a turn, which is the time at
 * which room is expected for it after those that were rejected before it. The
 * gateways report their turns to each other, keep capacity for them, and serve
 * a caller in its turn before new callers of its rank.
 *
 * Load pattern: a burst fills the engines, and each gateway rejects a part of
 * it. Callers that are all told the same time return together, meet each other
 * and the new callers of that moment, and are rejected again, which is the
 * worst outcome for them: they have waited for nothing. Callers that would have
 * to wait for longer than they are willing to get no time at all.
 *
 * Work is measured in milliseconds of one server: of prefill on an engine, or
 * of a slot. Both kinds of a service are queues of their own.
 */
#ifndef POLICY_RETURN_QUEUE_H
#define POLICY_RETURN_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* Turns that one gateway knows; about 100 bytes each. */
#define RETURN_QUEUE_MAX 2048
/* Most turns in one load report, the soonest first, and the size of one. */
#define RETURN_QUEUE_REPORT_MAX 64
#define RETURN_QUEUE_ROW_BYTES	25
/*
 * Share of its remaining time for which a caller waits. Callers give up if told
 * more than a third; the margin covers the way to them.
 */
#define RETURN_PATIENCE_SHARE 0.3
/*
 * No turn is sooner, in milliseconds: by then its report has reached the other
 * gateways, so that they recognise the caller.
 */
#define RETURN_WAIT_MIN_MS 250
/*
 * Own turns that are younger than this, in milliseconds, stand for those that
 * the other gateways have given at the same time and not reported yet.
 */
#define RETURN_SYNC_MS 250
/* Turns of this time show how many the other gateways give. */
#define RETURN_RECENT_MS 2000
/* Share of the servers' time that turns are planned with; the rest decodes. */
#define RETURN_CAPACITY_SHARE 0.7
/*
 * Capacity is kept for a caller from this long before its turn to this long
 * after. Kept earlier, it makes as many new callers late as it helps others: in
 * the fleet model the worth of what is served then falls by a tenth.
 */
#define RETURN_LOOKAHEAD_MS 100
#define RETURN_KEEP_MS	    300
/* A caller that comes back within this time of its turn is in its turn. */
#define RETURN_EARLY_MS 100
/* A caller is recognised until this long after its turn. */
#define RETURN_LAPSE_MS 3000
/*
 * Weight of one turn in the share of callers that come back, and the least
 * share that capacity is kept for.
 */
#define RETURN_SHARE_WEIGHT (1.0 / 32.0)
#define RETURN_SHARE_MIN    0.1
/*
 * Ratio of a prompt's cost to its worth, which is at most 1 for new prompts
 * that are served: up to which a rejected one gets a turn, is served in its
 * turn, and is served in it after it has been held. In the fleet model 86% of
 * those that came back were rejected again without the first limit, as they are
 * too costly at any load; with the others above these, more prompts become late
 * than are served in addition.
 */
#define RETURN_TURN_COST_RATIO 1.5
#define RETURN_COST_RATIO      1.5
#define RETURN_HELD_COST_RATIO 2.0
/*
 * It is held for this share of its target until it can be served, or for this
 * time if it has no target.
 */
#define RETURN_HOLD_SHARE      0.5
#define RETURN_HOLD_DEFAULT_MS 250
/* Ranks are below this; higher ones count as the last. */
#define RETURN_RANKS 16

struct return_queue;

/* Identifies what queues together: a service, and by what it is limited. */
struct return_class {
	uint32_t service; /* from return_queue_service() */
	uint32_t rank; /* 0 is the most urgent */
};

/* A caller that is rejected, and the state of the servers. */
struct return_ask {
	uint64_t fingerprint; /* of its request */
	struct return_class class;
	double work_ms; /* of one server */
	double servers; /* engines, or slots */
	double room_ms; /* until there is room for work that is not here yet */
	double left_ms; /* until the caller's deadline */
	double serve_ms; /* from when there is room to its first event */
	double cost_ratio; /* its cost by its worth; 0 if it has none */
	double share; /* of the load that comes from this gateway, 0 to 1 */
	uint32_t ticket; /* random */
	double phase; /* random, from 0 to below 1 */
};

/* A caller's turn. */
struct return_turn {
	uint32_t ticket; /* 0: it has none, and is not to come back */
	int64_t wait_ms; /* until its turn */
	double ahead_ms; /* work of one server ahead of it */
};

/* A caller that has come back. */
struct return_status {
	uint32_t ticket; /* 0: it is new */
	int64_t early_ms; /* until its turn; 0 if it is in its turn */
	int64_t late_ms; /* since its turn */
};

/* A turn as reported among gateways. */
struct return_row {
	uint32_t ticket;
	uint64_t fingerprint;
	struct return_class class;
	uint64_t lapse_ms; /* until it lapses */
	uint64_t work_ms; /* 0: the caller is no longer expected */
};

struct return_queue *return_queue_new(void);
void return_queue_free(struct return_queue *);
uint32_t return_queue_service(const char *name, bool by_slots);
struct return_turn return_queue_take(
    struct return_queue *, const struct return_ask *, struct timespec now);
struct return_status return_queue_arrive(struct return_queue *,
    uint64_t fingerprint, uint32_t service, struct timespec now);
void return_queue_defer(struct return_queue *, uint32_t ticket);
void return_queue_end(struct return_queue *, uint32_t ticket);
double return_queue_kept_ms(const struct return_queue *, struct return_class,
    uint32_t ticket, struct timespec now);
size_t return_queue_kept_count(const struct return_queue *, struct return_class,
    uint32_t ticket, struct timespec now);
void return_queue_expire(struct return_queue *, struct timespec now);
size_t return_queue_collect(struct return_queue *, bool changes,
    struct return_row rows[RETURN_QUEUE_REPORT_MAX], struct timespec now);
void return_queue_on_report(
    struct return_queue *, const struct return_row *, struct timespec now);
bool return_queue_admits(double cost, double worth, bool may_hold);
bool return_queue_may_hold(double waited_ms, double target_ms, double left_ms);
size_t return_queue_count(const struct return_queue *);
double return_queue_share(const struct return_queue *);

#endif
