#include <string.h>

#include "base/address.h"
#include "base/http_client.h"
#include "base/settings.h"
#include "operator/ctl.h"

#define CALL_TIMEOUT_MS	   5000
#define CONNECT_TIMEOUT_MS 1000

#define STATUS_OK 200

/* The flags of ctl explain. */
struct explain_flags {
	char *gateway;
	char *host;
	char *path;
	char *organisation;
	char *key_file;
	char *tokens;
	char *output;
	char *parts;
};

/* The answer of a gateway. */
struct explain_call {
	struct ev_loop *loop;
	int status;
	json_t *answer; /* NULL if it is not JSON */
	GError *error; /* HTTP_CLIENT_ERROR */
};

/* Parses the flags; false with CTL_ERROR_USAGE. */
static bool
parse_flags(
    struct explain_flags *flags, int *argc, char ***argv, GError **error)
{
	const GOptionEntry entries[] = {
	    {"gateway", 0, 0, G_OPTION_ARG_STRING, &flags->gateway, NULL, NULL},
	    {"host", 0, 0, G_OPTION_ARG_STRING, &flags->host, NULL, NULL},
	    {"path", 0, 0, G_OPTION_ARG_STRING, &flags->path, NULL, NULL},
	    {"organisation", 0, 0, G_OPTION_ARG_STRING, &flags->organisation,
		NULL, NULL},
	    {"key-file", 0, 0, G_OPTION_ARG_STRING, &flags->key_file, NULL,
		NULL},
	    {"tokens", 0, 0, G_OPTION_ARG_STRING, &flags->tokens, NULL, NULL},
	    {"output", 0, 0, G_OPTION_ARG_STRING, &flags->output, NULL, NULL},
	    {"parts", 0, 0, G_OPTION_ARG_STRING, &flags->parts, NULL, NULL},
	    {NULL},
	};
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	g_autoptr(GError) reason = NULL;

	g_option_context_set_help_enabled(context, FALSE);
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, argc, argv, &reason)) {
		g_set_error(
		    error, CTL_ERROR, CTL_ERROR_USAGE, "%s", reason->message);
		return false;
	}
	if (*argc > 2) {
		g_set_error(error, CTL_ERROR, CTL_ERROR_USAGE,
		    "'%s' is not expected here; see heatherturn ctl --help",
		    (*argv)[2]);
		return false;
	}
	if (flags->gateway == NULL || flags->host == NULL ||
	    flags->path == NULL) {
		g_set_error(error, CTL_ERROR, CTL_ERROR_USAGE,
		    "explain needs --gateway, --host and --path");
		return false;
	}
	if (address_parse(flags->gateway, NULL, NULL))
		return true;
	g_set_error(error, CTL_ERROR, CTL_ERROR_USAGE,
	    "--gateway: '%s' is not HOST:PORT with a numeric host",
	    flags->gateway);
	return false;
}

/* Appends a query parameter if it has a value. */
static void
append_parameter(GString *url, const char *name, const char *value)
{
	if (value == NULL)
		return;
	g_string_append_printf(
	    url, "%s%s=", strchr(url->str, '?') == NULL ? "?" : "&", name);
	g_string_append_uri_escaped(url, value, NULL, FALSE);
}

/* Returns the URL of the gateway's answer; free it with g_free. */
static char *
make_url(const struct explain_flags *flags)
{
	GString *url = g_string_new("http://");

	g_string_append_printf(url, "%s/explain", flags->gateway);
	append_parameter(url, "host", flags->host);
	append_parameter(url, "path", flags->path);
	append_parameter(url, "organisation", flags->organisation);
	append_parameter(url, "tokens", flags->tokens);
	append_parameter(url, "output", flags->output);
	append_parameter(url, "parts", flags->parts);
	return g_string_free(url, FALSE);
}

/* Keeps the answer and ends the loop. */
static void
on_done(void *data, struct http_call *http, const struct http_result *result)
{
	struct explain_call *call = data;

	call->status = result->status;
	if (result->error != NULL)
		call->error = g_error_copy(result->error);
	else
		call->answer = json_loadb((const char *)result->body->data,
		    result->body->len, 0, NULL);
	ev_break(call->loop, EVBREAK_ONE);
}

/* Asks the gateway; returns a new reference to its answer, or CTL_ERROR. */
static json_t *
ask(struct ctl *ctl, const struct explain_flags *flags, GError **error)
{
	static const struct http_call_ops ops = {.done = on_done};
	struct explain_call call = {.loop = ctl->loop};
	g_autofree char *url = make_url(flags);
	g_autofree char *key = NULL;
	g_autofree char *authorisation = NULL;
	struct http_header header = {"Authorization", NULL};
	struct http_call_request request = {
	    .method = "GET",
	    .url = url,
	    .headers = &header,
	    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
	    .timeout_ms = CALL_TIMEOUT_MS,
	};
	struct http_client *http;
	const json_t *problem;

	if (flags->key_file != NULL) {
		key = settings_read_secret(flags->key_file, error);
		if (key == NULL)
			return NULL;
		authorisation = g_strconcat("Bearer ", g_strstrip(key), NULL);
		header.value = authorisation;
		request.header_count = 1;
	}
	http = http_client_new(ctl->loop, error);
	if (http == NULL)
		return NULL;
	http_client_start(http, &request, &ops, &call);
	ev_run(ctl->loop, 0);
	http_client_free(http);
	if (call.error != NULL) {
		g_set_error(error, CTL_ERROR, CTL_ERROR_UNREACHABLE,
		    "gateway %s can't be reached on its --http address: %s",
		    flags->gateway, call.error->message);
		g_error_free(call.error);
		return NULL;
	}
	if (call.status == STATUS_OK && json_is_object(call.answer))
		return call.answer;
	problem = json_object_get(call.answer, "error");
	if (problem == NULL)
		g_set_error(error, CTL_ERROR, CTL_ERROR_BAD_RESPONSE,
		    "%s answered with status %d; it is no gateway, or of an "
		    "older version",
		    flags->gateway, call.status);
	else
		g_set_error(error, CTL_ERROR,
		    call.status == 401 ? CTL_ERROR_DENIED : CTL_ERROR_REJECTED,
		    "%s: %s",
		    json_string_value(json_object_get(problem, "code")),
		    json_string_value(json_object_get(problem, "message")));
	json_decref(call.answer);
	return NULL;
}

/* Prints an upstream with what the choice is based on. */
static void
print_candidate(GString *out, const char *title, const json_t *candidate)
{
	g_string_append_printf(out,
	    "%-10s%s: %lld of %lld slots, backlog %.0f ms, %lld tokens, saves "
	    "%.0f ms\n",
	    title, json_string_value(json_object_get(candidate, "upstream")),
	    json_integer_value(json_object_get(candidate, "running")),
	    json_integer_value(json_object_get(candidate, "slots")),
	    json_real_value(json_object_get(candidate, "backlog_ms")),
	    json_integer_value(json_object_get(candidate, "context_tokens")),
	    json_real_value(json_object_get(candidate, "saved_ms")));
}

/* Prints the chosen upstream and its helpers. */
static void
print_choice(GString *out, const json_t *choice)
{
	const json_t *helpers = json_object_get(choice, "helpers");
	const json_t *helper;
	size_t index;

	print_candidate(out, "choice", choice);
	g_string_append_printf(out,
	    "%-10s%.0f ms to the first event, %.0f ms "
	    "of prefill\n",
	    "expected", json_real_value(json_object_get(choice, "expected_ms")),
	    json_real_value(json_object_get(choice, "part_ms")));
	json_array_foreach (helpers, index, helper)
		g_string_append_printf(
		    out, "%-10s%s\n", "helper", json_string_value(helper));
}

/* Prints an answer as text. */
static void
print_answer(GString *out, const json_t *answer)
{
	const json_t *inputs = json_object_get(answer, "inputs");
	const json_t *choice = json_object_get(answer, "choice");
	const json_t *why = json_object_get(answer, "why");
	const json_t *item;
	size_t index;

	g_string_append_printf(out, "%-10s%s\n%-10s%s, service %s\n",
	    "decision", json_string_value(json_object_get(answer, "decision")),
	    "route", json_string_value(json_object_get(answer, "route")),
	    json_string_value(json_object_get(answer, "service")));
	if (why != NULL)
		g_string_append_printf(
		    out, "%-10s%s\n", "why", json_string_value(why));
	if (choice != NULL)
		print_choice(out, choice);
	json_array_foreach (json_object_get(answer, "next"), index, item)
		print_candidate(out, "next", item);
	json_array_foreach (json_object_get(answer, "ruled_out"), index, item)
		g_string_append_printf(out, "%-10s%s: %s\n", "ruled out",
		    json_string_value(json_object_get(item, "upstream")),
		    json_string_value(json_object_get(item, "why")));
	g_string_append_printf(out,
	    "%-10sroutes version %lld since %lld ms, list version %lld since "
	    "%lld ms, %lld peers, oldest report %lld ms ago%s\n",
	    "inputs",
	    json_integer_value(json_object_get(inputs, "routes_version")),
	    json_integer_value(json_object_get(inputs, "routes_age_ms")),
	    json_integer_value(json_object_get(inputs, "list_version")),
	    json_integer_value(json_object_get(inputs, "list_age_ms")),
	    json_integer_value(json_object_get(inputs, "peers")),
	    json_integer_value(
		json_object_get(inputs, "oldest_peer_report_ms")),
	    json_is_true(json_object_get(inputs, "store_disconnected"))
		? ", the store is not connected"
		: "");
}

/* Frees the flags' values. */
static void
clear_flags(struct explain_flags *flags)
{
	g_free(flags->gateway);
	g_free(flags->host);
	g_free(flags->path);
	g_free(flags->organisation);
	g_free(flags->key_file);
	g_free(flags->tokens);
	g_free(flags->output);
	g_free(flags->parts);
}

/*
 * heatherturn ctl explain: prints where a gateway would send a request now.
 * Returns an exit code, EXIT_CODE_REFUSED if it would refuse the request.
 */
int
ctl_run_explain(struct ctl *ctl, int argc, char **argv)
{
	struct explain_flags flags = {0};
	g_autoptr(GError) error = NULL;
	json_t *answer = NULL;
	int code = EXIT_CODE_OK;

	if (parse_flags(&flags, &argc, &argv, &error))
		answer = ask(ctl, &flags, &error);
	if (answer == NULL) {
		g_string_append_printf(
		    ctl->diagnostics, "heatherturn ctl: %s\n", error->message);
		code = ctl_exit_code(error);
	} else {
		if (ctl->json)
			ctl_print_json(ctl, answer);
		else
			print_answer(ctl->out, answer);
		if (g_strcmp0(
			json_string_value(json_object_get(answer, "decision")),
			"refuse") == 0)
			code = EXIT_CODE_REFUSED;
	}
	json_decref(answer);
	clear_flags(&flags);
	return code;
}
