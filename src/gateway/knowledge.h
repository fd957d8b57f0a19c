/*
 * What a gateway knows of the fleet: the routing table, the upstreams and the
 * failure domains that are taken out. Each is read from the platform's store
 * and shared with the other gateways, and the newest version wins, wherever it
 * came from: a gateway that the store turns away learns from its peers.
 */
#ifndef GATEWAY_KNOWLEDGE_H
#define GATEWAY_KNOWLEDGE_H

#include <stdbool.h>

#include <ev.h>

#include "base/clock.h"
#include "peer/documents.h"
#include "platform/object_store.h"
#include "routing/fleet.h"
#include "routing/table.h"

struct knowledge;

/* All that routing needs has come for the first time. */
typedef void knowledge_fn(void *data);

struct knowledge *knowledge_new(struct ev_loop *, struct clock *,
    struct object_store *, struct documents *);
void knowledge_free(struct knowledge *);
void knowledge_on_whole(struct knowledge *, knowledge_fn *, void *data);
void knowledge_set_watching(struct knowledge *, bool);
bool knowledge_is_watching(const struct knowledge *);
bool knowledge_is_store_away(const struct knowledge *);
bool knowledge_is_whole(const struct knowledge *);
struct routing_table *knowledge_table(const struct knowledge *);
struct fleet *knowledge_fleet(const struct knowledge *);
int64_t knowledge_table_age_ms(const struct knowledge *);

#endif
