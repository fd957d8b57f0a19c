/*
 * Request and response bodies of callers: which are accepted, which are
 * rejected with which error, and the JSON that is sent.
 */
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "caller/completion.h"
#include "caller/failure.h"

#define FUZZ_ROUNDS 5000

static const struct {
	const char *name;
	bool chat;
	const char *body;
	int code;
	const char *message_part;
} rejected_bodies[] = {
    {"an empty body", false, "", CALLER_ERROR_MALFORMED_JSON, "line 1"},
    {"truncated JSON, with its line", false,
	"{\"model\":\"m\",\n\"prompt\":\"abc", CALLER_ERROR_MALFORMED_JSON,
	"line 2"},
    {"a list", false, "[]", CALLER_ERROR_INVALID_VALUE, "body"},
    {"no model", false, "{\"prompt\":\"x\"}", CALLER_ERROR_INVALID_VALUE,
	"model"},
    {"a prompt that is a number", false, "{\"model\":\"m\",\"prompt\":3}",
	CALLER_ERROR_INVALID_VALUE, "prompt"},
    {"a negative limit", false,
	"{\"model\":\"m\",\"prompt\":\"x\",\"max_tokens\":-1}",
	CALLER_ERROR_INVALID_VALUE, "max_tokens"},
    {"two choices", false, "{\"model\":\"m\",\"prompt\":\"x\",\"n\":2}",
	CALLER_ERROR_INVALID_VALUE, "'n'"},
    {"a stream flag that is text", false,
	"{\"model\":\"m\",\"prompt\":\"x\",\"stream\":\"yes\"}",
	CALLER_ERROR_INVALID_VALUE, "stream"},
    {"a chat without messages", true, "{\"model\":\"m\"}",
	CALLER_ERROR_INVALID_VALUE, "messages"},
    {"a message without a role", true,
	"{\"model\":\"m\",\"messages\":[{\"content\":\"x\"}]}",
	CALLER_ERROR_INVALID_VALUE, "messages.role"},
    {"a message whose content is a number", true,
	"{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":1}]}",
	CALLER_ERROR_INVALID_VALUE, "messages.content"},
};

/*
 * Each bad body is rejected with its code and a message that names the place.
 */
static void
test_rejected(gconstpointer index)
{
	size_t i = GPOINTER_TO_SIZE(index);
	const char *body = rejected_bodies[i].body;
	g_autoptr(GError) error = NULL;
	struct completion *got = completion_parse((const uint8_t *)body,
	    strlen(body), rejected_bodies[i].chat, &error);

	g_assert_null(got);
	g_assert_error(error, CALLER_ERROR, rejected_bodies[i].code);
	g_assert_nonnull(
	    strstr(error->message, rejected_bodies[i].message_part));
}

/* Damaged and truncated bodies are parsed or rejected with an error. */
static void
test_fuzz(void)
{
	static const char body[] =
	    "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":"
	    "[{\"type\":\"text\",\"text\":\"\\u00e9\"}]}],\"max_tokens\":5}";

	for (int round = 0; round < FUZZ_ROUNDS; round++) {
		g_autofree uint8_t *copy = g_memdup2(body, sizeof(body));
		size_t length = (size_t)g_test_rand_int_range(0, sizeof(body));
		g_autoptr(GError) error = NULL;
		struct completion *got;

		copy[g_test_rand_int_range(0, sizeof(body))] = (uint8_t)
		    g_test_rand_int_range(0, 256);
		got = completion_parse(copy, length, true, &error);
		g_assert_true((got == NULL) == (error != NULL));
		completion_free(got);
	}
}

/* A chat becomes one prompt in which each text follows its role. */
static void
test_chat(void)
{
	static const char body[] =
	    "{\"model\":\"m\",\"stream\":true,\"messages\":["
	    "{\"role\":\"system\",\"content\":\"rhyme\"},"
	    "{\"role\":\"user\",\"content\":\"rose\"}]}";
	struct completion *got = completion_parse(
	    (const uint8_t *)body, strlen(body), true, NULL);
	gsize length;
	const char *prompt = g_bytes_get_data(got->prompt, &length);

	g_assert_cmpmem(prompt, length, "system: rhyme\nuser: rose\n", 25);
	g_assert_true(got->stream);
	g_assert_cmpuint(got->prompt_tokens, ==, 7);
	completion_free(got);
}

/*
 * Prefix lengths double, and a longer prompt has the same hashes for the
 * prefixes that it shares with a shorter one.
 */
static void
test_prefixes(void)
{
	g_autofree uint8_t *text = g_malloc0(PROMPT_PREFIX_MIN_BYTES * 4);
	uint64_t of_four_blocks[PREFIXES_MAX];
	uint64_t of_three_blocks[PREFIXES_MAX];

	g_assert_cmpuint(prompt_hash_prefixes(text, PROMPT_PREFIX_MIN_BYTES - 1,
			     of_three_blocks),
	    ==, 0);
	g_assert_cmpuint(prompt_hash_prefixes(text, PROMPT_PREFIX_MIN_BYTES * 3,
			     of_three_blocks),
	    ==, 2);
	text[PROMPT_PREFIX_MIN_BYTES * 4 - 1] = 1;
	g_assert_cmpuint(prompt_hash_prefixes(
			     text, PROMPT_PREFIX_MIN_BYTES * 4, of_four_blocks),
	    ==, 3);
	g_assert_cmpuint(of_three_blocks[0], ==, of_four_blocks[0]);
	g_assert_cmpuint(of_three_blocks[1], ==, of_four_blocks[1]);
	g_assert_cmpuint(of_four_blocks[1], !=, of_four_blocks[2]);
}

/* Events and complete responses are JSON in the format that clients expect. */
static void
test_encode(void)
{
	const struct completion_metadata metadata = {"r1", "verse", true, 5};
	const struct completion_usage usage = {7, 2, 4};
	g_autoptr(GString) out = g_string_new(NULL);
	json_t *response;

	completion_write_event(out, &metadata, "u1.1.1", "a\"b", 3);
	g_assert_true(g_str_has_prefix(out->str, "id: u1.1.1\ndata: {"));
	g_assert_nonnull(strstr(out->str, "\"content\":\"a\\\"b\""));
	completion_write_end(out, &metadata, "u1.1.2", "stop", &usage);
	g_assert_true(g_str_has_suffix(out->str, "data: [DONE]\n\n"));
	g_string_truncate(out, 0);
	completion_write_response(out, &metadata, "roses", 5, "length", &usage);
	response = json_loads(out->str, 0, NULL);
	g_assert_cmpint(
	    json_integer_value(json_object_get(
		json_object_get(response, "usage"), "total_tokens")),
	    ==, 9);
	json_decref(response);
}

/*
 * Every failure has a code and an error status, and its outcome is "failed" or
 * "unknown", not "not run", where the request may have run.
 */
static void
test_failures(void)
{
	for (int code = 0; code < CALLER_ERROR_COUNT; code++) {
		g_assert_nonnull(failure_code((enum caller_error)code));
		g_assert_cmpint(
		    failure_status((enum caller_error)code), >=, 400);
	}
	g_assert_cmpstr(
	    failure_outcome(CALLER_ERROR_OUTCOME_UNKNOWN), ==, "unknown");
	g_assert_cmpstr(failure_outcome(CALLER_ERROR_DEADLINE), ==, "failed");
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(rejected_bodies); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/completion/rejected/%s", rejected_bodies[i].name);

		g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_rejected);
	}
	g_test_add_func(
	    "/completion/a damaged body is parsed or rejected", test_fuzz);
	g_test_add_func("/completion/a chat becomes one prompt", test_chat);
	g_test_add_func(
	    "/completion/a shared prefix has the same hash", test_prefixes);
	g_test_add_func(
	    "/completion/events and responses are in the clients' format",
	    test_encode);
	g_test_add_func(
	    "/failure/each failure has a code, a status and an outcome",
	    test_failures);
	return g_test_run();
}
