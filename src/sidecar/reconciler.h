/*
 * Brings the engine to the state in its assignment: compares it with each
 * status report and sends the next order that is needed. Fencing numbers never
 * decrease, whether or not the engine checks them. Does no I/O of its own.
 */
#ifndef SIDECAR_RECONCILER_H
#define SIDECAR_RECONCILER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "heatherturn/v1/operator.pb-c.h"
#include "upstream/upstream.h"

/* An order without a visible effect is sent again after this time. */
#define ORDER_RETRY_MS 2000

struct reconciler;

struct reconciler_ops {
	/* Requests a permit to load; reconciler_set_permit() follows, once. */
	void (*request_permit)(
	    void *data, const char *model, const char *version);
	/* Drains the engine, or lets it accept work again. */
	void (*set_draining)(void *data, bool on);
	/* Whether nothing runs at the engine. */
	bool (*is_idle)(void *data);
};

struct reconciler *reconciler_new(struct upstream *, struct clock *,
    const struct reconciler_ops *, void *data);
void reconciler_free(struct reconciler *);
void reconciler_assign(
    struct reconciler *, const Heatherturn__V1__Assignment *);
void reconciler_update(struct reconciler *, const struct upstream_status *);
void reconciler_delay(struct reconciler *, int64_t ms);
void reconciler_set_permit(
    struct reconciler *, bool granted, int64_t retry_after_ms);

#endif
