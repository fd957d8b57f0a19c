#include "upstream/json_client.h"

#include <string.h>

#include "base/list.h"
#include "upstream/upstream.h"

struct json_call {
	struct json_client *client;
	struct http_call *http;
	json_client_fn *done;
	void *data;
	TAILQ_ENTRY(json_call) entry;
};

struct json_client {
	struct http_client *http;
	char *url;
	TAILQ_HEAD(json_calls, json_call) calls;
};

static const struct {
	const char *type;
	enum upstream_error code;
} error_types[] = {
    {"overloaded", UPSTREAM_ERROR_OVERLOADED},
    {"out_of_memory", UPSTREAM_ERROR_OUT_OF_MEMORY},
    {"stale_fencing", UPSTREAM_ERROR_STALE_FENCING},
    {"not_found", UPSTREAM_ERROR_NOT_FOUND},
};

/* Maps the type of an error body, or else the HTTP status, to a code. */
static enum upstream_error
error_code(int status, const char *type)
{
	for (size_t i = 0; type != NULL && i < G_N_ELEMENTS(error_types); i++) {
		if (strcmp(type, error_types[i].type) == 0)
			return error_types[i].code;
	}
	switch (status) {
	case 404:
		return UPSTREAM_ERROR_NOT_FOUND;
	case 503:
		return UPSTREAM_ERROR_OVERLOADED;
	case 507:
		return UPSTREAM_ERROR_OUT_OF_MEMORY;
	default:
		return UPSTREAM_ERROR_FAILED;
	}
}

/* Returns the error of a finished call; NULL for success. */
GError *
upstream_error_from_result(const struct http_result *result)
{
	const char *type = NULL, *text = "";
	GError *error;
	json_t *body;

	if (result->error != NULL)
		return g_error_new(UPSTREAM_ERROR,
		    result->refused ? UPSTREAM_ERROR_DIED : UPSTREAM_ERROR_LOST,
		    "upstream: %s", result->error->message);
	if (result->status >= 200 && result->status < 300)
		return NULL;
	body = json_loadb(
	    (const char *)result->body->data, result->body->len, 0, NULL);
	json_unpack(
	    body, "{s:{s?s, s?s}}", "error", "type", &type, "message", &text);
	error = g_error_new(UPSTREAM_ERROR,
	    (gint)error_code(result->status, type),
	    "upstream responded with status %d: %s", result->status, text);
	json_decref(body);
	return error;
}

/* Frees a call and its owner's data. */
static void
call_free(struct json_call *call)
{
	TAILQ_REMOVE(&call->client->calls, call, entry);
	g_free(call->data);
	g_free(call);
}

/* Parses the response of a finished call and passes it on. */
static void
on_call_done(
    void *data, struct http_call *http, const struct http_result *result)
{
	struct json_call *call = data;
	GError *error = upstream_error_from_result(result);
	json_t *response = NULL;

	if (error == NULL && result->body->len > 0) {
		response = json_loadb((const char *)result->body->data,
		    result->body->len, 0, NULL);
		if (response == NULL)
			error = g_error_new_literal(UPSTREAM_ERROR,
			    UPSTREAM_ERROR_MALFORMED,
			    "response body is not JSON");
	}
	call->done(call->data, response, error);
	json_decref(response);
	g_clear_error(&error);
	call_free(call);
}

/* Creates a client for the paths below url. */
struct json_client *
json_client_new(struct http_client *http, const char *url)
{
	struct json_client *client = g_new0(struct json_client, 1);

	client->http = http;
	client->url = g_strdup(url);
	TAILQ_INIT(&client->calls);
	return client;
}

/* Cancels all calls without callbacks. NULL is allowed. */
void
json_client_free(struct json_client *client)
{
	struct json_call *call, *next;

	if (client == NULL)
		return;
	TAILQ_FOREACH_SAFE (call, &client->calls, entry, next) {
		http_call_cancel(call->http);
		call_free(call);
	}
	g_free(client->url);
	g_free(client);
}

/*
 * Starts a call. data must come from g_malloc() or be NULL; it is freed after
 * the callback, or with the client.
 */
void
json_client_call(struct json_client *client, const struct json_request *request,
    json_client_fn *done, void *data)
{
	static const struct http_call_ops ops = {.done = on_call_done};
	static const struct http_header header = {
	    "Content-Type", "application/json"};
	struct json_call *call = g_new0(struct json_call, 1);
	char *url = g_strconcat(client->url, request->path, NULL);
	char *body = NULL;
	struct http_call_request http = {.method = request->method,
	    .url = url,
	    .timeout_ms = request->timeout_ms,
	    .repeatable = request->repeatable};

	if (request->body != NULL) {
		body = json_dumps(request->body, JSON_COMPACT);
		http.body = body;
		http.body_length = strlen(body);
		http.headers = &header;
		http.header_count = 1;
	}
	call->client = client;
	call->done = done;
	call->data = data;
	TAILQ_INSERT_TAIL(&client->calls, call, entry);
	call->http = http_client_start(client->http, &http, &ops, call);
	json_decref(request->body);
	free(body);
	g_free(url);
}
