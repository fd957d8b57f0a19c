/*
 * A request's whole way through the gateway, between a caller and stand-ins of
 * the platform: what is sent where and how often, and what the caller is told.
 */
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "base/http_client.h"
#include "cases.h"
#include "gateway/exchange.h"
#include "platform_standin.h"

#define GUARD_S	       20.0
#define BODY_MAX_BYTES 65536
#define SETTLE_ROUNDS  20
#define READING_US     3000000
#define KEY	       "Bearer k1"

#define CONFIG                                                               \
	"{\"Version\":3,\"Routes\":["                                        \
	"{\"Name\":\"once\",\"Host\":\"h\",\"PathPrefix\":\"/once/\","       \
	"\"Kind\":\"non_idempotent\",\"TimeoutMs\":5000,\"Attempts\":2,"     \
	"\"Service\":\"s\"},"                                                \
	"{\"Name\":\"again\",\"Host\":\"h\",\"PathPrefix\":\"/again/\","     \
	"\"Kind\":\"idempotent\",\"TimeoutMs\":5000,\"Attempts\":2,"         \
	"\"Service\":\"s\"},"                                                \
	"{\"Name\":\"single\",\"Host\":\"h\",\"PathPrefix\":\"/single/\","   \
	"\"Kind\":\"idempotent\",\"TimeoutMs\":5000,\"Attempts\":1,"         \
	"\"Service\":\"s\"},"                                                \
	"{\"Name\":\"quick\",\"Host\":\"h\",\"PathPrefix\":\"/quick/\","     \
	"\"Kind\":\"idempotent\",\"TimeoutMs\":100,\"Attempts\":2,"          \
	"\"Service\":\"s\"},"                                                \
	"{\"Name\":\"stream\",\"Host\":\"h\",\"PathPrefix\":\"/stream/\","   \
	"\"Kind\":\"stream\",\"TimeoutMs\":5000,\"Attempts\":3,"             \
	"\"CanResume\":true,\"Service\":\"s\"},"                             \
	"{\"Name\":\"fragile\",\"Host\":\"h\",\"PathPrefix\":\"/fragile/\"," \
	"\"Kind\":\"stream\",\"TimeoutMs\":5000,\"Attempts\":2,"             \
	"\"Service\":\"s\"},"                                                \
	"{\"Name\":\"open\",\"Host\":\"h\",\"PathPrefix\":\"/open/\","       \
	"\"Kind\":\"idempotent\",\"Public\":true,\"Service\":\"s\"},"        \
	"{\"Name\":\"empty\",\"Host\":\"h\",\"PathPrefix\":\"/empty/\","     \
	"\"Kind\":\"idempotent\",\"Service\":\"t\"},"                        \
	"{\"Name\":\"prompt\",\"Host\":\"h\",\"PathPrefix\":\"/prompt/\","   \
	"\"Kind\":\"stream\",\"TimeoutMs\":5000,\"LatencyTargetMs\":1000,"   \
	"\"GapTargetMs\":1000,\"Attempts\":2,\"Service\":\"s\"},"            \
	"{\"Name\":\"last\",\"Host\":\"h\",\"PathPrefix\":\"/last/\","       \
	"\"Kind\":\"stream\",\"TimeoutMs\":5000,\"Attempts\":2,"             \
	"\"CanResume\":true,\"Service\":\"s\"},"                             \
	"{\"Name\":\"hasty\",\"Host\":\"h\",\"PathPrefix\":\"/hasty/\","     \
	"\"Kind\":\"stream\",\"TimeoutMs\":100,\"LatencyTargetMs\":1000,"    \
	"\"GapTargetMs\":1000,\"Attempts\":2,\"Service\":\"s\"}],"           \
	"\"Services\":[{\"Name\":\"s\",\"Engine\":{\"Slots\":16,"            \
	"\"KvTokens\":315000,\"read_per_s\":177000,\"pairs_per_m\":0.184}}," \
	"{\"Name\":\"t\"}],"                                                 \
	"\"Limits\":{\"BodyBytes\":1000},"                                   \
	"\"Tenants\":[{\"Name\":\"o\",\"Keys\":[\"k1\"]}]}"

static const struct gateway_case {
	const char *name;
	const char *path;
	const char *key;
	enum standin_step steps[STANDIN_STEPS];
	size_t arrivals;
	int status; /* 0 where the connection is cut */
	const char *body; /* NULL for one of our own */
	bool come_back; /* the answer says when */
} cases[] = {
    {"an answer is passed on unchanged", "/once/x", KEY, {STANDIN_ANSWER}, 1,
	200, "whole", false},
    {"a failure of the upstream is passed on", "/once/x", KEY, {STANDIN_FAIL},
	1, 500, "failed", false},
    {"what did not run goes elsewhere", "/once/x", KEY,
	{STANDIN_FULL, STANDIN_ANSWER}, 2, 200, "whole", false},
    {"what ran nowhere is refused with a time", "/once/x", KEY,
	{STANDIN_FULL, STANDIN_MOVED}, 2, 503, NULL, true},
    {"what may have run once is not sent again", "/once/x", KEY,
	{STANDIN_BREAK}, 1, 502, NULL, false},
    {"what may run twice is", "/again/x", KEY, {STANDIN_BREAK, STANDIN_ANSWER},
	2, 200, "whole", false},
    {"a failure may be another's success", "/again/x", KEY,
	{STANDIN_FAIL, STANDIN_ANSWER}, 2, 200, "whole", false},
    {"the last failure is passed on", "/again/x", KEY,
	{STANDIN_FAIL, STANDIN_FAIL}, 2, 500, "failed", false},
    {"a route's attempts are kept to", "/single/x", KEY, {STANDIN_BREAK}, 1,
	502, NULL, false},
    {"an address that moved is no answer", "/again/x", KEY,
	{STANDIN_MOVED, STANDIN_ANSWER}, 2, 200, "whole", false},
    {"a success without signature is no answer", "/once/x", KEY,
	{STANDIN_UNSEALED}, 1, 502, NULL, false},
    {"the answer to another request is none", "/once/x", KEY, {STANDIN_FOREIGN},
	1, 502, NULL, false},
    {"it may be sent again where that is allowed", "/again/x", KEY,
	{STANDIN_FOREIGN, STANDIN_ANSWER}, 2, 200, "whole", false},
    {"a 503 that does not say so is no promise", "/once/x", KEY,
	{STANDIN_UNMARKED}, 1, 502, "busy", false},
    {"a silent upstream is given up for another", "/again/x", KEY,
	{STANDIN_HANG, STANDIN_ANSWER}, 2, 200, "whole", false},
    {"no answer in time", "/quick/x", KEY, {STANDIN_HANG}, 1, 504, NULL, false},
    {"a stream is passed on", "/stream/x", KEY, {STANDIN_EVENTS}, 1, 200,
	"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n", false},
    {"a broken stream goes on elsewhere", "/stream/x", KEY,
	{STANDIN_CUT, STANDIN_EVENTS}, 2, 200,
	"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n", false},
    {"and on where the next turns it away", "/stream/x", KEY,
	{STANDIN_CUT, STANDIN_FULL, STANDIN_EVENTS}, 3, 200,
	"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\n", false},
    {"one that can't be resumed is cut", "/fragile/x", KEY, {STANDIN_CUT}, 1, 0,
	NULL, false},
    {"no route", "/none/x", KEY, {0}, 0, 404, NULL, false},
    {"no key", "/once/x", NULL, {0}, 0, 401, NULL, false},
    {"an unknown key", "/once/x", "Bearer k2", {0}, 0, 401, NULL, false},
    {"a public route needs none", "/open/x", NULL, {STANDIN_ANSWER}, 1, 200,
	"whole", false},
    {"no upstream", "/empty/x", KEY, {0}, 0, 503, NULL, true},
};

struct fixture {
	const struct gateway_case *c;
	struct ev_loop *loop;
	ev_timer guard;
	struct standin *standin;
	struct http_client *http;
	struct mesh *mesh;
	struct link_identity identity;
	struct documents *documents;
	struct object_store *store;
	struct exchange_context exchange_context;
	struct httpd *callers;
	GByteArray *body; /* that the caller got */
	int status;
	bool done;
	bool cut;
	char *come_back;
	const char *tokens; /* of the caller's prompt; NULL for none */
};

/* The gateway has a caller's request. */
static void
take_request(void *data, struct httpd_request *request)
{
	exchange_start(&((struct fixture *)data)->exchange_context, request);
}

static const struct httpd_ops caller_ops = {
    .request = take_request,
    .closed = exchange_on_closed,
    .drained = exchange_on_drained,
};

/* The test has hung. */
static void
guard_fired(struct ev_loop *loop, ev_timer *timer, int events)
{
	g_error("the case did not end");
}

/* Runs the loop until a condition holds. */
#define RUN_UNTIL(fixture, condition)                        \
	do {                                                 \
		while (!(condition))                         \
			ev_run((fixture)->loop, EVRUN_ONCE); \
	} while (0)

/* Starts the stand-ins and a gateway between them. */
static void
set_up(struct fixture *f)
{
	const struct httpd_settings settings = {
	    .address = "127.0.0.1:0",
	    .body_max_bytes = BODY_MAX_BYTES,
	    .bodies_max_bytes = BODY_MAX_BYTES,
	};
	const struct mesh_settings mesh = {
	    .identity = &f->identity, .listen = "127.0.0.1:0"};

	f->loop = ev_loop_new(EVFLAG_AUTO);
	ev_timer_init(&f->guard, guard_fired, GUARD_S, 0.0);
	ev_timer_start(f->loop, &f->guard);
	f->body = g_byte_array_new();
	f->identity = (struct link_identity){.process = "g",
	    .role = ROLE_GATEWAY,
	    .failure_domain = "z",
	    .address = "127.0.0.1:1",
	    .cluster_key = "secret"};
	f->standin = standin_new(f->loop);
	standin_set_config(f->standin, CONFIG);
	f->http = http_client_new(f->loop, NULL);
	f->mesh = mesh_new(f->loop, clock_system(), &mesh, NULL);
	f->documents = documents_new(
	    f->loop, clock_system(), f->mesh, &f->identity);
	f->store = object_store_new(f->http, standin_store(f->standin));
	f->exchange_context = (struct exchange_context){
	    .loop = f->loop,
	    .clock = clock_system(),
	    .http = f->http,
	    .mesh = f->mesh,
	    .random = g_rand_new_with_seed(7),
	    .retry = {.ratio = 0.2, .slack = 100, .window_ms = 10000},
	    .cold_ratio = 1.0,
	    .hold_ms = 3000,
	};
	f->exchange_context.routing_state = routing_state_new(
	    f->loop, clock_system(), f->store, f->documents);
	f->exchange_context.registry = registry_new(
	    f->loop, f->store, f->mesh, "g", "127.0.0.1:1");
	f->exchange_context.load_sync = load_sync_new(f->loop, clock_system(),
	    f->mesh, "g", f->exchange_context.routing_state);
	exchange_context_init(&f->exchange_context);
	f->callers = httpd_new(f->loop, &settings, &caller_ops, f, NULL);
	g_assert_nonnull(f->callers);
}

/* Takes all down. */
static void
tear_down(struct fixture *f)
{
	httpd_free(f->callers);
	exchange_context_clear(&f->exchange_context);
	load_sync_free(f->exchange_context.load_sync);
	registry_free(f->exchange_context.registry);
	routing_state_free(f->exchange_context.routing_state);
	object_store_free(f->store);
	documents_free(f->documents);
	mesh_free(f->mesh);
	http_client_free(f->http);
	standin_free(f->standin);
	g_rand_free(f->exchange_context.random);
	ev_timer_stop(f->loop, &f->guard);
	ev_loop_destroy(f->loop);
	g_byte_array_unref(f->body);
	g_free(f->come_back);
}

/* The caller has the answer's head. */
static bool
take_head(void *data, struct http_call *call, int status)
{
	struct fixture *f = data;

	f->status = status;
	g_free(f->come_back);
	f->come_back = g_strdup(http_call_header(call, "Retry-After"));
	return true;
}

/* The caller has a part of the body. */
static bool
take_chunk(void *data, const uint8_t *bytes, size_t length)
{
	g_byte_array_append(
	    ((struct fixture *)data)->body, bytes, (guint)length);
	return true;
}

/* The caller's call is over. */
static void
take_done(void *data, struct http_call *call, const struct http_result *result)
{
	struct fixture *f = data;

	f->done = true;
	f->cut = result->error != NULL;
}

/* Sends a caller's request, with headers that it must not set. */
static struct http_call *
call(struct fixture *f, const char *path, const char *key)
{
	static const struct http_call_ops ops = {
	    .headers = take_head, .chunk = take_chunk, .done = take_done};
	const struct http_header headers[] = {
	    {"Host", "h"},
	    {"Heatherturn-Attempt-Id", "r1"},
	    {"Heatherturn-Tenant", "forged"},
	    {"Heatherturn-Helpers", "127.0.0.1:9"},
	    {"Heatherturn-Expect-Instance", "forged"},
	    {"X-Own", "kept"},
	    {"Connection", "X-Hop"},
	    {"X-Hop", "dropped"},
	    {f->tokens != NULL ? "Heatherturn-Token-Count" : "X-None",
		f->tokens != NULL ? f->tokens : "0"},
	    {"Authorization", key},
	};
	g_autofree char *url = g_strdup_printf(
	    "http://127.0.0.1:%d%s", httpd_port(f->callers), path);
	const struct http_call_request request = {
	    .method = "POST",
	    .url = url,
	    .headers = headers,
	    .header_count = G_N_ELEMENTS(headers) - (key == NULL ? 1 : 0),
	    .body = "asked",
	    .body_length = 5,
	    .dedicated_connection = true,
	};

	return http_client_start(f->http, &request, &ops, f);
}

/* Waits until the gateway knows all that it routes by. */
static void
learn(struct fixture *f)
{
	RUN_UNTIL(
	    f, routing_state_is_complete(f->exchange_context.routing_state));
}

/* Runs one case. */
static void
test_request(gconstpointer data)
{
	struct fixture f = {.c = &cases[GPOINTER_TO_SIZE(data)]};
	g_autofree char *body = NULL;

	set_up(&f);
	standin_set_steps(f.standin, f.c->steps, STANDIN_STEPS);
	learn(&f);
	call(&f, f.c->path, f.c->key);
	RUN_UNTIL(&f, f.done);
	body = g_strndup((const char *)f.body->data, f.body->len);
	g_assert_cmpuint(standin_arrivals(f.standin), ==, f.c->arrivals);
	g_assert_cmpint(f.cut, ==, f.c->status == 0);
	if (f.c->status != 0)
		g_assert_cmpint(f.status, ==, f.c->status);
	if (f.c->body != NULL)
		g_assert_cmpstr(body, ==, f.c->body);
	g_assert_cmpint(f.come_back != NULL, ==, f.c->come_back);
	tear_down(&f);
}

/* An upstream sees the caller's request, and of the headers what it should. */
static void
test_headers(void)
{
	static const enum standin_step steps[] = {STANDIN_ANSWER};
	struct fixture f = {0};
	const struct standin_arrival *seen;
	g_autofree char *expected = NULL;

	set_up(&f);
	standin_set_steps(f.standin, steps, 1);
	learn(&f);
	call(&f, "/once/a%20b?c=d", KEY);
	RUN_UNTIL(&f, f.done);
	seen = standin_arrival(f.standin, 0);
	g_assert_cmpstr(seen->target, ==, "/once/a%20b?c=d");
	g_assert_cmpstr(seen->body, ==, "asked");
	g_assert_cmpstr(standin_header(seen, "Host"), ==, "h");
	g_assert_cmpstr(standin_header(seen, "X-Own"), ==, "kept");
	g_assert_null(standin_header(seen, "X-Hop"));
	g_assert_null(standin_header(seen, "Authorization"));
	g_assert_null(standin_header(seen, "Heatherturn-Helpers"));
	g_assert_cmpstr(standin_header(seen, "Heatherturn-Tenant"), ==, "o");
	g_assert_cmpstr(
	    standin_header(seen, "Heatherturn-Attempt-Id"), ==, "r1");
	expected = g_strdup_printf("i-%zu", seen->upstream);
	g_assert_cmpstr(
	    standin_header(seen, "Heatherturn-Expect-Instance"), ==, expected);
	g_assert_nonnull(
	    standin_header(seen, "Heatherturn-Deadline-Remaining-Ms"));
	tear_down(&f);
}

/* A caller that leaves takes its request off the upstream at once. */
static void
test_caller_leaves(void)
{
	static const enum standin_step steps[] = {STANDIN_HANG};
	struct fixture f = {0};
	struct http_call *asked;

	set_up(&f);
	standin_set_steps(f.standin, steps, 1);
	learn(&f);
	asked = call(&f, "/again/x", KEY);
	RUN_UNTIL(&f, standin_arrivals(f.standin) == 1);
	http_call_cancel(asked);
	RUN_UNTIL(&f, standin_arrival(f.standin, 0)->left);
	g_assert_cmpuint(standin_arrivals(f.standin), ==, 1);
	tear_down(&f);
}

/* A body over the limit in force gets 413 and reaches nobody. */
static void
test_long_body(void)
{
	static const enum standin_step steps[] = {STANDIN_ANSWER};
	struct fixture f = {0};

	set_up(&f);
	standin_set_steps(f.standin, steps, 1);
	learn(&f);
	httpd_set_body_max(f.callers, 4);
	call(&f, "/again/x", KEY);
	RUN_UNTIL(&f, f.done);
	g_assert_cmpint(f.status, ==, 413);
	g_assert_cmpuint(standin_arrivals(f.standin), ==, 0);
	tear_down(&f);
}

/* A request under which two upstreams died goes to no third one. */
static void
test_quarantine(void)
{
	static const enum standin_step steps[] = {
	    STANDIN_DIE, STANDIN_DIE, STANDIN_ANSWER};
	struct fixture f = {0};

	set_up(&f);
	standin_set_steps(f.standin, steps, G_N_ELEMENTS(steps));
	learn(&f);
	call(&f, "/again/x", KEY);
	RUN_UNTIL(&f, f.done);
	g_assert_cmpint(f.status, ==, 502);
	/* Its deaths are known a moment after its answer. */
	for (int i = 0; i < SETTLE_ROUNDS; i++)
		ev_run(f.loop, EVRUN_ONCE);
	f.done = false;
	call(&f, "/again/x", KEY);
	RUN_UNTIL(&f, f.done);
	g_assert_cmpint(f.status, ==, 503);
	g_assert_cmpuint(standin_arrivals(f.standin), ==, 2);
	f.done = false;
	call(&f, "/again/y", KEY);
	RUN_UNTIL(&f, f.done);
	g_assert_cmpint(f.status, ==, 200);
	tear_down(&f);
}

/* Gives all upstreams so much to read, as if a peer had sent it there. */
static void
set_reading(struct fixture *f, uint64_t reading_us)
{
	struct fleet *fleet = routing_state_fleet(
	    f->exchange_context.routing_state);
	struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &fleet->upstreams, entry)
		upstream->peers.prefill_us = reading_us;
}

/* The engines are free again. */
static void
free_engines(struct ev_loop *loop, ev_timer *timer, int events)
{
	set_reading(timer->data, 0);
}

static const struct wait_case {
	const char *name;
	const char *path;
	double free_after_s;
	int status;
	bool come_back;
} waits[] = {
    {"a prompt in a burst waits until engines can read it", "/prompt/x", 0.1,
	200, false},
    {"one that nobody can read soon is told when to come back", "/prompt/x",
	2.0, 503, true},
    {"one whose deadline passes first did not run", "/hasty/x", 2.0, 503,
	false},
};

/*
 * Runs one case: a prompt comes when all engines are to read for three seconds,
 * which its first token has one for.
 */
static void
test_wait(gconstpointer data)
{
	const struct wait_case *c = &waits[GPOINTER_TO_SIZE(data)];
	static const enum standin_step steps[] = {STANDIN_EVENTS};
	struct fixture f = {.tokens = "20000, 10"};
	struct timespec began;
	ev_timer timer;

	set_up(&f);
	standin_set_steps(f.standin, steps, 1);
	learn(&f);
	set_reading(&f, READING_US);
	ev_timer_init(&timer, free_engines, c->free_after_s, 0.0);
	timer.data = &f;
	ev_timer_start(f.loop, &timer);
	began = clock_monotonic(clock_system());
	call(&f, c->path, KEY);
	RUN_UNTIL(&f, f.done);
	ev_timer_stop(f.loop, &timer);
	g_assert_cmpint(f.status, ==, c->status);
	g_assert_cmpint(f.come_back != NULL, ==, c->come_back);
	g_assert_cmpint(
	    time_diff_ms(clock_monotonic(clock_system()), began), <, 1000);
	tear_down(&f);
}

/* Returns what this gateway counts as being read, at all upstreams. */
static uint64_t
own_reading_us(const struct fixture *f)
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
 * An engine that should have read its part is not taken for busy although the
 * prompt's first token waits for others.
 */
static void
test_reading(void)
{
	static const enum standin_step steps[] = {STANDIN_HANG};
	struct fixture f = {.tokens = "20000, 10"};

	set_up(&f);
	standin_set_steps(f.standin, steps, 1);
	learn(&f);
	call(&f, "/prompt/x", KEY);
	RUN_UNTIL(&f, standin_arrivals(f.standin) == 1);
	g_assert_cmpuint(own_reading_us(&f), >, 0);
	RUN_UNTIL(&f, own_reading_us(&f) == 0);
	g_assert_false(f.done);
	tear_down(&f);
}

/*
 * A stream that broke off goes on at an upstream that is not cold: there is no
 * further send if it is turned away.
 */
static void
test_last_send(void)
{
	static const enum standin_step steps[] = {STANDIN_CUT, STANDIN_EVENTS};
	struct fixture f = {0};
	struct timespec later;
	struct fleet *fleet;
	struct fleet_upstream *upstream;
	const char *first;
	const char *second;

	set_up(&f);
	standin_set_steps(f.standin, steps, G_N_ELEMENTS(steps));
	learn(&f);
	fleet = routing_state_fleet(f.exchange_context.routing_state);
	later = time_add_ms(clock_monotonic(clock_system()), 60000);
	/* The least busy get the first send, and are cold. */
	TAILQ_FOREACH (upstream, &fleet->upstreams, entry)
		upstream->cold_until = later;
	upstream = fleet_find(fleet, "i-0");
	upstream->cold_until = (struct timespec){0};
	upstream->peers.running = 2;
	call(&f, "/last/x", KEY);
	RUN_UNTIL(&f, f.done);
	g_assert_cmpuint(standin_arrivals(f.standin), ==, 2);
	first = standin_header(
	    standin_arrival(f.standin, 0), "Heatherturn-Expect-Instance");
	second = standin_header(
	    standin_arrival(f.standin, 1), "Heatherturn-Expect-Instance");
	g_assert_cmpstr(first, !=, "i-0");
	g_assert_cmpstr(second, ==, "i-0");
	tear_down(&f);
}

/* A peer of the gateway, which tells it whom it blames. */
struct peer {
	struct link_identity identity;
	struct mesh *mesh;
};

/* Has a peer tell the gateway that it blames an upstream. */
static void
blame(struct fixture *f, struct peer *peer, const char *name, char *upstream)
{
	const struct mesh_settings settings = {
	    .identity = &peer->identity, .listen = "127.0.0.1:0"};
	struct message message = {
	    .kind = MESSAGE_LOAD, .load = {.faulty = {&upstream, 1}}};
	g_autofree char *address = g_strdup_printf(
	    "127.0.0.1:%d", mesh_port(f->mesh));

	peer->identity = (struct link_identity){.process = name,
	    .role = ROLE_GATEWAY,
	    .failure_domain = "z",
	    .address = "127.0.0.1:1",
	    .cluster_key = "secret"};
	peer->mesh = mesh_new(f->loop, clock_system(), &settings, NULL);
	g_assert_nonnull(peer->mesh);
	mesh_send(peer->mesh, address, &message);
}

/*
 * One peer that blames an upstream is not believed, two are, for as long as
 * they say so.
 */
static void
test_blamed(void)
{
	struct fixture f = {0};
	struct fleet_upstream *upstream;
	struct peer peers[2];
	struct timespec now;

	set_up(&f);
	learn(&f);
	upstream = TAILQ_FIRST(
	    &routing_state_fleet(f.exchange_context.routing_state)->upstreams);
	blame(&f, &peers[0], "p1", upstream->id);
	RUN_UNTIL(&f, upstream->peer_fault_reports == 1);
	now = clock_monotonic(clock_system());
	g_assert_false(fleet_upstream_is_avoided(upstream, now));
	blame(&f, &peers[1], "p2", upstream->id);
	RUN_UNTIL(&f, upstream->peer_fault_reports == 2);
	g_assert_true(fleet_upstream_is_avoided(upstream, now));
	/* What peers no longer say is forgotten. */
	RUN_UNTIL(&f, upstream->peer_fault_reports == 0);
	mesh_free(peers[0].mesh);
	mesh_free(peers[1].mesh);
	tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	ADD_CASES(cases, "/gateway/request", test_request);
	ADD_CASES(waits, "/gateway/wait", test_wait);
	g_test_add_func("/gateway/last send", test_last_send);
	g_test_add_func("/gateway/blamed", test_blamed);
	g_test_add_func("/gateway/reading", test_reading);
	g_test_add_func("/gateway/headers", test_headers);
	g_test_add_func("/gateway/caller leaves", test_caller_leaves);
	g_test_add_func("/gateway/long body", test_long_body);
	g_test_add_func("/gateway/quarantine", test_quarantine);
	return g_test_run();
}
