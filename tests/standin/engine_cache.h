/*
 * Prefix cache of the stand-in engine: prefixes of 1024 x 2^n tokens, each
 * charged for the tokens that it adds to the next shorter one. Evicts the least
 * recently used first; prefixes pinned by a run are not evicted.
 */
#ifndef STANDIN_ENGINE_CACHE_H
#define STANDIN_ENGINE_CACHE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "base/list.h"

#define BYTES_PER_TOKEN	   4
#define PREFIX_BASE_TOKENS 1024
#define PREFIX_LEVELS	   12

/* Hashes of a prompt's prefixes, shortest first. */
struct prefix_chain {
	uint64_t hashes[PREFIX_LEVELS];
	unsigned count;
};

struct prefix {
	uint64_t hash;
	uint64_t tokens; /* beyond the next shorter prefix */
	unsigned pins;
	TAILQ_ENTRY(prefix) entry;
};

struct engine_cache {
	GHashTable *by_hash;
	TAILQ_HEAD(, prefix) least_recent_first;
	uint64_t tokens;
	uint64_t pinned_tokens;
	void (*changed)(void *data, uint64_t hash, bool stored);
	void *data;
};

uint64_t tokens_of_bytes(size_t bytes);
uint64_t prefix_tokens(unsigned levels);
void prefix_chain_init(struct prefix_chain *, const void *prompt, size_t bytes);

void engine_cache_init(struct engine_cache *);
void engine_cache_clear(struct engine_cache *);
unsigned engine_cache_match(struct engine_cache *, const struct prefix_chain *);
void engine_cache_pin(
    struct engine_cache *, const struct prefix_chain *, unsigned levels);
void engine_cache_unpin(
    struct engine_cache *, const struct prefix_chain *, unsigned levels);
uint64_t engine_cache_store(
    struct engine_cache *, const struct prefix_chain *, unsigned from);
uint64_t engine_cache_evict(struct engine_cache *, uint64_t tokens);

#endif
