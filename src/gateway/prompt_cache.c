#include "gateway/prompt_cache.h"

#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/list.h"
#include "base/metrics.h"

/* Weight of one send in the moving average of the share not held before. */
#define FRESH_WEIGHT 0.1

METRIC_DEFINE(prefix_count, METRIC_GAUGE, "heatherturn_prompt_cache_prefixes",
    NULL, "Prompt prefixes that upstreams are believed to hold.");
METRIC_DEFINE(evictions, METRIC_COUNTER, "heatherturn_prompt_cache_evictions",
    NULL,
    "Prompt prefixes dropped because they were old or the upstream's memory "
    "was needed for others.");

/* The last part of a prefix that an upstream is believed to hold. */
struct held_part {
	uint64_t key; /* of the prefix; first member, see new_holder() */
	uint64_t tokens; /* of this part alone */
	uint64_t peers_sent; /* to the upstream, when it was last used */
	struct timespec used_at;
	TAILQ_ENTRY(held_part) entry;
};

/* What one upstream is believed to hold. */
struct holder {
	int64_t start_wall_ms;
	GHashTable *by_key; /* set of struct held_part */
	TAILQ_HEAD(held_parts, held_part) parts; /* last used first */
	uint64_t tokens; /* of all parts */
	uint64_t reused_tokens; /* held ones that running requests use */
	double fresh_share; /* part of its prompts that it did not hold */
	double doubt; /* sum of the evidence against assumptions */
	struct timespec distrusted_until;
};

/* What first tokens showed of a service. */
struct service {
	struct affinity_delay delay;
	/* Of prompts whose prefix is held as assumed. */
	double holder_share;
	double home_share;
};

struct prompt_cache {
	int64_t keep_ms;
	GHashTable *holders; /* upstream id -> struct holder */
	GHashTable *services; /* name -> struct service */
	size_t count; /* parts of all holders */
	struct timespec expired_at;
};

/* Removes a part from a holder and frees it. */
static void
remove_part(
    struct prompt_cache *cache, struct holder *holder, struct held_part *part)
{
	holder->tokens -= part->tokens;
	cache->count--;
	TAILQ_REMOVE(&holder->parts, part, entry);
	g_hash_table_remove(holder->by_key, part);
	g_free(part);
}

/* Removes all parts of a holder. */
static void
clear_holder(struct prompt_cache *cache, struct holder *holder)
{
	struct held_part *part, *next;

	TAILQ_FOREACH_SAFE (part, &holder->parts, entry, next)
		remove_part(cache, holder, part);
	metric_set(&prefix_count, (int64_t)cache->count);
}

/* Frees a holder without parts. */
static void
free_holder(void *data)
{
	struct holder *holder = data;

	g_hash_table_unref(holder->by_key);
	g_free(holder);
}

/*
 * Returns an empty table of what upstreams hold that keep a prompt for keep_ms
 * after its last use; free it with prompt_cache_free.
 */
struct prompt_cache *
prompt_cache_new(int64_t keep_ms)
{
	struct prompt_cache *cache = g_new0(struct prompt_cache, 1);

	cache->keep_ms = keep_ms;
	cache->holders = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, free_holder);
	cache->services = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	return cache;
}

/* Frees a table; NULL is allowed. */
void
prompt_cache_free(struct prompt_cache *cache)
{
	GHashTableIter iter;
	void *holder;

	if (cache == NULL)
		return;
	g_hash_table_iter_init(&iter, cache->holders);
	while (g_hash_table_iter_next(&iter, NULL, &holder))
		clear_holder(cache, holder);
	g_hash_table_unref(cache->holders);
	g_hash_table_unref(cache->services);
	g_free(cache);
}

/*
 * Sets the prefixes of a prompt from the parts that its caller names. The keys
 * differ by service and organisation, so that no organisation's requests change
 * what is assumed for another's; organisation is NULL on public routes.
 * Prefixes that would be longer than the prompt are left out.
 */
void
prompt_prefixes_init(struct prompt_prefixes *prefixes,
    const struct caller_headers *headers, const char *service,
    const char *organisation)
{
	uint64_t key = XXH3_64bits(service, strlen(service));
	uint64_t tokens = 0;

	if (organisation != NULL)
		key = XXH3_64bits_withSeed(
		    organisation, strlen(organisation), key);
	*prefixes = (struct prompt_prefixes){0};
	for (size_t i = 0; i < headers->prefix_count; i++) {
		const uint64_t part[] = {
		    headers->parts[i], headers->part_tokens[i]};

		if (headers->part_tokens[i] > headers->prompt_tokens - tokens)
			break;
		tokens += headers->part_tokens[i];
		key = XXH3_64bits_withSeed(part, sizeof(part), key);
		prefixes->keys[i] = key;
		prefixes->tokens[i] = tokens;
		prefixes->count = i + 1;
	}
	prefixes->shared_count = MIN(prefixes->count, headers->part_count);
}

/*
 * Returns which prefix of a prompt decides its home: the first one that counts;
 * shared_count if there is none.
 */
size_t
prompt_prefixes_home(const struct prompt_prefixes *prefixes)
{
	size_t at = 0;

	while (at < prefixes->shared_count &&
	    prefixes->tokens[at] < AFFINITY_PREFIX_TOKENS_MIN)
		at++;
	return at;
}

/* Returns a holder without parts; its state is that of a process just seen. */
static struct holder *
new_holder(int64_t start_wall_ms)
{
	struct holder *holder = g_new0(struct holder, 1);

	holder->start_wall_ms = start_wall_ms;
	holder->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
	holder->fresh_share = 1.0;
	TAILQ_INIT(&holder->parts);
	return holder;
}

/* Returns the tokens of memory that are left for prompts that have ended. */
static double
free_memory(
    const struct holder *holder, const struct prompt_cache_upstream *upstream)
{
	uint64_t running = upstream->own_running -
	    MIN(holder->reused_tokens, upstream->own_running);

	return (double)upstream->memory - (double)running;
}

/*
 * Returns the tokens that peers' prompts need of the memory beside a part:
 * those sent since it was last used, or running if these are more. Prompts of
 * peers are taken to share as much with earlier ones as those of this gateway.
 */
static double
peers_tokens(const struct holder *holder,
    const struct prompt_cache_upstream *upstream, const struct held_part *part)
{
	/* The count begins again when an upstream is removed and added. */
	uint64_t sent = upstream->peers_sent >= part->peers_sent
	    ? upstream->peers_sent - part->peers_sent
	    : upstream->peers_sent;

	return (double)MAX(sent, upstream->peers_running) * holder->fresh_share;
}

/*
 * Returns the least recently used part that the upstream still holds: those
 * after it are old, or other prompts must have evicted them. NULL if none is.
 */
static struct held_part *
last_held(const struct prompt_cache *cache, const struct holder *holder,
    const struct prompt_cache_upstream *upstream, struct timespec now)
{
	double memory = free_memory(holder, upstream);
	double tokens = (double)holder->tokens;
	struct held_part *part;

	TAILQ_FOREACH_REVERSE (part, &holder->parts, held_parts, entry) {
		bool old = time_diff_ms(now, part->used_at) >= cache->keep_ms;

		if (!old &&
		    (upstream->memory == 0 ||
			tokens + peers_tokens(holder, upstream, part) <=
			    memory))
			break;
		tokens -= (double)part->tokens;
	}
	return part;
}

/* Removes the parts that the upstream holds no more. */
static void
evict(struct prompt_cache *cache, struct holder *holder,
    const struct prompt_cache_upstream *upstream, struct timespec now)
{
	const struct held_part *last = last_held(cache, holder, upstream, now);
	struct held_part *part;

	while ((part = TAILQ_LAST(&holder->parts, held_parts)) != last) {
		remove_part(cache, holder, part);
		metric_add(&evictions, 1);
	}
	metric_set(&prefix_count, (int64_t)cache->count);
}

/*
 * Finds what an upstream holds, after its restart nothing; NULL if nothing is
 * known of it.
 */
static struct holder *
find_holder(
    struct prompt_cache *cache, const struct prompt_cache_upstream *upstream)
{
	struct holder *holder = g_hash_table_lookup(
	    cache->holders, upstream->id);

	if (holder != NULL &&
	    holder->start_wall_ms != upstream->start_wall_ms) {
		clear_holder(cache, holder);
		holder->start_wall_ms = upstream->start_wall_ms;
		holder->fresh_share = 1.0;
		holder->doubt = 0.0;
		holder->distrusted_until = (struct timespec){0};
	}
	return holder;
}

/* Finds what an upstream holds; begins to track it if needed. */
static struct holder *
obtain_holder(
    struct prompt_cache *cache, const struct prompt_cache_upstream *upstream)
{
	struct holder *holder = find_holder(cache, upstream);

	if (holder != NULL)
		return holder;
	holder = new_holder(upstream->start_wall_ms);
	g_hash_table_insert(cache->holders, g_strdup(upstream->id), holder);
	return holder;
}

/* Returns whether nothing is assumed of an upstream now. */
static bool
is_distrusted(const struct holder *holder, struct timespec now)
{
	return time_before(now, holder->distrusted_until);
}

/* Returns whether a part was used as recently as another one, or later. */
static bool
is_before(const struct held_part *part, const struct held_part *last)
{
	while (last != NULL && last != part)
		last = TAILQ_PREV(last, held_parts, entry);
	return last != NULL;
}

/*
 * Returns the number of leading tokens of a prompt that an upstream is believed
 * to hold.
 */
uint64_t
prompt_cache_held(const struct prompt_cache *cache,
    const struct prompt_cache_upstream *upstream,
    const struct prompt_prefixes *prefixes, struct timespec now)
{
	const struct holder *holder = g_hash_table_lookup(
	    cache->holders, upstream->id);
	const struct held_part *last;
	uint64_t tokens = 0;

	if (holder == NULL || prefixes->shared_count == 0 ||
	    holder->start_wall_ms != upstream->start_wall_ms ||
	    !g_hash_table_contains(holder->by_key, &prefixes->keys[0]) ||
	    is_distrusted(holder, now))
		return 0;
	last = last_held(cache, holder, upstream, now);
	for (size_t i = 0; i < prefixes->shared_count; i++) {
		const struct held_part *part = g_hash_table_lookup(
		    holder->by_key, &prefixes->keys[i]);

		if (part == NULL || !is_before(part, last))
			break;
		tokens = prefixes->tokens[i];
	}
	return tokens;
}

/* A request is sent to an upstream. */
void
prompt_cache_begin(struct prompt_cache *cache,
    const struct prompt_cache_upstream *upstream,
    const struct prompt_cache_use *use)
{
	struct holder *holder = obtain_holder(cache, upstream);
	double fresh = use->prompt_tokens == 0
	    ? 1.0
	    : 1.0 - (double)use->held_tokens / (double)use->prompt_tokens;

	holder->reused_tokens += use->held_tokens;
	holder->fresh_share += FRESH_WEIGHT * (fresh - holder->fresh_share);
}

/* A send has ended, in whatever way; prompt_cache_add() adds its prompt. */
void
prompt_cache_end(struct prompt_cache *cache, const char *upstream,
    const struct prompt_cache_use *use)
{
	struct holder *holder = g_hash_table_lookup(cache->holders, upstream);

	if (holder != NULL)
		holder->reused_tokens -= MIN(
		    use->held_tokens, holder->reused_tokens);
}

/* Adds a part, or marks it as used, as the last one. */
static void
use_part(struct prompt_cache *cache, struct holder *holder,
    const struct prompt_cache_upstream *upstream, const struct held_part *used)
{
	struct held_part *part = g_hash_table_lookup(
	    holder->by_key, &used->key);

	if (part == NULL) {
		part = g_memdup2(used, sizeof(*used));
		g_hash_table_add(holder->by_key, part);
		holder->tokens += part->tokens;
		cache->count++;
	} else {
		TAILQ_REMOVE(&holder->parts, part, entry);
	}
	part->peers_sent = upstream->peers_sent;
	part->used_at = used->used_at;
	TAILQ_INSERT_HEAD(&holder->parts, part, entry);
}

/*
 * A request has been answered completely: the upstream holds its prompt. The
 * first part counts as used last, since an engine evicts the end of a prompt
 * before its beginning.
 */
void
prompt_cache_add(struct prompt_cache *cache,
    const struct prompt_cache_upstream *upstream,
    const struct prompt_prefixes *prefixes, struct timespec now)
{
	struct holder *holder = obtain_holder(cache, upstream);

	if (prefixes->count == 0 || is_distrusted(holder, now) ||
	    prefixes->tokens[prefixes->count - 1] < AFFINITY_PREFIX_TOKENS_MIN)
		return;
	for (size_t i = prefixes->count; i-- > 0;)
		use_part(cache, holder, upstream,
		    &(struct held_part){
			.key = prefixes->keys[i],
			.tokens = prefixes->tokens[i] -
			    (i > 0 ? prefixes->tokens[i - 1] : 0),
			.used_at = now,
		    });
	while (g_hash_table_size(holder->by_key) > PROMPT_CACHE_PREFIXES_MAX)
		remove_part(
		    cache, holder, TAILQ_LAST(&holder->parts, held_parts));
	evict(cache, holder, upstream, now);
}

/* Returns what was learned of a service; creates it if needed. */
static struct service *
obtain_service(struct prompt_cache *cache, const char *name)
{
	struct service *service = g_hash_table_lookup(cache->services, name);

	if (service == NULL) {
		service = g_new0(struct service, 1);
		service->home_share = AFFINITY_HOME_SHARE;
		service->holder_share = AFFINITY_HOLDER_SHARE;
		g_hash_table_insert(cache->services, g_strdup(name), service);
	}
	return service;
}

/*
 * Returns the share of a service's prompts whose prefix is held by the upstream
 * that is believed to hold it, or by its home (is_guess).
 */
double
prompt_cache_share(
    const struct prompt_cache *cache, const char *name, bool is_guess)
{
	const struct service *service = g_hash_table_lookup(
	    cache->services, name);

	if (service == NULL)
		return is_guess ? AFFINITY_HOME_SHARE : AFFINITY_HOLDER_SHARE;
	return is_guess ? service->home_share : service->holder_share;
}

/* Removes the prefixes that a prompt shares with others. */
static void
remove_prefixes(struct prompt_cache *cache, struct holder *holder,
    const struct prompt_prefixes *prefixes)
{
	for (size_t i = 0; i < prefixes->shared_count; i++) {
		struct held_part *part = g_hash_table_lookup(
		    holder->by_key, &prefixes->keys[i]);

		if (part != NULL)
			remove_part(cache, holder, part);
	}
	metric_set(&prefix_count, (int64_t)cache->count);
}

/*
 * Applies what the first token of a request shows about the prefix that its
 * upstream was believed to hold, and returns it.
 */
enum affinity_finding
prompt_cache_judge(struct prompt_cache *cache,
    const struct prompt_cache_first_token *token,
    const struct prompt_prefixes *prefixes, struct timespec now)
{
	struct service *service = obtain_service(cache, token->service);
	struct holder *holder = g_hash_table_lookup(
	    cache->holders, token->upstream);
	enum affinity_finding finding;
	double evidence;

	if (token->saved_ms <= 0.0)
		affinity_delay_add(&service->delay, token->delay_ms);
	if (token->saved_ms <= 0.0 || holder == NULL)
		return AFFINITY_UNCLEAR;
	evidence = affinity_evidence(
	    &service->delay, token->delay_ms, token->saved_ms);
	finding = affinity_finding(evidence);
	affinity_share_add(
	    token->is_guess ? &service->home_share : &service->holder_share,
	    finding);
	if (token->is_guess)
		return finding;
	holder->doubt = MAX(holder->doubt + evidence, 0.0);
	if (finding == AFFINITY_NOT_HELD)
		remove_prefixes(cache, holder, prefixes);
	if (holder->doubt >= AFFINITY_DOUBT_MAX) {
		/* Clear evidence after this time begins it again. */
		holder->doubt = AFFINITY_DOUBT_MAX - 1.0;
		holder->distrusted_until = time_add_ms(now, cache->keep_ms);
		clear_holder(cache, holder);
	}
	return finding;
}

/* Returns whether nothing is assumed of an upstream now. */
bool
prompt_cache_is_distrusted(
    const struct prompt_cache *cache, const char *upstream, struct timespec now)
{
	const struct holder *holder = g_hash_table_lookup(
	    cache->holders, upstream);

	return holder != NULL && is_distrusted(holder, now);
}

/* Nothing is believed to be held by an upstream that may have restarted. */
void
prompt_cache_drop(struct prompt_cache *cache, const char *upstream)
{
	struct holder *holder = g_hash_table_lookup(cache->holders, upstream);

	if (holder != NULL)
		clear_holder(cache, holder);
}

/* Removes the upstreams that have left the fleet, at most once a second. */
void
prompt_cache_expire(
    struct prompt_cache *cache, const struct fleet *fleet, struct timespec now)
{
	GHashTableIter iter;
	void *id;
	void *holder;

	if (time_is_set(cache->expired_at) &&
	    time_diff_ms(now, cache->expired_at) < MS_PER_S)
		return;
	cache->expired_at = now;
	g_hash_table_iter_init(&iter, cache->holders);
	while (g_hash_table_iter_next(&iter, &id, &holder)) {
		if (fleet_find(fleet, id) != NULL)
			continue;
		clear_holder(cache, holder);
		g_hash_table_iter_remove(&iter);
	}
}

/* Returns the number of prefixes that upstreams are believed to hold. */
size_t
prompt_cache_count(const struct prompt_cache *cache)
{
	return cache->count;
}
