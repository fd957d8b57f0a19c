/*
 * The model of the stand-in engine: priorities, cold starts, the cache, and
 * memory accounting under random operations. Invariants are fatal here.
 */
#include <string.h>

#include <glib.h>

#include "base/invariant.h"
#include "standin/engine_model.h"

#define PROMPT_MAX_BYTES (64 * 1024 * BYTES_PER_TOKEN)
#define ROUNDS		 4000
#define RANDOM_IDS	 12

struct fixture {
	struct engine_model model;
	double now_s;
	uint8_t *prompt;
};

/* Events of runs are ignored. */
static void
ignore_run(struct run *run)
{
}

/* No run of these tests crashes the engine. */
static void
on_unexpected_crash(void)
{
	g_assert_not_reached();
}

static const struct engine_model_ops ops = {.progressed = ignore_run,
    .dropped = ignore_run,
    .crashed = on_unexpected_crash};

static const struct engine_settings settings = {
    .memory_tokens = 50000,
    .slots = 4,
    .queue = 4,
    .cold_slots = 2,
    .cold_s = 10.,
    .load_s = 1.,
    .load_lag_s = 0.5,
    .prefill_tokens_per_s = 10000.,
    .decode_tokens_per_s = 10.,
    .time_scale = 1.,
    .event_tokens = 1,
};

/* Makes an engine; warm if `cold` is NULL. */
static void
set_up(struct fixture *fixture, gconstpointer cold)
{
	invariant_set_fatal(true);
	engine_model_init(&fixture->model, &settings, &ops, cold == NULL, 0.);
	fixture->prompt = g_malloc0(PROMPT_MAX_BYTES);
}

static void
tear_down(struct fixture *fixture, gconstpointer cold)
{
	engine_model_clear(&fixture->model);
	g_free(fixture->prompt);
}

/* Adds a run; prompts with different marks share no prefix. */
static enum engine_admission
add_run(struct fixture *fixture, const char *id, uint8_t mark, uint64_t tokens,
    int64_t priority, struct run **run)
{
	struct run_request request = {.id = id,
	    .priority = priority,
	    .max_tokens = 10,
	    .prompt = fixture->prompt,
	    .prompt_bytes = tokens * BYTES_PER_TOKEN};

	fixture->prompt[0] = mark;
	return engine_model_add(&fixture->model, &request, fixture->now_s, run);
}

/* Runs one step; returns false if there is no work. */
static bool
run_step(struct fixture *fixture)
{
	double step_s = engine_model_begin_step(&fixture->model);

	if (step_s <= 0.)
		return false;
	fixture->now_s += step_s;
	engine_model_end_step(&fixture->model, fixture->now_s);
	return true;
}

/* A short prompt with a higher priority is prefilled before a long one. */
static void
test_priority(struct fixture *fixture, gconstpointer unused)
{
	struct run *longer, *shorter;

	g_assert_cmpint(add_run(fixture, "long", 1, 40000, 9, &longer), ==,
	    ENGINE_ADMITTED);
	g_assert_true(run_step(fixture));
	g_assert_cmpint(add_run(fixture, "short", 2, 1000, 1, &shorter), ==,
	    ENGINE_ADMITTED);
	while (shorter->emitted == 0)
		g_assert_true(run_step(fixture));
	g_assert_cmpuint(longer->prefilled, <, 10000);
	g_assert_cmpfloat(fixture->now_s, <, 0.5);
	while (run_step(fixture))
		continue;
	g_assert_cmpuint(fixture->model.runs_finished, ==, 2);
	g_assert_cmpuint(
	    engine_model_unevictable_tokens(&fixture->model), ==, 0);
}

/* A prefix that was prefilled is cached; cached tokens need no new memory. */
static void
test_cache(struct fixture *fixture, gconstpointer unused)
{
	struct run *run;

	add_run(fixture, "first", 1, 33000, 1, &run);
	while (run_step(fixture))
		continue;
	g_assert_cmpuint(fixture->model.used_tokens, ==, 32768);
	add_run(fixture, "again", 1, 33000, 1, &run);
	g_assert_cmpuint(run->cached_tokens, ==, 32768);
	g_assert_cmpint(add_run(fixture, "other", 2, 33000, 1, &run), ==,
	    ENGINE_OUT_OF_MEMORY);
	while (run_step(fixture))
		continue;
	g_assert_cmpint(
	    add_run(fixture, "other", 2, 33000, 1, &run), ==, ENGINE_ADMITTED);
	g_assert_cmpint(add_run(fixture, "larger", 3, 50000, 1, &run), ==,
	    ENGINE_OUT_OF_MEMORY);
}

/* A prompt larger than the engine's memory runs if most of it is imported. */
static void
test_import(struct fixture *fixture, gconstpointer unused)
{
	struct run_request request = {.id = "large",
	    .max_tokens = 10,
	    .prompt = fixture->prompt,
	    .prompt_bytes = PROMPT_MAX_BYTES,
	    .imported_tokens = 60000};
	struct run *run;

	g_assert_cmpint(engine_model_add(&fixture->model, &request, 0., &run),
	    ==, ENGINE_ADMITTED);
	g_assert_cmpuint(run->held_tokens, ==, 65536 - 60000 + 10);
	while (run_step(fixture))
		continue;
	g_assert_cmpuint(fixture->model.runs_finished, ==, 1);
	g_assert_cmpuint(fixture->model.used_tokens, ==, 0);
}

/* A cold engine with one run too many fails and drops all runs. */
static void
test_overload(struct fixture *fixture, gconstpointer cold)
{
	struct run *run;

	add_run(fixture, "a", 1, 100, 1, &run);
	add_run(fixture, "b", 1, 100, 1, &run);
	g_assert_cmpint(
	    add_run(fixture, "c", 1, 100, 1, &run), ==, ENGINE_RESTARTED);
	g_assert_cmpuint(fixture->model.runs_dropped, ==, 3);
	g_assert_cmpuint(fixture->model.max_running_cold, ==, 3);
	g_assert_cmpuint(fixture->model.used_tokens, ==, 0);
	fixture->now_s += settings.cold_s;
	for (int i = 0; i < 8; i++)
		g_assert_cmpint(add_run(fixture, "d", 1, 100, 1, &run), ==,
		    ENGINE_ADMITTED);
	g_assert_cmpint(
	    add_run(fixture, "e", 1, 100, 1, &run), ==, ENGINE_OVERLOADED);
	g_assert_cmpuint(fixture->model.overloads, ==, 1);
}

/* A cold restart refuses runs at first; once the status shows it, it fails. */
static void
test_unseen_fall(struct fixture *fixture, gconstpointer unused)
{
	struct run *run;

	for (int i = 0; i < 3; i++)
		add_run(fixture, "before", 1, 100, 1, &run);
	engine_model_cold_restart(&fixture->model, true, fixture->now_s);
	g_assert_cmpuint(
	    fixture->model.running + fixture->model.waiting, ==, 3);
	for (int i = 0; i < 2; i++)
		g_assert_cmpint(add_run(fixture, "after", 1, 100, 1, &run), ==,
		    ENGINE_ADMITTED);
	g_assert_cmpint(add_run(fixture, "refused", 1, 100, 1, &run), ==,
	    ENGINE_OVERLOADED);
	fixture->now_s += settings.load_lag_s;
	g_assert_cmpint(add_run(fixture, "too many", 1, 100, 1, &run), ==,
	    ENGINE_RESTARTED);
}

/* Random runs, cancels, blocks, cold restarts and loads leak no memory. */
static void
test_conserved(struct fixture *fixture, gconstpointer unused)
{
	struct engine_model *model = &fixture->model;

	for (int round = 0; round < ROUNDS; round++) {
		int id = g_test_rand_int_range(0, RANDOM_IDS);
		g_autofree char *name = g_strdup_printf("%d", id);
		struct run_request request = {.id = name,
		    .owner = "h",
		    .priority = id % 3,
		    .max_tokens = (uint64_t)id,
		    .block = id % 4 == 0,
		    .prompt = fixture->prompt,
		    .prompt_bytes = (size_t)g_test_rand_int_range(
			0, PROMPT_MAX_BYTES)};
		struct run *run = request.block
		    ? engine_model_find_block(model, name)
		    : engine_model_find(model, name);

		fixture->prompt[4096 << (id % 5)] ^= (uint8_t)id;
		if (run != NULL && g_test_rand_bit())
			engine_model_remove(model, run);
		else if (run == NULL)
			engine_model_add(model, &request, fixture->now_s, &run);
		if (round % 500 == 499)
			engine_model_cold_restart(
			    model, g_test_rand_bit(), fixture->now_s);
		if (round % 900 == 899)
			engine_model_load(model, fixture->now_s);
		run_step(fixture);
	}
	g_assert_cmpuint(model->runs_finished, >, 0);
	engine_model_load(model, fixture->now_s);
	g_assert_cmpuint(model->used_tokens, ==, 0);
}

int
main(int argc, char **argv)
{
	static const struct {
		const char *name;
		bool cold;
		void (*test)(struct fixture *, gconstpointer);
	} cases[] = {
	    {"a run with a higher priority is prefilled first", false,
		test_priority},
	    {"a prompt prefilled before is cached", false, test_cache},
	    {"imports need no memory", false, test_import},
	    {"a cold engine fails by overload", true, test_overload},
	    {"an engine that is cold before its status shows it refuses first",
		false, test_unseen_fall},
	    {"memory is conserved", false, test_conserved},
	};

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/standin_engine/%s", cases[i].name);

		g_test_add(path, struct fixture, cases[i].cold ? "" : NULL,
		    set_up, cases[i].test, tear_down);
	}
	return g_test_run();
}
