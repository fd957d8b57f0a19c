#include "base/invariant.h"
#include "base/metrics.h"
#include "entry/job_state.h"

#define LOG_MODULE "job"
#include "base/log.h"

/* Timeout for a sidecar to answer a resume. */
#define RESUME_TIMEOUT_MS 2500
/* Interval of resumes while a sidecar can't be reached. */
#define RESUME_RETRY_MS 250
/* Total time for resumes: the sidecar may be restarting. */
#define RESUME_TOTAL_MS 3000

INVARIANT_DEFINE(chunks_in_order, "answer_whole_and_in_order");
METRIC_DEFINE(retries, METRIC_COUNTER, "heatherturn_retries", NULL,
    "attempts after the first that were sent because one was lost");
METRIC_DEFINE(retries_denied, METRIC_COUNTER, "heatherturn_retries_denied",
    NULL, "retries that the budget did not allow");
METRIC_DEFINE(resumes, METRIC_COUNTER, "heatherturn_resumes", NULL,
    "streams taken up again on another link");
METRIC_DEFINE(stale_frames, METRIC_COUNTER, "heatherturn_old_frames", NULL,
    "frames of an older attempt or of a chunk already taken");

/*
 * Probes again after an attempt was lost, or fails the job if it may not be
 * repeated or the budget is used up.
 */
void
job_retry(struct job *job, const char *why)
{
	bool begun = job->sequence > 0;

	job->earlier_attempt_may_have_run = true;
	job_send_cancel(job, "lost");
	job->attempt_may_have_run = false;
	job_clear_attempt(job);
	if (!job->spec.repeatable) {
		job_fail_lost(job, why);
		return;
	}
	if (begun && !job->ops->restart(job->data)) {
		job_fail_lost(job, why);
		return;
	}
	if (!job_check_drain(job))
		return;
	if (!retry_budget_take(
		dispatch_retry_budget(job->dispatch, job->spec.service))) {
		metric_add(&retries_denied, 1);
		job_fail_lost(job, "retry budget is used up");
		return;
	}
	metric_add(&retries, 1);
	LOG_INFO("request retried", "{s:s, s:i, s:s}", "request",
	    job->exchange.request, "attempt", (int)job->exchange.attempt, "why",
	    why);
	job->probe_rounds = 0;
	job_probe_candidates(job);
}

/* Resumes the attempt on a new link to the same sidecar. */
void
job_send_resume(struct job *job)
{
	struct message message = job_make_message(job, MESSAGE_RESUME);

	metric_add(&resumes, 1);
	if (!time_is_set(job->resume_until))
		job->resume_until = time_add_ms(job_now(job), RESUME_TOTAL_MS);
	job_set_link(
	    job, mesh_get_link(dispatch_mesh(job->dispatch), job->address));
	message.resume = (struct message_resume){
	    .organisation = (char *)job->spec.organisation,
	    .after = job->sequence,
	    .window_bytes = JOB_WINDOW_BYTES,
	};
	job->unreported_bytes = 0;
	if (job->link == NULL || !link_send(job->link, &message)) {
		job_retry(job, "sidecar can't be reached");
		return;
	}
	job_enter_phase(job, PHASE_RESUMING, RESUME_TIMEOUT_MS);
}

/* Handles a reject: the attempt has not run and will not. */
static void
on_reject(struct job *job, const struct message_reject *reject)
{
	bool resumed = job->phase == PHASE_RESUMING;

	if (job->phase == PHASE_PROBING || job->phase == PHASE_RUNNING)
		return;
	if (resumed && job->spec.work != WORK_CALL) {
		job_retry(job, "sidecar no longer has the run");
		return;
	}
	if (resumed && link_peer(job->link) != NULL &&
	    link_peer(job->link)->incarnation != job->incarnation) {
		job_fail_lost(job, "sidecar restarted while it had the call");
		return;
	}
	LOG_INFO("upstream refused", "{s:s, s:s, s:s, s:i}", "request",
	    job->exchange.request, "upstream", job->exchange.upstream, "reason",
	    reject_reason_name(reject->reason), "attempt",
	    (int)job->exchange.attempt);
	job->attempt_may_have_run = false;
	job_clear_attempt(job);
	if (reject->reason == REJECT_QUARANTINED) {
		job_fail(job, CALLER_ERROR_QUARANTINED,
		    "requests with the same content have crashed upstreams");
		return;
	}
	if (reject->reason == REJECT_EXPIRED) {
		job_fail_expired(job);
		return;
	}
	job_record_rejection(job, reject->retry_after_ms);
	job_probe_candidates(job);
}

/* Handles a start: the upstream has the request. */
static void
on_start(struct job *job)
{
	if (job->phase != PHASE_SENT && job->phase != PHASE_RESUMING)
		return;
	job_enter_phase(job, PHASE_RUNNING, 0);
	job->ops->started(job->data);
}

/* Handles a chunk of the answer; each is passed on once, in order. */
static void
on_chunk(struct job *job, const struct message *message)
{
	const struct message_chunk *chunk = &message->chunk;

	if (message->sequence <= job->sequence) {
		metric_add(&stale_frames, 1);
		return;
	}
	invariant_check(&chunks_in_order,
	    message->sequence == job->sequence + 1, job_dump, job);
	if (message->sequence != job->sequence + 1) {
		job_retry(job, "a chunk of the answer is missing");
		return;
	}
	if (job->phase != PHASE_RUNNING)
		job_enter_phase(job, PHASE_RUNNING, 0);
	job->sequence = message->sequence;
	if (job->spec.streamed)
		job_release_body(job);
	job->ops->chunk(job->data, message->sequence, chunk->data.data,
	    chunk->data.length, chunk->tokens);
}

/* Handles the end of a run that failed: retries or fails the job. */
static void
on_failed_finish(struct job *job, const struct message_finish *finish)
{
	switch (finish->outcome) {
	case FINISH_LOST:
		if (finish->not_run) {
			job->attempt_may_have_run = false;
			job_clear_attempt(job);
			job_record_rejection(job, 0);
			job_probe_candidates(job);
			return;
		}
		job->suspect = job->spec.work != WORK_CALL;
		job_retry(job, "upstream died or went silent");
		return;
	case FINISH_EXPIRED:
	case FINISH_CANCELLED:
		job_fail_expired(job);
		return;
	default:
		job_fail(job, CALLER_ERROR_UPSTREAM_FAILED, finish->text);
		return;
	}
}

/* Handles the end of a run. */
static void
on_finish(struct job *job, const struct message *message)
{
	const struct message_finish *finish = &message->finish;

	if (finish->outcome != FINISH_OK) {
		on_failed_finish(job, finish);
		return;
	}
	job_check_final_time(job);
	retry_budget_add_success(
	    dispatch_retry_budget(job->dispatch, job->spec.service));
	if (time_is_set(job->started_at))
		duration_add(dispatch_duration(job->dispatch, job->spec.service,
				 job->spec.class),
		    time_diff_ms(job_now(job), job->started_at));
	LOG_INFO("request finished", "{s:s, s:s, s:i, s:I, s:I}", "request",
	    job->exchange.request, "upstream", job->exchange.upstream,
	    "attempt", (int)job->exchange.attempt, "output_tokens",
	    (json_int_t)finish->output_tokens, "cached_tokens",
	    (json_int_t)finish->cached_tokens);
	job->ops->finished(job->data, finish);
	job_free(job);
}

/* Handles a message; those of another attempt or upstream are dropped. */
void
job_on_message(struct dispatch_exchange *exchange, struct link *link,
    const struct message *message)
{
	struct job *job = (struct job *)exchange;

	if (message->kind == MESSAGE_OFFER) {
		job_on_offer(job, link, message);
		return;
	}
	if (message->attempt != job->exchange.attempt || link != job->link ||
	    job->phase == PHASE_PROBING) {
		metric_add(&stale_frames, 1);
		return;
	}
	if (link_peer(link) != NULL && job->phase == PHASE_SENT)
		job->incarnation = link_peer(link)->incarnation;
	switch (message->kind) {
	case MESSAGE_REJECT:
		on_reject(job, &message->reject);
		break;
	case MESSAGE_START:
		on_start(job);
		break;
	case MESSAGE_CHUNK:
		on_chunk(job, message);
		break;
	case MESSAGE_FINISH:
		on_finish(job, message);
		break;
	default:
		break;
	}
}

/*
 * Returns whether to wait for a sidecar that can't be reached: a stream that
 * has begun can't be restarted, and a restarted sidecar takes over its run.
 */
static bool
should_wait_for_sidecar(const struct job *job)
{
	return job->spec.work == WORK_GENERATE && job->sequence > 0 &&
	    time_before(job_now(job), job->resume_until);
}

/* Handles a lost link: of a candidate, or of the attempt. */
void
job_on_link_lost(struct dispatch_exchange *exchange, struct link *link)
{
	struct job *job = (struct job *)exchange;
	struct job_candidate *candidate = job_find_candidate(job, link);

	if (job->phase == PHASE_PROBING) {
		if (candidate == NULL)
			return;
		router_record_failure(dispatch_router(job->dispatch),
		    candidate->upstream, job_now(job));
		candidate->answered = true;
		candidate->link = NULL;
		g_hash_table_add(job->tried, g_strdup(candidate->upstream));
		job_evaluate_offers(job);
		return;
	}
	if (link != job->link)
		return;
	job->link = NULL;
	router_record_failure(dispatch_router(job->dispatch),
	    job->exchange.upstream, job_now(job));
	if (job->phase == PHASE_RESUMING && should_wait_for_sidecar(job))
		job_enter_phase(job, PHASE_RESUMING, RESUME_RETRY_MS);
	else if (job->phase == PHASE_RESUMING)
		job_retry(job, "sidecar can't be reached");
	else if (job->sequence == 0 && job->spec.repeatable)
		job_retry(job, "link lost before the answer began");
	else
		job_send_resume(job);
}
