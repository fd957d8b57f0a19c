/*
 * Frames: an encoded message is decoded unchanged, and malformed frames give a
 * typed error.
 */
#include <string.h>

#include <glib.h>

#include "peer/message.h"

#define FUZZ_ROUNDS    20000
#define FUZZ_MAX_BYTES 256

/* Returns a submit with a member of every type set. */
static struct message
make_submit(void)
{
	static uint64_t prefixes[] = {1, UINT64_MAX};
	static char *imports[] = {"kv1@127.0.0.1:1", "kv2@127.0.0.1:2"};
	static uint8_t body[] = {'h', 0, 'i'};

	return (struct message){
	    .kind = MESSAGE_SUBMIT,
	    .request = "0123456789abcdef0123456789abcdef",
	    .attempt = 2,
	    .sequence = 7,
	    .config_version = 9,
	    .sent_ms = -5,
	    .submit =
		{
		    .organisation = "serra",
		    .class = WORK_LONG,
		    .prompt_tokens = 1000000,
		    .prefixes = {prefixes, 2},
		    .repeatable = true,
		    .body = {body, sizeof(body)},
		    .imports = {imports, 2},
		},
	};
}

/* A decoded submit equals the encoded one. */
static void
test_round_trip(void)
{
	struct message sent = make_submit();
	g_autoptr(GByteArray) frame = message_encode(&sent, NULL);
	struct message *decoded = message_decode(frame->data, frame->len, NULL);

	g_assert_nonnull(decoded);
	g_assert_cmpuint(decoded->kind, ==, MESSAGE_SUBMIT);
	g_assert_cmpstr(decoded->request, ==, sent.request);
	g_assert_cmpuint(decoded->attempt, ==, 2);
	g_assert_cmpint(decoded->sent_ms, ==, -5);
	g_assert_cmpstr(decoded->submit.organisation, ==, "serra");
	g_assert_cmpstr(decoded->submit.path, ==, "");
	g_assert_cmpuint(decoded->submit.prefixes.items[1], ==, UINT64_MAX);
	g_assert_cmpmem(
	    decoded->submit.body.data, decoded->submit.body.length, "h\0i", 3);
	g_assert_cmpstr(
	    decoded->submit.imports.items[1], ==, "kv2@127.0.0.1:2");
	message_free(decoded);
}

static const struct {
	const char *name;
	const char *bytes;
	size_t length;
	int code;
} bad_frames[] = {
    {"an empty frame is malformed", "", 0, MESSAGE_ERROR_MALFORMED},
    {"a frame that is no array is malformed", "\x01", 1,
	MESSAGE_ERROR_MALFORMED},
    {"an empty array is malformed", "\x90", 1, MESSAGE_ERROR_MALFORMED},
    {"an unknown kind has its own error", "\x96\x63\xa0\x00\x00\x00\x00", 7,
	MESSAGE_ERROR_UNKNOWN_KIND},
    {"a pong without its member is malformed", "\x96\x03\xa0\x00\x00\x00\x00",
	7, MESSAGE_ERROR_MALFORMED},
    {"bytes after the value are malformed", "\x96\x02\xa0\x00\x00\x00\x00\x00",
	8, MESSAGE_ERROR_MALFORMED},
};

/* Each malformed frame gives its error code. */
static void
test_bad_frame(gconstpointer index)
{
	size_t i = GPOINTER_TO_SIZE(index);
	g_autoptr(GError) error = NULL;
	struct message *decoded = message_decode(
	    (const uint8_t *)bad_frames[i].bytes, bad_frames[i].length, &error);

	g_assert_null(decoded);
	g_assert_error(error, MESSAGE_ERROR, bad_frames[i].code);
}

/* A pull from an earlier build lacks `changes`: it gets the whole document. */
static void
test_earlier_build(void)
{
	static const uint8_t pull[] = {
	    0x98, MESSAGE_PULL, 0xa0, 0, 0, 0, 0, 0xa2, 'u', 'p', 7};
	struct message *decoded = message_decode(pull, sizeof(pull), NULL);

	g_assert_nonnull(decoded);
	g_assert_cmpuint(decoded->pull.have, ==, 7);
	g_assert_false(decoded->pull.changes);
	message_free(decoded);
}

/*
 * A load from an earlier build, which ends before the CPU time, is read, and
 * the CPU time is unknown. Stating it costs at most two bytes more.
 */
static void
test_cpu_time(void)
{
	const struct message unknown = {.kind = MESSAGE_LOAD};
	const struct message known = {
	    .kind = MESSAGE_LOAD, .load = {.cpu_permille = 500}};
	g_autoptr(GByteArray) short_frame = message_encode(&unknown, NULL);
	g_autoptr(GByteArray) frame = message_encode(&known, NULL);
	struct message *decoded = message_decode(frame->data, frame->len, NULL);
	guint members;

	g_assert_nonnull(decoded);
	g_assert_cmpuint(decoded->load.cpu_permille, ==, 500);
	message_free(decoded);
	g_assert_cmpuint(frame->len, <=, short_frame->len + 2);
	/* An array of 16 or more members begins with 0xdc and their number. */
	g_assert_cmpuint(short_frame->data[0], ==, 0xdc);
	members = short_frame->data[2];
	short_frame->data[2] = (guint8)(members - 1);
	decoded = message_decode(short_frame->data, short_frame->len - 1, NULL);
	g_assert_nonnull(decoded);
	g_assert_cmpuint(decoded->load.cpu_permille, ==, 0);
	message_free(decoded);
}

/* Corrupted and truncated frames give a message or an error, never both. */
static void
test_fuzz(void)
{
	struct message sent = make_submit();
	g_autoptr(GByteArray) frame = message_encode(&sent, NULL);

	for (int round = 0; round < FUZZ_ROUNDS; round++) {
		g_autofree uint8_t *copy = g_memdup2(frame->data, frame->len);
		size_t length = (size_t)g_test_rand_int_range(
		    0, (gint32)frame->len + 1);
		g_autoptr(GError) error = NULL;
		struct message *decoded;

		for (int flip = 0; flip < 3; flip++)
			copy[g_test_rand_int_range(0, (gint32)frame->len)] ^=
			    (uint8_t)g_test_rand_int_range(0, 256);
		decoded = message_decode(copy, length, &error);
		g_assert_true((decoded == NULL) == (error != NULL));
		message_free(decoded);
	}
}

/* Random bytes give a message or an error, never both. */
static void
test_random_bytes(void)
{
	uint8_t bytes[FUZZ_MAX_BYTES];

	for (int round = 0; round < FUZZ_ROUNDS; round++) {
		size_t length = (size_t)g_test_rand_int_range(
		    0, FUZZ_MAX_BYTES);
		g_autoptr(GError) error = NULL;
		struct message *decoded;

		for (size_t i = 0; i < length; i++)
			bytes[i] = (uint8_t)g_test_rand_int_range(0, 256);
		decoded = message_decode(bytes, length, &error);
		g_assert_true((decoded == NULL) == (error != NULL));
		message_free(decoded);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/message/a decoded submit equals the encoded one",
	    test_round_trip);
	g_test_add_func(
	    "/message/a pull from an earlier build gets the whole document",
	    test_earlier_build);
	g_test_add_func("/message/a load from an earlier build has no CPU time",
	    test_cpu_time);
	g_test_add_func(
	    "/message/a damaged frame gives a message or an error", test_fuzz);
	g_test_add_func("/message/random bytes give a message or an error",
	    test_random_bytes);
	for (size_t i = 0; i < G_N_ELEMENTS(bad_frames); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/message/bad/%s", bad_frames[i].name);

		g_test_add_data_func(path, GSIZE_TO_POINTER(i), test_bad_frame);
	}
	return g_test_run();
}
