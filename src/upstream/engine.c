#include "upstream/engine.h"

#include <string.h>

#define LOG_MODULE "engine"
#include "base/log.h"

/* Added to a cache event poll's own wait. */
#define CACHE_POLL_MARGIN_MS 2000
/* An engine that does not respond within this time is down. */
#define STATUS_TIMEOUT_MS 1000

/* The owner of a pending call; one of the callbacks is set. */
struct engine_request {
	upstream_done_fn *done;
	upstream_status_fn *status;
	upstream_list_fn *list;
	upstream_cache_fn *cache;
	const char *member; /* array of a list */
	struct engine *engine; /* of a status call */
	void *data;
};

/* Starts a call without a body; fn gets the response. */
static void
send_request(struct upstream *upstream, const char *method, const char *path,
    int64_t timeout_ms, json_client_fn *fn, const struct engine_request *call)
{
	struct engine *engine = (struct engine *)upstream;
	struct json_request request = {.method = method,
	    .path = path,
	    .timeout_ms = timeout_ms,
	    .repeatable = true};

	json_client_call(
	    engine->json, &request, fn, g_memdup2(call, sizeof(*call)));
}

/* Creates the error of a response that lacks a required member. */
static GError *
malformed_error(const char *what)
{
	return g_error_new(UPSTREAM_ERROR, UPSTREAM_ERROR_MALFORMED,
	    "engine's %s response is malformed: a required member is missing",
	    what);
}

/* Copies a string member; empty if it is missing. */
static char *
copy_text(json_t *json, const char *member)
{
	const char *text = json_string_value(json_object_get(json, member));

	return g_strdup(text != NULL ? text : "");
}

/* Reads a non-negative integer; 0 if it is missing or negative. */
static uint64_t
read_number(json_t *json, const char *member)
{
	json_int_t value = json_integer_value(json_object_get(json, member));

	return value > 0 ? (uint64_t)value : 0;
}

/* Parses a status and passes it on. */
static void
on_status(void *data, json_t *json, const GError *error)
{
	struct engine_request *call = data;
	struct engine *engine = call->engine;
	const char *state = json_string_value(json_object_get(json, "state"));
	struct upstream_status status = {0};
	GError *local_error = NULL;

	if (error == NULL && state == NULL)
		error = local_error = malformed_error("status");
	if (error != NULL || state == NULL) {
		call->status(call->data, NULL, error);
		g_clear_error(&local_error);
		return;
	}
	status.model = copy_text(json, "model");
	status.adapter = copy_text(json, "adapter");
	status.version = copy_text(json, "version");
	status.role = copy_text(json, "role");
	status.warm = strcmp(state, "warm") == 0;
	status.loading = strcmp(state, "loading") == 0;
	status.start_count = read_number(json, "start_count");
	status.memory_tokens = read_number(json, "memory_tokens");
	status.used_tokens = read_number(json, "used_tokens");
	status.slots = (uint32_t)read_number(json, "slots");
	status.running = (uint32_t)read_number(json, "running");
	status.waiting = (uint32_t)read_number(json, "waiting");
	status.prefill_tokens_per_s = (uint32_t)read_number(
	    json, "prefill_tokens_per_s");
	status.fencing = read_number(json, "fencing");
	engine->start_count = status.start_count;
	call->status(call->data, &status, NULL);
	g_free(status.model);
	g_free(status.adapter);
	g_free(status.version);
	g_free(status.role);
}

/* Requests the engine's status. */
void
engine_status(struct upstream *upstream, upstream_status_fn *fn, void *data)
{
	struct engine_request call = {
	    .status = fn, .data = data, .engine = (struct engine *)upstream};

	send_request(
	    upstream, "GET", "/v1/status", STATUS_TIMEOUT_MS, on_status, &call);
}

/* Parses a list of runs or blocks and passes it on. */
static void
on_list(void *data, json_t *json, const GError *error)
{
	struct engine_request *call = data;
	json_t *array = json_object_get(json, call->member);
	size_t count = json_array_size(array);
	struct upstream_item *items = g_new0(struct upstream_item, count + 1);
	GError *local_error = NULL;
	json_t *entry;
	size_t i;

	if (error == NULL && !json_is_array(array))
		error = local_error = malformed_error("list");
	json_array_foreach (array, i, entry) {
		items[i].id = json_string_value(json_object_get(entry, "id"));
		items[i].owner = json_string_value(
		    json_object_get(entry, "owner"));
		items[i].tokens = read_number(entry, "tokens");
		if (error == NULL && items[i].id == NULL)
			error = local_error = malformed_error("list");
	}
	call->list(call->data, items, error == NULL ? count : 0, error);
	g_clear_error(&local_error);
	g_free(items);
}

/* Lists the engine's runs. */
static void
engine_list_runs(struct upstream *upstream, upstream_list_fn *fn, void *data)
{
	send_request(upstream, "GET", "/v1/runs", ENGINE_CALL_TIMEOUT_MS,
	    on_list,
	    &(struct engine_request){
		.list = fn, .member = "runs", .data = data});
}

/* Lists the engine's exported blocks. */
static void
engine_list_blocks(struct upstream *upstream, upstream_list_fn *fn, void *data)
{
	send_request(upstream, "GET", "/v1/kv", ENGINE_CALL_TIMEOUT_MS, on_list,
	    &(struct engine_request){
		.list = fn, .member = "blocks", .data = data});
}

/* Passes on the end of a call without a response body. */
static void
on_done(void *data, json_t *json, const GError *error)
{
	struct engine_request *call = data;

	call->done(call->data, error);
}

/* Sends DELETE for an id below a path. */
static void
delete_id(struct upstream *upstream, const char *base_path, const char *id,
    upstream_done_fn *fn, void *data)
{
	char *escaped = g_uri_escape_string(id, NULL, FALSE);
	char *path = g_strconcat(base_path, escaped, NULL);

	send_request(upstream, "DELETE", path, ENGINE_CALL_TIMEOUT_MS, on_done,
	    &(struct engine_request){.done = fn, .data = data});
	g_free(path);
	g_free(escaped);
}

/* Cancels a run and frees its memory. */
static void
engine_cancel_run(
    struct upstream *upstream, const char *id, upstream_done_fn *fn, void *data)
{
	delete_id(upstream, "/v1/runs/", id, fn, data);
}

/* Deletes an exported block. */
static void
engine_delete_block(
    struct upstream *upstream, const char *id, upstream_done_fn *fn, void *data)
{
	delete_id(upstream, "/v1/kv/", id, fn, data);
}

/*
 * Parses cache events and passes them on. Events without a prefix or of an
 * unknown kind are skipped.
 */
static void
on_cache_events(void *data, json_t *json, const GError *error)
{
	struct engine_request *call = data;
	json_t *array = json_object_get(json, "events");
	struct upstream_cache_event *events = g_new0(
	    struct upstream_cache_event, json_array_size(array) + 1);
	size_t count = 0, i;
	const char *kind, *prefix;
	json_int_t sequence;
	json_t *entry, *value;

	json_array_foreach (array, i, entry) {
		kind = json_string_value(json_object_get(entry, "kind"));
		value = json_object_get(entry, "prefix");
		sequence = json_integer_value(json_object_get(entry, "seq"));
		if (kind == NULL || value == NULL)
			continue;
		if (strcmp(kind, "stored") != 0 &&
		    strcmp(kind, "evicted") != 0) {
			LOG_DEBUG("cache event of an unknown kind skipped",
			    "{s:s}", "kind", kind);
			continue;
		}
		/* A string or a signed integer: both carry 64 bits. */
		prefix = json_string_value(value);
		events[count++] = (struct upstream_cache_event){
		    .sequence = (uint64_t)sequence,
		    .stored = strcmp(kind, "stored") == 0,
		    .prefix = prefix != NULL
			? g_ascii_strtoull(prefix, NULL, 10)
			: (uint64_t)json_integer_value(value)};
	}
	call->cache(call->data, events, error == NULL ? count : 0,
	    read_number(json, "next"), error);
	g_free(events);
}

/* Waits up to wait_ms for cache events after a sequence. */
static void
engine_cache_events(struct upstream *upstream, uint64_t after, int64_t wait_ms,
    upstream_cache_fn *fn, void *data)
{
	char *path = g_strdup_printf("/v1/cache/events?after=%" G_GUINT64_FORMAT
				     "&wait_ms=%" G_GINT64_FORMAT,
	    after, wait_ms);

	send_request(upstream, "GET", path, wait_ms + CACHE_POLL_MARGIN_MS,
	    on_cache_events,
	    &(struct engine_request){.cache = fn, .data = data});
	g_free(path);
}

/* Orders the engine to load a model or change its role. */
static void
engine_order(struct upstream *upstream, const struct upstream_order *order,
    upstream_done_fn *fn, void *data)
{
	struct engine *engine = (struct engine *)upstream;
	struct engine_request call = {.done = fn, .data = data};
	struct json_request request = {.method = "POST",
	    .path = "/v1/orders",
	    .timeout_ms = ENGINE_CALL_TIMEOUT_MS,
	    .body = json_pack("{s:s, s:s*, s:s*, s:s*, s:s*, s:I}", "order",
		order->order, "model", order->model, "adapter", order->adapter,
		"version", order->version, "role", order->role, "fencing",
		(json_int_t)order->fencing)};

	json_client_call(
	    engine->json, &request, on_done, g_memdup2(&call, sizeof(call)));
}

/* Cancels all calls and frees the upstream. */
static void
engine_free(struct upstream *upstream)
{
	struct engine *engine = (struct engine *)upstream;

	engine_runs_drop(engine);
	json_client_free(engine->json);
	g_free(engine->url);
	g_free(engine);
}

static const struct upstream_ops engine_ops = {
    .start = engine_run_start,
    .pause = engine_run_pause,
    .drop = engine_run_drop,
    .status = engine_status,
    .resume = engine_run_resume,
    .cancel_run = engine_cancel_run,
    .list_runs = engine_list_runs,
    .list_blocks = engine_list_blocks,
    .delete_block = engine_delete_block,
    .cache_events = engine_cache_events,
    .order = engine_order,
    .free = engine_free,
};

/*
 * Creates the upstream of a model engine at url, which has no trailing slash.
 */
struct upstream *
upstream_engine_new(struct http_client *http, const char *url)
{
	struct engine *engine = g_new0(struct engine, 1);

	engine->upstream.ops = &engine_ops;
	engine->http = http;
	engine->json = json_client_new(http, url);
	engine->url = g_strdup(url);
	TAILQ_INIT(&engine->runs);
	return &engine->upstream;
}
