/*
 * What gateways tell each other of the work that they have given to upstreams.
 * Each knows its own requests alone and would send to the same upstreams as the
 * others. Long readings are told at once, the rest in short rounds; a peer that
 * falls silent counts for nothing soon.
 */
#ifndef GATEWAY_LOAD_SHARE_H
#define GATEWAY_LOAD_SHARE_H

#include <stdbool.h>
#include <stddef.h>

#include <ev.h>

#include "base/clock.h"
#include "gateway/knowledge.h"
#include "peer/mesh.h"

/* A round among few gateways, and what each peer adds to it. */
#define LOAD_SHARE_ROUND_MS	 100
#define LOAD_SHARE_ROUND_PEER_MS 4
/* Rounds without word after which a peer's work is forgotten. */
#define LOAD_SHARE_SILENT_ROUNDS 6

/* Shorter reading is not told at once: it is over before peers need it. */
#define LOAD_SHARE_READING_MIN_MS 20.0
/* A gateway with nothing to tell still says so often that it is there. */
#define LOAD_SHARE_IDLE_ROUNDS 2
/*
 * Gateways that watch the store, each call of which is paid: enough that one
 * sees a change at once while others are restarted or cut off.
 */
#define LOAD_SHARE_WATCHERS 3

struct load_share;

struct load_share *load_share_new(struct ev_loop *, struct clock *,
    struct mesh *, const char *self, struct knowledge *);
void load_share_free(struct load_share *);
void load_share_tell_reading(struct load_share *, const char *const *upstreams,
    size_t count, double part_ms);

#endif
