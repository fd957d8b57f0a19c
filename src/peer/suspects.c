#include "peer/suspects.h"

#include <glib.h>

#include "base/clock.h"
#include "base/list.h"

struct suspect {
	uint64_t fingerprint;
	struct timespec died_at; /* last upstream death during it */
	struct suspect_report reports[SUSPECT_REPORTERS_MAX];
	size_t report_count;
	TAILQ_ENTRY(suspect) entry;
};

/* The list is in order of insertion, the oldest first. */
struct suspects {
	GHashTable *by_fingerprint;
	TAILQ_HEAD(suspect_list, suspect) list;
	size_t count;
};

/* Creates an empty table. */
struct suspects *
suspects_new(void)
{
	struct suspects *suspects = g_new0(struct suspects, 1);

	suspects->by_fingerprint = g_hash_table_new(
	    g_int64_hash, g_int64_equal);
	TAILQ_INIT(&suspects->list);
	return suspects;
}

/* Removes and frees one suspect. */
static void
remove_suspect(struct suspects *suspects, struct suspect *suspect)
{
	g_hash_table_remove(suspects->by_fingerprint, &suspect->fingerprint);
	TAILQ_REMOVE(&suspects->list, suspect, entry);
	suspects->count--;
	g_free(suspect);
}

/* Frees the table; NULL is allowed. */
void
suspects_free(struct suspects *suspects)
{
	struct suspect *suspect;

	if (suspects == NULL)
		return;
	while ((suspect = TAILQ_FIRST(&suspects->list)) != NULL)
		remove_suspect(suspects, suspect);
	g_hash_table_unref(suspects->by_fingerprint);
	g_free(suspects);
}

/* Returns whether an upstream death is too old to count. */
static bool
is_expired(struct timespec died_at, struct timespec now)
{
	return time_diff_ms(now, died_at) >= SUSPECT_TTL_MS;
}

/* Removes suspects whose last upstream death is too old. */
static void
drop_expired(struct suspects *suspects, struct timespec now)
{
	struct suspect *suspect, *next;

	TAILQ_FOREACH_SAFE (suspect, &suspects->list, entry, next) {
		if (is_expired(suspect->died_at, now))
			remove_suspect(suspects, suspect);
	}
}

/* Finds or adds a suspect; removes the oldest if the table is full. */
static struct suspect *
find_or_add(struct suspects *suspects, uint64_t fingerprint)
{
	struct suspect *suspect = g_hash_table_lookup(
	    suspects->by_fingerprint, &fingerprint);

	if (suspect != NULL)
		return suspect;
	if (suspects->count >= SUSPECTS_MAX)
		remove_suspect(suspects, TAILQ_FIRST(&suspects->list));
	suspect = g_new0(struct suspect, 1);
	suspect->fingerprint = fingerprint;
	g_hash_table_insert(
	    suspects->by_fingerprint, &suspect->fingerprint, suspect);
	TAILQ_INSERT_TAIL(&suspects->list, suspect, entry);
	suspects->count++;
	return suspect;
}

/* Finds a reporter's report of a suspect, or NULL. */
static struct suspect_report *
find_report(struct suspect *suspect, uint64_t reporter)
{
	for (size_t i = 0; i < suspect->report_count; i++) {
		if (suspect->reports[i].reporter == reporter)
			return &suspect->reports[i];
	}
	return NULL;
}

/* Adds a report; true if it was new and is to be sent to other peers. */
bool
suspects_add_report(struct suspects *suspects,
    const struct suspect_report *report, struct timespec now)
{
	struct suspect *suspect;
	struct suspect_report *known;

	drop_expired(suspects, now);
	if (is_expired(report->died_at, now) || report->deaths == 0)
		return false;
	suspect = find_or_add(suspects, report->fingerprint);
	known = find_report(suspect, report->reporter);
	if (known != NULL && known->deaths >= report->deaths)
		return false;
	if (known == NULL) {
		if (suspect->report_count == SUSPECT_REPORTERS_MAX)
			return false;
		known = &suspect->reports[suspect->report_count++];
	}
	*known = *report;
	if (time_before(suspect->died_at, report->died_at))
		suspect->died_at = report->died_at;
	return true;
}

/* Returns the number of upstream deaths while a request was running. */
uint32_t
suspects_count_deaths(
    struct suspects *suspects, uint64_t fingerprint, struct timespec now)
{
	const struct suspect *suspect;
	uint32_t deaths = 0;

	drop_expired(suspects, now);
	suspect = g_hash_table_lookup(suspects->by_fingerprint, &fingerprint);
	if (suspect == NULL)
		return 0;
	for (size_t i = 0; i < suspect->report_count; i++)
		deaths += suspect->reports[i].deaths;
	return deaths;
}

/* Returns how many upstream deaths one reporter has reported for a suspect. */
uint32_t
suspects_count_reporter_deaths(
    struct suspects *suspects, uint64_t fingerprint, uint64_t reporter)
{
	struct suspect *suspect = g_hash_table_lookup(
	    suspects->by_fingerprint, &fingerprint);
	const struct suspect_report *report;

	if (suspect == NULL)
		return 0;
	report = find_report(suspect, reporter);
	return report != NULL ? report->deaths : 0;
}

/* Calls back for each report of suspects that are not too old. */
void
suspects_for_each_report(struct suspects *suspects, struct timespec now,
    suspects_report_fn *callback, void *data)
{
	const struct suspect *suspect;

	drop_expired(suspects, now);
	TAILQ_FOREACH (suspect, &suspects->list, entry) {
		for (size_t i = 0; i < suspect->report_count; i++)
			callback(data, &suspect->reports[i]);
	}
}
