/*
 * Election of the entries that watch the platform. In each failure domain, the
 * reachable entries with the highest rendezvous ranks watch `config` and
 * `placement` and poll the host list; all other processes receive these over
 * the mesh. One entry in all, the leader, also deletes expired claims.
 */
#ifndef STORE_WATCHERS_H
#define STORE_WATCHERS_H

#include <stdbool.h>

#include <ev.h>

#include "base/clock.h"
#include "peer/documents.h"
#include "peer/link.h"
#include "peer/mesh.h"
#include "store/hosts.h"
#include "store/store.h"

/* Number of watchers in each failure domain. */
#define WATCHERS_PER_DOMAIN 2

struct watchers;

struct watchers *watchers_new(struct ev_loop *, struct clock *, struct store *,
    struct mesh *, struct documents *, struct hosts *,
    const struct link_identity *);
void watchers_free(struct watchers *);
bool watchers_is_watching(const struct watchers *);
bool watchers_is_leader(const struct watchers *);

/* A candidate in the ranking. */
struct watcher_candidate {
	const char *id;
	bool answers; /* whether a link to it is open */
	uint32_t cpu_permille; /* of a core that its host has; 0: unknown */
};

bool watchers_is_elected(const struct watcher_candidate *, size_t count,
    const char *self, size_t wanted);
bool watchers_is_preferred(const struct watcher_candidate *, size_t count,
    const struct watcher_candidate *self, size_t wanted);

#endif
