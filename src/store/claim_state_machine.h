/*
 * The state machine of at-most-once claims, without I/O: it evaluates each
 * response of the store and decides on the next call and on the outcome. Times
 * are monotonic.
 */
#ifndef STORE_CLAIM_STATE_MACHINE_H
#define STORE_CLAIM_STATE_MACHINE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "store/claim_record.h"
#include "store/claims.h"
#include "store/store.h"

/* Success; other codes are those of enum store_error. */
#define STORE_OK (-1)

/* The next action. */
enum claim_step {
	CLAIM_STEP_WRITE, /* write our record if the key has this version */
	CLAIM_STEP_READ, /* read the key */
	CLAIM_STEP_END, /* the outcome is known */
};

struct claim_decision {
	enum claim_step step;
	uint64_t version; /* to write at; 0 if absent */
	int64_t wait_ms; /* before the step */
	enum claim_outcome outcome; /* at the end */
	bool orphan; /* at the end: our record may be stored; release it */
	int64_t retry_after_ms;
};

/* One attempt to claim a key. */
struct claim_attempt {
	char attempt[CLAIM_ATTEMPT_SIZE];
	uint64_t fingerprint;
	struct timespec timeout_at;
	bool write_uncertain; /* a write of ours may have taken effect */
	unsigned int tries;
	uint64_t version; /* of our stored record, once claimed */
};

void claim_attempt_start(
    struct claim_attempt *, struct timespec now, struct claim_decision *);
void claim_attempt_on_write(struct claim_attempt *, int code, uint64_t version,
    int64_t retry_after_ms, struct timespec now, struct claim_decision *);
void claim_attempt_on_read(struct claim_attempt *, int code,
    const struct claim_record *, uint64_t version, struct timespec now,
    struct claim_decision *);

/* Settling: updating our record to its final state, done or released. */
struct claim_settlement {
	const char *attempt; /* borrowed */
	enum claim_state target;
	struct timespec timeout_at;
	unsigned int tries;
	bool write_uncertain; /* a write of ours may still take effect */
};

void claim_settlement_start(struct claim_settlement *, uint64_t version,
    struct timespec now, struct claim_decision *);
void claim_settlement_on_write(struct claim_settlement *, int code,
    int64_t retry_after_ms, struct timespec now, struct claim_decision *);
void claim_settlement_on_read(struct claim_settlement *, int code,
    const struct claim_record *, uint64_t version, struct timespec now,
    struct claim_decision *);

#endif
