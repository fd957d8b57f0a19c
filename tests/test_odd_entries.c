/*
 * One odd entry among those of others, from a writer with a fault: it is set
 * aside, the others hold, and later changes are followed, whether the entry
 * comes in a list, in an event or from another gateway.
 */
#include <string.h>

#include "cases.h"
#include "platform/decode.h"
#include "platform/object_watch.h"
#include "platform/tolerant_json.h"

#define GOOD                                                             \
	"{\"Metadata\":{\"Name\":\"%s\",\"Revision\":3},\"Spec\":{"      \
	"\"Service\":\"s\",\"Address\":\"127.0.0.1:80\",\"Zone\":\"z\"," \
	"\"State\":\"ready\",\"Slots\":4}}"
#define DEPTH  100000
#define MANY   100000
#define ROUNDS 4000

/* What the odd entry's specification has in place of a good one's member. */
static const struct odd_case {
	const char *name;
	const char *member; /* of the specification; NULL: nested deeply */
	const char *value; /* NULL: a very long name */
	bool usable; /* what is odd does not matter */
} cases[] = {
    {"a very deeply nested one", NULL, NULL, false},
    {"an integer beyond 64 bits", "Slots", "18446744073709551616", false},
    {"a real beyond a double", "Slots", "1e400", false},
    {"slots below the range", "Slots", "0", false},
    {"negative slots", "Slots", "-4", false},
    {"slots beyond the range", "Slots", "4294967296", false},
    {"slots that are a text", "Slots", "\"4\"", false},
    {"a port beyond the range", "Address", "\"127.0.0.1:65536\"", false},
    {"a port with too many digits", "Address",
	"\"127.0.0.1:99999999999999999999\"", false},
    {"port 0", "Address", "\"127.0.0.1:0\"", false},
    {"a negative port", "Address", "\"127.0.0.1:-1\"", false},
    {"an address without a port", "Address", "\"127.0.0.1\"", false},
    {"an address with a path", "Address", "\"127.0.0.1:80/x\"", false},
    {"an address that is a number", "Address", "127", false},
    {"an empty address", "Address", "\"\"", false},
    {"a NUL in a text", "Service", "\"s\\u0000\"", false},
    {"invalid UTF-8", "Service", "\"s\xff\xfe\"", false},
    {"half a surrogate pair", "Service", "\"\\ud800\"", false},
    {"an unknown state", "State", "\"sleeping\"", false},
    {"a state of another type", "State", "[]", false},
    {"a time in the far future", "ColdMs", "9e15", true},
    {"a time beyond 64 bits", "ColdMs", "1e300", true},
    {"a negative time", "ColdMs", "-5", true},
    {"a start beyond 64 bits", "born", "1e300", true},
    {"a very long text", "Service", NULL, true},
};

/* Changes as a watch reported them last. */
struct seen {
	GHashTable *usable; /* names of upstreams */
	size_t changes;
};

/* Writes the odd entry. */
static char *
write_odd(const struct odd_case *c)
{
	g_autofree char *filler = NULL;

	if (c->member == NULL) {
		g_autofree char *open = g_strnfill(DEPTH, '[');
		g_autofree char *close = g_strnfill(DEPTH, ']');

		return g_strdup_printf(
		    "{\"Metadata\":{\"Name\":\"odd\",\"Revision\":3},"
		    "\"Spec\":{\"Address\":%s%s}}",
		    open, close);
	}
	if (c->value == NULL)
		filler = g_strnfill(MANY, 'x');
	/* Of members with the same name the last counts. */
	return g_strdup_printf("{\"Metadata\":{\"Name\":\"odd\","
			       "\"Revision\":3},\"Spec\":{"
			       "\"Service\":\"s\",\"Address\":\"127.0.0.1:80\","
			       "\"Zone\":\"z\",\"State\":\"ready\","
			       "\"Slots\":4,\"%s\":%s%s%s}}",
	    c->member, c->value != NULL ? "" : "\"",
	    c->value != NULL ? c->value : filler, c->value != NULL ? "" : "\"");
}

/* Notes which upstreams are usable. */
static void
on_change(void *data, uint64_t version, const struct object_changes *changes)
{
	struct seen *seen = data;
	struct upstream_reports reports = decode_upstreams(changes);

	for (guint i = 0; i < reports.items->len; i++)
		g_hash_table_add(seen->usable,
		    g_strdup(
			g_array_index(reports.items, struct upstream_report, i)
			    .id));
	for (guint i = 0; i < reports.unusable->len; i++)
		g_hash_table_remove(seen->usable, reports.unusable->pdata[i]);
	for (size_t i = 0; i < changes->removed_count; i++)
		g_hash_table_remove(seen->usable, changes->removed[i]);
	seen->changes++;
	decode_upstreams_clear(&reports);
}

/* Applies an update from a peer, which must succeed. */
static void
apply(struct object_watch *watch, uint64_t base, uint64_t version,
    const char *text)
{
	g_assert_true(object_watch_apply_update(
	    watch, base, version, (const uint8_t *)text, strlen(text)));
}

/* Asserts which upstreams are usable. */
static void
assert_usable(const struct seen *seen, const char *name, bool usable)
{
	g_assert_cmpint(g_hash_table_contains(seen->usable, name), ==, usable);
}

/*
 * Runs one case: the odd entry comes between two others, then replaces one that
 * was usable in an event between two others, then a later event comes.
 */
static void
test_entry(gconstpointer data)
{
	const struct odd_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct http_client *http = http_client_new(loop, NULL);
	struct object_store *store = object_store_new(
	    http, clock_system(), "127.0.0.1:1", NULL);
	struct seen seen = {
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL), 0};
	struct object_watch *watch = object_watch_new(loop, clock_system(),
	    store, DECODE_KIND_UPSTREAMS, on_change, &seen);
	g_autofree char *a = g_strdup_printf(GOOD, "a");
	g_autofree char *b = g_strdup_printf(GOOD, "b");
	g_autofree char *good = g_strdup_printf(GOOD, "odd");
	g_autofree char *odd = write_odd(c);
	g_autofree char *list = g_strdup_printf("[%s,%s,%s]", a, odd, b);
	g_autofree char *repaired = g_strdup_printf("[{\"Object\":%s}]", good);
	g_autofree char *events = g_strdup_printf("[{\"Object\":%s},"
						  "{\"Object\":%s,"
						  "\"Tombstone\":false},"
						  "{\"Tombstone\":true,"
						  "\"Object\":%s}]",
	    a, odd, b);

	object_watch_set_active(watch, false);
	apply(watch, 0, 5, list);
	assert_usable(&seen, "a", true);
	assert_usable(&seen, "odd", c->usable);
	assert_usable(&seen, "b", true);
	apply(watch, 5, 6, repaired);
	assert_usable(&seen, "odd", true);
	apply(watch, 6, 7, events);
	assert_usable(&seen, "a", true);
	assert_usable(&seen, "odd", c->usable);
	assert_usable(&seen, "b", false);
	apply(watch, 7, 8, repaired);
	assert_usable(&seen, "odd", true);
	object_watch_free(watch);
	object_store_free(store);
	http_client_free(http);
	g_hash_table_unref(seen.usable);
	ev_loop_destroy(loop);
}

/* Changes some bytes of a text from one position on. */
static void
damage(char *text, size_t from, const char *kept)
{
	size_t length = strlen(text);

	for (int i = g_test_rand_int_range(1, 6); i > 0; i--) {
		char *at = text +
		    g_test_rand_int_range((gint32)from, (gint32)length);

		if (strchr(kept, *at) != NULL)
			continue;
		do
			*at = (char)g_test_rand_int_range(1, 256);
		while (strchr(kept, *at) != NULL);
	}
}

/* Does nothing with what is left out. */
static void
ignore(void *data, const char *name, const char *member, const char *why)
{
}

/*
 * Bytes of an entry's values that are changed at random, but for those that
 * structure the document, never affect the entries beside it.
 */
static void
test_damaged_values(void)
{
	g_autofree char *a = g_strdup_printf(GOOD, "a");
	g_autofree char *b = g_strdup_printf(GOOD, "b");

	for (int round = 0; round < ROUNDS; round++) {
		g_autofree char *odd = g_strdup_printf(GOOD, "odd");
		g_autofree char *list = NULL;
		json_t *parsed;
		size_t count;

		damage(odd, strlen("{\"Metadata\":{"), "\"\\{}[],:");
		list = g_strdup_printf("[%s,%s,%s]", a, odd, b);
		parsed = tolerant_json_load(
		    list, strlen(list), TOLERANT_JSON_LIST, ignore, NULL);
		count = json_array_size(parsed);
		g_assert_cmpuint(count, >=, 2);
		g_assert_cmpstr(
		    object_name(json_array_get(parsed, 0)), ==, "a");
		g_assert_cmpstr(
		    object_name(json_array_get(parsed, count - 1)), ==, "b");
		json_decref(parsed);
	}
}

/* Any bytes, also cut off anywhere, are parsed or refused. */
static void
test_damaged_documents(void)
{
	for (int round = 0; round < ROUNDS; round++) {
		g_autofree char *a = g_strdup_printf(GOOD, "a");
		g_autofree char *text = g_strdup_printf(
		    "{\"events\":[{\"Object\":%s,\"Tombstone\":false}],"
		    "\"StoreRevision\":7}",
		    a);
		size_t length = (size_t)g_test_rand_int_range(
		    1, (gint32)strlen(text) + 1);

		damage(text, 0, "");
		json_decref(tolerant_json_load(
		    text, length, TOLERANT_JSON_BODY, ignore, NULL));
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/odd_entries", test_entry);
	g_test_add_func("/odd_entries/damaged values do not affect others",
	    test_damaged_values);
	g_test_add_func("/odd_entries/damaged documents are parsed or refused",
	    test_damaged_documents);
	return g_test_run();
}
