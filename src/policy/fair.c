#include "policy/fair.h"

#include <glib.h>

/* Virtual time is tokens times this, divided by the weight. */
#define VIRTUAL_SCALE 1000
/* Idle organisations are removed once there are this many. */
#define SHARES_PRUNE_THRESHOLD 512

TAILQ_HEAD(fair_items, fair_item);

struct fair_share {
	char *organisation;
	uint32_t weight;
	uint64_t virtual_time;
	uint64_t cost; /* of all queued items */
	size_t count;
	struct fair_items items;
	TAILQ_ENTRY(fair_share) entry;
};

TAILQ_HEAD(fair_shares, fair_share);

struct fair {
	uint64_t virtual_time; /* of the organisation served last */
	uint64_t cost;
	size_t count;
	struct fair_shares shares; /* in the order of first use */
	GHashTable *by_organisation; /* struct fair_share */
};

/* Frees an organisation's share; its items belong to the caller. */
static void
share_free(struct fair_share *share)
{
	g_free(share->organisation);
	g_free(share);
}

/* Creates an empty queue. */
struct fair *
fair_new(void)
{
	struct fair *fair = g_new0(struct fair, 1);

	TAILQ_INIT(&fair->shares);
	fair->by_organisation = g_hash_table_new(g_str_hash, g_str_equal);
	return fair;
}

/* Frees the queue; queued items belong to the caller. */
void
fair_free(struct fair *fair)
{
	struct fair_share *share;

	if (fair == NULL)
		return;
	while ((share = TAILQ_FIRST(&fair->shares)) != NULL) {
		TAILQ_REMOVE(&fair->shares, share, entry);
		share_free(share);
	}
	g_hash_table_unref(fair->by_organisation);
	g_free(fair);
}

/*
 * Removes organisations that have nothing queued and are not ahead of the
 * current virtual time.
 */
static void
prune_idle(struct fair *fair)
{
	struct fair_share *share, *next;

	TAILQ_FOREACH_SAFE (share, &fair->shares, entry, next) {
		if (!TAILQ_EMPTY(&share->items) ||
		    share->virtual_time > fair->virtual_time)
			continue;
		TAILQ_REMOVE(&fair->shares, share, entry);
		g_hash_table_remove(fair->by_organisation, share->organisation);
		share_free(share);
	}
}

/* Returns the organisation's share, creating it if it is new. */
static struct fair_share *
share_of(struct fair *fair, const char *organisation)
{
	struct fair_share *share = g_hash_table_lookup(
	    fair->by_organisation, organisation);

	if (share != NULL)
		return share;
	if (g_hash_table_size(fair->by_organisation) >= SHARES_PRUNE_THRESHOLD)
		prune_idle(fair);
	share = g_new0(struct fair_share, 1);
	share->organisation = g_strdup(organisation);
	TAILQ_INIT(&share->items);
	TAILQ_INSERT_TAIL(&fair->shares, share, entry);
	g_hash_table_insert(fair->by_organisation, share->organisation, share);
	return share;
}

/*
 * Queues an item behind the others of its organisation; its cost must be set.
 */
void
fair_push(struct fair *fair, const char *organisation, uint32_t weight,
    struct fair_item *item)
{
	struct fair_share *share = share_of(fair, organisation);

	share->weight = MAX(weight, 1);
	if (TAILQ_EMPTY(&share->items))
		share->virtual_time = MAX(
		    share->virtual_time, fair->virtual_time);
	item->share = share;
	TAILQ_INSERT_TAIL(&share->items, item, entry);
	share->cost += item->cost;
	share->count++;
	fair->cost += item->cost;
	fair->count++;
}

/*
 * Removes an item that will not be served, without charging its organisation.
 */
void
fair_remove(struct fair *fair, struct fair_item *item)
{
	struct fair_share *share = item->share;

	TAILQ_REMOVE(&share->items, item, entry);
	share->cost -= item->cost;
	share->count--;
	fair->cost -= item->cost;
	fair->count--;
	item->share = NULL;
}

/*
 * Returns the oldest item of the organisation with the lowest virtual time,
 * among those whose oldest item fits. A NULL function accepts any item. Returns
 * NULL if there is none.
 */
struct fair_item *
fair_pick(const struct fair *fair, fair_fits_fn *fits, void *data)
{
	const struct fair_share *share, *best = NULL;
	struct fair_item *item;

	TAILQ_FOREACH (share, &fair->shares, entry) {
		item = TAILQ_FIRST(&share->items);
		if (item == NULL ||
		    (best != NULL && share->virtual_time >= best->virtual_time))
			continue;
		if (fits == NULL || fits(item, data))
			best = share;
	}
	return best != NULL ? TAILQ_FIRST(&best->items) : NULL;
}

/* Removes an item to be served and charges its organisation. */
void
fair_dequeue(struct fair *fair, struct fair_item *item)
{
	struct fair_share *share = item->share;

	fair->virtual_time = MAX(fair->virtual_time, share->virtual_time);
	share->virtual_time += MAX(item->cost, 1) * VIRTUAL_SCALE /
	    share->weight;
	fair_remove(fair, item);
}

/*
 * Returns the newest item of the organisation that has the most queued for its
 * weight, whose removal affects fairness least. Returns NULL if nothing is
 * queued.
 */
struct fair_item *
fair_newest_of_largest(const struct fair *fair)
{
	const struct fair_share *share, *largest = NULL;

	TAILQ_FOREACH (share, &fair->shares, entry) {
		if (TAILQ_EMPTY(&share->items))
			continue;
		if (largest == NULL ||
		    share->cost * largest->weight >
			largest->cost * share->weight)
			largest = share;
	}
	if (largest == NULL)
		return NULL;
	return TAILQ_LAST(&largest->items, fair_items);
}

/*
 * Sets the load that will be served before an item that the organisation would
 * queue now: all of its own items, and of each other organisation no more than
 * its weight allows in that time.
 */
void
fair_load_ahead(const struct fair *fair, const char *organisation,
    uint32_t weight, struct fair_load *ahead)
{
	const struct fair_share *own = g_hash_table_lookup(
	    fair->by_organisation, organisation);
	const struct fair_share *share;
	uint64_t tokens = own != NULL ? own->cost : 0;
	size_t items = own != NULL ? own->count : 0;

	ahead->tokens = tokens;
	ahead->items = items;
	weight = MAX(weight, 1);
	TAILQ_FOREACH (share, &fair->shares, entry) {
		const struct fair_item *first = TAILQ_FIRST(&share->items);

		if (first == NULL || share == own)
			continue;
		ahead->tokens += MIN(
		    share->cost, first->cost + tokens * share->weight / weight);
		ahead->items += MIN(
		    share->count, 1 + items * share->weight / weight);
	}
}

/* Returns the cost of all queued items, in tokens. */
uint64_t
fair_cost(const struct fair *fair)
{
	return fair->cost;
}

/* Returns the number of queued items. */
size_t
fair_count(const struct fair *fair)
{
	return fair->count;
}
