/*
 * Keeps the retry budgets of all services together with the other gateways: the
 * share of the slack that this one may use, and loans of slack among them.
 */
#ifndef GATEWAY_RETRY_SYNC_H
#define GATEWAY_RETRY_SYNC_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"
#include "gateway/load_sync.h"
#include "peer/mesh.h"
#include "policy/retry_quota.h"

/* Time between two rounds of questions for one service's slack. */
#define RETRY_SYNC_ASK_MS 100
/* Peers asked in one round, and the tokens asked for. */
#define RETRY_SYNC_ASK_PEERS  4
#define RETRY_SYNC_ASK_TOKENS 4
/* A peer that lends nothing is not asked again for this time. */
#define RETRY_SYNC_REFUSED_MS 1000
/* The share is worked out again after this time. */
#define RETRY_SYNC_SHARE_MS 50
/* Services with a budget; retries to others are denied. */
#define RETRY_SYNC_SERVICES_MAX 4096

struct retry_sync;

struct retry_sync *retry_sync_new(struct clock *, struct mesh *,
    struct load_sync *, const struct retry_limits *);
void retry_sync_free(struct retry_sync *);
void retry_sync_count_request(struct retry_sync *, const char *name);
bool retry_sync_allows(
    struct retry_sync *, const char *name, const char *request, size_t sends);
bool retry_sync_take(
    struct retry_sync *, const char *name, const char *request, size_t sends);
double retry_sync_share(struct retry_sync *);
size_t retry_sync_service_count(const struct retry_sync *);

#endif
