#include "peer/socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#include "peer/link.h"

#define PORT_MAX 65535
#define BACKLOG	 512

/* Parses HOST:PORT or [HOST]:PORT, numeric only; false for anything else. */
bool
socket_parse_address(
    const char *text, struct sockaddr_storage *out, socklen_t *length)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;
	g_autofree char *host = NULL;
	const char *colon = text != NULL ? strrchr(text, ':') : NULL;
	guint64 port;

	if (colon == NULL ||
	    !g_ascii_string_to_unsigned(
		colon + 1, 10, 0, PORT_MAX, &port, NULL))
		return false;
	memset(out, 0, sizeof(*out));
	if (text[0] == '[' && colon - text > 2 && colon[-1] == ']') {
		host = g_strndup(text + 1, (gsize)(colon - text - 2));
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons((uint16_t)port);
		*length = sizeof(*v6);
		return inet_pton(AF_INET6, host, &v6->sin6_addr) == 1;
	}
	host = g_strndup(text, (gsize)(colon - text));
	v4->sin_family = AF_INET;
	v4->sin_port = htons((uint16_t)port);
	*length = sizeof(*v4);
	return inet_pton(AF_INET, host, &v4->sin_addr) == 1;
}

/* Returns an address's port in host byte order. */
static int
port_from_address(const struct sockaddr_storage *address)
{
	if (address->ss_family == AF_INET6)
		return ntohs(((const struct sockaddr_in6 *)address)->sin6_port);
	return ntohs(((const struct sockaddr_in *)address)->sin_port);
}

/* Creates a socket for HOST:PORT; -1 with LINK_ERROR on failure. */
static int
make_socket(const char *text, struct sockaddr_storage *address,
    socklen_t *length, GError **error)
{
	int fd;

	if (!socket_parse_address(text, address, length)) {
		g_set_error(error, LINK_ERROR, LINK_ERROR_ADDRESS,
		    "'%s' is not HOST:PORT with a numeric IP address", text);
		return -1;
	}
	fd = socket(
	    address->ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		g_set_error(error, LINK_ERROR, LINK_ERROR_CONNECT,
		    "can't create a socket for %s: %s", text,
		    g_strerror(errno));
	return fd;
}

/* Disables Nagle's algorithm so that small frames are sent at once. */
static void
set_no_delay(int fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

/*
 * Starts to connect; the socket becomes writable when the result is known.
 * Returns the descriptor, or -1 with LINK_ERROR.
 */
int
socket_connect(const char *text, GError **error)
{
	struct sockaddr_storage address;
	socklen_t length;
	int fd = make_socket(text, &address, &length, error);

	if (fd < 0)
		return -1;
	set_no_delay(fd);
	if (connect(fd, (struct sockaddr *)&address, length) < 0 &&
	    errno != EINPROGRESS) {
		g_set_error(error, LINK_ERROR, LINK_ERROR_CONNECT,
		    "can't connect to %s: %s", text, g_strerror(errno));
		close(fd);
		return -1;
	}
	return fd;
}

/* Returns the result of a connect as an errno value, 0 for success. */
int
socket_connect_error(int fd)
{
	int code = 0;
	socklen_t length = sizeof(code);

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &code, &length) < 0)
		return errno;
	return code;
}

/*
 * Listens on HOST:PORT, port 0 for any. The descriptor, or -1 with LINK_ERROR.
 */
int
socket_listen(const char *text, int *port, GError **error)
{
	struct sockaddr_storage address;
	socklen_t length;
	int one = 1;
	int fd = make_socket(text, &address, &length, error);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, length) < 0 ||
	    listen(fd, BACKLOG) < 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &length) < 0) {
		g_set_error(error, LINK_ERROR, LINK_ERROR_LISTEN,
		    "can't listen on %s: %s", text, g_strerror(errno));
		close(fd);
		return -1;
	}
	*port = port_from_address(&address);
	return fd;
}

/* Accepts one connection; -1 with errno if none could be accepted. */
int
socket_accept(int listener)
{
	int fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd >= 0)
		set_no_delay(fd);
	return fd;
}

/*
 * Returns whether the last call failed for lack of descriptors or memory: the
 * connection is still pending, and an immediate retry would only spin.
 */
bool
socket_is_out_of_resources(void)
{
	return errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
	    errno == ENOMEM;
}
