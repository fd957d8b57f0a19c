#include "fake_platform.h"

#include <stdio.h>
#include <string.h>

#include <jansson.h>

#define BODY_MAX_BYTES 65536
#define STREAM_EVENTS  3
#define CRASH_DELAY_S  0.02
#define MS_PER_S       1000.0

struct fake_platform_upstream {
	struct fake_platform *fake_platform;
	size_t index;
	struct httpd *httpd; /* NULL while it has stopped */
	int port;
	ev_timer stop_timer;
	ev_timer silence_timer; /* ends the silence of a slow stream */
	struct httpd_request *silent; /* whose stream it is; NULL for none */
};

struct fake_platform {
	struct ev_loop *loop;
	struct httpd *store;
	char address[32];
	json_t *objects[3]; /* one list for each of kinds[] */
	int revision;
	int era; /* that the store's responses name; 0 for none */
	struct httpd_request *config_watch; /* that waits; or NULL */
	GPtrArray *watches; /* of all kinds, that wait */
	ev_timer watch_timer; /* ends them, if it is active */
	struct fake_platform_upstream upstreams[FAKE_PLATFORM_UPSTREAMS];
	enum fake_platform_step steps[FAKE_PLATFORM_STEPS_MAX];
	size_t step_count;
	bool repeats_step; /* the last one */
	const char *rate; /* that complete responses name; NULL for none */
	GPtrArray *requests; /* of struct fake_platform_request */
	GPtrArray *orders; /* bodies of granted orders; NULL: no engines */
};

static const char *const kinds[] = {"config", "servers", "evacuations"};

/* Responds as the store, with its era; takes ownership of the body. */
static void
respond_store(const struct fake_platform *fake_platform,
    struct httpd_request *request, json_t *body)
{
	g_autofree char *era = g_strdup_printf("%d", fake_platform->era);
	const struct http_header headers[] = {
	    {"Content-Type", "application/json"}, {"Store-Era", era}};
	char *text = json_dumps(body, JSON_COMPACT);

	httpd_respond(request, 200, headers, fake_platform->era > 0 ? 2 : 1,
	    text, strlen(text));
	free(text);
	json_decref(body);
}

/* Ends all watches that wait, without events. */
static void
on_watch_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct fake_platform *fake_platform = timer->data;

	while (fake_platform->watches->len > 0)
		respond_store(fake_platform,
		    g_ptr_array_steal_index(fake_platform->watches, 0),
		    json_pack("{s:[], s:i}", "events", "StoreRevision",
			fake_platform->revision));
	fake_platform->config_watch = NULL;
}

/*
 * Serves the object store: lists at once; responds to the last watch of the
 * configuration once that is changed, and to others only if
 * fake_platform_end_watches() was called.
 */
static void
on_store_request(void *data, struct httpd_request *request)
{
	struct fake_platform *fake_platform = data;
	const char *path = httpd_request_path(request);
	json_t *items = NULL;

	if (strcmp(httpd_request_method(request), "GET") != 0) {
		respond_store(fake_platform, request, json_object());
		return;
	}
	if (httpd_request_query(request, "Watch") != NULL) {
		if (g_strcmp0(httpd_request_query(request, "WaitMs"), "0") ==
		    0) {
			respond_store(fake_platform, request,
			    json_pack("{s:[], s:i}", "events", "StoreRevision",
				fake_platform->revision));
			return;
		}
		g_ptr_array_add(fake_platform->watches, request);
		if (strcmp(path, "/objects/config") == 0)
			fake_platform->config_watch = request;
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(path + strlen("/objects/"), kinds[i]) == 0)
			items = json_incref(fake_platform->objects[i]);
	}
	respond_store(fake_platform, request,
	    json_pack("{s:o, s:b, s:i}", "Items",
		items != NULL ? items : json_array(), "HasMore", 0,
		"StoreRevision", fake_platform->revision));
}

/* Copies one header of a request. */
static void
copy_header(void *data, const struct http_header *header)
{
	struct fake_platform_request *recorded = data;

	if (recorded->header_count < FAKE_PLATFORM_HEADERS_MAX)
		recorded->headers[recorded->header_count++] = g_strdup_printf(
		    "%s: %s", header->name, header->value);
}

/* Records a request that an upstream received. */
static struct fake_platform_request *
record_request(
    struct fake_platform_upstream *upstream, struct httpd_request *request)
{
	struct fake_platform_request *recorded = g_new0(
	    struct fake_platform_request, 1);
	size_t length;
	const uint8_t *body = httpd_request_body(request, &length);

	recorded->upstream = upstream->index;
	recorded->target = g_strdup(httpd_request_target(request));
	recorded->body = g_strndup((const char *)body, length);
	httpd_request_for_each_header(request, copy_header, recorded);
	g_ptr_array_add(upstream->fake_platform->requests, recorded);
	httpd_request_set_data(request, recorded);
	return recorded;
}

/* Writes the events after the caller's Last-Event-Id. */
static void
write_events(struct httpd_request *request, bool cut)
{
	const char *last = httpd_request_header(request, "Last-Event-Id");
	int from = last == NULL ? 1 : atoi(last) + 1;
	char event[64];

	for (int i = from; i <= STREAM_EVENTS; i++) {
		snprintf(event, sizeof(event), "id: %d\ndata: %d\n\n", i, i);
		if (cut && i == from + 1) {
			httpd_stream_write(request, event, 5);
			return;
		}
		httpd_stream_write(request, event, strlen(event));
	}
	httpd_stream_end(request);
}

/* Writes the first event and is silent for some time. */
static void
begin_slow_stream(
    struct fake_platform_upstream *upstream, struct httpd_request *request)
{
	static const char event[] = "id: 1\ndata: 1\n\n";

	httpd_stream_write(request, event, strlen(event));
	upstream->silent = request;
	ev_timer_set(&upstream->silence_timer, FAKE_SILENCE_MS / MS_PER_S, 0.0);
	ev_timer_start(upstream->fake_platform->loop, &upstream->silence_timer);
}

/* Writes the other events of a slow stream. */
static void
on_silence_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	static const char rest[] = "id: 2\ndata: 2\n\nid: 3\ndata: 3\n\n";
	struct fake_platform_upstream *upstream = timer->data;
	struct httpd_request *request = upstream->silent;

	upstream->silent = NULL;
	httpd_stream_write(request, rest, strlen(rest));
	httpd_stream_end(request);
}

/* Stops the upstream from listening. */
static void
on_stop_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct fake_platform_upstream *upstream = timer->data;

	httpd_free(upstream->httpd);
	upstream->httpd = NULL;
}

/* Responds as the step specifies. */
static void
run_step(struct fake_platform_upstream *upstream, struct httpd_request *request,
    enum fake_platform_step step)
{
	const char *id = httpd_request_header(
	    request, "Heatherturn-Attempt-Id");
	struct http_header headers[] = {
	    {"Heatherturn-Attempt-Id", id},
	    {"Heatherturn-Server-Seal", "seal"},
	    {"Content-Type", "text/plain"},
	    {"Server-Limit", upstream->fake_platform->rate},
	};
	const struct http_header not_run[] = {{"Heatherturn-Attempt-Id", id},
	    {"Heatherturn-Not-Executed", "1"},
	    {"Server-Limit", upstream->fake_platform->rate}};
	/* Headers that all complete responses have. */
	size_t count = upstream->fake_platform->rate == NULL ? 3 : 4;
	const struct http_header leaving[] = {{"Heatherturn-Attempt-Id", id},
	    {"Heatherturn-Not-Executed", "1"}, {"Server-Leaving", "1"}};
	const struct http_header quiet[] = {{"Heatherturn-Attempt-Id", id},
	    {"Heatherturn-Not-Executed", "1"}, {"Retry-After", FAKE_QUIET_S}};

	switch (step) {
	case FAKE_STEP_OK:
		httpd_respond(request, 200, headers, count, "whole", 5);
		break;
	case FAKE_STEP_ERROR:
		httpd_respond(request, 500, headers, count, "failed", 6);
		break;
	case FAKE_STEP_NOT_RUN:
		httpd_respond(request, 503, not_run, count - 1, "", 0);
		break;
	case FAKE_STEP_WRONG_INSTANCE:
		httpd_respond(request, 421, headers, 1, "", 0);
		break;
	case FAKE_STEP_UNMARKED_503:
		httpd_respond(request, 503, headers, 3, "busy", 4);
		break;
	case FAKE_STEP_DISCONNECT:
		httpd_abort(request);
		break;
	case FAKE_STEP_STOP:
		ev_timer_set(&upstream->stop_timer, 0.0, 0.0);
		ev_timer_start(
		    upstream->fake_platform->loop, &upstream->stop_timer);
		break;
	case FAKE_STEP_BEGIN:
		headers[2].value = "text/event-stream";
		httpd_stream_begin(request, 200, headers, 3);
		break;
	case FAKE_STEP_CRASH:
		headers[2].value = "text/event-stream";
		httpd_stream_begin(request, 200, headers, 3);
		ev_timer_set(&upstream->stop_timer, CRASH_DELAY_S, 0.0);
		ev_timer_start(
		    upstream->fake_platform->loop, &upstream->stop_timer);
		break;
	case FAKE_STEP_UNSIGNED:
		headers[1] = headers[2];
		httpd_respond(request, 200, headers, 2, "whole", 5);
		break;
	case FAKE_STEP_WRONG_ATTEMPT:
		headers[0].value = "another";
		httpd_respond(request, 200, headers, 3, "whole", 5);
		break;
	case FAKE_STEP_HANG:
		break;
	case FAKE_STEP_LEAVING:
		headers[3] = leaving[2];
		httpd_respond(request, 200, headers, 4, "whole", 5);
		break;
	case FAKE_STEP_LEAVING_NOT_RUN:
		httpd_respond(request, 503, leaving, 3, "", 0);
		break;
	case FAKE_STEP_QUIET:
		httpd_respond(request, 503, quiet, 3, "", 0);
		break;
	case FAKE_STEP_STREAM:
	case FAKE_STEP_LEAVING_STREAM:
	case FAKE_STEP_CUT_STREAM:
		headers[2].value = "text/event-stream";
		if (step == FAKE_STEP_LEAVING_STREAM)
			headers[3] = leaving[2];
		httpd_stream_begin(request, 200, headers,
		    step == FAKE_STEP_LEAVING_STREAM ? 4 : count);
		write_events(request, step == FAKE_STEP_CUT_STREAM);
		break;
	case FAKE_STEP_SLOW_STREAM:
		headers[2].value = "text/event-stream";
		httpd_stream_begin(request, 200, headers, 3);
		begin_slow_stream(upstream, request);
		break;
	}
}

/*
 * Grants an order, or reports nothing; false for another request. They take no
 * step.
 */
static bool
grant_order(struct fake_platform *fake_platform, struct httpd_request *request)
{
	size_t length;
	const uint8_t *body = httpd_request_body(request, &length);

	if (fake_platform->orders == NULL)
		return false;
	if (strcmp(httpd_request_path(request), "/order") == 0)
		g_ptr_array_add(fake_platform->orders,
		    g_strndup((const char *)body, length));
	else if (strcmp(httpd_request_path(request), "/report") != 0)
		return false;
	httpd_respond(request, 200, NULL, 0, "{}", 2);
	return true;
}

/* Records a request and runs its step. */
static void
on_request(void *data, struct httpd_request *request)
{
	struct fake_platform_upstream *upstream = data;
	struct fake_platform *fake_platform = upstream->fake_platform;
	size_t at = fake_platform->requests->len;

	if (grant_order(fake_platform, request))
		return;
	record_request(upstream, request);
	if (fake_platform->repeats_step)
		at = MIN(at, fake_platform->step_count - 1);
	g_assert_cmpuint(at, <, fake_platform->step_count);
	run_step(upstream, request, fake_platform->steps[at]);
}

/* Records whether a request ended before its response was complete. */
static void
on_closed(void *data, struct httpd_request *request, bool complete)
{
	struct fake_platform_upstream *upstream = data;
	struct fake_platform_request *recorded = httpd_request_data(request);

	if (request == upstream->silent) {
		ev_timer_stop(
		    upstream->fake_platform->loop, &upstream->silence_timer);
		upstream->silent = NULL;
	}
	if (recorded != NULL && !complete)
		recorded->closed_early = true;
}

/*
 * All bytes of a stream are sent; aborts it, as it was not ended, unless more
 * follows.
 */
static void
on_drained(void *data, struct httpd_request *request)
{
	const struct fake_platform_upstream *upstream = data;

	if (request != upstream->silent)
		httpd_abort(request);
}

/* Forgets a watch. */
static void
on_store_closed(void *data, struct httpd_request *request, bool complete)
{
	struct fake_platform *fake_platform = data;

	g_ptr_array_remove(fake_platform->watches, request);
	if (fake_platform->config_watch == request)
		fake_platform->config_watch = NULL;
}

/* Makes an upstream's object as the store lists it. */
static json_t *
make_upstream_object(size_t index, int port)
{
	char name[8];
	char address[32];

	snprintf(name, sizeof(name), "i-%zu", index);
	snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	return json_pack("{s:{s:s, s:i}, s:{s:s, s:s, s:s, s:s, s:i}}",
	    "Metadata", "Name", name, "Revision", 1, "Spec", "Service", "s",
	    "Address", address, "Zone", "z", "State", "ready", "Slots", 4);
}

/* Starts an upstream; port 0 for any. */
static void
start_upstream(struct fake_platform_upstream *upstream, int port)
{
	static const struct httpd_ops upstream_ops = {
	    .request = on_request, .closed = on_closed, .drained = on_drained};
	char address[32];
	const struct httpd_settings settings = {
	    .address = address,
	    .body_max_bytes = BODY_MAX_BYTES,
	    .bodies_max_bytes = BODY_MAX_BYTES,
	};

	snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	upstream->httpd = httpd_new(upstream->fake_platform->loop, &settings,
	    &upstream_ops, upstream, NULL);
	g_assert_nonnull(upstream->httpd);
	upstream->port = httpd_port(upstream->httpd);
}

/* Starts the upstreams that have stopped, at their addresses. */
void
fake_platform_restart_upstreams(struct fake_platform *fake_platform)
{
	for (size_t i = 0; i < FAKE_PLATFORM_UPSTREAMS; i++) {
		struct fake_platform_upstream *upstream = &fake_platform
							       ->upstreams[i];

		if (upstream->httpd == NULL)
			start_upstream(upstream, upstream->port);
	}
}

/* Starts the store and the upstreams, each on its own port. */
struct fake_platform *
fake_platform_new(struct ev_loop *loop)
{
	static const struct httpd_ops store_ops = {
	    .request = on_store_request, .closed = on_store_closed};
	const struct httpd_settings settings = {
	    .address = "127.0.0.1:0",
	    .body_max_bytes = BODY_MAX_BYTES,
	    .bodies_max_bytes = BODY_MAX_BYTES,
	};
	struct fake_platform *fake_platform = g_new0(struct fake_platform, 1);

	fake_platform->loop = loop;
	fake_platform->revision = 5;
	fake_platform->requests = g_ptr_array_new();
	fake_platform->watches = g_ptr_array_new();
	ev_timer_init(&fake_platform->watch_timer, on_watch_timer, 0.0, 0.0);
	fake_platform->watch_timer.data = fake_platform;
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		fake_platform->objects[i] = json_array();
	fake_platform->store = httpd_new(
	    loop, &settings, &store_ops, fake_platform, NULL);
	g_assert_nonnull(fake_platform->store);
	snprintf(fake_platform->address, sizeof(fake_platform->address),
	    "127.0.0.1:%d", httpd_port(fake_platform->store));
	for (size_t i = 0; i < FAKE_PLATFORM_UPSTREAMS; i++) {
		struct fake_platform_upstream *upstream = &fake_platform
							       ->upstreams[i];

		upstream->fake_platform = fake_platform;
		upstream->index = i;
		ev_timer_init(&upstream->stop_timer, on_stop_timer, 0.0, 0.0);
		upstream->stop_timer.data = upstream;
		ev_timer_init(
		    &upstream->silence_timer, on_silence_timer, 0.0, 0.0);
		upstream->silence_timer.data = upstream;
		start_upstream(upstream, 0);
		json_array_append_new(fake_platform->objects[1],
		    make_upstream_object(i, upstream->port));
	}
	return fake_platform;
}

/* Frees a recorded request. */
static void
free_request(struct fake_platform_request *recorded)
{
	for (size_t i = 0; i < recorded->header_count; i++)
		g_free(recorded->headers[i]);
	g_free(recorded->target);
	g_free(recorded->body);
	g_free(recorded);
}

/* Stops the store and the upstreams. */
void
fake_platform_free(struct fake_platform *fake_platform)
{
	ev_timer_stop(fake_platform->loop, &fake_platform->watch_timer);
	httpd_free(fake_platform->store);
	g_ptr_array_unref(fake_platform->watches);
	for (size_t i = 0; i < FAKE_PLATFORM_UPSTREAMS; i++)
		httpd_free(fake_platform->upstreams[i].httpd);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		json_decref(fake_platform->objects[i]);
	for (guint i = 0; i < fake_platform->requests->len; i++)
		free_request(fake_platform->requests->pdata[i]);
	g_ptr_array_unref(fake_platform->requests);
	if (fake_platform->orders != NULL)
		g_ptr_array_unref(fake_platform->orders);
	g_free(fake_platform);
}

/* Returns the store's HOST:PORT. */
const char *
fake_platform_store_address(const struct fake_platform *fake_platform)
{
	return fake_platform->address;
}

/* Stores the operators' configuration, given as JSON. */
void
fake_platform_set_config(struct fake_platform *fake_platform, const char *spec)
{
	json_t *json = json_loads(spec, 0, NULL);

	g_assert_nonnull(json);
	json_array_clear(fake_platform->objects[0]);
	json_array_append_new(fake_platform->objects[0],
	    json_pack("{s:{s:s, s:i}, s:o}", "Metadata", "Name", "main",
		"Revision", fake_platform->revision, "Spec", json));
}

/* Sets the era that the store names from now on; 0 for none. */
void
fake_platform_set_era(struct fake_platform *fake_platform, int era)
{
	fake_platform->era = era;
}

/*
 * Goes back to a copy of the store with another configuration, at a lower
 * revision and in the next era. The watch that waits is cut off.
 */
void
fake_platform_restore(struct fake_platform *fake_platform, const char *spec)
{
	fake_platform->era++;
	fake_platform->revision -= 2;
	fake_platform_set_config(fake_platform, spec);
	if (fake_platform->config_watch != NULL) {
		g_ptr_array_remove(
		    fake_platform->watches, fake_platform->config_watch);
		httpd_abort(fake_platform->config_watch);
	}
	fake_platform->config_watch = NULL;
}

/* Raises the store's revision, as a write of another kind does. */
void
fake_platform_raise_revision(struct fake_platform *fake_platform)
{
	fake_platform->revision++;
}

/* Ends all watches that wait, without events, each ms milliseconds. */
void
fake_platform_end_watches(struct fake_platform *fake_platform, int64_t ms)
{
	double s = (double)ms / MS_PER_S;

	ev_timer_set(&fake_platform->watch_timer, s, s);
	ev_timer_start(fake_platform->loop, &fake_platform->watch_timer);
}

/*
 * Replaces the configuration and tells the gateway that watches it, for whose
 * watch it waits.
 */
void
fake_platform_change_config(
    struct fake_platform *fake_platform, const char *spec)
{
	while (fake_platform->config_watch == NULL)
		ev_run(fake_platform->loop, EVRUN_ONCE);
	fake_platform->revision++;
	fake_platform_set_config(fake_platform, spec);
	g_ptr_array_remove(fake_platform->watches, fake_platform->config_watch);
	respond_store(fake_platform, fake_platform->config_watch,
	    json_pack("{s:[{s:O, s:b}], s:i}", "events", "Object",
		json_array_get(fake_platform->objects[0], 0), "Tombstone", 0,
		"StoreRevision", fake_platform->revision));
	fake_platform->config_watch = NULL;
}

/* Sets how the upstreams handle the following requests, in order. */
void
fake_platform_set_steps(struct fake_platform *fake_platform,
    const enum fake_platform_step *steps, size_t count)
{
	g_assert_cmpuint(count, <=, FAKE_PLATFORM_STEPS_MAX);
	memcpy(fake_platform->steps, steps, count * sizeof(*steps));
	fake_platform->step_count = count;
}

/* Sets how the upstreams handle all requests. */
void
fake_platform_repeat_step(
    struct fake_platform *fake_platform, enum fake_platform_step step)
{
	fake_platform_set_steps(fake_platform, &step, 1);
	fake_platform->repeats_step = true;
}

/* Sets the rate that complete responses and rejections name, or NULL. */
void
fake_platform_name_rate(struct fake_platform *fake_platform, const char *value)
{
	fake_platform->rate = value;
}

/* Lets the upstreams grant orders, as engines do. */
void
fake_platform_grant_orders(struct fake_platform *fake_platform)
{
	fake_platform->orders = g_ptr_array_new_with_free_func(g_free);
}

/* Returns the bodies of the orders that all upstreams granted. */
const GPtrArray *
fake_platform_orders(const struct fake_platform *fake_platform)
{
	return fake_platform->orders;
}

/* Returns the number of requests that all upstreams received. */
size_t
fake_platform_request_count(const struct fake_platform *fake_platform)
{
	return fake_platform->requests->len;
}

/* Returns a received request by its index, in order of arrival. */
const struct fake_platform_request *
fake_platform_request(const struct fake_platform *fake_platform, size_t index)
{
	return fake_platform->requests->pdata[index];
}

/* Returns a header's value, or NULL if the request does not have it. */
const char *
fake_platform_request_header(
    const struct fake_platform_request *recorded, const char *name)
{
	size_t length = strlen(name);

	for (size_t i = 0; i < recorded->header_count; i++) {
		const char *header = recorded->headers[i];

		if (g_ascii_strncasecmp(header, name, length) == 0 &&
		    g_str_has_prefix(header + length, ": "))
			return header + length + 2;
	}
	return NULL;
}

/* Removes all upstreams from the list. */
void
fake_platform_remove_upstreams(struct fake_platform *fake_platform)
{
	json_array_clear(fake_platform->objects[1]);
}

/* Makes an upstream's object name another port, before the object is read. */
void
fake_platform_set_upstream_port(
    struct fake_platform *fake_platform, size_t index, int port)
{
	json_array_set_new(fake_platform->objects[1], index,
	    make_upstream_object(index, port));
}
