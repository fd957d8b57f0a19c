/*
 * Edits of the configuration: applied completely, or rejected with an error
 * that names the field or returns the current object.
 */
#include <string.h>

#include <glib.h>

#include "config/config.h"
#include "config/edit.h"
#include "config/validate.h"
#include "operator/protobuf_json.h"

#define NEXT_VERSION	       10
#define ORGANISATIONS_TOO_MANY 16000
#define DIGEST_A                           \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

/* The document, at version 9, that every case starts from. */
static const char base_document[] =
    "{\"version\":9,"
    "\"organisations\":[{\"id\":\"serra\",\"version\":3,\"weight\":1,"
    "\"api_key_sha256\":[\"" DIGEST_A "\"],\"services\":[\"verse\"]}],"
    "\"services\":["
    "{\"id\":\"verse\",\"version\":4,\"kind\":\"model\","
    "\"short_deadline_ms\":1000,\"long_deadline_ms\":2000,"
    "\"long_threshold_tokens\":9,\"default_output_tokens\":5},"
    "{\"id\":\"orders\",\"version\":5,\"kind\":\"plain\","
    "\"path_prefix\":\"/orders\",\"short_deadline_ms\":1000,"
    "\"long_deadline_ms\":2000,\"long_threshold_tokens\":9,"
    "\"default_output_tokens\":5}],"
    "\"failure_domains\":[{\"id\":\"a\",\"version\":6,\"region\":\"south\","
    "\"state\":\"in_service\"},{\"id\":\"spare\",\"version\":6,"
    "\"region\":\"south\",\"state\":\"taken_out\"}],"
    "\"rollouts\":[{\"id\":\"verse\",\"version\":7,\"model\":\"m\","
    "\"model_version\":\"1\",\"step_percent\":[100],"
    "\"state\":\"running\"}],"
    "\"upstreams\":[{\"id\":\"u1\",\"version\":8,\"service\":\"verse\","
    "\"failure_domain\":\"a\",\"sidecar_address\":\"10.0.0.1:7\","
    "\"dialect\":\"engine\",\"state\":\"in_service\","
    "\"memory_tokens\":1000,\"slots\":4,\"cold_slots\":1,"
    "\"prefill_tokens_per_s\":100}]}";

enum expected_error {
	NO_ERROR,
	EDIT_ERROR,
	INVALID_ERROR,
};

static const struct edit_case {
	const char *name;
	enum config_edit_verb verb;
	const char *kind; /* delete, take-out, bring-back */
	const char *target; /* JSON of an Object, or an id */
	uint64_t version;
	enum expected_error error_domain;
	int code;
	const char *message_part; /* part of the message */
} edit_cases[] = {
    {"a new organisation gets defaults", CONFIG_EDIT_CREATE, NULL,
	"{\"organisation\":{\"id\":\"n\"}}", 0, NO_ERROR, 0, NULL},
    {"an update of the current version is applied", CONFIG_EDIT_UPDATE, NULL,
	"{\"organisation\":{\"id\":\"serra\",\"version\":3}}", 0, NO_ERROR, 0,
	NULL},
    {"an object without references can be deleted", CONFIG_EDIT_DELETE,
	"organisation", "serra", 3, NO_ERROR, 0, NULL},
    {"a failure domain is taken out", CONFIG_EDIT_TAKE_OUT, "failure-domain",
	"a", 0, NO_ERROR, 0, NULL},
    {"taking out a domain that is out is no error", CONFIG_EDIT_TAKE_OUT,
	"failure_domain", "spare", 0, NO_ERROR, 0, NULL},
    {"a failure domain is brought back", CONFIG_EDIT_BRING_BACK,
	"failure_domains", "spare", 0, NO_ERROR, 0, NULL},
    {"an object can't be created twice", CONFIG_EDIT_CREATE, NULL,
	"{\"organisation\":{\"id\":\"serra\"}}", 0, EDIT_ERROR,
	CONFIG_EDIT_ERROR_EXISTS, "at version 3"},
    {"an update of an older version is a conflict", CONFIG_EDIT_UPDATE, NULL,
	"{\"organisation\":{\"id\":\"serra\",\"version\":2}}", 0, EDIT_ERROR,
	CONFIG_EDIT_ERROR_CONFLICT, "at version 3"},
    {"an update without a version is a conflict", CONFIG_EDIT_UPDATE, NULL,
	"{\"organisation\":{\"id\":\"serra\"}}", 0, EDIT_ERROR,
	CONFIG_EDIT_ERROR_CONFLICT, "is for version 0"},
    {"a delete of an older version is a conflict", CONFIG_EDIT_DELETE,
	"organisation", "serra", 2, EDIT_ERROR, CONFIG_EDIT_ERROR_CONFLICT,
	"serra"},
    {"an object that doesn't exist can't be updated", CONFIG_EDIT_UPDATE, NULL,
	"{\"organisation\":{\"id\":\"x\",\"version\":3}}", 0, EDIT_ERROR,
	CONFIG_EDIT_ERROR_NOT_FOUND, "'x'"},
    {"a domain that doesn't exist can't be taken out", CONFIG_EDIT_TAKE_OUT,
	"failure_domain", "x", 0, EDIT_ERROR, CONFIG_EDIT_ERROR_NOT_FOUND,
	"'x'"},
    {"a service in use can't be deleted", CONFIG_EDIT_DELETE, "service",
	"verse", 4, EDIT_ERROR, CONFIG_EDIT_ERROR_IN_USE, "upstream 'u1'"},
    {"a failure domain in use can't be deleted", CONFIG_EDIT_DELETE,
	"failure_domain", "a", 6, EDIT_ERROR, CONFIG_EDIT_ERROR_IN_USE,
	"upstream 'u1'"},
    {"an object is required", CONFIG_EDIT_CREATE, NULL, "{}", 0, EDIT_ERROR,
	CONFIG_EDIT_ERROR_MALFORMED, "object"},
    {"an id is a name", CONFIG_EDIT_CREATE, NULL,
	"{\"organisation\":{\"id\":\"a b\"}}", 0, INVALID_ERROR, 0,
	"organisations.id"},
    {"an id is required", CONFIG_EDIT_CREATE, NULL, "{\"organisation\":{}}", 0,
	INVALID_ERROR, 0, "organisations.id"},
    {"a weight is at most 1000", CONFIG_EDIT_CREATE, NULL,
	"{\"organisation\":{\"id\":\"n\",\"weight\":1001}}", 0, INVALID_ERROR,
	0, "organisations.weight"},
    {"a key is given as its digest", CONFIG_EDIT_CREATE, NULL,
	"{\"organisation\":{\"id\":\"n\",\"api_key_sha256\":[\"secret\"]}}", 0,
	INVALID_ERROR, 0, "organisations.api_key_sha256"},
    {"two organisations never share a key", CONFIG_EDIT_CREATE, NULL,
	"{\"organisation\":{\"id\":\"n\",\"api_key_sha256\":[\"" DIGEST_A
	"\"]}}",
	0, INVALID_ERROR, 0, "already used by 'serra'"},
    {"an organisation's services exist", CONFIG_EDIT_CREATE, NULL,
	"{\"organisation\":{\"id\":\"n\",\"services\":[\"x\"]}}", 0,
	INVALID_ERROR, 0, "organisations.services"},
    {"a service has a kind", CONFIG_EDIT_CREATE, NULL,
	"{\"service\":{\"id\":\"n\"}}", 0, INVALID_ERROR, 0, "services.kind"},
    {"a plain service has a path", CONFIG_EDIT_CREATE, NULL,
	"{\"service\":{\"id\":\"n\",\"kind\":\"plain\"}}", 0, INVALID_ERROR, 0,
	"services.path_prefix"},
    {"two plain services never share a path", CONFIG_EDIT_CREATE, NULL,
	"{\"service\":{\"id\":\"n\",\"kind\":\"plain\",\"path_prefix\":"
	"\"/orders\"}}",
	0, INVALID_ERROR, 0, "already used by 'orders'"},
    {"a path below that of the models is rejected", CONFIG_EDIT_CREATE, NULL,
	"{\"service\":{\"id\":\"n\",\"kind\":\"plain\",\"path_prefix\":"
	"\"/v1/x\"}}",
	0, INVALID_ERROR, 0, "services.path_prefix"},
    {"the long deadline is at least the short one", CONFIG_EDIT_CREATE, NULL,
	"{\"service\":{\"id\":\"n\",\"kind\":\"model\",\"long_deadline_ms\":"
	"20}}",
	0, INVALID_ERROR, 0, "services.long_deadline_ms"},
    {"a failure domain has a region", CONFIG_EDIT_CREATE, NULL,
	"{\"failure_domain\":{\"id\":\"n\"}}", 0, INVALID_ERROR, 0,
	"failure_domains.region"},
    {"a rollout has the id of a service", CONFIG_EDIT_CREATE, NULL,
	"{\"rollout\":{\"id\":\"x\"}}", 0, INVALID_ERROR, 0, "rollouts.id"},
    {"a rollout's service is a model", CONFIG_EDIT_CREATE, NULL,
	"{\"rollout\":{\"id\":\"orders\",\"model\":\"m\",\"model_version\":"
	"\"2\"}}",
	0, INVALID_ERROR, 0, "rollouts.id"},
    {"a rollout's steps rise", CONFIG_EDIT_UPDATE, NULL,
	"{\"rollout\":{\"id\":\"verse\",\"version\":7,\"model\":\"m\","
	"\"model_version\":\"2\",\"step_percent\":[50,50,100]}}",
	0, INVALID_ERROR, 0, "rollouts.step_percent"},
    {"a rollout ends with 100 percent", CONFIG_EDIT_UPDATE, NULL,
	"{\"rollout\":{\"id\":\"verse\",\"version\":7,\"model\":\"m\","
	"\"model_version\":\"2\",\"step_percent\":[50]}}",
	0, INVALID_ERROR, 0, "rollouts.step_percent"},
    {"a rollout's step is one of its steps", CONFIG_EDIT_UPDATE, NULL,
	"{\"rollout\":{\"id\":\"verse\",\"version\":7,\"model\":\"m\","
	"\"model_version\":\"2\",\"step\":1}}",
	0, INVALID_ERROR, 0, "rollouts.step"},
    {"rolling back needs a previous version", CONFIG_EDIT_UPDATE, NULL,
	"{\"rollout\":{\"id\":\"verse\",\"version\":7,\"model\":\"m\","
	"\"model_version\":\"2\",\"state\":\"rolled_back\"}}",
	0, INVALID_ERROR, 0, "rollouts.previous_model_version"},
    {"an upstream's failure domain exists", CONFIG_EDIT_CREATE, NULL,
	"{\"upstream\":{\"id\":\"n\",\"service\":\"verse\","
	"\"failure_domain\":\"x\"}}",
	0, INVALID_ERROR, 0, "upstreams.failure_domain"},
    {"an upstream's address is numeric", CONFIG_EDIT_CREATE, NULL,
	"{\"upstream\":{\"id\":\"n\",\"service\":\"verse\","
	"\"failure_domain\":\"a\",\"sidecar_address\":\"host:7\"}}",
	0, INVALID_ERROR, 0, "upstreams.sidecar_address"},
    {"two upstreams never share a sidecar", CONFIG_EDIT_CREATE, NULL,
	"{\"upstream\":{\"id\":\"n\",\"service\":\"verse\","
	"\"failure_domain\":\"a\",\"sidecar_address\":\"10.0.0.1:7\","
	"\"memory_tokens\":1}}",
	0, INVALID_ERROR, 0, "already used by 'u1'"},
    {"an engine has memory", CONFIG_EDIT_CREATE, NULL,
	"{\"upstream\":{\"id\":\"n\",\"service\":\"verse\","
	"\"failure_domain\":\"a\",\"sidecar_address\":\"10.0.0.2:7\"}}",
	0, INVALID_ERROR, 0, "upstreams.memory_tokens"},
    {"a plain service's upstream has the plain dialect", CONFIG_EDIT_CREATE,
	NULL,
	"{\"upstream\":{\"id\":\"n\",\"service\":\"orders\","
	"\"failure_domain\":\"a\",\"sidecar_address\":\"10.0.0.2:7\"}}",
	0, INVALID_ERROR, 0, "upstreams.dialect"},
    {"a cold upstream has no more slots than a warm one", CONFIG_EDIT_CREATE,
	NULL,
	"{\"upstream\":{\"id\":\"n\",\"service\":\"verse\","
	"\"failure_domain\":\"a\",\"sidecar_address\":\"10.0.0.2:7\","
	"\"memory_tokens\":1,\"slots\":2,\"cold_slots\":3}}",
	0, INVALID_ERROR, 0, "upstreams.cold_slots"},
};

/* Decodes a message from JSON that must be valid. */
static ProtobufCMessage *
read_message(const ProtobufCMessageDescriptor *descriptor, const char *text)
{
	json_t *json = protobuf_json_parse(text, strlen(text), NULL);
	ProtobufCMessage *message = protobuf_json_decode(
	    descriptor, json, NULL);

	g_assert_nonnull(message);
	json_decref(json);
	return message;
}

/* Returns the base document as it is before the write of the next version. */
static Heatherturn__V1__ConfigDocument *
make_document(void)
{
	Heatherturn__V1__ConfigDocument
	    *document = (Heatherturn__V1__ConfigDocument *)read_message(
		&heatherturn__v1__config_document__descriptor, base_document);

	document->version = NEXT_VERSION;
	return document;
}

/*
 * Creates a case's edit; returns NULL with an error where it can't be created.
 */
static struct config_edit *
make_edit(const struct edit_case *test, GError **error)
{
	struct config_edit *edit;
	ProtobufCMessage *object;

	if (test->kind != NULL)
		return config_edit_new(test->verb,
		    object_kind_find_by_name(test->kind), test->target,
		    test->version);
	object = read_message(
	    &heatherturn__v1__object__descriptor, test->target);
	edit = config_edit_new_object(
	    test->verb, (Heatherturn__V1__Object *)object, error);
	protobuf_c_message_free_unpacked(object, NULL);
	return edit;
}

/* Runs one case of edit_cases on a fresh base document. */
static void
test_edit(gconstpointer data)
{
	const struct edit_case *test = data;
	Heatherturn__V1__ConfigDocument *document = make_document();
	g_autoptr(GError) error = NULL;
	struct config_edit *edit = make_edit(test, &error);
	bool applied = edit != NULL &&
	    config_edit_apply(edit, document, &error);

	g_assert_cmpint(applied, ==, test->error_domain == NO_ERROR);
	if (test->error_domain == EDIT_ERROR)
		g_assert_error(error, CONFIG_EDIT_ERROR, test->code);
	if (test->error_domain == INVALID_ERROR)
		g_assert_error(error, CONFIG_ERROR, CONFIG_ERROR_INVALID);
	if (!applied)
		g_assert_nonnull(strstr(error->message, test->message_part));
	if (applied && test->verb != CONFIG_EDIT_DELETE)
		g_assert_cmpuint(
		    object_version(edit->kind, edit->result), ==, NEXT_VERSION);
	if (test->error_domain == EDIT_ERROR &&
	    test->code == CONFIG_EDIT_ERROR_CONFLICT)
		g_assert_cmpuint(
		    object_version(edit->kind, edit->result), ==, 3);
	if (test->error_domain == INVALID_ERROR) {
		g_autofree char *field = config_error_field(error);

		g_assert_true(g_str_has_prefix(error->message, field));
	}
	config_edit_free(edit);
	protobuf_c_message_free_unpacked(&document->base, NULL);
}

/* The base document is valid, and one too large for the store is rejected. */
static void
test_size(void)
{
	Heatherturn__V1__ConfigDocument *document = make_document();
	g_autoptr(GError) error = NULL;
	g_autofree char *field = NULL;

	g_assert_true(config_validate(document, NULL));
	for (int i = 0; i < ORGANISATIONS_TOO_MANY; i++) {
		g_autofree char *text = g_strdup_printf(
		    "{\"id\":\"n%d\",\"weight\":1,\"api_key_sha256\":[\"%"
		    "064x\"]}",
		    i, (unsigned int)i);

		object_append(object_kind_find_by_name("organisation"),
		    document,
		    read_message(
			&heatherturn__v1__organisation__descriptor, text));
	}
	g_assert_false(config_validate(document, &error));
	field = config_error_field(error);
	g_assert_cmpstr(field, ==, "document");
	protobuf_c_message_free_unpacked(&document->base, NULL);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(edit_cases); i++) {
		g_autofree char *path = g_strconcat(
		    "/config_edit/", edit_cases[i].name, NULL);

		g_test_add_data_func(path, &edit_cases[i], test_edit);
	}
	g_test_add_func(
	    "/config_edit/a document too large for the store is rejected",
	    test_size);
	return g_test_run();
}
