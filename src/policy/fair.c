#include "policy/fair.h"

#include <glib.h>

/* Virtual time is tokens times this, divided by the weight. */
#define VIRTUAL_SCALE 1000
/* Idle organisations are removed once there are this many. */
#define FLOWS_PRUNE_THRESHOLD 512

TAILQ_HEAD(fair_items, fair_item);

/* The queued items and the virtual time of one organisation. */
struct fair_flow {
	char *organisation;
	uint32_t weight;
	uint64_t virtual_time;
	uint64_t cost; /* of all queued items */
	size_t count;
	struct fair_items items;
	TAILQ_ENTRY(fair_flow) entry;
};

TAILQ_HEAD(fair_flows, fair_flow);

struct fair {
	uint64_t virtual_time; /* of the organisation served last */
	uint64_t cost;
	size_t count;
	struct fair_flows flows; /* in the order of first use */
	GHashTable *by_organisation; /* struct fair_flow */
};

/*
 * Frees an organisation's flow; its items are owned by the module that pushed
 * them.
 */
static void
flow_free(struct fair_flow *flow)
{
	g_free(flow->organisation);
	g_free(flow);
}

/* Creates an empty queue. */
struct fair *
fair_new(void)
{
	struct fair *fair = g_new0(struct fair, 1);

	TAILQ_INIT(&fair->flows);
	fair->by_organisation = g_hash_table_new(g_str_hash, g_str_equal);
	return fair;
}

/* Frees the queue; queued items are owned by the module that pushed them. */
void
fair_free(struct fair *fair)
{
	struct fair_flow *flow;

	if (fair == NULL)
		return;
	while ((flow = TAILQ_FIRST(&fair->flows)) != NULL) {
		TAILQ_REMOVE(&fair->flows, flow, entry);
		flow_free(flow);
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
	struct fair_flow *flow, *next;

	TAILQ_FOREACH_SAFE (flow, &fair->flows, entry, next) {
		if (!TAILQ_EMPTY(&flow->items) ||
		    flow->virtual_time > fair->virtual_time)
			continue;
		TAILQ_REMOVE(&fair->flows, flow, entry);
		g_hash_table_remove(fair->by_organisation, flow->organisation);
		flow_free(flow);
	}
}

/* Returns the organisation's flow, creating it if it is new. */
static struct fair_flow *
flow_of(struct fair *fair, const char *organisation)
{
	struct fair_flow *flow = g_hash_table_lookup(
	    fair->by_organisation, organisation);

	if (flow != NULL)
		return flow;
	if (g_hash_table_size(fair->by_organisation) >= FLOWS_PRUNE_THRESHOLD)
		prune_idle(fair);
	flow = g_new0(struct fair_flow, 1);
	flow->organisation = g_strdup(organisation);
	TAILQ_INIT(&flow->items);
	TAILQ_INSERT_TAIL(&fair->flows, flow, entry);
	g_hash_table_insert(fair->by_organisation, flow->organisation, flow);
	return flow;
}

/*
 * Queues an item behind the others of its organisation; its cost must be set.
 */
void
fair_push(struct fair *fair, const char *organisation, uint32_t weight,
    struct fair_item *item)
{
	struct fair_flow *flow = flow_of(fair, organisation);

	flow->weight = MAX(weight, 1);
	if (TAILQ_EMPTY(&flow->items))
		flow->virtual_time = MAX(
		    flow->virtual_time, fair->virtual_time);
	item->flow = flow;
	TAILQ_INSERT_TAIL(&flow->items, item, entry);
	flow->cost += item->cost;
	flow->count++;
	fair->cost += item->cost;
	fair->count++;
}

/*
 * Removes an item that will not be served, without charging its organisation.
 */
void
fair_remove(struct fair *fair, struct fair_item *item)
{
	struct fair_flow *flow = item->flow;

	TAILQ_REMOVE(&flow->items, item, entry);
	flow->cost -= item->cost;
	flow->count--;
	fair->cost -= item->cost;
	fair->count--;
	item->flow = NULL;
}

/*
 * Returns the oldest item of the organisation with the lowest virtual time,
 * among those whose oldest item fits. A NULL function accepts any item. Returns
 * NULL if there is none.
 */
struct fair_item *
fair_pick(const struct fair *fair, fair_fits_fn *fits, void *data)
{
	const struct fair_flow *flow, *best = NULL;
	struct fair_item *item;

	TAILQ_FOREACH (flow, &fair->flows, entry) {
		item = TAILQ_FIRST(&flow->items);
		if (item == NULL ||
		    (best != NULL && flow->virtual_time >= best->virtual_time))
			continue;
		if (fits == NULL || fits(item, data))
			best = flow;
	}
	return best != NULL ? TAILQ_FIRST(&best->items) : NULL;
}

/* Removes an item to be served and charges its organisation. */
void
fair_dequeue(struct fair *fair, struct fair_item *item)
{
	struct fair_flow *flow = item->flow;

	fair->virtual_time = MAX(fair->virtual_time, flow->virtual_time);
	flow->virtual_time += MAX(item->cost, 1) * VIRTUAL_SCALE / flow->weight;
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
	const struct fair_flow *flow, *largest = NULL;

	TAILQ_FOREACH (flow, &fair->flows, entry) {
		if (TAILQ_EMPTY(&flow->items))
			continue;
		if (largest == NULL ||
		    flow->cost * largest->weight > largest->cost * flow->weight)
			largest = flow;
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
	const struct fair_flow *own = g_hash_table_lookup(
	    fair->by_organisation, organisation);
	const struct fair_flow *flow;
	uint64_t tokens = own != NULL ? own->cost : 0;
	size_t items = own != NULL ? own->count : 0;

	ahead->tokens = tokens;
	ahead->items = items;
	weight = MAX(weight, 1);
	TAILQ_FOREACH (flow, &fair->flows, entry) {
		const struct fair_item *first = TAILQ_FIRST(&flow->items);

		if (first == NULL || flow == own)
			continue;
		ahead->tokens += MIN(
		    flow->cost, first->cost + tokens * flow->weight / weight);
		ahead->items += MIN(
		    flow->count, 1 + items * flow->weight / weight);
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
