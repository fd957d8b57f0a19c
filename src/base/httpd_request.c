#include <sys/socket.h>

#include <errno.h>
#include <string.h>

#include <jansson.h>

#include "base/httpd_internal.h"

#define LOG_MODULE "httpd"
#include "base/log.h"

/* Buffer size of a streamed response. */
#define STREAM_BLOCK_BYTES 1024
/* Sent bytes are removed from a stream's buffer above this. */
#define STREAM_COMPACT_BYTES (16 * 1024)
#define RETRY_AFTER_S	     "1"
/* What the library needs for a header line beside its bytes, at most. */
#define HEADER_MEMORY_BYTES 64
/* For a status line, the library's own headers and buffers. */
#define CONNECTION_RESERVE_BYTES 1024
/* Start of a target in absolute form. */
#define SCHEME "http://"

/*
 * Sets the target. Of one in absolute form, only path and query are passed on;
 * its authority takes the place of the Host header (RFC 9112, 3.2.2).
 */
static void
set_target(struct httpd_request *request, const char *target)
{
	const char *authority;
	size_t length;

	if (g_ascii_strncasecmp(target, SCHEME, strlen(SCHEME)) != 0) {
		request->target = g_strdup(target);
		return;
	}
	authority = target + strlen(SCHEME);
	length = strcspn(authority, "/?#");
	request->authority = g_strndup(authority, length);
	request->target = g_strconcat(
	    authority[length] == '/' ? "" : "/", authority + length, NULL);
}

/* Creates a request, once its request line has been read. */
struct httpd_request *
httpd_request_new(
    struct httpd *httpd, struct MHD_Connection *connection, const char *target)
{
	struct httpd_request *request = g_new0(struct httpd_request, 1);

	request->httpd = httpd;
	request->connection = connection;
	set_target(request, target);
	httpd->stats.open_requests++;
	TAILQ_INSERT_TAIL(&httpd->requests, request, entry);
	return request;
}

/* Frees a request, its body and its stream's buffer. */
void
httpd_request_free(struct httpd_request *request)
{
	struct httpd *httpd = request->httpd;

	TAILQ_REMOVE(&httpd->requests, request, entry);
	httpd->stats.open_requests--;
	httpd->stats.stream_bytes -= httpd_stream_pending(request);
	httpd_request_drop_body(request);
	if (request->response != NULL)
		MHD_destroy_response(request->response);
	if (request->stream != NULL)
		g_byte_array_unref(request->stream);
	if (request->trimmed != NULL)
		g_hash_table_unref(request->trimmed);
	g_free(request->target);
	g_free(request->authority);
	g_free(request->path);
	g_free(request->method);
	g_free(request);
}

/*
 * Counts bytes of this body towards the limit of all bodies; false if the limit
 * would be exceeded.
 */
bool
httpd_request_reserve(struct httpd_request *request, size_t bytes)
{
	struct httpd *httpd = request->httpd;

	if (httpd->stats.body_bytes + bytes > httpd->bodies_max_bytes)
		return false;
	httpd->stats.body_bytes += bytes;
	request->body_reserved += bytes;
	return true;
}

/* Resumes a request that was suspended. */
static void
resume_request(struct httpd_request *request)
{
	if (!request->suspended)
		return;
	request->suspended = false;
	MHD_resume_connection(request->connection);
	httpd_schedule_run(request->httpd);
}

/*
 * Resets the connection of a response that nothing but its end completes. The
 * library would close it in an orderly way, as after a complete one.
 */
static void
reset_connection(struct httpd_request *request)
{
	static const struct sockaddr unspecified = {.sa_family = AF_UNSPEC};

	if (connect(request->peer->fd, &unspecified, sizeof(unspecified)) != 0)
		LOG_WARN("can't reset connection", "{s:s}", "why",
		    g_strerror(errno));
}

/*
 * Ends the connection of a stream whose caller may not read: the library waits
 * for it to become writable, also with a last part of its own when nothing is
 * pending here, and would keep it until the idle timeout. The buffered bytes
 * are freed.
 */
static void
shutdown_stream(struct httpd_request *request)
{
	if (!request->suspended && shutdown(request->peer->fd, SHUT_RDWR) != 0)
		LOG_DEBUG("can't shut down connection", "{s:s}", "why",
		    g_strerror(errno));
	request->httpd->stats.stream_bytes -= httpd_stream_pending(request);
	g_byte_array_unref(request->stream);
	request->stream = g_byte_array_new();
	request->stream_read = 0;
}

/*
 * Closes the connection without completing the response; closed() follows from
 * the loop, also if the caller has disconnected or does not read.
 */
void
httpd_abort(struct httpd_request *request)
{
	if (request->ends_with_connection && !request->disconnected)
		reset_connection(request);
	else if (request->stream != NULL && !request->disconnected)
		shutdown_stream(request);
	request->disconnected = true;
	resume_request(request);
}

/*
 * Closes the connection after the response, of which no part may have been
 * given yet.
 */
void
httpd_close_after(struct httpd_request *request)
{
	request->close_after = true;
}

/* Returns the method, in upper case. */
const char *
httpd_request_method(const struct httpd_request *request)
{
	return request->method;
}

/* Returns the path without query, percent-decoded. */
const char *
httpd_request_path(const struct httpd_request *request)
{
	return request->path;
}

/* Returns the path and query as the caller sent them. */
const char *
httpd_request_target(const struct httpd_request *request)
{
	return request->target;
}

/* Returns the path as the caller sent it; free with g_free(). */
char *
httpd_request_copy_path(const struct httpd_request *request)
{
	return g_strndup(request->target, strcspn(request->target, "?"));
}

/*
 * Returns whether the target is a path with or without a query, of visible
 * characters and without a fragment, so that it can be passed on as it is; "*"
 * is valid too (RFC 9112, 3.2).
 */
bool
httpd_request_has_valid_target(const struct httpd_request *request)
{
	const char *target = request->target;

	if (strcmp(target, "*") == 0)
		return true;
	if (target[0] != '/')
		return false;
	for (size_t i = 0; target[i] != '\0'; i++) {
		if (!g_ascii_isgraph(target[i]) || target[i] == '#')
			return false;
	}
	return true;
}

/* Returns a query parameter, decoded; NULL if missing. */
const char *
httpd_request_query(const struct httpd_request *request, const char *name)
{
	return MHD_lookup_connection_value(
	    request->connection, MHD_GET_ARGUMENT_KIND, name);
}

/* Returns whether white space surrounds a value. */
static bool
is_surrounded(const char *value)
{
	size_t length = strlen(value);

	return length > 0 &&
	    (g_ascii_isspace(value[0]) || g_ascii_isspace(value[length - 1]));
}

/* Adds a header's value to the trimmed ones if white space surrounds it. */
static enum MHD_Result
trim_header(
    void *data, enum MHD_ValueKind kind, const char *name, const char *value)
{
	struct httpd_request *request = data;

	if (value == NULL || !is_surrounded(value))
		return MHD_YES;
	if (request->trimmed == NULL)
		request->trimmed = g_hash_table_new_full(
		    g_direct_hash, g_direct_equal, NULL, g_free);
	g_hash_table_insert(
	    request->trimmed, (void *)value, g_strstrip(g_strdup(value)));
	return MHD_YES;
}

/*
 * Prepares the headers of a request that has been read. White space around a
 * value is no part of it (RFC 9110, 5.5); the library leaves it behind one.
 */
void
httpd_request_trim_headers(struct httpd_request *request)
{
	MHD_get_connection_values(
	    request->connection, MHD_HEADER_KIND, trim_header, request);
}

/* Returns a value without the white space around it; NULL for NULL. */
static const char *
trimmed_value(const struct httpd_request *request, const char *value)
{
	const char *trimmed = request->trimmed == NULL
	    ? NULL
	    : g_hash_table_lookup(request->trimmed, value);

	return trimmed != NULL ? trimmed : value;
}

/* Returns a header's value, ignoring the name's case; NULL if missing. */
const char *
httpd_request_header(const struct httpd_request *request, const char *name)
{
	if (request->authority != NULL &&
	    g_ascii_strcasecmp(name, MHD_HTTP_HEADER_HOST) == 0)
		return request->authority;
	return trimmed_value(request,
	    MHD_lookup_connection_value(
		request->connection, MHD_HEADER_KIND, name));
}

/* Arguments of visit_header(). */
struct header_walk {
	const struct httpd_request *request;
	httpd_header_fn *callback;
	void *data;
};

/* Passes one header to the callback. */
static enum MHD_Result
visit_header(
    void *data, enum MHD_ValueKind kind, const char *name, const char *value)
{
	const struct header_walk *walk = data;
	struct http_header header = {
	    name, value == NULL ? "" : trimmed_value(walk->request, value)};

	if (walk->request->authority != NULL &&
	    g_ascii_strcasecmp(name, MHD_HTTP_HEADER_HOST) == 0)
		header.value = walk->request->authority;
	walk->callback(walk->data, &header);
	return MHD_YES;
}

/* Calls back for each header, in the order received. */
void
httpd_request_for_each_header(
    const struct httpd_request *request, httpd_header_fn *callback, void *data)
{
	struct header_walk walk = {
	    .request = request, .callback = callback, .data = data};

	MHD_get_connection_values(
	    request->connection, MHD_HEADER_KIND, visit_header, &walk);
}

/* Returns the bytes of the request's head, with its request line. */
size_t
httpd_request_head_bytes(const struct httpd_request *request)
{
	return MHD_get_connection_info(
	    request->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE)
	    ->header_size;
}

/*
 * Returns how many bytes the header lines of the response may have: the library
 * builds them in what the request's head leaves of the connection's memory, and
 * closes the connection without a response if they do not fit.
 */
size_t
httpd_request_response_head_max(const struct httpd_request *request)
{
	int lines = MHD_get_connection_values(
	    request->connection, MHD_HEADER_KIND, NULL, NULL);
	size_t used = httpd_request_head_bytes(request) +
	    (size_t)lines * HEADER_MEMORY_BYTES + CONNECTION_RESERVE_BYTES;

	return request->httpd->connection_bytes > used
	    ? request->httpd->connection_bytes - used
	    : 0;
}

/* Returns the body; NULL and length 0 if there is none or it was dropped. */
const uint8_t *
httpd_request_body(const struct httpd_request *request, size_t *length)
{
	*length = request->body == NULL ? 0 : request->body->len;
	return request->body == NULL ? NULL : request->body->data;
}

/*
 * Frees the body before the request ends and releases its share of the limit.
 */
void
httpd_request_drop_body(struct httpd_request *request)
{
	if (request->body != NULL)
		g_byte_array_unref(request->body);
	request->body = NULL;
	request->httpd->stats.body_bytes -= request->body_reserved;
	request->body_reserved = 0;
}

/* Returns the owner's pointer; NULL if not set. */
void *
httpd_request_data(const struct httpd_request *request)
{
	return request->data;
}

/* Stores a pointer for the owner. */
void
httpd_request_set_data(struct httpd_request *request, void *data)
{
	request->data = data;
}

/* Sets the response and its headers, and resumes the request. */
static void
set_response(struct httpd_request *request, struct MHD_Response *response,
    int status, const struct http_header *headers, size_t header_count)
{
	for (size_t i = 0; i < header_count; i++)
		MHD_add_response_header(
		    response, headers[i].name, headers[i].value);
	if (request->httpd->closing || request->close_after)
		MHD_add_response_header(
		    response, MHD_HTTP_HEADER_CONNECTION, "close");
	request->response = response;
	request->status = status;
	resume_request(request);
}

/* Sends a complete response; the body is copied. Once per request. */
void
httpd_respond(struct httpd_request *request, int status,
    const struct http_header *headers, size_t header_count, const void *body,
    size_t length)
{
	struct MHD_Response *response;

	g_return_if_fail(request->response == NULL);
	response = MHD_create_response_from_buffer(
	    length, (void *)body, MHD_RESPMEM_MUST_COPY);
	set_response(request, response, status, headers, header_count);
}

/* Responds with an error of the server itself, as JSON. */
void
httpd_request_fail(struct httpd_request *request, int status, const char *type,
    const char *code, const char *message)
{
	static const struct http_header headers[] = {
	    {"Content-Type", "application/json"},
	    {"Retry-After", RETRY_AFTER_S},
	};
	json_t *error = json_pack("{s:{s:s, s:s, s:s}}", "error", "message",
	    message, "type", type, "code", code);
	char *text = json_dumps(error, JSON_COMPACT);

	httpd_respond(request, status, headers,
	    status == MHD_HTTP_SERVICE_UNAVAILABLE ? 2 : 1, text, strlen(text));
	free(text);
	json_decref(error);
}

/* Calls the drained callback, once after each write. */
static void
report_drained(struct httpd_request *request)
{
	struct httpd *httpd = request->httpd;

	if (!request->written_since_drain)
		return;
	request->written_since_drain = false;
	if (httpd->ops->drained != NULL)
		httpd->ops->drained(httpd->data, request);
}

/* Passes the next bytes of a stream to the library, or suspends the request. */
static ssize_t
read_stream(void *data, uint64_t position, char *out, size_t size)
{
	struct httpd_request *request = data;
	size_t pending;

	if (request->disconnected)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (httpd_stream_pending(request) == 0 && !request->stream_ended)
		report_drained(request);
	if (request->disconnected)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	pending = httpd_stream_pending(request);
	if (pending == 0 && request->stream_ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (pending == 0) {
		request->suspended = true;
		MHD_suspend_connection(request->connection);
		return 0;
	}
	size = MIN(size, pending);
	memcpy(out, request->stream->data + request->stream_read, size);
	request->stream_read += size;
	request->stream_taken += size;
	request->httpd->stats.stream_bytes -= size;
	return (ssize_t)size;
}

/* Starts a response whose body is streamed. Once per request. */
void
httpd_stream_begin(struct httpd_request *request, int status,
    const struct http_header *headers, size_t header_count)
{
	httpd_stream_begin_sized(
	    request, status, headers, header_count, MHD_SIZE_UNKNOWN);
}

/*
 * The same with a known body length in bytes, so that the HTTP client detects a
 * truncated response.
 */
void
httpd_stream_begin_sized(struct httpd_request *request, int status,
    const struct http_header *headers, size_t header_count, uint64_t length)
{
	struct MHD_Response *response;

	g_return_if_fail(request->response == NULL);
	request->stream = g_byte_array_new();
	request->ends_with_connection = length == MHD_SIZE_UNKNOWN &&
	    request->old_version;
	response = MHD_create_response_from_callback(
	    length, STREAM_BLOCK_BYTES, read_stream, request, NULL);
	set_response(request, response, status, headers, header_count);
}

/* Removes sent bytes, so that the buffer of a long stream stays small. */
static void
compact_stream(struct httpd_request *request)
{
	if (request->stream_read == request->stream->len)
		g_byte_array_set_size(request->stream, 0);
	else if (request->stream_read > STREAM_COMPACT_BYTES)
		g_byte_array_remove_range(
		    request->stream, 0, (guint)request->stream_read);
	else
		return;
	request->stream_read = 0;
}

/*
 * Appends bytes to a stream. They are copied and buffered until sent; the owner
 * must limit them with httpd_stream_pending().
 */
void
httpd_stream_write(
    struct httpd_request *request, const void *bytes, size_t length)
{
	g_return_if_fail(request->stream != NULL && !request->stream_ended);
	if (request->disconnected || length == 0)
		return;
	compact_stream(request);
	g_byte_array_append(request->stream, bytes, (guint)length);
	request->httpd->stats.stream_bytes += length;
	request->written_since_drain = true;
	resume_request(request);
}

/* Returns the number of buffered bytes not yet passed to the system. */
size_t
httpd_stream_pending(const struct httpd_request *request)
{
	if (request->stream == NULL)
		return 0;
	return request->stream->len - request->stream_read;
}

/* Returns the bytes of a stream that were passed to the system so far. */
uint64_t
httpd_stream_taken(const struct httpd_request *request)
{
	return request->stream_taken;
}

/* Ends a stream after the bytes written so far. */
void
httpd_stream_end(struct httpd_request *request)
{
	g_return_if_fail(request->stream != NULL);
	request->stream_ended = true;
	resume_request(request);
}
