#include "engine.h"

#include <math.h>

#include "base/list.h"

/* A prefill with less than this remaining is complete. */
#define PREFILL_DONE_MS 1e-6

/* The prefill of a prompt, or of a part of one. */
struct prefill {
	struct prompt *prompt;
	double remaining_ms;
	double chunk_ms; /* time of one chunk */
	double pass_ms; /* time of its share of this pass */
	TAILQ_ENTRY(prefill) entry;
};

TAILQ_HEAD(prefill_list, prefill);

struct engine {
	const struct engine_profile *profile;
	struct prefill_list part_prefills; /* newest first */
	struct prefill_list whole_prefills; /* oldest first */
	GPtrArray *decoding; /* of struct prompt */
	GPtrArray *decode_next; /* prefilled; decode from the next pass on */
	double pass_end_ms;
	bool busy;
};

/* Creates an idle engine; the profile must outlive it. */
struct engine *
engine_new(const struct engine_profile *profile)
{
	struct engine *engine = g_new0(struct engine, 1);

	engine->profile = profile;
	TAILQ_INIT(&engine->part_prefills);
	TAILQ_INIT(&engine->whole_prefills);
	engine->decoding = g_ptr_array_new();
	engine->decode_next = g_ptr_array_new();
	return engine;
}

/* Frees the prefills of a list. */
static void
free_prefills(struct prefill_list *list)
{
	struct prefill *prefill, *next;

	TAILQ_FOREACH_SAFE (prefill, list, entry, next)
		g_free(prefill);
}

/* Frees an engine. */
void
engine_free(struct engine *engine)
{
	free_prefills(&engine->part_prefills);
	free_prefills(&engine->whole_prefills);
	g_ptr_array_unref(engine->decoding);
	g_ptr_array_unref(engine->decode_next);
	g_free(engine);
}

/* Returns the number of prompts that an engine decodes. */
uint32_t
engine_decoding_count(const struct engine *engine)
{
	return engine->decoding->len + engine->decode_next->len;
}

/*
 * Starts decoding a prompt whose prefill is complete: its first event is sent
 * at once, the others with the passes.
 */
void
engine_decode(struct engine *engine, struct prompt *prompt, double now_ms)
{
	prompt->first_ms = now_ms;
	prompt->last_ms = now_ms;
	prompt->events_sent = 1;
	prompt->ended = prompt->events <= 1;
	if (!prompt->ended)
		g_ptr_array_add(engine->decode_next, prompt);
}

/* Adds the prefill of a prompt, or of one part of it. */
void
engine_prefill(
    struct engine *engine, struct prompt *prompt, size_t part, double now_ms)
{
	struct prefill *prefill = g_new0(struct prefill, 1);
	double part_tokens = (double)prompt->tokens /
	    (double)prompt->engine_count;
	double chunks = part_tokens / engine->profile->chunk_tokens;

	prefill->prompt = prompt;
	prefill->remaining_ms = prompt->part_ms;
	prefill->chunk_ms = prompt->part_ms / MAX(chunks, 1.0);
	if (prompt->engine_count > 1)
		TAILQ_INSERT_HEAD(&engine->part_prefills, prefill, entry);
	else
		TAILQ_INSERT_TAIL(&engine->whole_prefills, prefill, entry);
	if (!engine->busy)
		engine->pass_end_ms = MAX(engine->pass_end_ms, now_ms);
}

/*
 * Divides the steps of a pass, each one chunk of a prefill, among the first max
 * prefills of a list. Returns the time that they take in milliseconds.
 */
static double
plan_prefill(struct prefill_list *list, uint32_t max, double *steps)
{
	struct prefill *prefill;
	double total_ms = 0.0;

	TAILQ_FOREACH (prefill, list, entry) {
		if (max-- == 0)
			break;
		double wanted = ceil(prefill->remaining_ms / prefill->chunk_ms);

		prefill->pass_ms = MIN(
		    prefill->remaining_ms, *steps * prefill->chunk_ms);
		*steps -= MIN(wanted, *steps);
		total_ms += prefill->pass_ms;
	}
	return total_ms;
}

/* Starts the next pass if there is work. */
static void
start_pass(struct engine *engine)
{
	const struct engine_profile *profile = engine->profile;
	uint64_t context = 0;
	double steps = 1.0;

	for (size_t i = 0; i < engine->decode_next->len; i++)
		g_ptr_array_add(
		    engine->decoding, engine->decode_next->pdata[i]);
	g_ptr_array_set_size(engine->decode_next, 0);
	engine->busy = !TAILQ_EMPTY(&engine->part_prefills) ||
	    !TAILQ_EMPTY(&engine->whole_prefills) || engine->decoding->len > 0;
	if (!engine->busy)
		return;
	for (size_t i = 0; i < engine->decoding->len; i++)
		context += ((struct prompt *)engine->decoding->pdata[i])
			       ->tokens;
	if (engine->decoding->len > 0) {
		steps = profile->stride;
		engine->pass_end_ms += engine_profile_pass_ms(
		    profile, engine->decoding->len, context);
	}
	engine->pass_end_ms += plan_prefill(
	    &engine->part_prefills, profile->slots, &steps);
	engine->pass_end_ms += plan_prefill(&engine->whole_prefills,
	    profile->slots - MIN(engine->decoding->len, profile->slots),
	    &steps);
}

/* Sends one event of each decoding prompt. */
static void
send_events(struct engine *engine)
{
	for (size_t i = engine->decoding->len; i-- > 0;) {
		struct prompt *prompt = engine->decoding->pdata[i];

		prompt->max_gap_ms = MAX(
		    prompt->max_gap_ms, engine->pass_end_ms - prompt->last_ms);
		prompt->last_ms = engine->pass_end_ms;
		if (++prompt->events_sent < prompt->events)
			continue;
		prompt->ended = true;
		g_ptr_array_remove_index_fast(engine->decoding, i);
	}
}

/* Subtracts the pass's work from a list and removes complete prefills. */
static void
finish_prefills(struct prefill_list *list)
{
	struct prefill *prefill, *next;

	TAILQ_FOREACH_SAFE (prefill, list, entry, next) {
		prefill->remaining_ms -= prefill->pass_ms;
		prefill->pass_ms = 0.0;
		if (prefill->remaining_ms > PREFILL_DONE_MS)
			continue;
		prefill->prompt->prefills_left--;
		TAILQ_REMOVE(list, prefill, entry);
		g_free(prefill);
	}
}

/* Applies the results of a pass. */
static void
end_pass(struct engine *engine)
{
	send_events(engine);
	finish_prefills(&engine->part_prefills);
	finish_prefills(&engine->whole_prefills);
}

/* Runs an engine until a time; its last pass may end later. */
void
engine_run(struct engine *engine, double until_ms)
{
	while (engine->busy && engine->pass_end_ms <= until_ms) {
		end_pass(engine);
		start_pass(engine);
	}
	if (engine->busy)
		return;
	engine->pass_end_ms = MAX(engine->pass_end_ms, until_ms);
	start_pass(engine);
}
