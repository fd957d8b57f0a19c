#include "load.h"

#include <math.h>

#define SHORT_DEADLINE_MS      10000
#define LONG_DEADLINE_MS       300000
#define SHORT_OUTPUT_TOKENS    100
#define LONG_OUTPUT_TOKENS     300
#define LONG_PROMPT_MIN_TOKENS 20000
#define LONG_PROMPT_MAX_TOKENS 280000
#define DRAIN_TIMEOUT_MS       400000

/* Returns the load's current virtual time. */
struct timespec
load_now(struct load *load)
{
	return clock_monotonic(&load->clock.clock);
}

/* Initialises admission limits that match the fake upstream. */
void
load_init_limits(struct admission_limits *limits)
{
	admission_limits_init(limits);
	limits->memory_tokens = 400000;
	limits->prefill_tokens_per_s = 20000;
}

/* Creates a load whose sources send nothing yet. */
struct load *
load_new(const struct admission_limits *limits, uint32_t seed)
{
	struct load *load = g_new0(struct load, 1);

	clock_manual_init(&load->clock, 1000);
	fake_upstream_init(&load->fake);
	load->admission = admission_new(limits, load_now(load));
	load->short_random = g_rand_new_with_seed(seed);
	load->long_random = g_rand_new_with_seed(seed + 1);
	load->fault_random = g_rand_new_with_seed(seed + 2);
	load->running_jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
	load->all_jobs = g_ptr_array_new_with_free_func(g_free);
	load->long_rejection_waits = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (int i = 0; i < ORGANISATIONS; i++) {
		load->sources[i].weight = 1;
		load->short_waits[i] = g_array_new(
		    FALSE, FALSE, sizeof(int64_t));
		load->long_waits[i] = g_array_new(
		    FALSE, FALSE, sizeof(int64_t));
	}
	return load;
}

/* Frees the load, its admission and its fake upstream. */
void
load_free(struct load *load)
{
	admission_free(load->admission);
	fake_upstream_clear(&load->fake);
	g_rand_free(load->short_random);
	g_rand_free(load->long_random);
	g_rand_free(load->fault_random);
	g_hash_table_unref(load->running_jobs);
	g_ptr_array_unref(load->all_jobs);
	g_array_unref(load->long_rejection_waits);
	for (int i = 0; i < ORGANISATIONS; i++) {
		g_array_unref(load->short_waits[i]);
		g_array_unref(load->long_waits[i]);
	}
	g_free(load);
}

/* Submits one request and runs the admission actions that follow. */
struct load_job *
load_submit(struct load *load, uint32_t organisation, enum work_class class,
    uint64_t prompt_tokens, bool suspect)
{
	struct load_job *job = g_new0(struct load_job, 1);
	char name[16];
	struct admission_request request = {
	    .request = job->request,
	    .attempt = 1,
	    .organisation = name,
	    .weight = load->sources[organisation].weight,
	    .class = class,
	    .prompt_tokens = prompt_tokens,
	    .output_tokens = class == WORK_LONG ? LONG_OUTPUT_TOKENS
						: SHORT_OUTPUT_TOKENS,
	    .body_bytes = prompt_tokens * 4,
	    .suspect = suspect,
	    .owner = job,
	};

	g_snprintf(name, sizeof(name), "org-%u", organisation);
	g_snprintf(job->request, sizeof(job->request), "%" G_GUINT64_FORMAT,
	    ++load->counter);
	job->organisation = organisation;
	job->class = class;
	job->suspect = suspect;
	job->prompt_tokens = prompt_tokens;
	job->output_tokens = request.output_tokens;
	job->submitted = load_now(load);
	job->deadline = time_add_ms(job->submitted,
	    class == WORK_LONG ? LONG_DEADLINE_MS : SHORT_DEADLINE_MS);
	request.deadline = job->deadline;
	g_ptr_array_add(load->all_jobs, job);
	load->submitted[class]++;
	job->id = admission_submit(load->admission, &request, load_now(load));
	load_run_actions(load);
	return job;
}

/*
 * Counts a job's final event; fails on a second one, or on one later than the
 * deadline plus LOAD_DEADLINE_SLACK_MS.
 */
static void
record_final_event(struct load *load, struct load_job *job, uint32_t *count)
{
	job->final_event_count++;
	g_assert_cmpint(job->final_event_count, ==, 1);
	g_assert_cmpint(time_diff_ms(load_now(load), job->deadline), <=,
	    LOAD_DEADLINE_SLACK_MS);
	count[job->class]++;
}

/* Ends a run of the upstream and reports its outcome to the admission. */
static void
end_run(struct load *load, uint64_t id, enum admission_outcome outcome)
{
	struct load_job *job = g_hash_table_lookup(load->running_jobs, &id);

	g_assert_nonnull(job);
	g_hash_table_remove(load->running_jobs, &id);
	if (outcome == ADMISSION_OK)
		load->finished_tokens += job->prompt_tokens +
		    job->output_tokens;
	record_final_event(load, job,
	    outcome == ADMISSION_OK ? load->finished : load->cancelled);
	admission_on_finished(load->admission, id, outcome, load_now(load));
}

/* Starts a run at the fake upstream; a rejected start ends the job. */
static void
handle_start(struct load *load, const struct admission_action *action)
{
	struct load_job *job = action->owner;

	g_assert_false(job->started);
	job->started = true;
	job->id = action->job;
	load->starts++;
	g_hash_table_insert(load->running_jobs, &job->id, job);
	if (job->suspect)
		g_assert_cmpuint(load->fake.running, ==, 0);
	if (!fake_upstream_start(&load->fake, job->id, action->priority,
		job->prompt_tokens, job->prompt_tokens, job->output_tokens))
		end_run(load, job->id, ADMISSION_REFUSED);
}

/* Records how long a long request had waited when it was rejected. */
static void
record_rejection_wait(struct load *load, const struct load_job *job)
{
	int64_t wait_ms = time_diff_ms(load_now(load), job->submitted);

	if (job->class == WORK_LONG)
		g_array_append_val(load->long_rejection_waits, wait_ms);
}

/* Runs all pending actions of the admission. */
void
load_run_actions(struct load *load)
{
	struct admission_action action;

	while (admission_next_action(load->admission, &action)) {
		struct load_job *job = action.owner;

		switch (action.kind) {
		case ADMISSION_START:
			handle_start(load, &action);
			break;
		case ADMISSION_REJECT:
			g_assert_false(job->started);
			record_final_event(load, job, load->rejected);
			record_rejection_wait(load, job);
			break;
		case ADMISSION_CANCEL:
			if (fake_upstream_cancel(&load->fake, action.job))
				end_run(load, action.job, ADMISSION_CANCELLED);
			break;
		case ADMISSION_RELEASE:
			load->releases++;
			load->fake.held_tokens = 0;
			admission_on_hold_freed(
			    load->admission, action.hold, load_now(load));
			break;
		}
	}
}

/* Called on a run's first token; records the wait of its job. */
static void
on_first_token(void *data, uint64_t id)
{
	struct load *load = data;
	const struct load_job *job = g_hash_table_lookup(
	    load->running_jobs, &id);
	int64_t wait_ms;

	if (job == NULL) /* cancelled by an earlier event of this step */
		return;
	wait_ms = time_diff_ms(load_now(load), job->submitted);
	g_array_append_val(job->class == WORK_LONG
		? load->long_waits[job->organisation]
		: load->short_waits[job->organisation],
	    wait_ms);
	admission_on_first_token(load->admission, id, load_now(load));
	load_run_actions(load);
}

/* Called when a run of the fake upstream has ended or was lost. */
static void
on_finished(void *data, uint64_t id, bool lost)
{
	struct load *load = data;

	if (g_hash_table_lookup(load->running_jobs, &id) == NULL)
		return;
	end_run(load, id, lost ? ADMISSION_LOST : ADMISSION_OK);
	load_run_actions(load);
}

static const struct fake_events events = {on_first_token, on_finished};

/*
 * Advances time and the fake upstream by LOAD_STEP_MS; the admission ticks
 * every tenth step.
 */
void
load_step(struct load *load)
{
	clock_manual_advance(&load->clock, LOAD_STEP_MS);
	fake_upstream_step(&load->fake, LOAD_STEP_MS, &events, load);
	if (load->fake.now_ms % (10 * LOAD_STEP_MS) != 0)
		return;
	admission_tick(load->admission, load_now(load));
	load_run_actions(load);
}

/* Reports the fake upstream's current state to the admission. */
void
load_report_status(struct load *load)
{
	struct admission_status status = {
	    .condition = load->fake.cold ? UPSTREAM_COLD : UPSTREAM_WARM,
	    .start_count = load->fake.start_count,
	    .slots = load->fake.slots,
	    .memory_tokens = load->fake.memory_tokens,
	};

	admission_set_status(load->admission, &status, load_now(load));
	load_run_actions(load);
}

/* Crashes the fake upstream; its runs are reported as lost. */
void
load_crash_upstream(struct load *load)
{
	fake_upstream_crash(&load->fake, &events, load);
}

/* Draws whether an event of this mean rate occurs in this step. */
static bool
draw_arrival(GRand *rand, double per_s)
{
	return g_rand_double(rand) < per_s * LOAD_STEP_MS / MS_PER_S;
}

/* Draws the length of a long prompt in tokens, log-uniformly distributed. */
static uint64_t
draw_long_prompt_tokens(GRand *rand)
{
	double low = log(LONG_PROMPT_MIN_TOKENS),
	       high = log(LONG_PROMPT_MAX_TOKENS);

	return (uint64_t)exp(g_rand_double_range(rand, low, high));
}

/* Submits the requests that arrive in this step from each organisation. */
void
load_submit_arrivals(struct load *load)
{
	for (uint32_t i = 0; i < ORGANISATIONS; i++) {
		const struct load_source *source = &load->sources[i];

		if (draw_arrival(
			load->short_random, source->short_requests_per_s))
			load_submit(load, i, WORK_SHORT,
			    (uint64_t)g_rand_int_range(
				load->short_random, 1000, 4000),
			    false);
		if (draw_arrival(
			load->long_random, source->long_requests_per_s))
			load_submit(load, i, WORK_LONG,
			    draw_long_prompt_tokens(load->long_random), false);
	}
}

/*
 * Runs without new requests until all started jobs have ended, for
 * DRAIN_TIMEOUT_MS at most; checks that each job got its final event and that
 * the upstream uses no memory.
 */
void
load_wait_until_done(struct load *load)
{
	for (int64_t ms = 0;
	     ms < DRAIN_TIMEOUT_MS && g_hash_table_size(load->running_jobs) > 0;
	     ms += LOAD_STEP_MS)
		load_step(load);
	for (guint i = 0; i < load->all_jobs->len; i++) {
		const struct load_job *job = load->all_jobs->pdata[i];

		g_assert_cmpint(job->final_event_count, ==, 1);
	}
	g_assert_cmpuint(load->fake.used_tokens, ==, 0);
}

/* Compares two waits for g_array_sort(). */
static gint
compare_waits(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/*
 * Returns a percentile of the waits in milliseconds, 0 if there are none; sorts
 * the array.
 */
int64_t
load_percentile(GArray *waits, uint32_t percent)
{
	if (waits->len == 0)
		return 0;
	g_array_sort(waits, compare_waits);
	return g_array_index(waits, int64_t, (waits->len - 1) * percent / 100);
}
