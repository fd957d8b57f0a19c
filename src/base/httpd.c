#include "base/httpd.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <errno.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/httpd_internal.h"

#define LOG_MODULE "httpd"
#include "base/log.h"

#define CONNECTIONS_MAX 16384
/* Holds a request's head and the pieces in which bodies go in and out. */
#define CONNECTION_MEMORY_BYTES (size_t)(8 * 1024)
#define CONNECTION_IDLE_S	(unsigned int)60
/* Of a connection whose peer sends no more. */
#define HALF_CLOSED_IDLE_S (unsigned int)1
#define HANGUP_EVENTS	   64
#define LOG_LINE_BYTES	   512

G_DEFINE_QUARK(httpd_error_quark, httpd_error)

/* Passes a line of the library's to our log. */
static void
log_mhd_line(void *data, const char *format, va_list args)
{
	char line[LOG_LINE_BYTES];

	if (!log_enabled(LOG_LEVEL_DEBUG))
		return;
	g_vsnprintf(line, sizeof(line), format, args);
	LOG_DEBUG("http server", "{s:s}", "line", g_strchomp(line));
}

/* Watches each new connection for its peer's end; unwatches at its end. */
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
	event.data.ptr = peer;
	epoll_ctl(httpd->hangup_epoll, EPOLL_CTL_ADD, peer->fd, &event);
	*context = peer;
	TAILQ_INSERT_TAIL(&httpd->peers, peer, entry);
}

/*
 * Ends a connection between two requests: its peer sees the end behind the last
 * answer, and a request that crosses it is not taken.
 */
static void
shutdown_write(struct httpd_peer *peer)
{
	peer->write_closed = true;
	if (shutdown(peer->fd, SHUT_WR) != 0)
		LOG_DEBUG(
		    "connection not shut", "{s:s}", "why", g_strerror(errno));
}

/* Sets when the library runs next, if nothing comes before. */
static void
schedule_run_in(struct httpd *httpd, int64_t wait_ms)
{
	ev_timer_stop(httpd->loop, &httpd->timer);
	ev_timer_set(&httpd->timer, (double)wait_ms / MS_PER_S, 0.);
	ev_timer_start(httpd->loop, &httpd->timer);
}

/*
 * A peer sends no more. A request that waits for its owner is ended. The
 * library reads on edges and misses an end that came together with bytes; it
 * would keep half a request until the connection is idle for too long.
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

/* Takes note of the peers that have closed their connections. */
static void
on_hangups_ready(struct ev_loop *loop, struct ev_io *watcher, int events)
{
	struct httpd *httpd = watcher->data;
	struct epoll_event ready[HANGUP_EVENTS];
	int count = epoll_wait(httpd->hangup_epoll, ready, HANGUP_EVENTS, 0);

	for (int i = 0; i < count; i++)
		on_peer_closed(ready[i].data.ptr);
	schedule_run_in(httpd, 0);
}

/* Makes the request's record once its first line has been read. */
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
	return request;
}

/* Frees a request at its end, after its owner has heard of it. */
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

/* Refuses a body that is too long, or one too many. */
static void
reject_body(struct httpd_request *request, int status)
{
	httpd_request_drop_body(request);
	if (status == MHD_HTTP_CONTENT_TOO_LARGE)
		httpd_request_fail(request, status, "invalid_request_error",
		    "body_too_long",
		    "The body is longer than this server takes.");
	else
		httpd_request_fail(request, status, "server_error",
		    "overloaded", "Too many bodies are held; not run.");
}

/* Reads the request's head; refuses at once what its length forbids. */
static enum MHD_Result
start_request(
    struct httpd_request *request, const char *path, const char *method)
{
	const char *length_text = httpd_request_header(
	    request, MHD_HTTP_HEADER_CONTENT_LENGTH);
	guint64 length = 0;

	request->started = true;
	request->path = g_strdup(path);
	request->method = g_strdup(method);
	if (length_text != NULL)
		length = g_ascii_strtoull(length_text, NULL, 10);
	if (length > request->httpd->body_max_bytes)
		reject_body(request, MHD_HTTP_CONTENT_TOO_LARGE);
	else if (!httpd_request_reserve(request, length))
		reject_body(request, MHD_HTTP_SERVICE_UNAVAILABLE);
	if (request->response != NULL)
		return MHD_queue_response(request->connection,
		    (unsigned int)request->status, request->response);
	if (length > 0)
		request->body = g_byte_array_sized_new((guint)length);
	return MHD_YES;
}

/*
 * Takes a piece of the body. The library can't answer in the middle of a body
 * whose length was not said, so that the rest of a refused one is passed over,
 * within the limit of a body again.
 */
static enum MHD_Result
append_body(struct httpd_request *request, const char *bytes, size_t length)
{
	size_t whole = length;

	if (request->response != NULL) {
		request->body_discarded += length;
		return request->body_discarded > request->httpd->body_max_bytes
		    ? MHD_NO
		    : MHD_YES;
	}
	if (request->body == NULL)
		request->body = g_byte_array_new();
	whole += request->body->len;
	if (whole > request->httpd->body_max_bytes) {
		reject_body(request, MHD_HTTP_CONTENT_TOO_LARGE);
		return MHD_YES;
	}
	if (whole > request->body_reserved &&
	    !httpd_request_reserve(request, whole - request->body_reserved)) {
		reject_body(request, MHD_HTTP_SERVICE_UNAVAILABLE);
		return MHD_YES;
	}
	g_byte_array_append(
	    request->body, (const guint8 *)bytes, (guint)length);
	return MHD_YES;
}

/* Hands a whole request over; sends its answer once there is one. */
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

/* The library's call for each step of a request's way in. */
static enum MHD_Result
on_request_step(void *data, struct MHD_Connection *connection, const char *path,
    const char *method, const char *version, const char *body, size_t *length,
    void **context)
{
	struct httpd_request *request = *context;
	size_t taken = *length;

	if (!request->started)
		return start_request(request, path, method);
	if (taken == 0)
		return dispatch_request(request);
	*length = 0;
	return append_body(request, body, taken);
}

/*
 * Runs the library once for all requests that are resumed in this round of the
 * loop; resuming doesn't wake it.
 */
void
httpd_schedule_run(struct httpd *httpd)
{
	if (!httpd->resumed)
		schedule_run_in(httpd, 0);
	httpd->resumed = true;
}

/* Runs the library and sets the timer for when it wants to run again. */
static void
run_daemon(struct httpd *httpd)
{
	MHD_UNSIGNED_LONG_LONG wait_ms = 0;

	httpd->resumed = false;
	MHD_run(httpd->daemon);
	if (httpd->resumed)
		return;
	if (MHD_get_timeout(httpd->daemon, &wait_ms) == MHD_YES)
		schedule_run_in(httpd, (int64_t)wait_ms);
	else
		ev_timer_stop(httpd->loop, &httpd->timer);
}

/* The library's descriptor has something to do. */
static void
on_daemon_ready(struct ev_loop *loop, struct ev_io *watcher, int events)
{
	run_daemon(watcher->data);
}

/* The library's time has come. */
static void
on_timer(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	run_daemon(watcher->data);
}

/* Starts the library on the socket, with TLS where there is a certificate. */
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

/* Watches the library's descriptor and that of hang-ups on the loop. */
static void
init_watchers(struct httpd *httpd)
{
	int fd = MHD_get_daemon_info(httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD)
		     ->epoll_fd;

	ev_io_init(&httpd->readable, on_daemon_ready, fd, EV_READ);
	ev_io_init(&httpd->hangup_readable, on_hangups_ready,
	    httpd->hangup_epoll, EV_READ);
	ev_timer_init(&httpd->timer, on_timer, 0., 0.);
	httpd->readable.data = httpd;
	httpd->hangup_readable.data = httpd;
	httpd->timer.data = httpd;
}

/* Begins to serve where the settings had connections wait; else nothing. */
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
 * strings need not. NULL and an HTTPD_ERROR where it can't listen.
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
	httpd->bodies_max_bytes = settings->bodies_max_bytes;
	httpd->connection_bytes = MAX(
	    CONNECTION_MEMORY_BYTES, 2 * settings->header_max_bytes);
	httpd->idle_s = settings->idle_s > 0 ? settings->idle_s
					     : CONNECTION_IDLE_S;
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
		    "can't serve on %s: the library doesn't start",
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

/* Ends every request, then the server; closed() comes for each in the call. */
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
		/* Aborting has started the timer. */
		ev_io_stop(httpd->loop, &httpd->readable);
		ev_io_stop(httpd->loop, &httpd->hangup_readable);
		ev_timer_stop(httpd->loop, &httpd->timer);
	}
	close(httpd->hangup_epoll);
	httpd_tls_free(httpd->tls);
	g_free(httpd);
}

/*
 * Reads the certificate and key files anew, for connections from here on; open
 * ones go on. False with HTTPD_ERROR_CERTIFICATE, and the old ones in use,
 * where the files are no pair. A server without TLS has nothing to read.
 */
bool
httpd_reload_certificate(struct httpd *httpd, GError **error)
{
	return httpd->tls == NULL || httpd_tls_reload(httpd->tls, error);
}

/* The port it listens on, also where the settings asked for any. */
int
httpd_port(const struct httpd *httpd)
{
	return httpd->port;
}

/*
 * Ends each connection after the answer that is under way on it, and those
 * without any at once. New ones are still taken, for one answer each.
 */
void
httpd_disable_keep_alive(struct httpd *httpd)
{
	struct httpd_peer *peer;

	if (httpd->closing)
		return;
	httpd->closing = true;
	TAILQ_FOREACH (peer, &httpd->peers, entry) {
		if (peer->request == NULL)
			shutdown_write(peer);
	}
}

/* Sets how long a body may be, for requests that begin after it. */
void
httpd_set_body_max(struct httpd *httpd, size_t bytes)
{
	httpd->body_max_bytes = bytes;
}

/*
 * Takes no more connections. Requests that run are answered, and each answer
 * from here on ends its connection.
 */
void
httpd_stop_accepting(struct httpd *httpd)
{
	int fd;

	if (httpd->stopping)
		return;
	httpd->stopping = true;
	httpd_disable_keep_alive(httpd);
	fd = MHD_quiesce_daemon(httpd->daemon);
	if (fd >= 0)
		close(fd);
}

/* What the server holds now. */
void
httpd_stats(const struct httpd *httpd, struct httpd_stats *stats)
{
	*stats = httpd->stats;
}
