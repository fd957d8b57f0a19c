#include "sidecar/reconciler.h"

#include <string.h>

#include <glib.h>

#include "base/invariant.h"
#include "base/metrics.h"

#define LOG_MODULE "orders"
#include "base/log.h"

INVARIANT_DEFINE(fencing_rises, "sidecar_fencing_never_falls");

METRIC_DEFINE(metric_orders, METRIC_COUNTER, "heatherturn_sidecar_orders_total",
    NULL, "Orders sent to the engine.");
METRIC_DEFINE(metric_stale_orders, METRIC_COUNTER,
    "heatherturn_sidecar_stale_orders_total", NULL,
    "Assignments with an old fencing number, and orders rejected as stale.");

enum permit_state {
	PERMIT_NONE,
	PERMIT_REQUESTED,
	PERMIT_HELD, /* for the current assignment */
};

struct reconciler {
	struct upstream *upstream;
	struct clock *clock;
	const struct reconciler_ops *ops;
	void *data;
	uint64_t fencing; /* of the assignment; 0 before the first */
	char *model;
	char *adapter;
	char *version;
	char *role;
	uint64_t sent_fencing; /* the highest number sent */
	bool in_flight;
	bool draining;
	enum permit_state permit;
	uint64_t permit_fencing; /* of the assignment that the permit is for */
	uint64_t rejected_fencing; /* the engine has seen a higher one */
	struct timespec not_before; /* for the next order or permit */
};

/* Creates a reconciler without an assignment. */
struct reconciler *
reconciler_new(struct upstream *upstream, struct clock *clock,
    const struct reconciler_ops *ops, void *data)
{
	struct reconciler *reconciler = g_new0(struct reconciler, 1);

	reconciler->upstream = upstream;
	reconciler->clock = clock;
	reconciler->ops = ops;
	reconciler->data = data;
	return reconciler;
}

/* Frees the strings of the assignment. */
static void
clear_assignment(struct reconciler *reconciler)
{
	g_free(reconciler->model);
	g_free(reconciler->adapter);
	g_free(reconciler->version);
	g_free(reconciler->role);
}

/* Frees a reconciler; called after the upstream is freed. NULL is allowed. */
void
reconciler_free(struct reconciler *reconciler)
{
	if (reconciler == NULL)
		return;
	clear_assignment(reconciler);
	g_free(reconciler);
}

/*
 * Sets the engine's assignment. One with an older fencing number is ignored: a
 * newer planner has replaced the one that wrote it.
 */
void
reconciler_assign(struct reconciler *reconciler,
    const Heatherturn__V1__Assignment *assignment)
{
	if (assignment->fencing <= reconciler->fencing) {
		metric_add(&metric_stale_orders,
		    assignment->fencing < reconciler->fencing);
		return;
	}
	clear_assignment(reconciler);
	reconciler->fencing = assignment->fencing;
	reconciler->model = g_strdup(assignment->model);
	reconciler->adapter = g_strdup(assignment->adapter);
	reconciler->version = g_strdup(assignment->model_version);
	reconciler->role = g_strdup(assignment->role);
	if (reconciler->permit == PERMIT_HELD)
		reconciler->permit = PERMIT_NONE;
	reconciler->not_before = (struct timespec){0};
	LOG_INFO("assignment", "{s:I, s:s, s:s, s:s, s:s}", "fencing",
	    (json_int_t)reconciler->fencing, "model", reconciler->model,
	    "adapter", reconciler->adapter, "version", reconciler->version,
	    "wanted_role", reconciler->role);
}

/* Handles the response to an order. */
static void
on_order_done(void *data, const GError *error)
{
	struct reconciler *reconciler = data;

	reconciler->in_flight = false;
	if (error == NULL)
		return;
	if (error->code == UPSTREAM_ERROR_STALE_FENCING) {
		metric_add(&metric_stale_orders, 1);
		reconciler->rejected_fencing = reconciler->sent_fencing;
	}
	LOG_WARN("order failed", "{s:I, s:s}", "fencing",
	    (json_int_t)reconciler->sent_fencing, "error", error->message);
}

/* Sends the engine an order with the current fencing number. */
static void
send_order(struct reconciler *reconciler, const char *what)
{
	struct upstream_order order = {.order = what,
	    .model = reconciler->model,
	    .adapter = reconciler->adapter,
	    .version = reconciler->version,
	    .role = reconciler->role,
	    .fencing = reconciler->fencing};

	invariant_check(&fencing_rises,
	    reconciler->fencing >= reconciler->sent_fencing, NULL, NULL);
	metric_add(&metric_orders, 1);
	LOG_INFO("order", "{s:s, s:I, s:s, s:s, s:s, s:s}", "order", what,
	    "fencing", (json_int_t)reconciler->fencing, "model",
	    reconciler->model, "adapter", reconciler->adapter, "version",
	    reconciler->version, "wanted_role", reconciler->role);
	reconciler->sent_fencing = reconciler->fencing;
	reconciler->in_flight = true;
	reconciler->not_before = time_add_ms(
	    clock_monotonic(reconciler->clock), ORDER_RETRY_MS);
	reconciler->upstream->ops->order(
	    reconciler->upstream, &order, on_order_done, reconciler);
}

/*
 * Returns whether the engine has loaded the assigned model. True if none is
 * assigned.
 */
static bool
matches_assignment(
    const struct reconciler *reconciler, const struct upstream_status *status)
{
	return reconciler->model[0] == '\0' ||
	    (strcmp(reconciler->model, status->model) == 0 &&
		strcmp(reconciler->adapter, status->adapter) == 0 &&
		strcmp(reconciler->version, status->version) == 0);
}

/* Starts or ends draining for a load; reports only changes. */
static void
update_draining(struct reconciler *reconciler, bool on)
{
	if (reconciler->draining == on)
		return;
	reconciler->draining = on;
	reconciler->ops->set_draining(reconciler->data, on);
}

/*
 * Takes the next step of a load: obtains a permit, drains the engine so that
 * the load interrupts no request, then sends the order.
 */
static void
advance_load(struct reconciler *reconciler)
{
	if (reconciler->permit == PERMIT_NONE) {
		reconciler->permit = PERMIT_REQUESTED;
		reconciler->permit_fencing = reconciler->fencing;
		reconciler->ops->request_permit(
		    reconciler->data, reconciler->model, reconciler->version);
	}
	if (reconciler->permit != PERMIT_HELD)
		return;
	update_draining(reconciler, true);
	if (reconciler->ops->is_idle(reconciler->data))
		send_order(reconciler, "load");
}

/*
 * Compares a status report with the assignment and takes the next step. An
 * engine that reports a higher fencing number is left to the sender of that
 * order.
 */
void
reconciler_update(
    struct reconciler *reconciler, const struct upstream_status *status)
{
	if (reconciler->fencing == 0 || reconciler->in_flight ||
	    status->loading ||
	    time_before(
		clock_monotonic(reconciler->clock), reconciler->not_before))
		return;
	if (status->fencing > reconciler->fencing ||
	    reconciler->rejected_fencing == reconciler->fencing) {
		update_draining(reconciler, false);
		return;
	}
	if (!matches_assignment(reconciler, status)) {
		advance_load(reconciler);
		return;
	}
	reconciler->permit = reconciler->permit == PERMIT_REQUESTED
	    ? PERMIT_REQUESTED
	    : PERMIT_NONE;
	update_draining(reconciler, false);
	if (reconciler->role[0] != '\0' &&
	    strcmp(reconciler->role, status->role) != 0)
		send_order(reconciler, "role");
}

/*
 * Handles the weight store's response to a permit request. A permit for an
 * older assignment is dropped. retry_after_ms counts if it was not granted.
 */
void
reconciler_set_permit(
    struct reconciler *reconciler, bool granted, int64_t retry_after_ms)
{
	bool current = reconciler->permit_fencing == reconciler->fencing;

	reconciler->permit = granted && current ? PERMIT_HELD : PERMIT_NONE;
	if (!granted)
		reconciler->not_before = time_add_ms(
		    clock_monotonic(reconciler->clock), retry_after_ms);
}

/*
 * Delays the next order by at least ms. Used after the process was suspended: a
 * newer assignment may be on its way, and the engine may not check fencing
 * numbers.
 */
void
reconciler_delay(struct reconciler *reconciler, int64_t ms)
{
	struct timespec until = time_add_ms(
	    clock_monotonic(reconciler->clock), ms);

	if (time_before(reconciler->not_before, until))
		reconciler->not_before = until;
}
