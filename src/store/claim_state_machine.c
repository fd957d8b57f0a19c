#include "store/claim_state_machine.h"

#include <string.h>

#include "base/clock.h"

#define CLAIM_RETRY_MS	    50
#define CLAIM_RETRY_MAX_MS  500
#define SETTLE_RETRY_MS	    100
#define SETTLE_RETRY_MAX_MS 10000
/* Callers' Retry-After if the platform sends none. */
#define NOT_RUN_RETRY_AFTER_MS 1000
#define RUNNING_RETRY_AFTER_MS 1000

/* Returns an exponential back-off in milliseconds. */
static int64_t
backoff_delay_ms(unsigned int tries, int64_t first_ms, int64_t max_ms)
{
	return MIN(first_ms << MIN(tries, 16U), max_ms);
}

/* Sets the next step and the wait before it. */
static void
step(struct claim_decision *decision, enum claim_step what, uint64_t version,
    int64_t wait_ms)
{
	*decision = (struct claim_decision){
	    .step = what, .version = version, .wait_ms = wait_ms};
}

/* Sets the final outcome. */
static void
end(struct claim_decision *decision, enum claim_outcome outcome,
    int64_t retry_after_ms)
{
	*decision = (struct claim_decision){.step = CLAIM_STEP_END,
	    .outcome = outcome,
	    .retry_after_ms = retry_after_ms};
}

/* Ends a claim that could not be made; the call must not run. */
static void
end_not_run(const struct claim_attempt *claim, int64_t retry_after_ms,
    struct claim_decision *decision)
{
	end(decision, CLAIM_NOT_RUN,
	    retry_after_ms > 0 ? retry_after_ms : NOT_RUN_RETRY_AFTER_MS);
	decision->orphan = claim->write_uncertain;
}

/* Reads again after a back-off, or ends the claim at its timeout. */
static void
retry_read(struct claim_attempt *claim, struct timespec now,
    struct claim_decision *decision)
{
	int64_t wait_ms = backoff_delay_ms(
	    claim->tries++, CLAIM_RETRY_MS, CLAIM_RETRY_MAX_MS);

	if (time_before(claim->timeout_at, time_add_ms(now, wait_ms)))
		end_not_run(claim, 0, decision);
	else
		step(decision, CLAIM_STEP_READ, 0, wait_ms);
}

/* Starts a claim: creates our record if the key is absent. */
void
claim_attempt_start(struct claim_attempt *claim, struct timespec now,
    struct claim_decision *decision)
{
	claim->timeout_at = time_add_ms(now, CLAIMS_CLAIM_TIMEOUT_MS);
	step(decision, CLAIM_STEP_WRITE, 0, 0);
}

/*
 * Handles the result of writing our record. The claim is ours only after a
 * success or once our own record is read back. Fails at once if none of our
 * writes can have been stored; if one may have been, the key is read.
 */
void
claim_attempt_on_write(struct claim_attempt *claim, int code, uint64_t version,
    int64_t retry_after_ms, struct timespec now,
    struct claim_decision *decision)
{
	if (code == STORE_OK) {
		claim->version = version;
		end(decision, CLAIM_CLAIMED, 0);
		return;
	}
	if (code == STORE_ERROR_OUTCOME_UNKNOWN)
		claim->write_uncertain = true;
	if (code == STORE_ERROR_CONFLICT || code == STORE_ERROR_OUTCOME_UNKNOWN)
		step(decision, CLAIM_STEP_READ, 0, 0);
	else if (claim->write_uncertain)
		retry_read(claim, now, decision);
	else
		end_not_run(claim, retry_after_ms, decision);
}

/* Derives the outcome or next step from another attempt's record. */
static void
evaluate_other(const struct claim_attempt *claim,
    const struct claim_record *record, uint64_t version,
    struct claim_decision *decision)
{
	if (record->state == CLAIM_STATE_RELEASED)
		step(decision, CLAIM_STEP_WRITE, version, 0);
	else if (record->fingerprint != claim->fingerprint)
		end(decision, CLAIM_MISMATCH, 0);
	else if (record->state == CLAIM_STATE_DONE)
		end(decision, CLAIM_REPLAY, 0);
	else
		end(decision, CLAIM_RUNNING, RUNNING_RETRY_AFTER_MS);
}

/*
 * Handles the result of reading the key. If the key is absent after an
 * uncertain write, the record is written again with the same attempt id: if the
 * first write arrives late, the second one conflicts and finds our own record.
 * A record that can't be decoded is treated as running.
 */
void
claim_attempt_on_read(struct claim_attempt *claim, int code,
    const struct claim_record *record, uint64_t version, struct timespec now,
    struct claim_decision *decision)
{
	if (code == STORE_ERROR_NOT_FOUND) {
		if (time_before(now, claim->timeout_at))
			step(decision, CLAIM_STEP_WRITE, 0, 0);
		else
			end_not_run(claim, 0, decision);
		return;
	}
	if (code != STORE_OK) {
		retry_read(claim, now, decision);
		return;
	}
	if (record == NULL) {
		end(decision, CLAIM_RUNNING, RUNNING_RETRY_AFTER_MS);
	} else if (strcmp(record->attempt, claim->attempt) == 0) {
		claim->version = version;
		end(decision, CLAIM_CLAIMED, 0);
	} else {
		evaluate_other(claim, record, version, decision);
	}
}

/* Schedules the step after a back-off, or ends at the timeout. */
static void
retry_settlement(struct claim_settlement *settlement, enum claim_step what,
    uint64_t version, int64_t retry_after_ms, struct timespec now,
    struct claim_decision *decision)
{
	int64_t wait_ms = backoff_delay_ms(
	    settlement->tries++, SETTLE_RETRY_MS, SETTLE_RETRY_MAX_MS);

	wait_ms = MAX(wait_ms, retry_after_ms);
	if (time_before(settlement->timeout_at, time_add_ms(now, wait_ms)))
		end(decision, CLAIM_NOT_RUN, 0);
	else
		step(decision, what, version, wait_ms);
}

/* Starts to settle a record; version 0 if it may or may not be stored. */
void
claim_settlement_start(struct claim_settlement *settlement, uint64_t version,
    struct timespec now, struct claim_decision *decision)
{
	settlement->timeout_at = time_add_ms(now, CLAIMS_SETTLE_TIMEOUT_MS);
	settlement->write_uncertain = version == 0;
	if (version == 0)
		step(decision, CLAIM_STEP_READ, 0, 0);
	else
		step(decision, CLAIM_STEP_WRITE, version, 0);
}

/* Handles the result of writing the settled record. */
void
claim_settlement_on_write(struct claim_settlement *settlement, int code,
    int64_t retry_after_ms, struct timespec now,
    struct claim_decision *decision)
{
	if (code == STORE_OK)
		end(decision, CLAIM_CLAIMED, 0);
	else if (code == STORE_ERROR_CONFLICT)
		step(decision, CLAIM_STEP_READ, 0, 0);
	else
		retry_settlement(settlement, CLAIM_STEP_READ, 0, retry_after_ms,
		    now, decision);
}

/* Returns whether a settlement may overwrite the current record. */
static bool
may_settle(const struct claim_settlement *settlement, int code,
    const struct claim_record *record)
{
	if (code == STORE_ERROR_NOT_FOUND)
		return settlement->write_uncertain;
	if (record == NULL)
		return false;
	if (strcmp(record->attempt, settlement->attempt) == 0)
		return record->state == CLAIM_STATE_CLAIMED;
	return settlement->write_uncertain &&
	    record->state == CLAIM_STATE_RELEASED;
}

/*
 * Handles the result of reading the key. Our own claimed record is updated to
 * its final state. If a write of ours may still arrive, the key is written even
 * if it is absent or released, so that the late write conflicts and fails.
 */
void
claim_settlement_on_read(struct claim_settlement *settlement, int code,
    const struct claim_record *record, uint64_t version, struct timespec now,
    struct claim_decision *decision)
{
	if (code != STORE_OK && code != STORE_ERROR_NOT_FOUND)
		retry_settlement(
		    settlement, CLAIM_STEP_READ, 0, 0, now, decision);
	else if (may_settle(settlement, code, record))
		step(decision, CLAIM_STEP_WRITE, version, 0);
	else
		end(decision, CLAIM_CLAIMED, 0);
}
