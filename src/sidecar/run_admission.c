/*
 * Carries out what the admission core decides.
 */
#include "base/invariant.h"
#include "base/metrics.h"
#include "sidecar/run.h"

#define LOG_MODULE "admission"
#include "base/log.h"

INVARIANT_DEFINE(latest, "sidecar_only_latest_attempt_starts");
INVARIANT_DEFINE(no_start, "sidecar_draining_starts_nothing");

METRIC_DEFINE(metric_starts, METRIC_COUNTER, "heatherturn_sidecar_starts_total",
    NULL, "Requests that the upstream was given.");
METRIC_DEFINE(metric_queued_ms, METRIC_HISTOGRAM,
    "heatherturn_sidecar_queued_ms", NULL, "Time from submit to start.");

/* Writes one line on a decision. */
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

/* Gives the upstream a run. */
static void
do_start(struct run *run, const struct admission_action *action)
{
	struct runs *runs = run->runs;

	invariant_check(&latest,
	    g_hash_table_lookup(runs->table, run->key) == run, NULL, NULL);
	invariant_check(&no_start, !runs->draining, NULL, NULL);
	if (runs->ops->starting != NULL)
		runs->ops->starting(runs->data);
	/* The process may have been stopped since the core decided. */
	if (!time_before(runs_now(runs), run->deadline)) {
		log_decision(run, "reject", "expired", action->queued_ms, 0);
		run_reject(run, REJECT_EXPIRED, 0, "deadline passed");
		run_done_at_admission(run, ADMISSION_CANCELLED);
		return;
	}
	metric_add(&metric_starts, 1);
	metric_observe(&metric_queued_ms, action->queued_ms);
	log_decision(run, "start", "", action->queued_ms, 0);
	run_start(run, action->priority);
	if (!run->adopted)
		run_send_start(run, action->queued_ms);
	run_flush(run);
}

/* Answers that a run was not run. */
static void
do_reject(struct run *run, const struct admission_action *action)
{
	const char *reason = reject_reason_name(action->reason);

	run->job = 0;
	log_decision(run, "reject", reason, 0, action->retry_after_ms);
	if (run->adopted) {
		run_finish(run, FINISH_LOST, false, NULL,
		    "could not be taken over from an earlier process");
		run_cancel(run);
		return;
	}
	run_reject(run, action->reason, action->retry_after_ms, reason);
}

/* Answers for a run that is cancelled and takes it from the upstream. */
static void
do_cancel(struct run *run, const struct admission_action *action)
{
	static const struct {
		enum finish_outcome outcome;
		const char *text;
	} answers[] = {
	    [ADMISSION_CANCEL_REQUESTED] = {FINISH_CANCELLED, "cancelled"},
	    [ADMISSION_CANCEL_EXPIRED] = {FINISH_EXPIRED,
		"deadline passed while it ran"},
	    [ADMISSION_CANCEL_SUPERSEDED] = {FINISH_CANCELLED,
		"a later attempt has come"},
	    [ADMISSION_CANCEL_HOLD_ENDED] = {FINISH_CANCELLED,
		"its group was given up"},
	};
	bool sent;

	/* A lost run was answered; the engine has yet to let go of it. */
	if (run->state != RUN_RUNNING)
		return;
	log_decision(run, "cancel", answers[action->cancel_reason].text, 0, 0);
	sent = run_drop(run);
	replay_clear(&run->replay);
	run_finish(run, answers[action->cancel_reason].outcome, !sent, NULL,
	    answers[action->cancel_reason].text);
	run_cancel(run);
}

/* Carries out one action. */
static void
act(struct runs *runs, const struct admission_action *action)
{
	switch (action->kind) {
	case ADMISSION_START:
		do_start(action->owner, action);
		break;
	case ADMISSION_REJECT:
		do_reject(action->owner, action);
		break;
	case ADMISSION_CANCEL:
		do_cancel(action->owner, action);
		break;
	case ADMISSION_RELEASE:
		holds_release(runs->holds, action->hold);
		break;
	}
}

/*
 * Carries out all that the core has decided. What is done may bring up more,
 * which the outermost call takes.
 */
void
runs_pump(struct runs *runs)
{
	struct admission_action action;

	if (runs->pumping)
		return;
	runs->pumping = true;
	while (admission_next_action(runs->admission, &action))
		act(runs, &action);
	runs->pumping = false;
}

/* The upstream holds nothing of a run any more: tells the core, once. */
void
run_done_at_admission(struct run *run, enum admission_outcome outcome)
{
	struct runs *runs = run->runs;
	uint64_t job = run->job;

	run->state = RUN_ENDED;
	run->ended_at = runs_now(runs);
	run->job = 0;
	if (job != 0)
		admission_finished(
		    runs->admission, job, outcome, runs_now(runs));
	runs_pump(runs);
}
