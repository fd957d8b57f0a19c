#include "peer/link.h"

#include <errno.h>
#include <unistd.h>

#include "base/invariant.h"
#include "base/loop_monitor.h"
#include "peer/link_internal.h"
#include "peer/socket.h"

#define LOG_MODULE "link"
#include "base/log.h"

INVARIANT_DEFINE(queue_bound, "link_queue_bounded");

G_DEFINE_QUARK(link_error, link_error)

/* Frees a link and closes its socket. */
static void
free_link(struct link *link)
{
	ev_io_stop(link->loop, &link->readable);
	ev_io_stop(link->loop, &link->writable);
	ev_timer_stop(link->loop, &link->tick);
	if (link->fd >= 0)
		close(link->fd);
	if (link->accepted != NULL)
		TAILQ_REMOVE(link->accepted, link, entry);
	frame_buffer_clear(&link->in);
	frame_queue_clear(&link->out);
	frame_queue_clear(&link->pending);
	g_clear_error(&link->connect_error);
	message_free(link->hello);
	g_free(link);
}

/* Marks the start of a callback or of code that may call one. */
void
link_begin_callback(struct link *link)
{
	link->callback_depth++;
}

/* Marks its end; frees the link if it was closed since the start. */
void
link_end_callback(struct link *link)
{
	if (--link->callback_depth == 0 && link->state == LINK_CLOSED)
		free_link(link);
}

/* Closes a link: its watchers stop at once, its memory is freed later. */
static void
stop_link(struct link *link)
{
	link->state = LINK_CLOSED;
	ev_io_stop(link->loop, &link->readable);
	ev_io_stop(link->loop, &link->writable);
	ev_timer_stop(link->loop, &link->tick);
}

/*
 * Closes a link and passes the error to its owner. Takes ownership of the
 * error.
 */
void
link_fail_with(struct link *link, GError *error)
{
	if (link->state == LINK_CLOSED) {
		g_error_free(error);
		return;
	}
	stop_link(link);
	LOG_DEBUG("link closed", "{s:s, s:s}", "peer",
	    link->hello != NULL ? link->hello->hello.process : "", "reason",
	    error->message);
	if (link->ops->closed != NULL)
		link->ops->closed(link->data, link, error);
	g_error_free(error);
}

/* Closes a link with an error code and a fixed text. */
void
link_fail(struct link *link, enum link_error code, const char *text)
{
	link_fail_with(link, g_error_new_literal(LINK_ERROR, code, text));
}

/* Sets a message's send time and configuration version. */
void
link_fill_header(const struct link *link, struct message *message)
{
	message->sent_ms = time_to_ms(clock_monotonic(link->clock));
	message->config_version = link->identity->config_version;
}

/* Calls writable() when the queue is half empty after a failed link_send(). */
static void
notify_writable(struct link *link)
{
	if (!link->send_blocked ||
	    link_queued_bytes(link) > LINK_QUEUE_MAX_BYTES / 2)
		return;
	link->send_blocked = false;
	if (link->ops->writable != NULL)
		link->ops->writable(link->data, link);
}

/* Writes until the queue is empty or the socket would block. */
static void
write_queue(struct link *link)
{
	if (frame_queue_write(&link->out, link->fd) == FRAMES_CLOSED) {
		link_fail(link, LINK_ERROR_CLOSED, g_strerror(errno));
		return;
	}
	if (frame_queue_bytes(&link->out) > 0)
		ev_io_start(link->loop, &link->writable);
	else
		ev_io_stop(link->loop, &link->writable);
	notify_writable(link);
}

/*
 * Has the queue written at the end of the loop's iteration, never inside the
 * caller's call: a broken socket must not cause a callback inside link_send().
 * The loop watches the socket only if it does not take all: this saves two
 * changes of the watched events for each message.
 */
void
link_schedule_write(struct link *link)
{
	if ((link->state == LINK_HANDSHAKING || link->state == LINK_OPEN) &&
	    !ev_is_active(&link->writable))
		ev_feed_event(link->loop, &link->writable, EV_WRITE);
}

/* The socket is readable. */
static void
on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct link *link = watcher->data;

	link_begin_callback(link);
	link_read(link);
	link_end_callback(link);
}

/* Starts the handshake on a connected socket. */
static void
start_handshake(struct link *link)
{
	link->state = LINK_HANDSHAKING;
	link->last_received_at = clock_monotonic(link->clock);
	ev_io_start(link->loop, &link->readable);
	link_send_hello(link, false);
}

/* Handles the result of a connect. */
static void
handle_connected(struct link *link)
{
	int code = socket_connect_error(link->fd);

	if (code != 0)
		link_fail(link, LINK_ERROR_CONNECT, g_strerror(code));
	else
		start_handshake(link);
}

/* The socket is connected, or writable again. */
static void
on_writable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct link *link = watcher->data;

	link_begin_callback(link);
	if (link->state == LINK_CONNECTING)
		handle_connected(link);
	if (link->state != LINK_CLOSED)
		write_queue(link);
	link_end_callback(link);
}

/* Runs the checks of each heartbeat interval. */
static void
on_tick(struct ev_loop *loop, ev_timer *watcher, int events)
{
	link_check_liveness(watcher->data);
}

/* Creates a link for a socket; fd is -1 if connecting has failed. */
static struct link *
create_link(struct ev_loop *loop, struct clock *clock,
    const struct link_identity *identity, const struct link_ops *ops,
    void *data, int fd)
{
	struct link *link = g_new0(struct link, 1);

	link->loop = loop;
	link->clock = clock;
	link->identity = identity;
	link->ops = ops;
	link->data = data;
	link->fd = fd;
	frame_buffer_init(&link->in);
	frame_queue_init(&link->out);
	frame_queue_init(&link->pending);
	link->opened_at = clock_monotonic(clock);
	link->last_used_at = link->opened_at;
	link->last_received_at = link->opened_at;
	link_auth_generate_nonce(link->nonce);
	ev_io_init(&link->readable, on_readable, fd, EV_READ);
	ev_io_init(&link->writable, on_writable, fd, EV_WRITE);
	ev_set_priority(&link->writable, LOOP_PRIORITY_LAST);
	ev_timer_init(&link->tick, on_tick, LINK_HEARTBEAT_MS / 1000.0,
	    LINK_HEARTBEAT_MS / 1000.0);
	link->readable.data = link;
	link->writable.data = link;
	link->tick.data = link;
	return link;
}

/*
 * Opens a link to HOST:PORT. Messages may be sent at once; they are queued
 * until the handshake is complete. A failure is reported through closed(),
 * never from inside this call.
 */
struct link *
link_connect(struct ev_loop *loop, struct clock *clock,
    const struct link_identity *identity, const char *address,
    const struct link_ops *ops, void *data)
{
	GError *error = NULL;
	int fd = socket_connect(address, &error);
	struct link *link = create_link(loop, clock, identity, ops, data, fd);

	link->connect_error = error;
	link->state = LINK_CONNECTING;
	if (error != NULL)
		ev_timer_set(&link->tick, 0.0, LINK_HEARTBEAT_MS / 1000.0);
	else
		ev_io_start(loop, &link->writable);
	ev_timer_start(loop, &link->tick);
	return link;
}

/*
 * Creates a link for an accepted connection. It stays in the list until it is
 * freed.
 */
struct link *
link_accept(struct ev_loop *loop, struct clock *clock,
    const struct link_identity *identity, const struct link_ops *ops,
    void *data, int fd, struct link_list *accepted)
{
	struct link *link = create_link(loop, clock, identity, ops, data, fd);

	link->accepted = accepted;
	TAILQ_INSERT_TAIL(accepted, link, entry);
	if (ops->accepted != NULL)
		ops->accepted(data, link);
	ev_timer_set(&link->tick,
	    (LINK_HEARTBEAT_MS + LINK_ACCEPTED_HEARTBEAT_DELAY_MS) / 1000.0,
	    LINK_HEARTBEAT_MS / 1000.0);
	ev_timer_start(loop, &link->tick);
	start_handshake(link);
	return link;
}

/* Closes all accepted links without a callback. */
void
link_list_close(struct link_list *accepted)
{
	struct link *link, *next;

	TAILQ_FOREACH_SAFE (link, accepted, entry, next) {
		TAILQ_REMOVE(accepted, link, entry);
		link->accepted = NULL;
		link_close(link);
	}
}

/*
 * Queues a message and sets its send time and configuration version. False if
 * the link is closed or its queue is above LINK_QUEUE_MAX_BYTES: the message
 * was not queued, and writable() is called when there is room.
 */
bool
link_send(struct link *link, struct message *message)
{
	if (link->state == LINK_CLOSED)
		return false;
	if (link_queued_bytes(link) > LINK_QUEUE_MAX_BYTES) {
		link->send_blocked = true;
		return false;
	}
	link_fill_header(link, message);
	if (!frame_queue_push(
		link->state == LINK_OPEN ? &link->out : &link->pending,
		message))
		return false;
	invariant_check(&queue_bound,
	    link_queued_bytes(link) <= LINK_QUEUE_MAX_BYTES + FRAME_MAX_BYTES +
		    LINK_HANDSHAKE_MAX_BYTES,
	    NULL, NULL);
	link->last_used_at = clock_monotonic(link->clock);
	if (link->state == LINK_OPEN && !time_is_set(link->unanswered_ping_at))
		link->unanswered_ping_at = link->last_used_at;
	link_schedule_write(link);
	return true;
}

/*
 * Closes a link after one attempt to write its queue. No callback is called
 * after this; the link must not be used any more. NULL is allowed.
 */
void
link_close(struct link *link)
{
	if (link == NULL || link->state == LINK_CLOSED)
		return;
	if (link->state == LINK_OPEN)
		frame_queue_write(&link->out, link->fd);
	stop_link(link);
	if (link->callback_depth == 0)
		free_link(link);
}

/* Keeps heartbeats on and the link open until link_remove_user(). */
void
link_add_user(struct link *link)
{
	link->users++;
}

/* Removes one user; this counts as a use. */
void
link_remove_user(struct link *link)
{
	g_return_if_fail(link->users > 0);
	link->users--;
	link->last_used_at = clock_monotonic(link->clock);
}

/* Returns whether the handshake is complete and the link not closed. */
bool
link_is_open(const struct link *link)
{
	return link->state == LINK_OPEN;
}

/*
 * Returns whether nothing was received for two heartbeat intervals, so that a
 * user who needs the peer now should use a new connection.
 */
bool
link_is_stale(const struct link *link)
{
	if (link->state == LINK_CLOSED)
		return true;
	return time_diff_ms(clock_monotonic(link->clock),
		   link->last_received_at) > 2 * LINK_HEARTBEAT_MS;
}

/* Sets the data of the link's callbacks. */
void
link_set_data(struct link *link, void *data)
{
	link->data = data;
}

/* Returns the data of the link's callbacks. */
void *
link_data(const struct link *link)
{
	return link->data;
}

/* Returns the peer's HELLO, or NULL before it was received. */
const struct message_hello *
link_peer(const struct link *link)
{
	return link->hello != NULL ? &link->hello->hello : NULL;
}

/* Returns whether the ages of messages are known: after one round trip. */
bool
link_knows_ages(const struct link *link)
{
	return link->offset.known;
}

/*
 * Returns how long ago, in ms, a message received on this link was sent, as
 * estimated from round trips: never less than the true age, and more by at most
 * the shortest round trip measured; 0 while ages are not known. Includes time
 * spent in a socket buffer while this process was stopped.
 */
int64_t
link_message_age_ms(const struct link *link, const struct message *message)
{
	return clock_offset_age_ms(&link->offset, message->sent_ms,
	    time_to_ms(clock_monotonic(link->clock)));
}

/* Returns the number of queued bytes that were not sent yet. */
size_t
link_queued_bytes(const struct link *link)
{
	return frame_queue_bytes(&link->out) +
	    frame_queue_bytes(&link->pending);
}
