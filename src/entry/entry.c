/*
 * The entry process: serves callers and operators, and sends callers' requests
 * to the upstreams through their sidecars (a gateway sends them directly, see
 * gateway/gateway.c). Starts its modules, runs the event loop, and drains
 * before it stops, so that no request is cut off.
 */
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "base/invariant.h"
#include "base/settings.h"
#include "commands.h"
#include "entry/dispatch.h"
#include "entry/frontend.h"
#include "entry/planner.h"
#include "node/node.h"
#include "operator/operator_api.h"
#include "store/claims.h"
#include "store/config_writer.h"

#define LOG_MODULE "entry"
#include "base/log.h"

/* How often a draining entry checks whether its requests have ended. */
#define DRAIN_POLL_MS 50

struct entry {
	struct settings settings;
	struct ev_loop *loop;
	struct clock *clock;
	struct node *node;
	struct dispatch *dispatch;
	struct claims *claims;
	struct config_writer *writer;
	struct planner *planner;
	struct operator_api *operator_api;
	struct frontend *frontend;
	char *operator_token;
	struct ev_timer drain_poll_timer;
	bool stopped_accepting;
	bool exiting; /* open requests have their final answers */
};

/* Returns whether the entry can serve: it needs a configuration. */
static bool
is_ready(void *data)
{
	struct entry *entry = data;
	struct config *config = documents_config(node_documents(entry->node));

	return config_version(config) > 0;
}

/* Reloads the certificates; the old ones stay in use if that fails. */
static void
reload(void *data)
{
	struct entry *entry = data;
	g_autoptr(GError) error = NULL;

	if (entry->settings.tls_certificate_file == NULL)
		return;
	if (!frontend_reload_certificate(entry->frontend, &error) ||
	    (entry->operator_api != NULL &&
		!operator_api_reload_certificate(entry->operator_api, &error)))
		LOG_ERROR("could not reload the TLS certificates; keeping the "
			  "old ones",
		    "{s:s}", "why", error->message);
}

static const struct node_ops node_ops = {
    .ready = is_ready,
    .reload = reload,
};

/* Returns whether no request, exchange or claim is open. */
static bool
is_idle(const struct entry *entry)
{
	if (frontend_open_requests(entry->frontend) > 0)
		return false;
	if (dispatch_exchange_count(entry->dispatch) > 0)
		return false;
	return entry->claims == NULL || claims_pending(entry->claims) == 0;
}

/*
 * Stops accepting once the load balancer has had time to notice; ends the loop
 * once all open requests have ended or the grace time ends.
 */
static void
on_drain_poll(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct entry *entry = timer->data;
	const struct drain *drain = dispatch_drain(entry->dispatch);
	struct timespec now = clock_monotonic(entry->clock);

	if (!entry->stopped_accepting &&
	    !time_before(now, drain->accept_until)) {
		entry->stopped_accepting = true;
		frontend_stop_accepting(entry->frontend);
		if (entry->operator_api != NULL)
			operator_api_stop_accepting(entry->operator_api);
		LOG_INFO("no longer accepting connections", "{s:I}",
		    "open_requests",
		    (json_int_t)frontend_open_requests(entry->frontend));
	} else if (entry->stopped_accepting && is_idle(entry)) {
		/* Connections accepted last have been read by now. */
		ev_break(loop, EVBREAK_ALL);
	}
	if (drain_left_ms(drain, now) > 0)
		return;
	if (entry->exiting) {
		ev_break(loop, EVBREAK_ALL);
		return;
	}
	/* The answers are sent before the next poll. */
	entry->exiting = true;
	LOG_WARN("exiting with open requests", "{s:I}", "open_requests",
	    (json_int_t)frontend_open_requests(entry->frontend));
	dispatch_end_exchanges(entry->dispatch);
	if (entry->claims != NULL)
		claims_stop_claiming(entry->claims);
}

/*
 * Starts draining: fails the readiness check first, so that the load balancer
 * sends no new callers, then stops accepting connections, then stops once all
 * open requests have ended.
 */
static void
start_draining(void *data)
{
	struct entry *entry = data;
	const struct drain_limits limits = {
	    .notice_ms = entry->settings.drain_notice_ms,
	    .grace_ms = (int64_t)(entry->settings.grace_s * MS_PER_S),
	};

	if (drain_is_started(dispatch_drain(entry->dispatch)))
		return;
	dispatch_start_draining(entry->dispatch, &limits);
	node_start_draining(entry->node);
	frontend_start_draining(entry->frontend);
	ev_timer_init(
	    &entry->drain_poll_timer, on_drain_poll, 0, DRAIN_POLL_MS / 1e3);
	entry->drain_poll_timer.data = entry;
	ev_timer_start(entry->loop, &entry->drain_poll_timer);
}

/* Starts the operator API if an address is set for it. */
static bool
start_operator_api(struct entry *entry, GError **error)
{
	const struct settings *settings = &entry->settings;
	struct operator_api_settings operator_api_settings = {
	    .address = settings->operators,
	    .certificate_file = settings->tls_certificate_file,
	    .key_file = settings->tls_key_file,
	    .identity = node_identity(entry->node),
	    .documents = node_documents(entry->node),
	    .mesh = node_mesh(entry->node),
	    .writer = entry->writer,
	};

	if (settings->operators == NULL)
		return true;
	entry->operator_token = settings_read_secret(
	    settings->operator_token_file, error);
	if (entry->operator_token == NULL)
		return false;
	operator_api_settings.token = entry->operator_token;
	entry->operator_api = operator_api_new(
	    entry->loop, &operator_api_settings, error);
	return entry->operator_api != NULL;
}

/* Starts the callers' API. */
static bool
start_frontend(struct entry *entry, GError **error)
{
	const struct settings *settings = &entry->settings;
	const struct frontend_settings frontend_settings = {
	    .dispatch = entry->dispatch,
	    .claims = entry->claims,
	    .httpd =
		{
		    .address = settings->callers,
		    .body_max_bytes = (size_t)settings->body_max_bytes,
		    .bodies_max_bytes = (size_t)settings->bodies_max_bytes,
		    .certificate_file = settings->tls_certificate_file,
		    .key_file = settings->tls_key_file,
		},
	    .ready = is_ready,
	    .data = entry,
	};

	entry->frontend = frontend_new(&frontend_settings, error);
	return entry->frontend != NULL;
}

/* Forwards the demand on a service to the planner. */
static void
on_demand(void *data, const char *service, uint64_t tokens)
{
	planner_add_demand(((struct entry *)data)->planner, service, tokens);
}

/* Creates the dispatch and, with a store, what needs one. */
static void
start_dispatch(struct entry *entry)
{
	struct dispatch_settings dispatch_settings = {
	    .loop = entry->loop,
	    .clock = entry->clock,
	    .mesh = node_mesh(entry->node),
	    .documents = node_documents(entry->node),
	    .seed = randombytes_random(),
	};
	struct store *store = node_store(entry->node);

	router_policy_parse(entry->settings.policy, &dispatch_settings.policy);
	entry->dispatch = dispatch_new(&dispatch_settings);
	if (store == NULL)
		return;
	entry->claims = claims_new(entry->loop, entry->clock, store);
	entry->writer = config_writer_new(
	    entry->loop, entry->clock, store, node_documents(entry->node));
	entry->planner = planner_new(&(struct planner_settings){
	    .loop = entry->loop,
	    .clock = entry->clock,
	    .mesh = node_mesh(entry->node),
	    .documents = node_documents(entry->node),
	    .hosts = node_hosts(entry->node),
	    .store = store,
	    .http = node_http_client(entry->node),
	    .platform = entry->settings.platform,
	    .identity = node_identity(entry->node),
	});
	dispatch_set_demand_callback(entry->dispatch, on_demand, entry);
}

/* Starts all modules; false with the error of the one that failed. */
static bool
entry_start(struct entry *entry, GError **error)
{
	entry->node = node_new(entry->loop, entry->clock, &entry->settings,
	    &node_ops, entry, error);
	if (entry->node == NULL)
		return false;
	start_dispatch(entry);
	return start_operator_api(entry, error) && start_frontend(entry, error);
}

/* Stops all modules, the last started first. */
static void
entry_stop(struct entry *entry)
{
	ev_timer_stop(entry->loop, &entry->drain_poll_timer);
	frontend_free(entry->frontend);
	operator_api_free(entry->operator_api);
	planner_free(entry->planner);
	entry->planner = NULL;
	config_writer_free(entry->writer);
	claims_free(entry->claims);
	dispatch_free(entry->dispatch);
	node_free(entry->node);
	g_free(entry->operator_token);
	settings_clear(&entry->settings);
}

/* Runs an entry until it has drained; returns its exit code. */
int
command_entry(int argc, char **argv)
{
	struct entry entry = {.clock = clock_system()};
	g_autoptr(GError) error = NULL;
	enum exit_code code = EXIT_CODE_OK;

	node_block_signals();
	if (!settings_load_or_report(
		&entry.settings, ROLE_ENTRY, argc, argv, &code))
		return code;
	if (sodium_init() < 0)
		return EXIT_CODE_FAILED;
	log_init(entry.settings.log_level,
	    &(struct log_identity){
		.process = entry.settings.id,
		.role = "entry",
		.failure_domain = entry.settings.failure_domain,
	    });
	entry.loop = ev_default_loop(0);
	if (!entry_start(&entry, &error)) {
		fprintf(stderr, "heatherturn entry: %s\n", error->message);
		code = node_exit_code(error);
		goto out;
	}
	LOG_INFO("entry serves", "{s:s, s:i}", "callers",
	    entry.settings.callers, "port", frontend_port(entry.frontend));
	node_run(entry.node, entry.loop, start_draining);
	frontend_free(entry.frontend);
	entry.frontend = NULL;
	invariants_log();
	LOG_INFO("entry stopped", "{}");
out:
	entry_stop(&entry);
	return code;
}
