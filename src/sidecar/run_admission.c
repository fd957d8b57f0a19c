/* Executes the decisions of the admission core. */
#include "base/invariant.h"
#include "base/metrics.h"
#include "sidecar/run.h"

#define LOG_MODULE "admission"
#include "base/log.h"

INVARIANT_DEFINE(latest, "sidecar_only_latest_attempt_starts");
INVARIANT_DEFINE(no_start, "sidecar_draining_starts_nothing");

METRIC_DEFINE(metric_starts, METRIC_COUNTER, "heatherturn_sidecar_starts_total",
    NULL, "Requests sent to the upstream.");
METRIC_DEFINE(metric_queued_ms, METRIC_HISTOGRAM,
    "heatherturn_sidecar_queued_ms", NULL, "Time from submit to start.");

/* Logs a decision. */
static void
log_decision(const struct run *run, const char *verdict, const char *reason,
    int64_t queued_ms, int64_t retry_after_ms)
{
	const struct message_submit *submit = &run->submit->submit;
	const struct admission_probe probe = {
	    .organisation = submit->organisation,
	    .weight = 1,
	    .class = submit->class};
	struct admission_offer load;

	if (!log_enabled(LOG_LEVEL_INFO))
		return;
	admission_estimate(
	    run->runs->admission, &probe, runs_now(run->runs), &load);
	LOG_INFO("admission",
	    "{s:s, s:i, s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:b,"
	    " s:i, s:i, s:i, s:I}",
	    "request", run->request, "attempt", (int)run->attempt, "verdict",
	    verdict, "reason", reason, "organisation", submit->organisation,
	    "work", work_kind_name(run->work), "class",
	    work_class_name(submit->class), "prompt_tokens",
	    (json_int_t)submit->prompt_tokens, "cached_tokens",
	    (json_int_t)run->cached_tokens, "queued_ms", (json_int_t)queued_ms,
	    "retry_after_ms", (json_int_t)retry_after_ms, "remaining_ms",
	    (json_int_t)time_diff_ms(run->deadline, runs_now(run->runs)),
	    "suspect", run->suspect, "running", (int)load.running, "queued",
	    (int)load.queued, "limit", (int)load.limit, "free_tokens",
	    (json_int_t)load.free_tokens);
}

/* Starts a run at the upstream. */
static void
start_run(struct run *run, const struct admission_action *action)
{
	struct runs *runs = run->runs;

	invariant_check(&latest,
	    g_hash_table_lookup(runs->table, run->key) == run, NULL, NULL);
	invariant_check(&no_start, !runs->draining, NULL, NULL);
	if (runs->ops->before_start != NULL)
		runs->ops->before_start(runs->data);
	/* The process may have been suspended since the decision. */
	if (!time_before(runs_now(runs), run->deadline)) {
		log_decision(run, "reject", "expired", action->queued_ms, 0);
		run_reject(run, REJECT_EXPIRED, 0, "deadline exceeded");
		run_set_ended(run, ADMISSION_CANCELLED);
		return;
	}
	metric_add(&metric_starts, 1);
	metric_observe(&metric_queued_ms, action->queued_ms);
	log_decision(run, "start", "", action->queued_ms, 0);
	run_start(run, action->priority);
	if (!run->adopted)
		run_queue_start(run, action->queued_ms);
	run_flush(run);
}

/*
 * Rejects a run. An adopted run already runs at the engine, so it is reported
 * as lost and cancelled there.
 */
static void
reject_run(struct run *run, const struct admission_action *action)
{
	const char *reason = reject_reason_name(action->reason);

	run->job = 0;
	log_decision(run, "reject", reason, 0, action->retry_after_ms);
	if (run->adopted) {
		run_finish(run, FINISH_LOST, false, NULL,
		    "could not be adopted from an earlier process");
		run_cancel_at_upstream(run);
		return;
	}
	run_reject(run, action->reason, action->retry_after_ms, reason);
}

/* Sends the final answer of a cancelled run and cancels it at the upstream. */
static void
cancel_run(struct run *run, const struct admission_action *action)
{
	static const struct {
		enum finish_outcome outcome;
		const char *text;
	} answers[] = {
	    [ADMISSION_CANCEL_REQUESTED] = {FINISH_CANCELLED, "cancelled"},
	    [ADMISSION_CANCEL_EXPIRED] = {FINISH_EXPIRED,
		"deadline exceeded while running"},
	    [ADMISSION_CANCEL_SUPERSEDED] = {FINISH_CANCELLED,
		"superseded by a later attempt"},
	    [ADMISSION_CANCEL_HOLD_ENDED] = {FINISH_CANCELLED,
		"its group was cancelled"},
	};
	bool sent;

	/*
	 * A lost run has its final answer; only its deletion at the engine is
	 * pending.
	 */
	if (run->state != RUN_RUNNING)
		return;
	log_decision(run, "cancel", answers[action->cancel_reason].text, 0, 0);
	sent = run_drop_call(run);
	replay_buffer_clear(&run->replay);
	run_finish(run, answers[action->cancel_reason].outcome, !sent, NULL,
	    answers[action->cancel_reason].text);
	run_cancel_at_upstream(run);
}

/* Executes one action. */
static void
carry_out(struct runs *runs, const struct admission_action *action)
{
	switch (action->kind) {
	case ADMISSION_START:
		start_run(action->owner, action);
		break;
	case ADMISSION_REJECT:
		reject_run(action->owner, action);
		break;
	case ADMISSION_CANCEL:
		cancel_run(action->owner, action);
		break;
	case ADMISSION_RELEASE:
		block_table_release(runs->block_table, action->hold);
		break;
	}
}

/*
 * Executes all pending decisions. An action may cause further decisions; nested
 * calls leave these to the outermost one.
 */
void
runs_dispatch(struct runs *runs)
{
	struct admission_action action;

	if (runs->dispatching)
		return;
	runs->dispatching = true;
	while (admission_next_action(runs->admission, &action))
		carry_out(runs, &action);
	runs->dispatching = false;
}

/*
 * Marks a run as no longer at the upstream and reports it to the admission
 * core, once.
 */
void
run_set_ended(struct run *run, enum admission_outcome outcome)
{
	struct runs *runs = run->runs;
	uint64_t job = run->job;

	run->state = RUN_ENDED;
	run->ended_at = runs_now(runs);
	run->job = 0;
	if (job != 0)
		admission_on_finished(
		    runs->admission, job, outcome, runs_now(runs));
	runs_dispatch(runs);
}
