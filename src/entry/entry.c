/*
 * The entry process: puts its parts together, runs them, and takes them down
 * without cutting off a request.
 */
#include <stdio.h>
#include <string.h>

#include <sodium.h>

#include "base/invariant.h"
#include "base/settings.h"
#include "commands.h"
#include "entry/dispatch.h"
#include "entry/front.h"
#include "entry/planner.h"
#include "node/node.h"
#include "operator/operator.h"
#include "store/claims.h"
#include "store/config_writer.h"

#define LOG_MODULE "entry"
#include "base/log.h"

/* How often a leaving entry looks whether its requests have ended. */
#define LEAVE_CHECK_MS 50

INVARIANT_DEFINE(nothing_cut, "entry_stop_cuts_off_nothing");

struct entry {
	struct settings settings;
	struct ev_loop *loop;
	struct clock *clock;
	struct node *node;
	struct dispatch *dispatch;
	struct claims *claims;
	struct config_writer *writer;
	struct planner *planner;
	struct operator_rpc *operator;
	struct front *front;
	char *operator_token;
	struct ev_timer leave_timer;
	struct timespec closing; /* when new callers are no longer taken */
	bool leaving;
	bool closed;
};

/* An entry is ready once it has a configuration. */
static bool
is_ready(void *data)
{
	struct entry *entry = data;
	struct config *config = documents_config(node_documents(entry->node));

	return config_version(config) > 0;
}

/* Reads the certificates anew; where that fails the old ones stay. */
static void
reload(void *data)
{
	struct entry *entry = data;
	g_autoptr(GError) error = NULL;

	if (entry->settings.tls_certificate_file == NULL)
		return;
	if (!front_reload_certificate(entry->front, &error) ||
	    (entry->operator!=
		NULL && !operator_reload_certificate(entry->operator, & error)))
		LOG_ERROR("certificates not read anew", "{s:s}", "why",
		    error->message);
}

static const struct node_ops node_ops = {
    .ready = is_ready,
    .reload = reload,
};

/* Says whether everything that was begun has ended. */
static bool
is_idle(const struct entry *entry)
{
	if (front_open_requests(entry->front) > 0)
		return false;
	if (dispatch_count(entry->dispatch) > 0)
		return false;
	return entry->claims == NULL || claims_pending(entry->claims) == 0;
}

/* Goes one step further in leaving, as time and open requests allow. */
static void
check_leaving(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct entry *entry = timer->data;

	if (!entry->closed &&
	    time_before(clock_monotonic(entry->clock), entry->closing))
		return;
	if (!entry->closed) {
		entry->closed = true;
		front_close(entry->front);
		if (entry->operator!= NULL)
			operator_stop_accepting(entry->operator);
		LOG_INFO("takes no new connections", "{s:I}", "open_requests",
		    (json_int_t)front_open_requests(entry->front));
	}
	if (is_idle(entry))
		ev_break(loop, EVBREAK_ALL);
}

/*
 * Begins to leave: not ready first, so that the balancer turns away, then no
 * new connections, then the end once all that was begun has ended.
 */
static void
stop(void *data)
{
	struct entry *entry = data;

	if (entry->leaving)
		return;
	entry->leaving = true;
	node_set_draining(entry->node);
	front_leave(entry->front);
	entry->closing = time_add_ms(
	    clock_monotonic(entry->clock), entry->settings.drain_notice_ms);
	ev_timer_init(
	    &entry->leave_timer, check_leaving, 0, LEAVE_CHECK_MS / 1e3);
	entry->leave_timer.data = entry;
	ev_timer_start(entry->loop, &entry->leave_timer);
}

/* Opens the operators' side, where an address is set for it. */
static bool
open_operator(struct entry *entry, GError **error)
{
	const struct settings *settings = &entry->settings;
	struct operator_settings with = {
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
	with.token = entry->operator_token;
	entry->operator= operator_new(entry->loop, &with, error);
	return entry->operator!= NULL;
}

/* Opens the callers' side. */
static bool
open_front(struct entry *entry, GError **error)
{
	const struct settings *settings = &entry->settings;
	const struct front_settings with = {
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

	entry->front = front_new(&with, error);
	return entry->front != NULL;
}

/* Brings a service's demand to the planner. */
static void
take_demand(void *data, const char *service, uint64_t tokens)
{
	planner_demand(((struct entry *)data)->planner, service, tokens);
}

/* Brings up what requests go through. */
static void
open_dispatch(struct entry *entry)
{
	struct dispatch_settings with = {
	    .loop = entry->loop,
	    .clock = entry->clock,
	    .mesh = node_mesh(entry->node),
	    .documents = node_documents(entry->node),
	    .seed = randombytes_random(),
	};
	struct store *store = node_store(entry->node);

	router_policy_parse(entry->settings.policy, &with.policy);
	entry->dispatch = dispatch_new(&with);
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
	dispatch_on_demand(entry->dispatch, take_demand, entry);
}

/* Brings all parts up; false with the error of the one that failed. */
static bool
open_entry(struct entry *entry, GError **error)
{
	entry->node = node_new(entry->loop, entry->clock, &entry->settings,
	    &node_ops, entry, error);
	if (entry->node == NULL)
		return false;
	open_dispatch(entry);
	return open_operator(entry, error) && open_front(entry, error);
}

/* Takes all parts down, the last made first. */
static void
close_entry(struct entry *entry)
{
	ev_timer_stop(entry->loop, &entry->leave_timer);
	front_free(entry->front);
	operator_free(entry->operator);
	planner_free(entry->planner);
	entry->planner = NULL;
	config_writer_free(entry->writer);
	claims_free(entry->claims);
	dispatch_free(entry->dispatch);
	node_free(entry->node);
	g_free(entry->operator_token);
	settings_clear(&entry->settings);
}

/* Runs an entry until it is asked to stop. */
int
command_entry(int argc, char **argv)
{
	struct entry entry = {.clock = clock_system()};
	g_autoptr(GError) error = NULL;
	enum exit_code code = EXIT_CODE_OK;

	if (!settings_start(&entry.settings, ROLE_ENTRY, argc, argv, &code))
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
	if (!open_entry(&entry, &error)) {
		fprintf(stderr, "heatherturn entry: %s\n", error->message);
		code = node_exit_code(error);
		goto out;
	}
	LOG_INFO("entry serves", "{s:s, s:i}", "callers",
	    entry.settings.callers, "port", front_port(entry.front));
	node_run(entry.node, entry.loop, stop);
	invariant_check(&nothing_cut, is_idle(&entry), NULL, NULL);
	invariants_log();
	LOG_INFO("entry stopped", "{}");
out:
	close_entry(&entry);
	return code;
}
