/*
 * The routing table: maps a request's host and path to a route and its service,
 * an API key to an organisation, and holds the limits for callers. A table is
 * an immutable snapshot; a request keeps a reference to the one that it was
 * routed with.
 */
#ifndef ROUTING_ROUTING_TABLE_H
#define ROUTING_ROUTING_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "policy/engine_profile.h"
#include "policy/locality.h"

/* How often one request may be executed. */
enum call_kind {
	CALL_IDEMPOTENT, /* any number of times */
	CALL_NON_IDEMPOTENT, /* at most once */
	CALL_STREAM, /* at most once, unless the route is resumable */
};

/* One of the services that a route splits its requests among, by weight. */
struct route_share {
	char *service;
	uint32_t weight;
};

struct route {
	char *name;
	char *host; /* in lower case, without a port */
	char *prefix; /* of the path; starts and ends with a slash */
	enum call_kind kind;
	int64_t timeout_ms; /* from arrival to the end of the response */
	int64_t target_ms; /* to the response or a stream's first event */
	int64_t gap_target_ms; /* between two events of a stream */
	uint32_t priority; /* 0 is the highest */
	uint32_t attempts; /* maximum number of sends */
	bool public; /* needs no API key */
	bool prompts; /* its requests are prompts for a model */
	bool resumable; /* a stream can be resumed at another upstream */
	struct route_share *shares;
	size_t share_count;
};

struct service_profile {
	char *name;
	int64_t cold_ms; /* warm-up time of a new upstream */
	double cold_per_s; /* requests per second while cold */
	bool has_engine;
	struct engine_profile engine;
	struct locality locality; /* delays between failure domains */
};

struct organisation {
	char *name;
	bool has_priority;
	uint32_t priority; /* overrides the route's */
};

/* Limits on callers' requests and connections. */
struct caller_limits {
	size_t header_bytes;
	size_t body_bytes;
	int64_t header_ms;
	int64_t idle_ms;
};

struct routing_table {
	guint references;
	uint64_t version; /* set by the operators */
	struct caller_limits limits;
	GHashTable *hosts; /* name -> GPtrArray of routes, longest prefix first
			    */
	GHashTable *services; /* name -> struct service_profile */
	GHashTable *keys; /* API key -> struct organisation */
	GPtrArray *organisations; /* owns the values of keys */
};

struct routing_table *routing_table_new(void);
struct routing_table *routing_table_ref(struct routing_table *);
void routing_table_unref(struct routing_table *);
void routing_table_add_route(struct routing_table *, struct route *);
void routing_table_add_service(
    struct routing_table *, struct service_profile *);
struct organisation *routing_table_add_organisation(
    struct routing_table *, const char *name);
void routing_table_add_key(
    struct routing_table *, const char *key, struct organisation *);

const struct route *routing_table_find_route(
    const struct routing_table *, const char *host, const char *path);
const struct service_profile *routing_table_find_service(
    const struct routing_table *, const char *name);
const struct organisation *routing_table_find_organisation(
    const struct routing_table *, const char *key);
const char *route_pick_service(const struct route *, uint32_t random);
bool route_is_repeatable(const struct route *);

#endif
