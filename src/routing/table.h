/*
 * The routing table: which service a request goes to, on whose behalf, and
 * within which limits. A table is a snapshot that never changes; requests hold
 * a reference to the one they were routed by.
 */
#ifndef ROUTING_TABLE_H
#define ROUTING_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "policy/engine_profile.h"

/* How often one request may run. */
enum call_kind {
	CALL_IDEMPOTENT, /* any number of times */
	CALL_ONCE, /* at most once */
	CALL_STREAM, /* at most once, unless its route says resumable */
};

/* One of the services among which a route's requests are divided. */
struct route_share {
	char *service;
	uint32_t weight;
};

struct route {
	char *name;
	char *host; /* in lower case, without a port */
	char *prefix; /* of the path; begins and ends with a slash */
	enum call_kind kind;
	int64_t timeout_ms; /* from the request's arrival to its end */
	int64_t target_ms; /* to the answer, or to a stream's first event */
	int64_t gap_target_ms; /* between two events of a stream */
	uint32_t priority; /* 0 is the highest */
	uint32_t attempts; /* upstreams that one request may be sent to */
	bool public; /* needs no API key */
	bool prompts; /* carries prompts for a model */
	bool resumable; /* a stream can go on at another upstream */
	struct route_share *shares;
	size_t share_count;
};

struct service_profile {
	char *name;
	int64_t cold_ms; /* how long a new upstream is cold */
	double cold_per_s; /* requests a second that a cold one bears */
	bool has_engine;
	struct engine_profile engine;
};

struct organisation {
	char *name;
	bool has_priority;
	uint32_t priority; /* goes before the route's */
};

/* What callers may send, and how long they may take. */
struct caller_limits {
	size_t header_bytes;
	size_t body_bytes;
	int64_t header_ms;
	int64_t idle_ms;
};

struct routing_table {
	guint references;
	uint64_t version; /* the operators' own */
	struct caller_limits limits;
	GHashTable *hosts; /* name -> GPtrArray of routes, longest prefix first
			    */
	GHashTable *services; /* name -> struct service_profile */
	GHashTable *keys; /* API key -> struct organisation */
	GPtrArray *organisations; /* owns them */
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

const struct route *routing_table_route(
    const struct routing_table *, const char *host, const char *path);
const struct service_profile *routing_table_service(
    const struct routing_table *, const char *name);
const struct organisation *routing_table_organisation(
    const struct routing_table *, const char *key);
const char *route_service(const struct route *, uint32_t random);
bool route_may_repeat(const struct route *);

#endif
