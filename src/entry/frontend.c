#include "entry/frontend.h"

#include <inttypes.h>
#include <string.h>

#include <jansson.h>
#include <sodium.h>

#include "base/bearer.h"
#include "base/invariant.h"
#include "base/metrics.h"
#include "entry/generation.h"
#include "entry/plain_call.h"

#define LOG_MODULE "front"
#include "base/log.h"

#define HEADERS_MAX	 6
#define HEADER_MAX_BYTES 32
#define STREAMS_PATH	 "/v1/streams/"

struct frontend {
	struct frontend_settings settings;
	struct httpd *httpd;
	bool draining; /* fails the readiness check, still serves requests */
	bool closed; /* refuses new requests */
	bool exiting;
	size_t cut_off; /* requests without a final answer at the exit */
};

INVARIANT_DEFINE(no_request_cut_off, "entry_stop_cuts_off_nothing");
METRIC_DEFINE(requests_received, METRIC_COUNTER, "heatherturn_requests", NULL,
    "requests that callers sent");
METRIC_DEFINE(requests_failed, METRIC_COUNTER, "heatherturn_refusals", NULL,
    "requests that were answered with a failure before an answer began");

/* Sends a response with a body; id is the request id, or NULL. */
void
frontend_respond(struct httpd_request *http, const char *id, int status,
    const char *content_type, const void *body, size_t length)
{
	struct http_header headers[] = {
	    {"Content-Type", content_type},
	    {"X-Request-Id", id},
	};

	httpd_respond(http, status, headers, id != NULL ? 2 : 1, body, length);
}

/*
 * Sends a CALLER_ERROR as the response: its HTTP status, the
 * Heatherturn-Outcome header and, unless retry_after_ms is 0, when to retry.
 */
void
frontend_respond_error(struct httpd_request *http, const char *id,
    const GError *error, int64_t retry_after_ms)
{
	enum caller_error code = (enum caller_error)error->code;
	char seconds[HEADER_MAX_BYTES];
	char milliseconds[HEADER_MAX_BYTES];
	char *body = failure_body(error);
	struct http_header headers[HEADERS_MAX] = {
	    {"Content-Type", "application/json"},
	    {"Heatherturn-Outcome", failure_outcome(code)},
	};
	size_t count = 2;

	if (id != NULL)
		headers[count++] = (struct http_header){"X-Request-Id", id};
	if (retry_after_ms > 0) {
		snprintf(seconds, sizeof(seconds), "%" PRId64,
		    (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
		snprintf(milliseconds, sizeof(milliseconds), "%" PRId64,
		    retry_after_ms);
		headers[count++] = (struct http_header){"Retry-After", seconds};
		headers[count++] = (struct http_header){
		    "Retry-After-Ms", milliseconds};
	}
	metric_add(&requests_failed, 1);
	httpd_respond(
	    http, failure_status(code), headers, count, body, strlen(body));
	free(body);
}

/* Sends an error response for a code and a message. */
void
frontend_respond_error_code(struct httpd_request *http, const char *id,
    enum caller_error code, int64_t retry_after_ms, const char *why)
{
	g_autoptr(GError) error = g_error_new_literal(CALLER_ERROR, code, why);

	frontend_respond_error(http, id, error, retry_after_ms);
}

/*
 * Sets a request's deadline from its Heatherturn-Deadline-Ms header or, without
 * one, to default_ms after its arrival. Returns false with
 * CALLER_ERROR_INVALID_VALUE if the header is not a number in range.
 */
bool
frontend_parse_deadline(const struct frontend_request *request,
    int64_t default_ms, struct timespec *deadline, GError **error)
{
	const char *header = httpd_request_header(
	    request->http, "Heatherturn-Deadline-Ms");
	guint64 ms = (guint64)default_ms;

	if (header != NULL &&
	    !g_ascii_string_to_unsigned(
		header, 10, 1, DEADLINE_MAX_MS, &ms, NULL)) {
		g_set_error(error, CALLER_ERROR, CALLER_ERROR_INVALID_VALUE,
		    "'Heatherturn-Deadline-Ms' must be from 1 to %d",
		    DEADLINE_MAX_MS);
		return false;
	}
	*deadline = time_add_ms(request->arrived, (int64_t)ms);
	return true;
}

/* Makes a random id; it must be unguessable, since it allows a resume. */
static void
make_request_id(char id[REQUEST_ID_SIZE])
{
	uint8_t random[(REQUEST_ID_SIZE - 1) / 2];

	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(id, REQUEST_ID_SIZE, random, sizeof(random));
}

/*
 * Finds the organisation of the request's API key. If there is none, sends an
 * error response and returns false.
 */
static bool
authenticate(struct frontend *frontend, struct frontend_request *request)
{
	const struct config *config = dispatch_config(
	    frontend->settings.dispatch);
	const char *key = bearer_token(
	    httpd_request_header(request->http, "Authorization"));

	if (key == NULL) {
		frontend_respond_error_code(request->http, request->id,
		    CALLER_ERROR_NO_API_KEY, 0,
		    "no API key in the Authorization header");
		return false;
	}
	request->organisation = config_find_organisation_by_api_key(
	    config, key);
	if (request->organisation == NULL) {
		frontend_respond_error_code(request->http, request->id,
		    CALLER_ERROR_INVALID_API_KEY, 0, "unknown API key");
		return false;
	}
	return true;
}

/* Returns whether the request's organisation may call a service. */
bool
frontend_is_allowed(const struct frontend_request *request,
    const Heatherturn__V1__Service *service)
{
	const Heatherturn__V1__Organisation *organisation = request
								->organisation;

	if (organisation->n_services == 0)
		return true;
	for (size_t i = 0; i < organisation->n_services; i++) {
		if (strcmp(organisation->services[i], service->id) == 0)
			return true;
	}
	return false;
}

/* Sends the list of model services. */
static void
list_models(struct frontend *frontend, const struct frontend_request *request)
{
	const Heatherturn__V1__ConfigDocument *document = config_document(
	    dispatch_config(frontend->settings.dispatch));
	json_t *models = json_array();
	json_t *body;
	char *text;

	for (size_t i = 0; i < document->n_services; i++) {
		const Heatherturn__V1__Service *service = document->services[i];

		if (service->kind !=
			HEATHERTURN__V1__SERVICE_KIND__SERVICE_KIND_MODEL ||
		    !frontend_is_allowed(request, service))
			continue;
		json_array_append_new(models,
		    json_pack("{s:s, s:s, s:s}", "id", service->id, "object",
			"model", "owned_by", "heatherturn"));
	}
	body = json_pack("{s:s, s:o}", "object", "list", "data", models);
	text = json_dumps(body, JSON_COMPACT);
	frontend_respond(request->http, request->id, 200, "application/json",
	    text, strlen(text));
	free(text);
	json_decref(body);
}

/*
 * Answers the load balancer's health checks, which need no API key. Returns
 * false for other paths.
 */
static bool
respond_health(struct frontend *frontend, struct httpd_request *http)
{
	const char *path = httpd_request_path(http);
	bool ready;

	if (strcmp(path, "/livez") == 0) {
		frontend_respond(http, NULL, 200, "text/plain", "ok\n", 3);
		return true;
	}
	if (strcmp(path, "/readyz") != 0)
		return false;
	ready = !frontend->draining &&
	    frontend->settings.ready(frontend->settings.data);
	if (ready)
		frontend_respond(http, NULL, 200, "text/plain", "ok\n", 3);
	else
		frontend_respond(
		    http, NULL, 503, "text/plain", "not ready\n", 10);
	return true;
}

/* Checks the method; sends an error response and returns false if wrong. */
static bool
check_method(const struct frontend_request *request, const char *method)
{
	if (strcmp(httpd_request_method(request->http), method) == 0)
		return true;
	frontend_respond_error_code(request->http, request->id,
	    CALLER_ERROR_METHOD_NOT_ALLOWED, 0,
	    "this path does not support the method");
	return false;
}

/* Passes an authenticated request to the handler of its path. */
static void
route_request(struct frontend *frontend, const struct frontend_request *request)
{
	const char *path = httpd_request_path(request->http);
	g_autofree char *raw_path = httpd_request_copy_path(request->http);
	const Heatherturn__V1__Service *service;

	if (!httpd_request_has_valid_target(request->http)) {
		httpd_close_after(request->http);
		frontend_respond_error_code(request->http, request->id,
		    CALLER_ERROR_INVALID_VALUE, 0,
		    "the request's target is invalid");
		return;
	}

	if (strcmp(path, "/v1/completions") == 0) {
		if (check_method(request, "POST"))
			generation_serve(frontend, request, false);
		return;
	}
	if (strcmp(path, "/v1/chat/completions") == 0) {
		if (check_method(request, "POST"))
			generation_serve(frontend, request, true);
		return;
	}
	if (strcmp(path, "/v1/models") == 0) {
		if (check_method(request, "GET"))
			list_models(frontend, request);
		return;
	}
	if (g_str_has_prefix(path, STREAMS_PATH)) {
		if (check_method(request, "GET"))
			generation_resume(
			    frontend, request, path + strlen(STREAMS_PATH));
		return;
	}
	service = config_find_service_by_path(
	    dispatch_config(frontend->settings.dispatch), raw_path);
	if (service == NULL)
		frontend_respond_error_code(request->http, request->id,
		    CALLER_ERROR_PATH_NOT_FOUND, 0, "no service at this path");
	else if (!frontend_is_allowed(request, service))
		frontend_respond_error_code(request->http, request->id,
		    CALLER_ERROR_NOT_ALLOWED, 0,
		    "this API key is not allowed to call this service");
	else
		plain_call_serve(frontend, request, service);
}

/* Serves a request that has been received in full. */
static void
on_request(void *data, struct httpd_request *http)
{
	struct frontend *frontend = data;
	struct frontend_request request = {.http = http};

	if (respond_health(frontend, http))
		return;
	metric_add(&requests_received, 1);
	request.arrived = clock_monotonic(
	    dispatch_clock(frontend->settings.dispatch));
	make_request_id(request.id);
	if (frontend->closed) {
		frontend_respond_error_code(http, request.id,
		    CALLER_ERROR_DRAINING, RETRY_AFTER_DRAINING_MS,
		    "this entry is shutting down");
		return;
	}
	if (authenticate(frontend, &request))
		route_request(frontend, &request);
}

/*
 * Notifies a request's owner: the response is sent or the caller has
 * disconnected.
 */
static void
on_closed(void *data, struct httpd_request *http, bool complete)
{
	struct frontend *frontend = data;
	struct frontend_request_owner *owner = httpd_request_data(http);

	/* An owner leaves its request with the final answer. */
	if (frontend->exiting && owner != NULL &&
	    (owner->keeps == NULL || !owner->keeps(owner)))
		frontend->cut_off++;
	if (owner != NULL)
		owner->closed(owner, complete);
}

/* Notifies a stream's owner that all that was written has been sent. */
static void
on_drained(void *data, struct httpd_request *http)
{
	struct frontend_request_owner *owner = httpd_request_data(http);

	if (owner != NULL && owner->on_writable != NULL)
		owner->on_writable(owner);
}

static const struct httpd_ops httpd_ops = {
    .request = on_request,
    .closed = on_closed,
    .drained = on_drained,
};

/* Starts listening for callers; NULL with HTTPD_ERROR if that fails. */
struct frontend *
frontend_new(const struct frontend_settings *settings, GError **error)
{
	struct frontend *frontend = g_new0(struct frontend, 1);

	frontend->settings = *settings;
	frontend->httpd = httpd_new(dispatch_loop(settings->dispatch),
	    &settings->httpd, &httpd_ops, frontend, error);
	if (frontend->httpd == NULL) {
		g_free(frontend);
		return NULL;
	}
	return frontend;
}

/*
 * Stops listening and aborts all open requests, each of which should have its
 * final answer; NULL is allowed.
 */
void
frontend_free(struct frontend *frontend)
{
	if (frontend == NULL)
		return;
	frontend->exiting = true;
	httpd_free(frontend->httpd);
	invariant_check(
	    &no_request_cut_off, frontend->cut_off == 0, NULL, NULL);
	g_free(frontend);
}

/* Returns the TCP port for callers. */
int
frontend_port(const struct frontend *frontend)
{
	return httpd_port(frontend->httpd);
}

/*
 * Fails the readiness check from now on, so that the load balancer sends no new
 * callers, and ends each connection after its response, so that callers of kept
 * ones go to another entry. Requests that still arrive are served.
 */
void
frontend_start_draining(struct frontend *frontend)
{
	frontend->draining = true;
	httpd_disable_keep_alive(frontend->httpd);
}

/* Stops accepting connections and requests; open requests continue. */
void
frontend_stop_accepting(struct frontend *frontend)
{
	frontend->closed = true;
	httpd_stop_accepting(frontend->httpd);
}

/* Reloads the certificate; false with HTTPD_ERROR_CERTIFICATE. */
bool
frontend_reload_certificate(struct frontend *frontend, GError **error)
{
	return httpd_reload_certificate(frontend->httpd, error);
}

/* Returns how many requests have not been answered in full. */
size_t
frontend_open_requests(const struct frontend *frontend)
{
	struct httpd_stats stats;

	httpd_stats(frontend->httpd, &stats);
	return stats.open_requests;
}

struct dispatch *
frontend_dispatch(const struct frontend *frontend)
{
	return frontend->settings.dispatch;
}

/* Returns the claims, NULL if no platform is configured. */
struct claims *
frontend_claims(const struct frontend *frontend)
{
	return frontend->settings.claims;
}
