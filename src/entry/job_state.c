#include "entry/job_state.h"

#include <string.h>

#include "base/invariant.h"

#define LOG_MODULE "job"
#include "base/log.h"

/* Time past the deadline for a sidecar to report the outcome of a call. */
#define CALL_OUTCOME_GRACE_MS 120
/* A final answer may be this late, counted from the deadline. */
#define FINAL_ANSWER_TOLERANCE_MS 250

INVARIANT_DEFINE(not_run_is_correct, "not_run_is_true");
INVARIANT_DEFINE(final_in_time, "final_answer_in_time");

struct timespec
job_now(const struct job *job)
{
	return clock_monotonic(dispatch_clock(job->dispatch));
}

/* Returns the milliseconds until the deadline, 0 after it. */
int64_t
job_remaining_ms(const struct job *job)
{
	return MAX(time_diff_ms(job->spec.deadline, job_now(job)), 0);
}

/*
 * Returns when the job fails at the latest: at its deadline, or later for a
 * call that was sent and whose outcome may still arrive.
 */
struct timespec
job_time_limit(const struct job *job)
{
	if (job->spec.work == WORK_CALL && job->attempt_may_have_run)
		return time_add_ms(job->spec.deadline, CALL_OUTCOME_GRACE_MS);
	return job->spec.deadline;
}

/* Sets the timer for the end of the phase or the time limit. */
void
job_set_timer(struct job *job)
{
	struct ev_loop *loop = dispatch_loop(job->dispatch);
	struct timespec end = job_time_limit(job);
	int64_t us;

	if (time_is_set(job->phase_end) && time_before(job->phase_end, end))
		end = job->phase_end;
	us = MAX(time_diff_us(end, job_now(job)), 0);
	ev_timer_stop(loop, &job->timer);
	ev_timer_set(&job->timer, (double)us / 1e6, 0);
	ev_timer_start(loop, &job->timer);
}

/* Enters a phase with a timeout; 0 for none but the deadline. */
void
job_enter_phase(struct job *job, enum job_phase phase, int64_t ms)
{
	job->phase = phase;
	if (phase == PHASE_RUNNING)
		job->resume_until = (struct timespec){0};
	job->phase_end = ms > 0 ? time_add_ms(job_now(job), ms)
				: (struct timespec){0};
	job_set_timer(job);
}

void
job_clear_candidates(struct job *job)
{
	for (size_t i = 0; i < job->candidate_count; i++) {
		g_free(job->candidates[i].upstream);
		g_free(job->candidates[i].address);
	}
	memset(job->candidates, 0, sizeof(job->candidates));
	job->candidate_count = 0;
}

/*
 * Sets the attempt's link. The job counts as a user of the link, so that it is
 * not closed as idle.
 */
void
job_set_link(struct job *job, struct link *link)
{
	if (link != NULL)
		link_add_user(link);
	if (job->link != NULL)
		link_remove_user(job->link);
	job->link = link;
}

/* Clears upstream, address and link of an attempt that has ended. */
void
job_clear_attempt(struct job *job)
{
	if (job->exchange.upstream != NULL)
		router_record_done(
		    dispatch_router(job->dispatch), job->exchange.upstream);
	g_clear_pointer(&job->exchange.upstream, g_free);
	g_clear_pointer(&job->address, g_free);
	job_set_link(job, NULL);
}

/* Releases the body, once it won't be sent again. */
void
job_release_body(struct job *job)
{
	if (job->spec.body != NULL)
		g_bytes_unref(job->spec.body);
	job->spec.body = NULL;
}

/* Frees a job without any callback. */
void
job_free(struct job *job)
{
	ev_timer_stop(dispatch_loop(job->dispatch), &job->timer);
	dispatch_remove_exchange(job->dispatch, &job->exchange);
	job_clear_candidates(job);
	job_clear_attempt(job);
	g_hash_table_unref(job->tried);
	job_release_body(job);
	g_strfreev(job->spec_strings);
	g_free(job->prefixes);
	g_free(job);
}

/* Returns a message with the header fields of the current attempt. */
struct message
job_make_message(const struct job *job, enum message_kind kind)
{
	struct message message = {
	    .kind = kind,
	    .attempt = job->exchange.attempt,
	};

	g_strlcpy(
	    message.request, job->exchange.request, sizeof(message.request));
	return message;
}

/* Writes a job's state, for the report of an invariant violation. */
void
job_dump(const void *state, GString *out)
{
	const struct job *job = state;

	g_string_append_printf(out,
	    "request %s attempt %u phase %d upstream %s sequence "
	    "%" G_GUINT64_FORMAT
	    " attempt_may_have_run %d earlier_attempt_may_have_run %d "
	    "remaining %" G_GINT64_FORMAT " ms",
	    job->exchange.request, job->exchange.attempt, job->phase,
	    job->exchange.upstream != NULL ? job->exchange.upstream : "-",
	    job->sequence, job->attempt_may_have_run,
	    job->earlier_attempt_may_have_run, job_remaining_ms(job));
}

/* Counts a rejection and keeps the shortest retry-after; 0 for default. */
void
job_record_rejection(struct job *job, uint32_t retry_after_ms)
{
	int64_t after = retry_after_ms > 0 ? retry_after_ms
					   : RETRY_AFTER_DEFAULT_MS;

	if (job->rejection_count++ == 0 || after < job->retry_after_ms)
		job->retry_after_ms = after;
}

/* Checks that the final answer is in time, apart from stalls. */
void
job_check_final_time(const struct job *job)
{
	int64_t late = time_diff_ms(job_now(job), job->spec.deadline);

	invariant_check(&final_in_time,
	    late <= FINAL_ANSWER_TOLERANCE_MS +
		    dispatch_recent_stall_ms(job->dispatch),
	    job_dump, job);
}

/* Sends a cancel to the sidecar, if the attempt may be running. */
void
job_send_cancel(struct job *job, const char *reason)
{
	struct message message = job_make_message(job, MESSAGE_CANCEL);

	if (job->address == NULL || !job->attempt_may_have_run)
		return;
	message.cancel.reason = (char *)reason;
	mesh_send(dispatch_mesh(job->dispatch), job->address, &message);
}

/*
 * Calls failed() and frees the job. Where an attempt may have run, the code
 * must not be one whose outcome is "not-run".
 */
void
job_fail(struct job *job, enum caller_error code, const char *why)
{
	int64_t retry_after = job->retry_after_ms;
	bool may_have_run = job->attempt_may_have_run ||
	    job->earlier_attempt_may_have_run;

	if (may_have_run)
		invariant_check(&not_run_is_correct,
		    strcmp(failure_outcome(code), "not-run") != 0, job_dump,
		    job);
	job_check_final_time(job);
	LOG_INFO("request failed", "{s:s, s:s, s:s, s:i, s:I}", "request",
	    job->exchange.request, "code", failure_code(code), "why", why,
	    "attempt", (int)job->exchange.attempt, "retry_after_ms",
	    (json_int_t)retry_after);
	job->ops->failed(job->data, code, retry_after, why);
	job_free(job);
}

/* Fails a job whose last attempt was lost and can't be retried. */
void
job_fail_lost(struct job *job, const char *why)
{
	if (job->spec.work == WORK_CALL)
		job_fail(job, CALLER_ERROR_OUTCOME_UNKNOWN, why);
	else
		job_fail(job, CALLER_ERROR_UPSTREAM_LOST, why);
}

/* Fails a job for which no upstream is left to try. */
void
job_fail_no_upstream(struct job *job)
{
	if (job->earlier_attempt_may_have_run) {
		job_fail_lost(job,
		    "attempt was lost and no other upstream accepted a retry");
		return;
	}
	if (job->rejection_count > 0)
		job_fail(job, CALLER_ERROR_BUSY,
		    "no upstream can serve the request in time");
	else
		job_fail(job, CALLER_ERROR_NO_UPSTREAM,
		    "no upstream of this service is in service");
}

/* Fails a job that can't be completed before this process exits. */
void
job_fail_exiting(struct job *job)
{
	if (job->attempt_may_have_run || job->earlier_attempt_may_have_run) {
		job_fail_lost(job, "this entry exits before the answer ends");
		return;
	}
	job->retry_after_ms = RETRY_AFTER_DRAINING_MS;
	job_fail(job, CALLER_ERROR_DRAINING, "this entry is shutting down");
}

/*
 * Returns whether the job may be sent to an upstream, by the time that this
 * process has left; otherwise fails it.
 */
bool
job_check_drain(struct job *job)
{
	const struct duration *duration = dispatch_duration(
	    job->dispatch, job->spec.service, job->spec.class);

	int64_t left_ms = job_remaining_ms(job);

	if (job->earlier_attempt_may_have_run
		? dispatch_may_repeat(job->dispatch, duration, left_ms)
		: dispatch_may_begin(
		      job->dispatch, job->spec.work, duration, left_ms))
		return true;
	job_fail_exiting(job);
	return false;
}

/* Fails a job at its deadline. */
void
job_fail_expired(struct job *job)
{
	job_send_cancel(job, "deadline");
	if (!job->attempt_may_have_run && !job->earlier_attempt_may_have_run)
		job_fail(job, CALLER_ERROR_DEADLINE_BEFORE_START,
		    "deadline passed before the request ran");
	else if (job->spec.work == WORK_CALL)
		job_fail(job, CALLER_ERROR_OUTCOME_UNKNOWN,
		    "deadline passed after the call was sent");
	else
		job_fail(job, CALLER_ERROR_DEADLINE, "deadline passed");
}
