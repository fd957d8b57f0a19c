/*
 * Checks that the KV blocks which a run imports exist on the engines it names.
 */
#include <string.h>

#include "engine.h"

#define CHECK_TIMEOUT_MS 2000

struct import_check {
	struct pending_request pending;
	struct httpd_request *request; /* NULL once it has closed */
	json_t *body;
	imports_checked_fn *checked;
	unsigned pending_calls;
	unsigned missing;
	uint64_t tokens;
};

/* The check of one block. */
struct import_call {
	struct import_check *check;
	char *id;
};

/* The client disconnected during the check. */
static void
on_check_closed(struct pending_request *pending)
{
	((struct import_check *)pending)->request = NULL;
}

/* All calls have ended: starts the run, or responds 424. */
static void
check_finish(struct import_check *check)
{
	struct httpd_request *request = check->request;

	if (request == NULL) {
		json_decref(check->body);
	} else {
		httpd_request_set_data(request, NULL);
		if (check->missing == 0) {
			check->checked(request, check->body, check->tokens);
		} else {
			engine.imports_missing++;
			json_decref(check->body);
			standin_respond_error(request, 424, "import_missing",
			    "a block to import does not exist");
		}
	}
	g_free(check);
}

/* Returns the tokens of a block in another engine's list; 0 if missing. */
static uint64_t
find_block(const GByteArray *body, const char *id)
{
	json_t *json = json_loadb((const char *)body->data, body->len, 0, NULL);
	json_t *blocks = json_object_get(json, "blocks");
	uint64_t tokens = 0;
	json_t *block;
	size_t i;

	json_array_foreach (blocks, i, block) {
		const char *name = json_string_value(
		    json_object_get(block, "id"));

		if (g_strcmp0(name, id) == 0)
			tokens = (uint64_t)json_integer_value(
			    json_object_get(block, "tokens"));
	}
	json_decref(json);
	return tokens;
}

/* Another engine has listed its blocks, or the call failed. */
static void
on_blocks_listed(
    void *data, struct http_call *call, const struct http_result *result)
{
	struct import_call *import = data;
	struct import_check *check = import->check;
	uint64_t tokens = 0;

	if (result->error == NULL && result->status == 200)
		tokens = find_block(result->body, import->id);
	check->tokens += tokens;
	check->missing += tokens == 0;
	g_free(import->id);
	g_free(import);
	if (--check->pending_calls == 0)
		check_finish(check);
}

/* Requests the block list for an import, KVID@HOST:PORT. */
static void
request_blocks(struct import_check *check, const char *text)
{
	static const struct http_call_ops ops = {.done = on_blocks_listed};
	const char *at = strrchr(text, '@');
	g_autofree char *url = NULL;
	struct import_call *import;

	if (at == NULL) {
		check->missing++;
		return;
	}
	import = g_new0(struct import_call, 1);
	import->check = check;
	import->id = g_strndup(text, (gsize)(at - text));
	url = g_strdup_printf("http://%s/v1/kv", at + 1);
	check->pending_calls++;
	http_client_start(engine.http,
	    &(struct http_call_request){
		.method = "GET", .url = url, .timeout_ms = CHECK_TIMEOUT_MS},
	    &ops, import);
}

/* Checks the imports, then passes on their tokens; takes over the body. */
void
imports_check(
    struct httpd_request *request, json_t *body, imports_checked_fn *checked)
{
	json_t *imports = json_object_get(body, "imports");
	struct import_check *check;
	json_t *import;
	size_t i;

	if (json_array_size(imports) == 0) {
		checked(request, body, 0);
		return;
	}
	check = g_new0(struct import_check, 1);
	check->pending.closed = on_check_closed;
	check->request = request;
	check->body = body;
	check->checked = checked;
	check->pending_calls = 1;
	httpd_request_set_data(request, check);
	json_array_foreach (imports, i, import)
		request_blocks(check,
		    json_is_string(import) ? json_string_value(import) : "");
	if (--check->pending_calls == 0)
		check_finish(check);
}
