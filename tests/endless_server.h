/*
 * An upstream that responds to each connection with bytes without end, until
 * the peer closes it: a head, a line, interim responses, a body or a part of
 * one.
 */
#ifndef TESTS_ENDLESS_SERVER_H
#define TESTS_ENDLESS_SERVER_H

#include <stdbool.h>
#include <stddef.h>

#include <ev.h>
#include <glib.h>

/* What has no end. */
enum endless_kind {
	ENDLESS_HEAD, /* header lines */
	ENDLESS_HEADER_LINE,
	ENDLESS_INTERIM_RESPONSES, /* of status 103 */
	ENDLESS_EVENT, /* of a stream */
	ENDLESS_CHUNK_EXTENSION,
	ENDLESS_TRAILER,
	ENDLESS_BODY,
};

struct endless_server;

struct endless_server *endless_server_new(
    struct ev_loop *, enum endless_kind, const char *request_id);
struct endless_server *endless_server_new_bytes(
    struct ev_loop *, const GString *start, const GString *repeated);
void endless_server_free(struct endless_server *);
int endless_server_port(const struct endless_server *);
size_t endless_server_bytes(const struct endless_server *);
bool endless_server_is_closed(const struct endless_server *);

#endif
