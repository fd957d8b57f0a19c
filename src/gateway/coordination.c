#include "gateway/coordination.h"

#include <string.h>

#include <glib.h>

/* Finds the coordinator of an upstream's rate among the live gateways. */
struct coordination
coordination_find(
    struct load_sync *load_sync, const struct fleet_upstream *upstream)
{
	size_t count;
	const char *self = load_sync_self(load_sync);
	const struct rate_member *members = load_sync_members(
	    load_sync, &count);
	const char *coordinator = shared_rate_coordinator(
	    upstream->id, members, count);

	return (struct coordination){
	    .coordinator = coordinator,
	    .is_self = coordinator == NULL || strcmp(coordinator, self) == 0,
	    .part =
		{
		    .per_s = upstream->process.named_rate.per_s,
		    .share = shared_rate_share(
			members, count, self, load_sync_count(load_sync)),
		    .view = shared_rate_view(members, count),
		    .phase = shared_rate_phase(upstream->id, self),
		},
	};
}

/*
 * Returns whether this process alone may do what is to be done once by all
 * gateways: it coordinates the key, and most of them agree on that.
 */
bool
coordination_is_own(struct load_sync *load_sync, const char *key)
{
	size_t count;
	const char *self = load_sync_self(load_sync);
	const struct rate_member *members = load_sync_members(
	    load_sync, &count);
	const char *coordinator = shared_rate_coordinator(key, members, count);

	return g_strcmp0(coordinator, self) == 0 &&
	    shared_rate_share(
		members, count, self, load_sync_count(load_sync)) >= 1.0;
}
