#include "routing/fleet.h"

#include "base/clock.h"

#define LOG_MODULE "fleet"
#include "base/log.h"

/* Frees an upstream that is not, or no longer, part of a fleet. */
static void
free_upstream(struct fleet_upstream *upstream)
{
	g_free(upstream->id);
	g_free(upstream->service);
	g_free(upstream->address);
	g_free(upstream->failure_domain);
	g_free(upstream);
}

/* Returns a fleet without upstreams; free it with fleet_free. */
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

/* Removes an upstream from the fleet and frees it. */
static void
remove_upstream(struct fleet *fleet, struct fleet_upstream *upstream)
{
	g_hash_table_remove(fleet->by_id, upstream->id);
	TAILQ_REMOVE(&fleet->upstreams, upstream, entry);
	free_upstream(upstream);
}

/* Frees a fleet and its upstreams; NULL is allowed. */
void
fleet_free(struct fleet *fleet)
{
	struct fleet_upstream *upstream, *next;

	if (fleet == NULL)
		return;
	TAILQ_FOREACH_SAFE (upstream, &fleet->upstreams, entry, next)
		remove_upstream(fleet, upstream);
	g_hash_table_unref(fleet->by_id);
	g_hash_table_unref(fleet->takeouts);
	g_free(fleet);
}

/* Adds an upstream with only its id set; update_upstream sets the rest. */
static struct fleet_upstream *
add_upstream(struct fleet *fleet, const struct upstream_report *report)
{
	struct fleet_upstream *upstream = g_new0(struct fleet_upstream, 1);

	upstream->id = g_strdup(report->id);
	g_hash_table_insert(fleet->by_id, upstream->id, upstream);
	TAILQ_INSERT_TAIL(&fleet->upstreams, upstream, entry);
	return upstream;
}

/* Resets the failure state of an upstream whose process was restarted. */
static void
reset_health(struct fleet_upstream *upstream)
{
	upstream->failures = 0;
	upstream->avoid_until = (struct timespec){0};
	upstream->faulty_until = (struct timespec){0};
	upstream->error_share = 0.0;
}

/* Replaces a string if it differs. */
static void
set_text(char **text, const char *value)
{
	if (g_strcmp0(*text, value) == 0)
		return;
	g_free(*text);
	*text = g_strdup(value);
}

/* Updates an upstream from its report and logs a change of its state. */
static void
update_upstream(struct fleet *fleet, struct fleet_upstream *upstream,
    const struct upstream_report *report, struct timespec now)
{
	struct timespec cold = time_add_ms(now, report->cold_ms);

	if (upstream->start_wall_ms != report->start_wall_ms)
		reset_health(upstream);
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
	upstream->start_wall_ms = report->start_wall_ms;
	if (report->cold_ms > 0 && time_before(upstream->cold_until, cold))
		upstream->cold_until = cold;
}

/* Returns whether an upstream left the list within the grace period. */
static bool
is_in_grace_period(const struct fleet_upstream *upstream, struct timespec now)
{
	return !upstream->listed &&
	    time_diff_ms(now, upstream->unlisted_at) < FLEET_UNLISTED_GRACE_MS;
}

/*
 * Returns whether an upstream is unlisted, has no open requests of this
 * process, and is draining or past its grace period.
 */
static bool
is_removable(const struct fleet_upstream *upstream, struct timespec now)
{
	return !upstream->listed && upstream->own.running == 0 &&
	    (upstream->draining || !is_in_grace_period(upstream, now));
}

/* Marks an upstream as no longer listed; it is removed later. */
static void
mark_unlisted(
    struct fleet *fleet, struct fleet_upstream *upstream, struct timespec now)
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
 * Applies a newer version of the upstream list: reports holds the upstreams
 * that were added or changed, removed the ids of those that left the list. A
 * removed upstream gets no new requests after its grace period and is freed
 * once its last request has ended.
 */
void
fleet_apply(struct fleet *fleet, uint64_t version,
    const struct upstream_report *reports, size_t count,
    const char *const *removed, size_t removed_count, struct timespec now)
{
	struct fleet_upstream *upstream, *next;

	fleet->version = version;
	fleet->applied_at = now;
	for (size_t i = 0; i < count; i++) {
		upstream = fleet_find(fleet, reports[i].id);
		if (upstream == NULL)
			upstream = add_upstream(fleet, &reports[i]);
		update_upstream(fleet, upstream, &reports[i], now);
	}
	for (size_t i = 0; i < removed_count; i++) {
		upstream = fleet_find(fleet, removed[i]);
		if (upstream != NULL)
			mark_unlisted(fleet, upstream, now);
	}
	TAILQ_FOREACH_SAFE (upstream, &fleet->upstreams, entry, next) {
		if (is_removable(upstream, now))
			remove_upstream(fleet, upstream);
	}
}

/* Treats a domain's upstreams as cold until a time: they may have restarted. */
static void
mark_domain_cold(struct fleet *fleet, const char *domain, struct timespec until)
{
	struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		if (g_strcmp0(upstream->failure_domain, domain) == 0 &&
		    time_before(upstream->cold_until, until))
			upstream->cold_until = until;
	}
	LOG_INFO(
	    "failure domain returned to service", "{s:s}", "domain", domain);
}

/*
 * Sets which failure domains get no new requests. The upstreams of a domain
 * that is returned to service are treated as cold for cold_ms.
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
			mark_domain_cold(
			    fleet, domain, time_add_ms(now, cold_ms));
	}
	g_hash_table_unref(fleet->takeouts);
	fleet->takeouts = takeouts;
}

/* Finds an upstream by its id; NULL if there is none. */
struct fleet_upstream *
fleet_find(const struct fleet *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->by_id, id);
}

/*
 * Returns the number of upstreams, unlisted ones with open requests included.
 */
size_t
fleet_count(const struct fleet *fleet)
{
	return g_hash_table_size(fleet->by_id);
}

/*
 * Returns whether an upstream may get new requests: it is listed or in its
 * grace period, is not draining, and its failure domain is not taken out.
 */
bool
fleet_upstream_is_eligible(const struct fleet *fleet,
    const struct fleet_upstream *upstream, struct timespec now)
{
	return (upstream->listed || is_in_grace_period(upstream, now)) &&
	    !upstream->draining &&
	    !g_hash_table_contains(fleet->takeouts, upstream->failure_domain);
}

/*
 * Returns whether an upstream is avoided because it failed recently or was
 * reported as faulty, either to this process or by several peers.
 */
bool
fleet_upstream_is_avoided(
    const struct fleet_upstream *upstream, struct timespec now)
{
	return time_before(now, upstream->avoid_until) ||
	    time_before(now, upstream->faulty_until) ||
	    upstream->peer_fault_reports >= FLEET_FAULT_REPORTS_MIN;
}

/* Counts a request of this process that is sent to an upstream. */
void
fleet_add_request(
    struct fleet *fleet, struct fleet_upstream *upstream, struct timespec now)
{
	upstream->own.running++;
	cold_rate_record_send(&upstream->cold_rate, now);
}

/*
 * Counts the end of such a request; frees the upstream if it is unlisted and
 * unused.
 */
void
fleet_remove_request(
    struct fleet *fleet, struct fleet_upstream *upstream, struct timespec now)
{
	upstream->own.running--;
	if (is_removable(upstream, now))
		remove_upstream(fleet, upstream);
}

/*
 * Returns the predicted prefill time, in microseconds, of all prompts that the
 * upstream still has to process, those of other processes included.
 */
uint64_t
fleet_upstream_prefill_us(const struct fleet_upstream *upstream)
{
	return upstream->own.prefill_us + upstream->peers.prefill_us;
}

/*
 * Adds a part of a prompt, of part_us microseconds, to an upstream's prefill
 * work and returns when all of that work is expected to be done.
 */
struct timespec
fleet_upstream_add_prefill(
    struct fleet_upstream *upstream, uint64_t part_us, struct timespec now)
{
	if (time_before(upstream->prefill_until, now))
		upstream->prefill_until = now;
	upstream->prefill_until = time_add_us(
	    upstream->prefill_until, (int64_t)part_us);
	return upstream->prefill_until;
}
