#include "gateway/load_sync.h"

#include "base/loop_monitor.h"
#include "gateway/load_report.h"
#include "gateway/peer_loads.h"
#include "gateway/rank_sync.h"
#include "policy/fanout.h"
#include "policy/watching.h"

struct load_sync {
	struct ev_loop *loop;
	struct clock *clock;
	struct mesh *mesh;
	const struct registry *registry;
	char *self; /* name of this process */
	char *address;
	char *failure_domain;
	bool is_seed;
	bool has_seeds;
	uint32_t cpu_permille;
	bool draining;
	struct timespec started_at;
	struct routing_state *routing_state;
	struct fleet *fleet;
	struct mesh_handler handler;
	struct peer_loads *peers;
	struct rank_sync *ranks;
	GHashTable *addresses; /* name -> address, as the peers report them */
	GArray *members; /* of struct rate_member: this process and the peers */
	uint64_t members_generation; /* of the peers, when they were listed */
	uint64_t mesh_generation; /* of the peers, when the mesh got them */
	bool addresses_changed; /* since then */
	size_t reported_peers; /* number at the last full report */
	uint64_t broadcasts; /* so far */
	unsigned int change_rounds; /* since the last full report */
	struct retry_view view; /* of the numbers of gateways */
	uint64_t view_reports; /* of the peers, when it was worked out */
	uint32_t view_listed; /* gateways in the list then */
	bool holds_retry_share; /* as reported */
	load_sync_round_fn *on_round; /* or NULL */
	void *round_data;
	ev_timer timer;
	unsigned int idle_rounds; /* since the idle state was sent */
};

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

/* Marks a message as passed on by a relay, or to be passed on by one. */
static void
mark_relayed(struct message *message, bool relay, const char *origin)
{
	if (message->kind == MESSAGE_LOAD) {
		message->load.relay = relay;
		message->load.origin = (char *)origin;
	} else {
		message->prefill.relay = relay;
		message->prefill.origin = (char *)origin;
	}
}

/* Returns whether a gateway is in the failure domain of this one. */
static bool
is_in_own_domain(const struct load_sync *sync, const char *address)
{
	return g_strcmp0(registry_failure_domain(sync->registry, address),
		   sync->failure_domain) == 0;
}

/*
 * Returns how long ago the version in a report was the newest: the time that
 * the message took, or lay unread while this process stood still, is added.
 * FRESHNESS_NEVER if that is not known.
 */
static int64_t
routes_age_ms(const struct link *link, const struct message *message)
{
	if (message->load.routes_age_ms == LOAD_AGE_UNKNOWN ||
	    !link_knows_ages(link))
		return FRESHNESS_NEVER;
	return message->load.routes_age_ms + link_message_age_ms(link, message);
}

/* Returns an age as reports have it. */
static uint32_t
encode_age(int64_t age_ms)
{
	return age_ms == FRESHNESS_NEVER
	    ? LOAD_AGE_UNKNOWN
	    : (uint32_t)MIN(age_ms, LOAD_AGE_UNKNOWN - 1);
}

/* Passes a message on to the other gateways in this failure domain. */
static void
relay_message(struct load_sync *sync, const char *origin,
    const struct link *link, const struct message *message)
{
	struct message copy = *message;
	size_t count;
	const char *const *peers = mesh_peers(sync->mesh, &count);

	if (copy.kind == MESSAGE_LOAD)
		copy.load.routes_age_ms = encode_age(
		    routes_age_ms(link, message));
	mark_relayed(&copy, false, origin);
	for (size_t i = 0; i < count; i++) {
		if (is_in_own_domain(sync, peers[i]))
			mesh_send(sync->mesh, peers[i], &copy);
	}
}

/* Takes a peer's address, which only some reports have. */
static void
take_address(struct load_sync *sync, const char *peer, const char *address)
{
	if (address == NULL || address[0] == '\0' ||
	    g_strcmp0(address, g_hash_table_lookup(sync->addresses, peer)) == 0)
		return;
	g_hash_table_replace(
	    sync->addresses, g_strdup(peer), g_strdup(address));
	sync->addresses_changed = true;
}

/* Handles a peer's message, which another one may have passed on. */
static void
on_message(void *data, struct link *link, const struct message *message)
{
	struct load_sync *sync = data;
	enum loop_work previous = loop_work_begin(LOOP_WORK_LOAD_REPORT);
	bool is_load = message->kind == MESSAGE_LOAD;
	const char *origin = is_load ? message->load.origin
				     : message->prefill.origin;

	if (origin == NULL || origin[0] == '\0')
		origin = link_peer(link)->process;
	if (is_load ? message->load.relay : message->prefill.relay)
		relay_message(sync, origin, link, message);
	if (is_load)
		take_address(sync, origin, message->load.address);
	if (is_load && message->load.routes_version > 0)
		routing_state_on_peer_report(sync->routing_state,
		    message->load.routes_version, routes_age_ms(link, message));
	if (is_load) {
		peer_loads_on_load(sync->peers, origin, &message->load,
		    clock_monotonic(sync->clock));
		rank_sync_on_report(sync->ranks, origin,
		    message->load.queued.items, message->load.queued.count,
		    clock_monotonic(sync->clock));
	} else if (message->kind == MESSAGE_PREFILL)
		peer_loads_on_prompt(sync->peers, origin, &message->prefill,
		    clock_monotonic(sync->clock));
	loop_work_end(previous);
}

static const struct mesh_ops load_sync_ops = {
    .message = on_message,
};

/* Sends a message to all peers, to some of them through relays. */
static void
broadcast(struct load_sync *sync, struct message *message)
{
	size_t count;
	const char *const *peers = mesh_peers(sync->mesh, &count);
	g_autofree struct fanout_peer *targets = g_new(
	    struct fanout_peer, count + 1);

	for (size_t i = 0; i < count; i++)
		targets[i] = (struct fanout_peer){
		    .address = peers[i],
		    .domain = registry_failure_domain(sync->registry, peers[i]),
		    .connected = mesh_is_connected(sync->mesh, peers[i]),
		};
	fanout_assign(targets, count, sync->self, sync->failure_domain,
	    ++sync->broadcasts);
	for (size_t i = 0; i < count; i++) {
		if (targets[i].role == FANOUT_NONE)
			continue;
		mark_relayed(message, targets[i].role == FANOUT_RELAY, "");
		mesh_send(sync->mesh, peers[i], message);
	}
}

/*
 * This process stops: its peers no longer count on it to watch the store, which
 * it does until they have taken over.
 */
void
load_sync_start_draining(struct load_sync *sync)
{
	sync->draining = true;
}

/* Returns the counts by rank that are exchanged with the loads. */
struct rank_sync *
load_sync_ranks(const struct load_sync *sync)
{
	return sync->ranks;
}

/* Returns the time since this process started, in milliseconds. */
int64_t
load_sync_uptime_ms(const struct load_sync *sync)
{
	return time_diff_ms(clock_monotonic(sync->clock), sync->started_at);
}

/* Returns whether the peers know this process. */
static bool
is_settled(const struct load_sync *sync)
{
	return load_sync_uptime_ms(sync) >= LOAD_SYNC_SETTLE_MS;
}

/* Returns whether this process may coordinate shared rates. */
static bool
may_coordinate(const struct load_sync *sync)
{
	return !sync->draining && is_settled(sync);
}

/*
 * Returns this process, which comes first, and the peers that are alive. Valid
 * until the loop runs again.
 */
const struct rate_member *
load_sync_members(struct load_sync *sync, size_t *count)
{
	struct rate_member self = {
	    .id = sync->self, .may_coordinate = may_coordinate(sync)};
	uint64_t generation = peer_loads_generation(sync->peers);
	struct rate_member *members;

	if (sync->members->len == 0 || generation != sync->members_generation) {
		sync->members_generation = generation;
		g_array_set_size(sync->members, 0);
		g_array_append_val(sync->members, self);
		peer_loads_add_members(sync->peers, sync->members);
	}
	members = (struct rate_member *)(void *)sync->members->data;
	members[0] = self;
	*count = sync->members->len;
	return members;
}

/*
 * Returns the number of gateways that this one knows, itself included: those in
 * the store's list, and those that report and are not in it.
 */
static uint32_t
count_known(const struct load_sync *sync)
{
	size_t count;
	g_autofree struct watcher_candidate
	    *peers = peer_loads_watcher_candidates(sync->peers, false, &count);
	size_t known;

	registry_others(sync->registry, &known);
	for (size_t i = 0; i < count; i++)
		known += !registry_is_listed(sync->registry, peers[i].id);
	return (uint32_t)known + 1;
}

/* Works out what the reports and the list say, if either has changed. */
static void
update_view(struct load_sync *sync)
{
	uint64_t reports = peer_loads_reports(sync->peers);
	uint32_t listed = registry_count(sync->registry);
	g_autoptr(GArray) peers = NULL;

	if (sync->view.known > 0 && reports == sync->view_reports &&
	    listed == sync->view_listed)
		return;
	peers = g_array_new(FALSE, FALSE, sizeof(struct retry_peer));
	peer_loads_add_retry_peers(sync->peers, peers);
	retry_view_count(&sync->view, count_known(sync),
	    (const struct retry_peer *)(void *)peers->data, peers->len);
	sync->view_reports = reports;
	sync->view_listed = listed;
}

/* Describes what this process knows of all gateways. */
void
load_sync_retry_view(struct load_sync *sync, struct retry_view *view)
{
	update_view(sync);
	*view = sync->view;
	view->is_settled = is_settled(sync) &&
	    registry_has_list(sync->registry);
	view->lapse_ms = round_ms(sync) * LOAD_SYNC_TIMEOUT_ROUNDS;
}

/*
 * Returns the number of gateways among which shared limits are divided: the
 * largest that this process or a peer knows, since one that has just started
 * may know few.
 */
uint32_t
load_sync_count(struct load_sync *sync)
{
	update_view(sync);
	return MAX(registry_count(sync->registry), sync->view.known);
}

/* Sets whether this process reports that it holds a share of retry slack. */
void
load_sync_set_retry_holder(struct load_sync *sync, bool holds)
{
	sync->holds_retry_share = holds;
}

/* Sets what is called in each round; NULL for nothing. */
void
load_sync_set_round_callback(
    struct load_sync *sync, load_sync_round_fn *on_round, void *data)
{
	sync->on_round = on_round;
	sync->round_data = data;
}

/* Returns the number of peers that report, and the age of the oldest report. */
size_t
load_sync_report_ages(const struct load_sync *sync, int64_t *oldest_ms)
{
	return peer_loads_report_ages(
	    sync->peers, clock_monotonic(sync->clock), oldest_ms);
}

/* Returns the view of those that may coordinate shared rates. */
static uint64_t
own_view(struct load_sync *sync)
{
	size_t count;
	const struct rate_member *members = load_sync_members(sync, &count);

	return shared_rate_view(members, count);
}

/* Returns the name of this process among the gateways. */
const char *
load_sync_self(const struct load_sync *sync)
{
	return sync->self;
}

/* Returns the address of another gateway by its name; NULL if not known. */
const char *
load_sync_address(const struct load_sync *sync, const char *name)
{
	return g_hash_table_lookup(sync->addresses, name);
}

/* Describes this process as far as its watching of the store goes. */
static struct watching_input
describe_watching(const struct load_sync *sync)
{
	struct timespec now = clock_monotonic(sync->clock);
	struct timespec heard_at = peer_loads_watcher_heard_at(sync->peers);

	if (time_before(heard_at, sync->started_at))
		heard_at = sync->started_at;
	return (struct watching_input){
	    .unreported_ms = routing_state_unreported_ms(sync->routing_state),
	    .max_age_ms = routing_state_max_age_ms(sync->routing_state),
	    .age_ms = time_diff_ms(now, sync->started_at),
	    .silence_ms = time_diff_ms(now, heard_at),
	    .round_ms = round_ms(sync),
	    .is_seed = sync->is_seed,
	    .has_seeds = sync->has_seeds,
	    .complete = routing_state_is_complete(sync->routing_state),
	};
}

/* Returns whether the peers must not leave watching the store to us. */
static bool
cannot_watch(const struct load_sync *sync)
{
	const struct watching_input input = describe_watching(sync);

	return sync->draining || !watching_is_possible(&input) ||
	    routing_state_is_store_disconnected(sync->routing_state);
}

/* Returns whether cannot_watch() is true only because this process is new. */
static bool
is_new(const struct load_sync *sync)
{
	const struct watching_input input = describe_watching(sync);

	return !sync->draining && !watching_is_possible(&input) &&
	    !routing_state_is_store_disconnected(sync->routing_state);
}

/* Collects our loads, or those that changed, and what we know of upstreams. */
static void
collect_report(struct load_sync *sync, struct load_report *report, bool changes)
{
	struct timespec now = clock_monotonic(sync->clock);
	struct fleet_upstream *upstream;

	TAILQ_FOREACH (upstream, &sync->fleet->upstreams, entry) {
		if (time_before(now, upstream->process.faulty_until))
			report->faulty[report->faulty_count++] = upstream->id;
		if (fleet_upstream_announces(upstream, now)) {
			report->leaving_starts[report->leaving_count] =
			    (uint64_t)upstream->process.start_wall_ms;
			report->leaving[report->leaving_count++] = upstream->id;
		}
		if ((!changes && upstream->process.named_rate.named) ||
		    fleet_upstream_announces_rate(upstream, now))
			load_report_add_rate(report, upstream, now);
		if (changes ? !load_report_is_known(upstream)
			    : !load_report_is_idle(&upstream->own))
			load_report_add_load(report, upstream);
	}
}

/*
 * Returns whether a round can be skipped because there is nothing to report. A
 * process that watches the store always reports when it last heard from it.
 */
static bool
may_skip(struct load_sync *sync, const struct load_report *report,
    const GArray *ranks)
{
	bool empty = !routing_state_is_watching(sync->routing_state) &&
	    report->rows == 0 && report->faulty_count == 0 &&
	    report->leaving_count == 0 && report->rated_count == 0 &&
	    ranks->len == 0;

	if (empty && sync->idle_rounds > 0 &&
	    sync->idle_rounds++ < LOAD_SYNC_IDLE_ROUNDS)
		return true;
	sync->idle_rounds = report->rows == 0 ? 1 : 0;
	return false;
}

/*
 * Returns whether the next report lists only what changed. Now and then all is
 * reported, and after a change of the peers, for those that lack earlier ones.
 */
static bool
reports_changes(struct load_sync *sync)
{
	size_t peers;

	mesh_peers(sync->mesh, &peers);
	if (peers == sync->reported_peers &&
	    ++sync->change_rounds < LOAD_SYNC_FULL_ROUNDS)
		return true;
	sync->reported_peers = peers;
	sync->change_rounds = 0;
	return false;
}

/* Reports our load on the upstreams to all peers; skips rounds while idle. */
static void
broadcast_load(struct load_sync *sync)
{
	struct message message = {.kind = MESSAGE_LOAD};
	bool changes = reports_changes(sync);
	int64_t age_ms;
	g_autoptr(GArray) ranks = rank_sync_encode(sync->ranks);
	struct load_report report;

	load_report_init(&report, fleet_count(sync->fleet));
	collect_report(sync, &report, changes);
	message.load = (struct message_load){
	    .cannot_watch = cannot_watch(sync),
	    .upstreams = {report.ids, report.rows},
	    .running = {report.running, report.rows},
	    .short_streams = {report.streams[STREAM_SHORT], report.rows},
	    .medium_streams = {report.streams[STREAM_MEDIUM], report.rows},
	    .long_streams = {report.streams[STREAM_LONG], report.rows},
	    .context_tokens = {report.context_tokens, report.rows},
	    .prefill_us = {report.prefill_us, report.rows},
	    .faulty = {report.faulty, report.faulty_count},
	    .leaving = {report.leaving, report.leaving_count},
	    .leaving_starts = {report.leaving_starts, report.leaving_count},
	    .changes = changes,
	    .may_coordinate = may_coordinate(sync),
	    .view = own_view(sync),
	    .rated = {report.rated, report.rated_count},
	    .rated_starts = {report.rated_starts, report.rated_count},
	    .rates = {report.rates, report.rated_count},
	    .rate_ages_ms = {report.rate_ages_ms, report.rated_count},
	    .address = changes && is_settled(sync) ? NULL : sync->address,
	    .cpu_permille = sync->cpu_permille,
	    .gateways = count_known(sync),
	    .holds_retry_share = sync->holds_retry_share,
	    .is_new = is_new(sync),
	    .queued = {(uint64_t *)(void *)ranks->data, ranks->len},
	};
	if (routing_state_store_report(
		sync->routing_state, &message.load.routes_version, &age_ms))
		message.load.routes_age_ms = encode_age(age_ms);
	else
		message.load.routes_version = 0;
	if (!may_skip(sync, &report, ranks) || !changes)
		broadcast(sync, &message);
	load_report_clear(&report);
}

/*
 * Returns whether this process is among those that should watch the store, by
 * rank among the peers that are alive and can; with_new includes those that
 * have just started.
 */
static bool
is_elected(const struct load_sync *sync, bool with_new)
{
	size_t used;
	g_autofree struct watcher_candidate *candidates =
	    peer_loads_watcher_candidates(sync->peers, with_new, &used);
	const struct watcher_candidate self = {.id = sync->self,
	    .answers = true,
	    .cpu_permille = sync->cpu_permille};

	return watchers_is_preferred(
	    candidates, used, &self, LOAD_SYNC_WATCHERS);
}

/* Decides whether this process watches the store. */
static void
decide_watching(struct load_sync *sync)
{
	struct watching_input input = describe_watching(sync);

	input.elected = is_elected(sync, false);
	input.elected_new = is_elected(sync, true);
	routing_state_set_watching(
	    sync->routing_state, watching_is_needed(&input));
	routing_state_update_metrics(sync->routing_state);
}

/*
 * Makes peers of the gateways that report: a new one is not in the list until
 * the next read, and would get neither reports nor documents until then.
 */
static void
set_reporting_peers(struct load_sync *sync)
{
	uint64_t generation = peer_loads_generation(sync->peers);
	g_autofree struct watcher_candidate *peers = NULL;
	g_autofree const char **addresses = NULL;
	size_t count;

	if (generation == sync->mesh_generation && !sync->addresses_changed)
		return;
	sync->mesh_generation = generation;
	sync->addresses_changed = false;
	peers = peer_loads_watcher_candidates(sync->peers, false, &count);
	addresses = g_new0(const char *, count + 1);
	for (size_t i = 0; i < count; i++)
		addresses[i] = g_hash_table_lookup(
		    sync->addresses, peers[i].id);
	mesh_set_peers(sync->mesh, MESH_SOURCE_REPORTS, addresses, count);
}

/* Runs a round: drops silent peers, decides on watching, reports our load. */
static void
on_round_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct load_sync *sync = timer->data;
	enum loop_work previous = loop_work_begin(LOOP_WORK_LOAD_REPORT);

	peer_loads_expire(sync->peers,
	    round_ms(sync) * LOAD_SYNC_TIMEOUT_ROUNDS,
	    clock_monotonic(sync->clock));
	rank_sync_expire(sync->ranks, round_ms(sync) * LOAD_SYNC_TIMEOUT_ROUNDS,
	    clock_monotonic(sync->clock));
	fleet_expire(sync->fleet, clock_monotonic(sync->clock));
	set_reporting_peers(sync);
	decide_watching(sync);
	if (sync->on_round != NULL)
		sync->on_round(sync->round_data);
	broadcast_load(sync);
	ev_timer_set(timer, (double)round_ms(sync) / MS_PER_S, 0.0);
	ev_timer_start(loop, timer);
	loop_work_end(previous);
}

/* Starts to exchange load figures with the peers. */
struct load_sync *
load_sync_new(struct ev_loop *loop, struct clock *clock, struct mesh *mesh,
    const struct load_sync_settings *settings, const struct registry *registry,
    struct routing_state *routing_state)
{
	struct load_sync *sync = g_new0(struct load_sync, 1);

	sync->loop = loop;
	sync->clock = clock;
	sync->mesh = mesh;
	sync->registry = registry;
	sync->self = g_strdup(settings->self);
	sync->address = g_strdup(settings->address);
	sync->failure_domain = g_strdup(settings->failure_domain);
	sync->is_seed = settings->is_seed;
	sync->has_seeds = settings->has_seeds;
	sync->cpu_permille = settings->cpu_permille;
	sync->started_at = clock_monotonic(clock);
	sync->routing_state = routing_state;
	sync->fleet = routing_state_fleet(routing_state);
	sync->peers = peer_loads_new(sync->fleet);
	sync->ranks = rank_sync_new();
	sync->addresses = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, g_free);
	sync->members = g_array_new(FALSE, FALSE, sizeof(struct rate_member));
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
	peer_loads_free(sync->peers);
	rank_sync_free(sync->ranks);
	g_hash_table_unref(sync->addresses);
	g_array_unref(sync->members);
	g_free(sync->self);
	g_free(sync->address);
	g_free(sync->failure_domain);
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

	for (size_t i = 0; i < prompt->count; i++) {
		struct fleet_upstream *upstream = fleet_find(
		    sync->fleet, prompt->upstreams[i]);

		if (upstream != NULL)
			peer_loads_count_prompt(
			    &upstream->reported, &message.prefill, i == 0);
	}
	broadcast(sync, &message);
}
