#include <string.h>

#include "upstream/engine.h"
#include "upstream/engine_position.h"
#include "upstream/event_stream.h"

#define LOG_MODULE "engine"
#include "base/log.h"

/* A stream without data for this time is resumed on a new connection. */
#define STREAM_STALL_MS 3000
/* Consecutive resumes without an event. */
#define RESUMES_MAX 3
/*
 * Status calls to an engine that stopped responding, each with its own timeout.
 */
#define LIVENESS_CHECKS_MAX 20

struct engine_run {
	struct upstream_call call;
	struct http_call *http;
	const struct upstream_call_ops *ops;
	void *data;
	char *id;
	struct event_stream stream;
	struct engine_position position;
	const char *failure; /* why the run can't be resumed, or NULL */
	uint64_t start_count; /* the engine's, when the run was sent */
	unsigned int resumes; /* since the last event */
	unsigned int liveness_checks; /* since the last event */
	bool paused;
	bool shard;
	bool sent;
	bool in_callback;
	bool dropped; /* freed once no callback refers to it */
	bool liveness_check_pending; /* a status call is pending */
	char *finish_reason;
	json_int_t prompt_tokens;
	json_int_t output_tokens;
	json_int_t cached_tokens;
	TAILQ_ENTRY(engine_run) entry;
};

static void start_liveness_check(struct engine_run *run);
static void run_resume(struct engine_run *run);

/* Frees a run without an HTTP call. */
static void
run_free(struct engine_run *run)
{
	struct engine *engine = (struct engine *)run->call.upstream;

	TAILQ_REMOVE(&engine->runs, run, entry);
	event_stream_clear(&run->stream);
	engine_position_clear(&run->position);
	g_free(run->finish_reason);
	g_free(run->id);
	g_free(run);
}

/* Reports the end to the owner and frees the run. */
static void
run_end(struct engine_run *run, const GError *error)
{
	struct upstream_end end = {.error = error,
	    .sent = run->sent,
	    .finish_reason = run->finish_reason,
	    .prompt_tokens = (uint64_t)run->prompt_tokens,
	    .output_tokens = (uint64_t)run->output_tokens,
	    .cached_tokens = (uint64_t)run->cached_tokens};

	run->in_callback = true;
	if (!run->dropped)
		run->ops->ended(run->data, &end);
	run_free(run);
}

/* Ends a run with an error of this module. */
static void
run_fail(struct engine_run *run, enum upstream_error code, const char *text)
{
	GError *error = g_error_new_literal(UPSTREAM_ERROR, (gint)code, text);

	run_end(run, error);
	g_clear_error(&error);
}

/* Takes an end, which counts if nothing new follows in its stream. */
static void
take_end(struct engine_run *run, const struct engine_event *event)
{
	run->finish_reason = g_strdup(event->finish_reason);
	run->prompt_tokens = event->prompt_tokens;
	run->output_tokens = event->output_tokens;
	run->cached_tokens = event->cached_tokens;
}

/* Takes an end in doubt back; a resumption goes on before it. */
static void
take_end_back(struct engine_run *run)
{
	engine_position_take_end_back(&run->position);
	g_clear_pointer(&run->finish_reason, g_free);
	run->prompt_tokens = run->output_tokens = run->cached_tokens = 0;
}

/* Passes on a part of the text. Returns false if the run was dropped. */
static bool
pass_on(struct engine_run *run, const struct engine_event *event)
{
	struct upstream_event part = {.sequence = run->position.last_sequence,
	    .tokens = (uint32_t)event->tokens,
	    .data = (const uint8_t *)event->text,
	    .length = event->length};

	run->in_callback = true;
	run->ops->event(run->data, &part);
	run->in_callback = false;
	return !run->dropped;
}

/* Logs why an event is not accepted. Returns false, to end the stream. */
static bool
reject_event(const struct engine_run *run, const char *why)
{
	LOG_WARN("engine's event rejected", "{s:s, s:I, s:s}", "run", run->id,
	    "last_event", (json_int_t)run->position.last_sequence, "why", why);
	return false;
}

/* Handles a valid event. Returns false to end the stream. */
static bool
handle_event(struct engine_run *run, const struct engine_event *event)
{
	const char *why = NULL;
	enum engine_verdict verdict = engine_position_take(
	    &run->position, event, &why);

	if (verdict == ENGINE_EVENT_REPEATED)
		return true;
	if (verdict == ENGINE_EVENT_DENIED)
		run->failure = "engine sent another event under the number of "
			       "one passed on";
	if (verdict != ENGINE_EVENT_NEXT)
		return reject_event(run, why);
	if (event->is_end) {
		take_end(run, event);
		return true;
	}
	run->resumes = 0;
	run->liveness_checks = 0;
	return pass_on(run, event);
}

/* Handles one event of the stream; false if the run can't go on from it. */
static bool
on_event(void *data, const char *text, size_t length)
{
	struct engine_run *run = data;
	struct engine_event event;
	GError *error = NULL;
	bool go_on;

	if (!engine_event_decode(&event, text, length, &error)) {
		reject_event(run, error->message);
		g_clear_error(&error);
		return false;
	}
	go_on = handle_event(run, &event);
	engine_event_clear(&event);
	return go_on;
}

/* Parses bytes of the stream. */
static bool
on_chunk(void *data, const uint8_t *bytes, size_t length)
{
	struct engine_run *run = data;

	if (event_stream_feed(&run->stream, bytes, length, on_event, run))
		return true;
	if (run->stream.fault != NULL)
		reject_event(run, run->stream.fault);
	take_end_back(run);
	return false;
}

/*
 * Returns whether to check an unresponsive engine again. A stream that has
 * begun can't restart at another upstream, so an engine that pauses is waited
 * for; before the first event, a retry elsewhere serves the caller better.
 */
static bool
should_keep_waiting(struct engine_run *run, const GError *error)
{
	return error->code != UPSTREAM_ERROR_DIED &&
	    run->position.last_sequence > 0 &&
	    ++run->liveness_checks <= LIVENESS_CHECKS_MAX;
}

/* Handles the status that tells whether the engine is alive. */
static void
on_liveness_checked(
    void *data, const struct upstream_status *status, const GError *error)
{
	struct engine_run *run = data;

	run->liveness_check_pending = false;
	if (run->dropped)
		run_free(run);
	else if (error != NULL && should_keep_waiting(run, error))
		start_liveness_check(run);
	else if (error != NULL)
		run_fail(run,
		    error->code == UPSTREAM_ERROR_DIED ? UPSTREAM_ERROR_DIED
						       : UPSTREAM_ERROR_LOST,
		    error->message);
	else if (run->start_count > 0 && status->start_count > run->start_count)
		run_fail(run, UPSTREAM_ERROR_DIED, "engine has restarted");
	else
		run_resume(run);
}

/*
 * Checks the engine after its stream broke or stalled. A connection can be dead
 * while the engine is alive, so its status is requested on a new one; a long
 * prompt may send nothing for minutes.
 */
static void
start_liveness_check(struct engine_run *run)
{
	run->liveness_check_pending = true;
	engine_status(run->call.upstream, on_liveness_checked, run);
}

/* Returns whether a response ends the run, without a resume. */
static bool
is_final_answer(const struct engine_run *run, const struct http_result *result)
{
	if (result->error != NULL)
		return !run->sent;
	/* A broken stream has status 200; 409 means that the run is running. */
	return result->status != 200 && result->status != 409;
}

/* Handles the end of a stream's HTTP call. */
static void
on_stream_done(
    void *data, struct http_call *http, const struct http_result *result)
{
	struct engine_run *run = data;
	bool silent = g_error_matches(
	    result->error, HTTP_CLIENT_ERROR, HTTP_CLIENT_ERROR_STALLED);
	GError *error = NULL;

	run->http = NULL;
	run->sent |= result->may_have_sent;
	if (run->position.at_end &&
	    !event_stream_is_between_events(&run->stream)) {
		reject_event(run, "a part of one follows the end");
		take_end_back(run);
	}
	if (run->dropped) {
		run_free(run);
	} else if (run->position.at_end) {
		run_end(run, NULL);
	} else if (run->failure != NULL) {
		run_fail(run, UPSTREAM_ERROR_LOST, run->failure);
	} else if (result->error == NULL && result->status == 404) {
		run_fail(
		    run, UPSTREAM_ERROR_LOST, "engine no longer has the run");
	} else if (is_final_answer(run, result)) {
		error = upstream_error_from_result(result);
		run_end(run, error);
		g_clear_error(&error);
	} else if (silent || ++run->resumes <= RESUMES_MAX) {
		start_liveness_check(run);
	} else {
		run_fail(run, UPSTREAM_ERROR_LOST,
		    "engine's event stream broke repeatedly without an event");
	}
}

/* Starts the HTTP call that streams the run's events. */
static void
start_event_stream(struct engine_run *run, const char *method, const char *path,
    const char *body, size_t length)
{
	static const struct http_call_ops ops = {
	    .chunk = on_chunk, .done = on_stream_done};
	static const struct http_header header = {
	    "Content-Type", "application/json"};
	struct engine *engine = (struct engine *)run->call.upstream;
	char *url = g_strconcat(engine->url, path, NULL);
	struct http_call_request http = {.method = method,
	    .url = url,
	    .headers = &header,
	    .header_count = body != NULL,
	    .body = body,
	    .body_length = length,
	    .stall_ms = STREAM_STALL_MS};

	run->http = http_client_start(engine->http, &http, &ops, run);
	if (run->paused)
		http_call_pause(run->http);
	g_free(url);
}

/* Resumes the run's events after the last one that is not in doubt. */
static void
run_resume(struct engine_run *run)
{
	char *path = g_strdup_printf(
	    "/v1/runs/%s/events?after=%" G_GUINT64_FORMAT, run->id,
	    engine_position_resume_after(&run->position));

	event_stream_clear(&run->stream);
	event_stream_init(&run->stream);
	start_event_stream(run, "GET", path, NULL, 0);
	g_free(path);
}

/* Handles the end of a shard's computation. */
static void
on_shard_done(void *data, json_t *response, const GError *error)
{
	struct engine_run *run = *(struct engine_run **)data;

	/* Counts as sent even if rejected: a rejection is a response. */
	run->sent = true;
	json_unpack(response, "{s?I}", "tokens", &run->prompt_tokens);
	run_end(run, error);
}

/* Starts a shard's computation: one call with one response. */
static void
start_shard(struct engine_run *run, const struct upstream_request *request,
    json_t *body)
{
	struct engine *engine = (struct engine *)run->call.upstream;
	struct engine_run **data = g_new(struct engine_run *, 1);
	struct json_request json = {
	    .method = "POST", .path = "/v1/kv", .body = body};

	*data = run;
	run->shard = true;
	run->sent = true;
	json_object_set_new(body, "owner", json_string(request->owner));
	json_client_call(engine->json, &json, on_shard_done, data);
}

/* Fills the request body of a run. */
static void
fill_run_body(json_t *body, const struct upstream_request *request)
{
	json_t *imports = json_array();

	for (size_t i = 0; i < request->import_count; i++)
		json_array_append_new(
		    imports, json_string(request->imports[i]));
	json_object_set_new(
	    body, "attempt", json_integer((json_int_t)request->attempt));
	json_object_set_new(body, "max_tokens",
	    json_integer((json_int_t)request->output_tokens));
	json_object_set_new(
	    body, "priority", json_integer((json_int_t)request->priority));
	json_object_set_new(body, "imports", imports);
}

/* Creates a run without an HTTP call, whose events up to after are known. */
static struct engine_run *
run_new(struct upstream *upstream, const char *id, uint64_t after,
    const struct upstream_call_ops *ops, void *data)
{
	struct engine *engine = (struct engine *)upstream;
	struct engine_run *run = g_new0(struct engine_run, 1);

	run->call.upstream = upstream;
	run->ops = ops;
	run->data = data;
	run->id = g_strdup(id);
	run->start_count = engine->start_count;
	engine_position_init(&run->position, after);
	event_stream_init(&run->stream);
	TAILQ_INSERT_TAIL(&engine->runs, run, entry);
	return run;
}

/* Sends the engine a run or a shard. */
struct upstream_call *
engine_run_start(struct upstream *upstream,
    const struct upstream_request *request, const struct upstream_call_ops *ops,
    void *data)
{
	struct engine_run *run = run_new(upstream, request->id, 0, ops, data);
	json_t *body = json_object();
	char *text;

	json_object_set_new(body, "id", json_string(request->id));
	json_object_set_new(body, "prompt",
	    json_stringn((const char *)request->body, request->body_length));
	if (request->work == WORK_SHARD) {
		start_shard(run, request, body);
		return &run->call;
	}
	fill_run_body(body, request);
	text = json_dumps(body, JSON_COMPACT);
	start_event_stream(run, "POST", "/v1/runs", text, strlen(text));
	free(text);
	json_decref(body);
	return &run->call;
}

/* Resumes a run at the engine, after the event with sequence after. */
struct upstream_call *
engine_run_resume(struct upstream *upstream, const char *id, uint64_t after,
    const struct upstream_call_ops *ops, void *data)
{
	struct engine_run *run = run_new(upstream, id, after, ops, data);

	run->sent = true;
	run_resume(run);
	return &run->call;
}

/* Pauses or resumes reading events. */
void
engine_run_pause(struct upstream_call *call, bool on)
{
	struct engine_run *run = (struct engine_run *)call;

	run->paused = on;
	if (run->http == NULL)
		return;
	if (on)
		http_call_pause(run->http);
	else
		http_call_resume(run->http);
}

/*
 * Drops a run without further callbacks; the caller cancels it at the engine.
 * Returns whether the engine may have received it.
 */
bool
engine_run_drop(struct upstream_call *call)
{
	struct engine_run *run = (struct engine_run *)call;
	bool sent = run->sent || run->http == NULL ||
	    http_call_may_have_sent(run->http);

	run->dropped = true;
	if (run->in_callback || run->liveness_check_pending || run->shard)
		return sent;
	if (run->http != NULL)
		http_call_cancel(run->http);
	run_free(run);
	return sent;
}

/* Ends all runs without callbacks. */
void
engine_runs_drop(struct engine *engine)
{
	struct engine_run *run, *next;

	TAILQ_FOREACH_SAFE (run, &engine->runs, entry, next) {
		run->shard = false;
		run->liveness_check_pending = false;
		engine_run_drop(&run->call);
	}
}
