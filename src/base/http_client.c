#include "base/http_client.h"

#include <sys/socket.h>

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>

#include "base/clock.h"
#include "base/half_close.h"
#include "base/list.h"
#include "base/loop_monitor.h"

#define LOG_MODULE "http_client"
#include "base/log.h"

#define CONNECT_TIMEOUT_DEFAULT_MS 1000
#define RESPONSE_MAX_DEFAULT_BYTES ((size_t)16 * 1024 * 1024)
#define IDLE_CONNECTIONS_MAX	   64L
#define STATUS_OK		   200
#define STATUS_NO_CONTENT	   204
#define STATUS_NOT_MODIFIED	   304
/* Lower codes are informational: a final status line follows. */
#define STATUS_FINAL_MIN 200
/* Curl closes idle connections long before. */
#define CONNECTION_AGE_MAX_S 86400
/* Interval of TCP keep-alive probes, for calls with unreachable_ms. */
#define KEEPALIVE_INTERVAL_S 1

G_DEFINE_QUARK(http_client_error, http_client_error)

enum call_state {
	CALL_WAITING, /* not yet added to curl */
	CALL_RUNNING,
	CALL_CANCELLED, /* to be removed from curl and freed */
	CALL_ENDING, /* its done callback is running */
};

TAILQ_HEAD(call_list, http_call);

struct http_client {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer; /* set by curl */
	ev_timer deferred; /* never started; fed to run deferred work */
	struct call_list calls;
	struct call_list changed; /* calls with a state to apply to curl */
	bool in_curl; /* a curl function is on the stack */
	char *ca_file; /* NULL for the system's CAs */
};

struct http_call {
	struct http_client *client;
	CURL *easy;
	struct curl_slist *headers_out;
	struct response_head head;
	GByteArray *body;
	uint8_t *body_out; /* of the request; or NULL */
	size_t body_out_length;
	bool no_content; /* the response has no body, whatever its headers */
	int fd; /* of its connection, while curl waits for it; or -1 */
	int kept_fd; /* its connection, if the request may not be read; or -1 */
	struct half_close
	    *half_close; /* whether its end is complete; or NULL */
	const struct http_call_ops *ops;
	void *data;
	enum call_state state;
	size_t response_max_bytes;
	int64_t stall_ms;
	int64_t unreachable_ms;
	int receive_buffer_bytes;
	ev_timer stall;
	ev_timer timeout;
	bool pause_wanted;
	bool paused;
	bool sent;
	bool connect_only;
	bool failed; /* error_code is set and overrides curl's code */
	enum http_client_error error_code;
	bool background; /* serves no caller's request */
	bool is_changed; /* is in the client's list of changed calls */
	TAILQ_ENTRY(http_call) entry;
	TAILQ_ENTRY(http_call) changed_entry;
};

/* A socket of curl. */
struct client_socket {
	struct ev_io io;
	struct http_client *client;
	bool background; /* of the calls that use its connection */
};

/* Frees a call that has been removed from curl. */
static void
call_free(struct http_call *call)
{
	struct http_client *client = call->client;

	ev_timer_stop(client->loop, &call->stall);
	ev_timer_stop(client->loop, &call->timeout);
	TAILQ_REMOVE(&client->calls, call, entry);
	if (call->is_changed)
		TAILQ_REMOVE(&client->changed, call, changed_entry);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers_out);
	response_head_clear(&call->head);
	g_byte_array_unref(call->body);
	half_close_cancel(call->half_close);
	if (call->kept_fd >= 0)
		close(call->kept_fd);
	g_free(call->body_out);
	g_free(call);
}

/* Removes a call's handle from curl; not for use inside curl's callbacks. */
static void
call_remove_from_curl(struct http_call *call)
{
	struct http_client *client = call->client;

	client->in_curl = true;
	curl_multi_remove_handle(client->multi, call->easy);
	client->in_curl = false;
}

/*
 * Schedules client_run_deferred() on the loop, to apply the call's state to
 * curl.
 */
static void
call_defer_state(struct http_call *call)
{
	struct http_client *client = call->client;

	if (!call->is_changed) {
		call->is_changed = true;
		TAILQ_INSERT_TAIL(&client->changed, call, changed_entry);
	}
	ev_feed_event(client->loop, &client->deferred, EV_CUSTOM);
}

/*
 * Returns whether any byte of the request may have been sent; true if in doubt.
 */
static bool
call_may_have_sent(const struct http_call *call)
{
	curl_off_t uploaded = 0;
	long request_size = 0;
	long status = 0;

	if (call->sent)
		return true;
	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &request_size);
	curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	return request_size > 0 || uploaded > 0 || status > 0;
}

/* Returns the error of a call that curl ended with code; NULL for success. */
static GError *
call_error(const struct http_call *call, CURLcode code, bool sent)
{
	static const char *const texts[] = {
	    [HTTP_CLIENT_ERROR_CONNECT] = "no connection",
	    [HTTP_CLIENT_ERROR_TIMEOUT] = "timed out",
	    [HTTP_CLIENT_ERROR_STALLED] = "stalled: no bytes received",
	    [HTTP_CLIENT_ERROR_DISCONNECTED] = "connection ended early",
	    [HTTP_CLIENT_ERROR_TOO_LARGE] = "response too large",
	    [HTTP_CLIENT_ERROR_ABORTED] = "aborted by callback",
	    [HTTP_CLIENT_ERROR_INVALID] = "malformed response",
	};
	enum http_client_error kind;

	if (call->failed)
		kind = call->error_code;
	else if (code == CURLE_OK)
		return NULL;
	else if (code == CURLE_WEIRD_SERVER_REPLY)
		kind = HTTP_CLIENT_ERROR_INVALID;
	else
		kind = sent ? HTTP_CLIENT_ERROR_DISCONNECTED
			    : HTTP_CLIENT_ERROR_CONNECT;
	return g_error_new(HTTP_CLIENT_ERROR, (gint)kind, "%s (%s)",
	    texts[kind],
	    call->head.fault != NULL ? call->head.fault
				     : curl_easy_strerror(code));
}

/*
 * Returns whether a connection has ended inside the headers of a response,
 * which curl takes for an unframed one.
 */
static bool
is_cut_in_headers(const struct http_call *call, CURLcode code)
{
	return code == CURLE_OK && !call->connect_only && !call->head.complete;
}

/* Ends a call: removes it from curl, calls its done callback, frees it. */
static void
call_end(struct http_call *call, CURLcode code)
{
	struct http_result result = {.body = call->body};
	GError *error;
	long status = 0;
	long connects = 0;

	if (is_cut_in_headers(call, code))
		code = CURLE_PARTIAL_FILE;
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	result.status = (int)status;
	curl_easy_getinfo(call->easy, CURLINFO_NUM_CONNECTS, &connects);
	result.may_have_sent = call_may_have_sent(call);
	result.reused_connection = connects == 0 && result.may_have_sent;
	result.refused = !call->failed && code == CURLE_COULDNT_CONNECT;
	error = call_error(call, code, result.may_have_sent);
	result.error = error;
	call_remove_from_curl(call);
	call->state = CALL_ENDING;
	call->ops->done(call->data, call, &result);
	g_clear_error(&error);
	call_free(call);
}

/* Returns how much of the request's body has been passed to the system. */
static size_t
uploaded_bytes(const struct http_call *call)
{
	curl_off_t uploaded = 0;

	curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
	return MIN((size_t)MAX(uploaded, 0), call->body_out_length);
}

/*
 * Returns whether nothing but the end of the connection ends the response, and
 * the peer has not received the whole request.
 */
static bool
is_end_uncertain(const struct http_call *call, int fd)
{
	if (call->head.has_length || call->head.chunked || call->no_content)
		return false;
	return uploaded_bytes(call) < call->body_out_length ||
	    !half_close_is_acknowledged(fd);
}

/*
 * Keeps the connection of a response whose end may not tell whether it is
 * complete. Curl closes it when the peer has ended its side.
 */
static void
keep_connection(struct http_call *call)
{
	if (call->body_out_length == 0 || call->fd < 0 || call->kept_fd >= 0)
		return;
	if (!is_end_uncertain(call, call->fd))
		return;
	call->kept_fd = dup(call->fd);
	if (call->kept_fd < 0)
		LOG_WARN("can't tell how an early response ends", "{s:s}",
		    "why", g_strerror(errno));
}

/* The peer reads on after its response, or has reset the connection. */
static void
on_half_close_known(void *data, bool reads)
{
	struct http_call *call = data;

	call->half_close = NULL;
	if (!reads)
		LOG_INFO("response reset by the rest of its request",
		    "{s:I, s:I}", "request_bytes",
		    (json_int_t)call->body_out_length, "written",
		    (json_int_t)uploaded_bytes(call));
	call_end(call, reads ? CURLE_OK : CURLE_SEND_ERROR);
}

/*
 * Ends a call that curl has completed. If the connection of an unframed
 * response has ended before the request was read, the response is complete
 * only if the peer reads on: a connection that is reset by the rest of the
 * request has not ended properly.
 */
static void
end_completed(struct http_call *call, CURLcode code)
{
	size_t written = uploaded_bytes(call);
	int fd = call->kept_fd;

	if (code != CURLE_OK || fd < 0 || !is_end_uncertain(call, fd)) {
		call_end(call, code);
		return;
	}
	call->kept_fd = -1;
	call->half_close = half_close_check(call->client->loop, fd,
	    call->body_out + written, call->body_out_length - written,
	    on_half_close_known, call);
}

/* Ends the calls that curl has completed. */
static void
client_reap_calls(struct http_client *client)
{
	struct http_call *call;
	CURLMsg *message;
	CURLcode code;
	int left;

	while ((message = curl_multi_info_read(client->multi, &left)) != NULL) {
		if (message->msg != CURLMSG_DONE)
			continue;
		code = message->data.result;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		if (call->state == CALL_RUNNING)
			end_completed(call, code);
	}
}

/*
 * Applies the state that the owner requested to curl: cancelled, started,
 * paused or resumed.
 */
static void
call_apply_state(struct http_call *call)
{
	struct http_client *client = call->client;
	bool pause = call->pause_wanted;

	if (call->state == CALL_CANCELLED) {
		call_remove_from_curl(call);
		call_free(call);
		return;
	}
	if (call->state == CALL_WAITING) {
		call->state = CALL_RUNNING;
		client->in_curl = true;
		curl_multi_add_handle(client->multi, call->easy);
		client->in_curl = false;
	}
	if (call->state != CALL_RUNNING || call->paused == pause)
		return;
	call->paused = pause;
	client->in_curl = true;
	curl_easy_pause(call->easy, pause ? CURLPAUSE_RECV : CURLPAUSE_CONT);
	client->in_curl = false;
}

/*
 * Runs deferred work: the requested state changes, then the calls that curl has
 * completed. Only calls whose state changed are visited, as this runs for each
 * event of each stream. A change that a callback requests meanwhile is applied
 * too, as it is appended to the list.
 */
static void
client_run_deferred(struct ev_loop *loop, ev_timer *w, int events)
{
	struct http_client *client = w->data;
	enum loop_work previous = loop_work_begin(LOOP_WORK_UPSTREAM);
	struct http_call *call;

	while (!client->in_curl &&
	    (call = TAILQ_FIRST(&client->changed)) != NULL) {
		TAILQ_REMOVE(&client->changed, call, changed_entry);
		call->is_changed = false;
		call_apply_state(call);
	}
	client_reap_calls(client);
	loop_work_end(previous);
}

/* Lets curl handle socket events or its timer. */
static void
client_socket_action(struct http_client *client, curl_socket_t fd, int mask)
{
	int running;

	client->in_curl = true;
	curl_multi_socket_action(client->multi, fd, mask, &running);
	client->in_curl = false;
	client_reap_calls(client);
	if (!TAILQ_EMPTY(&client->changed))
		ev_feed_event(client->loop, &client->deferred, EV_CUSTOM);
}

/* A socket of curl is ready. */
static void
on_socket_ready(struct ev_loop *loop, ev_io *w, int events)
{
	struct client_socket *socket = w->data;
	struct http_client *client = socket->client;
	enum loop_work previous = loop_work_begin(
	    socket->background ? LOOP_WORK_STORE : LOOP_WORK_UPSTREAM);
	int mask = ((events & EV_READ) ? CURL_CSELECT_IN : 0) |
	    ((events & EV_WRITE) ? CURL_CSELECT_OUT : 0);

	client_socket_action(client, w->fd, mask);
	loop_work_end(previous);
}

/* Curl's timer has expired. */
static void
on_curl_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	enum loop_work previous = loop_work_begin(LOOP_WORK_UPSTREAM);

	client_socket_action(w->data, CURL_SOCKET_TIMEOUT, 0);
	loop_work_end(previous);
}

/* Curl sets which events of a socket to watch. */
static int
on_curl_socket_change(
    CURL *easy, curl_socket_t fd, int what, void *data, void *assigned)
{
	struct http_client *client = data;
	struct client_socket *socket = assigned;
	struct http_call *call = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&call);
	if (call != NULL && (what != CURL_POLL_REMOVE || call->fd == (int)fd))
		call->fd = what == CURL_POLL_REMOVE ? -1 : (int)fd;
	if (socket != NULL)
		ev_io_stop(client->loop, &socket->io);
	if (what == CURL_POLL_REMOVE) {
		g_free(socket);
		curl_multi_assign(client->multi, fd, NULL);
		return 0;
	}
	if (socket == NULL) {
		socket = g_new0(struct client_socket, 1);
		socket->client = client;
		curl_multi_assign(client->multi, fd, socket);
	}
	socket->background = call != NULL && call->background;
	ev_io_init(&socket->io, on_socket_ready, fd,
	    ((what & CURL_POLL_IN) ? EV_READ : 0) |
		((what & CURL_POLL_OUT) ? EV_WRITE : 0));
	ev_set_priority(&socket->io,
	    socket->background ? LOOP_PRIORITY_BACKGROUND
			       : LOOP_PRIORITY_UPSTREAM);
	socket->io.data = socket;
	ev_io_start(client->loop, &socket->io);
	return 0;
}

/* Curl sets its timer; -1 disables it. */
static int
on_curl_timer_change(CURLM *multi, long timeout_ms, void *data)
{
	struct http_client *client = data;

	ev_timer_stop(client->loop, &client->timer);
	if (timeout_ms < 0)
		return 0;
	ev_timer_set(&client->timer, (double)timeout_ms / 1000.0, 0.0);
	ev_timer_start(client->loop, &client->timer);
	return 0;
}

/* Restarts the stall timer; a call paused by its owner has none. */
static void
stall_restart(struct http_call *call)
{
	struct ev_loop *loop = call->client->loop;

	if (call->stall_ms <= 0 || call->state == CALL_ENDING)
		return;
	ev_timer_stop(loop, &call->stall);
	if (call->pause_wanted)
		return;
	ev_timer_set(&call->stall, (double)call->stall_ms / 1000.0, 0.0);
	ev_timer_start(loop, &call->stall);
}

/* Records the reason of a failure, which overrides curl's own code. */
static void
call_fail(struct http_call *call, enum http_client_error code)
{
	call->failed = true;
	call->error_code = code;
}

/* The stall timer has expired. */
static void
on_call_stalled(struct ev_loop *loop, ev_timer *w, int events)
{
	struct http_call *call = w->data;

	call_fail(call, HTTP_CLIENT_ERROR_STALLED);
	call_end(call, CURLE_OPERATION_TIMEDOUT);
}

/* The timeout of the whole call has expired. */
static void
on_call_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	struct http_call *call = w->data;

	call_fail(call, HTTP_CLIENT_ERROR_TIMEOUT);
	call_end(call, CURLE_OPERATION_TIMEDOUT);
}

/* Curl is connected and about to send the request. */
static int
on_before_send(
    void *data, char *remote, char *local, int remote_port, int local_port)
{
	struct http_call *call = data;

	call->sent = true;
	return CURL_PREREQFUNC_OK;
}

/*
 * Handles the end of the headers: calls the headers callback for a final
 * response. Returns false if it ends the call.
 */
static bool
on_headers_end(struct http_call *call)
{
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	call->head.complete = status >= STATUS_FINAL_MIN;
	call->no_content |= status == STATUS_NO_CONTENT ||
	    status == STATUS_NOT_MODIFIED;
	if (call->head.complete)
		keep_connection(call);
	if (call->ops->headers == NULL || status < STATUS_FINAL_MIN ||
	    call->state != CALL_RUNNING)
		return true;
	if (call->ops->headers(call->data, call, (int)status))
		return true;
	call_fail(call, HTTP_CLIENT_ERROR_ABORTED);
	return false;
}

/* Curl received a line of the head or of the trailer; 0 ends the call. */
static size_t
on_header_line(char *bytes, size_t size, size_t count, void *data)
{
	struct http_call *call = data;
	size_t length = size * count;

	stall_restart(call);
	switch (response_head_add_line(&call->head, bytes, length)) {
	case RESPONSE_LINE_PART:
		return length;
	case RESPONSE_LINE_END:
		return on_headers_end(call) ? length : 0;
	case RESPONSE_LINE_INVALID:
		call_fail(call, HTTP_CLIENT_ERROR_INVALID);
		return 0;
	case RESPONSE_LINE_TOO_LARGE:
		call_fail(call, HTTP_CLIENT_ERROR_TOO_LARGE);
		return 0;
	}
	return 0;
}

/*
 * Curl received a part of the body; returning 0 makes it end the call. Curl
 * reads up to 1.6 MB of a fast peer before it returns to the loop, so a pause
 * that the owner requested is applied here already: curl keeps the part.
 */
static size_t
on_body_bytes(char *bytes, size_t size, size_t count, void *data)
{
	struct http_call *call = data;
	size_t length = size * count;
	long status = 0;

	if (call->state != CALL_RUNNING)
		return 0;
	/* Bytes of another protocol follow the head of a 101. */
	if (!call->head.complete) {
		call_fail(call, HTTP_CLIENT_ERROR_INVALID);
		return 0;
	}
	if (call->pause_wanted) {
		call->paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	stall_restart(call);
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (call->ops->chunk != NULL &&
	    (call->ops->headers != NULL || status == STATUS_OK)) {
		if (call->ops->chunk(call->data, (uint8_t *)bytes, length))
			return length;
		call_fail(call, HTTP_CLIENT_ERROR_ABORTED);
		return 0;
	}
	if (call->body->len + length > call->response_max_bytes) {
		call_fail(call, HTTP_CLIENT_ERROR_TOO_LARGE);
		return 0;
	}
	g_byte_array_append(call->body, (uint8_t *)bytes, (guint)length);
	return length;
}

/* Creates a client on an event loop. */
struct http_client *
http_client_new(struct ev_loop *loop, GError **error)
{
	struct http_client *client;

	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
		g_set_error_literal(error, HTTP_CLIENT_ERROR,
		    HTTP_CLIENT_ERROR_CONNECT, "curl initialisation failed");
		return NULL;
	}
	client = g_new0(struct http_client, 1);
	client->loop = loop;
	client->multi = curl_multi_init();
	TAILQ_INIT(&client->calls);
	TAILQ_INIT(&client->changed);
	ev_init(&client->timer, on_curl_timer);
	ev_set_priority(&client->timer, LOOP_PRIORITY_UPSTREAM);
	client->timer.data = client;
	ev_init(&client->deferred, client_run_deferred);
	ev_set_priority(&client->deferred, LOOP_PRIORITY_UPSTREAM);
	client->deferred.data = client;
	curl_multi_setopt(
	    client->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket_change);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(
	    client->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer_change);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(
	    client->multi, CURLMOPT_MAXCONNECTS, IDLE_CONNECTIONS_MAX);
	return client;
}

/* Cancels all calls and closes all connections. NULL is allowed. */
void
http_client_free(struct http_client *client)
{
	struct http_call *call, *next;

	if (client == NULL)
		return;
	TAILQ_FOREACH_SAFE (call, &client->calls, entry, next) {
		call_remove_from_curl(call);
		call_free(call);
	}
	curl_multi_cleanup(client->multi);
	ev_timer_stop(client->loop, &client->timer);
	ev_clear_pending(client->loop, &client->deferred);
	g_free(client->ca_file);
	g_free(client);
}

/*
 * Sets the CA certificates (PEM) for https; NULL for the system's. Applies to
 * calls started afterwards.
 */
void
http_client_set_ca_file(struct http_client *client, const char *path)
{
	g_free(client->ca_file);
	client->ca_file = g_strdup(path);
}

/* Sets the request headers; CR and LF in values are replaced by spaces. */
static void
set_headers(struct http_call *call, const struct http_call_request *request)
{
	bool typed = false;
	bool accepts = false;
	char *line;

	for (size_t i = 0; i < request->header_count; i++) {
		/* With a colon and no value, curl would send no header. */
		line = g_strdup_printf(
		    request->headers[i].value[0] != '\0' ? "%s: %s" : "%s;%s",
		    request->headers[i].name, request->headers[i].value);
		g_strdelimit(line, "\r\n", ' ');
		call->headers_out = curl_slist_append(call->headers_out, line);
		g_free(line);
		typed |= g_ascii_strcasecmp(
			     request->headers[i].name, "Content-Type") == 0;
		accepts |= g_ascii_strcasecmp(
			       request->headers[i].name, "Accept") == 0;
	}
	/* A line without a value removes curl's default header. */
	if (!typed)
		call->headers_out = curl_slist_append(
		    call->headers_out, "Content-Type:");
	if (!accepts)
		call->headers_out = curl_slist_append(
		    call->headers_out, "Accept:");
	call->headers_out = curl_slist_append(call->headers_out, "Expect:");
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers_out);
}

/*
 * Leaves out connections that are older than the limit. Curl counts their age
 * and its own limit in whole seconds, rounds the age down, and takes 0 for no
 * limit.
 */
static void
set_connection_age(struct http_call *call, int64_t max_age_ms)
{
	int64_t max_age_s = max_age_ms / MS_PER_S - 1;

	if (max_age_ms <= 0)
		return;
	if (max_age_s <= 0)
		curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
	else
		curl_easy_setopt(call->easy, CURLOPT_MAXLIFETIME_CONN,
		    (long)MIN(max_age_s, CONNECTION_AGE_MAX_S));
}

/* Sets method, URL, body and connection reuse. */
static void
set_request(struct http_call *call, const struct http_call_request *request)
{
	bool get = strcmp(request->method, "GET") == 0;

	set_headers(call, request);
	curl_easy_setopt(call->easy, CURLOPT_URL, request->url);
	curl_easy_setopt(call->easy, CURLOPT_PATH_AS_IS, 1L);
	if (request->target != NULL)
		curl_easy_setopt(
		    call->easy, CURLOPT_REQUEST_TARGET, request->target);
	if (request->body_length > 0 || strcmp(request->method, "POST") == 0 ||
	    strcmp(request->method, "PUT") == 0) {
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)request->body_length);
		call->body_out = g_memdup2(request->body, request->body_length);
		call->body_out_length = request->body_length;
		curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS,
		    call->body_out != NULL ? (const char *)call->body_out : "");
	}
	call->no_content = strcmp(request->method, "HEAD") == 0;
	if (call->no_content)
		curl_easy_setopt(call->easy, CURLOPT_NOBODY, 1L);
	curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, request->method);
	if (request->dedicated_connection || (!get && !request->repeatable))
		curl_easy_setopt(call->easy, CURLOPT_FRESH_CONNECT, 1L);
	if (request->dedicated_connection)
		curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 1L);
	set_connection_age(call, request->connection_max_age_ms);
	if (request->connect_only)
		curl_easy_setopt(call->easy, CURLOPT_CONNECT_ONLY, 1L);
}

/*
 * Bounds how long the peer of a new socket may be unreachable, with TCP
 * keep-alive and TCP_USER_TIMEOUT.
 */
static int
set_keepalive(void *data, curl_socket_t fd, curlsocktype purpose)
{
	const struct http_call *call = data;
	unsigned int silence_ms = (unsigned int)call->unreachable_ms;
	int on = 1;
	int probe_s = KEEPALIVE_INTERVAL_S;
	int probes = (int)MAX(call->unreachable_ms / MS_PER_S, 1);
	int buffer = call->receive_buffer_bytes;

	if (setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on)) != 0 ||
	    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_s,
		sizeof(probe_s)) != 0 ||
	    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_s,
		sizeof(probe_s)) != 0 ||
	    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes)) !=
		0 ||
	    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence_ms,
		sizeof(silence_ms)) != 0)
		LOG_WARN("can't set TCP keep-alive options", "{s:s}", "why",
		    g_strerror(errno));
	if (buffer > 0 &&
	    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer)) != 0)
		LOG_WARN("can't limit the receive buffer", "{s:s}", "why",
		    g_strerror(errno));
	return CURL_SOCKOPT_OK;
}

/* Sets curl's callbacks, protocols and connect timeout. */
static void
set_handling(struct http_call *call, const struct http_call_request *request)
{
	CURL *easy = call->easy;
	int64_t connect_ms = request->connect_timeout_ms > 0
	    ? request->connect_timeout_ms
	    : CONNECT_TIMEOUT_DEFAULT_MS;

	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	if (call->client->ca_file != NULL)
		curl_easy_setopt(easy, CURLOPT_CAINFO, call->client->ca_file);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header_line);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body_bytes);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	if (call->unreachable_ms > 0) {
		curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, set_keepalive);
		curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, call);
	}
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(
	    easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_ms);
}

/*
 * Starts a call. The request is copied; ops must stay valid until the call
 * ends. The first callback comes later, from the loop.
 */
struct http_call *
http_client_start(struct http_client *client,
    const struct http_call_request *request, const struct http_call_ops *ops,
    void *data)
{
	struct http_call *call = g_new0(struct http_call, 1);

	call->client = client;
	call->ops = ops;
	call->data = data;
	call->easy = curl_easy_init();
	call->fd = -1;
	call->kept_fd = -1;
	response_head_init(&call->head);
	call->body = g_byte_array_new();
	call->response_max_bytes = request->response_max_bytes > 0
	    ? request->response_max_bytes
	    : RESPONSE_MAX_DEFAULT_BYTES;
	call->stall_ms = request->stall_ms;
	call->unreachable_ms = request->unreachable_ms;
	call->receive_buffer_bytes = request->receive_buffer_bytes;
	call->connect_only = request->connect_only;
	call->background = request->background;
	ev_init(&call->stall, on_call_stalled);
	call->stall.data = call;
	ev_timer_init(&call->timeout, on_call_timeout,
	    (double)request->timeout_ms / 1000.0, 0.0);
	call->timeout.data = call;
	set_request(call, request);
	set_handling(call, request);
	TAILQ_INSERT_TAIL(&client->calls, call, entry);
	/* The loop's cached time may be outdated. */
	ev_now_update(client->loop);
	if (request->timeout_ms > 0)
		ev_timer_start(client->loop, &call->timeout);
	stall_restart(call);
	call_defer_state(call);
	return call;
}

/*
 * Cancels a call without any further callback. No effect inside its own done
 * callback.
 */
void
http_call_cancel(struct http_call *call)
{
	struct http_client *client = call->client;

	if (call->state == CALL_ENDING)
		return;
	call->state = CALL_CANCELLED;
	ev_timer_stop(client->loop, &call->stall);
	ev_timer_stop(client->loop, &call->timeout);
	call_defer_state(call);
}

/* Returns whether any byte of the request may have been sent by now. */
bool
http_call_may_have_sent(const struct http_call *call)
{
	return call_may_have_sent(call);
}

/* Pauses the chunk callbacks; one already in progress may still come. */
void
http_call_pause(struct http_call *call)
{
	call->pause_wanted = true;
	stall_restart(call);
	call_defer_state(call);
}

/* Resumes the chunk callbacks and restarts the stall timer. */
void
http_call_resume(struct http_call *call)
{
	call->pause_wanted = false;
	stall_restart(call);
	if (call->paused)
		call_defer_state(call);
}

/*
 * Returns the last response header of this name, ignoring case; NULL if none.
 * What decides by a header asks http_call_find_header(), which tells if there
 * are others.
 */
const char *
http_call_header(const struct http_call *call, const char *name)
{
	const char *value;

	response_head_find(&call->head, name, &value);
	return value;
}

/* Finds the response headers of this name; see response_head_find(). */
enum header_match
http_call_find_header(
    const struct http_call *call, const char *name, const char **value)
{
	return response_head_find(&call->head, name, value);
}

/*
 * Returns all response headers in the order received; valid until the call
 * ends.
 */
const struct http_header *
http_call_headers(const struct http_call *call, size_t *count)
{
	*count = call->head.headers->len;
	return (const struct http_header *)(void *)call->head.headers->data;
}

/* Returns whether the response has a length, and which, in bytes. */
bool
http_call_length(const struct http_call *call, uint64_t *out)
{
	*out = call->head.length;
	return call->head.has_length;
}

/* Returns whether the response has a length or chunks. */
bool
http_call_is_framed(const struct http_call *call)
{
	return call->head.has_length || call->head.chunked;
}

/*
 * Returns the first digit of the status whose standard reason phrase the
 * response has; 0 if it has another phrase or none.
 */
int
http_call_reason_class(const struct http_call *call)
{
	return call->head.reason_class;
}
