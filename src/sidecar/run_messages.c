/*
 * What entries say of requests, submits and probes left out.
 */
#include <string.h>

#include "sidecar/run.h"

#define LOG_MODULE "runs"
#include "base/log.h"

/* Finds the latest attempt of what a message is about; NULL for none. */
static struct run *
find(const struct runs *runs, const struct message *message)
{
	struct run *run = g_hash_table_lookup(runs->table, message->request);

	if (run == NULL || run->attempt != message->attempt)
		return NULL;
	return run;
}

/* An entry gives up a request with all its parts here. */
static void
take_cancel(struct runs *runs, const struct message *message)
{
	struct run *run, *next;
	bool found = false;

	TAILQ_FOREACH_SAFE (run, &runs->list, entry, next) {
		if (strcmp(run->request, message->request) != 0 ||
		    run->attempt > message->attempt)
			continue;
		found = true;
		if (run->job != 0)
			admission_cancel(
			    runs->admission, run->job, runs_now(runs));
	}
	/* A cancel that overtakes its submit keeps it from running. */
	if (!found)
		seen_note(runs->seen, message->request, message->attempt,
		    runs_now(runs), runs_now(runs));
}

/* An entry can take more chunks. */
static void
take_window(struct runs *runs, const void *peer, const struct message *message)
{
	struct run *run = find(runs, message);

	if (run == NULL || run->peer != peer)
		return;
	run->replay.window_bytes += message->window.bytes;
	run_flush(run);
}

/*
 * Says why a resume finds nothing. An attempt that has not come yet, because
 * its submit is held up somewhere, is refused from now on, so that the answer
 * stays true. A plain service's call that was run and forgotten is no reject.
 */
static void
refuse_resume(struct runs *runs, void *peer, const struct message *message)
{
	enum seen_verdict verdict = seen_note(runs->seen, message->request,
	    message->attempt, runs_now(runs), runs_now(runs));

	if (verdict == SEEN_REPEATED &&
	    seen_was_not_run(runs->seen, message->request))
		runs_reply_reject(runs, peer, message, REJECT_CANCELLED, 0,
		    "was never started");
	else if (verdict != SEEN_NEW && !upstream_has_runs(runs->upstream))
		runs_reply_lost(runs, peer, message, "its answer is gone");
	else
		runs_reply_reject(
		    runs, peer, message, REJECT_UNKNOWN, 0, "no such run");
}

/* Whether a run is what a resume asks for, and is still whole. */
static bool
can_resume(struct run *run, const struct message_resume *resume)
{
	const char *organisation = run->submit->submit.organisation;

	return strcmp(organisation, resume->organisation) == 0 &&
	    replay_rewind(&run->replay, resume->after, resume->window_bytes);
}

/* An entry takes a run over, maybe from another one. */
static void
take_resume(struct runs *runs, void *peer, const struct message *message)
{
	struct run *run = g_hash_table_lookup(runs->table, message->request);
	const struct message_resume *resume = &message->resume;

	if (run != NULL && message->attempt != 0 &&
	    message->attempt < run->attempt) {
		runs_reply_reject(runs, peer, message, REJECT_STALE, 0,
		    "a later attempt runs");
		return;
	}
	if (run == NULL || message->attempt > run->attempt ||
	    !can_resume(run, resume)) {
		if (!runs_adopt(runs, peer, message))
			refuse_resume(runs, peer, message);
		return;
	}
	LOG_INFO("run resumed", "{s:s, s:i, s:I}", "request", run->request,
	    "attempt", (int)run->attempt, "after", (json_int_t)resume->after);
	run_set_peer(run, peer);
	run->orphan_until = (struct timespec){0};
	run->answered = false;
	if (run->given && run->start == NULL)
		run_send_start(run, 0);
	run_flush(run);
}

/* An entry wants memory held for a group. */
static void
take_hold(struct runs *runs, void *peer, const struct message *message,
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
 * Takes a message from an entry. age_ms says how long ago it was sent, the time
 * that it or this process stood still included.
 */
void
runs_message(struct runs *runs, void *peer, const struct message *message,
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
		take_cancel(runs, message);
		break;
	case MESSAGE_RESUME:
		take_resume(runs, peer, message);
		break;
	case MESSAGE_WINDOW:
		take_window(runs, peer, message);
		break;
	case MESSAGE_HOLD:
		take_hold(runs, peer, message, age_ms);
		break;
	case MESSAGE_RELEASE:
		admission_release_hold(
		    runs->admission, message->request, runs_now(runs));
		break;
	default:
		return;
	}
	runs_pump(runs);
}
