#include "base/half_close.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <glib.h>
#include <linux/sockios.h>

#include "base/clock.h"

/* Interval of looking at the connection; doubles up to the maximum. */
#define POLL_MIN_MS 1
#define POLL_MAX_MS 50
/* Sent if the peer has acknowledged all so far: one byte is an answer. */
#define PROBE_BYTES 1

struct half_close {
	struct ev_loop *loop;
	int fd;
	int queued; /* bytes not acknowledged when the check began */
	int64_t interval_ms;
	ev_timer timer;
	half_close_fn *callback;
	void *data;
};

/* Returns how many bytes the peer has not acknowledged; -1 on an error. */
static int
unacknowledged(int fd)
{
	int bytes;

	return ioctl(fd, SIOCOUTQ, &bytes) == 0 ? bytes : -1;
}

/* Returns whether the peer has acknowledged all that was sent. */
bool
half_close_is_acknowledged(int fd)
{
	return unacknowledged(fd) == 0;
}

/* Returns whether the connection has been reset, or has failed otherwise. */
static bool
is_reset(int fd)
{
	struct tcp_info info = {0};
	socklen_t size = sizeof(info);

	return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
	    info.tcpi_state == TCP_CLOSE;
}

/* Ends the check without a callback; NULL is allowed. */
void
half_close_cancel(struct half_close *check)
{
	if (check == NULL)
		return;
	ev_timer_stop(check->loop, &check->timer);
	close(check->fd);
	g_free(check);
}

/* Starts the timer for the next look. */
static void
start_timer(struct half_close *check)
{
	ev_timer_set(&check->timer, (double)check->interval_ms / MS_PER_S, 0.0);
	ev_timer_start(check->loop, &check->timer);
	check->interval_ms = MIN(2 * check->interval_ms, POLL_MAX_MS);
}

/* Looks whether the peer has acknowledged more, or reset the connection. */
static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct half_close *check = timer->data;
	half_close_fn *callback = check->callback;
	void *data = check->data;
	bool reset = is_reset(check->fd);
	int queued = unacknowledged(check->fd);

	if (!reset && queued >= check->queued) {
		start_timer(check);
		return;
	}
	half_close_cancel(check);
	callback(data, !reset);
}

/*
 * Starts to find out whether the peer, which has ended its side, reads on. Owns
 * the socket. The rest is what remains to be sent on it; a byte of it is sent
 * if the peer has acknowledged all before. One that neither acknowledges nor
 * resets keeps the check open: the owner limits its time.
 */
struct half_close *
half_close_check(struct ev_loop *loop, int fd, const void *rest,
    size_t rest_length, half_close_fn *callback, void *data)
{
	struct half_close *check = g_new0(struct half_close, 1);

	check->loop = loop;
	check->fd = fd;
	check->interval_ms = POLL_MIN_MS;
	check->callback = callback;
	check->data = data;
	ev_init(&check->timer, on_timer);
	check->timer.data = check;
	if (rest_length > 0 && unacknowledged(fd) == 0) {
		/* If it fails the connection is reset, which is seen later. */
		(void)send(fd, rest, MIN(rest_length, PROBE_BYTES),
		    MSG_NOSIGNAL | MSG_DONTWAIT);
		check->queued = PROBE_BYTES;
	} else {
		check->queued = unacknowledged(fd);
	}
	start_timer(check);
	return check;
}
