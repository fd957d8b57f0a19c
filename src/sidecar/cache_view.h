/*
 * The sidecar's estimate of its engine's prefix cache. The engine's events
 * arrive late and with gaps, so the view is also updated from completed prompts
 * and from the number of cached tokens that a response reports.
 */
#ifndef SIDECAR_CACHE_VIEW_H
#define SIDECAR_CACHE_VIEW_H

#include <stddef.h>
#include <stdint.h>

#include "peer/message.h"
#include "upstream/upstream.h"

/* Tokens of the first hashed prefix; each further prefix is twice as long. */
#define CACHE_PREFIX_TOKENS	1024
#define CACHE_VIEW_MAX_PREFIXES 16384

struct cache_view;

struct cache_view *cache_view_new(void);
void cache_view_free(struct cache_view *);
void cache_view_clear(struct cache_view *);
void cache_view_apply_events(
    struct cache_view *, const struct upstream_cache_event *, size_t count);
void cache_view_add_prompt(
    struct cache_view *, const struct u64_array *prefixes);
void cache_view_correct(struct cache_view *, const struct u64_array *prefixes,
    uint64_t cached_tokens);
uint64_t cache_view_cached_tokens(
    const struct cache_view *, const struct u64_array *prefixes);
uint64_t cache_view_gap_count(const struct cache_view *);

#endif
