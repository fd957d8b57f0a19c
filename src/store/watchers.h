/*
 * Who asks the platform: the entries of a failure domain with the highest
 * rendezvous rank among those that answer watch `config` and `placement` and
 * poll the host list; the others rely on the mesh. One entry of all collects
 * old claims besides.
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

/* Watchers in each failure domain. */
#define WATCHERS_PER_DOMAIN 2

struct watchers;

struct watchers *watchers_new(struct ev_loop *, struct clock *, struct store *,
    struct mesh *, struct documents *, struct hosts *,
    const struct link_identity *);
void watchers_free(struct watchers *);
bool watchers_is_watching(const struct watchers *);
bool watchers_is_leader(const struct watchers *);

/* A candidate as the ranking sees it. */
struct watcher_candidate {
	const char *id;
	bool answers; /* false where no link to it opens */
};

bool watchers_is_elected(const struct watcher_candidate *, size_t count,
    const char *self, size_t wanted);

#endif
