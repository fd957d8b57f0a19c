#include "gateway_fixture.h"

#include <stdio.h>
#include <string.h>

#define TEST_TIMEOUT_S	 20.0
#define BODY_MAX_BYTES	 65536
#define HEADER_MAX_BYTES 16384 /* as the gateway's program */
/* After this time a gateway has its share of the retry slack. */
#define RUNNING_MS 20000

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
	"{\"Name\":\"parts\",\"Host\":\"h\",\"PathPrefix\":\"/parts/\","     \
	"\"Kind\":\"stream\",\"TimeoutMs\":5000,\"LatencyTargetMs\":1000,"   \
	"\"GapTargetMs\":1000,\"Attempts\":2,\"CanResume\":true,"            \
	"\"Service\":\"s\"},"                                                \
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

/* Starts the exchange of a caller's request. */
static void
on_request(void *data, struct httpd_request *request)
{
	exchange_start(&((struct fixture *)data)->exchange_context, request);
}

/* Returns the limits of a caller's request. */
static struct httpd_limits
limits(void *data)
{
	return exchange_limits(&((struct fixture *)data)->exchange_context);
}

/* Logs a request that was rejected before it was complete. */
static void
on_rejected(void *data, const struct httpd_request *request, int status,
    const char *code)
{
	exchange_on_rejected(
	    &((struct fixture *)data)->exchange_context, request, status, code);
}

static const struct httpd_ops caller_ops = {
    .request = on_request,
    .rejected = on_rejected,
    .closed = exchange_on_closed,
    .drained = exchange_on_drained,
    .limits = limits,
};

/* Returns the time that a clock is ahead at. */
static struct timespec
late_monotonic(struct clock *clock)
{
	const struct fixture_clock *late = (const struct fixture_clock *)clock;

	return time_add_ms(clock_monotonic(late->other), late->ahead_ms);
}

/* Returns the wall time of the other clock. */
static struct timespec
late_wall(struct clock *clock)
{
	return clock_wall(((const struct fixture_clock *)clock)->other);
}

static const struct clock_ops late_clock_ops = {
    .monotonic = late_monotonic, .wall = late_wall};

/* Fails a test that does not end within TEST_TIMEOUT_S. */
static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	g_error("the test did not end in time");
}

/* Starts the stand-ins and a gateway. */
void
fixture_set_up(struct fixture *f)
{
	const struct httpd_settings settings = {
	    .address = "127.0.0.1:0",
	    .body_max_bytes = BODY_MAX_BYTES,
	    .bodies_max_bytes = BODY_MAX_BYTES,
	    .header_max_bytes = HEADER_MAX_BYTES,
	};
	const struct load_sync_settings self = {
	    .self = "g", .failure_domain = "z"};
	const struct mesh_settings mesh = {
	    .identity = &f->identity, .listen = "127.0.0.1:0"};

	if (f->clock == NULL)
		f->clock = clock_system();
	f->late_clock = (struct fixture_clock){
	    .clock = {&late_clock_ops}, .other = f->clock};
	f->loop = ev_loop_new(EVFLAG_AUTO);
	ev_timer_init(&f->timeout, on_timeout, TEST_TIMEOUT_S, 0.0);
	ev_timer_start(f->loop, &f->timeout);
	f->body = g_byte_array_new();
	f->identity = (struct link_identity){.process = "g",
	    .role = ROLE_GATEWAY,
	    .failure_domain = "z",
	    .address = "127.0.0.1:1",
	    .cluster_key = "secret"};
	f->fake_platform = fake_platform_new(f->loop);
	fake_platform_set_config(
	    f->fake_platform, f->config != NULL ? f->config : CONFIG);
	f->http = http_client_new(f->loop, NULL);
	f->mesh = mesh_new(f->loop, clock_system(), &mesh, NULL);
	f->documents = documents_new(
	    f->loop, clock_system(), f->mesh, &f->identity);
	f->store = object_store_new(f->http, clock_system(),
	    fake_platform_store_address(f->fake_platform), NULL);
	f->exchange_context = (struct exchange_context){
	    .loop = f->loop,
	    .clock = clock_system(),
	    .http = f->http,
	    .mesh = f->mesh,
	    .address = "127.0.0.1:1",
	    .random = g_rand_new_with_seed(7),
	    .retry = {.ratio = 0.2, .slack = 100, .window_ms = 10000},
	    .cold_ratio = 1.0,
	    .hold_ms = 3000,
	    .unused_max_ms = 9000,
	};
	f->exchange_context.routing_state = routing_state_new(
	    f->loop, clock_system(), f->store, f->documents, true);
	f->exchange_context.registry = registry_new(
	    f->loop, f->store, f->mesh, &f->identity);
	f->exchange_context.load_sync = load_sync_new(f->loop,
	    &f->late_clock.clock, f->mesh, &self, f->exchange_context.registry,
	    f->exchange_context.routing_state);
	f->exchange_context.crash_sync = crash_sync_new(
	    f->loop, f->clock, f->mesh, f->exchange_context.random);
	f->exchange_context.rate_sync = rate_sync_new(f->loop, clock_system(),
	    f->mesh, f->exchange_context.load_sync,
	    routing_state_fleet(f->exchange_context.routing_state));
	f->exchange_context.retry_sync = retry_sync_new(&f->late_clock.clock,
	    f->mesh, f->exchange_context.load_sync, &f->exchange_context.retry);
	exchange_context_init(&f->exchange_context);
	f->callers = httpd_new(f->loop, &settings, &caller_ops, f, NULL);
	g_assert_nonnull(f->callers);
}

/* Frees all. */
void
fixture_tear_down(struct fixture *f)
{
	httpd_free(f->callers);
	exchange_context_clear(&f->exchange_context);
	retry_sync_free(f->exchange_context.retry_sync);
	rate_sync_free(f->exchange_context.rate_sync);
	crash_sync_free(f->exchange_context.crash_sync);
	load_sync_free(f->exchange_context.load_sync);
	registry_free(f->exchange_context.registry);
	routing_state_free(f->exchange_context.routing_state);
	object_store_free(f->store);
	documents_free(f->documents);
	mesh_free(f->mesh);
	http_client_free(f->http);
	fake_platform_free(f->fake_platform);
	g_rand_free(f->exchange_context.random);
	ev_timer_stop(f->loop, &f->timeout);
	ev_loop_destroy(f->loop);
	g_byte_array_unref(f->body);
	g_free(f->retry_after);
	g_free(f->seal);
	g_free(f->request_id);
}

/* Keeps the response's status and the headers that tests look at. */
static bool
on_headers(void *data, struct http_call *call, int status)
{
	struct fixture *f = data;

	f->status = status;
	g_free(f->retry_after);
	f->retry_after = g_strdup(http_call_header(call, "Retry-After"));
	g_free(f->seal);
	f->seal = g_strdup(http_call_header(call, "Heatherturn-Server-Seal"));
	g_free(f->request_id);
	f->request_id = g_strdup(
	    http_call_header(call, "Heatherturn-Attempt-Id"));
	return true;
}

/* Appends a part of the response's body. */
static bool
on_chunk(void *data, const uint8_t *bytes, size_t length)
{
	g_byte_array_append(
	    ((struct fixture *)data)->body, bytes, (guint)length);
	return true;
}

/* Marks the caller's call as done, and whether it ended early. */
static void
on_done(void *data, struct http_call *call, const struct http_result *result)
{
	struct fixture *f = data;

	f->done = true;
	f->aborted = result->error != NULL;
}

/*
 * Sends a caller's request, with some headers that callers must not set; key is
 * the Authorization header, NULL for none.
 */
struct http_call *
fixture_call(struct fixture *f, const char *path, const char *key)
{
	static const struct http_call_ops ops = {
	    .headers = on_headers, .chunk = on_chunk, .done = on_done};
	const struct http_header headers[] = {
	    {"Host", "h"},
	    {"Heatherturn-Attempt-Id", "r1"},
	    {"Heatherturn-Tenant", "forged"},
	    {"Heatherturn-Helpers", "127.0.0.1:9"},
	    {"Heatherturn-Expect-Instance", "forged"},
	    {"Heatherturn-Request-Urgency", "0"},
	    {"X-Own", "kept"},
	    {"Connection", "X-Hop"},
	    {"X-Hop", "dropped"},
	    {f->tokens != NULL ? "Heatherturn-Token-Count" : "X-None",
		f->tokens != NULL ? f->tokens : "0"},
	    {f->parts != NULL ? "Heatherturn-Prompt-Prefix" : "X-None",
		f->parts != NULL ? f->parts : "0"},
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

/*
 * Lets the gateway run for so long, by its clock, that it has its share of the
 * retry slack and has not used it.
 */
static void
obtain_retry_share(struct fixture *f)
{
	RUN_UNTIL(f, registry_has_list(f->exchange_context.registry));
	for (int i = 0; i < 3; i++) {
		f->late_clock.ahead_ms += RUNNING_MS;
		retry_sync_share(f->exchange_context.retry_sync);
	}
}

/*
 * Waits until the gateway has its routes and upstreams and, unless it has just
 * started, a share of the retry slack.
 */
void
fixture_wait_for_routing_state(struct fixture *f)
{
	RUN_UNTIL(
	    f, routing_state_is_complete(f->exchange_context.routing_state));
	if (!f->just_started)
		obtain_retry_share(f);
}
