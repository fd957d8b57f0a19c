/*
 * Brings the placement policy to the fleet. One entry of the live ones plans at
 * a time: it asks the sidecars what their engines hold, takes a permit of the
 * weight store for each load that it wants, and stores the next placement under
 * the condition that nobody else has stored one meanwhile. What conflicts, is
 * refused or loses its answer is planned anew from the newest document.
 *
 * The sidecar takes a permit of its own right before it loads, so that each
 * load takes two of the weight store's rate. No load passes that rate, but it
 * is used to a half only.
 *
 * Demand is what this entry itself was asked for, in tokens by service: with a
 * balancer that spreads callers evenly its shares are those of the fleet.
 */
#ifndef ENTRY_PLANNER_H
#define ENTRY_PLANNER_H

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "peer/documents.h"
#include "peer/link.h"
#include "peer/mesh.h"
#include "store/hosts.h"
#include "store/store.h"
#include "store/weights.h"

#define PLAN_MS	       2000
#define PLAN_CENSUS_MS 10000

struct planner;

/* What the planner asks of others than the store; tests have their own. */
struct planner_ops {
	void (*census)(struct mesh *, const char *const *addresses,
	    size_t count, int64_t timeout_ms, mesh_status_fn *, void *data);
	struct weights_call *(*permit)(struct weights *, const char *model,
	    const char *version, const char *upstream, weights_done_fn *,
	    void *data);
};

/* Everything is borrowed and outlives the planner. */
struct planner_settings {
	struct ev_loop *loop;
	struct clock *clock;
	struct mesh *mesh;
	struct documents *documents;
	struct hosts *hosts;
	struct store *store;
	struct http_client *http;
	const char *platform; /* the weight store's base URL */
	const struct link_identity *identity;
	const struct planner_ops *ops; /* NULL for the mesh and the weights */
};

struct planner *planner_new(const struct planner_settings *);
void planner_free(struct planner *);
void planner_tick(struct planner *);
void planner_demand(struct planner *, const char *service, uint64_t tokens);

#endif
