/*
 * Exchange of load figures among gateways. Each gateway knows only its own
 * requests; without the others' loads all would pick the same upstreams. Each
 * prompt that is sent is reported immediately, the rest in short rounds. The
 * load of a peer that stops reporting is soon dropped.
 */
#ifndef GATEWAY_LOAD_SYNC_H
#define GATEWAY_LOAD_SYNC_H

#include <stdbool.h>
#include <stddef.h>

#include <ev.h>

#include "base/clock.h"
#include "gateway/registry.h"
#include "gateway/routing_state.h"
#include "peer/mesh.h"
#include "policy/retry_share.h"
#include "policy/shared_rate.h"

/* Interval between rounds, and what each peer adds to it. */
#define LOAD_SYNC_ROUND_MS	100
#define LOAD_SYNC_ROUND_PEER_MS 4
/* A peer's load is dropped after this many rounds without a message from it. */
#define LOAD_SYNC_TIMEOUT_ROUNDS 6

/* An idle gateway sends its empty load only once in this many rounds. */
#define LOAD_SYNC_IDLE_ROUNDS 2
/*
 * A round reports only what changed since the last message, and all loads once
 * in this many rounds, for peers that lack a message.
 */
#define LOAD_SYNC_FULL_ROUNDS 8
/*
 * Number of gateways that watch the store; each store call costs money. Three
 * are enough for one of them to see a change at once while others are
 * restarting or disconnected.
 */
#define LOAD_SYNC_WATCHERS 3

/*
 * A gateway coordinates no shared rate before all others know its address, and
 * it knows them.
 */
#define LOAD_SYNC_SETTLE_MS 5000

struct load_sync;
struct rank_sync;

/* A prompt that was sent; the first upstream decodes its stream. */
struct load_sync_prompt {
	const char *const *upstreams; /* ids; each prefills one part */
	size_t count;
	double part_ms; /* prefill time of each part */
	enum stream_class class;
	uint64_t context_tokens; /* at the first upstream */
};

/* Who this process is among the gateways. */
struct load_sync_settings {
	const char *self; /* its name */
	const char *address; /* of its peer links */
	const char *failure_domain;
	bool is_seed; /* its address is in the settings of all */
	bool has_seeds; /* the address of another gateway is in its settings */
	uint32_t cpu_permille; /* of a core that its host has; 0: unknown */
};

/* Called in each round, before the load is reported. */
typedef void load_sync_round_fn(void *data);

struct load_sync *load_sync_new(struct ev_loop *, struct clock *, struct mesh *,
    const struct load_sync_settings *, const struct registry *,
    struct routing_state *);
void load_sync_free(struct load_sync *);
void load_sync_start_draining(struct load_sync *);
struct rank_sync *load_sync_ranks(const struct load_sync *);
const char *load_sync_self(const struct load_sync *);
const char *load_sync_address(const struct load_sync *, const char *name);
uint32_t load_sync_count(struct load_sync *);
int64_t load_sync_uptime_ms(const struct load_sync *);
size_t load_sync_report_ages(const struct load_sync *, int64_t *oldest_ms);
const struct rate_member *load_sync_members(struct load_sync *, size_t *count);
void load_sync_retry_view(struct load_sync *, struct retry_view *);
void load_sync_set_retry_holder(struct load_sync *, bool holds);
void load_sync_set_round_callback(
    struct load_sync *, load_sync_round_fn *, void *data);
void load_sync_send_prompt(struct load_sync *, const struct load_sync_prompt *);

#endif
