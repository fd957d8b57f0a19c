#include "gateway/load_sync.h"

#include <string.h>

#include "policy/watching.h"
#include "store/watchers.h"

/* One peer's load as last reported. */
struct peer_load {
	GHashTable *loads; /* upstream id -> struct upstream_load */
	GPtrArray *faulty; /* ids of upstreams */
	struct timespec received_at;
	bool store_disconnected;
};

struct load_sync {
	struct ev_loop *loop;
	struct clock *clock;
	struct mesh *mesh;
	char *self; /* name of this process */
	bool is_seed;
	bool has_seeds;
	struct timespec started_at;
	struct routing_state *routing_state;
	struct fleet *fleet;
	struct mesh_handler handler;
	GHashTable *peers; /* process -> struct peer_load */
	ev_timer timer;
	unsigned int idle_rounds; /* since the idle state was sent */
};

/* Adds one peer's fault reports to the upstreams, or removes them. */
static void
apply_fault_reports(
    struct load_sync *sync, const struct peer_load *peer_load, bool add)
{
	for (size_t i = 0; i < peer_load->faulty->len; i++) {
		struct fleet_upstream *upstream = fleet_find(
		    sync->fleet, peer_load->faulty->pdata[i]);

		if (upstream == NULL)
			continue;
		if (add)
			upstream->peer_fault_reports++;
		else if (upstream->peer_fault_reports > 0)
			upstream->peer_fault_reports--;
	}
}

/* Adds one peer's load to the upstreams, or removes it. */
static void
apply_peer_load(
    struct load_sync *sync, const struct peer_load *peer_load, bool add)
{
	GHashTableIter iter;
	void *id;
	void *value;

	apply_fault_reports(sync, peer_load, add);
	g_hash_table_iter_init(&iter, peer_load->loads);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		struct fleet_upstream *upstream = fleet_find(sync->fleet, id);
		const struct upstream_load *load = value;

		if (upstream == NULL)
			continue;
		if (add) {
			upstream->peers.running += load->running;
			for (size_t i = 0; i < STREAM_CLASSES; i++)
				upstream->peers.streams[i] += load->streams[i];
			upstream->peers.context_tokens += load->context_tokens;
			upstream->peers.prefill_us += load->prefill_us;
			continue;
		}
		/*
		 * It does not include the load of peers that reported before it
		 * was added.
		 */
		upstream->peers.running -= MIN(
		    load->running, upstream->peers.running);
		for (size_t i = 0; i < STREAM_CLASSES; i++)
			upstream->peers.streams[i] -= MIN(
			    load->streams[i], upstream->peers.streams[i]);
		upstream->peers.context_tokens -= MIN(
		    load->context_tokens, upstream->peers.context_tokens);
		upstream->peers.prefill_us -= MIN(
		    load->prefill_us, upstream->peers.prefill_us);
	}
}

/* Frees one peer's load. */
static void
peer_load_free(void *data)
{
	struct peer_load *peer_load = data;

	g_hash_table_unref(peer_load->loads);
	g_ptr_array_unref(peer_load->faulty);
	g_free(peer_load);
}

/* Returns a peer's load; creates an empty one if needed. */
static struct peer_load *
get_peer_load(struct load_sync *sync, const char *process)
{
	struct peer_load *peer_load = g_hash_table_lookup(sync->peers, process);

	if (peer_load != NULL)
		return peer_load;
	peer_load = g_new0(struct peer_load, 1);
	peer_load->loads = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	peer_load->faulty = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_insert(sync->peers, g_strdup(process), peer_load);
	return peer_load;
}

/* Marks the upstreams that have told a peer that they leave. */
static void
apply_leaving(struct load_sync *sync, const char *process,
    const struct message_load *message)
{
	struct timespec now = clock_monotonic(sync->clock);
	size_t count = MIN(
	    message->leaving.count, message->leaving_starts.count);

	for (size_t i = 0; i < count; i++) {
		struct fleet_upstream *upstream = fleet_find(
		    sync->fleet, message->leaving.items[i]);
		int64_t start = (int64_t)message->leaving_starts.items[i];

		if (upstream != NULL && (start == upstream->start_wall_ms))
			fleet_upstream_on_leaving(upstream, process, now);
	}
}

/* Replaces a peer's load with the one it reports. */
static void
on_load(struct load_sync *sync, const char *process,
    const struct message_load *message)
{
	struct peer_load *peer_load = get_peer_load(sync, process);
	size_t rows = message->upstreams.count;

	rows = MIN(rows, message->running.count);
	rows = MIN(rows, message->short_streams.count);
	rows = MIN(rows, message->medium_streams.count);
	rows = MIN(rows, message->long_streams.count);
	rows = MIN(rows, message->context_tokens.count);
	rows = MIN(rows, message->prefill_us.count);
	apply_peer_load(sync, peer_load, false);
	g_hash_table_remove_all(peer_load->loads);
	g_ptr_array_set_size(peer_load->faulty, 0);
	for (size_t i = 0; i < message->faulty.count; i++)
		g_ptr_array_add(
		    peer_load->faulty, g_strdup(message->faulty.items[i]));
	for (size_t i = 0; i < rows; i++) {
		struct upstream_load *load = g_new0(struct upstream_load, 1);

		load->running = (uint32_t)message->running.items[i];
		load->streams[STREAM_SHORT] = (uint32_t)message->short_streams
						  .items[i];
		load->streams[STREAM_MEDIUM] = (uint32_t)message->medium_streams
						   .items[i];
		load->streams[STREAM_LONG] = (uint32_t)
						 message->long_streams.items[i];
		load->context_tokens = message->context_tokens.items[i];
		load->prefill_us = message->prefill_us.items[i];
		g_hash_table_replace(peer_load->loads,
		    g_strdup(message->upstreams.items[i]), load);
	}
	peer_load->received_at = clock_monotonic(sync->clock);
	peer_load->store_disconnected = message->store_disconnected;
	apply_peer_load(sync, peer_load, true);
	apply_leaving(sync, process, message);
}

/* Returns a peer's load on one upstream; creates an empty one if needed. */
static struct upstream_load *
get_upstream_load(struct peer_load *peer_load, const char *upstream)
{
	struct upstream_load *load = g_hash_table_lookup(
	    peer_load->loads, upstream);

	if (load != NULL)
		return load;
	load = g_new0(struct upstream_load, 1);
	g_hash_table_insert(peer_load->loads, g_strdup(upstream), load);
	return load;
}

/* Adds the stream of a prompt that a peer has just sent. */
static void
add_stream(struct load_sync *sync, struct peer_load *peer_load,
    const struct message_prefill *message)
{
	const char *id = message->upstreams.items[0];
	struct upstream_load *load = get_upstream_load(peer_load, id);
	struct fleet_upstream *upstream = fleet_find(sync->fleet, id);
	size_t class = message->stream - 1;

	load->running++;
	load->streams[class]++;
	load->context_tokens += message->context_tokens;
	if (upstream == NULL)
		return;
	upstream->peers.running++;
	upstream->peers.streams[class]++;
	upstream->peers.context_tokens += message->context_tokens;
}

/* Adds a prompt that a peer reports before its next round. */
static void
on_prefill(struct load_sync *sync, const char *process,
    const struct message_prefill *message)
{
	struct peer_load *peer_load = get_peer_load(sync, process);

	if (message->upstreams.count > 0 && message->stream > 0 &&
	    message->stream <= STREAM_CLASSES)
		add_stream(sync, peer_load, message);
	for (size_t i = 0; i < message->upstreams.count; i++) {
		const char *id = message->upstreams.items[i];
		struct fleet_upstream *upstream = fleet_find(sync->fleet, id);

		get_upstream_load(peer_load, id)->prefill_us += message
								    ->part_us;
		if (upstream == NULL)
			continue;
		upstream->peers.prefill_us += message->part_us;
		fleet_upstream_add_prefill(
		    upstream, message->part_us, clock_monotonic(sync->clock));
	}
	peer_load->received_at = clock_monotonic(sync->clock);
}

/* Handles a peer's message. */
static void
on_message(void *data, struct link *link, const struct message *message)
{
	struct load_sync *sync = data;

	if (message->kind == MESSAGE_LOAD)
		on_load(sync, link_peer(link)->process, &message->load);
	else if (message->kind == MESSAGE_PREFILL)
		on_prefill(sync, link_peer(link)->process, &message->prefill);
}

static const struct mesh_ops load_sync_ops = {
    .message = on_message,
};

/* Sends a message to all peers. */
static void
broadcast(struct load_sync *sync, struct message *message)
{
	size_t count;
	const char *const *peers = mesh_peers(sync->mesh, &count);

	for (size_t i = 0; i < count; i++)
		mesh_send(sync->mesh, peers[i], message);
}

/* Reports our load on each upstream to all peers; skips rounds while idle. */
static void
broadcast_load(struct load_sync *sync)
{
	size_t max = fleet_count(sync->fleet);
	g_autofree char **ids = g_new(char *, max + 1);
	g_autofree uint64_t *running = g_new(uint64_t, max + 1);
	g_autofree uint64_t *short_streams = g_new(uint64_t, max + 1);
	g_autofree uint64_t *medium_streams = g_new(uint64_t, max + 1);
	g_autofree uint64_t *long_streams = g_new(uint64_t, max + 1);
	g_autofree uint64_t *tokens = g_new(uint64_t, max + 1);
	g_autofree uint64_t *prefill_us = g_new(uint64_t, max + 1);
	g_autofree char **faulty = g_new(char *, max + 1);
	g_autofree char **leaving = g_new(char *, max + 1);
	g_autofree uint64_t *starts = g_new(uint64_t, max + 1);
	struct timespec now = clock_monotonic(sync->clock);
	struct message message = {.kind = MESSAGE_LOAD};
	struct fleet_upstream *upstream;
	size_t rows = 0;
	size_t faulty_count = 0;
	size_t leaving_count = 0;

	TAILQ_FOREACH (upstream, &sync->fleet->upstreams, entry) {
		if (time_before(now, upstream->faulty_until))
			faulty[faulty_count++] = upstream->id;
		if (fleet_upstream_announces(upstream, now)) {
			leaving[leaving_count] = upstream->id;
			starts[leaving_count++] = (uint64_t)
						      upstream->start_wall_ms;
		}
		if (upstream->own.running == 0 && upstream->own.prefill_us == 0)
			continue;
		ids[rows] = upstream->id;
		running[rows] = upstream->own.running;
		short_streams[rows] = upstream->own.streams[STREAM_SHORT];
		medium_streams[rows] = upstream->own.streams[STREAM_MEDIUM];
		long_streams[rows] = upstream->own.streams[STREAM_LONG];
		tokens[rows] = upstream->own.context_tokens;
		prefill_us[rows++] = upstream->own.prefill_us;
	}
	if (rows == 0 && faulty_count == 0 && leaving_count == 0 &&
	    sync->idle_rounds > 0 &&
	    sync->idle_rounds++ < LOAD_SYNC_IDLE_ROUNDS)
		return;
	sync->idle_rounds = rows == 0 ? 1 : 0;
	message.load = (struct message_load){
	    .store_disconnected = routing_state_is_store_disconnected(
		sync->routing_state),
	    .upstreams = {ids, rows},
	    .running = {running, rows},
	    .short_streams = {short_streams, rows},
	    .medium_streams = {medium_streams, rows},
	    .long_streams = {long_streams, rows},
	    .context_tokens = {tokens, rows},
	    .prefill_us = {prefill_us, rows},
	    .faulty = {faulty, faulty_count},
	    .leaving = {leaving, leaving_count},
	    .leaving_starts = {starts, leaving_count},
	};
	broadcast(sync, &message);
}

/*
 * Returns the interval between rounds in milliseconds. It grows with the number
 * of peers, which limits the messages per second.
 */
static int64_t
round_ms(const struct load_sync *sync)
{
	size_t peers;

	mesh_peers(sync->mesh, &peers);
	return LOAD_SYNC_ROUND_MS + (int64_t)peers * LOAD_SYNC_ROUND_PEER_MS;
}

/* Drops the load of peers that have stopped reporting. */
static void
expire_peers(struct load_sync *sync)
{
	struct timespec now = clock_monotonic(sync->clock);
	int64_t silence_ms = round_ms(sync) * LOAD_SYNC_TIMEOUT_ROUNDS;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, sync->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer_load *peer_load = value;

		if (time_diff_ms(now, peer_load->received_at) < silence_ms)
			continue;
		apply_peer_load(sync, peer_load, false);
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * Returns whether enough peers that rank before this process are alive and
 * reach the store, so that this process does not have to watch it.
 */
static bool
has_enough_watchers(const struct load_sync *sync)
{
	guint count = g_hash_table_size(sync->peers);
	g_autofree struct watcher_candidate *candidates = g_new(
	    struct watcher_candidate, count + 1);
	GHashTableIter iter;
	void *process;
	void *value;
	size_t used = 0;

	g_hash_table_iter_init(&iter, sync->peers);
	while (g_hash_table_iter_next(&iter, &process, &value))
		candidates[used++] = (struct watcher_candidate){
		    .id = process,
		    .answers = !((const struct peer_load *)value)
				    ->store_disconnected,
		};
	return !watchers_is_elected(
	    candidates, used, sync->self, LOAD_SYNC_WATCHERS);
}

/* Decides whether this process watches the store. */
static void
decide_watching(struct load_sync *sync)
{
	const struct watching_input input = {
	    .age_ms = time_diff_ms(
		clock_monotonic(sync->clock), sync->started_at),
	    .is_seed = sync->is_seed,
	    .has_seeds = sync->has_seeds,
	    .complete = routing_state_is_complete(sync->routing_state),
	    .elected = !has_enough_watchers(sync),
	};

	routing_state_set_watching(
	    sync->routing_state, watching_is_needed(&input));
}

/* Runs a round: drops silent peers, decides on watching, reports our load. */
static void
on_round_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct load_sync *sync = timer->data;

	expire_peers(sync);
	fleet_expire(sync->fleet, clock_monotonic(sync->clock));
	decide_watching(sync);
	broadcast_load(sync);
	ev_timer_set(timer, (double)round_ms(sync) / MS_PER_S, 0.0);
	ev_timer_start(loop, timer);
}

/* Starts to exchange load figures with the peers. */
struct load_sync *
load_sync_new(struct ev_loop *loop, struct clock *clock, struct mesh *mesh,
    const struct load_sync_settings *settings,
    struct routing_state *routing_state)
{
	struct load_sync *sync = g_new0(struct load_sync, 1);

	sync->loop = loop;
	sync->clock = clock;
	sync->mesh = mesh;
	sync->self = g_strdup(settings->self);
	sync->is_seed = settings->is_seed;
	sync->has_seeds = settings->has_seeds;
	sync->started_at = clock_monotonic(clock);
	sync->routing_state = routing_state;
	sync->fleet = routing_state_fleet(routing_state);
	sync->peers = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, peer_load_free);
	sync->handler = (struct mesh_handler){
	    .kinds = MESH_KIND(MESSAGE_LOAD) | MESH_KIND(MESSAGE_PREFILL),
	    .ops = &load_sync_ops,
	    .data = sync,
	};
	mesh_add_handler(mesh, &sync->handler);
	ev_timer_init(&sync->timer, on_round_timer,
	    (double)LOAD_SYNC_ROUND_MS / MS_PER_S, 0.0);
	sync->timer.data = sync;
	ev_timer_start(loop, &sync->timer);
	return sync;
}

/* Stops the exchange of load figures; NULL is allowed. */
void
load_sync_free(struct load_sync *sync)
{
	if (sync == NULL)
		return;
	ev_timer_stop(sync->loop, &sync->timer);
	mesh_remove_handler(sync->mesh, &sync->handler);
	g_hash_table_unref(sync->peers);
	g_free(sync->self);
	g_free(sync);
}

/*
 * Reports a prompt to the peers without waiting for the next round: until they
 * know of it, all gateways choose the same upstreams and overfill them.
 */
void
load_sync_send_prompt(
    struct load_sync *sync, const struct load_sync_prompt *prompt)
{
	struct message message = {
	    .kind = MESSAGE_PREFILL,
	    .prefill =
		{
		    .upstreams = {(char **)prompt->upstreams, prompt->count},
		    .part_us = (uint64_t)(prompt->part_ms * US_PER_MS),
		    .stream = (uint32_t)prompt->class + 1,
		    .context_tokens = prompt->context_tokens,
		},
	};

	broadcast(sync, &message);
}
