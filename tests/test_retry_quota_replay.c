/*
 * The limit on retries over all processes, in virtual time: processes start,
 * end, join and are replaced, are cut off from each other and from the list of
 * processes, and their messages are delayed and lost, drawn by seed. No window
 * has more retries than the ratio of the requests and the slack.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "policy/retry_quota.h"
#include "policy/retry_share.h"

#define STEP_MS	      20
#define LENGTH_MS     45000
#define STEPS	      (LENGTH_MS / STEP_MS)
#define NODES_MAX     520
#define DELAY_STEPS   64
#define SETTLE_MS     5000
#define RESTART_MS    500
#define LIST_READ_MS  10000
#define LIST_FIRST_MS 2000
#define LIST_STALE_MS 3000
#define SEEDS	      3
#define RATIO	      0.2
#define WINDOW_MS     10000
#define RUNS_SHORT    100

enum kind {
	REPORT,
	ASK,
	LOAN,
};

struct event {
	enum kind kind;
	int to;
	int from;
	unsigned int life; /* of the receiver, for answers */
	struct retry_peer report;
	uint32_t tokens;
	int64_t asked_ms;
};

struct report {
	struct retry_peer peer;
	int64_t at_ms; /* 0: none */
};

struct node {
	bool exists; /* has been started at least once */
	bool alive;
	bool removed; /* for good */
	unsigned int life;
	int side; /* of a cut */
	bool no_list; /* the list of processes can't be reached */
	int64_t started_ms;
	int64_t restart_ms; /* 0: none planned */
	int64_t registered_ms; /* 0: not in the list */
	int64_t next_read_ms;
	int64_t next_round_ms;
	int64_t asked_ms;
	int next_peer; /* to be asked */
	unsigned int reads;
	bool listed[NODES_MAX]; /* as last read */
	struct report reports[NODES_MAX];
	struct retry_share share;
	double fraction;
	struct retry_quota quota;
	double weight; /* of its callers */
};

struct replay {
	GRand *random;
	struct retry_limits limits;
	struct node *nodes;
	int count; /* that exist */
	int first_count;
	bool cut;
	int64_t now_ms;
	double failing; /* part of the sends */
	double per_s; /* requests of all callers */
	double trouble_ms; /* mean time between two troubles */
	GArray *queue[DELAY_STEPS]; /* of struct event */
	uint32_t requests[STEPS]; /* in each step */
	uint32_t retries[STEPS];
	uint32_t verdicts[RETRY_BY_LOAN + 1];
	bool uneven;
};

/* What happens in a replay. */
struct plan {
	int nodes;
	double slack;
	bool trouble;
	bool
	    uneven; /* half of the callers are at one node, and only it fails */
};

static struct timespec
now(const struct replay *replay)
{
	return time_from_ms(1000000 + replay->now_ms);
}

/* Returns a random number from 0 to 1. */
static double
draw(struct replay *replay)
{
	return g_rand_double(replay->random);
}

static bool
can_reach(
    const struct replay *replay, const struct node *a, const struct node *b)
{
	return a->alive && b->alive && (!replay->cut || a->side == b->side);
}

/* Returns the time between two rounds of reports. */
static int64_t
round_ms(const struct replay *replay)
{
	return 100 + 4 * replay->count;
}

/* Sends an event that arrives later, or is lost. */
static void
post(struct replay *replay, const struct event *event)
{
	int steps = g_rand_int_range(replay->random, 1, 4);

	if (draw(replay) < 0.03)
		return;
	if (draw(replay) < 0.02)
		steps += g_rand_int_range(replay->random, 1, 40);
	g_array_append_val(
	    replay->queue[(replay->now_ms / STEP_MS + steps) % DELAY_STEPS],
	    *event);
}

static void
start(struct replay *replay, int index)
{
	struct node *node = &replay->nodes[index];

	node->exists = true;
	node->alive = true;
	node->life++;
	node->started_ms = replay->now_ms;
	node->restart_ms = 0;
	node->next_read_ms = replay->now_ms + STEP_MS;
	node->next_round_ms = replay->now_ms + 100;
	node->asked_ms = 0;
	node->reads = 0;
	memset(node->listed, 0, sizeof(node->listed));
	memset(node->reports, 0, sizeof(node->reports));
	memset(&node->share, 0, sizeof(node->share));
	memset(&node->quota, 0, sizeof(node->quota));
	node->fraction = 0.0;
}

static void
end(struct replay *replay, int index, int64_t restart_after_ms)
{
	struct node *node = &replay->nodes[index];

	if (!node->alive)
		return;
	node->alive = false;
	node->removed = restart_after_ms == 0;
	node->restart_ms = restart_after_ms == 0
	    ? 0
	    : replay->now_ms + restart_after_ms;
}

/* Reads the list, as it was some time ago, and joins it. */
static void
read_list(struct replay *replay, int index)
{
	struct node *node = &replay->nodes[index];
	int64_t stale_ms = node->registered_ms != 0
	    ? g_rand_int_range(replay->random, 0, LIST_STALE_MS)
	    : 0;

	if (node->no_list) {
		node->next_read_ms = replay->now_ms + 1000;
		return;
	}
	for (int i = 0; i < replay->count; i++)
		node->listed[i] = replay->nodes[i].registered_ms != 0 &&
		    replay->nodes[i].registered_ms <= replay->now_ms - stale_ms;
	if (node->registered_ms == 0)
		node->registered_ms = replay->now_ms;
	node->reads++;
	node->next_read_ms = replay->now_ms +
	    (node->reads < 3 ? LIST_FIRST_MS : LIST_READ_MS);
}

/* Returns the number of processes that a node knows. */
static uint32_t
count_known(struct replay *replay, int index)
{
	struct node *node = &replay->nodes[index];
	uint32_t known = 1;

	for (int i = 0; i < replay->count; i++)
		known += i != index &&
		    (node->listed[i] || node->reports[i].at_ms != 0);
	return known;
}

/* Drops reports that have lapsed, works out the share and reports. */
static void
run_round(struct replay *replay, int index)
{
	struct node *node = &replay->nodes[index];
	struct retry_peer peers[NODES_MAX];
	struct retry_view view = {.lapse_ms = 6 * round_ms(replay),
	    .is_settled = node->reads > 0 &&
		replay->now_ms - node->started_ms >= SETTLE_MS};
	struct event event = {.kind = REPORT, .from = index};
	size_t count = 0;

	for (int i = 0; i < replay->count; i++) {
		struct report *report = &node->reports[i];

		if (replay->now_ms - report->at_ms >= view.lapse_ms)
			report->at_ms = 0;
		if (report->at_ms != 0)
			peers[count++] = report->peer;
	}
	event.report.known = count_known(replay, index);
	retry_view_count(&view, event.report.known, peers, count);
	node->fraction = retry_share_update(&node->share, &view, now(replay));
	event.report.holds = node->share.holds;
	for (int i = 0; i < replay->count; i++) {
		event.to = i;
		if (i != index && (node->listed[i] || i < SEEDS) &&
		    can_reach(replay, node, &replay->nodes[i]))
			post(replay, &event);
	}
	node->next_round_ms = replay->now_ms + round_ms(replay);
}

/* Asks some peers for tokens in turn, if there is no retry left. */
static void
ask(struct replay *replay, int index)
{
	struct node *node = &replay->nodes[index];
	struct event event = {.kind = ASK,
	    .from = index,
	    .life = node->life,
	    .asked_ms = replay->now_ms};

	if (replay->now_ms - node->asked_ms < 100 ||
	    retry_quota_check(&node->quota, &replay->limits, node->fraction,
		now(replay)) != RETRY_DENIED)
		return;
	node->asked_ms = replay->now_ms;
	for (int i = 0; i < 4; i++) {
		event.to = node->next_peer++ % replay->count;
		if (event.to != index &&
		    can_reach(replay, node, &replay->nodes[event.to]))
			post(replay, &event);
	}
}

/* Handles a message. */
static void
receive(struct replay *replay, const struct event *event)
{
	struct node *node = &replay->nodes[event->to];
	struct event reply = *event;

	if (!node->alive)
		return;
	switch (event->kind) {
	case REPORT:
		node->reports[event->from] = (struct report){
		    event->report, replay->now_ms};
		break;
	case ASK:
		reply.kind = LOAN;
		reply.to = event->from;
		reply.from = event->to;
		reply.tokens = retry_quota_lend(&node->quota, &replay->limits,
		    node->fraction, 4, now(replay));
		if (can_reach(replay, node, &replay->nodes[event->from]))
			post(replay, &reply);
		break;
	case LOAN:
		if (event->life == node->life && event->tokens > 0)
			retry_quota_borrow(&node->quota, event->tokens,
			    time_from_ms(1000000 + event->asked_ms),
			    now(replay));
		break;
	}
}

/* A caller's request: a send, and a retry if that fails and is allowed. */
static void
request(struct replay *replay, int index)
{
	struct node *node = &replay->nodes[index];
	size_t step = (size_t)(replay->now_ms / STEP_MS);
	enum retry_verdict verdict;

	replay->requests[step]++;
	if (!node->alive)
		return;
	retry_quota_count_request(
	    &node->quota, &replay->limits, node->fraction, now(replay));
	if (draw(replay) >= replay->failing || (replay->uneven && index != 0))
		return;
	verdict = retry_quota_take(
	    &node->quota, &replay->limits, node->fraction, now(replay));
	replay->verdicts[verdict]++;
	replay->retries[step] += verdict != RETRY_DENIED;
	ask(replay, index);
}

/* Adds a node that has never run. */
static void
add_node(struct replay *replay)
{
	if (replay->count >= NODES_MAX ||
	    replay->count * 3 >= replay->first_count * 4)
		return;
	replay->nodes[replay->count].weight = draw(replay);
	replay->nodes[replay->count].side = draw(replay) < 0.5;
	start(replay, replay->count++);
}

/* Lets one of many troubles happen. */
static void
disturb(struct replay *replay)
{
	double part = draw(replay);
	int kind = g_rand_int_range(replay->random, 0, 9);

	for (int i = 0; i < replay->count; i++) {
		struct node *node = &replay->nodes[i];
		bool hit = draw(replay) < part;

		if (kind == 0 && hit)
			end(replay, i, RESTART_MS);
		else if (kind == 1)
			end(replay, i, RESTART_MS + i % 7 * 50);
		else if (kind == 2 && hit && draw(replay) < 0.1)
			end(replay, i, 0);
		else if (kind == 3)
			node->side = hit;
		else if (kind == 5)
			node->no_list = hit;
		else if (kind == 6)
			node->no_list = true;
		else if (kind == 7)
			node->no_list = false;
	}
	if (kind == 3)
		replay->cut = true;
	else if (kind == 4)
		replay->cut = false;
	else if (kind == 8 || kind == 2)
		for (int i = 0; i < replay->count / 8 + 1; i++)
			add_node(replay);
}

/* Runs all processes for one step. */
static void
run_step(struct replay *replay)
{
	GArray *arrivals = replay
			       ->queue[replay->now_ms / STEP_MS % DELAY_STEPS];
	double weights = 0.0;
	double callers;

	for (guint i = 0; i < arrivals->len; i++)
		receive(replay, &g_array_index(arrivals, struct event, i));
	g_array_set_size(arrivals, 0);
	for (int i = 0; i < replay->count; i++) {
		struct node *node = &replay->nodes[i];

		if (node->restart_ms != 0 && replay->now_ms >= node->restart_ms)
			start(replay, i);
		if (node->alive && replay->now_ms >= node->next_read_ms)
			read_list(replay, i);
		if (node->alive && replay->now_ms >= node->next_round_ms)
			run_round(replay, i);
		weights += node->weight;
	}
	callers = replay->per_s * STEP_MS / MS_PER_S;
	while (callers >= 1.0 || draw(replay) < callers) {
		double at = draw(replay) * weights;
		int index = 0;

		while (index < replay->count - 1 &&
		    (at -= replay->nodes[index].weight) > 0.0)
			index++;
		request(replay, index);
		callers -= 1.0;
	}
}

/* Returns the sum of the steps from one on, for the length of a window. */
static double
sum_window(const uint32_t *steps, int64_t first)
{
	double sum = 0.0;

	for (int64_t i = MAX(first, 0);
	     i < MIN(first + WINDOW_MS / STEP_MS, STEPS); i++)
		sum += steps[i];
	return sum;
}

/*
 * Checks each window: its requests are those in it, in the window before it or
 * in the one half a window before, whichever are most. Returns the largest part
 * of what is allowed that was used.
 */
static double
check_windows(const struct replay *replay, unsigned int seed)
{
	const int64_t length = WINDOW_MS / STEP_MS;
	double most_used = 0.0;

	for (int64_t i = 0; i + length <= STEPS; i += 5) {
		double requests = MAX(sum_window(replay->requests, i),
		    MAX(sum_window(replay->requests, i - length),
			sum_window(replay->requests, i - length / 2)));
		double retries = sum_window(replay->retries, i);
		double allowed = RATIO * requests + replay->limits.slack;

		if (retries > allowed)
			g_error("seed %u: %.0f retries from %.2f s on, %.1f "
				"are allowed",
			    seed, retries, (double)i * STEP_MS / MS_PER_S,
			    allowed);
		most_used = MAX(most_used, retries / allowed);
	}
	return most_used;
}

/* Runs a replay; returns the largest part of what is allowed that was used. */
static double
run_replay(unsigned int seed, const struct plan *plan)
{
	struct replay replay = {
	    .random = g_rand_new_with_seed(seed),
	    .limits = {RATIO, plan->slack, WINDOW_MS},
	    .nodes = g_new0(struct node, NODES_MAX),
	    .count = plan->nodes,
	    .first_count = plan->nodes,
	    .per_s = 2.0 * plan->nodes + 20.0,
	    .uneven = plan->uneven,
	    .trouble_ms = 1000.0 + 1000.0 * (seed % 12),
	};
	int64_t burst_ms = 15000 + (int64_t)(draw(&replay) * 10000);
	double used;

	for (size_t i = 0; i < DELAY_STEPS; i++)
		replay.queue[i] = g_array_new(
		    FALSE, FALSE, sizeof(struct event));
	for (int i = 0; i < replay.count; i++) {
		replay.nodes[i].weight = plan->trouble
		    ? draw(&replay) * draw(&replay)
		    : 1.0;
		start(&replay, i);
	}
	if (plan->uneven)
		replay.nodes[0].weight = replay.count;
	for (; replay.now_ms < LENGTH_MS; replay.now_ms += STEP_MS) {
		if (replay.now_ms == (plan->trouble ? 8000 : 15000))
			replay.failing = plan->trouble ? draw(&replay) : 0.9;
		if (plan->trouble && replay.now_ms == burst_ms)
			replay.per_s *= 1.0 + draw(&replay);
		if (plan->trouble && replay.now_ms > 3000 &&
		    draw(&replay) < STEP_MS / replay.trouble_ms)
			disturb(&replay);
		run_step(&replay);
	}
	used = check_windows(&replay, seed);
	g_test_message("seed %u, %d nodes: %.2f of the budget used; denied %u, "
		       "tokens %u, loans %u",
	    seed, plan->nodes, used, replay.verdicts[RETRY_DENIED],
	    replay.verdicts[RETRY_BY_TOKEN], replay.verdicts[RETRY_BY_LOAN]);
	for (size_t i = 0; i < DELAY_STEPS; i++)
		g_array_unref(replay.queue[i]);
	g_free(replay.nodes);
	g_rand_free(replay.random);
	return used;
}

/* Many seeds; RETRY_SEEDS in the environment sets how many. */
static void
test_trouble(void)
{
	const char *seeds = g_getenv("RETRY_SEEDS");
	unsigned int runs = seeds != NULL ? (unsigned int)atoi(seeds)
					  : RUNS_SHORT;

	for (unsigned int seed = 1; seed <= runs; seed++) {
		struct plan plan = {
		    .nodes = 2 + (int)(seed * 7 % 39), .trouble = true};

		if (seed % 50 == 0)
			plan.nodes = 340;
		plan.slack = 20.0 + 3.0 * plan.nodes;
		run_replay(seed, &plan);
	}
}

/* Without troubles nearly all that is allowed can be used. */
static void
test_calm(void)
{
	const struct plan plan = {.nodes = 31, .slack = 138.0};

	g_assert_cmpfloat(run_replay(1, &plan), >, 0.8);
}

/* The slack of processes without failures is used by the one that has some. */
static void
test_uneven(void)
{
	const struct plan plan = {.nodes = 31, .slack = 138.0, .uneven = true};

	g_assert_cmpfloat(run_replay(1, &plan), >, 0.6);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry_quota_replay/no window has more retries than "
			"the limit, whatever starts, ends or is cut off",
	    test_trouble);
	g_test_add_func(
	    "/retry_quota_replay/most of the limit can be used", test_calm);
	g_test_add_func("/retry_quota_replay/processes that need no slack lend "
			"it",
	    test_uneven);
	return g_test_run();
}
