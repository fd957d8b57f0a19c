/*
 * JSON of the protobuf messages: a round trip gives the same message, and each
 * error names the field by its path.
 */
#include <string.h>

#include <glib.h>

#include "heatherturn/v1/operator.pb-c.h"
#include "operator/protobuf_json.h"

#define FUZZ_ROUNDS    20000
#define FUZZ_MAX_BYTES 64

#define UPDATE (&heatherturn__v1__update_request__descriptor)

/* Decodes a message from JSON text; returns NULL and an error on failure. */
static ProtobufCMessage *
decode_text(const ProtobufCMessageDescriptor *descriptor, const char *text,
    size_t length, GError **error)
{
	json_t *json = protobuf_json_parse(text, length, error);
	ProtobufCMessage *message;

	if (json == NULL)
		return NULL;
	message = protobuf_json_decode(descriptor, json, error);
	json_decref(json);
	return message;
}

static const struct fault_case {
	const char *text;
	int code;
	const char *field;
} fault_cases[] = {
    {"{", PROTOBUF_JSON_ERROR_SYNTAX, "body"},
    {"[]", PROTOBUF_JSON_ERROR_TYPE, "body"},
    {"{\"thing\":1}", PROTOBUF_JSON_ERROR_FIELD, "thing"},
    {"{\"object\":{\"organisation\":{\"wieght\":1}}}",
	PROTOBUF_JSON_ERROR_FIELD, "object.organisation.wieght"},
    {"{\"object\":{\"organisation\":{\"weight\":\"x\"}}}",
	PROTOBUF_JSON_ERROR_RANGE, "object.organisation.weight"},
    {"{\"object\":{\"organisation\":{\"weight\":-1}}}",
	PROTOBUF_JSON_ERROR_RANGE, "object.organisation.weight"},
    {"{\"object\":{\"organisation\":{\"weight\":4294967296}}}",
	PROTOBUF_JSON_ERROR_RANGE, "object.organisation.weight"},
    {"{\"object\":{\"organisation\":{\"weight\":1.5}}}",
	PROTOBUF_JSON_ERROR_TYPE, "object.organisation.weight"},
    {"{\"object\":{\"organisation\":{\"id\":7}}}", PROTOBUF_JSON_ERROR_TYPE,
	"object.organisation.id"},
    {"{\"object\":{\"organisation\":{\"services\":[\"a\",1]}}}",
	PROTOBUF_JSON_ERROR_TYPE, "object.organisation.services[1]"},
    {"{\"object\":{\"organisation\":{\"api_key_sha256\":[\"a\"],"
     "\"apiKeySha256\":[\"b\"]}}}",
	PROTOBUF_JSON_ERROR_FIELD, "object.organisation.apiKeySha256"},
    {"{\"object\":{\"organisation\":{\"displayName\":\"a\","
     "\"display_name\":\"b\"}}}",
	PROTOBUF_JSON_ERROR_FIELD, "object.organisation.display_name"},
    {"{\"object\":{\"failure_domain\":{\"state\":\"gone\"}}}",
	PROTOBUF_JSON_ERROR_VALUE, "object.failure_domain.state"},
    {"{\"object\":{\"organisation\":{},\"service\":{}}}",
	PROTOBUF_JSON_ERROR_ONEOF, "object.service"},
    {"{\"object\":{\"upstream\":{\"checks_fencing\":1}}}",
	PROTOBUF_JSON_ERROR_TYPE, "object.upstream.checks_fencing"},
};

/* Each error has its code and names its field. */
static void
test_faults(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
		const struct fault_case *fault = &fault_cases[i];
		g_autofree char *field = NULL;
		GError *error = NULL;

		g_assert_null(decode_text(
		    UPDATE, fault->text, strlen(fault->text), &error));
		g_assert_error(error, PROTOBUF_JSON_ERROR, fault->code);
		field = protobuf_json_error_field(error);
		g_assert_cmpstr(field, ==, fault->field);
		g_error_free(error);
	}
}

/* Both spellings of field names and values give the same JSON. */
static void
test_spellings(void)
{
	static const char *const texts[] = {
	    "{\"object\":{\"rollout\":{\"id\":\"verse\",\"version\":"
	    "\"18446744073709551615\",\"model_version\":\"v2\","
	    "\"step_percent\":[10,100],\"state\":\"paused\",\"adapter\":"
	    "null}}}",
	    "{\"object\":{\"rollout\":{\"id\":\"verse\",\"version\":"
	    "\"18446744073709551615\",\"modelVersion\":\"v2\","
	    "\"stepPercent\":[10,\"100\"],\"state\":"
	    "\"ROLLOUT_STATE_PAUSED\"}}}",
	};
	g_autofree char *first = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		ProtobufCMessage *message = decode_text(
		    UPDATE, texts[i], strlen(texts[i]), NULL);
		json_t *json = protobuf_json_encode(message);
		char *text = json_dumps(json, JSON_SORT_KEYS);

		if (first == NULL)
			first = g_strdup(text);
		g_assert_cmpstr(text, ==, first);
		g_assert_nonnull(strstr(text, "\"state\": \"paused\""));
		g_assert_nonnull(strstr(text, "\"18446744073709551615\""));
		free(text);
		json_decref(json);
		protobuf_c_message_free_unpacked(message, NULL);
	}
}

/* Random sequences of JSON tokens give a message or an error, never both. */
static void
test_random(void)
{
	static const char *const fragments[] = {"{", "}", "[", "]", ":", ",",
	    "\"object\"", "\"organisation\"", "\"services\"", "\"weight\"",
	    "\"id\"", "1", "null", "\"x\"", "-1", "true", "\"\xff\""};

	for (int round = 0; round < FUZZ_ROUNDS; round++) {
		g_autoptr(GString) text = g_string_new("{\"object\":");
		g_autoptr(GError) error = NULL;
		ProtobufCMessage *message;

		while (text->len < FUZZ_MAX_BYTES && !g_test_rand_bit())
			g_string_append(text,
			    fragments[g_test_rand_int_range(
				0, G_N_ELEMENTS(fragments))]);
		g_string_append(text, "}");
		message = decode_text(UPDATE, text->str, text->len, &error);
		g_assert_true((message == NULL) == (error != NULL));
		if (message != NULL)
			protobuf_c_message_free_unpacked(message, NULL);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/protobuf_json/each error has its code and field", test_faults);
	g_test_add_func(
	    "/protobuf_json/both spellings of a name give the same JSON",
	    test_spellings);
	g_test_add_func(
	    "/protobuf_json/random tokens give a message or an error",
	    test_random);
	return g_test_run();
}
