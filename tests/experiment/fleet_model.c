#include "fleet_model.h"

#include <string.h>

#include "base/clock.h"
#include "gateway/load_sync.h"
#include "policy/affinity.h"
#include "policy/caller_time.h"
#include "policy/precedence.h"
#include "policy/rank_waiting.h"
#include "policy/return_time.h"
#include "traffic.h"

/* Tick of the model's clock. */
#define TICK_MS 5.0
/* Latency between a gateway and an engine. */
#define NETWORK_LATENCY_MS 1.0
/* Share of their time left for which callers wait, with patience. */
#define PATIENCE_SHARE (1.0 / 3.0)
/* A caller retries once. */
#define REFUSALS_MAX 2

/* One gateway's load on an engine. */
struct account {
	uint32_t running;
	uint32_t streams[STREAM_CLASSES];
	uint64_t context_tokens;
	double prefill_ms;
};

struct gateway {
	struct account *own; /* by engine */
	struct account *published; /* as known to the other gateways */
	double *prefill_until_ms; /* by engine */
	struct rank_waiting waiting[PRECEDENCE_RANKS];
	struct rank_waiting published_waiting[PRECEDENCE_RANKS];
	double last_publish_ms;
	double next_publish_ms;
};

struct model {
	const struct fleet_model_settings *settings;
	struct engine **engines;
	struct gateway *gateways;
	GRand *random;
	double now_ms;
};

/* Returns an engine's state as known to a gateway. */
static struct balance_candidate
describe_engine(
    struct model *model, const struct gateway *gateway, size_t engine)
{
	struct balance_candidate candidate = {
	    .slots = model->settings->profile->slots,
	    .tie = g_rand_int(model->random),
	    .order = (uint32_t)engine,
	};

	for (size_t i = 0; i < model->settings->gateways; i++) {
		const struct gateway *other = &model->gateways[i];
		const struct account *account = other == gateway
		    ? &other->own[engine]
		    : &other->published[engine];

		candidate.running += account->running;
		candidate.backlog_ms += account->prefill_ms;
		candidate.context_tokens += account->context_tokens;
		for (size_t j = 0; j < STREAM_CLASSES; j++)
			candidate.streams[j] += account->streams[j];
	}
	return candidate;
}

/* Adds a prompt's stream to a load (delta 1) or removes it (-1). */
static void
count_stream(struct account *accounts, const struct prompt *prompt, int delta)
{
	struct account *account = &accounts[prompt->engines[0]];

	account->running += (uint32_t)delta;
	account->streams[prompt->class] += (uint32_t)delta;
	account->context_tokens += (uint64_t)((int64_t)prompt->tokens * delta);
}

/* Adds the prefill of a prompt. */
static void
count_prefill(
    struct model *model, struct gateway *gateway, struct prompt *prompt)
{
	for (size_t i = 0; i < prompt->engine_count; i++) {
		size_t engine = prompt->engines[i];
		double *until = &gateway->prefill_until_ms[engine];

		*until = MAX(*until, model->now_ms) + prompt->part_ms;
		prompt->counted_until_ms[i] = *until + ENGINE_PREFILL_SLACK_MS;
		gateway->own[engine].prefill_ms += prompt->part_ms;
	}
}

/* Tells the other gateways of a prompt, unless a load message already has. */
static void
notice(struct model *model, struct gateway *gateway, struct prompt *prompt)
{
	if (model->now_ms < prompt->planned_ms + model->settings->notice_ms)
		return;
	prompt->noticed = true;
	if (gateway->last_publish_ms > prompt->planned_ms)
		return;
	count_stream(gateway->published, prompt, 1);
	for (size_t i = 0; i < prompt->engine_count; i++)
		gateway->published[prompt->engines[i]]
		    .prefill_ms += prompt->part_ms;
}

/* Removes the prefill of parts that are complete, or should be by now. */
static void
uncount_prefill(
    struct model *model, struct gateway *gateway, struct prompt *prompt)
{
	for (size_t i = 0; i < prompt->engine_count; i++) {
		if (prompt->counted_until_ms[i] <= 0.0 ||
		    (prompt->first_ms < 0.0 &&
			prompt->counted_until_ms[i] > model->now_ms))
			continue;
		prompt->counted_until_ms[i] = 0.0;
		gateway->own[prompt->engines[i]].prefill_ms -= prompt->part_ms;
	}
}

/* Returns which gateway this is. */
static size_t
gateway_index(const struct model *model, const struct gateway *gateway)
{
	return (size_t)(gateway - model->gateways);
}

/* Starts the prefill of a prompt at its engines. */
static void
start_prefill(
    struct model *model, const struct gateway *gateway, struct prompt *prompt)
{
	const struct fleet_model_settings *settings = model->settings;
	double counted_ms = prompt->part_ms;

	if (settings->ops != NULL)
		prompt->part_ms = settings->ops->place(settings->data,
		    gateway_index(model, gateway), prompt, model->now_ms);
	for (size_t i = 0; i < prompt->engine_count; i++)
		engine_prefill(model->engines[prompt->engines[i]], prompt, i,
		    model->now_ms + NETWORK_LATENCY_MS);
	prompt->part_ms = counted_ms;
}

/* Sends a prompt to its planned engines. */
static void
send(struct model *model, struct gateway *gateway, struct prompt *prompt,
    const struct balance_plan *plan)
{
	prompt->planned_ms = model->now_ms;
	prompt->expected_ms = plan->first_token_ms;
	prompt->part_ms = plan->part_ms;
	prompt->engines[prompt->engine_count++] = plan->first;
	for (size_t i = 0; i < plan->helper_count; i++)
		prompt->engines[prompt->engine_count++] = plan->helpers[i];
	prompt->prefills_left = prompt->engine_count;
	start_prefill(model, gateway, prompt);
	count_stream(gateway->own, prompt, 1);
	count_prefill(model, gateway, prompt);
	notice(model, gateway, prompt);
}

/* Refuses a prompt: its caller retries later, or gives up the last time. */
static void
refuse(
    struct model *model, struct prompt *prompt, const struct balance_plan *plan)
{
	double left_ms = prompt->arrived_ms +
	    prompt_classes[prompt->class].deadline_ms - model->now_ms;
	const struct return_ask ask = {
	    .room_ms = MAX(plan->wait_ms, RETURN_TIME_ROOM_MIN_MS),
	    .left_ms = left_ms,
	    .serve_ms = plan->part_ms,
	    .phase = g_rand_double(model->random),
	};
	double wait_ms = (double)return_time_ms(&ask);

	if (prompt->refusals == 0)
		prompt->refused_ms = model->now_ms;
	prompt->ended = ++prompt->refusals >= REFUSALS_MAX;
	if (wait_ms <= 0.0 ||
	    (model->settings->patience && wait_ms > left_ms * PATIENCE_SHARE))
		prompt->ended = true;
	prompt->released = prompt->ended;
	prompt->last_try_ms = model->now_ms + wait_ms;
}

/* Returns the rank of a class; all are equal where they are not placed by it.
 */
static uint32_t
class_rank(const struct model *model, enum stream_class class)
{
	return model->settings->by_rank ? prompt_classes[class].rank : 0;
}

/* Returns the ranks of the classes. */
static struct precedence_ranks
describe_ranks(const struct model *model)
{
	struct precedence_ranks ranks = {.has_ranks = model->settings->by_rank};

	for (size_t i = 0; i < STREAM_CLASSES; i++) {
		const struct prompt_class *class = &prompt_classes[i];
		uint32_t rank = class_rank(model, (enum stream_class)i);

		ranks.used[rank] = true;
		ranks.least_urgent = MAX(ranks.least_urgent, rank);
		ranks.classes[i] = (struct precedence_class){
		    .used = true,
		    .rank = rank,
		    .gap_ms = class->gap_ms,
		};
	}
	return ranks;
}

/* Returns what waits at all gateways as known to one. */
static void
sum_waiting(const struct model *model, const struct gateway *gateway,
    struct rank_waiting sums[PRECEDENCE_RANKS])
{
	memcpy(sums, gateway->waiting, sizeof(gateway->waiting));
	for (size_t i = 0; i < model->settings->gateways; i++) {
		const struct gateway *other = &model->gateways[i];

		for (size_t j = 0; other != gateway && j < PRECEDENCE_RANKS;
		     j++)
			rank_waiting_sum(
			    &sums[j], &other->published_waiting[j]);
	}
}

/* Counts a prompt that waits, or no longer does. */
static void
set_waiting(struct gateway *gateway, struct prompt *prompt, bool waits)
{
	struct rank_waiting
	    *waiting = &gateway->waiting[prompt_classes[prompt->class].rank];

	if (waits == prompt->waiting)
		return;
	prompt->waiting = waits;
	if (waits)
		rank_waiting_add(waiting, prompt->tokens);
	else
		rank_waiting_remove(waiting, prompt->tokens);
}

/* Plans a prompt that is new, waiting or retried. */
static void
plan(struct model *model, struct gateway *gateway, struct prompt *prompt)
{
	const struct fleet_model_settings *settings = model->settings;
	g_autofree struct balance_candidate *candidates = g_new(
	    struct balance_candidate, settings->engines);
	const struct prompt_class *class = &prompt_classes[prompt->class];
	const struct caller_time_ask ask = {
	    .target_ms = class->target_ms,
	    .gap_ms = class->gap_ms,
	    .waited_ms = model->now_ms - prompt->last_try_ms,
	    .remaining_ms = prompt->arrived_ms + class->deadline_ms -
		model->now_ms,
	    .is_stream = true,
	};
	const struct caller_time time = caller_time_left(&ask);
	struct balance_prompt wanted = {
	    .tokens = prompt->tokens,
	    .output_tokens = (uint64_t)prompt->events *
		settings->profile->stride,
	    .class = prompt->class,
	    .target_ms = time.target_ms,
	    .slack_ms = time.slack_ms,
	    .left_ms = time.left_ms,
	    .rank = class_rank(model, prompt->class),
	    .route_rank = class_rank(model, prompt->class),
	    .gap_ms = class->gap_ms,
	};
	const struct precedence_ranks ranks = describe_ranks(model);
	struct rank_waiting sums[PRECEDENCE_RANKS];
	enum balance_verdict verdict;
	struct balance_plan plan;

	sum_waiting(model, gateway, sums);
	if (settings->by_rank)
		wanted.ahead_ms = rank_waiting_ahead_ms(
		    sums, wanted.rank, settings->profile, settings->engines);
	for (size_t i = 0; i < settings->engines; i++)
		candidates[i] = describe_engine(model, gateway, i);
	if (settings->ops != NULL)
		settings->ops->describe(settings->data,
		    gateway_index(model, gateway), prompt, candidates,
		    model->now_ms);
	verdict = precedence_plan_prompt(settings->profile, &ranks, candidates,
	    settings->engines, &wanted, &plan);
	if (verdict == BALANCE_SERVE) {
		affinity_adjust_plan(settings->profile, candidates,
		    settings->engines, &wanted, &plan);
		set_waiting(gateway, prompt, false);
		send(model, gateway, prompt, &plan);
	} else if (balance_prompt_may_wait(&wanted, verdict, &plan)) {
		set_waiting(gateway, prompt, true);
	} else {
		set_waiting(gateway, prompt, false);
		refuse(model, prompt, &plan);
	}
}

/* Advances one prompt: plans it, starts decoding, or ends it. */
static void
advance_prompt(struct model *model, size_t index, struct prompt *prompt)
{
	const struct fleet_model_settings *settings = model->settings;
	size_t reached = settings->sticky ? prompt->session
					  : index + prompt->refusals;
	struct gateway *gateway = &model
				       ->gateways[reached % settings->gateways];
	double since_ms = model->now_ms - prompt->last_try_ms;

	if (prompt->planned_ms < 0.0) {
		if (since_ms < TICK_MS ||
		    (int64_t)since_ms % BALANCE_WAIT_INTERVAL_MS < TICK_MS)
			plan(model, gateway, prompt);
		return;
	}
	if (!prompt->noticed)
		notice(model, gateway, prompt);
	if (prompt->prefills_left == 0 && !prompt->decoding) {
		engine_decode(
		    model->engines[prompt->engines[0]], prompt, model->now_ms);
		prompt->decoding = true;
		if (settings->ops != NULL)
			settings->ops->begin(settings->data,
			    gateway_index(model, gateway), prompt);
	}
	uncount_prefill(model, gateway, prompt);
	if (!prompt->ended)
		return;
	count_stream(gateway->own, prompt, -1);
	if (settings->ops != NULL)
		settings->ops->end(settings->data,
		    gateway_index(model, gateway), prompt, model->now_ms);
	prompt->released = true;
}

/* Publishes a gateway's load to the others when due. */
static void
publish_load(struct model *model, struct gateway *gateway)
{
	if (model->now_ms < gateway->next_publish_ms)
		return;
	memcpy(gateway->published_waiting, gateway->waiting,
	    sizeof(gateway->waiting));
	gateway->last_publish_ms = model->now_ms;
	gateway->next_publish_ms = model->now_ms + model->settings->round_ms;
	memcpy(gateway->published, gateway->own,
	    model->settings->engines * sizeof(*gateway->own));
}

/* Creates gateways and engines. */
static void
set_up(struct model *model)
{
	const struct fleet_model_settings *settings = model->settings;

	model->engines = g_new(struct engine *, settings->engines);
	for (size_t i = 0; i < settings->engines; i++)
		model->engines[i] = engine_new(settings->profile);
	model->gateways = g_new0(struct gateway, settings->gateways);
	for (size_t i = 0; i < settings->gateways; i++) {
		struct gateway *gateway = &model->gateways[i];

		gateway->own = g_new0(struct account, settings->engines);
		gateway->published = g_new0(struct account, settings->engines);
		gateway->prefill_until_ms = g_new0(double, settings->engines);
		gateway->next_publish_ms = g_rand_double_range(
		    model->random, 0.0, settings->round_ms);
	}
}

/* Frees gateways and engines. */
static void
tear_down(struct model *model)
{
	for (size_t i = 0; i < model->settings->engines; i++)
		engine_free(model->engines[i]);
	for (size_t i = 0; i < model->settings->gateways; i++) {
		g_free(model->gateways[i].own);
		g_free(model->gateways[i].published);
		g_free(model->gateways[i].prefill_until_ms);
	}
	g_free(model->engines);
	g_free(model->gateways);
}

/*
 * Serves prompts, sorted by arrival, until each is complete or abandoned by its
 * caller.
 */
void
fleet_model_run(const struct fleet_model_settings *settings, GPtrArray *prompts,
    GRand *random)
{
	struct model model = {.settings = settings, .random = random};
	size_t first = 0; /* prompt that is not released */

	set_up(&model);
	while (first < prompts->len) {
		model.now_ms += TICK_MS;
		for (size_t i = 0; i < settings->engines; i++)
			engine_run(model.engines[i], model.now_ms);
		for (size_t i = 0; i < settings->gateways; i++)
			publish_load(&model, &model.gateways[i]);
		for (size_t i = first; i < prompts->len; i++) {
			struct prompt *prompt = prompts->pdata[i];

			if (prompt->arrived_ms > model.now_ms)
				break;
			if (prompt->last_try_ms <= model.now_ms &&
			    !prompt->released)
				advance_prompt(&model, i, prompt);
		}
		while (first < prompts->len &&
		    ((struct prompt *)prompts->pdata[first])->released)
			first++;
	}
	tear_down(&model);
}
