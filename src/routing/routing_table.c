#include "routing/routing_table.h"

#include <string.h>

/* Frees a route with its services and names. */
static void
route_free(void *data)
{
	struct route *route = data;

	for (size_t i = 0; i < route->share_count; i++)
		g_free(route->shares[i].service);
	g_free(route->shares);
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_free(route);
}

/* Frees a service's profile and its name. */
static void
service_free(void *data)
{
	struct service_profile *service = data;

	locality_clear(&service->locality);
	g_free(service->name);
	g_free(service);
}

/* Frees an organisation and its name. */
static void
organisation_free(void *data)
{
	struct organisation *organisation = data;

	g_free(organisation->name);
	g_free(organisation);
}

/* Frees the array of a host's routes, and the routes. */
static void
routes_free(void *data)
{
	g_ptr_array_unref(data);
}

/* Returns an empty table with one reference. */
struct routing_table *
routing_table_new(void)
{
	struct routing_table *table = g_new0(struct routing_table, 1);

	table->references = 1;
	table->hosts = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, routes_free);
	table->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, service_free);
	table->keys = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, NULL);
	table->organisations = g_ptr_array_new_with_free_func(
	    organisation_free);
	return table;
}

/* Takes a reference, to be returned with routing_table_unref. */
struct routing_table *
routing_table_ref(struct routing_table *table)
{
	table->references++;
	return table;
}

/* Drops a reference; the last one frees the table. NULL is allowed. */
void
routing_table_unref(struct routing_table *table)
{
	if (table == NULL || --table->references > 0)
		return;
	g_hash_table_unref(table->hosts);
	g_hash_table_unref(table->services);
	g_hash_table_unref(table->keys);
	g_ptr_array_unref(table->organisations);
	g_free(table);
}

/*
 * Adds a route, which the table then owns. A host's routes are sorted by the
 * length of their prefixes, longest first.
 */
void
routing_table_add_route(struct routing_table *table, struct route *route)
{
	GPtrArray *routes = g_hash_table_lookup(table->hosts, route->host);
	size_t length = strlen(route->prefix);
	guint at = 0;

	if (routes == NULL) {
		routes = g_ptr_array_new_with_free_func(route_free);
		g_hash_table_insert(
		    table->hosts, g_strdup(route->host), routes);
	}
	while (at < routes->len) {
		const struct route *other = routes->pdata[at];

		if (strlen(other->prefix) < length)
			break;
		at++;
	}
	g_ptr_array_insert(routes, (gint)at, route);
}

/* Adds a service's profile, which the table then owns. */
void
routing_table_add_service(
    struct routing_table *table, struct service_profile *service)
{
	g_hash_table_replace(table->services, service->name, service);
}

/* Adds an organisation without API keys; the table owns it. */
struct organisation *
routing_table_add_organisation(struct routing_table *table, const char *name)
{
	struct organisation *organisation = g_new0(struct organisation, 1);

	organisation->name = g_strdup(name);
	g_ptr_array_add(table->organisations, organisation);
	return organisation;
}

/* Assigns an API key to an organisation of this table. */
void
routing_table_add_key(struct routing_table *table, const char *key,
    struct organisation *organisation)
{
	g_hash_table_replace(table->keys, g_strdup(key), organisation);
}

/* Finds the routes of a host; ignores its case and port. */
static const GPtrArray *
find_routes(const struct routing_table *table, const char *host)
{
	g_autofree char *name = g_ascii_strdown(host, -1);
	char *colon = strchr(name, ':');

	if (colon != NULL)
		*colon = '\0';
	return g_hash_table_lookup(table->hosts, name);
}

/*
 * Finds the route of a host with the longest matching path prefix; NULL if
 * there is none.
 */
const struct route *
routing_table_find_route(
    const struct routing_table *table, const char *host, const char *path)
{
	const GPtrArray *routes = find_routes(table, host);

	for (guint i = 0; routes != NULL && i < routes->len; i++) {
		const struct route *route = routes->pdata[i];

		if (g_str_has_prefix(path, route->prefix))
			return route;
	}
	return NULL;
}

/* Finds a service's profile by name; NULL if there is none. */
const struct service_profile *
routing_table_find_service(const struct routing_table *table, const char *name)
{
	return g_hash_table_lookup(table->services, name);
}

/* Finds the organisation that an API key belongs to; NULL if there is none. */
const struct organisation *
routing_table_find_organisation(
    const struct routing_table *table, const char *key)
{
	return g_hash_table_lookup(table->keys, key);
}

/* Picks a service at random by the route's weights; NULL if all are 0. */
const char *
route_pick_service(const struct route *route, uint32_t random)
{
	uint64_t total = 0;
	uint64_t at;

	for (size_t i = 0; i < route->share_count; i++)
		total += route->shares[i].weight;
	if (total == 0)
		return NULL;
	at = random % total;
	for (size_t i = 0; i < route->share_count; i++) {
		if (at < route->shares[i].weight)
			return route->shares[i].service;
		at -= route->shares[i].weight;
	}
	return NULL;
}

/* Returns whether requests of this route may be executed more than once. */
bool
route_is_repeatable(const struct route *route)
{
	return route->kind == CALL_IDEMPOTENT ||
	    (route->kind == CALL_STREAM && route->resumable);
}
