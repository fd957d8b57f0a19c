#include "gateway/rank_sync.h"

#include <string.h>

#include <xxhash.h>

#include "base/clock.h"

/* One row of a report. */
struct row {
	uint64_t service; /* hash of its name */
	uint32_t rank;
	struct rank_waiting waiting;
};

/* The last report of a peer. */
struct report {
	GArray *rows; /* of struct row */
	struct timespec received_at;
};

/* What waits of a service, by rank: here, or at all peers. */
struct ranks {
	struct rank_waiting waiting[PRECEDENCE_RANKS];
};

struct rank_sync {
	GHashTable *own; /* service -> struct ranks */
	GHashTable *reports; /* process -> struct report */
	GHashTable *totals; /* hash of a service -> struct ranks */
};

/* Frees a report. */
static void
report_free(void *data)
{
	struct report *report = data;

	g_array_unref(report->rows);
	g_free(report);
}

/* Returns an empty set. */
struct rank_sync *
rank_sync_new(void)
{
	struct rank_sync *sync = g_new0(struct rank_sync, 1);

	sync->own = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	sync->reports = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, report_free);
	sync->totals = g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, g_free, g_free);
	return sync;
}

/* Frees the set; NULL is allowed. */
void
rank_sync_free(struct rank_sync *sync)
{
	if (sync == NULL)
		return;
	g_hash_table_unref(sync->own);
	g_hash_table_unref(sync->reports);
	g_hash_table_unref(sync->totals);
	g_free(sync);
}

/* Returns what waits of a service here; creates it if needed. */
static struct ranks *
own_ranks(struct rank_sync *sync, const char *service)
{
	struct ranks *ranks = g_hash_table_lookup(sync->own, service);

	if (ranks == NULL) {
		ranks = g_new0(struct ranks, 1);
		g_hash_table_insert(sync->own, g_strdup(service), ranks);
	}
	return ranks;
}

/* Returns what waits of a service's rank at this gateway, to be changed. */
struct rank_waiting *
rank_sync_own(struct rank_sync *sync, const char *service, uint32_t rank)
{
	return &own_ranks(sync, service)->waiting[rank];
}

/* Returns the hash of a service's name, as reports carry it. */
static uint64_t
hash_service(const char *service)
{
	return XXH3_64bits(service, strlen(service));
}

/* Returns what waits of a service at all gateways, by rank. */
void
rank_sync_sum(struct rank_sync *sync, const char *service,
    struct rank_waiting sums[PRECEDENCE_RANKS])
{
	uint64_t hash = hash_service(service);
	const struct ranks *total = g_hash_table_lookup(sync->totals, &hash);

	memcpy(sums, own_ranks(sync, service)->waiting,
	    PRECEDENCE_RANKS * sizeof(*sums));
	for (size_t i = 0; total != NULL && i < PRECEDENCE_RANKS; i++)
		rank_waiting_sum(&sums[i], &total->waiting[i]);
}

/*
 * Returns what waits at this gateway as numbers of a report, without ranks of
 * which nothing waits. The caller frees the array.
 */
GArray *
rank_sync_encode(const struct rank_sync *sync)
{
	GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GHashTableIter iter;
	void *service;
	void *value;

	g_hash_table_iter_init(&iter, sync->own);
	while (g_hash_table_iter_next(&iter, &service, &value)) {
		const struct ranks *ranks = value;

		for (uint32_t i = 0; i < PRECEDENCE_RANKS; i++) {
			const uint64_t row[RANK_SYNC_ROW_NUMBERS] = {
			    hash_service(service), i, ranks->waiting[i].count,
			    ranks->waiting[i].tokens};

			if (ranks->waiting[i].count > 0)
				g_array_append_vals(
				    numbers, row, RANK_SYNC_ROW_NUMBERS);
		}
	}
	return numbers;
}

/* Returns the total of a service; creates it if needed. */
static struct ranks *
get_total(struct rank_sync *sync, uint64_t service)
{
	struct ranks *total = g_hash_table_lookup(sync->totals, &service);

	if (total == NULL) {
		total = g_new0(struct ranks, 1);
		g_hash_table_insert(
		    sync->totals, g_memdup2(&service, sizeof(service)), total);
	}
	return total;
}

/*
 * Removes a report from the totals, and the totals of services that no peer
 * reports any more.
 */
static void
remove_report(struct rank_sync *sync, struct report *report)
{
	for (guint i = 0; i < report->rows->len; i++) {
		const struct row *row = &g_array_index(
		    report->rows, struct row, i);
		struct ranks *total = get_total(sync, row->service);
		bool empty = true;

		rank_waiting_subtract(
		    &total->waiting[row->rank], &row->waiting);
		for (size_t j = 0; j < PRECEDENCE_RANKS; j++)
			empty &= total->waiting[j].count == 0;
		if (empty)
			g_hash_table_remove(sync->totals, &row->service);
	}
	g_array_set_size(report->rows, 0);
}

/* Replaces what waits at a peer. Rows with an invalid rank are left out. */
void
rank_sync_on_report(struct rank_sync *sync, const char *process,
    const uint64_t *numbers, size_t count, struct timespec now)
{
	struct report *report = g_hash_table_lookup(sync->reports, process);

	if (report == NULL && count < RANK_SYNC_ROW_NUMBERS)
		return;
	if (report == NULL) {
		report = g_new0(struct report, 1);
		report->rows = g_array_new(FALSE, FALSE, sizeof(struct row));
		g_hash_table_insert(sync->reports, g_strdup(process), report);
	}
	remove_report(sync, report);
	report->received_at = now;
	for (; count >= RANK_SYNC_ROW_NUMBERS; count -= RANK_SYNC_ROW_NUMBERS) {
		const struct row row = {
		    .service = numbers[0],
		    .rank = (uint32_t)MIN(numbers[1], UINT32_MAX),
		    .waiting = {(uint32_t)numbers[2], numbers[3]},
		};

		numbers += RANK_SYNC_ROW_NUMBERS;
		if (row.rank > PRECEDENCE_RANK_MAX)
			continue;
		g_array_append_val(report->rows, row);
		rank_waiting_sum(
		    &get_total(sync, row.service)->waiting[row.rank],
		    &row.waiting);
	}
}

/* Drops what waited at peers that have reported nothing for silence_ms. */
void
rank_sync_expire(
    struct rank_sync *sync, int64_t silence_ms, struct timespec now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, sync->reports);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct report *report = value;

		if (time_diff_ms(now, report->received_at) < silence_ms)
			continue;
		remove_report(sync, report);
		g_hash_table_iter_remove(&iter);
	}
}
