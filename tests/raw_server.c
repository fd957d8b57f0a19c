#include "raw_server.h"

#include <sys/socket.h>

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#define LAST_EVENT_FIELD "Last-Event-Id: "
#define HELPER_FIELD	 "Heatherturn-Helpers: "
#define LENGTH_FIELD	 "Content-Length: "

struct raw_connection {
	struct raw_server *server;
	size_t port;
	ev_io io;
	GString *request;
	GString *unsent;
	const struct raw_response
	    *response; /* NULL until the request is read */
	bool last_added;
};

struct raw_server {
	struct ev_loop *loop;
	const struct raw_response *responses;
	size_t count;
	ev_io listeners[RAW_SERVER_PORTS];
	int ports[RAW_SERVER_PORTS];
	GPtrArray *connections; /* of struct raw_connection */
	size_t requests;
	size_t helped;
	size_t ended;
	size_t repeats;
	bool finished;
	bool single_bytes; /* each byte is sent by itself */
};

/* Closes a connection and frees it. */
static void
connection_free(void *item)
{
	struct raw_connection *connection = item;

	ev_io_stop(connection->server->loop, &connection->io);
	close(connection->io.fd);
	g_string_free(connection->request, TRUE);
	g_string_free(connection->unsent, TRUE);
	g_free(connection);
}

/* Stops listening on a port. */
static void
stop_listening(struct raw_server *server, size_t index)
{
	if (!ev_is_active(&server->listeners[index]))
		return;
	ev_io_stop(server->loop, &server->listeners[index]);
	close(server->listeners[index].fd);
}

/* Ends a connection whose response is sent, in the way of the response. */
static void
end_connection(struct raw_connection *connection)
{
	static const struct linger reset = {.l_onoff = 1};
	struct raw_server *server = connection->server;
	size_t port = connection->port;
	enum raw_end end = connection->response->end;

	if (end == RAW_END_RESET)
		setsockopt(connection->io.fd, SOL_SOCKET, SO_LINGER, &reset,
		    sizeof(reset));
	if (end == RAW_END_STOP)
		stop_listening(server, port);
	server->ended++;
	g_ptr_array_remove(server->connections, connection);
}

/* Adds the next bytes to be sent; false if there are none. */
static bool
add_bytes(struct raw_connection *connection)
{
	const struct raw_response *response = connection->response;
	struct raw_server *server = connection->server;

	if (response->repeated != NULL && !server->finished) {
		g_string_append(connection->unsent, response->repeated);
		server->repeats++;
		return true;
	}
	if (connection->last_added || response->last == NULL)
		return false;
	connection->last_added = true;
	g_string_append(connection->unsent, response->last);
	return true;
}

/* Sends as much as the peer accepts, and ends the connection after the last. */
static void
on_writable(struct raw_connection *connection)
{
	GString *unsent = connection->unsent;
	ssize_t sent;

	if (unsent->len == 0 && !add_bytes(connection)) {
		end_connection(connection);
		return;
	}
	sent = send(connection->io.fd, unsent->str,
	    connection->server->single_bytes ? MIN(unsent->len, 1)
					     : unsent->len,
	    MSG_NOSIGNAL | MSG_DONTWAIT);
	if (sent > 0)
		g_string_erase(unsent, 0, sent);
	else if (sent < 0 && errno != EAGAIN)
		end_connection(connection);
}

/* Returns whether a request is complete, its body included. */
static bool
is_complete(const GString *request)
{
	const char *end = strstr(request->str, "\r\n\r\n");
	const char *length = strstr(request->str, LENGTH_FIELD);

	if (end == NULL)
		return false;
	return strlen(end + 4) >=
	    (length == NULL ? 0
			    : strtoul(length + strlen(LENGTH_FIELD), NULL, 10));
}

/* Checks the id of the event after which the request asks for a stream. */
static void
check_last_event(const char *request, const char *after)
{
	const char *field = strstr(request, LAST_EVENT_FIELD);
	g_autofree char *line = g_strdup_printf(
	    LAST_EVENT_FIELD "%s\r\n", after);

	if (after[0] == '\0')
		g_assert_null(field);
	else
		g_assert_true(field != NULL && g_str_has_prefix(field, line));
}

/* Returns the response to a request. */
static const struct raw_response *
next_response(struct raw_server *server, const GString *request)
{
	const struct raw_response *response;

	g_assert_cmpuint(server->requests, <, server->count);
	response = &server->responses[server->requests++];
	g_assert_nonnull(response->bytes);
	if (response->after != NULL)
		check_last_event(request->str, response->after);
	server->helped += strstr(request->str, HELPER_FIELD) != NULL;
	return response;
}

/* Reads the request, and starts its response once it is complete. */
static void
on_readable(struct raw_connection *connection)
{
	struct raw_server *server = connection->server;
	const struct raw_response *response;
	char input[4096];
	ssize_t length = recv(
	    connection->io.fd, input, sizeof(input), MSG_DONTWAIT);

	if (length == 0 || (length < 0 && errno != EAGAIN)) {
		g_ptr_array_remove(server->connections, connection);
		return;
	}
	if (length < 0)
		return;
	g_string_append_len(connection->request, input, length);
	if (!is_complete(connection->request))
		return;
	response = next_response(server, connection->request);
	connection->response = response;
	g_string_append(connection->unsent, response->bytes);
	for (size_t i = 0; i < response->filler; i++)
		g_string_append_c(connection->unsent, 'x');
	ev_io_stop(server->loop, &connection->io);
	ev_io_set(&connection->io, connection->io.fd, EV_WRITE);
	ev_io_start(server->loop, &connection->io);
}

/* A connection is ready. */
static void
on_ready(struct ev_loop *loop, ev_io *io, int events)
{
	struct raw_connection *connection = io->data;

	if (connection->response == NULL)
		on_readable(connection);
	else
		on_writable(connection);
}

/* Accepts a connection. */
static void
on_connection(struct ev_loop *loop, ev_io *io, int events)
{
	struct raw_server *server = io->data;
	struct raw_connection *connection = g_new0(struct raw_connection, 1);
	int fd = accept(io->fd, NULL, NULL);

	g_assert_cmpint(fd, >=, 0);
	if (server->single_bytes)
		setsockopt(
		    fd, IPPROTO_TCP, TCP_NODELAY, &(int){1}, sizeof(int));
	connection->server = server;
	connection->port = (size_t)(io - server->listeners);
	connection->request = g_string_new(NULL);
	connection->unsent = g_string_new(NULL);
	ev_io_init(&connection->io, on_ready, fd, EV_READ);
	connection->io.data = connection;
	ev_io_start(loop, &connection->io);
	g_ptr_array_add(server->connections, connection);
}

/* Listens on a free port. */
static void
start_listening(struct raw_server *server, size_t index)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_assert_cmpint(
	    bind(fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
	g_assert_cmpint(listen(fd, 8), ==, 0);
	g_assert_cmpint(
	    getsockname(fd, (struct sockaddr *)&address, &length), ==, 0);
	server->ports[index] = ntohs(address.sin_port);
	ev_io_init(&server->listeners[index], on_connection, fd, EV_READ);
	server->listeners[index].data = server;
	ev_io_start(server->loop, &server->listeners[index]);
}

/* Starts the upstreams; the responses must stay valid. */
struct raw_server *
raw_server_new(
    struct ev_loop *loop, const struct raw_response *responses, size_t count)
{
	struct raw_server *server = g_new0(struct raw_server, 1);

	server->loop = loop;
	server->responses = responses;
	server->count = count;
	server->connections = g_ptr_array_new_with_free_func(connection_free);
	for (size_t i = 0; i < RAW_SERVER_PORTS; i++)
		start_listening(server, i);
	return server;
}

/* Closes all connections and stops listening. */
void
raw_server_free(struct raw_server *server)
{
	g_ptr_array_unref(server->connections);
	for (size_t i = 0; i < RAW_SERVER_PORTS; i++)
		stop_listening(server, i);
	g_free(server);
}

/* Returns the port of an upstream. */
int
raw_server_port(const struct raw_server *server, size_t index)
{
	return server->ports[index];
}

/* Returns the number of requests received. */
size_t
raw_server_requests(const struct raw_server *server)
{
	return server->requests;
}

/* Returns the number of requests received that name prefill helpers. */
size_t
raw_server_helped(const struct raw_server *server)
{
	return server->helped;
}

/* Returns the number of responses that were sent and ended. */
size_t
raw_server_ended(const struct raw_server *server)
{
	return server->ended;
}

/* Returns how often the repeated bytes were sent. */
size_t
raw_server_repeats(const struct raw_server *server)
{
	return server->repeats;
}

/* Ends the repetition of bytes in all responses. */
void
raw_server_finish(struct raw_server *server)
{
	server->finished = true;
}

/* Sends each byte of the responses by itself from now on. */
void
raw_server_send_bytes(struct raw_server *server)
{
	server->single_bytes = true;
}
