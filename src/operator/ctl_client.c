#include <string.h>

#include <ev.h>

#include "base/address.h"
#include "base/http_client.h"
#include "base/settings.h"
#include "operator/ctl.h"

#define CALL_TIMEOUT_MS	   10000
#define CONNECT_TIMEOUT_MS 1000
#define MS_PER_SECOND	   1000.0

struct ctl_client {
	struct ev_loop *loop; /* borrowed */
	struct http_client *http;
	GString *diagnostics; /* borrowed */
	const char *scheme;
	char **entries;
	char *authorisation;
	json_t *error; /* last Error message from an entry */
	/* Result of the current or last call. */
	int status;
	json_t *response;
	GError *transport_error; /* HTTP_CLIENT_ERROR */
};

static const struct exit_code_row {
	enum ctl_error code;
	enum exit_code exit;
} exit_code_rows[] = {
    {CTL_ERROR_USAGE, EXIT_CODE_USAGE},
    {CTL_ERROR_FILE, EXIT_CODE_SETTING},
    {CTL_ERROR_REJECTED, EXIT_CODE_FAILED},
    {CTL_ERROR_UNREACHABLE, EXIT_CODE_UNREACHABLE},
    {CTL_ERROR_DENIED, EXIT_CODE_DENIED},
    {CTL_ERROR_CONFLICT, EXIT_CODE_CONFLICT},
    {CTL_ERROR_OUTCOME_UNKNOWN, EXIT_CODE_UNKNOWN},
    {CTL_ERROR_TIMEOUT, EXIT_CODE_TIMEOUT},
    {CTL_ERROR_BAD_RESPONSE, EXIT_CODE_FAILED},
};

/* Errors of the command by the code of an Error message. */
static const struct error_code_row {
	const char *name;
	enum ctl_error code;
} error_code_rows[] = {
    {"unauthenticated", CTL_ERROR_DENIED},
    {"denied", CTL_ERROR_DENIED},
    {"conflict", CTL_ERROR_CONFLICT},
    {"already_exists", CTL_ERROR_CONFLICT},
    {"unavailable", CTL_ERROR_UNREACHABLE},
    {"outcome_unknown", CTL_ERROR_OUTCOME_UNKNOWN},
};

G_DEFINE_QUARK(ctl_error, ctl_error)

/* Returns the exit code for an error of CTL_ERROR or SETTINGS_ERROR. */
enum exit_code
ctl_exit_code(const GError *error)
{
	if (error->domain == SETTINGS_ERROR)
		return EXIT_CODE_SETTING;
	for (size_t i = 0; i < G_N_ELEMENTS(exit_code_rows); i++) {
		if (error->domain == CTL_ERROR &&
		    exit_code_rows[i].code == (enum ctl_error)error->code)
			return exit_code_rows[i].exit;
	}
	return EXIT_CODE_FAILED;
}

/* Returns the token in the first line, without a name in front; modifies the
 * text. */
static const char *
parse_first_token(char *tokens)
{
	const char *space;

	tokens[strcspn(tokens, "\r\n")] = '\0';
	g_strchomp(tokens);
	space = strrchr(g_strdelimit(tokens, "\t", ' '), ' ');
	return space == NULL ? tokens : space + 1;
}

/* Checks that the address of each entry is valid. */
static bool
check_entries(char **entries, GError **error)
{
	for (size_t i = 0; entries[i] != NULL; i++) {
		if (address_parse(entries[i], NULL, NULL))
			continue;
		g_set_error(error, CTL_ERROR, CTL_ERROR_USAGE,
		    "--entry: '%s' is not HOST:PORT with a numeric host",
		    entries[i]);
		return false;
	}
	return true;
}

/*
 * Returns a client for the entries of a command line, which must outlive it. It
 * appends a line to the diagnostics for each call to an entry that fails. The
 * errors are CTL_ERROR for a missing flag or an invalid address and
 * SETTINGS_ERROR for the token file.
 */
struct ctl_client *
ctl_client_new(const struct ctl *ctl, GError **error)
{
	struct ctl_client *client;
	g_autofree char *tokens = NULL;

	if (ctl->entries == NULL || ctl->entries[0] == NULL ||
	    ctl->token_file == NULL) {
		g_set_error(error, CTL_ERROR, CTL_ERROR_USAGE,
		    "--entry and --token-file are required; see "
		    "heatherturn ctl --help");
		return NULL;
	}
	if (!check_entries(ctl->entries, error))
		return NULL;
	tokens = settings_read_secret(ctl->token_file, error);
	if (tokens == NULL)
		return NULL;
	client = g_new0(struct ctl_client, 1);
	client->entries = ctl->entries;
	client->scheme = ctl->ca_file == NULL ? "http" : "https";
	client->authorisation = g_strconcat(
	    "Bearer ", parse_first_token(tokens), NULL);
	client->loop = ctl->loop;
	client->diagnostics = ctl->diagnostics;
	client->http = http_client_new(client->loop, error);
	if (client->http == NULL) {
		ctl_client_free(client);
		return NULL;
	}
	http_client_set_ca_file(client->http, ctl->ca_file);
	return client;
}

/* Frees a client; NULL is allowed. */
void
ctl_client_free(struct ctl_client *client)
{
	if (client == NULL)
		return;
	http_client_free(client->http);
	json_decref(client->error);
	json_decref(client->response);
	g_clear_error(&client->transport_error);
	g_free(client->authorisation);
	g_free(client);
}

/*
 * Returns the response of the last call that an entry rejected, an Error
 * message if the entry sent one, or NULL.
 */
const json_t *
ctl_client_error(const struct ctl_client *client)
{
	return client->error;
}

/* Stores the result of a call and ends call_entry()'s loop. */
static void
on_call_done(
    void *data, struct http_call *call, const struct http_result *result)
{
	struct ctl_client *client = data;

	client->status = result->status;
	if (result->error != NULL)
		client->transport_error = g_error_copy(result->error);
	else
		client->response = json_loadb((const char *)result->body->data,
		    result->body->len, 0, NULL);
	ev_break(client->loop, EVBREAK_ONE);
}

/* Makes one call to one entry and waits for its result. */
static void
call_entry(struct ctl_client *client, const char *entry, const char *method,
    const char *body)
{
	static const struct http_call_ops ops = {.done = on_call_done};
	g_autofree char *url = g_strdup_printf(
	    "%s://%s/heatherturn.v1.Operator/%s", client->scheme, entry,
	    method);
	struct http_header headers[] = {
	    {"Content-Type", "application/json"},
	    {"Authorization", client->authorisation},
	};
	struct http_call_request request = {
	    .method = "POST",
	    .url = url,
	    .headers = headers,
	    .header_count = G_N_ELEMENTS(headers),
	    .body = body,
	    .body_length = strlen(body),
	    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
	    .timeout_ms = CALL_TIMEOUT_MS,
	};

	g_clear_error(&client->transport_error);
	json_decref(client->response);
	client->response = NULL;
	client->status = 0;
	http_client_start(client->http, &request, &ops, client);
	ev_run(client->loop, 0);
}

/* Sets a CTL_ERROR from an entry's Error message. */
static void
set_error_from_response(struct ctl_client *client, GError **error)
{
	const char *code = json_string_value(
	    json_object_get(client->response, "code"));
	const char *text = json_string_value(
	    json_object_get(client->response, "message"));
	enum ctl_error kind = CTL_ERROR_REJECTED;

	for (size_t i = 0; i < G_N_ELEMENTS(error_code_rows); i++) {
		if (g_strcmp0(error_code_rows[i].name, code) == 0)
			kind = error_code_rows[i].code;
	}
	json_decref(client->error);
	client->error = json_incref(client->response);
	if (code == NULL || text == NULL)
		g_set_error(error, CTL_ERROR, CTL_ERROR_BAD_RESPONSE,
		    "the entry answered with status %d and without an Error "
		    "message",
		    client->status);
	else
		g_set_error(error, CTL_ERROR, kind, "%s: %s", code, text);
}

/*
 * Calls a method with a JSON request, whose reference is taken. If an entry
 * can't be connected to, the next one is tried. If it fails later, a read is
 * tried at the next entry, but a change (is_change) ends with
 * CTL_ERROR_OUTCOME_UNKNOWN. Returns a new reference to the response, or NULL
 * with CTL_ERROR.
 */
json_t *
ctl_client_call(struct ctl_client *client, const char *method, json_t *request,
    bool is_change, GError **error)
{
	char *body = json_dumps(request, JSON_COMPACT);
	g_autofree char *copy = g_strdup(body);

	free(body);
	json_decref(request);
	for (size_t i = 0; client->entries[i] != NULL; i++) {
		call_entry(client, client->entries[i], method, copy);
		if (client->transport_error == NULL)
			break;
		g_string_append_printf(client->diagnostics,
		    "heatherturn ctl: %s: %s\n", client->entries[i],
		    client->transport_error->message);
		if (is_change &&
		    !g_error_matches(client->transport_error, HTTP_CLIENT_ERROR,
			HTTP_CLIENT_ERROR_CONNECT)) {
			g_set_error(error, CTL_ERROR, CTL_ERROR_OUTCOME_UNKNOWN,
			    "the change may or may not have been stored; get "
			    "the object before repeating the change");
			return NULL;
		}
	}
	if (client->transport_error != NULL) {
		g_set_error(error, CTL_ERROR, CTL_ERROR_UNREACHABLE,
		    "no entry can be reached; nothing was changed");
		return NULL;
	}
	if (client->status == 200 && json_is_object(client->response))
		return json_incref(client->response);
	set_error_from_response(client, error);
	return NULL;
}

/* Ends ctl_client_sleep(). */
static void
on_sleep_timer(struct ev_loop *loop, struct ev_timer *watcher, int events)
{
	ev_break(loop, EVBREAK_ONE);
}

/* Runs the loop for ms milliseconds. */
void
ctl_client_sleep(struct ctl_client *client, int64_t ms)
{
	struct ev_timer timer;

	ev_timer_init(&timer, on_sleep_timer, (double)ms / MS_PER_SECOND, 0.);
	ev_timer_start(client->loop, &timer);
	ev_run(client->loop, 0);
	ev_timer_stop(client->loop, &timer);
}
