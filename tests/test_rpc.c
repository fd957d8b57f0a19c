/*
 * Operator calls without sockets: authentication, decoding of requests,
 * encoding of responses, and the mapping of errors.
 */
#include <string.h>

#include <glib.h>

#include "operator/operator_tokens.h"
#include "operator/protobuf_json.h"
#include "operator/rpc.h"
#include "operator/rpc_error.h"
#include "store/config_writer.h"

#define FUZZ_ROUNDS    20000
#define FUZZ_MAX_BYTES 48

#define CALL(name) "/heatherturn.v1.Operator/" name

static const char token_file[] = "secret\n\n  serra\tone-of-theirs\n"
				 "vestiario  another\n";

static const struct token_case {
	const char *header;
	int code; /* where it is rejected */
	const char *identity; /* NULL where it is rejected */
} token_cases[] = {
    {NULL, RPC_ERROR_NO_TOKEN, NULL},
    {"", RPC_ERROR_NO_TOKEN, NULL},
    {"Basic secret", RPC_ERROR_NO_TOKEN, NULL},
    {"Bearer ", RPC_ERROR_WRONG_TOKEN, NULL},
    {"Bearer secre", RPC_ERROR_WRONG_TOKEN, NULL},
    {"Bearer secrets", RPC_ERROR_WRONG_TOKEN, NULL},
    {"Bearer Secret", RPC_ERROR_WRONG_TOKEN, NULL},
    {"Bearer vestiario  another", RPC_ERROR_WRONG_TOKEN, NULL},
    {"Bearer vestiario", RPC_ERROR_WRONG_TOKEN, NULL},
    {"Bearer secret", 0, "operator"},
    {"bearer secret", 0, "operator"},
    {"Bearer one-of-theirs", 0, "serra"},
    {"Bearer another", 0, "vestiario"},
};

/* Only a complete token authenticates a call, and it identifies the caller. */
static void
test_token(void)
{
	struct operator_tokens *tokens = operator_tokens_new(token_file);

	for (size_t i = 0; i < G_N_ELEMENTS(token_cases); i++) {
		const struct token_case *test = &token_cases[i];
		g_autoptr(GError) error = NULL;
		const char *identity = operator_tokens_check(
		    tokens, test->header, &error);

		g_assert_cmpstr(identity, ==, test->identity);
		if (test->identity == NULL)
			g_assert_error(error, RPC_ERROR, test->code);
	}
	operator_tokens_free(tokens);
	operator_tokens_free(NULL);
}

static const struct request_case {
	const char *path;
	const char *content_type;
	const char *body;
	int status; /* 200 where it is decoded */
	const char *field; /* of the error, or NULL */
} request_cases[] = {
    {CALL("List"), NULL, "", 200, NULL},
    {CALL("List"), "application/json; charset=utf-8", "{}", 200, NULL},
    {CALL("List"), "application/proto", "", 200, NULL},
    {CALL("List"), "Application/X-Protobuf", "\x08\x01", 200, NULL},
    {CALL("List"), "text/plain", "{}", 415, NULL},
    {CALL("Lost"), NULL, "{}", 404, NULL},
    {"/", NULL, "{}", 404, NULL},
    {"/heatherturn.v2.Operator/List", NULL, "{}", 404, NULL},
    {CALL("List"), NULL, "{", 400, "body"},
    {CALL("List"), NULL, "{\"kind\":\"cat\"}", 400, "kind"},
    {CALL("List"), "application/proto", "\xff", 400, NULL},
    {CALL("Delete"), NULL, "{\"kind\":\"service\",\"version\":-1}", 400,
	"version"},
};

/* Each request is decoded, or rejected with its status and field. */
static void
test_request(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(request_cases); i++) {
		const struct request_case *test = &request_cases[i];
		g_autoptr(GError) error = NULL;
		const struct rpc_method *method;
		ProtobufCMessage *message = NULL;
		Heatherturn__V1__Error *response;
		enum rpc_encoding encoding;

		if (rpc_encoding_parse(test->content_type, &encoding, &error)) {
			method = rpc_method_find(test->path, &error);
			if (method != NULL)
				message = rpc_decode_request(method, encoding,
				    (const uint8_t *)test->body,
				    strlen(test->body), &error);
		}
		if (test->status == 200) {
			g_assert_nonnull(message);
			protobuf_c_message_free_unpacked(message, NULL);
			continue;
		}
		g_assert_null(message);
		g_assert_cmpint(rpc_error_status(error), ==, test->status);
		response = rpc_error_message_new(error, NULL, 0);
		g_assert_cmpstr(response->field, ==,
		    test->field == NULL ? "" : test->field);
		heatherturn__v1__error__free_unpacked(response, NULL);
	}
}

static const struct error_case {
	GQuark (*domain)(void);
	int code;
	int status;
	const char *name;
	bool outcome_unknown;
} error_cases[] = {
    {config_write_error_quark, CONFIG_WRITE_ERROR_CONFLICT, 409, "conflict",
	false},
    {config_write_error_quark, CONFIG_WRITE_ERROR_TOO_LARGE, 413, "too_large",
	false},
    {config_write_error_quark, CONFIG_WRITE_ERROR_UNAVAILABLE, 503,
	"unavailable", false},
    {config_write_error_quark, CONFIG_WRITE_ERROR_OUTCOME_UNKNOWN, 504,
	"outcome_unknown", true},
    {config_write_error_quark, CONFIG_WRITE_ERROR_MALFORMED, 500, "internal",
	false},
    {config_edit_error_quark, CONFIG_EDIT_ERROR_EXISTS, 409, "already_exists",
	false},
    {config_edit_error_quark, CONFIG_EDIT_ERROR_IN_USE, 409, "in_use", false},
    {config_edit_error_quark, CONFIG_EDIT_ERROR_NOT_FOUND, 404, "not_found",
	false},
    {config_error_quark, CONFIG_ERROR_INVALID, 400, "invalid", false},
    {protobuf_json_error_quark, PROTOBUF_JSON_ERROR_FIELD, 400, "invalid",
	false},
    {rpc_error_quark, RPC_ERROR_HTTP_METHOD, 405, "verb", false},
};

/* Each error has its status and code; only one is an unknown outcome. */
static void
test_error_mapping(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(error_cases); i++) {
		const struct error_case *test = &error_cases[i];
		g_autoptr(GError) error = g_error_new_literal(
		    test->domain(), test->code, "field: what");
		Heatherturn__V1__Error *response = rpc_error_message_new(
		    error, NULL, 1500);

		g_assert_cmpint(rpc_error_status(error), ==, test->status);
		g_assert_cmpstr(response->code, ==, test->name);
		g_assert_cmpint(
		    response->outcome_unknown, ==, test->outcome_unknown);
		g_assert_cmpuint(response->retry_after_ms, ==, 1500);
		heatherturn__v1__error__free_unpacked(response, NULL);
	}
}

/* A conflict returns the current object. */
static void
test_conflict(void)
{
	Heatherturn__V1__FailureDomain domain =
	    HEATHERTURN__V1__FAILURE_DOMAIN__INIT;
	g_autoptr(GError) error = g_error_new_literal(
	    CONFIG_EDIT_ERROR, CONFIG_EDIT_ERROR_CONFLICT, "other");
	struct config_edit *edit = config_edit_new(CONFIG_EDIT_DELETE,
	    object_kind_find_by_name("failure-domain"), "a", 1);
	Heatherturn__V1__Error *response;

	domain.id = (char *)"a";
	domain.version = 4;
	edit->result = object_copy(&domain.base);
	response = rpc_error_message_new(error, edit, 0);
	g_assert_cmpuint(response->current->failure_domain->version, ==, 4);
	heatherturn__v1__error__free_unpacked(response, NULL);
	config_edit_free(edit);
}

/* No response and an older version both count as not in force. */
static void
test_status(void)
{
	const struct mesh_peer_status entries[] = {
	    {.address = (char *)"10.0.0.1:7",
		.answered = true,
		.process = (char *)"e1",
		.role = ROLE_ENTRY,
		.failure_domain = (char *)"a",
		.config_version = 5},
	    {.address = (char *)"10.0.0.2:7",
		.answered = true,
		.process = (char *)"s1",
		.role = ROLE_SIDECAR,
		.failure_domain = (char *)"a",
		.config_version = 4},
	    {.address = (char *)"10.0.0.3:7"},
	};
	Heatherturn__V1__StatusResponse *status =
	    (Heatherturn__V1__StatusResponse *)rpc_status_response_new(
		5, entries, G_N_ELEMENTS(entries));

	g_assert_cmpuint(status->in_force, ==, 1);
	g_assert_cmpuint(status->processes, ==, 3);
	g_assert_cmpstr(status->process[1]->role, ==, "sidecar");
	g_assert_false(status->process[2]->answered);
	heatherturn__v1__status_response__free_unpacked(status, NULL);
}

/* Random bodies in both encodings give a message or an error, never both. */
static void
test_random(void)
{
	const struct rpc_method *method = rpc_method_find(CALL("Update"), NULL);
	uint8_t body[FUZZ_MAX_BYTES];

	for (int round = 0; round < FUZZ_ROUNDS; round++) {
		size_t length = (size_t)g_test_rand_int_range(
		    0, FUZZ_MAX_BYTES);
		g_autoptr(GError) error = NULL;
		enum rpc_encoding encoding = g_test_rand_bit()
		    ? RPC_ENCODING_JSON
		    : RPC_ENCODING_PROTOBUF;
		ProtobufCMessage *message;

		for (size_t i = 0; i < length; i++)
			body[i] = (uint8_t)g_test_rand_int_range(0, 64);
		message = rpc_decode_request(
		    method, encoding, body, length, &error);
		g_assert_true((message == NULL) == (error != NULL));
		if (message != NULL) {
			g_autoptr(GByteArray) text = rpc_encode_response(
			    RPC_ENCODING_JSON, message);

			g_assert_cmpuint(text->len, >, 0);
			protobuf_c_message_free_unpacked(message, NULL);
		}
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/rpc/only a complete token authenticates a call", test_token);
	g_test_add_func(
	    "/rpc/each request is decoded or rejected with its status",
	    test_request);
	g_test_add_func(
	    "/rpc/each error has its status and code", test_error_mapping);
	g_test_add_func(
	    "/rpc/a conflict returns the current object", test_conflict);
	g_test_add_func(
	    "/rpc/a missing response counts as not in force", test_status);
	g_test_add_func(
	    "/rpc/random bodies give a message or an error", test_random);
	return g_test_run();
}
