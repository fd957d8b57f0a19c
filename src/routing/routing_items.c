/* The routes, services and organisations that a routing table refers to. */
#include "routing/routing_table.h"

/* Returns an empty route with one reference. */
struct route *
route_new(void)
{
	struct route *route = g_new0(struct route, 1);

	route->references = 1;
	return route;
}

/* Takes a reference, to be returned with route_unref(). */
struct route *
route_ref(struct route *route)
{
	route->references++;
	return route;
}

/* Drops a reference; the last one frees the route. NULL is allowed. */
void
route_unref(struct route *route)
{
	if (route == NULL || --route->references > 0)
		return;
	for (size_t i = 0; i < route->share_count; i++)
		g_free(route->shares[i].service);
	g_free(route->shares);
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_free(route);
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

/* Returns a service without figures, with one reference. */
struct service_profile *
service_profile_new(const char *name)
{
	struct service_profile *service = g_new0(struct service_profile, 1);

	service->references = 1;
	service->name = g_strdup(name);
	return service;
}

/* Takes a reference, to be returned with service_profile_unref(). */
struct service_profile *
service_profile_ref(struct service_profile *service)
{
	service->references++;
	return service;
}

/* Drops a reference; the last one frees the service. NULL is allowed. */
void
service_profile_unref(struct service_profile *service)
{
	if (service == NULL || --service->references > 0)
		return;
	locality_clear(&service->locality);
	g_free(service->name);
	g_free(service);
}

/* Returns an organisation without API keys, with one reference. */
struct organisation *
organisation_new(const char *name)
{
	struct organisation *organisation = g_new0(struct organisation, 1);

	organisation->references = 1;
	organisation->name = g_strdup(name);
	organisation->keys = g_ptr_array_new_with_free_func(g_free);
	return organisation;
}

/* Takes a reference, to be returned with organisation_unref(). */
struct organisation *
organisation_ref(struct organisation *organisation)
{
	organisation->references++;
	return organisation;
}

/* Drops a reference; the last one frees the organisation. NULL is allowed. */
void
organisation_unref(struct organisation *organisation)
{
	if (organisation == NULL || --organisation->references > 0)
		return;
	g_ptr_array_unref(organisation->keys);
	g_free(organisation->name);
	g_free(organisation);
}
