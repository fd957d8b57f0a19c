/*
 * What waits at all gateways, by service and rank. Each gateway reports its own
 * prompts with its load; a report replaces the peer's earlier one. Only
 * services whose ranks differ are counted.
 */
#ifndef GATEWAY_RANK_SYNC_H
#define GATEWAY_RANK_SYNC_H

#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <glib.h>

#include "policy/rank_waiting.h"

/*
 * Numbers of a row of a report: the hash of the service's name, the rank, and
 * the members of struct rank_waiting.
 */
#define RANK_SYNC_ROW_NUMBERS 4

struct rank_sync;

struct rank_sync *rank_sync_new(void);
void rank_sync_free(struct rank_sync *);
struct rank_waiting *rank_sync_own(
    struct rank_sync *, const char *service, uint32_t rank);
void rank_sync_sum(struct rank_sync *, const char *service,
    struct rank_waiting sums[PRECEDENCE_RANKS]);
GArray *rank_sync_encode(const struct rank_sync *);
void rank_sync_on_report(struct rank_sync *, const char *process,
    const uint64_t *numbers, size_t count, struct timespec now);
void rank_sync_expire(
    struct rank_sync *, int64_t silence_ms, struct timespec now);

#endif
