/*
 * HTTP server for callers, operators and metrics: libmicrohttpd driven by
 * libev. A request is passed to the owner when its body is complete; it is
 * answered exactly once, at any later time, with a complete body or as a
 * stream.
 */
#ifndef BASE_HTTPD_H
#define BASE_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include "base/http_client.h"

#define HTTPD_ERROR (httpd_error_quark())

enum httpd_error {
	HTTPD_ERROR_ADDRESS, /* not HOST:PORT */
	HTTPD_ERROR_LISTEN, /* address in use or not local */
	HTTPD_ERROR_CERTIFICATE, /* unreadable, or key and certificate differ */
};

struct httpd;
struct httpd_request;

/* Limits of one request; 0 for those of the settings. */
struct httpd_limits {
	size_t head_bytes; /* of its header lines */
	size_t body_bytes;
	/* What is longer gets 431 or 413, else 503: they may rise soon. */
	bool is_final;
};

struct httpd_ops {
	/*
	 * A complete request. It stays valid until closed() is called for it.
	 */
	void (*request)(void *data, struct httpd_request *);
	/*
	 * A request that the server answers with an error itself before it is
	 * complete: neither request() nor closed() is called for it. NULL if
	 * nobody is to know.
	 */
	void (*rejected)(void *data, const struct httpd_request *, int status,
	    const char *code);
	/*
	 * The request has ended and is freed after this call: the client
	 * disconnected, or the complete response was passed to the system
	 * (complete).
	 */
	void (*closed)(void *data, struct httpd_request *, bool complete);
	/* A streamed response has sent all its buffered bytes. */
	void (*drained)(void *data, struct httpd_request *);
	/*
	 * Returns the limits of a request that begins now. NULL if those of the
	 * settings always count.
	 */
	struct httpd_limits (*limits)(void *data);
};

struct httpd_settings {
	const char *address; /* HOST:PORT, numeric; port 0 for any */
	size_t body_max_bytes; /* of one request, if nothing else limits it */
	size_t bodies_max_bytes; /* of all requests together; beyond it 503 */
	const char *certificate_file; /* NULL for plain HTTP */
	const char *key_file;
	/*
	 * Of a request's header lines, and of the head of its response beside
	 * them; 0 for the default, which is not checked.
	 */
	size_t header_max_bytes;
	unsigned int idle_s; /* idle time of a connection; 0 for the default */
	bool start_paused; /* accept nothing until httpd_start() */
	bool is_monitor; /* serves metrics and health, not callers */
	/*
	 * Bytes of a connection that the system buffers beyond what the
	 * caller's window takes (TCP_NOTSENT_LOWAT); 0 for the default.
	 */
	int unsent_max_bytes;
};

struct httpd_stats {
	size_t open_requests;
	size_t body_bytes;
	size_t stream_bytes;
};

/* One request header, borrowed for the call. */
typedef void httpd_header_fn(void *data, const struct http_header *);

GQuark httpd_error_quark(void);
struct httpd *httpd_new(struct ev_loop *, const struct httpd_settings *,
    const struct httpd_ops *, void *data, GError **);
void httpd_free(struct httpd *);
void httpd_start(struct httpd *);
int httpd_port(const struct httpd *);
void httpd_disable_keep_alive(struct httpd *);
void httpd_stop_accepting(struct httpd *);
bool httpd_reload_certificate(struct httpd *, GError **);
void httpd_stats(const struct httpd *, struct httpd_stats *);

const char *httpd_request_method(const struct httpd_request *);
const char *httpd_request_path(const struct httpd_request *);
const char *httpd_request_target(const struct httpd_request *);
char *httpd_request_copy_path(const struct httpd_request *);
bool httpd_request_has_valid_target(const struct httpd_request *);
const char *httpd_request_query(const struct httpd_request *, const char *name);
const char *httpd_request_header(
    const struct httpd_request *, const char *name);
void httpd_request_for_each_header(
    const struct httpd_request *, httpd_header_fn *, void *data);
size_t httpd_request_response_head_max(const struct httpd_request *);
const uint8_t *httpd_request_body(const struct httpd_request *, size_t *length);
void httpd_request_drop_body(struct httpd_request *);
void *httpd_request_data(const struct httpd_request *);
void httpd_request_set_data(struct httpd_request *, void *);

void httpd_respond(struct httpd_request *, int status,
    const struct http_header *, size_t header_count, const void *body,
    size_t length);
void httpd_close_after(struct httpd_request *);
void httpd_abort(struct httpd_request *);
void httpd_stream_begin(struct httpd_request *, int status,
    const struct http_header *, size_t header_count);
void httpd_stream_begin_sized(struct httpd_request *, int status,
    const struct http_header *, size_t header_count, uint64_t length);
void httpd_stream_write(struct httpd_request *, const void *, size_t length);
size_t httpd_stream_pending(const struct httpd_request *);
uint64_t httpd_stream_taken(const struct httpd_request *);
void httpd_stream_end(struct httpd_request *);

#endif
