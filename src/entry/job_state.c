#include "entry/job_state.h"

#include <string.h>

#include "base/invariant.h"

#define LOG_MODULE "job"
#include "base/log.h"

/* A call's sidecar gets this long past the deadline to say what happened. */
#define VERDICT_MS 120
/* How late a final answer may be, past the deadline. */
#define FINAL_SLACK_MS 250

INVARIANT_DEFINE(not_run_true, "not_run_is_true");
INVARIANT_DEFINE(final_in_time, "final_answer_in_time");

/* Returns the present time. */
struct timespec
job_now(const struct job *job)
{
	return clock_monotonic(dispatch_clock(job->dispatch));
}

/* Returns how many milliseconds are left to the deadline, 0 where none are. */
int64_t
job_remaining_ms(const struct job *job)
{
	return MAX(time_diff_ms(job->spec.deadline, job_now(job)), 0);
}

/* Returns when the job's own time ends: a call waits for its verdict. */
struct timespec
job_last_moment(const struct job *job)
{
	if (job->spec.work == WORK_CALL && job->in_doubt)
		return time_add_ms(job->spec.deadline, VERDICT_MS);
	return job->spec.deadline;
}

/* Sets the timer for the phase's end or the deadline, whichever is first. */
void
job_set_timer(struct job *job)
{
	struct ev_loop *loop = dispatch_loop(job->dispatch);
	struct timespec end = job_last_moment(job);
	int64_t us;

	if (time_is_set(job->phase_end) && time_before(job->phase_end, end))
		end = job->phase_end;
	us = MAX(time_diff_us(end, job_now(job)), 0);
	ev_timer_stop(loop, &job->timer);
	ev_timer_set(&job->timer, (double)us / 1e6, 0);
	ev_timer_start(loop, &job->timer);
}

/* Enters a phase that may last for so long; 0 for as long as the deadline. */
void
job_enter(struct job *job, enum job_phase phase, int64_t ms)
{
	job->phase = phase;
	if (phase == PHASE_RUNNING)
		job->resume_until = (struct timespec){0};
	job->phase_end = ms > 0 ? time_add_ms(job_now(job), ms)
				: (struct timespec){0};
	job_set_timer(job);
}

/* Forgets the candidates of a round. */
void
job_drop_candidates(struct job *job)
{
	for (size_t i = 0; i < job->candidate_count; i++) {
		g_free(job->candidates[i].upstream);
		g_free(job->candidates[i].address);
	}
	memset(job->candidates, 0, sizeof(job->candidates));
	job->candidate_count = 0;
}

/* Goes over to a link, which is kept from idling while it is waited on. */
void
job_use_link(struct job *job, struct link *link)
{
	if (link != NULL)
		link_add_user(link);
	if (job->link != NULL)
		link_remove_user(job->link);
	job->link = link;
}

/* Forgets the upstream of the attempt that ended. */
void
job_drop_attempt(struct job *job)
{
	if (job->exchange.upstream != NULL)
		router_note_done(
		    dispatch_router(job->dispatch), job->exchange.upstream);
	g_clear_pointer(&job->exchange.upstream, g_free);
	g_clear_pointer(&job->address, g_free);
	job_use_link(job, NULL);
}

/* Lets the body go once it can't be sent again. */
void
job_drop_body(struct job *job)
{
	if (job->spec.body != NULL)
		g_bytes_unref(job->spec.body);
	job->spec.body = NULL;
}

/* Frees a job that has given its last callback. */
void
job_free(struct job *job)
{
	ev_timer_stop(dispatch_loop(job->dispatch), &job->timer);
	dispatch_remove(job->dispatch, &job->exchange);
	job_drop_candidates(job);
	job_drop_attempt(job);
	g_hash_table_unref(job->tried);
	job_drop_body(job);
	g_strfreev(job->strings);
	g_free(job->prefixes);
	g_free(job);
}

/* Starts a message about this job's present attempt. */
struct message
job_message(const struct job *job, enum message_kind kind)
{
	struct message message = {
	    .kind = kind,
	    .attempt = job->exchange.attempt,
	};

	g_strlcpy(
	    message.request, job->exchange.request, sizeof(message.request));
	return message;
}

/* Writes a job's state for an invariant's report. */
void
job_dump(const void *state, GString *out)
{
	const struct job *job = state;

	g_string_append_printf(out,
	    "request %s attempt %u phase %d upstream %s sequence "
	    "%" G_GUINT64_FORMAT
	    " in_doubt %d sent_before %d remaining %" G_GINT64_FORMAT " ms",
	    job->exchange.request, job->exchange.attempt, job->phase,
	    job->exchange.upstream != NULL ? job->exchange.upstream : "-",
	    job->sequence, job->in_doubt, job->sent_before,
	    job_remaining_ms(job));
}

/* Keeps the soonest time at which a refusal said to come back. */
void
job_note_refusal(struct job *job, uint32_t retry_after_ms)
{
	int64_t after = retry_after_ms > 0 ? retry_after_ms
					   : RETRY_AFTER_DEFAULT_MS;

	if (job->refusals++ == 0 || after < job->retry_after_ms)
		job->retry_after_ms = after;
}

/* Checks that the end comes within the time that was promised. */
void
job_check_end(const struct job *job)
{
	int64_t late = time_diff_ms(job_now(job), job->spec.deadline);

	invariant_check(&final_in_time,
	    late <= FINAL_SLACK_MS + dispatch_stalled_ms(job->dispatch),
	    job_dump, job);
}

/* Tells the sidecar that nobody waits for the attempt any more. */
void
job_send_cancel(struct job *job, const char *reason)
{
	struct message message = job_message(job, MESSAGE_CANCEL);

	if (job->address == NULL || !job->in_doubt)
		return;
	message.cancel.reason = (char *)reason;
	mesh_send(dispatch_mesh(job->dispatch), job->address, &message);
}

/*
 * Ends the job with a failure. Where an attempt may have run, a code that says
 * "not run" is never given: the caller of job_fail() has to choose one that is
 * true.
 */
void
job_fail(struct job *job, enum caller_error code, const char *why)
{
	int64_t retry_after = job->retry_after_ms;
	bool may_have_run = job->in_doubt || job->sent_before;

	if (may_have_run)
		invariant_check(&not_run_true,
		    strcmp(failure_outcome(code), "not-run") != 0, job_dump,
		    job);
	job_check_end(job);
	LOG_INFO("request failed", "{s:s, s:s, s:s, s:i, s:I}", "request",
	    job->exchange.request, "code", failure_code(code), "why", why,
	    "attempt", (int)job->exchange.attempt, "retry_after_ms",
	    (json_int_t)retry_after);
	job->ops->failed(job->data, code, retry_after, why);
	job_free(job);
}

/* Ends a job whose last attempt gave no answer and can't be tried again. */
void
job_fail_lost(struct job *job, const char *why)
{
	if (job->spec.work == WORK_CALL)
		job_fail(job, CALLER_ERROR_OUTCOME_UNKNOWN, why);
	else
		job_fail(job, CALLER_ERROR_LOST, why);
}

/* Ends a job for which no upstream is left to try. */
void
job_fail_untaken(struct job *job)
{
	if (job->sent_before) {
		job_fail_lost(job, "no other upstream can take it");
		return;
	}
	if (job->refusals > 0)
		job_fail(
		    job, CALLER_ERROR_BUSY, "no upstream can serve it in time");
	else
		job_fail(
		    job, CALLER_ERROR_NO_UPSTREAM, "no upstream is in service");
}

/* Ends a job at its deadline. */
void
job_fail_late(struct job *job)
{
	job_send_cancel(job, "deadline");
	if (!job->in_doubt && !job->sent_before)
		job_fail(
		    job, CALLER_ERROR_EXPIRED, "deadline passed before it ran");
	else if (job->spec.work == WORK_CALL)
		job_fail(job, CALLER_ERROR_OUTCOME_UNKNOWN,
		    "deadline passed after it was sent");
	else
		job_fail(job, CALLER_ERROR_DEADLINE, "deadline passed");
}
