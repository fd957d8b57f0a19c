#include "gateway/knowledge.h"

#include "base/metrics.h"
#include "platform/decode.h"
#include "platform/object_watch.h"

#define LOG_MODULE "knowledge"
#include "base/log.h"

/* How long the upstreams of a domain that is taken back count as cold. */
#define TAKEN_BACK_COLD_MS 4000

/* One kind of objects, and the document by which gateways share it. */
struct shared_kind {
	struct knowledge *knowledge;
	const char *document;
	struct object_watch *watch;
};

struct knowledge {
	struct clock *clock;
	struct documents *documents;
	struct shared_kind routes;
	struct shared_kind upstreams;
	struct shared_kind takeouts;
	struct routing_table *table; /* NULL before the first */
	struct timespec table_at; /* when it came into force here */
	struct fleet *fleet;
	bool takeouts_known;
	bool watching;
	knowledge_fn *on_whole; /* NULL once it was called */
	void *on_whole_data;
};

METRIC_DEFINE(routes_version, METRIC_GAUGE, "heatherturn_routes_version", NULL,
    "Version of the routing table in force.");
METRIC_DEFINE(upstreams_known, METRIC_GAUGE, "heatherturn_upstreams_known",
    NULL, "Upstreams that the platform's list names.");

/* Tells once that all is here. */
static void
tell_whole(struct knowledge *knowledge)
{
	knowledge_fn *callback = knowledge->on_whole;

	if (callback == NULL || !knowledge_is_whole(knowledge))
		return;
	knowledge->on_whole = NULL;
	callback(knowledge->on_whole_data);
}

/* Has it told when all that routing needs has come for the first time. */
void
knowledge_on_whole(
    struct knowledge *knowledge, knowledge_fn *callback, void *data)
{
	knowledge->on_whole = callback;
	knowledge->on_whole_data = data;
	tell_whole(knowledge);
}

/* Tells the peers that a kind has a newer version here. */
static void
announce(const struct shared_kind *kind, uint64_t version)
{
	documents_announce(kind->knowledge->documents, kind->document, version);
}

/* Writes what a peer lacks that has a version of a kind. */
static GString *
write_objects(void *data, uint64_t have, uint64_t *base)
{
	const struct shared_kind *kind = data;

	return object_set_encode(object_watch_objects(kind->watch), have, base);
}

/* Takes what a peer wrote. */
static bool
take_objects(void *data, uint64_t base, uint64_t version, const uint8_t *text,
    size_t length)
{
	const struct shared_kind *kind = data;

	return object_watch_apply_update(
	    kind->watch, base, version, text, length);
}

/* Brings a routing table into force unless it is older than the one that is. */
static void
set_table(
    struct knowledge *knowledge, struct routing_table *table, uint64_t revision)
{
	if (knowledge->table != NULL &&
	    table->version < knowledge->table->version) {
		LOG_WARN("older routes not taken", "{s:I, s:I}", "version",
		    (json_int_t)table->version, "in_force",
		    (json_int_t)knowledge->table->version);
		routing_table_unref(table);
		return;
	}
	routing_table_unref(knowledge->table);
	knowledge->table = table;
	knowledge->table_at = clock_monotonic(knowledge->clock);
	metric_set(&routes_version, (int64_t)table->version);
	LOG_INFO("routes in force", "{s:I, s:I}", "version",
	    (json_int_t)table->version, "revision", (json_int_t)revision);
}

/* Newer routes are here, from the store or from a peer. */
static void
take_routes(void *data, uint64_t version, const struct object_changes *changes)
{
	const struct shared_kind *kind = data;
	g_autoptr(GError) error = NULL;
	struct routing_table *table = decode_routes(changes, &error);

	if (table != NULL)
		set_table(kind->knowledge, table, version);
	else
		LOG_WARN("routes not taken", "{s:s, s:I}", "why",
		    error->message, "revision", (json_int_t)version);
	announce(kind, version);
	tell_whole(kind->knowledge);
}

/* A newer list of upstreams is here. */
static void
take_upstreams(
    void *data, uint64_t version, const struct object_changes *changes)
{
	const struct shared_kind *kind = data;
	struct knowledge *knowledge = kind->knowledge;
	struct upstream_reports reports = decode_upstreams(changes);

	for (size_t i = 0; i < changes->removed_count; i++)
		g_ptr_array_add(reports.unusable, (char *)changes->removed[i]);
	fleet_apply(knowledge->fleet, version,
	    (const struct upstream_report *)(void *)reports.items->data,
	    reports.items->len, (const char *const *)reports.unusable->pdata,
	    reports.unusable->len, clock_monotonic(knowledge->clock));
	metric_set(&upstreams_known, (int64_t)fleet_count(knowledge->fleet));
	decode_upstreams_clear(&reports);
	announce(kind, version);
	tell_whole(knowledge);
}

/* Newer marks of domains that are taken out are here, one object each. */
static void
take_takeouts(
    void *data, uint64_t version, const struct object_changes *changes)
{
	const struct shared_kind *kind = data;
	struct knowledge *knowledge = kind->knowledge;
	g_auto(GStrv)
	    domains = object_set_names(object_watch_objects(kind->watch));

	knowledge->takeouts_known = true;
	fleet_set_takeouts(knowledge->fleet, (const char *const *)domains,
	    g_strv_length(domains), clock_monotonic(knowledge->clock),
	    TAKEN_BACK_COLD_MS);
	announce(kind, version);
	tell_whole(knowledge);
}

/* Follows a kind in the store, and shares it under a document's name. */
static void
follow(struct knowledge *knowledge, struct shared_kind *kind,
    struct ev_loop *loop, struct object_store *store, const char *name,
    const char *document, object_watch_fn *take)
{
	kind->knowledge = knowledge;
	kind->document = document;
	kind->watch = object_watch_new(loop, store, name, take, kind);
	documents_set_source(
	    knowledge->documents, document, write_objects, take_objects, kind);
}

/* Begins to learn from the store and from peers. */
struct knowledge *
knowledge_new(struct ev_loop *loop, struct clock *clock,
    struct object_store *store, struct documents *documents)
{
	struct knowledge *knowledge = g_new0(struct knowledge, 1);

	knowledge->clock = clock;
	knowledge->documents = documents;
	knowledge->fleet = fleet_new();
	knowledge->watching = true;
	follow(knowledge, &knowledge->routes, loop, store, DECODE_KIND_ROUTES,
	    DOCUMENT_ROUTES, take_routes);
	follow(knowledge, &knowledge->upstreams, loop, store,
	    DECODE_KIND_UPSTREAMS, DOCUMENT_UPSTREAMS, take_upstreams);
	follow(knowledge, &knowledge->takeouts, loop, store,
	    DECODE_KIND_TAKEOUTS, DOCUMENT_TAKEOUTS, take_takeouts);
	return knowledge;
}

/* Stops learning; NULL is allowed. The documents must not change after it. */
void
knowledge_free(struct knowledge *knowledge)
{
	if (knowledge == NULL)
		return;
	object_watch_free(knowledge->routes.watch);
	object_watch_free(knowledge->upstreams.watch);
	object_watch_free(knowledge->takeouts.watch);
	routing_table_unref(knowledge->table);
	fleet_free(knowledge->fleet);
	g_free(knowledge);
}

/*
 * Says whether this process watches the store. One that does not learns from
 * its peers; before it has all of them it asks the store in any case.
 */
void
knowledge_set_watching(struct knowledge *knowledge, bool watching)
{
	watching |= !knowledge_is_whole(knowledge);
	if (knowledge->watching == watching)
		return;
	knowledge->watching = watching;
	LOG_INFO(watching ? "watches the store" : "leaves watching to peers",
	    "{s:I}", "list_version", (json_int_t)knowledge->fleet->version);
	object_watch_set_active(knowledge->routes.watch, watching);
	object_watch_set_active(knowledge->upstreams.watch, watching);
	object_watch_set_active(knowledge->takeouts.watch, watching);
}

/* Returns whether it does. */
bool
knowledge_is_watching(const struct knowledge *knowledge)
{
	return knowledge->watching;
}

/* Says whether the store did not answer this process's last calls. */
bool
knowledge_is_store_away(const struct knowledge *knowledge)
{
	return object_watch_is_disconnected(knowledge->routes.watch) ||
	    object_watch_is_disconnected(knowledge->upstreams.watch) ||
	    object_watch_is_disconnected(knowledge->takeouts.watch);
}

/* Says whether all that routing needs has come at least once. */
bool
knowledge_is_whole(const struct knowledge *knowledge)
{
	return knowledge->table != NULL && knowledge->takeouts_known &&
	    knowledge->fleet->version > 0;
}

/* Returns the routing table in force; NULL before the first. */
struct routing_table *
knowledge_table(const struct knowledge *knowledge)
{
	return knowledge->table;
}

/* Returns the upstreams. */
struct fleet *
knowledge_fleet(const struct knowledge *knowledge)
{
	return knowledge->fleet;
}

/* Returns how long the routing table has been in force here. */
int64_t
knowledge_table_age_ms(const struct knowledge *knowledge)
{
	return time_diff_ms(
	    clock_monotonic(knowledge->clock), knowledge->table_at);
}
