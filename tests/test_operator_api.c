/*
 * Operator commands end to end, on one loop: ctl's command line, the API over
 * HTTP, the configuration writer, and a store with injected faults.
 */
#include <string.h>

#include <ev.h>
#include <glib.h>
#include <glib/gstdio.h>

#include "base/clock.h"
#include "certificate.h"
#include "operator/ctl.h"
#include "operator/operator_api.h"
#include "peer/documents.h"
#include "peer/mesh.h"
#include "store/config_writer.h"
#include "store/store.h"

#define ARGS_MAX 12
#define TOKEN	 "serra a-token\n"

/* Fault of the next write. */
enum fault {
	FAULT_NONE,
	FAULT_UNAVAILABLE, /* error, nothing stored */
	FAULT_RESPONSE_LOST, /* stored, response lost */
	FAULT_REQUEST_LOST, /* not stored, response lost */
	FAULT_CONFLICT, /* another writer stores first */
};

struct memory_store {
	struct store store;
	struct ev_loop *loop;
	GByteArray *value;
	uint64_t version; /* 0 while there is no object */
	enum fault fault;
};

/* A call, answered in the loop's next iteration. */
struct store_call {
	struct ev_timer timer;
	struct memory_store *memory;
	enum store_verb verb;
	GByteArray *value;
	uint64_t version;
	store_done_fn *done;
	void *data;
};

/* Stores a value as the next version. */
static void
store_value(struct memory_store *memory, const uint8_t *value, size_t length)
{
	GByteArray *copy = g_byte_array_new();

	g_byte_array_append(copy, value, (guint)length);
	g_byte_array_unref(memory->value);
	memory->value = copy;
	memory->version++;
}

/* Writes the document under its next version, as another writer would. */
static void
write_concurrently(struct memory_store *memory)
{
	Heatherturn__V1__ConfigDocument
	    *document = heatherturn__v1__config_document__unpack(
		NULL, memory->value->len, memory->value->data);
	g_autofree uint8_t *packed = NULL;
	size_t length;

	document->version++;
	length = heatherturn__v1__config_document__get_packed_size(document);
	packed = g_malloc(length);
	heatherturn__v1__config_document__pack(document, packed);
	heatherturn__v1__config_document__free_unpacked(document, NULL);
	store_value(memory, packed, length);
}

/* Handles a write with the fault that is set, and clears the fault. */
static enum store_error
handle_put(struct memory_store *memory, const struct store_call *call, bool *ok)
{
	enum fault fault = memory->fault;

	*ok = false;
	memory->fault = FAULT_NONE;
	if (fault == FAULT_UNAVAILABLE)
		return STORE_ERROR_UNAVAILABLE;
	if (fault == FAULT_REQUEST_LOST)
		return STORE_ERROR_OUTCOME_UNKNOWN;
	if (fault == FAULT_CONFLICT)
		write_concurrently(memory);
	if (call->version != memory->version)
		return STORE_ERROR_CONFLICT;
	store_value(memory, call->value->data, call->value->len);
	*ok = fault != FAULT_RESPONSE_LOST;
	return STORE_ERROR_OUTCOME_UNKNOWN;
}

/* Reports the result of a call. */
static void
respond(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct store_call *call = timer->data;
	struct memory_store *memory = call->memory;
	struct store_result result = {0};
	g_autoptr(GError) error = NULL;
	enum store_error code = STORE_ERROR_NOT_FOUND;
	bool ok = memory->version > 0;

	if (call->verb == STORE_PUT)
		code = handle_put(memory, call, &ok);
	if (!ok)
		error = g_error_new_literal(STORE_ERROR, (int)code, "injected");
	result.error = error;
	result.version = memory->version;
	if (ok && call->verb == STORE_GET) {
		result.value = memory->value->data;
		result.length = memory->value->len;
	}
	call->done(call->data, &result);
	g_byte_array_unref(call->value);
	g_free(call);
}

/* Starts a call. */
static struct store_call *
memory_start(struct store *store, const struct store_request *request,
    store_done_fn *done, void *data)
{
	struct store_call *call = g_new0(struct store_call, 1);

	call->memory = (struct memory_store *)store;
	call->verb = request->verb;
	call->version = request->version;
	call->value = g_byte_array_new();
	g_byte_array_append(
	    call->value, request->value, (guint)request->length);
	call->done = done;
	call->data = data;
	ev_timer_init(&call->timer, respond, 0., 0.);
	call->timer.data = call;
	ev_timer_start(call->memory->loop, &call->timer);
	return call;
}

/* Cancels a call before its result. */
static void
memory_cancel(struct store *store, struct store_call *call)
{
	ev_timer_stop(call->memory->loop, &call->timer);
	g_byte_array_unref(call->value);
	g_free(call);
}

/* The store is part of the fixture. */
static void
memory_free(struct store *store)
{
}

static const struct store_ops memory_ops = {
    .start = memory_start,
    .cancel = memory_cancel,
    .free = memory_free,
};

static const struct step {
	const char *args[ARGS_MAX];
	enum fault fault;
	enum exit_code code;
	const char *text; /* part of the output */
} steps[] = {
    {{"list"}, FAULT_NONE, EXIT_CODE_OK, "none"},
    {{"create", "failure-domain", "a", "--region", "south"}, FAULT_NONE,
	EXIT_CODE_OK, "'a' created, configuration version 1"},
    {{"create", "failure-domain", "a", "--region", "south"}, FAULT_NONE,
	EXIT_CODE_CONFLICT, "already_exists"},
    {{"create", "service", "verse", "--kind", "model"}, FAULT_NONE,
	EXIT_CODE_OK, "version 2"},
    {{"create", "organisation", "serra", "--weight", "1001"}, FAULT_NONE,
	EXIT_CODE_FAILED, "organisations.weight"},
    {{"create", "organisation", "serra", "--weight", "x"}, FAULT_NONE,
	EXIT_CODE_FAILED, "object.organisation.weight"},
    {{"create", "organisation", "serra", "--services", "verse"}, FAULT_NONE,
	EXIT_CODE_OK, "version 3"},
    {{"get", "organisation", "serra"}, FAULT_NONE, EXIT_CODE_OK,
	"weight                  100"},
    {{"update", "organisation", "serra", "--weight", "7"}, FAULT_NONE,
	EXIT_CODE_OK, "version 4"},
    {{"update", "organisation", "serra", "--weight", "8", "--version", "3"},
	FAULT_NONE, EXIT_CODE_CONFLICT, "is at version 4"},
    {{"--json", "update", "organisation", "serra", "--version", "3"},
	FAULT_NONE, EXIT_CODE_CONFLICT, "\"weight\": 7"},
    {{"delete", "service", "verse"}, FAULT_NONE, EXIT_CODE_FAILED, "in use by"},
    {{"take-out", "a"}, FAULT_RESPONSE_LOST, EXIT_CODE_OK, "version 5"},
    {{"list", "failure-domain"}, FAULT_NONE, EXIT_CODE_OK, "taken_out"},
    {{"bring-back", "a"}, FAULT_UNAVAILABLE, EXIT_CODE_UNREACHABLE,
	"unavailable"},
    {{"bring-back", "a", "--wait"}, FAULT_CONFLICT, EXIT_CODE_OK,
	"in force on 1 processes"},
    {{"status"}, FAULT_NONE, EXIT_CODE_OK,
	"version 7 is in force on 1 of 1 processes"},
    {{"status", "service"}, FAULT_NONE, EXIT_CODE_USAGE,
	"'service' is not expected here"},
    {{"status", "7"}, FAULT_NONE, EXIT_CODE_USAGE, "'7' is not expected here"},
    {{"get", "rollout", "verse"}, FAULT_NONE, EXIT_CODE_FAILED, "not_found"},
    {{"take-out", "b"}, FAULT_NONE, EXIT_CODE_FAILED, "not_found"},
    {{"delete", "organisation", "serra"}, FAULT_REQUEST_LOST, EXIT_CODE_OK,
	"deleted, configuration version 8"},
    {{"create", "organisation", "keyed", "--api-key-file", "/proc/self/comm"},
	FAULT_NONE, EXIT_CODE_OK, "version 9"},
    {{"get", "organisation", "keyed"}, FAULT_NONE, EXIT_CODE_OK,
	"api_key_sha256"},
    {{"create", "organisation", "other", "--api-key-file", "/proc/self/comm"},
	FAULT_NONE, EXIT_CODE_FAILED, "already used by 'keyed'"},
    {{"create", "organisation", "other", "--file", "/proc/self/comm"},
	FAULT_NONE, EXIT_CODE_SETTING, "line 1"},
    {{"list", "--token-file", "/dev/null"}, FAULT_NONE, EXIT_CODE_SETTING,
	"is empty"},
    {{"list", "--token-file", "/proc/self/comm"}, FAULT_NONE, EXIT_CODE_DENIED,
	"denied"},
    {{"list", "--entry", "localhost:80"}, FAULT_NONE, EXIT_CODE_USAGE,
	"numeric"},
    {{"create", "cat", "tom"}, FAULT_NONE, EXIT_CODE_USAGE, "'cat'"},
    {{"create", "service"}, FAULT_NONE, EXIT_CODE_USAGE, "an id"},
    {{"create", "service", "x", "--colour", "red"}, FAULT_NONE, EXIT_CODE_USAGE,
	"--colour"},
};

/* Runs one command line against the API; checks exit code and output. */
static void
run_step(struct ev_loop *loop, const struct step *step)
{
	g_autoptr(GString) out = g_string_new(NULL);
	g_autoptr(GString) err = g_string_new(NULL);
	char *argv[ARGS_MAX + 2] = {(char *)"ctl"};
	int argc = 1;
	int code;

	while (argc <= ARGS_MAX && step->args[argc - 1] != NULL) {
		argv[argc] = (char *)step->args[argc - 1];
		argc++;
	}
	code = ctl_main(loop, argc, argv, out, err);
	g_string_append(out, err->str);
	g_test_message("%s %s: %d %s", step->args[0],
	    step->args[1] == NULL ? "" : step->args[1], code, out->str);
	g_assert_cmpint(code, ==, step->code);
	g_assert_nonnull(strstr(out->str, step->text));
}

/* All parts between ctl and the store. */
struct fixture {
	struct ev_loop *loop;
	struct memory_store memory;
	struct link_identity identity;
	struct mesh *mesh;
	struct documents *documents;
	struct config_writer *writer;
	struct operator_api *rpc;
	char *directory;
	char *token_file;
	char *certificate_file;
	char *key_file;
};

/* Sets ctl's environment variables for the API and writes the token file. */
static void
set_variables(const struct fixture *fixture)
{
	g_autofree char *entries = g_strdup_printf(
	    "127.0.0.1:1,127.0.0.1:%d", operator_api_port(fixture->rpc));

	g_assert_true(
	    g_file_set_contents(fixture->token_file, TOKEN, -1, NULL));
	g_setenv("HEATHERTURN_ENTRY", entries, TRUE);
	g_setenv("HEATHERTURN_OPERATOR_TOKEN_FILE", fixture->token_file, TRUE);
}

/* Starts the API with an empty store. */
static void
set_up(struct fixture *fixture, bool tls)
{
	struct operator_api_settings settings = {
	    .address = "127.0.0.1:0", .token = TOKEN};
	struct mesh_settings mesh_settings = {.identity = &fixture->identity};
	struct clock *clock = clock_system();

	fixture->directory = g_dir_make_tmp("heatherturn-XXXXXX", NULL);
	fixture->token_file = g_build_filename(
	    fixture->directory, "token", NULL);
	fixture->certificate_file = g_build_filename(
	    fixture->directory, "certificate", NULL);
	fixture->key_file = g_build_filename(fixture->directory, "key", NULL);
	certificate_write(
	    fixture->certificate_file, fixture->key_file, "entry");
	fixture->loop = ev_loop_new(EVFLAG_AUTO);
	fixture->memory = (struct memory_store){
	    {&memory_ops}, fixture->loop, g_byte_array_new(), 0, FAULT_NONE};
	fixture->identity = (struct link_identity){.process = "e1",
	    .role = ROLE_ENTRY,
	    .failure_domain = "a",
	    .address = "127.0.0.1:1"};
	fixture->mesh = mesh_new(fixture->loop, clock, &mesh_settings, NULL);
	fixture->documents = documents_new(
	    fixture->loop, clock, fixture->mesh, &fixture->identity);
	fixture->writer = config_writer_new(
	    fixture->loop, clock, &fixture->memory.store, fixture->documents);
	settings.identity = &fixture->identity;
	settings.documents = fixture->documents;
	settings.mesh = fixture->mesh;
	settings.writer = fixture->writer;
	settings.certificate_file = tls ? fixture->certificate_file : NULL;
	settings.key_file = tls ? fixture->key_file : NULL;
	fixture->rpc = operator_api_new(fixture->loop, &settings, NULL);
	set_variables(fixture);
}

/* Stops the API and removes all files. */
static void
tear_down(struct fixture *fixture)
{
	operator_api_free(fixture->rpc);
	config_writer_free(fixture->writer);
	documents_free(fixture->documents);
	mesh_free(fixture->mesh);
	g_byte_array_unref(fixture->memory.value);
	ev_loop_destroy(fixture->loop);
	g_unlink(fixture->token_file);
	g_unlink(fixture->certificate_file);
	g_unlink(fixture->key_file);
	g_rmdir(fixture->directory);
	g_free(fixture->token_file);
	g_free(fixture->certificate_file);
	g_free(fixture->key_file);
	g_free(fixture->directory);
}

/* A sequence of commands, from ctl to the store. */
static void
test_commands(void)
{
	struct fixture fixture;

	set_up(&fixture, false);
	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		fixture.memory.fault = steps[i].fault;
		run_step(fixture.loop, &steps[i]);
		fixture.memory.fault = FAULT_NONE;
	}
	tear_down(&fixture);
}

/* With TLS, ctl sends the token only to a server with a trusted certificate. */
static void
test_tls(void)
{
	static const struct step plain = {
	    {"list"}, FAULT_NONE, EXIT_CODE_UNREACHABLE, "no entry"};
	static const struct step trusted = {
	    {"list"}, FAULT_NONE, EXIT_CODE_OK, "none"};
	struct fixture fixture;
	g_autofree char *other = NULL;

	set_up(&fixture, true);
	other = g_build_filename(fixture.directory, "other", NULL);
	run_step(fixture.loop, &plain);
	g_setenv("HEATHERTURN_CA_FILE", fixture.certificate_file, TRUE);
	run_step(fixture.loop, &trusted);
	certificate_write(other, other, "entry");
	g_setenv("HEATHERTURN_CA_FILE", other, TRUE);
	run_step(fixture.loop, &plain);
	g_unsetenv("HEATHERTURN_CA_FILE");
	g_unlink(other);
	tear_down(&fixture);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/operator_api/commands reach the store", test_commands);
	g_test_add_func(
	    "/operator_api/the token is sent only to a trusted server",
	    test_tls);
	return g_test_run();
}
