/*
 * Turns of rejected callers. Replays loads on several gateways that exchange
 * their turns: callers that come back must not be rejected again, nor overfill
 * the servers, and new ones must not take their capacity.
 */
#include <glib.h>

#include "base/clock.h"
#include "cases.h"
#include "policy/return_queue.h"

#define GATEWAYS   6
#define SERVERS	   20.0
#define WORK_MS	   200.0
#define LEFT_MS	   9000.0
#define STEP_MS	   10
#define REPORT_MS  200
#define HOLD_STEPS 5 /* between two plans of a held request */
#define LOAD_MS	   12000
#define END_MS	   20000
#define LIMIT_MS   400.0 /* backlog above which new requests are rejected */
#define TARGET_MS  1500.0

/* How the callers of a load behave, and what the replay must show. */
static const struct replay_case {
	const char *name;
	double base; /* load as a share of the capacity */
	double burst; /* added from 2 s to 4 s */
	bool one_domain; /* the burst is in one failure domain */
	double swing; /* of each domain's load, out of phase */
	size_t dies; /* this gateway, 1 from the first, at 4 s; 0: none */
	double lost; /* share of callers that never come back */
	int64_t early_ms; /* before their turns */
	double again_max; /* of those that return: rejected again */
	double used_min; /* of the capacity during the load */
} replays[] = {
    {"a burst in one failure domain", 0.6, 2.0, true, 0.0, 0, 0.0, 0, 0.01,
	0.65},
    {"a burst everywhere", 0.6, 2.0, false, 0.0, 0, 0.0, 0, 0.01, 0.65},
    {"a load that swings in three domains out of phase", 1.0, 0.0, false, 0.55,
	0, 0.0, 0, 0.01, 0.85},
    {"a load above the capacity for long", 1.5, 0.0, false, 0.0, 0, 0.0, 0,
	0.01, 0.9},
    {"a gateway dies that has given turns", 0.6, 2.0, false, 0.0, 1, 0.0, 0,
	0.03, 0.65},
    {"half of the callers never come back", 1.3, 0.0, false, 0.0, 0, 0.5, 0,
	0.01, 0.85},
    {"no caller comes back", 1.3, 0.0, false, 0.0, 0, 1.0, 0, 0.01, 0.85},
    {"callers come back a little early", 0.6, 2.0, false, 0.0, 0, 0.0, 80, 0.01,
	0.65},
};

/* One caller that waits for its turn or is held. */
struct caller {
	int64_t at_ms; /* of its next step */
	size_t gateway;
	uint64_t fingerprint;
	struct return_status status;
	int64_t arrived_ms;
	bool held;
	bool returns;
};

struct replay {
	const struct replay_case *c;
	struct return_queue *queues[GATEWAYS];
	GRand *random;
	GArray *callers; /* struct caller */
	double backlog_ms; /* of each server */
	double most_ms; /* of it */
	double used_ms;
	uint64_t next;
	size_t offered, served, denied, returned, again;
};

static const struct return_class prompts = {.service = 7, .rank = 1};

/* Returns whether a gateway runs. */
static bool
is_alive(const struct replay *r, size_t gateway, int64_t now)
{
	return r->c->dies != gateway + 1 || now < 4000;
}

/* Adds a request's work to all servers. */
static void
serve(struct replay *r)
{
	r->served++;
	r->backlog_ms += WORK_MS / SERVERS;
	r->most_ms = MAX(r->most_ms, r->backlog_ms);
}

/* Rejects a request; its caller comes back in its turn if it has one. */
static void
reject(struct replay *r, size_t gateway, uint64_t fingerprint, int64_t now)
{
	const struct return_ask ask = {
	    .fingerprint = fingerprint,
	    .class = prompts,
	    .work_ms = WORK_MS,
	    .servers = SERVERS,
	    .room_ms = r->backlog_ms,
	    .left_ms = LEFT_MS,
	    .serve_ms = WORK_MS,
	    .share = r->c->one_domain ? 0.5 : 1.0 / GATEWAYS,
	    .ticket = g_rand_int(r->random),
	    .phase = g_rand_double(r->random),
	};
	struct return_turn turn = return_queue_take(
	    r->queues[gateway], &ask, time_from_ms(now));
	struct caller caller = {.fingerprint = fingerprint, .returns = true};

	if (turn.ticket == 0) {
		g_assert_cmpint(turn.wait_ms, ==, 0);
		r->denied++;
		return;
	}
	g_assert_cmpint(turn.wait_ms, <=, (int64_t)(LEFT_MS / 3));
	if (g_rand_double(r->random) < r->c->lost)
		return;
	caller.at_ms = now + turn.wait_ms - r->c->early_ms;
	do
		caller.gateway = (size_t)g_rand_int_range(
		    r->random, 0, GATEWAYS);
	while (!is_alive(r, caller.gateway, caller.at_ms));
	g_array_append_val(r->callers, caller);
}

/* A new request arrives, or one that its gateway doesn't recognise. */
static bool
arrive_new(struct replay *r, size_t gateway, int64_t now)
{
	double kept_ms = return_queue_kept_ms(
	    r->queues[gateway], prompts, 0, time_from_ms(now));

	if (r->backlog_ms + kept_ms / SERVERS > LIMIT_MS)
		return false;
	serve(r);
	return true;
}

/* A caller comes back, or is planned again; returns whether that was all. */
static bool
step_caller(struct replay *r, struct caller *caller, int64_t now)
{
	struct return_queue *queue = r->queues[caller->gateway];

	if (!caller->held) {
		r->returned++;
		caller->arrived_ms = now;
		caller->status = return_queue_arrive(queue, caller->fingerprint,
		    prompts.service, time_from_ms(now));
		if (caller->status.ticket == 0) {
			r->again += !arrive_new(r, caller->gateway, now);
			return true;
		}
	}
	caller->held = true;
	if (r->backlog_ms > LIMIT_MS &&
	    return_queue_may_hold(
		(double)(now - caller->arrived_ms), TARGET_MS, LEFT_MS)) {
		caller->at_ms = now + (int64_t)HOLD_STEPS * STEP_MS;
		return false;
	}
	serve(r);
	return_queue_end(queue, caller->status.ticket);
	return true;
}

/* Sends the reports of all gateways that run. */
static void
exchange_reports(struct replay *r, int64_t now)
{
	struct return_row rows[RETURN_QUEUE_REPORT_MAX];

	for (size_t from = 0; from < GATEWAYS; from++) {
		size_t count;

		if (!is_alive(r, from, now))
			continue;
		count = return_queue_collect(
		    r->queues[from], true, rows, time_from_ms(now));
		for (size_t to = 0; to < GATEWAYS; to++) {
			for (size_t i = 0; i < count && to != from; i++)
				return_queue_on_report(
				    r->queues[to], &rows[i], time_from_ms(now));
		}
		return_queue_expire(r->queues[from], time_from_ms(now));
	}
}

/* Returns the requests that a gateway gets in one step. */
static double
load_of(const struct replay_case *c, size_t gateway, int64_t now)
{
	double each = SERVERS * STEP_MS / WORK_MS / GATEWAYS;
	bool bursts = now >= 2000 && now < 4000;
	int64_t phase = (now + (int64_t)(gateway % 3) * 5000) % 15000;
	double load = c->base;

	if (now >= LOAD_MS)
		return 0.0;
	if (bursts && c->one_domain)
		load += gateway % 3 == 0 ? c->burst * 3.0 : 0.0;
	else if (bursts)
		load += c->burst;
	load += c->swing * (phase < 7500 ? 1.0 : -1.0);
	return load * each;
}

/* Runs one step of a replay. */
static void
run_step(struct replay *r, double due[GATEWAYS], int64_t now)
{
	double done_ms = MIN(r->backlog_ms, STEP_MS);

	r->backlog_ms -= done_ms;
	r->used_ms += now < LOAD_MS ? done_ms : 0.0;
	if (now % REPORT_MS == 0)
		exchange_reports(r, now);
	for (guint i = r->callers->len; i-- > 0;) {
		struct caller caller = g_array_index(
		    r->callers, struct caller, i);

		if (caller.at_ms > now)
			continue;
		g_array_remove_index_fast(r->callers, i);
		if (!step_caller(r, &caller, now))
			g_array_append_val(r->callers, caller);
	}
	for (size_t i = 0; i < GATEWAYS; i++) {
		if (!is_alive(r, i, now))
			continue;
		for (due[i] += load_of(r->c, i, now); due[i] >= 1.0;
		     due[i] -= 1.0) {
			r->offered++;
			if (!arrive_new(r, i, now))
				reject(r, i, ++r->next, now);
		}
	}
}

/* Runs one replay. */
static void
test_replay(gconstpointer data)
{
	struct replay r = {.c = &replays[GPOINTER_TO_SIZE(data)],
	    .random = g_rand_new_with_seed(5),
	    .callers = g_array_new(FALSE, FALSE, sizeof(struct caller))};
	double due[GATEWAYS] = {0.0};

	for (size_t i = 0; i < GATEWAYS; i++)
		r.queues[i] = return_queue_new();
	for (int64_t now = 0; now < END_MS; now += STEP_MS)
		run_step(&r, due, now);
	g_test_message("offered %zu served %zu denied %zu returned %zu again "
		       "%zu used %.2f most %.0f ms",
	    r.offered, r.served, r.denied, r.returned, r.again,
	    r.used_ms / LOAD_MS, r.most_ms);
	g_assert_cmpfloat(
	    (double)r.again, <=, (double)r.returned * r.c->again_max);
	g_assert_cmpfloat(r.used_ms / LOAD_MS, >=, r.c->used_min);
	g_assert_cmpfloat(r.most_ms, <=, LIMIT_MS + TARGET_MS / 2.0);
	for (size_t i = 0; i < GATEWAYS; i++) {
		if (is_alive(&r, i, END_MS))
			g_assert_cmpuint(
			    return_queue_count(r.queues[i]), ==, 0);
		return_queue_free(r.queues[i]);
	}
	g_array_unref(r.callers);
	g_rand_free(r.random);
}

/* Gives a caller a turn at 1 s. */
static struct return_turn
take(struct return_queue *queue, uint32_t ticket, uint32_t rank, double left_ms)
{
	const struct return_ask ask = {
	    .fingerprint = ticket,
	    .class = {.service = 7, .rank = rank},
	    .work_ms = 700.0,
	    .servers = 1.0,
	    .left_ms = left_ms,
	    .serve_ms = 500.0,
	    .share = 1.0,
	    .ticket = ticket,
	};

	return return_queue_take(queue, &ask, time_from_ms(1000));
}

/* Callers come back one after the other, the more urgent ones first. */
static void
test_order(void)
{
	struct return_queue *queue = return_queue_new();

	g_assert_cmpint(
	    take(queue, 1, 1, 60000).wait_ms, ==, RETURN_WAIT_MIN_MS);
	g_assert_cmpint(take(queue, 2, 1, 60000).wait_ms, ==, 1000);
	g_assert_cmpint(take(queue, 3, 1, 60000).wait_ms, ==, 2000);
	g_assert_cmpint(
	    take(queue, 4, 0, 60000).wait_ms, ==, RETURN_WAIT_MIN_MS);
	/*
	 * Capacity is kept before the same rank and less urgent ones only, and
	 * for a caller that comes back before later ones.
	 */
	g_assert_cmpuint(
	    return_queue_kept_count(
		queue, (struct return_class){7, 0}, 0, time_from_ms(1200)),
	    ==, 1);
	g_assert_cmpuint(
	    return_queue_kept_count(
		queue, (struct return_class){7, 2}, 2, time_from_ms(1200)),
	    ==, 2);
	g_assert_cmpuint(
	    return_queue_kept_count(
		queue, (struct return_class){8, 2}, 0, time_from_ms(1200)),
	    ==, 0);
	return_queue_free(queue);
}

/* A caller that would not wait, or be served in time, gets no turn. */
static void
test_impatient(void)
{
	struct return_queue *queue = return_queue_new();

	g_assert_cmpuint(take(queue, 1, 1, 3000).ticket, ==, 1);
	g_assert_cmpuint(take(queue, 2, 1, 3000).ticket, ==, 0);
	g_assert_cmpuint(take(queue, 3, 0, 700).ticket, ==, 0);
	g_assert_false(return_queue_admits(1.6, 1.0, true));
	g_assert_true(return_queue_admits(1.6, 1.0, false));
	g_assert_false(return_queue_admits(2.1, 1.0, false));
	g_assert_cmpuint(return_queue_count(queue), ==, 1);
	return_queue_free(queue);
}

/*
 * A caller that comes back early is told so and keeps its turn; one that comes
 * back long after it is a new one.
 */
static void
test_early_and_late(void)
{
	struct return_queue *queue = return_queue_new();
	struct return_status status;

	take(queue, 1, 1, 60000);
	take(queue, 2, 1, 60000);
	status = return_queue_arrive(queue, 2, 7, time_from_ms(1100));
	g_assert_cmpint(status.early_ms, ==, 900);
	/* An equal request of another caller does not take the same turn. */
	g_assert_cmpuint(
	    return_queue_arrive(queue, 2, 7, time_from_ms(1100)).ticket, ==, 0);
	return_queue_defer(queue, 2);
	status = return_queue_arrive(queue, 2, 7, time_from_ms(1950));
	g_assert_cmpuint(status.ticket, ==, 2);
	g_assert_cmpint(status.early_ms, ==, 0);
	g_assert_cmpuint(
	    return_queue_arrive(queue, 1, 7, time_from_ms(5000)).ticket, ==, 0);
	return_queue_free(queue);
}

/* A flood of different requests fills no more than the bounds. */
static void
test_flood(void)
{
	struct return_queue *queue = return_queue_new();
	struct return_queue *peer = return_queue_new();
	struct return_row rows[RETURN_QUEUE_REPORT_MAX];
	size_t count;

	for (uint32_t i = 1; i <= 4 * RETURN_QUEUE_MAX; i++)
		take(queue, i, 1, 1e9);
	g_assert_cmpuint(return_queue_count(queue), ==, RETURN_QUEUE_MAX);
	count = return_queue_collect(queue, false, rows, time_from_ms(1000));
	g_assert_cmpuint(count, ==, RETURN_QUEUE_REPORT_MAX);
	for (uint32_t i = 0; i < 4 * RETURN_QUEUE_MAX; i++) {
		rows[0].ticket = i + 1;
		return_queue_on_report(peer, &rows[0], time_from_ms(1000));
	}
	g_assert_cmpuint(return_queue_count(peer), ==, RETURN_QUEUE_MAX);
	return_queue_expire(peer, time_from_ms(10000));
	g_assert_cmpuint(return_queue_count(peer), ==, 0);
	return_queue_free(peer);
	return_queue_free(queue);
}

/* Without turns there is nothing to report, and nothing is kept. */
static void
test_nothing(void)
{
	struct return_queue *queue = return_queue_new();
	struct return_row rows[RETURN_QUEUE_REPORT_MAX];

	g_assert_cmpuint(
	    return_queue_collect(queue, false, rows, time_from_ms(1)), ==, 0);
	g_assert_cmpfloat(
	    return_queue_kept_ms(queue, prompts, 0, time_from_ms(1)), ==, 0.0);
	return_queue_free(queue);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(replays, "/return_queue/replay", test_replay);
	g_test_add_func(
	    "/return_queue/callers come back in their order", test_order);
	g_test_add_func("/return_queue/a caller that won't wait gets no turn",
	    test_impatient);
	g_test_add_func("/return_queue/callers that come back early or late",
	    test_early_and_late);
	g_test_add_func(
	    "/return_queue/a flood of different requests", test_flood);
	g_test_add_func("/return_queue/nothing is kept while none is rejected",
	    test_nothing);
	return g_test_run();
}
