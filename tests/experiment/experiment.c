/*
 * Places seeded loads by the policy on modelled engines, in virtual time, and
 * prints the results; or compares the model with a gateway's log.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "fleet_model.h"
#include "gateway/load_sync.h"
#include "replay.h"
#include "reuse_table.h"
#include "traffic.h"
#include "users_engine.h"

#define LOADS_DEFAULT	 "0.2,0.4,0.6,0.8,1.0"
#define SEEDS_DEFAULT	 20
#define SECONDS_DEFAULT	 30
#define ENGINES_DEFAULT	 16
#define GATEWAYS_DEFAULT 5
static struct {
	char *loads;
	int seeds;
	int seconds;
	int engines;
	int gateways;
	char *replay;
	char *mix;
	int notice_ms;
	gboolean by_rank;
	gboolean prompts;
	gboolean patience;
	char *reuse;
} options = {NULL, SEEDS_DEFAULT, SECONDS_DEFAULT, ENGINES_DEFAULT,
    GATEWAYS_DEFAULT, NULL, NULL, 0, FALSE, FALSE, FALSE, NULL};

static const GOptionEntry entries[] = {
    {"loads", 0, 0, G_OPTION_ARG_STRING, &options.loads,
	"Loads; 1 keeps all engines prefilling (" LOADS_DEFAULT ")", "LIST"},
    {"seeds", 0, 0, G_OPTION_ARG_INT, &options.seeds, "Runs of each load", "N"},
    {"seconds", 0, 0, G_OPTION_ARG_INT, &options.seconds, "Length of a run",
	"S"},
    {"engines", 0, 0, G_OPTION_ARG_INT, &options.engines, "Engines", "N"},
    {"gateways", 0, 0, G_OPTION_ARG_INT, &options.gateways, "Gateways", "N"},
    {"mix", 0, 0, G_OPTION_ARG_STRING, &options.mix,
	"Mix of prompts: even or ranked", "NAME"},
    {"notice-ms", 0, 0, G_OPTION_ARG_INT, &options.notice_ms,
	"Time until other gateways know of a prompt", "MS"},
    {"by-rank", 0, 0, G_OPTION_ARG_NONE, &options.by_rank,
	"Place prompts by the ranks of the mix", NULL},
    {"prompts", 0, 0, G_OPTION_ARG_NONE, &options.prompts,
	"Print each prompt instead of the totals", NULL},
    {"reuse", 0, 0, G_OPTION_ARG_STRING, &options.reuse,
	"Sessions on engines that keep prompts: return seconds and prefix and "
	"own tokens, with a count of sessions or 0, and 1 if sticky",
	"S,PREFIX,OWN,SESSIONS,STICKY"},
    {"replay", 0, 0, G_OPTION_ARG_FILENAME, &options.replay,
	"Compare the model with a gateway's log", "FILE"},
    {"patience", 0, 0, G_OPTION_ARG_NONE, &options.patience,
	"Callers wait for at most a third of their time left", NULL},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL},
};

/* Results of the prompts of one class. */
struct outcome {
	size_t count;
	size_t outcomes[TRAFFIC_OUTCOMES];
	size_t returned; /* after one refusal */
	size_t again; /* of these: refused */
};

/* Adds the results of one run. */
static void
add_outcomes(const GPtrArray *prompts, struct outcome outcomes[STREAM_CLASSES])
{
	for (size_t i = 0; i < prompts->len; i++) {
		const struct prompt *prompt = prompts->pdata[i];
		struct outcome *outcome = &outcomes[prompt->class];

		outcome->count++;
		outcome->outcomes[traffic_outcome(prompt)]++;
		outcome->again += prompt->refusals > 1;
		outcome->returned += prompt->refusals > 1 ||
		    (prompt->refusals == 1 && prompt->planned_ms >= 0.0);
	}
}

/* Prints the prompts of a run. */
static void
print_prompts(const GPtrArray *prompts, double load)
{
	for (size_t i = 0; i < prompts->len; i++) {
		const struct prompt *prompt = prompts->pdata[i];

		printf("%.2f\t%s\t%" PRIu64 "\t%.0f\t%.0f\t%u\n", load,
		    prompt_classes[prompt->class].name, prompt->tokens,
		    prompt->first_ms < 0.0
			? -1.0
			: prompt->first_ms - prompt->arrived_ms,
		    prompt->max_gap_ms, prompt->refusals);
	}
}

/* Prints the results of one load. */
static void
print_load(double load, const struct outcome outcomes[STREAM_CLASSES])
{
	size_t count = 0;
	size_t in_time = 0;

	for (size_t i = 0; i < STREAM_CLASSES; i++) {
		count += outcomes[i].count;
		in_time += outcomes[i].outcomes[TRAFFIC_IN_TIME];
	}
	printf("%.2f\t%.4f", load, (double)in_time / (double)count);
	for (size_t i = 0; i < STREAM_CLASSES; i++) {
		for (size_t j = 0; j < TRAFFIC_OUTCOMES; j++)
			printf("\t%.4f",
			    (double)outcomes[i].outcomes[j] /
				(double)outcomes[i].count);
	}
	for (size_t i = 0; i < STREAM_CLASSES && options.patience; i++)
		printf("\t%zu\t%zu", outcomes[i].returned, outcomes[i].again);
	printf("\n");
}

/* Runs one load with all seeds. */
static void
run_load(const struct traffic_mix *mix, double load)
{
	const struct fleet_model_settings settings = {
	    .profile = mix->engine,
	    .engines = (size_t)options.engines,
	    .gateways = (size_t)options.gateways,
	    .round_ms = LOAD_SYNC_ROUND_MS +
		LOAD_SYNC_ROUND_PEER_MS * (options.gateways - 1),
	    .notice_ms = options.notice_ms,
	    .by_rank = options.by_rank,
	    .patience = options.patience,
	};
	struct outcome outcomes[STREAM_CLASSES] = {0};

	for (int seed = 0; seed < options.seeds; seed++) {
		GRand *random = g_rand_new_with_seed((guint32)seed);
		g_autoptr(GPtrArray) prompts = traffic_make(mix->engine,
		    settings.engines, load, options.seconds * 1000.0, random);

		fleet_model_run(&settings, prompts, random);
		add_outcomes(prompts, outcomes);
		if (options.prompts)
			print_prompts(prompts, load);
		g_rand_free(random);
	}
	if (!options.prompts)
		print_load(load, outcomes);
}

/* Prints the names of the columns. */
static void
print_heading(void)
{
	if (options.prompts) {
		printf("load\tclass\ttokens\tfirst_ms\tpause_ms\trefusals\n");
		return;
	}
	printf("load\tin_time");
	for (size_t i = 0; i < STREAM_CLASSES; i++)
		printf("\t%s\tlate\trefused\tfailed", prompt_classes[i].name);
	for (size_t i = 0; i < STREAM_CLASSES && options.patience; i++)
		printf("\treturned\tagain");
	printf("\n");
}

/* Runs all loads. */
static void
run_loads(const struct traffic_mix *mix)
{
	g_auto(GStrv) loads = g_strsplit(
	    options.loads != NULL ? options.loads : LOADS_DEFAULT, ",", -1);

	print_heading();
	for (size_t i = 0; loads[i] != NULL; i++)
		run_load(mix, g_ascii_strtod(loads[i], NULL));
}

/* Whether the options are valid; else prints an error. */
static bool
check_options(void)
{
	if (options.seeds > 0 && options.seconds > 0 && options.engines > 0 &&
	    options.gateways > 0)
		return true;
	fprintf(stderr,
	    "experiment: --seeds, --seconds, --engines and --gateways "
	    "must be whole numbers above 0\n");
	return false;
}

int
main(int argc, char **argv)
{
	g_autoptr(GOptionContext)
	    context = g_option_context_new("- place loads on modelled engines");
	g_autoptr(GError) error = NULL;
	const struct traffic_mix *mix;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "experiment: %s\n", error->message);
		return EXIT_FAILURE;
	}
	if (!check_options())
		return EXIT_FAILURE;
	if (options.reuse != NULL) {
		reuse_table_print(options.reuse,
		    options.loads != NULL ? options.loads : LOADS_DEFAULT,
		    (size_t)options.engines, (size_t)options.gateways,
		    options.seeds);
		return EXIT_SUCCESS;
	}
	mix = traffic_use_mix(options.mix != NULL ? options.mix : "even");
	if (mix == NULL) {
		fprintf(stderr, "experiment: unknown mix\n");
		return EXIT_FAILURE;
	}
	if (options.replay == NULL) {
		run_loads(mix);
		return EXIT_SUCCESS;
	}
	if (replay_log(&users_engine, options.replay, &error))
		return EXIT_SUCCESS;
	fprintf(stderr, "experiment: %s\n", error->message);
	return EXIT_FAILURE;
}
