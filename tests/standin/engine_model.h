/*
 * Model of an engine, without I/O: continuous batching by priority, KV memory
 * shared by runs, exported blocks and the prefix cache, and a cold start during
 * which few runs are possible. Times are in seconds and passed in by the
 * caller.
 */
#ifndef STANDIN_ENGINE_MODEL_H
#define STANDIN_ENGINE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "engine_cache.h"

struct engine_settings {
	uint64_t memory_tokens;
	unsigned slots;
	unsigned queue; /* runs that may wait for a slot */
	unsigned cold_slots;
	double cold_s;
	double load_s; /* to load a model or version */
	double load_lag_s; /* until the status shows an unannounced restart */
	double prefill_tokens_per_s;
	double decode_tokens_per_s; /* of a run that decodes alone */
	double time_scale; /* speeds up all work and cold starts */
	unsigned event_tokens;
};

enum engine_state {
	ENGINE_COLD,
	ENGINE_LOADING,
	ENGINE_WARM,
};

enum engine_admission {
	ENGINE_ADMITTED,
	ENGINE_OVERLOADED, /* refused before it ran */
	ENGINE_OUT_OF_MEMORY, /* refused before it ran */
	ENGINE_RESTARTED, /* admitted and overloaded: all runs lost */
};

enum run_state {
	RUN_WAITING,
	RUN_PREFILL,
	RUN_DECODE,
	RUN_DONE,
};

struct run_request {
	const char *id;
	const char *owner; /* of a block */
	uint32_t attempt;
	int64_t priority;
	uint64_t max_tokens;
	uint64_t imported_tokens;
	bool block; /* compute KV and export it */
	bool crash; /* crashes the process once it runs */
	const void *prompt;
	size_t prompt_bytes;
};

struct run_stream;
TAILQ_HEAD(run_streams, run_stream);

struct run {
	char *id;
	char *owner;
	uint32_t attempt;
	int64_t priority;
	enum run_state state;
	bool block;
	bool crash;
	uint64_t prompt_tokens;
	uint64_t imported_tokens; /* of prompt_tokens, held by other engines */
	uint64_t max_tokens;
	uint64_t cached_tokens;
	uint64_t prefilled; /* tokens, cached and imported ones included */
	uint64_t emitted;
	uint64_t held_tokens; /* memory, without cached prefixes */
	uint64_t step_prefill;
	bool step_decode;
	struct prefix_chain chain;
	unsigned pinned_levels;
	uint64_t start_count; /* the engine's at admission */
	uint32_t digest; /* of the prompt's end; determines the output text */
	double ended_s;
	struct run_streams streams; /* for the owner */
	TAILQ_ENTRY(run) entry;
};

TAILQ_HEAD(runs, run);

struct engine_model_ops {
	/* New tokens; the run has ended if its state is RUN_DONE. */
	void (*progressed)(struct run *);
	/* The run was removed; it is freed after this. */
	void (*dropped)(struct run *);
	/* A run that crashes the process has started. */
	void (*crashed)(void);
};

struct engine_model {
	struct engine_settings settings;
	const struct engine_model_ops *ops;
	enum engine_state state;
	double state_change_s; /* time of the next state change */
	double restart_hidden_until_s; /* of an unannounced restart */
	double slow_factor;
	uint64_t start_count;
	uint64_t used_tokens;
	uint64_t run_tokens;
	uint64_t block_tokens;
	unsigned running;
	unsigned waiting;
	struct runs live; /* by priority, then arrival */
	struct runs ended; /* oldest first; they hold no memory */
	struct runs blocks;
	struct engine_cache cache;
	uint64_t runs_started;
	uint64_t runs_finished;
	uint64_t runs_cancelled;
	uint64_t runs_dropped;
	uint64_t refused_memory;
	uint64_t refused_load;
	uint64_t overloads;
	unsigned max_running_cold;
};

void engine_model_init(struct engine_model *, const struct engine_settings *,
    const struct engine_model_ops *, bool warm, double now_s);
void engine_model_clear(struct engine_model *);
enum engine_admission engine_model_add(struct engine_model *,
    const struct run_request *, double now_s, struct run **);
struct run *engine_model_find(struct engine_model *, const char *id);
struct run *engine_model_find_block(struct engine_model *, const char *id);
void engine_model_remove(struct engine_model *, struct run *);
void engine_model_expire(struct engine_model *, double ended_before_s);
void engine_model_cold_restart(
    struct engine_model *, bool unannounced, double now_s);
void engine_model_load(struct engine_model *, double now_s);
void engine_model_advance(struct engine_model *, double now_s);
double engine_model_begin_step(struct engine_model *);
void engine_model_end_step(struct engine_model *, double now_s);
uint64_t engine_model_unevictable_tokens(const struct engine_model *);
double engine_model_prefill_rate(const struct engine_model *);

#endif
