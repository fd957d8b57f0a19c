#include "base/metrics.h"
#include "peer/link_internal.h"

METRIC_DEFINE(silent_count, METRIC_COUNTER, "heatherturn_links_silent", NULL,
    "Links closed because nothing was received after a ping.");

/* Returns whether this side uses the link: it has users or was just used. */
bool
link_is_in_use(const struct link *link, struct timespec now)
{
	return link->users > 0 ||
	    time_diff_ms(now, link->last_used_at) < LINK_ACTIVE_MS;
}

/*
 * Returns whether heartbeats are needed: either side uses the link. So both
 * sides detect a timeout, also the one that only waits for messages.
 */
static bool
needs_heartbeat(const struct link *link, struct timespec now)
{
	return link_is_in_use(link, now) ||
	    time_diff_ms(now, link->peer_last_used_at) < LINK_ACTIVE_MS;
}

/*
 * Sends a ping. The ping timeout counts from the oldest ping since which
 * nothing was received. The sequence is 1 if this side uses the link itself, 0
 * if it only follows the peer's use.
 */
void
link_send_ping(struct link *link)
{
	struct timespec now = clock_monotonic(link->clock);
	struct message ping = {
	    .kind = MESSAGE_PING, .sequence = link_is_in_use(link, now)};

	link_fill_header(link, &ping);
	frame_queue_push(&link->out, &ping);
	if (!time_is_set(link->unanswered_ping_at))
		link->unanswered_ping_at = now;
	link_schedule_write(link);
}

/* Closes a link whose handshake has timed out. */
static void
check_handshake(struct link *link, struct timespec now)
{
	if (link->state == LINK_CONNECTING &&
	    time_diff_ms(now, link->opened_at) >= LINK_CONNECT_TIMEOUT_MS)
		link_fail(link, LINK_ERROR_CONNECT, "connect timed out");
	else if (link->state == LINK_HANDSHAKING &&
	    time_diff_ms(now, link->opened_at) >= LINK_PING_TIMEOUT_MS)
		link_fail(link, LINK_ERROR_TIMEOUT, "handshake timed out");
}

/*
 * Closes a link whose ping has timed out. The socket is read first: data may
 * have arrived in its buffer while this process itself was stopped.
 */
static void
check_ping_timeout(struct link *link, struct timespec now)
{
	if (!time_is_set(link->unanswered_ping_at) ||
	    time_diff_ms(now, link->unanswered_ping_at) < LINK_PING_TIMEOUT_MS)
		return;
	link_read(link);
	if (link->state == LINK_CLOSED ||
	    !time_is_set(link->unanswered_ping_at))
		return;
	metric_add(&silent_count, 1);
	link_fail(link, LINK_ERROR_TIMEOUT,
	    "nothing received within the ping timeout");
}

/* Returns whether neither side has used the link for the idle timeout. */
static bool
is_idle(const struct link *link, struct timespec now)
{
	int64_t limit_ms = link->accepted == NULL ? LINK_IDLE_TIMEOUT_MS
						  : 2 * LINK_IDLE_TIMEOUT_MS;

	return link->users == 0 &&
	    time_diff_ms(now, link->last_used_at) >= limit_ms &&
	    time_diff_ms(now, link->peer_last_used_at) >= limit_ms;
}

/*
 * Closes an unused link; the accepting side waits twice as long. The peer's
 * pings say whether it uses the link, so the socket is read for them first.
 */
static void
check_idle(struct link *link, struct timespec now)
{
	if (!is_idle(link, now))
		return;
	link_read(link);
	if (link->state == LINK_OPEN && is_idle(link, now))
		link_fail(link, LINK_ERROR_IDLE, "unused");
}

/*
 * Returns whether the peer's heartbeats are enough for both sides: data was
 * received in this half of the interval, so the peer pings before we do, and
 * our pongs show it that we are alive. A round trip of our own is still
 * measured every LINK_ROUND_TRIP_INTERVAL_MS, as only that bounds the clock
 * offset.
 */
static bool
peer_heartbeat_suffices(const struct link *link, struct timespec now)
{
	return time_diff_ms(now, link->last_received_at) <
	    LINK_HEARTBEAT_MS / 2 &&
	    time_diff_ms(now, link->last_pong_at) < LINK_ROUND_TRIP_INTERVAL_MS;
}

/*
 * Checks for timeouts and sends a ping if one is due. Runs every
 * LINK_HEARTBEAT_MS; may be called sooner, e.g. after the process was stopped,
 * but not from the link's own callbacks.
 */
void
link_check_liveness(struct link *link)
{
	struct timespec now = clock_monotonic(link->clock);

	link_begin_callback(link);
	if (link->connect_error != NULL)
		link_fail_with(link, g_steal_pointer(&link->connect_error));
	else if (link->state != LINK_OPEN)
		check_handshake(link, now);
	else
		check_ping_timeout(link, now);
	if (link->state == LINK_OPEN)
		check_idle(link, now);
	if (link->state == LINK_OPEN && needs_heartbeat(link, now) &&
	    !peer_heartbeat_suffices(link, now))
		link_send_ping(link);
	link_end_callback(link);
}
