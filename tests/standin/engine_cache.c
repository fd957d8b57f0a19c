#include "engine_cache.h"

#include <xxhash.h>

/* Returns the tokens of a prompt of a size in bytes, rounded up. */
uint64_t
tokens_of_bytes(size_t bytes)
{
	return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
}

/* Returns the length in tokens of a prefix of some levels; 0 for none. */
uint64_t
prefix_tokens(unsigned levels)
{
	return levels == 0 ? 0 : (uint64_t)PREFIX_BASE_TOKENS << (levels - 1);
}

/* Hashes every prefix of 1024 x 2^n tokens that a prompt contains. */
void
prefix_chain_init(struct prefix_chain *chain, const void *prompt, size_t bytes)
{
	XXH3_state_t *state = XXH3_createState();
	const uint8_t *from = prompt;
	size_t done = 0;

	XXH3_64bits_reset(state);
	chain->count = 0;
	while (chain->count < PREFIX_LEVELS) {
		size_t end = prefix_tokens(chain->count + 1) * BYTES_PER_TOKEN;

		if (end > bytes)
			break;
		XXH3_64bits_update(state, from + done, end - done);
		done = end;
		chain->hashes[chain->count++] = XXH3_64bits_digest(state);
	}
	XXH3_freeState(state);
}

/* Initialises an empty cache; the owner sets changed and data. */
void
engine_cache_init(struct engine_cache *cache)
{
	*cache = (struct engine_cache){
	    .by_hash = g_hash_table_new(g_int64_hash, g_int64_equal)};
	TAILQ_INIT(&cache->least_recent_first);
}

/* Removes one prefix. */
static void
drop(struct engine_cache *cache, struct prefix *prefix)
{
	g_hash_table_remove(cache->by_hash, &prefix->hash);
	TAILQ_REMOVE(&cache->least_recent_first, prefix, entry);
	cache->tokens -= prefix->tokens;
	if (prefix->pins > 0)
		cache->pinned_tokens -= prefix->tokens;
	if (cache->changed != NULL)
		cache->changed(cache->data, prefix->hash, false);
	g_free(prefix);
}

/* Frees all prefixes, pinned ones included, and the table. */
void
engine_cache_clear(struct engine_cache *cache)
{
	struct prefix *prefix, *next;

	TAILQ_FOREACH_SAFE (prefix, &cache->least_recent_first, entry, next)
		drop(cache, prefix);
	g_hash_table_unref(cache->by_hash);
	cache->by_hash = NULL;
}

/* Returns the prefix at a level of the chain; NULL if it isn't cached. */
static struct prefix *
find(struct engine_cache *cache, const struct prefix_chain *chain,
    unsigned level)
{
	return g_hash_table_lookup(cache->by_hash, &chain->hashes[level]);
}

/* Returns how many levels of the chain are cached, from the shortest on. */
unsigned
engine_cache_match(struct engine_cache *cache, const struct prefix_chain *chain)
{
	unsigned levels = 0;

	while (levels < chain->count && find(cache, chain, levels) != NULL)
		levels++;
	return levels;
}

/*
 * Marks the first levels of a chain as recently used. The shortest becomes the
 * most recent, so that the longest prefix of a chain is evicted first.
 */
static void
touch(struct engine_cache *cache, const struct prefix_chain *chain,
    unsigned levels)
{
	while (levels-- > 0) {
		struct prefix *prefix = find(cache, chain, levels);

		TAILQ_REMOVE(&cache->least_recent_first, prefix, entry);
		TAILQ_INSERT_TAIL(&cache->least_recent_first, prefix, entry);
	}
}

/* Protects one prefix from eviction. */
static void
pin(struct engine_cache *cache, struct prefix *prefix)
{
	if (prefix->pins++ == 0)
		cache->pinned_tokens += prefix->tokens;
}

/* Pins the first levels of a chain and marks them as recently used. */
void
engine_cache_pin(struct engine_cache *cache, const struct prefix_chain *chain,
    unsigned levels)
{
	for (unsigned level = 0; level < levels; level++)
		pin(cache, find(cache, chain, level));
	touch(cache, chain, levels);
}

/* Releases the pins of engine_cache_pin() or engine_cache_store(). */
void
engine_cache_unpin(struct engine_cache *cache, const struct prefix_chain *chain,
    unsigned levels)
{
	while (levels-- > 0) {
		struct prefix *prefix = find(cache, chain, levels);

		if (--prefix->pins == 0)
			cache->pinned_tokens -= prefix->tokens;
	}
}

/*
 * Stores and pins the levels of a chain from one on. Returns the tokens added
 * to the cache; other runs may have stored the rest meanwhile.
 */
uint64_t
engine_cache_store(
    struct engine_cache *cache, const struct prefix_chain *chain, unsigned from)
{
	uint64_t before = cache->tokens;

	for (unsigned level = from; level < chain->count; level++) {
		struct prefix *prefix = find(cache, chain, level);

		if (prefix == NULL) {
			prefix = g_new0(struct prefix, 1);
			prefix->hash = chain->hashes[level];
			prefix->tokens = prefix_tokens(level + 1) -
			    prefix_tokens(level);
			cache->tokens += prefix->tokens;
			g_hash_table_insert(
			    cache->by_hash, &prefix->hash, prefix);
			TAILQ_INSERT_TAIL(
			    &cache->least_recent_first, prefix, entry);
			if (cache->changed != NULL)
				cache->changed(cache->data, prefix->hash, true);
		}
		pin(cache, prefix);
	}
	touch(cache, chain, chain->count);
	return cache->tokens - before;
}

/* Evicts unpinned prefixes up to a number of tokens; returns those freed. */
uint64_t
engine_cache_evict(struct engine_cache *cache, uint64_t tokens)
{
	uint64_t freed = 0;
	struct prefix *prefix, *next;

	TAILQ_FOREACH_SAFE (prefix, &cache->least_recent_first, entry, next) {
		if (freed >= tokens)
			break;
		if (prefix->pins > 0)
			continue;
		freed += prefix->tokens;
		drop(cache, prefix);
	}
	return freed;
}
