#include "sidecar/block_table.h"

#include <glib.h>

struct block_table {
	struct cleanup *cleanup;
	block_table_freed_fn *freed;
	void *data;
	GHashTable *blocks; /* block id -> hold id */
};

/*
 * Creates an empty table; freed is called at the end of each
 * block_table_release().
 */
struct block_table *
block_table_new(
    struct cleanup *cleanup, block_table_freed_fn *freed, void *data)
{
	struct block_table *table = g_new0(struct block_table, 1);

	table->cleanup = cleanup;
	table->freed = freed;
	table->data = data;
	table->blocks = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	return table;
}

/* Frees a table; NULL is allowed. */
void
block_table_free(struct block_table *table)
{
	if (table == NULL)
		return;
	g_hash_table_unref(table->blocks);
	g_free(table);
}

/* Adds a block before the engine computes it. */
void
block_table_add(struct block_table *table, const char *hold, const char *block)
{
	g_hash_table_replace(table->blocks, g_strdup(block), g_strdup(hold));
}

/* Returns the number of blocks of a hold. */
static size_t
blocks_of_hold(const struct block_table *table, const char *hold)
{
	GHashTableIter iter;
	gpointer owner;
	size_t count = 0;

	g_hash_table_iter_init(&iter, table->blocks);
	while (g_hash_table_iter_next(&iter, NULL, &owner))
		count += g_str_equal(owner, hold);
	return count;
}

/*
 * Removes a deleted block; with the last one of its hold, reports the hold as
 * freed.
 */
static void
on_block_deleted(void *data, const char *block)
{
	struct block_table *table = data;
	char *hold = g_strdup(g_hash_table_lookup(table->blocks, block));

	g_hash_table_remove(table->blocks, block);
	if (hold != NULL && blocks_of_hold(table, hold) == 0)
		table->freed(table->data, hold);
	g_free(hold);
}

/*
 * Deletes all blocks of a hold at the engine; freed follows, at once if the
 * hold has none.
 */
void
block_table_release(struct block_table *table, const char *hold)
{
	GPtrArray *blocks = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer block, owner;

	g_hash_table_iter_init(&iter, table->blocks);
	while (g_hash_table_iter_next(&iter, &block, &owner)) {
		if (g_str_equal(owner, hold))
			g_ptr_array_add(blocks, g_strdup(block));
	}
	for (guint i = 0; i < blocks->len; i++)
		cleanup_delete(table->cleanup, CLEANUP_BLOCK,
		    g_ptr_array_index(blocks, i), on_block_deleted, table);
	if (blocks->len == 0)
		table->freed(table->data, hold);
	g_ptr_array_unref(blocks);
}

/* Forgets all blocks, for an engine that restarted without them. */
void
block_table_clear(struct block_table *table)
{
	g_hash_table_remove_all(table->blocks);
}

/* Returns whether a block belongs to a hold. */
bool
block_table_has(const struct block_table *table, const char *block)
{
	return g_hash_table_contains(table->blocks, block);
}

/* Returns the number of blocks of all holds. */
size_t
block_table_count(const struct block_table *table)
{
	return g_hash_table_size(table->blocks);
}
