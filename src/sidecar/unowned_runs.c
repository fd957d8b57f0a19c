#include "sidecar/unowned_runs.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "base/clock.h"

/* A run that the engine no longer lists is removed after this time. */
#define UNLISTED_RETENTION_MS (4 * UNOWNED_RUN_GRACE_MS)

struct unowned_runs {
	GHashTable *table; /* run id -> struct unowned_run */
};

/* Creates an empty table. */
struct unowned_runs *
unowned_runs_new(void)
{
	struct unowned_runs *unowned_runs = g_new0(struct unowned_runs, 1);

	unowned_runs->table = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	return unowned_runs;
}

/* Frees a table; NULL is allowed. */
void
unowned_runs_free(struct unowned_runs *unowned_runs)
{
	if (unowned_runs == NULL)
		return;
	g_hash_table_unref(unowned_runs->table);
	g_free(unowned_runs);
}

/* Returns the hash that identifies an organisation in a run id. */
static uint32_t
organisation_hash(const char *organisation)
{
	return (uint32_t)XXH3_64bits(organisation, strlen(organisation));
}

/*
 * Writes the id of a run: KEY-ATTEMPT-ORGANISATION-DEADLINE. The organisation
 * is a hash and the deadline is in milliseconds of the wall clock, both in
 * hexadecimal.
 */
void
unowned_runs_format_id(char id[UPSTREAM_RUN_ID_SIZE], const char *key,
    uint32_t attempt, const char *organisation, int64_t deadline_ms)
{
	g_snprintf(id, UPSTREAM_RUN_ID_SIZE,
	    "%s-%u-%08x-%" G_GINT64_MODIFIER "x", key, attempt,
	    organisation_hash(organisation), (guint64)deadline_ms);
}

/*
 * Parses the deadline of an id, in milliseconds of the wall clock; 0 if the id
 * does not have the format above.
 */
static int64_t
parse_deadline(const char *id)
{
	g_auto(GStrv) parts = g_strsplit(id, "-", -1);
	guint64 deadline = 0;

	if (g_strv_length(parts) != 4 ||
	    !g_ascii_string_to_unsigned(
		parts[3], 16, 0, G_MAXINT64, &deadline, NULL))
		return 0;
	return (int64_t)deadline;
}

/*
 * Records a run that the engine lists and that has no owner here. Returns false
 * if it is to be deleted: its deadline or grace time has passed.
 */
bool
unowned_runs_update(struct unowned_runs *unowned_runs,
    const struct upstream_item *item, struct timespec now, int64_t wall_ms)
{
	struct unowned_run *unowned_run = g_hash_table_lookup(
	    unowned_runs->table, item->id);
	int64_t deadline_ms = parse_deadline(item->id);

	if (unowned_run == NULL && deadline_ms > wall_ms) {
		unowned_run = g_new0(struct unowned_run, 1);
		unowned_run->tokens = item->tokens;
		unowned_run->deadline_ms = deadline_ms;
		unowned_run->seen_at = now;
		g_hash_table_insert(
		    unowned_runs->table, g_strdup(item->id), unowned_run);
	}
	if (deadline_ms > wall_ms &&
	    time_diff_ms(now, unowned_run->seen_at) < UNOWNED_RUN_GRACE_MS)
		return true;
	g_hash_table_remove(unowned_runs->table, item->id);
	return false;
}

/*
 * Removes the run of an attempt and organisation from the table. Returns its
 * id, which the caller frees, and fills unowned_run; NULL if there is none.
 */
char *
unowned_runs_take(struct unowned_runs *unowned_runs, const char *request,
    uint32_t attempt, const char *organisation, struct unowned_run *unowned_run)
{
	g_autofree char *prefix = g_strdup_printf(
	    "%s-%u-%08x-", request, attempt, organisation_hash(organisation));
	GHashTableIter iter;
	gpointer id, value;
	char *found = NULL;

	g_hash_table_iter_init(&iter, unowned_runs->table);
	while (found == NULL && g_hash_table_iter_next(&iter, &id, &value)) {
		if (!g_str_has_prefix(id, prefix))
			continue;
		found = g_strdup(id);
		*unowned_run = *(struct unowned_run *)value;
		g_hash_table_iter_remove(&iter);
	}
	return found;
}

/* Returns whether a run was first listed too long ago. */
static gboolean
is_expired(gpointer id, gpointer value, gpointer data)
{
	const struct unowned_run *unowned_run = value;
	const struct timespec *now = data;

	return time_diff_ms(*now, unowned_run->seen_at) >=
	    UNLISTED_RETENTION_MS;
}

/* Removes runs that the engine has ended. */
void
unowned_runs_expire(struct unowned_runs *unowned_runs, struct timespec now)
{
	g_hash_table_foreach_remove(unowned_runs->table, is_expired, &now);
}
