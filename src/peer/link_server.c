#include <unistd.h>

#include "peer/link_internal.h"
#include "peer/socket.h"

#define LOG_MODULE "link"
#include "base/log.h"

/* Delay before accepting again when descriptors or memory had run out. */
#define ACCEPT_RETRY_MS 100

struct link_server {
	struct ev_loop *loop;
	struct clock *clock;
	const struct link_identity *identity;
	const struct link_ops *ops;
	void *data;
	int fd;
	int port;
	ev_io accept_watcher;
	ev_timer accept_retry_timer;
	struct link_list links;
};

/* Accepts one connection. */
static void
on_connection(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct link_server *server = watcher->data;
	int fd = socket_accept(server->fd);

	if (fd >= 0) {
		link_accept(loop, server->clock, server->identity, server->ops,
		    server->data, fd, &server->links);
		return;
	}
	if (!socket_is_out_of_resources())
		return;
	LOG_WARN("connection not accepted: out of descriptors or memory", "{}");
	ev_io_stop(loop, &server->accept_watcher);
	ev_timer_set(&server->accept_retry_timer,
	    (double)ACCEPT_RETRY_MS / MS_PER_S, 0.0);
	ev_timer_start(loop, &server->accept_retry_timer);
}

/* Accepts connections again after the delay. */
static void
on_accept_retry(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct link_server *server = watcher->data;

	ev_io_start(loop, &server->accept_watcher);
}

/*
 * Listens on HOST:PORT, port 0 for any. Accepted links get the given callbacks
 * and data. NULL with LINK_ERROR on failure.
 */
struct link_server *
link_server_new(struct ev_loop *loop, struct clock *clock,
    const struct link_identity *identity, const char *address,
    const struct link_ops *ops, void *data, GError **error)
{
	struct link_server *server;
	int port;
	int fd = socket_listen(address, &port, error);

	if (fd < 0)
		return NULL;
	server = g_new0(struct link_server, 1);
	server->loop = loop;
	server->clock = clock;
	server->identity = identity;
	server->ops = ops;
	server->data = data;
	server->fd = fd;
	server->port = port;
	TAILQ_INIT(&server->links);
	ev_io_init(&server->accept_watcher, on_connection, fd, EV_READ);
	ev_init(&server->accept_retry_timer, on_accept_retry);
	server->accept_watcher.data = server;
	server->accept_retry_timer.data = server;
	ev_io_start(loop, &server->accept_watcher);
	return server;
}

/* Returns the listening port. */
int
link_server_port(const struct link_server *server)
{
	return server->port;
}

/* Stops listening and closes the accepted links without a callback. */
void
link_server_free(struct link_server *server)
{
	if (server == NULL)
		return;
	ev_io_stop(server->loop, &server->accept_watcher);
	ev_timer_stop(server->loop, &server->accept_retry_timer);
	close(server->fd);
	link_list_close(&server->links);
	g_free(server);
}
