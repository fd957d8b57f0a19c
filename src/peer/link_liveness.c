#include "base/metrics.h"
#include "peer/link_internal.h"

METRIC_DEFINE(silent_count, METRIC_COUNTER, "heatherturn_links_silent", NULL,
    "Links closed because nothing came after a ping.");

/* Says whether this side wants the link: it is held or was just used. */
bool
link_is_in_use(const struct link *link, struct timespec now)
{
	return link->users > 0 ||
	    time_diff_ms(now, link->last_used_at) < LINK_ACTIVE_MS;
}

/*
 * Says whether heartbeats go: either side wants the link. So both find out when
 * it falls silent, also the one that only waits.
 */
static bool
needs_heartbeat(const struct link *link, struct timespec now)
{
	return link_is_in_use(link, now) ||
	    time_diff_ms(now, link->peer_last_used_at) < LINK_ACTIVE_MS;
}

/*
 * Sends a ping and counts silence from the first without anything since. Its
 * sequence says whether this side wants the link itself, or only answers the
 * other side's wish.
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

/* Closes a link whose handshake has not come to its end in time. */
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
 * Closes a silent link. What has come while this process itself was stopped
 * lies in the socket still, so that is read first.
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
	link_fail(link, LINK_ERROR_TIMEOUT, "nothing came after a ping");
}

/* Says whether neither side has wanted the link for its limit. */
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
 * Closes an unused link; the side that accepted waits twice as long. The other
 * side's pings say that it holds the link; the socket is read for them first.
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
 * Says whether the other side's heartbeats do for both: it was heard in this
 * half of the interval, so its ping goes ahead of ours and our answers tell it
 * the same. A round trip of our own is still made now and then, since only that
 * bounds the offset between the clocks.
 */
static bool
peer_heartbeat_suffices(const struct link *link, struct timespec now)
{
	return time_diff_ms(now, link->last_received_at) <
	    LINK_HEARTBEAT_MS / 2 &&
	    time_diff_ms(now, link->last_pong_at) < LINK_ROUND_TRIP_INTERVAL_MS;
}

/*
 * Checks for silence and idleness and sends a ping where one is due. The loop
 * does this each LINK_HEARTBEAT_MS; it may be called sooner, e.g. after a stop,
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
