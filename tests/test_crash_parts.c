/*
 * Prompt parts that crash upstreams. Guards against requests that share such a
 * part and are sent to one upstream after the other, no two alike.
 */
#include <stdio.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"
#include "policy/part_quarantine.h"
#include "raw_gateway.h"
#include "raw_responses.h"
#include "raw_server.h"

#define CRASHES	      3
#define SETTLE_ROUNDS 20
#define SENDS_MAX     3
/* Longer than a response that the gateway buffers. */
#define LONG_BYTES ((size_t)300 * 1024)

/* The rest of a complete response with a length, in place of TEXT. */
#define REST TEXT "Content-Length: 5\r\n\r\nwhole"

/* The hash of "bad". */
static const uint64_t bad_part = UINT64_C(0xf7c170336e83ce9a);
static const struct crash_subjects crashing = {
    .parts = &bad_part, .part_count = 1};
static const struct part_death_stage begun = {.begun = true};

static const struct probe_case {
	const char *name;
	enum fake_platform_step step; /* of the probe and what follows */
	int then; /* status of a request after the probe */
	size_t requests; /* that upstreams get in all */
} probe_cases[] = {
    {"a part whose probe survives is accepted again", FAKE_STEP_STREAM, 200, 2},
    {"a part whose probe crashes an upstream is not probed again",
	FAKE_STEP_CRASH, 503, 1},
    {"a part whose probe is answered with a failure stays refused",
	FAKE_STEP_ERROR, 503, 1},
};

static const struct answer_case {
	const char *name;
	const char *path;
	struct raw_response responses[SENDS_MAX];
	size_t requests; /* that upstreams get */
	int status; /* that the caller gets */
	bool clears; /* the part, of the crashes so far */
} answer_cases[] = {
    {"an upstream that fails does not clear a part that crashes", "/once/x",
	{{.bytes = "HTTP/1.1 500 X\r\n" REST}}, 1, 500, false},
    {"an upstream that fails on a stream does not clear a part that crashes",
	"/fragile/x", {{.bytes = "HTTP/1.1 500 X\r\n" REST}}, 1, 500, false},
    {"upstreams that fail one after the other do not clear a part that crashes",
	"/again/x",
	{{.bytes = "HTTP/1.1 500 X\r\n" REST},
	    {.bytes = "HTTP/1.1 502 X\r\n" REST}},
	2, 502, false},
    {"a failure that is too long to buffer does not clear a part that crashes",
	"/once/x",
	{{.bytes = "HTTP/1.1 500 X\r\n" TEXT "Content-Length: 307200\r\n\r\n",
	    .filler = LONG_BYTES}},
	1, 500, false},
    {"a 503 that may have run does not clear a part that crashes", "/once/x",
	{{.bytes = "HTTP/1.1 503 X\r\n" REST}}, 1, 502, false},
    {"an upstream that refuses does not clear a part that crashes", "/once/x",
	{{.bytes = "HTTP/1.1 400 X\r\n" REST}}, 1, 400, false},
    {"an upstream that redirects does not clear a part that crashes", "/once/x",
	{{.bytes = "HTTP/1.1 302 X\r\n" REST}}, 1, 302, false},
    {"an unframed stream of one event does not clear a part that crashes",
	"/fragile/x", {{.bytes = OK STREAM "\r\n" E1}}, 1, 200, false},
    {"a complete success clears a part", "/once/x", {{.bytes = OK REST}}, 1,
	200, true},
    {"a success after a failure clears a part", "/again/x",
	{{.bytes = "HTTP/1.1 500 X\r\n" REST}, {.bytes = OK REST}}, 2, 200,
	true},
    {"a complete stream of one event clears a part", "/fragile/x",
	{{.bytes = OK STREAM CHUNKED "\r\n" E1_CHUNK "0\r\n\r\n"}}, 1, 200,
	true},
    {"a stream that breaks off after two events clears a part", "/fragile/x",
	{{.bytes = OK STREAM "\r\n" E1 E2 "id: 3\nda"}}, 1, 200, true},
};

/* Sent by an upstream that leaves. */
#define LEAVING "Server-Leaving: 1\r\n"

/* Sends a request whose path and last part no other has. */
static void
call(struct fixture *f, const char *shared_parts, int number)
{
	g_autofree char *path = g_strdup_printf("/fragile/%d", number);
	g_autofree char *parts = g_strdup_printf(
	    "%s,%x:5", shared_parts, 0xe0 + number);

	f->parts = parts;
	f->done = false;
	g_byte_array_set_size(f->body, 0);
	fixture_call(f, path, FIXTURE_KEY);
	RUN_UNTIL(f, f->done);
	f->parts = NULL;
}

/*
 * After three upstreams have crashed while they began to answer requests with
 * one part, requests with that part are refused; others that share the key and
 * the first part are served.
 */
static void
test_unlike_requests(void)
{
	static const enum fake_platform_step steps[] = {FAKE_STEP_CRASH,
	    FAKE_STEP_CRASH, FAKE_STEP_CRASH, FAKE_STEP_STREAM};
	struct fixture f = {0};

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, G_N_ELEMENTS(steps));
	fixture_wait_for_routing_state(&f);
	for (int i = 0; i < CRASHES; i++)
		call(&f, "f1:40,bad:100", i);
	for (int i = 0; i < SETTLE_ROUNDS; i++)
		ev_run(f.loop, EVRUN_ONCE);
	fake_platform_restart_upstreams(f.fake_platform);
	call(&f, "f1:40,bad:100", CRASHES);
	g_assert_cmpint(f.status, ==, 503);
	g_assert_cmpuint(
	    fake_platform_request_count(f.fake_platform), ==, CRASHES);
	call(&f, "f1:40,600d:100", CRASHES + 1);
	g_assert_cmpint(f.status, ==, 200);
	g_assert_cmpuint(
	    fake_platform_request_count(f.fake_platform), ==, CRASHES + 1);
	fixture_tear_down(&f);
}

/*
 * A request that is the same each time is sent again after two upstreams have
 * crashed under it, if another one has answered it before.
 */
static void
test_repeated_sound(void)
{
	static const enum fake_platform_step steps[] = {
	    FAKE_STEP_OK, FAKE_STEP_STOP, FAKE_STEP_STOP, FAKE_STEP_OK};
	static const int statuses[] = {200, 502, 200};
	struct fixture f = {0};

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, G_N_ELEMENTS(steps));
	fixture_wait_for_routing_state(&f);
	for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
		f.done = false;
		fixture_call(&f, "/again/x", FIXTURE_KEY);
		RUN_UNTIL(&f, f.done);
		g_assert_cmpint(f.status, ==, statuses[i]);
		for (int j = 0; j < SETTLE_ROUNDS; j++)
			ev_run(f.loop, EVRUN_ONCE);
		fake_platform_restart_upstreams(f.fake_platform);
	}
	fixture_tear_down(&f);
}

/*
 * A request that an upstream has not answered yet is cancelled there once a
 * part of its prompt is refused, and its caller is told. A sound one goes on,
 * and so does one whose response has begun: it is too late for its upstream.
 */
static void
test_cancelled(void)
{
	static const enum fake_platform_step steps[] = {
	    FAKE_STEP_HANG, FAKE_STEP_BEGIN, FAKE_STEP_HANG};
	struct fixture f = {0};

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, G_N_ELEMENTS(steps));
	fixture_wait_for_routing_state(&f);
	f.parts = "f1:40,600d:100,e0:5";
	fixture_call(&f, "/fragile/sound", FIXTURE_KEY);
	RUN_UNTIL(&f, fake_platform_request_count(f.fake_platform) == 1);
	f.parts = "f1:40,bad:100,e1:5";
	fixture_call(&f, "/fragile/begun", FIXTURE_KEY);
	RUN_UNTIL(&f, f.status == 200);
	f.parts = "f1:40,bad:100,e2:5";
	fixture_call(&f, "/fragile/bad", FIXTURE_KEY);
	RUN_UNTIL(&f, fake_platform_request_count(f.fake_platform) == 3);
	for (uint64_t death = 1; death <= CRASHES; death++)
		crash_sync_report_death(
		    f.exchange_context.crash_sync, death, &crashing, &begun);
	RUN_UNTIL(&f, f.done);
	g_assert_cmpint(f.status, ==, 502);
	RUN_UNTIL(&f, fake_platform_request(f.fake_platform, 2)->closed_early);
	g_assert_false(fake_platform_request(f.fake_platform, 0)->closed_early);
	g_assert_false(fake_platform_request(f.fake_platform, 1)->closed_early);
	fixture_tear_down(&f);
}

/*
 * A minute after a part was refused one request with it is sent. If it
 * survives, the part is accepted again; if not, none is sent after it.
 */
static void
test_probe(gconstpointer data)
{
	const struct probe_case *c = &probe_cases[GPOINTER_TO_SIZE(data)];
	struct clock_manual clock;
	struct fixture f = {.clock = &clock.clock};

	clock_manual_init(&clock, MS_PER_S);
	fixture_set_up(&f);
	fake_platform_repeat_step(f.fake_platform, c->step);
	fixture_wait_for_routing_state(&f);
	/* Until it knows that there are no other gateways. */
	RUN_UNTIL(&f, registry_count(f.exchange_context.registry) == 1);
	clock_manual_advance(&clock, LOAD_SYNC_SETTLE_MS);
	for (uint64_t death = 1; death <= CRASHES; death++)
		crash_sync_report_death(
		    f.exchange_context.crash_sync, death, &crashing, &begun);
	clock_manual_advance(&clock, PART_QUARANTINE_PROBE_MS - 1);
	call(&f, "f1:40,bad:100", 0);
	g_assert_cmpint(f.status, ==, 503);
	g_assert_cmpstr(f.retry_after, ==, "0.001");
	g_assert_cmpuint(fake_platform_request_count(f.fake_platform), ==, 0);
	clock_manual_advance(&clock, 1);
	call(&f, "f1:40,bad:100", 1);
	g_assert_cmpuint(fake_platform_request_count(f.fake_platform), ==, 1);
	for (int i = 0; i < SETTLE_ROUNDS; i++)
		ev_run(f.loop, EVRUN_ONCE);
	clock_manual_advance(&clock, 2 * PART_QUARANTINE_PROBE_MS);
	call(&f, "f1:40,bad:100", 2);
	g_assert_cmpint(f.status, ==, c->then);
	g_assert_cmpuint(
	    fake_platform_request_count(f.fake_platform), ==, c->requests);
	fixture_tear_down(&f);
}

/*
 * A part of whose crashes one is missing until it is refused is refused by it,
 * unless an upstream has begun to answer a request with the part in between: a
 * complete success, or the first events.
 */
static void
test_answer(gconstpointer data)
{
	const struct answer_case *c = &answer_cases[GPOINTER_TO_SIZE(data)];
	struct fixture f = {.parts = "f1:40,bad:100,e0:5"};
	struct raw_server *server;
	struct crash_sync *sync;

	fixture_set_up(&f);
	sync = f.exchange_context.crash_sync;
	server = raw_server_new(f.loop, c->responses, SENDS_MAX);
	for (size_t i = 0; i < RAW_SERVER_PORTS; i++)
		fake_platform_set_upstream_port(
		    f.fake_platform, i, raw_server_port(server, i));
	fixture_wait_for_routing_state(&f);
	for (uint64_t death = 1; death < CRASHES; death++)
		crash_sync_report_death(sync, death, &crashing, &begun);
	fixture_call(&f, c->path, FIXTURE_KEY);
	RUN_UNTIL(&f, f.done);
	g_assert_cmpint(f.status, ==, c->status);
	g_assert_cmpuint(raw_server_requests(server), ==, c->requests);
	crash_sync_report_death(sync, CRASHES, &crashing, &begun);
	g_assert_cmpint(crash_sync_is_refused(sync, &crashing), ==, !c->clears);
	raw_server_free(server);
	fixture_tear_down(&f);
}

/*
 * Upstreams that have said that they leave, and end during the responses to
 * requests with a part, have not crashed.
 */
static void
test_leaving(void)
{
	static const struct raw_response responses[CRASHES] = {
	    {.bytes = OK LEAVING STREAM "\r\n" E1, .end = RAW_END_STOP},
	    {.bytes = OK LEAVING STREAM "\r\n" E1, .end = RAW_END_STOP},
	    {.bytes = OK LEAVING STREAM "\r\n" E1, .end = RAW_END_STOP}};
	struct fixture f = {0};
	struct raw_server *server = raw_gateway_set_up(&f, responses, CRASHES);

	for (int i = 0; i < CRASHES; i++) {
		call(&f, "f1:40,bad:100", i);
		g_assert_cmpint(f.status, ==, 200);
		for (int j = 0; j < SETTLE_ROUNDS; j++)
			ev_run(f.loop, EVRUN_ONCE);
	}
	g_assert_cmpuint(raw_server_requests(server), ==, CRASHES);
	g_assert_false(
	    crash_sync_is_refused(f.exchange_context.crash_sync, &crashing));
	raw_server_free(server);
	fixture_tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/crash parts/unlike requests with a part that crashes "
			"upstreams are refused",
	    test_unlike_requests);
	g_test_add_func("/crash parts/a request that was answered before "
			"crashes is sent again",
	    test_repeated_sound);
	g_test_add_func("/crash parts/a request at an upstream is cancelled "
			"once a part of it is refused",
	    test_cancelled);
	g_test_add_func("/crash parts/upstreams that leave do not crash under "
			"their requests",
	    test_leaving);
	ADD_CASES(answer_cases, "/crash parts", test_answer);
	ADD_CASES(probe_cases, "/crash parts", test_probe);
	return g_test_run();
}
