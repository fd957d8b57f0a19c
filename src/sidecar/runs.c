#include "sidecar/runs.h"

#include <string.h>

#include "base/invariant.h"
#include "base/metrics.h"
#include "sidecar/run.h"

#define LOG_MODULE "runs"
#include "base/log.h"

/* With orphans, cancels or answers at hand, time is looked at this often. */
#define WAKE_MS 100

METRIC_DEFINE(metric_strays, METRIC_COUNTER, "heatherturn_sidecar_strays_total",
    NULL, "Runs and blocks at the upstream that nobody owned.");

INVARIANT_DEFINE(memory_owned, "engine_memory_owned");
INVARIANT_DEFINE(in_time, "sidecar_answers_within_deadline");

/* The time now. */
struct timespec
runs_now(const struct runs *runs)
{
	return clock_monotonic(runs->clock);
}

/* All blocks of a hold are gone at the engine. */
static void
hold_freed(void *data, const char *hold)
{
	struct runs *runs = data;

	admission_hold_freed(runs->admission, hold, runs_now(runs));
	runs_pump(runs);
}

/* Makes the requests of an upstream; data goes to the callbacks. */
struct runs *
runs_new(const struct runs_settings *settings, const struct runs_ops *ops,
    void *data)
{
	struct runs *runs = g_new0(struct runs, 1);

	runs->upstream = settings->upstream;
	runs->clock = settings->clock;
	runs->upstream_address = g_strdup(settings->upstream_address);
	runs->ops = ops;
	runs->data = data;
	runs->ticked_at = runs_now(runs);
	runs->admission = admission_new(&settings->limits, runs_now(runs));
	pace_init(&runs->pace, runs_now(runs));
	runs->seen = seen_new();
	runs->cache = cache_view_new();
	runs->cleanup = cleanup_new(runs->upstream, runs->clock);
	runs->strays = strays_new();
	runs->holds = holds_new(runs->cleanup, hold_freed, runs);
	runs->table = g_hash_table_new(g_str_hash, g_str_equal);
	runs->crashed = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, g_free);
	runs->lost = g_array_new(FALSE, FALSE, sizeof(struct lost_run));
	TAILQ_INIT(&runs->list);
	return runs;
}

/* Joins a run to the entry that takes its answer; NULL for none. */
void
run_set_peer(struct run *run, void *peer)
{
	struct runs *runs = run->runs;

	if (run->peer != NULL)
		runs->ops->watch(runs->data, run->peer, false);
	run->peer = peer;
	run->blocked = false;
	if (peer != NULL)
		runs->ops->watch(runs->data, peer, true);
}

/* Frees one run, which neither the admission nor the upstream holds. */
void
run_forget(struct run *run)
{
	struct runs *runs = run->runs;

	run_set_peer(run, NULL);
	if (run->call != NULL)
		upstream_call_drop(run->call);
	if (g_hash_table_lookup(runs->table, run->key) == run)
		g_hash_table_remove(runs->table, run->key);
	TAILQ_REMOVE(&runs->list, run, entry);
	replay_clear(&run->replay);
	message_free(run->submit);
	message_free(run->start);
	message_free(run->answer);
	g_free(run);
}

/*
 * Frees everything here; what runs at the upstream is left to the next
 * process's cleaning. Called before the upstream is freed. NULL is let pass.
 */
void
runs_free(struct runs *runs)
{
	if (runs == NULL)
		return;
	while (!TAILQ_EMPTY(&runs->list))
		run_forget(TAILQ_FIRST(&runs->list));
	admission_free(runs->admission);
	holds_free(runs->holds);
	strays_free(runs->strays);
	cleanup_free(runs->cleanup);
	cache_view_free(runs->cache);
	seen_free(runs->seen);
	g_hash_table_unref(runs->table);
	g_array_unref(runs->lost);
	g_hash_table_unref(runs->crashed);
	g_free(runs->upstream_address);
	g_free(runs);
}

/* Whether no entry listens for the run's answer. */
bool
run_is_orphan(const struct run *run)
{
	return time_is_set(run->orphan_until);
}

/*
 * A link is lost. What has not started is given up; what runs goes on for a
 * while, so that an entry can take it over. A plain service's call can't be
 * taken back, so it goes on to its end.
 */
void
runs_peer_lost(struct runs *runs, void *peer)
{
	struct timespec now = runs_now(runs), until;
	struct run *run, *next;

	TAILQ_FOREACH_SAFE (run, &runs->list, entry, next) {
		if (run->peer != peer)
			continue;
		run->peer = NULL;
		run->blocked = false;
		until = time_add_ms(now, ORPHAN_GRACE_MS);
		if (run->work == WORK_CALL || time_before(run->deadline, until))
			until = run->deadline;
		run->orphan_until = until;
		if (run->state == RUN_QUEUED)
			admission_cancel(runs->admission, run->job, now);
	}
	runs_pump(runs);
}

/* A peer takes messages again. */
void
runs_peer_writable(struct runs *runs, void *peer)
{
	struct run *run, *next;

	TAILQ_FOREACH_SAFE (run, &runs->list, entry, next) {
		if (run->peer != peer || !run->blocked)
			continue;
		run->blocked = false;
		run_flush(run);
	}
}

/* Takes the engine's cache events. */
void
runs_cache_events(
    struct runs *runs, const struct upstream_cache_event *events, size_t count)
{
	cache_view_events(runs->cache, events, count);
}

/* Takes no new work and gives back what waits, or takes work again. */
void
runs_drain(struct runs *runs, bool on)
{
	runs->draining = on;
	admission_set_draining(runs->admission, on, runs_now(runs));
	runs_pump(runs);
}

/*
 * Gives back what waits, and goes on. For a process that was stopped: what was
 * decided before may no longer hold, and the entries have looked elsewhere.
 */
void
runs_give_back(struct runs *runs)
{
	if (runs->draining)
		return;
	runs_drain(runs, true);
	runs_drain(runs, false);
}

/* Whether a run at the engine belongs to a request here. */
static bool
is_run_owned(const struct runs *runs, const char *id)
{
	const struct run *run = NULL;

	TAILQ_FOREACH (run, &runs->list, entry) {
		if (strcmp(run->id, id) == 0 && run->state != RUN_ENDED)
			return true;
	}
	return cleanup_has(runs->cleanup, CLEANUP_RUN, id);
}

/* Deletes what nobody owns. */
static void
delete_stray(struct runs *runs, enum cleanup_kind kind, const char *id)
{
	metric_add(&metric_strays, 1);
	LOG_WARN("nobody owns this at the upstream", "{s:s, s:b}", "id", id,
	    "block", kind == CLEANUP_BLOCK);
	cleanup_delete(runs->cleanup, kind, id, NULL, NULL);
}

/* Takes the runs that the engine holds: those without an owner wait for one. */
void
runs_listed(struct runs *runs, const struct upstream_item *items, size_t count)
{
	int64_t wall_ms = time_to_ms(clock_wall(runs->clock));

	bool kept;

	for (size_t i = 0; i < count; i++) {
		kept = is_run_owned(runs, items[i].id) ||
		    strays_keep(
			runs->strays, &items[i], runs_now(runs), wall_ms);
		if (!kept)
			delete_stray(runs, CLEANUP_RUN, items[i].id);
		invariant_check(&memory_owned,
		    kept || is_run_owned(runs, items[i].id), NULL, NULL);
	}
}

/* Whether a block at the engine belongs to a hold, or is being deleted. */
static bool
is_block_owned(const struct runs *runs, const char *id)
{
	return holds_has_block(runs->holds, id) ||
	    cleanup_has(runs->cleanup, CLEANUP_BLOCK, id);
}

/* Takes the blocks that the engine holds: those without a hold are freed. */
void
runs_blocks_listed(
    struct runs *runs, const struct upstream_item *items, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (!is_block_owned(runs, items[i].id))
			delete_stray(runs, CLEANUP_BLOCK, items[i].id);
		invariant_check(&memory_owned,
		    is_block_owned(runs, items[i].id), NULL, NULL);
	}
}

/* Counts what stands here. */
void
runs_figures(const struct runs *runs, struct runs_figures *figures)
{
	const struct run *run = NULL;

	*figures = (struct runs_figures){
	    .blocks = holds_block_count(runs->holds),
	    .deletions = cleanup_count(runs->cleanup)};
	TAILQ_FOREACH (run, &runs->list, entry) {
		figures->queued += run->state == RUN_QUEUED;
		figures->running += run->state == RUN_RUNNING;
		figures->cancelling += run->state == RUN_CANCELLING;
		figures->unanswered += !run->answered && run->peer != NULL;
		figures->finished += run->state == RUN_ENDED;
		figures->bytes += replay_bytes(&run->replay);
	}
}

/* Whether nobody can want an ended run any more; bytes is what all keep. */
static bool
is_over(const struct run *run, struct timespec now, size_t bytes)
{
	if (run->state != RUN_ENDED || (!run->answered && run->peer != NULL))
		return false;
	return run->answer->kind == MESSAGE_REJECT ||
	    bytes > FINISHED_KEPT_BYTES ||
	    time_diff_ms(now, run->ended_at) >= FINISHED_KEPT_MS;
}

/* Frees ended runs that were kept long enough, the oldest first. */
static void
trim_ended(struct runs *runs, struct timespec now)
{
	struct run *run = NULL, *next;
	size_t bytes = 0;

	TAILQ_FOREACH (run, &runs->list, entry) {
		if (run->state == RUN_ENDED)
			bytes += replay_bytes(&run->replay);
	}
	TAILQ_FOREACH_SAFE (run, &runs->list, entry, next) {
		if (!is_over(run, now, bytes))
			continue;
		bytes -= replay_bytes(&run->replay);
		run_forget(run);
	}
}

/* Looks at one run's times. */
static void
tick_run(struct run *run, struct timespec now)
{
	struct runs *runs = run->runs;

	if (run_is_orphan(run) && !time_before(now, run->orphan_until) &&
	    run->job != 0)
		admission_cancel(runs->admission, run->job, now);
	if (run->state == RUN_CANCELLING && time_is_set(run->cancel_by) &&
	    !time_before(now, run->cancel_by))
		run_give_up(run);
	if (run->state == RUN_ENDED && run->peer != NULL && !run->answered &&
	    run->answer->kind == MESSAGE_FINISH &&
	    run->answer->finish.outcome != FINISH_EXPIRED &&
	    !time_before(now, run->deadline)) {
		/* The caller took its answer too slowly. */
		replay_clear(&run->replay);
		run_finish(run, FINISH_EXPIRED, false, NULL,
		    "deadline passed before the answer was taken");
	}
}

/* Time has passed. */
void
runs_tick(struct runs *runs)
{
	struct timespec now = runs_now(runs);
	struct run *run, *next;
	bool late = false;

	runs->ticked_at = now;
	admission_tick(runs->admission, now);
	runs_pump(runs);
	TAILQ_FOREACH_SAFE (run, &runs->list, entry, next)
		tick_run(run, now);
	runs_pump(runs);
	cleanup_tick(runs->cleanup);
	seen_trim(runs->seen, now);
	strays_trim(runs->strays, now);
	trim_ended(runs, now);
	TAILQ_FOREACH (run, &runs->list, entry)
		late |= run->answer == NULL && !time_before(now, run->deadline);
	invariant_check(&in_time, !late, NULL, NULL);
}

/*
 * When runs_tick() must be called at the latest. Counted from the last call, so
 * that looking again, as a busy loop does, never puts it off.
 */
struct timespec
runs_next_wake(const struct runs *runs)
{
	struct timespec wake = admission_next_wake(
	    runs->admission, runs_now(runs));
	struct timespec soon = time_add_ms(runs->ticked_at, WAKE_MS);
	bool busy = !TAILQ_EMPTY(&runs->list) ||
	    cleanup_count(runs->cleanup) > 0;

	if (busy && (!time_is_set(wake) || time_before(soon, wake)))
		return soon;
	return wake;
}
