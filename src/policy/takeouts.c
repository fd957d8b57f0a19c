#include "policy/takeouts.h"

#include "base/clock.h"

struct takeout {
	bool listed; /* in the latest list; else kept after a restore */
	struct timespec kept_until; /* if not listed */
};

struct takeouts {
	GHashTable *by_domain; /* domain -> struct takeout */
	takeouts_fn *on_change;
	void *data;
};

/* Returns an empty set, which reports its changes to a callback. */
struct takeouts *
takeouts_new(takeouts_fn *on_change, void *data)
{
	struct takeouts *takeouts = g_new0(struct takeouts, 1);

	takeouts->by_domain = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	takeouts->on_change = on_change;
	takeouts->data = data;
	return takeouts;
}

/* Frees the set; NULL is allowed. */
void
takeouts_free(struct takeouts *takeouts)
{
	if (takeouts == NULL)
		return;
	g_hash_table_unref(takeouts->by_domain);
	g_free(takeouts);
}

/* Adds a domain as listed. */
static void
add_listed(struct takeouts *takeouts, const char *domain, struct timespec now)
{
	struct takeout *takeout = g_hash_table_lookup(
	    takeouts->by_domain, domain);

	if (takeout == NULL) {
		takeout = g_new0(struct takeout, 1);
		g_hash_table_insert(
		    takeouts->by_domain, g_strdup(domain), takeout);
		takeouts->on_change(takeouts->data, domain, false, now);
	}
	takeout->listed = true;
}

/*
 * Sets the domains that the store lists. One that is no longer listed returns
 * to service, unless the store was restored: then it is kept for a time.
 */
void
takeouts_apply(struct takeouts *takeouts, const char *const *domains,
    size_t count, bool restored, struct timespec now)
{
	g_autoptr(GHashTable)
	    listed = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	void *domain;
	void *value;

	for (size_t i = 0; i < count; i++) {
		g_hash_table_add(listed, (char *)domains[i]);
		add_listed(takeouts, domains[i], now);
	}
	g_hash_table_iter_init(&iter, takeouts->by_domain);
	while (g_hash_table_iter_next(&iter, &domain, &value)) {
		struct takeout *takeout = value;

		if (!takeout->listed || g_hash_table_contains(listed, domain))
			continue;
		if (restored) {
			takeout->listed = false;
			takeout->kept_until = time_add_ms(
			    now, TAKEOUTS_KEEP_MS);
			continue;
		}
		takeouts->on_change(takeouts->data, domain, true, now);
		g_hash_table_iter_remove(&iter);
	}
}

/* Ends a takeout that the store has reported as removed. */
void
takeouts_end(struct takeouts *takeouts, const char *domain, struct timespec now)
{
	if (!g_hash_table_contains(takeouts->by_domain, domain))
		return;
	takeouts->on_change(takeouts->data, domain, true, now);
	g_hash_table_remove(takeouts->by_domain, domain);
}

/* Ends the takeouts that were kept after a restore and not confirmed. */
void
takeouts_expire(struct takeouts *takeouts, struct timespec now)
{
	GHashTableIter iter;
	void *domain;
	void *value;

	g_hash_table_iter_init(&iter, takeouts->by_domain);
	while (g_hash_table_iter_next(&iter, &domain, &value)) {
		const struct takeout *takeout = value;

		if (takeout->listed || time_before(now, takeout->kept_until))
			continue;
		takeouts->on_change(takeouts->data, domain, true, now);
		g_hash_table_iter_remove(&iter);
	}
}

/* Returns whether a failure domain is taken out. */
bool
takeouts_contains(const struct takeouts *takeouts, const char *domain)
{
	return g_hash_table_contains(takeouts->by_domain, domain);
}
