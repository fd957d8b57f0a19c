#include "config_reader.h"

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
