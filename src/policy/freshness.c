#include "policy/freshness.h"

#include <glib.h>

#include "base/clock.h"

/* Returns the later of two times; an unset one is the earliest. */
static struct timespec
later(struct timespec a, struct timespec b)
{
	return time_before(a, b) ? b : a;
}

/* Records that the copy was the newest at a time, by the store's answer. */
void
freshness_on_store(struct freshness *freshness, struct timespec at)
{
	freshness->store_at = later(freshness->store_at, at);
}

/*
 * Records that a version was the newest at a time, by a peer that had the
 * store's answer. Of another version than the one in force, only a later one
 * says something: that there is one.
 */
void
freshness_on_peer(struct freshness *freshness, uint64_t in_force,
    uint64_t version, struct timespec at, struct timespec now)
{
	if (version > in_force) {
		freshness->newer_version = version;
		freshness->newer_named_at = now;
	}
	if (version == in_force)
		freshness->peer_at = later(freshness->peer_at, at);
}

/*
 * Returns whether the version in force was the newest at most max_age_ms ago,
 * and no newer one has been named within that time. One that is not named again
 * may not exist: a peer of an earlier build may name a version that nobody has.
 */
bool
freshness_is_current(const struct freshness *freshness, uint64_t in_force,
    int64_t max_age_ms, struct timespec now)
{
	int64_t age_ms = freshness_age_ms(freshness, now);

	return age_ms != FRESHNESS_NEVER && age_ms <= max_age_ms &&
	    (freshness->newer_version <= in_force ||
		time_diff_ms(now, freshness->newer_named_at) > max_age_ms);
}

/* Returns who was the last to show it, as logged: store, peer or none. */
const char *
freshness_source(const struct freshness *freshness)
{
	if (time_before(freshness->store_at, freshness->peer_at))
		return "peer";
	return time_is_set(freshness->store_at) ? "store" : "none";
}

/* Returns the time since the copy was last known to be the newest. */
int64_t
freshness_age_ms(const struct freshness *freshness, struct timespec now)
{
	return freshness_since_ms(
	    later(freshness->store_at, freshness->peer_at), now);
}

/* Returns the time since a moment, or FRESHNESS_NEVER if it is unset. */
int64_t
freshness_since_ms(struct timespec at, struct timespec now)
{
	return time_is_set(at) ? time_diff_ms(now, at) : FRESHNESS_NEVER;
}
