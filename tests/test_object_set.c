/*
 * Sets of objects and their changes: what is encoded for another process, and
 * that the process always ends up with the same objects.
 */
#include <string.h>

#include <glib.h>

#include "platform/object_set.h"
#include "platform/store_version.h"

#define MODEL_NAMES	12
#define MODEL_ROUNDS	4000
#define MODEL_FOLLOWERS 3

static json_t *
make_object(const char *name, uint64_t revision)
{
	return json_pack("{s:{s:s, s:I}}", "Metadata", "Name", name, "Revision",
	    (json_int_t)revision);
}

/* Adds or replaces an object. */
static void
put(struct object_set *set, const char *name, uint64_t revision)
{
	json_t *json = make_object(name, revision);

	object_set_put(set, json);
	json_decref(json);
}

/* Commits the changes as a version. */
static void
commit(struct object_set *set, uint64_t version)
{
	object_set_commit(set, version);
	object_set_release_changes(set);
}

/* Removes all objects but those named, as an update says. */
static void
retain(struct object_set *set, json_t *list)
{
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
	json_t *name;
	size_t i;

	json_array_foreach (list, i, name)
		g_hash_table_add(names, (char *)json_string_value(name));
	object_set_retain(set, names);
}

/* Applies another set's encoded update, as a process at version `have` does. */
static void
apply_update(struct object_set *set, const struct object_set *from,
    uint64_t have, uint64_t version)
{
	uint64_t base;
	g_autoptr(GString) text = object_set_encode(from, have, &base);
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
	json_t *list = json_loads(text->str, 0, NULL);
	json_t *item;
	size_t i;

	g_assert_true(json_is_array(list));
	g_assert_true(base == 0 || base == have);
	json_array_foreach (list, i, item) {
		json_t *json = base == 0 ? item
					 : json_object_get(item, "Object");
		json_t *retained = json_object_get(item, OBJECT_SET_RETAINED);

		if (retained != NULL) {
			retain(set, retained);
			continue;
		}
		if (base != 0 &&
		    json_is_true(json_object_get(item, "Tombstone"))) {
			object_set_remove(set, object_name(json));
			continue;
		}
		g_hash_table_add(names, (char *)object_name(json));
		object_set_put(set, json);
	}
	if (base == 0)
		object_set_retain(set, names);
	json_decref(list);
	commit(set, version);
}

/* Encodes a whole set as JSON, sorted by name. */
static char *
encode_sorted(const struct object_set *set)
{
	uint64_t base;
	g_autoptr(GString) text = object_set_encode(set, 0, &base);
	json_t *list = json_loads(text->str, 0, NULL);
	json_t *by_name = json_object();
	json_t *item;
	char *out;
	size_t i;

	json_array_foreach (list, i, item)
		json_object_set(by_name, object_name(item), item);
	out = json_dumps(by_name, JSON_SORT_KEYS);
	json_decref(by_name);
	json_decref(list);
	return out;
}

/* Returns whether two sets have the same objects. */
static bool
is_equal(const struct object_set *a, const struct object_set *b)
{
	char *one = encode_sorted(a);
	char *other = encode_sorted(b);
	bool same = strcmp(one, other) == 0;

	free(one);
	free(other);
	return same;
}

/* An update since a version contains each changed object once. */
static void
test_changes(void)
{
	struct object_set *set = object_set_new();
	const struct object_changes *changes;
	uint64_t base;
	GString *text;

	put(set, "a", 1);
	put(set, "b", 2);
	commit(set, 2);
	put(set, "a", 3);
	put(set, "a", 4);
	object_set_remove(set, "b");
	object_set_remove(set, "never there");
	changes = object_set_commit(set, 4);
	g_assert_cmpuint(changes->put_count, ==, 1);
	g_assert_cmpuint(changes->removed_count, ==, 1);
	g_assert_cmpstr(changes->removed[0], ==, "b");
	object_set_release_changes(set);
	text = object_set_encode(set, 2, &base);
	g_assert_cmpuint(base, ==, 2);
	g_assert_nonnull(strstr(text->str, "\"Revision\":4"));
	g_assert_nonnull(
	    strstr(text->str, "{\"Name\":\"b\"}},\"Tombstone\":true"));
	g_string_free(text, TRUE);
	text = object_set_encode(set, 4, &base);
	g_assert_cmpstr(text->str, ==, "[]");
	g_string_free(text, TRUE);
	object_set_free(set);
}

/* The current revision, or an older one, changes nothing. */
static void
test_current(void)
{
	struct object_set *set = object_set_new();

	put(set, "a", 5);
	commit(set, 7);
	put(set, "a", 5);
	put(set, "a", 4);
	g_assert_false(object_set_is_changed(set));
	put(set, "a", 6);
	g_assert_true(object_set_is_changed(set));
	object_set_free(set);
}

/*
 * A later text of an object whose revision can't be read is a change: which of
 * the two is older is not known, and the store sends events in order.
 */
static void
test_unreadable_revision(void)
{
	struct object_set *set = object_set_new();
	json_t *json = json_pack("{s:{s:s, s:s}, s:s}", "Metadata", "Name", "a",
	    "Revision", "8", "Spec", "new");

	put(set, "a", 5);
	commit(set, 7);
	object_set_put(set, json);
	g_assert_true(object_set_is_changed(set));
	json_decref(json);
	object_set_free(set);
}

/* A version older than the tombstones kept gets the whole set. */
static void
test_tombstones_dropped(void)
{
	struct object_set *set = object_set_new();
	struct object_set *other = object_set_new();
	GString *text;
	uint64_t base;

	put(set, "a", 1);
	for (uint64_t i = 0; i <= OBJECT_SET_TOMBSTONES_MAX; i++) {
		g_autofree char *name = g_strdup_printf("n%d", (int)i);

		put(set, name, 1);
	}
	commit(set, 2);
	apply_update(other, set, 0, 2);
	for (uint64_t i = 0; i <= OBJECT_SET_TOMBSTONES_MAX; i++) {
		g_autofree char *name = g_strdup_printf("n%d", (int)i);

		object_set_remove(set, name);
		commit(set, 3 + i);
	}
	text = object_set_encode(set, 2, &base);
	g_assert_cmpuint(base, ==, 2);
	g_assert_cmpstr(text->str, ==, "[{\"Retained\":[\"a\"]}]");
	g_string_free(text, TRUE);
	text = object_set_encode(set, 3, &base);
	g_assert_cmpuint(base, ==, 3);
	g_assert_null(strstr(text->str, "Retained"));
	g_string_free(text, TRUE);
	apply_update(other, set, 2, 3 + OBJECT_SET_TOMBSTONES_MAX);
	g_assert_true(is_equal(set, other));
	object_set_free(other);
	object_set_free(set);
}

/*
 * A list of several pages may contain objects newer than the version of its
 * first page. The event that follows is still passed on to other processes.
 */
static void
test_newer_than_list(void)
{
	struct object_set *set = object_set_new();
	struct object_set *other = object_set_new();

	commit(other, 7);
	put(set, "a", 8);
	commit(set, 7);
	put(set, "a", 8);
	g_assert_true(object_set_is_changed(set));
	commit(set, 8);
	apply_update(other, set, 7, 8);
	g_assert_true(is_equal(set, other));
	object_set_free(other);
	object_set_free(set);
}

/*
 * An object was created and removed while one set was not updated. That set
 * must still pass on the removal to a third set, which has the object.
 */
static void
test_unseen_object(void)
{
	struct object_set *sets[3];

	for (size_t i = 0; i < G_N_ELEMENTS(sets); i++) {
		sets[i] = object_set_new();
		commit(sets[i], 1);
	}
	put(sets[0], "a", 2);
	commit(sets[0], 2);
	apply_update(sets[2], sets[0], 1, 2);
	object_set_remove(sets[0], "a");
	commit(sets[0], 3);
	apply_update(sets[1], sets[0], 1, 3);
	apply_update(sets[2], sets[1], 2, 3);
	g_assert_true(is_equal(sets[2], sets[0]));
	for (size_t i = 0; i < G_N_ELEMENTS(sets); i++)
		object_set_free(sets[i]);
}

/*
 * A process that listed all objects itself knows no earlier history. One with
 * an earlier version still gets only what differs.
 */
static void
test_listed_later(void)
{
	struct object_set *early = object_set_new();
	struct object_set *late = object_set_new();
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
	uint64_t base;
	GString *text;

	put(early, "a", 1);
	put(early, "b", 2);
	put(early, "c", 3);
	commit(early, 3);
	put(late, "a", 1);
	put(late, "b", 5);
	g_hash_table_add(names, "a");
	g_hash_table_add(names, "b");
	object_set_retain(late, names);
	commit(late, 6);
	text = object_set_encode(late, 3, &base);
	g_assert_cmpuint(base, ==, 3);
	g_assert_null(strstr(text->str, "\"Revision\":1"));
	g_string_free(text, TRUE);
	apply_update(early, late, 3, 6);
	g_assert_true(is_equal(early, late));
	object_set_free(early);
	object_set_free(late);
}

/* Objects of a restored store replace those of a higher revision, all sent. */
static void
test_restored(void)
{
	uint64_t era = (uint64_t)2 << STORE_REVISION_BITS;
	struct object_set *set = object_set_new();
	struct object_set *other = object_set_new();
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
	const struct object_changes *changes;
	uint64_t base;

	put(set, "a", 4);
	put(set, "b", 9);
	put(set, "c", 2);
	commit(set, 9);
	apply_update(other, set, 0, 9);
	object_set_set_era(set, 2);
	object_set_set_era(other, 2);
	put(set, "a", 3);
	put(set, "c", 2);
	g_hash_table_add(names, "a");
	g_hash_table_add(names, "c");
	object_set_retain(set, names);
	changes = object_set_commit(set, era + 5);
	g_assert_true(changes->restored);
	g_assert_cmpuint(changes->put_count, ==, 1);
	g_assert_cmpstr(object_name(changes->put[0]), ==, "a");
	g_assert_cmpuint(changes->removed_count, ==, 1);
	object_set_release_changes(set);
	g_string_free(object_set_encode(set, 9, &base), TRUE);
	g_assert_cmpuint(base, ==, 0);
	apply_update(other, set, 9, era + 5);
	g_assert_true(is_equal(set, other));
	put(set, "a", 6);
	g_assert_false(object_set_commit(set, era + 6)->restored);
	object_set_release_changes(set);
	object_set_free(other);
	object_set_free(set);
}

/*
 * Sets that are updated from each other during random changes, each at random
 * times, equal the first set whenever they have its version.
 */
static void
test_model(void)
{
	struct object_set *sets[MODEL_FOLLOWERS + 1];
	uint64_t versions[MODEL_FOLLOWERS + 1] = {1, 0, 0, 0};
	uint64_t revision = 1;

	for (size_t i = 0; i <= MODEL_FOLLOWERS; i++)
		sets[i] = object_set_new();
	commit(sets[0], 1);
	for (int round = 0; round < MODEL_ROUNDS; round++) {
		g_autofree char *name = g_strdup_printf(
		    "n%d", g_test_rand_int_range(0, MODEL_NAMES));
		int to = g_test_rand_int_range(1, MODEL_FOLLOWERS + 1);
		int from = g_test_rand_int_range(0, MODEL_FOLLOWERS + 1);

		revision++;
		if (g_test_rand_int_range(0, 3) == 0)
			object_set_remove(sets[0], name);
		else
			put(sets[0], name, revision);
		if (g_test_rand_int_range(0, 2) == 0) {
			commit(sets[0], revision);
			versions[0] = revision;
		}
		if (versions[0] != revision || versions[from] <= versions[to])
			continue;
		apply_update(
		    sets[to], sets[from], versions[to], versions[from]);
		versions[to] = versions[from];
		if (versions[to] == versions[0])
			g_assert_true(is_equal(sets[to], sets[0]));
	}
	for (size_t i = 0; i <= MODEL_FOLLOWERS; i++)
		object_set_free(sets[i]);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/object_set/an update has each changed object once", test_changes);
	g_test_add_func(
	    "/object_set/the current or an older revision changes nothing",
	    test_current);
	g_test_add_func(
	    "/object_set/an object without a readable revision is a change",
	    test_unreadable_revision);
	g_test_add_func("/object_set/a version older than the tombstones gets "
			"the names of all objects",
	    test_tombstones_dropped);
	g_test_add_func(
	    "/object_set/an object newer than its list is still passed on",
	    test_newer_than_list);
	g_test_add_func(
	    "/object_set/the removal of an object never received is passed on",
	    test_unseen_object);
	g_test_add_func("/object_set/a process that listed later sends only "
			"what differs",
	    test_listed_later);
	g_test_add_func(
	    "/object_set/objects of a restored store replace those before it",
	    test_restored);
	g_test_add_func(
	    "/object_set/sets with the same version are equal", test_model);
	return g_test_run();
}
