#include "entry/front.h"

#include <inttypes.h>
#include <string.h>

#include <jansson.h>
#include <sodium.h>

#include "base/metrics.h"
#include "entry/generate.h"
#include "entry/order.h"

#define LOG_MODULE "front"
#include "base/log.h"

#define BEARER		 "Bearer "
#define HEADERS_MAX	 6
#define HEADER_MAX_BYTES 32
#define STREAMS_PATH	 "/v1/streams/"

struct front {
	struct front_settings with;
	struct httpd *httpd;
	bool leaving; /* not ready, but serving what still comes */
	bool closed; /* takes nothing new */
};

METRIC_DEFINE(requests_taken, METRIC_COUNTER, "heatherturn_requests", NULL,
    "requests that callers sent");
METRIC_DEFINE(requests_refused, METRIC_COUNTER, "heatherturn_refusals", NULL,
    "requests that were answered with a failure before an answer began");

/* Answers with a body; id is the request's, or NULL. */
void
front_answer(struct httpd_request *http, const char *id, int status,
    const char *content_type, const void *body, size_t length)
{
	struct http_header headers[] = {
	    {"Content-Type", content_type},
	    {"X-Request-Id", id},
	};

	httpd_respond(http, status, headers, id != NULL ? 2 : 1, body, length);
}

/*
 * Answers with a CALLER_ERROR: its status, what is known of the outcome, and
 * when to come back where retry_after_ms is not 0.
 */
void
front_refuse(struct httpd_request *http, const char *id, const GError *error,
    int64_t retry_after_ms)
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
	metric_add(&requests_refused, 1);
	httpd_respond(
	    http, failure_status(code), headers, count, body, strlen(body));
	free(body);
}

/* Answers with a failure that is made up on the spot. */
void
front_refuse_code(struct httpd_request *http, const char *id,
    enum caller_error code, int64_t retry_after_ms, const char *why)
{
	g_autoptr(GError) error = g_error_new_literal(CALLER_ERROR, code, why);

	front_refuse(http, id, error, retry_after_ms);
}

/*
 * Finds a request's deadline: by its Heatherturn-Deadline-Ms header, or so many
 * milliseconds after it arrived. False with CALLER_ERROR_INVALID where the
 * header is no number in range.
 */
bool
front_deadline(const struct front_request *request, int64_t default_ms,
    struct timespec *deadline, GError **error)
{
	const char *header = httpd_request_header(
	    request->http, "Heatherturn-Deadline-Ms");
	guint64 ms = (guint64)default_ms;

	if (header != NULL &&
	    !g_ascii_string_to_unsigned(
		header, 10, 1, DEADLINE_MAX_MS, &ms, NULL)) {
		g_set_error(error, CALLER_ERROR, CALLER_ERROR_INVALID,
		    "'Heatherturn-Deadline-Ms' must be from 1 to %d",
		    DEADLINE_MAX_MS);
		return false;
	}
	*deadline = time_add_ms(request->arrived, (int64_t)ms);
	return true;
}

/* Makes a request id that nobody can guess: it also allows a resume. */
static void
make_id(char id[REQUEST_ID_SIZE])
{
	uint8_t random[(REQUEST_ID_SIZE - 1) / 2];

	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(id, REQUEST_ID_SIZE, random, sizeof(random));
}

/* Finds whose key the request carries; answers and returns false for none. */
static bool
authenticate(struct front *front, struct front_request *request)
{
	const struct config *config = dispatch_config(front->with.dispatch);
	const char *header = httpd_request_header(
	    request->http, "Authorization");

	if (header == NULL || !g_str_has_prefix(header, BEARER)) {
		front_refuse_code(request->http, request->id,
		    CALLER_ERROR_NO_KEY, 0, "an API key is needed");
		return false;
	}
	request->organisation = config_organisation_of_key(
	    config, header + strlen(BEARER));
	if (request->organisation == NULL) {
		front_refuse_code(request->http, request->id,
		    CALLER_ERROR_WRONG_KEY, 0, "the API key is not known");
		return false;
	}
	return true;
}

/* Says whether the organisation that asks may call a service. */
bool
front_may_call(const struct front_request *request,
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

/* Lists the model services that the organisation may call. */
static void
list_models(struct front *front, const struct front_request *request)
{
	const Heatherturn__V1__ConfigDocument *document = config_document(
	    dispatch_config(front->with.dispatch));
	json_t *models = json_array();
	json_t *body;
	char *text;

	for (size_t i = 0; i < document->n_services; i++) {
		const Heatherturn__V1__Service *service = document->services[i];

		if (service->kind !=
		    HEATHERTURN__V1__SERVICE_KIND__SERVICE_KIND_MODEL)
			continue;
		json_array_append_new(models,
		    json_pack("{s:s, s:s, s:s}", "id", service->id, "object",
			"model", "owned_by", "heatherturn"));
	}
	body = json_pack("{s:s, s:o}", "object", "list", "data", models);
	text = json_dumps(body, JSON_COMPACT);
	front_answer(request->http, request->id, 200, "application/json", text,
	    strlen(text));
	free(text);
	json_decref(body);
}

/* Answers the balancer's questions; false where the path is another. */
static bool
answer_health(struct front *front, struct httpd_request *http)
{
	const char *path = httpd_request_path(http);
	bool ready;

	if (strcmp(path, "/livez") == 0) {
		front_answer(http, NULL, 200, "text/plain", "ok\n", 3);
		return true;
	}
	if (strcmp(path, "/readyz") != 0)
		return false;
	ready = !front->leaving && front->with.ready(front->with.data);
	if (ready)
		front_answer(http, NULL, 200, "text/plain", "ok\n", 3);
	else
		front_answer(http, NULL, 503, "text/plain", "not ready\n", 10);
	return true;
}

/* Refuses a method that a path does not have; true where it has it. */
static bool
check_method(const struct front_request *request, const char *method)
{
	if (strcmp(httpd_request_method(request->http), method) == 0)
		return true;
	front_refuse_code(request->http, request->id, CALLER_ERROR_METHOD, 0,
	    "this path does not take that method");
	return false;
}

/* Hands a request with a known key to the part that serves its path. */
static void
serve(struct front *front, const struct front_request *request)
{
	const char *path = httpd_request_path(request->http);
	const Heatherturn__V1__Service *service;

	if (strcmp(path, "/v1/completions") == 0) {
		if (check_method(request, "POST"))
			generate_serve(front, request, false);
		return;
	}
	if (strcmp(path, "/v1/chat/completions") == 0) {
		if (check_method(request, "POST"))
			generate_serve(front, request, true);
		return;
	}
	if (strcmp(path, "/v1/models") == 0) {
		if (check_method(request, "GET"))
			list_models(front, request);
		return;
	}
	if (g_str_has_prefix(path, STREAMS_PATH)) {
		if (check_method(request, "GET"))
			generate_resume(
			    front, request, path + strlen(STREAMS_PATH));
		return;
	}
	service = config_service_of_path(
	    dispatch_config(front->with.dispatch), path);
	if (service == NULL)
		front_refuse_code(request->http, request->id,
		    CALLER_ERROR_NO_PATH, 0, "there is nothing at this path");
	else if (!front_may_call(request, service))
		front_refuse_code(request->http, request->id,
		    CALLER_ERROR_NOT_ALLOWED, 0,
		    "this key may not call this service");
	else
		order_serve(front, request, service);
}

/* Takes a whole request. */
static void
take_request(void *data, struct httpd_request *http)
{
	struct front *front = data;
	struct front_request request = {.http = http};

	if (answer_health(front, http))
		return;
	metric_add(&requests_taken, 1);
	request.arrived = clock_monotonic(dispatch_clock(front->with.dispatch));
	make_id(request.id);
	if (front->closed) {
		front_refuse_code(http, request.id, CALLER_ERROR_LEAVING,
		    RETRY_AFTER_DEFAULT_MS, "this entry is leaving");
		return;
	}
	if (authenticate(front, &request))
		serve(front, &request);
}

/* Tells the owner of an answer that it has ended or its caller is gone. */
static void
take_closed(void *data, struct httpd_request *http, bool whole)
{
	struct front_owner *owner = httpd_request_data(http);

	if (owner != NULL)
		owner->closed(owner, whole);
}

/* Tells the owner of a stream that the caller has taken what was written. */
static void
take_drained(void *data, struct httpd_request *http)
{
	struct front_owner *owner = httpd_request_data(http);

	if (owner != NULL && owner->drained != NULL)
		owner->drained(owner);
}

static const struct httpd_ops httpd_ops = {
    .request = take_request,
    .closed = take_closed,
    .drained = take_drained,
};

/* Listens for callers; NULL with HTTPD_ERROR where it can't. */
struct front *
front_new(const struct front_settings *settings, GError **error)
{
	struct front *front = g_new0(struct front, 1);

	front->with = *settings;
	front->httpd = httpd_new(dispatch_loop(settings->dispatch),
	    &settings->httpd, &httpd_ops, front, error);
	if (front->httpd == NULL) {
		g_free(front);
		return NULL;
	}
	return front;
}

/* Frees the front, and with it all open answers; NULL is allowed. */
void
front_free(struct front *front)
{
	if (front == NULL)
		return;
	httpd_free(front->httpd);
	g_free(front);
}

/* Returns the port that callers are listened for on. */
int
front_port(const struct front *front)
{
	return httpd_port(front->httpd);
}

/*
 * Fails the ready check from now on, so that the balancer sends no new callers,
 * while what still comes is served.
 */
void
front_leave(struct front *front)
{
	front->leaving = true;
}

/* Takes no new connections; open answers go on. */
void
front_close(struct front *front)
{
	front->closed = true;
	httpd_stop_accepting(front->httpd);
}

/* Reads the certificate's files anew; false with HTTPD_ERROR_CERTIFICATE. */
bool
front_reload_certificate(struct front *front, GError **error)
{
	return httpd_reload_certificate(front->httpd, error);
}

/* Returns how many requests are not answered yet. */
size_t
front_open_requests(const struct front *front)
{
	struct httpd_stats stats;

	httpd_stats(front->httpd, &stats);
	return stats.open_requests;
}

/* Returns what requests share on their way to sidecars. */
struct dispatch *
front_dispatch(const struct front *front)
{
	return front->with.dispatch;
}

/* Returns the claims, NULL where no platform is set. */
struct claims *
front_claims(const struct front *front)
{
	return front->with.claims;
}
