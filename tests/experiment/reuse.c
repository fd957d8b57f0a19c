#include "reuse.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "fleet_model.h"
#include "gateway/prompt_cache.h"
#include "traffic.h"

/* Longest time that the modelled engines keep a prompt. */
#define KEEP_MS 600000
/* Part of the mean return time by which the times differ, both ways. */
#define RETURN_SPREAD 0.5
/* Session ids below this are of sessions, above it of single prompts. */
#define SINGLE_ID ((uint64_t)1 << 32)
/*
 * Events of a response: short enough that prefilling limits the engines' load,
 * not their slots.
 */
#define RESPONSE_EVENTS 4
/* Tokens that an engine keeps, of a session's prefix or a single prompt. */
struct kept {
	uint64_t id;
	uint64_t tokens;
	double used_ms;
};

/* The memory of an engine. */
struct keeper {
	GArray *kept; /* of struct kept */
	uint64_t kept_tokens;
	uint64_t running_tokens;
	uint64_t sent_tokens; /* of all gateways, so far */
	char id[24];
};

/* A gateway's view of an engine. */
struct view {
	uint64_t running_tokens;
	uint64_t sent_tokens;
};

struct reuse {
	const struct reuse_settings *settings;
	enum reuse_mode mode;
	struct keeper *keepers;
	struct prompt_cache **caches; /* by gateway */
	struct view **views; /* by gateway and engine */
	GHashTable *uses; /* prompt -> struct use */
	uint64_t single_id;
	double *planned_ms; /* saved of the prompt being planned, by engine */
	double warm_ms; /* prompts that arrive later are counted */
	double tokens;
	double reused_tokens;
	size_t hits;
	size_t wrong;
};

/* A prompt being served. */
struct use {
	struct prompt_cache_use use;
	double saved_ms; /* if its engine holds the prefix as assumed */
	double planned_ms; /* saved on average, as planned */
	bool is_guess;
	uint64_t reused_tokens; /* really */
};

/* Returns the prefixes of a prompt. */
static struct prompt_prefixes
prefixes_of(const struct prompt *prompt)
{
	return (struct prompt_prefixes){
	    .keys = {prompt->session, (uint64_t)(uintptr_t)prompt},
	    .tokens = {prompt->prefix_tokens, prompt->tokens},
	    .count = 2,
	    .shared_count = 1,
	};
}

/* Describes an engine's memory as a gateway knows it. */
static struct prompt_cache_upstream
describe_memory(const struct reuse *reuse, size_t gateway, size_t engine)
{
	const struct keeper *keeper = &reuse->keepers[engine];
	const struct view *view = &reuse->views[gateway][engine];

	return (struct prompt_cache_upstream){
	    .id = keeper->id,
	    .memory = reuse->settings->profile->memory_tokens,
	    .own_running = view->running_tokens,
	    .peers_running = keeper->running_tokens - view->running_tokens,
	    .peers_sent = keeper->sent_tokens - view->sent_tokens,
	};
}

/* Returns the home of a prefix, see affinity_home_weight(). */
static size_t
home_of(const struct reuse *reuse, uint64_t prefix)
{
	uint64_t most = 0;
	size_t best = 0;

	for (size_t i = 0; i < reuse->settings->engines; i++) {
		uint64_t weight = affinity_home_weight(
		    prefix, reuse->keepers[i].id);

		if (weight < most)
			continue;
		most = weight;
		best = i;
	}
	return best;
}

/* Sets what each engine is believed to save of a prompt's prefill. */
static void
describe(void *data, size_t gateway, const struct prompt *prompt,
    struct balance_candidate *candidates, double now_ms)
{
	struct reuse *reuse = data;
	const struct prompt_prefixes prefixes = prefixes_of(prompt);
	struct affinity_prompt wanted = {.tokens = prompt->tokens};
	double share = prompt_cache_share(reuse->caches[gateway], "", false);
	bool found = false;
	size_t home;

	memset(reuse->planned_ms, 0,
	    reuse->settings->engines * sizeof(*reuse->planned_ms));
	if (reuse->mode == REUSE_IGNORED || reuse->mode == REUSE_NONE_IGNORED)
		return;
	for (size_t i = 0; i < reuse->settings->engines; i++) {
		const struct prompt_cache_upstream upstream = describe_memory(
		    reuse, gateway, i);

		wanted.held_tokens = prompt_cache_held(reuse->caches[gateway],
		    &upstream, &prefixes, time_from_ms((int64_t)now_ms));
		found |= wanted.held_tokens > 0;
		candidates[i].saved_ms = affinity_saved_ms(
					     reuse->settings->profile,
					     &candidates[i], &wanted) *
		    share;
		reuse->planned_ms[i] = candidates[i].saved_ms;
	}
	if (found || reuse->mode == REUSE_ASSUMED)
		return;
	home = home_of(reuse, prompt->session);
	wanted.held_tokens = prompt->prefix_tokens;
	candidates[home].saved_ms = affinity_saved_ms(reuse->settings->profile,
					&candidates[home], &wanted) *
	    prompt_cache_share(reuse->caches[gateway], "", true);
	reuse->planned_ms[home] = candidates[home].saved_ms;
}

/* Finds what an engine keeps; NULL if it does not. */
static struct kept *
find_kept(struct keeper *keeper, uint64_t id)
{
	for (size_t i = 0; i < keeper->kept->len; i++) {
		struct kept *kept = &g_array_index(
		    keeper->kept, struct kept, i);

		if (kept->id == id)
			return kept;
	}
	return NULL;
}

/* Evicts what was used least recently until the rest fits into memory. */
static void
make_room(struct keeper *keeper, uint64_t memory)
{
	while (keeper->kept->len > 0 &&
	    keeper->kept_tokens + keeper->running_tokens > memory) {
		size_t oldest = 0;

		for (size_t i = 1; i < keeper->kept->len; i++) {
			if (g_array_index(keeper->kept, struct kept, i)
				.used_ms <
			    g_array_index(keeper->kept, struct kept, oldest)
				.used_ms)
				oldest = i;
		}
		keeper->kept_tokens -=
		    g_array_index(keeper->kept, struct kept, oldest).tokens;
		g_array_remove_index_fast(keeper->kept, (guint)oldest);
	}
}

/* Returns the time that a placed prompt is really prefilled at each engine. */
static double
place(void *data, size_t gateway, const struct prompt *prompt, double now_ms)
{
	struct reuse *reuse = data;
	const struct engine_profile *profile = reuse->settings->profile;
	struct keeper *keeper = &reuse->keepers[prompt->engines[0]];
	const struct prompt_cache_upstream upstream = describe_memory(
	    reuse, gateway, prompt->engines[0]);
	const struct prompt_prefixes prefixes = prefixes_of(prompt);
	struct use *use = g_new0(struct use, 1);
	struct kept *kept = find_kept(keeper, prompt->session);
	double part_ms = engine_profile_prefill_ms(profile, prompt->tokens) /
	    (double)prompt->engine_count;

	use->use.prompt_tokens = prompt->tokens;
	if (prompt->engine_count == 1)
		use->planned_ms = reuse->planned_ms[prompt->engines[0]];
	if (use->planned_ms > 0.0) {
		use->saved_ms = engine_profile_prefill_ms(
		    profile, prompt->prefix_tokens);
		use->use.held_tokens = prompt_cache_held(reuse->caches[gateway],
		    &upstream, &prefixes, time_from_ms((int64_t)now_ms));
		use->is_guess = use->use.held_tokens == 0;
	}
	if (kept != NULL && prompt->engine_count == 1) {
		use->reused_tokens = kept->tokens;
		part_ms -= engine_profile_prefill_ms(profile, kept->tokens);
	}
	prompt_cache_begin(reuse->caches[gateway], &upstream, &use->use);
	g_hash_table_insert(reuse->uses, (void *)prompt, use);
	keeper->running_tokens += prompt->tokens;
	keeper->sent_tokens += prompt->tokens;
	reuse->views[gateway][prompt->engines[0]]
	    .running_tokens += prompt->tokens;
	reuse->views[gateway][prompt->engines[0]].sent_tokens += prompt->tokens;
	make_room(keeper, profile->memory_tokens);
	return part_ms;
}

/* Checks an assumption by a first token. */
static void
begin(void *data, size_t gateway, const struct prompt *prompt)
{
	struct reuse *reuse = data;
	const struct use *use = g_hash_table_lookup(reuse->uses, prompt);
	const struct prompt_prefixes prefixes = prefixes_of(prompt);
	const struct prompt_cache_first_token token = {
	    .upstream = reuse->keepers[prompt->engines[0]].id,
	    .service = "",
	    .delay_ms = prompt->first_ms - prompt->planned_ms -
		prompt->expected_ms + use->saved_ms - use->planned_ms,
	    .saved_ms = use->saved_ms,
	    .is_guess = use->is_guess,
	};
	bool counted = prompt->arrived_ms >= reuse->warm_ms;

	if (counted) {
		reuse->tokens += (double)prompt->tokens;
		reuse->reused_tokens += (double)use->reused_tokens;
	}
	if (use->use.held_tokens > 0 && counted) {
		reuse->hits++;
		reuse->wrong += use->reused_tokens == 0;
	}
	prompt_cache_judge(reuse->caches[gateway], &token, &prefixes,
	    time_from_ms((int64_t)prompt->first_ms));
}

/* Keeps a part of a prompt at an engine. */
static void
keep(struct keeper *keeper, uint64_t id, uint64_t tokens, double now_ms)
{
	struct kept *kept = find_kept(keeper, id);

	if (kept == NULL) {
		const struct kept added = {.id = id, .tokens = tokens};

		g_array_append_val(keeper->kept, added);
		kept = &g_array_index(
		    keeper->kept, struct kept, keeper->kept->len - 1);
		keeper->kept_tokens += tokens;
	}
	kept->used_ms = now_ms;
}

/* Keeps a prompt that has ended. */
static void
end(void *data, size_t gateway, const struct prompt *prompt, double now_ms)
{
	struct reuse *reuse = data;
	struct keeper *keeper = &reuse->keepers[prompt->engines[0]];
	const struct use *use = g_hash_table_lookup(reuse->uses, prompt);
	const struct prompt_prefixes prefixes = prefixes_of(prompt);
	struct prompt_cache_upstream upstream;

	keeper->running_tokens -= prompt->tokens;
	reuse->views[gateway][prompt->engines[0]]
	    .running_tokens -= prompt->tokens;
	if (reuse->mode < REUSE_NONE_IGNORED) {
		keep(keeper, SINGLE_ID + reuse->single_id++,
		    prompt->tokens - prompt->prefix_tokens, now_ms - 1.0);
		keep(keeper, prompt->session, prompt->prefix_tokens, now_ms);
	}
	make_room(keeper, reuse->settings->profile->memory_tokens);
	upstream = describe_memory(reuse, gateway, prompt->engines[0]);
	prompt_cache_end(reuse->caches[gateway], keeper->id, &use->use);
	prompt_cache_add(reuse->caches[gateway], &upstream, &prefixes,
	    time_from_ms((int64_t)now_ms));
	g_hash_table_remove(reuse->uses, prompt);
}

static const struct fleet_model_ops reuse_ops = {
    .describe = describe,
    .place = place,
    .begin = begin,
    .end = end,
};

/* Compares prompts by arrival. */
static int
compare_arrivals(const void *a, const void *b)
{
	const struct prompt *left = *(struct prompt *const *)a;
	const struct prompt *right = *(struct prompt *const *)b;

	return (left->arrived_ms > right->arrived_ms) -
	    (left->arrived_ms < right->arrived_ms);
}

/* Returns the class of streams that prompts of a length usually have. */
static enum stream_class
class_of(uint64_t tokens)
{
	if (tokens <= 20000)
		return STREAM_SHORT;
	return tokens <= 100000 ? STREAM_MEDIUM : STREAM_LONG;
}

/* Adds the prompts of one session, from a random time on. */
static void
add_session(const struct reuse_settings *settings, uint64_t session,
    double return_ms, GRand *random, GPtrArray *prompts)
{
	double at_ms = g_rand_double(random) * return_ms;

	while (at_ms < settings->length_ms) {
		struct prompt *prompt = g_new0(struct prompt, 1);

		prompt->session = session;
		prompt->prefix_tokens = settings->prefix_tokens;
		prompt->tokens = settings->prefix_tokens + settings->own_tokens;
		prompt->class = class_of(prompt->tokens);
		prompt->events = RESPONSE_EVENTS;
		prompt->arrived_ms = at_ms;
		prompt->last_try_ms = at_ms;
		prompt->planned_ms = -1.0;
		prompt->first_ms = -1.0;
		g_ptr_array_add(prompts, prompt);
		at_ms += return_ms *
		    g_rand_double_range(
			random, 1.0 - RETURN_SPREAD, 1.0 + RETURN_SPREAD);
	}
}

/* Returns the prompts of all sessions, sorted by arrival. */
static GPtrArray *
make_prompts(const struct reuse_settings *settings, GRand *random)
{
	GPtrArray *prompts = g_ptr_array_new_with_free_func(g_free);
	double per_ms = settings->load * (double)settings->engines /
	    engine_profile_prefill_ms(settings->profile,
		settings->prefix_tokens + settings->own_tokens);
	double wanted = per_ms * settings->return_ms;
	size_t sessions = settings->sessions > 0 ? settings->sessions
						 : (size_t)MAX(wanted, 1.0);

	for (size_t i = 0; i < sessions; i++)
		add_session(settings, i + 1, (double)sessions / per_ms, random,
		    prompts);
	g_ptr_array_sort(prompts, compare_arrivals);
	return prompts;
}

/* Compares two times. */
static int
compare_times(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

/* Sums up a run. */
static void
sum_up(const struct reuse *reuse, const GPtrArray *prompts,
    struct reuse_result *out)
{
	g_autoptr(GArray) times = g_array_new(FALSE, FALSE, sizeof(double));
	size_t in_time = 0;
	size_t refused = 0;

	*out = (struct reuse_result){0};
	for (size_t i = 0; i < prompts->len; i++) {
		const struct prompt *prompt = prompts->pdata[i];
		double first_ms = prompt->first_ms - prompt->arrived_ms;

		if (prompt->arrived_ms < reuse->warm_ms)
			continue;
		out->prompts++;
		in_time += traffic_is_in_time(prompt);
		refused += prompt->first_ms < 0.0;
		if (prompt->first_ms >= 0.0)
			g_array_append_val(times, first_ms);
	}
	if (out->prompts == 0 || times->len == 0)
		return;
	g_array_sort(times, compare_times);
	out->first_p50_ms = g_array_index(times, double, times->len / 2);
	out->first_p95_ms = g_array_index(
	    times, double, times->len - 1 - times->len / 20);
	out->in_time = (double)in_time / (double)out->prompts;
	out->refused = (double)refused / (double)out->prompts;
	out->reused = reuse->reused_tokens / reuse->tokens;
	out->hits = (double)reuse->hits / (double)out->prompts;
	out->wrong = (double)reuse->wrong / (double)out->prompts;
}

/* Allocates the state of engines and gateways. */
static void
set_up(struct reuse *reuse)
{
	const struct reuse_settings *settings = reuse->settings;

	reuse->keepers = g_new0(struct keeper, settings->engines);
	for (size_t i = 0; i < settings->engines; i++) {
		reuse->keepers[i].kept = g_array_new(
		    FALSE, FALSE, sizeof(struct kept));
		snprintf(reuse->keepers[i].id, sizeof(reuse->keepers[i].id),
		    "e%zu", i);
	}
	reuse->caches = g_new(struct prompt_cache *, settings->gateways);
	reuse->views = g_new(struct view *, settings->gateways);
	for (size_t i = 0; i < settings->gateways; i++) {
		reuse->caches[i] = prompt_cache_new(KEEP_MS);
		reuse->views[i] = g_new0(struct view, settings->engines);
	}
	reuse->planned_ms = g_new0(double, settings->engines);
	reuse->uses = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

/* Frees it. */
static void
tear_down(struct reuse *reuse)
{
	const struct reuse_settings *settings = reuse->settings;

	for (size_t i = 0; i < settings->engines; i++)
		g_array_unref(reuse->keepers[i].kept);
	for (size_t i = 0; i < settings->gateways; i++) {
		prompt_cache_free(reuse->caches[i]);
		g_free(reuse->views[i]);
	}
	g_free(reuse->keepers);
	g_free(reuse->caches);
	g_free(reuse->views);
	g_free(reuse->planned_ms);
	g_hash_table_unref(reuse->uses);
}

/* Runs sessions of one kind; the same seed gives the same arrivals. */
void
reuse_run(const struct reuse_settings *settings, enum reuse_mode mode,
    uint32_t seed, struct reuse_result *out)
{
	struct reuse reuse = {
	    .settings = settings,
	    .mode = mode,
	    .warm_ms = settings->return_ms * (1.0 + RETURN_SPREAD),
	};
	const struct fleet_model_settings fleet = {
	    .profile = settings->profile,
	    .engines = settings->engines,
	    .gateways = settings->gateways,
	    .round_ms = settings->round_ms,
	    .sticky = settings->sticky,
	    .ops = &reuse_ops,
	    .data = &reuse,
	};
	GRand *random = g_rand_new_with_seed(seed);
	g_autoptr(GPtrArray) prompts = make_prompts(settings, random);

	set_up(&reuse);
	fleet_model_run(&fleet, prompts, random);
	sum_up(&reuse, prompts, out);
	tear_down(&reuse);
	g_rand_free(random);
}
