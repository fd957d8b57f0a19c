/* Shared by the server (httpd.c) and its requests (httpd_request.c). */
#ifndef BASE_HTTPD_INTERNAL_H
#define BASE_HTTPD_INTERNAL_H

#include <microhttpd.h>

#include "base/httpd.h"
#include "base/httpd_tls.h"
#include "base/list.h"
#include "base/loop_monitor.h"

/* A caller's connection, which may carry several requests in sequence. */
struct httpd_peer {
	struct MHD_Connection *connection;
	int fd;
	bool read_closed; /* the peer has shut down its side */
	bool write_closed; /* we have shut down our side */
	bool used; /* a request of it has been read */
	struct httpd_request *request; /* NULL between requests */
	TAILQ_ENTRY(httpd_peer) entry;
};

TAILQ_HEAD(httpd_peers, httpd_peer);

struct httpd_request {
	struct httpd *httpd;
	struct MHD_Connection *connection;
	struct httpd_peer *peer;
	void *data;
	char *target; /* path and query, as sent */
	char *authority; /* of a target in absolute form; or NULL */
	char *path; /* percent-decoded */
	char *method;
	/*
	 * Header values as the library has them -> without the white space
	 * around them; NULL if none has any.
	 */
	GHashTable *trimmed;
	GByteArray *body;
	struct httpd_limits limits;
	size_t body_reserved; /* counted in httpd.stats.body_bytes */
	size_t body_discarded;
	struct MHD_Response *response;
	int status;
	GByteArray *stream; /* NULL for a complete response */
	size_t stream_read; /* bytes of stream already sent */
	uint64_t stream_taken; /* bytes sent since the stream's beginning */
	bool old_version; /* of HTTP, before 1.1 */
	bool started; /* its headers were read */
	bool dispatched; /* passed to the owner */
	bool stream_ended;
	bool ends_with_connection; /* the stream has no length or chunks */
	bool written_since_drain; /* since the last drained callback */
	bool close_after; /* the response closes the connection */
	bool suspended;
	bool disconnected;
	TAILQ_ENTRY(httpd_request) entry;
};

TAILQ_HEAD(httpd_requests, httpd_request);

struct httpd {
	const struct httpd_ops *ops;
	void *data;
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	struct ev_io readable;
	struct ev_timer timer;
	struct ev_timer resume; /* never started; fed to run the library */
	enum loop_work work;
	bool resumed; /* httpd_schedule_run() is pending */
	int unsent_max_bytes;
	int hangup_epoll;
	struct ev_io hangup_readable;
	int port;
	size_t header_max_bytes;
	size_t body_max_bytes;
	size_t bodies_max_bytes;
	struct httpd_tls *tls; /* NULL for plain HTTP */
	size_t connection_bytes; /* memory per connection */
	unsigned int idle_s;
	bool closing; /* no keep-alive: each response closes its connection */
	bool stopping;
	struct httpd_stats stats;
	struct httpd_requests requests;
	struct httpd_peers peers;
};

struct httpd_request *httpd_request_new(
    struct httpd *, struct MHD_Connection *, const char *target);
void httpd_request_free(struct httpd_request *);
void httpd_request_trim_headers(struct httpd_request *);
size_t httpd_request_head_bytes(const struct httpd_request *);
void httpd_request_fail(struct httpd_request *, int status, const char *type,
    const char *code, const char *message);
bool httpd_request_reserve(struct httpd_request *, size_t bytes);
int httpd_listen(const char *address, GError **);
int httpd_local_port(int fd);
void httpd_accept_backlog(struct httpd *);
void httpd_schedule_run(struct httpd *);

#endif
