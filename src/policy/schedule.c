/*
 * Chooses which queued job is started next. Short requests go first, alongside
 * long ones that stay out of the short requests' reserve. Once a long request
 * has aged, long requests go before all others. A suspect runs alone and blocks
 * other starts for a bounded time only.
 */
#include "base/clock.h"
#include "base/invariant.h"
#include "policy/admission_state.h"

INVARIANT_DEFINE(no_overload, "started_within_limit");
INVARIANT_DEFINE(alone, "suspect_runs_alone");
INVARIANT_DEFINE(in_time, "started_before_deadline");

/* Limits that a job must fit into. */
struct headroom {
	const struct admission *admission;
	uint64_t memory;
	bool held_only; /* only jobs under a hold may start */
};

/* Writes the counters for an invariant's report. */
static void
dump(const void *state, GString *out)
{
	const struct admission *admission = state;

	g_string_append_printf(out,
	    "running %u limit %u capacity %u queued %zu",
	    admission->running_count, ramp_limit(&admission->ramp),
	    ramp_capacity(&admission->ramp), queue_count(admission->queue));
}

/* Returns the memory in tokens that is kept free of long requests. */
uint64_t
schedule_short_reserve(const struct admission *admission)
{
	return memory_total(admission->memory) *
	    admission->limits.short_reserve_percent / 100;
}

/* Returns whether a job's memory is available. */
static bool
memory_fits(const struct fair_item *item, void *data)
{
	const struct admission_job *job = (const struct admission_job *)item;
	const struct headroom *headroom = data;

	return !memory_is_counted(headroom->admission->memory) ||
	    job->memory_tokens <= headroom->memory;
}

/*
 * Returns whether a long request's memory is available outside the reserve for
 * short requests.
 */
static bool
long_fits(const struct fair_item *item, void *data)
{
	const struct admission_job *job = (const struct admission_job *)item;
	const struct headroom *headroom = data;
	const struct admission *admission = headroom->admission;
	uint64_t most;

	if (job->hold[0] != '\0')
		return true;
	if (headroom->held_only || !memory_fits(item, data))
		return false;
	most = memory_total(admission->memory) -
	    schedule_short_reserve(admission);
	return !memory_is_counted(admission->memory) ||
	    admission->long_memory == 0 ||
	    admission->long_memory + job->memory_tokens <= most;
}

/*
 * Returns whether the reserve for short requests leaves a slot for a long one.
 */
static bool
has_long_slot(const struct admission *admission)
{
	uint32_t limit = ramp_limit(&admission->ramp);
	uint32_t reserve = (limit * admission->limits.short_reserve_percent +
			       99) /
	    100;

	return admission->running_long_count <
	    MAX(limit - MIN(reserve, limit), 1);
}

/*
 * Returns whether another long prompt may be prefilled in addition to those in
 * progress.
 */
static bool
has_long_prefill(const struct admission *admission)
{
	return admission->prefill.long_count <
	    admission->limits.long_prefill_max;
}

/*
 * Returns the long request that goes before any short one, or NULL. The first
 * choice is one that must start soon to meet its target. Otherwise, once one
 * has aged, it is the next long request in fair order rather than the oldest,
 * and no other one is preferred because it fits.
 */
static struct admission_job *
choose_priority_long(const struct admission *admission, struct timespec now)
{
	struct admission_job *urgent;

	if (!has_long_slot(admission) || !has_long_prefill(admission))
		return NULL;
	urgent = queue_urgent_long(admission->queue, &admission->prefill, now);
	if (urgent != NULL)
		return urgent;
	if (!queue_has_aged_long(admission->queue, now))
		return NULL;
	return queue_pick(admission->queue, WORK_LONG, NULL, NULL);
}

/*
 * Returns the memory that short requests may take now. While an aged long
 * request or a refused hold waits for memory, they are limited to their
 * reserve, or to none if the long request needs that too.
 */
static uint64_t
short_memory_room(const struct admission *admission,
    const struct admission_job *aged, struct timespec now)
{
	uint64_t available = memory_available(admission->memory);
	uint64_t reserve = schedule_short_reserve(admission);
	uint64_t total = memory_total(admission->memory);

	if (aged == NULL && !memory_has_waiting_hold(admission->memory, now))
		return available;
	if (aged != NULL && aged->memory_tokens > total - reserve)
		return 0;
	if (reserve <= admission->short_memory)
		return 0;
	return MIN(available, reserve - admission->short_memory);
}

/* Returns the next job to start that is not a suspect, or NULL. */
static struct admission_job *
choose_normal(struct admission *admission, struct timespec now)
{
	struct headroom headroom = {.admission = admission,
	    .memory = memory_available(admission->memory)};
	struct admission_job *first = choose_priority_long(admission, now),
			     *job = NULL;

	if (first != NULL && long_fits(&first->item, &headroom))
		return first;
	headroom.memory = short_memory_room(admission, first, now);
	if (prefill_has_room(&admission->prefill))
		job = queue_pick(
		    admission->queue, WORK_SHORT, memory_fits, &headroom);
	if (job != NULL || !has_long_slot(admission))
		return job;
	headroom.memory = memory_available(admission->memory);
	headroom.held_only = first != NULL || !has_long_prefill(admission) ||
	    memory_has_waiting_hold(admission->memory, now);
	return queue_pick(admission->queue, WORK_LONG, long_fits, &headroom);
}

/*
 * Returns a suspect that can run now because nothing else does, or NULL. Sets
 * *hold_back if other starts must wait for it.
 */
static struct admission_job *
choose_suspect(
    struct admission *admission, struct timespec now, bool *hold_back)
{
	struct admission_job *job = queue_oldest_suspect(admission->queue);
	int64_t interval_ms = admission->limits.suspect_interval_ms;

	*hold_back = false;
	if (job == NULL ||
	    (time_is_set(admission->suspect_ended) &&
		time_diff_ms(now, admission->suspect_ended) < interval_ms)) {
		admission->suspect_drain_since = (struct timespec){0};
		return NULL;
	}
	if (admission->running_count == 0) {
		admission->suspect_drain_since = (struct timespec){0};
		return job;
	}
	if (!time_is_set(admission->suspect_drain_since))
		admission->suspect_drain_since = now;
	*hold_back = time_diff_ms(now, admission->suspect_drain_since) <
	    admission->limits.suspect_drain_max_ms;
	if (!*hold_back) {
		queue_remove(admission->queue, job);
		admission_reject(admission, job, REJECT_BUSY,
		    estimate_retry_after_ms(admission, job->class, now));
		admission->suspect_ended = now;
		admission->suspect_drain_since = (struct timespec){0};
	}
	return NULL;
}

/* Returns the next job to start, or NULL if none may start. */
static struct admission_job *
choose_job(struct admission *admission, struct timespec now)
{
	struct admission_job *job;
	bool hold_back;

	if (admission->suspect != NULL || admission->draining ||
	    admission->down ||
	    admission->running_count >= ramp_limit(&admission->ramp))
		return NULL;
	job = choose_suspect(admission, now, &hold_back);
	if (job != NULL || hold_back)
		return job;
	return choose_normal(admission, now);
}

/* Reserves a job's memory, or attaches the job to its hold. */
static bool
reserve_job_memory(struct admission *admission, struct admission_job *job)
{
	if (job->hold[0] != '\0')
		return memory_attach(admission->memory, job->hold);
	if (!memory_is_counted(admission->memory))
		return true;
	if (!memory_reserve(admission->memory, job->memory_tokens))
		return false;
	job->reserved_tokens = job->memory_tokens;
	return true;
}

/* Adds a job to the running jobs. */
static void
count_running(struct admission *admission, struct admission_job *job)
{
	TAILQ_INSERT_TAIL(&admission->running, job, entry);
	admission->running_count++;
	if (job->class == WORK_LONG) {
		admission->running_long_count++;
		admission->long_memory += job->reserved_tokens;
	} else {
		admission->short_memory += job->reserved_tokens;
	}
	if (job->suspect)
		admission->suspect = job;
}

/* Starts a job. */
static void
start_job(
    struct admission *admission, struct admission_job *job, struct timespec now)
{
	struct pending_action *pending;

	queue_dequeue(admission->queue, job);
	if (!reserve_job_memory(admission, job)) {
		admission_reject(admission, job,
		    job->hold[0] != '\0' ? REJECT_STALE : REJECT_BUSY,
		    estimate_retry_after_ms(admission, job->class, now));
		return;
	}
	job->state = ADMISSION_JOB_PREFILLING;
	job->started_at = now;
	job->expected_ms = prefill_expected_ms(
	    &admission->prefill, job->class, job->uncached_tokens);
	prefill_on_started(
	    &admission->prefill, job->class, job->uncached_tokens);
	count_running(admission, job);
	invariant_check(&no_overload,
	    admission->running_count <= ramp_limit(&admission->ramp), dump,
	    admission);
	invariant_check(&alone,
	    admission->suspect == NULL || admission->running_count == 1, dump,
	    admission);
	invariant_check(
	    &in_time, time_before(now, job->deadline), dump, admission);
	pending = admission_push_action(admission, ADMISSION_START, job);
	pending->action.priority = job->class == WORK_LONG ? 1 : 0;
	pending->action.queued_ms = time_diff_ms(now, job->queued_at);
}

/* Starts all jobs that may start now. */
void
schedule_start_jobs(struct admission *admission, struct timespec now)
{
	struct admission_job *job;

	while ((job = choose_job(admission, now)) != NULL)
		start_job(admission, job, now);
}
