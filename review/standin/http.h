/*
 * HTTP/1.1 over loopback for the stand-ins of the review: blocking sockets, one
 * thread per connection.
 */
#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

#include <stdbool.h>
#include <stddef.h>

#define HTTP_HEAD_MAX (size_t)(128 * 1024)
#define HTTP_BODY_MAX (size_t)(1024 * 1024)

/* A connection with the bytes that were received and not yet used. */
struct http_connection {
	int fd;
	char *bytes;
	size_t length;
};

/* How a message ended. */
enum http_end {
	HTTP_COMPLETE,
	HTTP_CUT, /* the connection ended inside the message */
	HTTP_NONE, /* it ended before the message */
};

/* A request or a response. */
struct http_message {
	enum http_end end;
	char *head; /* with the empty line, ends with a 0 */
	char *body; /* without the framing, ends with a 0 */
	size_t body_length;
};

int http_listen(int *port);
int http_connect(int port);
bool http_send(int fd, const char *bytes, size_t length);
bool http_sendf(int fd, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void http_open(struct http_connection *connection, int fd);
void http_close(struct http_connection *connection);
void http_read(
    struct http_connection *connection, struct http_message *message);
void http_message_clear(struct http_message *message);
bool http_header(const char *head, const char *name, char *out, size_t size);
int http_status(const char *head);

#endif
