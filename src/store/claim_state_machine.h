/*
 * The decisions of at-most-once claims, without I/O: what a store's answer
 * means, what to ask next, and when a claim is truly had. Times are monotonic.
 */
#ifndef STORE_CLAIM_STATE_MACHINE_H
#define STORE_CLAIM_STATE_MACHINE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include "store/claim_record.h"
#include "store/claims.h"
#include "store/store.h"

/* Success, beside the codes of enum store_error. */
#define STORE_OK (-1)

/* What is to be done next. */
enum claim_step {
	CLAIM_STEP_WRITE, /* our record, if the key is at the version given */
	CLAIM_STEP_READ,
	CLAIM_STEP_END, /* the outcome is known */
};

struct claim_decision {
	enum claim_step step;
	uint64_t version; /* 0 for absent */
	int64_t wait_ms; /* before the step */
	enum claim_outcome outcome; /* of the end of a claim */
	bool orphan; /* of the end: our record may stand; release it */
	int64_t retry_after_ms;
};

/* One attempt's claim. */
struct claim_attempt {
	char attempt[CLAIM_ATTEMPT_SIZE];
	uint64_t fingerprint;
	struct timespec give_up_at;
	bool write_uncertain; /* a write of ours may have taken effect */
	unsigned int tries;
	uint64_t version; /* of our record, when it is had */
};

void claim_attempt_start(
    struct claim_attempt *, struct timespec now, struct claim_decision *);
void claim_attempt_on_write(struct claim_attempt *, int code, uint64_t version,
    int64_t retry_after_ms, struct timespec now, struct claim_decision *);
void claim_attempt_on_read(struct claim_attempt *, int code,
    const struct claim_record *, uint64_t version, struct timespec now,
    struct claim_decision *);

/* Bringing our record to its last state: done or released. */
struct claim_settlement {
	const char *attempt; /* borrowed */
	enum claim_state target;
	struct timespec give_up_at;
	unsigned int tries;
	bool
	    write_uncertain; /* a write of our record may still be on its way */
};

void claim_settlement_start(struct claim_settlement *, uint64_t version,
    struct timespec now, struct claim_decision *);
void claim_settlement_on_write(struct claim_settlement *, int code,
    int64_t retry_after_ms, struct timespec now, struct claim_decision *);
void claim_settlement_on_read(struct claim_settlement *, int code,
    const struct claim_record *, uint64_t version, struct timespec now,
    struct claim_decision *);

#endif
