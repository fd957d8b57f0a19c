#include "store/claims.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "base/invariant.h"
#include "base/list.h"
#include "base/metrics.h"
#include "store/claim_state_machine.h"

#define LOG_MODULE "claims"
#include "base/log.h"

#define ATTEMPT_BYTES 16
/* Interval of checks for due calls. */
#define CLAIMS_TICK_MS 20
/* Limits of Retry-After for a call that is running. */
#define RUNNING_RETRY_MIN_MS 1000
#define RUNNING_RETRY_MAX_MS 60000
/* Limit for all bodies waiting to be written; others are not stored. */
#define CLAIMS_PENDING_BODIES_MAX_BYTES (32 * 1024 * 1024)

enum phase {
	PHASE_CLAIMING,
	PHASE_CLAIMED, /* owned by the caller; its call may be running */
	PHASE_SETTLING, /* in the background; no longer the caller's */
};

struct claim {
	struct claims *claims;
	enum phase phase;
	char *key;
	struct claim_record record; /* to be written */
	struct claim_attempt attempt;
	struct claim_settlement settlement;
	struct claim_decision next;
	struct timespec next_at;
	bool waiting; /* until next_at */
	struct store_call *call;
	claims_done_fn *callback;
	void *data;
	TAILQ_ENTRY(claim) entry;
};

struct claims {
	struct ev_loop *loop;
	struct clock *clock;
	struct store *store;
	ev_timer tick;
	TAILQ_HEAD(claim_list, claim) list;
	GHashTable *held; /* claims in PHASE_CLAIMED by object key */
	size_t pending; /* claims in the other phases */
	size_t body_bytes; /* of results waiting to be written */
};

INVARIANT_DEFINE(claimed_once, "claimed_by_one_attempt");
METRIC_DEFINE(settled_count, METRIC_COUNTER, "heatherturn_claims_settled", NULL,
    "Claims whose result or release was stored.");
METRIC_DEFINE(given_up_count, METRIC_COUNTER, "heatherturn_claims_given_up",
    NULL, "Claims whose result or release could not be stored in time.");

static void schedule_call(struct claim *);

/* Cancels a claim's call and frees the claim. */
static void
free_claim(struct claim *claim)
{
	struct claims *claims = claim->claims;

	store_call_cancel(claims->store, claim->call);
	if (claim->phase != PHASE_CLAIMED)
		claims->pending--;
	if (claim->phase == PHASE_SETTLING && claim->record.body != NULL)
		claims->body_bytes -= claim->record.body->len;
	TAILQ_REMOVE(&claims->list, claim, entry);
	claim_record_clear(&claim->record);
	g_free(claim->key);
	g_free(claim);
}

/* Changes a claim's phase and keeps the counts up to date. */
static void
set_phase(struct claim *claim, enum phase phase)
{
	if (claim->phase == PHASE_CLAIMED)
		g_hash_table_remove(claim->claims->held, claim->key);
	claim->claims->pending -= claim->phase != PHASE_CLAIMED;
	claim->claims->pending += phase != PHASE_CLAIMED;
	claim->phase = phase;
}

/* Reports to the caller that it owns the claim. */
static void
report_claimed(struct claim *claim)
{
	struct claim_response response = {.outcome = CLAIM_CLAIMED};
	GHashTable *held = claim->claims->held;

	invariant_check(&claimed_once, !g_hash_table_contains(held, claim->key),
	    NULL, NULL);
	set_phase(claim, PHASE_CLAIMED);
	g_hash_table_insert(held, claim->key, claim);
	claim->callback(claim->data, claim, &response);
}

/*
 * Returns the Retry-After of a running call in milliseconds. It grows with the
 * age of the claim, since the entry that ran an old one may have died, and then
 * its outcome stays unknown.
 */
static int64_t
running_retry_after_ms(
    const struct claims *claims, const struct claim_record *record)
{
	int64_t age_ms = time_to_ms(clock_wall(claims->clock)) -
	    record->claimed_wall_ms;

	return CLAMP(age_ms, RUNNING_RETRY_MIN_MS, RUNNING_RETRY_MAX_MS);
}

/* Reports any outcome but CLAIM_CLAIMED to the caller. */
static void
report_not_claimed(struct claim *claim, const struct claim_record *record)
{
	struct claim_result result = {0};
	struct claim_response response = {
	    .outcome = claim->next.outcome,
	    .retry_after_ms = claim->next.retry_after_ms,
	    .claimed_wall_ms = record != NULL ? record->claimed_wall_ms : 0,
	};

	if (response.outcome == CLAIM_RUNNING && record != NULL)
		response.retry_after_ms = running_retry_after_ms(
		    claim->claims, record);
	if (response.outcome == CLAIM_REPLAY && record != NULL) {
		result.status = record->status;
		result.content_type = record->content_type;
		result.body_stored = record->body != NULL;
		result.body = record->body != NULL ? record->body->data : NULL;
		result.length = record->body != NULL ? record->body->len : 0;
		response.result = &result;
	}
	claim->callback(claim->data, claim, &response);
}

/* Starts to update our record to its final state, in the background. */
static void
settle(struct claim *claim, enum claim_state target, uint64_t version)
{
	struct timespec now = clock_monotonic(claim->claims->clock);

	store_call_cancel(claim->claims->store, claim->call);
	claim->call = NULL;
	claim->record.state = target;
	set_phase(claim, PHASE_SETTLING);
	claim->settlement = (struct claim_settlement){
	    .attempt = claim->record.attempt, .target = target};
	claim_settlement_start(&claim->settlement, version, now, &claim->next);
	schedule_call(claim);
}

/* Reports a claim's outcome; releases our record if it may be stored. */
static void
end_claiming(struct claim *claim, const struct claim_record *record)
{
	if (claim->next.outcome == CLAIM_CLAIMED) {
		report_claimed(claim);
		return;
	}
	report_not_claimed(claim, record);
	if (claim->next.orphan)
		settle(claim, CLAIM_STATE_RELEASED, 0);
	else
		free_claim(claim);
}

/* Ends a settlement, which succeeded if its outcome is CLAIM_CLAIMED. */
static void
end_settling(struct claim *claim)
{
	bool settled = claim->next.outcome == CLAIM_CLAIMED;

	metric_add(settled ? &settled_count : &given_up_count, 1);
	if (!settled)
		LOG_WARN("claim could not be settled in time", "{s:s, s:s}",
		    "key", claim->key, "attempt", claim->record.attempt);
	free_claim(claim);
}

/* Carries out a decision: ends the claim or schedules the next call. */
static void
apply_decision(struct claim *claim, const struct claim_record *record)
{
	if (claim->next.step != CLAIM_STEP_END)
		schedule_call(claim);
	else if (claim->phase == PHASE_CLAIMING)
		end_claiming(claim, record);
	else
		end_settling(claim);
}

/* Returns a result's code for the state machine. */
static int
result_code(const struct store_result *result)
{
	return result->error != NULL ? result->error->code : STORE_OK;
}

/* Handles the result of writing our record. */
static void
on_write_done(void *data, const struct store_result *result)
{
	struct claim *claim = data;
	struct timespec now = clock_monotonic(claim->claims->clock);

	claim->call = NULL;
	if (claim->phase == PHASE_CLAIMING)
		claim_attempt_on_write(&claim->attempt, result_code(result),
		    result->version, result->retry_after_ms, now, &claim->next);
	else
		claim_settlement_on_write(&claim->settlement,
		    result_code(result), result->retry_after_ms, now,
		    &claim->next);
	apply_decision(claim, NULL);
}

/* Handles the result of reading the key. */
static void
on_read_done(void *data, const struct store_result *result)
{
	struct claim *claim = data;
	struct timespec now = clock_monotonic(claim->claims->clock);
	struct claim_record record = {0};
	bool readable = result->error == NULL &&
	    claim_record_decode(result->value, result->length, &record);

	claim->call = NULL;
	if (claim->phase == PHASE_CLAIMING)
		claim_attempt_on_read(&claim->attempt, result_code(result),
		    readable ? &record : NULL, result->version, now,
		    &claim->next);
	else
		claim_settlement_on_read(&claim->settlement,
		    result_code(result), readable ? &record : NULL,
		    result->error == NULL ? result->version : 0, now,
		    &claim->next);
	apply_decision(claim, &record);
	claim_record_clear(&record);
}

/* Starts the store call of the next step. */
static void
make_call(struct claim *claim)
{
	struct store_request request = {.verb = STORE_GET, .key = claim->key};
	char *text = NULL;

	claim->waiting = false;
	if (claim->next.step == CLAIM_STEP_WRITE) {
		text = claim_record_encode(&claim->record);
		request.verb = STORE_PUT;
		request.version = claim->next.version;
		request.value = text;
		request.length = strlen(text);
	}
	claim->call = store_start(claim->claims->store, &request,
	    request.verb == STORE_PUT ? on_write_done : on_read_done, claim);
	free(text);
}

/* Starts the next call now or after its wait. */
static void
schedule_call(struct claim *claim)
{
	struct claims *claims = claim->claims;

	if (claim->next.wait_ms == 0) {
		make_call(claim);
		return;
	}
	claim->waiting = true;
	claim->next_at = time_add_ms(
	    clock_monotonic(claims->clock), claim->next.wait_ms);
	ev_timer_start(claims->loop, &claims->tick);
}

/*
 * Starts all calls that are due. Called from a timer while any are waiting;
 * tests call it after they have advanced the clock.
 */
void
claims_tick(struct claims *claims)
{
	struct timespec now = clock_monotonic(claims->clock);
	struct claim *claim, *next;
	bool waiting = false;

	TAILQ_FOREACH_SAFE (claim, &claims->list, entry, next) {
		if (!claim->waiting)
			continue;
		if (time_before(now, claim->next_at))
			waiting = true;
		else
			make_call(claim);
	}
	if (!waiting)
		ev_timer_stop(claims->loop, &claims->tick);
}

/* Timer callback, each CLAIMS_TICK_MS while calls are waiting. */
static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	claims_tick(watcher->data);
}

/* Creates the claims client; the store is borrowed. */
struct claims *
claims_new(struct ev_loop *loop, struct clock *clock, struct store *store)
{
	struct claims *claims = g_new0(struct claims, 1);

	claims->loop = loop;
	claims->clock = clock;
	claims->store = store;
	claims->held = g_hash_table_new(g_str_hash, g_str_equal);
	TAILQ_INIT(&claims->list);
	ev_timer_init(&claims->tick, on_tick, (double)CLAIMS_TICK_MS / MS_PER_S,
	    (double)CLAIMS_TICK_MS / MS_PER_S);
	claims->tick.data = claims;
	return claims;
}

/*
 * Frees all claims without a callback, and the client; NULL is allowed. Claims
 * that claims_pending() still counted are not settled: their records stay
 * claimed.
 */
void
claims_free(struct claims *claims)
{
	struct claim *claim, *next;

	if (claims == NULL)
		return;
	ev_timer_stop(claims->loop, &claims->tick);
	TAILQ_FOREACH_SAFE (claim, &claims->list, entry, next)
		free_claim(claim);
	g_hash_table_unref(claims->held);
	g_free(claims);
}

/* Claims a key. The callback runs exactly once, later, from the event loop. */
struct claim *
claims_claim(struct claims *claims, const struct claim_key *key,
    claims_done_fn *callback, void *data)
{
	struct claim *claim = g_new0(struct claim, 1);
	uint8_t id[ATTEMPT_BYTES];

	randombytes_buf(id, sizeof(id));
	sodium_bin2hex(claim->record.attempt, sizeof(claim->record.attempt), id,
	    sizeof(id));
	memcpy(claim->attempt.attempt, claim->record.attempt,
	    sizeof(claim->attempt.attempt));
	claim->claims = claims;
	claim->key = claim_record_key(key->organisation, key->idempotency_key);
	claim->record.fingerprint = key->fingerprint;
	claim->record.claimed_wall_ms = time_to_ms(clock_wall(claims->clock));
	claim->attempt.fingerprint = key->fingerprint;
	claim->callback = callback;
	claim->data = data;
	claims->pending++;
	TAILQ_INSERT_TAIL(&claims->list, claim, entry);
	claim_attempt_start(
	    &claim->attempt, clock_monotonic(claims->clock), &claim->next);
	schedule_call(claim);
	return claim;
}

/*
 * Ends a claim without a callback. If claiming is still in progress, the record
 * is released in the background. A claim that the caller owns stays claimed,
 * since its outcome is unknown.
 */
void
claims_abandon(struct claim *claim)
{
	if (claim->phase == PHASE_CLAIMING) {
		settle(claim, CLAIM_STATE_RELEASED, 0);
		return;
	}
	set_phase(claim, PHASE_SETTLING);
	free_claim(claim);
}

/*
 * Stores the result of a call that ran, for later replays. Runs in the
 * background and retries for CLAIMS_SETTLE_TIMEOUT_MS. The caller must not use
 * the claim afterwards.
 */
void
claims_finish(struct claim *claim, const struct claim_result *result)
{
	struct claims *claims = claim->claims;

	claim->record.status = result->status;
	claim->record.content_type = g_strdup(
	    result->content_type != NULL ? result->content_type : "");
	if (result->length <= CLAIMS_BODY_MAX_BYTES &&
	    claims->body_bytes + result->length <=
		CLAIMS_PENDING_BODIES_MAX_BYTES) {
		claim->record.body = g_byte_array_new();
		g_byte_array_append(
		    claim->record.body, result->body, (guint)result->length);
		claims->body_bytes += result->length;
	}
	settle(claim, CLAIM_STATE_DONE, claim->attempt.version);
}

/*
 * Releases a claim whose call certainly did not run, in the background, so that
 * the key can be claimed again. The caller must not use the claim afterwards.
 */
void
claims_release(struct claim *claim)
{
	settle(claim, CLAIM_STATE_RELEASED, claim->attempt.version);
}

/*
 * The process is about to exit: ends the claims that are being made as not run.
 * What they may have stored is released in the background.
 */
void
claims_stop_claiming(struct claims *claims)
{
	const struct claim_response response = {
	    .outcome = CLAIM_NOT_RUN,
	    .retry_after_ms = RUNNING_RETRY_MIN_MS,
	};
	struct claim *claim, *next;

	TAILQ_FOREACH_SAFE (claim, &claims->list, entry, next) {
		if (claim->phase != PHASE_CLAIMING)
			continue;
		claim->callback(claim->data, claim, &response);
		settle(claim, CLAIM_STATE_RELEASED, 0);
	}
}

/* Returns the number of claims that are being made or settled. */
size_t
claims_pending(const struct claims *claims)
{
	return claims->pending;
}
