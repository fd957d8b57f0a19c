/*
 * HTTP calls to peers, by curl's multi interface under libev. Callbacks run on
 * the loop's thread, never inside a function of this module. A call ends with
 * exactly one done callback, unless it is cancelled, after which no callback
 * comes. Every function may be called from a callback.
 */
#ifndef BASE_HTTP_CLIENT_H
#define BASE_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

#define HTTP_CLIENT_ERROR (http_client_error_quark())

enum http_client_error {
	HTTP_CLIENT_ERROR_CONNECT, /* never connected: nothing was sent */
	HTTP_CLIENT_ERROR_TIMEOUT, /* the whole call's time ran out */
	HTTP_CLIENT_ERROR_STALLED, /* no bytes came for the stall time */
	HTTP_CLIENT_ERROR_DISCONNECTED, /* the connection ended before the
					   answer */
	HTTP_CLIENT_ERROR_TOO_LARGE, /* the answer passes its limit */
	HTTP_CLIENT_ERROR_ABORTED, /* a callback ended the call */
};

struct http_client;
struct http_call;

struct http_header {
	const char *name;
	const char *value;
};

struct http_call_request {
	const char *method;
	const char *url;
	const struct http_header *headers;
	size_t header_count;
	const void *body; /* copied */
	size_t body_length;
	int64_t connect_timeout_ms; /* 0 for the default */
	int64_t timeout_ms; /* of the whole call; 0 for none */
	int64_t stall_ms; /* without any byte; 0 for none */
	size_t response_max_bytes; /* 0 for the default; not for streams */
	/*
	 * Ends the connection where the peer has acknowledged nothing for so
	 * long, also while nothing is sent; 0 for the system's own patience.
	 */
	int64_t unreachable_ms;
	bool connect_only; /* ends well once connected; nothing is sent */
	/* Takes a connection of its own, which is closed after the answer. */
	bool dedicated_connection;
	/*
	 * Whether a call may go out a second time: where a kept connection
	 * turns out broken, it is sent again on a new one. Without it, each
	 * call but GET takes a connection of its own.
	 */
	bool repeatable;
};

struct http_result {
	int status; /* 0 where no status line came */
	bool sent; /* whether any byte of the request may have left */
	bool refused; /* no process takes connections there */
	const GByteArray *body; /* empty where a chunk callback took it */
	const GError *error; /* HTTP_CLIENT_ERROR, or NULL */
};

/* What the caller of http_client_start() gives; head, chunk may be NULL. */
struct http_call_ops {
	/* The answer's status and headers are in; false ends the call. */
	bool (*head)(void *data, struct http_call *, int status);
	/*
	 * Part of an answer's body; false ends the call. Without a head
	 * callback it comes for status 200 alone, and other bodies are kept.
	 */
	bool (*chunk)(void *data, const uint8_t *bytes, size_t length);
	/* The end; http_call_header() still works inside, the call is freed
	 * after. */
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
const struct http_header *http_call_headers(
    const struct http_call *, size_t *count);

#endif
