/*
 * The reasons for which no new work is taken. With the first of them what waits
 * is given back and what runs goes on; with the last gone work is taken again.
 */
#ifndef SIDECAR_DRAIN_H
#define SIDECAR_DRAIN_H

#include <stdbool.h>

#include "config/config.h"
#include "sidecar/runs.h"

enum drain_reason {
	DRAIN_UNCONFIGURED = 1 << 0, /* no configuration is known yet */
	DRAIN_BY_CONFIG = 1 << 1, /* upstream leaves or its domain is out */
	DRAIN_BY_PLACEMENT = 1 << 2, /* the placement takes the upstream out */
	DRAIN_LOADING = 1 << 3, /* another model is to be loaded */
	DRAIN_STOPPING = 1 << 4, /* this process was asked to stop */
};

struct drain {
	struct runs *runs;
	unsigned int reasons; /* set of enum drain_reason */
};

void drain_init(struct drain *, struct runs *);
void drain_set(struct drain *, enum drain_reason, bool on);
bool drain_has_reason(const struct drain *, enum drain_reason);
void drain_check_start_allowed(const struct config *, const char *upstream);

#endif
