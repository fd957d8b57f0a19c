/*
 * How gateways find each other: each keeps one object of their own kind in the
 * platform's store, which says where it takes links, and reads those of the
 * others now and then.
 */
#ifndef GATEWAY_REGISTRY_H
#define GATEWAY_REGISTRY_H

#include <stdint.h>

#include <ev.h>

#include "base/clock.h"
#include "peer/mesh.h"
#include "platform/object_store.h"

/* The list is read anew so often; a stale answer does, and costs a tenth. */
#define REGISTRY_READ_MS 10000
/* The first lists may have been read before others had written. */
#define REGISTRY_STARTUP_READS	 3
#define REGISTRY_STARTUP_READ_MS 2000
/* After a read or write that failed. */
#define REGISTRY_RETRY_MS 1000
/*
 * Gateways that are assumed at least until then: limits that are shared among
 * all are divided by their count.
 */
#define REGISTRY_STARTUP_COUNT 8

struct registry;

struct registry *registry_new(struct ev_loop *, struct object_store *,
    struct mesh *, const char *name, const char *address);
void registry_free(struct registry *);
uint32_t registry_count(const struct registry *);

#endif
