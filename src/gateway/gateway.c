/*
 * The gateway process: serves callers straight from the upstreams that the
 * platform's store names, without sidecars. Puts its parts together, runs them,
 * and takes them down without cutting off a request.
 */
#include <stdio.h>

#include <sodium.h>

#include "base/settings.h"
#include "commands.h"
#include "gateway/exchange.h"
#include "node/node.h"

#define LOG_MODULE "gateway"
#include "base/log.h"

/*
 * Callers' connections wait unread for so long at the most until routes and
 * upstreams are known; then they are told that the gateway is not ready.
 */
#define START_WAIT_MS 500
/* How often a leaving gateway looks whether its requests have ended. */
#define LEAVE_CHECK_MS 50
/* Before the platform kills the process, what still runs is answered. */
#define STOP_RESERVE_MS 700
/* Memory is held for less than it may be kept: orders take time to arrive. */
#define HOLD_RESERVE_MS 500
/* Longest head of a request, before the routing table says its own. */
#define HEADER_MAX_BYTES ((size_t)16 * 1024)
/*
 * A kept connection that is idle for longer is closed. Callers are told a
 * shorter time by the platform and don't use one that is older.
 */
#define CALLER_IDLE_S 120U

struct gateway {
	struct settings settings;
	struct ev_loop *loop;
	struct clock *clock;
	struct node *node;
	struct object_store *store;
	struct knowledge *knowledge;
	struct registry *registry;
	struct load_share *load_share;
	struct exchanges exchanges;
	struct httpd *callers;
	struct ev_timer start_timer;
	struct ev_timer leave_timer;
	struct timespec closing; /* when new connections are no longer taken */
	struct timespec ending; /* when the process ends in any case */
	bool leaving;
	bool closed;
};

/* A gateway is ready once it knows routes and upstreams. */
static bool
is_ready(void *data)
{
	const struct gateway *gateway = data;

	return knowledge_is_whole(gateway->knowledge);
}

/* Reads the certificate anew; where that fails the old one stays. */
static void
reload(void *data)
{
	struct gateway *gateway = data;
	g_autoptr(GError) error = NULL;

	if (!httpd_reload_certificate(gateway->callers, &error))
		LOG_ERROR("certificate not read anew", "{s:s}", "why",
		    error->message);
}

static const struct node_ops node_ops = {
    .ready = is_ready,
    .reload = reload,
};

/* A caller's request is here. */
static void
take_request(void *data, struct httpd_request *request)
{
	struct gateway *gateway = data;
	const struct routing_table *table = knowledge_table(gateway->knowledge);

	if (table != NULL && table->limits.body_bytes > 0)
		httpd_set_body_max(gateway->callers, table->limits.body_bytes);
	exchange_start(&gateway->exchanges, request);
}

static const struct httpd_ops caller_ops = {
    .request = take_request,
    .closed = exchange_closed,
    .drained = exchange_drained,
};

/* Goes one step further in leaving, as time and open requests allow. */
static void
check_leaving(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct gateway *gateway = timer->data;
	struct timespec now = clock_monotonic(gateway->clock);

	if (!gateway->closed && !time_before(now, gateway->closing)) {
		gateway->closed = true;
		httpd_stop_accepting(gateway->callers);
		LOG_INFO("takes no new connections", "{s:I}", "open_requests",
		    (json_int_t)gateway->exchanges.open);
	}
	if (gateway->closed && gateway->exchanges.open == 0)
		ev_break(loop, EVBREAK_ALL);
	if (!time_before(now, gateway->ending)) {
		LOG_WARN("ends with open requests", "{s:I}", "open_requests",
		    (json_int_t)gateway->exchanges.open);
		ev_break(loop, EVBREAK_ALL);
	}
}

/*
 * Begins to leave: not ready, so that the balancer turns away, then no new
 * connections, then the end once all that was begun has ended.
 */
static void
stop(void *data)
{
	struct gateway *gateway = data;
	struct timespec now = clock_monotonic(gateway->clock);

	if (gateway->leaving)
		return;
	gateway->leaving = true;
	node_set_draining(gateway->node);
	httpd_close_after_answers(gateway->callers);
	gateway->closing = time_add_ms(now, gateway->settings.drain_notice_ms);
	gateway->ending = time_add_ms(now,
	    (int64_t)(gateway->settings.grace_s * MS_PER_S) - STOP_RESERVE_MS);
	ev_timer_init(
	    &gateway->leave_timer, check_leaving, 0, LEAVE_CHECK_MS / 1e3);
	gateway->leave_timer.data = gateway;
	ev_timer_start(gateway->loop, &gateway->leave_timer);
}

/* Sets up what all requests share. */
static void
open_exchanges(struct gateway *gateway)
{
	const struct settings *settings = &gateway->settings;

	gateway->exchanges = (struct exchanges){
	    .loop = gateway->loop,
	    .clock = gateway->clock,
	    .http = node_http_client(gateway->node),
	    .knowledge = gateway->knowledge,
	    .registry = gateway->registry,
	    .load_share = gateway->load_share,
	    .mesh = node_mesh(gateway->node),
	    .random = g_rand_new_with_seed(randombytes_random()),
	    .retry =
		{
		    .ratio = settings->retry_ratio,
		    .slack = settings->retry_slack,
		    .window_ms = (int64_t)(settings->retry_window_s * MS_PER_S),
		},
	    .cold_ratio = settings->cold_ratio,
	    .cold_slack = settings->cold_slack,
	    .hold_ms = settings->hold_ms - HOLD_RESERVE_MS,
	};
	exchanges_init(&gateway->exchanges);
}

/* Takes callers' requests from now on. */
static void
serve(void *data)
{
	struct gateway *gateway = data;

	ev_timer_stop(gateway->loop, &gateway->start_timer);
	httpd_open(gateway->callers);
	LOG_INFO("requests are taken", "{s:b}", "ready",
	    knowledge_is_whole(gateway->knowledge));
}

/* Callers have waited long enough. */
static void
start_waited(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	serve(timer->data);
}

/* Opens the callers' side. */
static bool
open_callers(struct gateway *gateway, GError **error)
{
	const struct settings *settings = &gateway->settings;
	const struct httpd_settings with = {
	    .address = settings->callers,
	    .body_max_bytes = (size_t)settings->body_max_bytes,
	    .bodies_max_bytes = (size_t)settings->bodies_max_bytes,
	    .certificate_file = settings->tls_certificate_file,
	    .key_file = settings->tls_key_file,
	    .header_max_bytes = HEADER_MAX_BYTES,
	    .idle_s = CALLER_IDLE_S,
	    .held = true,
	};

	gateway->callers = httpd_new(
	    gateway->loop, &with, &caller_ops, gateway, error);
	if (gateway->callers == NULL)
		return false;
	ev_timer_init(&gateway->start_timer, start_waited,
	    (double)START_WAIT_MS / MS_PER_S, 0.0);
	gateway->start_timer.data = gateway;
	ev_timer_start(gateway->loop, &gateway->start_timer);
	knowledge_on_whole(gateway->knowledge, serve, gateway);
	return true;
}

/* Brings all parts up; false with the error of the one that failed. */
static bool
open_gateway(struct gateway *gateway, GError **error)
{
	const struct settings *settings = &gateway->settings;

	gateway->node = node_new(
	    gateway->loop, gateway->clock, settings, &node_ops, gateway, error);
	if (gateway->node == NULL)
		return false;
	gateway->store = object_store_new(
	    node_http_client(gateway->node), settings->objects);
	gateway->knowledge = knowledge_new(gateway->loop, gateway->clock,
	    gateway->store, node_documents(gateway->node));
	gateway->registry = registry_new(gateway->loop, gateway->store,
	    node_mesh(gateway->node), settings->id,
	    node_identity(gateway->node)->address);
	gateway->load_share = load_share_new(gateway->loop, gateway->clock,
	    node_mesh(gateway->node), settings->id, gateway->knowledge);
	open_exchanges(gateway);
	return open_callers(gateway, error);
}

/* Takes all parts down, the last made first. */
static void
close_gateway(struct gateway *gateway)
{
	ev_timer_stop(gateway->loop, &gateway->start_timer);
	ev_timer_stop(gateway->loop, &gateway->leave_timer);
	httpd_free(gateway->callers);
	exchanges_clear(&gateway->exchanges);
	if (gateway->exchanges.random != NULL)
		g_rand_free(gateway->exchanges.random);
	load_share_free(gateway->load_share);
	registry_free(gateway->registry);
	knowledge_free(gateway->knowledge);
	object_store_free(gateway->store);
	node_free(gateway->node);
	settings_clear(&gateway->settings);
}

/* Runs a gateway until it is asked to stop. */
int
command_gateway(int argc, char **argv)
{
	struct gateway gateway = {.clock = clock_system()};
	g_autoptr(GError) error = NULL;
	enum exit_code code = EXIT_CODE_OK;

	if (!settings_start(&gateway.settings, ROLE_GATEWAY, argc, argv, &code))
		return code;
	if (sodium_init() < 0)
		return EXIT_CODE_FAILED;
	log_init(gateway.settings.log_level,
	    &(struct log_identity){
		.process = gateway.settings.id,
		.role = "gateway",
		.failure_domain = gateway.settings.failure_domain,
	    });
	gateway.loop = ev_default_loop(0);
	if (!open_gateway(&gateway, &error)) {
		fprintf(stderr, "heatherturn gateway: %s\n", error->message);
		code = node_exit_code(error);
		goto out;
	}
	LOG_INFO("gateway serves", "{s:s, s:s}", "callers",
	    gateway.settings.callers, "objects", gateway.settings.objects);
	node_run(gateway.node, gateway.loop, stop);
	LOG_INFO("gateway stopped", "{s:I}", "open_requests",
	    (json_int_t)gateway.exchanges.open);
out:
	close_gateway(&gateway);
	return code;
}
