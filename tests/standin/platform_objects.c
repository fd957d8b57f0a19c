/*
 * Object API of the stand-in platform: reads, watches, conditional writes,
 * lists.
 */
#include <string.h>

#include "base/clock.h"
#include "platform.h"

#define VALUE_MAX_BYTES	 (size_t)(1024 * 1024)
#define LIST_LIMIT	 1000
#define WRITES_MAX	 4096
#define WATCH_DEFAULT_MS 30000

/* A request that waits until the version of a key exceeds a given one. */
struct watch {
	struct httpd_request *request;
	char *key;
	uint64_t after;
	struct ev_timer timer;
	TAILQ_ENTRY(watch) entry;
};

static const struct http_header not_modified[] = {{"Content-Length", "0"}};

/* Sets a response's ETag to the version of an object, which may be NULL. */
static void
set_etag(struct standin_response *response, const struct object *object)
{
	if (object != NULL)
		g_snprintf(response->etag, sizeof(response->etag),
		    "\"%" G_GUINT64_FORMAT "\"", object->version);
}

/* Responds with an object's value and version, or 404. */
static void
respond_object(struct httpd_request *request, const struct object *object)
{
	struct standin_response *response = platform_response_new(
	    request, object == NULL ? 404 : 200);

	set_etag(response, object);
	if (object != NULL) {
		response->length = g_bytes_get_size(object->value);
		response->body = g_memdup2(
		    g_bytes_get_data(object->value, NULL), response->length);
	}
	platform_respond(response);
}

/* Frees a watch; returns its request. */
static struct httpd_request *
watch_remove(struct watch *watch)
{
	struct httpd_request *request = watch->request;

	ev_timer_stop(standin_loop(), &watch->timer);
	TAILQ_REMOVE(&platform.watches, watch, entry);
	platform.waiting--;
	httpd_request_set_data(request, NULL);
	g_free(watch->key);
	g_free(watch);
	return request;
}

/* A watch has timed out: responds 304. */
static void
on_watch_timeout(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	httpd_respond(watch_remove(timer->data), 304, not_modified, 0, NULL, 0);
}

/* Starts a watch, which ends after the timeout_ms of the query. */
static void
watch_start(struct httpd_request *request, const char *key, uint64_t after)
{
	struct watch *watch = g_new0(struct watch, 1);
	int64_t timeout_ms = standin_query_number(
	    request, "timeout_ms", WATCH_DEFAULT_MS);

	watch->request = request;
	watch->key = g_strdup(key);
	watch->after = after;
	ev_timer_init(
	    &watch->timer, on_watch_timeout, (double)timeout_ms / MS_PER_S, 0.);
	watch->timer.data = watch;
	ev_timer_start(standin_loop(), &watch->timer);
	TAILQ_INSERT_TAIL(&platform.watches, watch, entry);
	platform.waiting++;
	platform.peak_waiting = MAX(platform.peak_waiting, platform.waiting);
}

/* Responds to the watches of a written key; NULL ends all watches with 503. */
void
watches_notify(const char *key)
{
	const struct object *object = NULL;
	struct watch *watch, *next;

	if (key != NULL)
		object = objects_get(platform.objects, key);
	TAILQ_FOREACH_SAFE (watch, &platform.watches, entry, next) {
		if (key == NULL)
			platform_respond_status(watch_remove(watch), 503);
		else if (g_str_equal(watch->key, key) &&
		    object->version > watch->after)
			respond_object(watch_remove(watch), object);
	}
}

/* Reads an object, at once or when its version exceeds the given one. */
static void
read_object(struct httpd_request *request, const char *key)
{
	bool is_watch = standin_query_number(request, "watch", 0) != 0;
	uint64_t after = (uint64_t)standin_query_number(request, "after", 0);
	const struct object *object;

	if (!platform_admit(request, is_watch ? CALL_WATCH : CALL_READ))
		return;
	object = objects_get(platform.objects, key);
	if (is_watch && (object == NULL || object->version <= after))
		watch_start(request, key, after);
	else
		respond_object(request, object);
}

/* Parses the precondition of a write; false if malformed. */
static bool
read_condition(struct httpd_request *request, struct condition *condition)
{
	const char *match = httpd_request_header(request, "If-Match");
	const char *none = httpd_request_header(request, "If-None-Match");

	*condition = (struct condition){.absent = none != NULL};
	if (none != NULL && !g_str_equal(none, "*"))
		return false;
	if (match == NULL)
		return true;
	condition->has_version = true;
	return match[0] == '"' && g_ascii_isdigit(match[1]) &&
	    (condition->version = g_ascii_strtoull(match + 1, NULL, 10)) > 0;
}

/* Responds to a write, or aborts it if responses are to be lost. */
static void
respond_write(struct httpd_request *request, const char *key, int status)
{
	struct standin_response *response = platform_response_new(
	    request, status);

	set_etag(response, objects_get(platform.objects, key));
	if (status == 412)
		platform.conflicts++;
	if (status != 200 ||
	    !platform_fault_applies(platform.lose_write_responses)) {
		platform_respond(response);
		return;
	}
	platform.lost_responses++;
	response->abort_connection = true;
	standin_respond_later(response, platform.fault_ms);
}

/* Records a write that took effect. */
static void
log_write(const char *kind, const char *key)
{
	const struct object *object = objects_get(platform.objects, key);

	standin_history_add(platform.write_log,
	    json_pack("{s:s, s:s, s:I, s:I}", "kind", kind, "key", key,
		"version", (json_int_t)(object == NULL ? 0 : object->version),
		"wall_ms", (json_int_t)standin_wall_ms()),
	    WRITES_MAX);
}

/* Writes an object. */
static void
write_object(struct httpd_request *request, const char *key)
{
	struct condition condition;
	size_t length;
	const uint8_t *body = httpd_request_body(request, &length);
	g_autoptr(GBytes) value = g_bytes_new(body, length);
	int status = 412;

	if (!platform_admit(request, CALL_WRITE))
		return;
	if (length > VALUE_MAX_BYTES) {
		platform_respond_status(request, 413);
		return;
	}
	if (!read_condition(request, &condition)) {
		platform_respond_status(request, 400);
		return;
	}
	if (objects_put(platform.objects, key, &condition, value)) {
		status = 200;
		log_write("put", key);
		watches_notify(key);
	}
	respond_write(request, key, status);
}

/* Deletes an object. */
static void
delete_object(struct httpd_request *request, const char *key)
{
	struct condition condition;
	int status;

	if (!platform_admit(request, CALL_DELETE))
		return;
	if (!read_condition(request, &condition)) {
		platform_respond_status(request, 400);
		return;
	}
	status = objects_delete(platform.objects, key, &condition);
	if (status == 200)
		log_write("delete", key);
	respond_write(request, key, status);
}

/* Lists objects under a prefix. */
void
objects_on_list(struct httpd_request *request)
{
	const char *prefix = httpd_request_query(request, "prefix");
	int64_t limit = standin_query_number(request, "limit", LIST_LIMIT);
	g_autoptr(GPtrArray) found = g_ptr_array_new();
	json_t *array;

	if (!platform_admit(request, CALL_LIST))
		return;
	objects_list(platform.objects, prefix == NULL ? "" : prefix,
	    httpd_request_query(request, "after"),
	    (guint)CLAMP(limit, 0, LIST_LIMIT), found);
	array = json_array();
	for (guint i = 0; i < found->len; i++) {
		const struct object *object = found->pdata[i];

		json_array_append_new(array,
		    json_pack("{s:s, s:I}", "key", object->key, "version",
			(json_int_t)object->version));
	}
	platform_respond_json(request, json_pack("{s:o}", "objects", array));
}

/* Dispatches a call on one object by its method. */
void
objects_on_request(struct httpd_request *request, const char *key)
{
	const char *method = httpd_request_method(request);

	if (g_str_equal(method, "GET"))
		read_object(request, key);
	else if (g_str_equal(method, "PUT"))
		write_object(request, key);
	else if (g_str_equal(method, "DELETE"))
		delete_object(request, key);
	else
		standin_respond_error(request, 405, "method", method);
}

/* Frees the watch of a closed request; false if there is none. */
bool
watches_remove(struct httpd_request *request)
{
	struct watch *watch;

	TAILQ_FOREACH (watch, &platform.watches, entry)
		if (watch->request == request) {
			watch_remove(watch);
			return true;
		}
	return false;
}
