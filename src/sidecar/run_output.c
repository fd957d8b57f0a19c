/*
 * Messages to entries: START, then CHUNKs as the window allows, then one final
 * answer.
 */
#include <string.h>

#include "base/invariant.h"
#include "base/metrics.h"
#include "sidecar/run.h"

#define LOG_MODULE "answer"
#include "base/log.h"

INVARIANT_DEFINE(one_answer, "sidecar_one_final_answer");
INVARIANT_DEFINE(truly_not_run, "sidecar_not_run_is_true");

METRIC_DEFINE(metric_rejects, METRIC_COUNTER,
    "heatherturn_sidecar_rejects_total", NULL,
    "Requests rejected before they were sent to the upstream.");
METRIC_DEFINE(metric_finishes, METRIC_COUNTER,
    "heatherturn_sidecar_finishes_total", NULL,
    "Final answers of requests sent to the upstream.");
METRIC_DEFINE(metric_lost, METRIC_COUNTER, "heatherturn_sidecar_lost_total",
    NULL, "Requests lost because the upstream died or stopped responding.");

/* Creates a message about a run; message_free() frees it. */
static struct message *
make_message(const struct run *run, uint32_t kind)
{
	struct message *message = g_new0(struct message, 1);

	message->kind = kind;
	message->attempt = run->attempt;
	g_strlcpy(message->request, run->request, sizeof(message->request));
	return message;
}

/*
 * Sends to the run's peer; on false the run waits for the link to become
 * writable.
 */
static bool
send_message(struct run *run, struct message *message)
{
	run->blocked = !run->runs->ops->send(
	    run->runs->data, run->peer, message);
	return !run->blocked;
}

/*
 * Pauses the upstream while too much of its response is unsent, and resumes it.
 */
static void
update_flow_control(struct run *run)
{
	size_t unsent = run->replay.unsent_bytes;

	if (run->call == NULL)
		return;
	if (run->is_upstream_paused)
		run->unpaused_since = runs_now(run->runs);
	if (!run->is_upstream_paused &&
	    unsent >= REPLAY_BUFFER_HIGH_WATER_BYTES) {
		run->is_upstream_paused = true;
		upstream_call_pause(run->call, true);
	} else if (run->is_upstream_paused &&
	    unsent < REPLAY_BUFFER_LOW_WATER_BYTES) {
		run->is_upstream_paused = false;
		upstream_call_pause(run->call, false);
	}
}

/* Sends one part; false if the link's send queue is full. */
static bool
send_part(struct run *run, const struct replay_part *part)
{
	struct message chunk = {.kind = MESSAGE_CHUNK,
	    .attempt = run->attempt,
	    .sequence = part->sequence,
	    .chunk = {.tokens = part->tokens,
		.data = {.data = part->data, .length = part->length}}};

	g_strlcpy(chunk.request, run->request, sizeof(chunk.request));
	if (!send_message(run, &chunk))
		return false;
	replay_buffer_mark_sent(&run->replay);
	return true;
}

/* Sends all pending messages that the run's peer can accept. */
void
run_flush(struct run *run)
{
	const struct replay_part *part;

	if (run->peer == NULL || run->blocked)
		goto out;
	if (run->start != NULL) {
		if (!send_message(run, run->start))
			goto out;
		message_free(run->start);
		run->start = NULL;
	}
	while ((part = replay_buffer_peek(&run->replay)) != NULL) {
		if (!send_part(run, part))
			goto out;
	}
	if (run->answer != NULL && !run->answer_sent &&
	    replay_buffer_is_sent(&run->replay))
		run->answer_sent = send_message(run, run->answer);
	if (run->answer_sent)
		run_set_peer(run, NULL);
out:
	update_flow_control(run);
}

/*
 * Creates the START, which reports that the run was sent to the upstream.
 * run_flush() sends it.
 */
void
run_queue_start(struct run *run, int64_t queued_ms)
{
	run->start = make_message(run, MESSAGE_START);
	run->start->start.queued_ms = (uint32_t)queued_ms;
	run->start->start.cached_tokens = run->cached_tokens;
}

/*
 * Sets the run's final answer and sends it if possible. An answer that is still
 * unsent is replaced, e.g. at the deadline; one that was sent never is.
 */
static void
set_answer(struct run *run, struct message *answer)
{
	invariant_check(&one_answer, !run->answer_sent, NULL, NULL);
	message_free(run->answer);
	run->answer = answer;
	run_flush(run);
}

/* Rejects a run that was not sent to the upstream. */
void
run_reject(struct run *run, enum reject_reason reason, int64_t retry_after_ms,
    const char *text)
{
	struct message *answer = make_message(run, MESSAGE_REJECT);

	invariant_check(&truly_not_run, !run->reached_upstream, NULL, NULL);
	metric_add(&metric_rejects, 1);
	answer->reject.reason = reason;
	answer->reject.retry_after_ms = (uint32_t)MAX(retry_after_ms, 0);
	answer->reject.text = g_strdup(text);
	run->state = RUN_ENDED;
	run->ended_at = runs_now(run->runs);
	set_answer(run, answer);
}

/* Rejects a message for which there is no run. */
void
runs_reply_reject(struct runs *runs, void *peer, const struct message *message,
    enum reject_reason reason, int64_t retry_after_ms, const char *text)
{
	struct message answer = {
	    .kind = MESSAGE_REJECT, .attempt = message->attempt};

	metric_add(&metric_rejects, 1);
	LOG_INFO("admission", "{s:s, s:i, s:s, s:s, s:I, s:s}", "request",
	    message->request, "attempt", (int)message->attempt, "verdict",
	    "reject", "reason", reject_reason_name(reason), "retry_after_ms",
	    (json_int_t)retry_after_ms, "why", text);
	g_strlcpy(answer.request, message->request, sizeof(answer.request));
	answer.reject.reason = reason;
	answer.reject.retry_after_ms = (uint32_t)retry_after_ms;
	answer.reject.text = (char *)text;
	runs->ops->send(runs->data, peer, &answer);
}

/* Answers a message with an unknown outcome: the run is no longer kept here. */
void
runs_reply_lost(struct runs *runs, void *peer, const struct message *message,
    const char *text)
{
	struct message answer = {
	    .kind = MESSAGE_FINISH, .attempt = message->attempt};

	LOG_WARN("outcome unknown", "{s:s, s:i, s:s}", "request",
	    message->request, "attempt", (int)message->attempt, "why", text);
	g_strlcpy(answer.request, message->request, sizeof(answer.request));
	answer.finish.outcome = FINISH_LOST;
	answer.finish.text = (char *)text;
	answer.finish.content_type = (char *)"";
	answer.finish.kv = (char *)"";
	runs->ops->send(runs->data, peer, &answer);
}

/* Copies the upstream's end of a run into its final answer. */
static void
copy_end(struct message_finish *finish, const struct upstream_end *end)
{
	finish->status = (uint32_t)end->status;
	finish->content_type = g_strdup(end->content_type);
	finish->prompt_tokens = end->prompt_tokens;
	finish->output_tokens = end->output_tokens;
	finish->cached_tokens = end->cached_tokens;
}

/*
 * Sets the final answer of a run that was started. not_run is true only if the
 * upstream has provably not run it; end and text may be NULL.
 */
void
run_finish(struct run *run, enum finish_outcome outcome, bool not_run,
    const struct upstream_end *end, const char *text)
{
	struct message *answer = make_message(run, MESSAGE_FINISH);
	struct message_finish *finish = &answer->finish;

	metric_add(&metric_finishes, 1);
	metric_add(&metric_lost, outcome == FINISH_LOST);
	if (end != NULL)
		copy_end(finish, end);
	finish->outcome = outcome;
	finish->not_run = not_run;
	if (finish->content_type == NULL)
		finish->content_type = g_strdup("");
	finish->text = g_strdup(text != NULL ? text : "");
	finish->kv = run->work == WORK_SHARD && outcome == FINISH_OK
	    ? g_strdup_printf("%s@%s", run->id, run->runs->upstream_address)
	    : g_strdup("");
	LOG_INFO("finished", "{s:s, s:i, s:s, s:b, s:I, s:I, s:I, s:s}",
	    "request", run->request, "attempt", (int)run->attempt, "outcome",
	    finish_outcome_name(outcome), "not_run", not_run, "output_tokens",
	    (json_int_t)finish->output_tokens, "cached_tokens",
	    (json_int_t)finish->cached_tokens, "ran_ms",
	    (json_int_t)time_diff_ms(runs_now(run->runs), run->started_at),
	    "detail", finish->text);
	set_answer(run, answer);
}
