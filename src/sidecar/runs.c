#include "sidecar/runs.h"

#include <string.h>

#include "base/invariant.h"
#include "base/metrics.h"
#include "sidecar/run.h"

#define LOG_MODULE "runs"
#include "base/log.h"

/* Tick interval while there are runs or pending deletions. */
#define WAKE_MS 100

METRIC_DEFINE(metric_unowned, METRIC_COUNTER,
    "heatherturn_sidecar_strays_total", NULL,
    "Runs and blocks at the upstream without an owner.");

INVARIANT_DEFINE(memory_owned, "engine_memory_owned");
INVARIANT_DEFINE(in_time, "sidecar_answers_within_deadline");

/* Returns the current monotonic time. */
struct timespec
runs_now(const struct runs *runs)
{
	return clock_monotonic(runs->clock);
}

/* Reports to the admission core that a hold's blocks are deleted. */
static void
on_hold_freed(void *data, const char *hold)
{
	struct runs *runs = data;

	admission_on_hold_freed(runs->admission, hold, runs_now(runs));
	runs_dispatch(runs);
}

/* Creates the runs of an upstream; data is passed to ops. */
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
	token_rate_init(&runs->token_rate, runs_now(runs));
	runs->attempts = attempt_table_new();
	runs->cache = cache_view_new();
	runs->cleanup = cleanup_new(runs->upstream, runs->clock);
	runs->unowned_runs = unowned_runs_new();
	runs->block_table = block_table_new(runs->cleanup, on_hold_freed, runs);
	runs->table = g_hash_table_new(g_str_hash, g_str_equal);
	runs->crash_times = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, g_free);
	runs->lost_runs = g_array_new(FALSE, FALSE, sizeof(struct lost_run));
	TAILQ_INIT(&runs->list);
	return runs;
}

/* Attaches a run to the peer that gets its response; NULL detaches it. */
void
run_set_peer(struct run *run, void *peer)
{
	struct runs *runs = run->runs;

	if (run->peer != NULL)
		runs->ops->set_link_in_use(runs->data, run->peer, false);
	run->peer = peer;
	run->blocked = false;
	if (peer != NULL)
		runs->ops->set_link_in_use(runs->data, peer, true);
}

/* Frees a run that has ended in the admission core and at the upstream. */
void
run_destroy(struct run *run)
{
	struct runs *runs = run->runs;

	run_set_peer(run, NULL);
	if (run->call != NULL)
		upstream_call_drop(run->call);
	if (g_hash_table_lookup(runs->table, run->key) == run)
		g_hash_table_remove(runs->table, run->key);
	TAILQ_REMOVE(&runs->list, run, entry);
	replay_buffer_clear(&run->replay);
	message_free(run->submit);
	message_free(run->start);
	message_free(run->answer);
	g_free(run);
}

/*
 * Frees all runs; those at the upstream are left for the next process. Called
 * before the upstream is freed. NULL is allowed.
 */
void
runs_free(struct runs *runs)
{
	if (runs == NULL)
		return;
	while (!TAILQ_EMPTY(&runs->list))
		run_destroy(TAILQ_FIRST(&runs->list));
	admission_free(runs->admission);
	block_table_free(runs->block_table);
	unowned_runs_free(runs->unowned_runs);
	cleanup_free(runs->cleanup);
	cache_view_free(runs->cache);
	attempt_table_free(runs->attempts);
	g_hash_table_unref(runs->table);
	g_array_unref(runs->lost_runs);
	g_hash_table_unref(runs->crash_times);
	g_free(runs->upstream_address);
	g_free(runs);
}

/* Returns whether a run has lost the link to its entry. */
bool
run_is_orphan(const struct run *run)
{
	return time_is_set(run->orphan_deadline);
}

/*
 * Handles a lost link. Queued runs are cancelled; started runs continue until
 * their grace time ends, so that an entry can resume them. A plain service's
 * call can't be cancelled safely, so it continues until its deadline.
 */
void
runs_on_peer_lost(struct runs *runs, void *peer)
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
		run->orphan_deadline = until;
		if (run->state == RUN_QUEUED)
			admission_cancel(runs->admission, run->job, now);
	}
	runs_dispatch(runs);
}

/* Continues the runs of a peer whose link is writable again. */
void
runs_on_peer_writable(struct runs *runs, void *peer)
{
	struct run *run, *next;

	TAILQ_FOREACH_SAFE (run, &runs->list, entry, next) {
		if (run->peer != peer || !run->blocked)
			continue;
		run->blocked = false;
		run_flush(run);
	}
}

/* Applies the engine's cache events. */
void
runs_apply_cache_events(
    struct runs *runs, const struct upstream_cache_event *events, size_t count)
{
	cache_view_apply_events(runs->cache, events, count);
}

/*
 * Starts or ends draining: while on, new work is rejected, and queued runs are
 * rejected at the start.
 */
void
runs_set_draining(struct runs *runs, bool on)
{
	runs->draining = on;
	admission_set_draining(runs->admission, on, runs_now(runs));
	runs_dispatch(runs);
}

/*
 * Rejects the queued runs and continues. Used after the process was suspended:
 * earlier decisions may no longer hold, and the entries have tried other
 * upstreams.
 */
void
runs_reject_queued(struct runs *runs)
{
	if (runs->draining)
		return;
	runs_set_draining(runs, true);
	runs_set_draining(runs, false);
}

/*
 * Returns whether a run at the engine belongs to a request here or is being
 * deleted.
 */
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

/* Deletes a run or block without an owner. */
static void
delete_unowned(struct runs *runs, enum cleanup_kind kind, const char *id)
{
	metric_add(&metric_unowned, 1);
	LOG_WARN("deleting a run or block without an owner", "{s:s, s:b}", "id",
	    id, "block", kind == CLEANUP_BLOCK);
	cleanup_delete(runs->cleanup, kind, id, NULL, NULL);
}

/*
 * Checks the engine's list of runs: those without an owner are kept for a grace
 * time and then deleted.
 */
void
runs_check_listed_runs(
    struct runs *runs, const struct upstream_item *items, size_t count)
{
	int64_t wall_ms = time_to_ms(clock_wall(runs->clock));

	bool kept;

	for (size_t i = 0; i < count; i++) {
		kept = is_run_owned(runs, items[i].id) ||
		    unowned_runs_update(
			runs->unowned_runs, &items[i], runs_now(runs), wall_ms);
		if (!kept)
			delete_unowned(runs, CLEANUP_RUN, items[i].id);
		invariant_check(&memory_owned,
		    kept || is_run_owned(runs, items[i].id), NULL, NULL);
	}
}

/*
 * Returns whether a block at the engine belongs to a hold or is being deleted.
 */
static bool
is_block_owned(const struct runs *runs, const char *id)
{
	return block_table_has(runs->block_table, id) ||
	    cleanup_has(runs->cleanup, CLEANUP_BLOCK, id);
}

/* Checks the engine's list of blocks: those without a hold are deleted. */
void
runs_check_listed_blocks(
    struct runs *runs, const struct upstream_item *items, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (!is_block_owned(runs, items[i].id))
			delete_unowned(runs, CLEANUP_BLOCK, items[i].id);
		invariant_check(&memory_owned,
		    is_block_owned(runs, items[i].id), NULL, NULL);
	}
}

/* Counts runs, blocks, deletions and buffered bytes. */
void
runs_stats(const struct runs *runs, struct runs_stats *stats)
{
	const struct run *run = NULL;

	*stats = (struct runs_stats){
	    .blocks = block_table_count(runs->block_table),
	    .deletions = cleanup_count(runs->cleanup)};
	TAILQ_FOREACH (run, &runs->list, entry) {
		stats->queued += run->state == RUN_QUEUED;
		stats->running += run->state == RUN_RUNNING;
		stats->running_calls += run->state == RUN_RUNNING &&
		    run->work == WORK_CALL;
		stats->cancelling += run->state == RUN_CANCELLING;
		stats->unanswered += !run->answer_sent && run->peer != NULL;
		stats->finished += run->state == RUN_ENDED;
		stats->bytes += replay_buffer_bytes(&run->replay);
	}
}

/*
 * Returns whether an ended run need not be kept; bytes is the memory of all
 * ended runs.
 */
static bool
is_expired(const struct run *run, struct timespec now, size_t bytes)
{
	if (run->state != RUN_ENDED || (!run->answer_sent && run->peer != NULL))
		return false;
	return run->answer->kind == MESSAGE_REJECT ||
	    bytes > FINISHED_MAX_BYTES ||
	    time_diff_ms(now, run->ended_at) >= FINISHED_RETENTION_MS;
}

/* Frees ended runs after their retention, the oldest first. */
static void
expire_ended(struct runs *runs, struct timespec now)
{
	struct run *run = NULL, *next;
	size_t bytes = 0;

	TAILQ_FOREACH (run, &runs->list, entry) {
		if (run->state == RUN_ENDED)
			bytes += replay_buffer_bytes(&run->replay);
	}
	TAILQ_FOREACH_SAFE (run, &runs->list, entry, next) {
		if (!is_expired(run, now, bytes))
			continue;
		bytes -= replay_buffer_bytes(&run->replay);
		run_destroy(run);
	}
}

/*
 * The process is about to exit: reports the calls of a plain service that have
 * no answer as lost, since no later process can have it. Runs at an engine are
 * left to the next process, from which their entries resume them.
 */
void
runs_end_calls(struct runs *runs)
{
	struct run *run, *next;
	bool sent;

	TAILQ_FOREACH_SAFE (run, &runs->list, entry, next) {
		if (run->work != WORK_CALL || run->state != RUN_RUNNING)
			continue;
		sent = run_drop_call(run);
		replay_buffer_clear(&run->replay);
		run_finish(run, FINISH_LOST, !sent, NULL,
		    "sidecar exits before the service has answered");
		run_cancel_at_upstream(run);
	}
}

/* Checks the deadlines of one run. */
static void
tick_run(struct run *run, struct timespec now)
{
	struct runs *runs = run->runs;

	if (run_is_orphan(run) && !time_before(now, run->orphan_deadline) &&
	    run->job != 0)
		admission_cancel(runs->admission, run->job, now);
	if (run->state == RUN_CANCELLING && time_is_set(run->cancel_deadline) &&
	    !time_before(now, run->cancel_deadline))
		run_abandon_shard(run);
	if (run->state == RUN_ENDED && run->peer != NULL && !run->answer_sent &&
	    run->answer->kind == MESSAGE_FINISH &&
	    run->answer->finish.outcome != FINISH_EXPIRED &&
	    !time_before(now, run->deadline)) {
		/* The entry did not receive the response in time. */
		replay_buffer_clear(&run->replay);
		run_finish(run, FINISH_EXPIRED, false, NULL,
		    "deadline exceeded before the answer was received");
	}
}

/* Handles deadlines, retries and retentions. Call it at runs_next_wake(). */
void
runs_tick(struct runs *runs)
{
	struct timespec now = runs_now(runs);
	struct run *run, *next;
	bool late = false;

	runs->ticked_at = now;
	admission_tick(runs->admission, now);
	runs_dispatch(runs);
	TAILQ_FOREACH_SAFE (run, &runs->list, entry, next)
		tick_run(run, now);
	runs_dispatch(runs);
	cleanup_tick(runs->cleanup);
	attempt_table_expire(runs->attempts, now);
	unowned_runs_expire(runs->unowned_runs, now);
	expire_ended(runs, now);
	TAILQ_FOREACH (run, &runs->list, entry)
		late |= run->answer == NULL && !time_before(now, run->deadline);
	invariant_check(&in_time, !late, NULL, NULL);
}

/*
 * Returns when runs_tick() must be called next; unset for never. The interval
 * counts from the last tick, so that frequent calls, as from a busy loop, do
 * not delay it.
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
