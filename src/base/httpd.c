#include "base/httpd.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/httpd_internal.h"
#include "base/metrics.h"
#include "base/request_head.h"

#define LOG_MODULE "httpd"
#include "base/log.h"

#define CONNECTIONS_MAX 16384
/* For a request's headers and the buffers for reading and writing bodies. */
#define CONNECTION_MEMORY_BYTES (size_t)(8 * 1024)
/*
 * The same by the limit of headers. The library clears all of it after each
 * request, so that a kept connection takes this much.
 */
#define CONNECTION_MEMORY_FACTOR 2
#define CONNECTION_IDLE_S	 (unsigned int)60
/* Idle time of a connection whose peer has shut down its side. */
#define HALF_CLOSED_IDLE_S (unsigned int)1
#define HANGUP_EVENTS	   64
#define LOG_LINE_BYTES	   512
/* Precedes the status in the library's message about a response of its own. */
#define MHD_STATUS_TEXT "HTTP response code is "

G_DEFINE_QUARK(httpd_error_quark, httpd_error)

METRIC_DEFINE(library_errors, METRIC_COUNTER, "heatherturn_http_library_errors",
    NULL, "Requests that the HTTP library answered with an error itself.");

/*
 * Writes a message of libmicrohttpd to our log, at debug level. No callback
 * reports a request that the library answers with an error itself; its message
 * does, and is logged at level info with the status.
 */
static void
log_mhd_line(void *data, const char *format, va_list args)
{
	char line[LOG_LINE_BYTES];
	const char *status;

	g_vsnprintf(line, sizeof(line), format, args);
	status = strstr(line, MHD_STATUS_TEXT);
	if (status == NULL) {
		LOG_DEBUG("http server", "{s:s}", "line", g_strchomp(line));
		return;
	}
	metric_add(&library_errors, 1);
	LOG_INFO("request rejected by the HTTP library", "{s:i, s:s, s:s}",
	    "status",
	    (int)g_ascii_strtoll(status + strlen(MHD_STATUS_TEXT), NULL, 10),
	    "status_from", "HTTP library", "line", g_strchomp(line));
}

/* Limits what the system buffers of a connection whose peer reads slowly. */
static void
limit_unsent(const struct httpd *httpd, int fd)
{
	int bytes = httpd->unsent_max_bytes;

	if (bytes > 0 &&
	    setsockopt(
		fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &bytes, sizeof(bytes)) != 0)
		LOG_DEBUG("can't limit unsent bytes", "{s:s}", "why",
		    g_strerror(errno));
}

/* Watches each new connection for the peer's shutdown, until it is closed. */
static void
on_connection_notify(void *data, struct MHD_Connection *connection,
    void **context, enum MHD_ConnectionNotificationCode what)
{
	struct httpd *httpd = data;
	struct httpd_peer *peer = *context;
	struct epoll_event event = {.events = EPOLLRDHUP | EPOLLET};

	if (what == MHD_CONNECTION_NOTIFY_CLOSED) {
		epoll_ctl(httpd->hangup_epoll, EPOLL_CTL_DEL, peer->fd, NULL);
		TAILQ_REMOVE(&httpd->peers, peer, entry);
		g_free(peer);
		*context = NULL;
		return;
	}
	peer = g_new0(struct httpd_peer, 1);
	peer->connection = connection;
	peer->fd = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CONNECTION_FD)
		       ->connect_fd;
	limit_unsent(httpd, peer->fd);
	event.data.ptr = peer;
	epoll_ctl(httpd->hangup_epoll, EPOLL_CTL_ADD, peer->fd, &event);
	*context = peer;
	TAILQ_INSERT_TAIL(&httpd->peers, peer, entry);
}

/*
 * Shuts down our side of an idle connection: the peer sees the end after the
 * last response, and a request that arrives meanwhile is dropped.
 */
static void
shutdown_write(struct httpd_peer *peer)
{
	peer->write_closed = true;
	if (shutdown(peer->fd, SHUT_WR) != 0)
		LOG_DEBUG("can't shut down connection", "{s:s}", "why",
		    g_strerror(errno));
}

/* Schedules the next run of the library, unless a socket event comes first. */
static void
schedule_run_in(struct httpd *httpd, int64_t wait_ms)
{
	ev_timer_stop(httpd->loop, &httpd->timer);
	ev_timer_set(&httpd->timer, (double)wait_ms / MS_PER_S, 0.);
	ev_timer_start(httpd->loop, &httpd->timer);
}

/*
 * The peer has shut down its side. A request that waits for its owner is
 * aborted. The library's epoll is edge-triggered and misses a shutdown that
 * arrived together with data; it would keep an incomplete request until the
 * idle timeout.
 */
static void
on_peer_closed(struct httpd_peer *peer)
{
	peer->read_closed = true;
	if (peer->request != NULL && peer->request->dispatched)
		httpd_abort(peer->request);
	else
		MHD_set_connection_option(peer->connection,
		    MHD_CONNECTION_OPTION_TIMEOUT, HALF_CLOSED_IDLE_S);
}

/* Handles peers that have shut down their side. */
static void
on_hangups_ready(struct ev_loop *loop, struct ev_io *watcher, int events)
{
	struct httpd *httpd = watcher->data;
	enum loop_work previous = loop_work_begin(httpd->work);
	struct epoll_event ready[HANGUP_EVENTS];
	int count = epoll_wait(httpd->hangup_epoll, ready, HANGUP_EVENTS, 0);

	for (int i = 0; i < count; i++)
		on_peer_closed(ready[i].data.ptr);
	schedule_run_in(httpd, 0);
	loop_work_end(previous);
}

/* Creates the request once its request line has been read. */
static void *
on_request_line(
    void *data, const char *target, struct MHD_Connection *connection)
{
	struct httpd_request *request = httpd_request_new(
	    data, connection, target);

	request->peer = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
			    ->socket_context;
	request->peer->request = request;
	request->peer->used = true;
	return request;
}

/* Frees a finished request, after its owner's closed callback. */
static void
on_request_completed(void *data, struct MHD_Connection *connection,
    void **context, enum MHD_RequestTerminationCode code)
{
	struct httpd *httpd = data;
	struct httpd_request *request = *context;

	if (request == NULL)
		return;
	*context = NULL;
	request->peer->request = NULL;
	if (httpd->closing && code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
		shutdown_write(request->peer);
	if (request->dispatched)
		httpd->ops->closed(httpd->data, request,
		    code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
	httpd_request_free(request);
}

/* Why the server does not read a request. */
enum rejection {
	REJECTED_AMBIGUOUS, /* its header lines contradict each other */
	REJECTED_HEAD, /* is too long */
	REJECTED_BODY, /* is too long */
	REJECTED_NOW, /* either is too long, but the limits may rise soon */
	REJECTED_BODIES, /* those of all requests together are too long */
};

/* Rejects a request before it is complete. */
static void
reject(struct httpd_request *request, enum rejection why)
{
	static const struct {
		int status;
		const char *type;
		const char *code;
		const char *message;
	} rejections[] = {
	    [REJECTED_AMBIGUOUS] = {MHD_HTTP_BAD_REQUEST,
		"invalid_request_error", "ambiguous_head",
		"The request's header lines are invalid or contradict each "
		"other."},
	    [REJECTED_HEAD] = {MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE,
		"invalid_request_error", "head_too_long",
		"The headers are longer than this server accepts."},
	    [REJECTED_BODY] = {MHD_HTTP_CONTENT_TOO_LARGE,
		"invalid_request_error", "body_too_long",
		"The body is longer than this server accepts."},
	    [REJECTED_NOW] = {MHD_HTTP_SERVICE_UNAVAILABLE, "server_error",
		"not_current",
		"The request is longer than this server accepts now; not run."},
	    [REJECTED_BODIES] = {MHD_HTTP_SERVICE_UNAVAILABLE, "server_error",
		"overloaded",
		"Too many bytes of request bodies are buffered; not run."},
	};
	const struct httpd *httpd = request->httpd;
	int status = rejections[why].status;
	const char *code = rejections[why].code;

	httpd_request_drop_body(request);
	httpd_request_fail(request, status, rejections[why].type, code,
	    rejections[why].message);
	if (httpd->ops->rejected != NULL)
		httpd->ops->rejected(httpd->data, request, status, code);
}

/*
 * Rejects a request whose header lines are ambiguous, and closes its
 * connection: nobody can tell where its body ends.
 */
static void
reject_ambiguous(struct httpd_request *request, const char *fault)
{
	LOG_INFO("ambiguous request", "{s:s}", "why", fault);
	httpd_close_after(request);
	reject(request, REJECTED_AMBIGUOUS);
}

/* Rejects a request whose head or body is over its limit. */
static void
reject_long(struct httpd_request *request, enum rejection part)
{
	reject(request, request->limits.is_final ? part : REJECTED_NOW);
}

/* Returns the limits of a request that begins now. */
static struct httpd_limits
request_limits(const struct httpd *httpd)
{
	struct httpd_limits limits = {.is_final = true};

	if (httpd->ops->limits != NULL)
		limits = httpd->ops->limits(httpd->data);
	if (limits.head_bytes == 0)
		limits.head_bytes = httpd->header_max_bytes;
	if (limits.body_bytes == 0)
		limits.body_bytes = httpd->body_max_bytes;
	return limits;
}

/* Returns whether a request's header lines are over their limit, if any. */
static bool
is_head_too_long(const struct httpd_request *request, const char *version)
{
	size_t line = strlen(request->method) + strlen(request->target) +
	    strlen(version) + strlen("  \r\n");

	return request->limits.head_bytes > 0 &&
	    httpd_request_head_bytes(request) >
	    request->limits.head_bytes + line;
}

/*
 * Handles the request's headers; rejects them, or a declared body length, over
 * a limit.
 */
static enum MHD_Result
start_request(struct httpd_request *request, const char *path,
    const char *method, const char *version)
{
	const char *length_text;
	const char *fault;
	guint64 length = 0;

	httpd_request_trim_headers(request);
	length_text = httpd_request_header(
	    request, MHD_HTTP_HEADER_CONTENT_LENGTH);
	request->started = true;
	request->old_version = strcmp(version, MHD_HTTP_VERSION_1_1) != 0;
	request->path = g_strdup(path);
	request->method = g_strdup(method);
	if (length_text != NULL)
		length = g_ascii_strtoull(length_text, NULL, 10);
	request->limits = request_limits(request->httpd);
	fault = request_head_find_fault(request->connection, version);
	if (fault != NULL)
		reject_ambiguous(request, fault);
	else if (is_head_too_long(request, version))
		reject_long(request, REJECTED_HEAD);
	else if (length > request->limits.body_bytes)
		reject_long(request, REJECTED_BODY);
	else if (!httpd_request_reserve(request, length))
		reject(request, REJECTED_BODIES);
	if (request->response != NULL)
		return MHD_queue_response(request->connection,
		    (unsigned int)request->status, request->response);
	if (length > 0)
		request->body = g_byte_array_sized_new((guint)length);
	return MHD_YES;
}

/*
 * Appends a chunk of the body. The library can't respond in the middle of a
 * body of undeclared length, so the rest of a rejected body is discarded, up to
 * the body limit again.
 */
static enum MHD_Result
append_body(struct httpd_request *request, const char *bytes, size_t length)
{
	size_t total = length;

	if (request->response != NULL) {
		request->body_discarded += length;
		return request->body_discarded > request->limits.body_bytes
		    ? MHD_NO
		    : MHD_YES;
	}
	if (request->body == NULL)
		request->body = g_byte_array_new();
	total += request->body->len;
	if (total > request->limits.body_bytes) {
		reject_long(request, REJECTED_BODY);
		return MHD_YES;
	}
	if (total > request->body_reserved &&
	    !httpd_request_reserve(request, total - request->body_reserved)) {
		reject(request, REJECTED_BODIES);
		return MHD_YES;
	}
	g_byte_array_append(
	    request->body, (const guint8 *)bytes, (guint)length);
	return MHD_YES;
}

/*
 * Passes a complete request to the owner; queues the response once there is
 * one.
 */
static enum MHD_Result
dispatch_request(struct httpd_request *request)
{
	struct httpd *httpd = request->httpd;

	if (request->disconnected || request->peer->write_closed)
		return MHD_NO;
	if (request->response == NULL && !request->dispatched) {
		request->dispatched = true;
		httpd->ops->request(httpd->data, request);
		request->disconnected |= request->peer->read_closed;
	}
	if (request->response != NULL)
		return MHD_queue_response(request->connection,
		    (unsigned int)request->status, request->response);
	if (request->disconnected)
		return MHD_NO;
	request->suspended = true;
	MHD_suspend_connection(request->connection);
	return MHD_YES;
}

/*
 * The library's callback: first for the headers, then for each chunk of the
 * body, then at its end.
 */
static enum MHD_Result
on_request_step(void *data, struct MHD_Connection *connection, const char *path,
    const char *method, const char *version, const char *body, size_t *length,
    void **context)
{
	struct httpd_request *request = *context;
	size_t taken = *length;

	if (!request->started)
		return start_request(request, path, method, version);
	if (taken == 0)
		return dispatch_request(request);
	*length = 0;
	return append_body(request, body, taken);
}

/*
 * Schedules one run of the library for all requests resumed in this loop
 * iteration; resuming doesn't wake the library. The run comes after the events
 * of all upstreams that are ready and before any background work of the
 * iteration. One run for many requests matters, as the library visits all its
 * suspended requests in each.
 */
void
httpd_schedule_run(struct httpd *httpd)
{
	if (!httpd->resumed)
		ev_feed_event(httpd->loop, &httpd->resume, EV_CUSTOM);
	httpd->resumed = true;
}

/* Runs the library and sets the timer to its next timeout. */
static void
run_daemon(struct httpd *httpd)
{
	MHD_UNSIGNED_LONG_LONG wait_ms = 0;
	enum loop_work previous = loop_work_begin(httpd->work);

	httpd->resumed = false;
	ev_clear_pending(httpd->loop, &httpd->resume);
	MHD_run(httpd->daemon);
	if (httpd->resumed)
		goto out;
	if (MHD_get_timeout(httpd->daemon, &wait_ms) == MHD_YES)
		schedule_run_in(httpd, (int64_t)wait_ms);
	else
		ev_timer_stop(httpd->loop, &httpd->timer);
out:
	loop_work_end(previous);
}

/* The library's epoll descriptor is ready. */
static void
on_daemon_ready(struct ev_loop *loop, struct ev_io *watcher, int events)
{
	run_daemon(watcher->data);
}

/* The library's timeout has expired. */
static void
on_daemon_timer(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	run_daemon(watcher->data);
}

/* Starts the library on the listening socket, with TLS if configured. */
static struct MHD_Daemon *
start_daemon(struct httpd *httpd, int fd)
{
	struct MHD_OptionItem tls[HTTPD_TLS_OPTIONS] = {
	    {MHD_OPTION_END, 0, NULL}};
	unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME |
	    MHD_USE_ERROR_LOG;

	if (httpd->tls != NULL) {
		flags |= MHD_USE_TLS;
		httpd_tls_options(httpd->tls, tls);
	}
	return MHD_start_daemon(flags, 0, NULL, NULL, on_request_step, httpd,
	    MHD_OPTION_EXTERNAL_LOGGER, log_mhd_line, NULL,
	    MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
	    (unsigned int)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
	    httpd->connection_bytes, MHD_OPTION_CONNECTION_TIMEOUT,
	    httpd->idle_s, MHD_OPTION_URI_LOG_CALLBACK, on_request_line, httpd,
	    MHD_OPTION_NOTIFY_COMPLETED, on_request_completed, httpd,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection_notify, httpd,
	    MHD_OPTION_ARRAY, tls, MHD_OPTION_END);
}

/* Initialises the watchers for the library and for peers' shutdowns. */
static void
init_watchers(struct httpd *httpd)
{
	int fd = MHD_get_daemon_info(httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD)
		     ->epoll_fd;

	ev_io_init(&httpd->readable, on_daemon_ready, fd, EV_READ);
	ev_io_init(&httpd->hangup_readable, on_hangups_ready,
	    httpd->hangup_epoll, EV_READ);
	ev_timer_init(&httpd->timer, on_daemon_timer, 0., 0.);
	ev_timer_init(&httpd->resume, on_daemon_timer, 0., 0.);
	if (httpd->work == LOOP_WORK_CALLER) {
		ev_set_priority(&httpd->readable, LOOP_PRIORITY_CALLER);
		ev_set_priority(&httpd->hangup_readable, LOOP_PRIORITY_CALLER);
		ev_set_priority(&httpd->timer, LOOP_PRIORITY_CALLER);
		ev_set_priority(&httpd->resume, LOOP_PRIORITY_CALLER);
	}
	httpd->resume.data = httpd;
	httpd->readable.data = httpd;
	httpd->hangup_readable.data = httpd;
	httpd->timer.data = httpd;
}

/* Starts serving if the settings had start_paused; otherwise no effect. */
void
httpd_start(struct httpd *httpd)
{
	if (ev_is_active(&httpd->readable))
		return;
	ev_io_start(httpd->loop, &httpd->readable);
	ev_io_start(httpd->loop, &httpd->hangup_readable);
	schedule_run_in(httpd, 0);
}

/*
 * Starts a server on settings->address. The ops must outlive it; the settings'
 * strings need not. Returns NULL and an HTTPD_ERROR if it can't listen or read
 * its certificate.
 */
struct httpd *
httpd_new(struct ev_loop *loop, const struct httpd_settings *settings,
    const struct httpd_ops *ops, void *data, GError **error)
{
	struct httpd *httpd = g_new0(struct httpd, 1);
	int fd;

	httpd->loop = loop;
	httpd->ops = ops;
	httpd->data = data;
	httpd->body_max_bytes = settings->body_max_bytes;
	httpd->unsent_max_bytes = settings->unsent_max_bytes;
	httpd->bodies_max_bytes = settings->bodies_max_bytes;
	httpd->header_max_bytes = settings->header_max_bytes;
	httpd->connection_bytes = MAX(CONNECTION_MEMORY_BYTES,
	    CONNECTION_MEMORY_FACTOR * settings->header_max_bytes);
	httpd->idle_s = settings->idle_s > 0 ? settings->idle_s
					     : CONNECTION_IDLE_S;
	httpd->work = settings->is_monitor ? LOOP_WORK_METRICS
					   : LOOP_WORK_CALLER;
	httpd->hangup_epoll = epoll_create1(EPOLL_CLOEXEC);
	TAILQ_INIT(&httpd->requests);
	TAILQ_INIT(&httpd->peers);
	if (settings->certificate_file != NULL) {
		httpd->tls = httpd_tls_new(
		    settings->certificate_file, settings->key_file, error);
		if (httpd->tls == NULL)
			goto err;
	}
	fd = httpd_listen(settings->address, error);
	if (fd < 0)
		goto err;
	httpd->port = httpd_local_port(fd);
	if (httpd->tls != NULL)
		httpd_tls_set_port(httpd->tls, httpd->port);
	httpd->daemon = start_daemon(httpd, fd);
	if (httpd->daemon == NULL) {
		g_set_error(error, HTTPD_ERROR, HTTPD_ERROR_LISTEN,
		    "can't serve on %s: HTTP library failed to start",
		    settings->address);
		close(fd);
		goto err;
	}
	init_watchers(httpd);
	if (!settings->start_paused)
		httpd_start(httpd);
	return httpd;
err:
	httpd_free(httpd);
	return NULL;
}

/*
 * Aborts all requests, calling closed() for each, and frees the server. NULL is
 * allowed.
 */
void
httpd_free(struct httpd *httpd)
{
	struct httpd_request *request;

	if (httpd == NULL)
		return;
	if (httpd->daemon != NULL) {
		TAILQ_FOREACH (request, &httpd->requests, entry)
			httpd_abort(request);
		MHD_stop_daemon(httpd->daemon);
		/* Aborting started the timer. */
		ev_io_stop(httpd->loop, &httpd->readable);
		ev_io_stop(httpd->loop, &httpd->hangup_readable);
		ev_timer_stop(httpd->loop, &httpd->timer);
		ev_clear_pending(httpd->loop, &httpd->resume);
	}
	close(httpd->hangup_epoll);
	httpd_tls_free(httpd->tls);
	g_free(httpd);
}

/*
 * Reloads the certificate and key files for new connections. On failure returns
 * false with HTTPD_ERROR_CERTIFICATE and keeps the old ones. No effect without
 * TLS.
 */
bool
httpd_reload_certificate(struct httpd *httpd, GError **error)
{
	return httpd->tls == NULL || httpd_tls_reload(httpd->tls, error);
}

/* Returns the listening port, also if the settings asked for any. */
int
httpd_port(const struct httpd *httpd)
{
	return httpd->port;
}

/*
 * Closes each connection after its current response, and idle ones now. New
 * connections are accepted, for one request each; so is the first request of
 * one that is open, as its caller does not expect a close yet.
 */
void
httpd_disable_keep_alive(struct httpd *httpd)
{
	struct httpd_peer *peer;

	if (httpd->closing)
		return;
	httpd->closing = true;
	/* Requests that have arrived would be dropped below. */
	if (ev_is_active(&httpd->readable))
		run_daemon(httpd);
	TAILQ_FOREACH (peer, &httpd->peers, entry) {
		if (peer->request == NULL && peer->used)
			shutdown_write(peer);
	}
}

/*
 * Stops accepting connections. Those that wait to be accepted are served one
 * request each. Running requests are answered, and each response closes its
 * connection.
 */
void
httpd_stop_accepting(struct httpd *httpd)
{
	int fd;

	if (httpd->stopping)
		return;
	httpd->stopping = true;
	httpd_disable_keep_alive(httpd);
	httpd_accept_backlog(httpd);
	fd = MHD_quiesce_daemon(httpd->daemon);
	if (fd >= 0)
		close(fd);
}

/* Returns the server's current counts of requests and bytes. */
void
httpd_stats(const struct httpd *httpd, struct httpd_stats *stats)
{
	*stats = httpd->stats;
}
