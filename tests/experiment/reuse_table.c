#include "reuse_table.h"

#include <inttypes.h>
#include <stdio.h>

#include <glib.h>

#include "base/clock.h"
#include "gateway/load_sync.h"
#include "reuse.h"
#include "users_engine.h"

/* Length of a run: so many returns of a session, and at least this. */
#define RETURNS		3.0
#define LENGTH_MIN_MS	30000.0
#define SESSION_NUMBERS 5

static const char *const mode_names[REUSE_MODES] = {
    [REUSE_IGNORED] = "ignored",
    [REUSE_ASSUMED] = "assumed",
    [REUSE_HOME] = "home",
    [REUSE_NONE_IGNORED] = "none_ignored",
    [REUSE_NONE_HOME] = "none_home",
};

/* Adds the results of one seed to the mean of all. */
static void
add_result(struct reuse_result *sum, const struct reuse_result *result)
{
	sum->prompts += result->prompts;
	sum->reused += result->reused;
	sum->hits += result->hits;
	sum->wrong += result->wrong;
	sum->first_p50_ms += result->first_p50_ms;
	sum->first_p95_ms += result->first_p95_ms;
	sum->in_time += result->in_time;
	sum->refused += result->refused;
}

/* Runs one load in one mode with all seeds and prints the mean. */
static void
print_mode(
    const struct reuse_settings *settings, enum reuse_mode mode, int seeds)
{
	struct reuse_result sum = {0};
	double n = seeds;

	for (int seed = 0; seed < seeds; seed++) {
		struct reuse_result result;

		reuse_run(settings, mode, (uint32_t)seed, &result);
		add_result(&sum, &result);
	}
	printf("%s\t%.2f\t%.0f\t%" PRIu64
	       "\t%.4f\t%.4f\t%.4f\t%.0f\t%.0f\t%.4f\t%.4f\t%zu\n",
	    mode_names[mode], settings->load, settings->return_ms / MS_PER_S,
	    settings->prefix_tokens, sum.reused / n, sum.hits / n,
	    sum.wrong / n, sum.first_p50_ms / n, sum.first_p95_ms / n,
	    sum.in_time / n, sum.refused / n, sum.prompts / (size_t)seeds);
}

/*
 * Prints a line for each load and mode. sessions is
 * "SECONDS,PREFIX,OWN,SESSIONS,STICKY"; numbers left out are 0.
 */
void
reuse_table_print(const char *sessions, const char *loads, size_t engines,
    size_t gateways, int seeds)
{
	g_auto(GStrv) texts = g_strsplit(sessions, ",", SESSION_NUMBERS);
	g_auto(GStrv) load_texts = g_strsplit(loads, ",", -1);
	uint64_t numbers[SESSION_NUMBERS] = {0};

	for (size_t i = 0; i < SESSION_NUMBERS && texts[i] != NULL; i++)
		numbers[i] = g_ascii_strtoull(texts[i], NULL, 10);
	printf("mode\tload\treturn_s\tprefix\treused\thits\twrong\tfirst_p50_ms"
	       "\tfirst_p95_ms\tin_time\trefused\tprompts\n");
	for (size_t i = 0; load_texts[i] != NULL; i++) {
		const struct reuse_settings settings = {
		    .profile = &users_engine,
		    .engines = engines,
		    .gateways = gateways,
		    .round_ms = LOAD_SYNC_ROUND_MS +
			LOAD_SYNC_ROUND_PEER_MS * ((double)gateways - 1.0),
		    .load = g_ascii_strtod(load_texts[i], NULL),
		    .return_ms = (double)numbers[0] * MS_PER_S,
		    .length_ms = MAX(
			(double)numbers[0] * MS_PER_S * RETURNS, LENGTH_MIN_MS),
		    .prefix_tokens = numbers[1],
		    .own_tokens = numbers[2],
		    .sessions = numbers[3],
		    .sticky = numbers[4] == 1,
		};

		for (int mode = 0; mode < REUSE_MODES; mode++)
			print_mode(&settings, (enum reuse_mode)mode, seeds);
	}
}
