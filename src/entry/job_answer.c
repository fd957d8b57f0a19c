#include "base/invariant.h"
#include "base/metrics.h"
#include "entry/job_state.h"

#define LOG_MODULE "job"
#include "base/log.h"

/* A resumed stream must be found again within this time. */
#define RESUME_MS 2500
/* A sidecar that can't be reached is looked for again after this. */
#define RESUME_AGAIN_MS 250
/* It may be being replaced, and is looked for as long as this in all. */
#define RESUME_WHOLE_MS 3000

INVARIANT_DEFINE(chunks_in_order, "answer_whole_and_in_order");
METRIC_DEFINE(retries, METRIC_COUNTER, "heatherturn_retries", NULL,
    "attempts after the first that were sent because one was lost");
METRIC_DEFINE(retries_denied, METRIC_COUNTER, "heatherturn_retries_denied",
    NULL, "retries that the budget did not allow");
METRIC_DEFINE(resumes, METRIC_COUNTER, "heatherturn_resumes", NULL,
    "streams taken up again on another link");
METRIC_DEFINE(old_frames, METRIC_COUNTER, "heatherturn_old_frames", NULL,
    "frames of an older attempt or of a chunk already taken");

/* Tries again elsewhere after an attempt was lost, where that is allowed. */
void
job_retry(struct job *job, const char *why)
{
	bool begun = job->sequence > 0;

	job->sent_before = true;
	job_send_cancel(job, "lost");
	job->in_doubt = false;
	job_drop_attempt(job);
	if (!job->spec.repeatable) {
		job_fail_lost(job, why);
		return;
	}
	if (begun && !job->ops->restart(job->data)) {
		job_fail_lost(job, why);
		return;
	}
	if (!retry_budget_take(
		dispatch_budget(job->dispatch, job->spec.service))) {
		metric_add(&retries_denied, 1);
		job_fail_lost(job, "retry budget is used up");
		return;
	}
	metric_add(&retries, 1);
	LOG_INFO("request retried", "{s:s, s:i, s:s}", "request",
	    job->exchange.request, "attempt", (int)job->exchange.attempt, "why",
	    why);
	job->rounds = 0;
	job_ask(job);
}

/* Looks for a running attempt again, on a fresh link to the same sidecar. */
void
job_seek(struct job *job)
{
	struct message message = job_message(job, MESSAGE_RESUME);

	metric_add(&resumes, 1);
	if (!time_is_set(job->resume_until))
		job->resume_until = time_add_ms(job_now(job), RESUME_WHOLE_MS);
	job_use_link(
	    job, mesh_get_link(dispatch_mesh(job->dispatch), job->address));
	message.resume = (struct message_resume){
	    .organisation = (char *)job->spec.organisation,
	    .after = job->sequence,
	    .window_bytes = JOB_WINDOW_BYTES,
	};
	job->unacknowledged = 0;
	if (job->link == NULL || !link_send(job->link, &message)) {
		job_retry(job, "sidecar can't be reached");
		return;
	}
	job_enter(job, PHASE_RESUMING, RESUME_MS);
}

/* Takes a reject: the attempt has not run and never will. */
static void
take_reject(struct job *job, const struct message_reject *reject)
{
	bool resumed = job->phase == PHASE_RESUMING;

	if (job->phase == PHASE_ASKING || job->phase == PHASE_RUNNING)
		return;
	if (resumed && job->spec.work != WORK_CALL) {
		job_retry(job, "sidecar has no such run");
		return;
	}
	if (resumed && link_peer(job->link) != NULL &&
	    link_peer(job->link)->incarnation != job->incarnation) {
		job_fail_lost(job, "sidecar started again meanwhile");
		return;
	}
	LOG_INFO("upstream refused", "{s:s, s:s, s:s, s:i}", "request",
	    job->exchange.request, "upstream", job->exchange.upstream, "reason",
	    reject_reason_name(reject->reason), "attempt",
	    (int)job->exchange.attempt);
	job->in_doubt = false;
	job_drop_attempt(job);
	if (reject->reason == REJECT_QUARANTINED) {
		job_fail(job, CALLER_ERROR_QUARANTINED,
		    "requests like this one have crashed their upstreams");
		return;
	}
	if (reject->reason == REJECT_EXPIRED) {
		job_fail_late(job);
		return;
	}
	job_note_refusal(job, reject->retry_after_ms);
	job_ask(job);
}

/* Takes the news that the upstream has the request. */
static void
take_start(struct job *job)
{
	if (job->phase != PHASE_SENT && job->phase != PHASE_RESUMING)
		return;
	job_enter(job, PHASE_RUNNING, 0);
	job->ops->started(job->data);
}

/* Takes a part of the answer, each once and in order. */
static void
take_chunk(struct job *job, const struct message *message)
{
	const struct message_chunk *chunk = &message->chunk;

	if (message->sequence <= job->sequence) {
		metric_add(&old_frames, 1);
		return;
	}
	invariant_check(&chunks_in_order,
	    message->sequence == job->sequence + 1, job_dump, job);
	if (message->sequence != job->sequence + 1) {
		job_retry(job, "a part of the answer is missing");
		return;
	}
	if (job->phase != PHASE_RUNNING)
		job_enter(job, PHASE_RUNNING, 0);
	job->sequence = message->sequence;
	if (job->spec.streamed)
		job_drop_body(job);
	job->ops->chunk(job->data, message->sequence, chunk->data.data,
	    chunk->data.length, chunk->tokens);
}

/* Maps how a run ended without an answer to what the caller is told. */
static void
take_bad_finish(struct job *job, const struct message_finish *finish)
{
	switch (finish->outcome) {
	case FINISH_LOST:
		if (finish->not_run) {
			job->in_doubt = false;
			job_drop_attempt(job);
			job_note_refusal(job, 0);
			job_ask(job);
			return;
		}
		job->suspect = job->spec.work != WORK_CALL;
		job_retry(job, "upstream died or went silent");
		return;
	case FINISH_EXPIRED:
	case FINISH_CANCELLED:
		job_fail_late(job);
		return;
	default:
		job_fail(job, CALLER_ERROR_UPSTREAM, finish->text);
		return;
	}
}

/* Takes the end of the answer. */
static void
take_finish(struct job *job, const struct message *message)
{
	const struct message_finish *finish = &message->finish;

	if (finish->outcome != FINISH_OK) {
		take_bad_finish(job, finish);
		return;
	}
	job_check_end(job);
	retry_budget_succeed(dispatch_budget(job->dispatch, job->spec.service));
	LOG_INFO("request finished", "{s:s, s:s, s:i, s:I, s:I}", "request",
	    job->exchange.request, "upstream", job->exchange.upstream,
	    "attempt", (int)job->exchange.attempt, "output_tokens",
	    (json_int_t)finish->output_tokens, "cached_tokens",
	    (json_int_t)finish->cached_tokens);
	job->ops->finished(job->data, finish);
	job_free(job);
}

/* Takes a message; those of another attempt or upstream are dropped. */
void
job_take_message(
    struct exchange *exchange, struct link *link, const struct message *message)
{
	struct job *job = (struct job *)exchange;

	if (message->kind == MESSAGE_OFFER) {
		job_take_offer(job, link, message);
		return;
	}
	if (message->attempt != job->exchange.attempt || link != job->link ||
	    job->phase == PHASE_ASKING) {
		metric_add(&old_frames, 1);
		return;
	}
	if (link_peer(link) != NULL && job->phase == PHASE_SENT)
		job->incarnation = link_peer(link)->incarnation;
	switch (message->kind) {
	case MESSAGE_REJECT:
		take_reject(job, &message->reject);
		break;
	case MESSAGE_START:
		take_start(job);
		break;
	case MESSAGE_CHUNK:
		take_chunk(job, message);
		break;
	case MESSAGE_FINISH:
		take_finish(job, message);
		break;
	default:
		break;
	}
}

/*
 * Whether a stream is worth looking for at a sidecar that can't be reached: one
 * that has begun can't begin again, and the next sidecar takes it up.
 */
static bool
is_worth_waiting(const struct job *job)
{
	return job->spec.work == WORK_GENERATE && job->sequence > 0 &&
	    time_before(job_now(job), job->resume_until);
}

/* Takes the loss of a link. */
void
job_take_lost(struct exchange *exchange, struct link *link)
{
	struct job *job = (struct job *)exchange;
	struct job_candidate *one = job_find_candidate(job, link);

	if (job->phase == PHASE_ASKING) {
		if (one == NULL)
			return;
		router_note_failure(dispatch_router(job->dispatch),
		    one->upstream, job_now(job));
		one->answered = true;
		one->link = NULL;
		g_hash_table_add(job->tried, g_strdup(one->upstream));
		job_weigh_answers(job);
		return;
	}
	if (link != job->link)
		return;
	job->link = NULL;
	router_note_failure(dispatch_router(job->dispatch),
	    job->exchange.upstream, job_now(job));
	if (job->phase == PHASE_RESUMING && is_worth_waiting(job))
		job_enter(job, PHASE_RESUMING, RESUME_AGAIN_MS);
	else if (job->phase == PHASE_RESUMING)
		job_retry(job, "sidecar can't be reached");
	else if (job->sequence == 0 && job->spec.repeatable)
		job_retry(job, "link lost before the answer began");
	else
		job_seek(job);
}
