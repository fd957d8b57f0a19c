/*
 * Tells whether a peer that has ended its sending side of a TCP connection
 * still reads what is sent to it.
 *
 * A peer that shuts only its sending side down acknowledges later bytes. One
 * that has closed the socket resets the connection at the first of them: what
 * it sent before may then be a part only, since an end of data does not tell
 * the two apart.
 */
#ifndef BASE_HALF_CLOSE_H
#define BASE_HALF_CLOSE_H

#include <stdbool.h>
#include <stddef.h>

#include <ev.h>

struct half_close;

/* The peer reads, or has reset the connection. Frees the check. */
typedef void half_close_fn(void *data, bool reads);

bool half_close_is_acknowledged(int fd);
struct half_close *half_close_check(struct ev_loop *, int fd, const void *rest,
    size_t rest_length, half_close_fn *, void *data);
void half_close_cancel(struct half_close *);

#endif
