#include "sidecar/cache_view.h"

#include <glib.h>

struct cache_view {
	GHashTable *prefixes; /* set of uint64_t hashes */
	uint64_t last_sequence;
	uint64_t gaps;
};

/* Creates the view of an empty cache. */
struct cache_view *
cache_view_new(void)
{
	struct cache_view *view = g_new0(struct cache_view, 1);

	view->prefixes = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, NULL);
	return view;
}

/* Frees a view; NULL is allowed. */
void
cache_view_free(struct cache_view *view)
{
	if (view == NULL)
		return;
	g_hash_table_unref(view->prefixes);
	g_free(view);
}

/* Forgets all prefixes, for an engine that restarted with an empty cache. */
void
cache_view_clear(struct cache_view *view)
{
	g_hash_table_remove_all(view->prefixes);
	view->last_sequence = 0;
}

/* Adds a prefix; a full view evicts an arbitrary other one. */
static void
add(struct cache_view *view, uint64_t prefix)
{
	GHashTableIter iter;
	gpointer key;

	if (g_hash_table_contains(view->prefixes, &prefix))
		return;
	if (g_hash_table_size(view->prefixes) >= CACHE_VIEW_MAX_PREFIXES) {
		g_hash_table_iter_init(&iter, view->prefixes);
		if (g_hash_table_iter_next(&iter, &key, NULL))
			g_hash_table_iter_remove(&iter);
	}
	g_hash_table_add(view->prefixes, g_memdup2(&prefix, sizeof(prefix)));
}

/*
 * Applies events in the engine's order. After a gap an eviction may be missing;
 * cache_view_correct() removes the stale prefix after the first run for which
 * the estimate was wrong.
 */
void
cache_view_apply_events(struct cache_view *view,
    const struct upstream_cache_event *events, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (events[i].sequence <= view->last_sequence)
			continue;
		if (events[i].sequence > view->last_sequence + 1 &&
		    view->last_sequence > 0)
			view->gaps++;
		view->last_sequence = events[i].sequence;
		if (events[i].stored)
			add(view, events[i].prefix);
		else
			g_hash_table_remove(view->prefixes, &events[i].prefix);
	}
}

/*
 * Adds the prefixes of a prompt that was run, before the engine's events report
 * them.
 */
void
cache_view_add_prompt(struct cache_view *view, const struct u64_array *prefixes)
{
	for (size_t i = 0; i < prefixes->count; i++)
		add(view, prefixes->items[i]);
}

/*
 * Removes the prefixes that are longer than the cached tokens that a response
 * reports for its prompt. Called before cache_view_add_prompt() with the same
 * prompt.
 */
void
cache_view_correct(struct cache_view *view, const struct u64_array *prefixes,
    uint64_t cached_tokens)
{
	for (size_t i = 0; i < prefixes->count; i++) {
		if (((uint64_t)CACHE_PREFIX_TOKENS << i) > cached_tokens)
			g_hash_table_remove(
			    view->prefixes, &prefixes->items[i]);
	}
}

/* Returns the estimated number of a prompt's leading tokens in the cache. */
uint64_t
cache_view_cached_tokens(
    const struct cache_view *view, const struct u64_array *prefixes)
{
	for (size_t i = prefixes->count; i > 0; i--) {
		if (g_hash_table_contains(
			view->prefixes, &prefixes->items[i - 1]))
			return (uint64_t)CACHE_PREFIX_TOKENS << (i - 1);
	}
	return 0;
}

/* Returns the number of gaps in the event sequence. */
uint64_t
cache_view_gap_count(const struct cache_view *view)
{
	return view->gaps;
}
