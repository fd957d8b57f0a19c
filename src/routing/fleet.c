#include "routing/fleet.h"

#include "base/clock.h"

#define LOG_MODULE "fleet"
#include "base/log.h"

/* What is remembered of an upstream that no list shows. */
struct unlisted {
	struct upstream_process process;
	struct timespec removed_at;
};

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

/* Treats a domain's upstreams as cold: they may have restarted. */
static void
mark_domain_cold(struct fleet *fleet, const char *domain, struct timespec now)
{
	struct timespec until = time_add_ms(now, FLEET_RETURNED_COLD_MS);
	struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry) {
		if (g_strcmp0(upstream->failure_domain, domain) == 0 &&
		    time_before(upstream->cold_until, until))
			upstream->cold_until = until;
	}
}

/* A failure domain was taken out or has returned to service. */
static void
on_takeout_change(
    void *data, const char *domain, bool returned, struct timespec now)
{
	if (returned)
		mark_domain_cold(data, domain, now);
	LOG_INFO(returned ? "failure domain returned to service"
			  : "failure domain taken out",
	    "{s:s}", "domain", domain);
}

/* Returns a fleet without upstreams; free it with fleet_free. */
struct fleet *
fleet_new(void)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	TAILQ_INIT(&fleet->upstreams);
	fleet->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->unlisted = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	fleet->takeouts = takeouts_new(on_takeout_change, fleet);
	return fleet;
}

/*
 * Removes an upstream from the fleet and frees it; what was learned of its
 * process is kept.
 */
static void
remove_upstream(
    struct fleet *fleet, struct fleet_upstream *upstream, struct timespec now)
{
	const struct unlisted unlisted = {
	    .process = upstream->process, .removed_at = now};

	g_hash_table_replace(fleet->unlisted, g_strdup(upstream->id),
	    g_memdup2(&unlisted, sizeof(unlisted)));
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
		remove_upstream(fleet, upstream, (struct timespec){0});
	g_hash_table_unref(fleet->by_id);
	g_hash_table_unref(fleet->unlisted);
	takeouts_free(fleet->takeouts);
	g_free(fleet);
}

/* Adds an upstream with only its id set; update_upstream sets the rest. */
static struct fleet_upstream *
add_upstream(struct fleet *fleet, const struct upstream_report *report)
{
	struct fleet_upstream *upstream = g_new0(struct fleet_upstream, 1);
	const struct unlisted *unlisted = g_hash_table_lookup(
	    fleet->unlisted, report->id);

	upstream->id = g_strdup(report->id);
	if (unlisted != NULL) {
		upstream->process = unlisted->process;
		g_hash_table_remove(fleet->unlisted, report->id);
	}
	g_hash_table_insert(fleet->by_id, upstream->id, upstream);
	TAILQ_INSERT_TAIL(&fleet->upstreams, upstream, entry);
	return upstream;
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

/*
 * Updates an upstream from its report and logs a change of its state. Of a
 * process that had the id before, a report tells no more than that the upstream
 * is listed, unless nothing else is known.
 */
static void
update_upstream(struct fleet *fleet, struct fleet_upstream *upstream,
    const struct upstream_report *report, bool restored, struct timespec now)
{
	const struct upstream_sight sight = {
	    .start_wall_ms = report->start_wall_ms,
	    .draining = report->draining,
	    .restored = restored,
	};
	struct timespec cold = time_add_ms(now, report->cold_ms);
	enum departure_state before = upstream->process.departure.state;
	bool is_older = upstream->address != NULL &&
	    upstream_process_is_older(&upstream->process, &sight);

	upstream_process_on_listed(&upstream->process, &sight, now);
	if (!is_older) {
		set_text(&upstream->service, report->service);
		set_text(&upstream->address, report->address);
		set_text(&upstream->failure_domain, report->failure_domain);
		upstream->slots = report->slots;
	}
	if (upstream->process.departure.state != before || !upstream->listed ||
	    is_older)
		LOG_INFO("upstream listed",
		    "{s:s, s:s, s:b, s:b, s:b, s:I, s:I}", "upstream",
		    report->id, "address", report->address, "draining",
		    report->draining, "older", is_older, "left",
		    departure_has_left(&upstream->process.departure, now),
		    "cold_ms", (json_int_t)report->cold_ms, "list_version",
		    (json_int_t)fleet->version);
	upstream->listed = true;
	if (report->cold_ms > 0 && time_before(upstream->cold_until, cold))
		upstream->cold_until = cold;
}

/* Returns whether an upstream left the list within the grace period. */
static bool
is_in_grace_period(const struct fleet_upstream *upstream, struct timespec now)
{
	return !upstream->listed && time_before(now, upstream->unlisted_until);
}

/*
 * Returns whether an upstream is unlisted, has no open requests of this
 * process, and has left or is past its grace period.
 */
static bool
is_removable(const struct fleet_upstream *upstream, struct timespec now)
{
	return !upstream->listed && upstream->own.running == 0 &&
	    (departure_has_left(&upstream->process.departure, now) ||
		!is_in_grace_period(upstream, now));
}

/*
 * Marks an upstream as no longer listed; it is removed later. One that had left
 * before is used no more. One that a restored store lacks has not left.
 */
static void
mark_unlisted(struct fleet *fleet, struct fleet_upstream *upstream,
    bool restored, struct timespec now)
{
	int64_t grace_ms = restored ? DEPARTURE_RESTORE_RETURN_MS
				    : FLEET_UNLISTED_GRACE_MS;

	if (!upstream->listed)
		return;
	upstream->unlisted_until = departure_has_left(
				       &upstream->process.departure, now)
	    ? now
	    : time_add_ms(now, grace_ms);
	upstream->listed = false;
	upstream_process_on_unlisted(&upstream->process, restored, now);
	LOG_INFO("upstream gone from list", "{s:s, s:i, s:I}", "upstream",
	    upstream->id, "running", (int)upstream->own.running, "list_version",
	    (json_int_t)fleet->version);
}

/*
 * Applies a newer version of the upstream list. A removed upstream gets no new
 * requests after its grace period and is freed once its last request has ended.
 */
void
fleet_apply(
    struct fleet *fleet, const struct upstream_list *list, struct timespec now)
{
	struct fleet_upstream *upstream, *next;

	fleet->version = list->version;
	fleet->applied_at = now;
	for (size_t i = 0; i < list->count; i++) {
		upstream = fleet_find(fleet, list->reports[i].id);
		if (upstream == NULL)
			upstream = add_upstream(fleet, &list->reports[i]);
		update_upstream(
		    fleet, upstream, &list->reports[i], list->restored, now);
	}
	for (size_t i = 0; i < list->removed_count; i++) {
		upstream = fleet_find(fleet, list->removed[i]);
		if (upstream != NULL)
			mark_unlisted(fleet, upstream, list->restored, now);
	}
	TAILQ_FOREACH_SAFE (upstream, &fleet->upstreams, entry, next) {
		if (is_removable(upstream, now))
			remove_upstream(fleet, upstream, now);
	}
}

/*
 * Sets which failure domains get no new requests. The upstreams of a domain
 * that is returned to service are treated as cold for FLEET_RETURNED_COLD_MS.
 */
void
fleet_set_takeouts(struct fleet *fleet, const char *const *domains,
    size_t count, bool restored, struct timespec now)
{
	takeouts_apply(fleet->takeouts, domains, count, restored, now);
}

/* Returns a failure domain to service whose takeout was removed. */
void
fleet_end_takeout(struct fleet *fleet, const char *domain, struct timespec now)
{
	takeouts_end(fleet->takeouts, domain, now);
}

/* Drops what is remembered too long: processes, takeouts after a restore. */
void
fleet_expire(struct fleet *fleet, struct timespec now)
{
	GHashTableIter iter;
	void *value;

	takeouts_expire(fleet->takeouts, now);
	g_hash_table_iter_init(&iter, fleet->unlisted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct unlisted *unlisted = value;

		if (time_diff_ms(now, unlisted->removed_at) >=
		    UPSTREAM_PROCESS_MEMORY_MS)
			g_hash_table_iter_remove(&iter);
	}
}

/* An upstream has said that it leaves, to this process or to a peer. */
void
fleet_upstream_on_leaving(
    struct fleet_upstream *upstream, const char *source, struct timespec now)
{
	if (!departure_on_announced(&upstream->process.departure))
		return;
	upstream->process.announced_at = now;
	LOG_INFO("upstream announced that it leaves", "{s:s, s:s, s:s, s:i}",
	    "upstream", upstream->id, "address", upstream->address, "source",
	    source, "running", (int)upstream->own.running);
}

/* Returns whether peers are told now that an upstream leaves. */
bool
fleet_upstream_announces(
    const struct fleet_upstream *upstream, struct timespec now)
{
	return upstream->process.departure.announced &&
	    time_diff_ms(now, upstream->process.announced_at) <
	    FLEET_ANNOUNCE_MS;
}

/* An upstream has asked this process for no requests for some time. */
void
fleet_upstream_on_quiet(
    struct fleet_upstream *upstream, int64_t quiet_ms, struct timespec now)
{
	quiet_on_request(&upstream->process.quiet, quiet_ms, now);
	LOG_INFO("upstream asked for no requests", "{s:s, s:I, s:I}",
	    "upstream", upstream->id, "asked_ms", (json_int_t)quiet_ms,
	    "for_ms", (json_int_t)quiet_left_ms(&upstream->process.quiet, now));
}

/* Returns whether peers are told of a change of an upstream's rate. */
bool
fleet_upstream_announces_rate(
    const struct fleet_upstream *upstream, struct timespec now)
{
	return time_is_set(upstream->process.rate_changed_at) &&
	    time_diff_ms(now, upstream->process.rate_changed_at) <
	    FLEET_ANNOUNCE_RATE_MS;
}

/* Logs what is known of the rate that an upstream names, if it changed. */
void
fleet_upstream_on_rate(
    struct fleet_upstream *upstream, bool changed, const char *source)
{
	const struct named_rate *rate = &upstream->process.named_rate;

	if (!changed)
		return;
	upstream->process.rate_changed_at = rate->seen_at;
	LOG_INFO(rate->named ? "upstream named a rate"
			     : "upstream no longer names a rate",
	    "{s:s, s:f, s:s}", "upstream", upstream->id, "per_s", rate->per_s,
	    "source", source);
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
 * Returns whether an upstream has said that it leaves, is listed so, or is in a
 * failure domain that is taken out, so that its end is planned.
 */
bool
fleet_upstream_is_leaving(const struct fleet *fleet,
    const struct fleet_upstream *upstream, struct timespec now)
{
	return departure_has_left(&upstream->process.departure, now) ||
	    takeouts_contains(fleet->takeouts, upstream->failure_domain);
}

/*
 * Returns whether an upstream may get new requests: it is listed or in its
 * grace period, has not left, and its failure domain is not taken out. One that
 * has asked for quiet is eligible, but not now.
 */
bool
fleet_upstream_is_eligible(const struct fleet *fleet,
    const struct fleet_upstream *upstream, struct timespec now)
{
	return (upstream->listed || is_in_grace_period(upstream, now)) &&
	    !fleet_upstream_is_leaving(fleet, upstream, now);
}

/*
 * Returns whether an upstream is avoided because it failed recently or was
 * reported as faulty, either to this process or by several peers.
 */
bool
fleet_upstream_is_avoided(
    const struct fleet_upstream *upstream, struct timespec now)
{
	return time_before(now, upstream->process.avoid_until) ||
	    time_before(now, upstream->process.faulty_until) ||
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
		remove_upstream(fleet, upstream, now);
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
