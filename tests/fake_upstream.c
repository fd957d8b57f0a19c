#include "fake_upstream.h"

#include <glib.h>

/* Time in which a cold start that is not reported must be detected. */
#define COLD_DETECTION_MS 2000

/* Initialises a warm engine of typical size without runs. */
void
fake_upstream_init(struct fake_upstream *fake)
{
	*fake = (struct fake_upstream){
	    .slots = 16,
	    .cold_slots = 2,
	    .memory_tokens = 400000,
	    .prefill_tokens_per_s = 20000,
	    .output_tokens_per_s = 100,
	    .cold_speed = 0.1,
	    .start_count = 1,
	};
	TAILQ_INIT(&fake->runs);
}

/* Removes a run and frees it. */
static void
remove_run(struct fake_upstream *fake, struct fake_run *run)
{
	TAILQ_REMOVE(&fake->runs, run, entry);
	fake->running--;
	fake->used_tokens -= run->memory_tokens;
	g_free(run);
}

/* Removes and frees all runs. */
void
fake_upstream_clear(struct fake_upstream *fake)
{
	struct fake_run *run;

	while ((run = TAILQ_FIRST(&fake->runs)) != NULL)
		remove_run(fake, run);
}

/* Starts a run; returns false if the engine rejects it as overloaded. */
bool
fake_upstream_start(struct fake_upstream *fake, uint64_t id, uint32_t priority,
    uint64_t prompt_tokens, uint64_t uncached_tokens, uint64_t output_tokens)
{
	uint32_t run_limit = fake->cold ? fake->cold_slots : fake->slots;
	struct fake_run *run;

	if (fake->running >= run_limit) {
		if (fake->now_ms - fake->cold_since_ms > COLD_DETECTION_MS)
			fake->over_cold_limit += fake->cold;
		fake->rejected++;
		return false;
	}
	run = g_new0(struct fake_run, 1);
	run->id = id;
	run->priority = priority;
	run->memory_tokens = prompt_tokens + output_tokens;
	run->prefill_left = (double)uncached_tokens;
	run->output_left = (double)output_tokens;
	TAILQ_INSERT_TAIL(&fake->runs, run, entry);
	fake->running++;
	fake->used_tokens += run->memory_tokens;
	if (fake->used_tokens + fake->held_tokens > fake->memory_tokens)
		fake->over_memory_limit++;
	return true;
}

/* Ends a run; returns false if there is none with this id. */
bool
fake_upstream_cancel(struct fake_upstream *fake, uint64_t id)
{
	struct fake_run *run;

	TAILQ_FOREACH (run, &fake->runs, entry) {
		if (run->id == id) {
			remove_run(fake, run);
			return true;
		}
	}
	return false;
}

/* Makes the engine cold without a report; its runs continue slowly. */
void
fake_upstream_set_cold(struct fake_upstream *fake)
{
	fake->cold = true;
	fake->cold_since_ms = fake->now_ms;
}

/* Makes the engine warm. */
void
fake_upstream_set_warm(struct fake_upstream *fake)
{
	fake->cold = false;
}

/*
 * Loses all runs and exported blocks and restarts cold; each run is reported as
 * lost.
 */
void
fake_upstream_crash(
    struct fake_upstream *fake, const struct fake_events *events, void *data)
{
	struct fake_run *run;
	uint64_t id;

	fake->start_count++;
	fake->held_tokens = 0;
	fake_upstream_set_cold(fake);
	while ((run = TAILQ_FIRST(&fake->runs)) != NULL) {
		id = run->id;
		remove_run(fake, run);
		events->finished(data, id, true);
	}
}

/*
 * Counts the runs that are prefilled now, those of the best priority, and
 * returns that priority in *priority.
 */
static uint32_t
count_served_runs(const struct fake_upstream *fake, uint32_t *priority)
{
	const struct fake_run *run;
	uint32_t count = 0;

	*priority = UINT32_MAX;
	TAILQ_FOREACH (run, &fake->runs, entry) {
		if (run->prefill_left <= 0)
			continue;
		if (!fake->ignore_priority && run->priority < *priority) {
			*priority = run->priority;
			count = 0;
		}
		if (fake->ignore_priority || run->priority == *priority)
			count++;
	}
	return count;
}

/*
 * Simulates ms milliseconds of work; events are emitted at the end, in the
 * order of the runs' starts.
 */
void
fake_upstream_step(struct fake_upstream *fake, int64_t ms,
    const struct fake_events *events, void *data)
{
	double speed = fake->cold ? fake->cold_speed : 1.0;
	struct fake_run *run, *next;
	uint32_t priority, count = count_served_runs(fake, &priority);
	g_autoptr(GArray)
	    first_token_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_autoptr(GArray)
	    ended_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));

	fake->now_ms += ms;
	TAILQ_FOREACH_SAFE (run, &fake->runs, entry, next) {
		if (run->prefill_left > 0) {
			if (fake->ignore_priority || run->priority == priority)
				run->prefill_left -= speed * (double)ms *
				    fake->prefill_tokens_per_s / 1000 / count;
			continue;
		}
		if (!run->first_token) {
			run->first_token = true;
			g_array_append_val(first_token_ids, run->id);
		}
		run->output_left -= speed * (double)ms *
		    fake->output_tokens_per_s / 1000;
		if (run->output_left <= 0) {
			g_array_append_val(ended_ids, run->id);
			remove_run(fake, run);
		}
	}
	for (guint i = 0; i < first_token_ids->len; i++)
		events->first_token(
		    data, g_array_index(first_token_ids, uint64_t, i));
	for (guint i = 0; i < ended_ids->len; i++)
		events->finished(
		    data, g_array_index(ended_ids, uint64_t, i), false);
}
