/*
 * Requests through a whole gateway, between a caller and stand-ins of the
 * platform. Guards against requests sent too often or to the wrong upstream,
 * and against wrong responses to the caller.
 */
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "cases.h"
#include "gateway_fixture.h"

#define SETTLE_ROUNDS 20
#define PREFILL_US    3000000
#define KEY	      FIXTURE_KEY

static const struct gateway_case {
	const char *name;
	const char *path;
	const char *key;
	enum fake_platform_step steps[FAKE_PLATFORM_STEPS_MAX];
	size_t arrivals;
	int status; /* 0 where the connection ends early */
	const char *body; /* NULL for a body of the gateway */
	bool retry_after; /* the response has Retry-After */
} cases[] = {
    {"a response is passed on unchanged", "/once/x", KEY, {FAKE_STEP_OK}, 1,
	200, "whole", false},
    {"a failure of the upstream is passed on", "/once/x", KEY,
	{FAKE_STEP_ERROR}, 1, 500, "failed", false},
    {"a request that did not run goes to another upstream", "/once/x", KEY,
	{FAKE_STEP_NOT_RUN, FAKE_STEP_OK}, 2, 200, "whole", false},
    {"a request that ran nowhere is rejected with Retry-After", "/once/x", KEY,
	{FAKE_STEP_NOT_RUN, FAKE_STEP_WRONG_INSTANCE}, 2, 503, NULL, true},
    {"a non-idempotent request that may have run is not retried", "/once/x",
	KEY, {FAKE_STEP_DISCONNECT}, 1, 502, NULL, false},
    {"an idempotent request that may have run is retried", "/again/x", KEY,
	{FAKE_STEP_DISCONNECT, FAKE_STEP_OK}, 2, 200, "whole", false},
    {"an idempotent request is retried after a failure", "/again/x", KEY,
	{FAKE_STEP_ERROR, FAKE_STEP_OK}, 2, 200, "whole", false},
    {"the last failure is passed on", "/again/x", KEY,
	{FAKE_STEP_ERROR, FAKE_STEP_ERROR}, 2, 500, "failed", false},
    {"a request gets no more attempts than its route allows", "/single/x", KEY,
	{FAKE_STEP_DISCONNECT}, 1, 502, NULL, false},
    {"a response of another process at the address is not used", "/again/x",
	KEY, {FAKE_STEP_WRONG_INSTANCE, FAKE_STEP_OK}, 2, 200, "whole", false},
    {"a response without signature is not passed on", "/once/x", KEY,
	{FAKE_STEP_UNSIGNED}, 1, 502, NULL, false},
    {"a response to another request is not passed on", "/once/x", KEY,
	{FAKE_STEP_WRONG_ATTEMPT}, 1, 502, NULL, false},
    {"an idempotent request is retried after a response to another request",
	"/again/x", KEY, {FAKE_STEP_WRONG_ATTEMPT, FAKE_STEP_OK}, 2, 200,
	"whole", false},
    {"an unmarked 503 does not mean that the request did not run", "/once/x",
	KEY, {FAKE_STEP_UNMARKED_503}, 1, 502, "busy", false},
    {"a request to a silent upstream is retried at another", "/again/x", KEY,
	{FAKE_STEP_HANG, FAKE_STEP_OK}, 2, 200, "whole", false},
    {"a request without a response in time fails", "/quick/x", KEY,
	{FAKE_STEP_HANG}, 1, 504, NULL, false},
    {"a stream is passed on", "/stream/x", KEY, {FAKE_STEP_STREAM}, 1, 200,
	"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n", false},
    {"a broken stream is resumed at another upstream", "/stream/x", KEY,
	{FAKE_STEP_CUT_STREAM, FAKE_STEP_STREAM}, 2, 200,
	"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n", false},
    {"a broken stream is resumed although the next upstream rejects it",
	"/stream/x", KEY,
	{FAKE_STEP_CUT_STREAM, FAKE_STEP_NOT_RUN, FAKE_STEP_STREAM}, 3, 200,
	"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n", false},
    {"a broken stream that can't be resumed ends early", "/fragile/x", KEY,
	{FAKE_STEP_CUT_STREAM}, 1, 0, NULL, false},
    {"a request without a route is refused", "/none/x", KEY, {0}, 0, 404, NULL,
	false},
    {"a request without a key is refused", "/once/x", NULL, {0}, 0, 401, NULL,
	false},
    {"a request with an unknown key is refused", "/once/x", "Bearer k2", {0}, 0,
	401, NULL, false},
    {"a public route needs no key", "/open/x", NULL, {FAKE_STEP_OK}, 1, 200,
	"whole", false},
    {"a request without an upstream is rejected with Retry-After", "/empty/x",
	KEY, {0}, 0, 503, NULL, true},
};

/* Runs one case. */
static void
test_request(gconstpointer data)
{
	const struct gateway_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct fixture f = {0};
	g_autofree char *body = NULL;

	fixture_set_up(&f);
	fake_platform_set_steps(
	    f.fake_platform, c->steps, FAKE_PLATFORM_STEPS_MAX);
	fixture_wait_for_routing_state(&f);
	fixture_call(&f, c->path, c->key);
	RUN_UNTIL(&f, f.done);
	body = g_strndup((const char *)f.body->data, f.body->len);
	g_assert_cmpuint(
	    fake_platform_request_count(f.fake_platform), ==, c->arrivals);
	g_assert_cmpint(f.aborted, ==, c->status == 0);
	if (c->status != 0)
		g_assert_cmpint(f.status, ==, c->status);
	if (c->body != NULL)
		g_assert_cmpstr(body, ==, c->body);
	g_assert_cmpint(f.retry_after != NULL, ==, c->retry_after);
	fixture_tear_down(&f);
}

/*
 * An upstream gets the caller's target and body, end-to-end headers, and the
 * gateway's own headers in place of forged ones.
 */
static void
test_headers(void)
{
	static const enum fake_platform_step steps[] = {FAKE_STEP_OK};
	struct fixture f = {0};
	const struct fake_platform_request *arrival;
	g_autofree char *expected = NULL;

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, 1);
	fixture_wait_for_routing_state(&f);
	fixture_call(&f, "/once/a%20b?c=d", KEY);
	RUN_UNTIL(&f, f.done);
	arrival = fake_platform_request(f.fake_platform, 0);
	g_assert_cmpstr(arrival->target, ==, "/once/a%20b?c=d");
	g_assert_cmpstr(arrival->body, ==, "asked");
	g_assert_cmpstr(fake_platform_request_header(arrival, "Host"), ==, "h");
	g_assert_cmpstr(
	    fake_platform_request_header(arrival, "X-Own"), ==, "kept");
	g_assert_null(fake_platform_request_header(arrival, "X-Hop"));
	g_assert_null(fake_platform_request_header(arrival, "Authorization"));
	g_assert_null(
	    fake_platform_request_header(arrival, "Heatherturn-Helpers"));
	/* That of the route, not what the caller sent. */
	g_assert_cmpstr(fake_platform_request_header(
			    arrival, "Heatherturn-Request-Urgency"),
	    ==, "9");
	g_assert_cmpstr(
	    fake_platform_request_header(arrival, "Heatherturn-Tenant"), ==,
	    "o");
	g_assert_cmpstr(
	    fake_platform_request_header(arrival, "Heatherturn-Attempt-Id"), ==,
	    "r1");
	expected = g_strdup_printf("i-%zu", arrival->upstream);
	g_assert_cmpstr(fake_platform_request_header(
			    arrival, "Heatherturn-Expect-Instance"),
	    ==, expected);
	g_assert_nonnull(fake_platform_request_header(
	    arrival, "Heatherturn-Deadline-Remaining-Ms"));
	fixture_tear_down(&f);
}

/*
 * When a caller disconnects, its request to the upstream is cancelled at once.
 */
static void
test_caller_disconnects(void)
{
	static const enum fake_platform_step steps[] = {FAKE_STEP_HANG};
	struct fixture f = {0};
	struct http_call *request;

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, 1);
	fixture_wait_for_routing_state(&f);
	request = fixture_call(&f, "/again/x", KEY);
	RUN_UNTIL(&f, fake_platform_request_count(f.fake_platform) == 1);
	http_call_cancel(request);
	RUN_UNTIL(&f, fake_platform_request(f.fake_platform, 0)->closed_early);
	g_assert_cmpuint(fake_platform_request_count(f.fake_platform), ==, 1);
	fixture_tear_down(&f);
}

/* A body above the limit in force gets 413 and is not sent to an upstream. */
static void
test_long_body(void)
{
	static const enum fake_platform_step steps[] = {FAKE_STEP_OK};
	struct fixture f = {
	    .config = "{\"Version\":3,\"Routes\":[{\"Name\":\"again\","
		      "\"Host\":\"h\",\"PathPrefix\":\"/again/\",\"Kind\":"
		      "\"idempotent\",\"Attempts\":2,\"Service\":\"s\"}],"
		      "\"Services\":[{\"Name\":\"s\"}],"
		      "\"Limits\":{\"BodyBytes\":4}}"};

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, 1);
	fixture_wait_for_routing_state(&f);
	fixture_call(&f, "/again/x", KEY);
	RUN_UNTIL(&f, f.done);
	g_assert_cmpint(f.status, ==, 413);
	g_assert_cmpuint(fake_platform_request_count(f.fake_platform), ==, 0);
	fixture_tear_down(&f);
}

/* A request during which two upstreams died is not sent to a third. */
static void
test_quarantine(void)
{
	static const enum fake_platform_step steps[] = {
	    FAKE_STEP_STOP, FAKE_STEP_STOP, FAKE_STEP_OK};
	struct fixture f = {0};

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, G_N_ELEMENTS(steps));
	fixture_wait_for_routing_state(&f);
	fixture_call(&f, "/again/x", KEY);
	RUN_UNTIL(&f, f.done);
	g_assert_cmpint(f.status, ==, 502);
	/* The deaths are recorded shortly after the response. */
	for (int i = 0; i < SETTLE_ROUNDS; i++)
		ev_run(f.loop, EVRUN_ONCE);
	f.done = false;
	fixture_call(&f, "/again/x", KEY);
	RUN_UNTIL(&f, f.done);
	g_assert_cmpint(f.status, ==, 503);
	g_assert_cmpuint(fake_platform_request_count(f.fake_platform), ==, 2);
	f.done = false;
	fixture_call(&f, "/again/y", KEY);
	RUN_UNTIL(&f, f.done);
	g_assert_cmpint(f.status, ==, 200);
	fixture_tear_down(&f);
}

/* Sets the prefill that peers have sent to each upstream, in microseconds. */
static void
set_peer_prefill(struct fixture *f, uint64_t prefill_us)
{
	struct fleet *fleet = routing_state_fleet(
	    f->exchange_context.routing_state);
	struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry)
		upstream->peers.prefill_us = prefill_us;
}

/* Clears the peers' prefill. */
static void
clear_peer_prefill(struct ev_loop *loop, ev_timer *timer, int events)
{
	set_peer_prefill(timer->data, 0);
}

static const struct wait_case {
	const char *name;
	const char *path;
	uint32_t streams; /* at each upstream, that more prefill would delay */
	double free_after_s;
	int status;
	bool retry_after;
} waits[] = {
    {"a prompt in a burst waits until engines can prefill it", "/prompt/x", 2,
	0.1, 200, false},
    {"a prompt that would delay others for too long is rejected with "
     "Retry-After",
	"/prompt/x", 2, 2.0, 503, true},
    {"a prompt that delays nobody is served late while its caller waits",
	"/prompt/x", 0, 2.0, 200, false},
    {"a prompt whose caller gives up before that is rejected at once",
	"/hasty/x", 0, 2.0, 503, false},
};

/* Sets the streams without a gap target that peers report at each upstream. */
static void
set_peer_streams(struct fixture *f, uint32_t streams)
{
	struct fleet *fleet = routing_state_fleet(
	    f->exchange_context.routing_state);
	struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry)
		upstream->peers.streams[STREAM_LONG] = streams;
}

/*
 * Runs one case: a prompt with one second to its first token arrives when all
 * engines have three seconds of prefill left.
 */
static void
test_wait(gconstpointer data)
{
	const struct wait_case *c = &waits[GPOINTER_TO_SIZE(data)];
	static const enum fake_platform_step steps[] = {FAKE_STEP_STREAM};
	struct fixture f = {.tokens = "20000, 10"};
	struct timespec started;
	ev_timer timer;

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, 1);
	fixture_wait_for_routing_state(&f);
	set_peer_prefill(&f, PREFILL_US);
	set_peer_streams(&f, c->streams);
	ev_timer_init(&timer, clear_peer_prefill, c->free_after_s, 0.0);
	timer.data = &f;
	ev_timer_start(f.loop, &timer);
	started = clock_monotonic(clock_system());
	fixture_call(&f, c->path, KEY);
	RUN_UNTIL(&f, f.done);
	ev_timer_stop(f.loop, &timer);
	g_assert_cmpint(f.status, ==, c->status);
	g_assert_cmpint(f.retry_after != NULL, ==, c->retry_after);
	g_assert_cmpint(
	    time_diff_ms(clock_monotonic(clock_system()), started), <, 1000);
	fixture_tear_down(&f);
}

/*
 * Returns the prefill in microseconds that this gateway counts as its own at
 * all upstreams.
 */
static uint64_t
own_prefill_us(const struct fixture *f)
{
	const struct fleet *fleet = routing_state_fleet(
	    f->exchange_context.routing_state);
	const struct fleet_upstream *upstream;
	uint64_t total = 0;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry)
		total += upstream->own.prefill_us;
	return total;
}

/*
 * A prefill part stops counting after its predicted time, although the prompt's
 * first token has not come: its engine must not be taken for busy because the
 * prompt waits for others.
 */
static void
test_prefill_end(void)
{
	static const enum fake_platform_step steps[] = {FAKE_STEP_HANG};
	struct fixture f = {.tokens = "20000, 10"};

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, 1);
	fixture_wait_for_routing_state(&f);
	fixture_call(&f, "/prompt/x", KEY);
	RUN_UNTIL(&f, fake_platform_request_count(f.fake_platform) == 1);
	g_assert_cmpuint(own_prefill_us(&f), >, 0);
	RUN_UNTIL(&f, own_prefill_us(&f) == 0);
	g_assert_false(f.done);
	fixture_tear_down(&f);
}

/*
 * The last attempt of a broken stream goes to an upstream that is not cold, as
 * there is no further one if it is rejected.
 */
static void
test_last_attempt(void)
{
	static const enum fake_platform_step steps[] = {
	    FAKE_STEP_CUT_STREAM, FAKE_STEP_STREAM};
	struct fixture f = {0};
	struct timespec later;
	struct fleet *fleet;
	struct fleet_upstream *upstream;
	const char *first;
	const char *second;

	fixture_set_up(&f);
	fake_platform_set_steps(f.fake_platform, steps, G_N_ELEMENTS(steps));
	fixture_wait_for_routing_state(&f);
	fleet = routing_state_fleet(f.exchange_context.routing_state);
	later = time_add_ms(clock_monotonic(clock_system()), 60000);
	/* The least busy upstreams, which get the first attempt, are cold. */
	TAILQ_FOREACH (upstream, &fleet->upstreams, entry)
		upstream->cold_until = later;
	upstream = fleet_find(fleet, "i-0");
	upstream->cold_until = (struct timespec){0};
	upstream->peers.running = 2;
	fixture_call(&f, "/last/x", KEY);
	RUN_UNTIL(&f, f.done);
	g_assert_cmpuint(fake_platform_request_count(f.fake_platform), ==, 2);
	first = fake_platform_request_header(
	    fake_platform_request(f.fake_platform, 0),
	    "Heatherturn-Expect-Instance");
	second = fake_platform_request_header(
	    fake_platform_request(f.fake_platform, 1),
	    "Heatherturn-Expect-Instance");
	g_assert_cmpstr(first, !=, "i-0");
	g_assert_cmpstr(second, ==, "i-0");
	fixture_tear_down(&f);
}

/* A peer of the gateway that sends fault reports. */
struct peer {
	struct link_identity identity;
	struct mesh *mesh;
};

/* Starts a peer and sends a message of it to the gateway. */
static void
start_peer(struct fixture *f, struct peer *peer, const char *name,
    struct message *message)
{
	const struct mesh_settings settings = {
	    .identity = &peer->identity, .listen = "127.0.0.1:0"};
	g_autofree char *address = g_strdup_printf(
	    "127.0.0.1:%d", mesh_port(f->mesh));

	peer->identity = (struct link_identity){.process = name,
	    .role = ROLE_GATEWAY,
	    .failure_domain = "z",
	    .address = "127.0.0.1:1",
	    .cluster_key = "secret"};
	peer->mesh = mesh_new(f->loop, clock_system(), &settings, NULL);
	g_assert_nonnull(peer->mesh);
	mesh_send(peer->mesh, address, message);
}

/* Starts a peer that reports an upstream as faulty to the gateway. */
static void
report_fault(
    struct fixture *f, struct peer *peer, const char *name, char *upstream)
{
	struct message message = {
	    .kind = MESSAGE_LOAD, .load = {.faulty = {&upstream, 1}}};

	start_peer(f, peer, name, &message);
}

/*
 * A prompt that a peer reports counts at once: its stream at the first
 * upstream, its prefill at all. The peer's next load replaces it.
 */
static void
test_peer_prompt(void)
{
	struct fixture f = {0};
	char *ids[] = {"i-0", "i-1"};
	struct message message = {.kind = MESSAGE_PREFILL,
	    .prefill = {.upstreams = {ids, 2},
		.part_us = 5000,
		.stream = STREAM_SHORT + 1,
		.context_tokens = 700}};
	struct message load = {.kind = MESSAGE_LOAD};
	struct fleet_upstream *first;
	struct fleet_upstream *second;
	struct peer peer;
	g_autofree char *address = NULL;

	fixture_set_up(&f);
	fixture_wait_for_routing_state(&f);
	first = fleet_find(
	    routing_state_fleet(f.exchange_context.routing_state), "i-0");
	second = fleet_find(
	    routing_state_fleet(f.exchange_context.routing_state), "i-1");
	start_peer(&f, &peer, "p1", &message);
	RUN_UNTIL(&f, second->peers.prefill_us == 5000);
	g_assert_cmpuint(first->peers.prefill_us, ==, 5000);
	g_assert_cmpuint(first->peers.running, ==, 1);
	g_assert_cmpuint(first->peers.streams[STREAM_SHORT], ==, 1);
	g_assert_cmpuint(first->peers.context_tokens, ==, 700);
	g_assert_cmpuint(second->peers.running, ==, 0);
	address = g_strdup_printf("127.0.0.1:%d", mesh_port(f.mesh));
	mesh_send(peer.mesh, address, &load);
	RUN_UNTIL(&f, first->peers.running == 0);
	g_assert_cmpuint(first->peers.context_tokens, ==, 0);
	mesh_free(peer.mesh);
	fixture_tear_down(&f);
}

/*
 * A message that a relay passes on counts for the gateway that sent it, also
 * beside the relay's own.
 */
static void
test_relayed_prompt(void)
{
	struct fixture f = {0};
	char *id = "i-0";
	struct message relayed = {.kind = MESSAGE_PREFILL,
	    .prefill = {.upstreams = {&id, 1},
		.stream = STREAM_SHORT + 1,
		.origin = "far"}};
	struct message own = {.kind = MESSAGE_LOAD};
	struct message far_end = {
	    .kind = MESSAGE_LOAD, .load = {.origin = "far"}};
	struct fleet_upstream *upstream;
	struct peer peer;
	g_autofree char *address = NULL;

	fixture_set_up(&f);
	fixture_wait_for_routing_state(&f);
	upstream = fleet_find(
	    routing_state_fleet(f.exchange_context.routing_state), id);
	start_peer(&f, &peer, "p1", &relayed);
	RUN_UNTIL(&f, upstream->peers.running == 1);
	address = g_strdup_printf("127.0.0.1:%d", mesh_port(f.mesh));
	mesh_send(peer.mesh, address, &own);
	mesh_send(peer.mesh, address, &relayed);
	RUN_UNTIL(&f, upstream->peers.running == 2);
	mesh_send(peer.mesh, address, &far_end);
	RUN_UNTIL(&f, upstream->peers.running == 0);
	mesh_free(peer.mesh);
	fixture_tear_down(&f);
}

/* An upstream that has told a peer that it leaves gets no requests. */
static void
test_peer_leaving(void)
{
	struct fixture f = {0};
	char *id = "i-0";
	uint64_t other_start = 1;
	uint64_t start = 0;
	struct message message = {.kind = MESSAGE_LOAD,
	    .load = {.leaving = {&id, 1}, .leaving_starts = {&other_start, 1}}};
	struct fleet *fleet;
	struct peer peers[2];

	fixture_set_up(&f);
	fixture_wait_for_routing_state(&f);
	fleet = routing_state_fleet(f.exchange_context.routing_state);
	start_peer(&f, &peers[0], "p1", &message);
	for (int i = 0; i < SETTLE_ROUNDS; i++)
		ev_run(f.loop, EVRUN_ONCE);
	g_assert_true(fleet_upstream_is_eligible(
	    fleet, fleet_find(fleet, id), clock_monotonic(clock_system())));
	message.load.leaving_starts.items = &start;
	start_peer(&f, &peers[1], "p2", &message);
	RUN_UNTIL(&f,
	    !fleet_upstream_is_eligible(
		fleet, fleet_find(fleet, id), clock_monotonic(clock_system())));
	mesh_free(peers[0].mesh);
	mesh_free(peers[1].mesh);
	fixture_tear_down(&f);
}

/*
 * An upstream is avoided while two peers report it as faulty, not for one
 * report alone.
 */
static void
test_fault_reports(void)
{
	struct fixture f = {0};
	struct fleet_upstream *upstream;
	struct peer peers[2];
	struct timespec now;

	fixture_set_up(&f);
	fixture_wait_for_routing_state(&f);
	upstream = TAILQ_FIRST(
	    &routing_state_fleet(f.exchange_context.routing_state)->upstreams);
	report_fault(&f, &peers[0], "p1", upstream->id);
	RUN_UNTIL(&f, upstream->peer_fault_reports == 1);
	now = clock_monotonic(clock_system());
	g_assert_false(fleet_upstream_is_avoided(upstream, now));
	report_fault(&f, &peers[1], "p2", upstream->id);
	RUN_UNTIL(&f, upstream->peer_fault_reports == 2);
	g_assert_true(fleet_upstream_is_avoided(upstream, now));
	/* Reports that are not repeated expire. */
	RUN_UNTIL(&f, upstream->peer_fault_reports == 0);
	mesh_free(peers[0].mesh);
	mesh_free(peers[1].mesh);
	fixture_tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(cases, "/gateway/request", test_request);
	ADD_CASES(waits, "/gateway/wait", test_wait);
	g_test_add_func("/gateway/the last attempt of a broken stream goes to "
			"a warm upstream",
	    test_last_attempt);
	g_test_add_func("/gateway/an upstream is avoided while two peers "
			"report it as faulty",
	    test_fault_reports);
	g_test_add_func(
	    "/gateway/a peer's prompt counts at once", test_peer_prompt);
	g_test_add_func("/gateway/a prompt passed on by a relay counts for "
			"its sender",
	    test_relayed_prompt);
	g_test_add_func("/gateway/an upstream that has told a peer that it "
			"leaves gets no requests",
	    test_peer_leaving);
	g_test_add_func(
	    "/gateway/a prefill part stops counting after its predicted time",
	    test_prefill_end);
	g_test_add_func("/gateway/headers are passed on, but the gateway's own "
			"are never the caller's",
	    test_headers);
	g_test_add_func(
	    "/gateway/a request is cancelled when its caller disconnects",
	    test_caller_disconnects);
	g_test_add_func(
	    "/gateway/a body above the limit is rejected", test_long_body);
	g_test_add_func("/gateway/a request during which two upstreams died is "
			"not sent to a third",
	    test_quarantine);
	return g_test_run();
}
