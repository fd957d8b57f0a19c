/*
 * A run at its upstream: given to it, its events taken, its end judged.
 */
#include <string.h>

#include "base/invariant.h"
#include "base/metrics.h"
#include "policy/quarantine.h"
#include "sidecar/run.h"

#define LOG_MODULE "upstream"
#include "base/log.h"

/* Longest part that goes into one chunk. */
#define PART_MAX_BYTES ((size_t)64 * 1024)
/* A lost run whose upstream shows no new start by then was no crash. */
#define LOST_WATCHED_MS 15000
#define LOST_MAX	1024

#define STATUS_TOO_MANY	   429
#define STATUS_UNAVAILABLE 503

INVARIANT_DEFINE(sent_once, "sidecar_sends_once");

METRIC_DEFINE(metric_first_ms, METRIC_HISTOGRAM,
    "heatherturn_sidecar_first_event_ms", NULL,
    "Time from start to the first part of the answer.");
METRIC_DEFINE(metric_deaths, METRIC_COUNTER,
    "heatherturn_sidecar_suspects_total", NULL,
    "Requests that ran when the upstream died.");

/* A part of the answer has come. */
static void
take_event(void *data, const struct upstream_event *event)
{
	struct run *run = data;
	struct runs *runs = run->runs;
	size_t offset = 0, part;

	if (run->state != RUN_RUNNING)
		return;
	do {
		part = MIN(event->length - offset, PART_MAX_BYTES);
		replay_add(&run->replay, offset == 0 ? event->tokens : 0,
		    event->data + offset, part);
		offset += part;
	} while (offset < event->length);
	run_flush(run);
	if (run->first_event) {
		pace_tokens(&runs->pace, event->tokens);
		return;
	}
	run->first_event = true;
	run->paced_since = runs_now(runs);
	metric_observe(
	    &metric_first_ms, time_diff_ms(runs_now(runs), run->started_at));
	admission_first_token(runs->admission, run->job, runs_now(runs));
	runs_pump(runs);
}

/* Whether a death is one more of a crash that was reported just now. */
static bool
is_same_crash(struct runs *runs, uint64_t fingerprint)
{
	int64_t now_ms = time_to_ms(runs_now(runs));
	const int64_t *last = g_hash_table_lookup(runs->crashed, &fingerprint);

	if (last != NULL && now_ms - *last < CRASH_MS)
		return true;
	if (g_hash_table_size(runs->crashed) >= LOST_MAX)
		g_hash_table_remove_all(runs->crashed);
	g_hash_table_replace(runs->crashed,
	    g_memdup2(&fingerprint, sizeof(fingerprint)),
	    g_memdup2(&now_ms, sizeof(now_ms)));
	return false;
}

/* Has everybody told that the upstream died under a fingerprint's request. */
static void
report_death(struct runs *runs, uint64_t fingerprint, const char *request)
{
	uint32_t deaths;

	if (fingerprint == 0 || is_same_crash(runs, fingerprint))
		return;
	deaths = runs->ops->deaths(runs->data, fingerprint) + 1;
	metric_add(&metric_deaths, 1);
	LOG_WARN("request ran when the upstream died", "{s:s, s:s, s:i}",
	    "request", request, "upstream", runs->upstream_address, "deaths",
	    (int)deaths);
	runs->ops->died(runs->data, fingerprint, deaths);
}

/* The upstream is gone under a run, dead or only silent. */
static void
note_loss(struct run *run, bool died)
{
	struct runs *runs = run->runs;
	struct lost_run lost = {.fingerprint = run->submit->submit.fingerprint,
	    .start_count = runs->start_count,
	    .at = runs_now(runs)};

	if (died)
		report_death(runs, lost.fingerprint, run->request);
	else if (runs->lost->len < LOST_MAX)
		g_array_append_val(runs->lost, lost);
}

/*
 * Looks whether the upstream, of which a report or none has come, turns out to
 * have died under runs that were lost without a sign of it.
 */
void
runs_report_lost(struct runs *runs, const struct upstream_status *status,
    const GError *error)
{
	struct timespec now = runs_now(runs);
	struct lost_run *lost;
	bool died;

	for (guint i = runs->lost->len; i > 0; i--) {
		lost = &g_array_index(runs->lost, struct lost_run, i - 1);
		died = status != NULL ? status->start_count > lost->start_count
				      : error->code == UPSTREAM_ERROR_DIED;
		if (died)
			report_death(runs, lost->fingerprint, "");
		if (died || time_diff_ms(now, lost->at) >= LOST_WATCHED_MS)
			g_array_remove_index(runs->lost, i - 1);
	}
}

/* How the core is to take an end. */
static enum admission_outcome
judge_outcome(const struct upstream_end *end)
{
	if (end->error == NULL)
		return end->status == STATUS_UNAVAILABLE ||
			end->status == STATUS_TOO_MANY
		    ? ADMISSION_REFUSED
		    : ADMISSION_OK;
	switch ((enum upstream_error)end->error->code) {
	case UPSTREAM_ERROR_OVERLOADED:
	case UPSTREAM_ERROR_OUT_OF_MEMORY:
		return ADMISSION_REFUSED;
	case UPSTREAM_ERROR_DIED:
	case UPSTREAM_ERROR_LOST:
		return ADMISSION_LOST;
	default:
		return ADMISSION_FAILED;
	}
}

/* Whether the upstream has provably not run what it was given. */
static bool
judge_not_run(const struct run *run, const struct upstream_end *end)
{
	if (!end->sent)
		return true;
	if (run->work == WORK_CALL || run->adopted || run->first_event)
		return false;
	return end->error->code == UPSTREAM_ERROR_OVERLOADED ||
	    end->error->code == UPSTREAM_ERROR_OUT_OF_MEMORY;
}

/* Learns from a whole answer what the engine has cached. */
static void
learn_cache(const struct run *run, const struct upstream_end *end)
{
	const struct u64_array *prefixes = &run->submit->submit.prefixes;

	if (run->work != WORK_GENERATE)
		return;
	cache_view_correct(run->runs->cache, prefixes, end->cached_tokens);
	cache_view_ran(run->runs->cache, prefixes);
}

/* An engine that went silent on a run holds it no more. */
static void
lost_gone(void *data, const char *id)
{
	run_done_at_admission(data, ADMISSION_LOST);
}

/* The upstream has ended a run by itself. */
static void
take_end(void *data, const struct upstream_end *end)
{
	struct run *run = data;
	enum admission_outcome outcome = judge_outcome(end);
	bool not_run = end->error != NULL && judge_not_run(run, end);

	run->call = NULL;
	if (run->state == RUN_CANCELLING) {
		run_done_at_admission(run, ADMISSION_CANCELLED);
		return;
	}
	if (outcome == ADMISSION_LOST && end->sent)
		note_loss(run, end->error->code == UPSTREAM_ERROR_DIED);
	if (end->error == NULL) {
		learn_cache(run, end);
		run_finish(run, FINISH_OK, false, end, end->finish_reason);
	} else {
		run_finish(run,
		    outcome == ADMISSION_LOST ? FINISH_LOST : FINISH_FAILED,
		    not_run, end, end->error->message);
	}
	if (not_run)
		seen_set_not_run(run->runs->seen, run->key, run->attempt, true);
	/* It may still stand at an engine that is only silent. */
	if (outcome == ADMISSION_LOST && run->work == WORK_GENERATE &&
	    end->sent) {
		run->state = RUN_CANCELLING;
		cleanup_delete(
		    run->runs->cleanup, CLEANUP_RUN, run->id, lost_gone, run);
		return;
	}
	run_done_at_admission(run, outcome);
}

/* Gives a run to the upstream: from here on it may have run. */
void
run_start(struct run *run, uint32_t priority)
{
	static const struct upstream_call_ops ops = {take_event, take_end};
	struct runs *runs = run->runs;
	const struct message_submit *submit = &run->submit->submit;
	struct upstream_request request = {.work = run->work,
	    .id = run->work == WORK_CALL ? run->request : run->id,
	    .owner = run->request,
	    .attempt = run->attempt,
	    .output_tokens = submit->output_tokens,
	    .priority = priority,
	    .body = submit->body.data,
	    .body_length = submit->body.length,
	    .imports = submit->imports.items,
	    .import_count = submit->imports.count,
	    .method = submit->method,
	    .path = submit->path,
	    .content_type = submit->content_type,
	    .idempotency_key = submit->idempotency_key};

	/* What was adopted is not sent again, only listened to. */
	invariant_check(&sent_once, !run->given || run->adopted, NULL, NULL);
	run->given = true;
	run->state = RUN_RUNNING;
	run->started_at = runs_now(runs);
	seen_set_not_run(runs->seen, run->key, run->attempt, false);
	if (run->work == WORK_SHARD)
		holds_add_block(runs->holds, run->request, run->id);
	run->call = run->adopted
	    ? runs->upstream->ops->resume(
		  runs->upstream, run->id, run->replay.last_sequence, &ops, run)
	    : upstream_start(runs->upstream, &request, &ops, run);
	g_clear_pointer(&run->submit->submit.body.data, g_free);
	run->submit->submit.body.length = 0;
}

/* The engine has let go of a cancelled run. */
static void
cancelled(void *data, const char *id)
{
	run_done_at_admission(data, ADMISSION_CANCELLED);
}

/* Stops waiting for a cancelled shard; its block is deleted with its hold. */
void
run_give_up(struct run *run)
{
	if (run->call != NULL)
		upstream_call_drop(run->call);
	run->call = NULL;
	run_done_at_admission(run, ADMISSION_CANCELLED);
}

/*
 * Stops taking a run's answer, and says whether the upstream may have been sent
 * it. A shard's block may appear after a deletion, so its end is awaited.
 */
bool
run_drop(struct run *run)
{
	bool sent;

	if (run->work == WORK_SHARD || run->call == NULL)
		return true;
	sent = upstream_call_drop(run->call);
	run->call = NULL;
	return sent;
}

/* Has the upstream let go of a run that was dropped and answered. */
void
run_cancel(struct run *run)
{
	struct runs *runs = run->runs;

	run->state = RUN_CANCELLING;
	if (run->work == WORK_SHARD)
		run->cancel_by = time_add_ms(runs_now(runs), SHARD_CANCEL_MS);
	else if (run->work == WORK_CALL)
		run_done_at_admission(run, ADMISSION_CANCELLED);
	else
		cleanup_delete(
		    runs->cleanup, CLEANUP_RUN, run->id, cancelled, run);
}

/* Counts the runs that have generated, unpaused, all through the window. */
static uint32_t
count_generating(const struct runs *runs)
{
	const struct run *run = NULL;
	uint32_t count = 0;

	TAILQ_FOREACH (run, &runs->list, entry)
		count += run->state == RUN_RUNNING && run->first_event &&
		    !run->upstream_paused && run->work == WORK_GENERATE &&
		    !time_before(runs->pace.window_start, run->paced_since);
	return count;
}

/* How the core is to take a report, which lags behind what runs show. */
static enum upstream_condition
judge_condition(struct runs *runs, const struct upstream_status *status)
{
	if (status == NULL)
		return UPSTREAM_DOWN;
	if (pace_judge(&runs->pace, count_generating(runs), runs_now(runs)))
		LOG_WARN("token rate collapsed", "{s:f}", "usual_per_s",
		    runs->pace.usual);
	return status->warm && !pace_is_collapsed(&runs->pace) ? UPSTREAM_WARM
							       : UPSTREAM_COLD;
}

/* Takes what the configuration says; it fills what reports leave out. */
void
runs_configure(struct runs *runs, const struct runs_capacity *capacity)
{
	runs->capacity = *capacity;
}

/* Fills the core's report: what the upstream says, else what is configured. */
static void
fill_report(const struct runs *runs, const struct upstream_status *status,
    struct admission_status *report)
{
	const struct runs_capacity *capacity = &runs->capacity;

	report->start_count = status->start_count;
	report->cold_slots = capacity->cold_slots;
	report->slots = status->slots > 0 ? status->slots : capacity->slots;
	report->memory_tokens = status->memory_tokens > 0
	    ? status->memory_tokens
	    : capacity->memory_tokens;
	report->prefill_tokens_per_s = status->prefill_tokens_per_s > 0
	    ? status->prefill_tokens_per_s
	    : capacity->prefill_tokens_per_s;
}

/* Notes a new start: what the engine held is gone, its cache with it. */
static void
note_start(struct runs *runs, uint64_t start_count)
{
	if (start_count > runs->start_count && runs->start_count > 0) {
		LOG_WARN("upstream has started anew", "{s:I}", "start_count",
		    (json_int_t)start_count);
		cache_view_clear(runs->cache);
		holds_forget(runs->holds);
	}
	runs->start_count = start_count;
}

/* Takes the upstream's report, or that none came. */
void
runs_status(struct runs *runs, const struct upstream_status *status,
    const GError *error)
{
	struct admission_status report = {
	    .condition = judge_condition(runs, status)};

	runs_report_lost(runs, status, error);
	if (status != NULL) {
		fill_report(runs, status, &report);
		note_start(runs, status->start_count);
	}
	admission_set_status(runs->admission, &report, runs_now(runs));
	runs_pump(runs);
}
