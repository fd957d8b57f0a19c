#include "routing/fleet.h"

#include "base/clock.h"

#define LOG_MODULE "fleet"
#include "base/log.h"

/* Frees an upstream that is in no list. */
static void
upstream_free(struct upstream *upstream)
{
	g_free(upstream->id);
	g_free(upstream->service);
	g_free(upstream->address);
	g_free(upstream->failure_domain);
	g_free(upstream);
}

/* Makes a fleet without upstreams. */
struct fleet *
fleet_new(void)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	TAILQ_INIT(&fleet->upstreams);
	fleet->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->takeouts = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, NULL);
	return fleet;
}

/* Takes an upstream out of the fleet. */
static void
drop(struct fleet *fleet, struct upstream *upstream)
{
	g_hash_table_remove(fleet->by_id, upstream->id);
	TAILQ_REMOVE(&fleet->upstreams, upstream, entry);
	upstream_free(upstream);
}

/* Frees a fleet; NULL is allowed. */
void
fleet_free(struct fleet *fleet)
{
	struct upstream *upstream, *next;

	if (fleet == NULL)
		return;
	TAILQ_FOREACH_SAFE (upstream, &fleet->upstreams, entry, next)
		drop(fleet, upstream);
	g_hash_table_unref(fleet->by_id);
	g_hash_table_unref(fleet->takeouts);
	g_free(fleet);
}

/* Adds an upstream that the list names for the first time. */
static struct upstream *
add(struct fleet *fleet, const struct upstream_report *report)
{
	struct upstream *upstream = g_new0(struct upstream, 1);

	upstream->id = g_strdup(report->id);
	g_hash_table_insert(fleet->by_id, upstream->id, upstream);
	TAILQ_INSERT_TAIL(&fleet->upstreams, upstream, entry);
	return upstream;
}

/* Forgets what a process had, once another runs under its id. */
static void
restart(struct upstream *upstream)
{
	upstream->failures = 0;
	upstream->avoid_until = (struct timespec){0};
	upstream->blamed_until = (struct timespec){0};
	upstream->error_share = 0.0;
}

/* Replaces a text where it differs. */
static void
set_text(char **text, const char *value)
{
	if (g_strcmp0(*text, value) == 0)
		return;
	g_free(*text);
	*text = g_strdup(value);
}

/* Takes what the list says of one upstream. */
static void
update(struct fleet *fleet, struct upstream *upstream,
    const struct upstream_report *report, struct timespec now)
{
	struct timespec cold = time_add_ms(now, report->cold_ms);

	if (upstream->born_wall_ms != report->born_wall_ms)
		restart(upstream);
	set_text(&upstream->service, report->service);
	set_text(&upstream->address, report->address);
	set_text(&upstream->failure_domain, report->failure_domain);
	if (upstream->draining != report->draining || !upstream->listed)
		LOG_INFO("upstream listed", "{s:s, s:s, s:b, s:I, s:I}",
		    "upstream", report->id, "address", report->address,
		    "draining", report->draining, "cold_ms",
		    (json_int_t)report->cold_ms, "list_version",
		    (json_int_t)fleet->version);
	upstream->slots = report->slots;
	upstream->draining = report->draining;
	upstream->listed = true;
	upstream->born_wall_ms = report->born_wall_ms;
	if (report->cold_ms > 0 && time_before(upstream->cold_until, cold))
		upstream->cold_until = cold;
}

/* Says whether an upstream has only just vanished from the list. */
static bool
may_have_lapsed(const struct upstream *upstream, struct timespec now)
{
	return !upstream->listed &&
	    time_diff_ms(now, upstream->unlisted_at) < FLEET_LAPSE_MS;
}

/* Says whether nothing of an upstream is needed any more. */
static bool
may_forget(const struct upstream *upstream, struct timespec now)
{
	return !upstream->listed && upstream->own.running == 0 &&
	    (upstream->draining || !may_have_lapsed(upstream, now));
}

/* Takes note that the list no longer names an upstream. */
static void
unlist(struct fleet *fleet, struct upstream *upstream, struct timespec now)
{
	if (!upstream->listed)
		return;
	upstream->unlisted_at = now;
	upstream->listed = false;
	LOG_INFO("upstream gone from list", "{s:s, s:i, s:I}", "upstream",
	    upstream->id, "running", (int)upstream->own.running, "list_version",
	    (json_int_t)fleet->version);
}

/*
 * Brings a newer list into force, by what it names anew or otherwise and what
 * it no longer names. The latter gets no new work and is forgotten once its
 * last request has ended.
 */
void
fleet_apply(struct fleet *fleet, uint64_t version,
    const struct upstream_report *reports, size_t count,
    const char *const *removed, size_t removed_count, struct timespec now)
{
	struct upstream *upstream, *next;

	fleet->version = version;
	fleet->learned_at = now;
	for (size_t i = 0; i < count; i++) {
		upstream = fleet_find(fleet, reports[i].id);
		if (upstream == NULL)
			upstream = add(fleet, &reports[i]);
		update(fleet, upstream, &reports[i], now);
	}
	for (size_t i = 0; i < removed_count; i++) {
		upstream = fleet_find(fleet, removed[i]);
		if (upstream != NULL)
			unlist(fleet, upstream, now);
	}
	TAILQ_FOREACH_SAFE (upstream, &fleet->upstreams, entry, next) {
		if (may_forget(upstream, now))
			drop(fleet, upstream);
	}
}

/* Has a domain's upstreams taken for cold: they may have been restarted. */
static void
return_domain(struct fleet *fleet, const char *domain, struct timespec until)
{
	struct upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		if (g_strcmp0(upstream->failure_domain, domain) == 0 &&
		    time_before(upstream->cold_until, until))
			upstream->cold_until = until;
	}
	LOG_INFO("failure domain taken back", "{s:s}", "domain", domain);
}

/*
 * Sets which failure domains get no new work. One that is no longer among them
 * is treated as cold for cold_ms.
 */
void
fleet_set_takeouts(struct fleet *fleet, const char *const *domains,
    size_t count, struct timespec now, int64_t cold_ms)
{
	GHashTable *takeouts = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, NULL);
	GHashTableIter iter;
	void *domain;

	for (size_t i = 0; i < count; i++) {
		if (!g_hash_table_contains(fleet->takeouts, domains[i]))
			LOG_INFO("failure domain taken out", "{s:s}", "domain",
			    domains[i]);
		g_hash_table_add(takeouts, g_strdup(domains[i]));
	}
	g_hash_table_iter_init(&iter, fleet->takeouts);
	while (g_hash_table_iter_next(&iter, &domain, NULL)) {
		if (!g_hash_table_contains(takeouts, domain))
			return_domain(fleet, domain, time_add_ms(now, cold_ms));
	}
	g_hash_table_unref(fleet->takeouts);
	fleet->takeouts = takeouts;
}

/* Finds an upstream by its id; NULL where it is unknown. */
struct upstream *
fleet_find(const struct fleet *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->by_id, id);
}

/* Returns how many upstreams the list names. */
size_t
fleet_count(const struct fleet *fleet)
{
	return g_hash_table_size(fleet->by_id);
}

/* Says whether the platform and the operators let an upstream have new work. */
bool
fleet_takes_new_work(const struct fleet *fleet, const struct upstream *upstream,
    struct timespec now)
{
	return (upstream->listed || may_have_lapsed(upstream, now)) &&
	    !upstream->draining &&
	    !g_hash_table_contains(fleet->takeouts, upstream->failure_domain);
}

/* Says whether an upstream has failed lately, by ourselves or by several peers.
 */
bool
upstream_is_avoided(const struct upstream *upstream, struct timespec now)
{
	return time_before(now, upstream->avoid_until) ||
	    time_before(now, upstream->blamed_until) ||
	    upstream->peers_blaming >= FLEET_BLAMING_PEERS;
}

/* Notes that a request of this process is sent to an upstream. */
void
fleet_began(struct fleet *fleet, struct upstream *upstream, struct timespec now)
{
	upstream->own.running++;
	cold_rate_record_send(&upstream->cold_rate, now);
}

/* Notes its end; an upstream that the list no longer names may be freed. */
void
fleet_ended(struct fleet *fleet, struct upstream *upstream, struct timespec now)
{
	upstream->own.running--;
	if (may_forget(upstream, now))
		drop(fleet, upstream);
}

/* Returns how much reading lies ahead of an upstream, of all processes. */
uint64_t
upstream_reading_us(const struct upstream *upstream)
{
	return upstream->own.reading_us + upstream->peers.reading_us;
}

/*
 * Adds a part to what an upstream reads, by any process, and returns when all
 * of it will have been read.
 */
struct timespec
upstream_add_reading(
    struct upstream *upstream, uint64_t part_us, struct timespec now)
{
	if (time_before(upstream->reads_until, now))
		upstream->reads_until = now;
	upstream->reads_until = time_add_us(
	    upstream->reads_until, (int64_t)part_us);
	return upstream->reads_until;
}
