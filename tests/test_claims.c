/*
 * At-most-once claims against a store with random faults. Guards against a key
 * that is executed twice, a replay that is not the stored result, and a key
 * that cannot be claimed again although its call did not run.
 */
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "fake_store.h"
#include "store/claim_state_machine.h"
#include "store/claims.h"

#define ENTRIES 3
#define KEYS	120
/* Keys in use at a time, a window that moves over all keys. */
#define WINDOW	     8
#define STEP_MS	     10
#define STEPS	     3000
#define OUTAGE_STEPS 400
#define RUN_MAX_MS   500
#define SEEDS	     40
#define SETTLE_STEPS \
	((CLAIMS_SETTLE_TIMEOUT_MS + CLAIMS_CLAIM_TIMEOUT_MS) / STEP_MS)

/* What the test knows of one key, from all entries. */
struct key {
	unsigned int executions;
	bool finished; /* its result was given to claims_finish() */
	bool lost; /* an entry crashed with, or abandoned, a claim of it */
};

struct fixture {
	struct ev_loop *loop;
	struct clock_manual clock;
	GRand *random;
	struct store *store;
	struct claims *entries[ENTRIES];
	struct key keys[KEYS];
	size_t window; /* first key in use */
	GPtrArray *attempts; /* struct attempt, those in progress */
	unsigned int outcomes[CLAIM_NOT_RUN + 1];
};

struct attempt {
	struct fixture *fixture;
	size_t entry;
	size_t key;
	struct claim *claim;
	bool claimed;
	bool runs;
	struct timespec ends_at;
};

static int
random_below(struct fixture *fixture, int below)
{
	return g_rand_int_range(fixture->random, 0, below);
}

static void
assert_replay(const struct attempt *attempt, const struct claim_result *result)
{
	const struct key *key = &attempt->fixture->keys[attempt->key];

	g_assert_true(key->finished);
	g_assert_cmpuint(result->status, ==, 200 + attempt->key);
	g_assert_true(result->body_stored);
	g_assert_cmpmem(result->body, result->length, "done", 4);
}

static void
on_claim(void *data, struct claim *claim, const struct claim_response *response)
{
	struct attempt *attempt = data;
	struct fixture *fixture = attempt->fixture;
	struct key *key = &fixture->keys[attempt->key];

	fixture->outcomes[response->outcome]++;
	if (response->outcome == CLAIM_REPLAY)
		assert_replay(attempt, response->result);
	if (response->outcome == CLAIM_RUNNING ||
	    response->outcome == CLAIM_NOT_RUN)
		g_assert_cmpint(response->retry_after_ms, >, 0);
	if (response->outcome != CLAIM_CLAIMED) {
		g_ptr_array_remove_fast(fixture->attempts, attempt);
		return;
	}
	attempt->claim = claim;
	attempt->claimed = true;
	attempt->runs = random_below(fixture, 2) == 0;
	key->executions += attempt->runs;
	g_assert_cmpuint(key->executions, <=, 1);
	attempt->ends_at = time_add_ms(
	    fixture->clock.monotonic, random_below(fixture, RUN_MAX_MS));
}

static void
start_attempt(struct fixture *fixture, size_t entry, size_t key)
{
	struct attempt *attempt = g_new0(struct attempt, 1);
	g_autofree char *text = g_strdup_printf("order-%zu", key);
	struct claim_key claim_key = {
	    .organisation = "serra",
	    .idempotency_key = text,
	    .fingerprint = key,
	};

	attempt->fixture = fixture;
	attempt->entry = entry;
	attempt->key = key;
	g_ptr_array_add(fixture->attempts, attempt);
	attempt->claim = claims_claim(
	    fixture->entries[entry], &claim_key, on_claim, attempt);
}

/* Ends the call of a claim: releases, abandons or finishes the claim. */
static void
end_attempt(struct fixture *fixture, struct attempt *attempt)
{
	struct key *key = &fixture->keys[attempt->key];
	struct claim_result result = {
	    .status = 200 + (uint32_t)attempt->key,
	    .content_type = "text/plain",
	    .body = (const uint8_t *)"done",
	    .length = 4,
	};

	if (!attempt->runs) {
		claims_release(attempt->claim);
	} else if (random_below(fixture, 4) == 0) {
		key->lost = true;
		claims_abandon(attempt->claim);
	} else {
		key->finished = true;
		claims_finish(attempt->claim, &result);
	}
	g_ptr_array_remove_fast(fixture->attempts, attempt);
}

/* Crashes an entry with all its attempts, and starts it again. */
static void
crash_entry(struct fixture *fixture, size_t entry)
{
	for (guint i = fixture->attempts->len; i-- > 0;) {
		struct attempt *attempt = g_ptr_array_index(
		    fixture->attempts, i);

		if (attempt->entry == entry)
			g_ptr_array_remove_index_fast(fixture->attempts, i);
	}
	for (size_t i = 0; i < fixture->window + WINDOW; i++)
		fixture->keys[i].lost = true;
	claims_free(fixture->entries[entry]);
	fixture->entries[entry] = claims_new(
	    fixture->loop, &fixture->clock.clock, fixture->store);
}

static void
end_due_attempts(struct fixture *fixture)
{
	for (guint i = fixture->attempts->len; i-- > 0;) {
		struct attempt *attempt = g_ptr_array_index(
		    fixture->attempts, i);

		if (attempt->claimed &&
		    !time_before(fixture->clock.monotonic, attempt->ends_at))
			end_attempt(fixture, attempt);
	}
}

static void
run_step(struct fixture *fixture)
{
	clock_manual_advance(&fixture->clock, STEP_MS);
	fake_store_run(fixture->store);
	for (size_t i = 0; i < ENTRIES; i++)
		claims_tick(fixture->entries[i]);
	end_due_attempts(fixture);
}

/*
 * Abandons a random attempt whose claim is still being made, as when its caller
 * disconnects.
 */
static void
abandon_random_claim(struct fixture *fixture)
{
	struct attempt *attempt;

	if (fixture->attempts->len == 0)
		return;
	attempt = g_ptr_array_index(fixture->attempts,
	    (guint)random_below(fixture, (int)fixture->attempts->len));
	if (attempt->claimed)
		return;
	claims_abandon(attempt->claim);
	g_ptr_array_remove_fast(fixture->attempts, attempt);
}

static void
set_up(struct fixture *fixture, guint32 seed)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->loop = ev_loop_new(0);
	clock_manual_init(&fixture->clock, 1000000);
	fixture->random = g_rand_new_with_seed(seed);
	fixture->store = fake_store_new(&fixture->clock.clock, fixture->random);
	fixture->attempts = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; i < ENTRIES; i++)
		fixture->entries[i] = claims_new(
		    fixture->loop, &fixture->clock.clock, fixture->store);
}

static void
tear_down(struct fixture *fixture)
{
	for (size_t i = 0; i < ENTRIES; i++)
		claims_free(fixture->entries[i]);
	store_free(fixture->store);
	g_ptr_array_unref(fixture->attempts);
	g_rand_free(fixture->random);
	ev_loop_destroy(fixture->loop);
}

/* Runs without faults until all claims are settled in the store. */
static void
wait_until_settled(struct fixture *fixture)
{
	fake_store_set_faults(
	    fixture->store, &(struct fake_faults){.latency_max_ms = 5});
	for (int i = 0; i < SETTLE_STEPS; i++)
		run_step(fixture);
	for (size_t i = 0; i < ENTRIES; i++)
		g_assert_cmpuint(claims_pending(fixture->entries[i]), ==, 0);
}

/* Makes one more attempt at a key and returns its outcome. */
static enum claim_outcome
claim_again(struct fixture *fixture, size_t key)
{
	unsigned int before[CLAIM_NOT_RUN + 1];
	int outcome = 0;

	memcpy(before, fixture->outcomes, sizeof(before));
	start_attempt(fixture, 0, key);
	for (int i = 0; i < 100; i++)
		run_step(fixture);
	while (outcome < CLAIM_NOT_RUN &&
	    fixture->outcomes[outcome] == before[outcome])
		outcome++;
	return (enum claim_outcome)outcome;
}

/*
 * Claims that are being made as the process exits end as not run, each once,
 * and another entry can claim their keys.
 */
static void
test_stop_claiming(void)
{
	struct fixture fixture;

	set_up(&fixture, 1);
	fake_store_set_faults(
	    fixture.store, &(struct fake_faults){.latency_max_ms = 5});
	start_attempt(&fixture, 1, 0);
	start_attempt(&fixture, 1, 1);
	claims_stop_claiming(fixture.entries[1]);
	g_assert_cmpuint(fixture.outcomes[CLAIM_NOT_RUN], ==, 2);
	wait_until_settled(&fixture);
	g_assert_cmpuint(fixture.outcomes[CLAIM_NOT_RUN], ==, 2);
	g_assert_cmpint(claim_again(&fixture, 0), ==, CLAIM_CLAIMED);
	g_assert_cmpint(claim_again(&fixture, 1), ==, CLAIM_CLAIMED);
	tear_down(&fixture);
}

static const struct faults_case {
	const char *name;
	struct fake_faults faults;
	bool crashes;
	bool outages; /* longer than the timeout of a claim */
} faults_cases[] = {
    {"no faults", {.latency_max_ms = 5}, false, false},
    {"responses lost after the write",
	{.response_lost_percent = 30, .latency_max_ms = 20}, false, false},
    {"writes that take effect late",
	{.effect_delayed_percent = 30,
	    .effect_delay_max_ms = 5000,
	    .latency_max_ms = 20},
	false, false},
    {"outages right after lost and late responses",
	{.response_lost_percent = 30,
	    .effect_delayed_percent = 30,
	    .effect_delay_max_ms = 6000,
	    .latency_max_ms = 20},
	false, true},
    {"all faults and entries that crash",
	{.response_lost_percent = 15,
	    .effect_delayed_percent = 15,
	    .effect_delay_max_ms = 5000,
	    .request_lost_percent = 10,
	    .unavailable_percent = 20,
	    .rate_limited_percent = 10,
	    .latency_max_ms = 300},
	true, true},
};

static void
run_seed(const struct faults_case *c, guint32 seed, unsigned int *outcomes)
{
	struct fixture fixture;

	set_up(&fixture, seed);
	for (int i = 0; i < STEPS; i++) {
		struct fake_faults faults = c->faults;

		if (c->outages && i % (2 * OUTAGE_STEPS) >= OUTAGE_STEPS)
			faults.unavailable_percent = 100;
		fake_store_set_faults(fixture.store, &faults);
		fixture.window = (size_t)i * (KEYS - WINDOW) / STEPS;
		if (random_below(&fixture, 5) == 0)
			start_attempt(&fixture,
			    (size_t)random_below(&fixture, ENTRIES),
			    fixture.window +
				(size_t)random_below(&fixture, WINDOW));
		if (random_below(&fixture, 50) == 0)
			abandon_random_claim(&fixture);
		if (c->crashes && random_below(&fixture, 1000) == 0)
			crash_entry(
			    &fixture, (size_t)random_below(&fixture, ENTRIES));
		run_step(&fixture);
	}
	wait_until_settled(&fixture);
	for (size_t i = 0; i < KEYS; i++) {
		const struct key *key = &fixture.keys[i];
		enum claim_outcome wanted = key->finished ? CLAIM_REPLAY
							  : CLAIM_CLAIMED;

		if (!key->lost)
			g_assert_cmpint(claim_again(&fixture, i), ==, wanted);
	}
	for (size_t i = 0; i <= CLAIM_NOT_RUN; i++)
		outcomes[i] += fixture.outcomes[i];
	tear_down(&fixture);
}

static void
test_faults(gconstpointer data)
{
	const struct faults_case *c = data;
	unsigned int outcomes[CLAIM_NOT_RUN + 1] = {0};

	for (guint32 seed = 1; seed <= SEEDS; seed++)
		run_seed(c, g_test_slow() ? (guint32)g_test_rand_int() : seed,
		    outcomes);
	g_test_message("%s: %u claimed, %u replayed, %u running, %u not run",
	    c->name, outcomes[CLAIM_CLAIMED], outcomes[CLAIM_REPLAY],
	    outcomes[CLAIM_RUNNING], outcomes[CLAIM_NOT_RUN]);
	g_assert_cmpuint(outcomes[CLAIM_REPLAY], >, 0);
}

/* A store result of a new claim's write, and the next step. */
static const struct write_case {
	const char *name;
	int code;
	bool write_uncertain;
	enum claim_step step;
	enum claim_outcome outcome;
} write_cases[] = {
    {"a stored record is a claim", STORE_OK, false, CLAIM_STEP_END,
	CLAIM_CLAIMED},
    {"after a conflict the record is read", STORE_ERROR_CONFLICT, false,
	CLAIM_STEP_READ, 0},
    {"after a lost response the record is read", STORE_ERROR_OUTCOME_UNKNOWN,
	false, CLAIM_STEP_READ, 0},
    {"an outage before any uncertain write gives not run at once",
	STORE_ERROR_UNAVAILABLE, false, CLAIM_STEP_END, CLAIM_NOT_RUN},
    {"after an outage with an uncertain write the record is read later",
	STORE_ERROR_UNAVAILABLE, true, CLAIM_STEP_READ, 0},
    {"a rate limit gives not run at once", STORE_ERROR_RATE_LIMITED, false,
	CLAIM_STEP_END, CLAIM_NOT_RUN},
};

static void
test_write(gconstpointer data)
{
	const struct write_case *c = data;
	struct claim_attempt claim = {
	    .attempt = "a", .write_uncertain = c->write_uncertain};
	struct claim_decision decision;
	struct timespec now = time_from_ms(1000);

	claim_attempt_start(&claim, now, &decision);
	claim_attempt_on_write(&claim, c->code, 1, 0, now, &decision);
	g_assert_cmpint(decision.step, ==, c->step);
	if (c->step == CLAIM_STEP_END)
		g_assert_cmpint(decision.outcome, ==, c->outcome);
}

static const struct read_case {
	const char *name;
	const char *attempt;
	uint64_t fingerprint;
	enum claim_state state;
	enum claim_step step;
	enum claim_outcome outcome;
} read_cases[] = {
    {"our own record is a claim", "a", 1, CLAIM_STATE_CLAIMED, CLAIM_STEP_END,
	CLAIM_CLAIMED},
    {"another's record is running", "b", 1, CLAIM_STATE_CLAIMED, CLAIM_STEP_END,
	CLAIM_RUNNING},
    {"a result is replayed", "b", 1, CLAIM_STATE_DONE, CLAIM_STEP_END,
	CLAIM_REPLAY},
    {"a record of another request is a mismatch", "b", 2, CLAIM_STATE_DONE,
	CLAIM_STEP_END, CLAIM_MISMATCH},
    {"a released key is taken over", "b", 2, CLAIM_STATE_RELEASED,
	CLAIM_STEP_WRITE, 0},
};

static void
test_read(gconstpointer data)
{
	const struct read_case *c = data;
	struct claim_attempt claim = {.attempt = "a", .fingerprint = 1};
	struct claim_record record = {
	    .fingerprint = c->fingerprint, .state = c->state};
	struct claim_decision decision;
	struct timespec now = time_from_ms(1000);

	strcpy(record.attempt, c->attempt);
	claim_attempt_start(&claim, now, &decision);
	claim_attempt_on_read(&claim, STORE_OK, &record, 4, now, &decision);
	g_assert_cmpint(decision.step, ==, c->step);
	if (c->step == CLAIM_STEP_END)
		g_assert_cmpint(decision.outcome, ==, c->outcome);
	else
		g_assert_cmpuint(decision.version, ==, 4);
}

/* Damaged records never crash the decoder, and an intact one is decoded. */
static void
test_record_fuzz(void)
{
	struct claim_record record = {.attempt = "a",
	    .state = CLAIM_STATE_DONE,
	    .status = 201,
	    .content_type = "x"};
	g_autofree char *text = NULL;

	record.body = g_byte_array_new();
	g_byte_array_append(record.body, (const guint8 *)"\0b", 2);
	text = claim_record_encode(&record);
	g_byte_array_unref(record.body);
	for (int round = 0; round < 5000; round++) {
		g_autofree char *copy = g_strdup(text);
		size_t length = strlen(copy);
		struct claim_record got;

		copy[g_test_rand_int_range(0, (gint32)length)] ^= (char)
		    g_test_rand_int_range(0, 256);
		claim_record_decode((const uint8_t *)copy,
		    (size_t)g_test_rand_int_range(0, (gint32)length + 1), &got);
		claim_record_clear(&got);
	}
	g_assert_true(
	    claim_record_decode((const uint8_t *)text, strlen(text), &record));
	g_assert_cmpmem(record.body->data, record.body->len, "\0b", 2);
	claim_record_clear(&record);
}

#define ADD(table, prefix, test)                                   \
	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {         \
		g_autofree char *path = g_strconcat(               \
		    "/claims/" prefix "/", (table)[i].name, NULL); \
		g_test_add_data_func(path, &(table)[i], test);     \
	}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	ADD(write_cases, "write", test_write);
	ADD(read_cases, "read", test_read);
	ADD(faults_cases, "faults", test_faults);
	g_test_add_func("/claims/claims that are being made at the exit end "
			"as not run",
	    test_stop_claiming);
	g_test_add_func("/claims/a damaged record never crashes the decoder",
	    test_record_fuzz);
	return g_test_run();
}
