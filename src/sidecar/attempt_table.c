#include "sidecar/attempt_table.h"

#include <glib.h>

#include "base/clock.h"

/* Interval between two scans of the table. */
#define EXPIRE_INTERVAL_MS 5000

struct attempt_entry {
	uint32_t attempt;
	bool not_run; /* the attempt never reached the upstream */
	struct timespec expires_at;
};

struct attempt_table {
	GHashTable *table; /* key -> struct attempt_entry */
	struct timespec next_expiry_at;
};

/* Creates an empty table. */
struct attempt_table *
attempt_table_new(void)
{
	struct attempt_table *attempts = g_new0(struct attempt_table, 1);

	attempts->table = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	return attempts;
}

/* Frees a table; NULL is allowed. */
void
attempt_table_free(struct attempt_table *attempts)
{
	if (attempts == NULL)
		return;
	g_hash_table_unref(attempts->table);
	g_free(attempts);
}

/*
 * Returns the verdict on an attempt, and records it as not run if it is the
 * latest.
 */
enum attempt_verdict
attempt_table_record(struct attempt_table *attempts, const char *key,
    uint32_t attempt, struct timespec deadline, struct timespec now)
{
	struct attempt_entry *entry = g_hash_table_lookup(attempts->table, key);
	struct timespec expires_at = time_add_ms(now, ATTEMPT_RETENTION_MS);

	if (entry != NULL && attempt <= entry->attempt)
		return attempt < entry->attempt ? ATTEMPT_STALE
						: ATTEMPT_DUPLICATE;
	if (entry == NULL) {
		entry = g_new0(struct attempt_entry, 1);
		g_hash_table_insert(attempts->table, g_strdup(key), entry);
	}
	entry->attempt = attempt;
	entry->not_run = true;
	entry->expires_at = time_before(expires_at, deadline) ? deadline
							      : expires_at;
	return ATTEMPT_LATEST;
}

/* Records whether an attempt has provably not reached the upstream. */
void
attempt_table_set_not_run(struct attempt_table *attempts, const char *key,
    uint32_t attempt, bool not_run)
{
	struct attempt_entry *entry = g_hash_table_lookup(attempts->table, key);

	if (entry != NULL && entry->attempt == attempt)
		entry->not_run = not_run;
}

/* Returns whether the latest attempt provably never reached the upstream. */
bool
attempt_table_is_not_run(const struct attempt_table *attempts, const char *key)
{
	const struct attempt_entry *entry = g_hash_table_lookup(
	    attempts->table, key);

	return entry != NULL && entry->not_run;
}

/* Returns whether an entry has passed its retention. */
static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
	const struct attempt_entry *entry = value;
	const struct timespec *now = data;

	return !time_before(*now, entry->expires_at);
}

/* Removes expired entries; scans at most once per EXPIRE_INTERVAL_MS. */
void
attempt_table_expire(struct attempt_table *attempts, struct timespec now)
{
	if (time_before(now, attempts->next_expiry_at))
		return;
	attempts->next_expiry_at = time_add_ms(now, EXPIRE_INTERVAL_MS);
	g_hash_table_foreach_remove(attempts->table, is_expired, &now);
}
