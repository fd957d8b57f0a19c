/*
 * Deletes claims (records of idempotency keys, see store/claims.h) whose
 * retention period is over. Scans all claims page by page, with a limited rate
 * of calls to the platform. Normally one entry does this; two at once do no
 * harm, since a delete is conditional on the version that was read.
 */
#ifndef STORE_CLAIMS_COLLECTOR_H
#define STORE_CLAIMS_COLLECTOR_H

#include <stdbool.h>

#include <ev.h>

#include "base/clock.h"
#include "store/store.h"

/* Minimum time between calls, and from the end of a scan to the next. */
#define COLLECT_CALL_INTERVAL_MS 100
#define COLLECT_SCAN_INTERVAL_MS (60 * 60 * 1000)
/* Wait after a failed call; doubles with each further one in a row. */
#define COLLECT_BACKOFF_MIN_MS 500
#define COLLECT_BACKOFF_MAX_MS (60 * 1000)

struct claims_collector;

struct claims_collector *claims_collector_new(
    struct ev_loop *, struct clock *, struct store *);
void claims_collector_free(struct claims_collector *);
void claims_collector_set_active(struct claims_collector *, bool);
void claims_collector_tick(struct claims_collector *);

#endif
