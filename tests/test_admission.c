/*
 * Admission at one upstream under long random loads and faults, against a fake
 * upstream in virtual time. Guards against long requests or one organisation
 * delaying others, overload of a cold upstream, and jobs without exactly one
 * final event.
 */
#include <inttypes.h>
#include <string.h>

#include "base/invariant.h"
#include "load.h"

#define RUN_MS		    600000
#define OVERLOAD_MS	    2400000
#define RANDOM_FAULTS_MS    240000
#define RANDOM_FAULTS_SEEDS 12
#define COLD_CYCLE_MS	    40000
#define COLD_FROM_MS	    10000
#define COLD_UNTIL_MS	    25000
#define LONG_SLOWDOWN_MAX   2.0
#define STATUS_EVERY_MS	    500
#define SHORT_MEAN_TOKENS   2500.0
#define LONG_MEAN_TOKENS    98500.0
#define FAKE_TOKENS_PER_S   20000.0

/*
 * Runs short requests until the upstream's concurrency limit has ramped up,
 * then resets the counters.
 */
static void
warm_up(struct load *load)
{
	for (int i = 0; i < 40; i++) {
		load_report_status(load);
		load_submit(load, 0, WORK_SHORT, 1000, false);
		load_submit(load, 1, WORK_SHORT, 1000, false);
		for (int step = 0; step < 60; step++)
			load_step(load);
	}
	load_wait_until_done(load);
	for (int i = 0; i < ORGANISATIONS; i++)
		g_array_set_size(load->short_waits[i], 0);
	memset(load->submitted, 0, sizeof(load->submitted));
	memset(load->finished, 0, sizeof(load->finished));
	memset(load->rejected, 0, sizeof(load->rejected));
}

/* Runs the load's sources for ms milliseconds with regular status reports. */
static void
run_load(struct load *load, int64_t ms)
{
	for (int64_t t = 0; t < ms; t += LOAD_STEP_MS) {
		if (t % STATUS_EVERY_MS == 0)
			load_report_status(load);
		load_submit_arrivals(load);
		load_step(load);
	}
}

/*
 * Sets the load, as shares of the upstream's speed, evenly for all
 * organisations.
 */
static void
set_load(struct load *load, double short_share, double long_share)
{
	for (int i = 0; i < ORGANISATIONS; i++) {
		load->sources[i].short_requests_per_s = short_share *
		    FAKE_TOKENS_PER_S / SHORT_MEAN_TOKENS / ORGANISATIONS;
		load->sources[i].long_requests_per_s = long_share *
		    FAKE_TOKENS_PER_S / LONG_MEAN_TOKENS / ORGANISATIONS;
	}
}

/* Returns a new array with the waits of all organisations. */
static GArray *
merge_waits(GArray *const *of)
{
	GArray *waits = g_array_new(FALSE, FALSE, sizeof(int64_t));

	for (int i = 0; i < ORGANISATIONS; i++)
		g_array_append_vals(waits, of[i]->data, of[i]->len);
	return waits;
}

struct mixed_load_case {
	const char *name;
	double short_share; /* of the upstream's speed */
	double long_share;
	double slowdown_max; /* 0: none, as short requests overload it */
	double long_finished_share_min;
	bool ignore_priority; /* by the upstream */
};

static const struct mixed_load_case mixed_load_cases[] = {
    {"/admission/short requests beside long ones at 50% load", 0.25, 0.25, 1.2,
	0.99, false},
    {"/admission/short requests beside long ones at 80% load", 0.4, 0.4, 1.2,
	0.99, false},
    {"/admission/short requests beside long ones at 100% load", 0.5, 0.5, 1.5,
	0.95, false},
    {"/admission/long requests finish beside mostly short ones at 100% load",
	0.9, 0.1, 2.5, 0.95, false},
    {"/admission/short requests beside long ones without priorities at 50% "
     "load",
	0.25, 0.25, 2.5, 0.99, true},
    {"/admission/long requests finish beside short ones that overload", 1.3,
	0.1, 0, 0.95, false},
};

/*
 * Runs short requests, with long ones or alone, and returns the 95th percentile
 * of their first-token time in milliseconds.
 */
static int64_t
measure_short_requests(const struct mixed_load_case *item, double long_share,
    uint32_t seed, double *long_finished_share)
{
	struct admission_limits limits;
	struct load *load;
	int64_t p95;
	g_autoptr(GArray) waits = NULL, long_request_waits = NULL;

	load_init_limits(&limits);
	load = load_new(&limits, seed);
	warm_up(load);
	load->fake.ignore_priority = item->ignore_priority;
	set_load(load, item->short_share, long_share);
	run_load(load, RUN_MS);
	load_wait_until_done(load);
	waits = merge_waits(load->short_waits);
	long_request_waits = merge_waits(load->long_waits);
	p95 = load_percentile(waits, 95);
	*long_finished_share = load->submitted[WORK_LONG] == 0
	    ? 1.0
	    : (double)load->finished[WORK_LONG] / load->submitted[WORK_LONG];
	g_test_message(
	    "seed %u long share %.2f: short %u rejected %u p50 %" PRId64
	    " p95 %" PRId64 " ms; long %u finished %u p95 %" PRId64 " ms",
	    seed, long_share, load->submitted[WORK_SHORT],
	    load->rejected[WORK_SHORT], load_percentile(waits, 50), p95,
	    load->submitted[WORK_LONG], load->finished[WORK_LONG],
	    load_percentile(long_request_waits, 95));
	load_free(load);
	return p95;
}

/*
 * Long requests slow short ones by no more than the case's factor, and the
 * required share of long requests finishes.
 */
static void
test_mixed_load(gconstpointer data)
{
	const struct mixed_load_case *item = data;
	double alone = 0, mixed = 0, finished = 0, share;

	for (uint32_t seed = 1; seed <= 3; seed++) {
		alone += (double)measure_short_requests(item, 0, seed, &share);
		mixed += (double)measure_short_requests(
		    item, item->long_share, seed, &share);
		finished += share / 3;
	}
	g_test_message("slowdown %.2f, long requests finished %.3f",
	    mixed / alone, finished);
	if (item->slowdown_max > 0)
		g_assert_cmpfloat(mixed / alone, <=, item->slowdown_max);
	g_assert_cmpfloat(finished, >=, item->long_finished_share_min);
}

/*
 * Returns the 95th percentile in milliseconds of organisation 1's short
 * requests beside organisation 0's load.
 */
static int64_t
measure_fairness(double other_load, uint32_t seed)
{
	struct admission_limits limits;
	struct load *load;
	int64_t p95;

	load_init_limits(&limits);
	load = load_new(&limits, seed);
	warm_up(load);
	set_load(load, 0.7 / 2, 0);
	load->sources[0].short_requests_per_s = other_load * FAKE_TOKENS_PER_S /
	    SHORT_MEAN_TOKENS;
	run_load(load, RUN_MS / 2);
	load_wait_until_done(load);
	p95 = load_percentile(load->short_waits[1], 95);
	g_test_message("organisation 0 at %.1f of the speed: organisation 1 "
		       "p95 %" PRId64 " ms, %u rejected of %u",
	    other_load, p95, load->rejected[WORK_SHORT],
	    load->submitted[WORK_SHORT]);
	load_free(load);
	return p95;
}

/*
 * An organisation that stays within its share is slowed by a factor of 1.2 at
 * most when another sends far more than its own.
 */
static void
test_fairness(void)
{
	double before = 0, during = 0;

	for (uint32_t seed = 1; seed <= 3; seed++) {
		before += (double)measure_fairness(0.45, seed);
		during += (double)measure_fairness(3.0, seed);
	}
	g_test_message(
	    "slowdown under the other's overload: %.2f", during / before);
	g_assert_cmpfloat(during / before, <=, 1.2);
}

/*
 * Returns the 95th percentile in milliseconds of organisation 1's long requests
 * beside organisation 0's.
 */
static int64_t
measure_long_fairness(double other_load, uint32_t seed)
{
	struct admission_limits limits;
	struct load *load;
	int64_t p95;

	load_init_limits(&limits);
	load = load_new(&limits, seed);
	warm_up(load);
	set_load(load, 0.3, 0);
	load->sources[0].long_requests_per_s = other_load * FAKE_TOKENS_PER_S /
	    LONG_MEAN_TOKENS;
	load->sources[1].long_requests_per_s = 0.1 * FAKE_TOKENS_PER_S /
	    LONG_MEAN_TOKENS;
	run_load(load, OVERLOAD_MS);
	load_wait_until_done(load);
	p95 = load_percentile(load->long_waits[1], 95);
	g_test_message("organisation 0's long requests at %.1f of the speed: "
		       "organisation 1's first tokens %u, p95 %" PRId64 " ms",
	    other_load, load->long_waits[1]->len, p95);
	load_free(load);
	return p95;
}

/*
 * Long requests of an organisation within its share do not wait for those of
 * one that sends far more than its own.
 */
static void
test_long_fairness(void)
{
	double before = 0, during = 0;

	for (uint32_t seed = 1; seed <= 3; seed++) {
		before += (double)measure_long_fairness(0.5, seed);
		during += (double)measure_long_fairness(3.0, seed);
	}
	g_test_message(
	    "long requests' slowdown under the other's overload: %.2f",
	    during / before);
	g_assert_cmpfloat(during / before, <=, LONG_SLOWDOWN_MAX);
}

/*
 * Returns the tokens finished in time under a load of half short, half long
 * requests. Long requests must be rejected on arrival or not at all.
 */
static double
measure_goodput(double offered, uint32_t seed)
{
	struct admission_limits limits;
	struct load *load;
	double tokens;

	load_init_limits(&limits);
	load = load_new(&limits, seed);
	warm_up(load);
	load->finished_tokens = 0;
	set_load(load, offered / 2, offered / 2);
	run_load(load, OVERLOAD_MS);
	tokens = (double)load->finished_tokens;
	load_wait_until_done(load);
	g_assert_cmpint(
	    load_percentile(load->long_rejection_waits, 100), ==, 0);
	g_test_message("seed %u load %.1f: %.0f tokens/s finished; short %u "
		       "rejected %u; long %u finished %u cancelled %u rejected "
		       "%u, half of them within %" PRId64
		       " ms, the last after %" PRId64 " ms",
	    seed, offered, tokens * MS_PER_S / OVERLOAD_MS,
	    load->submitted[WORK_SHORT], load->rejected[WORK_SHORT],
	    load->submitted[WORK_LONG], load->finished[WORK_LONG],
	    load->cancelled[WORK_LONG], load->rejected[WORK_LONG],
	    load_percentile(load->long_rejection_waits, 50),
	    load_percentile(load->long_rejection_waits, 100));
	load_free(load);
	return tokens;
}

/* A load of 130% finishes at least 90% of the tokens that one of 100% does. */
static void
test_overload(void)
{
	double full = 0, overloaded = 0;

	for (uint32_t seed = 1; seed <= 3; seed++) {
		full += measure_goodput(1.0, seed);
		overloaded += measure_goodput(1.3, seed);
	}
	g_test_message("finished at 130%% over 100%%: %.2f", overloaded / full);
	g_assert_cmpfloat(overloaded / full, >=, 0.9);
}

struct cold_case {
	const char *name;
	double load;
	bool crashes;
	int64_t status_delay_ms; /* age of the reports */
};

static const struct cold_case cold_cases[] = {
    {"/admission/an upstream that dies and starts cold is not overloaded", 0.8,
	true, 1000},
    {"/admission/an unreported cold start is detected by slow first tokens",
	0.8, false, 5000},
    {"/admission/a cold start that is never reported is detected", 0.8, false,
	COLD_UNTIL_MS},
    {"/admission/an unreported cold start under overload from many entries is "
     "detected",
	4.0, false, COLD_UNTIL_MS},
    {"/admission/a restart under overload from many entries is detected", 4.0,
	true, COLD_UNTIL_MS},
};

/*
 * Reports the upstream as it was before its cold start until that is delay_ms
 * old.
 */
static void
report_delayed_status(struct load *load, int64_t delay_ms)
{
	struct fake_upstream *fake = &load->fake;
	int64_t cold_ms = fake->now_ms - fake->cold_since_ms;
	bool delayed = fake->cold && cold_ms < delay_ms;

	fake->cold = fake->cold && !delayed;
	fake->start_count -= delayed;
	load_report_status(load);
	fake->cold = fake->cold || delayed;
	fake->start_count += delayed;
}

/*
 * Runs the load while the upstream becomes cold and warm again in cycles, with
 * delayed reports.
 */
static void
run_cold_cycles(const struct cold_case *item, struct load *load)
{
	for (int64_t t = 0; t < RUN_MS / 2; t += LOAD_STEP_MS) {
		int64_t phase = t % COLD_CYCLE_MS;

		if (phase == COLD_FROM_MS && item->crashes)
			load_crash_upstream(load);
		else if (phase == COLD_FROM_MS)
			fake_upstream_set_cold(&load->fake);
		else if (phase == COLD_UNTIL_MS)
			fake_upstream_set_warm(&load->fake);
		if (t % STATUS_EVERY_MS == 0)
			report_delayed_status(load, item->status_delay_ms);
		load_submit_arrivals(load);
		load_step(load);
	}
	load_wait_until_done(load);
}

/*
 * No upstream gets more than its cold slots once the cold start must be known,
 * and it rejects at most one start in a hundred.
 */
static void
test_cold(gconstpointer data)
{
	const struct cold_case *item = data;
	uint32_t over_limit = 0, rejected = 0, starts = 0;

	for (uint32_t seed = 1; seed <= 6; seed++) {
		struct admission_limits limits;
		struct load *load;

		load_init_limits(&limits);
		load = load_new(&limits, seed);
		warm_up(load);
		set_load(load, item->load, 0);
		run_cold_cycles(item, load);
		over_limit += load->fake.over_cold_limit;
		rejected += load->fake.rejected;
		starts += load->starts;
		load_free(load);
	}
	g_test_message("starts %u, rejected by the upstream %u, of these 2 s "
		       "after its cold start or later %u",
	    starts, rejected, over_limit);
	g_assert_cmpuint(over_limit, ==, 0);
	g_assert_cmpuint(rejected * 100, <=, starts);
}

/* Draws whether a fault of this mean rate occurs in this step. */
static bool
draw_fault(struct load *load, double per_s)
{
	return g_rand_double(load->fault_random) <
	    per_s * LOAD_STEP_MS / MS_PER_S;
}

/* Cancels a random job, which may have ended already. */
static void
cancel_random_job(struct load *load)
{
	const struct load_job *job;

	if (load->all_jobs->len == 0)
		return;
	job = load->all_jobs->pdata[g_rand_int_range(
	    load->fault_random, 0, (gint32)load->all_jobs->len)];
	admission_cancel(load->admission, job->id, load_now(load));
	load_run_actions(load);
}

/* Acquires, renews or releases a random hold on memory. */
static void
change_random_hold(struct load *load)
{
	static const char *const ids[] = {"group-1", "group-2"};
	const char *id = ids[g_rand_int_range(load->fault_random, 0, 2)];
	uint64_t tokens = (uint64_t)g_rand_int_range(
	    load->fault_random, 1000, 200000);
	int64_t retry_ms;

	if (g_rand_boolean(load->fault_random)) {
		admission_release_hold(load->admission, id, load_now(load));
	} else if (!admission_hold(load->admission, id, tokens, 3000, &retry_ms,
		       load_now(load))) {
		g_assert_cmpint(retry_ms, >, 0);
	}
	load_run_actions(load);
}

/* Injects the faults of one step, each kind at its own rate. */
static void
inject_faults(struct load *load, bool *drained)
{
	if (draw_fault(load, 0.02))
		load_crash_upstream(load);
	if (draw_fault(load, 0.02))
		fake_upstream_set_cold(&load->fake);
	if (draw_fault(load, 0.1))
		fake_upstream_set_warm(&load->fake);
	if (draw_fault(load, 2))
		load_report_status(load);
	if (draw_fault(load, 1))
		cancel_random_job(load);
	if (draw_fault(load, 1))
		change_random_hold(load);
	if (draw_fault(load, 0.1))
		load_submit(load, 0, WORK_SHORT, 2000, true);
	if (draw_fault(load, *drained ? 0.5 : 0.02)) {
		*drained = !*drained;
		admission_set_draining(
		    load->admission, *drained, load_now(load));
		load_run_actions(load);
	}
}

/* Runs one seed and returns a hash of the numbers of starts and outcomes. */
static uint64_t
run_random_faults(uint32_t seed)
{
	struct admission_limits limits;
	struct load *load;
	bool drained = false;
	uint64_t trace;

	load_init_limits(&limits);
	load = load_new(&limits, seed);
	set_load(load, 0.6, 0.7);
	for (int64_t t = 0; t < RANDOM_FAULTS_MS; t += LOAD_STEP_MS) {
		inject_faults(load, &drained);
		load_submit_arrivals(load);
		load_step(load);
	}
	admission_set_draining(load->admission, true, load_now(load));
	load_run_actions(load);
	load_wait_until_done(load);
	g_assert_cmpuint(load->fake.over_memory_limit, ==, 0);
	trace = load->starts;
	for (int class = WORK_SHORT; class <= WORK_LONG; class ++) {
		g_assert_cmpuint(load->submitted[class], ==,
		    load->finished[class] + load->rejected[class] +
			load->cancelled[class]);
		trace = trace * 1000003 + load->finished[class];
		trace = trace * 1000003 + load->rejected[class];
		trace = trace * 1000003 + load->cancelled[class];
	}
	g_test_message("seed %u: short %u finished %u, long %u finished %u, "
		       "starts %u, holds released %u",
	    seed, load->submitted[WORK_SHORT], load->finished[WORK_SHORT],
	    load->submitted[WORK_LONG], load->finished[WORK_LONG], load->starts,
	    load->releases);
	load_free(load);
	return trace;
}

/* Under random faults, each job has one final event by its deadline. */
static void
test_random_faults(void)
{
	for (uint32_t seed = 1; seed <= RANDOM_FAULTS_SEEDS; seed++)
		run_random_faults(seed);
}

/* Two runs with one seed start, finish and reject the same number of jobs. */
static void
test_same_seed(void)
{
	g_assert_cmpuint(run_random_faults(77), ==, run_random_faults(77));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	for (gsize i = 0; i < G_N_ELEMENTS(mixed_load_cases); i++)
		g_test_add_data_func(mixed_load_cases[i].name,
		    &mixed_load_cases[i], test_mixed_load);
	for (gsize i = 0; i < G_N_ELEMENTS(cold_cases); i++)
		g_test_add_data_func(
		    cold_cases[i].name, &cold_cases[i], test_cold);
	g_test_add_func("/admission/long requests don't wait for another "
			"organisation's overload",
	    test_long_fairness);
	g_test_add_func(
	    "/admission/overload does not lower the goodput", test_overload);
	g_test_add_func("/admission/an organisation within its share is slowed "
			"little by another's overload",
	    test_fairness);
	g_test_add_func("/admission/each job has one final event in its time",
	    test_random_faults);
	g_test_add_func(
	    "/admission/the same seed gives the same actions", test_same_seed);
	return g_test_run();
}
