/*
 * The gateway process: forwards callers' requests directly to the upstreams in
 * the platform's store, without sidecars. Creates the modules, runs the event
 * loop, and shuts down without interrupting requests.
 */
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "base/settings.h"
#include "commands.h"
#include "gateway/exchange.h"
#include "gateway/exchange_explain.h"
#include "gateway/routing_update.h"
#include "node/node.h"
#include "policy/watching.h"

#define LOG_MODULE "gateway"
#include "base/log.h"

/*
 * Maximum time that callers' connections wait, without being read, for routes
 * and upstreams. After it requests are refused with not_ready.
 */
#define START_WAIT_MS 500
/* How often a draining gateway checks whether its requests have ended. */
#define DRAIN_POLL_MS 50
/*
 * Reservations are requested for less than the configured time: orders take
 * time to arrive.
 */
#define HOLD_RESERVE_MS 500
/* Limit on a request's headers, until the routing table sets one. */
#define HEADER_MAX_BYTES ((size_t)16 * 1024)
/*
 * Idle keep-alive connections are closed after this time. The platform
 * announces a shorter time to callers, which don't reuse older ones.
 */
#define CALLER_IDLE_S 120U
#define PERMILLE      1000

struct gateway {
	struct settings settings;
	struct ev_loop *loop;
	struct clock *clock;
	struct node *node;
	GRand *random;
	struct object_store *store;
	struct routing_state *routing_state;
	struct registry *registry;
	struct load_sync *load_sync;
	struct crash_sync *crash_sync;
	struct rate_sync *rate_sync;
	struct exchange_context exchange_context;
	struct httpd *callers;
	struct ev_timer start_timer;
	struct ev_timer drain_poll_timer;
	bool stopped_accepting;
};

/* Returns whether routes, upstreams and takeouts have been received. */
static bool
is_ready(void *data)
{
	const struct gateway *gateway = data;

	return routing_state_is_complete(gateway->routing_state);
}

/* Reloads the TLS certificate; keeps the old one if that fails. */
static void
reload_certificate(void *data)
{
	struct gateway *gateway = data;
	g_autoptr(GError) error = NULL;

	if (!httpd_reload_certificate(gateway->callers, &error))
		LOG_ERROR("could not reload the TLS certificates; keeping the "
			  "old ones",
		    "{s:s}", "why", error->message);
}

/* Explains requests on --http. */
static bool
serve_explain(void *data, struct httpd_request *http)
{
	const struct gateway *gateway = data;

	/* Requests are served only once the modules exist. */
	return gateway->exchange_context.routing_state != NULL &&
	    exchange_serve_explain(&gateway->exchange_context, http);
}

static const struct node_ops node_ops = {
    .ready = is_ready,
    .reload = reload_certificate,
    .serve = serve_explain,
};

/* Handles a request from a caller. */
static void
on_request(void *data, struct httpd_request *request)
{
	struct gateway *gateway = data;

	exchange_start(&gateway->exchange_context, request);
}

/* Returns the limits of a caller's request. */
static struct httpd_limits
limits(void *data)
{
	const struct gateway *gateway = data;

	return exchange_limits(&gateway->exchange_context);
}

/* Logs a request that was rejected before it was complete. */
static void
on_rejected(void *data, const struct httpd_request *request, int status,
    const char *code)
{
	struct gateway *gateway = data;

	exchange_on_rejected(&gateway->exchange_context, request, status, code);
}

static const struct httpd_ops caller_ops = {
    .request = on_request,
    .rejected = on_rejected,
    .closed = exchange_on_closed,
    .drained = exchange_on_drained,
    .limits = limits,
};

/* Returns whether callers' requests are open, including those being read. */
static bool
has_open_requests(const struct gateway *gateway)
{
	struct httpd_stats stats;

	httpd_stats(gateway->callers, &stats);
	return stats.open_requests > 0;
}

/*
 * Stops accepting connections after the notice time; exits once no request is
 * open or the grace time ends.
 */
static void
on_drain_poll(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct gateway *gateway = timer->data;
	const struct drain *drain = &gateway->exchange_context.drain;
	struct timespec now = clock_monotonic(gateway->clock);

	if (!gateway->stopped_accepting &&
	    !time_before(now, drain->accept_until)) {
		gateway->stopped_accepting = true;
		httpd_stop_accepting(gateway->callers);
		LOG_INFO("no longer accepting connections", "{s:I}",
		    "open_requests",
		    (json_int_t)gateway->exchange_context.open);
	} else if (gateway->stopped_accepting && !has_open_requests(gateway)) {
		/* Connections accepted last have been read by now. */
		ev_break(loop, EVBREAK_ALL);
	}
	if (drain_left_ms(drain, now) > 0)
		return;
	if (gateway->exchange_context.exiting) {
		ev_break(loop, EVBREAK_ALL);
	} else {
		/* The responses are sent before the next poll. */
		LOG_WARN("exiting with open requests", "{s:I}", "open_requests",
		    (json_int_t)gateway->exchange_context.open);
		exchange_end_unanswered(&gateway->exchange_context);
	}
}

/*
 * Starts draining: reports not ready, so that the load balancer sends no new
 * connections, then stops accepting, then exits once all requests have ended.
 */
static void
start_draining(void *data)
{
	struct gateway *gateway = data;
	struct drain *drain = &gateway->exchange_context.drain;
	const struct drain_limits limits = {
	    .notice_ms = gateway->settings.drain_notice_ms,
	    .grace_ms = (int64_t)(gateway->settings.grace_s * MS_PER_S),
	};

	if (drain_is_started(drain))
		return;
	drain_start(drain, &limits, clock_monotonic(gateway->clock));
	node_start_draining(gateway->node);
	load_sync_start_draining(gateway->load_sync);
	httpd_disable_keep_alive(gateway->callers);
	ev_timer_init(
	    &gateway->drain_poll_timer, on_drain_poll, 0, DRAIN_POLL_MS / 1e3);
	gateway->drain_poll_timer.data = gateway;
	ev_timer_start(gateway->loop, &gateway->drain_poll_timer);
}

/* Sets up the state that all exchanges share. */
static void
init_exchange_context(struct gateway *gateway)
{
	const struct settings *settings = &gateway->settings;

	gateway->exchange_context = (struct exchange_context){
	    .loop = gateway->loop,
	    .clock = gateway->clock,
	    .http = node_http_client(gateway->node),
	    .routing_state = gateway->routing_state,
	    .registry = gateway->registry,
	    .address = node_identity(gateway->node)->address,
	    .failure_domain = settings->failure_domain,
	    .load_sync = gateway->load_sync,
	    .crash_sync = gateway->crash_sync,
	    .rate_sync = gateway->rate_sync,
	    .prompt_cache = settings->prompt_cache_ms > 0
		? prompt_cache_new(settings->prompt_cache_ms)
		: NULL,
	    .mesh = node_mesh(gateway->node),
	    .random = gateway->random,
	    .retry =
		{
		    .ratio = settings->retry_ratio,
		    .slack = settings->retry_slack,
		    .window_ms = (int64_t)(settings->retry_window_s * MS_PER_S),
		},
	    .cold_ratio = settings->cold_ratio,
	    .cold_slack = settings->cold_slack,
	    /* Leaves half of the time for a prompt to begin. */
	    .hold_ms = MIN(settings->hold_ms - HOLD_RESERVE_MS,
		settings->unused_memory_ms / 2),
	    .unused_max_ms = settings->unused_memory_ms,
	};
	gateway->exchange_context.retry_sync = retry_sync_new(gateway->clock,
	    node_mesh(gateway->node), gateway->load_sync,
	    &gateway->exchange_context.retry);
	exchange_context_init(&gateway->exchange_context);
}

/* Starts reading callers' requests. */
static void
start_accepting(void *data)
{
	struct gateway *gateway = data;

	ev_timer_stop(gateway->loop, &gateway->start_timer);
	httpd_start(gateway->callers);
	LOG_INFO("accepting requests", "{s:b}", "ready",
	    routing_state_is_complete(gateway->routing_state));
}

/* Starts reading requests even though not all state has been received. */
static void
on_start_timeout(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	start_accepting(timer->data);
}

/* Starts listening for callers; requests are read after start_accepting. */
static bool
open_callers(struct gateway *gateway, GError **error)
{
	const struct settings *settings = &gateway->settings;
	const struct host_limits limits = {
	    .cpu_share = settings->cpu_share,
	    .memory_mb = settings->memory_mb,
	    .link_mbps = settings->link_mbps,
	};
	const struct httpd_settings http_settings = {
	    .address = settings->callers,
	    .body_max_bytes = (size_t)settings->body_max_bytes,
	    .bodies_max_bytes = (size_t)settings->bodies_max_bytes,
	    .certificate_file = settings->tls_certificate_file,
	    .key_file = settings->tls_key_file,
	    .header_max_bytes = HEADER_MAX_BYTES,
	    .idle_s = CALLER_IDLE_S,
	    .start_paused = true,
	    .unsent_max_bytes = limits.memory_mb > 0
		? HOST_MONITOR_UNSENT_MAX_BYTES
		: 0,
	};

	gateway->callers = httpd_new(
	    gateway->loop, &http_settings, &caller_ops, gateway, error);
	if (gateway->callers == NULL)
		return false;
	gateway->exchange_context.host = host_monitor_new(gateway->loop,
	    gateway->clock, &limits, gateway->callers,
	    &gateway->exchange_context);
	ev_timer_init(&gateway->start_timer, on_start_timeout,
	    (double)START_WAIT_MS / MS_PER_S, 0.0);
	gateway->start_timer.data = gateway;
	ev_timer_start(gateway->loop, &gateway->start_timer);
	routing_state_set_complete_callback(
	    gateway->routing_state, start_accepting, gateway);
	return true;
}

/* Describes this gateway among those in the settings. */
static struct load_sync_settings
describe_self(struct gateway *gateway)
{
	const struct settings *settings = &gateway->settings;
	const char *address = node_identity(gateway->node)->address;
	struct load_sync_settings self = {
	    .self = settings->id,
	    .address = address,
	    .failure_domain = settings->failure_domain,
	    .cpu_permille = (uint32_t)(settings->cpu_share * PERMILLE),
	};

	for (size_t i = 0; settings->peers[i] != NULL; i++) {
		if (strcmp(settings->peers[i], address) == 0)
			self.is_seed = true;
		else
			self.has_seeds = true;
	}
	return self;
}

/* Creates all modules; false with the first one's error. */
static bool
gateway_start(struct gateway *gateway, GError **error)
{
	const struct settings *settings = &gateway->settings;
	struct load_sync_settings self;

	gateway->node = node_new(
	    gateway->loop, gateway->clock, settings, &node_ops, gateway, error);
	if (gateway->node == NULL)
		return false;
	gateway->random = g_rand_new_with_seed(randombytes_random());
	gateway->store = object_store_new(node_http_client(gateway->node),
	    gateway->clock, settings->objects, gateway->random);
	object_store_set_watch_wait(
	    gateway->store, watching_wait_ms(settings->config_max_age_ms));
	self = describe_self(gateway);
	gateway->routing_state = routing_state_new(gateway->loop,
	    gateway->clock, gateway->store, node_documents(gateway->node),
	    self.is_seed || !self.has_seeds);
	routing_state_set_max_age(
	    gateway->routing_state, settings->config_max_age_ms);
	gateway->registry = registry_new(gateway->loop, gateway->store,
	    node_mesh(gateway->node), node_identity(gateway->node));
	gateway->load_sync = load_sync_new(gateway->loop, gateway->clock,
	    node_mesh(gateway->node), &self, gateway->registry,
	    gateway->routing_state);
	gateway->crash_sync = crash_sync_new(gateway->loop, gateway->clock,
	    node_mesh(gateway->node), gateway->random);
	gateway->rate_sync = rate_sync_new(gateway->loop, gateway->clock,
	    node_mesh(gateway->node), gateway->load_sync,
	    routing_state_fleet(gateway->routing_state));
	init_exchange_context(gateway);
	return open_callers(gateway, error);
}

/* Frees all modules, in the reverse order of their creation. */
static void
gateway_stop(struct gateway *gateway)
{
	ev_timer_stop(gateway->loop, &gateway->start_timer);
	ev_timer_stop(gateway->loop, &gateway->drain_poll_timer);
	gateway->exchange_context.exiting = true;
	host_monitor_free(gateway->exchange_context.host);
	gateway->exchange_context.host = NULL;
	httpd_free(gateway->callers);
	exchange_context_clear(&gateway->exchange_context);
	retry_sync_free(gateway->exchange_context.retry_sync);
	prompt_cache_free(gateway->exchange_context.prompt_cache);
	rate_sync_free(gateway->rate_sync);
	crash_sync_free(gateway->crash_sync);
	load_sync_free(gateway->load_sync);
	registry_free(gateway->registry);
	routing_state_free(gateway->routing_state);
	object_store_free(gateway->store);
	if (gateway->random != NULL)
		g_rand_free(gateway->random);
	node_free(gateway->node);
	settings_clear(&gateway->settings);
}

/* Runs a gateway until it is asked to stop; returns the exit code. */
int
command_gateway(int argc, char **argv)
{
	struct gateway gateway = {.clock = clock_system()};
	g_autoptr(GError) error = NULL;
	enum exit_code code = EXIT_CODE_OK;

	node_block_signals();
	if (!settings_load_or_report(
		&gateway.settings, ROLE_GATEWAY, argc, argv, &code))
		return code;
	if (sodium_init() < 0)
		return EXIT_CODE_FAILED;
	log_init(gateway.settings.log_level,
	    &(struct log_identity){
		.process = gateway.settings.id,
		.role = "gateway",
		.failure_domain = gateway.settings.failure_domain,
	    });
	routing_update_init_process();
	gateway.loop = ev_default_loop(0);
	if (!gateway_start(&gateway, &error)) {
		fprintf(stderr, "heatherturn gateway: %s\n", error->message);
		code = node_exit_code(error);
		goto out;
	}
	LOG_INFO("gateway started", "{s:s, s:s}", "callers",
	    gateway.settings.callers, "objects", gateway.settings.objects);
	node_run(gateway.node, gateway.loop, start_draining);
	LOG_INFO("gateway stopped", "{s:I}", "open_requests",
	    (json_int_t)gateway.exchange_context.open);
out:
	gateway_stop(&gateway);
	return code;
}
