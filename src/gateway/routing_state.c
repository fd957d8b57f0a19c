#include "gateway/routing_state.h"

#include <string.h>

#include "base/metrics.h"
#include "gateway/routing_update.h"
#include "platform/config_items.h"
#include "platform/decode.h"
#include "platform/object_watch.h"
#include "platform/store_version.h"

G_STATIC_ASSERT(CONFIG_ITEMS_BUCKETS <= DOCUMENTS_SUMS_MAX);

#define LOG_MODULE "knowledge"
#include "base/log.h"

/* One kind of objects and the document that shares it with other gateways. */
struct shared_kind {
	struct routing_state *routing_state;
	const char *document;
	struct object_watch *watch;
};

struct routing_state {
	struct clock *clock;
	struct object_store *store;
	struct documents *documents;
	struct shared_kind routes;
	struct shared_kind upstreams;
	struct shared_kind takeouts;
	struct routing_update *update; /* of the routing table */
	struct timespec reported_at; /* by a peer; or the start */
	struct freshness by_peers; /* of the routes, without the store's part */
	int64_t max_age_ms; /* within which the routes count as the newest */
	struct timespec table_applied_at; /* when this process applied it */
	struct fleet *fleet;
	bool takeouts_known;
	bool watching;
	routing_state_fn *on_complete; /* NULL once called */
	void *on_complete_data;
};

METRIC_DEFINE(routes_version, METRIC_GAUGE, "heatherturn_routes_version", NULL,
    "Version of the routing table in force.");
METRIC_DEFINE(upstreams_known, METRIC_GAUGE, "heatherturn_upstreams_known",
    NULL, "Upstreams known from the platform's list.");

METRIC_DEFINE(age_gauge, METRIC_GAUGE, "heatherturn_routes_age_ms", NULL,
    "Time since the configuration was last known to be the newest; -1: never.");

/* Calls back, once, when all parts have been received. */
static void
notify_complete(struct routing_state *routing_state)
{
	routing_state_fn *callback = routing_state->on_complete;

	if (callback == NULL || !routing_state_is_complete(routing_state))
		return;
	routing_state->on_complete = NULL;
	callback(routing_state->on_complete_data);
}

/*
 * Sets the callback for when all parts have been received; it may be called at
 * once.
 */
void
routing_state_set_complete_callback(
    struct routing_state *routing_state, routing_state_fn *callback, void *data)
{
	routing_state->on_complete = callback;
	routing_state->on_complete_data = data;
	notify_complete(routing_state);
}

/*
 * Announces a newer version of a kind to the peers. Without watching, the first
 * version ends the calls to the store.
 */
static void
announce(const struct shared_kind *kind, uint64_t version)
{
	documents_announce(
	    kind->routing_state->documents, kind->document, version);
	object_watch_set_active(kind->watch, kind->routing_state->watching);
}

/* Encodes the changes that a peer with version have lacks. */
static GString *
encode_objects(void *data, uint64_t have, uint64_t *base)
{
	const struct shared_kind *kind = data;

	return object_set_encode(object_watch_objects(kind->watch), have, base);
}

/* Applies the changes that a peer sent. */
static bool
apply_objects(void *data, uint64_t base, uint64_t version, const uint8_t *text,
    size_t length)
{
	const struct shared_kind *kind = data;

	return object_watch_apply_update(
	    kind->watch, base, version, text, length);
}

/*
 * Announces the configuration that is in force now. Peers of a build that knows
 * no items request it as the store's object.
 */
static void
on_routes_applied(void *data, uint64_t version)
{
	struct routing_state *routing_state = data;
	uint64_t routes = routing_update_table(routing_state->update)->version;

	routing_state->table_applied_at = clock_monotonic(routing_state->clock);
	metric_set(&routes_version, (int64_t)routes);
	LOG_INFO("routes in force", "{s:I, s:I}", "version", (json_int_t)routes,
	    "revision", (json_int_t)version);
	object_store_raise_era(
	    routing_state->store, store_version_era(version));
	documents_record(routing_state->documents, DOCUMENT_ROUTES, version);
	announce(&routing_state->routes, version);
	notify_complete(routing_state);
}

/* Requests what is needed after a change that failed half-way. */
static void
on_routes_failed(void *data, uint64_t version, bool had_all)
{
	const struct routing_state *routing_state = data;

	documents_request_repair(
	    routing_state->documents, DOCUMENT_ROUTING_ITEMS);
	if (had_all)
		documents_reject(
		    routing_state->documents, DOCUMENT_ROUTING_ITEMS, version);
}

static const struct routing_update_ops update_ops = {
    .applied = on_routes_applied,
    .failed = on_routes_failed,
};

/*
 * Takes the configuration's object from the store, or from a peer. Its own
 * version is that of the configuration: other objects raise the store's.
 */
static void
on_routes(void *data, uint64_t version, const struct object_changes *changes)
{
	const struct shared_kind *kind = data;
	struct routing_update *update = kind->routing_state->update;

	if (changes->put_count == 0 && changes->removed_count == 0)
		return;
	for (size_t i = 0; i < changes->put_count; i++) {
		if (strcmp(object_name(changes->put[i]), CONFIG_ITEMS_OBJECT) !=
		    0)
			continue;
		routing_update_add_object(update, changes->put[i],
		    object_last_change(changes->put[i], version));
		return;
	}
	LOG_WARN("ignored invalid routes", "{s:s, s:I}", "why",
	    "no configuration object found", "revision", (json_int_t)version);
}

/* Encodes the configuration for a peer that knows no items. */
static GString *
encode_routes(void *data, uint64_t have, uint64_t *base)
{
	const struct shared_kind *kind = data;

	*base = 0;
	return routing_update_encode_object(kind->routing_state->update);
}

/* Encodes the items that a peer lacks. */
static GString *
encode_items(void *data, uint64_t have, uint64_t *base)
{
	const struct routing_state *routing_state = data;

	return routing_update_encode(routing_state->update, have, base);
}

/* Describes the items here for a peer. */
static size_t
describe_items(void *data, uint64_t *sums)
{
	const struct routing_state *routing_state = data;

	return routing_update_describe(routing_state->update, sums);
}

/* Encodes what differs from the items that a peer has described. */
static GString *
repair_items(void *data, const uint64_t *sums, size_t count)
{
	const struct routing_state *routing_state = data;

	return routing_update_encode_repair(routing_state->update, sums, count);
}

/* Applies the items that a peer sent. */
static bool
apply_items(void *data, uint64_t base, uint64_t version, const uint8_t *text,
    size_t length)
{
	const struct routing_state *routing_state = data;

	return routing_update_add_items(
	    routing_state->update, base, version, text, length);
}

/* Applies a newer list of upstreams. */
static void
on_upstreams(void *data, uint64_t version, const struct object_changes *changes)
{
	const struct shared_kind *kind = data;
	struct routing_state *routing_state = kind->routing_state;
	struct upstream_reports reports = decode_upstreams(changes);
	struct upstream_list list;

	for (size_t i = 0; i < changes->removed_count; i++)
		g_ptr_array_add(reports.unusable, (char *)changes->removed[i]);
	list = (struct upstream_list){
	    .version = version,
	    .restored = changes->restored,
	    .reports = (const struct upstream_report *)(void *)
			   reports.items->data,
	    .count = reports.items->len,
	    .removed = (const char *const *)reports.unusable->pdata,
	    .removed_count = reports.unusable->len,
	};
	fleet_apply(
	    routing_state->fleet, &list, clock_monotonic(routing_state->clock));
	metric_set(
	    &upstreams_known, (int64_t)fleet_count(routing_state->fleet));
	decode_upstreams_clear(&reports);
	announce(kind, version);
	notify_complete(routing_state);
}

/* Applies newer takeouts: one object per failure domain. */
static void
on_takeouts(void *data, uint64_t version, const struct object_changes *changes)
{
	const struct shared_kind *kind = data;
	struct routing_state *routing_state = kind->routing_state;
	struct timespec now = clock_monotonic(routing_state->clock);
	g_auto(GStrv)
	    domains = object_set_names(object_watch_objects(kind->watch));

	routing_state->takeouts_known = true;
	for (size_t i = 0; i < changes->removed_count && !changes->restored;
	     i++)
		fleet_end_takeout(
		    routing_state->fleet, changes->removed[i], now);
	fleet_set_takeouts(routing_state->fleet, (const char *const *)domains,
	    g_strv_length(domains), changes->restored, now);
	announce(kind, version);
	notify_complete(routing_state);
}

/* Watches a kind in the store and shares it as a document with the peers. */
static void
start_watch(struct routing_state *routing_state, struct shared_kind *kind,
    struct ev_loop *loop, struct object_store *store, const char *name,
    const char *document, object_watch_fn *take)
{
	kind->routing_state = routing_state;
	kind->document = document;
	kind->watch = object_watch_new(
	    loop, routing_state->clock, store, name, take, kind);
	documents_set_codec(routing_state->documents, document, encode_objects,
	    apply_objects, kind);
}

/*
 * Starts to receive routing state from peers and from the store. Each kind is
 * listed once; the store is watched after that if `watching` is set.
 */
struct routing_state *
routing_state_new(struct ev_loop *loop, struct clock *clock,
    struct object_store *store, struct documents *documents, bool watching)
{
	struct routing_state *routing_state = g_new0(struct routing_state, 1);

	routing_state->clock = clock;
	routing_state->store = store;
	routing_state->documents = documents;
	routing_state->fleet = fleet_new();
	routing_state->watching = watching;
	routing_state->max_age_ms = ROUTING_STATE_MAX_AGE_MS;
	routing_state->reported_at = clock_monotonic(clock);
	routing_state->update = routing_update_new(
	    loop, clock, &update_ops, routing_state);
	start_watch(routing_state, &routing_state->routes, loop, store,
	    DECODE_KIND_ROUTES, DOCUMENT_ROUTING_ITEMS, on_routes);
	object_watch_drop_texts(routing_state->routes.watch);
	documents_set_codec(documents, DOCUMENT_ROUTES, encode_routes,
	    apply_objects, &routing_state->routes);
	documents_set_codec(documents, DOCUMENT_ROUTING_ITEMS, encode_items,
	    apply_items, routing_state);
	documents_set_repair(
	    documents, DOCUMENT_ROUTING_ITEMS, describe_items, repair_items);
	start_watch(routing_state, &routing_state->upstreams, loop, store,
	    DECODE_KIND_UPSTREAMS, DOCUMENT_UPSTREAMS, on_upstreams);
	start_watch(routing_state, &routing_state->takeouts, loop, store,
	    DECODE_KIND_TAKEOUTS, DOCUMENT_TAKEOUTS, on_takeouts);
	return routing_state;
}

/*
 * Stops receiving routing state; NULL is allowed. The documents keep pointers
 * to it as a codec, so the owner must not run the loop again before it frees
 * them.
 */
void
routing_state_free(struct routing_state *routing_state)
{
	if (routing_state == NULL)
		return;
	object_watch_free(routing_state->routes.watch);
	object_watch_free(routing_state->upstreams.watch);
	object_watch_free(routing_state->takeouts.watch);
	routing_update_free(routing_state->update);
	fleet_free(routing_state->fleet);
	g_free(routing_state);
}

/* Sets whether this process watches the store or relies on its peers. */
void
routing_state_set_watching(struct routing_state *routing_state, bool watching)
{
	if (routing_state->watching == watching)
		return;
	routing_state->watching = watching;
	LOG_INFO(watching ? "started watching the store"
			  : "stopped watching the store",
	    "{s:I, s:I}", "list_version",
	    (json_int_t)routing_state->fleet->version, "revision",
	    (json_int_t)routing_state_revision(routing_state));
	object_watch_set_active(routing_state->routes.watch, watching);
	object_watch_set_active(routing_state->upstreams.watch, watching);
	object_watch_set_active(routing_state->takeouts.watch, watching);
}

/* Returns whether this process watches the store. */
bool
routing_state_is_watching(const struct routing_state *routing_state)
{
	return routing_state->watching;
}

/* Returns whether the store did not answer this process's last calls. */
bool
routing_state_is_store_disconnected(const struct routing_state *routing_state)
{
	return object_watch_is_disconnected(routing_state->routes.watch) ||
	    object_watch_is_disconnected(routing_state->upstreams.watch) ||
	    object_watch_is_disconnected(routing_state->takeouts.watch);
}

/* Returns whether all parts have been received at least once. */
bool
routing_state_is_complete(const struct routing_state *routing_state)
{
	return routing_state_table(routing_state) != NULL &&
	    routing_state->takeouts_known && routing_state->fleet->version > 0;
}

/* Returns the current routing table; NULL before the first. */
struct routing_table *
routing_state_table(const struct routing_state *routing_state)
{
	return routing_update_table(routing_state->update);
}

/*
 * Sets how long the routes count as the newest after they were known to be.
 * With FRESHNESS_NEVER they don't, and nothing is reported of them.
 */
void
routing_state_set_max_age(
    struct routing_state *routing_state, int64_t max_age_ms)
{
	routing_state->max_age_ms = max_age_ms;
}

/* Returns how long the routes count as the newest. */
int64_t
routing_state_max_age_ms(const struct routing_state *routing_state)
{
	return routing_state->max_age_ms;
}

/*
 * Returns the time since a peer reported which version is the newest, or since
 * the start.
 */
int64_t
routing_state_unreported_ms(const struct routing_state *routing_state)
{
	return time_diff_ms(
	    clock_monotonic(routing_state->clock), routing_state->reported_at);
}

/*
 * Returns whether the table is that of the newest configuration, as far as is
 * known here, and was known to be that not long ago. What it lacks, another
 * one does not have either.
 */
bool
routing_state_is_current(const struct routing_state *routing_state)
{
	uint64_t revision = routing_state_revision(routing_state);
	struct freshness freshness = routing_state_freshness(routing_state);

	return !routing_update_is_behind(routing_state->update) &&
	    documents_newest_version(routing_state->documents,
		DOCUMENT_ROUTING_ITEMS,
		routing_state->max_age_ms) <= revision &&
	    freshness_is_current(&freshness, revision,
		routing_state->max_age_ms,
		clock_monotonic(routing_state->clock));
}

/*
 * Returns whether this process watches the store, and sets the version of the
 * routes and how long ago the store showed that it is the newest, for the
 * peers; FRESHNESS_NEVER if it did not.
 */
bool
routing_state_store_report(const struct routing_state *routing_state,
    uint64_t *version, int64_t *age_ms)
{
	const struct freshness *freshness = object_watch_freshness(
	    routing_state->routes.watch);

	*version = routing_state_revision(routing_state);
	*age_ms = routing_update_is_behind(routing_state->update)
	    ? FRESHNESS_NEVER
	    : freshness_since_ms(
		  freshness->store_at, clock_monotonic(routing_state->clock));
	return routing_state->watching && *version > 0 &&
	    routing_state->max_age_ms != FRESHNESS_NEVER;
}

/*
 * Takes a peer's routing_state_store_report(). With FRESHNESS_NEVER
 * as the age, only a later version than the one in force says something.
 */
void
routing_state_on_peer_report(
    struct routing_state *routing_state, uint64_t version, int64_t age_ms)
{
	struct timespec now = clock_monotonic(routing_state->clock);
	struct timespec at = {0};

	routing_state->reported_at = now;
	if (age_ms != FRESHNESS_NEVER)
		at = time_add_ms(now, -age_ms);
	freshness_on_peer(&routing_state->by_peers,
	    routing_state_revision(routing_state), version, at, now);
}

/*
 * Returns whether it may take long until the table is that of the newest
 * configuration: one has come that can't be used, or may have come unnoticed.
 */
bool
routing_state_has_missed(const struct routing_state *routing_state)
{
	struct freshness freshness = routing_state_freshness(routing_state);

	return routing_update_has_missed(routing_state->update) ||
	    freshness_age_ms(
		&freshness, clock_monotonic(routing_state->clock)) >
	    routing_state->max_age_ms;
}

/* Returns the upstreams, which live as long as the routing state. */
struct fleet *
routing_state_fleet(const struct routing_state *routing_state)
{
	return routing_state->fleet;
}

/* Returns how long the current table has been in use, in milliseconds. */
int64_t
routing_state_table_age_ms(const struct routing_state *routing_state)
{
	return time_diff_ms(clock_monotonic(routing_state->clock),
	    routing_state->table_applied_at);
}

/* Returns the store's version of the configuration here; 0 for none. */
uint64_t
routing_state_revision(const struct routing_state *routing_state)
{
	return documents_version(
	    routing_state->documents, DOCUMENT_ROUTING_ITEMS);
}

/* Returns when the configuration was last known to be the newest. */
struct freshness
routing_state_freshness(const struct routing_state *routing_state)
{
	struct freshness freshness = routing_state->by_peers;

	freshness.store_at = object_watch_freshness(routing_state->routes.watch)
				 ->store_at;
	return freshness;
}

/* Updates the metrics that change with time. */
void
routing_state_update_metrics(const struct routing_state *routing_state)
{
	struct freshness freshness = routing_state_freshness(routing_state);

	metric_set(&age_gauge,
	    freshness_age_ms(
		&freshness, clock_monotonic(routing_state->clock)));
}
