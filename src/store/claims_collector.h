/*
 * Deletes claims that are past their time, slowly: it walks over all claims, a
 * page at a time, and asks the platform for no more than a few calls a second.
 * One entry collects; two at once do no harm, since a delete names the version
 * that was read.
 */
#ifndef STORE_CLAIMS_COLLECTOR_H
#define STORE_CLAIMS_COLLECTOR_H

#include <stdbool.h>

#include <ev.h>

#include "base/clock.h"
#include "store/store.h"

/* At most one call in this time, and one walk's start in the longer one. */
#define COLLECT_CALL_INTERVAL_MS 100
#define COLLECT_SCAN_INTERVAL_MS (60 * 60 * 1000)

struct claims_collector;

struct claims_collector *claims_collector_new(
    struct ev_loop *, struct clock *, struct store *);
void claims_collector_free(struct claims_collector *);
void claims_collector_set_active(struct claims_collector *, bool);
void claims_collector_tick(struct claims_collector *);

#endif
