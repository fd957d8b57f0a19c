#include "load.h"

#include <math.h>

#define SHORT_DEADLINE_MS 10000
#define LONG_DEADLINE_MS  300000
#define SHORT_OUTPUT	  100
#define LONG_OUTPUT	  300
#define LONG_PROMPT_MIN	  20000
#define LONG_PROMPT_MAX	  280000
#define LAST_JOBS_WAIT_MS 400000

/* Returns the load's present time. */
struct timespec
load_now(struct load *load)
{
	return clock_monotonic(&load->clock.clock);
}

/* Sets limits that fit the fake upstream. */
void
load_limits(struct admission_limits *limits)
{
	admission_limits_init(limits);
	limits->memory_tokens = 400000;
	limits->prefill_tokens_per_s = 20000;
}

/* Makes a load of nothing yet. */
struct load *
load_new(const struct admission_limits *limits, uint32_t seed)
{
	struct load *load = g_new0(struct load, 1);

	clock_manual_init(&load->clock, 1000);
	fake_upstream_init(&load->fake);
	load->admission = admission_new(limits, load_now(load));
	load->shorts = g_rand_new_with_seed(seed);
	load->longs = g_rand_new_with_seed(seed + 1);
	load->faults = g_rand_new_with_seed(seed + 2);
	load->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
	load->all = g_ptr_array_new_with_free_func(g_free);
	load->long_refusals = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (int i = 0; i < ORGANISATIONS; i++) {
		load->sources[i].weight = 1;
		load->short_waits[i] = g_array_new(
		    FALSE, FALSE, sizeof(int64_t));
		load->long_waits[i] = g_array_new(
		    FALSE, FALSE, sizeof(int64_t));
	}
	return load;
}

/* Frees the load. */
void
load_free(struct load *load)
{
	admission_free(load->admission);
	fake_upstream_clear(&load->fake);
	g_rand_free(load->shorts);
	g_rand_free(load->longs);
	g_rand_free(load->faults);
	g_hash_table_unref(load->jobs);
	g_ptr_array_unref(load->all);
	g_array_unref(load->long_refusals);
	for (int i = 0; i < ORGANISATIONS; i++) {
		g_array_unref(load->short_waits[i]);
		g_array_unref(load->long_waits[i]);
	}
	g_free(load);
}

/* Submits one request and takes the actions that follow. */
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
	    .output_tokens = class == WORK_LONG ? LONG_OUTPUT : SHORT_OUTPUT,
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
	g_ptr_array_add(load->all, job);
	load->submitted[class]++;
	job->id = admission_submit(load->admission, &request, load_now(load));
	load_act(load);
	return job;
}

/* Notes a job's final event: one, and in time unless the sidecar stood. */
static void
final(struct load *load, struct load_job *job, uint32_t *count)
{
	job->finals++;
	g_assert_cmpint(job->finals, ==, 1);
	g_assert_cmpint(
	    time_diff_ms(load_now(load), job->deadline), <=, LOAD_OVERRUN_MS);
	count[job->class]++;
}

/* The upstream's run has ended. */
static void
ended(struct load *load, uint64_t id, enum admission_outcome outcome)
{
	struct load_job *job = g_hash_table_lookup(load->jobs, &id);

	g_assert_nonnull(job);
	g_hash_table_remove(load->jobs, &id);
	if (outcome == ADMISSION_OK)
		load->finished_tokens += job->prompt_tokens +
		    job->output_tokens;
	final(load, job,
	    outcome == ADMISSION_OK ? load->finished : load->cancelled);
	admission_on_finished(load->admission, id, outcome, load_now(load));
}

/* Carries a start out. */
static void
act_start(struct load *load, const struct admission_action *action)
{
	struct load_job *job = action->owner;

	g_assert_false(job->started);
	job->started = true;
	job->id = action->job;
	load->starts++;
	g_hash_table_insert(load->jobs, &job->id, job);
	if (job->suspect)
		g_assert_cmpuint(load->fake.running, ==, 0);
	if (!fake_upstream_start(&load->fake, job->id, action->priority,
		job->prompt_tokens, job->prompt_tokens, job->output_tokens))
		ended(load, job->id, ADMISSION_REFUSED);
}

/* Notes how long a long had waited when it was refused. */
static void
note_refusal(struct load *load, const struct load_job *job)
{
	int64_t wait_ms = time_diff_ms(load_now(load), job->submitted);

	if (job->class == WORK_LONG)
		g_array_append_val(load->long_refusals, wait_ms);
}

/* Takes all actions that there are. */
void
load_act(struct load *load)
{
	struct admission_action action;

	while (admission_next_action(load->admission, &action)) {
		struct load_job *job = action.owner;

		switch (action.kind) {
		case ADMISSION_START:
			act_start(load, &action);
			break;
		case ADMISSION_REJECT:
			g_assert_false(job->started);
			final(load, job, load->rejected);
			note_refusal(load, job);
			break;
		case ADMISSION_CANCEL:
			if (fake_upstream_cancel(&load->fake, action.job))
				ended(load, action.job, ADMISSION_CANCELLED);
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

/* A first token has come from the fake upstream. */
static void
on_first_token(void *data, uint64_t id)
{
	struct load *load = data;
	const struct load_job *job = g_hash_table_lookup(load->jobs, &id);
	int64_t wait_ms;

	if (job == NULL) /* cancelled by an earlier event of the same step */
		return;
	wait_ms = time_diff_ms(load_now(load), job->submitted);
	g_array_append_val(job->class == WORK_LONG
		? load->long_waits[job->organisation]
		: load->short_waits[job->organisation],
	    wait_ms);
	admission_on_first_token(load->admission, id, load_now(load));
	load_act(load);
}

/* A run of the fake upstream has ended. */
static void
on_finished(void *data, uint64_t id, bool lost)
{
	struct load *load = data;

	if (g_hash_table_lookup(load->jobs, &id) == NULL)
		return;
	ended(load, id, lost ? ADMISSION_LOST : ADMISSION_OK);
	load_act(load);
}

static const struct fake_events events = {on_first_token, on_finished};

/* Moves time on by one step, and the fake upstream with it. */
void
load_step(struct load *load)
{
	clock_manual_advance(&load->clock, LOAD_STEP_MS);
	fake_upstream_step(&load->fake, LOAD_STEP_MS, &events, load);
	if (load->fake.now_ms % (10 * LOAD_STEP_MS) != 0)
		return;
	admission_tick(load->admission, load_now(load));
	load_act(load);
}

/* Reports the fake upstream's state as it is now. */
void
load_status(struct load *load)
{
	struct admission_status status = {
	    .condition = load->fake.cold ? UPSTREAM_COLD : UPSTREAM_WARM,
	    .start_count = load->fake.start_count,
	    .slots = load->fake.slots,
	    .memory_tokens = load->fake.memory_tokens,
	};

	admission_set_status(load->admission, &status, load_now(load));
	load_act(load);
}

/* The fake upstream dies; its runs are reported lost. */
void
load_die(struct load *load)
{
	fake_upstream_die(&load->fake, &events, load);
}

/* Draws whether something that comes so often comes in this step. */
static bool
comes(GRand *rand, double per_s)
{
	return g_rand_double(rand) < per_s * LOAD_STEP_MS / MS_PER_S;
}

/* Draws a long prompt's tokens from a heavy tail. */
static uint64_t
draw_long(GRand *rand)
{
	double low = log(LONG_PROMPT_MIN), high = log(LONG_PROMPT_MAX);

	return (uint64_t)exp(g_rand_double_range(rand, low, high));
}

/* Submits what comes in this step from each organisation. */
void
load_arrivals(struct load *load)
{
	for (uint32_t i = 0; i < ORGANISATIONS; i++) {
		const struct load_source *source = &load->sources[i];

		if (comes(load->shorts, source->shorts_per_s))
			load_submit(load, i, WORK_SHORT,
			    (uint64_t)g_rand_int_range(
				load->shorts, 1000, 4000),
			    false);
		if (comes(load->longs, source->longs_per_s))
			load_submit(
			    load, i, WORK_LONG, draw_long(load->longs), false);
	}
}

/* Sends nothing more and waits until each job has its final event. */
void
load_finish(struct load *load)
{
	for (int64_t ms = 0;
	     ms < LAST_JOBS_WAIT_MS && g_hash_table_size(load->jobs) > 0;
	     ms += LOAD_STEP_MS)
		load_step(load);
	for (guint i = 0; i < load->all->len; i++) {
		const struct load_job *job = load->all->pdata[i];

		g_assert_cmpint(job->finals, ==, 1);
	}
	g_assert_cmpuint(load->fake.used_tokens, ==, 0);
}

/* Orders two waits. */
static gint
compare_waits(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Returns the percentile of the waits, 0 of none; sorts them. */
int64_t
load_percentile(GArray *waits, uint32_t percent)
{
	if (waits->len == 0)
		return 0;
	g_array_sort(waits, compare_waits);
	return g_array_index(waits, int64_t, (waits->len - 1) * percent / 100);
}
