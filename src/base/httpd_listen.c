#include <sys/socket.h>

#include <errno.h>
#include <netdb.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "base/httpd_internal.h"

#define LISTEN_BACKLOG 1024
/* Bounds the runs if the library accepts no more connections. */
#define BACKLOG_RUNS_MAX 128

/*
 * Resolves HOST:PORT or [HOST]:PORT with a numeric host; NULL and an error if
 * it is neither. Free with freeaddrinfo().
 */
static struct addrinfo *
parse_address(const char *address, GError **error)
{
	const char *colon = strrchr(address, ':');
	struct addrinfo hints = {
	    .ai_socktype = SOCK_STREAM,
	    .ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE,
	};
	struct addrinfo *found = NULL;
	g_autofree char *host = NULL;
	size_t length = colon == NULL ? 0 : (size_t)(colon - address);

	if (length > 2 && address[0] == '[' && address[length - 1] == ']')
		host = g_strndup(address + 1, length - 2);
	else
		host = g_strndup(address, length);
	if (length == 0 || colon[1] == '\0' ||
	    getaddrinfo(host, colon + 1, &hints, &found) != 0)
		g_set_error(error, HTTPD_ERROR, HTTPD_ERROR_ADDRESS,
		    "'%s' is not an address of the form HOST:PORT with a "
		    "numeric host",
		    address);
	return found;
}

/* Returns a socket's local port; 0 on failure. */
int
httpd_local_port(int fd)
{
	struct sockaddr_storage bound;
	socklen_t length = sizeof(bound);
	char text[NI_MAXSERV] = "0";

	if (getsockname(fd, (struct sockaddr *)&bound, &length) == 0)
		getnameinfo((struct sockaddr *)&bound, length, NULL, 0, text,
		    sizeof(text), NI_NUMERICSERV);
	return (int)g_ascii_strtoll(text, NULL, 10);
}

/* Opens a listening socket; -1 and an error on failure. */
int
httpd_listen(const char *address, GError **error)
{
	struct addrinfo *info = parse_address(address, error);
	int on = 1;
	int fd;

	if (info == NULL)
		return -1;
	fd = socket(
	    info->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || bind(fd, info->ai_addr, info->ai_addrlen) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0) {
		g_set_error(error, HTTPD_ERROR, HTTPD_ERROR_LISTEN,
		    "can't listen on %s: %s", address, g_strerror(errno));
		if (fd >= 0)
			close(fd);
		fd = -1;
	}
	freeaddrinfo(info);
	return fd;
}

/*
 * Accepts the connections that the system has completed; closing the listening
 * socket would reset them.
 */
void
httpd_accept_backlog(struct httpd *httpd)
{
	struct pollfd listener = {
	    .fd = MHD_get_daemon_info(httpd->daemon, MHD_DAEMON_INFO_LISTEN_FD)
		      ->listen_fd,
	    .events = POLLIN,
	};

	for (int i = 0; i < BACKLOG_RUNS_MAX && poll(&listener, 1, 0) > 0; i++)
		MHD_run(httpd->daemon);
	httpd_schedule_run(httpd);
}
