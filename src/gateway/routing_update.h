/*
 * Applies changes of the configuration to the routing table in short slices
 * between two iterations of the event loop. A change becomes visible in one
 * step, at its end. While one is being applied, the newest of those that arrive
 * from the store waits, and the newest of those from peers: it includes what
 * the others would have changed, and one from a peer may turn out to be
 * unusable.
 */
#ifndef GATEWAY_ROUTING_UPDATE_H
#define GATEWAY_ROUTING_UPDATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <jansson.h>

#include "base/clock.h"
#include "routing/routing_table.h"

/*
 * Time after which a slice ends, at the next check. A slice should take 2 ms:
 * streams' events are to be passed on within 120 ms on hosts with 0.09 of a
 * core, which get 9 ms of CPU time in 100 ms.
 */
#define ROUTING_UPDATE_SLICE_US 1500

struct routing_update;

struct routing_update_ops {
	/* A version is in force here. */
	void (*applied)(void *data, uint64_t version);
	/*
	 * A version that was accepted before could not be applied. The items
	 * need a repair, or another version if it had all.
	 */
	void (*failed)(void *data, uint64_t version, bool had_all);
};

void routing_update_init_process(void);
struct routing_update *routing_update_new(struct ev_loop *, struct clock *,
    const struct routing_update_ops *, void *data);
void routing_update_free(struct routing_update *);
struct routing_table *routing_update_table(const struct routing_update *);
void routing_update_add_object(
    struct routing_update *, json_t *object, uint64_t version);
bool routing_update_add_items(struct routing_update *, uint64_t base,
    uint64_t version, const uint8_t *text, size_t);
bool routing_update_is_busy(const struct routing_update *);
bool routing_update_is_behind(const struct routing_update *);
bool routing_update_has_missed(const struct routing_update *);
GString *routing_update_encode(
    const struct routing_update *, uint64_t since, uint64_t *base);
size_t routing_update_describe(const struct routing_update *, uint64_t *sums);
GString *routing_update_encode_repair(
    const struct routing_update *, const uint64_t *sums, size_t count);
GString *routing_update_encode_object(const struct routing_update *);

#endif
