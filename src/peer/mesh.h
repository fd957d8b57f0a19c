/*
 * The process's set of own links: one listener, links opened on demand and
 * shared by their users, and incoming messages handed to the handler of their
 * kind. The mesh answers the census itself and spreads suspects. Links belong
 * to the mesh: users never close them, and drop them when lost() says so.
 */
#ifndef PEER_MESH_H
#define PEER_MESH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/list.h"
#include "peer/link.h"
#include "peer/message.h"

struct mesh;

/* Where a peer was learned from; a peer stays while any source names it. */
enum mesh_source {
	MESH_SOURCE_SEEDS, /* settings */
	MESH_SOURCE_HOSTS, /* the platform's host list */
	MESH_SOURCE_UPSTREAMS, /* sidecar addresses in the configuration */
	MESH_SOURCES,
};

struct mesh_settings {
	struct link_identity *identity; /* borrowed */
	const char *listen; /* HOST:PORT, port 0 for any; NULL for none */
};

/* A module's callbacks; each may be NULL. */
struct mesh_ops {
	/* A message of a kind that the handler asked for. */
	void (*message)(void *data, struct link *, const struct message *);
	/* A link, opened by either side, has done its handshake. */
	void (*opened)(void *data, struct link *);
	void (*writable)(void *data, struct link *);
	/* A link is gone or never opened; the pointer is invalid after. */
	void (*lost)(void *data, struct link *, const GError *);
};

/* Owned by the module that registers it, until mesh_remove_handler(). */
struct mesh_handler {
	uint64_t kinds; /* set of 1 << enum message_kind */
	const struct mesh_ops *ops;
	void *data;
	TAILQ_ENTRY(mesh_handler) entry;
};

#define MESH_KIND(kind) (UINT64_C(1) << (kind))

/* One process's answer to a census, or its silence. */
struct mesh_peer_status {
	char *address;
	bool answered;
	char *process; /* NULL where it has not answered */
	enum role role;
	char *failure_domain;
	uint64_t config_version;
	bool draining;
	char *upstream; /* as in the answer; NULL where it has not answered */
	char *model;
	char *adapter;
	char *model_version;
	bool warm;
	uint64_t fencing;
};

/*
 * Adds what a process knows of its upstream to an answer; strings are borrowed
 * until the answer is sent, which is before the loop goes on.
 */
typedef void mesh_status_report_fn(void *data, struct message_status_answer *);

/* Entries are borrowed for the call. */
typedef void mesh_status_fn(
    void *data, const struct mesh_peer_status *, size_t count);
/* News of a request that runs at upstreams' deaths; deaths as known here now.
 */
typedef void mesh_suspect_fn(void *data, uint64_t fingerprint, uint32_t deaths);

struct mesh *mesh_new(
    struct ev_loop *, struct clock *, const struct mesh_settings *, GError **);
void mesh_free(struct mesh *);
int mesh_port(const struct mesh *);

void mesh_add_handler(struct mesh *, struct mesh_handler *);
void mesh_remove_handler(struct mesh *, struct mesh_handler *);

struct link *mesh_get_link(struct mesh *, const char *address);
const char *mesh_link_address(const struct link *);
bool mesh_send(struct mesh *, const char *address, struct message *);
size_t mesh_queued_bytes(const struct mesh *);

void mesh_set_peers(
    struct mesh *, enum mesh_source, const char *const *addresses, size_t);
const char *const *mesh_peers(const struct mesh *, size_t *count);

void mesh_query_status(struct mesh *, const char *const *addresses,
    size_t count, int64_t timeout_ms, mesh_status_fn *, void *data);
void mesh_set_status_report(struct mesh *, mesh_status_report_fn *, void *data);

void mesh_set_suspect_callback(struct mesh *, mesh_suspect_fn *, void *data);
void mesh_report_upstream_death(struct mesh *, uint64_t fingerprint);
uint32_t mesh_suspect_deaths(struct mesh *, uint64_t fingerprint);

#endif
