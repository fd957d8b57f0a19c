/* Handles the messages of entries, except submits and probes. */
#include <string.h>

#include "sidecar/run.h"

#define LOG_MODULE "runs"
#include "base/log.h"

/* Finds the run of a message's attempt; NULL if it is not the latest one. */
static struct run *
find_run(const struct runs *runs, const struct message *message)
{
	struct run *run = g_hash_table_lookup(runs->table, message->request);

	if (run == NULL || run->attempt != message->attempt)
		return NULL;
	return run;
}

/* Keeps an attempt that has not arrived yet from running. */
static void
record_cancelled(
    struct runs *runs, const struct message *message, enum work_kind work)
{
	char key[REQUEST_ID_SIZE];

	runs_write_key(key, message->request, work);
	attempt_table_record(runs->attempts, key, message->attempt,
	    runs_now(runs), runs_now(runs));
}

/* Cancels an attempt and earlier ones of the request, with their shards. */
static void
on_cancel(struct runs *runs, const struct message *message)
{
	struct run *run, *next;

	TAILQ_FOREACH_SAFE (run, &runs->list, entry, next) {
		if (strcmp(run->request, message->request) == 0 &&
		    run->attempt <= message->attempt && run->job != 0)
			admission_cancel(
			    runs->admission, run->job, runs_now(runs));
	}
	record_cancelled(runs, message, WORK_GENERATE);
	record_cancelled(runs, message, WORK_SHARD);
}

/* Enlarges the flow control window of a run. */
static void
on_window(struct runs *runs, const void *peer, const struct message *message)
{
	struct run *run = find_run(runs, message);

	if (run == NULL || run->peer != peer)
		return;
	run->replay.window_bytes += message->window.bytes;
	run_flush(run);
}

/*
 * Answers a resume that finds no run. An attempt that has not arrived yet,
 * because its submit is delayed, is rejected from now on, so that this answer
 * remains correct. A plain service's call whose result is no longer kept has
 * run, so it is reported as lost, not rejected.
 */
static void
reject_resume(struct runs *runs, void *peer, const struct message *message)
{
	enum attempt_verdict verdict = attempt_table_record(runs->attempts,
	    message->request, message->attempt, runs_now(runs), runs_now(runs));

	if (verdict == ATTEMPT_DUPLICATE &&
	    attempt_table_is_not_run(runs->attempts, message->request))
		runs_reply_reject(runs, peer, message, REJECT_CANCELLED, 0,
		    "the attempt was never started");
	else if (verdict != ATTEMPT_LATEST &&
	    !upstream_has_runs(runs->upstream))
		runs_reply_lost(
		    runs, peer, message, "its answer is no longer kept");
	else
		runs_reply_reject(
		    runs, peer, message, REJECT_UNKNOWN, 0, "no such run");
}

/*
 * Returns whether a run belongs to the organisation and still has all parts
 * that the resume requests; rewinds it if so.
 */
static bool
can_resume(struct run *run, const struct message_resume *resume)
{
	const char *organisation = run->submit->submit.organisation;

	return strcmp(organisation, resume->organisation) == 0 &&
	    replay_buffer_rewind(
		&run->replay, resume->after, resume->window_bytes);
}

/*
 * Attaches a run to the entry that resumes it, which may be another one than
 * before.
 */
static void
on_resume(struct runs *runs, void *peer, const struct message *message)
{
	struct run *run = g_hash_table_lookup(runs->table, message->request);
	const struct message_resume *resume = &message->resume;

	if (run != NULL && message->attempt != 0 &&
	    message->attempt < run->attempt) {
		runs_reply_reject(runs, peer, message, REJECT_STALE, 0,
		    "a later attempt is running");
		return;
	}
	if (run == NULL || message->attempt > run->attempt ||
	    !can_resume(run, resume)) {
		if (!runs_adopt(runs, peer, message))
			reject_resume(runs, peer, message);
		return;
	}
	LOG_INFO("run resumed", "{s:s, s:i, s:I}", "request", run->request,
	    "attempt", (int)run->attempt, "after", (json_int_t)resume->after);
	run_set_peer(run, peer);
	run->orphan_deadline = (struct timespec){0};
	run->answer_sent = false;
	if (run->reached_upstream && run->start == NULL)
		run_queue_start(run, 0);
	run_flush(run);
}

/* Requests a hold on memory for a group from the admission core. */
static void
on_hold(struct runs *runs, void *peer, const struct message *message,
    int64_t age_ms)
{
	int64_t expires_ms = (int64_t)message->hold.expires_ms - age_ms;
	int64_t retry_after_ms = 0;
	struct message held = {
	    .kind = MESSAGE_HELD, .attempt = message->attempt};

	if (expires_ms > 0)
		held.held.granted = admission_hold(runs->admission,
		    message->request, message->hold.tokens, expires_ms,
		    &retry_after_ms, runs_now(runs));
	held.held.retry_after_ms = (uint32_t)retry_after_ms;
	g_strlcpy(held.request, message->request, sizeof(held.request));
	LOG_INFO("hold", "{s:s, s:I, s:b, s:I}", "request", message->request,
	    "tokens", (json_int_t)message->hold.tokens, "granted",
	    held.held.granted, "retry_after_ms", (json_int_t)retry_after_ms);
	runs->ops->send(runs->data, peer, &held);
}

/*
 * Handles a message from an entry. age_ms is the time since it was sent,
 * including time in which the message was delayed or this process was
 * suspended.
 */
void
runs_on_message(struct runs *runs, void *peer, const struct message *message,
    int64_t age_ms)
{
	switch (message->kind) {
	case MESSAGE_PROBE:
		runs_probe(runs, peer, message, age_ms);
		break;
	case MESSAGE_SUBMIT:
		runs_submit(runs, peer, message, age_ms);
		break;
	case MESSAGE_CANCEL:
		on_cancel(runs, message);
		break;
	case MESSAGE_RESUME:
		on_resume(runs, peer, message);
		break;
	case MESSAGE_WINDOW:
		on_window(runs, peer, message);
		break;
	case MESSAGE_HOLD:
		on_hold(runs, peer, message, age_ms);
		break;
	case MESSAGE_RELEASE:
		admission_release_hold(
		    runs->admission, message->request, runs_now(runs));
		break;
	default:
		return;
	}
	runs_dispatch(runs);
}
