#include "traffic.h"

#include <math.h>
#include <string.h>

#include "base/clock.h"
#include "policy/caller_time.h"
#include "users_engine.h"

/* Periodic change of the load: relative amplitude and period. */
#define WAVE_SWING 0.3
#define WAVE_MS	   11000.0
/* Prompts over which the mean prefill time is taken. */
#define SAMPLE_COUNT 20000

/* Bursts of the classes that have them: period and length. */
#define BURST_PERIOD_MS 15000.0
#define BURST_LENGTH_MS 3000.0

/*
 * Loads after the data sheets of the users' deployments: one of equal ranks,
 * and one whose kinds differ in rank, with bursts of the least urgent kind.
 */
static const struct traffic_mix mixes[] = {
    {"even", &users_engine,
	{[STREAM_SHORT] = {"short", 0.925, 4960, 0.9, 23800, 33, 300, 250,
	     10000, 0, 0.0},
	    [STREAM_MEDIUM] = {"medium", 0.047, 45000, 0.5, 110000, 20, 1500,
		600, 10000, 0, 0.0},
	    [STREAM_LONG] = {"long", 0.028, 154000, 0.55, 700000, 16, 3000,
		1000, 15000, 0, 0.0}}},
    {"ranked", &ranked_engine,
	{[STREAM_SHORT] = {"short", 0.862, 5000, 0.9, 24000, 33, 250, 250,
	     10000, 0, 0.0},
	    [STREAM_MEDIUM] = {"medium", 0.102, 45000, 0.5, 110000, 20, 1500,
		600, 10000, 1, 0.0},
	    [STREAM_LONG] = {"long", 0.036, 190000, 0.55, 600000, 16, 6000,
		1000, 20000, 2, 4.0}}},
};

const struct prompt_class *prompt_classes = mixes[0].classes;

/* Uses the classes of a mix, which must stay valid. */
void
traffic_set_mix(const struct traffic_mix *mix)
{
	prompt_classes = mix->classes;
}

/* Selects a mix by its name; returns NULL if there is none. */
const struct traffic_mix *
traffic_use_mix(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(mixes); i++) {
		if (strcmp(mixes[i].name, name) != 0)
			continue;
		traffic_set_mix(&mixes[i]);
		return &mixes[i];
	}
	return NULL;
}

/* Returns how often a class arrives at a time, in multiples of its share. */
static double
burst_rate(const struct prompt_class *class, double now_ms)
{
	bool in_burst = fmod(now_ms, BURST_PERIOD_MS) >=
	    BURST_PERIOD_MS - BURST_LENGTH_MS;

	return class->burst > 0.0 && in_burst ? class->burst : 1.0;
}

/* Returns the shares of all classes at a time; 1 without bursts. */
static double
total_share(double now_ms)
{
	double total = 0.0;

	for (size_t i = 0; i < STREAM_CLASSES; i++)
		total += prompt_classes[i].share *
		    burst_rate(&prompt_classes[i], now_ms);
	return total;
}

/* Returns a lognormally distributed random number with a given mean. */
static double
lognormal(GRand *random, double mean, double sigma)
{
	double radius = sqrt(-2.0 * log(1.0 - g_rand_double(random)));
	double normal = radius * cos(2.0 * G_PI * g_rand_double(random));

	return mean * exp(sigma * normal - sigma * sigma / 2.0);
}

/* Creates a prompt of a random class. */
static struct prompt *
make_prompt(GRand *random, double arrived_ms)
{
	struct prompt *prompt = g_new0(struct prompt, 1);
	double pick = g_rand_double(random) * total_share(arrived_ms);
	size_t class = 0;

	for (; class + 1 < STREAM_CLASSES; class ++) {
		double share = prompt_classes[class].share *
		    burst_rate(&prompt_classes[class], arrived_ms);

		if (pick < share)
			break;
		pick -= share;
	}
	prompt->class = (enum stream_class) class;
	prompt->tokens = (uint64_t)MIN(
	    lognormal(random, prompt_classes[class].tokens,
		prompt_classes[class].sigma),
	    prompt_classes[class].tokens_max);
	prompt->events = (uint32_t)MAX(
	    lognormal(random, prompt_classes[class].events, 0.6), 1.0);
	prompt->arrived_ms = arrived_ms;
	prompt->last_try_ms = arrived_ms;
	prompt->planned_ms = -1.0;
	prompt->first_ms = -1.0;
	return prompt;
}

/* Returns the mean prefill time of a prompt on one engine, in milliseconds. */
double
traffic_mean_prefill_ms(const struct engine_profile *profile)
{
	GRand *random = g_rand_new_with_seed(0);
	double total = 0.0;

	for (int i = 0; i < SAMPLE_COUNT; i++) {
		struct prompt *prompt = make_prompt(random, 0.0);

		total += engine_profile_prefill_ms(profile, prompt->tokens);
		g_free(prompt);
	}
	g_rand_free(random);
	return total / SAMPLE_COUNT;
}

/*
 * Creates the prompts of length_ms, sorted by arrival: a load of 1 keeps all
 * engines prefilling. The caller frees the array, which frees the prompts.
 */
GPtrArray *
traffic_make(const struct engine_profile *profile, size_t engines, double load,
    double length_ms, GRand *random)
{
	GPtrArray *prompts = g_ptr_array_new_with_free_func(g_free);
	double mean_gap_ms = traffic_mean_prefill_ms(profile) /
	    ((double)engines * load);
	double now_ms = 0.0;

	while (now_ms < length_ms) {
		double wave = 1.0 +
		    WAVE_SWING * sin(2.0 * G_PI * now_ms / WAVE_MS);

		now_ms -= log(1.0 - g_rand_double(random)) * mean_gap_ms /
		    (wave * total_share(now_ms));
		g_ptr_array_add(prompts, make_prompt(random, now_ms));
	}
	return prompts;
}

/* Whether the first event and all gaps of a prompt were within the limits. */
bool
traffic_is_in_time(const struct prompt *prompt)
{
	const struct prompt_class *class = &prompt_classes[prompt->class];

	return prompt->first_ms >= 0.0 &&
	    prompt->first_ms - prompt->arrived_ms <= class->target_ms &&
	    prompt->max_gap_ms <= class->gap_ms;
}

/*
 * Returns what became of a prompt's caller. One leaves at its deadline, or when
 * it has got no event for too long.
 */
enum traffic_outcome
traffic_outcome(const struct prompt *prompt)
{
	const struct prompt_class *class = &prompt_classes[prompt->class];
	double patience_ms = caller_time_stream_ms(
	    class->target_ms, class->gap_ms);

	if (prompt->planned_ms < 0.0)
		return TRAFFIC_REFUSED;
	if (prompt->first_ms < 0.0 ||
	    prompt->first_ms - prompt->arrived_ms > class->deadline_ms ||
	    prompt->first_ms - prompt->last_try_ms > patience_ms ||
	    prompt->max_gap_ms > patience_ms)
		return TRAFFIC_FAILED;
	return traffic_is_in_time(prompt) ? TRAFFIC_IN_TIME : TRAFFIC_LATE;
}
