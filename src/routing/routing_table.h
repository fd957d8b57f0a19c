/*
 * The routing table: maps a request's host and path to a route and its service,
 * an API key to an organisation, and holds the limits for callers. It is
 * changed in place: changes are staged one by one, at a cost that does not
 * depend on the size of the table, and routing_table_switch() makes all of them
 * visible at once. Routes, services and organisations have reference counts of
 * their own; a request holds a reference to each one that it uses.
 */
#ifndef ROUTING_ROUTING_TABLE_H
#define ROUTING_ROUTING_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "policy/engine_profile.h"
#include "policy/event_numbering.h"
#include "policy/locality.h"
#include "policy/status_evidence.h"

struct service_ranks;

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
	guint references;
	char *name;
	char *host; /* in lower case, without a port */
	char *prefix; /* of the path; starts and ends with a slash */
	enum call_kind kind;
	int64_t timeout_ms; /* from arrival to the end of the response */
	int64_t target_ms; /* to the response or a stream's first event */
	int64_t gap_target_ms; /* between two events of a stream */
	uint32_t
	    priority; /* 0 is the most urgent; or PRECEDENCE_RANK_INVALID */
	uint32_t attempts; /* maximum number of sends */
	bool public; /* needs no API key */
	bool prompts; /* its requests are prompts for a model */
	bool resumable; /* a stream can be resumed at another upstream */
	struct event_numbering numbering; /* of its streams, not configured */
	struct status_evidence evidence; /* the same, of its errors */
	struct route_share *shares;
	size_t share_count;
};

struct service_profile {
	guint references;
	char *name;
	int64_t cold_ms; /* warm-up time of a new upstream */
	double cold_per_s; /* requests per second while cold */
	bool has_engine;
	struct engine_profile engine;
	struct locality locality; /* delays between failure domains */
};

struct organisation {
	guint references;
	char *name;
	bool has_priority;
	uint32_t priority; /* overrides the route's */
	GPtrArray *keys; /* API keys as strings, which it owns */
};

/* Limits on callers' requests and connections. */
struct caller_limits {
	size_t header_bytes;
	size_t body_bytes;
	int64_t header_ms;
	int64_t idle_ms;
};

struct routing_table {
	uint64_t version; /* set by the operators */
	struct caller_limits limits;
	size_t organisation_count;
	bool needs_key; /* requests on routes that are not public do */
	/* Of the routes and organisations, those of the next switch included.
	 */
	struct service_ranks *ranks;
	struct routing_table_content *content;
};

struct routing_table *routing_table_new(void);
void routing_table_free(struct routing_table *);

void routing_table_put_route(struct routing_table *, struct route *);
void routing_table_remove_route(struct routing_table *, struct route *);
void routing_table_put_service(
    struct routing_table *, struct service_profile *);
void routing_table_remove_service(
    struct routing_table *, struct service_profile *);
void routing_table_put_organisation(
    struct routing_table *, struct organisation *);
void routing_table_remove_organisation(
    struct routing_table *, struct organisation *);
void routing_table_set_limits(
    struct routing_table *, const struct caller_limits *);
void routing_table_switch(
    struct routing_table *, uint64_t version, bool needs_key);
bool routing_table_settle(struct routing_table *, size_t max);

struct route *routing_table_find_route(
    const struct routing_table *, const char *host, const char *path);
struct service_profile *routing_table_find_service(
    const struct routing_table *, const char *name);
struct organisation *routing_table_find_organisation(
    const struct routing_table *, const char *key);
struct organisation *routing_table_find_named(
    const struct routing_table *, const char *name);

struct route *route_new(void);
struct route *route_ref(struct route *);
void route_unref(struct route *);
const char *route_pick_service(const struct route *, uint32_t random);
bool route_is_repeatable(const struct route *);
struct service_profile *service_profile_new(const char *name);
struct service_profile *service_profile_ref(struct service_profile *);
void service_profile_unref(struct service_profile *);
struct organisation *organisation_new(const char *name);
struct organisation *organisation_ref(struct organisation *);
void organisation_unref(struct organisation *);

#endif
