#include "policy/return_queue.h"

#include <math.h>

#include <glib.h>

#include "base/clock.h"
#include "base/list.h"

/* Bits of a service's hash, and the bit that marks a queue for slots. */
#define SERVICE_BITS   27
#define BY_SLOTS_BIT   (UINT32_C(1) << SERVICE_BITS)
#define SERVER_MIN     0.001
#define LOAD_SHARE_MIN 0.001

/* One caller's turn. */
struct turn {
	uint32_t ticket;
	uint64_t fingerprint;
	struct return_class class;
	double work_ms;
	struct timespec made_at;
	struct timespec due;
	bool own; /* given by this gateway */
	bool arrived; /* its caller is at this gateway */
	bool ended; /* kept only until it has been reported */
	bool unreported;
	TAILQ_ENTRY(turn) entry;
};

TAILQ_HEAD(turns, turn);

struct return_queue {
	struct turns turns; /* soonest first */
	GHashTable *by_ticket;
	double share; /* of callers that come back, moving average */
};

/* Returns an empty queue. */
struct return_queue *
return_queue_new(void)
{
	struct return_queue *queue = g_new0(struct return_queue, 1);

	TAILQ_INIT(&queue->turns);
	queue->by_ticket = g_hash_table_new(g_direct_hash, g_direct_equal);
	queue->share = 1.0;
	return queue;
}

/* Removes a turn. */
static void
remove_turn(struct return_queue *queue, struct turn *turn)
{
	TAILQ_REMOVE(&queue->turns, turn, entry);
	g_hash_table_remove(queue->by_ticket, GUINT_TO_POINTER(turn->ticket));
	g_free(turn);
}

/* Frees a queue; NULL is allowed. */
void
return_queue_free(struct return_queue *queue)
{
	if (queue == NULL)
		return;
	while (!TAILQ_EMPTY(&queue->turns))
		remove_turn(queue, TAILQ_FIRST(&queue->turns));
	g_hash_table_unref(queue->by_ticket);
	g_free(queue);
}

/*
 * Returns what identifies a service's queue among gateways: for requests that
 * are limited by slots, or by the engines' prefill time.
 */
uint32_t
return_queue_service(const char *name, bool by_slots)
{
	return (g_str_hash(name) & (BY_SLOTS_BIT - 1)) |
	    (by_slots ? BY_SLOTS_BIT : 0);
}

/* Returns the turn with a ticket; NULL if there is none. */
static struct turn *
find_turn(const struct return_queue *queue, uint32_t ticket)
{
	return g_hash_table_lookup(queue->by_ticket, GUINT_TO_POINTER(ticket));
}

/*
 * Adds a turn in the order of the times. In a full queue the latest one gives
 * way; returns false if that would be the new one.
 */
static bool
add_turn(struct return_queue *queue, const struct turn *values)
{
	struct turn *last = TAILQ_LAST(&queue->turns, turns);
	struct turn *turn;

	if (g_hash_table_size(queue->by_ticket) >= RETURN_QUEUE_MAX) {
		if (!time_before(values->due, last->due))
			return false;
		remove_turn(queue, last);
		last = TAILQ_LAST(&queue->turns, turns);
	}
	turn = g_memdup2(values, sizeof(*values));
	while (last != NULL && time_before(turn->due, last->due))
		last = TAILQ_PREV(last, turns, entry);
	if (last == NULL)
		TAILQ_INSERT_HEAD(&queue->turns, turn, entry);
	else
		TAILQ_INSERT_AFTER(&queue->turns, last, turn, entry);
	g_hash_table_insert(
	    queue->by_ticket, GUINT_TO_POINTER(turn->ticket), turn);
	return true;
}

/* Returns whether a turn is ahead of a class, or goes before its new callers.
 */
static bool
has_precedence(const struct turn *turn, struct return_class class)
{
	return !turn->ended && turn->class.service == class.service &&
	    turn->class.rank <= class.rank;
}

/*
 * Returns how many turns all gateways give while this one gives one: by those
 * of the last seconds that the peers have reported, or by the load if there are
 * none.
 */
static double
count_copies(const struct return_queue *queue, const struct return_ask *ask,
    struct timespec now)
{
	const struct turn *turn;
	double own = 0.0;
	double all = 0.0;

	TAILQ_FOREACH (turn, &queue->turns, entry) {
		int64_t age_ms = time_diff_ms(now, turn->made_at);

		if (turn->class.service != ask->class.service ||
		    age_ms < RETURN_SYNC_MS || age_ms > RETURN_RECENT_MS)
			continue;
		own += turn->own ? 1.0 : 0.0;
		all += 1.0;
	}
	return own > 0.0 ? all / own
			 : 1.0 / CLAMP(ask->share, LOAD_SHARE_MIN, 1.0);
}

/*
 * Returns the work ahead of a new turn, in milliseconds of one server. Own
 * turns that the peers don't know yet also stand for theirs.
 */
static double
work_ahead_ms(const struct return_queue *queue, const struct return_ask *ask,
    double copies, struct timespec now)
{
	const struct turn *turn;
	double total = 0.0;

	TAILQ_FOREACH (turn, &queue->turns, entry) {
		if (!has_precedence(turn, ask->class) ||
		    (!turn->arrived &&
			time_diff_ms(now, turn->due) >= RETURN_KEEP_MS))
			continue;
		total += turn->work_ms *
		    (turn->own &&
				time_diff_ms(now, turn->made_at) <
				    RETURN_SYNC_MS
			    ? copies
			    : 1.0);
	}
	return total;
}

/*
 * Gives a rejected caller its turn: when there is room for it after those ahead
 * of it. It has none if that is later than it waits, or than it can be served
 * in time, or if it costs too much to be served then.
 */
struct return_turn
return_queue_take(struct return_queue *queue, const struct return_ask *ask,
    struct timespec now)
{
	double per_ms = MAX(ask->servers, SERVER_MIN) * RETURN_CAPACITY_SHARE;
	double copies = count_copies(queue, ask, now);
	struct return_turn out = {
	    .ahead_ms = work_ahead_ms(queue, ask, copies, now),
	};
	double most_ms = MIN(
	    ask->left_ms * RETURN_PATIENCE_SHARE, ask->left_ms - ask->serve_ms);
	/* Gateways that reject at the same time must not give the same turn. */
	double wait_ms = MAX(ask->room_ms, 0.0) +
	    (out.ahead_ms * queue->share + ask->phase * ask->work_ms * copies) /
		per_ms;
	uint32_t ticket = ask->ticket;

	wait_ms = MAX(wait_ms, RETURN_WAIT_MIN_MS);
	if (wait_ms > most_ms || ask->cost_ratio > RETURN_TURN_COST_RATIO)
		return out;
	while (ticket == 0 || find_turn(queue, ticket) != NULL)
		ticket++;
	out.wait_ms = (int64_t)lround(wait_ms);
	if (!add_turn(queue,
		&(struct turn){
		    .ticket = ticket,
		    .fingerprint = ask->fingerprint,
		    .class = ask->class,
		    .work_ms = MAX(ask->work_ms, 1.0),
		    .made_at = now,
		    .due = time_add_ms(now, out.wait_ms),
		    .own = true,
		    .unreported = true,
		}))
		out.wait_ms = 0;
	else
		out.ticket = ticket;
	return out;
}

/* Counts a caller that came back, or did not. */
static void
count_return(struct return_queue *queue, bool returned)
{
	queue->share += RETURN_SHARE_WEIGHT *
	    ((returned ? 1.0 : 0.0) - queue->share);
	queue->share = MAX(queue->share, RETURN_SHARE_MIN);
}

/*
 * Finds the turn of a caller whose request has arrived: the soonest one of an
 * equal request.
 */
struct return_status
return_queue_arrive(struct return_queue *queue, uint64_t fingerprint,
    uint32_t service, struct timespec now)
{
	struct return_status out = {0};
	struct turn *turn;

	TAILQ_FOREACH (turn, &queue->turns, entry) {
		int64_t left_ms;

		if (turn->fingerprint != fingerprint ||
		    turn->class.service != service || turn->arrived ||
		    turn->ended)
			continue;
		left_ms = time_diff_ms(turn->due, now);
		if (left_ms < -RETURN_LAPSE_MS)
			continue;
		turn->arrived = true;
		out.ticket = turn->ticket;
		out.early_ms = left_ms > RETURN_EARLY_MS ? left_ms : 0;
		out.late_ms = MAX(-left_ms, 0);
		break;
	}
	return out;
}

/* A caller that came back early is sent away until its turn. */
void
return_queue_defer(struct return_queue *queue, uint32_t ticket)
{
	struct turn *turn = find_turn(queue, ticket);

	if (turn != NULL)
		turn->arrived = false;
}

/* A caller that came back has been served or rejected: its turn ends. */
void
return_queue_end(struct return_queue *queue, uint32_t ticket)
{
	struct turn *turn = find_turn(queue, ticket);

	if (turn == NULL || turn->ended)
		return;
	count_return(queue, true);
	/* Peers that don't know of the turn need not know of its end. */
	if (turn->own && turn->unreported) {
		remove_turn(queue, turn);
		return;
	}
	turn->ended = true;
	turn->unreported = true;
}

/* Returns whether capacity is kept for a turn now. */
static bool
is_kept(const struct turn *turn, struct timespec now)
{
	int64_t left_ms = time_diff_ms(turn->due, now);

	return turn->arrived ||
	    (left_ms <= RETURN_LOOKAHEAD_MS && left_ms > -RETURN_KEEP_MS);
}

/*
 * Returns the work, in milliseconds of one server, that a request of a class
 * leaves room for: that of the callers that go before it and are due now.
 * ticket is the request's own turn, which only earlier ones precede, or 0.
 */
double
return_queue_kept_ms(const struct return_queue *queue,
    struct return_class class, uint32_t ticket, struct timespec now)
{
	const struct turn *turn;
	double total = 0.0;

	TAILQ_FOREACH (turn, &queue->turns, entry) {
		if (turn->ticket == ticket)
			break;
		if (has_precedence(turn, class) && is_kept(turn, now))
			total += turn->work_ms *
			    (turn->arrived ? 1.0 : queue->share);
	}
	return total;
}

/* Returns how many callers a request leaves room for, see above. */
size_t
return_queue_kept_count(const struct return_queue *queue,
    struct return_class class, uint32_t ticket, struct timespec now)
{
	const struct turn *turn;
	double total = 0.0;

	TAILQ_FOREACH (turn, &queue->turns, entry) {
		if (turn->ticket == ticket)
			break;
		if (has_precedence(turn, class) && is_kept(turn, now))
			total += turn->arrived ? 1.0 : queue->share;
	}
	return (size_t)lround(total);
}

/* Drops the turns that have lapsed; their callers have not come back. */
void
return_queue_expire(struct return_queue *queue, struct timespec now)
{
	struct turn *turn, *next;

	TAILQ_FOREACH_SAFE (turn, &queue->turns, entry, next) {
		if (time_diff_ms(now, turn->due) < RETURN_LAPSE_MS)
			break;
		if (turn->arrived && !turn->ended)
			continue;
		if (!turn->ended)
			count_return(queue, false);
		remove_turn(queue, turn);
	}
}

/*
 * Fills the rows of the next report: what is new since the last one, or all own
 * turns too. What does not fit stays for the next report. Returns their number.
 */
size_t
return_queue_collect(struct return_queue *queue, bool changes,
    struct return_row rows[RETURN_QUEUE_REPORT_MAX], struct timespec now)
{
	struct turn *turn, *next;
	size_t count = 0;

	TAILQ_FOREACH_SAFE (turn, &queue->turns, entry, next) {
		int64_t lapse_ms = time_diff_ms(turn->due, now) +
		    RETURN_LAPSE_MS;

		if (!turn->unreported && (changes || !turn->own))
			continue;
		if (count == RETURN_QUEUE_REPORT_MAX)
			break;
		rows[count++] = (struct return_row){
		    .ticket = turn->ticket,
		    .fingerprint = turn->fingerprint,
		    .class = turn->class,
		    .lapse_ms = (uint64_t)MAX(lapse_ms, 0),
		    .work_ms = turn->ended ? 0 : (uint64_t)ceil(turn->work_ms),
		};
		turn->unreported = false;
		if (turn->ended)
			remove_turn(queue, turn);
	}
	return count;
}

/*
 * Applies a peer's report of a turn. It is kept until it lapses, also if the
 * peer is gone by then.
 */
void
return_queue_on_report(struct return_queue *queue, const struct return_row *row,
    struct timespec now)
{
	struct turn *turn = find_turn(queue, row->ticket);
	int64_t wait_ms = (int64_t)MIN(row->lapse_ms, INT32_MAX) -
	    RETURN_LAPSE_MS;

	if (row->work_ms == 0) {
		if (turn == NULL || turn->arrived)
			return;
		if (!turn->ended)
			count_return(queue, true);
		remove_turn(queue, turn);
		return;
	}
	if (turn != NULL || row->ticket == 0 || wait_ms <= -RETURN_LAPSE_MS)
		return;
	add_turn(queue,
	    &(struct turn){
		.ticket = row->ticket,
		.fingerprint = row->fingerprint,
		.class = row->class,
		.work_ms = (double)row->work_ms,
		.made_at = now,
		.due = time_add_ms(now, wait_ms),
	    });
}

/*
 * Returns whether a prompt in its turn is served at a cost; may_hold is whether
 * it may still be held.
 */
bool
return_queue_admits(double cost, double worth, bool may_hold)
{
	return cost <=
	    worth * (may_hold ? RETURN_COST_RATIO : RETURN_HELD_COST_RATIO);
}

/*
 * Returns whether a request in its turn may be held: it then still has most of
 * its time left, so that it can go elsewhere if it is not served after all.
 */
bool
return_queue_may_hold(double waited_ms, double target_ms, double left_ms)
{
	double most_ms = target_ms > 0.0 ? target_ms * RETURN_HOLD_SHARE
					 : RETURN_HOLD_DEFAULT_MS;

	return waited_ms <
	    MIN(most_ms, (waited_ms + left_ms) * RETURN_PATIENCE_SHARE);
}

/* Returns the number of turns that are known. */
size_t
return_queue_count(const struct return_queue *queue)
{
	return g_hash_table_size(queue->by_ticket);
}

/* Returns the share of callers that come back, from 0 to 1. */
double
return_queue_share(const struct return_queue *queue)
{
	return queue->share;
}
