/*
 * Which upstreams are believed to still hold which prompt prefixes. Nothing
 * reports this: it is inferred from the requests of this gateway that ended
 * there, from the memory of the engine, and from what peers have sent there.
 *
 * For each upstream the prefixes are kept in order of their last use, as an
 * engine does that evicts the least recently used ones first. A prefix is
 * dropped once it has not been used for the configured time, once later prompts
 * must have evicted it, and when the upstream has restarted or left. A first
 * token that took as long as without the prefix drops it; if this happens again
 * and again, nothing is assumed of the upstream for as long as engines keep a
 * prompt.
 */
#ifndef GATEWAY_PROMPT_CACHE_H
#define GATEWAY_PROMPT_CACHE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include "platform/headers.h"
#include "policy/affinity.h"
#include "routing/fleet.h"

/* Most prefixes remembered for one upstream; each part of a prompt ends one. */
#define PROMPT_CACHE_PREFIXES_MAX 128
/* The prefixes of a prompt, shortest first. */
struct prompt_prefixes {
	uint64_t keys[PROMPT_PARTS_MAX]; /* hashes of all parts so far */
	uint64_t tokens[PROMPT_PARTS_MAX]; /* of all parts so far */
	size_t count;
	size_t shared_count; /* those that other prompts may begin with */
};

/* What is known of an upstream's memory. Counted in tokens. */
struct prompt_cache_upstream {
	const char *id;
	int64_t start_wall_ms; /* of its process */
	uint64_t memory; /* 0 if unknown */
	uint64_t own_running; /* prompts of this gateway being served */
	uint64_t peers_running;
	uint64_t peers_sent; /* all prompts that peers have sent there so far */
};

/* A send, from its start to its end. */
struct prompt_cache_use {
	uint64_t prompt_tokens;
	uint64_t held_tokens; /* believed to be held when it was sent */
};

/* The first token of a request. */
struct prompt_cache_first_token {
	const char *upstream;
	const char *service;
	double delay_ms; /* after it was expected, with saved_ms saved */
	double saved_ms; /* 0 if nothing was assumed */
	bool is_guess; /* the upstream is the prefix's home, no known holder */
};

struct prompt_cache;

struct prompt_cache *prompt_cache_new(int64_t keep_ms);
void prompt_cache_free(struct prompt_cache *);
void prompt_prefixes_init(struct prompt_prefixes *,
    const struct caller_headers *, const char *service,
    const char *organisation);
uint64_t prompt_cache_held(const struct prompt_cache *,
    const struct prompt_cache_upstream *, const struct prompt_prefixes *,
    struct timespec now);
void prompt_cache_begin(struct prompt_cache *,
    const struct prompt_cache_upstream *, const struct prompt_cache_use *);
void prompt_cache_end(struct prompt_cache *, const char *upstream,
    const struct prompt_cache_use *);
void prompt_cache_add(struct prompt_cache *,
    const struct prompt_cache_upstream *, const struct prompt_prefixes *,
    struct timespec now);
enum affinity_finding prompt_cache_judge(struct prompt_cache *,
    const struct prompt_cache_first_token *, const struct prompt_prefixes *,
    struct timespec now);
bool prompt_cache_is_distrusted(
    const struct prompt_cache *, const char *upstream, struct timespec now);
void prompt_cache_drop(struct prompt_cache *, const char *upstream);
void prompt_cache_expire(
    struct prompt_cache *, const struct fleet *, struct timespec now);
double prompt_cache_share(
    const struct prompt_cache *, const char *name, bool is_guess);
size_t prompt_prefixes_home(const struct prompt_prefixes *);
size_t prompt_cache_count(const struct prompt_cache *);

#endif
