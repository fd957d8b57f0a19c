/*
 * The rules of admission one by one: which job is started, rejected or
 * cancelled and which hold is released, and when.
 */
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "policy/admission.h"

#define START_MS 1000

/* An admission, its clock, and the number and last action of each kind. */
struct fixture {
	struct clock_manual clock;
	struct admission *admission;
	uint32_t counts[ADMISSION_RELEASE + 1];
	struct admission_action last[ADMISSION_RELEASE + 1];
};

/* Returns the fixture's current time. */
static struct timespec
now(struct fixture *fixture)
{
	return clock_monotonic(&fixture->clock.clock);
}

/* Takes all pending actions, counting them by kind. */
static void
handle_actions(struct fixture *fixture)
{
	struct admission_action action;

	while (admission_next_action(fixture->admission, &action)) {
		fixture->counts[action.kind]++;
		fixture->last[action.kind] = action;
	}
}

/* Advances time by ms milliseconds, then ticks. */
static void
advance_time(struct fixture *fixture, int64_t ms)
{
	clock_manual_advance(&fixture->clock, ms);
	admission_tick(fixture->admission, now(fixture));
	handle_actions(fixture);
}

/* Reports the upstream's condition to the admission. */
static void
report_condition(struct fixture *fixture, enum upstream_condition condition)
{
	struct admission_status status = {
	    .condition = condition, .start_count = 1};

	admission_set_status(fixture->admission, &status, now(fixture));
	handle_actions(fixture);
}

/* Returns a short request of 1000 prompt tokens. */
static struct admission_request
make_short_request(struct fixture *fixture, const char *id)
{
	return (struct admission_request){
	    .request = id,
	    .attempt = 1,
	    .organisation = "serra",
	    .weight = 1,
	    .class = WORK_SHORT,
	    .prompt_tokens = 1000,
	    .output_tokens = 100,
	    .deadline = time_add_ms(now(fixture), 10000),
	    .owner = fixture,
	};
}

/* Submits a request and takes the actions that follow; returns the job's id. */
static uint64_t
submit(struct fixture *fixture, const struct admission_request *request)
{
	uint64_t id = admission_submit(
	    fixture->admission, request, now(fixture));

	handle_actions(fixture);
	return id;
}

/* Reports a job's end and takes the actions that follow. */
static void
finish(struct fixture *fixture, uint64_t id, enum admission_outcome outcome)
{
	admission_on_finished(fixture->admission, id, outcome, now(fixture));
	handle_actions(fixture);
}

/*
 * Asserts the number of actions of each kind since the start or the last reset.
 */
static void
assert_counts(const struct fixture *fixture, uint32_t starts, uint32_t rejects,
    uint32_t cancels, uint32_t releases)
{
	g_assert_cmpuint(fixture->counts[ADMISSION_START], ==, starts);
	g_assert_cmpuint(fixture->counts[ADMISSION_REJECT], ==, rejects);
	g_assert_cmpuint(fixture->counts[ADMISSION_CANCEL], ==, cancels);
	g_assert_cmpuint(fixture->counts[ADMISSION_RELEASE], ==, releases);
}

/* A new upstream is limited to two runs: a third waits until one ends. */
static void
test_initial_limit(struct fixture *fixture)
{
	struct admission_request request = make_short_request(fixture, "a");
	uint64_t first = submit(fixture, &request);

	admission_on_first_token(fixture->admission, first, now(fixture));
	request.request = "b";
	admission_on_first_token(
	    fixture->admission, submit(fixture, &request), now(fixture));
	request.request = "c";
	submit(fixture, &request);
	assert_counts(fixture, 2, 0, 0, 0);
	finish(fixture, first, ADMISSION_OK);
	assert_counts(fixture, 3, 0, 0, 0);
}

/*
 * Starts two runs, as many as the initial limit allows, and resets the counts;
 * returns the first job's id, the second is one more.
 */
static uint64_t
fill_slots(struct fixture *fixture)
{
	struct admission_request request = make_short_request(
	    fixture, "fill-1");
	uint64_t first = submit(fixture, &request);

	admission_on_first_token(fixture->admission, first, now(fixture));
	request.request = "fill-2";
	admission_on_first_token(
	    fixture->admission, submit(fixture, &request), now(fixture));
	memset(fixture->counts, 0, sizeof(fixture->counts));
	return first;
}

static void
test_queue_deadline(struct fixture *fixture)
{
	struct admission_request request = make_short_request(fixture, "a");

	fill_slots(fixture);
	request.deadline = time_add_ms(now(fixture), 5000);
	submit(fixture, &request);
	advance_time(fixture, 4900);
	assert_counts(fixture, 0, 0, 0, 0);
	advance_time(fixture, 50);
	assert_counts(fixture, 0, 1, 0, 0);
	g_assert_cmpint(
	    fixture->last[ADMISSION_REJECT].reason, ==, REJECT_BUSY);
	g_assert_cmpint(
	    fixture->last[ADMISSION_REJECT].retry_after_ms, >=, 100);
}

static void
test_run_deadline(struct fixture *fixture)
{
	struct admission_request request = make_short_request(fixture, "a");
	uint64_t id = submit(fixture, &request);

	advance_time(fixture, 10000);
	advance_time(fixture, 100);
	assert_counts(fixture, 1, 0, 1, 0);
	g_assert_cmpint(fixture->last[ADMISSION_CANCEL].cancel_reason, ==,
	    ADMISSION_CANCEL_EXPIRED);
	finish(fixture, id, ADMISSION_CANCELLED);
	assert_counts(fixture, 1, 0, 1, 0);
}

static void
test_drain(struct fixture *fixture)
{
	struct admission_request request = make_short_request(fixture, "a");

	fill_slots(fixture);
	submit(fixture, &request);
	admission_set_draining(fixture->admission, true, now(fixture));
	handle_actions(fixture);
	assert_counts(fixture, 0, 1, 0, 0);
	request.request = "b";
	submit(fixture, &request);
	assert_counts(fixture, 0, 2, 0, 0);
	g_assert_cmpint(
	    fixture->last[ADMISSION_REJECT].reason, ==, REJECT_DRAINING);
}

static void
test_down(struct fixture *fixture)
{
	struct admission_request request = make_short_request(fixture, "a");

	fill_slots(fixture);
	submit(fixture, &request);
	report_condition(fixture, UPSTREAM_DOWN);
	assert_counts(fixture, 0, 1, 0, 0);
	g_assert_cmpint(
	    fixture->last[ADMISSION_REJECT].reason, ==, REJECT_DOWN);
}

static void
test_too_large(struct fixture *fixture)
{
	struct admission_request request = make_short_request(fixture, "a");

	request.class = WORK_LONG;
	request.prompt_tokens = 99950;
	submit(fixture, &request);
	assert_counts(fixture, 0, 1, 0, 0);
	g_assert_cmpint(
	    fixture->last[ADMISSION_REJECT].reason, ==, REJECT_TOO_LARGE);
}

static void
test_second_long_request(struct fixture *fixture)
{
	struct admission_request request = make_short_request(fixture, "l1");

	request.class = WORK_LONG;
	request.prompt_tokens = 60000;
	request.deadline = time_add_ms(now(fixture), 4000);
	submit(fixture, &request);
	assert_counts(fixture, 1, 0, 0, 0);
	request.request = "l2";
	request.deadline = time_add_ms(now(fixture), 11000);
	submit(fixture, &request);
	assert_counts(fixture, 1, 1, 0, 0);
	g_assert_cmpint(
	    fixture->last[ADMISSION_REJECT].reason, ==, REJECT_BUSY);
	request.request = "l3";
	request.deadline = time_add_ms(now(fixture), 13000);
	submit(fixture, &request);
	assert_counts(fixture, 1, 1, 0, 0);
}

static void
test_attempts(struct fixture *fixture)
{
	struct admission_request request = make_short_request(fixture, "a");

	fill_slots(fixture);
	request.attempt = 2;
	submit(fixture, &request);
	submit(fixture, &request);
	assert_counts(fixture, 0, 1, 0, 0);
	g_assert_cmpint(
	    fixture->last[ADMISSION_REJECT].reason, ==, REJECT_STALE);
	request.attempt = 3;
	submit(fixture, &request);
	assert_counts(fixture, 0, 2, 0, 0);
	request.request = "fill-1";
	submit(fixture, &request);
	assert_counts(fixture, 0, 2, 1, 0);
	g_assert_cmpint(fixture->last[ADMISSION_CANCEL].cancel_reason, ==,
	    ADMISSION_CANCEL_SUPERSEDED);
}

static void
test_shed(struct fixture *fixture)
{
	struct admission_request request = make_short_request(fixture, NULL);
	char id[8];

	fill_slots(fixture);
	request.request = id;
	for (int i = 0; i < 8; i++) {
		g_snprintf(id, sizeof(id), "f%d", i);
		submit(fixture, &request);
	}
	assert_counts(fixture, 0, 0, 0, 0);
	request.organisation = "vestiario";
	request.request = "v";
	request.owner = NULL;
	submit(fixture, &request);
	assert_counts(fixture, 0, 1, 0, 0);
	g_assert_true(fixture->last[ADMISSION_REJECT].owner == fixture);
	g_assert_cmpint(fixture->last[ADMISSION_REJECT].retry_after_ms, >, 0);
}

static void
test_suspect_alone(struct fixture *fixture)
{
	struct admission_request request = make_short_request(fixture, "s");
	uint64_t first = fill_slots(fixture), suspect;

	finish(fixture, first, ADMISSION_OK);
	request.suspect = true;
	suspect = submit(fixture, &request);
	request.suspect = false;
	request.request = "other";
	submit(fixture, &request);
	assert_counts(fixture, 0, 0, 0, 0);
	finish(fixture, first + 1, ADMISSION_OK);
	assert_counts(fixture, 1, 0, 0, 0);
	g_assert_cmpuint(fixture->last[ADMISSION_START].job, ==, suspect);
	finish(fixture, suspect, ADMISSION_OK);
	assert_counts(fixture, 2, 0, 0, 0);
}

static void
test_suspect_wait_limit(struct fixture *fixture)
{
	struct admission_request request = make_short_request(fixture, "s");

	finish(fixture, fill_slots(fixture), ADMISSION_OK);
	request.suspect = true;
	submit(fixture, &request);
	request.suspect = false;
	request.request = "other";
	submit(fixture, &request);
	advance_time(fixture, 1900);
	assert_counts(fixture, 0, 0, 0, 0);
	advance_time(fixture, 100);
	assert_counts(fixture, 1, 1, 0, 0);
	g_assert_cmpint(
	    fixture->last[ADMISSION_REJECT].reason, ==, REJECT_BUSY);
}

static void
test_hold_expires(struct fixture *fixture)
{
	struct admission_offer offer;
	struct admission_probe probe = {.organisation = "serra",
	    .weight = 1,
	    .class = WORK_SHORT,
	    .prompt_tokens = 1000,
	    .remaining_ms = 1000};
	int64_t retry_ms;

	g_assert_true(admission_hold(
	    fixture->admission, "g", 60000, 1000, &retry_ms, now(fixture)));
	g_assert_false(admission_hold(
	    fixture->admission, "h", 60000, 1000, &retry_ms, now(fixture)));
	g_assert_cmpint(retry_ms, >, 0);
	advance_time(fixture, 900);
	g_assert_true(admission_hold(
	    fixture->admission, "g", 60000, 1000, &retry_ms, now(fixture)));
	advance_time(fixture, 900);
	assert_counts(fixture, 0, 0, 0, 0);
	advance_time(fixture, 100);
	assert_counts(fixture, 0, 0, 0, 1);
	g_assert_cmpstr(fixture->last[ADMISSION_RELEASE].hold, ==, "g");
	admission_estimate(fixture->admission, &probe, now(fixture), &offer);
	g_assert_cmpuint(offer.free_tokens, ==, 40000);
	admission_on_hold_freed(fixture->admission, "g", now(fixture));
	admission_estimate(fixture->admission, &probe, now(fixture), &offer);
	g_assert_cmpuint(offer.free_tokens, ==, 100000);
	g_assert_true(offer.accepting);
}

static void
test_hold_user(struct fixture *fixture)
{
	struct admission_request request = make_short_request(fixture, "g");
	int64_t retry_ms;
	uint64_t id;

	request.hold = "g";
	submit(fixture, &request);
	assert_counts(fixture, 0, 1, 0, 0);
	g_assert_true(admission_hold(
	    fixture->admission, "g", 60000, 1000, &retry_ms, now(fixture)));
	request.prompt_tokens = 500000;
	request.class = WORK_LONG;
	request.deadline = time_add_ms(now(fixture), 600000);
	id = submit(fixture, &request);
	assert_counts(fixture, 1, 1, 0, 0);
	admission_release_hold(fixture->admission, "g", now(fixture));
	handle_actions(fixture);
	assert_counts(fixture, 1, 1, 1, 0);
	finish(fixture, id, ADMISSION_CANCELLED);
	assert_counts(fixture, 1, 1, 1, 1);
}

static void
test_waiting_hold(struct fixture *fixture)
{
	struct admission_request request = make_short_request(fixture, "l1");
	int64_t retry_ms;
	uint64_t id;

	request.class = WORK_LONG;
	request.prompt_tokens = 60000;
	request.deadline = time_add_ms(now(fixture), 600000);
	id = submit(fixture, &request);
	g_assert_false(admission_hold(
	    fixture->admission, "g", 70000, 1000, &retry_ms, now(fixture)));
	request.request = "l2";
	request.prompt_tokens = 10000;
	submit(fixture, &request);
	assert_counts(fixture, 1, 0, 0, 0);
	finish(fixture, id, ADMISSION_OK);
	assert_counts(fixture, 1, 0, 0, 0);
	g_assert_true(admission_hold(
	    fixture->admission, "g", 70000, 1000, &retry_ms, now(fixture)));
	handle_actions(fixture);
	assert_counts(fixture, 2, 0, 0, 0);
}

static void
test_plain_service(struct fixture *fixture)
{
	struct admission_limits limits;
	struct admission_request request = make_short_request(fixture, "a");

	admission_limits_init(&limits);
	limits.memory_tokens = 0;
	limits.prefill_tokens_per_s = 0;
	admission_free(fixture->admission);
	fixture->admission = admission_new(&limits, now(fixture));
	request.prompt_tokens = 5000000;
	submit(fixture, &request);
	assert_counts(fixture, 1, 0, 0, 0);
}

static void
test_plain_burst(struct fixture *fixture)
{
	struct admission_limits limits;
	struct admission_request request = make_short_request(fixture, NULL);
	char id[8];

	admission_limits_init(&limits);
	admission_free(fixture->admission);
	fixture->admission = admission_new(&limits, now(fixture));
	request.request = id;
	request.deadline = time_add_ms(now(fixture), 2000);
	for (int i = 0; i < 10; i++) {
		g_snprintf(id, sizeof(id), "p%d", i);
		submit(fixture, &request);
	}
	assert_counts(fixture, 2, 0, 0, 0);
}

static void
test_shard_beside_long_requests(struct fixture *fixture)
{
	struct admission_request request = make_short_request(fixture, "l1");
	int64_t retry_ms;

	g_assert_true(admission_hold(
	    fixture->admission, "g", 40000, 1000, &retry_ms, now(fixture)));
	request.class = WORK_LONG;
	request.prompt_tokens = 40000;
	request.deadline = time_add_ms(now(fixture), 600000);
	submit(fixture, &request);
	request.request = "g";
	request.hold = "g";
	request.deadline = time_add_ms(now(fixture), 3500);
	submit(fixture, &request);
	assert_counts(fixture, 1, 0, 0, 0);
}

static const struct {
	const char *name;
	void (*run)(struct fixture *);
} cases[] = {
    {"/admission_rules/a new upstream gets its initial limit and no more",
	test_initial_limit},
    {"/admission_rules/a request that can't meet its deadline is rejected at "
     "once",
	test_queue_deadline},
    {"/admission_rules/a run past its deadline is cancelled once",
	test_run_deadline},
    {"/admission_rules/a drain rejects queued and new requests", test_drain},
    {"/admission_rules/an upstream that is down rejects queued requests",
	test_down},
    {"/admission_rules/a request above all memory is too large",
	test_too_large},
    {"/admission_rules/a long request behind another is queued if its deadline "
     "allows",
	test_second_long_request},
    {"/admission_rules/a newer attempt supersedes an older one, which is stale",
	test_attempts},
    {"/admission_rules/a full queue sheds the newest request of the "
     "organisation with most",
	test_shed},
    {"/admission_rules/a suspect runs alone", test_suspect_alone},
    {"/admission_rules/others wait for a suspect for a limited time",
	test_suspect_wait_limit},
    {"/admission_rules/a hold is renewed, expires and is freed once",
	test_hold_expires},
    {"/admission_rules/a released hold cancels its run first", test_hold_user},
    {"/admission_rules/a waiting hold keeps newer long requests off the memory",
	test_waiting_hold},
    {"/admission_rules/a plain service has slots but no memory",
	test_plain_service},
    {"/admission_rules/calls are not rejected before a run's length is known",
	test_plain_burst},
    {"/admission_rules/a shard whose memory is held is not rejected as late",
	test_shard_beside_long_requests},
};

/* Runs one case on a new fixture. */
static void
run_case(gconstpointer data)
{
	void (*const *run)(struct fixture *) = data;
	struct fixture fixture = {0};
	struct admission_limits limits;

	clock_manual_init(&fixture.clock, START_MS);
	admission_limits_init(&limits);
	limits.memory_tokens = 100000;
	limits.prefill_tokens_per_s = 20000;
	limits.queue_max_requests = 8;
	fixture.admission = admission_new(&limits, now(&fixture));
	(*run)(&fixture);
	admission_free(fixture.admission);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].name, &cases[i].run, run_case);
	return g_test_run();
}
