/*
 * The loads that other gateways have reported, added up on each upstream. A
 * report replaces the peer's earlier one, or the upstreams that it lists.
 */
#ifndef GATEWAY_PEER_LOADS_H
#define GATEWAY_PEER_LOADS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include "peer/message.h"
#include "policy/retry_share.h"
#include "policy/shared_rate.h"
#include "routing/fleet.h"
#include "store/watchers.h"

struct peer_loads;

struct peer_loads *peer_loads_new(struct fleet *);
void peer_loads_free(struct peer_loads *);
void peer_loads_on_load(struct peer_loads *, const char *process,
    const struct message_load *, struct timespec now);
void peer_loads_on_prompt(struct peer_loads *, const char *process,
    const struct message_prefill *, struct timespec now);
void peer_loads_count_prompt(
    struct upstream_load *, const struct message_prefill *, bool decodes);
void peer_loads_expire(
    struct peer_loads *, int64_t silence_ms, struct timespec now);
struct watcher_candidate *peer_loads_watcher_candidates(
    const struct peer_loads *, bool with_new, size_t *count);
struct timespec peer_loads_watcher_heard_at(const struct peer_loads *);
size_t peer_loads_report_ages(
    const struct peer_loads *, struct timespec now, int64_t *oldest_ms);
uint64_t peer_loads_generation(const struct peer_loads *);
uint64_t peer_loads_reports(const struct peer_loads *);
void peer_loads_add_members(const struct peer_loads *, GArray *members);
void peer_loads_add_retry_peers(const struct peer_loads *, GArray *peers);

#endif
