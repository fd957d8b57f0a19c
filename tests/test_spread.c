/*
 * Documents reach every process: a simulation of the spreading's decisions in
 * virtual time, with loss, delay and stopped processes, and the same over real
 * links between a few sets of documents.
 */
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "peer/documents.h"
#include "policy/gossip.h"

#define NODES_MAX	    940
#define DOCUMENT_COUNT	    2
#define WRITE_EVERY_MS	    10000
#define CONTROL_BYTES_PER_S (13 * 1024)
#define IN_FORCE_MS	    3000
#define SLOTS		    4096 /* of the calendar, a power of two */
#define DIGEST_BYTES	    110
#define PULL_BYTES	    60
#define HANDSHAKE_BYTES	    900 /* HELLOs, ping and pong of a fresh link */
#define TURNS_MAX	    1000000

struct event {
	size_t from;
	size_t to;
	struct gossip_action action;
	uint64_t versions[GOSSIP_DOCUMENTS_MAX];
};

struct node {
	struct gossip *spread;
	int64_t stopped_until_ms;
	uint64_t messages;
	uint64_t bytes; /* documents' bodies left out */
	uint64_t bodies;
};

static const struct swarm_case {
	const char *name;
	size_t nodes;
	int loss_percent;
	int delay_max_ms;
	int stopped_percent;
	int writes;
} swarm_cases[] = {
    {"a few processes, nothing wrong", 6, 0, 2, 0, 3},
    {"hundreds, nothing wrong", 300, 0, 2, 0, 3},
    {"all of the size to come, nothing wrong", 940, 0, 2, 0, 5},
    {"all, with loss and delay", 940, 15, 60, 0, 5},
    {"all, with loss, delay and stopped processes", 940, 15, 60, 10, 5},
    {"two processes with heavy loss", 2, 30, 60, 0, 3},
};

struct swarm {
	const struct swarm_case *c;
	GRand *random;
	int64_t now_ms;
	struct node nodes[NODES_MAX];
	GQueue slots[SLOTS];
};

/* Draws a number from 0 to below. */
static int
draw(struct swarm *swarm, int below)
{
	return below > 0 ? g_rand_int_range(swarm->random, 0, below) : 0;
}

/* Hands an event to the calendar, unless it is lost. */
static void
post(struct swarm *swarm, const struct event *event)
{
	int64_t at_ms = swarm->now_ms + 1 + draw(swarm, swarm->c->delay_max_ms);

	if (draw(swarm, 100) < swarm->c->loss_percent)
		return;
	g_queue_push_tail(
	    &swarm->slots[at_ms % SLOTS], g_memdup2(event, sizeof(*event)));
}

/* Sends what a node decided. A link's handle is its other end's index + 1. */
static void
act(struct swarm *swarm, size_t from, const struct gossip_actions *actions)
{
	struct node *node = &swarm->nodes[from];

	for (size_t i = 0; i < actions->count; i++) {
		const struct gossip_action *action = &actions->items[i];
		struct event event = {.from = from, .action = *action};

		event.to = action->link != NULL
		    ? GPOINTER_TO_SIZE(action->link) / 16 - 1
		    : action->peer + (action->peer >= from);
		for (size_t d = 0; d < DOCUMENT_COUNT; d++)
			event.versions[d] = gossip_version(node->spread, d);
		node->messages++;
		node->bytes += action->link == NULL ? HANDSHAKE_BYTES : 0;
		node->bytes += action->kind == GOSSIP_SEND_DIGEST ? DIGEST_BYTES
								  : PULL_BYTES;
		node->bodies += action->kind == GOSSIP_SEND_DOCUMENT;
		post(swarm, &event);
	}
}

/* A node takes what has come, or keeps it in its sockets while stopped. */
static void
deliver(struct swarm *swarm, struct event *event)
{
	struct node *node = &swarm->nodes[event->to];
	void *link = GSIZE_TO_POINTER((event->from + 1) * 16);
	struct timespec now = time_from_ms(swarm->now_ms);
	struct gossip_actions actions = {0};
	size_t document = event->action.document;

	if (node->stopped_until_ms > swarm->now_ms) {
		int64_t at_ms = MIN(
		    node->stopped_until_ms, swarm->now_ms + SLOTS - 1);

		g_queue_push_tail(&swarm->slots[at_ms % SLOTS], event);
		return;
	}
	switch (event->action.kind) {
	case GOSSIP_SEND_DIGEST:
		gossip_on_digest(node->spread, link, event->versions,
		    event->action.reply, now, &actions);
		break;
	case GOSSIP_SEND_PULL:
		gossip_on_pull(node->spread, link, document,
		    event->versions[document], false, &actions);
		break;
	case GOSSIP_SEND_DOCUMENT:
		gossip_accept_document(node->spread, document,
		    event->versions[document], now, &actions);
		break;
	}
	act(swarm, event->to, &actions);
	g_free(event);
}

/* One millisecond of virtual time. */
static void
step(struct swarm *swarm)
{
	GQueue *slot = &swarm->slots[++swarm->now_ms % SLOTS];
	guint count = g_queue_get_length(slot);

	while (count-- > 0)
		deliver(swarm, g_queue_pop_head(slot));
	for (size_t i = 0; i < swarm->c->nodes; i++) {
		struct gossip_actions actions = {0};

		if (swarm->nodes[i].stopped_until_ms > swarm->now_ms ||
		    (swarm->now_ms + (int64_t)i) % GOSSIP_TICK_MS != 0)
			continue;
		gossip_tick(swarm->nodes[i].spread, time_from_ms(swarm->now_ms),
		    &actions);
		act(swarm, i, &actions);
	}
}

/* Says whether every node is at a version. */
static bool
all_at(const struct swarm *swarm, uint64_t version)
{
	for (size_t i = 0; i < swarm->c->nodes; i++) {
		if (gossip_version(swarm->nodes[i].spread, 0) != version)
			return false;
	}
	return true;
}

/* Some nodes stop for a while that ends before the version must be in force. */
static void
stop_some(struct swarm *swarm)
{
	for (size_t i = 0; i < swarm->c->nodes; i++) {
		if (draw(swarm, 100) < swarm->c->stopped_percent)
			swarm->nodes[i].stopped_until_ms = swarm->now_ms +
			    draw(swarm, IN_FORCE_MS / 2);
	}
}

/* Draws a node that is not stopped. */
static size_t
draw_running(struct swarm *swarm)
{
	size_t i;

	do
		i = (size_t)draw(swarm, (int)swarm->c->nodes);
	while (swarm->nodes[i].stopped_until_ms > swarm->now_ms);
	return i;
}

/* A writer offers a version, and a late watcher the one before it. */
static void
offer(struct swarm *swarm, uint64_t version)
{
	for (uint64_t back = 0; back < 2; back++) {
		struct gossip_actions actions = {0};
		size_t i = draw_running(swarm);

		gossip_accept_document(swarm->nodes[i].spread, 0,
		    version - back, time_from_ms(swarm->now_ms), &actions);
		act(swarm, i, &actions);
	}
}

/* Prints what a run cost, and holds it to its bounds. */
static void
report(struct swarm *swarm, int64_t worst_ms)
{
	double processes = (double)swarm->c->nodes;
	double writes = swarm->c->writes;
	double seconds = processes * writes * WRITE_EVERY_MS / MS_PER_S;
	double messages = 0, bytes = 0, bodies = 0;

	for (size_t i = 0; i < swarm->c->nodes; i++) {
		messages += (double)swarm->nodes[i].messages / seconds;
		bytes += (double)swarm->nodes[i].bytes / seconds;
		bodies += (double)swarm->nodes[i].bodies / processes / writes;
		gossip_free(swarm->nodes[i].spread);
	}
	g_test_message("%s: in force everywhere after %d ms at most; each "
		       "process sends %.1f messages/s, %.0f bytes/s and %.2f "
		       "documents a write, with a write each %d s",
	    swarm->c->name, (int)worst_ms, messages, bytes, bodies,
	    WRITE_EVERY_MS / MS_PER_S);
	g_assert_cmpfloat(messages, <, 8);
	g_assert_cmpfloat(bytes, <, CONTROL_BYTES_PER_S);
	g_assert_cmpfloat(bodies, <, 2.5);
}

/* Writes versions one after the other; each is everywhere in time. */
static void
test_swarm(gconstpointer data)
{
	struct swarm *swarm = g_new0(struct swarm, 1);
	int64_t worst_ms = 0;

	swarm->c = data;
	swarm->now_ms = 1000;
	swarm->random = g_rand_new_with_seed(
	    g_test_slow() ? g_test_rand_int() : 1);
	for (size_t i = 0; i < swarm->c->nodes; i++) {
		swarm->nodes[i].spread = gossip_new(
		    swarm->random, DOCUMENT_COUNT);
		gossip_set_peers(swarm->nodes[i].spread, swarm->c->nodes - 1);
	}
	for (int write = 1; write <= swarm->c->writes; write++) {
		uint64_t version = (uint64_t)write * 10;
		int64_t start_ms = swarm->now_ms;

		stop_some(swarm);
		offer(swarm, version);
		while (!all_at(swarm, version) &&
		    swarm->now_ms - start_ms < IN_FORCE_MS)
			step(swarm);
		g_assert_true(all_at(swarm, version));
		worst_ms = MAX(worst_ms, swarm->now_ms - start_ms);
		while (swarm->now_ms - start_ms < WRITE_EVERY_MS)
			step(swarm);
	}
	report(swarm, worst_ms);
	for (size_t i = 0; i < SLOTS; i++)
		g_queue_clear_full(&swarm->slots[i], g_free);
	g_rand_free(swarm->random);
	g_free(swarm);
}

/* Two that differ both ways exchange what each lacks and then fall silent. */
static void
test_crossed(void)
{
	static const struct swarm_case crossed = {"crossed", 2, 0, 1, 0, 0};
	struct swarm *swarm = g_new0(struct swarm, 1);
	uint64_t messages;

	swarm->c = &crossed;
	swarm->random = g_rand_new_with_seed(1);
	for (size_t i = 0; i < 2; i++) {
		struct gossip_actions actions = {0};

		swarm->nodes[i].spread = gossip_new(swarm->random, 2);
		gossip_set_peers(swarm->nodes[i].spread, 1);
		gossip_accept_document(
		    swarm->nodes[i].spread, i, 7, time_from_ms(0), &actions);
		act(swarm, i, &actions);
	}
	for (int i = 0; i < 50; i++)
		step(swarm);
	for (size_t i = 0; i < 2; i++) {
		for (size_t d = 0; d < 2; d++)
			g_assert_cmpuint(
			    gossip_version(swarm->nodes[i].spread, d), ==, 7);
	}
	messages = swarm->nodes[0].messages + swarm->nodes[1].messages;
	g_assert_cmpuint(messages, <, 20);
	for (size_t i = 0; i < 2; i++)
		gossip_free(swarm->nodes[i].spread);
	for (size_t i = 0; i < SLOTS; i++)
		g_queue_clear_full(&swarm->slots[i], g_free);
	g_rand_free(swarm->random);
	g_free(swarm);
}

/* What can't be used is asked for once, and a later version again. */
static void
test_refused(void)
{
	g_autoptr(GRand) random = g_rand_new_with_seed(1);
	struct gossip *spread = gossip_new(random, 1);
	uint64_t versions[GOSSIP_DOCUMENTS_MAX] = {5};
	struct gossip_actions actions = {0};

	gossip_set_peers(spread, 1);
	gossip_accept_document(spread, 0, 4, time_from_ms(0), &actions);
	for (int ms = 0; ms < 5000; ms += GOSSIP_TICK_MS) {
		actions.count = 0;
		gossip_on_digest(spread, &versions, versions, true,
		    time_from_ms(ms), &actions);
		g_assert_cmpuint(actions.count, ==, ms == 0);
		gossip_reject_document(spread, 0, 5);
	}
	versions[0] = 6;
	gossip_on_digest(
	    spread, &versions, versions, true, time_from_ms(5000), &actions);
	g_assert_cmpuint(actions.count, ==, 1);
	g_assert_cmpint(actions.items[0].kind, ==, GOSSIP_SEND_PULL);
	gossip_free(spread);
}

/* A process of the test: its own mesh and documents on real sockets. */
struct process {
	struct link_identity identity;
	char *address;
	struct mesh *mesh;
	struct documents *documents;
};

static void
process_start(struct process *process, struct ev_loop *loop, int number)
{
	struct mesh_settings settings = {
	    .identity = &process->identity, .listen = "127.0.0.1:0"};

	process->identity = (struct link_identity){.process = "p",
	    .role = ROLE_ENTRY,
	    .failure_domain = "a",
	    .address = "",
	    .incarnation = (uint64_t)number,
	    .cluster_key = "secret"};
	process->mesh = mesh_new(loop, clock_system(), &settings, NULL);
	g_assert_nonnull(process->mesh);
	process->address = g_strdup_printf(
	    "127.0.0.1:%d", mesh_port(process->mesh));
	process->identity.address = process->address;
	process->documents = documents_new(
	    loop, clock_system(), process->mesh, &process->identity);
}

static void
process_stop(struct process *process)
{
	documents_free(process->documents);
	mesh_free(process->mesh);
	g_free(process->address);
}

struct census_result {
	size_t answered;
	size_t in_force;
	bool done;
};

static void
on_census(void *data, const struct mesh_peer_status *entries, size_t count)
{
	struct census_result *result = data;

	for (size_t i = 0; i < count; i++) {
		result->answered += entries[i].answered;
		result->in_force += entries[i].answered &&
		    entries[i].config_version >= 3;
	}
	result->done = true;
}

static void
on_config(void *data, struct config *config)
{
	*(uint64_t *)data = config_version(config);
}

#define RUN_UNTIL(loop, condition)                          \
	do {                                                \
		int turns = 0;                              \
		while (!(condition) && turns++ < TURNS_MAX) \
			ev_run(loop, EVRUN_ONCE);           \
		g_assert_true(condition);                   \
	} while (0)

/*
 * A configuration offered to one process is in force with all, one that is no
 * configuration is refused, deaths are told, and the census counts who answers.
 */
static void
test_processes(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	struct process processes[4];
	const char *addresses[5];
	Heatherturn__V1__ConfigDocument document =
	    HEATHERTURN__V1__CONFIG_DOCUMENT__INIT;
	uint8_t bytes[64];
	uint64_t told = 0;
	size_t length;
	struct census_result result = {0};

	for (int i = 0; i < 4; i++) {
		process_start(&processes[i], loop, i);
		addresses[i] = processes[i].address;
	}
	addresses[4] = "127.0.0.1:1";
	for (int i = 0; i < 4; i++)
		mesh_set_peers(
		    processes[i].mesh, MESH_SOURCE_SEEDS, addresses, 4);
	documents_subscribe_config(processes[3].documents, on_config, &told);
	document.version = 3;
	length = heatherturn__v1__config_document__pack(&document, bytes);
	g_assert_false(documents_update(
	    processes[0].documents, DOCUMENT_CONFIG, 4, bytes, length));
	g_assert_true(documents_update(
	    processes[0].documents, DOCUMENT_CONFIG, 3, bytes, length));
	g_assert_false(documents_update(
	    processes[0].documents, DOCUMENT_CONFIG, 3, bytes, length));
	RUN_UNTIL(loop, told == 3);
	for (int i = 0; i < 4; i++)
		RUN_UNTIL(loop, processes[i].identity.config_version == 3);
	mesh_query_status(
	    processes[1].mesh, addresses, 5, 300, on_census, &result);
	RUN_UNTIL(loop, result.done);
	g_assert_cmpuint(result.answered, ==, 4);
	g_assert_cmpuint(result.in_force, ==, 4);
	mesh_report_upstream_death(processes[0].mesh, 99);
	mesh_report_upstream_death(processes[1].mesh, 99);
	for (int i = 0; i < 4; i++)
		RUN_UNTIL(
		    loop, mesh_suspect_deaths(processes[i].mesh, 99) == 2);
	for (int i = 0; i < 4; i++)
		process_stop(&processes[i]);
	ev_loop_destroy(loop);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	for (size_t i = 0; i < G_N_ELEMENTS(swarm_cases); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/spread/swarm/%s", swarm_cases[i].name);

		g_test_add_data_func(path, &swarm_cases[i], test_swarm);
	}
	g_test_add_func("/spread/crossed", test_crossed);
	g_test_add_func("/spread/refused", test_refused);
	g_test_add_func("/spread/processes", test_processes);
	return g_test_run();
}
