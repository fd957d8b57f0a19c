/*
 * Admission's rules one by one: who is started, refused, cancelled or released,
 * and when.
 */
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "policy/admission.h"

#define START_MS 1000

/* An admission, its clock and the last actions of each kind. */
struct bench {
	struct clock_manual clock;
	struct admission *admission;
	uint32_t counts[ADMISSION_RELEASE + 1];
	struct admission_action last[ADMISSION_RELEASE + 1];
};

/* Returns the bench's present time. */
static struct timespec
now(struct bench *bench)
{
	return clock_monotonic(&bench->clock.clock);
}

/* Takes all actions. */
static void
take(struct bench *bench)
{
	struct admission_action action;

	while (admission_next_action(bench->admission, &action)) {
		bench->counts[action.kind]++;
		bench->last[action.kind] = action;
	}
}

/* Lets time pass, with a tick at its end. */
static void
pass(struct bench *bench, int64_t ms)
{
	clock_manual_advance(&bench->clock, ms);
	admission_tick(bench->admission, now(bench));
	take(bench);
}

/* Reports the upstream's condition. */
static void
report(struct bench *bench, enum upstream_condition condition)
{
	struct admission_status status = {
	    .condition = condition, .start_count = 1};

	admission_set_status(bench->admission, &status, now(bench));
	take(bench);
}

/* Returns a request of a short of 1000 tokens. */
static struct admission_request
a_short(struct bench *bench, const char *id)
{
	return (struct admission_request){
	    .request = id,
	    .attempt = 1,
	    .organisation = "serra",
	    .weight = 1,
	    .class = WORK_SHORT,
	    .prompt_tokens = 1000,
	    .output_tokens = 100,
	    .deadline = time_add_ms(now(bench), 10000),
	    .owner = bench,
	};
}

/* Submits a request and takes what follows. */
static uint64_t
submit(struct bench *bench, const struct admission_request *request)
{
	uint64_t id = admission_submit(bench->admission, request, now(bench));

	take(bench);
	return id;
}

/* Ends a job. */
static void
finish(struct bench *bench, uint64_t id, enum admission_outcome outcome)
{
	admission_on_finished(bench->admission, id, outcome, now(bench));
	take(bench);
}

/* Asserts how many actions of each kind there were. */
static void
expect(const struct bench *bench, uint32_t starts, uint32_t rejects,
    uint32_t cancels, uint32_t releases)
{
	g_assert_cmpuint(bench->counts[ADMISSION_START], ==, starts);
	g_assert_cmpuint(bench->counts[ADMISSION_REJECT], ==, rejects);
	g_assert_cmpuint(bench->counts[ADMISSION_CANCEL], ==, cancels);
	g_assert_cmpuint(bench->counts[ADMISSION_RELEASE], ==, releases);
}

/* The floor of two runs, a third waits, and the end of one starts it. */
static void
test_floor(struct bench *bench)
{
	struct admission_request request = a_short(bench, "a");
	uint64_t first = submit(bench, &request);

	admission_on_first_token(bench->admission, first, now(bench));
	request.request = "b";
	admission_on_first_token(
	    bench->admission, submit(bench, &request), now(bench));
	request.request = "c";
	submit(bench, &request);
	expect(bench, 2, 0, 0, 0);
	finish(bench, first, ADMISSION_OK);
	expect(bench, 3, 0, 0, 0);
}

/* Fills both slots of the floor. */
static uint64_t
fill(struct bench *bench)
{
	struct admission_request request = a_short(bench, "fill-1");
	uint64_t first = submit(bench, &request);

	admission_on_first_token(bench->admission, first, now(bench));
	request.request = "fill-2";
	admission_on_first_token(
	    bench->admission, submit(bench, &request), now(bench));
	memset(bench->counts, 0, sizeof(bench->counts));
	return first;
}

static void
test_queue_deadline(struct bench *bench)
{
	struct admission_request request = a_short(bench, "a");

	fill(bench);
	request.deadline = time_add_ms(now(bench), 5000);
	submit(bench, &request);
	pass(bench, 4900);
	expect(bench, 0, 0, 0, 0);
	pass(bench, 50);
	expect(bench, 0, 1, 0, 0);
	g_assert_cmpint(bench->last[ADMISSION_REJECT].reason, ==, REJECT_BUSY);
	g_assert_cmpint(bench->last[ADMISSION_REJECT].retry_after_ms, >=, 100);
}

static void
test_run_deadline(struct bench *bench)
{
	struct admission_request request = a_short(bench, "a");
	uint64_t id = submit(bench, &request);

	pass(bench, 10000);
	pass(bench, 100);
	expect(bench, 1, 0, 1, 0);
	g_assert_cmpint(bench->last[ADMISSION_CANCEL].cancel_reason, ==,
	    ADMISSION_CANCEL_EXPIRED);
	finish(bench, id, ADMISSION_CANCELLED);
	expect(bench, 1, 0, 1, 0);
}

static void
test_drain(struct bench *bench)
{
	struct admission_request request = a_short(bench, "a");

	fill(bench);
	submit(bench, &request);
	admission_set_draining(bench->admission, true, now(bench));
	take(bench);
	expect(bench, 0, 1, 0, 0);
	request.request = "b";
	submit(bench, &request);
	expect(bench, 0, 2, 0, 0);
	g_assert_cmpint(
	    bench->last[ADMISSION_REJECT].reason, ==, REJECT_DRAINING);
}

static void
test_down(struct bench *bench)
{
	struct admission_request request = a_short(bench, "a");

	fill(bench);
	submit(bench, &request);
	report(bench, UPSTREAM_DOWN);
	expect(bench, 0, 1, 0, 0);
	g_assert_cmpint(bench->last[ADMISSION_REJECT].reason, ==, REJECT_DOWN);
}

static void
test_too_large(struct bench *bench)
{
	struct admission_request request = a_short(bench, "a");

	request.class = WORK_LONG;
	request.prompt_tokens = 99950;
	submit(bench, &request);
	expect(bench, 0, 1, 0, 0);
	g_assert_cmpint(
	    bench->last[ADMISSION_REJECT].reason, ==, REJECT_TOO_LARGE);
}

static void
test_lone_long(struct bench *bench)
{
	struct admission_request request = a_short(bench, "l1");

	request.class = WORK_LONG;
	request.prompt_tokens = 60000;
	request.deadline = time_add_ms(now(bench), 4000);
	submit(bench, &request);
	expect(bench, 1, 0, 0, 0);
	request.request = "l2";
	request.deadline = time_add_ms(now(bench), 11000);
	submit(bench, &request);
	expect(bench, 1, 1, 0, 0);
	g_assert_cmpint(bench->last[ADMISSION_REJECT].reason, ==, REJECT_BUSY);
	request.request = "l3";
	request.deadline = time_add_ms(now(bench), 13000);
	submit(bench, &request);
	expect(bench, 1, 1, 0, 0);
}

static void
test_attempts(struct bench *bench)
{
	struct admission_request request = a_short(bench, "a");

	fill(bench);
	request.attempt = 2;
	submit(bench, &request);
	submit(bench, &request);
	expect(bench, 0, 1, 0, 0);
	g_assert_cmpint(bench->last[ADMISSION_REJECT].reason, ==, REJECT_STALE);
	request.attempt = 3;
	submit(bench, &request);
	expect(bench, 0, 2, 0, 0);
	request.request = "fill-1";
	submit(bench, &request);
	expect(bench, 0, 2, 1, 0);
	g_assert_cmpint(bench->last[ADMISSION_CANCEL].cancel_reason, ==,
	    ADMISSION_CANCEL_SUPERSEDED);
}

static void
test_shed(struct bench *bench)
{
	struct admission_request request = a_short(bench, NULL);
	char id[8];

	fill(bench);
	request.request = id;
	for (int i = 0; i < 8; i++) {
		g_snprintf(id, sizeof(id), "f%d", i);
		submit(bench, &request);
	}
	expect(bench, 0, 0, 0, 0);
	request.organisation = "vestiario";
	request.request = "v";
	request.owner = NULL;
	submit(bench, &request);
	expect(bench, 0, 1, 0, 0);
	g_assert_true(bench->last[ADMISSION_REJECT].owner == bench);
	g_assert_cmpint(bench->last[ADMISSION_REJECT].retry_after_ms, >, 0);
}

static void
test_suspect_alone(struct bench *bench)
{
	struct admission_request request = a_short(bench, "s");
	uint64_t first = fill(bench), suspect;

	finish(bench, first, ADMISSION_OK);
	request.suspect = true;
	suspect = submit(bench, &request);
	request.suspect = false;
	request.request = "other";
	submit(bench, &request);
	expect(bench, 0, 0, 0, 0);
	finish(bench, first + 1, ADMISSION_OK);
	expect(bench, 1, 0, 0, 0);
	g_assert_cmpuint(bench->last[ADMISSION_START].job, ==, suspect);
	finish(bench, suspect, ADMISSION_OK);
	expect(bench, 2, 0, 0, 0);
}

static void
test_suspect_bounded(struct bench *bench)
{
	struct admission_request request = a_short(bench, "s");

	finish(bench, fill(bench), ADMISSION_OK);
	request.suspect = true;
	submit(bench, &request);
	request.suspect = false;
	request.request = "other";
	submit(bench, &request);
	pass(bench, 1900);
	expect(bench, 0, 0, 0, 0);
	pass(bench, 100);
	expect(bench, 1, 1, 0, 0);
	g_assert_cmpint(bench->last[ADMISSION_REJECT].reason, ==, REJECT_BUSY);
}

static void
test_hold_expires(struct bench *bench)
{
	struct admission_offer offer;
	struct admission_probe probe = {.organisation = "serra",
	    .weight = 1,
	    .class = WORK_SHORT,
	    .prompt_tokens = 1000,
	    .remaining_ms = 1000};
	int64_t retry_ms;

	g_assert_true(admission_hold(
	    bench->admission, "g", 60000, 1000, &retry_ms, now(bench)));
	g_assert_false(admission_hold(
	    bench->admission, "h", 60000, 1000, &retry_ms, now(bench)));
	g_assert_cmpint(retry_ms, >, 0);
	pass(bench, 900);
	g_assert_true(admission_hold(
	    bench->admission, "g", 60000, 1000, &retry_ms, now(bench)));
	pass(bench, 900);
	expect(bench, 0, 0, 0, 0);
	pass(bench, 100);
	expect(bench, 0, 0, 0, 1);
	g_assert_cmpstr(bench->last[ADMISSION_RELEASE].hold, ==, "g");
	admission_estimate(bench->admission, &probe, now(bench), &offer);
	g_assert_cmpuint(offer.free_tokens, ==, 40000);
	admission_on_hold_freed(bench->admission, "g", now(bench));
	admission_estimate(bench->admission, &probe, now(bench), &offer);
	g_assert_cmpuint(offer.free_tokens, ==, 100000);
	g_assert_true(offer.accepting);
}

static void
test_hold_user(struct bench *bench)
{
	struct admission_request request = a_short(bench, "g");
	int64_t retry_ms;
	uint64_t id;

	request.hold = "g";
	submit(bench, &request);
	expect(bench, 0, 1, 0, 0);
	g_assert_true(admission_hold(
	    bench->admission, "g", 60000, 1000, &retry_ms, now(bench)));
	request.prompt_tokens = 500000;
	request.class = WORK_LONG;
	request.deadline = time_add_ms(now(bench), 600000);
	id = submit(bench, &request);
	expect(bench, 1, 1, 0, 0);
	admission_release_hold(bench->admission, "g", now(bench));
	take(bench);
	expect(bench, 1, 1, 1, 0);
	finish(bench, id, ADMISSION_CANCELLED);
	expect(bench, 1, 1, 1, 1);
}

static void
test_refused_hold_claims(struct bench *bench)
{
	struct admission_request request = a_short(bench, "l1");
	int64_t retry_ms;
	uint64_t id;

	request.class = WORK_LONG;
	request.prompt_tokens = 60000;
	request.deadline = time_add_ms(now(bench), 600000);
	id = submit(bench, &request);
	g_assert_false(admission_hold(
	    bench->admission, "g", 70000, 1000, &retry_ms, now(bench)));
	request.request = "l2";
	request.prompt_tokens = 10000;
	submit(bench, &request);
	expect(bench, 1, 0, 0, 0);
	finish(bench, id, ADMISSION_OK);
	expect(bench, 1, 0, 0, 0);
	g_assert_true(admission_hold(
	    bench->admission, "g", 70000, 1000, &retry_ms, now(bench)));
	take(bench);
	expect(bench, 2, 0, 0, 0);
}

static void
test_plain_service(struct bench *bench)
{
	struct admission_limits limits;
	struct admission_request request = a_short(bench, "a");

	admission_limits_init(&limits);
	limits.memory_tokens = 0;
	limits.prefill_tokens_per_s = 0;
	admission_free(bench->admission);
	bench->admission = admission_new(&limits, now(bench));
	request.prompt_tokens = 5000000;
	submit(bench, &request);
	expect(bench, 1, 0, 0, 0);
}

static void
test_plain_burst(struct bench *bench)
{
	struct admission_limits limits;
	struct admission_request request = a_short(bench, NULL);
	char id[8];

	admission_limits_init(&limits);
	admission_free(bench->admission);
	bench->admission = admission_new(&limits, now(bench));
	request.request = id;
	request.deadline = time_add_ms(now(bench), 2000);
	for (int i = 0; i < 10; i++) {
		g_snprintf(id, sizeof(id), "p%d", i);
		submit(bench, &request);
	}
	expect(bench, 2, 0, 0, 0);
}

static void
test_shard_beside_longs(struct bench *bench)
{
	struct admission_request request = a_short(bench, "l1");
	int64_t retry_ms;

	g_assert_true(admission_hold(
	    bench->admission, "g", 40000, 1000, &retry_ms, now(bench)));
	request.class = WORK_LONG;
	request.prompt_tokens = 40000;
	request.deadline = time_add_ms(now(bench), 600000);
	submit(bench, &request);
	request.request = "g";
	request.hold = "g";
	request.deadline = time_add_ms(now(bench), 3500);
	submit(bench, &request);
	expect(bench, 1, 0, 0, 0);
}

static const struct {
	const char *name;
	void (*run)(struct bench *);
} cases[] = {
    {"/admission-rules/a new upstream gets its floor and no more", test_floor},
    {"/admission-rules/what can't be in time any more is refused at once",
	test_queue_deadline},
    {"/admission-rules/a run past its deadline is cancelled once",
	test_run_deadline},
    {"/admission-rules/a drain gives back what waits and refuses the rest",
	test_drain},
    {"/admission-rules/an upstream that is down gives back what waits",
	test_down},
    {"/admission-rules/more than all memory is too large", test_too_large},
    {"/admission-rules/a long behind another is taken with time to spare",
	test_lone_long},
    {"/admission-rules/an older attempt is stale and a newer one replaces",
	test_attempts},
    {"/admission-rules/a full queue sheds the newest of who has most",
	test_shed},
    {"/admission-rules/a suspect runs alone", test_suspect_alone},
    {"/admission-rules/others wait for a suspect for a bounded time",
	test_suspect_bounded},
    {"/admission-rules/a hold is renewed, expires and is freed once",
	test_hold_expires},
    {"/admission-rules/a released hold cancels its user first", test_hold_user},
    {"/admission-rules/a refused hold keeps newer longs off the memory",
	test_refused_hold_claims},
    {"/admission-rules/a plain service has slots but no memory",
	test_plain_service},
    {"/admission-rules/calls are not refused before a run's length is known",
	test_plain_burst},
    {"/admission-rules/a shard whose memory is held is not refused as late",
	test_shard_beside_longs},
};

/* Runs one case on a fresh bench. */
static void
run_case(gconstpointer data)
{
	void (*const *run)(struct bench *) = data;
	struct bench bench = {0};
	struct admission_limits limits;

	clock_manual_init(&bench.clock, START_MS);
	admission_limits_init(&limits);
	limits.memory_tokens = 100000;
	limits.prefill_tokens_per_s = 20000;
	limits.queue_max_requests = 8;
	bench.admission = admission_new(&limits, now(&bench));
	(*run)(&bench);
	admission_free(bench.admission);
}

/* Runs all tests. */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	for (gsize i = 0; i < G_N_ELEMENTS(cases); i++)
		g_test_add_data_func(cases[i].name, &cases[i].run, run_case);
	return g_test_run();
}
