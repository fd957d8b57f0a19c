/*
 * Applies the placement policy to all upstreams. One of the live entries plans
 * at a time: it queries which models the engines have loaded, gets a permit of
 * the weight store for each load, and stores the next placement by conditional
 * update. After a conflict, a refusal or a lost response, it plans again from
 * the newest document.
 *
 * The sidecar gets a permit of its own right before it loads, so each load
 * takes two permits. The weight store's rate is never exceeded, but only half
 * of it is used.
 *
 * Demand is counted from the requests to this entry, in tokens by service. With
 * a load balancer that spreads callers evenly, the shares of the services are
 * those of all entries together.
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

/* How often the planner plans, and how often it queries the engines' states. */
#define PLAN_INTERVAL_MS       2000
#define PLAN_QUERY_INTERVAL_MS 10000

struct planner;

/* Calls to the mesh and the weight store, which tests replace. */
struct planner_ops {
	void (*query_status)(struct mesh *, const char *const *addresses,
	    size_t count, int64_t timeout_ms, mesh_status_fn *, void *data);
	struct weights_call *(*permit)(struct weights *, const char *model,
	    const char *version, const char *upstream, weights_done_fn *,
	    void *data);
};

/* All pointers are borrowed and must outlive the planner. */
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
	const struct planner_ops *ops; /* NULL for the real ones */
};

struct planner *planner_new(const struct planner_settings *);
void planner_free(struct planner *);
void planner_tick(struct planner *);
void planner_add_demand(struct planner *, const char *service, uint64_t tokens);

#endif
