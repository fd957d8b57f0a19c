#include "raw_caller.h"

#include <sys/socket.h>

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "raw_responses.h"

#define LENGTH_FIELD "Content-Length: "

/* Reads the response until the connection ends. */
static void
on_caller_readable(struct ev_loop *loop, ev_io *io, int events)
{
	struct raw_caller *caller = io->data;
	char input[4096];
	ssize_t length = recv(io->fd, input, sizeof(input), 0);

	if (length > 0) {
		g_string_append_len(caller->response, input, length);
		return;
	}
	caller->error = length < 0 ? errno : 0;
	caller->ended = true;
	ev_io_stop(loop, io);
}

/* Sends these bytes on a new connection to the gateway. */
void
raw_caller_send(struct raw_caller *caller, struct fixture *f,
    const char *request, size_t length)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	    .sin_port = htons((uint16_t)httpd_port(f->callers)),
	};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	caller->response = g_string_new(NULL);
	g_assert_cmpint(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
	g_assert_cmpint(send(fd, request, length, 0), ==, length);
	ev_io_init(&caller->io, on_caller_readable, fd, EV_READ);
	caller->io.data = caller;
	ev_io_start(f->loop, &caller->io);
}

/* Sends a request, given as its method's path and its first header lines. */
void
raw_caller_start(struct raw_caller *caller, struct fixture *f, const char *path,
    const char *version, const char *header)
{
	g_autofree char *request = g_strdup_printf(
	    "POST %s HTTP/%s\r\n%sHost: h\r\nAuthorization: " FIXTURE_KEY
	    "\r\nHeatherturn-Attempt-Id: r1\r\nContent-Length: 5\r\n\r\nasked",
	    path, version, header);

	raw_caller_send(caller, f, request, strlen(request));
}

/*
 * Returns whether a caller can tell that the response is incomplete: by a
 * reset, or by chunks without the last one.
 */
bool
raw_caller_is_cut(const struct raw_caller *caller)
{
	return caller->error == ECONNRESET ||
	    (strstr(caller->response->str, CHUNKED) != NULL &&
		!g_str_has_suffix(caller->response->str, "0\r\n\r\n"));
}

/* Returns whether a response with a length is complete. */
static bool
is_complete(const char *response)
{
	const char *body = strstr(response, "\r\n\r\n");
	const char *length = strstr(response, LENGTH_FIELD);

	return body != NULL && length != NULL &&
	    strlen(body + 4) >=
	    strtoul(length + strlen(LENGTH_FIELD), NULL, 10);
}

/*
 * Sends a request and returns the response's status; 0 if there is none. The
 * HTTP library keeps the connection open after an error of its own.
 */
int
raw_caller_call(struct fixture *f, const char *request)
{
	struct raw_caller caller = {0};
	int status = 0;

	raw_caller_send(&caller, f, request, strlen(request));
	RUN_UNTIL(f, caller.ended || is_complete(caller.response->str));
	ev_io_stop(f->loop, &caller.io);
	close(caller.io.fd);
	if (caller.response->len > strlen("HTTP/1.1 "))
		status = atoi(caller.response->str + strlen("HTTP/1.1 "));
	g_string_free(caller.response, TRUE);
	return status;
}
