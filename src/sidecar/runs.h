/*
 * The requests of one upstream, from their SUBMIT message to their final
 * answer. A run is one attempt of a request at this sidecar; an entry is a
 * process that accepts callers' requests and sends them to sidecars
 * (entry/entry.c). Connects the messages of entries, the decisions of the
 * admission core (where a queued or running request is a job) and the
 * events of the upstream. Does no I/O of its own: peers are opaque pointers,
 * messages are sent through runs_ops, the upstream is a vtable, time comes from
 * a clock.
 */
#ifndef SIDECAR_RUNS_H
#define SIDECAR_RUNS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include "base/clock.h"
#include "peer/message.h"
#include "policy/admission.h"
#include "upstream/upstream.h"

/* A run whose link was lost is cancelled after this time. */
#define ORPHAN_GRACE_MS 10000
/* A finished run can be resumed for this time. */
#define FINISHED_RETENTION_MS 10000
/*
 * A SUBMIT that arrives later than this after it was sent is rejected: its
 * entry no longer waits for it.
 */
#define SUBMIT_AGE_MAX_MS 1000
/*
 * When an upstream dies, all its runs with the same request fingerprint (hash
 * of organisation and prompt) end. Deaths reported for one fingerprint within
 * this time are counted once.
 */
#define CRASH_WINDOW_MS 5000
/* Bytes of all finished runs that are kept. */
#define FINISHED_MAX_BYTES ((size_t)2 * 1024 * 1024)
/* A cancelled shard is abandoned after this time. */
#define SHARD_CANCEL_TIMEOUT_MS 10000

struct runs;

struct runs_ops {
	/*
	 * Sends a message to a peer. False if the link's send queue is full;
	 * runs_on_peer_writable() follows.
	 */
	bool (*send)(void *data, void *peer, struct message *);
	/*
	 * Enables or disables heartbeats, which detect the loss of the link
	 * while a request needs it. Each call with true is followed by one with
	 * false, or by runs_on_peer_lost().
	 */
	void (*set_link_in_use)(void *data, void *peer, bool on);
	/* Called before a request is sent to the upstream; may be NULL. */
	void (*before_start)(void *data);
	/*
	 * Returns how many times an upstream died while a request with this
	 * fingerprint ran.
	 */
	uint32_t (*deaths)(void *data, uint64_t fingerprint);
	/*
	 * Reports one more death to all entries, before the final answer is
	 * sent.
	 */
	void (*report_death)(void *data, uint64_t fingerprint, uint32_t deaths);
	/*
	 * Reports to all processes that the upstream has survived a request
	 * with this fingerprint.
	 */
	void (*report_survival)(void *data, uint64_t fingerprint);
};

struct runs_settings {
	struct upstream *upstream; /* borrowed */
	struct clock *clock;
	struct admission_limits limits;
	const char *upstream_address; /* HOST:PORT, for block names */
};

/* The upstream's configured capacity; 0 if not configured. */
struct runs_capacity {
	uint32_t slots; /* concurrent requests when warm */
	uint32_t cold_slots; /* concurrent requests during a cold start */
	uint64_t memory_tokens;
	uint32_t prefill_tokens_per_s;
};

/* Counts for draining, metrics and readiness. */
struct runs_stats {
	size_t queued;
	size_t running; /* at the upstream */
	size_t running_calls; /* of these, calls of a plain service */
	size_t cancelling; /* answered, yet to end at the upstream */
	size_t unanswered; /* whose final answer is yet to be sent */
	size_t finished; /* kept for a resume */
	size_t blocks;
	size_t deletions; /* that the upstream has yet to confirm */
	size_t bytes; /* of buffered responses */
};

struct runs *runs_new(
    const struct runs_settings *, const struct runs_ops *, void *data);
void runs_free(struct runs *);

void runs_on_message(
    struct runs *, void *peer, const struct message *, int64_t age_ms);
void runs_on_peer_lost(struct runs *, void *peer);
void runs_on_peer_writable(struct runs *, void *peer);

void runs_configure(struct runs *, const struct runs_capacity *);
void runs_update_status(
    struct runs *, const struct upstream_status *, const GError *);
void runs_apply_cache_events(
    struct runs *, const struct upstream_cache_event *, size_t count);
void runs_set_draining(struct runs *, bool on);
void runs_reject_queued(struct runs *);
void runs_end_calls(struct runs *);
void runs_tick(struct runs *);
struct timespec runs_next_wake(const struct runs *);

void runs_check_listed_runs(
    struct runs *, const struct upstream_item *, size_t count);
void runs_check_listed_blocks(
    struct runs *, const struct upstream_item *, size_t count);
void runs_stats(const struct runs *, struct runs_stats *);

#endif
