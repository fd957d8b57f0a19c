#include "platform_standin.h"

#include <stdio.h>
#include <string.h>

#include <jansson.h>

#define BODY_MAX_BYTES 65536
#define EVENTS	       3

/* One upstream. */
struct standin_upstream {
	struct standin *standin;
	size_t index;
	struct httpd *httpd;
	ev_timer death;
};

struct standin {
	struct ev_loop *loop;
	struct httpd *store;
	char address[32];
	json_t *objects[3]; /* lists, by kind */
	struct standin_upstream upstreams[STANDIN_UPSTREAMS];
	enum standin_step steps[STANDIN_STEPS];
	size_t step_count;
	GPtrArray *arrivals; /* of struct standin_arrival */
};

static const char *const kinds[] = {"config", "servers", "evacuations"};

/* Answers with JSON. */
static void
answer_json(struct httpd_request *request, json_t *body)
{
	static const struct http_header type = {
	    "Content-Type", "application/json"};
	char *text = json_dumps(body, JSON_COMPACT);

	httpd_respond(request, 200, &type, 1, text, strlen(text));
	free(text);
	json_decref(body);
}

/* Serves the object store: lists at once, watches never end by themselves. */
static void
take_store(void *data, struct httpd_request *request)
{
	struct standin *standin = data;
	const char *path = httpd_request_path(request);
	json_t *items = NULL;

	if (strcmp(httpd_request_method(request), "GET") != 0) {
		answer_json(request, json_object());
		return;
	}
	if (httpd_request_query(request, "Watch") != NULL)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strcmp(path + strlen("/objects/"), kinds[i]) == 0)
			items = json_incref(standin->objects[i]);
	}
	answer_json(request,
	    json_pack("{s:o, s:b, s:i}", "Items",
		items != NULL ? items : json_array(), "HasMore", 0,
		"StoreRevision", 5));
}

/* Keeps one header of an arrival. */
static void
keep_header(void *data, const struct http_header *header)
{
	struct standin_arrival *arrival = data;

	if (arrival->header_count < STANDIN_HEADERS)
		arrival->headers[arrival->header_count++] = g_strdup_printf(
		    "%s: %s", header->name, header->value);
}

/* Keeps what an upstream was sent. */
static struct standin_arrival *
keep_arrival(struct standin_upstream *upstream, struct httpd_request *request)
{
	struct standin_arrival *arrival = g_new0(struct standin_arrival, 1);
	size_t length;
	const uint8_t *body = httpd_request_body(request, &length);

	arrival->upstream = upstream->index;
	arrival->target = g_strdup(httpd_request_target(request));
	arrival->body = g_strndup((const char *)body, length);
	httpd_request_for_each_header(request, keep_header, arrival);
	g_ptr_array_add(upstream->standin->arrivals, arrival);
	httpd_request_set_data(request, arrival);
	return arrival;
}

/* Writes the events after the last that the caller has. */
static void
write_events(struct httpd_request *request, bool cut)
{
	const char *last = httpd_request_header(request, "Last-Event-Id");
	int from = last == NULL ? 1 : atoi(last) + 1;
	char event[64];

	for (int i = from; i <= EVENTS; i++) {
		snprintf(event, sizeof(event), "id: %d\ndata: %d\n\n", i, i);
		if (cut && i == from + 1) {
			httpd_stream_write(request, event, 5);
			return;
		}
		httpd_stream_write(request, event, strlen(event));
	}
	httpd_stream_end(request);
}

/* The upstream is gone. */
static void
die(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct standin_upstream *upstream = timer->data;

	httpd_free(upstream->httpd);
	upstream->httpd = NULL;
}

/* Answers as the step says. */
static void
take_step(struct standin_upstream *upstream, struct httpd_request *request,
    enum standin_step step)
{
	const char *id = httpd_request_header(
	    request, "Heatherturn-Attempt-Id");
	struct http_header headers[] = {
	    {"Heatherturn-Attempt-Id", id},
	    {"Heatherturn-Server-Seal", "seal"},
	    {"Content-Type", "text/plain"},
	};
	static const struct http_header not_run = {
	    "Heatherturn-Not-Executed", "1"};

	switch (step) {
	case STANDIN_ANSWER:
		httpd_respond(request, 200, headers, 3, "whole", 5);
		break;
	case STANDIN_FAIL:
		httpd_respond(request, 500, headers, 3, "failed", 6);
		break;
	case STANDIN_FULL:
		httpd_respond(request, 503, &not_run, 1, "", 0);
		break;
	case STANDIN_MOVED:
		httpd_respond(request, 421, NULL, 0, "", 0);
		break;
	case STANDIN_UNMARKED:
		httpd_respond(request, 503, headers, 3, "busy", 4);
		break;
	case STANDIN_BREAK:
		httpd_abort(request);
		break;
	case STANDIN_DIE:
		ev_timer_start(upstream->standin->loop, &upstream->death);
		break;
	case STANDIN_UNSEALED:
		headers[1] = headers[2];
		httpd_respond(request, 200, headers, 2, "whole", 5);
		break;
	case STANDIN_FOREIGN:
		headers[0].value = "another";
		httpd_respond(request, 200, headers, 3, "whole", 5);
		break;
	case STANDIN_HANG:
		break;
	case STANDIN_EVENTS:
	case STANDIN_CUT:
		headers[2].value = "text/event-stream";
		httpd_stream_begin(request, 200, headers, 3);
		write_events(request, step == STANDIN_CUT);
		break;
	}
}

/* An upstream has a request. */
static void
take_request(void *data, struct httpd_request *request)
{
	struct standin_upstream *upstream = data;
	struct standin *standin = upstream->standin;
	size_t at = standin->arrivals->len;

	keep_arrival(upstream, request);
	g_assert_cmpuint(at, <, standin->step_count);
	take_step(upstream, request, standin->steps[at]);
}

/* A request of an upstream is over. */
static void
take_closed(void *data, struct httpd_request *request, bool whole)
{
	struct standin_arrival *arrival = httpd_request_data(request);

	if (arrival != NULL && !whole)
		arrival->left = true;
}

/* All bytes of a stream are out: one that was not ended breaks off. */
static void
take_drained(void *data, struct httpd_request *request)
{
	httpd_abort(request);
}

/* Nothing is kept of a call to the store. */
static void
store_closed(void *data, struct httpd_request *request, bool whole)
{
}

/* Makes an entry of the list of upstreams. */
static json_t *
make_entry(size_t index, int port)
{
	char name[8];
	char address[32];

	snprintf(name, sizeof(name), "i-%zu", index);
	snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	return json_pack("{s:{s:s, s:i}, s:{s:s, s:s, s:s, s:s, s:i}}",
	    "Metadata", "Name", name, "Revision", 1, "Spec", "Service", "s",
	    "Address", address, "Zone", "z", "State", "ready", "Slots", 4);
}

/* Starts the store and the upstreams on ports of their own. */
struct standin *
standin_new(struct ev_loop *loop)
{
	static const struct httpd_ops store_ops = {
	    .request = take_store, .closed = store_closed};
	static const struct httpd_ops upstream_ops = {.request = take_request,
	    .closed = take_closed,
	    .drained = take_drained};
	const struct httpd_settings settings = {
	    .address = "127.0.0.1:0",
	    .body_max_bytes = BODY_MAX_BYTES,
	    .bodies_max_bytes = BODY_MAX_BYTES,
	};
	struct standin *standin = g_new0(struct standin, 1);

	standin->loop = loop;
	standin->arrivals = g_ptr_array_new();
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		standin->objects[i] = json_array();
	standin->store = httpd_new(loop, &settings, &store_ops, standin, NULL);
	g_assert_nonnull(standin->store);
	snprintf(standin->address, sizeof(standin->address), "127.0.0.1:%d",
	    httpd_port(standin->store));
	for (size_t i = 0; i < STANDIN_UPSTREAMS; i++) {
		struct standin_upstream *upstream = &standin->upstreams[i];

		upstream->standin = standin;
		upstream->index = i;
		ev_timer_init(&upstream->death, die, 0.0, 0.0);
		upstream->death.data = upstream;
		upstream->httpd = httpd_new(
		    loop, &settings, &upstream_ops, upstream, NULL);
		json_array_append_new(standin->objects[1],
		    make_entry(i, httpd_port(upstream->httpd)));
	}
	return standin;
}

/* Frees what an arrival holds. */
static void
arrival_free(struct standin_arrival *arrival)
{
	for (size_t i = 0; i < arrival->header_count; i++)
		g_free(arrival->headers[i]);
	g_free(arrival->target);
	g_free(arrival->body);
	g_free(arrival);
}

/* Stops all of it. */
void
standin_free(struct standin *standin)
{
	httpd_free(standin->store);
	for (size_t i = 0; i < STANDIN_UPSTREAMS; i++)
		httpd_free(standin->upstreams[i].httpd);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		json_decref(standin->objects[i]);
	for (guint i = 0; i < standin->arrivals->len; i++)
		arrival_free(standin->arrivals->pdata[i]);
	g_ptr_array_unref(standin->arrivals);
	g_free(standin);
}

/* Returns where the store is. */
const char *
standin_store(const struct standin *standin)
{
	return standin->address;
}

/* Puts the operators' configuration into the store, given as JSON. */
void
standin_set_config(struct standin *standin, const char *spec)
{
	json_t *json = json_loads(spec, 0, NULL);

	g_assert_nonnull(json);
	json_array_clear(standin->objects[0]);
	json_array_append_new(standin->objects[0],
	    json_pack("{s:{s:s, s:i}, s:o}", "Metadata", "Name", "main",
		"Revision", 2, "Spec", json));
}

/* Sets what the upstreams do with the requests to come, in their order. */
void
standin_set_steps(
    struct standin *standin, const enum standin_step *steps, size_t count)
{
	g_assert_cmpuint(count, <=, STANDIN_STEPS);
	memcpy(standin->steps, steps, count * sizeof(*steps));
	standin->step_count = count;
}

/* Returns how many requests the upstreams had. */
size_t
standin_arrivals(const struct standin *standin)
{
	return standin->arrivals->len;
}

/* Returns one of them. */
const struct standin_arrival *
standin_arrival(const struct standin *standin, size_t index)
{
	return standin->arrivals->pdata[index];
}

/* Returns a header of an arrival; NULL where it did not come. */
const char *
standin_header(const struct standin_arrival *arrival, const char *name)
{
	size_t length = strlen(name);

	for (size_t i = 0; i < arrival->header_count; i++) {
		const char *header = arrival->headers[i];

		if (g_ascii_strncasecmp(header, name, length) == 0 &&
		    g_str_has_prefix(header + length, ": "))
			return header + length + 2;
	}
	return NULL;
}

/* Takes all upstreams off the list. */
void
standin_drop_upstreams(struct standin *standin)
{
	json_array_clear(standin->objects[1]);
}
