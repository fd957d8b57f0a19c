/*
 * The requests of one upstream, from their submit to their final answer: what
 * entries say, what the admission core decides and what the upstream answers
 * meet here. No sockets: peers are opaque pointers, messages go out by
 * runs_ops, the upstream is a vtable, time comes from a clock.
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

/* A run whose link is lost goes on for this long. */
#define ORPHAN_GRACE_MS 10000
/* A finished run can be asked for again for this long. */
#define FINISHED_RETENTION_MS 10000
/* A submit that took longer to come is refused: its entry has given it up. */
#define SUBMIT_AGE_MAX_MS 1000
/* Deaths of one fingerprint within this are one crash of the upstream. */
#define CRASH_WINDOW_MS 5000
/* Bytes of all finished runs that are kept. */
#define FINISHED_MAX_BYTES ((size_t)2 * 1024 * 1024)
/* A cancelled shard is waited for this long. */
#define SHARD_CANCEL_TIMEOUT_MS 10000

struct runs;

struct runs_ops {
	/* Sends to a peer; false where it takes no more now, then
	 * runs_peer_writable() follows. */
	bool (*send)(void *data, void *peer, struct message *);
	/* Whether the link is to be watched for as long as a request needs it;
	 * each on is followed by one off, or by runs_peer_lost(). */
	void (*keep_alive)(void *data, void *peer, bool on);
	/* A request is about to be given to the upstream; may be NULL. */
	void (*before_start)(void *data);
	/* How many upstreams died while this fingerprint's request ran. */
	uint32_t (*deaths)(void *data, uint64_t fingerprint);
	/* One more has; tells all entries ahead of the final answer. */
	void (*report_death)(void *data, uint64_t fingerprint, uint32_t deaths);
};

struct runs_settings {
	struct upstream *upstream; /* borrowed */
	struct clock *clock;
	struct admission_limits limits;
	const char *upstream_address; /* HOST:PORT, of exported blocks */
};

/* What the configuration says of the upstream; 0 where it does not. */
struct runs_capacity {
	uint32_t slots;
	uint32_t cold_slots;
	uint64_t memory_tokens;
	uint32_t prefill_tokens_per_s;
};

/* What stands here, for drain, metrics and readiness. */
struct runs_stats {
	size_t queued;
	size_t running; /* at the upstream */
	size_t cancelling; /* answered; the upstream has yet to let go */
	size_t unanswered; /* whose final answer is yet to be sent */
	size_t finished; /* kept to be asked for again */
	size_t blocks;
	size_t deletions; /* that the upstream has yet to confirm */
	size_t bytes; /* of answers */
};

struct runs *runs_new(
    const struct runs_settings *, const struct runs_ops *, void *data);
void runs_free(struct runs *);

void runs_receive(
    struct runs *, void *peer, const struct message *, int64_t age_ms);
void runs_peer_lost(struct runs *, void *peer);
void runs_peer_writable(struct runs *, void *peer);

void runs_configure(struct runs *, const struct runs_capacity *);
void runs_update_status(
    struct runs *, const struct upstream_status *, const GError *);
void runs_apply_cache_events(
    struct runs *, const struct upstream_cache_event *, size_t count);
void runs_set_draining(struct runs *, bool on);
void runs_reject_queued(struct runs *);
void runs_tick(struct runs *);
struct timespec runs_next_wake(const struct runs *);

void runs_check_listed_runs(
    struct runs *, const struct upstream_item *, size_t count);
void runs_check_listed_blocks(
    struct runs *, const struct upstream_item *, size_t count);
void runs_stats(const struct runs *, struct runs_stats *);

#endif
