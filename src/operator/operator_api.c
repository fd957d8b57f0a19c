#include "operator/operator_api.h"

#include <string.h>

#include "base/httpd.h"
#include "base/metrics.h"
#include "operator/operator_tokens.h"
#include "operator/rpc.h"
#include "operator/rpc_error.h"
#include "peer/documents.h"
#include "peer/mesh.h"
#include "store/config_writer.h"

#define LOG_MODULE "operator"
#include "base/log.h"

#define RETRY_AFTER_TEXT_BYTES 24
/* Not used: the config writer sets the default of Retry-After. */
#define RETRY_AFTER_DEFAULT_MS 1000

#define CALLS_METRIC "heatherturn_operator_calls"
#define CALLS_HELP   "operators' calls by result"

METRIC_DEFINE(
    calls_done, METRIC_COUNTER, CALLS_METRIC, "result=\"done\"", CALLS_HELP);
METRIC_DEFINE(calls_refused, METRIC_COUNTER, CALLS_METRIC, "result=\"refused\"",
    CALLS_HELP);
METRIC_DEFINE(calls_failed, METRIC_COUNTER, CALLS_METRIC, "result=\"failed\"",
    CALLS_HELP);

/* A request, checked and decoded. */
struct parsed_request {
	struct httpd_request *request;
	const struct rpc_method *method;
	enum rpc_encoding encoding;
	const char *operator_name; /* caller's name; owned by tokens */
	ProtobufCMessage *message;
};

/* A call that waits for the platform or for a status query. */
struct pending_call {
	struct operator_api *api; /* NULL after operator_api_free() */
	struct httpd_request *request; /* NULL once closed */
	const struct rpc_method *method;
	enum rpc_encoding encoding;
	char *operator_name;
	struct config_edit *edit; /* change only */
	struct config_write *write; /* change only */
	uint64_t config_version; /* Status only: the version queried */
	TAILQ_ENTRY(pending_call) entry;
};

struct operator_api {
	struct httpd *httpd;
	struct operator_tokens *tokens;
	const struct link_identity *identity;
	struct documents *documents;
	struct mesh *mesh;
	struct config_writer *writer;
	TAILQ_HEAD(, pending_call) calls;
};

/* Sends a response in the encoding of its request. */
static void
send_response(struct httpd_request *request, enum rpc_encoding encoding,
    int status, const ProtobufCMessage *message, int64_t retry_after_ms)
{
	g_autoptr(GByteArray) body = rpc_encode_response(encoding, message);
	char retry_after[RETRY_AFTER_TEXT_BYTES];
	struct http_header headers[] = {
	    {"Content-Type", rpc_encoding_content_type(encoding)},
	    {"Retry-After", retry_after},
	};

	g_snprintf(retry_after, sizeof(retry_after), "%" G_GINT64_FORMAT,
	    (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
	httpd_respond(request, status, headers,
	    retry_after_ms > 0 ? G_N_ELEMENTS(headers) : 1, body->data,
	    body->len);
}

/* Sends the Error message for an error, logs and counts the failed call. */
static void
send_error(struct httpd_request *request, enum rpc_encoding encoding,
    const GError *error, const struct config_edit *edit, int64_t retry_after_ms)
{
	int status = rpc_error_status(error);
	Heatherturn__V1__Error *message = rpc_error_message_new(
	    error, edit, retry_after_ms);

	metric_add(status < 500 ? &calls_refused : &calls_failed, 1);
	LOG_INFO("operator call refused", "{s:s, s:s, s:i}", "path",
	    httpd_request_path(request), "code", rpc_error_code(error),
	    "status", status);
	send_response(
	    request, encoding, status, &message->base, retry_after_ms);
	heatherturn__v1__error__free_unpacked(message, NULL);
}

/* Unlinks a pending call from its API and its request, and frees it. */
static void
free_call(struct pending_call *call)
{
	if (call->api != NULL)
		TAILQ_REMOVE(&call->api->calls, call, entry);
	if (call->request != NULL)
		httpd_request_set_data(call->request, NULL);
	config_edit_free(call->edit);
	g_free(call->operator_name);
	g_free(call);
}

/* Adds a pending call for a request. */
static struct pending_call *
new_call(struct operator_api *api, const struct parsed_request *parsed)
{
	struct pending_call *call = g_new0(struct pending_call, 1);

	call->api = api;
	call->request = parsed->request;
	call->method = parsed->method;
	call->encoding = parsed->encoding;
	call->operator_name = g_strdup(parsed->operator_name);
	TAILQ_INSERT_TAIL(&api->calls, call, entry);
	httpd_request_set_data(parsed->request, call);
	return call;
}

/* Applies a change to the latest document; called again after each conflict. */
static bool
apply_change(
    void *data, Heatherturn__V1__ConfigDocument *document, GError **error)
{
	struct pending_call *call = data;

	return config_edit_apply(call->edit, document, error);
}

/* Sends the response to a change that was stored, failed or has an unknown
 * outcome. */
static void
on_change_done(
    void *data, const GError *error, uint64_t version, int64_t retry_after_ms)
{
	struct pending_call *call = data;
	ProtobufCMessage *response;

	LOG_INFO("configuration change", "{s:s, s:s, s:s, s:s, s:I, s:s}",
	    "operator", call->operator_name, "method", call->method->name,
	    "kind", call->edit->kind->name, "id", call->edit->id, "version",
	    (json_int_t)version, "outcome",
	    error == NULL ? "stored" : rpc_error_code(error));
	if (call->request != NULL && error != NULL) {
		send_error(call->request, call->encoding, error, call->edit,
		    retry_after_ms);
	} else if (call->request != NULL) {
		metric_add(&calls_done, 1);
		response = rpc_object_response_new(call->edit, version);
		send_response(call->request, call->encoding, 200, response, 0);
		protobuf_c_message_free_unpacked(response, NULL);
	}
	free_call(call);
}

/* Starts the write of a change to the platform. */
static void
start_change(struct operator_api *api, const struct parsed_request *parsed)
{
	static const struct config_write_ops ops = {
	    .change = apply_change,
	    .done = on_change_done,
	};
	g_autoptr(GError) error = NULL;
	struct config_edit *edit = parsed->method->change(
	    parsed->message, &error);
	struct pending_call *call;

	if (edit != NULL && api->writer == NULL) {
		config_edit_free(edit);
		edit = NULL;
		g_set_error(&error, RPC_ERROR, RPC_ERROR_NO_PLATFORM,
		    "this entry runs without a platform and can't store "
		    "changes");
	}
	if (edit == NULL) {
		send_error(parsed->request, parsed->encoding, error, NULL, 0);
		return;
	}
	call = new_call(api, parsed);
	call->edit = edit;
	call->write = config_write_start(api->writer, &ops, call);
}

/* Returns this process's own entry for a Status response. */
static struct mesh_peer_status
own_status(const struct operator_api *api)
{
	return (struct mesh_peer_status){
	    .address = (char *)api->identity->address,
	    .answered = true,
	    .process = (char *)api->identity->process,
	    .role = api->identity->role,
	    .failure_domain = (char *)api->identity->failure_domain,
	    .config_version = documents_version(
		api->documents, DOCUMENT_CONFIG),
	    .draining = api->identity->draining,
	};
}

/* Sends the Status response: this process first, then the queried ones. */
static void
on_status_query_done(
    void *data, const struct mesh_peer_status *entries, size_t count)
{
	struct pending_call *call = data;
	g_autofree struct mesh_peer_status *all = g_new0(
	    struct mesh_peer_status, count + 1);
	ProtobufCMessage *response;

	if (call->api != NULL && call->request != NULL) {
		all[0] = own_status(call->api);
		if (count > 0)
			memcpy(&all[1], entries, count * sizeof(all[0]));
		response = rpc_status_response_new(
		    call->config_version, all, count + 1);
		metric_add(&calls_done, 1);
		send_response(call->request, call->encoding, 200, response, 0);
		protobuf_c_message_free_unpacked(response, NULL);
	}
	free_call(call);
}

/* Queries all other known processes for the version in force on them. */
static void
start_status(struct operator_api *api, const struct parsed_request *parsed)
{
	struct pending_call *call = new_call(api, parsed);
	size_t count;
	const char *const *peers = mesh_peers(api->mesh, &count);
	g_autofree const char **others = g_new0(const char *, count + 1);
	size_t used = 0;

	call->config_version = ((const Heatherturn__V1__StatusRequest *)
				    parsed->message)
				   ->config_version;
	if (call->config_version == 0)
		call->config_version = documents_version(
		    api->documents, DOCUMENT_CONFIG);
	for (size_t i = 0; i < count; i++) {
		if (g_strcmp0(peers[i], api->identity->address) != 0)
			others[used++] = peers[i];
	}
	if (used == 0)
		on_status_query_done(call, NULL, 0);
	else
		mesh_query_status(api->mesh, others, used,
		    OPERATOR_API_STATUS_TIMEOUT_MS, on_status_query_done, call);
}

/* Responds to a read from the configuration in force in this process. */
static void
respond_to_read(struct operator_api *api, const struct parsed_request *parsed)
{
	g_autoptr(GError) error = NULL;
	ProtobufCMessage *response = parsed->method->read(
	    parsed->message, documents_config(api->documents), &error);

	if (response == NULL) {
		send_error(parsed->request, parsed->encoding, error, NULL, 0);
		return;
	}
	metric_add(&calls_done, 1);
	send_response(parsed->request, parsed->encoding, 200, response, 0);
	protobuf_c_message_free_unpacked(response, NULL);
}

/* Checks a request's headers and decodes its body. */
static bool
parse_request(const struct operator_api *api, struct parsed_request *parsed,
    GError **error)
{
	const char *type = httpd_request_header(
	    parsed->request, "Content-Type");
	const char *authorisation = httpd_request_header(
	    parsed->request, "Authorization");
	const uint8_t *body;
	size_t length;

	if (!rpc_encoding_parse(type, &parsed->encoding, error))
		return false;
	parsed->operator_name = operator_tokens_check(
	    api->tokens, authorisation, error);
	if (parsed->operator_name == NULL)
		return false;
	parsed->method = rpc_method_find(
	    httpd_request_path(parsed->request), error);
	if (parsed->method == NULL)
		return false;
	if (strcmp(httpd_request_method(parsed->request), "POST") != 0) {
		g_set_error(error, RPC_ERROR, RPC_ERROR_HTTP_METHOD,
		    "the HTTP method must be POST");
		return false;
	}
	body = httpd_request_body(parsed->request, &length);
	parsed->message = rpc_decode_request(
	    parsed->method, parsed->encoding, body, length, error);
	return parsed->message != NULL;
}

/* Starts the call of a request that was received completely. */
static void
on_request(void *data, struct httpd_request *request)
{
	struct operator_api *api = data;
	struct parsed_request parsed = {.request = request};
	g_autoptr(GError) error = NULL;

	if (!parse_request(api, &parsed, &error)) {
		send_error(request, parsed.encoding, error, NULL, 0);
		return;
	}
	if (parsed.method->change != NULL)
		start_change(api, &parsed);
	else if (parsed.method->is_status_query)
		start_status(api, &parsed);
	else
		respond_to_read(api, &parsed);
	protobuf_c_message_free_unpacked(parsed.message, NULL);
}

/* Detaches a closed request from its call; a change continues without it. */
static void
on_request_closed(void *data, struct httpd_request *request, bool complete)
{
	struct pending_call *call = httpd_request_data(request);

	if (call != NULL)
		call->request = NULL;
}

/*
 * Starts the operator API. The error is HTTPD_ERROR. The settings' token must
 * be set. Free the API before the objects that its settings point to.
 */
struct operator_api *
operator_api_new(struct ev_loop *loop,
    const struct operator_api_settings *settings, GError **error)
{
	static const struct httpd_ops ops = {
	    .request = on_request,
	    .closed = on_request_closed,
	};
	struct httpd_settings http = {
	    .address = settings->address,
	    .body_max_bytes = OPERATOR_API_BODY_MAX_BYTES,
	    .bodies_max_bytes = OPERATOR_API_OPEN_CALLS_MAX_BYTES,
	    .certificate_file = settings->certificate_file,
	    .key_file = settings->key_file,
	};
	struct operator_api *api = g_new0(struct operator_api, 1);

	TAILQ_INIT(&api->calls);
	api->tokens = operator_tokens_new(settings->token);
	api->identity = settings->identity;
	api->documents = settings->documents;
	api->mesh = settings->mesh;
	api->writer = settings->writer;
	api->httpd = httpd_new(loop, &http, &ops, api, error);
	if (api->httpd == NULL) {
		operator_api_free(api);
		return NULL;
	}
	return api;
}

/*
 * Closes the API; NULL is allowed. Pending changes are abandoned, so their
 * outcome is unknown. A pending status query continues and its result is
 * dropped.
 */
void
operator_api_free(struct operator_api *api)
{
	struct pending_call *call;
	struct pending_call *next;

	if (api == NULL)
		return;
	httpd_free(api->httpd);
	TAILQ_FOREACH_SAFE (call, &api->calls, entry, next) {
		call->request = NULL;
		if (call->write != NULL) {
			config_write_cancel(call->write);
			free_call(call);
			continue;
		}
		TAILQ_REMOVE(&api->calls, call, entry);
		call->api = NULL;
	}
	operator_tokens_free(api->tokens);
	g_free(api);
}

/* Returns the TCP port that the API listens on. */
int
operator_api_port(const struct operator_api *api)
{
	return httpd_port(api->httpd);
}

/*
 * Reloads the certificate for new connections; open ones are not affected. On
 * error, HTTPD_ERROR, the old certificate stays in use.
 */
bool
operator_api_reload_certificate(struct operator_api *api, GError **error)
{
	return httpd_reload_certificate(api->httpd, error);
}

/* Stops accepting connections; open ones are still served. */
void
operator_api_stop_accepting(struct operator_api *api)
{
	httpd_stop_accepting(api->httpd);
}
