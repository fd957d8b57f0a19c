#include "caller/completion.h"

#include <string.h>

#include <jansson.h>
#include <xxhash.h>

#include "caller/failure.h"

/* Sets an error that names the invalid member; returns false. */
static bool
set_member_error(GError **error, const char *member, const char *why)
{
	g_set_error(error, CALLER_ERROR, CALLER_ERROR_INVALID_VALUE, "'%s' %s",
	    member, why);
	return false;
}

/* Estimates a prompt's number of tokens from its length in bytes. */
uint64_t
prompt_estimate_tokens(size_t bytes)
{
	return (bytes + PROMPT_BYTES_PER_TOKEN - 1) / PROMPT_BYTES_PER_TOKEN;
}

/*
 * Hashes the prompt's prefixes of 4096 x 2^n bytes in one pass. Returns their
 * count, 0 for a prompt shorter than the first.
 */
size_t
prompt_hash_prefixes(
    const uint8_t *prompt, size_t length, uint64_t prefixes[PREFIXES_MAX])
{
	XXH3_state_t *state = XXH3_createState();
	size_t done = 0;
	size_t count = 0;
	size_t end = PROMPT_PREFIX_MIN_BYTES;

	XXH3_64bits_reset(state);
	while (end <= length && count < PREFIXES_MAX) {
		XXH3_64bits_update(state, prompt + done, end - done);
		prefixes[count++] = XXH3_64bits_digest(state);
		done = end;
		end *= 2;
	}
	XXH3_freeState(state);
	return count;
}

/* Reads the prompt of a completion: a string, or a list of one. */
static bool
read_prompt(json_t *root, struct completion *out, GError **error)
{
	json_t *prompt = json_object_get(root, "prompt");

	if (json_array_size(prompt) == 1)
		prompt = json_array_get(prompt, 0);
	if (!json_is_string(prompt))
		return set_member_error(error, "prompt", "must be a string");
	out->prompt = g_bytes_new(
	    json_string_value(prompt), json_string_length(prompt));
	return true;
}

/* Appends a message's text; false if it has parts that are not text. */
static bool
append_content(GString *prompt, json_t *content)
{
	json_t *part;
	size_t i;

	if (json_is_string(content)) {
		g_string_append_len(prompt, json_string_value(content),
		    (gssize)json_string_length(content));
		return true;
	}
	if (!json_is_array(content))
		return false;
	json_array_foreach (content, i, part) {
		json_t *text = json_object_get(part, "text");

		if (!json_is_string(text))
			return false;
		g_string_append_len(prompt, json_string_value(text),
		    (gssize)json_string_length(text));
	}
	return true;
}

/* Joins a chat's messages into one prompt, a line "ROLE: TEXT" for each. */
static bool
read_messages(json_t *root, struct completion *out, GError **error)
{
	json_t *messages = json_object_get(root, "messages");
	GString *prompt;
	json_t *message;
	size_t i;

	if (json_array_size(messages) == 0)
		return set_member_error(
		    error, "messages", "must be a list of messages");
	prompt = g_string_new(NULL);
	json_array_foreach (messages, i, message) {
		const char *role = json_string_value(
		    json_object_get(message, "role"));

		if (role == NULL) {
			g_string_free(prompt, TRUE);
			return set_member_error(
			    error, "messages.role", "must be a string");
		}
		g_string_append_printf(prompt, "%s: ", role);
		if (!append_content(
			prompt, json_object_get(message, "content"))) {
			g_string_free(prompt, TRUE);
			return set_member_error(
			    error, "messages.content", "must be text");
		}
		g_string_append_c(prompt, '\n');
	}
	out->prompt = g_string_free_to_bytes(prompt);
	return true;
}

/* Reads the limit of output tokens, by its old or its new name. */
static bool
read_limit(json_t *root, struct completion *out, GError **error)
{
	const char *name = "max_tokens";
	json_t *limit = json_object_get(root, name);

	if (limit == NULL || json_is_null(limit)) {
		name = "max_completion_tokens";
		limit = json_object_get(root, name);
	}
	if (limit == NULL || json_is_null(limit))
		return true;
	if (!json_is_integer(limit) || json_integer_value(limit) < 1 ||
	    json_integer_value(limit) > OUTPUT_MAX_TOKENS)
		return set_member_error(
		    error, name, "must be from 1 to 131072");
	out->output_tokens = (uint64_t)json_integer_value(limit);
	return true;
}

/* Reads whether to stream, and whether to send usage at the end of it. */
static bool
read_stream(json_t *root, struct completion *out, GError **error)
{
	json_t *stream = json_object_get(root, "stream");
	json_t *options = json_object_get(root, "stream_options");

	if (stream != NULL && !json_is_null(stream) && !json_is_boolean(stream))
		return set_member_error(
		    error, "stream", "must be true or false");
	out->stream = json_is_true(stream);
	out->stream_usage = json_is_true(
	    json_object_get(options, "include_usage"));
	return true;
}

/* Rejects a request for more than one choice, which is not supported. */
static bool
check_choices(json_t *root, GError **error)
{
	json_t *n = json_object_get(root, "n");

	if (n != NULL && !json_is_null(n) && json_integer_value(n) != 1)
		return set_member_error(error, "n", "must be 1");
	return true;
}

static bool
read_members(json_t *root, struct completion *out, GError **error)
{
	const char *model = json_string_value(json_object_get(root, "model"));

	if (!json_is_object(root))
		return set_member_error(error, "body", "must be an object");
	if (model == NULL)
		return set_member_error(error, "model", "must be a string");
	out->model = g_strdup(model);
	if (!check_choices(root, error) || !read_limit(root, out, error) ||
	    !read_stream(root, out, error))
		return false;
	if (out->chat)
		return read_messages(root, out, error);
	return read_prompt(root, out, error);
}

/* Sets the token estimate and the prefix hashes of the prompt. */
static void
set_prompt_size(struct completion *completion)
{
	gsize length;
	const uint8_t *prompt = g_bytes_get_data(completion->prompt, &length);

	completion->prompt_tokens = prompt_estimate_tokens(length);
	completion->prefix_count = prompt_hash_prefixes(
	    prompt, length, completion->prefixes);
}

/*
 * Parses the body of a completion or chat request. Returns NULL with
 * CALLER_ERROR_MALFORMED_JSON, which names the line and column, or
 * CALLER_ERROR_INVALID_VALUE, which names the member. Freed with
 * completion_free().
 */
struct completion *
completion_parse(const uint8_t *body, size_t length, bool chat, GError **error)
{
	struct completion *completion;
	json_error_t fault;
	json_t *root;

	root = json_loadb((const char *)body, length, 0, &fault);
	if (root == NULL) {
		g_set_error(error, CALLER_ERROR, CALLER_ERROR_MALFORMED_JSON,
		    "body is not JSON at line %d column %d: %s", fault.line,
		    fault.column, fault.text);
		return NULL;
	}
	completion = g_new0(struct completion, 1);
	completion->chat = chat;
	if (read_members(root, completion, error)) {
		set_prompt_size(completion);
	} else {
		completion_free(completion);
		completion = NULL;
	}
	json_decref(root);
	return completion;
}

/* Frees a parsed request; NULL is allowed. */
void
completion_free(struct completion *completion)
{
	if (completion == NULL)
		return;
	g_free(completion->model);
	if (completion->prompt != NULL)
		g_bytes_unref(completion->prompt);
	g_free(completion);
}

/* Returns an object with one choice; takes the reference to the choice. */
static json_t *
make_object(const struct completion_metadata *metadata, const char *object,
    json_t *choice)
{
	g_autofree char *id = g_strdup_printf(
	    "%s-%s", metadata->chat ? "chatcmpl" : "cmpl", metadata->request);

	return json_pack("{s:s, s:s, s:I, s:s, s:[o]}", "id", id, "object",
	    object, "created", (json_int_t)metadata->created_s, "model",
	    metadata->model, "choices", choice);
}

/* Returns the "usage" object of the OpenAI API. */
static json_t *
make_usage(const struct completion_usage *usage)
{
	uint64_t total = usage->prompt_tokens + usage->output_tokens;

	return json_pack("{s:I, s:I, s:I, s:{s:I}}", "prompt_tokens",
	    (json_int_t)usage->prompt_tokens, "completion_tokens",
	    (json_int_t)usage->output_tokens, "total_tokens", (json_int_t)total,
	    "prompt_tokens_details", "cached_tokens",
	    (json_int_t)usage->cached_tokens);
}

/* Returns a choice of a stream event; the reason is NULL if more follow. */
static json_t *
make_delta(const struct completion_metadata *metadata, json_t *text,
    const char *reason)
{
	if (!metadata->chat)
		return json_pack("{s:i, s:o, s:s?}", "index", 0, "text", text,
		    "finish_reason", reason);
	return json_pack("{s:i, s:{s:s, s:o}, s:s?}", "index", 0, "delta",
	    "role", "assistant", "content", text, "finish_reason", reason);
}

/* Appends an object as one server-sent event and frees the object. */
static void
write_json_event(GString *out, const char *id, json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT);

	g_string_append_printf(out, "id: %s\ndata: %s\n\n", id, text);
	free(text);
	json_decref(object);
}

/* Appends a chunk of text as one event; invalid UTF-8 becomes U+FFFD. */
void
completion_write_event(GString *out, const struct completion_metadata *metadata,
    const char *id, const char *text, size_t length)
{
	json_t *part = json_stringn(text, length);
	const char *object = metadata->chat ? "chat.completion.chunk"
					    : "text_completion";

	if (part == NULL)
		part = json_string("\xef\xbf\xbd");
	write_json_event(out, id,
	    make_object(metadata, object, make_delta(metadata, part, NULL)));
}

/*
 * Appends the last events of a stream: one with the finish reason and, unless
 * it is NULL, the usage, and then "[DONE]".
 */
void
completion_write_end(GString *out, const struct completion_metadata *metadata,
    const char *id, const char *finish_reason,
    const struct completion_usage *usage)
{
	const char *object = metadata->chat ? "chat.completion.chunk"
					    : "text_completion";
	json_t *last = make_object(metadata, object,
	    make_delta(metadata, json_string(""), finish_reason));

	if (usage != NULL)
		json_object_set_new(last, "usage", make_usage(usage));
	write_json_event(out, id, last);
	g_string_append(out, "data: [DONE]\n\n");
}

/* Appends the response body of a request that is not streamed. */
void
completion_write_response(GString *out,
    const struct completion_metadata *metadata, const char *text, size_t length,
    const char *finish_reason, const struct completion_usage *usage)
{
	json_t *part = json_stringn(text, length);
	json_t *choice;
	json_t *object;
	char *body;

	if (metadata->chat)
		choice = json_pack("{s:i, s:{s:s, s:o}, s:s}", "index", 0,
		    "message", "role", "assistant", "content", part,
		    "finish_reason", finish_reason);
	else
		choice = json_pack("{s:i, s:o, s:s}", "index", 0, "text", part,
		    "finish_reason", finish_reason);
	object = make_object(metadata,
	    metadata->chat ? "chat.completion" : "text_completion", choice);
	json_object_set_new(object, "usage", make_usage(usage));
	body = json_dumps(object, JSON_COMPACT);
	g_string_append(out, body);
	free(body);
	json_decref(object);
}
