/*
 * The reasons for which the sidecar accepts no new work. The first one set
 * rejects the queued requests and lets running ones finish; once the last is
 * cleared, new work is accepted again.
 */
#ifndef SIDECAR_DRAIN_REASONS_H
#define SIDECAR_DRAIN_REASONS_H

#include <stdbool.h>

#include "config/config.h"
#include "sidecar/runs.h"

enum drain_reason {
	DRAIN_UNCONFIGURED = 1 << 0, /* no configuration received yet */
	DRAIN_BY_CONFIG = 1 << 1, /* upstream leaving or domain taken out */
	DRAIN_BY_PLACEMENT = 1 << 2, /* the placement drains this upstream */
	DRAIN_LOADING = 1 << 3, /* another model is to be loaded */
	DRAIN_STOPPING = 1 << 4, /* the process is shutting down */
};

struct drain_reasons {
	struct runs *runs;
	unsigned int set; /* set of enum drain_reason */
};

void drain_reasons_init(struct drain_reasons *, struct runs *);
void drain_reasons_set(struct drain_reasons *, enum drain_reason, bool on);
bool drain_reasons_has(const struct drain_reasons *, enum drain_reason);
void drain_reasons_check_start(const struct config *, const char *upstream);

#endif
