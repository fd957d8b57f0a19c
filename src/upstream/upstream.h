/*
 * The upstream of a sidecar: a model engine or a plain service, behind one
 * vtable for each dialect. All calls are asynchronous and end with one callback
 * from the event loop, unless they are dropped.
 */
#ifndef UPSTREAM_UPSTREAM_H
#define UPSTREAM_UPSTREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/http_client.h"
#include "peer/message.h"

#define UPSTREAM_ERROR (upstream_error_quark())

/* Size of a run's id at the engine, with the terminating null byte. */
#define UPSTREAM_RUN_ID_SIZE (REQUEST_ID_SIZE + 48)

enum upstream_error {
	UPSTREAM_ERROR_OVERLOADED, /* rejected before it ran */
	UPSTREAM_ERROR_OUT_OF_MEMORY, /* rejected before it ran */
	UPSTREAM_ERROR_FAILED, /* any other error response */
	UPSTREAM_ERROR_NOT_FOUND, /* no such run or block */
	UPSTREAM_ERROR_STALE_FENCING, /* the engine has seen a newer order */
	UPSTREAM_ERROR_DIED, /* its process ended; it may restart */
	UPSTREAM_ERROR_LOST, /* stopped responding or is unreachable */
	UPSTREAM_ERROR_MALFORMED, /* the response is not of this dialect */
	UPSTREAM_ERROR_UNSUPPORTED, /* this dialect has no such call */
};

/* A request to run; everything is borrowed for the call. */
struct upstream_request {
	enum work_kind work;
	const char *id; /* run, block or request id */
	const char *owner; /* of a block: its hold */
	uint32_t attempt;
	uint64_t output_tokens;
	uint32_t priority; /* smaller is scheduled first */
	const uint8_t *body;
	size_t body_length;
	char *const *imports;
	size_t import_count;
	const char *method; /* plain services */
	const char *path;
	const char *content_type;
	const char *idempotency_key;
};

/* One part of a response, in order and without gaps; data is borrowed. */
struct upstream_event {
	uint64_t sequence; /* from 1 */
	uint32_t tokens;
	const uint8_t *data;
	size_t length;
};

/* The end of a call; everything is borrowed for the callback. */
struct upstream_end {
	const GError *error; /* UPSTREAM_ERROR, or NULL */
	bool sent; /* the upstream may have received it */
	int status; /* plain services */
	const char *content_type;
	const char *finish_reason;
	uint64_t prompt_tokens;
	uint64_t output_tokens;
	uint64_t cached_tokens;
};

struct upstream_call_ops {
	void (*event)(void *data, const struct upstream_event *);
	void (*ended)(void *data, const struct upstream_end *);
};

struct upstream_status {
	char *model; /* of an engine, as the next two */
	char *adapter;
	char *version;
	char *role;
	bool warm;
	bool loading;
	uint64_t start_count;
	uint64_t memory_tokens;
	uint64_t used_tokens;
	uint32_t slots;
	uint32_t running;
	uint32_t waiting;
	uint32_t prefill_tokens_per_s;
	uint64_t fencing;
};

/* A run or a block at the engine. */
struct upstream_item {
	const char *id;
	const char *owner; /* of a block */
	uint64_t tokens;
};

struct upstream_cache_event {
	uint64_t sequence;
	bool stored; /* else evicted */
	uint64_t prefix;
};

struct upstream_order {
	const char *order; /* "load", "unload" or "role" */
	const char *model;
	const char *adapter;
	const char *version;
	const char *role;
	uint64_t fencing;
};

/* Callbacks of calls; a failed call passes NULL or 0 and the error. */
typedef void upstream_done_fn(void *data, const GError *);
typedef void upstream_status_fn(
    void *data, const struct upstream_status *, const GError *);
typedef void upstream_list_fn(
    void *data, const struct upstream_item *, size_t count, const GError *);
typedef void upstream_cache_fn(void *data, const struct upstream_cache_event *,
    size_t count, uint64_t next, const GError *);

struct upstream;

/* One active request; the first member of a dialect's own struct. */
struct upstream_call {
	struct upstream *upstream;
};

struct upstream_ops {
	struct upstream_call *(*start)(struct upstream *,
	    const struct upstream_request *, const struct upstream_call_ops *,
	    void *data);
	void (*pause)(struct upstream_call *, bool on);
	/*
	 * Ends the callbacks; returns whether the upstream may have received
	 * the request.
	 */
	bool (*drop)(struct upstream_call *);
	void (*status)(struct upstream *, upstream_status_fn *, void *data);
	/* The calls below are NULL if the dialect has no runs and blocks. */
	struct upstream_call *(*resume)(struct upstream *, const char *id,
	    uint64_t after, const struct upstream_call_ops *, void *data);
	void (*cancel_run)(
	    struct upstream *, const char *id, upstream_done_fn *, void *data);
	void (*list_runs)(struct upstream *, upstream_list_fn *, void *data);
	void (*list_blocks)(struct upstream *, upstream_list_fn *, void *data);
	void (*delete_block)(
	    struct upstream *, const char *id, upstream_done_fn *, void *data);
	void (*cache_events)(struct upstream *, uint64_t after, int64_t wait_ms,
	    upstream_cache_fn *, void *data);
	void (*order)(struct upstream *, const struct upstream_order *,
	    upstream_done_fn *, void *data);
	/* Cancels all calls without callbacks. */
	void (*free)(struct upstream *);
};

struct upstream {
	const struct upstream_ops *ops;
};

GQuark upstream_error_quark(void);
struct upstream *upstream_engine_new(struct http_client *, const char *url);
struct upstream *upstream_plain_new(struct http_client *, const char *url);

struct upstream_call *upstream_start(struct upstream *,
    const struct upstream_request *, const struct upstream_call_ops *,
    void *data);
void upstream_call_pause(struct upstream_call *, bool on);
bool upstream_call_drop(struct upstream_call *);
bool upstream_has_runs(const struct upstream *);
void upstream_free(struct upstream *);

#endif
