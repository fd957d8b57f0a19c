#include "policy/placement.h"

#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "policy/placement_state.h"

#define ROLE_BOTH "both"

struct observation {
	bool live;
	bool warm;
	char *model;
	char *adapter;
	char *version;
	uint64_t fencing;
};

struct demand {
	double tokens_per_s; /* smoothed */
	struct timespec at;
};

struct placement {
	struct placement_limits limits;
	GHashTable *observations; /* struct observation, by upstream */
	GHashTable *demands; /* struct demand, by service */
	struct timespec loads_not_before; /* no permits until then */
	struct timespec last_pool_move;
};

INVARIANT_DEFINE(fencing_rises, "placement_fencing_rises");
INVARIANT_DEFINE(loads_limited, "placement_loads_paced");

/* Sets default limits for a fleet of some tens of upstreams. */
void
placement_limits_init(struct placement_limits *limits)
{
	*limits = (struct placement_limits){
	    .loads_max = 2,
	    .warm_percent = 70,
	    .demand_smoothing_ms = 60000,
	    .pool_move_interval_ms = 120000,
	    .pool_ratio_percent = 150,
	};
}

/* Frees an observation, as a GDestroyNotify. */
static void
observation_free(void *data)
{
	struct observation *seen = data;

	g_free(seen->model);
	g_free(seen->adapter);
	g_free(seen->version);
	g_free(seen);
}

/* Creates a planner without observations. */
struct placement *
placement_new(const struct placement_limits *limits, struct timespec now)
{
	struct placement *placement = g_new0(struct placement, 1);

	placement->limits = *limits;
	placement->last_pool_move = now;
	placement->observations = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, observation_free);
	placement->demands = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	return placement;
}

/* Frees the planner. */
void
placement_free(struct placement *placement)
{
	if (placement == NULL)
		return;
	g_hash_table_unref(placement->observations);
	g_hash_table_unref(placement->demands);
	g_free(placement);
}

/* Replaces the last observed state of an upstream. */
void
placement_observe(
    struct placement *placement, const struct placement_observation *observed)
{
	struct observation *seen = g_new0(struct observation, 1);

	seen->live = observed->live;
	seen->warm = observed->warm;
	seen->model = g_strdup(observed->model);
	seen->adapter = g_strdup(observed->adapter);
	seen->version = g_strdup(observed->model_version);
	seen->fencing = observed->fencing;
	g_hash_table_replace(
	    placement->observations, g_strdup(observed->upstream), seen);
}

/* Updates a service's smoothed demand with a new value in tokens per second. */
void
placement_update_demand(struct placement *placement, const char *service,
    double tokens_per_s, struct timespec now)
{
	struct demand *demand = g_hash_table_lookup(
	    placement->demands, service);
	double passed_ms, weight;

	if (demand == NULL) {
		demand = g_new0(struct demand, 1);
		demand->tokens_per_s = tokens_per_s;
		demand->at = now;
		g_hash_table_insert(
		    placement->demands, g_strdup(service), demand);
		return;
	}
	passed_ms = (double)time_diff_ms(now, demand->at);
	weight = 1 -
	    exp(-passed_ms / (double)placement->limits.demand_smoothing_ms);
	demand->tokens_per_s += weight * (tokens_per_s - demand->tokens_per_s);
	demand->at = now;
}

/*
 * Stops new loads for retry_after_ms, since the weight store refused a permit.
 */
void
placement_on_permit_refused(
    struct placement *placement, int64_t retry_after_ms, struct timespec now)
{
	placement->loads_not_before = time_add_ms(now, retry_after_ms);
}

/* Returns a service's smoothed demand in tokens per second. */
static double
demand_of(void *data, const char *service)
{
	const struct placement *placement = data;
	const struct demand *demand = g_hash_table_lookup(
	    placement->demands, service);

	return demand != NULL ? demand->tokens_per_s : 0;
}

/*
 * Returns whether two model specs are the same. An empty one equals nothing,
 * not even another empty one.
 */
bool
model_spec_equal(const struct model_spec *a, const struct model_spec *b)
{
	return a->model != NULL && b->model != NULL &&
	    strcmp(a->model, b->model) == 0 &&
	    strcmp(a->adapter, b->adapter) == 0 &&
	    strcmp(a->version, b->version) == 0;
}

/* Returns the rollout with the spec's model and adapter, or NULL. */
const Heatherturn__V1__Rollout *
plan_find_rollout(const struct plan *plan, const struct model_spec *spec)
{
	for (size_t i = 0; i < plan->config->n_rollouts; i++) {
		const Heatherturn__V1__Rollout *rollout = plan->config
							      ->rollouts[i];

		if (spec->model != NULL &&
		    strcmp(rollout->model, spec->model) == 0 &&
		    strcmp(rollout->adapter, spec->adapter) == 0)
			return rollout;
	}
	return NULL;
}

/* Returns the number of a service's upstreams that are in service. */
size_t
plan_count_usable(const struct plan *plan, const char *service)
{
	size_t count = 0;

	for (size_t i = 0; i < plan->count; i++) {
		if (plan->planned_upstreams[i].usable &&
		    strcmp(plan->planned_upstreams[i].service, service) == 0)
			count++;
	}
	return count;
}

/*
 * Returns whether one of a service's warm upstreams may be taken out of use. A
 * service with a single upstream cannot keep it warm during a load.
 */
static bool
may_unload_warm(const struct plan *plan, const char *service)
{
	size_t usable = plan_count_usable(plan, service), warm = 0, floor;

	for (size_t i = 0; i < plan->count; i++) {
		if (plan->planned_upstreams[i].warm &&
		    strcmp(plan->planned_upstreams[i].service, service) == 0)
			warm++;
	}
	floor = (usable * plan->limits->warm_percent + 99) / 100;
	return warm > MIN(floor, usable - 1);
}

/* Returns whether an upstream may be assigned a model spec now. */
bool
plan_may_assign(const struct plan *plan, const struct planned_upstream *planned,
    const struct model_spec *spec)
{
	if (model_spec_equal(&planned->loaded, spec))
		return true;
	if (planned->loading)
		return true; /* does not add a load */
	if (plan->loads_allowed == 0)
		return false;
	return !planned->warm || may_unload_warm(plan, planned->service);
}

/* Assigns a model spec to an upstream. */
void
plan_assign(struct plan *plan, struct planned_upstream *planned,
    const struct model_spec *spec)
{
	bool load = !model_spec_equal(&planned->loaded, spec);

	planned->changed |= !model_spec_equal(&planned->desired, spec);
	planned->desired = *spec;
	planned->assigned = true;
	if (!load || planned->loading)
		return;
	invariant_check(&loads_limited, plan->loads_allowed > 0, NULL, NULL);
	plan->loads_allowed--;
	planned->loading = true;
	planned->warm = false;
}

/* Returns whether an upstream and its failure domain are in service. */
static bool
in_service(const Heatherturn__V1__ConfigDocument *config,
    const Heatherturn__V1__Upstream *upstream)
{
	if (upstream->state ==
	    HEATHERTURN__V1__UPSTREAM_STATE__UPSTREAM_STATE_LEAVING)
		return false;
	for (size_t i = 0; i < config->n_failure_domains; i++) {
		if (strcmp(config->failure_domains[i]->id,
			upstream->failure_domain) == 0)
			return config->failure_domains[i]->state !=
			    HEATHERTURN__V1__FAILURE_DOMAIN_STATE__FAILURE_DOMAIN_STATE_TAKEN_OUT;
	}
	return true;
}

/* Reads an upstream's assignment from the current document. */
static void
read_current_assignment(struct plan *plan, struct planned_upstream *planned,
    const Heatherturn__V1__PlacementDocument *current)
{
	const Heatherturn__V1__Rollout *rollout;

	for (size_t i = 0; i < current->n_assignments; i++) {
		const Heatherturn__V1__Assignment
		    *assignment = current->assignments[i];

		if (strcmp(assignment->upstream, planned->upstream->id) != 0)
			continue;
		planned->desired = (struct model_spec){assignment->model,
		    assignment->adapter, assignment->model_version};
		planned->fencing = assignment->fencing;
		planned->leaving = assignment->leaving;
		planned->assigned = true;
	}
	rollout = plan_find_rollout(plan, &planned->desired);
	if (planned->service[0] != '\0')
		return;
	planned->assigned = rollout != NULL;
	if (rollout != NULL)
		planned->service = rollout->id;
}

/* Sets an upstream's state from its last observation, if there is one. */
static void
apply_observation(
    struct planned_upstream *planned, const struct observation *seen)
{
	if (seen == NULL || !seen->live)
		return;
	planned->loaded = (struct model_spec){
	    seen->model, seen->adapter, seen->version};
	planned->observed_fencing = seen->fencing;
	planned->loading = planned->assigned &&
	    !model_spec_equal(&planned->loaded, &planned->desired);
	planned->warm = seen->warm && planned->usable && !planned->loading;
}

/*
 * Fills in the plan's upstreams from the configuration, the current document
 * and the observations.
 */
static void
fill_plan(struct placement *placement, struct plan *plan,
    const Heatherturn__V1__PlacementDocument *current)
{
	uint32_t loading = 0;

	for (size_t i = 0; i < plan->config->n_upstreams; i++) {
		const Heatherturn__V1__Upstream *upstream = plan->config
								->upstreams[i];
		struct planned_upstream *planned;
		bool leaving;

		if (strcmp(upstream->dialect, "plain") == 0)
			continue;
		planned = &plan->planned_upstreams[plan->count++];
		planned->upstream = upstream;
		planned->service = upstream->service;
		planned->usable = in_service(plan->config, upstream);
		read_current_assignment(plan, planned, current);
		leaving = !planned->usable;
		planned->changed = planned->assigned &&
		    planned->leaving != leaving;
		planned->leaving = leaving;
		apply_observation(planned,
		    g_hash_table_lookup(placement->observations, upstream->id));
		loading += planned->loading;
	}
	plan->loads_allowed = placement->limits.loads_max -
	    MIN(loading, placement->limits.loads_max);
}

/*
 * Returns a new document with the plan's assignments. A changed assignment gets
 * a fencing number above its previous one and the engine's last reported one,
 * so that it is not rejected as stale, and at least the document's version, so
 * that the numbers rise also for an upstream that is removed and registered
 * again.
 */
static Heatherturn__V1__PlacementDocument *
make_document(
    const struct plan *plan, const Heatherturn__V1__PlacementDocument *current)
{
	Heatherturn__V1__PlacementDocument document;
	g_autofree Heatherturn__V1__Assignment *assignments = g_new0(
	    Heatherturn__V1__Assignment, plan->count);
	g_autofree Heatherturn__V1__Assignment **list = g_new0(
	    Heatherturn__V1__Assignment *, plan->count);
	g_autofree uint8_t *packed = NULL;
	size_t length;

	heatherturn__v1__placement_document__init(&document);
	document.version = current->version + 1;
	document.assignments = list;
	for (size_t i = 0; i < plan->count; i++) {
		const struct planned_upstream
		    *planned = &plan->planned_upstreams[i];
		Heatherturn__V1__Assignment *to = &assignments[i];

		if (planned->desired.model == NULL)
			continue;
		heatherturn__v1__assignment__init(to);
		to->upstream = planned->upstream->id;
		to->model = (char *)planned->desired.model;
		to->adapter = (char *)planned->desired.adapter;
		to->model_version = (char *)planned->desired.version;
		to->role = ROLE_BOTH;
		to->leaving = planned->leaving;
		to->fencing = planned->fencing;
		if (planned->changed) {
			to->fencing = MAX(document.version,
			    MAX(planned->observed_fencing, planned->fencing) +
				1);
			invariant_check(&fencing_rises,
			    to->fencing > planned->fencing, NULL, NULL);
		}
		list[document.n_assignments++] = to;
	}
	length = heatherturn__v1__placement_document__get_packed_size(
	    &document);
	packed = g_malloc(length);
	heatherturn__v1__placement_document__pack(&document, packed);
	return heatherturn__v1__placement_document__unpack(
	    NULL, length, packed);
}

/*
 * Returns the next desired document, or NULL if nothing is to change now. The
 * caller stores it on condition that the current one is still in force, and
 * frees it with free_unpacked.
 */
Heatherturn__V1__PlacementDocument *
placement_plan(struct placement *placement,
    const Heatherturn__V1__ConfigDocument *config,
    const Heatherturn__V1__PlacementDocument *current, struct timespec now)
{
	g_autofree struct planned_upstream *planned_upstreams = g_new0(
	    struct planned_upstream, config->n_upstreams);
	struct plan plan = {.limits = &placement->limits,
	    .config = config,
	    .planned_upstreams = planned_upstreams};
	bool changed = false;

	fill_plan(placement, &plan, current);
	if (time_before(now, placement->loads_not_before))
		plan.loads_allowed = 0;
	if (time_diff_ms(now, placement->last_pool_move) <
	    placement->limits.pool_move_interval_ms)
		plan.pool_cooldown = true;
	if (placement_assign_pool(&plan, demand_of, placement))
		placement->last_pool_move = now;
	for (size_t i = 0; i < config->n_rollouts; i++)
		placement_roll_out(&plan, config->rollouts[i]);
	for (size_t i = 0; i < plan.count; i++)
		changed |= planned_upstreams[i].changed;
	return changed ? make_document(&plan, current) : NULL;
}

/*
 * Returns the index of the entry that plans, among the live ones. All entries
 * that see the same list get the same result. Count must be at least 1.
 */
size_t
placement_choose_planner(const char *const *entries, size_t count)
{
	size_t best = 0;
	uint64_t highest = 0, score;

	for (size_t i = 0; i < count; i++) {
		score = XXH3_64bits(entries[i], strlen(entries[i]));
		if (score > highest) {
			best = i;
			highest = score;
		}
	}
	return best;
}
