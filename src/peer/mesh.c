#include "peer/mesh.h"

#include <string.h>

#include <sodium.h>
#include <xxhash.h>

#include "base/metrics.h"
#include "peer/status_query.h"
#include "policy/quarantine.h"

#define LOG_MODULE "mesh"
#include "base/log.h"

/* Peers to which a new suspect report is sent at once. */
#define SUSPECT_FANOUT 4
/* Suspect reports sent to a peer when a link opens. */
#define SUSPECT_INITIAL_REPORTS 32
/* Maximum number of suspects; the oldest is removed for a new one. */
#define SUSPECTS_MAX 1024
/* A suspect is removed this long after the last upstream death during it. */
#define SUSPECT_TTL_MS (10 * 60 * 1000)

/* One link of the mesh. */
struct mesh_connection {
	struct mesh *mesh;
	struct link *link;
	char *address; /* the peer's listening address; empty until known */
	bool opened; /* the handshake was complete */
	TAILQ_ENTRY(mesh_connection) entry;
};

struct mesh {
	struct ev_loop *loop;
	struct clock *clock;
	struct link_identity *identity;
	struct link_server *server;
	uint64_t reporter;
	TAILQ_HEAD(mesh_connection_list, mesh_connection) connections;
	GHashTable *by_address; /* connection returned for a peer's address */
	GHashTable *near; /* addresses in the own failure domain */
	size_t near_count; /* of the peers */
	TAILQ_HEAD(mesh_handler_list, mesh_handler) handlers;
	GHashTable *unreachable; /* set of addresses; see mesh_is_reachable() */
	GPtrArray *sources[MESH_SOURCES];
	GPtrArray *peers; /* union of the sources, without this process */
	struct status_query_list status_queries;
	struct quarantine *quarantine;
	uint64_t deaths; /* reported by this process */
	mesh_status_report_fn *status_report; /* NULL for none */
	void *status_report_data;
};

METRIC_DEFINE(link_count, METRIC_GAUGE, "heatherturn_links", NULL,
    "Links to peers, including those being opened.");
METRIC_DEFINE(peer_count, METRIC_GAUGE, "heatherturn_peers", NULL,
    "Known peer processes.");

/* Adds a connection; the calling function sets its link. */
static struct mesh_connection *
add_connection(struct mesh *mesh, const char *address)
{
	struct mesh_connection *connection = g_new0(struct mesh_connection, 1);

	connection->mesh = mesh;
	connection->address = g_strdup(address);
	TAILQ_INSERT_TAIL(&mesh->connections, connection, entry);
	metric_add(&link_count, 1);
	return connection;
}

/* Removes a connection; its link is freed by the function that closed it. */
static void
remove_connection(struct mesh_connection *connection)
{
	struct mesh *mesh = connection->mesh;

	if (g_hash_table_lookup(mesh->by_address, connection->address) ==
	    connection)
		g_hash_table_remove(mesh->by_address, connection->address);
	TAILQ_REMOVE(&mesh->connections, connection, entry);
	metric_add(&link_count, -1);
	g_free(connection->address);
	g_free(connection);
}

/* The listener has accepted a connection. */
static void
on_accepted(void *data, struct link *link)
{
	struct mesh_connection *connection = add_connection(data, "");

	connection->link = link;
	link_set_data(link, connection);
}

/* Sends one suspect report to a peer. */
static void
send_report(struct link *link, const struct quarantine_report *report)
{
	struct message message = {
	    .kind = MESSAGE_SUSPECT,
	    .suspect =
		{
		    .fingerprint = report->fingerprint,
		    .death = report->death,
		    .deaths = report->cleared ? 0 : 1,
		    .age_ms = report->age_ms,
		},
	};

	link_send(link, &message);
}

/* Sends the latest suspect reports on a link that has just opened. */
static void
send_initial_reports(struct mesh *mesh, struct link *link)
{
	struct quarantine_report reports[SUSPECT_INITIAL_REPORTS];
	size_t count = quarantine_list_reports(mesh->quarantine, reports,
	    G_N_ELEMENTS(reports), clock_monotonic(mesh->clock));

	for (size_t i = 0; i < count; i++)
		send_report(link, &reports[i]);
}

/*
 * Registers a connection under its peer's address, unless there is a good one.
 */
static void
register_connection(struct mesh_connection *connection)
{
	struct mesh *mesh = connection->mesh;
	const struct mesh_connection *current;

	if (connection->address[0] == '\0')
		return;
	current = g_hash_table_lookup(mesh->by_address, connection->address);
	if (current == NULL || link_is_stale(current->link))
		g_hash_table_replace(
		    mesh->by_address, connection->address, connection);
}

/* A link has completed its handshake. */
static void
on_opened(void *data, struct link *link)
{
	struct mesh_connection *connection = data;
	struct mesh *mesh = connection->mesh;
	struct mesh_handler *handler, *next;

	connection->opened = true;
	g_hash_table_remove(mesh->unreachable, link_peer(link)->address);
	if (connection->address[0] == '\0') {
		g_free(connection->address);
		connection->address = g_strdup(link_peer(link)->address);
		register_connection(connection);
	}
	send_initial_reports(mesh, link);
	TAILQ_FOREACH_SAFE (handler, &mesh->handlers, entry, next) {
		if (handler->ops->opened != NULL)
			handler->ops->opened(handler->data, link);
	}
}

/* Sends a report to random peers. */
static void
gossip_report(struct mesh *mesh, const struct quarantine_report *report)
{
	for (int i = 0; i < SUSPECT_FANOUT && mesh->peers->len > 0; i++) {
		uint32_t pick = randombytes_uniform(mesh->peers->len);

		send_report(
		    mesh_get_link(mesh, g_ptr_array_index(mesh->peers, pick)),
		    report);
	}
}

/* Sends the reports that no peer has been sent yet. */
static void
gossip_new_reports(struct mesh *mesh)
{
	struct timespec now = clock_monotonic(mesh->clock);
	struct quarantine_report report;

	while (quarantine_next_report(mesh->quarantine, &report, now)) {
		LOG_INFO(
		    report.cleared ? "suspect cleared" : "suspect reported",
		    "{s:I, s:I, s:i, s:i}", "fingerprint",
		    (json_int_t)report.fingerprint, "death",
		    (json_int_t)report.death, "deaths", (int)report.deaths,
		    "age_ms", (int)report.age_ms);
		gossip_report(mesh, &report);
	}
}

/* Handles a peer's suspect report; a new one is sent on. */
static void
handle_suspect(struct mesh *mesh, const struct message_suspect *suspect)
{
	const struct quarantine_report report = {
	    .fingerprint = suspect->fingerprint,
	    .death = suspect->death,
	    .cleared = suspect->deaths == 0,
	    .age_ms = suspect->age_ms,
	};

	quarantine_merge_report(
	    mesh->quarantine, &report, clock_monotonic(mesh->clock));
	gossip_new_reports(mesh);
}

/* Answers a status query. */
static void
answer_status_query(
    struct mesh *mesh, struct link *link, const struct message *query)
{
	struct message answer = {
	    .kind = MESSAGE_STATUS_ANSWER,
	    .status_answer =
		{
		    .process = (char *)mesh->identity->process,
		    .role = mesh->identity->role,
		    .failure_domain = (char *)mesh->identity->failure_domain,
		    .config_version = mesh->identity->config_version,
		    .draining = mesh->identity->draining,
		},
	};

	memcpy(answer.request, query->request, sizeof(answer.request));
	answer.sequence = query->sequence;
	if (mesh->status_report != NULL)
		mesh->status_report(
		    mesh->status_report_data, &answer.status_answer);
	link_send(link, &answer);
}

/* Handles the mesh's own kinds of messages and passes all to their handlers. */
static void
on_message(void *data, struct link *link, const struct message *message)
{
	struct mesh *mesh = ((struct mesh_connection *)data)->mesh;
	struct mesh_handler *handler, *next;

	if (message->kind == MESSAGE_STATUS_QUERY)
		answer_status_query(mesh, link, message);
	if (message->kind == MESSAGE_STATUS_ANSWER)
		status_query_handle_answer(&mesh->status_queries, message);
	if (message->kind == MESSAGE_SUSPECT)
		handle_suspect(mesh, &message->suspect);
	TAILQ_FOREACH_SAFE (handler, &mesh->handlers, entry, next) {
		if ((handler->kinds & MESH_KIND(message->kind)) != 0 &&
		    handler->ops->message != NULL)
			handler->ops->message(handler->data, link, message);
	}
}

/* A link's queue has room again. */
static void
on_writable(void *data, struct link *link)
{
	struct mesh *mesh = ((struct mesh_connection *)data)->mesh;
	struct mesh_handler *handler, *next;

	TAILQ_FOREACH_SAFE (handler, &mesh->handlers, entry, next) {
		if (handler->ops->writable != NULL)
			handler->ops->writable(handler->data, link);
	}
}

/* A link was closed: calls lost(), from which users may get a new link. */
static void
on_closed(void *data, struct link *link, const GError *error)
{
	struct mesh_connection *connection = data;
	struct mesh *mesh = connection->mesh;
	struct mesh_handler *handler, *next;
	bool idle = g_error_matches(error, LINK_ERROR, LINK_ERROR_IDLE);
	g_autofree char *address = g_strdup(connection->address);

	LOG_DEBUG("link lost", "{s:s, s:s, s:b}", "address", address, "reason",
	    error->message, "idle", idle);
	if (!connection->opened && address[0] != '\0')
		g_hash_table_add(mesh->unreachable, g_strdup(address));
	remove_connection(connection);
	link_set_data(link, NULL);
	status_query_handle_lost_link(&mesh->status_queries, link);
	TAILQ_FOREACH_SAFE (handler, &mesh->handlers, entry, next) {
		if (handler->ops->lost != NULL)
			handler->ops->lost(handler->data, link, error);
	}
}

static const struct link_ops connection_ops = {
    .accepted = on_accepted,
    .opened = on_opened,
    .message = on_message,
    .writable = on_writable,
    .closed = on_closed,
};

/*
 * Creates the mesh and listens if the settings say so. The identity may be
 * completed before the loop runs, e.g. with the port. NULL with LINK_ERROR if
 * listening fails.
 */
struct mesh *
mesh_new(struct ev_loop *loop, struct clock *clock,
    const struct mesh_settings *settings, GError **error)
{
	struct mesh *mesh = g_new0(struct mesh, 1);

	mesh->loop = loop;
	mesh->clock = clock;
	mesh->identity = settings->identity;
	mesh->reporter = XXH3_64bits_withSeed(mesh->identity->process,
	    strlen(mesh->identity->process), mesh->identity->incarnation);
	mesh->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	mesh->near = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, NULL);
	mesh->unreachable = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, NULL);
	mesh->peers = g_ptr_array_new();
	mesh->quarantine = quarantine_new(&(struct quarantine_limits){
	    .entries_max = SUSPECTS_MAX, .expiry_ms = SUSPECT_TTL_MS});
	TAILQ_INIT(&mesh->connections);
	TAILQ_INIT(&mesh->handlers);
	TAILQ_INIT(&mesh->status_queries);
	for (size_t i = 0; i < MESH_SOURCES; i++)
		mesh->sources[i] = g_ptr_array_new_with_free_func(g_free);
	if (settings->listen == NULL)
		return mesh;
	mesh->server = link_server_new(loop, clock, mesh->identity,
	    settings->listen, &connection_ops, mesh, error);
	if (mesh->server == NULL) {
		mesh_free(mesh);
		return NULL;
	}
	return mesh;
}

/* Closes all links without a callback and frees the mesh; NULL is allowed. */
void
mesh_free(struct mesh *mesh)
{
	struct mesh_connection *connection, *next;

	if (mesh == NULL)
		return;
	status_query_cancel_all(&mesh->status_queries);
	TAILQ_FOREACH_SAFE (connection, &mesh->connections, entry, next) {
		link_close(connection->link);
		remove_connection(connection);
	}
	link_server_free(mesh->server);
	for (size_t i = 0; i < MESH_SOURCES; i++)
		g_ptr_array_unref(mesh->sources[i]);
	g_ptr_array_unref(mesh->peers);
	g_hash_table_unref(mesh->by_address);
	g_hash_table_unref(mesh->near);
	g_hash_table_unref(mesh->unreachable);
	quarantine_free(mesh->quarantine);
	g_free(mesh);
}

/* Returns the listening port, or 0 for none. */
int
mesh_port(const struct mesh *mesh)
{
	return mesh->server != NULL ? link_server_port(mesh->server) : 0;
}

/* Registers a module's callbacks for messages of its kinds and for links. */
void
mesh_add_handler(struct mesh *mesh, struct mesh_handler *handler)
{
	TAILQ_INSERT_TAIL(&mesh->handlers, handler, entry);
}

/* Removes a handler. Inside callbacks, a handler may only remove itself. */
void
mesh_remove_handler(struct mesh *mesh, struct mesh_handler *handler)
{
	TAILQ_REMOVE(&mesh->handlers, handler, entry);
}

/*
 * Returns a link to the peer at HOST:PORT: the current one, or a new one if
 * there is none or it is stale. Messages may be sent at once; opened() or
 * lost() reports whether it opens. Never NULL.
 */
struct link *
mesh_get_link(struct mesh *mesh, const char *address)
{
	struct mesh_connection *connection = g_hash_table_lookup(
	    mesh->by_address, address);

	if (connection != NULL && !link_is_stale(connection->link))
		return connection->link;
	connection = add_connection(mesh, address);
	connection->link = link_connect(mesh->loop, mesh->clock, mesh->identity,
	    address, &connection_ops, connection);
	g_hash_table_replace(mesh->by_address, connection->address, connection);
	return connection->link;
}

/* Returns the peer's listening address; empty if it has none. */
const char *
mesh_link_address(const struct link *link)
{
	const struct mesh_connection *connection = link_data(link);

	return connection != NULL ? connection->address : "";
}

/* Returns whether a link to an address is open and in use. */
bool
mesh_is_connected(const struct mesh *mesh, const char *address)
{
	const struct mesh_connection *connection = g_hash_table_lookup(
	    mesh->by_address, address);

	return connection != NULL && link_is_open(connection->link) &&
	    !link_is_stale(connection->link);
}

/* Sends one message to an address; false if the link's queue is full. */
bool
mesh_send(struct mesh *mesh, const char *address, struct message *message)
{
	return link_send(mesh_get_link(mesh, address), message);
}

/* Returns the number of bytes in all links' send queues. */
size_t
mesh_queued_bytes(const struct mesh *mesh)
{
	const struct mesh_connection *connection;
	size_t bytes = 0;

	TAILQ_FOREACH (connection, &mesh->connections, entry)
		bytes += link_queued_bytes(connection->link);
	return bytes;
}

/* Adds the distinct addresses of all sources that are near, or the others. */
static void
add_peers(struct mesh *mesh, GHashTable *seen, bool near)
{
	for (size_t i = 0; i < MESH_SOURCES; i++) {
		for (guint j = 0; j < mesh->sources[i]->len; j++) {
			char *address = g_ptr_array_index(mesh->sources[i], j);

			if (g_hash_table_contains(mesh->near, address) !=
				near ||
			    g_strcmp0(address, mesh->identity->address) == 0 ||
			    !g_hash_table_add(seen, address))
				continue;
			g_ptr_array_add(mesh->peers, address);
		}
	}
}

/* Builds the list of peers: the near ones, then the others. */
static void
merge_sources(struct mesh *mesh)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);

	g_ptr_array_set_size(mesh->peers, 0);
	add_peers(mesh, seen, true);
	mesh->near_count = mesh->peers->len;
	add_peers(mesh, seen, false);
	metric_set(&peer_count, mesh->peers->len);
}

/*
 * Sets which addresses are near, in the failure domain of this process. They
 * come first in the list of peers, as far as they are peers.
 */
void
mesh_set_near(struct mesh *mesh, const char *const *addresses, size_t count)
{
	g_hash_table_remove_all(mesh->near);
	for (size_t i = 0; i < count; i++)
		g_hash_table_add(mesh->near, g_strdup(addresses[i]));
	merge_sources(mesh);
}

/* Returns how many of the first peers are near. */
size_t
mesh_near_count(const struct mesh *mesh)
{
	return mesh->near_count;
}

/*
 * Returns whether the last link to an address was opened, by either side, or
 * none was tried. Only peers are remembered.
 */
bool
mesh_is_reachable(const struct mesh *mesh, const char *address)
{
	return !g_hash_table_contains(mesh->unreachable, address);
}

/* Returns whether an unreachable address is no peer any more. */
static gboolean
is_no_peer(gpointer address, gpointer value, gpointer data)
{
	const struct mesh *mesh = data;

	return !g_ptr_array_find_with_equal_func(
	    mesh->peers, address, g_str_equal, NULL);
}

/* Replaces the addresses of one source. */
void
mesh_set_peers(struct mesh *mesh, enum mesh_source source,
    const char *const *addresses, size_t count)
{
	g_ptr_array_set_size(mesh->sources[source], 0);
	for (size_t i = 0; i < count; i++) {
		if (addresses[i] != NULL && addresses[i][0] != '\0')
			g_ptr_array_add(
			    mesh->sources[source], g_strdup(addresses[i]));
	}
	merge_sources(mesh);
	g_hash_table_foreach_remove(mesh->unreachable, is_no_peer, mesh);
}

/* Returns all peers' addresses; valid until mesh_set_peers(). */
const char *const *
mesh_peers(const struct mesh *mesh, size_t *count)
{
	*count = mesh->peers->len;
	return (const char *const *)mesh->peers->pdata;
}

/*
 * Asks processes for the configuration in force and their state. The callback
 * is called once: when all have answered, or after timeout_ms.
 */
void
mesh_query_status(struct mesh *mesh, const char *const *addresses, size_t count,
    int64_t timeout_ms, mesh_status_fn *callback, void *data)
{
	status_query_start(&mesh->status_queries, mesh, mesh->loop,
	    mesh->identity, addresses, count, timeout_ms, callback, data);
}

/* Sets the callback that adds to this process's answers to status queries. */
void
mesh_set_status_callback(
    struct mesh *mesh, mesh_status_report_fn *report, void *data)
{
	mesh->status_report = report;
	mesh->status_report_data = data;
}

/* Reports that an upstream died while it ran the request. */
void
mesh_report_upstream_death(struct mesh *mesh, uint64_t request_fingerprint)
{
	const uint64_t death[] = {mesh->reporter, ++mesh->deaths};

	quarantine_record_death(mesh->quarantine,
	    XXH3_64bits(death, sizeof(death)), &request_fingerprint, 1,
	    clock_monotonic(mesh->clock));
	gossip_new_reports(mesh);
}

/* Reports that an upstream has survived the request, if it is suspect. */
void
mesh_report_survival(struct mesh *mesh, uint64_t request_fingerprint)
{
	quarantine_clear_suspect(mesh->quarantine, request_fingerprint,
	    clock_monotonic(mesh->clock));
	gossip_new_reports(mesh);
}

/*
 * Returns the known number of upstream deaths while a request was running,
 * since one last survived it; at most QUARANTINE_DEATHS.
 */
uint32_t
mesh_suspect_deaths(struct mesh *mesh, uint64_t fingerprint)
{
	return quarantine_count_deaths(
	    mesh->quarantine, fingerprint, clock_monotonic(mesh->clock));
}
