/*
 * The object store over HTTP; docs/PROTOCOLS.md describes the API.
 */
#include <inttypes.h>
#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "base/metrics.h"
#include "store/store.h"

#define VERSION_TEXT_BYTES 32
/* Added to a watch's own timeout for the HTTP call. */
#define WATCH_GRACE_MS	  1000
#define LIST_MAX_BYTES	  (4 * 1024 * 1024)
#define RETRY_AFTER_MAX_S 3600

struct store_http {
	struct store store;
	struct http_client *client;
	char *base_url;
};

struct store_call {
	struct http_call *http;
	enum store_verb verb;
	store_done_fn *done;
	void *data;
};

METRIC_DEFINE(reads_count, METRIC_COUNTER, "heatherturn_store_calls",
    "kind=\"read\"", "calls to the platform's object API");
METRIC_DEFINE(writes_count, METRIC_COUNTER, "heatherturn_store_calls",
    "kind=\"write\"", "calls to the platform's object API");
METRIC_DEFINE(watches_count, METRIC_COUNTER, "heatherturn_store_calls",
    "kind=\"watch\"", "calls to the platform's object API");

/* Returns whether a call changes stored data. */
static bool
is_write(enum store_verb verb)
{
	return verb == STORE_PUT || verb == STORE_DELETE;
}

/* Returns the error of a call that got no HTTP status. */
static enum store_error
map_transport_error(
    const struct store_call *call, const struct http_result *result)
{
	if (is_write(call->verb) && result->may_have_sent)
		return STORE_ERROR_OUTCOME_UNKNOWN;
	return STORE_ERROR_UNAVAILABLE;
}

/*
 * Maps an HTTP status to an error. The API sends 503 only if it has not done
 * anything; other server errors may follow a write that took effect.
 */
static enum store_error
map_status(const struct store_call *call, int status)
{
	switch (status) {
	case 304:
		return STORE_ERROR_UNCHANGED;
	case 404:
		return STORE_ERROR_NOT_FOUND;
	case 412:
		return STORE_ERROR_CONFLICT;
	case 413:
		return STORE_ERROR_TOO_LARGE;
	case 429:
		return STORE_ERROR_RATE_LIMITED;
	case 503:
		return STORE_ERROR_UNAVAILABLE;
	default:
		break;
	}
	if (status >= 500)
		return is_write(call->verb) ? STORE_ERROR_OUTCOME_UNKNOWN
					    : STORE_ERROR_UNAVAILABLE;
	return STORE_ERROR_MALFORMED;
}

/* Parses the version in a response's ETag; 0 if there is none. */
static uint64_t
parse_version(const struct http_call *call)
{
	const char *tag = http_call_header(call, "ETag");
	uint64_t version;
	char *end;

	if (tag == NULL || tag[0] != '"')
		return 0;
	version = g_ascii_strtoull(tag + 1, &end, 10);
	return strcmp(end, "\"") == 0 ? version : 0;
}

/* Parses Retry-After into milliseconds; 0 if it is missing or invalid. */
static int64_t
parse_retry_after(const struct http_call *call)
{
	const char *text = http_call_header(call, "Retry-After");
	guint64 seconds;

	if (text == NULL ||
	    !g_ascii_string_to_unsigned(
		text, 10, 0, RETRY_AFTER_MAX_S, &seconds, NULL))
		return 0;
	return (int64_t)seconds * MS_PER_S;
}

/* Parses a list of keys and versions; false if it is invalid. */
static bool
read_list(json_t *root, struct store_list_item **listed, size_t *count)
{
	json_t *objects = json_object_get(root, "objects");
	json_t *object;
	size_t i;

	if (!json_is_array(objects))
		return false;
	*count = json_array_size(objects);
	*listed = g_new0(struct store_list_item, *count + 1);
	json_array_foreach (objects, i, object) {
		struct store_list_item *item = &(*listed)[i];

		item->key = json_string_value(json_object_get(object, "key"));
		item->version = (uint64_t)json_integer_value(
		    json_object_get(object, "version"));
		if (item->key == NULL)
			return false;
	}
	return true;
}

/* Parses the response to a list call and reports it. */
static void
report_list(struct store_call *call, const struct http_result *from)
{
	json_t *root = json_loadb(
	    (const char *)from->body->data, from->body->len, 0, NULL);
	g_autofree struct store_list_item *listed = NULL;
	g_autoptr(GError) error = NULL;
	struct store_result result = {0};

	if (!read_list(root, &listed, &result.listed_count)) {
		error = g_error_new_literal(STORE_ERROR, STORE_ERROR_MALFORMED,
		    "the platform's object list is malformed");
		result.error = error;
	}
	result.listed = listed;
	call->done(call->data, &result);
	json_decref(root);
}

/* Returns the error of a response, NULL for a success. */
static GError *
check_response(const struct store_call *call, const struct http_result *from,
    uint64_t version)
{
	if (from->error != NULL)
		return g_error_new(STORE_ERROR, map_transport_error(call, from),
		    "the platform did not answer: %s", from->error->message);
	if (from->status == 200 && version == 0 && call->verb != STORE_LIST &&
	    call->verb != STORE_DELETE)
		return g_error_new_literal(STORE_ERROR,
		    is_write(call->verb) ? STORE_ERROR_OUTCOME_UNKNOWN
					 : STORE_ERROR_MALFORMED,
		    "the platform's response has no version in its ETag");
	if (from->status == 200)
		return NULL;
	return g_error_new(STORE_ERROR, map_status(call, from->status),
	    "the platform responded with HTTP status %d", from->status);
}

/* Handles the end of an HTTP call. */
static void
on_done(void *data, struct http_call *http, const struct http_result *from)
{
	struct store_call *call = data;
	uint64_t version = parse_version(http);
	g_autoptr(GError) error = check_response(call, from, version);
	struct store_result result = {
	    .error = error,
	    .version = version,
	    .value = from->body->data,
	    .length = from->body->len,
	    .retry_after_ms = parse_retry_after(http),
	};

	if (error == NULL && call->verb == STORE_LIST)
		report_list(call, from);
	else
		call->done(call->data, &result);
	g_free(call);
}

static const struct http_call_ops http_ops = {
    .done = on_done,
};

/* Returns a request's URL, to be freed. */
static char *
make_url(const struct store_http *store, const struct store_request *request)
{
	g_autofree char *key = g_uri_escape_string(request->key, "/", FALSE);
	g_autofree char *after = NULL;

	switch (request->verb) {
	case STORE_WATCH:
		return g_strdup_printf("%s/objects/%s?watch=1&after=%" PRIu64
				       "&timeout_ms=%" PRId64,
		    store->base_url, key, request->version,
		    request->timeout_ms);
	case STORE_LIST:
		if (request->after_key != NULL)
			after = g_uri_escape_string(
			    request->after_key, "/", FALSE);
		return g_strdup_printf("%s/objects?prefix=%s&limit=%zu%s%s",
		    store->base_url, key, request->limit,
		    after != NULL ? "&after=" : "", after != NULL ? after : "");
	default:
		return g_strdup_printf("%s/objects/%s", store->base_url, key);
	}
}

/* Sets the precondition header of a write; returns the number of headers. */
static size_t
make_condition_header(const struct store_request *request,
    struct http_header *header, char *text, size_t size)
{
	if (!is_write(request->verb))
		return 0;
	if (request->version == 0) {
		*header = (struct http_header){"If-None-Match", "*"};
		return 1;
	}
	snprintf(text, size, "\"%" PRIu64 "\"", request->version);
	*header = (struct http_header){"If-Match", text};
	return 1;
}

/* Returns the timeout of the HTTP call in milliseconds. */
static int64_t
request_timeout_ms(const struct store_request *request)
{
	if (request->verb == STORE_WATCH)
		return request->timeout_ms + WATCH_GRACE_MS;
	return request->timeout_ms > 0 ? request->timeout_ms
				       : STORE_CALL_TIMEOUT_MS;
}

/* Counts a call in the metric of its kind. */
static void
count_call(enum store_verb verb)
{
	if (is_write(verb))
		metric_add(&writes_count, 1);
	else if (verb == STORE_WATCH)
		metric_add(&watches_count, 1);
	else
		metric_add(&reads_count, 1);
}

/* Starts a call as an HTTP request. */
static struct store_call *
start(struct store *base, const struct store_request *request,
    store_done_fn *done, void *data)
{
	static const char *const methods[] = {
	    [STORE_GET] = "GET",
	    [STORE_WATCH] = "GET",
	    [STORE_PUT] = "PUT",
	    [STORE_DELETE] = "DELETE",
	    [STORE_LIST] = "GET",
	};
	struct store_http *store = (struct store_http *)base;
	struct store_call *call = g_new0(struct store_call, 1);
	g_autofree char *url = make_url(store, request);
	char condition[VERSION_TEXT_BYTES];
	struct http_header header;
	struct http_call_request http = {
	    .method = methods[request->verb],
	    .url = url,
	    .headers = &header,
	    .header_count = make_condition_header(
		request, &header, condition, sizeof(condition)),
	    .body = request->value,
	    .body_length = request->verb == STORE_PUT ? request->length : 0,
	    .timeout_ms = request_timeout_ms(request),
	    .response_max_bytes = request->verb == STORE_LIST
		? LIST_MAX_BYTES
		: STORE_VALUE_MAX_BYTES,
	    .repeatable = !is_write(request->verb),
	};

	call->verb = request->verb;
	call->done = done;
	call->data = data;
	count_call(request->verb);
	call->http = http_client_start(store->client, &http, &http_ops, call);
	return call;
}

/* Cancels a call without its callback. */
static void
cancel(struct store *base, struct store_call *call)
{
	http_call_cancel(call->http);
	g_free(call);
}

/* Frees the store; the HTTP client is borrowed and not freed. */
static void
free_store(struct store *base)
{
	struct store_http *store = (struct store_http *)base;

	g_free(store->base_url);
	g_free(store);
}

static const struct store_ops store_http_ops = {
    .start = start,
    .cancel = cancel,
    .free = free_store,
};

/*
 * Creates a client of the object API at a URL. The HTTP client is borrowed and
 * must outlive it.
 */
struct store *
store_http_new(struct http_client *client, const char *base_url)
{
	struct store_http *store = g_new0(struct store_http, 1);
	size_t length = strlen(base_url);

	while (length > 0 && base_url[length - 1] == '/')
		length--;
	store->store.ops = &store_http_ops;
	store->client = client;
	store->base_url = g_strndup(base_url, length);
	return &store->store;
}
