/*
 * Shared state of all requests of an entry: the mesh, the current
 * configuration, the router, the retry budgets, and the table that maps a
 * request id to its exchange (the messages of that request with the sidecars),
 * to dispatch incoming messages.
 */
#ifndef ENTRY_DISPATCH_H
#define ENTRY_DISPATCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "config/config.h"
#include "peer/documents.h"
#include "peer/mesh.h"
#include "policy/drain.h"
#include "policy/duration.h"
#include "policy/retry.h"
#include "policy/router.h"

struct dispatch;
struct dispatch_exchange;

/* Callbacks of an exchange; message and lost may free it. */
struct dispatch_exchange_ops {
	void (*message)(
	    struct dispatch_exchange *, struct link *, const struct message *);
	void (*lost)(struct dispatch_exchange *, struct link *);
	void (*cancel)(struct dispatch_exchange *, const char *reason);
	void (*detach)(struct dispatch_exchange *);
	/* The process exits: gives the final answer; may free it. */
	void (*end)(struct dispatch_exchange *);
	void (*consumed)(struct dispatch_exchange *, size_t bytes);
};

/*
 * One request's messages with sidecars. It is the first member of the struct
 * that owns it, so that a pointer to one can be cast to the other.
 */
struct dispatch_exchange {
	const struct dispatch_exchange_ops *ops;
	char request[REQUEST_ID_SIZE];
	char *upstream; /* that has the request; NULL while none has */
	uint32_t attempt;
};

struct dispatch_settings {
	struct ev_loop *loop;
	struct clock *clock;
	struct mesh *mesh;
	struct documents *documents;
	enum router_policy policy;
	uint32_t seed;
};

/* Called for each request to a model, with its tokens of prompt and answer. */
typedef void dispatch_demand_fn(
    void *data, const char *service, uint64_t tokens);

struct dispatch *dispatch_new(const struct dispatch_settings *);
void dispatch_free(struct dispatch *);
void dispatch_add_exchange(struct dispatch *, struct dispatch_exchange *);
void dispatch_remove_exchange(struct dispatch *, struct dispatch_exchange *);
size_t dispatch_exchange_count(const struct dispatch *);
void dispatch_set_demand_callback(
    struct dispatch *, dispatch_demand_fn *, void *data);
void dispatch_report_demand(
    struct dispatch *, const char *service, uint64_t tokens);
void dispatch_exchange_cancel(struct dispatch_exchange *, const char *reason);
void dispatch_exchange_detach(struct dispatch_exchange *);
void dispatch_exchange_add_consumed(struct dispatch_exchange *, size_t bytes);
int64_t dispatch_recent_stall_ms(const struct dispatch *);
void dispatch_end_exchanges(struct dispatch *);
void dispatch_start_draining(struct dispatch *, const struct drain_limits *);
const struct drain *dispatch_drain(const struct dispatch *);
struct duration *dispatch_duration(
    struct dispatch *, const char *service, enum work_class);
bool dispatch_may_begin(const struct dispatch *, enum work_kind,
    const struct duration *, int64_t remaining_ms);
bool dispatch_may_repeat(
    const struct dispatch *, const struct duration *, int64_t remaining_ms);

struct ev_loop *dispatch_loop(const struct dispatch *);
struct clock *dispatch_clock(const struct dispatch *);
struct mesh *dispatch_mesh(const struct dispatch *);
struct router *dispatch_router(const struct dispatch *);
GRand *dispatch_random(const struct dispatch *);
struct config *dispatch_config(const struct dispatch *);
struct retry_budget *dispatch_retry_budget(
    struct dispatch *, const char *service);
GPtrArray *dispatch_eligible_upstreams(
    const struct dispatch *, const char *service);

#endif
