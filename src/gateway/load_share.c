#include "gateway/load_share.h"

#include <string.h>

#include "store/watchers.h"

/* One peer's requests, as it told them last. */
struct peer_work {
	GHashTable *loads; /* upstream id -> struct upstream_load */
	GPtrArray *blamed; /* ids of upstreams */
	struct timespec told_at;
	bool store_away;
};

struct load_share {
	struct ev_loop *loop;
	struct clock *clock;
	struct mesh *mesh;
	char *self; /* name of this process */
	struct knowledge *knowledge;
	struct fleet *fleet;
	struct mesh_handler handler;
	GHashTable *peers; /* process -> struct peer_work */
	ev_timer timer;
	unsigned int
	    idle_rounds; /* since nothing ran and the peers were told */
};

/* Adds whom one peer blames, or takes it back. */
static void
count_blamed(struct load_share *share, const struct peer_work *work, bool add)
{
	for (size_t i = 0; i < work->blamed->len; i++) {
		struct upstream *upstream = fleet_find(
		    share->fleet, work->blamed->pdata[i]);

		if (upstream == NULL)
			continue;
		if (add)
			upstream->peers_blaming++;
		else if (upstream->peers_blaming > 0)
			upstream->peers_blaming--;
	}
}

/* Adds one peer's work to what lies on the upstreams, or takes it off. */
static void
count(struct load_share *share, const struct peer_work *work, bool add)
{
	GHashTableIter iter;
	void *id;
	void *value;

	count_blamed(share, work, add);
	g_hash_table_iter_init(&iter, work->loads);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		struct upstream *upstream = fleet_find(share->fleet, id);
		const struct upstream_load *load = value;

		if (upstream == NULL)
			continue;
		if (add) {
			upstream->peers.running += load->running;
			for (size_t i = 0; i < STREAM_CLASSES; i++)
				upstream->peers.streams[i] += load->streams[i];
			upstream->peers.context_tokens += load->context_tokens;
			upstream->peers.reading_us += load->reading_us;
			continue;
		}
		/* An upstream that came anew has not been told of all. */
		upstream->peers.running -= MIN(
		    load->running, upstream->peers.running);
		for (size_t i = 0; i < STREAM_CLASSES; i++)
			upstream->peers.streams[i] -= MIN(
			    load->streams[i], upstream->peers.streams[i]);
		upstream->peers.context_tokens -= MIN(
		    load->context_tokens, upstream->peers.context_tokens);
		upstream->peers.reading_us -= MIN(
		    load->reading_us, upstream->peers.reading_us);
	}
}

/* Frees one peer's work. */
static void
work_free(void *data)
{
	struct peer_work *work = data;

	g_hash_table_unref(work->loads);
	g_ptr_array_unref(work->blamed);
	g_free(work);
}

/* Returns a peer's work, which is none where it is met first. */
static struct peer_work *
find_work(struct load_share *share, const char *process)
{
	struct peer_work *work = g_hash_table_lookup(share->peers, process);

	if (work != NULL)
		return work;
	work = g_new0(struct peer_work, 1);
	work->loads = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	work->blamed = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_insert(share->peers, g_strdup(process), work);
	return work;
}

/* Takes what a peer's requests are at each upstream. */
static void
take_load(struct load_share *share, const char *process,
    const struct message_load *told)
{
	struct peer_work *work = find_work(share, process);
	size_t rows = told->upstreams.count;

	rows = MIN(rows, told->running.count);
	rows = MIN(rows, told->short_streams.count);
	rows = MIN(rows, told->medium_streams.count);
	rows = MIN(rows, told->long_streams.count);
	rows = MIN(rows, told->context_tokens.count);
	rows = MIN(rows, told->prefill_us.count);
	count(share, work, false);
	g_hash_table_remove_all(work->loads);
	g_ptr_array_set_size(work->blamed, 0);
	for (size_t i = 0; i < told->faulty.count; i++)
		g_ptr_array_add(work->blamed, g_strdup(told->faulty.items[i]));
	for (size_t i = 0; i < rows; i++) {
		struct upstream_load *load = g_new0(struct upstream_load, 1);

		load->running = (uint32_t)told->running.items[i];
		load->streams[STREAM_SHORT] = (uint32_t)
						  told->short_streams.items[i];
		load->streams[STREAM_MEDIUM] = (uint32_t)told->medium_streams
						   .items[i];
		load->streams[STREAM_LONG] = (uint32_t)
						 told->long_streams.items[i];
		load->context_tokens = told->context_tokens.items[i];
		load->reading_us = told->prefill_us.items[i];
		g_hash_table_replace(
		    work->loads, g_strdup(told->upstreams.items[i]), load);
	}
	work->told_at = clock_monotonic(share->clock);
	work->store_away = told->store_disconnected;
	count(share, work, true);
}

/* Returns what a peer has at an upstream, which is nothing at first. */
static struct upstream_load *
find_load(struct peer_work *work, const char *upstream)
{
	struct upstream_load *load = g_hash_table_lookup(work->loads, upstream);

	if (load != NULL)
		return load;
	load = g_new0(struct upstream_load, 1);
	g_hash_table_insert(work->loads, g_strdup(upstream), load);
	return load;
}

/* Takes prompts that a peer has just handed out, ahead of its next round. */
static void
take_reading(struct load_share *share, const char *process,
    const struct message_prefill *told)
{
	struct peer_work *work = find_work(share, process);

	for (size_t i = 0; i < told->upstreams.count; i++) {
		const char *id = told->upstreams.items[i];
		struct upstream *upstream = fleet_find(share->fleet, id);

		find_load(work, id)->reading_us += told->part_us;
		if (upstream == NULL)
			continue;
		upstream->peers.reading_us += told->part_us;
		upstream_add_reading(
		    upstream, told->part_us, clock_monotonic(share->clock));
	}
	work->told_at = clock_monotonic(share->clock);
}

/* Takes a peer's message. */
static void
on_message(void *data, struct link *link, const struct message *message)
{
	struct load_share *share = data;

	if (message->kind == MESSAGE_LOAD)
		take_load(share, link_peer(link)->process, &message->load);
	else if (message->kind == MESSAGE_PREFILL)
		take_reading(
		    share, link_peer(link)->process, &message->prefill);
}

static const struct mesh_ops share_ops = {
    .message = on_message,
};

/* Sends a message to all peers. */
static void
tell_all(struct load_share *share, struct message *message)
{
	size_t count;
	const char *const *peers = mesh_peers(share->mesh, &count);

	for (size_t i = 0; i < count; i++)
		mesh_send(share->mesh, peers[i], message);
}

/* Tells the peers what our requests are at each upstream. */
static void
tell_load(struct load_share *share)
{
	size_t max = fleet_count(share->fleet);
	g_autofree char **ids = g_new(char *, max + 1);
	g_autofree uint64_t *running = g_new(uint64_t, max + 1);
	g_autofree uint64_t *shorts = g_new(uint64_t, max + 1);
	g_autofree uint64_t *mediums = g_new(uint64_t, max + 1);
	g_autofree uint64_t *longs = g_new(uint64_t, max + 1);
	g_autofree uint64_t *tokens = g_new(uint64_t, max + 1);
	g_autofree uint64_t *reading = g_new(uint64_t, max + 1);
	g_autofree char **blamed = g_new(char *, max + 1);
	struct timespec now = clock_monotonic(share->clock);
	struct message message = {.kind = MESSAGE_LOAD};
	struct upstream *upstream;
	size_t rows = 0;
	size_t blames = 0;

	TAILQ_FOREACH (upstream, &share->fleet->upstreams, entry) {
		if (time_before(now, upstream->blamed_until))
			blamed[blames++] = upstream->id;
		if (upstream->own.running == 0 && upstream->own.reading_us == 0)
			continue;
		ids[rows] = upstream->id;
		running[rows] = upstream->own.running;
		shorts[rows] = upstream->own.streams[STREAM_SHORT];
		mediums[rows] = upstream->own.streams[STREAM_MEDIUM];
		longs[rows] = upstream->own.streams[STREAM_LONG];
		tokens[rows] = upstream->own.context_tokens;
		reading[rows++] = upstream->own.reading_us;
	}
	if (rows == 0 && blames == 0 && share->idle_rounds > 0 &&
	    share->idle_rounds++ < LOAD_SHARE_IDLE_ROUNDS)
		return;
	share->idle_rounds = rows == 0 ? 1 : 0;
	message.load = (struct message_load){
	    .store_disconnected = knowledge_is_store_away(share->knowledge),
	    .upstreams = {ids, rows},
	    .running = {running, rows},
	    .short_streams = {shorts, rows},
	    .medium_streams = {mediums, rows},
	    .long_streams = {longs, rows},
	    .context_tokens = {tokens, rows},
	    .prefill_us = {reading, rows},
	    .faulty = {blamed, blames},
	};
	tell_all(share, &message);
}

/* Returns how long a round is: longer among many, so that each sends as much.
 */
static int64_t
round_ms(const struct load_share *share)
{
	size_t peers;

	mesh_peers(share->mesh, &peers);
	return LOAD_SHARE_ROUND_MS + (int64_t)peers * LOAD_SHARE_ROUND_PEER_MS;
}

/* Forgets the work of peers that have fallen silent. */
static void
forget_silent(struct load_share *share)
{
	struct timespec now = clock_monotonic(share->clock);
	int64_t silence_ms = round_ms(share) * LOAD_SHARE_SILENT_ROUNDS;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, share->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer_work *work = value;

		if (time_diff_ms(now, work->told_at) < silence_ms)
			continue;
		count(share, work, false);
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * Says whether enough peers that rank before this process are there and reach
 * the store, so that it need not watch.
 */
static bool
may_leave_watching(const struct load_share *share)
{
	guint count = g_hash_table_size(share->peers);
	g_autofree struct watcher_candidate *candidates = g_new(
	    struct watcher_candidate, count + 1);
	GHashTableIter iter;
	void *process;
	void *value;
	size_t used = 0;

	g_hash_table_iter_init(&iter, share->peers);
	while (g_hash_table_iter_next(&iter, &process, &value))
		candidates[used++] = (struct watcher_candidate){
		    .id = process,
		    .answers = !((const struct peer_work *)value)->store_away,
		};
	return !watchers_rank(
	    candidates, used, share->self, LOAD_SHARE_WATCHERS);
}

/* Time for a round. */
static void
round_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct load_share *share = timer->data;

	forget_silent(share);
	knowledge_set_watching(share->knowledge, !may_leave_watching(share));
	tell_load(share);
	ev_timer_set(timer, (double)round_ms(share) / MS_PER_S, 0.0);
	ev_timer_start(loop, timer);
}

/* Begins to tell the peers of our work and to take theirs. */
struct load_share *
load_share_new(struct ev_loop *loop, struct clock *clock, struct mesh *mesh,
    const char *self, struct knowledge *knowledge)
{
	struct load_share *share = g_new0(struct load_share, 1);

	share->loop = loop;
	share->clock = clock;
	share->mesh = mesh;
	share->self = g_strdup(self);
	share->knowledge = knowledge;
	share->fleet = knowledge_fleet(knowledge);
	share->peers = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, work_free);
	share->handler = (struct mesh_handler){
	    .kinds = MESH_KIND(MESSAGE_LOAD) | MESH_KIND(MESSAGE_PREFILL),
	    .ops = &share_ops,
	    .data = share,
	};
	mesh_add_handler(mesh, &share->handler);
	ev_timer_init(&share->timer, round_due,
	    (double)LOAD_SHARE_ROUND_MS / MS_PER_S, 0.0);
	share->timer.data = share;
	ev_timer_start(loop, &share->timer);
	return share;
}

/* Stops; NULL is allowed. */
void
load_share_free(struct load_share *share)
{
	if (share == NULL)
		return;
	ev_timer_stop(share->loop, &share->timer);
	mesh_remove_handler(share->mesh, &share->handler);
	g_hash_table_unref(share->peers);
	g_free(share->self);
	g_free(share);
}

/* Tells the peers at once of a prompt that upstreams read in even parts. */
void
load_share_tell_reading(struct load_share *share, const char *const *upstreams,
    size_t count, double part_ms)
{
	struct message message = {
	    .kind = MESSAGE_PREFILL,
	    .prefill =
		{
		    .upstreams = {(char **)upstreams, count},
		    .part_us = (uint64_t)(part_ms * US_PER_MS),
		},
	};

	tell_all(share, &message);
}
