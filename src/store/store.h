/*
 * The platform is the infrastructure that a deployment runs on. For entries and
 * sidecars it offers this object store, the host list (store/hosts.h) and the
 * weight store (store/weights.h).
 *
 * The object store has versioned objects by key, conditional updates and
 * watches. A different store implements store_ops. Every call ends with
 * exactly one done callback, unless it is cancelled; the outcome of a cancelled
 * write is unknown.
 */
#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/http_client.h"

#define STORE_ERROR (store_error_quark())

#define STORE_VALUE_MAX_BYTES (1024 * 1024)
/* Default timeout of all calls except watches. */
#define STORE_CALL_TIMEOUT_MS 2000

enum store_error {
	STORE_ERROR_CONFLICT, /* the condition failed: nothing was stored */
	STORE_ERROR_NOT_FOUND,
	STORE_ERROR_UNCHANGED, /* a watch timed out without a newer version */
	STORE_ERROR_UNAVAILABLE, /* not reached, or down; nothing was stored */
	STORE_ERROR_RATE_LIMITED, /* nothing was stored; see retry_after_ms */
	STORE_ERROR_OUTCOME_UNKNOWN, /* a write may have taken effect */
	STORE_ERROR_TOO_LARGE, /* value above STORE_VALUE_MAX_BYTES */
	STORE_ERROR_MALFORMED, /* the response is not valid in this API */
};

enum store_verb {
	STORE_GET,
	STORE_WATCH,
	STORE_PUT,
	STORE_DELETE,
	STORE_LIST,
};

struct store;
struct store_call;

struct store_request {
	enum store_verb verb;
	const char *key; /* of a list: the prefix */
	const char *after_key; /* of a list: continue after it; or NULL */
	uint64_t version; /* put, delete: the current one, 0 if absent;
			     watch: returns once it is exceeded */
	const void *value; /* of a put; copied on start */
	size_t length;
	size_t limit; /* of a list: maximum number of keys */
	int64_t timeout_ms; /* 0 for STORE_CALL_TIMEOUT_MS, except of a watch */
};

struct store_list_item {
	const char *key;
	uint64_t version;
};

struct store_result {
	const GError *error; /* STORE_ERROR, or NULL */
	uint64_t
	    version; /* after success; after a conflict the current one, or 0 */
	const uint8_t *value;
	size_t length;
	const struct store_list_item *listed;
	size_t listed_count;
	int64_t retry_after_ms; /* 0 if the store did not send one */
};

/* The result and all it points to are valid only during the callback. */
typedef void store_done_fn(void *data, const struct store_result *);

struct store_ops {
	struct store_call *(*start)(struct store *,
	    const struct store_request *, store_done_fn *, void *data);
	void (*cancel)(struct store *, struct store_call *);
	void (*free)(struct store *);
};

struct store {
	const struct store_ops *ops;
};

GQuark store_error_quark(void);
struct store *store_http_new(struct http_client *, const char *base_url);
struct store_call *store_start(
    struct store *, const struct store_request *, store_done_fn *, void *data);
void store_call_cancel(struct store *, struct store_call *);
void store_free(struct store *);

#endif
