#include "entry/planner.h"

#include <string.h>

#include "base/metrics.h"
#include "config/config.h"
#include "entry/placement_log.h"
#include "policy/placement.h"

#define LOG_MODULE "planner"
#include "base/log.h"

/* Sidecars that have not answered a census by then count as not live. */
#define CENSUS_WAIT_MS 1500

METRIC_DEFINE(metric_plans, METRIC_COUNTER, "heatherturn_placements_total",
    NULL, "Placements that this entry has stored.");
METRIC_DEFINE(metric_lost, METRIC_COUNTER,
    "heatherturn_placement_failures_total", NULL,
    "Placements that were not stored, or without a known outcome.");

static const struct planner_ops default_ops = {
    .census = mesh_query_status,
    .permit = weights_permit,
};

struct planner {
	struct planner_settings with;
	struct placement *placement;
	struct weights *weights;
	ev_timer timer;
	GHashTable *held; /* upstream's id to what it holds, as text */
	GHashTable *granted; /* permits not used yet, as text */
	GHashTable *demand; /* service to tokens since demand_at */
	struct timespec demand_at;
	GPtrArray *asked; /* upstreams' ids, in the census's order */
	struct timespec census_at;
	bool asking;
	bool plans; /* is the planner, and has had a census as such */
	struct weights_call *permit;
	char *permit_key;
	struct store_call *put;
	Heatherturn__V1__PlacementDocument *current;
	Heatherturn__V1__PlacementDocument *next; /* NULL while none is made */
	uint8_t *bytes;
	size_t length;
};

/* Drops the placement that was being made. */
static void
drop_next(struct planner *planner)
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
 * Returns the permit that an assignment takes, as text to be freed; NULL where
 * it is no new load.
 */
static char *
permit_key(
    struct planner *planner, const Heatherturn__V1__Assignment *assignment)
{
	const Heatherturn__V1__Assignment *before = assignment_of(
	    planner->current, assignment->upstream);
	g_autofree char *text = assignment_text(assignment);
	g_autofree char *old = assignment_text(before);

	if (strcmp(text, old) == 0 ||
	    g_strcmp0(text,
		g_hash_table_lookup(planner->held, assignment->upstream)) == 0)
		return NULL;
	return g_strdup_printf("%s %s", assignment->upstream, text);
}

/*
 * A placement is stored: its permits are used up, and what its loads' upstreams
 * held before is not believed until the next census. An order that is taken
 * back at once would else count as never given and its upstream as warm.
 */
static void
expect_loads(struct planner *planner)
{
	for (size_t i = 0; i < planner->next->n_assignments; i++) {
		const Heatherturn__V1__Assignment *one = planner->next
							     ->assignments[i];
		g_autofree char *key = permit_key(planner, one);
		const struct placement_observation loading = {
		    .upstream = one->upstream,
		    .live = true,
		    .model = "",
		    .adapter = "",
		    .model_version = "",
		    .fencing = one->fencing,
		};

		if (key == NULL)
			continue;
		g_hash_table_remove(planner->granted, key);
		g_hash_table_remove(planner->held, one->upstream);
		placement_observe(planner->placement, &loading);
	}
}

/*
 * The store has answered. A placement that was not stored, or whose answer was
 * lost, is forgotten: the next one is made from whatever document there is.
 */
static void
take_put(void *data, const struct store_result *result)
{
	struct planner *planner = data;

	planner->put = NULL;
	if (result->error != NULL) {
		metric_add(&metric_lost, 1);
		LOG_INFO("placement not stored", "{s:s, s:I}", "error",
		    result->error->message, "based_on",
		    (json_int_t)planner->current->version);
		drop_next(planner);
		return;
	}
	metric_add(&metric_plans, 1);
	placement_log(documents_config(planner->with.documents),
	    planner->current, planner->next, result->version);
	expect_loads(planner);
	documents_update(planner->with.documents, DOCUMENT_PLACEMENT,
	    result->version, planner->bytes, planner->length);
	drop_next(planner);
}

/* Stores the placement if the key is still at what it was made from. */
static void
put_next(struct planner *planner)
{
	planner->length = heatherturn__v1__placement_document__get_packed_size(
	    planner->next);
	planner->bytes = g_malloc(planner->length + 1);
	heatherturn__v1__placement_document__pack(
	    planner->next, planner->bytes);
	planner->put = store_start(planner->with.store,
	    &(struct store_request){.verb = STORE_PUT,
		.key = DOCUMENT_PLACEMENT,
		.version = planner->current->version,
		.value = planner->bytes,
		.length = planner->length},
	    take_put, planner);
}

static void take_permit(void *, const GError *, int64_t);

/* Takes the next permit that the placement needs; stores it once it has all. */
static void
go_on(struct planner *planner)
{
	for (size_t i = 0; i < planner->next->n_assignments; i++) {
		const Heatherturn__V1__Assignment *one = planner->next
							     ->assignments[i];
		g_autofree char *key = permit_key(planner, one);

		if (key == NULL || g_hash_table_contains(planner->granted, key))
			continue;
		planner->permit_key = g_steal_pointer(&key);
		planner->permit = planner->with.ops->permit(planner->weights,
		    one->model, one->model_version, one->upstream, take_permit,
		    planner);
		return;
	}
	put_next(planner);
}

/*
 * The weight store has answered. Permits that were given are kept for the next
 * placement, so that several loads get theirs at any rate in the end.
 */
static void
take_permit(void *data, const GError *error, int64_t retry_after_ms)
{
	struct planner *planner = data;
	char *key = g_steal_pointer(&planner->permit_key);

	planner->permit = NULL;
	if (error == NULL) {
		g_hash_table_add(planner->granted, key);
		go_on(planner);
		return;
	}
	g_free(key);
	LOG_INFO("placement waits for a permit", "{s:s, s:I}", "error",
	    error->message, "retry_after_ms", (json_int_t)retry_after_ms);
	placement_permit_refused(planner->placement, retry_after_ms,
	    clock_monotonic(planner->with.clock));
	drop_next(planner);
}

/* Returns the placement in force, to be freed; NULL where it can't be read. */
static Heatherturn__V1__PlacementDocument *
read_current(const struct planner *planner)
{
	Heatherturn__V1__PlacementDocument *current;
	uint64_t version = documents_version(
	    planner->with.documents, DOCUMENT_PLACEMENT);
	size_t length = 0;
	const uint8_t *bytes = documents_get(
	    planner->with.documents, DOCUMENT_PLACEMENT, &length);

	current = heatherturn__v1__placement_document__unpack(
	    NULL, version > 0 ? length : 0, bytes);
	if (current != NULL)
		current->version = version;
	return current;
}

/* Takes in how much each service was asked for since the last time. */
static void
take_demand(struct planner *planner, struct timespec now)
{
	int64_t passed_ms = time_diff_ms(now, planner->demand_at);
	GHashTableIter iter;
	gpointer service, tokens;

	if (passed_ms <= 0)
		return;
	planner->demand_at = now;
	g_hash_table_iter_init(&iter, planner->demand);
	while (g_hash_table_iter_next(&iter, &service, &tokens)) {
		placement_demand(planner->placement, service,
		    (double)*(uint64_t *)tokens * MS_PER_S / (double)passed_ms,
		    now);
		*(uint64_t *)tokens = 0;
	}
}

/* Makes the next placement, where anything is to be changed. */
static void
plan(struct planner *planner)
{
	const Heatherturn__V1__ConfigDocument *config = config_document(
	    documents_config(planner->with.documents));
	struct timespec now = clock_monotonic(planner->with.clock);
	Heatherturn__V1__PlacementDocument *current = read_current(planner);

	if (current == NULL) {
		LOG_ERROR("placement can't be read", "{}");
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
	go_on(planner);
}

/* Takes in what the sidecars say of their engines. */
static void
take_census(void *data, const struct mesh_peer_status *entries, size_t count)
{
	struct planner *planner = data;

	planner->asking = false;
	planner->plans = true;
	g_hash_table_remove_all(planner->held);
	for (size_t i = 0; i < count; i++) {
		const struct mesh_peer_status *from = &entries[i];
		const char *id = g_ptr_array_index(planner->asked, i);
		bool live = from->answered &&
		    g_strcmp0(from->upstream, id) == 0;
		const struct placement_observation seen = {
		    .upstream = id,
		    .live = live,
		    .warm = live && from->warm,
		    .model = live ? from->model : "",
		    .adapter = live ? from->adapter : "",
		    .model_version = live ? from->model_version : "",
		    .fencing = live ? from->fencing : 0,
		};

		placement_observe(planner->placement, &seen);
		if (live)
			g_hash_table_insert(planner->held, g_strdup(id),
			    holding_text(from->model, from->adapter,
				from->model_version));
	}
	plan(planner);
}

/* Asks the engines' sidecars what they hold. */
static void
ask(struct planner *planner, struct timespec now)
{
	const Heatherturn__V1__ConfigDocument *config = config_document(
	    documents_config(planner->with.documents));
	g_autofree const char **addresses = g_new0(
	    const char *, config->n_upstreams + 1);

	g_ptr_array_set_size(planner->asked, 0);
	for (size_t i = 0; i < config->n_upstreams; i++) {
		const Heatherturn__V1__Upstream *one = config->upstreams[i];

		if (strcmp(one->dialect, "plain") == 0)
			continue;
		addresses[planner->asked->len] = one->sidecar_address;
		g_ptr_array_add(planner->asked, g_strdup(one->id));
	}
	planner->asking = true;
	planner->census_at = now;
	planner->with.ops->census(planner->with.mesh, addresses,
	    planner->asked->len, CENSUS_WAIT_MS, take_census, planner);
}

/* Says whether anything could be planned at all. */
static bool
has_work(const struct planner *planner)
{
	return config_document(documents_config(planner->with.documents))
		   ->n_rollouts > 0;
}

/* Says whether this entry is the one that plans. */
static bool
is_planner(const struct planner *planner)
{
	const char *self = planner->with.identity->address;
	size_t count, live = 0;
	const struct host *const *hosts = hosts_list(
	    planner->with.hosts, &count);
	g_autofree const char **entries = g_new0(const char *, count + 1);

	if (planner->with.identity->draining)
		return false;
	entries[live++] = self;
	for (size_t i = 0; i < count; i++) {
		if (hosts[i]->role == ROLE_ENTRY && !hosts[i]->leaving &&
		    strcmp(hosts[i]->address, self) != 0)
			entries[live++] = hosts[i]->address;
	}
	return placement_planner(entries, live) == 0;
}

/* Looks whether anything is to be changed, every PLAN_MS. */
void
planner_tick(struct planner *planner)
{
	struct timespec now = clock_monotonic(planner->with.clock);

	take_demand(planner, now);
	if (planner->asking || planner->next != NULL)
		return;
	if (!has_work(planner) || !is_planner(planner)) {
		planner->plans = false;
		return;
	}
	if (time_diff_ms(now, planner->census_at) >= PLAN_CENSUS_MS)
		ask(planner, now);
	else if (planner->plans)
		plan(planner);
}

/* Time for the next look. */
static void
plan_ready(struct ev_loop *loop, ev_timer *timer, int events)
{
	planner_tick(timer->data);
}

/* Makes the planner and starts its timer. */
struct planner *
planner_new(const struct planner_settings *settings)
{
	struct planner *planner = g_new0(struct planner, 1);
	struct timespec now = clock_monotonic(settings->clock);
	struct placement_limits limits;

	planner->with = *settings;
	if (settings->ops == NULL)
		planner->with.ops = &default_ops;
	placement_limits_init(&limits);
	planner->placement = placement_new(&limits, now);
	planner->weights = weights_new(settings->http, settings->platform);
	planner->held = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	planner->granted = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, NULL);
	planner->demand = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	planner->demand_at = now;
	planner->census_at = time_add_ms(now, -PLAN_CENSUS_MS);
	planner->asked = g_ptr_array_new_with_free_func(g_free);
	ev_timer_init(&planner->timer, plan_ready, (double)PLAN_MS / MS_PER_S,
	    (double)PLAN_MS / MS_PER_S);
	planner->timer.data = planner;
	ev_timer_start(settings->loop, &planner->timer);
	return planner;
}

/*
 * Frees the planner, before the mesh and never from its loop's callbacks; a
 * write under way is left with an unknown outcome. NULL is allowed.
 */
void
planner_free(struct planner *planner)
{
	if (planner == NULL)
		return;
	ev_timer_stop(planner->with.loop, &planner->timer);
	if (planner->permit != NULL)
		weights_cancel(planner->permit);
	if (planner->put != NULL)
		store_cancel(planner->with.store, planner->put);
	drop_next(planner);
	g_free(planner->permit_key);
	g_ptr_array_unref(planner->asked);
	g_hash_table_unref(planner->held);
	g_hash_table_unref(planner->granted);
	g_hash_table_unref(planner->demand);
	weights_free(planner->weights);
	placement_free(planner->placement);
	g_free(planner);
}

/* Counts tokens that a service was asked for; a NULL planner counts nothing. */
void
planner_demand(struct planner *planner, const char *service, uint64_t tokens)
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
