/*
 * The HTTP API of an entry process for callers: authenticates requests, finds
 * their deadlines and routes them to their handlers by path.
 */
#ifndef ENTRY_FRONTEND_H
#define ENTRY_FRONTEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/httpd.h"
#include "caller/failure.h"
#include "entry/dispatch.h"
#include "store/claims.h"

/* Deadlines if neither the caller nor the service sets one. */
#define DEADLINE_DEFAULT_SHORT_MS 30000
#define DEADLINE_DEFAULT_LONG_MS  600000
/* The longest deadline that a caller may set. */
#define DEADLINE_MAX_MS 3600000
/* Prompts of this length are long, unless the service sets a threshold. */
#define LONG_THRESHOLD_DEFAULT_TOKENS 32768
/* Length limit of answers if neither caller nor service sets one. */
#define OUTPUT_DEFAULT_TOKENS 256

struct frontend;

/* An authenticated request, as it is passed to its handler. */
struct frontend_request {
	struct httpd_request *http;
	char id[REQUEST_ID_SIZE];
	const Heatherturn__V1__Organisation *organisation; /* borrowed */
	struct timespec arrived;
};

/*
 * Callbacks for a request that is being answered. It is the first member of the
 * struct that a handler sets as the request's data.
 */
struct frontend_request_owner {
	void (*closed)(struct frontend_request_owner *, bool complete);
	/* All bytes written to the stream are sent; may be NULL. */
	void (*on_writable)(struct frontend_request_owner *);
	/* Returns whether the caller can resume elsewhere; may be NULL. */
	bool (*keeps)(void *);
};

struct frontend_settings {
	struct dispatch *dispatch;
	struct claims *claims; /* on idempotency keys; NULL: no platform */
	struct httpd_settings httpd;
	/* Returns whether this process is ready for new requests. */
	bool (*ready)(void *data);
	void *data;
};

struct frontend *frontend_new(const struct frontend_settings *, GError **);
void frontend_free(struct frontend *);
int frontend_port(const struct frontend *);
void frontend_start_draining(struct frontend *);
void frontend_stop_accepting(struct frontend *);
bool frontend_reload_certificate(struct frontend *, GError **);
size_t frontend_open_requests(const struct frontend *);
struct dispatch *frontend_dispatch(const struct frontend *);
struct claims *frontend_claims(const struct frontend *);

bool frontend_is_allowed(
    const struct frontend_request *, const Heatherturn__V1__Service *);
bool frontend_parse_deadline(const struct frontend_request *,
    int64_t default_ms, struct timespec *, GError **);
void frontend_respond(struct httpd_request *, const char *id, int status,
    const char *content_type, const void *, size_t length);
void frontend_respond_error(struct httpd_request *, const char *id,
    const GError *, int64_t retry_after_ms);
void frontend_respond_error_code(struct httpd_request *, const char *id,
    enum caller_error, int64_t retry_after_ms, const char *why);

#endif
