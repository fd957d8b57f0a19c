/*
 * HTTP client: curl's multi interface driven by libev. Callbacks run on the
 * loop's thread, never from inside a function of this module. A call ends with
 * exactly one done callback, unless it is cancelled; after that no callback
 * follows. Every function may be called from a callback.
 */
#ifndef BASE_HTTP_CLIENT_H
#define BASE_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include "base/response_head.h"

#define HTTP_CLIENT_ERROR (http_client_error_quark())

enum http_client_error {
	HTTP_CLIENT_ERROR_CONNECT, /* could not connect: nothing was sent */
	HTTP_CLIENT_ERROR_TIMEOUT, /* the timeout of the whole call expired */
	HTTP_CLIENT_ERROR_STALLED, /* no bytes received for the stall timeout */
	HTTP_CLIENT_ERROR_DISCONNECTED, /* connection ended early */
	HTTP_CLIENT_ERROR_TOO_LARGE, /* the response exceeds its size limit */
	HTTP_CLIENT_ERROR_ABORTED, /* a callback returned false */
	HTTP_CLIENT_ERROR_INVALID, /* no valid HTTP response */
};

struct http_client;
struct http_call;

struct http_call_request {
	const char *method;
	const char *url;
	/*
	 * Path and query, sent byte for byte in place of the URL's; NULL for
	 * those of the URL.
	 */
	const char *target;
	const struct http_header *headers;
	size_t header_count;
	const void *body; /* copied */
	size_t body_length;
	int64_t connect_timeout_ms; /* 0 for the default */
	int64_t timeout_ms; /* of the whole call; 0 for none */
	int64_t stall_ms; /* timeout without any byte; 0 for none */
	size_t response_max_bytes; /* 0 for the default; not for streams */
	/*
	 * Closes the connection if the peer has acknowledged nothing for this
	 * time (TCP_USER_TIMEOUT), also while it is idle (TCP keep-alive); 0
	 * for the system's default.
	 */
	int64_t unreachable_ms;
	/*
	 * Limit on what the system buffers of a response that is not read
	 * (SO_RCVBUF); 0 for the default. Only with unreachable_ms.
	 */
	int receive_buffer_bytes;
	bool connect_only; /* succeeds once connected; nothing is sent */
	/* Uses a new connection, which is closed after the response. */
	bool dedicated_connection;
	/*
	 * Uses no connection that was open this long ago: its peer may have
	 * gone silent since. Some younger ones may be left out too; 0 for no
	 * limit.
	 */
	int64_t connection_max_age_ms;
	/*
	 * Whether a request may be sent twice: if a kept-alive connection turns
	 * out to be broken, it is sent again on a new one. If false, each call
	 * except GET uses a new connection, so that it can't be sent twice.
	 */
	bool repeatable;
	/* Serves no caller's request: its events wait for those that do. */
	bool background;
};

struct http_result {
	int status; /* 0 if no status line was received */
	bool may_have_sent; /* whether any byte of the request may have been
			       sent */
	bool refused; /* nothing listens at the address */
	bool reused_connection; /* no new one was opened for the call */
	const GByteArray *body; /* empty if passed to a chunk callback */
	const GError *error; /* HTTP_CLIENT_ERROR, or NULL */
};

/* Callbacks of a call; headers and chunk may be NULL. */
struct http_call_ops {
	/* Status and headers were received; returning false ends the call. */
	bool (*headers)(void *data, struct http_call *, int status);
	/*
	 * Part of a response body; returning false ends the call. Without a
	 * headers callback it is called for status 200 only, and other bodies
	 * are collected in the result.
	 */
	bool (*chunk)(void *data, const uint8_t *bytes, size_t length);
	/*
	 * The call ended; http_call_header() still works in the callback, and
	 * the call is freed after it.
	 */
	void (*done)(
	    void *data, struct http_call *, const struct http_result *);
};

GQuark http_client_error_quark(void);
struct http_client *http_client_new(struct ev_loop *, GError **);
void http_client_free(struct http_client *);
void http_client_set_ca_file(struct http_client *, const char *path);
struct http_call *http_client_start(struct http_client *,
    const struct http_call_request *, const struct http_call_ops *, void *data);
void http_call_cancel(struct http_call *);
bool http_call_may_have_sent(const struct http_call *);
void http_call_pause(struct http_call *);
void http_call_resume(struct http_call *);
const char *http_call_header(const struct http_call *, const char *name);
enum header_match http_call_find_header(
    const struct http_call *, const char *name, const char **value);
const struct http_header *http_call_headers(
    const struct http_call *, size_t *count);
bool http_call_length(const struct http_call *, uint64_t *out);
bool http_call_is_framed(const struct http_call *);
int http_call_reason_class(const struct http_call *);

#endif
