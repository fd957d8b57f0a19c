/*
 * HTTP API of the stand-in engine, as docs/PROTOCOLS.md lists it.
 */
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "engine.h"

#define CRASH_MARKER   "standin:crash"
#define CRASH_EXIT     137
#define RUN_STARTS_MAX 16384
#define ORDERS_MAX     1024

/* Responds to a run that was not admitted; a restart cuts the connection. */
static void
respond_rejection(
    struct httpd_request *request, enum engine_admission admission)
{
	if (admission == ENGINE_OVERLOADED)
		standin_respond_error(request, 503, "overloaded",
		    "engine is overloaded; not run");
	else if (admission == ENGINE_OUT_OF_MEMORY)
		standin_respond_error(request, 507, "out_of_memory",
		    "KV memory is full; not run");
	else
		httpd_abort(request);
}

/* Records the start of a run. */
static void
record_start(const struct run_request *params)
{
	standin_history_add(engine.run_starts,
	    json_pack("{s:s, s:I, s:b, s:I}", "id", params->id, "attempt",
		(json_int_t)params->attempt, "block", params->block,
		"started_wall_ms", (json_int_t)standin_wall_ms()),
	    RUN_STARTS_MAX);
}

/* Parses the parameters of a run; false if id or prompt is missing. */
static bool
parse_run(json_t *body, struct run_request *params)
{
	json_t *prompt = json_object_get(body, "prompt");
	json_int_t attempt = 0, priority = 0, max_tokens = 0;

	json_unpack(body, "{s?I, s?I, s?I}", "attempt", &attempt, "priority",
	    &priority, "max_tokens", &max_tokens);
	params->id = json_string_value(json_object_get(body, "id"));
	params->owner = json_string_value(json_object_get(body, "owner"));
	params->attempt = (uint32_t)attempt;
	params->priority = priority;
	params->max_tokens = (uint64_t)MAX(max_tokens, 0);
	params->prompt = json_string_value(prompt);
	params->prompt_bytes = json_string_length(prompt);
	if (params->id == NULL || params->prompt == NULL)
		return false;
	params->crash = memmem(params->prompt, params->prompt_bytes,
			    CRASH_MARKER, strlen(CRASH_MARKER)) != NULL;
	return true;
}

/* Adds a run to the model and streams its events to the request. */
static void
admit_run(struct httpd_request *request, const struct run_request *params)
{
	struct run *run = NULL;
	enum engine_admission admission = ENGINE_OVERLOADED;

	if (engine.orders.model[0] != '\0')
		admission = engine_model_add(
		    &engine.model, params, standin_now_s(), &run);
	if (admission == ENGINE_ADMITTED || admission == ENGINE_RESTARTED)
		record_start(params);
	if (run == NULL) {
		respond_rejection(request, admission);
		return;
	}
	run_stream_start(run, request, 0);
	engine_schedule_step();
}

/* Starts a run after the check of its imports; takes over the body. */
static void
start_run(struct httpd_request *request, json_t *body, uint64_t imported)
{
	struct run_request params = {.imported_tokens = imported};

	if (!parse_run(body, &params))
		standin_respond_error(
		    request, 400, "malformed", "id or prompt is missing");
	else if (engine_model_find(&engine.model, params.id) != NULL)
		standin_respond_error(request, 409, "duplicate", params.id);
	else
		admit_run(request, &params);
	json_decref(body);
}

/* POST /v1/runs */
static void
post_run(struct httpd_request *request, const char *suffix)
{
	json_t *body = standin_body_json(request);

	httpd_request_drop_body(request);
	imports_check(request, body, start_run);
}

/* GET /v1/runs */
static void
list_runs(struct httpd_request *request, const char *suffix)
{
	json_t *array = json_array();
	struct run *run;

	TAILQ_FOREACH (run, &engine.model.live, entry)
		if (!run->block)
			json_array_append_new(array,
			    json_pack("{s:s, s:I, s:I, s:I}", "id", run->id,
				"attempt", (json_int_t)run->attempt, "tokens",
				(json_int_t)run->held_tokens, "emitted",
				(json_int_t)run->emitted));
	standin_respond_json(request, 200, json_pack("{s:o}", "runs", array));
}

/* GET /v1/runs/ID/events */
static void
get_events(struct httpd_request *request, const char *suffix)
{
	const char *slash = strrchr(suffix, '/');
	g_autofree char *id = g_strndup(
	    suffix, slash == NULL ? strlen(suffix) : (gsize)(slash - suffix));
	struct run *run = engine_model_find(&engine.model, id);

	if (run == NULL || slash == NULL || !g_str_equal(slash, "/events"))
		standin_respond_error(request, 404, "gone", suffix);
	else
		run_stream_start(run, request,
		    (uint64_t)standin_query_number(request, "after", 0));
}

/* Removes a run or block, or responds 404 if there is none. */
static void
remove_and_respond(
    struct httpd_request *request, struct run *run, const char *id)
{
	if (run == NULL) {
		standin_respond_error(request, 404, "gone", id);
		return;
	}
	engine_model_remove(&engine.model, run);
	standin_respond_json(request, 200, json_object());
}

/* DELETE /v1/runs/ID */
static void
delete_run(struct httpd_request *request, const char *suffix)
{
	remove_and_respond(
	    request, engine_model_find(&engine.model, suffix), suffix);
}

/* POST /v1/kv */
static void
post_block(struct httpd_request *request, const char *suffix)
{
	json_t *body = standin_body_json(request);
	struct run_request params = {.block = true};
	struct run *held;

	httpd_request_drop_body(request);
	if (!parse_run(body, &params)) {
		standin_respond_error(
		    request, 400, "malformed", "id or prompt is missing");
		json_decref(body);
		return;
	}
	params.max_tokens = 0;
	held = engine_model_find_block(&engine.model, params.id);
	if (held != NULL)
		run_stream_start(held, request, 0);
	else
		admit_run(request, &params);
	json_decref(body);
}

/* GET /v1/kv */
static void
list_blocks(struct httpd_request *request, const char *suffix)
{
	json_t *array = json_array();
	struct run *run;

	TAILQ_FOREACH (run, &engine.model.blocks, entry)
		json_array_append_new(array,
		    json_pack("{s:s, s:s?, s:I}", "id", run->id, "owner",
			run->owner, "tokens", (json_int_t)run->held_tokens));
	standin_respond_json(request, 200, json_pack("{s:o}", "blocks", array));
}

/* DELETE /v1/kv/ID */
static void
delete_block(struct httpd_request *request, const char *suffix)
{
	remove_and_respond(
	    request, engine_model_find_block(&engine.model, suffix), suffix);
}

/* GET /v1/status */
static void
get_status(struct httpd_request *request, const char *suffix)
{
	standin_respond_json(request, 200, engine_status_json());
}

/* GET /v1/cache/events */
static void
get_cache_events(struct httpd_request *request, const char *suffix)
{
	cache_events_respond(request);
}

/* Updates a string from a JSON member; true if it was given and differs. */
static bool
update_string(char **string, json_t *body, const char *member)
{
	const char *value = json_string_value(json_object_get(body, member));

	if (value == NULL || g_str_equal(value, *string))
		return false;
	g_free(*string);
	*string = g_strdup(value);
	return true;
}

/* Applies an order; reloads only if something changed. False if malformed. */
static bool
apply_order(json_t *body, const char *order)
{
	struct engine_orders *orders = &engine.orders;
	json_t *no_model;
	bool changed;

	if (g_strcmp0(order, "role") == 0) {
		update_string(&orders->role, body, "role");
		return true;
	}
	if (g_strcmp0(order, "unload") == 0) {
		no_model = json_pack("{s:s}", "model", "");
		changed = update_string(&orders->model, no_model, "model");
		json_decref(no_model);
	} else if (g_strcmp0(order, "load") == 0) {
		update_string(&orders->adapter, body, "adapter");
		changed = update_string(&orders->model, body, "model");
		changed |= update_string(&orders->version, body, "version");
	} else {
		return false;
	}
	if (changed)
		engine_model_load(&engine.model, standin_now_s());
	return true;
}

/* Records an order and whether it was applied. */
static void
record_order(json_t *body, bool applied)
{
	json_t *record = json_deep_copy(body);

	json_object_set_new(record, "applied", json_boolean(applied));
	json_object_set_new(
	    record, "wall_ms", json_integer((json_int_t)standin_wall_ms()));
	standin_history_add(engine.orders.log, record, ORDERS_MAX);
}

/* POST /v1/orders */
static void
post_order(struct httpd_request *request, const char *suffix)
{
	struct engine_orders *orders = &engine.orders;
	json_t *body = standin_body_json(request);
	uint64_t fencing = (uint64_t)json_integer_value(
	    json_object_get(body, "fencing"));
	bool stale = fencing < orders->fencing;
	const char *order = json_string_value(json_object_get(body, "order"));

	if (stale && !engine.ignore_fencing) {
		orders->stale_refused++;
		record_order(body, false);
		standin_respond_error(
		    request, 409, "stale_fencing", "fencing number is too low");
	} else if (apply_order(body, order)) {
		orders->stale_applied += stale;
		orders->fencing = MAX(orders->fencing, fencing);
		record_order(body, true);
		standin_respond_json(request, 200, engine_status_json());
	} else {
		standin_respond_error(
		    request, 400, "malformed", "unknown order");
	}
	json_decref(body);
}

/* POST /v1/standin/fault */
static void
post_fault(struct httpd_request *request, const char *suffix)
{
	json_t *body = standin_body_json(request);
	const char *kind = json_string_value(json_object_get(body, "kind"));
	json_int_t ms = 0;
	double factor = 10.;

	json_unpack(body, "{s?I, s?F}", "ms", &ms, "factor", &factor);
	if (g_strcmp0(kind, "crash") == 0)
		_exit(CRASH_EXIT);
	if (g_strcmp0(kind, "cold") == 0)
		engine_model_cold_restart(&engine.model, true, standin_now_s());
	else if (g_strcmp0(kind, "stall") == 0)
		engine_stall((double)ms / MS_PER_S);
	else if (g_strcmp0(kind, "slow") == 0)
		engine_slow(MAX(factor, 1.), (double)ms / MS_PER_S);
	json_decref(body);
	standin_respond_json(request, 200, json_object());
}

/* Adds a counter to the records. */
static void
add_count(json_t *json, const char *name, uint64_t count)
{
	json_object_set_new(json, name, json_integer((json_int_t)count));
}

/* Returns the number of exported blocks. */
static uint64_t
count_blocks(void)
{
	const struct run *run;
	uint64_t count = 0;

	TAILQ_FOREACH (run, &engine.model.blocks, entry)
		count++;
	return count;
}

/* GET /v1/standin/records */
static void
get_records(struct httpd_request *request, const char *suffix)
{
	const struct engine_model *model = &engine.model;
	json_t *json = json_object();

	add_count(json, "runs_started", model->runs_started);
	add_count(json, "runs_finished", model->runs_finished);
	add_count(json, "runs_cancelled", model->runs_cancelled);
	add_count(json, "runs_dropped", model->runs_dropped);
	add_count(json, "runs_live", model->running + model->waiting);
	add_count(json, "refused_overloaded", model->refused_load);
	add_count(json, "refused_out_of_memory", model->refused_memory);
	add_count(json, "overloads", model->overloads);
	add_count(json, "max_running_cold", model->max_running_cold);
	add_count(json, "start_count", model->start_count);
	add_count(json, "memory_used_tokens", model->used_tokens);
	add_count(json, "run_tokens", model->run_tokens);
	add_count(json, "kv_block_tokens", model->block_tokens);
	add_count(json, "cache_tokens", model->cache.tokens);
	add_count(json, "cache_pinned_tokens", model->cache.pinned_tokens);
	add_count(json, "kv_blocks", count_blocks());
	add_count(json, "imports_missing", engine.imports_missing);
	add_count(json, "stale_orders_refused", engine.orders.stale_refused);
	add_count(json, "stale_orders_applied", engine.orders.stale_applied);
	add_count(json, "invariant_violations", invariant_violations());
	json_object_set_new(
	    json, "run_starts", standin_history_json(engine.run_starts));
	json_object_set_new(
	    json, "orders", standin_history_json(engine.orders.log));
	standin_respond_json(request, 200, json);
}

static const struct {
	const char *method;
	const char *path; /* a final slash matches all below it */
	void (*handle)(struct httpd_request *, const char *suffix);
} routes[] = {
    {"GET", "/v1/status", get_status},
    {"POST", "/v1/runs", post_run},
    {"GET", "/v1/runs", list_runs},
    {"GET", "/v1/runs/", get_events},
    {"DELETE", "/v1/runs/", delete_run},
    {"POST", "/v1/kv", post_block},
    {"GET", "/v1/kv", list_blocks},
    {"DELETE", "/v1/kv/", delete_block},
    {"GET", "/v1/cache/events", get_cache_events},
    {"POST", "/v1/orders", post_order},
    {"GET", "/v1/standin/records", get_records},
    {"POST", "/v1/standin/fault", post_fault},
};

/* Whether a path is that of a route, or below it. */
static bool
path_matches(const char *path, const char *route)
{
	if (g_str_has_suffix(route, "/"))
		return g_str_has_prefix(path, route);
	return g_str_equal(path, route);
}

/* Dispatches a request to its route. */
void
engine_on_request(struct httpd_request *request)
{
	const char *method = httpd_request_method(request);
	const char *path = httpd_request_path(request);

	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (g_str_equal(method, routes[i].method) &&
		    path_matches(path, routes[i].path)) {
			routes[i].handle(
			    request, path + strlen(routes[i].path));
			return;
		}
	}
	standin_respond_error(request, 404, "path", path);
}
