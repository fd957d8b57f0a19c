#include "policy/router.h"

#include <string.h>

#include <xxhash.h>

#include "base/clock.h"

/* An entry's state of one upstream. */
struct upstream_record {
	uint32_t outstanding; /* sent by this entry and not ended */
	uint32_t load; /* as last reported; lags behind */
	uint32_t failures; /* consecutive */
	struct timespec not_before; /* end of the back-off */
	struct timespec listed_at; /* last time it was a possible choice */
};

struct router {
	enum router_policy policy;
	GRand *random;
	GHashTable
	    *upstream_records; /* struct upstream_record, by upstream id */
	uint32_t next_index; /* for round robin */
	struct timespec sweep_at; /* when records may next be dropped */
};

static const char *const policy_names[] = {
    [ROUTER_OFFERS] = "heatherturn",
    [ROUTER_ROUND_ROBIN] = "round-robin",
    [ROUTER_LEAST_OUTSTANDING] = "least-outstanding",
    [ROUTER_TWO_CHOICES] = "two-choices",
};

/*
 * Creates a router with the given policy. The same seed gives the same choices.
 */
struct router *
router_new(enum router_policy policy, uint32_t seed)
{
	struct router *router = g_new0(struct router, 1);

	router->policy = policy;
	router->random = g_rand_new_with_seed(seed);
	router->next_index = seed;
	router->upstream_records = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	return router;
}

/* Frees a router; NULL is allowed. */
void
router_free(struct router *router)
{
	if (router == NULL)
		return;
	g_rand_free(router->random);
	g_hash_table_unref(router->upstream_records);
	g_free(router);
}

/*
 * Parses a policy's name as used in settings. Returns false if it is unknown.
 */
bool
router_policy_parse(const char *name, enum router_policy *policy)
{
	for (size_t i = 0; i < G_N_ELEMENTS(policy_names); i++) {
		if (strcmp(name, policy_names[i]) == 0) {
			*policy = (enum router_policy)i;
			return true;
		}
	}
	return false;
}

/* Returns whether candidates are probed for offers before one is chosen. */
bool
router_uses_offers(const struct router *router)
{
	return router->policy == ROUTER_OFFERS;
}

/* Returns the record of an upstream, creating it if it is new. */
static struct upstream_record *
record_of(struct router *router, const char *upstream)
{
	struct upstream_record *record;

	record = g_hash_table_lookup(router->upstream_records, upstream);
	if (record == NULL) {
		record = g_new0(struct upstream_record, 1);
		g_hash_table_insert(
		    router->upstream_records, g_strdup(upstream), record);
	}
	return record;
}

/* Returns whether an upstream's record is of no use any more. */
static gboolean
is_stale(void *key, void *value, void *data)
{
	const struct upstream_record *record = value;
	const struct timespec *now = data;

	return record->outstanding == 0 &&
	    !time_before(*now,
		time_add_ms(record->listed_at, ROUTER_RECORD_LIFETIME_MS));
}

/*
 * Drops stale records, once per ROUTER_RECORD_LIFETIME_MS. A service's list
 * does not show which of the other upstreams are gone, hence the lifetime.
 */
static void
drop_stale_records(struct router *router, struct timespec now)
{
	if (time_before(now, router->sweep_at))
		return;
	g_hash_table_foreach_remove(router->upstream_records, is_stale, &now);
	router->sweep_at = time_add_ms(now, ROUTER_RECORD_LIFETIME_MS);
}

/*
 * Fills available with the indexes of the upstreams that may be tried now: not
 * tried yet and not in back-off. If all of them are in back-off it is ignored,
 * since a failing upstream is better than none.
 */
static size_t
list_available(struct router *router, const struct router_upstream *upstreams,
    size_t count, struct timespec now, size_t *available)
{
	size_t found = 0;

	for (size_t i = 0; i < count; i++) {
		struct upstream_record *record = record_of(
		    router, upstreams[i].id);

		record->listed_at = now;
		if (upstreams[i].tried || time_before(now, record->not_before))
			continue;
		available[found++] = i;
	}
	for (size_t i = 0; found == 0 && i < count; i++) {
		if (!upstreams[i].tried)
			available[found++] = i;
	}
	return found;
}

/*
 * Moves one element of available to chosen and fills its place with the last
 * one.
 */
static void
take_available(size_t *available, size_t *available_count, size_t at,
    size_t *chosen, size_t *chosen_count)
{
	chosen[(*chosen_count)++] = available[at];
	available[at] = available[--*available_count];
}

/*
 * Returns the index in available of the upstream with the highest rendezvous
 * hash for a key.
 */
static size_t
highest_rank(const struct router_upstream *upstreams, const size_t *available,
    size_t count, uint64_t key)
{
	uint64_t best_rank = 0;
	size_t best = 0;

	for (size_t i = 0; i < count; i++) {
		const char *id = upstreams[available[i]].id;
		uint64_t rank = XXH3_64bits_withSeed(id, strlen(id), key);

		if (i == 0 || rank > best_rank) {
			best = i;
			best_rank = rank;
		}
	}
	return best;
}

/* Chooses candidates to probe: by prefix first, the others at random. */
static size_t
choose_offer_candidates(struct router *router, uint64_t key,
    const struct router_upstream *upstreams, size_t *available,
    size_t available_count, size_t *chosen)
{
	size_t found = 0;

	while (key != 0 && found < ROUTER_PREFIX_CANDIDATES &&
	    available_count > 0) {
		size_t at = highest_rank(
		    upstreams, available, available_count, key);

		take_available(available, &available_count, at, chosen, &found);
	}
	while (found < ROUTER_CANDIDATES && available_count > 0) {
		size_t at = (size_t)g_rand_int_range(
		    router->random, 0, (gint32)available_count);

		take_available(available, &available_count, at, chosen, &found);
	}
	return found;
}

/*
 * Returns the index in available of the upstream with the fewest outstanding
 * requests from this entry.
 */
static size_t
least_outstanding(struct router *router,
    const struct router_upstream *upstreams, const size_t *available,
    size_t count)
{
	uint32_t least = UINT32_MAX;
	size_t best = 0;

	for (size_t i = 0; i < count; i++) {
		const struct upstream_record *record = record_of(
		    router, upstreams[available[i]].id);

		if (record->outstanding < least) {
			best = i;
			least = record->outstanding;
		}
	}
	return best;
}

/*
 * Returns the index in available of the less loaded of two random upstreams,
 * according to their last reports.
 */
static size_t
better_of_two(struct router *router, const struct router_upstream *upstreams,
    const size_t *available, size_t count)
{
	size_t a = (size_t)g_rand_int_range(router->random, 0, (gint32)count);
	size_t b = (size_t)g_rand_int_range(router->random, 0, (gint32)count);
	uint32_t load_a = record_of(router, upstreams[available[a]].id)->load;
	uint32_t load_b = record_of(router, upstreams[available[b]].id)->load;

	return load_a <= load_b ? a : b;
}

/*
 * Chooses the upstreams to probe, or the one to send to if the policy does not
 * probe. The key is the hash of the prompt's shortest sampled prefix, or 0 for
 * none. Returns the number of indexes in chosen, 0 if none is left to try.
 */
size_t
router_choose_candidates(struct router *router, uint64_t key,
    const struct router_upstream *upstreams, size_t count, struct timespec now,
    size_t chosen[ROUTER_CANDIDATES])
{
	g_autofree size_t *available = g_new(size_t, count + 1);
	size_t available_count = list_available(
	    router, upstreams, count, now, available);

	drop_stale_records(router, now);
	if (available_count == 0)
		return 0;
	switch (router->policy) {
	case ROUTER_OFFERS:
		return choose_offer_candidates(
		    router, key, upstreams, available, available_count, chosen);
	case ROUTER_ROUND_ROBIN:
		chosen[0] = available[router->next_index++ % available_count];
		break;
	case ROUTER_LEAST_OUTSTANDING:
		chosen[0] = available[least_outstanding(
		    router, upstreams, available, available_count)];
		break;
	case ROUTER_TWO_CHOICES:
		chosen[0] = available[better_of_two(
		    router, upstreams, available, available_count)];
		break;
	}
	return 1;
}

/* Returns whether offer a is better than offer b. */
static bool
is_better_offer(const struct router_offer *a, const struct router_offer *b)
{
	uint64_t load_a = (uint64_t)(a->running + a->queued) * MAX(b->limit, 1);
	uint64_t load_b = (uint64_t)(b->running + b->queued) * MAX(a->limit, 1);

	if (a->wait_ms + ROUTER_WAIT_SLACK_MS < b->wait_ms)
		return true;
	if (b->wait_ms + ROUTER_WAIT_SLACK_MS < a->wait_ms)
		return false;
	if (a->cached_tokens != b->cached_tokens)
		return a->cached_tokens > b->cached_tokens;
	return load_a < load_b;
}

/* Returns the index of the best accepting offer, or -1 if there is none. */
ssize_t
router_choose_offer(const struct router_offer *offers, size_t count)
{
	ssize_t best = -1;

	for (size_t i = 0; i < count; i++) {
		if (!offers[i].accepting)
			continue;
		if (best < 0 || is_better_offer(&offers[i], &offers[best]))
			best = (ssize_t)i;
	}
	return best;
}

/* Records that a request was sent to an upstream. */
void
router_record_sent(struct router *router, const char *upstream)
{
	record_of(router, upstream)->outstanding++;
}

/* Records that a request to an upstream has ended, successfully or not. */
void
router_record_done(struct router *router, const char *upstream)
{
	struct upstream_record *record = g_hash_table_lookup(
	    router->upstream_records, upstream);

	if (record != NULL && record->outstanding > 0)
		record->outstanding--;
}

/* Records the load that an upstream reported, in requests. */
void
router_record_load(struct router *router, const char *upstream, uint32_t load)
{
	record_of(router, upstream)->load = load;
}

/* Records that an upstream's sidecar answered, which ends its back-off. */
void
router_record_answer(struct router *router, const char *upstream)
{
	struct upstream_record *record = record_of(router, upstream);

	record->failures = 0;
	record->not_before = (struct timespec){0};
}

/*
 * Records that an upstream's sidecar did not answer, and starts or extends its
 * back-off.
 */
void
router_record_failure(
    struct router *router, const char *upstream, struct timespec now)
{
	struct upstream_record *record = record_of(router, upstream);
	int64_t wait = ROUTER_BACKOFF_MIN_MS;

	for (uint32_t i = 0; i < record->failures; i++)
		wait = MIN(wait * 2, ROUTER_BACKOFF_MAX_MS);
	if (record->failures < UINT32_MAX)
		record->failures++;
	record->not_before = time_add_ms(now, wait);
	record->listed_at = now;
}

/* Returns the number of upstreams of which there is a record. */
size_t
router_record_count(const struct router *router)
{
	return g_hash_table_size(router->upstream_records);
}
