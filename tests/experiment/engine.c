#include "engine.h"

#include <math.h>

#include "base/list.h"

/* Less than this left counts as read. */
#define READ_MS 1e-6

/* A prompt, or a part of one, that an engine has to read. */
struct reading {
	struct prompt *prompt;
	double left_ms;
	double chunk_ms; /* of one step */
	double reads_ms; /* in this pass */
	TAILQ_ENTRY(reading) entry;
};

TAILQ_HEAD(reading_list, reading);

struct engine {
	const struct engine_profile *profile;
	struct reading_list parts; /* the last that came first */
	struct reading_list whole; /* the first that came first */
	GPtrArray *writers; /* of struct prompt */
	GPtrArray *starting; /* read, and not yet in a pass */
	double ends_ms; /* of this pass */
	bool busy;
};

/* Makes an idle engine; the profile is borrowed. */
struct engine *
engine_new(const struct engine_profile *profile)
{
	struct engine *engine = g_new0(struct engine, 1);

	engine->profile = profile;
	TAILQ_INIT(&engine->parts);
	TAILQ_INIT(&engine->whole);
	engine->writers = g_ptr_array_new();
	engine->starting = g_ptr_array_new();
	return engine;
}

/* Frees what is still to be read. */
static void
clear(struct reading_list *list)
{
	struct reading *reading, *next;

	TAILQ_FOREACH_SAFE (reading, list, entry, next)
		g_free(reading);
}

/* Frees an engine. */
void
engine_free(struct engine *engine)
{
	clear(&engine->parts);
	clear(&engine->whole);
	g_ptr_array_unref(engine->writers);
	g_ptr_array_unref(engine->starting);
	g_free(engine);
}

/* Returns how many streams an engine writes. */
uint32_t
engine_writers(const struct engine *engine)
{
	return engine->writers->len + engine->starting->len;
}

/*
 * Has an engine write the answer of a prompt that has been read: the first
 * event at once, the others with its passes.
 */
void
engine_write(struct engine *engine, struct prompt *prompt, double now_ms)
{
	prompt->first_ms = now_ms;
	prompt->last_ms = now_ms;
	prompt->written = 1;
	prompt->over = prompt->events <= 1;
	if (!prompt->over)
		g_ptr_array_add(engine->starting, prompt);
}

/* Gives an engine a prompt to read, or its reader's part of it. */
void
engine_add(
    struct engine *engine, struct prompt *prompt, size_t reader, double now_ms)
{
	struct reading *reading = g_new0(struct reading, 1);
	double part_tokens = (double)prompt->tokens /
	    (double)prompt->reader_count;
	double chunks = part_tokens / engine->profile->chunk_tokens;

	reading->prompt = prompt;
	reading->left_ms = prompt->part_ms;
	reading->chunk_ms = prompt->part_ms / MAX(chunks, 1.0);
	if (prompt->reader_count > 1)
		TAILQ_INSERT_HEAD(&engine->parts, reading, entry);
	else
		TAILQ_INSERT_TAIL(&engine->whole, reading, entry);
	if (!engine->busy)
		engine->ends_ms = MAX(engine->ends_ms, now_ms);
}

/*
 * Plans what the first readings of a list, at most so many, get of a pass of so
 * many steps, each of which reads a piece of one. Returns the time that it
 * takes.
 */
static double
plan_reading(struct reading_list *list, uint32_t most, double *steps)
{
	struct reading *reading;
	double total_ms = 0.0;

	TAILQ_FOREACH (reading, list, entry) {
		if (most-- == 0)
			break;
		double wanted = ceil(reading->left_ms / reading->chunk_ms);

		reading->reads_ms = MIN(
		    reading->left_ms, *steps * reading->chunk_ms);
		*steps -= MIN(wanted, *steps);
		total_ms += reading->reads_ms;
	}
	return total_ms;
}

/* Starts the next pass, if there is anything to do. */
static void
start_pass(struct engine *engine)
{
	const struct engine_profile *profile = engine->profile;
	uint64_t context = 0;
	double steps = 1.0;

	for (size_t i = 0; i < engine->starting->len; i++)
		g_ptr_array_add(engine->writers, engine->starting->pdata[i]);
	g_ptr_array_set_size(engine->starting, 0);
	engine->busy = !TAILQ_EMPTY(&engine->parts) ||
	    !TAILQ_EMPTY(&engine->whole) || engine->writers->len > 0;
	if (!engine->busy)
		return;
	for (size_t i = 0; i < engine->writers->len; i++)
		context += ((struct prompt *)engine->writers->pdata[i])->tokens;
	if (engine->writers->len > 0) {
		steps = profile->stride;
		engine->ends_ms += engine_profile_pass_ms(
		    profile, engine->writers->len, context);
	}
	engine->ends_ms += plan_reading(&engine->parts, profile->slots, &steps);
	engine->ends_ms += plan_reading(&engine->whole,
	    profile->slots - MIN(engine->writers->len, profile->slots), &steps);
}

/* Writes one event of each stream. */
static void
write_events(struct engine *engine)
{
	for (size_t i = engine->writers->len; i-- > 0;) {
		struct prompt *prompt = engine->writers->pdata[i];

		prompt->pause_ms = MAX(
		    prompt->pause_ms, engine->ends_ms - prompt->last_ms);
		prompt->last_ms = engine->ends_ms;
		if (++prompt->written < prompt->events)
			continue;
		prompt->over = true;
		g_ptr_array_remove_index_fast(engine->writers, i);
	}
}

/* Takes what was read in a pass off a list. */
static void
finish_reading(struct reading_list *list)
{
	struct reading *reading, *next;

	TAILQ_FOREACH_SAFE (reading, list, entry, next) {
		reading->left_ms -= reading->reads_ms;
		reading->reads_ms = 0.0;
		if (reading->left_ms > READ_MS)
			continue;
		reading->prompt->unread--;
		TAILQ_REMOVE(list, reading, entry);
		g_free(reading);
	}
}

/* Ends a pass. */
static void
end_pass(struct engine *engine)
{
	write_events(engine);
	finish_reading(&engine->parts);
	finish_reading(&engine->whole);
}

/* Lets an engine work until a time; its last pass may end later. */
void
engine_run(struct engine *engine, double until_ms)
{
	while (engine->busy && engine->ends_ms <= until_ms) {
		end_pass(engine);
		start_pass(engine);
	}
	if (engine->busy)
		return;
	engine->ends_ms = MAX(engine->ends_ms, until_ms);
	start_pass(engine);
}
