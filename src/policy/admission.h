/*
 * Admission control for one upstream: decides which requests start, wait or are
 * rejected. There is one instance per upstream, however many entries send
 * requests to it. A submitted request is a job until it ends here. A hold is
 * memory set aside for a group's requests (policy/memory.h).
 *
 * The owner reports events with the functions below, each with the current
 * monotonic time, and after each event fetches actions with
 * admission_next_action() until there are none. The module does no I/O, reads
 * no clock and draws no random numbers: the same events at the same times give
 * the same actions.
 *
 * Times are in milliseconds and sizes in tokens, unless a name says otherwise.
 */
#ifndef POLICY_ADMISSION_H
#define POLICY_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include "peer/message.h"

struct admission;

/*
 * Capacity of the upstream and bounds of its queue. Initialise with
 * admission_limits_init() and then set what is known.
 */
struct admission_limits {
	uint32_t slots; /* concurrent requests when warm */
	uint32_t cold_slots; /* concurrent requests during a cold start */
	uint64_t memory_tokens; /* KV cache; 0 if memory is not accounted for */
	uint32_t prefill_tokens_per_s; /* when warm; 0 if unknown */
	uint32_t short_reserve_percent; /* kept free of long requests */
	uint32_t long_prefill_max; /* concurrent prefills of long requests */
	uint32_t queue_max_requests;
	uint64_t queue_max_tokens;
	uint64_t queue_max_bytes;
	int64_t queue_max_wait_ms; /* longest expected wait accepted */
	int64_t aging_ms; /* maximum age of a long request */
	int64_t suspect_drain_max_ms; /* longest wait for an idle upstream */
	int64_t suspect_run_max_ms; /* longest run of a suspect */
	int64_t suspect_interval_ms; /* minimum time between two suspects */
};

struct admission_request {
	const char *request; /* request id; copied */
	uint32_t attempt;
	const char *organisation; /* copied */
	uint32_t weight; /* the organisation's scheduling weight, at least 1 */
	enum work_class class;
	uint64_t prompt_tokens;
	uint64_t cached_tokens; /* part of the prompt in the KV cache */
	uint64_t output_tokens; /* limit of generated tokens */
	uint64_t body_bytes; /* memory used while the request waits */
	struct timespec deadline; /* monotonic time */
	bool suspect; /* must run alone */
	const char *hold; /* id of the hold it uses, or NULL; copied */
	void *owner; /* opaque; returned with each action */
};

enum admission_outcome {
	ADMISSION_OK, /* complete answer that reports no overload */
	ADMISSION_FAILED, /* failed for a reason unrelated to load */
	ADMISSION_REFUSED, /* upstream reported overload or lack of memory */
	ADMISSION_LOST, /* upstream crashed or stopped responding */
	ADMISSION_CANCELLED, /* cancelled, for whatever reason */
};

enum upstream_condition {
	UPSTREAM_COLD,
	UPSTREAM_WARM,
	UPSTREAM_DOWN, /* nothing is started; queued requests are rejected */
};

/*
 * Status as reported by the upstream. It lags behind, so it never raises a
 * limit on its own.
 */
struct admission_status {
	enum upstream_condition condition;
	uint64_t start_count; /* increases with each start of the upstream */
	uint32_t slots; /* 0 if not reported */
	uint32_t cold_slots; /* as configured; 0 if unknown */
	uint64_t memory_tokens; /* 0 if not reported */
	uint32_t prefill_tokens_per_s; /* 0 if not reported */
};

enum admission_action_kind {
	ADMISSION_START, /* send the request to the upstream now */
	ADMISSION_REJECT, /* answer now; the job no longer exists */
	ADMISSION_CANCEL, /* cancel, then report it finished */
	ADMISSION_RELEASE, /* free the blocks, then report the hold freed */
};

enum admission_cancel_reason {
	ADMISSION_CANCEL_REQUESTED, /* admission_cancel() was called */
	ADMISSION_CANCEL_EXPIRED, /* its deadline passed while it was running */
	ADMISSION_CANCEL_SUPERSEDED, /* a later attempt was submitted */
	ADMISSION_CANCEL_HOLD_ENDED, /* its hold was released or has expired */
};

struct admission_action {
	enum admission_action_kind kind;
	uint64_t job; /* id from admission_submit(); 0 for a release */
	void *owner; /* owner of the request; NULL for a release */
	char hold[REQUEST_ID_SIZE]; /* release: id of the hold */
	uint32_t priority; /* start: smaller values run first */
	int64_t queued_ms; /* start */
	enum reject_reason reason; /* reject */
	int64_t retry_after_ms; /* reject */
	enum admission_cancel_reason cancel_reason; /* cancel */
};

/* A request that an entry probes the upstream for. */
struct admission_probe {
	const char *organisation;
	uint32_t weight;
	enum work_class class;
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t output_tokens;
	int64_t remaining_ms; /* time left until the deadline */
};

struct admission_offer {
	bool accepting;
	enum reject_reason reason; /* valid if not accepting */
	int64_t wait_ms; /* expected time to the first token */
	int64_t retry_after_ms; /* valid if not accepting */
	uint64_t free_tokens;
	uint64_t memory_tokens;
	uint32_t running;
	uint32_t queued;
	uint32_t limit; /* current concurrency limit */
};

void admission_limits_init(struct admission_limits *);
struct admission *admission_new(
    const struct admission_limits *, struct timespec now);
void admission_free(struct admission *);

uint64_t admission_submit(
    struct admission *, const struct admission_request *, struct timespec now);
void admission_cancel(struct admission *, uint64_t id, struct timespec now);
void admission_on_first_token(
    struct admission *, uint64_t id, struct timespec now);
void admission_on_finished(struct admission *, uint64_t id,
    enum admission_outcome, struct timespec now);
void admission_set_status(
    struct admission *, const struct admission_status *, struct timespec now);
void admission_set_draining(struct admission *, bool on, struct timespec now);
void admission_tick(struct admission *, struct timespec now);

/*
 * Holds memory for a group of engines under an id. Calling it again with the
 * same id renews the hold; on failure returns false and sets *retry_after_ms.
 */
bool admission_hold(struct admission *, const char *id, uint64_t tokens,
    int64_t expires_ms, int64_t *retry_after_ms, struct timespec now);
void admission_release_hold(
    struct admission *, const char *id, struct timespec now);
void admission_on_hold_freed(
    struct admission *, const char *id, struct timespec now);

bool admission_next_action(struct admission *, struct admission_action *);
void admission_estimate(const struct admission *,
    const struct admission_probe *, struct timespec now,
    struct admission_offer *);
struct timespec admission_next_wake(
    const struct admission *, struct timespec now);

#endif
