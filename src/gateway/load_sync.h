/*
 * What gateways tell each other of the work that they have given to upstreams.
 * Each knows its own requests alone and would send to the same upstreams as the
 * others. Long readings are told at once, the rest in short rounds; a peer that
 * falls silent counts for nothing soon.
 */
#ifndef GATEWAY_LOAD_SYNC_H
#define GATEWAY_LOAD_SYNC_H

#include <stdbool.h>
#include <stddef.h>

#include <ev.h>

#include "base/clock.h"
#include "gateway/routing_state.h"
#include "peer/mesh.h"

/* A round among few gateways, and what each peer adds to it. */
#define LOAD_SYNC_ROUND_MS	100
#define LOAD_SYNC_ROUND_PEER_MS 4
/* Rounds without word after which a peer's work is forgotten. */
#define LOAD_SYNC_TIMEOUT_ROUNDS 6

/* Shorter reading is not told at once: it is over before peers need it. */
#define LOAD_SYNC_PREFILL_MIN_MS 20.0
/* A gateway with nothing to tell still says so often that it is there. */
#define LOAD_SYNC_IDLE_ROUNDS 2
/*
 * Gateways that watch the store, each call of which is paid: enough that one
 * sees a change at once while others are restarted or cut off.
 */
#define LOAD_SYNC_WATCHERS 3

struct load_sync;

struct load_sync *load_sync_new(struct ev_loop *, struct clock *, struct mesh *,
    const char *self, struct routing_state *);
void load_sync_free(struct load_sync *);
void load_sync_send_prefill(struct load_sync *, const char *const *upstreams,
    size_t count, double part_ms);

#endif
