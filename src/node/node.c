#include "node/node.h"

#include <sys/resource.h>

#include <signal.h>
#include <string.h>

#include <sodium.h>

#include "base/httpd.h"
#include "base/invariant.h"
#include "base/loop_monitor.h"
#include "node/monitor.h"
#include "store/hosts.h"
#include "store/watchers.h"

#define LOG_MODULE "node"
#include "base/log.h"

struct node {
	struct link_identity identity;
	char *cluster_key;
	char *advertise;
	struct mesh *mesh;
	struct documents *documents;
	struct http_client *http;
	struct store *store; /* NULL if no platform is set */
	struct hosts *hosts;
	struct watchers *watchers;
	struct monitor *monitor;
	struct loop_monitor *loop_monitor;
	const struct node_ops *ops;
	void *data;
};

/* Watchers of the signals for stop and reload. */
struct signals {
	struct ev_signal terminate;
	struct ev_signal interrupt;
	struct ev_signal hang_up;
	struct node *node;
	void (*stop)(void *data);
};

/* Returns whether /readyz reports the process as ready. */
static bool
is_ready(void *data)
{
	struct node *node = data;

	return !node->identity.draining && node->ops->ready(node->data);
}

/* Adds the sidecars' addresses of a newer configuration to the mesh. */
static void
on_config(void *data, struct config *config)
{
	struct node *node = data;
	const Heatherturn__V1__ConfigDocument *document = config_document(
	    config);
	g_autofree const char **addresses = g_new0(
	    const char *, document->n_upstreams + 1);

	for (size_t i = 0; i < document->n_upstreams; i++)
		addresses[i] = document->upstreams[i]->sidecar_address;
	mesh_set_peers(node->mesh, MESH_SOURCE_UPSTREAMS, addresses,
	    document->n_upstreams);
	LOG_INFO("configuration in force", "{s:I}", "config_version",
	    (json_int_t)config_version(config));
}

/* Adds the hosts' addresses of a newer list to the mesh. */
static void
on_hosts(void *data, struct hosts *hosts)
{
	struct node *node = data;
	g_autofree const char **addresses = NULL;
	size_t count;
	const struct host *const *list = hosts_list(hosts, &count);

	addresses = g_new0(const char *, count + 1);
	for (size_t i = 0; i < count; i++)
		addresses[i] = list[i]->address;
	mesh_set_peers(node->mesh, MESH_SOURCE_HOSTS, addresses, count);
}

/* Sets what this process sends about itself on its links. */
static bool
make_identity(
    struct node *node, const struct settings *settings, GError **error)
{
	if (settings->cluster_key_file != NULL) {
		node->cluster_key = settings_read_secret(
		    settings->cluster_key_file, error);
		if (node->cluster_key == NULL)
			return false;
	}
	node->advertise = g_strdup(settings->advertise != NULL
		? settings->advertise
		: settings->listen);
	node->identity = (struct link_identity){
	    .process = settings->id,
	    .role = settings->role,
	    .failure_domain = settings->failure_domain,
	    .address = node->advertise,
	    .cluster_key = node->cluster_key,
	};
	randombytes_buf(
	    &node->identity.incarnation, sizeof(node->identity.incarnation));
	return true;
}

/* Connects to the platform, if one is set. Only entries watch its objects. */
static void
start_platform(struct node *node, struct ev_loop *loop, struct clock *clock,
    const struct settings *settings)
{
	const char *url = settings->platform;

	if (url == NULL || url[0] == '\0')
		return;
	node->store = store_http_new(node->http, url);
	node->hosts = hosts_new(loop, clock, node->http, node->documents, url);
	hosts_subscribe(node->hosts, on_hosts, node);
	if (settings->role == ROLE_ENTRY)
		node->watchers = watchers_new(loop, clock, node->store,
		    node->mesh, node->documents, node->hosts, &node->identity);
}

/* Opens the mesh and adds the peers of the settings. */
static bool
start_mesh(struct node *node, struct ev_loop *loop, struct clock *clock,
    const struct settings *settings, GError **error)
{
	const struct mesh_settings mesh_settings = {
	    .identity = &node->identity,
	    .listen = settings->listen,
	};

	node->mesh = mesh_new(loop, clock, &mesh_settings, error);
	if (node->mesh == NULL)
		return false;
	node->documents = documents_new(
	    loop, clock, node->mesh, &node->identity);
	documents_subscribe_config(node->documents, on_config, node);
	mesh_set_peers(node->mesh, MESH_SOURCE_SEEDS,
	    (const char *const *)settings->peers,
	    g_strv_length(settings->peers));
	return true;
}

/*
 * Blocks or unblocks the signals for stop and reload. They are blocked while
 * the process starts or is torn down: no watcher handles them then, and their
 * default action is to kill.
 */
static void
mask_signals(int how)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGHUP);
	sigprocmask(how, &signals, NULL);
}

/*
 * Blocks the signals for stop and reload until the loop runs. To be called
 * before the settings are read: a stop may be requested at any moment.
 */
void
node_block_signals(void)
{
	mask_signals(SIG_BLOCK);
}

/* Raises the descriptor limit to the hard limit. */
static void
raise_descriptor_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	if (setrlimit(RLIMIT_NOFILE, &limit) != 0)
		LOG_WARN("descriptor limit not raised", "{s:I}", "limit",
		    (json_int_t)limit.rlim_max);
}

/*
 * Starts what all processes share. The settings and the loop must outlive the
 * node. NULL with the error of the module that failed.
 */
struct node *
node_new(struct ev_loop *loop, struct clock *clock,
    const struct settings *settings, const struct node_ops *ops, void *data,
    GError **error)
{
	struct node *node = g_new0(struct node, 1);

	node_block_signals();
	node->ops = ops;
	node->data = data;
	raise_descriptor_limit();
	invariant_set_fatal(settings->fatal_invariants);
	node->loop_monitor = loop_monitor_new(loop, clock);
	node->http = http_client_new(loop, error);
	if (node->http == NULL)
		goto err;
	if (!make_identity(node, settings, error))
		goto err;
	if (!start_mesh(node, loop, clock, settings, error))
		goto err;
	start_platform(node, loop, clock, settings);
	if (settings->http != NULL) {
		node->monitor = monitor_new(
		    loop, settings->http, is_ready, node, error);
		if (node->monitor == NULL)
			goto err;
		monitor_set_serve(node->monitor, ops->serve, data);
	}
	return node;
err:
	node_free(node);
	return NULL;
}

/* Frees a node; NULL is allowed. */
void
node_free(struct node *node)
{
	if (node == NULL)
		return;
	monitor_free(node->monitor);
	watchers_free(node->watchers);
	hosts_free(node->hosts);
	store_free(node->store);
	documents_free(node->documents);
	mesh_free(node->mesh);
	http_client_free(node->http);
	loop_monitor_free(node->loop_monitor);
	g_free(node->cluster_key);
	g_free(node->advertise);
	g_free(node);
}

/* Returns the mesh of peer links. */
struct mesh *
node_mesh(const struct node *node)
{
	return node->mesh;
}

/* Returns the shared documents. */
struct documents *
node_documents(const struct node *node)
{
	return node->documents;
}

/* Returns the client for HTTP calls. */
struct http_client *
node_http_client(const struct node *node)
{
	return node->http;
}

/* Returns the platform's host list; NULL if no platform is set. */
struct hosts *
node_hosts(const struct node *node)
{
	return node->hosts;
}

/* Returns the platform's object API; NULL if no platform is set. */
struct store *
node_store(const struct node *node)
{
	return node->store;
}

/* Returns what this process sends about itself on its links. */
struct link_identity *
node_identity(struct node *node)
{
	return &node->identity;
}

/* Marks the process as draining, on all links and in /readyz. */
void
node_start_draining(struct node *node)
{
	node->identity.draining = true;
}

/* Handles SIGTERM and SIGINT. */
static void
on_stop_signal(struct ev_loop *loop, struct ev_signal *watcher, int events)
{
	struct signals *signals = watcher->data;

	LOG_INFO("stop requested", "{s:i}", "signal", watcher->signum);
	signals->stop(signals->node->data);
}

/* Handles SIGHUP. */
static void
on_reload_signal(struct ev_loop *loop, struct ev_signal *watcher, int events)
{
	struct signals *signals = watcher->data;

	LOG_INFO("reload requested", "{s:i}", "signal", watcher->signum);
	if (signals->node->ops->reload != NULL)
		signals->node->ops->reload(signals->node->data);
}

/* Writes the log lines of an iteration before the loop waits. */
static void
on_wait(struct ev_loop *loop, struct ev_prepare *watcher, int events)
{
	log_flush();
}

/*
 * Runs the loop until ev_break(). Calls the stop function for each SIGTERM and
 * SIGINT, and the node's reload function for each SIGHUP.
 */
void
node_run(struct node *node, struct ev_loop *loop, void (*stop)(void *data))
{
	struct signals signals = {.node = node, .stop = stop};
	struct ev_prepare wait;

	signal(SIGPIPE, SIG_IGN);
	ev_signal_init(&signals.terminate, on_stop_signal, SIGTERM);
	ev_signal_init(&signals.interrupt, on_stop_signal, SIGINT);
	ev_signal_init(&signals.hang_up, on_reload_signal, SIGHUP);
	signals.terminate.data = &signals;
	signals.interrupt.data = &signals;
	signals.hang_up.data = &signals;
	ev_signal_start(loop, &signals.terminate);
	ev_signal_start(loop, &signals.interrupt);
	ev_signal_start(loop, &signals.hang_up);
	ev_prepare_init(&wait, on_wait);
	ev_prepare_start(loop, &wait);
	log_set_deferred(true);
	mask_signals(SIG_UNBLOCK);
	ev_run(loop, 0);
	log_set_deferred(false);
	ev_prepare_stop(loop, &wait);
	mask_signals(SIG_BLOCK);
	ev_signal_stop(loop, &signals.terminate);
	ev_signal_stop(loop, &signals.interrupt);
	ev_signal_stop(loop, &signals.hang_up);
}

/* Returns the exit code for an error that prevented a process from starting. */
enum exit_code
node_exit_code(const GError *error)
{
	if (error->domain == LINK_ERROR || error->domain == HTTPD_ERROR)
		return EXIT_CODE_LISTEN;
	if (error->domain == SETTINGS_ERROR)
		return EXIT_CODE_SETTING;
	return EXIT_CODE_FAILED;
}
