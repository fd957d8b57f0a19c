#include "gateway/rank_sync.h"

#include <string.h>

#include <xxhash.h>

#include "base/clock.h"

/* One row of a report. */
struct row {
	uint64_t service; /* hash of its name */
	uint32_t rank;
	struct rank_counts counts;
};

/* The last report of a peer. */
struct report {
	GArray *rows; /* of struct row */
	struct timespec received_at;
};

/* The counts of all peers for a service. */
struct total {
	struct rank_counts counts[PRECEDENCE_RANKS];
};

struct rank_sync {
	GHashTable *ledgers; /* service -> struct rank_ledger */
	GHashTable *reports; /* process -> struct report */
	GHashTable *totals; /* hash of a service -> struct total */
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

	sync->ledgers = g_hash_table_new_full(
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
	g_hash_table_unref(sync->ledgers);
	g_hash_table_unref(sync->reports);
	g_hash_table_unref(sync->totals);
	g_free(sync);
}

/* Returns the ledger of a service at this gateway; creates it if needed. */
struct rank_ledger *
rank_sync_ledger(struct rank_sync *sync, const char *service)
{
	struct rank_ledger *ledger = g_hash_table_lookup(
	    sync->ledgers, service);

	if (ledger == NULL) {
		ledger = g_new0(struct rank_ledger, 1);
		g_hash_table_insert(sync->ledgers, g_strdup(service), ledger);
	}
	return ledger;
}

/* Returns the hash of a service's name, as reports carry it. */
static uint64_t
hash_service(const char *service)
{
	return XXH3_64bits(service, strlen(service));
}

/* Returns the counts of all gateways for a service, by rank. */
void
rank_sync_sum(struct rank_sync *sync, const char *service, struct timespec now,
    struct rank_counts sums[PRECEDENCE_RANKS])
{
	uint64_t hash = hash_service(service);
	const struct total *total = g_hash_table_lookup(sync->totals, &hash);

	rank_ledger_sum(rank_sync_ledger(sync, service), now, sums);
	for (size_t i = 0; total != NULL && i < PRECEDENCE_RANKS; i++)
		rank_counts_add(&sums[i], &total->counts[i]);
}

/* Appends a row to an array of numbers. */
static void
append_row(GArray *numbers, uint64_t service, uint32_t rank,
    const struct rank_counts *counts)
{
	const uint64_t row[RANK_SYNC_ROW_NUMBERS] = {service, rank,
	    counts->served, counts->rejected, counts->forced,
	    counts->recent_served, counts->recent_rejected, counts->aged_served,
	    counts->aged_decided, counts->large_served, counts->large_decided,
	    counts->waiting, counts->waiting_tokens, counts->aged_tokens};

	g_array_append_vals(numbers, row, RANK_SYNC_ROW_NUMBERS);
}

/* Reads a row of that many numbers. */
static struct row
read_row(const uint64_t *numbers)
{
	return (struct row){
	    .service = numbers[0],
	    .rank = (uint32_t)MIN(numbers[1], UINT32_MAX),
	    .counts =
		{
		    .served = (uint32_t)numbers[2],
		    .rejected = (uint32_t)numbers[3],
		    .forced = (uint32_t)numbers[4],
		    .recent_served = (uint32_t)numbers[5],
		    .recent_rejected = (uint32_t)numbers[6],
		    .aged_served = (uint32_t)numbers[7],
		    .aged_decided = (uint32_t)numbers[8],
		    .large_served = (uint32_t)numbers[9],
		    .large_decided = (uint32_t)numbers[10],
		    .waiting = (uint32_t)numbers[11],
		    .waiting_tokens = numbers[12],
		    .aged_tokens = numbers[13],
		},
	};
}

/*
 * Returns this gateway's counts as numbers of a report, without ranks that have
 * none. The caller frees the array.
 */
GArray *
rank_sync_encode(const struct rank_sync *sync, struct timespec now)
{
	GArray *numbers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	struct rank_counts sums[PRECEDENCE_RANKS];
	GHashTableIter iter;
	void *service;
	void *ledger;

	g_hash_table_iter_init(&iter, sync->ledgers);
	while (g_hash_table_iter_next(&iter, &service, &ledger)) {
		rank_ledger_sum(ledger, now, sums);
		for (uint32_t i = 0; i < PRECEDENCE_RANKS; i++) {
			if (!rank_counts_is_empty(&sums[i]))
				append_row(numbers, hash_service(service), i,
				    &sums[i]);
		}
	}
	return numbers;
}

/* Returns the total of a service; creates it if needed. */
static struct total *
get_total(struct rank_sync *sync, uint64_t service)
{
	struct total *total = g_hash_table_lookup(sync->totals, &service);

	if (total == NULL) {
		total = g_new0(struct total, 1);
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
		struct total *total = get_total(sync, row->service);
		bool empty = true;

		rank_counts_subtract(&total->counts[row->rank], &row->counts);
		for (size_t j = 0; j < PRECEDENCE_RANKS; j++)
			empty &= rank_counts_is_empty(&total->counts[j]);
		if (empty)
			g_hash_table_remove(sync->totals, &row->service);
	}
	g_array_set_size(report->rows, 0);
}

/* Replaces a peer's counts. Rows with an invalid rank are left out. */
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
		const struct row row = read_row(numbers);

		numbers += RANK_SYNC_ROW_NUMBERS;
		if (row.rank > PRECEDENCE_RANK_MAX)
			continue;
		g_array_append_val(report->rows, row);
		rank_counts_add(&get_total(sync, row.service)->counts[row.rank],
		    &row.counts);
	}
}

/* Drops the counts of peers that have reported nothing for silence_ms. */
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
