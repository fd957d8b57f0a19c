#define _GNU_SOURCE /* memmem */

#include "http.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#define READ_BYTES	 16384
#define READ_TIMEOUT_S	 20
#define FORMAT_MAX_BYTES 65536

/* Returns the loopback address with a port. */
static struct sockaddr_in
loopback(int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET};

	address.sin_port = htons((unsigned short)port);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

/* Listens on a port, or on any free one if it is 0; exits on failure. */
int
http_listen(int *port)
{
	struct sockaddr_in address = loopback(*port);
	socklen_t length = sizeof(address);
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0)
		exit(2);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, 128) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &length) != 0)
		exit(2);
	*port = ntohs(address.sin_port);
	return fd;
}

/* Sets the options of a connected socket. */
static void
set_options(int fd)
{
	struct timeval timeout = {.tv_sec = READ_TIMEOUT_S};
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
}

/* Connects to a port; -1 on failure. */
int
http_connect(int port)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0)
		return -1;
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Sends all bytes; false if the peer is gone. */
bool
http_send(int fd, const char *bytes, size_t length)
{
	while (length > 0) {
		ssize_t sent = send(fd, bytes, length, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		bytes += sent;
		length -= (size_t)sent;
	}
	return true;
}

/* Sends formatted text. */
bool
http_sendf(int fd, const char *format, ...)
{
	char *text = malloc(FORMAT_MAX_BYTES);
	va_list args;
	int length;
	bool ok;

	if (text == NULL)
		return false;
	va_start(args, format);
	length = vsnprintf(text, FORMAT_MAX_BYTES, format, args);
	va_end(args);
	ok = length >= 0 && length < FORMAT_MAX_BYTES &&
	    http_send(fd, text, (size_t)length);
	free(text);
	return ok;
}

/* Starts to read from a socket. */
void
http_open(struct http_connection *connection, int fd)
{
	*connection = (struct http_connection){.fd = fd};
	connection->bytes = calloc(1, HTTP_HEAD_MAX + HTTP_BODY_MAX);
	if (connection->bytes == NULL)
		exit(2);
	set_options(fd);
}

/* Closes the socket. */
void
http_close(struct http_connection *connection)
{
	close(connection->fd);
	free(connection->bytes);
}

/* Receives more bytes; false at the end of the connection. */
static bool
receive(struct http_connection *connection)
{
	size_t room = HTTP_HEAD_MAX + HTTP_BODY_MAX - connection->length - 1;
	ssize_t got;

	if (room == 0)
		return false;
	got = recv(connection->fd, connection->bytes + connection->length,
	    room < READ_BYTES ? room : READ_BYTES, 0);
	if (got <= 0)
		return false;
	connection->length += (size_t)got;
	connection->bytes[connection->length] = '\0';
	return true;
}

/* Removes bytes from the front; returns a copy of them that ends with a 0. */
static char *
take(struct http_connection *connection, size_t length)
{
	char *out = calloc(1, length + 1);

	if (out == NULL)
		exit(2);
	memcpy(out, connection->bytes, length);
	connection->length -= length;
	memmove(connection->bytes, connection->bytes + length,
	    connection->length + 1);
	return out;
}

/* Returns the length of the text up to and with a mark, 0 if it has not come.
 */
static size_t
length_to(const struct http_connection *connection, const char *mark)
{
	const char *at = memmem(
	    connection->bytes, connection->length, mark, strlen(mark));

	return at == NULL ? 0 : (size_t)(at - connection->bytes) + strlen(mark);
}

/* Finds a header's value, ignoring the name's case; false if it is missing. */
bool
http_header(const char *head, const char *name, char *out, size_t size)
{
	const char *line = strstr(head, "\r\n");
	size_t length = strlen(name);

	while (line != NULL && line[2] != '\r' && line[2] != '\0') {
		line += 2;
		if (strncasecmp(line, name, length) == 0 &&
		    line[length] == ':') {
			line += length + 1;
			line += strspn(line, " ");
			snprintf(
			    out, size, "%.*s", (int)strcspn(line, "\r"), line);
			return true;
		}
		line = strstr(line, "\r\n");
	}
	return false;
}

/* Returns the status of a response. */
int
http_status(const char *head)
{
	const char *space = head == NULL ? NULL : strchr(head, ' ');

	return space == NULL ? 0 : (int)strtol(space + 1, NULL, 10);
}

/* Appends bytes of the connection to the body. */
static void
append(struct http_connection *connection, struct http_message *message,
    size_t length)
{
	char *part = take(connection, length);

	message->body = realloc(
	    message->body, message->body_length + length + 1);
	if (message->body == NULL)
		exit(2);
	memcpy(message->body + message->body_length, part, length + 1);
	message->body_length += length;
	free(part);
}

/* Reads a body of known length. */
static enum http_end
read_length(struct http_connection *connection, struct http_message *message,
    size_t length)
{
	while (connection->length < length) {
		if (!receive(connection))
			return HTTP_CUT;
	}
	append(connection, message, length);
	return HTTP_COMPLETE;
}

/* Reads a body in chunks. */
static enum http_end
read_chunks(struct http_connection *connection, struct http_message *message)
{
	for (;;) {
		size_t line;
		size_t size;
		char *text;

		while ((line = length_to(connection, "\r\n")) == 0) {
			if (!receive(connection))
				return HTTP_CUT;
		}
		text = take(connection, line);
		size = strtoul(text, NULL, 16);
		free(text);
		if (size > HTTP_BODY_MAX ||
		    read_length(connection, message, size + 2) != HTTP_COMPLETE)
			return HTTP_CUT;
		message->body_length -= 2;
		message->body[message->body_length] = '\0';
		if (size == 0)
			return HTTP_COMPLETE;
	}
}

/* Reads the next message of a connection. */
void
http_read(struct http_connection *connection, struct http_message *message)
{
	char value[64];
	size_t length;

	*message = (struct http_message){.end = HTTP_NONE};
	message->body = calloc(1, 1);
	while ((length = length_to(connection, "\r\n\r\n")) == 0) {
		if (connection->length >= HTTP_HEAD_MAX || !receive(connection))
			return;
	}
	message->head = take(connection, length);
	if (http_header(
		message->head, "Transfer-Encoding", value, sizeof(value)))
		message->end = read_chunks(connection, message);
	else if (http_header(
		     message->head, "Content-Length", value, sizeof(value)))
		message->end = read_length(
		    connection, message, strtoul(value, NULL, 10));
	else
		message->end = HTTP_COMPLETE;
}

/* Frees a message's texts. */
void
http_message_clear(struct http_message *message)
{
	free(message->head);
	free(message->body);
	*message = (struct http_message){.end = HTTP_NONE};
}
