#include "endless_server.h"

#include <sys/socket.h>

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#define STREAM_HEAD                                       \
	"Heatherturn-Server-Seal: seal\r\nContent-Type: " \
	"text/event-stream\r\nTransfer-Encoding: chunked\r\n"

/* Bytes that are sent at once, if the peer takes them. */
#define SEND_BYTES ((size_t)64 * 1024)

/* Bytes that are sent once, then over and over. */
static const struct endless_bytes {
	const char *start;
	const char *repeated;
} bytes_of[] = {
    [ENDLESS_HEAD] = {"", "X-Filler: 0123456789012345678901234567890123\r\n"},
    [ENDLESS_HEADER_LINE] = {"X-Filler: ", "0123456789abcdef"},
    [ENDLESS_INTERIM_RESPONSES] = {"\r\n",
	"HTTP/1.1 103 Early Hints\r\nX-Filler: 0123456789\r\n\r\n"},
    [ENDLESS_EVENT] = {STREAM_HEAD "\r\n7fffffff\r\nid: 1\ndata: ",
	"0123456789abcdef0123456789abcdef"},
    [ENDLESS_CHUNK_EXTENSION] = {STREAM_HEAD "\r\n10;", "x=0123456789abcdef;"},
    [ENDLESS_TRAILER] = {STREAM_HEAD "\r\n0\r\n",
	"X-Filler: 0123456789012345678901234567890123\r\n"},
    [ENDLESS_BODY] = {"Heatherturn-Server-Seal: seal\r\n\r\n",
	"0123456789abcdef0123456789abcdef"},
};

struct endless_server {
	struct ev_loop *loop;
	GString *start;
	GString *repeated;
	int port;
	ev_io listener;
	ev_io connection; /* the latest */
	GString *unsent;
	size_t bytes; /* sent on all connections */
	bool closed; /* by the peer */
};

/* Closes the connection, if there is one. */
static void
close_connection(struct endless_server *server)
{
	if (!ev_is_active(&server->connection))
		return;
	ev_io_stop(server->loop, &server->connection);
	close(server->connection.fd);
}

/* Sends as much as the peer accepts. */
static void
on_writable(struct ev_loop *loop, ev_io *io, int events)
{
	struct endless_server *server = io->data;
	char input[4096];
	ssize_t sent;

	if (recv(io->fd, input, sizeof(input), MSG_DONTWAIT) == 0) {
		server->closed = true;
		close_connection(server);
		return;
	}
	while (server->unsent->len < SEND_BYTES)
		g_string_append_len(server->unsent, server->repeated->str,
		    (gssize)server->repeated->len);
	sent = send(io->fd, server->unsent->str, server->unsent->len,
	    MSG_NOSIGNAL | MSG_DONTWAIT);
	if (sent > 0) {
		server->bytes += (size_t)sent;
		g_string_erase(server->unsent, 0, sent);
	} else if (sent < 0 && errno != EAGAIN) {
		server->closed = true;
		close_connection(server);
	}
}

/* Accepts a connection and starts to respond. */
static void
on_connection(struct ev_loop *loop, ev_io *io, int events)
{
	struct endless_server *server = io->data;
	int fd = accept(io->fd, NULL, NULL);

	g_assert_cmpint(fd, >=, 0);
	close_connection(server);
	server->closed = false;
	g_string_assign(server->unsent, "");
	g_string_append_len(
	    server->unsent, server->start->str, (gssize)server->start->len);
	ev_io_init(&server->connection, on_writable, fd, EV_WRITE);
	server->connection.data = server;
	ev_io_start(loop, &server->connection);
}

/* Listens on a free port; responses echo a request id. */
struct endless_server *
endless_server_new(
    struct ev_loop *loop, enum endless_kind kind, const char *request_id)
{
	g_autoptr(GString) start = g_string_new(NULL);
	g_autoptr(GString) repeated = g_string_new(bytes_of[kind].repeated);

	g_string_printf(start, "HTTP/1.1 %s\r\n%s%s%s%s",
	    kind == ENDLESS_INTERIM_RESPONSES ? "103 Early Hints" : "200 OK",
	    "Heatherturn-Attempt-Id: ", request_id, "\r\n",
	    bytes_of[kind].start);
	return endless_server_new_bytes(loop, start, repeated);
}

/* Listens on a free port; responses are the first bytes, then the others. */
struct endless_server *
endless_server_new_bytes(
    struct ev_loop *loop, const GString *start, const GString *repeated)
{
	struct endless_server *server = g_new0(struct endless_server, 1);
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	server->loop = loop;
	server->start = g_string_new_len(start->str, (gssize)start->len);
	server->repeated = g_string_new_len(
	    repeated->str, (gssize)repeated->len);
	server->unsent = g_string_new(NULL);
	g_assert_cmpint(
	    bind(fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
	g_assert_cmpint(listen(fd, 8), ==, 0);
	g_assert_cmpint(
	    getsockname(fd, (struct sockaddr *)&address, &length), ==, 0);
	server->port = ntohs(address.sin_port);
	ev_io_init(&server->listener, on_connection, fd, EV_READ);
	server->listener.data = server;
	ev_io_start(loop, &server->listener);
	ev_init(&server->connection, on_writable);
	return server;
}

/* Stops the server. */
void
endless_server_free(struct endless_server *server)
{
	close_connection(server);
	ev_io_stop(server->loop, &server->listener);
	close(server->listener.fd);
	g_string_free(server->unsent, TRUE);
	g_string_free(server->start, TRUE);
	g_string_free(server->repeated, TRUE);
	g_free(server);
}

/* Returns the port. */
int
endless_server_port(const struct endless_server *server)
{
	return server->port;
}

/* Returns the bytes sent so far. */
size_t
endless_server_bytes(const struct endless_server *server)
{
	return server->bytes;
}

/* Returns whether the peer has closed the latest connection. */
bool
endless_server_is_closed(const struct endless_server *server)
{
	return server->closed;
}
