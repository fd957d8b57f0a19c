/*
 * Updates an upstream's admission control to the current time: deadlines,
 * holds, signs of a cold start, jobs to start and jobs to drop.
 */
#include <string.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "policy/admission_state.h"

INVARIANT_DEFINE(accounted, "every_job_has_one_place");
INVARIANT_DEFINE(reserved, "running_memory_conserved");
INVARIANT_DEFINE(expired, "no_job_waits_past_deadline");

/* Requests the cancellation of a running job, once. */
void
admission_cancel_running(struct admission *admission, struct admission_job *job,
    enum admission_cancel_reason reason)
{
	struct pending_action *pending;

	if (job->cancelling)
		return;
	job->cancelling = true;
	pending = admission_push_action(admission, ADMISSION_CANCEL, job);
	pending->action.cancel_reason = reason;
}

/* Rejects queued jobs that are past their deadline or can no longer meet it. */
static void
reject_expired(struct admission *admission, struct timespec now)
{
	struct admission_job *job;

	while ((job = queue_find_unmeetable(
		    admission->queue, &admission->prefill, now)) != NULL)
		admission_reject_queued(admission, job,
		    time_before(now, job->deadline) ? REJECT_BUSY
						    : REJECT_EXPIRED,
		    now);
}

/* Returns the time at which a running job must be cancelled. */
struct timespec
admission_run_deadline(
    const struct admission *admission, const struct admission_job *job)
{
	struct timespec most;

	if (!job->suspect)
		return job->deadline;
	most = time_add_ms(
	    job->started_at, admission->limits.suspect_run_max_ms);
	return time_before(most, job->deadline) ? most : job->deadline;
}

/* Cancels running jobs that are past their time limit. */
static void
cancel_expired(struct admission *admission, struct timespec now)
{
	struct admission_job *job;

	TAILQ_FOREACH (job, &admission->running, entry) {
		if (!time_before(now, admission_run_deadline(admission, job)))
			admission_cancel_running(
			    admission, job, ADMISSION_CANCEL_EXPIRED);
	}
}

/* Cancels jobs that run under a hold that was released or has expired. */
void
admission_cancel_hold_users(struct admission *admission, const char *id)
{
	struct admission_job *job;

	TAILQ_FOREACH (job, &admission->running, entry) {
		if (strcmp(job->hold, id) == 0)
			admission_cancel_running(
			    admission, job, ADMISSION_CANCEL_HOLD_ENDED);
	}
}

/* Ends expired holds and releases those that no running job uses. */
static void
expire_holds(struct admission *admission, struct timespec now)
{
	struct pending_action *pending;
	const char *id;

	while ((id = memory_expire_hold(admission->memory, now)) != NULL)
		admission_cancel_hold_users(admission, id);
	while ((id = memory_next_release(admission->memory)) != NULL) {
		pending = admission_push_action(
		    admission, ADMISSION_RELEASE, NULL);
		g_strlcpy(
		    pending->action.hold, id, sizeof(pending->action.hold));
	}
}

/*
 * Treats a short request whose first token is far overdue as a sign of a cold
 * start.
 */
static void
check_overdue_shorts(struct admission *admission, struct timespec now)
{
	struct admission_job *job;

	if (admission->prefill.tokens_per_s == 0)
		return;
	TAILQ_FOREACH (job, &admission->running, entry) {
		if (job->state != ADMISSION_JOB_PREFILLING ||
		    job->class != WORK_SHORT || job->cancelling ||
		    job->overdue_reported ||
		    !ramp_is_overdue(&admission->ramp, job->expected_ms,
			time_diff_ms(now, job->started_at)))
			continue;
		job->overdue_reported = true;
		ramp_on_trigger(&admission->ramp, RAMP_TRIGGER_SLOW, now);
	}
}

/*
 * Reserves for long requests the share of the prefill speed that they need to
 * meet their targets.
 */
static void
update_long_share(struct admission *admission, struct timespec now)
{
	const struct prefill *prefill = &admission->prefill;
	uint64_t ahead = (uint64_t)prefill->long_remaining_tokens;
	const struct admission_job *job;
	double share = queue_long_share(admission->queue, prefill, ahead, now);

	TAILQ_FOREACH (job, &admission->running, entry) {
		if (job->class == WORK_LONG &&
		    job->state == ADMISSION_JOB_PREFILLING)
			share = MAX(share,
			    prefill_share(prefill, ahead,
				time_diff_ms(job->target, now)));
	}
	prefill_set_long_share(&admission->prefill, share, now);
}

/* Rejects jobs until the queue is within its bounds. */
static void
drop_excess(struct admission *admission, struct timespec now)
{
	struct admission_job *job;

	while ((job = queue_drop_candidate(
		    admission->queue, &admission->prefill, now)) != NULL)
		admission_reject_queued(admission, job, REJECT_BUSY, now);
}

/* Writes the counters for an invariant's report. */
static void
dump(const void *state, GString *out)
{
	const struct admission *admission = state;

	g_string_append_printf(out,
	    "submitted %" G_GUINT64_FORMAT " rejected %" G_GUINT64_FORMAT
	    " finished %" G_GUINT64_FORMAT " running %u queued %zu",
	    admission->submitted, admission->rejected, admission->finished,
	    admission->running_count, queue_count(admission->queue));
}

/* Checks the counters and the reserved memory against the jobs. */
static void
check(const struct admission *admission, struct timespec now)
{
	struct timespec next = queue_next_deadline(admission->queue);
	const struct admission_job *job;
	uint64_t tokens = 0;

	TAILQ_FOREACH (job, &admission->running, entry)
		tokens += job->reserved_tokens;
	invariant_check(&reserved, tokens == memory_reserved(admission->memory),
	    dump, admission);
	invariant_check(&accounted,
	    admission->submitted ==
		admission->rejected + admission->finished +
		    admission->running_count + queue_count(admission->queue),
	    dump, admission);
	invariant_check(&expired, !time_is_set(next) || time_before(now, next),
	    dump, admission);
}

/* Updates everything to the current time; called at the end of each event. */
void
admission_advance(struct admission *admission, struct timespec now)
{
	reject_expired(admission, now);
	cancel_expired(admission, now);
	expire_holds(admission, now);
	check_overdue_shorts(admission, now);
	update_long_share(admission, now);
	if (!admission->draining && !admission->down)
		schedule_start_jobs(admission, now);
	drop_excess(admission, now);
	check(admission, now);
}
