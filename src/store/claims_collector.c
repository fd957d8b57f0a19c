#include "store/claims_collector.h"

#include <string.h>

#include <glib.h>

#include "base/metrics.h"
#include "store/claim_record.h"
#include "store/claims.h"

#define LOG_MODULE "claims"
#include "base/log.h"

#define CLAIMS_PREFIX "claims/"
#define PAGE_KEYS     100

/* A claim in the current page. */
struct listed_claim {
	char *key;
	uint64_t version;
};

struct claims_collector {
	struct ev_loop *loop;
	struct clock *clock;
	struct store *store;
	ev_timer tick;
	bool active;
	GQueue page; /* struct listed_claim, the first is handled next */
	char *after; /* last key of the page; NULL before the first page */
	struct timespec next_call; /* earliest time of the next call */
	unsigned int failures; /* consecutive */
	struct store_call *call;
};

METRIC_DEFINE(collected_count, METRIC_COUNTER, "heatherturn_claims_collected",
    NULL, "Claims deleted because their time was over.");

/* Frees a listed claim. */
static void
free_listed(void *data)
{
	struct listed_claim *listed = data;

	g_free(listed->key);
	g_free(listed);
}

/* Removes the current claim from the page. */
static void
finish_first(struct claims_collector *collector)
{
	struct listed_claim *listed = g_queue_pop_head(&collector->page);

	if (listed != NULL)
		free_listed(listed);
}

/* Cancels the call and discards the scan's position. */
static void
reset_scan(struct claims_collector *collector)
{
	store_call_cancel(collector->store, collector->call);
	collector->call = NULL;
	g_queue_clear_full(&collector->page, free_listed);
	g_free(collector->after);
	collector->after = NULL;
}

/* Ends a scan; the next one starts after COLLECT_SCAN_INTERVAL_MS. */
static void
end_scan(struct claims_collector *collector)
{
	reset_scan(collector);
	collector->next_call = time_add_ms(
	    clock_monotonic(collector->clock), COLLECT_SCAN_INTERVAL_MS);
}

/*
 * Takes note of a call's result. After one that shows the store in trouble the
 * next call waits, at least as long as the store asked for.
 */
static void
record_result(
    struct claims_collector *collector, const struct store_result *result)
{
	int64_t wait_ms = COLLECT_BACKOFF_MIN_MS;

	if (result->error == NULL ||
	    result->error->code == STORE_ERROR_NOT_FOUND ||
	    result->error->code == STORE_ERROR_CONFLICT) {
		collector->failures = 0;
		return;
	}
	for (unsigned int i = 0;
	     i < collector->failures && wait_ms < COLLECT_BACKOFF_MAX_MS; i++)
		wait_ms *= 2;
	collector->failures++;
	collector->next_call = time_add_ms(clock_monotonic(collector->clock),
	    MAX(MIN(wait_ms, COLLECT_BACKOFF_MAX_MS), result->retry_after_ms));
}

/* Handles the end of a delete; after a failure the next scan tries again. */
static void
on_delete_done(void *data, const struct store_result *result)
{
	struct claims_collector *collector = data;

	collector->call = NULL;
	record_result(collector, result);
	if (result->error == NULL)
		metric_add(&collected_count, 1);
	finish_first(collector);
}

/* Returns whether a claim may be deleted; an undecodable one may not. */
static bool
is_expired(
    const struct claims_collector *collector, const struct store_result *result)
{
	int64_t now_ms = time_to_ms(clock_wall(collector->clock));
	struct claim_record record;
	bool expired = claim_record_decode(
			   result->value, result->length, &record) &&
	    now_ms - record.claimed_wall_ms >= CLAIMS_RETENTION_MS;

	claim_record_clear(&record);
	return expired;
}

/* Handles the read of a claim; deletes it if it has expired. */
static void
on_read_done(void *data, const struct store_result *result)
{
	struct claims_collector *collector = data;
	const struct listed_claim *listed = g_queue_peek_head(&collector->page);

	collector->call = NULL;
	record_result(collector, result);
	if (result->error != NULL || !is_expired(collector, result)) {
		finish_first(collector);
		return;
	}
	collector->call = store_start(collector->store,
	    &(struct store_request){.verb = STORE_DELETE,
		.key = listed->key,
		.version = result->version},
	    on_delete_done, collector);
}

/* Handles a page of the list; an empty one ends the scan. */
static void
on_list_done(void *data, const struct store_result *result)
{
	struct claims_collector *collector = data;

	collector->call = NULL;
	record_result(collector, result);
	if (result->error != NULL)
		return;
	if (result->listed_count == 0) {
		end_scan(collector);
		return;
	}
	for (size_t i = 0; i < result->listed_count; i++) {
		struct listed_claim *listed = g_new0(struct listed_claim, 1);

		listed->key = g_strdup(result->listed[i].key);
		listed->version = result->listed[i].version;
		g_queue_push_tail(&collector->page, listed);
	}
	g_free(collector->after);
	collector->after = g_strdup(
	    result->listed[result->listed_count - 1].key);
}

/*
 * Starts the next call if one is due. Called from a timer while the collector
 * is active; tests call it after they have advanced the clock.
 */
void
claims_collector_tick(struct claims_collector *collector)
{
	const struct listed_claim *listed = g_queue_peek_head(&collector->page);

	if (!collector->active || collector->call != NULL)
		return;
	if (time_before(
		clock_monotonic(collector->clock), collector->next_call))
		return;
	if (listed != NULL)
		collector->call = store_start(collector->store,
		    &(struct store_request){
			.verb = STORE_GET, .key = listed->key},
		    on_read_done, collector);
	else
		collector->call = store_start(collector->store,
		    &(struct store_request){.verb = STORE_LIST,
			.key = CLAIMS_PREFIX,
			.after_key = collector->after,
			.limit = PAGE_KEYS},
		    on_list_done, collector);
}

/* Timer callback, each COLLECT_CALL_INTERVAL_MS while active. */
static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	claims_collector_tick(watcher->data);
}

/* Creates an inactive collector; the store is borrowed. */
struct claims_collector *
claims_collector_new(
    struct ev_loop *loop, struct clock *clock, struct store *store)
{
	struct claims_collector *collector = g_new0(struct claims_collector, 1);

	collector->loop = loop;
	collector->clock = clock;
	collector->store = store;
	g_queue_init(&collector->page);
	ev_timer_init(&collector->tick, on_tick,
	    (double)COLLECT_CALL_INTERVAL_MS / MS_PER_S,
	    (double)COLLECT_CALL_INTERVAL_MS / MS_PER_S);
	collector->tick.data = collector;
	return collector;
}

/* Stops and frees the collector; NULL is allowed. */
void
claims_collector_free(struct claims_collector *collector)
{
	if (collector == NULL)
		return;
	ev_timer_stop(collector->loop, &collector->tick);
	reset_scan(collector);
	g_free(collector);
}

/* Starts or stops collecting in this process. */
void
claims_collector_set_active(struct claims_collector *collector, bool active)
{
	if (collector->active == active)
		return;
	collector->active = active;
	LOG_INFO(active ? "started deleting expired claims"
			: "stopped deleting expired claims",
	    "{}");
	if (active) {
		ev_timer_start(collector->loop, &collector->tick);
		return;
	}
	ev_timer_stop(collector->loop, &collector->tick);
	reset_scan(collector);
}
