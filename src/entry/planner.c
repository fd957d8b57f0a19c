#include "entry/planner.h"

#include <string.h>

#include "base/metrics.h"
#include "config/config.h"
#include "entry/placement_log.h"
#include "policy/placement.h"

#define LOG_MODULE "planner"
#include "base/log.h"

/*
 * Sidecars that don't answer a status query within this time count as not live.
 */
#define QUERY_TIMEOUT_MS 1500

METRIC_DEFINE(placements_stored, METRIC_COUNTER, "heatherturn_placements_total",
    NULL, "Placements that this entry has stored.");
METRIC_DEFINE(placements_failed, METRIC_COUNTER,
    "heatherturn_placement_failures_total", NULL,
    "Placements that were not stored, or without a known outcome.");

static const struct planner_ops default_ops = {
    .query_status = mesh_query_status,
    .permit = weights_request_permit,
};

struct planner {
	struct planner_settings settings;
	struct placement *placement;
	struct weights *weights;
	ev_timer timer;
	GHashTable *reported_specs; /* upstream id -> loaded model, as text */
	GHashTable *unused_permits; /* set of permit_key() */
	GHashTable *demand; /* service id -> tokens since demand_updated_at */
	struct timespec demand_updated_at;
	GPtrArray *queried_upstreams; /* their ids, in the order of the query */
	struct timespec queried_at;
	bool query_running;
	bool is_active; /* this entry plans and has the engines' states */
	struct weights_call *permit;
	char *permit_key;
	struct store_call *put;
	Heatherturn__V1__PlacementDocument *current;
	Heatherturn__V1__PlacementDocument
	    *next; /* NULL while none is being prepared */
	uint8_t *bytes;
	size_t length;
};

/* Discards the placement that was being prepared. */
static void
discard_next(struct planner *planner)
{
	if (planner->next == NULL)
		return;
	heatherturn__v1__placement_document__free_unpacked(planner->next, NULL);
	heatherturn__v1__placement_document__free_unpacked(
	    planner->current, NULL);
	planner->next = NULL;
	planner->current = NULL;
	g_clear_pointer(&planner->bytes, g_free);
}

/*
 * Returns the key of the permit that an assignment needs, freed with g_free();
 * NULL if it needs none, since its model is assigned or loaded already.
 */
static char *
permit_key(
    struct planner *planner, const Heatherturn__V1__Assignment *assignment)
{
	const Heatherturn__V1__Assignment *before = placement_find_assignment(
	    planner->current, assignment->upstream);
	g_autofree char *text = assignment_text(assignment);
	g_autofree char *old = assignment_text(before);

	if (strcmp(text, old) == 0 ||
	    g_strcmp0(text,
		g_hash_table_lookup(
		    planner->reported_specs, assignment->upstream)) == 0)
		return NULL;
	return g_strdup_printf("%s %s", assignment->upstream, text);
}

/*
 * A placement is stored: uses up its permits and marks the upstreams of its
 * loads as not warm until the next status query. Otherwise an assignment that
 * is withdrawn at once would count as never made, and its upstream as still
 * warm.
 */
static void
record_expected_loads(struct planner *planner)
{
	for (size_t i = 0; i < planner->next->n_assignments; i++) {
		const Heatherturn__V1__Assignment
		    *assignment = planner->next->assignments[i];
		g_autofree char *key = permit_key(planner, assignment);
		const struct placement_observation loading = {
		    .upstream = assignment->upstream,
		    .live = true,
		    .model = "",
		    .adapter = "",
		    .model_version = "",
		    .fencing = assignment->fencing,
		};

		if (key == NULL)
			continue;
		g_hash_table_remove(planner->unused_permits, key);
		g_hash_table_remove(
		    planner->reported_specs, assignment->upstream);
		placement_observe(planner->placement, &loading);
	}
}

/*
 * The store has answered. After an error, also one with an unknown outcome, the
 * placement is discarded and the next one is planned from the newest document.
 */
static void
on_stored(void *data, const struct store_result *result)
{
	struct planner *planner = data;

	planner->put = NULL;
	if (result->error != NULL) {
		metric_add(&placements_failed, 1);
		LOG_INFO("placement not stored", "{s:s, s:I}", "error",
		    result->error->message, "based_on",
		    (json_int_t)planner->current->version);
		discard_next(planner);
		return;
	}
	metric_add(&placements_stored, 1);
	placement_log_changes(documents_config(planner->settings.documents),
	    planner->current, planner->next, result->version);
	record_expected_loads(planner);
	documents_update(planner->settings.documents, DOCUMENT_PLACEMENT,
	    result->version, planner->bytes, planner->length);
	discard_next(planner);
}

/* Stores the placement, if the version it is based on is still current. */
static void
store_next(struct planner *planner)
{
	planner->length = heatherturn__v1__placement_document__get_packed_size(
	    planner->next);
	planner->bytes = g_malloc(planner->length + 1);
	heatherturn__v1__placement_document__pack(
	    planner->next, planner->bytes);
	planner->put = store_start(planner->settings.store,
	    &(struct store_request){.verb = STORE_PUT,
		.key = DOCUMENT_PLACEMENT,
		.version = planner->current->version,
		.value = planner->bytes,
		.length = planner->length},
	    on_stored, planner);
}

static void on_permit(void *, const GError *, int64_t);

/* Requests the next missing permit; without one, stores the placement. */
static void
request_next_permit(struct planner *planner)
{
	for (size_t i = 0; i < planner->next->n_assignments; i++) {
		const Heatherturn__V1__Assignment
		    *assignment = planner->next->assignments[i];
		g_autofree char *key = permit_key(planner, assignment);

		if (key == NULL ||
		    g_hash_table_contains(planner->unused_permits, key))
			continue;
		planner->permit_key = g_steal_pointer(&key);
		planner->permit = planner->settings.ops->permit(
		    planner->weights, assignment->model,
		    assignment->model_version, assignment->upstream, on_permit,
		    planner);
		return;
	}
	store_next(planner);
}

/*
 * The weight store has answered. Granted permits are kept for the next
 * placement, so that one with several loads gets all its permits even at a low
 * rate.
 */
static void
on_permit(void *data, const GError *error, int64_t retry_after_ms)
{
	struct planner *planner = data;
	char *key = g_steal_pointer(&planner->permit_key);

	planner->permit = NULL;
	if (error == NULL) {
		g_hash_table_add(planner->unused_permits, key);
		request_next_permit(planner);
		return;
	}
	g_free(key);
	LOG_INFO("placement discarded: no load permit", "{s:s, s:I}", "error",
	    error->message, "retry_after_ms", (json_int_t)retry_after_ms);
	placement_on_permit_refused(planner->placement, retry_after_ms,
	    clock_monotonic(planner->settings.clock));
	discard_next(planner);
}

/* Returns the current placement, to be freed; NULL if it can't be decoded. */
static Heatherturn__V1__PlacementDocument *
read_current(const struct planner *planner)
{
	Heatherturn__V1__PlacementDocument *current;
	uint64_t version = documents_version(
	    planner->settings.documents, DOCUMENT_PLACEMENT);
	size_t length = 0;
	const uint8_t *bytes = documents_get(
	    planner->settings.documents, DOCUMENT_PLACEMENT, &length);

	current = heatherturn__v1__placement_document__unpack(
	    NULL, version > 0 ? length : 0, bytes);
	if (current != NULL)
		current->version = version;
	return current;
}

/* Passes the demand since the last update to the policy, in tokens/s. */
static void
update_demand(struct planner *planner, struct timespec now)
{
	int64_t passed_ms = time_diff_ms(now, planner->demand_updated_at);
	GHashTableIter iter;
	gpointer service, tokens;

	if (passed_ms <= 0)
		return;
	planner->demand_updated_at = now;
	g_hash_table_iter_init(&iter, planner->demand);
	while (g_hash_table_iter_next(&iter, &service, &tokens)) {
		placement_update_demand(planner->placement, service,
		    (double)*(uint64_t *)tokens * MS_PER_S / (double)passed_ms,
		    now);
		*(uint64_t *)tokens = 0;
	}
}

/* Plans the next placement; requests its permits if anything changes. */
static void
make_plan(struct planner *planner)
{
	const Heatherturn__V1__ConfigDocument *config = config_document(
	    documents_config(planner->settings.documents));
	struct timespec now = clock_monotonic(planner->settings.clock);
	Heatherturn__V1__PlacementDocument *current = read_current(planner);

	if (current == NULL) {
		LOG_ERROR("current placement can't be decoded", "{}");
		return;
	}
	planner->next = placement_plan(
	    planner->placement, config, current, now);
	if (planner->next == NULL) {
		heatherturn__v1__placement_document__free_unpacked(
		    current, NULL);
		return;
	}
	planner->current = current;
	request_next_permit(planner);
}

/* Passes the engines' states to the policy and plans. */
static void
on_engine_states(
    void *data, const struct mesh_peer_status *entries, size_t count)
{
	struct planner *planner = data;

	planner->query_running = false;
	planner->is_active = true;
	g_hash_table_remove_all(planner->reported_specs);
	for (size_t i = 0; i < count; i++) {
		const struct mesh_peer_status *status = &entries[i];
		const char *id = g_ptr_array_index(
		    planner->queried_upstreams, i);
		bool live = status->answered &&
		    g_strcmp0(status->upstream, id) == 0;
		const struct placement_observation observation = {
		    .upstream = id,
		    .live = live,
		    .warm = live && status->warm,
		    .model = live ? status->model : "",
		    .adapter = live ? status->adapter : "",
		    .model_version = live ? status->model_version : "",
		    .fencing = live ? status->fencing : 0,
		};

		placement_observe(planner->placement, &observation);
		if (live)
			g_hash_table_insert(planner->reported_specs,
			    g_strdup(id),
			    model_spec_text(status->model, status->adapter,
				status->model_version));
	}
	make_plan(planner);
}

/* Queries the sidecars of all engines for the models they have loaded. */
static void
query_engine_states(struct planner *planner, struct timespec now)
{
	const Heatherturn__V1__ConfigDocument *config = config_document(
	    documents_config(planner->settings.documents));
	g_autofree const char **addresses = g_new0(
	    const char *, config->n_upstreams + 1);

	g_ptr_array_set_size(planner->queried_upstreams, 0);
	for (size_t i = 0; i < config->n_upstreams; i++) {
		const Heatherturn__V1__Upstream *upstream = config
								->upstreams[i];

		if (strcmp(upstream->dialect, "plain") == 0)
			continue;
		addresses[planner->queried_upstreams->len] =
		    upstream->sidecar_address;
		g_ptr_array_add(
		    planner->queried_upstreams, g_strdup(upstream->id));
	}
	planner->query_running = true;
	planner->queried_at = now;
	planner->settings.ops->query_status(planner->settings.mesh, addresses,
	    planner->queried_upstreams->len, QUERY_TIMEOUT_MS, on_engine_states,
	    planner);
}

/* Returns whether there is any rollout; without one nothing is planned. */
static bool
has_rollouts(const struct planner *planner)
{
	return config_document(documents_config(planner->settings.documents))
		   ->n_rollouts > 0;
}

/* Returns whether this entry is the one that plans. */
static bool
is_planning_entry(const struct planner *planner)
{
	const char *self = planner->settings.identity->address;
	size_t count, live = 0;
	const struct host *const *hosts = hosts_list(
	    planner->settings.hosts, &count);
	g_autofree const char **entries = g_new0(const char *, count + 1);

	if (planner->settings.identity->draining)
		return false;
	entries[live++] = self;
	for (size_t i = 0; i < count; i++) {
		if (hosts[i]->role == ROLE_ENTRY && !hosts[i]->leaving &&
		    strcmp(hosts[i]->address, self) != 0)
			entries[live++] = hosts[i]->address;
	}
	return placement_choose_planner(entries, live) == 0;
}

/*
 * Updates the demand; on the planning entry, queries the engines' states or
 * plans. Called every PLAN_INTERVAL_MS.
 */
void
planner_tick(struct planner *planner)
{
	struct timespec now = clock_monotonic(planner->settings.clock);

	update_demand(planner, now);
	if (planner->query_running || planner->next != NULL)
		return;
	if (!has_rollouts(planner) || !is_planning_entry(planner)) {
		planner->is_active = false;
		return;
	}
	if (time_diff_ms(now, planner->queried_at) >= PLAN_QUERY_INTERVAL_MS)
		query_engine_states(planner, now);
	else if (planner->is_active)
		make_plan(planner);
}

static void
on_plan_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	planner_tick(timer->data);
}

/* Creates the planner and starts its timer. */
struct planner *
planner_new(const struct planner_settings *settings)
{
	struct planner *planner = g_new0(struct planner, 1);
	struct timespec now = clock_monotonic(settings->clock);
	struct placement_limits limits;

	planner->settings = *settings;
	if (settings->ops == NULL)
		planner->settings.ops = &default_ops;
	placement_limits_init(&limits);
	planner->placement = placement_new(&limits, now);
	planner->weights = weights_new(settings->http, settings->platform);
	planner->reported_specs = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	planner->unused_permits = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, NULL);
	planner->demand = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	planner->demand_updated_at = now;
	planner->queried_at = time_add_ms(now, -PLAN_QUERY_INTERVAL_MS);
	planner->queried_upstreams = g_ptr_array_new_with_free_func(g_free);
	ev_timer_init(&planner->timer, on_plan_timer,
	    (double)PLAN_INTERVAL_MS / MS_PER_S,
	    (double)PLAN_INTERVAL_MS / MS_PER_S);
	planner->timer.data = planner;
	ev_timer_start(settings->loop, &planner->timer);
	return planner;
}

/*
 * Frees the planner; must be called before the mesh is freed, and not from one
 * of the planner's callbacks. A write in flight is abandoned with an unknown
 * outcome. NULL is allowed.
 */
void
planner_free(struct planner *planner)
{
	if (planner == NULL)
		return;
	ev_timer_stop(planner->settings.loop, &planner->timer);
	if (planner->permit != NULL)
		weights_call_cancel(planner->permit);
	if (planner->put != NULL)
		store_call_cancel(planner->settings.store, planner->put);
	discard_next(planner);
	g_free(planner->permit_key);
	g_ptr_array_unref(planner->queried_upstreams);
	g_hash_table_unref(planner->reported_specs);
	g_hash_table_unref(planner->unused_permits);
	g_hash_table_unref(planner->demand);
	weights_free(planner->weights);
	placement_free(planner->placement);
	g_free(planner);
}

/* Adds to the demand on a service, in tokens; a NULL planner is allowed. */
void
planner_add_demand(
    struct planner *planner, const char *service, uint64_t tokens)
{
	uint64_t *sum;

	if (planner == NULL)
		return;
	sum = g_hash_table_lookup(planner->demand, service);
	if (sum == NULL) {
		sum = g_new0(uint64_t, 1);
		g_hash_table_insert(planner->demand, g_strdup(service), sum);
	}
	*sum += tokens;
}
