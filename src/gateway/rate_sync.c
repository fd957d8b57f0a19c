#include "gateway/rate_sync.h"

#include <string.h>

#include "base/list.h"
#include "base/metrics.h"
#include "gateway/coordination.h"

#define LOG_MODULE "rate"
#include "base/log.h"

METRIC_DEFINE(granted_count, METRIC_COUNTER, "heatherturn_rate_permits", NULL,
    "Permits granted for requests to upstreams that name a rate.");
METRIC_DEFINE(denied_count, METRIC_COUNTER, "heatherturn_rate_permits_denied",
    NULL, "Permits denied for requests to upstreams that name a rate.");
METRIC_DEFINE(unanswered_count, METRIC_COUNTER,
    "heatherturn_rate_permits_unanswered", NULL,
    "Permits that another gateway was asked for and did not answer.");

/* A permit that the coordinator has been asked for. */
struct permit {
	struct rate_sync *sync;
	uint64_t id;
	char *request; /* id of the caller's request */
	char *upstream;
	permit_fn *done;
	void *data;
	ev_timer timer;
	TAILQ_ENTRY(permit) entry;
};

TAILQ_HEAD(permit_list, permit);

struct rate_sync {
	struct ev_loop *loop;
	struct clock *clock;
	struct mesh *mesh;
	struct load_sync *load_sync;
	struct fleet *fleet;
	struct mesh_handler handler;
	struct permit_list permits; /* that are waited for */
	uint64_t last_id;
};

/* Tells an upstream's coordinator what a response has named. */
static void
send_observation(struct rate_sync *sync, const struct fleet_upstream *upstream,
    const char *coordinator, bool named, int64_t sent_age_ms)
{
	const char *address = load_sync_address(sync->load_sync, coordinator);
	struct message message = {
	    .kind = MESSAGE_RATE,
	    .rate =
		{
		    .upstream = upstream->id,
		    .start = (uint64_t)upstream->process.start_wall_ms,
		    .named = named,
		    .rate = message_encode_rate(
			upstream->process.named_rate.per_s),
		    .sent_age_ms = (uint64_t)MAX(sent_age_ms, 0),
		},
	};

	if (address != NULL)
		mesh_send(sync->mesh, address, &message);
}

/*
 * Applies what a response to a request that was sent at sent_at says of its
 * upstream's rate: that it is per_s, or nothing. Whether nothing means that the
 * rate has ended is decided by the upstream's coordinator.
 */
void
rate_sync_observe(struct rate_sync *sync, struct fleet_upstream *upstream,
    bool named, double per_s, struct timespec sent_at)
{
	struct timespec now = clock_monotonic(sync->clock);
	struct coordination coordination;
	bool changed = false;

	if (!named && !upstream->process.named_rate.named)
		return;
	coordination = coordination_find(sync->load_sync, upstream);
	if (named)
		changed = named_rate_on_named(
		    &upstream->process.named_rate, per_s, now);
	else if (coordination.is_self)
		changed = named_rate_on_missing(
		    &upstream->process.named_rate, sent_at, now);
	fleet_upstream_on_rate(upstream, changed, "response");
	if (!coordination.is_self)
		send_observation(sync, upstream, coordination.coordinator,
		    named, time_diff_ms(now, sent_at));
}

/* Returns whether requests to an upstream need a permit. */
bool
rate_sync_needs_permit(const struct fleet_upstream *upstream)
{
	return upstream->process.named_rate.named;
}

/*
 * Returns the time until this process may ask for a permit for an upstream; 0
 * if it may now, or needs none.
 */
int64_t
rate_sync_wait_ms(struct rate_sync *sync, struct fleet_upstream *upstream)
{
	struct timespec now = clock_monotonic(sync->clock);
	struct coordination coordination;

	if (!upstream->process.named_rate.named)
		return 0;
	coordination = coordination_find(sync->load_sync, upstream);
	if (coordination.is_self)
		return shared_rate_wait_ms(
		    &upstream->shared_rate, &coordination.part, now);
	if (upstream->process.no_permit_view != coordination.part.view)
		return 0;
	return MAX(time_diff_ms(upstream->process.no_permit_until, now), 0);
}

/* Logs a decision on a permit that a peer, or none, has asked for. */
static void
log_decision(const struct rate_sync *sync, const char *request,
    const char *peer, const struct fleet_upstream *upstream,
    const struct coordination *by, int64_t wait_ms)
{
	bool granted = wait_ms == 0;

	metric_add(granted ? &granted_count : &denied_count, 1);
	LOG_INFO(granted ? "permit granted" : "permit denied",
	    "{s:s, s:s?, s:s, s:f, s:I, s:f, s:f, s:I}", "request", request,
	    "peer", peer, "upstream", upstream->id, "per_s", by->part.per_s,
	    "rate_age_ms",
	    (json_int_t)time_diff_ms(clock_monotonic(sync->clock),
		upstream->process.named_rate.seen_at),
	    "share", by->part.share, "tokens", upstream->shared_rate.tokens,
	    "wait_ms", (json_int_t)wait_ms);
}

/*
 * Decides on a permit as the coordinator. Returns 0 if it is granted, else the
 * time until the next one.
 */
static int64_t
decide(struct rate_sync *sync, const char *request, const char *peer,
    struct fleet_upstream *upstream, const struct coordination *coordination)
{
	struct timespec now = clock_monotonic(sync->clock);
	int64_t wait_ms = 0;

	if (!shared_rate_take(&upstream->shared_rate, &coordination->part, now))
		wait_ms = MAX(shared_rate_wait_ms(&upstream->shared_rate,
				  &coordination->part, now),
		    1);
	log_decision(sync, request, peer, upstream, coordination, wait_ms);
	return wait_ms;
}

/* Forgets a permit that is waited for. */
static void
remove_permit(struct permit *permit)
{
	ev_timer_stop(permit->sync->loop, &permit->timer);
	TAILQ_REMOVE(&permit->sync->permits, permit, entry);
	g_free(permit->request);
	g_free(permit->upstream);
	g_free(permit);
}

/* Stops waiting for a permit; NULL is allowed. */
void
permit_cancel(struct permit *permit)
{
	if (permit != NULL)
		remove_permit(permit);
}

/* Asks for no more permits for some time, unless the members change. */
static void
defer(struct rate_sync *sync, struct fleet_upstream *upstream, int64_t wait_ms)
{
	upstream->process.no_permit_until = time_add_ms(
	    clock_monotonic(sync->clock),
	    CLAMP(wait_ms, 1, RATE_SYNC_WAIT_MAX_MS));
	upstream->process.no_permit_view =
	    coordination_find(sync->load_sync, upstream).part.view;
}

/* Ends the wait for a permit with its result. */
static void
finish_permit(struct permit *permit, bool granted, int64_t wait_ms)
{
	struct rate_sync *sync = permit->sync;
	struct fleet_upstream *upstream = fleet_find(
	    sync->fleet, permit->upstream);
	permit_fn *done = permit->done;
	void *data = permit->data;

	if (!granted && upstream != NULL)
		defer(sync, upstream, wait_ms);
	remove_permit(permit);
	done(data, granted);
}

/* The coordinator has not answered in time. */
static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct permit *permit = timer->data;

	metric_add(&unanswered_count, 1);
	LOG_INFO("permit not answered", "{s:s, s:s, s:I}", "request",
	    permit->request, "upstream", permit->upstream, "retry_ms",
	    (json_int_t)RATE_SYNC_RETRY_MS);
	finish_permit(permit, false, RATE_SYNC_RETRY_MS);
}

/* Asks the coordinator for a permit, or reports a request without one. */
static bool
send_ask(struct rate_sync *sync, const struct fleet_upstream *upstream,
    const char *coordinator, const char *request, uint64_t id)
{
	const char *address = load_sync_address(sync->load_sync, coordinator);
	const struct named_rate *rate = &upstream->process.named_rate;
	struct message message = {
	    .kind = MESSAGE_PERMIT_ASK,
	    .sequence = id,
	    .permit_ask =
		{
		    .upstream = upstream->id,
		    .start = (uint64_t)upstream->process.start_wall_ms,
		    .rate = message_encode_rate(rate->per_s),
		    .rate_age_ms = (uint64_t)MAX(
			time_diff_ms(
			    clock_monotonic(sync->clock), rate->seen_at),
			0),
		},
	};

	g_strlcpy(message.request, request, sizeof(message.request));
	if (address == NULL) {
		LOG_INFO("coordinator of a rate has no known address",
		    "{s:s, s:s}", "upstream", upstream->id, "coordinator",
		    coordinator);
		return false;
	}
	return mesh_send(sync->mesh, address, &message);
}

/*
 * Takes a permit for one request to an upstream, if it needs one and this
 * process is the coordinator of its rate.
 */
enum permit_result
rate_sync_take(struct rate_sync *sync, struct fleet_upstream *upstream,
    const char *request)
{
	struct coordination coordination;

	if (!rate_sync_needs_permit(upstream))
		return PERMIT_GRANTED;
	coordination = coordination_find(sync->load_sync, upstream);
	if (!coordination.is_self)
		return PERMIT_REMOTE;
	return decide(sync, request, NULL, upstream, &coordination) == 0
	    ? PERMIT_GRANTED
	    : PERMIT_DENIED;
}

/*
 * Asks the coordinator for a permit for one request to an upstream that names a
 * rate. The callback is called once, after this has returned.
 */
struct permit *
rate_sync_ask(struct rate_sync *sync, struct fleet_upstream *upstream,
    const char *request, permit_fn *done, void *data)
{
	struct coordination coordination = coordination_find(
	    sync->load_sync, upstream);
	struct permit *permit = g_new0(struct permit, 1);
	bool sent;

	permit->sync = sync;
	permit->id = ++sync->last_id;
	permit->request = g_strdup(request);
	permit->upstream = g_strdup(upstream->id);
	permit->done = done;
	permit->data = data;
	TAILQ_INSERT_TAIL(&sync->permits, permit, entry);
	sent = coordination.coordinator != NULL &&
	    send_ask(
		sync, upstream, coordination.coordinator, request, permit->id);
	ev_timer_init(&permit->timer, on_timeout,
	    sent ? (double)RATE_SYNC_TIMEOUT_MS / MS_PER_S : 0.0, 0.0);
	permit->timer.data = permit;
	ev_timer_start(sync->loop, &permit->timer);
	return permit;
}

/*
 * Finds the upstream with an address that names a rate; NULL for none. Without
 * a rate_sync, none does.
 */
static struct fleet_upstream *
find_named(const struct rate_sync *sync, const char *address)
{
	struct fleet_upstream *upstream;

	if (sync == NULL)
		return NULL;
	TAILQ_FOREACH (upstream, &sync->fleet->upstreams, entry) {
		if (upstream->process.named_rate.named &&
		    strcmp(upstream->address, address) == 0)
			return upstream;
	}
	return NULL;
}

/* Returns whether the upstream with an address names a rate. */
bool
rate_sync_is_named(const struct rate_sync *sync, const char *address)
{
	return find_named(sync, address) != NULL;
}

/* Counts a request without a permit, as the coordinator or at it. */
static void
charge(struct rate_sync *sync, struct fleet_upstream *upstream, bool is_own)
{
	struct coordination coordination = coordination_find(
	    sync->load_sync, upstream);

	if (coordination.is_self)
		shared_rate_charge(&upstream->shared_rate, &coordination.part,
		    clock_monotonic(sync->clock));
	else if (is_own)
		send_ask(sync, upstream, coordination.coordinator, "", 0);
}

/*
 * Counts an order that is sent without a permit because it can't wait: a
 * renewal or release of reserved memory.
 */
void
rate_sync_charge(struct rate_sync *sync, const char *address)
{
	struct fleet_upstream *upstream = find_named(sync, address);

	if (upstream != NULL)
		charge(sync, upstream, true);
}

/* Answers a gateway that asks for a permit, as the coordinator. */
static void
answer(struct rate_sync *sync, struct link *link, const struct message *ask,
    struct fleet_upstream *upstream)
{
	struct message reply = {
	    .kind = MESSAGE_PERMIT, .sequence = ask->sequence};
	struct coordination coordination = coordination_find(
	    sync->load_sync, upstream);
	int64_t wait_ms = RATE_SYNC_RETRY_MS;

	if (!upstream->process.named_rate.named)
		wait_ms = 0;
	else if (coordination.is_self)
		wait_ms = decide(sync, ask->request, link_peer(link)->process,
		    upstream, &coordination);
	reply.permit.granted = wait_ms == 0;
	reply.permit.wait_ms = (uint64_t)wait_ms;
	link_send(link, &reply);
}

/* Handles a request for a permit, or the report of a request without one. */
static void
on_ask(struct rate_sync *sync, struct link *link, const struct message *message)
{
	const struct message_permit_ask *ask = &message->permit_ask;
	struct timespec now = clock_monotonic(sync->clock);
	struct fleet_upstream *upstream = fleet_find(
	    sync->fleet, ask->upstream);

	if (upstream == NULL ||
	    upstream->process.start_wall_ms != (int64_t)ask->start) {
		LOG_INFO("asked for a permit for an unknown upstream",
		    "{s:s, s:s}", "upstream", ask->upstream, "peer",
		    link_peer(link)->process);
		return;
	}
	fleet_upstream_on_rate(upstream,
	    named_rate_on_report(&upstream->process.named_rate,
		message_decode_rate(ask->rate), ask->rate_age_ms, now),
	    link_peer(link)->process);
	if (message->sequence != 0)
		answer(sync, link, message, upstream);
	else
		charge(sync, upstream, false);
}

/* Handles the coordinator's answer. */
static void
on_permit(struct rate_sync *sync, const struct message *message)
{
	struct permit *permit;

	TAILQ_FOREACH (permit, &sync->permits, entry) {
		if (permit->id != message->sequence)
			continue;
		finish_permit(permit, message->permit.granted,
		    (int64_t)message->permit.wait_ms);
		return;
	}
}

/* Handles what a response has named to a peer, as the coordinator. */
static void
on_observation(
    struct rate_sync *sync, struct link *link, const struct message_rate *rate)
{
	struct timespec now = clock_monotonic(sync->clock);
	int64_t age_ms = (int64_t)MIN(
	    rate->sent_age_ms, (uint64_t)NAMED_RATE_AGE_MAX_MS);
	struct fleet_upstream *upstream = fleet_find(
	    sync->fleet, rate->upstream);
	bool changed = false;

	if (upstream == NULL ||
	    upstream->process.start_wall_ms != (int64_t)rate->start) {
		LOG_DEBUG("told of the rate of an unknown upstream",
		    "{s:s, s:s}", "upstream", rate->upstream, "peer",
		    link_peer(link)->process);
		return;
	}
	if (rate->named)
		changed = named_rate_on_named(&upstream->process.named_rate,
		    message_decode_rate(rate->rate), now);
	else if (coordination_find(sync->load_sync, upstream).is_self)
		changed = named_rate_on_missing(&upstream->process.named_rate,
		    time_add_ms(now, -age_ms), now);
	fleet_upstream_on_rate(upstream, changed, link_peer(link)->process);
}

/* Handles a peer's message. */
static void
on_message(void *data, struct link *link, const struct message *message)
{
	if (message->kind == MESSAGE_PERMIT_ASK)
		on_ask(data, link, message);
	else if (message->kind == MESSAGE_RATE)
		on_observation(data, link, &message->rate);
	else
		on_permit(data, message);
}

static const struct mesh_ops rate_sync_ops = {.message = on_message};

/* Starts to share rates with the peers; all must outlive it. */
struct rate_sync *
rate_sync_new(struct ev_loop *loop, struct clock *clock, struct mesh *mesh,
    struct load_sync *load_sync, struct fleet *fleet)
{
	struct rate_sync *sync = g_new0(struct rate_sync, 1);

	sync->loop = loop;
	sync->clock = clock;
	sync->mesh = mesh;
	sync->load_sync = load_sync;
	sync->fleet = fleet;
	TAILQ_INIT(&sync->permits);
	sync->handler = (struct mesh_handler){
	    .kinds = MESH_KIND(MESSAGE_PERMIT_ASK) | MESH_KIND(MESSAGE_PERMIT) |
		MESH_KIND(MESSAGE_RATE),
	    .ops = &rate_sync_ops,
	    .data = sync,
	};
	mesh_add_handler(mesh, &sync->handler);
	return sync;
}

/* Frees it; permits that are waited for are dropped. NULL is allowed. */
void
rate_sync_free(struct rate_sync *sync)
{
	struct permit *permit, *next;

	if (sync == NULL)
		return;
	TAILQ_FOREACH_SAFE (permit, &sync->permits, entry, next)
		remove_permit(permit);
	mesh_remove_handler(sync->mesh, &sync->handler);
	g_free(sync);
}
