#include "policy/admission.h"

#include <string.h>

#include "base/clock.h"
#include "policy/admission_state.h"

/* Time after which a refused hold should be requested again. */
#define HOLD_RETRY_AFTER_MS 100
/* Longest interval between ticks while requests are queued or running. */
#define TICK_MS 100
/* Longest interval between ticks while there are none. */
#define TICK_IDLE_MS 1000
/* Weight of one run in the average run time. */
#define RUN_TIME_WEIGHT (1.0 / 16)

/*
 * Sets default limits for a small engine; the caller overrides what it knows.
 */
void
admission_limits_init(struct admission_limits *limits)
{
	*limits = (struct admission_limits){
	    .slots = 16,
	    .cold_slots = 2,
	    .short_reserve_percent = 25,
	    .long_prefill_max = 1,
	    .queue_max_requests = 256,
	    .queue_max_tokens = 8000000,
	    .queue_max_bytes = 32 * 1024 * 1024,
	    .queue_max_wait_ms = 10000,
	    .aging_ms = 15000,
	    .suspect_drain_max_ms = 2000,
	    .suspect_run_max_ms = 60000,
	    .suspect_interval_ms = 10000,
	};
}

/*
 * Creates the admission control of an upstream that has not reported its status
 * yet.
 */
struct admission *
admission_new(const struct admission_limits *limits, struct timespec now)
{
	struct admission *admission = g_new0(struct admission, 1);

	(void)now;
	admission->limits = *limits;
	ramp_init(&admission->ramp, limits->slots, limits->cold_slots);
	admission->memory = memory_new(limits->memory_tokens);
	prefill_init(&admission->prefill, limits->prefill_tokens_per_s);
	admission->queue = queue_new(limits);
	TAILQ_INIT(&admission->running);
	TAILQ_INIT(&admission->actions);
	admission->jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
	admission->requests = g_hash_table_new(g_str_hash, g_str_equal);
	return admission;
}

/*
 * Frees the admission control with all its jobs and actions that were not
 * fetched.
 */
void
admission_free(struct admission *admission)
{
	struct pending_action *pending;
	struct admission_job *job;

	if (admission == NULL)
		return;
	while ((pending = TAILQ_FIRST(&admission->actions)) != NULL) {
		TAILQ_REMOVE(&admission->actions, pending, entry);
		admission_job_free(pending->rejected);
		g_free(pending);
	}
	while ((job = TAILQ_FIRST(&admission->running)) != NULL) {
		TAILQ_REMOVE(&admission->running, job, entry);
		admission_job_free(job);
	}
	queue_free(admission->queue);
	memory_free(admission->memory);
	g_hash_table_unref(admission->jobs);
	g_hash_table_unref(admission->requests);
	g_free(admission);
}

/*
 * Queues an action for a job, or for none if NULL, and returns it to be filled
 * in.
 */
struct pending_action *
admission_push_action(struct admission *admission,
    enum admission_action_kind kind, const struct admission_job *job)
{
	struct pending_action *pending = g_new0(struct pending_action, 1);

	pending->action.kind = kind;
	if (job != NULL) {
		pending->action.job = job->id;
		pending->action.owner = job->owner;
	}
	TAILQ_INSERT_TAIL(&admission->actions, pending, entry);
	return pending;
}

/* Removes a job from the lookup tables. */
static void
unindex(struct admission *admission, struct admission_job *job)
{
	g_hash_table_remove(admission->jobs, &job->id);
	if (g_hash_table_lookup(admission->requests, job->request) == job)
		g_hash_table_remove(admission->requests, job->request);
}

/* Rejects a job that is no longer in the queue, which is its final action. */
void
admission_reject(struct admission *admission, struct admission_job *job,
    enum reject_reason reason, int64_t retry_after_ms)
{
	struct pending_action *pending = admission_push_action(
	    admission, ADMISSION_REJECT, job);

	unindex(admission, job);
	job->state = ADMISSION_JOB_REJECTED;
	admission->rejected++;
	pending->rejected = job;
	pending->action.reason = reason;
	pending->action.retry_after_ms = retry_after_ms;
}

/* Removes a job from the queue and rejects it. */
void
admission_reject_queued(struct admission *admission, struct admission_job *job,
    enum reject_reason reason, struct timespec now)
{
	queue_remove(admission->queue, job);
	admission_reject(admission, job, reason,
	    estimate_retry_after_ms(admission, job->class, now));
}

/* Rejects all queued jobs. */
static void
reject_all_queued(
    struct admission *admission, enum reject_reason reason, struct timespec now)
{
	struct admission_job *job;

	while ((job = queue_oldest(admission->queue)) != NULL)
		admission_reject_queued(admission, job, reason, now);
}

/*
 * Cancels or rejects an older attempt of the same request. Returns false if the
 * attempt that is already here is the same or a later one.
 */
static bool
replace_older_attempt(struct admission *admission,
    const struct admission_job *newer, struct timespec now)
{
	struct admission_job *older = g_hash_table_lookup(
	    admission->requests, newer->request);

	if (older == NULL)
		return true;
	if (newer->attempt <= older->attempt)
		return false;
	if (admission_job_is_running(older))
		admission_cancel_running(
		    admission, older, ADMISSION_CANCEL_SUPERSEDED);
	else
		admission_reject_queued(admission, older, REJECT_STALE, now);
	return true;
}

/* Returns whether a new job may be queued, and sets the reason if not. */
static bool
can_accept(const struct admission *admission, const struct admission_job *job,
    struct timespec now, enum reject_reason *reason)
{
	struct admission_probe probe = {
	    .organisation = job->organisation,
	    .weight = job->weight,
	    .class = job->class,
	    .prompt_tokens = MAX(job->uncached_tokens, job->memory_tokens),
	    .remaining_ms = time_diff_ms(job->deadline, now),
	};

	int64_t wait_ms = 0;

	probe.cached_tokens = probe.prompt_tokens - job->uncached_tokens;
	if (job->hold[0] == '\0') {
		wait_ms = estimate_wait_ms(admission, &probe, now);
	} else if (memory_find_hold(admission->memory, job->hold) == NULL) {
		*reason = REJECT_STALE;
		return false;
	} else { /* its memory is held, and its group waits for it */
		probe.prompt_tokens = 0;
	}
	return estimate_accepts(admission, &probe, wait_ms, reason);
}

/*
 * Submits a request. Returns the job's id for use in later calls. Its first
 * action, a start or a reject, may be available immediately.
 */
uint64_t
admission_submit(struct admission *admission,
    const struct admission_request *request, struct timespec now)
{
	struct admission_job *job = admission_job_new(
	    ++admission->last_id, request, now);
	enum reject_reason reason;
	uint64_t id = job->id;

	admission->submitted++;
	prefill_on_offered(
	    &admission->prefill, job->class, job->uncached_tokens);
	if (!replace_older_attempt(admission, job, now)) {
		admission_reject(admission, job, REJECT_STALE, 0);
	} else if (!can_accept(admission, job, now, &reason)) {
		admission_reject(admission, job, reason,
		    estimate_retry_after_ms(admission, job->class, now));
	} else {
		g_hash_table_insert(admission->jobs, &job->id, job);
		g_hash_table_replace(admission->requests, job->request, job);
		queue_push(admission->queue, job);
	}
	admission_advance(admission, now);
	return id;
}

/* Cancels a job whose caller has disconnected. Unknown jobs are ignored. */
void
admission_cancel(struct admission *admission, uint64_t id, struct timespec now)
{
	struct admission_job *job = g_hash_table_lookup(admission->jobs, &id);

	if (job == NULL)
		return;
	if (admission_job_is_running(job))
		admission_cancel_running(
		    admission, job, ADMISSION_CANCEL_REQUESTED);
	else
		admission_reject_queued(admission, job, REJECT_CANCELLED, now);
	admission_advance(admission, now);
}

/*
 * Updates the concurrency limit from the time to a first token. Long requests
 * wait for short ones at the upstream, so only the slow first token of a short
 * request is a sign of a cold start.
 */
static void
update_ramp(
    struct admission *admission, struct admission_job *job, struct timespec now)
{
	int64_t took_ms = time_diff_ms(now, job->started_at);

	if (admission->prefill.tokens_per_s == 0)
		return;
	job->first_token_slow = !ramp_on_first_token(&admission->ramp,
	    job->expected_ms, took_ms, admission->running_count);
	if (job->class == WORK_SHORT &&
	    ramp_count_slow(&admission->ramp, job->expected_ms, took_ms))
		ramp_on_trigger(&admission->ramp, RAMP_TRIGGER_SLOW, now);
}

/* Reports the first token of a started job. */
void
admission_on_first_token(
    struct admission *admission, uint64_t id, struct timespec now)
{
	struct admission_job *job = g_hash_table_lookup(admission->jobs, &id);

	if (job == NULL || job->state != ADMISSION_JOB_PREFILLING)
		return;
	job->state = ADMISSION_JOB_GENERATING;
	prefill_on_ended(&admission->prefill, job->class, job->uncached_tokens);
	update_ramp(admission, job, now);
	admission_advance(admission, now);
}

/* Removes a job from the running jobs and frees its memory. */
static void
remove_running(
    struct admission *admission, struct admission_job *job, struct timespec now)
{
	if (job->state == ADMISSION_JOB_PREFILLING)
		prefill_on_ended(
		    &admission->prefill, job->class, job->uncached_tokens);
	TAILQ_REMOVE(&admission->running, job, entry);
	admission->running_count--;
	if (job->class == WORK_LONG) {
		admission->running_long_count--;
		admission->long_memory -= job->reserved_tokens;
	} else {
		admission->short_memory -= job->reserved_tokens;
	}
	if (job->hold[0] != '\0')
		memory_detach(admission->memory, job->hold);
	memory_free_reserved(admission->memory, job->reserved_tokens);
	if (admission->suspect == job) {
		admission->suspect = NULL;
		admission->suspect_ended = now;
	}
	admission->finished++;
	unindex(admission, job);
}

/*
 * Updates the average run time and the concurrency limit from the outcome of a
 * run.
 */
static void
update_from_outcome(struct admission *admission,
    const struct admission_job *job, enum admission_outcome outcome,
    struct timespec now)
{
	double *average_ms = &admission->service_ms[job->class];
	double ran_ms = (double)time_diff_ms(now, job->started_at);

	if (outcome == ADMISSION_OK) {
		*average_ms += (*average_ms > 0 ? RUN_TIME_WEIGHT : 1) *
		    (ran_ms - *average_ms);
		if (!job->first_token_slow)
			ramp_on_completed(&admission->ramp, job->started_at,
			    admission->running_count);
	} else if (outcome == ADMISSION_REFUSED) {
		ramp_on_trigger(&admission->ramp, RAMP_TRIGGER_REFUSED, now);
	} else if (outcome == ADMISSION_LOST) {
		ramp_on_trigger(&admission->ramp, RAMP_TRIGGER_LOST, now);
	}
}

/*
 * Reports that a started job has ended and the upstream has freed its memory.
 */
void
admission_on_finished(struct admission *admission, uint64_t id,
    enum admission_outcome outcome, struct timespec now)
{
	struct admission_job *job = g_hash_table_lookup(admission->jobs, &id);

	if (job == NULL || !admission_job_is_running(job))
		return;
	update_from_outcome(admission, job, outcome, now);
	remove_running(admission, job, now);
	admission_job_free(job);
	admission_advance(admission, now);
}

/*
 * Updates the start count. If the upstream has restarted, its holds no longer
 * exist.
 */
static void
update_start_count(struct admission *admission,
    const struct admission_status *status, struct timespec now)
{
	if (admission->start_count_known &&
	    status->start_count > admission->start_count) {
		ramp_on_trigger(&admission->ramp, RAMP_TRIGGER_RESTART, now);
		memory_drop_holds(admission->memory);
	}
	if (status->start_count >= admission->start_count) {
		admission->start_count = status->start_count;
		admission->start_count_known = true;
	}
}

/*
 * Reports the upstream's status, or that it was found down. In the latter case
 * the caller must also report each running job as finished.
 */
void
admission_set_status(struct admission *admission,
    const struct admission_status *status, struct timespec now)
{
	admission->down = status->condition == UPSTREAM_DOWN;
	if (admission->down) {
		ramp_on_trigger(&admission->ramp, RAMP_TRIGGER_LOST, now);
		reject_all_queued(admission, REJECT_DOWN, now);
		admission_advance(admission, now);
		return;
	}
	update_start_count(admission, status, now);
	if (status->slots > 0)
		ramp_set_slots(&admission->ramp, status->slots);
	if (status->cold_slots > 0)
		ramp_set_cold_slots(&admission->ramp, status->cold_slots);
	if (status->memory_tokens > 0)
		memory_set_total(admission->memory, status->memory_tokens);
	if (status->prefill_tokens_per_s > 0) {
		admission->limits
		    .prefill_tokens_per_s = status->prefill_tokens_per_s;
		admission->prefill.tokens_per_s = status->prefill_tokens_per_s;
	}
	if (status->condition == UPSTREAM_WARM)
		ramp_on_reported_warm(&admission->ramp, now);
	else
		ramp_on_trigger(&admission->ramp, RAMP_TRIGGER_REPORT, now);
	admission_advance(admission, now);
}

/*
 * Turns draining on or off. While it is on, queued jobs are rejected and
 * running ones continue.
 */
void
admission_set_draining(
    struct admission *admission, bool on, struct timespec now)
{
	admission->draining = on;
	if (on)
		reject_all_queued(admission, REJECT_DRAINING, now);
	admission_advance(admission, now);
}

/* Updates the state to the current time. */
void
admission_tick(struct admission *admission, struct timespec now)
{
	admission_advance(admission, now);
}

/*
 * Holds tokens for a group under an id for expires_ms, or renews the hold. If
 * they are not available, returns false and sets *retry_after_ms; memory that
 * becomes free next is kept for this hold for a short time.
 */
bool
admission_hold(struct admission *admission, const char *id, uint64_t tokens,
    int64_t expires_ms, int64_t *retry_after_ms, struct timespec now)
{
	bool granted = false;

	*retry_after_ms = 0;
	if (!admission->down &&
	    (!admission->draining ||
		memory_find_hold(admission->memory, id) != NULL))
		granted = memory_hold(admission->memory, id, tokens,
		    time_add_ms(now, expires_ms), now);
	if (!granted)
		*retry_after_ms = HOLD_RETRY_AFTER_MS;
	admission_advance(admission, now);
	return granted;
}

/*
 * Releases a group's hold: requests that run under it are cancelled, then its
 * blocks are freed.
 */
void
admission_release_hold(
    struct admission *admission, const char *id, struct timespec now)
{
	memory_end_hold(admission->memory, id);
	admission_cancel_hold_users(admission, id);
	admission_advance(admission, now);
}

/* Reports that the upstream has freed the blocks of a released hold. */
void
admission_on_hold_freed(
    struct admission *admission, const char *id, struct timespec now)
{
	memory_on_hold_freed(admission->memory, id);
	admission_advance(admission, now);
}

/*
 * Fetches the next action, in the order in which they were queued. Returns
 * false if there is none. After a reject the job no longer exists.
 */
bool
admission_next_action(
    struct admission *admission, struct admission_action *action)
{
	struct pending_action *pending = TAILQ_FIRST(&admission->actions);

	if (pending == NULL)
		return false;
	TAILQ_REMOVE(&admission->actions, pending, entry);
	*action = pending->action;
	admission_job_free(pending->rejected);
	g_free(pending);
	return true;
}

/* Returns the earlier of two times, where zero means none. */
static struct timespec
earlier(struct timespec a, struct timespec b)
{
	if (!time_is_set(b))
		return a;
	return time_before(b, a) ? b : a;
}

/* Returns the time by which admission_tick() must be called. */
struct timespec
admission_next_wake(const struct admission *admission, struct timespec now)
{
	bool busy = admission->running_count > 0 ||
	    queue_count(admission->queue) > 0;
	struct timespec next = time_add_ms(now, busy ? TICK_MS : TICK_IDLE_MS);
	const struct admission_job *job;

	next = earlier(next, queue_next_deadline(admission->queue));
	next = earlier(next, memory_next_expiry(admission->memory));
	TAILQ_FOREACH (job, &admission->running, entry) {
		if (!job->cancelling)
			next = earlier(
			    next, admission_run_deadline(admission, job));
	}
	return next;
}
