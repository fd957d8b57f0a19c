/*
 * Non-idempotent calls to a plain service: each has its own Idempotency-Key,
 * and some are sent a second time while the first is in progress.
 */
#include <string.h>

#include "base/clock.h"
#include "load.h"

#define TIMEOUT_GRACE_MS 2000

struct plain_call {
	struct outcome outcome;
	unsigned tries; /* entries that couldn't be reached */
	char *body;
};

static void start_call(struct plain_call *);

/* Whether the response carries the key and body of this call. */
static bool
is_own_response(const struct plain_call *plain_call, const GByteArray *response)
{
	json_t *json = json_loadb(
	    (const char *)response->data, response->len, 0, NULL);
	const char *key = json_string_value(json_object_get(json, "key"));
	const char *echo = json_string_value(json_object_get(json, "echo"));
	bool own = g_strcmp0(key, plain_call->outcome.key) == 0 &&
	    g_strcmp0(echo, plain_call->body) == 0;

	json_decref(json);
	return own;
}

/* Records the code of an error response. */
static void
parse_error_code(struct outcome *outcome, const GByteArray *response)
{
	json_t *json = json_loadb(
	    (const char *)response->data, response->len, 0, NULL);
	const char *code = json_string_value(
	    json_object_get(json_object_get(json, "error"), "code"));

	if (code != NULL)
		g_strlcpy(outcome->code, code, sizeof(outcome->code));
	json_decref(json);
}

/* The call has ended: records its outcome, or tries the next entry. */
static void
on_done(void *data, struct http_call *call, const struct http_result *result)
{
	struct plain_call *plain_call = data;
	struct outcome *outcome = &plain_call->outcome;
	const char *outcome_header = http_call_header(
	    call, "Heatherturn-Outcome");
	const char *retry_after = http_call_header(call, "Retry-After");
	const char *id = http_call_header(call, "X-Request-Id");

	if (load_should_try_next_entry(result, &plain_call->tries)) {
		start_call(plain_call);
		return;
	}
	outcome->status = result->status;
	outcome->final_ms = (load_now_s() - load.started_s - outcome->start_s) *
	    MS_PER_S;
	if (outcome_header != NULL)
		g_strlcpy(
		    outcome->outcome, outcome_header, sizeof(outcome->outcome));
	if (retry_after != NULL)
		outcome->retry_after_s = g_ascii_strtoll(retry_after, NULL, 10);
	if (id != NULL)
		g_strlcpy(outcome->id, id, sizeof(outcome->id));
	if (result->error != NULL || result->status == 0)
		outcome->verdict = g_error_matches(result->error,
				       HTTP_CLIENT_ERROR,
				       HTTP_CLIENT_ERROR_TIMEOUT)
		    ? VERDICT_NONE
		    : VERDICT_BROKEN;
	else if (result->status >= 400)
		outcome->verdict = VERDICT_REFUSED;
	else
		outcome->verdict = is_own_response(plain_call, result->body)
		    ? VERDICT_WHOLE
		    : VERDICT_WRONG;
	if (outcome->verdict == VERDICT_REFUSED)
		parse_error_code(outcome, result->body);
	load_request_ended(outcome);
	g_free(plain_call->body);
	g_free(plain_call);
}

/* Sends a call to its next entry. */
static void
start_call(struct plain_call *plain_call)
{
	static const struct http_call_ops ops = {.done = on_done};
	const struct load_settings *settings = &load.settings;
	const struct outcome *outcome = &plain_call->outcome;
	const char *entry = load_pick_entry(
	    outcome->number + outcome->attempt + plain_call->tries);
	g_autofree char *url = g_strconcat(
	    entry, settings->plain_call_path, NULL);
	g_autofree char *key = g_strconcat(
	    "Bearer ", settings->keys[outcome->organisation], NULL);
	const struct http_header headers[] = {
	    {"Authorization", key},
	    {"Content-Type", "application/json"},
	    {"Idempotency-Key", outcome->key},
	};
	const struct http_call_request call = {
	    .method = "POST",
	    .url = url,
	    .headers = headers,
	    .header_count = G_N_ELEMENTS(headers),
	    .body = plain_call->body,
	    .body_length = strlen(plain_call->body),
	    .timeout_ms = outcome->deadline_ms + TIMEOUT_GRACE_MS,
	};

	http_client_start(load.http, &call, &ops, plain_call);
}

/* Creates a call and sends it. */
static void
send_once(uint64_t number, unsigned attempt)
{
	const struct load_settings *settings = &load.settings;
	struct plain_call *plain_call = g_new0(struct plain_call, 1);
	struct outcome *outcome = &plain_call->outcome;

	*outcome = (struct outcome){.work = WORK_PLAIN_CALL,
	    .number = number,
	    .organisation = (unsigned)(number % g_strv_length(settings->keys)),
	    .attempt = attempt,
	    .start_s = load_now_s() - load.started_s,
	    .first_ms = -1.,
	    .deadline_ms = settings->deadline_short_ms,
	    .retry_after_s = -1};
	g_snprintf(outcome->key, sizeof(outcome->key),
	    "order-%08x-%" G_GUINT64_FORMAT,
	    (unsigned)(uint64_t)(load.started_s * MS_PER_S), number);
	plain_call->body = g_strdup_printf(
	    "{\"order\":%" G_GUINT64_FORMAT "}", number);
	start_call(plain_call);
}

/* Sends a plain call, and sometimes its duplicate. */
void
plain_call_send(uint64_t number)
{
	send_once(number, 0);
	if (g_rand_double(load.random) >= load.settings.duplicate_share)
		return;
	load.open++;
	send_once(number, 1);
}
