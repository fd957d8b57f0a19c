#include "gateway/crash_sync.h"

#include <inttypes.h>
#include <stdio.h>

#include "base/metrics.h"
#define LOG_MODULE "crashes"
#include "base/log.h"

/* Peers to which new events are sent at once. */
#define FANOUT 4
/* Events of this time are sent together. */
#define FLUSH_MS 20
/* Interval of the comparison with a random peer. */
#define COMPARE_MS 500
/* Arrays of a message, one member of each event in each. */
#define EVENT_COLUMNS 5
/* Maximum number of events in one message. */
#define EVENTS_MAX 512

/* What the receiver of a message does if its digest differs. */
enum sync_request {
	SYNC_NONE,
	SYNC_ASK, /* sends its charges, and asks for the others */
	SYNC_ANSWER, /* sends its charges */
};

/* What is logged of a prompt part or a whole request; see texts. */
enum part_log {
	PART_LOG_CHARGED,
	PART_LOG_CLEARED,
	PART_LOG_REFUSED,
	PART_LOG_ACCEPTED,
	PART_LOG_PROBED,
};

struct crash_sync {
	struct ev_loop *loop;
	struct clock *clock;
	struct mesh *mesh;
	GRand *random;
	struct part_quarantine *quarantine;
	struct mesh_handler handler;
	crash_sync_refused_fn *refused_callback;
	void *refused_callback_data;
	GArray *pending; /* of struct part_event, to be sent */
	ev_timer flush_timer;
	ev_timer compare_timer;
};

METRIC_DEFINE(charges_count, METRIC_COUNTER, "heatherturn_prompt_part_charges",
    NULL,
    "Upstream deaths charged to prompt parts and requests, by any gateway.");

/*
 * Makes a message of some events and the digest, and passes it to the callback;
 * its arrays are valid for the call.
 */
static void
send_events(struct crash_sync *sync, const struct part_event *events,
    size_t count, enum sync_request request,
    void (*send)(void *, struct message *), void *data)
{
	struct timespec now = clock_monotonic(sync->clock);
	g_autofree uint64_t *columns = g_new(
	    uint64_t, EVENT_COLUMNS * count + 1);
	struct message message = {
	    .kind = MESSAGE_CRASHES,
	    .crashes =
		{
		    .parts = {columns, count},
		    .kinds = {columns + count, count},
		    .depths = {columns + 2 * count, count},
		    .deaths = {columns + 3 * count, count},
		    .ages_ms = {columns + 4 * count, count},
		    .digest = part_quarantine_digest(sync->quarantine, now),
		    .request = request,
		},
	};

	for (size_t i = 0; i < count; i++) {
		columns[i] = events[i].part;
		columns[count + i] = events[i].kind;
		columns[2 * count + i] = events[i].depth;
		columns[3 * count + i] = events[i].death;
		columns[4 * count + i] = (uint64_t)MAX(
		    time_diff_ms(now, events[i].at), 0);
	}
	send(data, &message);
}

/* Sends a message to random peers. */
static void
send_to_some(void *data, struct message *message)
{
	struct crash_sync *sync = data;
	size_t count;
	const char *const *peers = mesh_peers(sync->mesh, &count);

	for (size_t i = 0; i < FANOUT && count > 0; i++)
		mesh_send(sync->mesh,
		    peers[g_rand_int_range(sync->random, 0, (gint32)count)],
		    message);
}

/* Sends a message on a link. */
static void
send_on_link(void *data, struct message *message)
{
	link_send(data, message);
}

/* Sends the pending events. */
static void
on_flush(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct crash_sync *sync = timer->data;
	const struct part_event *pending = (const struct part_event *)(void *)
					       sync->pending->data;

	for (size_t at = 0; at < sync->pending->len; at += EVENTS_MAX)
		send_events(sync, pending + at,
		    MIN(sync->pending->len - at, EVENTS_MAX), SYNC_NONE,
		    send_to_some, sync);
	g_array_set_size(sync->pending, 0);
}

/* Queues an event for the peers. */
static void
queue_event(struct crash_sync *sync, const struct part_event *event)
{
	g_array_append_val(sync->pending, *event);
	if (ev_is_active(&sync->flush_timer))
		return;
	ev_timer_set(&sync->flush_timer, (double)FLUSH_MS / MS_PER_S, 0.0);
	ev_timer_start(sync->loop, &sync->flush_timer);
}

/* Of a prompt part, and of a whole request. */
static const char *const texts[][2] = {
    [PART_LOG_CHARGED] = {"prompt part charged", "request charged"},
    [PART_LOG_CLEARED] = {"prompt part cleared", "request cleared"},
    [PART_LOG_REFUSED] = {"prompt part refused", "request refused everywhere"},
    [PART_LOG_ACCEPTED] = {"prompt part accepted again",
	"request accepted again"},
    [PART_LOG_PROBED] = {"prompt part probed", "request probed"},
};

/* Logs an event that has changed what is known of a part or request. */
static void
log_event(const struct crash_sync *sync, const struct part_event *event,
    const char *source)
{
	static const char *const kinds[PART_EVENT_KINDS] = {
	    [PART_SURVIVED] = "survived",
	    [PART_CHARGED_WEAKLY] = "weakly",
	    [PART_CHARGED] = "charged",
	    [PART_CHARGED_ALONE] = "alone",
	};
	enum part_log log = event->kind == PART_SURVIVED ? PART_LOG_CLEARED
							 : PART_LOG_CHARGED;
	bool is_request = event->depth == PART_DEPTH_REQUEST;
	char part[17];
	char death[17];

	snprintf(part, sizeof(part), "%" PRIx64, event->part);
	snprintf(death, sizeof(death), "%" PRIx64, event->death);
	LOG_INFO(texts[log][is_request], "{s:s, s:i, s:s, s:s, s:s, s:I}",
	    "part", part, "depth", is_request ? -1 : (int)event->depth, "death",
	    death, "as", kinds[event->kind], "source", source, "age_ms",
	    (json_int_t)time_diff_ms(clock_monotonic(sync->clock), event->at));
}

/* Logs that a part or request is refused from now on, or no longer. */
static void
on_refused(void *data, uint64_t part, bool refused)
{
	struct crash_sync *sync = data;
	char text[17];

	snprintf(text, sizeof(text), "%" PRIx64, part);
	LOG_WARN(texts[refused ? PART_LOG_REFUSED : PART_LOG_ACCEPTED]
		      [part_quarantine_is_request(sync->quarantine, part)],
	    "{s:s}", "part", text);
	if (refused && sync->refused_callback != NULL)
		sync->refused_callback(sync->refused_callback_data, part);
}

/* Queues the last survival of a part for the peers, if one is known. */
static void
queue_survival(struct crash_sync *sync, uint64_t part)
{
	struct part_event survival;

	if (part_quarantine_survival(sync->quarantine, part, &survival))
		queue_event(sync, &survival);
}

/*
 * Adds an event and queues it for the peers. To a charge belongs what is known
 * of the part's survival, which refutes it or makes it weigh less.
 */
static void
add_event(
    struct crash_sync *sync, const struct part_event *event, const char *source)
{
	switch (part_quarantine_add(
	    sync->quarantine, event, clock_monotonic(sync->clock))) {
	case PART_KNOWN:
		break;
	case PART_REFUTED:
		queue_survival(sync, event->part);
		break;
	case PART_NEW:
		log_event(sync, event, source);
		queue_event(sync, event);
		if (event->kind == PART_SURVIVED)
			break;
		metric_add(&charges_count, 1);
		queue_survival(sync, event->part);
		break;
	}
}

/* Decides again which parts are refused. */
static void
update(struct crash_sync *sync)
{
	part_quarantine_update(
	    sync->quarantine, clock_monotonic(sync->clock), on_refused, sync);
}

/* Appends a charge to a list. */
static void
collect_charge(void *data, const struct part_event *event)
{
	g_array_append_val((GArray *)data, *event);
}

/* Sends all charges on a link; nothing if there are none. */
static void
send_all(struct crash_sync *sync, struct link *link, enum sync_request request)
{
	g_autoptr(GArray)
	    charges = g_array_new(FALSE, FALSE, sizeof(struct part_event));
	const struct part_event *events;

	part_quarantine_for_each_charge(sync->quarantine,
	    clock_monotonic(sync->clock), collect_charge, charges);
	events = (const struct part_event *)(void *)charges->data;
	for (size_t at = 0; at < charges->len; at += EVENTS_MAX)
		send_events(sync, events + at,
		    MIN(charges->len - at, EVENTS_MAX),
		    at + EVENTS_MAX < charges->len ? SYNC_NONE : request,
		    send_on_link, link);
	if (charges->len == 0 && request != SYNC_NONE)
		send_events(sync, NULL, 0, request, send_on_link, link);
}

/* Adds a peer's events; sends it what it lacks if it asked for that. */
static void
on_message(void *data, struct link *link, const struct message *message)
{
	struct crash_sync *sync = data;
	const struct message_crashes *crashes = &message->crashes;
	struct timespec now = clock_monotonic(sync->clock);
	size_t count = crashes->parts.count;

	if (crashes->kinds.count != count || crashes->depths.count != count ||
	    crashes->deaths.count != count || crashes->ages_ms.count != count) {
		LOG_WARN("report of crashes ignored: its columns differ",
		    "{s:s}", "peer", link_peer(link)->process);
		return;
	}
	for (size_t i = 0; i < count; i++) {
		const struct part_event event = {
		    .kind = (enum part_event_kind)MIN(
			crashes->kinds.items[i], PART_EVENT_KINDS - 1),
		    .part = crashes->parts.items[i],
		    .depth = (uint32_t)MIN(
			crashes->depths.items[i], UINT32_MAX),
		    .death = crashes->deaths.items[i],
		    .at = time_add_ms(now,
			-(int64_t)MIN(
			    crashes->ages_ms.items[i], PART_QUARANTINE_MS)),
		};

		add_event(sync, &event, link_peer(link)->process);
	}
	update(sync);
	if (crashes->request != SYNC_NONE &&
	    crashes->digest != part_quarantine_digest(sync->quarantine, now))
		send_all(sync, link,
		    crashes->request == SYNC_ASK ? SYNC_ANSWER : SYNC_NONE);
}

/* Sends all charges to a peer whose link has opened. */
static void
on_opened(void *data, struct link *link)
{
	send_all(data, link, SYNC_NONE);
}

static const struct mesh_ops crash_sync_ops = {
    .message = on_message,
    .opened = on_opened,
};

/* Compares what is known with a random peer, if anything is. */
static void
on_compare(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct crash_sync *sync = timer->data;
	size_t count;
	const char *const *peers = mesh_peers(sync->mesh, &count);

	if (count == 0 ||
	    part_quarantine_digest(
		sync->quarantine, clock_monotonic(sync->clock)) == 0)
		return;
	send_events(sync, NULL, 0, SYNC_ASK, send_on_link,
	    mesh_get_link(sync->mesh,
		peers[g_rand_int_range(sync->random, 0, (gint32)count)]));
}

/* Starts the exchange; the mesh and the random source must outlive it. */
struct crash_sync *
crash_sync_new(
    struct ev_loop *loop, struct clock *clock, struct mesh *mesh, GRand *random)
{
	struct crash_sync *sync = g_new0(struct crash_sync, 1);

	sync->loop = loop;
	sync->clock = clock;
	sync->mesh = mesh;
	sync->random = random;
	sync->quarantine = part_quarantine_new();
	sync->pending = g_array_new(FALSE, FALSE, sizeof(struct part_event));
	sync->handler = (struct mesh_handler){
	    .ops = &crash_sync_ops,
	    .data = sync,
	    .kinds = MESH_KIND(MESSAGE_CRASHES),
	};
	mesh_add_handler(mesh, &sync->handler);
	ev_init(&sync->flush_timer, on_flush);
	sync->flush_timer.data = sync;
	ev_timer_init(&sync->compare_timer, on_compare,
	    (double)COMPARE_MS / MS_PER_S, (double)COMPARE_MS / MS_PER_S);
	sync->compare_timer.data = sync;
	ev_timer_start(loop, &sync->compare_timer);
	return sync;
}

/* Stops the exchange; NULL is allowed. */
void
crash_sync_free(struct crash_sync *sync)
{
	if (sync == NULL)
		return;
	ev_timer_stop(sync->loop, &sync->flush_timer);
	ev_timer_stop(sync->loop, &sync->compare_timer);
	mesh_remove_handler(sync->mesh, &sync->handler);
	part_quarantine_free(sync->quarantine);
	g_array_unref(sync->pending);
	g_free(sync);
}

/* Sets the callback for parts that are refused from now on. */
void
crash_sync_set_refused_callback(
    struct crash_sync *sync, crash_sync_refused_fn *callback, void *data)
{
	sync->refused_callback = callback;
	sync->refused_callback_data = data;
}

/* Returns the number of a request's subjects. */
static size_t
count_subjects(const struct crash_subjects *subjects)
{
	return subjects->part_count + (subjects->request != 0 ? 1 : 0);
}

/* Returns one of a request's subjects: its parts, then the whole request. */
static uint64_t
subject_at(const struct crash_subjects *subjects, size_t i)
{
	return i < subjects->part_count ? subjects->parts[i]
					: subjects->request;
}

/* Returns the depth of one of a request's subjects. */
static uint32_t
subject_depth(const struct crash_subjects *subjects, size_t i)
{
	return i < subjects->part_count ? (uint32_t)i : PART_DEPTH_REQUEST;
}

/* Reports the death of an upstream during a request that was so far. */
void
crash_sync_report_death(struct crash_sync *sync, uint64_t death,
    const struct crash_subjects *subjects, const struct part_death_stage *stage)
{
	for (size_t i = 0; i < count_subjects(subjects); i++) {
		struct part_event event = {
		    .part = subject_at(subjects, i),
		    .depth = subject_depth(subjects, i),
		    .death = death,
		    .at = clock_monotonic(sync->clock),
		};

		if (part_quarantine_charge(stage, event.depth, &event.kind))
			add_event(sync, &event, "own");
	}
	update(sync);
}

/* Reports that an upstream has survived a request's subjects. */
void
crash_sync_report_survival(struct crash_sync *sync,
    const struct crash_subjects *subjects, struct timespec began_at)
{
	for (size_t i = 0; i < count_subjects(subjects); i++)
		add_event(sync,
		    &(struct part_event){.kind = PART_SURVIVED,
			.part = subject_at(subjects, i),
			.depth = subject_depth(subjects, i),
			.at = began_at},
		    "own");
	update(sync);
}

/*
 * Returns after how many milliseconds a request with these subjects may be
 * accepted again; 0 if it is not refused.
 */
int64_t
crash_sync_retry_after_ms(
    struct crash_sync *sync, const struct crash_subjects *subjects)
{
	struct timespec now = clock_monotonic(sync->clock);
	int64_t wait_ms = 0;

	for (size_t i = 0; i < count_subjects(subjects); i++)
		wait_ms = MAX(wait_ms,
		    part_quarantine_retry_after_ms(
			sync->quarantine, subject_at(subjects, i), now));
	return wait_ms;
}

/* Returns whether a request with these subjects is refused. */
bool
crash_sync_is_refused(
    struct crash_sync *sync, const struct crash_subjects *subjects)
{
	return crash_sync_retry_after_ms(sync, subjects) > 0;
}

/*
 * Finds the one refused subject of a request whose probe is due; false if there
 * is none, or another refused one beside it, so that the probe would tell
 * nothing.
 */
bool
crash_sync_find_probe(struct crash_sync *sync,
    const struct crash_subjects *subjects, uint64_t *out)
{
	struct timespec now = clock_monotonic(sync->clock);
	size_t refused = 0;

	for (size_t i = 0; i < count_subjects(subjects); i++) {
		uint64_t subject = subject_at(subjects, i);

		if (part_quarantine_left_ms(sync->quarantine, subject, now) ==
		    0)
			continue;
		refused++;
		*out = subject;
	}
	return refused == 1 &&
	    part_quarantine_is_probe_due(sync->quarantine, *out, now);
}

/* A request with a refused subject is sent as its probe. */
void
crash_sync_begin_probe(struct crash_sync *sync, uint64_t subject)
{
	char text[17];

	snprintf(text, sizeof(text), "%" PRIx64, subject);
	LOG_INFO(texts[PART_LOG_PROBED]
		      [part_quarantine_is_request(sync->quarantine, subject)],
	    "{s:s}", "part", text);
	part_quarantine_on_probe(
	    sync->quarantine, subject, clock_monotonic(sync->clock));
}
