/*
 * Monitors the upstream: polls its status and cache events, and lists its runs
 * and blocks to find those without an owner.
 */
#ifndef SIDECAR_HEALTH_H
#define SIDECAR_HEALTH_H

#include <stdbool.h>

#include <ev.h>

#include "sidecar/runs.h"
#include "upstream/upstream.h"

#define HEALTH_STATUS_INTERVAL_MS 500
#define HEALTH_LIST_INTERVAL_MS	  5000

struct health;

/* Called with each status report, which the runs get too. */
typedef void health_status_fn(void *data, const struct upstream_status *);

struct health *health_new(struct ev_loop *, struct upstream *, struct runs *,
    health_status_fn *, void *data);
void health_free(struct health *);
bool health_is_up(const struct health *);
bool health_has_listed(const struct health *);

#endif
