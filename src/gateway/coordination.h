/*
 * Which gateway coordinates what all of them share, by the load reports: one
 * for each key, so that the work is divided.
 */
#ifndef GATEWAY_COORDINATION_H
#define GATEWAY_COORDINATION_H

#include <stdbool.h>

#include "gateway/load_sync.h"
#include "policy/shared_rate.h"
#include "routing/fleet.h"

/* The coordinator of an upstream's rate, and what this process may grant. */
struct coordination {
	const char *coordinator; /* name; NULL if each process is its own */
	bool is_self;
	struct rate_part part;
};

struct coordination coordination_find(
    struct load_sync *, const struct fleet_upstream *);
bool coordination_is_own(struct load_sync *, const char *key);

#endif
