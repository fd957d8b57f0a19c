/*
 * At-most-once claims of calls that must not be repeated. A claim is one object
 * of the platform, created if absent and keyed by organisation and idempotency
 * key; whoever created it runs the call once, and its result is replayed.
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

/* A claim that can't be decided within this time is not run. */
#define CLAIMS_CLAIM_TIMEOUT_MS 3000
/* A result that can't be written within this time is given up. */
#define CLAIMS_SETTLE_TIMEOUT_MS (10 * 60 * 1000)
/* A result's body above this is not kept: a replay says so. */
#define CLAIMS_BODY_MAX_BYTES (512 * 1024)
/* A claim is kept for this long after it was made. */
#define CLAIMS_RETENTION_MS (24 * 60 * 60 * 1000)

enum claim_outcome {
	CLAIM_CLAIMED, /* yours: run it once, then finish or release */
	CLAIM_REPLAY, /* it ran before: the result is given */
	CLAIM_RUNNING, /* another attempt has it, or its outcome is unknown */
	CLAIM_MISMATCH, /* the key was used for another body */
	CLAIM_NOT_RUN, /* the platform can't say; nothing runs */
};

struct claims;
struct claim; /* one that is being made or was made */

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
	bool body_stored; /* false in a replay whose body was too long */
};

struct claim_response {
	enum claim_outcome outcome;
	const struct claim_result *result; /* of a replay; borrowed */
	int64_t retry_after_ms; /* of not run and running */
	int64_t claimed_wall_ms; /* of running: since when */
};

typedef void claims_done_fn(
    void *data, struct claim *, const struct claim_response *);

/*
 * The callback comes once, from the loop. After CLAIMED the claim is the
 * caller's, who ends it by exactly one of claims_finish(), claims_release() and
 * claims_abandon(); after any other outcome it is freed.
 */
struct claims *claims_new(struct ev_loop *, struct clock *, struct store *);
void claims_free(struct claims *);
struct claim *claims_claim(
    struct claims *, const struct claim_key *, claims_done_fn *, void *data);
void claims_abandon(struct claim *);
void claims_finish(struct claim *, const struct claim_result *);
void claims_release(struct claim *);
size_t claims_pending(const struct claims *);
void claims_tick(struct claims *);

#endif
