/*
 * Brings the engine to what its assignment wants: compares what the engine
 * reports with it again and again and says which order goes out next. Fencing
 * numbers only rise, whether or not the engine checks them. No sockets.
 */
#ifndef SIDECAR_RECONCILER_H
#define SIDECAR_RECONCILER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"
#include "heatherturn/v1/operator.pb-c.h"
#include "upstream/upstream.h"

/* An order that has had no visible effect is given again after this. */
#define ORDER_RETRY_MS 2000

struct reconciler;

struct reconciler_ops {
	/* Asks for a permit to load; reconciler_set_permit() follows, once. */
	void (*request_permit)(
	    void *data, const char *model, const char *version);
	/* Takes work from the engine, or gives it back. */
	void (*set_draining)(void *data, bool on);
	/* Whether anything runs at the engine. */
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
