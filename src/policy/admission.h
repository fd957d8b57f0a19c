/*
 * Admission at one upstream: which request starts, waits or is refused. The one
 * point that decides for its upstream, however many entries send to it.
 *
 * The owner reports events with the functions below, each with the present
 * monotonic time, and after each takes actions with admission_next_action()
 * until there are none. Nothing here does I/O, reads a clock or draws random
 * numbers: the same events at the same times give the same actions.
 *
 * Times are milliseconds, sizes are tokens, unless a name says otherwise.
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
 * What the upstream bears and what may wait before it. Fill with
 * admission_limits_init() and change what is known.
 */
struct admission_limits {
	uint32_t slots; /* requests at once when warm */
	uint32_t cold_slots; /* requests at once in a cold start */
	uint64_t memory_tokens; /* KV cache; 0 where memory is not counted */
	uint32_t prefill_tokens_per_s; /* when warm; 0 where not known */
	uint32_t short_reserve_percent; /* slots and memory longs leave free */
	uint32_t long_prefill_max; /* long prefills at once */
	uint32_t queue_max_requests;
	uint64_t queue_max_tokens;
	uint64_t queue_max_bytes;
	int64_t queue_max_wait_ms; /* a longer expected wait is refused */
	int64_t aging_ms; /* a long that waited this long goes next */
	int64_t suspect_drain_max_ms; /* others are held back for a suspect */
	int64_t suspect_run_max_ms; /* a suspect is cancelled after this */
	int64_t suspect_interval_ms; /* between two suspects */
};

struct admission_request {
	const char *request; /* request id; copied */
	uint32_t attempt;
	const char *organisation; /* copied */
	uint32_t weight; /* the organisation's share, at least 1 */
	enum work_class class;
	uint64_t prompt_tokens;
	uint64_t cached_tokens; /* of the prompt, as far as is known */
	uint64_t output_tokens; /* the most that it may generate */
	uint64_t body_bytes; /* kept while the request waits */
	struct timespec deadline; /* monotonic */
	bool suspect; /* runs alone */
	const char *hold; /* a hold whose memory it uses, or NULL; copied */
	void *owner; /* handed back with each action */
};

enum admission_outcome {
	ADMISSION_OK, /* the whole answer came */
	ADMISSION_FAILED, /* an answer that says nothing about the load */
	ADMISSION_REFUSED, /* upstream said overloaded or out of memory */
	ADMISSION_LOST, /* upstream died or went silent */
	ADMISSION_CANCELLED, /* after a cancel, whoever asked for it */
};

enum upstream_condition {
	UPSTREAM_COLD,
	UPSTREAM_WARM,
	UPSTREAM_DOWN, /* nothing is started; what waits is given back */
};

/* The upstream's own report. It lags: it never raises a limit by itself. */
struct admission_status {
	enum upstream_condition condition;
	uint64_t start_count; /* rises with each start of the upstream */
	uint32_t slots; /* 0 where not reported */
	uint32_t cold_slots; /* as configured; 0 where not known */
	uint64_t memory_tokens; /* 0 where not reported */
	uint32_t prefill_tokens_per_s; /* 0 where not reported */
};

enum admission_action_kind {
	ADMISSION_START, /* send it to the upstream now */
	ADMISSION_REJECT, /* never started: answer at once; the job is gone */
	ADMISSION_CANCEL, /* cancel at the upstream, then report finished */
	ADMISSION_RELEASE, /* free a hold's blocks, then report hold_freed */
};

enum admission_cancel_reason {
	ADMISSION_CANCEL_REQUESTED, /* by admission_cancel() */
	ADMISSION_CANCEL_EXPIRED, /* its deadline passed while it ran */
	ADMISSION_CANCEL_SUPERSEDED, /* a later attempt has come */
	ADMISSION_CANCEL_HOLD_ENDED, /* the hold it used was given up */
};

struct admission_action {
	enum admission_action_kind kind;
	uint64_t job; /* as given by admission_submit(); 0 for a release */
	void *owner; /* the request's; NULL for a release */
	char hold[REQUEST_ID_SIZE]; /* of a release */
	uint32_t priority; /* of a start; smaller runs first */
	int64_t queued_ms; /* of a start */
	enum reject_reason reason; /* of a reject */
	int64_t retry_after_ms; /* of a reject */
	enum admission_cancel_reason cancel_reason; /* of a cancel */
};

/* What a probe asks about. */
struct admission_probe {
	const char *organisation;
	uint32_t weight;
	enum work_class class;
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t output_tokens;
	int64_t remaining_ms; /* to the deadline */
};

struct admission_offer {
	bool accepting;
	enum reject_reason reason; /* where not accepting */
	int64_t wait_ms; /* expected time to the first token */
	int64_t retry_after_ms; /* where not accepting */
	uint64_t free_tokens;
	uint64_t memory_tokens;
	uint32_t running;
	uint32_t queued;
	uint32_t limit; /* requests at once, as ramped now */
};

void admission_limits_init(struct admission_limits *);
struct admission *admission_new(
    const struct admission_limits *, struct timespec now);
void admission_free(struct admission *);

uint64_t admission_submit(
    struct admission *, const struct admission_request *, struct timespec now);
void admission_cancel(struct admission *, uint64_t id, struct timespec now);
void admission_first_token(
    struct admission *, uint64_t id, struct timespec now);
void admission_finished(struct admission *, uint64_t id, enum admission_outcome,
    struct timespec now);
void admission_set_status(
    struct admission *, const struct admission_status *, struct timespec now);
void admission_set_draining(struct admission *, bool on, struct timespec now);
void admission_tick(struct admission *, struct timespec now);

/*
 * Memory held for a group of engines under one id. Asking again with the same
 * id renews; false with *retry_after_ms set says that nothing is held.
 */
bool admission_hold(struct admission *, const char *id, uint64_t tokens,
    int64_t expires_ms, int64_t *retry_after_ms, struct timespec now);
void admission_release_hold(
    struct admission *, const char *id, struct timespec now);
void admission_hold_freed(
    struct admission *, const char *id, struct timespec now);

bool admission_next_action(struct admission *, struct admission_action *);
void admission_estimate(const struct admission *,
    const struct admission_probe *, struct timespec now,
    struct admission_offer *);
struct timespec admission_next_wake(
    const struct admission *, struct timespec now);

#endif
