/*
 * Keeps the rates that upstreams name, together with the other gateways: the
 * coordinator of an upstream grants permits, which the others ask it for before
 * they send a request. Without an answer no request is sent.
 */
#ifndef GATEWAY_RATE_SYNC_H
#define GATEWAY_RATE_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>

#include "base/clock.h"
#include "gateway/load_sync.h"
#include "peer/mesh.h"
#include "routing/fleet.h"

/* A coordinator that does not answer for this long is not waited for. */
#define RATE_SYNC_TIMEOUT_MS 150
/* The next attempt after that, or where nobody can be asked. */
#define RATE_SYNC_RETRY_MS 250
/* The longest time that no permits are asked for, whatever was answered. */
#define RATE_SYNC_WAIT_MAX_MS 10000

struct rate_sync;
struct permit;

/* Whether a request may be sent to an upstream. */
enum permit_result {
	PERMIT_GRANTED,
	PERMIT_DENIED,
	PERMIT_REMOTE, /* another gateway is to be asked */
};

/* Reports whether a permit was granted; it is invalid then. */
typedef void permit_fn(void *data, bool granted);

struct rate_sync *rate_sync_new(struct ev_loop *, struct clock *, struct mesh *,
    struct load_sync *, struct fleet *);
void rate_sync_free(struct rate_sync *);
void rate_sync_observe(struct rate_sync *, struct fleet_upstream *, bool named,
    double per_s, struct timespec sent_at);
int64_t rate_sync_wait_ms(struct rate_sync *, struct fleet_upstream *);
bool rate_sync_needs_permit(const struct fleet_upstream *);
enum permit_result rate_sync_take(
    struct rate_sync *, struct fleet_upstream *, const char *request);
struct permit *rate_sync_ask(struct rate_sync *, struct fleet_upstream *,
    const char *request, permit_fn *, void *data);
void permit_cancel(struct permit *);
void rate_sync_charge(struct rate_sync *, const char *address);
bool rate_sync_is_named(const struct rate_sync *, const char *address);

#endif
