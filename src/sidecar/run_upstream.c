/* Starts runs at the upstream, and handles their events and ends. */
#include <string.h>

#include "base/invariant.h"
#include "base/metrics.h"
#include "policy/quarantine.h"
#include "sidecar/run.h"

#define LOG_MODULE "upstream"
#include "base/log.h"

/* Largest part in one chunk. */
#define PART_MAX_BYTES ((size_t)64 * 1024)
/*
 * If the upstream has not restarted within this time, a lost run was no crash.
 */
#define LOST_RUN_RETENTION_MS 15000
#define LOST_RUNS_MAX	      1024

#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_UNAVAILABLE	 503
#define STATUS_SERVER_MIN	 500

INVARIANT_DEFINE(sent_once, "sidecar_sends_once");

METRIC_DEFINE(metric_first_ms, METRIC_HISTOGRAM,
    "heatherturn_sidecar_first_event_ms", NULL,
    "Time from start to the first part of the response.");
METRIC_DEFINE(metric_deaths, METRIC_COUNTER,
    "heatherturn_sidecar_suspects_total", NULL,
    "Requests that ran when the upstream died.");

/* Handles a part of the response. */
static void
on_event(void *data, const struct upstream_event *event)
{
	struct run *run = data;
	struct runs *runs = run->runs;
	size_t offset = 0, part;

	if (run->state != RUN_RUNNING)
		return;
	do {
		part = MIN(event->length - offset, PART_MAX_BYTES);
		replay_buffer_add(&run->replay, offset == 0 ? event->tokens : 0,
		    event->data + offset, part);
		offset += part;
	} while (offset < event->length);
	run_flush(run);
	if (run->has_first_event) {
		token_rate_add(&runs->token_rate, event->tokens);
		return;
	}
	run->has_first_event = true;
	run->unpaused_since = runs_now(runs);
	metric_observe(
	    &metric_first_ms, time_diff_ms(runs_now(runs), run->started_at));
	admission_on_first_token(runs->admission, run->job, runs_now(runs));
	runs_dispatch(runs);
}

/* Returns whether a death belongs to a crash that was reported recently. */
static bool
is_same_crash(struct runs *runs, uint64_t fingerprint)
{
	int64_t now_ms = time_to_ms(runs_now(runs));
	const int64_t *last = g_hash_table_lookup(
	    runs->crash_times, &fingerprint);

	if (last != NULL && now_ms - *last < CRASH_WINDOW_MS)
		return true;
	if (g_hash_table_size(runs->crash_times) >= LOST_RUNS_MAX)
		g_hash_table_remove_all(runs->crash_times);
	g_hash_table_replace(runs->crash_times,
	    g_memdup2(&fingerprint, sizeof(fingerprint)),
	    g_memdup2(&now_ms, sizeof(now_ms)));
	return false;
}

/* Reports that the upstream died while a request with this fingerprint ran. */
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
	runs->ops->report_death(runs->data, fingerprint, deaths);
}

/*
 * Records a run lost with the upstream, which died or only stopped responding.
 */
static void
record_loss(struct run *run, bool died)
{
	struct runs *runs = run->runs;
	struct lost_run lost = {.fingerprint = run->submit->submit.fingerprint,
	    .start_count = runs->start_count,
	    .at = runs_now(runs)};

	if (died)
		report_death(runs, lost.fingerprint, run->request);
	else if (runs->lost_runs->len < LOST_RUNS_MAX)
		g_array_append_val(runs->lost_runs, lost);
}

/*
 * Checks after a status poll whether the upstream has died, by its start count
 * or a refused connection, and if so reports the runs that were lost without a
 * sign of it. error is set if status is NULL.
 */
void
runs_check_lost(struct runs *runs, const struct upstream_status *status,
    const GError *error)
{
	struct timespec now = runs_now(runs);
	struct lost_run *lost;
	bool died;

	for (guint i = runs->lost_runs->len; i > 0; i--) {
		lost = &g_array_index(runs->lost_runs, struct lost_run, i - 1);
		died = status != NULL ? status->start_count > lost->start_count
				      : error->code == UPSTREAM_ERROR_DIED;
		if (died)
			report_death(runs, lost->fingerprint, "");
		if (died ||
		    time_diff_ms(now, lost->at) >= LOST_RUN_RETENTION_MS)
			g_array_remove_index(runs->lost_runs, i - 1);
	}
}

/* Returns an end's outcome for the admission core. */
static enum admission_outcome
admission_outcome_of(const struct upstream_end *end)
{
	if (end->error == NULL)
		return end->status == STATUS_UNAVAILABLE ||
			end->status == STATUS_TOO_MANY_REQUESTS
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

/* Returns whether the upstream has provably not run a request. */
static bool
is_provably_not_run(const struct run *run, const struct upstream_end *end)
{
	if (!end->sent)
		return true;
	if (run->work == WORK_CALL || run->adopted || run->has_first_event)
		return false;
	return end->error->code == UPSTREAM_ERROR_OVERLOADED ||
	    end->error->code == UPSTREAM_ERROR_OUT_OF_MEMORY;
}

/*
 * Reports that the upstream has survived a request whose response is complete;
 * a failure may have come before it was run.
 */
static void
report_survival(const struct run *run, const struct upstream_end *end)
{
	const struct runs *runs = run->runs;
	uint64_t fingerprint = run->submit->submit.fingerprint;

	if (end->status < STATUS_SERVER_MIN &&
	    runs->ops->deaths(runs->data, fingerprint) > 0)
		runs->ops->report_survival(runs->data, fingerprint);
}

/* Updates the cache view from a complete response. */
static void
update_cache_view(const struct run *run, const struct upstream_end *end)
{
	const struct u64_array *prefixes = &run->submit->submit.prefixes;

	if (run->work != WORK_GENERATE)
		return;
	cache_view_correct(run->runs->cache, prefixes, end->cached_tokens);
	cache_view_add_prompt(run->runs->cache, prefixes);
}

/* The engine, which had stopped responding, has deleted a lost run. */
static void
on_lost_run_deleted(void *data, const char *id)
{
	run_set_ended(data, ADMISSION_LOST);
}

/* Handles the end of a run that the upstream reports. */
static void
on_end(void *data, const struct upstream_end *end)
{
	struct run *run = data;
	enum admission_outcome outcome = admission_outcome_of(end);
	bool not_run = end->error != NULL && is_provably_not_run(run, end);

	run->call = NULL;
	if (run->state == RUN_CANCELLING) {
		run_set_ended(run, ADMISSION_CANCELLED);
		return;
	}
	if (outcome == ADMISSION_LOST && end->sent)
		record_loss(run, end->error->code == UPSTREAM_ERROR_DIED);
	if (end->error == NULL) {
		update_cache_view(run, end);
		report_survival(run, end);
		run_finish(run, FINISH_OK, false, end, end->finish_reason);
	} else {
		run_finish(run,
		    outcome == ADMISSION_LOST ? FINISH_LOST : FINISH_FAILED,
		    not_run, end, end->error->message);
	}
	if (not_run)
		attempt_table_set_not_run(
		    run->runs->attempts, run->key, run->attempt, true);
	/* An engine that only stopped responding may still have it. */
	if (outcome == ADMISSION_LOST && run->work == WORK_GENERATE &&
	    end->sent) {
		run->state = RUN_CANCELLING;
		cleanup_delete(run->runs->cleanup, CLEANUP_RUN, run->id,
		    on_lost_run_deleted, run);
		return;
	}
	run_set_ended(run, outcome);
}

/*
 * Sends a run to the upstream, or resumes an adopted one. From here on it may
 * have run.
 */
void
run_start(struct run *run, uint32_t priority)
{
	static const struct upstream_call_ops ops = {on_event, on_end};
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

	/* An adopted run is not sent again; only its events are resumed. */
	invariant_check(
	    &sent_once, !run->reached_upstream || run->adopted, NULL, NULL);
	run->reached_upstream = true;
	run->state = RUN_RUNNING;
	run->started_at = runs_now(runs);
	attempt_table_set_not_run(
	    runs->attempts, run->key, run->attempt, false);
	if (run->work == WORK_SHARD)
		block_table_add(runs->block_table, run->request, run->id);
	run->call = run->adopted
	    ? runs->upstream->ops->resume(
		  runs->upstream, run->id, run->replay.last_sequence, &ops, run)
	    : upstream_start(runs->upstream, &request, &ops, run);
	g_clear_pointer(&run->submit->submit.body.data, g_free);
	run->submit->submit.body.length = 0;
}

/* The engine has deleted a cancelled run. */
static void
on_cancelled_run_deleted(void *data, const char *id)
{
	run_set_ended(data, ADMISSION_CANCELLED);
}

/*
 * Stops waiting for the end of a cancelled shard; its block is deleted with its
 * hold.
 */
void
run_abandon_shard(struct run *run)
{
	if (run->call != NULL)
		upstream_call_drop(run->call);
	run->call = NULL;
	run_set_ended(run, ADMISSION_CANCELLED);
}

/*
 * Drops the upstream call of a run. Returns whether the upstream may have
 * received the request. A shard's call is kept, as its block may appear after a
 * deletion.
 */
bool
run_drop_call(struct run *run)
{
	bool sent;

	if (run->work == WORK_SHARD || run->call == NULL)
		return true;
	sent = upstream_call_drop(run->call);
	run->call = NULL;
	return sent;
}

/*
 * Cancels a run at the upstream after its call was dropped and its final answer
 * set.
 */
void
run_cancel_at_upstream(struct run *run)
{
	struct runs *runs = run->runs;

	run->state = RUN_CANCELLING;
	if (run->work == WORK_SHARD)
		run->cancel_deadline = time_add_ms(
		    runs_now(runs), SHARD_CANCEL_TIMEOUT_MS);
	else if (run->work == WORK_CALL)
		run_set_ended(run, ADMISSION_CANCELLED);
	else
		cleanup_delete(runs->cleanup, CLEANUP_RUN, run->id,
		    on_cancelled_run_deleted, run);
}

/* Counts the runs that generated throughout the window without a pause. */
static uint32_t
count_generating(const struct runs *runs)
{
	const struct run *run = NULL;
	uint32_t count = 0;

	TAILQ_FOREACH (run, &runs->list, entry)
		count += run->state == RUN_RUNNING && run->has_first_event &&
		    !run->is_upstream_paused && run->work == WORK_GENERATE &&
		    !time_before(
			runs->token_rate.window_start, run->unpaused_since);
	return count;
}

/*
 * Returns the upstream's condition for the admission core. The token rate shows
 * a cold engine earlier than its delayed status.
 */
static enum upstream_condition
evaluate_condition(struct runs *runs, const struct upstream_status *status)
{
	if (status == NULL)
		return UPSTREAM_DOWN;
	if (token_rate_update(
		&runs->token_rate, count_generating(runs), runs_now(runs)))
		LOG_WARN("token rate collapsed", "{s:f}", "usual_per_s",
		    runs->token_rate.baseline);
	return status->warm && !token_rate_is_collapsed(&runs->token_rate)
	    ? UPSTREAM_WARM
	    : UPSTREAM_COLD;
}

/* Sets the configured capacity, for values that status reports lack. */
void
runs_configure(struct runs *runs, const struct runs_capacity *capacity)
{
	runs->capacity = *capacity;
}

/*
 * Fills the report for the admission core from the status, or else from the
 * configuration.
 */
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

/* Detects a restart of the upstream, which loses its blocks and its cache. */
static void
check_restart(struct runs *runs, uint64_t start_count)
{
	if (start_count > runs->start_count && runs->start_count > 0) {
		LOG_WARN("upstream has restarted", "{s:I}", "start_count",
		    (json_int_t)start_count);
		cache_view_clear(runs->cache);
		block_table_clear(runs->block_table);
	}
	runs->start_count = start_count;
}

/* Handles the result of a status poll; status is NULL on an error. */
void
runs_update_status(struct runs *runs, const struct upstream_status *status,
    const GError *error)
{
	struct admission_status report = {
	    .condition = evaluate_condition(runs, status)};

	runs_check_lost(runs, status, error);
	if (status != NULL) {
		fill_report(runs, status, &report);
		check_restart(runs, status->start_count);
	}
	admission_set_status(runs->admission, &report, runs_now(runs));
	runs_dispatch(runs);
}
