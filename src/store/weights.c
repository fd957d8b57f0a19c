#include "store/weights.h"

#include <string.h>

#include <jansson.h>

#include "base/clock.h"
#include "base/metrics.h"

#define PERMIT_TIMEOUT_MS	2000
#define PERMIT_RETRY_DEFAULT_MS 1000
#define PERMIT_RETRY_MAX_S	3600

struct weights {
	struct http_client *client;
	char *url;
};

struct weights_call {
	struct http_call *http;
	weights_done_fn *done;
	void *data;
};

METRIC_DEFINE(permits_count, METRIC_COUNTER, "heatherturn_store_calls",
    "kind=\"permit\"", "calls to the platform's object API");

G_DEFINE_QUARK(weights_error, weights_error)

/* Creates a client of the weight store; the HTTP client is borrowed. */
struct weights *
weights_new(struct http_client *client, const char *base_url)
{
	struct weights *weights = g_new0(struct weights, 1);

	weights->client = client;
	weights->url = g_strdup_printf("%s/weights/permits", base_url);
	return weights;
}

/* Frees the client; no call may be in progress. NULL is allowed. */
void
weights_free(struct weights *weights)
{
	if (weights == NULL)
		return;
	g_free(weights->url);
	g_free(weights);
}

/* Parses Retry-After into milliseconds, with a default. */
static int64_t
parse_retry_after(const struct http_call *http)
{
	const char *text = http_call_header(http, "Retry-After");
	guint64 seconds;

	if (text == NULL ||
	    !g_ascii_string_to_unsigned(
		text, 10, 0, PERMIT_RETRY_MAX_S, &seconds, NULL))
		return PERMIT_RETRY_DEFAULT_MS;
	return (int64_t)seconds * MS_PER_S;
}

/* Handles the weight store's response. */
static void
on_done(void *data, struct http_call *http, const struct http_result *result)
{
	struct weights_call *call = data;
	g_autoptr(GError) error = NULL;
	int64_t retry_after_ms = 0;

	if (result->error != NULL || result->status != 200) {
		bool limited = result->error == NULL && result->status == 429;

		retry_after_ms = parse_retry_after(http);
		error = g_error_new(WEIGHTS_ERROR,
		    limited ? WEIGHTS_ERROR_RATE_LIMITED
			    : WEIGHTS_ERROR_UNAVAILABLE,
		    "the weight store did not grant a permit: HTTP status %d",
		    result->status);
	}
	call->done(call->data, error, retry_after_ms);
	g_free(call);
}

static const struct http_call_ops ops = {
    .done = on_done,
};

/*
 * Requests a permit to load a model version at an upstream. The callback runs
 * from the event loop; its error is NULL if the permit is granted.
 */
struct weights_call *
weights_request_permit(struct weights *weights, const char *model,
    const char *version, const char *upstream, weights_done_fn *done,
    void *data)
{
	struct weights_call *call = g_new0(struct weights_call, 1);
	json_t *body = json_pack("{s:s, s:s, s:s}", "model", model, "version",
	    version, "upstream", upstream);
	char *text = json_dumps(body, JSON_COMPACT);
	const struct http_header header = {"Content-Type", "application/json"};
	const struct http_call_request request = {
	    .method = "POST",
	    .url = weights->url,
	    .headers = &header,
	    .header_count = 1,
	    .body = text,
	    .body_length = strlen(text),
	    .timeout_ms = PERMIT_TIMEOUT_MS,
	};

	call->done = done;
	call->data = data;
	metric_add(&permits_count, 1);
	call->http = http_client_start(weights->client, &request, &ops, call);
	free(text);
	json_decref(body);
	return call;
}

/* Cancels a call without its callback. */
void
weights_call_cancel(struct weights_call *call)
{
	http_call_cancel(call->http);
	g_free(call);
}
