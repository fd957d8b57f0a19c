#include "operator/operator.h"

#include <string.h>

#include "base/httpd.h"
#include "base/metrics.h"
#include "operator/call.h"
#include "operator/rpc_error.h"
#include "operator/tokens.h"
#include "peer/documents.h"
#include "peer/mesh.h"
#include "store/config_writer.h"

#define LOG_MODULE "operator"
#include "base/log.h"

#define RETRY_AFTER_TEXT_BYTES 24
/* When to come back where the platform did not say. */
#define RETRY_AFTER_DEFAULT_MS 1000

#define CALLS_METRIC "heatherturn_operator_calls"
#define CALLS_HELP   "operators' calls by result"

METRIC_DEFINE(
    calls_done, METRIC_COUNTER, CALLS_METRIC, "result=\"done\"", CALLS_HELP);
METRIC_DEFINE(calls_refused, METRIC_COUNTER, CALLS_METRIC, "result=\"refused\"",
    CALLS_HELP);
METRIC_DEFINE(calls_failed, METRIC_COUNTER, CALLS_METRIC, "result=\"failed\"",
    CALLS_HELP);

/* A call as it came in. */
struct incoming {
	struct httpd_request *request;
	const struct call_method *method;
	enum call_form form;
	const char *who; /* made it; of the tokens */
	ProtobufCMessage *message;
};

/* A call that waits for the platform or for the other processes. */
struct call {
	struct operator_rpc *rpc; /* NULL once the interface is gone */
	struct httpd_request *request; /* NULL once the operator hung up */
	const struct call_method *method;
	enum call_form form;
	char *who;
	struct config_edit *edit; /* of a change */
	struct config_write *write;
	uint64_t config_version; /* that a status asks about */
	TAILQ_ENTRY(call) entry;
};

struct operator_rpc {
	struct httpd *httpd;
	struct tokens *tokens;
	const struct link_identity *identity;
	struct documents *documents;
	struct mesh *mesh;
	struct config_writer *writer;
	TAILQ_HEAD(, call) calls;
};

/* Sends an answer in the form of its request. */
static void
send_answer(struct httpd_request *request, enum call_form form, int status,
    const ProtobufCMessage *message, int64_t retry_after_ms)
{
	g_autoptr(GByteArray) body = call_encode(form, message);
	char retry_after[RETRY_AFTER_TEXT_BYTES];
	struct http_header headers[] = {
	    {"Content-Type", call_form_type(form)},
	    {"Retry-After", retry_after},
	};

	g_snprintf(retry_after, sizeof(retry_after), "%" G_GINT64_FORMAT,
	    (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
	httpd_answer(request, status, headers,
	    retry_after_ms > 0 ? G_N_ELEMENTS(headers) : 1, body->data,
	    body->len);
}

/* Answers with the Error message of a failure, and counts it. */
static void
send_error(struct httpd_request *request, enum call_form form,
    const GError *error, const struct config_edit *edit, int64_t retry_after_ms)
{
	int status = rpc_error_status(error);
	Heatherturn__V1__Error *message = rpc_error_message(
	    error, edit, retry_after_ms);

	metric_add(status < 500 ? &calls_refused : &calls_failed, 1);
	LOG_INFO("operator call refused", "{s:s, s:s, s:i}", "path",
	    httpd_request_path(request), "code", rpc_error_code(error),
	    "status", status);
	send_answer(request, form, status, &message->base, retry_after_ms);
	heatherturn__v1__error__free_unpacked(message, NULL);
}

/* Forgets a call that has ended. */
static void
free_call(struct call *call)
{
	if (call->rpc != NULL)
		TAILQ_REMOVE(&call->rpc->calls, call, entry);
	if (call->request != NULL)
		httpd_request_set_data(call->request, NULL);
	config_edit_free(call->edit);
	g_free(call->who);
	g_free(call);
}

/* Makes the record of a call that has to wait. */
static struct call *
new_call(struct operator_rpc *rpc, const struct incoming *in)
{
	struct call *call = g_new0(struct call, 1);

	call->rpc = rpc;
	call->request = in->request;
	call->method = in->method;
	call->form = in->form;
	call->who = g_strdup(in->who);
	TAILQ_INSERT_TAIL(&rpc->calls, call, entry);
	httpd_request_set_data(in->request, call);
	return call;
}

/* Applies a call's change to the newest document; as often as others win. */
static bool
change_document(
    void *data, Heatherturn__V1__ConfigDocument *document, GError **error)
{
	struct call *call = data;

	return config_edit_apply(call->edit, document, error);
}

/* Answers a change once its outcome is known, or known to be unknown. */
static void
change_done(
    void *data, const GError *error, uint64_t version, int64_t retry_after_ms)
{
	struct call *call = data;
	ProtobufCMessage *response;

	LOG_INFO("configuration change", "{s:s, s:s, s:s, s:s, s:I, s:s}",
	    "operator", call->who, "method", call->method->name, "kind",
	    call->edit->kind->name, "id", call->edit->id, "version",
	    (json_int_t)version, "outcome",
	    error == NULL ? "stored" : rpc_error_code(error));
	if (call->request != NULL && error != NULL) {
		send_error(call->request, call->form, error, call->edit,
		    retry_after_ms);
	} else if (call->request != NULL) {
		metric_add(&calls_done, 1);
		response = call_object_response(call->edit, version);
		send_answer(call->request, call->form, 200, response, 0);
		protobuf_c_message_free_unpacked(response, NULL);
	}
	free_call(call);
}

/* Starts a change at the platform. */
static void
start_change(struct operator_rpc *rpc, const struct incoming *in)
{
	static const struct config_write_ops ops = {
	    .change = change_document,
	    .done = change_done,
	};
	g_autoptr(GError) error = NULL;
	struct config_edit *edit = in->method->change(in->message, &error);
	struct call *call;

	if (edit != NULL && rpc->writer == NULL) {
		config_edit_free(edit);
		edit = NULL;
		g_set_error(&error, RPC_ERROR, RPC_ERROR_NO_PLATFORM,
		    "this entry has no platform to store a change with");
	}
	if (edit == NULL) {
		send_error(in->request, in->form, error, NULL, 0);
		return;
	}
	call = new_call(rpc, in);
	call->edit = edit;
	call->write = config_write_start(rpc->writer, &ops, call);
}

/* Fills in what this process would answer to the census itself. */
static struct mesh_peer_status
describe_self(const struct operator_rpc *rpc)
{
	return (struct mesh_peer_status){
	    .address = (char *)rpc->identity->address,
	    .answered = true,
	    .process = (char *)rpc->identity->process,
	    .role = rpc->identity->role,
	    .failure_domain = (char *)rpc->identity->failure_domain,
	    .config_version = documents_version(
		rpc->documents, DOCUMENT_CONFIG),
	    .draining = rpc->identity->draining,
	};
}

/* Answers a status with this process and those that were asked. */
static void
census_done(void *data, const struct mesh_peer_status *entries, size_t count)
{
	struct call *call = data;
	g_autofree struct mesh_peer_status *all = g_new0(
	    struct mesh_peer_status, count + 1);
	ProtobufCMessage *response;

	if (call->rpc != NULL && call->request != NULL) {
		all[0] = describe_self(call->rpc);
		if (count > 0)
			memcpy(&all[1], entries, count * sizeof(all[0]));
		response = call_status_response(
		    call->config_version, all, count + 1);
		metric_add(&calls_done, 1);
		send_answer(call->request, call->form, 200, response, 0);
		protobuf_c_message_free_unpacked(response, NULL);
	}
	free_call(call);
}

/* Asks all other known processes what is in force with them. */
static void
start_status(struct operator_rpc *rpc, const struct incoming *in)
{
	struct call *call = new_call(rpc, in);
	size_t count;
	const char *const *peers = mesh_peers(rpc->mesh, &count);
	g_autofree const char **others = g_new0(const char *, count + 1);
	size_t used = 0;

	call->config_version = ((const Heatherturn__V1__StatusRequest *)
				    in->message)
				   ->config_version;
	if (call->config_version == 0)
		call->config_version = documents_version(
		    rpc->documents, DOCUMENT_CONFIG);
	for (size_t i = 0; i < count; i++) {
		if (g_strcmp0(peers[i], rpc->identity->address) != 0)
			others[used++] = peers[i];
	}
	if (used == 0)
		census_done(call, NULL, 0);
	else
		mesh_query_status(rpc->mesh, others, used, OPERATOR_CENSUS_MS,
		    census_done, call);
}

/* Answers a call that only reads the configuration in force here. */
static void
answer_read(struct operator_rpc *rpc, const struct incoming *in)
{
	g_autoptr(GError) error = NULL;
	ProtobufCMessage *response = in->method->read(
	    in->message, documents_config(rpc->documents), &error);

	if (response == NULL) {
		send_error(in->request, in->form, error, NULL, 0);
		return;
	}
	metric_add(&calls_done, 1);
	send_answer(in->request, in->form, 200, response, 0);
	protobuf_c_message_free_unpacked(response, NULL);
}

/* Checks a request's head and decodes its body; false with an error. */
static bool
open_request(
    const struct operator_rpc *rpc, struct incoming *in, GError **error)
{
	const char *type = httpd_request_header(in->request, "Content-Type");
	const char *authorisation = httpd_request_header(
	    in->request, "Authorization");
	const uint8_t *body;
	size_t length;

	if (!call_form_parse(type, &in->form, error))
		return false;
	in->who = tokens_check(rpc->tokens, authorisation, error);
	if (in->who == NULL)
		return false;
	in->method = call_method_find(httpd_request_path(in->request), error);
	if (in->method == NULL)
		return false;
	if (strcmp(httpd_request_method(in->request), "POST") != 0) {
		g_set_error(error, RPC_ERROR, RPC_ERROR_VERB,
		    "calls are made with POST");
		return false;
	}
	body = httpd_request_body(in->request, &length);
	in->message = call_decode(in->method, in->form, body, length, error);
	return in->message != NULL;
}

/* A whole request has come. */
static void
request_came(void *data, struct httpd_request *request)
{
	struct operator_rpc *rpc = data;
	struct incoming in = {.request = request};
	g_autoptr(GError) error = NULL;

	if (!open_request(rpc, &in, &error)) {
		send_error(request, in.form, error, NULL, 0);
		return;
	}
	if (in.method->change != NULL)
		start_change(rpc, &in);
	else if (in.method->status)
		start_status(rpc, &in);
	else
		answer_read(rpc, &in);
	protobuf_c_message_free_unpacked(in.message, NULL);
}

/* The request is over; a change that was begun goes on without it. */
static void
request_closed(void *data, struct httpd_request *request, bool whole)
{
	struct call *call = httpd_request_data(request);

	if (call != NULL)
		call->request = NULL;
}

/*
 * Opens the operators' interface. The error is HTTPD_ERROR. Needs a token; free
 * it before what its settings lend.
 */
struct operator_rpc *
operator_new(struct ev_loop *loop, const struct operator_settings *settings,
    GError **error)
{
	static const struct httpd_ops ops = {
	    .request = request_came,
	    .closed = request_closed,
	};
	struct httpd_settings http = {
	    .address = settings->address,
	    .body_max_bytes = OPERATOR_BODY_MAX_BYTES,
	    .bodies_max_bytes = OPERATOR_BODIES_MAX_BYTES,
	    .certificate_file = settings->certificate_file,
	    .key_file = settings->key_file,
	};
	struct operator_rpc *rpc = g_new0(struct operator_rpc, 1);

	TAILQ_INIT(&rpc->calls);
	rpc->tokens = tokens_new(settings->token);
	rpc->identity = settings->identity;
	rpc->documents = settings->documents;
	rpc->mesh = settings->mesh;
	rpc->writer = settings->writer;
	rpc->httpd = httpd_new(loop, &http, &ops, rpc, error);
	if (rpc->httpd == NULL) {
		operator_free(rpc);
		return NULL;
	}
	return rpc;
}

/*
 * Closes the interface; takes NULL. Changes under way are forgotten, so that
 * their outcome is unknown; a census under way ends by itself.
 */
void
operator_free(struct operator_rpc *rpc)
{
	struct call *call;
	struct call *next;

	if (rpc == NULL)
		return;
	httpd_free(rpc->httpd);
	TAILQ_FOREACH_SAFE (call, &rpc->calls, entry, next) {
		call->request = NULL;
		if (call->write != NULL) {
			config_write_forget(call->write);
			free_call(call);
			continue;
		}
		TAILQ_REMOVE(&rpc->calls, call, entry);
		call->rpc = NULL;
	}
	tokens_free(rpc->tokens);
	g_free(rpc);
}

/* Returns the port that is listened on. */
int
operator_port(const struct operator_rpc *rpc)
{
	return httpd_port(rpc->httpd);
}

/*
 * Reads the certificate anew for connections to come; open ones go on. The
 * error is HTTPD_ERROR, and the old certificate stays.
 */
bool
operator_reload_certificate(struct operator_rpc *rpc, GError **error)
{
	return httpd_reload_certificate(rpc->httpd, error);
}

/* Takes no new connections, while open calls are answered. */
void
operator_stop_accepting(struct operator_rpc *rpc)
{
	httpd_stop_accepting(rpc->httpd);
}
