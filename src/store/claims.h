/*
 * At-most-once execution of calls with an idempotency key. A claim is an object
 * in the platform's store, keyed by organisation and idempotency key and
 * created only if absent. The attempt that created it runs the call and stores
 * the result, which later attempts replay.
 */
#ifndef STORE_CLAIMS_H
#define STORE_CLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "store/store.h"

/* After this time without a definite result, a claim ends as not run. */
#define CLAIMS_CLAIM_TIMEOUT_MS 3000
/* Writing a result or a release is retried for this long. */
#define CLAIMS_SETTLE_TIMEOUT_MS (10 * 60 * 1000)
/* A longer body is not stored; a replay then has no body. */
#define CLAIMS_BODY_MAX_BYTES (512 * 1024)
/* Time from claiming a key until its record may be deleted. */
#define CLAIMS_RETENTION_MS (24 * 60 * 60 * 1000)

enum claim_outcome {
	CLAIM_CLAIMED, /* run the call once, then finish or release */
	CLAIM_REPLAY, /* it ran before: here is its result */
	CLAIM_RUNNING, /* another attempt runs it or has an unknown outcome */
	CLAIM_MISMATCH, /* the key was used for a different request */
	CLAIM_NOT_RUN, /* the claim could not be made; do not run it */
};

struct claims;
struct claim; /* one attempt, from claiming to settling */

struct claim_key {
	const char *organisation;
	const char *idempotency_key;
	uint64_t fingerprint; /* of method, path and body */
};

struct claim_result {
	uint32_t status;
	const char *content_type;
	const uint8_t *body;
	size_t length;
	bool body_stored; /* false in a replay if it was too long */
};

struct claim_response {
	enum claim_outcome outcome;
	const struct claim_result *result; /* of a replay; borrowed */
	int64_t retry_after_ms; /* after NOT_RUN and RUNNING */
	int64_t claimed_wall_ms; /* of RUNNING: when it was claimed, or 0 */
};

typedef void claims_done_fn(
    void *data, struct claim *, const struct claim_response *);

/*
 * The callback runs once, from the event loop. After CLAIM_CLAIMED the caller
 * ends the claim with exactly one of claims_finish(), claims_release() and
 * claims_abandon(). After any other outcome the claim is no longer valid.
 */
struct claims *claims_new(struct ev_loop *, struct clock *, struct store *);
void claims_free(struct claims *);
struct claim *claims_claim(
    struct claims *, const struct claim_key *, claims_done_fn *, void *data);
void claims_abandon(struct claim *);
void claims_finish(struct claim *, const struct claim_result *);
void claims_release(struct claim *);
void claims_stop_claiming(struct claims *);
size_t claims_pending(const struct claims *);
void claims_tick(struct claims *);

#endif
