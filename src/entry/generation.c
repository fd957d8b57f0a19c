#include "entry/generation.h"

#include <inttypes.h>
#include <string.h>

#include <xxhash.h>

#include "base/metrics.h"
#include "caller/completion.h"
#include "entry/event_id.h"
#include "entry/group_run.h"

#define LOG_MODULE "generate"
#include "base/log.h"

struct generation {
	struct frontend_request_owner owner;
	struct frontend *frontend;
	struct httpd_request *http;
	struct dispatch_exchange *exchange;
	char id[REQUEST_ID_SIZE];
	char *model;
	bool chat;
	bool stream;
	bool stream_usage;
	bool keep_stream; /* can be resumed after a disconnect */
	bool headers_sent; /* of a streamed answer */
	bool long_prompt;
	bool first_token_counted;
	GString *text; /* of an answer that is not streamed, else NULL */
	GString *scratch;
	size_t unconsumed_bytes; /* written, but not sent to the caller */
	struct timespec arrived;
	int64_t created_s;
};

METRIC_DEFINE(first_token_short, METRIC_HISTOGRAM, "heatherturn_first_token_ms",
    "class=\"short\"",
    "from a request's arrival to the first part of its answer");
METRIC_DEFINE(first_token_long, METRIC_HISTOGRAM, "heatherturn_first_token_ms",
    "class=\"long\"",
    "from a request's arrival to the first part of its answer");
METRIC_DEFINE(open_streams, METRIC_GAUGE, "heatherturn_open_streams", NULL,
    "completions that are being served");

/* Frees a generation whose job has ended or is detached. */
static void
generation_free(struct generation *generation)
{
	if (generation->http != NULL)
		httpd_request_set_data(generation->http, NULL);
	metric_add(&open_streams, -1);
	if (generation->text != NULL)
		g_string_free(generation->text, TRUE);
	g_string_free(generation->scratch, TRUE);
	g_free(generation->model);
	g_free(generation);
}

/* Returns the members that each event of this answer repeats. */
static struct completion_metadata
make_metadata(const struct generation *generation)
{
	return (struct completion_metadata){
	    .request = generation->id,
	    .model = generation->model,
	    .chat = generation->chat,
	    .created_s = generation->created_s,
	};
}

/* Sends the response headers of a stream, unless they have been sent. */
static void
start_stream(struct generation *generation)
{
	const struct http_header headers[] = {
	    {"Content-Type", "text/event-stream"},
	    {"Cache-Control", "no-cache"},
	    {"X-Request-Id", generation->id},
	};

	if (generation->headers_sent)
		return;
	generation->headers_sent = true;
	httpd_stream_begin(
	    generation->http, 200, headers, G_N_ELEMENTS(headers));
}

/* Records the time to the first token in its histogram, once per request. */
static void
record_first_token(struct generation *generation)
{
	struct clock *clock = dispatch_clock(
	    frontend_dispatch(generation->frontend));
	int64_t ms = time_diff_ms(clock_monotonic(clock), generation->arrived);

	if (generation->first_token_counted)
		return;
	generation->first_token_counted = true;
	metric_observe(
	    generation->long_prompt ? &first_token_long : &first_token_short,
	    ms);
}

/* Does nothing: the caller gets headers with the first token. */
static void
on_started(void *data)
{
}

/* Forwards a chunk of the answer as an event, or collects it. */
static void
on_chunk(void *data, uint64_t sequence, const uint8_t *bytes, size_t length,
    uint32_t tokens)
{
	struct generation *generation = data;
	struct completion_metadata metadata = make_metadata(generation);
	char event[128];

	record_first_token(generation);
	if (!generation->stream) {
		g_string_append_len(
		    generation->text, (const char *)bytes, (gssize)length);
		dispatch_exchange_add_consumed(generation->exchange, length);
		return;
	}
	start_stream(generation);
	event_id_format(event, sizeof(event),
	    &(struct job_stream_position){
		.upstream = generation->exchange->upstream,
		.attempt = generation->exchange->attempt,
		.sequence = sequence,
	    });
	g_string_truncate(generation->scratch, 0);
	completion_write_event(
	    generation->scratch, &metadata, event, (const char *)bytes, length);
	generation->unconsumed_bytes += length;
	httpd_stream_write(generation->http, generation->scratch->str,
	    generation->scratch->len);
}

/* Allows a restart unless chunks may have been sent to the caller. */
static bool
on_restart(void *data)
{
	struct generation *generation = data;

	if (generation->stream)
		return false;
	g_string_truncate(generation->text, 0);
	return true;
}

/* Sends the end of a stream, or the complete answer. */
static void
on_finished(void *data, const struct message_finish *finish)
{
	struct generation *generation = data;
	struct completion_metadata metadata = make_metadata(generation);
	const struct completion_usage usage = {
	    .prompt_tokens = finish->prompt_tokens,
	    .output_tokens = finish->output_tokens,
	    .cached_tokens = finish->cached_tokens,
	};
	const char *reason = finish->text[0] != '\0' ? finish->text : "stop";
	GString *out = generation->scratch;

	g_string_truncate(out, 0);
	if (generation->stream) {
		start_stream(generation);
		completion_write_end(out, &metadata, "end", reason,
		    generation->stream_usage ? &usage : NULL);
		httpd_stream_write(generation->http, out->str, out->len);
		httpd_stream_end(generation->http);
	} else {
		completion_write_response(out, &metadata, generation->text->str,
		    generation->text->len, reason, &usage);
		frontend_respond(generation->http, generation->id, 200,
		    "application/json", out->str, out->len);
	}
	generation_free(generation);
}

/* Sends the error: as an event once the stream has started, else a response. */
static void
on_failed(
    void *data, enum caller_error code, int64_t retry_after_ms, const char *why)
{
	struct generation *generation = data;
	g_autoptr(GError) error = g_error_new_literal(CALLER_ERROR, code, why);
	GString *out = generation->scratch;
	char *body;

	if (!generation->headers_sent) {
		frontend_respond_error(
		    generation->http, generation->id, error, retry_after_ms);
		generation_free(generation);
		return;
	}
	body = failure_body(error);
	g_string_printf(out, "event: error\ndata: %s\n\n", body);
	free(body);
	httpd_stream_write(generation->http, out->str, out->len);
	httpd_stream_end(generation->http);
	generation_free(generation);
}

/* Returns whether the caller has begun a stream that it can resume. */
static bool
on_keeps(void *data)
{
	const struct generation *generation = data;

	return generation->keep_stream && generation->headers_sent;
}

static const struct job_ops job_ops = {
    .started = on_started,
    .chunk = on_chunk,
    .restart = on_restart,
    .keeps = on_keeps,
    .finished = on_finished,
    .failed = on_failed,
};

/* The caller has disconnected: cancels the job unless it may be resumed. */
static void
on_closed(struct frontend_request_owner *owner, bool complete)
{
	struct generation *generation = (struct generation *)owner;

	generation->http = NULL;
	if (generation->keep_stream && generation->headers_sent)
		dispatch_exchange_detach(generation->exchange);
	else
		dispatch_exchange_cancel(
		    generation->exchange, "caller disconnected");
	generation_free(generation);
}

/* All written bytes are sent: lets the upstream send more. */
static void
on_writable(struct frontend_request_owner *owner)
{
	struct generation *generation = (struct generation *)owner;
	size_t consumed = generation->unconsumed_bytes;

	generation->unconsumed_bytes = 0;
	if (consumed > 0)
		dispatch_exchange_add_consumed(generation->exchange, consumed);
}

/* Creates the state of a request whose answer comes from a job. */
static struct generation *
generation_new(struct frontend *frontend,
    const struct frontend_request *request, const char *model)
{
	struct generation *generation = g_new0(struct generation, 1);
	struct clock *clock = dispatch_clock(frontend_dispatch(frontend));
	const char *keep_stream = httpd_request_header(
	    request->http, "Heatherturn-Keep-Stream");

	generation->owner.closed = on_closed;
	generation->owner.on_writable = on_writable;
	generation->owner.keeps = on_keeps;
	generation->frontend = frontend;
	generation->http = request->http;
	g_strlcpy(generation->id, request->id, sizeof(generation->id));
	generation->model = g_strdup(model);
	generation->keep_stream = keep_stream != NULL &&
	    strcmp(keep_stream, "true") == 0;
	generation->scratch = g_string_new(NULL);
	generation->arrived = request->arrived;
	generation->created_s = clock_wall(clock).tv_sec;
	metric_add(&open_streams, 1);
	return generation;
}

/* Hashes organisation and prompt, to recognise a repeated request. */
static uint64_t
make_fingerprint(const char *organisation, GBytes *prompt)
{
	gsize length;
	const void *data = g_bytes_get_data(prompt, &length);
	uint64_t seed = XXH3_64bits(organisation, strlen(organisation));

	return XXH3_64bits_withSeed(data, length, seed);
}

/*
 * Finds the requested model and checks that the request may use it. Returns
 * NULL with CALLER_ERROR otherwise.
 */
static const Heatherturn__V1__Service *
find_service(struct frontend *frontend, const struct frontend_request *request,
    const struct completion *completion, GError **error)
{
	const Heatherturn__V1__Service *service = config_find_service(
	    dispatch_config(frontend_dispatch(frontend)), completion->model);
	uint64_t max = request->organisation->max_prompt_tokens;

	if (service == NULL ||
	    service->kind !=
		HEATHERTURN__V1__SERVICE_KIND__SERVICE_KIND_MODEL) {
		g_set_error(error, CALLER_ERROR, CALLER_ERROR_MODEL_NOT_FOUND,
		    "model '%s' does not exist", completion->model);
		return NULL;
	}
	if (!frontend_is_allowed(request, service)) {
		g_set_error(error, CALLER_ERROR, CALLER_ERROR_NOT_ALLOWED,
		    "this API key is not allowed to call '%s'",
		    completion->model);
		return NULL;
	}
	if (max > 0 && completion->prompt_tokens > max) {
		g_set_error(error, CALLER_ERROR, CALLER_ERROR_PROMPT_TOO_LONG,
		    "prompt of %" PRIu64
		    " tokens exceeds the limit of %" PRIu64,
		    completion->prompt_tokens, max);
		return NULL;
	}
	return service;
}

/* Returns whether a prompt is long by the service's threshold. */
static bool
is_long(const Heatherturn__V1__Service *service, uint64_t tokens)
{
	uint64_t threshold = service->long_threshold_tokens > 0
	    ? service->long_threshold_tokens
	    : LONG_THRESHOLD_DEFAULT_TOKENS;

	return tokens >= threshold;
}

/* Returns a service's default deadline for a class, in milliseconds. */
static int64_t
default_deadline_ms(const Heatherturn__V1__Service *service, bool long_prompt)
{
	if (long_prompt)
		return service->long_deadline_ms > 0 ? service->long_deadline_ms
						     : DEADLINE_DEFAULT_LONG_MS;
	return service->short_deadline_ms > 0 ? service->short_deadline_ms
					      : DEADLINE_DEFAULT_SHORT_MS;
}

/* Starts a job, or a group run if no single engine can hold the prompt. */
static struct dispatch_exchange *
start_job_or_group(struct frontend *frontend, const struct job_spec *spec,
    struct generation *generation)
{
	struct dispatch *dispatch = frontend_dispatch(frontend);
	uint64_t total;
	uint64_t engine = group_run_largest_engine_tokens(
	    dispatch, spec->service, &total);

	if (engine > 0 && spec->prompt_tokens + spec->output_tokens > engine)
		return group_run_start(dispatch, spec, &job_ops, generation);
	return job_start(dispatch, spec, &job_ops, generation);
}

/* Starts the job of a valid request. */
static void
start_job(struct frontend *frontend, const struct frontend_request *request,
    const struct completion *completion,
    const Heatherturn__V1__Service *service, struct timespec deadline)
{
	const Heatherturn__V1__Organisation *organisation = request
								->organisation;
	bool long_prompt = is_long(service, completion->prompt_tokens);
	struct generation *generation = generation_new(
	    frontend, request, completion->model);
	uint64_t output = completion->output_tokens;
	struct job_spec spec = {
	    .request = request->id,
	    .organisation = organisation->id,
	    .weight = organisation->weight,
	    .service = service->id,
	    .work = WORK_GENERATE,
	    .class = long_prompt ? WORK_LONG : WORK_SHORT,
	    .prompt_tokens = completion->prompt_tokens,
	    .prefixes = completion->prefixes,
	    .prefix_count = completion->prefix_count,
	    .body = completion->prompt,
	    .repeatable = true,
	    .streamed = completion->stream,
	    .deadline = deadline,
	};

	if (output == 0)
		output = service->default_output_tokens;
	spec.output_tokens = output > 0 ? output : OUTPUT_DEFAULT_TOKENS;
	spec.fingerprint = make_fingerprint(
	    organisation->id, completion->prompt);
	generation->chat = completion->chat;
	generation->stream = completion->stream;
	generation->stream_usage = completion->stream_usage;
	generation->long_prompt = long_prompt;
	if (!generation->stream)
		generation->text = g_string_new(NULL);
	httpd_request_set_data(request->http, generation);
	dispatch_report_demand(frontend_dispatch(frontend), service->id,
	    spec.prompt_tokens + spec.output_tokens);
	generation->exchange = start_job_or_group(frontend, &spec, generation);
}

/* Serves a completion or chat request. */
void
generation_serve(struct frontend *frontend,
    const struct frontend_request *request, bool chat)
{
	g_autoptr(GError) error = NULL;
	const Heatherturn__V1__Service *service;
	struct completion *completion;
	struct timespec deadline;
	const uint8_t *body;
	int64_t default_ms;
	size_t length;

	body = httpd_request_body(request->http, &length);
	completion = completion_parse(body, length, chat, &error);
	if (completion == NULL)
		goto err;
	service = find_service(frontend, request, completion, &error);
	if (service == NULL)
		goto err;
	default_ms = default_deadline_ms(
	    service, is_long(service, completion->prompt_tokens));
	if (!frontend_parse_deadline(request, default_ms, &deadline, &error))
		goto err;
	httpd_request_drop_body(request->http);
	start_job(frontend, request, completion, service, deadline);
	completion_free(completion);
	return;
err:
	frontend_respond_error(request->http, request->id, error, 0);
	completion_free(completion);
}

/*
 * Resumes the stream with the given request id after the event that the
 * Last-Event-ID header names. Any entry may have started the stream.
 */
void
generation_resume(struct frontend *frontend,
    const struct frontend_request *request, const char *stream)
{
	const char *event = httpd_request_header(
	    request->http, "Last-Event-ID");
	const char *model = httpd_request_query(request->http, "model");
	const char *chat = httpd_request_query(request->http, "chat");
	struct frontend_request resumed = *request;
	struct generation *generation;
	struct job_stream_position position;
	char upstream[128];
	struct job_spec spec = {
	    .request = stream,
	    .organisation = request->organisation->id,
	    .service = model != NULL ? model : "",
	    .work = WORK_GENERATE,
	    .class = WORK_LONG,
	    .deadline = time_add_ms(request->arrived, DEADLINE_DEFAULT_LONG_MS),
	};

	if (strlen(stream) != REQUEST_ID_SIZE - 1 || event == NULL ||
	    strlen(event) >= sizeof(upstream) ||
	    !event_id_parse(event, upstream, sizeof(upstream), &position)) {
		frontend_respond_error_code(request->http, request->id,
		    CALLER_ERROR_INVALID_VALUE, 0,
		    "stream id or 'Last-Event-ID' missing or malformed");
		return;
	}
	g_strlcpy(resumed.id, stream, sizeof(resumed.id));
	generation = generation_new(frontend, &resumed, spec.service);
	generation->chat = chat != NULL && strcmp(chat, "true") == 0;
	generation->stream = true;
	generation->stream_usage = true;
	generation->first_token_counted = true;
	httpd_request_set_data(request->http, generation);
	generation->exchange = job_resume(frontend_dispatch(frontend), &spec,
	    &position, &job_ops, generation);
	if (generation->exchange != NULL)
		return;
	frontend_respond_error_code(request->http, request->id,
	    CALLER_ERROR_STREAM_GONE, 0,
	    "the upstream of this stream no longer exists");
	generation_free(generation);
}
