/*
 * Discovery of gateways: each writes an object of kind gateway, with the
 * address of its peer links, to the platform's store and periodically lists the
 * objects of the others. A store that was restored from a copy may lack any of
 * them: ours is written again, and the others are kept until they have been.
 */
#ifndef GATEWAY_REGISTRY_H
#define GATEWAY_REGISTRY_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>

#include "base/clock.h"
#include "peer/mesh.h"
#include "platform/object_store.h"

/*
 * Interval between reads of the list. A stale read is sufficient and costs a
 * tenth of a consistent one.
 */
#define REGISTRY_READ_MS 10000
/*
 * Reads at start-up are more frequent: other gateways may not have registered
 * yet.
 */
#define REGISTRY_STARTUP_READS	 3
#define REGISTRY_STARTUP_READ_MS 2000
/* Delay after a failed read or write. */
#define REGISTRY_RETRY_MS 1000
/*
 * Minimum number of gateways assumed until the start-up reads are done: limits
 * that all gateways share are divided by their number.
 */
#define REGISTRY_STARTUP_COUNT 8

struct registry;

struct registry *registry_new(struct ev_loop *, struct object_store *,
    struct mesh *, const struct link_identity *);
void registry_free(struct registry *);
uint32_t registry_count(const struct registry *);
const char *const *registry_others(const struct registry *, size_t *count);
bool registry_has_list(const struct registry *);
bool registry_is_listed(const struct registry *, const char *name);
const char *registry_failure_domain(
    const struct registry *, const char *address);

#endif
