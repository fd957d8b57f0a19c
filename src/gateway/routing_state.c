#include "gateway/routing_state.h"

#include "base/loop_monitor.h"
#include "base/metrics.h"
#include "platform/decode.h"
#include "platform/object_watch.h"

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
	struct documents *documents;
	struct shared_kind routes;
	struct shared_kind upstreams;
	struct shared_kind takeouts;
	struct routing_table *table; /* NULL until the first one */
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

/* Replaces the routing table unless the new one is older. */
static void
set_table(struct routing_state *routing_state, struct routing_table *table,
    uint64_t revision)
{
	if (routing_state->table != NULL &&
	    table->version < routing_state->table->version) {
		LOG_WARN("ignored routes older than those in force",
		    "{s:I, s:I}", "version", (json_int_t)table->version,
		    "in_force", (json_int_t)routing_state->table->version);
		routing_table_unref(table);
		return;
	}
	routing_table_unref(routing_state->table);
	routing_state->table = table;
	routing_state->table_applied_at = clock_monotonic(routing_state->clock);
	metric_set(&routes_version, (int64_t)table->version);
	LOG_INFO("routes in force", "{s:I, s:I}", "version",
	    (json_int_t)table->version, "revision", (json_int_t)revision);
}

/* Applies newer routes, from the store or from a peer. */
static void
on_routes(void *data, uint64_t version, const struct object_changes *changes)
{
	const struct shared_kind *kind = data;
	g_autoptr(GError) error = NULL;
	enum loop_work previous = loop_work_begin(LOOP_WORK_ROUTES);
	struct routing_table *table;

	if (changes->put_count == 0 && changes->removed_count == 0) {
		announce(kind, version);
		loop_work_end(previous);
		return;
	}
	table = decode_routes(changes, &error);
	if (table != NULL)
		set_table(kind->routing_state, table, version);
	else
		LOG_WARN("ignored invalid routes", "{s:s, s:I}", "why",
		    error->message, "revision", (json_int_t)version);
	announce(kind, version);
	notify_complete(kind->routing_state);
	loop_work_end(previous);
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
	kind->watch = object_watch_new(loop, store, name, take, kind);
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
	routing_state->documents = documents;
	routing_state->fleet = fleet_new();
	routing_state->watching = watching;
	start_watch(routing_state, &routing_state->routes, loop, store,
	    DECODE_KIND_ROUTES, DOCUMENT_ROUTES, on_routes);
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
	routing_table_unref(routing_state->table);
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
	    "{s:I}", "list_version", (json_int_t)routing_state->fleet->version);
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
	return routing_state->table != NULL && routing_state->takeouts_known &&
	    routing_state->fleet->version > 0;
}

/* Returns the current routing table; NULL before the first. */
struct routing_table *
routing_state_table(const struct routing_state *routing_state)
{
	return routing_state->table;
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
