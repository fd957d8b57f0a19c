#include "config_reader.h"

#include "platform/store_version.h"

/* Applies and frees a change, NULL for none; false if it can't be used. */
bool
config_reader_apply(struct config_change *change, struct config_items *items,
    const struct routing_table *in_force, GError **error)
{
	bool applied = change != NULL &&
	    config_change_begin(change, items, in_force, error) &&
	    config_change_step(change, G_MAXSIZE, error) == CONFIG_CHANGE_READY;

	if (applied) {
		config_change_commit(change);
		g_assert_true(
		    routing_table_settle(config_items_table(items), G_MAXSIZE));
	}
	config_change_free(change);
	return applied;
}

/*
 * Returns the table of an object of the store; NULL and an error if it can't be
 * decoded.
 */
struct routing_table *
config_reader_table(json_t *object, GError **error)
{
	struct routing_table *table = routing_table_new();
	struct config_items *items = config_items_new(table);

	if (!config_reader_apply(config_change_new_object(object, 1, error),
		items, NULL, error)) {
		routing_table_free(table);
		table = NULL;
	}
	config_items_free(items);
	return table;
}

/* Creates an empty copy. */
void
copy_init(struct copy *copy)
{
	copy->table = routing_table_new();
	copy->items = config_items_new(copy->table);
}

/* Frees a copy's contents. */
void
copy_clear(struct copy *copy)
{
	config_items_free(copy->items);
	routing_table_free(copy->table);
}

/* Applies an object of the store with this specification. */
bool
copy_apply(struct copy *copy, uint64_t version, const char *spec)
{
	g_autoptr(GError) error = NULL;
	json_t *object = json_pack("{s:{s:s, s:I}, s:o}", "Metadata", "Name",
	    "main", "Revision", (json_int_t)store_version_revision(version),
	    "Spec", json_loads(spec, 0, NULL));
	bool applied = config_reader_apply(
	    config_change_new_object(object, version, &error), copy->items,
	    copy->table, &error);

	json_decref(object);
	g_assert_true(applied == (error == NULL));
	return applied;
}

/* Sends what the other copy lacks, without the last bytes; false: refused. */
bool
copy_send_changes(
    struct copy *from, struct copy *to, size_t cut, uint64_t *base)
{
	g_autoptr(GError) error = NULL;
	g_autoptr(GString) text = config_items_encode(
	    from->items, config_items_version(to->items), base);

	return config_reader_apply(
	    config_change_new_items(*base, config_items_version(from->items),
		(const uint8_t *)text->str, text->len - cut, &error),
	    to->items, to->table, &error);
}

/* Returns the name of the organisation that has a key; NULL for none. */
const char *
copy_key_owner(const struct copy *copy, const char *key)
{
	const struct organisation *owner = routing_table_find_organisation(
	    copy->table, key);

	return owner == NULL ? NULL : owner->name;
}

/*
 * Sends what differs from the items of another copy, by their checksums, and
 * returns the number of its elements.
 */
bool
copy_send_repair(struct copy *from, struct copy *to, size_t *elements)
{
	g_autoptr(GError) error = NULL;
	g_autoptr(GString) text = config_items_encode_repair(
	    from->items, config_items_sums(to->items));
	json_t *list = json_loadb(text->str, text->len, 0, NULL);

	*elements = json_array_size(list);
	json_decref(list);
	return config_reader_apply(
	    config_change_new_items(config_items_version(to->items),
		config_items_version(from->items), (const uint8_t *)text->str,
		text->len, &error),
	    to->items, to->table, &error);
}
