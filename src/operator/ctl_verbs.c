#include <stdlib.h>
#include <string.h>

#include "operator/ctl.h"

#define WAIT_POLL_MS 200

/* Wraps an object's fields as a request; takes the reference to them. */
static json_t *
wrap_object(const struct ctl *ctl, json_t *fields)
{
	return json_pack("{s:{s:o}}", "object", ctl->kind->name, fields);
}

/* Returns the request of Get; Delete adds a version. */
static json_t *
new_object_request(const struct ctl *ctl)
{
	return json_pack("{s:s, s:s}", "kind", ctl->kind->name, "id", ctl->id);
}

/* Gets the current object; returns a new reference to its fields. */
static json_t *
fetch_object(struct ctl *ctl, struct ctl_client *client, GError **error)
{
	json_t *response = ctl_client_call(
	    client, "Get", new_object_request(ctl), false, error);
	json_t *fields = json_incref(json_object_get(
	    json_object_get(response, "object"), ctl->kind->name));

	if (response != NULL && fields == NULL)
		g_set_error(error, CTL_ERROR, CTL_ERROR_BAD_RESPONSE,
		    "the entry's response has no %s", ctl->kind->name);
	json_decref(response);
	return fields;
}

/* create: the given fields make the object. */
static json_t *
run_create(struct ctl *ctl, struct ctl_client *client, GError **error)
{
	json_t *fields = json_incref(ctl->fields);

	json_object_set_new(fields, "id", json_string(ctl->id));
	return ctl_client_call(
	    client, "Create", wrap_object(ctl, fields), true, error);
}

/* get */
static json_t *
run_get(struct ctl *ctl, struct ctl_client *client, GError **error)
{
	return ctl_client_call(
	    client, "Get", new_object_request(ctl), false, error);
}

/* list: objects of one kind or of all kinds. */
static json_t *
run_list(struct ctl *ctl, struct ctl_client *client, GError **error)
{
	json_t *request = ctl->kind == NULL
	    ? json_object()
	    : json_pack("{s:s}", "kind", ctl->kind->name);

	return ctl_client_call(client, "List", request, false, error);
}

/* update: the given fields replace those of the current object. */
static json_t *
run_update(struct ctl *ctl, struct ctl_client *client, GError **error)
{
	json_t *fields = fetch_object(ctl, client, error);

	if (fields == NULL)
		return NULL;
	json_object_update(fields, ctl->fields);
	json_object_set_new(fields, "id", json_string(ctl->id));
	if (ctl->version > 0)
		json_object_set_new(
		    fields, "version", json_integer(ctl->version));
	return ctl_client_call(
	    client, "Update", wrap_object(ctl, fields), true, error);
}

/* delete: of the given version, or of the current one. */
static json_t *
run_delete(struct ctl *ctl, struct ctl_client *client, GError **error)
{
	json_t *request = new_object_request(ctl);
	json_t *fields;

	if (ctl->version > 0) {
		json_object_set_new(
		    request, "version", json_integer(ctl->version));
		return ctl_client_call(client, "Delete", request, true, error);
	}
	fields = fetch_object(ctl, client, error);
	if (fields == NULL) {
		json_decref(request);
		return NULL;
	}
	json_object_set(request, "version", json_object_get(fields, "version"));
	json_decref(fields);
	return ctl_client_call(client, "Delete", request, true, error);
}

/* take-out */
static json_t *
run_take_out(struct ctl *ctl, struct ctl_client *client, GError **error)
{
	return ctl_client_call(client, "TakeOut",
	    json_pack("{s:s}", "failure_domain", ctl->id), true, error);
}

/* bring-back */
static json_t *
run_bring_back(struct ctl *ctl, struct ctl_client *client, GError **error)
{
	return ctl_client_call(client, "BringBack",
	    json_pack("{s:s}", "failure_domain", ctl->id), true, error);
}

/* status: of the given version, or of the one in force at the entry. */
static json_t *
run_status(struct ctl *ctl, struct ctl_client *client, GError **error)
{
	return ctl_client_call(client, "Status",
	    json_pack("{s:I}", "config_version", (json_int_t)ctl->version),
	    false, error);
}

static const struct ctl_verb verbs[] = {
    {"create", true, false, false, run_create, "created"},
    {"get", true, false, false, run_get, NULL},
    {"list", false, false, true, run_list, NULL},
    {"update", true, false, false, run_update, "updated"},
    {"delete", true, false, false, run_delete, "deleted"},
    {"take-out", false, true, false, run_take_out, "taken out"},
    {"bring-back", false, true, false, run_bring_back, "brought back"},
    {"status", false, false, false, run_status, NULL},
};

/* Prints a value as indented JSON. */
void
ctl_print_json(const struct ctl *ctl, const json_t *value)
{
	char *text = json_dumps(value, JSON_INDENT(2));

	g_string_append_printf(ctl->out, "%s\n", text);
	free(text);
}

/* Prints a response as JSON with --json, else as text. */
static void
print_response(
    const struct ctl *ctl, const struct ctl_verb *verb, json_t *response)
{
	json_t *objects = json_object_get(response, "objects");

	if (ctl->json) {
		ctl_print_json(ctl, response);
		return;
	}
	if (verb->done_text != NULL)
		g_string_append_printf(ctl->out,
		    "%s '%s' %s, configuration version "
		    "%" JSON_INTEGER_FORMAT "\n",
		    ctl->kind->name, ctl->id, verb->done_text,
		    json_integer_value(
			json_object_get(response, "config_version")));
	else if (objects != NULL)
		ctl_print_objects(ctl->out, objects);
	else if (json_object_get(response, "process") != NULL)
		ctl_print_status(ctl->out, response);
	else
		ctl_print_object(ctl->out, json_object_get(response, "object"));
}

/* Lists the processes without a version in force; free with g_free(). */
static char *
list_missing_processes(json_t *status)
{
	GString *names = g_string_new(NULL);
	json_int_t wanted = json_integer_value(
	    json_object_get(status, "config_version"));
	size_t index;
	json_t *process;

	json_array_foreach (
	    json_object_get(status, "process"), index, process) {
		bool answered = json_is_true(
		    json_object_get(process, "answered"));

		if (answered &&
		    json_integer_value(
			json_object_get(process, "config_version")) >= wanted)
			continue;
		g_string_append_printf(names, " %s%s",
		    json_string_value(json_object_get(process, "address")),
		    answered ? "" : " (no response)");
	}
	return g_string_free(names, FALSE);
}

/* Waits until a version is in force on all known processes, at most --timeout
 * seconds. */
static bool
wait_in_force(const struct ctl *ctl, struct ctl_client *client,
    json_int_t version, GError **error)
{
	gint64 deadline = g_get_monotonic_time() +
	    (gint64)ctl->timeout_s * G_USEC_PER_SEC;
	json_t *status = NULL;
	g_autofree char *missing = NULL;

	do {
		json_decref(status);
		status = ctl_client_call(client, "Status",
		    json_pack("{s:I}", "config_version", version), false,
		    error);
		if (status == NULL)
			return false;
		if (json_integer_value(json_object_get(status, "in_force")) ==
		    json_integer_value(json_object_get(status, "processes"))) {
			g_string_append_printf(ctl->diagnostics,
			    "in force on %" JSON_INTEGER_FORMAT " processes\n",
			    json_integer_value(
				json_object_get(status, "processes")));
			json_decref(status);
			return true;
		}
		ctl_client_sleep(client, WAIT_POLL_MS);
	} while (g_get_monotonic_time() < deadline);
	missing = list_missing_processes(status);
	json_decref(status);
	g_set_error(error, CTL_ERROR, CTL_ERROR_TIMEOUT,
	    "version %" JSON_INTEGER_FORMAT
	    " is stored, but not in force after %d s on%s",
	    version, ctl->timeout_s, missing);
	return false;
}

/* Finds a verb by name; NULL for an unknown one. */
const struct ctl_verb *
ctl_verb_find(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++) {
		if (strcmp(verbs[i].name, name) == 0)
			return &verbs[i];
	}
	return NULL;
}

/*
 * Runs a verb against the entries and prints the response; with --wait, waits
 * until a change is in force. The error is CTL_ERROR.
 */
bool
ctl_verb_run(struct ctl *ctl, const struct ctl_verb *verb,
    struct ctl_client *client, GError **error)
{
	json_t *response = verb->run(ctl, client, error);
	json_int_t version;

	if (response == NULL)
		return false;
	version = json_integer_value(
	    json_object_get(response, "config_version"));
	print_response(ctl, verb, response);
	json_decref(response);
	return verb->done_text == NULL || !ctl->wait ||
	    wait_in_force(ctl, client, version, error);
}
