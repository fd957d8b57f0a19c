/*
 * All peer links of a process: one listener, links opened on demand and shared
 * by their users, and dispatch of received messages to the handlers of their
 * kinds. The mesh itself answers status queries and gossips suspects, which are
 * the fingerprints of requests that were running when an upstream died. Links
 * belong to the mesh: users never close them, and drop their pointers when
 * lost() is called.
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

/*
 * Where a peer's address comes from; a peer is removed when no source has it.
 */
enum mesh_source {
	MESH_SOURCE_SEEDS, /* settings */
	MESH_SOURCE_HOSTS, /* the platform's host list */
	MESH_SOURCE_UPSTREAMS, /* sidecar addresses in the configuration */
	MESH_SOURCE_REPORTS, /* gateways that report their load */
	MESH_SOURCES,
};

struct mesh_settings {
	struct link_identity *identity; /* borrowed */
	const char *listen; /* HOST:PORT, port 0 for any; NULL for none */
};

/* A module's callbacks; each may be NULL. */
struct mesh_ops {
	/* A message of one of the handler's kinds. */
	void (*message)(void *data, struct link *, const struct message *);
	/* A link, opened by either side, has completed its handshake. */
	void (*opened)(void *data, struct link *);
	void (*writable)(void *data, struct link *);
	/*
	 * A link was closed or did not open; the pointer is invalid after this.
	 */
	void (*lost)(void *data, struct link *, const GError *);
};

/* Must stay valid until mesh_remove_handler(). */
struct mesh_handler {
	uint64_t kinds; /* set of 1 << enum message_kind */
	const struct mesh_ops *ops;
	void *data;
	TAILQ_ENTRY(mesh_handler) entry;
};

#define MESH_KIND(kind) (UINT64_C(1) << (kind))

/* One process's answer to a status query; answered is false if none came. */
struct mesh_peer_status {
	char *address;
	bool answered;
	char *process; /* NULL if it has not answered */
	enum role role;
	char *failure_domain;
	uint64_t config_version;
	bool draining;
	char *upstream; /* as in the answer; NULL if it has not answered */
	char *model;
	char *adapter;
	char *model_version;
	bool warm;
	uint64_t fencing;
};

/*
 * Adds the state of this process's upstream to an answer. Strings are borrowed
 * until the answer is encoded, before control returns to the loop.
 */
typedef void mesh_status_report_fn(void *data, struct message_status_answer *);

/* Entries are borrowed for the call. */
typedef void mesh_status_fn(
    void *data, const struct mesh_peer_status *, size_t count);
struct mesh *mesh_new(
    struct ev_loop *, struct clock *, const struct mesh_settings *, GError **);
void mesh_free(struct mesh *);
int mesh_port(const struct mesh *);

void mesh_add_handler(struct mesh *, struct mesh_handler *);
void mesh_remove_handler(struct mesh *, struct mesh_handler *);

struct link *mesh_get_link(struct mesh *, const char *address);
const char *mesh_link_address(const struct link *);
bool mesh_is_connected(const struct mesh *, const char *address);
bool mesh_send(struct mesh *, const char *address, struct message *);
size_t mesh_queued_bytes(const struct mesh *);

void mesh_set_peers(
    struct mesh *, enum mesh_source, const char *const *addresses, size_t);
const char *const *mesh_peers(const struct mesh *, size_t *count);
void mesh_set_near(struct mesh *, const char *const *addresses, size_t count);
size_t mesh_near_count(const struct mesh *);
bool mesh_is_reachable(const struct mesh *, const char *address);

void mesh_query_status(struct mesh *, const char *const *addresses,
    size_t count, int64_t timeout_ms, mesh_status_fn *, void *data);
void mesh_set_status_callback(
    struct mesh *, mesh_status_report_fn *, void *data);

void mesh_report_upstream_death(struct mesh *, uint64_t request_fingerprint);
void mesh_report_survival(struct mesh *, uint64_t request_fingerprint);
uint32_t mesh_suspect_deaths(struct mesh *, uint64_t fingerprint);

#endif
