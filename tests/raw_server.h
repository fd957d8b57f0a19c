/*
 * Upstreams that respond with given bytes and then end the connection in a
 * given way, each on its own port. Requests get the responses in order,
 * whichever upstream they reach.
 */
#ifndef TESTS_RAW_SERVER_H
#define TESTS_RAW_SERVER_H

#include <stdbool.h>
#include <stddef.h>

#include <ev.h>

#define RAW_SERVER_PORTS 3

/* What follows the bytes of a response. */
enum raw_end {
	RAW_END_CLOSE, /* as after a complete response */
	RAW_END_RESET,
	RAW_END_STOP, /* closes the connection and stops listening */
};

struct raw_response {
	const char *bytes; /* NULL for none: the test has no such response */
	size_t filler; /* further bytes, of the letter x */
	const char *repeated; /* sent until raw_server_finish(); or NULL */
	const char *last; /* sent after all others; or NULL */
	enum raw_end end;
	const char *after; /* last event id that is asked; "" none; NULL any */
};

struct raw_server;

struct raw_server *raw_server_new(
    struct ev_loop *, const struct raw_response *, size_t count);
void raw_server_free(struct raw_server *);
int raw_server_port(const struct raw_server *, size_t index);
size_t raw_server_requests(const struct raw_server *);
size_t raw_server_helped(const struct raw_server *);
void raw_server_send_bytes(struct raw_server *);
size_t raw_server_ended(const struct raw_server *);
size_t raw_server_repeats(const struct raw_server *);
void raw_server_finish(struct raw_server *);

#endif
