#include "engine_model.h"

#include <string.h>

#include <xxhash.h>

#include "base/invariant.h"

#define CHUNK_TOKENS 2048
/* Limit of a chunk while a run of higher priority decodes. */
#define CHUNK_LOWER_PRIORITY_TOKENS 512
/* Part by which each further run lengthens a decode step. */
#define DECODE_BATCH_OVERHEAD 0.02
#define COLD_SPEED_FACTOR     0.3
#define DIGEST_BYTES	      256

INVARIANT_DEFINE(memory_conserved, "standin_engine_memory_conserved");
INVARIANT_DEFINE(memory_within, "standin_engine_memory_within_limit");

/* Prints the memory counters for a failed invariant. */
static void
print_memory(const void *state, GString *out)
{
	const struct engine_model *model = state;

	g_string_append_printf(out,
	    "used %" G_GUINT64_FORMAT " runs %" G_GUINT64_FORMAT
	    " blocks %" G_GUINT64_FORMAT " cache %" G_GUINT64_FORMAT,
	    model->used_tokens, model->run_tokens, model->block_tokens,
	    model->cache.tokens);
}

/* Sums the tokens held by runs or blocks. */
static uint64_t
sum_held_tokens(const struct runs *runs)
{
	const struct run *run;
	uint64_t sum = 0;

	TAILQ_FOREACH (run, runs, entry)
		sum += run->held_tokens;
	return sum;
}

/* Checks that every token of memory is accounted for and within the limit. */
static void
check_memory(const struct engine_model *model)
{
	invariant_check(&memory_conserved,
	    model->run_tokens == sum_held_tokens(&model->live) &&
		model->block_tokens == sum_held_tokens(&model->blocks) &&
		sum_held_tokens(&model->ended) == 0 &&
		model->used_tokens ==
		    model->run_tokens + model->block_tokens +
			model->cache.tokens,
	    print_memory, model);
	invariant_check(&memory_within,
	    model->used_tokens <= model->settings.memory_tokens, print_memory,
	    model);
}

/* Initialises an idle engine, warm or at the beginning of a cold start. */
void
engine_model_init(struct engine_model *model,
    const struct engine_settings *settings, const struct engine_model_ops *ops,
    bool warm, double now_s)
{
	*model = (struct engine_model){.settings = *settings,
	    .ops = ops,
	    .state = warm ? ENGINE_WARM : ENGINE_COLD,
	    .state_change_s = now_s + settings->cold_s / settings->time_scale,
	    .slow_factor = 1.,
	    .start_count = 1};
	TAILQ_INIT(&model->live);
	TAILQ_INIT(&model->ended);
	TAILQ_INIT(&model->blocks);
	engine_cache_init(&model->cache);
}

/* Frees a run. */
static void
run_free(struct run *run)
{
	g_free(run->id);
	g_free(run->owner);
	g_free(run);
}

/* Frees the runs of a list. */
static void
free_runs(struct runs *runs)
{
	struct run *run, *next;

	TAILQ_FOREACH_SAFE (run, runs, entry, next)
		run_free(run);
}

/* Frees everything, without callbacks. */
void
engine_model_clear(struct engine_model *model)
{
	model->cache.changed = NULL;
	engine_cache_clear(&model->cache);
	free_runs(&model->live);
	free_runs(&model->ended);
	free_runs(&model->blocks);
}

/* Returns the memory in tokens that eviction can't free. */
uint64_t
engine_model_unevictable_tokens(const struct engine_model *model)
{
	return model->used_tokens - model->cache.tokens +
	    model->cache.pinned_tokens;
}

/* Returns the current prefill rate in tokens per second. */
double
engine_model_prefill_rate(const struct engine_model *model)
{
	double speed = model->state == ENGINE_WARM ? 1. : COLD_SPEED_FACTOR;

	return model->settings.prefill_tokens_per_s * speed /
	    model->slow_factor;
}

/* Reserves memory for a run, evicting prefixes if needed; false if full. */
static bool
reserve(struct engine_model *model, struct run *run, uint64_t tokens)
{
	uint64_t limit = model->settings.memory_tokens;
	uint64_t excess;

	if (engine_model_unevictable_tokens(model) + tokens > limit)
		return false;
	if (model->used_tokens + tokens > limit) {
		excess = model->used_tokens + tokens - limit;
		model->used_tokens -= engine_cache_evict(&model->cache, excess);
	}
	model->used_tokens += tokens;
	model->run_tokens += tokens;
	run->held_tokens += tokens;
	return true;
}

/* Frees a run's own memory; its prefixes stay in the cache. */
static void
release(struct engine_model *model, struct run *run)
{
	model->used_tokens -= run->held_tokens;
	model->run_tokens -= run->held_tokens;
	run->held_tokens = 0;
	engine_cache_unpin(&model->cache, &run->chain, run->pinned_levels);
	run->pinned_levels = 0;
}

/* Sets a live run's state and updates the counters. */
static void
set_state(struct engine_model *model, struct run *run, enum run_state state)
{
	model->waiting -= run->state == RUN_WAITING;
	model->running -= run->state == RUN_PREFILL || run->state == RUN_DECODE;
	model->waiting += state == RUN_WAITING;
	model->running += state == RUN_PREFILL || state == RUN_DECODE;
	run->state = state;
}

/* Returns the live runs admitted since the last cold start. */
static unsigned
count_runs_since_cold(const struct engine_model *model)
{
	const struct run *run;
	unsigned count = 0;

	TAILQ_FOREACH (run, &model->live, entry)
		count += run->start_count == model->start_count;
	return count;
}

/* Inserts a run behind those of its priority. */
static void
insert_by_priority(struct engine_model *model, struct run *run)
{
	struct run *before = TAILQ_LAST(&model->live, runs);

	while (before != NULL && before->priority > run->priority)
		before = TAILQ_PREV(before, runs, entry);
	if (before == NULL)
		TAILQ_INSERT_HEAD(&model->live, run, entry);
	else
		TAILQ_INSERT_AFTER(&model->live, before, run, entry);
}

/* Creates a run. */
static struct run *
run_new(const struct run_request *request, uint64_t start_count)
{
	struct run *run = g_new0(struct run, 1);
	size_t tail = MIN(request->prompt_bytes, DIGEST_BYTES);

	run->id = g_strdup(request->id);
	run->owner = g_strdup(request->owner);
	run->attempt = request->attempt;
	run->priority = request->priority;
	run->block = request->block;
	run->crash = request->crash;
	run->prompt_tokens = tokens_of_bytes(request->prompt_bytes);
	run->imported_tokens = MIN(
	    request->imported_tokens, run->prompt_tokens);
	run->max_tokens = request->max_tokens;
	run->start_count = start_count;
	run->digest = XXH32(
	    (const uint8_t *)request->prompt + request->prompt_bytes - tail,
	    tail, 0);
	if (!request->block && request->imported_tokens == 0)
		prefix_chain_init(
		    &run->chain, request->prompt, request->prompt_bytes);
	TAILQ_INIT(&run->streams);
	return run;
}

/*
 * Reserves memory for a new run: the tokens of its prompt that are neither
 * imported nor cached, and its output.
 */
static bool
reserve_run(struct engine_model *model, struct run *run)
{
	unsigned levels = engine_cache_match(&model->cache, &run->chain);

	engine_cache_pin(&model->cache, &run->chain, levels);
	run->pinned_levels = levels;
	run->cached_tokens = prefix_tokens(levels);
	run->prefilled = run->cached_tokens + run->imported_tokens;
	if (reserve(model, run,
		run->prompt_tokens - run->prefilled + run->max_tokens))
		return true;
	release(model, run);
	return false;
}

/* Whether a further run must be rejected because of the load. */
static bool
must_reject(const struct engine_model *model, double now_s)
{
	if (model->state == ENGINE_LOADING)
		return true;
	if (model->running + model->waiting >=
	    model->settings.slots + model->settings.queue)
		return true;
	return model->state == ENGINE_COLD &&
	    now_s < model->restart_hidden_until_s &&
	    count_runs_since_cold(model) >= model->settings.cold_slots;
}

/*
 * Admits a run, or a block to be computed. One run too many makes a cold engine
 * restart and lose all runs; as long as the status doesn't show the cold start,
 * the run is rejected instead.
 */
enum engine_admission
engine_model_add(struct engine_model *model, const struct run_request *request,
    double now_s, struct run **added)
{
	struct run *run;
	unsigned cold;

	engine_model_advance(model, now_s);
	if (must_reject(model, now_s)) {
		model->refused_load++;
		return ENGINE_OVERLOADED;
	}
	run = run_new(request, model->start_count);
	if (!reserve_run(model, run)) {
		model->refused_memory++;
		run_free(run);
		return ENGINE_OUT_OF_MEMORY;
	}
	model->waiting++;
	model->runs_started++;
	insert_by_priority(model, run);
	check_memory(model);
	if (model->state == ENGINE_COLD) {
		cold = count_runs_since_cold(model);
		model->max_running_cold = MAX(model->max_running_cold, cold);
		if (cold > model->settings.cold_slots) {
			model->overloads++;
			engine_model_cold_restart(model, false, now_s);
			return ENGINE_RESTARTED;
		}
	}
	*added = run;
	return ENGINE_ADMITTED;
}

/* Finds a run by id, live or ended; NULL if there is none. */
struct run *
engine_model_find(struct engine_model *model, const char *id)
{
	struct run *run;

	TAILQ_FOREACH (run, &model->live, entry)
		if (!run->block && g_str_equal(run->id, id))
			return run;
	TAILQ_FOREACH (run, &model->ended, entry)
		if (g_str_equal(run->id, id))
			return run;
	return NULL;
}

/* Finds a block by id, computed or in progress; NULL if there is none. */
struct run *
engine_model_find_block(struct engine_model *model, const char *id)
{
	struct run *run;

	TAILQ_FOREACH (run, &model->blocks, entry)
		if (g_str_equal(run->id, id))
			return run;
	TAILQ_FOREACH (run, &model->live, entry)
		if (run->block && g_str_equal(run->id, id))
			return run;
	return NULL;
}

/* Removes a run from the live ones and frees its memory, not the struct. */
static void
end_live_run(struct engine_model *model, struct run *run)
{
	set_state(model, run, RUN_DONE);
	release(model, run);
	TAILQ_REMOVE(&model->live, run, entry);
}

/* Cancels a run or deletes a block, calls dropped() and frees it. */
void
engine_model_remove(struct engine_model *model, struct run *run)
{
	if (run->state != RUN_DONE) {
		model->runs_cancelled++;
		end_live_run(model, run);
	} else if (run->block) {
		TAILQ_REMOVE(&model->blocks, run, entry);
		model->block_tokens -= run->held_tokens;
		model->used_tokens -= run->held_tokens;
	} else {
		TAILQ_REMOVE(&model->ended, run, entry);
	}
	model->ops->dropped(run);
	run_free(run);
	check_memory(model);
}

/* Frees runs that ended before a time. */
void
engine_model_expire(struct engine_model *model, double ended_before_s)
{
	struct run *run, *next;

	TAILQ_FOREACH_SAFE (run, &model->ended, entry, next) {
		if (run->ended_s >= ended_before_s)
			return;
		engine_model_remove(model, run);
	}
}

/* Drops all runs, blocks and prefixes. */
static void
drop_all(struct engine_model *model)
{
	struct run *run, *next;
	struct engine_cache *cache = &model->cache;

	TAILQ_FOREACH_SAFE (run, &model->live, entry, next) {
		model->runs_dropped++;
		end_live_run(model, run);
		model->ops->dropped(run);
		run_free(run);
	}
	TAILQ_FOREACH_SAFE (run, &model->blocks, entry, next)
		engine_model_remove(model, run);
	TAILQ_FOREACH_SAFE (run, &model->ended, entry, next)
		engine_model_remove(model, run);
	model->used_tokens -= engine_cache_evict(cache, cache->tokens);
	check_memory(model);
}

/*
 * Begins a cold start. An unannounced one keeps runs and blocks, evicts the
 * unpinned prefixes, and shows in the status only after the load lag; any other
 * drops everything.
 */
void
engine_model_cold_restart(
    struct engine_model *model, bool unannounced, double now_s)
{
	const struct engine_settings *settings = &model->settings;

	model->state = ENGINE_COLD;
	model->start_count++;
	model->state_change_s = now_s + settings->cold_s / settings->time_scale;
	model->restart_hidden_until_s = unannounced
	    ? now_s + settings->load_lag_s
	    : 0.;
	if (!unannounced)
		drop_all(model);
	else
		model->used_tokens -= engine_cache_evict(
		    &model->cache, model->cache.tokens);
	check_memory(model);
}

/* Drops everything and loads a model; a cold start follows. */
void
engine_model_load(struct engine_model *model, double now_s)
{
	drop_all(model);
	model->state = ENGINE_LOADING;
	model->state_change_s = now_s +
	    model->settings.load_s / model->settings.time_scale;
}

/* Advances the state from loading to cold to warm when due. */
void
engine_model_advance(struct engine_model *model, double now_s)
{
	const struct engine_settings *settings = &model->settings;

	if (model->state == ENGINE_LOADING && now_s >= model->state_change_s) {
		model->state = ENGINE_COLD;
		model->start_count++;
		model->restart_hidden_until_s = 0.;
		model->state_change_s += settings->cold_s /
		    settings->time_scale;
	}
	if (model->state == ENGINE_COLD && now_s >= model->state_change_s)
		model->state = ENGINE_WARM;
}

/* Assigns free slots to waiting runs, in order. */
static void
fill_slots(struct engine_model *model)
{
	struct run *run;

	TAILQ_FOREACH (run, &model->live, entry) {
		if (model->running >= model->settings.slots)
			return;
		if (run->state == RUN_WAITING)
			set_state(model, run, RUN_PREFILL);
	}
}

/* Divides the step's chunk among the prefills, in order; returns its tokens. */
static uint64_t
plan_prefill(struct engine_model *model)
{
	int64_t decode_priority = G_MAXINT64;
	uint64_t planned = 0;
	struct run *run;

	TAILQ_FOREACH (run, &model->live, entry) {
		uint64_t remaining = run->prompt_tokens - run->prefilled;
		uint64_t budget = run->priority > decode_priority
		    ? CHUNK_LOWER_PRIORITY_TOKENS
		    : CHUNK_TOKENS;

		run->step_decode = run->state == RUN_DECODE;
		run->step_prefill = 0;
		if (run->step_decode && decode_priority == G_MAXINT64)
			decode_priority = run->priority;
		if (run->state != RUN_PREFILL || planned >= budget)
			continue;
		run->step_prefill = MIN(remaining, budget - planned);
		planned += run->step_prefill;
	}
	return planned;
}

/* Plans a step; returns its duration in seconds, or 0 if there is no work. */
double
engine_model_begin_step(struct engine_model *model)
{
	const struct engine_settings *settings = &model->settings;
	double speed = engine_model_prefill_rate(model) /
	    settings->prefill_tokens_per_s;
	unsigned decoding = 0;
	double step_s;
	struct run *run;

	fill_slots(model);
	if (model->running == 0)
		return 0.;
	step_s = (double)plan_prefill(model) / settings->prefill_tokens_per_s;
	TAILQ_FOREACH (run, &model->live, entry)
		decoding += run->step_decode;
	if (decoding > 0)
		step_s += (1. + DECODE_BATCH_OVERHEAD * (decoding - 1)) /
		    settings->decode_tokens_per_s;
	return MAX(step_s, 1e-6) / speed / settings->time_scale;
}

/* Moves a run's prefilled prefixes into the cache. */
static void
cache_prefixes(struct engine_model *model, struct run *run)
{
	uint64_t cached_now = prefix_tokens(run->chain.count) -
	    prefix_tokens(run->pinned_levels);

	model->used_tokens += engine_cache_store(
	    &model->cache, &run->chain, run->pinned_levels);
	run->pinned_levels = run->chain.count;
	run->held_tokens -= cached_now;
	model->run_tokens -= cached_now;
	model->used_tokens -= cached_now;
}

/* Ends a run, or makes it an exported block. */
static void
finish(struct engine_model *model, struct run *run, double now_s)
{
	uint64_t held = run->held_tokens;

	model->runs_finished++;
	run->ended_s = now_s;
	end_live_run(model, run);
	if (run->block) {
		run->held_tokens = held;
		model->block_tokens += held;
		model->used_tokens += held;
		TAILQ_INSERT_TAIL(&model->blocks, run, entry);
	} else {
		TAILQ_INSERT_TAIL(&model->ended, run, entry);
	}
}

/* Applies a step to one run; true if it produced output or ended. */
static bool
step_run(struct engine_model *model, struct run *run, double now_s)
{
	run->prefilled += run->step_prefill;
	if (run->step_decode) {
		run->emitted++;
	} else if (run->state == RUN_PREFILL &&
	    run->prefilled == run->prompt_tokens) {
		set_state(model, run, RUN_DECODE);
		if (run->block)
			run->max_tokens = 0;
		else
			cache_prefixes(model, run);
		run->emitted = MIN(1, run->max_tokens);
	} else {
		return false;
	}
	if (run->emitted >= run->max_tokens)
		finish(model, run, now_s);
	return true;
}

/* Applies the planned step. */
void
engine_model_end_step(struct engine_model *model, double now_s)
{
	struct run *run, *next;

	engine_model_advance(model, now_s);
	TAILQ_FOREACH_SAFE (run, &model->live, entry, next) {
		if (run->crash && run->step_prefill > 0)
			model->ops->crashed();
		if (step_run(model, run, now_s))
			model->ops->progressed(run);
		run->step_decode = false;
		run->step_prefill = 0;
	}
	check_memory(model);
}
