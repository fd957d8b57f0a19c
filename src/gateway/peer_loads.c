#include "gateway/peer_loads.h"

#include "base/clock.h"

/* One peer's load as last reported. */
struct peer_load {
	GHashTable *loads; /* upstream id -> struct upstream_load */
	GPtrArray *faulty; /* ids of upstreams */
	struct timespec received_at;
	bool cannot_watch; /* the store, as last reported */
	bool is_new; /* which is the only reason for that */
	uint32_t cpu_permille; /* as last reported */
	bool may_coordinate; /* shared rates, as last reported */
	uint64_t view; /* of the gateways that may */
	struct retry_peer retry; /* as last reported */
};

struct peer_loads {
	struct fleet *fleet;
	GHashTable *peers; /* process -> struct peer_load */
	uint64_t generation; /* changes with the peers and their views */
	uint64_t reports; /* received or lapsed */
};

/* Adds one peer's fault reports to the upstreams, or removes them. */
static void
apply_fault_reports(const struct peer_loads *peer_loads,
    const struct peer_load *peer_load, bool add)
{
	for (size_t i = 0; i < peer_load->faulty->len; i++) {
		struct fleet_upstream *upstream = fleet_find(
		    peer_loads->fleet, peer_load->faulty->pdata[i]);

		if (upstream == NULL)
			continue;
		if (add)
			upstream->peer_fault_reports++;
		else if (upstream->peer_fault_reports > 0)
			upstream->peer_fault_reports--;
	}
}

/* Adds a load to the sum of the peers on an upstream. */
static void
add_load(struct fleet_upstream *upstream, const struct upstream_load *load)
{
	upstream->peers.running += load->running;
	for (size_t i = 0; i < STREAM_CLASSES; i++)
		upstream->peers.streams[i] += load->streams[i];
	upstream->peers.context_tokens += load->context_tokens;
	upstream->peers.prefill_us += load->prefill_us;
}

/*
 * Removes a load from the sum of the peers on an upstream. The sum does not
 * include the loads that peers reported before the upstream was added.
 */
static void
remove_load(struct fleet_upstream *upstream, const struct upstream_load *load)
{
	struct upstream_load *sum = &upstream->peers;

	sum->running -= MIN(load->running, sum->running);
	for (size_t i = 0; i < STREAM_CLASSES; i++)
		sum->streams[i] -= MIN(load->streams[i], sum->streams[i]);
	sum->context_tokens -= MIN(load->context_tokens, sum->context_tokens);
	sum->prefill_us -= MIN(load->prefill_us, sum->prefill_us);
}

/* Removes all that a peer has reported from the upstreams. */
static void
remove_peer_load(
    const struct peer_loads *peer_loads, struct peer_load *peer_load)
{
	GHashTableIter iter;
	void *id;
	void *load;

	apply_fault_reports(peer_loads, peer_load, false);
	g_ptr_array_set_size(peer_load->faulty, 0);
	g_hash_table_iter_init(&iter, peer_load->loads);
	while (g_hash_table_iter_next(&iter, &id, &load)) {
		struct fleet_upstream *upstream = fleet_find(
		    peer_loads->fleet, id);

		if (upstream != NULL)
			remove_load(upstream, load);
	}
	g_hash_table_remove_all(peer_load->loads);
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

/*
 * Returns a peer's load; creates an empty one if needed. A peer that has not
 * reported yet may have just started.
 */
static struct peer_load *
get_peer_load(struct peer_loads *peer_loads, const char *process)
{
	struct peer_load *peer_load = g_hash_table_lookup(
	    peer_loads->peers, process);

	if (peer_load != NULL)
		return peer_load;
	peer_load = g_new0(struct peer_load, 1);
	peer_load->loads = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	peer_load->faulty = g_ptr_array_new_with_free_func(g_free);
	peer_load->cannot_watch = true;
	g_hash_table_insert(peer_loads->peers, g_strdup(process), peer_load);
	peer_loads->generation++;
	return peer_load;
}

/* Marks the upstreams that have told a peer that they leave. */
static void
apply_leaving(const struct peer_loads *peer_loads, const char *process,
    const struct message_load *message, struct timespec now)
{
	size_t count = MIN(
	    message->leaving.count, message->leaving_starts.count);

	for (size_t i = 0; i < count; i++) {
		struct fleet_upstream *upstream = fleet_find(
		    peer_loads->fleet, message->leaving.items[i]);
		int64_t start = (int64_t)message->leaving_starts.items[i];

		if (upstream != NULL &&
		    start == upstream->process.start_wall_ms)
			fleet_upstream_on_leaving(upstream, process, now);
	}
}

/* Applies the rates that upstreams have named to a peer. */
static void
apply_rates(const struct peer_loads *peer_loads, const char *process,
    const struct message_load *message, struct timespec now)
{
	size_t count = MIN(
	    MIN(message->rated.count, message->rated_starts.count),
	    MIN(message->rates.count, message->rate_ages_ms.count));

	for (size_t i = 0; i < count; i++) {
		struct fleet_upstream *upstream = fleet_find(
		    peer_loads->fleet, message->rated.items[i]);
		if (upstream != NULL &&
		    upstream->process.start_wall_ms ==
			(int64_t)message->rated_starts.items[i])
			fleet_upstream_on_rate(upstream,
			    named_rate_on_report(&upstream->process.named_rate,
				message_decode_rate(message->rates.items[i]),
				message->rate_ages_ms.items[i], now),
			    process);
	}
}

/* Returns the number of complete rows of a report. */
static size_t
count_rows(const struct message_load *message)
{
	size_t rows = message->upstreams.count;

	rows = MIN(rows, message->running.count);
	rows = MIN(rows, message->short_streams.count);
	rows = MIN(rows, message->medium_streams.count);
	rows = MIN(rows, message->long_streams.count);
	rows = MIN(rows, message->context_tokens.count);
	return MIN(rows, message->prefill_us.count);
}

/* Replaces a peer's load on one upstream. */
static void
replace_row(const struct peer_loads *peer_loads, struct peer_load *peer_load,
    const struct message_load *message, size_t row)
{
	const char *id = message->upstreams.items[row];
	struct fleet_upstream *upstream = fleet_find(peer_loads->fleet, id);
	const struct upstream_load *old = g_hash_table_lookup(
	    peer_load->loads, id);
	const struct upstream_load load = {
	    .running = (uint32_t)message->running.items[row],
	    .streams =
		{
		    [STREAM_SHORT] = (uint32_t)
					 message->short_streams.items[row],
		    [STREAM_MEDIUM] = (uint32_t)
					  message->medium_streams.items[row],
		    [STREAM_LONG] = (uint32_t)message->long_streams.items[row],
		},
	    .context_tokens = message->context_tokens.items[row],
	    .prefill_us = message->prefill_us.items[row],
	};

	if (upstream != NULL && old != NULL)
		remove_load(upstream, old);
	if (upstream != NULL)
		add_load(upstream, &load);
	if (load.running == 0 && load.prefill_us == 0 &&
	    load.context_tokens == 0)
		g_hash_table_remove(peer_load->loads, id);
	else
		g_hash_table_replace(peer_load->loads, g_strdup(id),
		    g_memdup2(&load, sizeof(load)));
}

/* Replaces a peer's load, or its load on the upstreams that are listed. */
void
peer_loads_on_load(struct peer_loads *peer_loads, const char *process,
    const struct message_load *message, struct timespec now)
{
	struct peer_load *peer_load = get_peer_load(peer_loads, process);
	size_t rows = count_rows(message);

	peer_loads->reports++;
	if (!message->changes)
		remove_peer_load(peer_loads, peer_load);
	apply_fault_reports(peer_loads, peer_load, false);
	g_ptr_array_set_size(peer_load->faulty, 0);
	for (size_t i = 0; i < message->faulty.count; i++)
		g_ptr_array_add(
		    peer_load->faulty, g_strdup(message->faulty.items[i]));
	apply_fault_reports(peer_loads, peer_load, true);
	for (size_t i = 0; i < rows; i++)
		replace_row(peer_loads, peer_load, message, i);
	peer_load->received_at = now;
	peer_load->cannot_watch = message->cannot_watch;
	peer_load->is_new = message->is_new;
	peer_load->cpu_permille = message->cpu_permille;
	if (peer_load->may_coordinate != message->may_coordinate ||
	    peer_load->view != message->view)
		peer_loads->generation++;
	peer_load->may_coordinate = message->may_coordinate;
	peer_load->view = message->view;
	peer_load->retry = (struct retry_peer){
	    .known = message->gateways, .holds = message->holds_retry_share};
	apply_leaving(peer_loads, process, message, now);
	apply_rates(peer_loads, process, message, now);
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

/*
 * Adds a part of a prompt to a load and, at the upstream that decodes it, its
 * stream. Peers count a prompt in the same way as the gateway that reports it.
 */
void
peer_loads_count_prompt(struct upstream_load *load,
    const struct message_prefill *message, bool decodes)
{
	load->prefill_us += message->part_us;
	if (!decodes || message->stream == 0 ||
	    message->stream > STREAM_CLASSES)
		return;
	load->running++;
	load->streams[message->stream - 1]++;
	load->context_tokens += message->context_tokens;
}

/* Adds a prompt that a peer has just sent. */
void
peer_loads_on_prompt(struct peer_loads *peer_loads, const char *process,
    const struct message_prefill *message, struct timespec now)
{
	struct peer_load *peer_load = get_peer_load(peer_loads, process);
	struct fleet_upstream *upstream;

	for (size_t i = 0; i < message->upstreams.count; i++) {
		const char *id = message->upstreams.items[i];

		peer_loads_count_prompt(
		    get_upstream_load(peer_load, id), message, i == 0);
		upstream = fleet_find(peer_loads->fleet, id);
		if (upstream == NULL)
			continue;
		peer_loads_count_prompt(&upstream->peers, message, i == 0);
		if (i == 0)
			upstream->peers_sent_tokens += message->context_tokens;
		fleet_upstream_add_prefill(upstream, message->part_us, now);
	}
	peer_load->received_at = now;
}

/* Drops the load of peers that have reported nothing for silence_ms. */
void
peer_loads_expire(
    struct peer_loads *peer_loads, int64_t silence_ms, struct timespec now)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, peer_loads->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_load *peer_load = value;

		if (time_diff_ms(now, peer_load->received_at) < silence_ms)
			continue;
		remove_peer_load(peer_loads, peer_load);
		g_hash_table_iter_remove(&iter);
		peer_loads->generation++;
		peer_loads->reports++;
	}
}

/*
 * Returns the number of peers whose load is known, and the age of the oldest of
 * their last reports, 0 without any.
 */
size_t
peer_loads_report_ages(const struct peer_loads *peer_loads, struct timespec now,
    int64_t *oldest_ms)
{
	GHashTableIter iter;
	void *value;

	*oldest_ms = 0;
	g_hash_table_iter_init(&iter, peer_loads->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer_load *peer_load = value;

		*oldest_ms = MAX(
		    *oldest_ms, time_diff_ms(now, peer_load->received_at));
	}
	return g_hash_table_size(peer_loads->peers);
}

/*
 * Returns the peers as candidates for watching the store, to be freed with
 * g_free(); those that have just started answer if with_new is set. Their ids
 * are valid until the next call of this module.
 */
struct watcher_candidate *
peer_loads_watcher_candidates(
    const struct peer_loads *peer_loads, bool with_new, size_t *count)
{
	struct watcher_candidate *candidates = g_new(
	    struct watcher_candidate, g_hash_table_size(peer_loads->peers) + 1);
	GHashTableIter iter;
	void *process;
	void *value;

	*count = 0;
	g_hash_table_iter_init(&iter, peer_loads->peers);
	while (g_hash_table_iter_next(&iter, &process, &value)) {
		const struct peer_load *peer_load = value;

		candidates[(*count)++] = (struct watcher_candidate){
		    .id = process,
		    .answers = !peer_load->cannot_watch ||
			(with_new && peer_load->is_new),
		    .cpu_permille = peer_load->cpu_permille,
		};
	}
	return candidates;
}

/* Returns when a peer that can watch the store last reported; or unset. */
struct timespec
peer_loads_watcher_heard_at(const struct peer_loads *peer_loads)
{
	struct timespec heard_at = {0};
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, peer_loads->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer_load *peer_load = value;

		if (!peer_load->cannot_watch &&
		    time_before(heard_at, peer_load->received_at))
			heard_at = peer_load->received_at;
	}
	return heard_at;
}

/* Returns a number that changes with the peers and their views. */
uint64_t
peer_loads_generation(const struct peer_loads *peer_loads)
{
	return peer_loads->generation;
}

/*
 * Returns a number that changes with each report that is received or lapses.
 */
uint64_t
peer_loads_reports(const struct peer_loads *peer_loads)
{
	return peer_loads->reports;
}

/*
 * Appends the peers to an array of struct rate_member, whose ids are valid
 * until the generation changes.
 */
void
peer_loads_add_members(const struct peer_loads *peer_loads, GArray *members)
{
	GHashTableIter iter;
	void *process;
	void *value;

	g_hash_table_iter_init(&iter, peer_loads->peers);
	while (g_hash_table_iter_next(&iter, &process, &value)) {
		const struct peer_load *peer_load = value;
		const struct rate_member member = {
		    .id = process,
		    .may_coordinate = peer_load->may_coordinate,
		    .view = peer_load->view,
		};

		g_array_append_val(members, member);
	}
}

/* Appends what the peers have reported to an array of struct retry_peer. */
void
peer_loads_add_retry_peers(const struct peer_loads *peer_loads, GArray *peers)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, peer_loads->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer_load *peer_load = value;

		g_array_append_val(peers, peer_load->retry);
	}
}

/* Returns an empty set for a fleet, which must outlive it. */
struct peer_loads *
peer_loads_new(struct fleet *fleet)
{
	struct peer_loads *peer_loads = g_new0(struct peer_loads, 1);

	peer_loads->fleet = fleet;
	peer_loads->peers = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, peer_load_free);
	return peer_loads;
}

/* Frees the set; NULL is allowed. The sums on the upstreams stay. */
void
peer_loads_free(struct peer_loads *peer_loads)
{
	if (peer_loads == NULL)
		return;
	g_hash_table_unref(peer_loads->peers);
	g_free(peer_loads);
}
