/*
 * The routing state of a gateway: the routing table, the upstreams, and the
 * failure domains that are taken out. Each is read from the platform's store
 * and shared with the other gateways. The newest version wins, whatever its
 * source, so a gateway that can't reach the store is updated by its peers.
 */
#ifndef GATEWAY_ROUTING_STATE_H
#define GATEWAY_ROUTING_STATE_H

#include <stdbool.h>

#include <ev.h>

#include "base/clock.h"
#include "peer/documents.h"
#include "platform/object_store.h"
#include "policy/freshness.h"
#include "routing/fleet.h"
#include "routing/routing_table.h"

/* Within which a change of the configuration is in force, by default. */
#define ROUTING_STATE_MAX_AGE_MS 2000

struct routing_state;

/* Called once, when all parts of the routing state have been received. */
typedef void routing_state_fn(void *data);

struct routing_state *routing_state_new(struct ev_loop *, struct clock *,
    struct object_store *, struct documents *, bool watching);
void routing_state_free(struct routing_state *);
void routing_state_set_complete_callback(
    struct routing_state *, routing_state_fn *, void *data);
void routing_state_set_watching(struct routing_state *, bool);
bool routing_state_is_watching(const struct routing_state *);
bool routing_state_is_store_disconnected(const struct routing_state *);
bool routing_state_is_complete(const struct routing_state *);
struct routing_table *routing_state_table(const struct routing_state *);
void routing_state_set_max_age(struct routing_state *, int64_t max_age_ms);
int64_t routing_state_max_age_ms(const struct routing_state *);
int64_t routing_state_unreported_ms(const struct routing_state *);
bool routing_state_is_current(const struct routing_state *);
bool routing_state_store_report(
    const struct routing_state *, uint64_t *version, int64_t *age_ms);
void routing_state_on_peer_report(
    struct routing_state *, uint64_t version, int64_t age_ms);
bool routing_state_has_missed(const struct routing_state *);
struct fleet *routing_state_fleet(const struct routing_state *);
int64_t routing_state_table_age_ms(const struct routing_state *);
uint64_t routing_state_revision(const struct routing_state *);
struct freshness routing_state_freshness(const struct routing_state *);
void routing_state_update_metrics(const struct routing_state *);

#endif
