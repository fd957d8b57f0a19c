/*
 * Cache events of the stand-in engine: published with a delay; some are lost.
 */
#include "base/clock.h"
#include "engine.h"

#define EVENTS_MAX		4096
#define EVENTS_PER_RESPONSE_MAX 512

struct cache_event {
	uint64_t sequence;
	uint64_t hash;
	bool stored;
	double due_s;
};

/* A long poll for events after a sequence number. */
struct cache_poll {
	struct pending_request pending;
	struct httpd_request *request;
	uint64_t after;
	double deadline_s;
	TAILQ_ENTRY(cache_poll) entry;
};

static struct {
	GArray *events; /* oldest first */
	uint64_t last_sequence;
	double lag_s;
	double gap_percent;
	TAILQ_HEAD(, cache_poll) polls;
} state;

/* Sets the delay of events and the percentage of those that are lost. */
void
cache_events_init(double lag_s, double gap_percent)
{
	state.events = g_array_new(FALSE, FALSE, sizeof(struct cache_event));
	state.lag_s = lag_s;
	state.gap_percent = gap_percent;
	TAILQ_INIT(&state.polls);
}

/* Frees the events. */
void
cache_events_clear(void)
{
	g_array_unref(state.events);
}

/* Records a change of the cache; a lost event still uses up its number. */
void
cache_events_add(void *data, uint64_t hash, bool stored)
{
	struct cache_event event = {
	    .sequence = ++state.last_sequence,
	    .hash = hash,
	    .stored = stored,
	    .due_s = standin_now_s() + state.lag_s,
	};

	if (standin_chance(state.gap_percent))
		return;
	if (state.events->len >= EVENTS_MAX)
		g_array_remove_range(state.events, 0, EVENTS_MAX / 2);
	g_array_append_val(state.events, event);
}

/*
 * Returns the due events after a sequence number; next is set to the number of
 * the last of them.
 */
static json_t *
events_after(uint64_t after, double now_s, uint64_t *next)
{
	json_t *array = json_array();

	*next = after;
	for (guint i = 0; i < state.events->len; i++) {
		struct cache_event *event = &g_array_index(
		    state.events, struct cache_event, i);
		char prefix[24];

		if (event->sequence <= after)
			continue;
		if (event->due_s > now_s ||
		    json_array_size(array) >= EVENTS_PER_RESPONSE_MAX)
			break;
		g_snprintf(
		    prefix, sizeof(prefix), "%" G_GUINT64_FORMAT, event->hash);
		json_array_append_new(array,
		    json_pack("{s:I, s:s, s:s}", "seq",
			(json_int_t)event->sequence, "kind",
			event->stored ? "stored" : "evicted", "prefix",
			prefix));
		*next = event->sequence;
	}
	return array;
}

/* Responds with events, or with none unless wait is set; false: no response. */
static bool
try_respond(
    struct httpd_request *request, uint64_t after, bool wait, double now_s)
{
	uint64_t next;
	json_t *array = events_after(after, now_s, &next);

	if (wait && json_array_size(array) == 0) {
		json_decref(array);
		return false;
	}
	standin_respond_json(request, 200,
	    json_pack("{s:o, s:I}", "events", array, "next", (json_int_t)next));
	return true;
}

/* Ends a poll. */
static void
poll_free(struct cache_poll *poll)
{
	httpd_request_set_data(poll->request, NULL);
	TAILQ_REMOVE(&state.polls, poll, entry);
	g_free(poll);
}

/* The client of a poll disconnected. */
static void
on_poll_closed(struct pending_request *pending)
{
	poll_free((struct cache_poll *)pending);
}

/* Responds to the polls that have events by now or have timed out. */
void
cache_events_tick(double now_s)
{
	struct cache_poll *poll, *next;

	TAILQ_FOREACH_SAFE (poll, &state.polls, entry, next)
		if (try_respond(poll->request, poll->after,
			now_s < poll->deadline_s, now_s))
			poll_free(poll);
}

/* Responds to a request for cache events, at once or within its wait_ms. */
void
cache_events_respond(struct httpd_request *request)
{
	uint64_t after = (uint64_t)standin_query_number(request, "after", 0);
	int64_t wait_ms = standin_query_number(request, "wait_ms", 0);
	double now_s = standin_now_s();
	struct cache_poll *poll;

	if (try_respond(request, after, wait_ms > 0, now_s))
		return;
	poll = g_new0(struct cache_poll, 1);
	poll->pending.closed = on_poll_closed;
	poll->request = request;
	poll->after = after;
	poll->deadline_s = now_s + (double)wait_ms / MS_PER_S;
	TAILQ_INSERT_TAIL(&state.polls, poll, entry);
	httpd_request_set_data(request, poll);
}
