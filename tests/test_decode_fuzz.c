/*
 * Decoders of data from the platform with input damaged at random, from the
 * test's seed: what the object store or an upstream sends is decoded or
 * rejected, and never crashes the process.
 */
#include <string.h>

#include <glib.h>

#include "config_reader.h"
#include "gateway/event_splitter.h"
#include "platform/decode.h"
#include "platform/object_set.h"

#define ROUNDS	      4000
#define MUTATIONS_MAX 6

static const char routes[] =
    "[{\"Metadata\":{\"Name\":\"main\",\"Revision\":4},\"Spec\":{\"Version\":7,"
    "\"Routes\":[{\"Name\":\"r\",\"Host\":\"a.example\",\"PathPrefix\":\"/a/\","
    "\"Kind\":\"stream\",\"TimeoutMs\":900,\"CanResume\":true,\"Attempts\":2,"
    "\"Split\":[{\"Service\":\"s\",\"Weight\":9},{\"Service\":\"t\"}]}],"
    "\"Services\":[{\"Name\":\"s\",\"ColdS\":1.5,\"ColdPerS\":26,"
    "\"Engine\":{\"read_per_s\":177000,\"KvTokens\":9,\"Slots\":4,"
    "\"delays\":[{\"From\":\"y\",\"TargetVersion\":\"z\",\"delay_ms\":3.5}]}}],"
    "\"Limits\":{\"BodyBytes\":100},"
    "\"Tenants\":[{\"Name\":\"o\",\"Keys\":[\"k1\"],\"Priority\":3}]}}]";

static const char upstreams[] =
    "[{\"Metadata\":{\"Name\":\"i-1\",\"Revision\":9},\"Spec\":{\"Service\":"
    "\"s\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"z\",\"State\":\"ready\","
    "\"Slots\":16,\"ColdMs\":30,\"born\":1234567}},"
    "{\"Metadata\":{\"Name\":\"i-2\",\"Revision\":8},\"Spec\":{\"Service\":"
    "\"s\",\"Address\":\"127.0.0.1:2\",\"Zone\":\"y\",\"State\":\"draining\"}}"
    "]";

static const char events[] = "id: 1\ndata: {\"a\":1}\n\nid: 2\ndata: b\n\n"
			     ": comment\n\nid: 3\r\ndata: c\r\n\r\nid: 4\n";

/* Bytes with a meaning in JSON or event streams, preferred as replacements. */
static const char special_bytes[] = "{}[]\",:0-9.eE\\ntu\n\r ";

/* Returns a copy of a text with some bytes changed and possibly truncated. */
static char *
mutate(const char *text, size_t *length)
{
	char *copy = g_strdup(text);
	int mutation_count = g_test_rand_int_range(0, MUTATIONS_MAX + 1);

	*length = strlen(text);
	for (int i = 0; i < mutation_count; i++)
		copy[g_test_rand_int_range(0, (gint32)*length)] =
		    g_test_rand_int_range(0, 3) == 0
		    ? (char)g_test_rand_int_range(1, 256)
		    : special_bytes[g_test_rand_int_range(
			  0, sizeof(special_bytes) - 1)];
	if (g_test_rand_int_range(0, 4) == 0)
		*length = (size_t)g_test_rand_int_range(0, (gint32)*length + 1);
	return copy;
}

/*
 * Parses a damaged list of objects; returns NULL if it is not a list any more.
 */
static json_t *
mutated_list(const char *text)
{
	size_t length;
	g_autofree char *copy = mutate(text, &length);
	json_t *list = json_loadb(copy, length, 0, NULL);

	if (json_is_array(list))
		return list;
	json_decref(list);
	return NULL;
}

/* Puts the objects of a list that have names into a set, as the watch does. */
static void
put_named(struct object_set *set, const json_t *list)
{
	json_t *item;
	size_t i;

	json_array_foreach (list, i, item) {
		if (object_name(item) != NULL)
			object_set_put(set, item);
	}
}

/* Damaged routes and upstreams are decoded or left out. */
static void
test_objects(void)
{
	size_t decoded_count = 0;

	for (int round = 0; round < ROUNDS; round++) {
		struct object_set *set = object_set_new();
		const struct object_changes *changes;
		struct upstream_reports reports;
		g_autoptr(GError) error = NULL;
		struct routing_table *table;
		json_t *list = mutated_list(
		    round % 2 == 0 ? routes : upstreams);

		if (list != NULL)
			put_named(set, list);
		changes = object_set_commit(set, 1);
		reports = decode_upstreams(changes);
		table = config_reader_table(json_array_get(list, 0), &error);
		g_assert_true((table == NULL) == (error != NULL));
		json_decref(list);
		decoded_count += reports.items->len + (table != NULL);
		decode_upstreams_clear(&reports);
		if (table != NULL)
			routing_table_free(table);
		object_set_free(set);
	}
	g_assert_cmpuint(decoded_count, >, 0);
}

/* A set with damaged objects is encoded as a valid JSON list. */
static void
test_encode(void)
{
	for (int round = 0; round < ROUNDS; round++) {
		struct object_set *set = object_set_new();
		json_t *list = mutated_list(upstreams);
		g_autoptr(GString) text = NULL;
		uint64_t base;

		if (list != NULL)
			put_named(set, list);
		json_decref(list);
		object_set_remove(set, "i-1");
		object_set_commit(set, 2);
		text = object_set_encode(set, 1, &base);
		list = json_loadb(text->str, text->len, 0, NULL);
		g_assert_true(json_is_array(list));
		json_decref(list);
		object_set_free(set);
	}
}

/* Appends an event to the output. */
static void
on_event(void *data, const struct stream_event *event)
{
	g_byte_array_append(data, event->bytes, (guint)event->length);
}

/* The events of a damaged stream in random pieces are a prefix of its bytes. */
static void
test_events(void)
{
	for (int round = 0; round < ROUNDS; round++) {
		size_t length;
		g_autofree char *copy = mutate(events, &length);
		g_autoptr(GByteArray) out = g_byte_array_new();
		struct event_splitter splitter;
		size_t at = 0;

		event_splitter_init(&splitter);
		while (at < length) {
			size_t piece = (size_t)g_test_rand_int_range(
			    1, (gint32)(length - at) + 1);

			event_splitter_feed(&splitter,
			    (const uint8_t *)copy + at, piece, on_event, out);
			at += piece;
		}
		g_assert_cmpuint(out->len, <=, length);
		if (out->len > 0)
			g_assert_cmpmem(out->data, out->len, copy, out->len);
		event_splitter_clear(&splitter);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/decode/damaged objects are decoded or left out", test_objects);
	g_test_add_func(
	    "/decode/a set with damaged objects is encoded as valid JSON",
	    test_encode);
	g_test_add_func(
	    "/decode/events of a damaged stream are a prefix of its bytes",
	    test_events);
	return g_test_run();
}
