/*
 * The mesh: shared links, new links in place of stale ones, handlers by message
 * kind, the status query, and the counting of reported deaths.
 */
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "peer/link_auth.h"
#include "peer/mesh.h"
#include "policy/quarantine.h"

#define LOOP_ITERATIONS_MAX 20000

struct process {
	struct link_identity identity;
	char *address;
	struct mesh *mesh;
	struct mesh_handler handler;
	unsigned int opened;
	unsigned int lost;
	unsigned int window_messages; /* received, of the subscribed kind */
	struct link *last_link;
};

struct pair {
	struct ev_loop *loop;
	struct clock_manual clock;
	struct process a;
	struct process b;
};

static void
on_message(void *data, struct link *link, const struct message *message)
{
	struct process *process = data;

	g_assert_cmpuint(message->kind, ==, MESSAGE_WINDOW);
	process->window_messages++;
	process->last_link = link;
}

static void
on_opened(void *data, struct link *link)
{
	((struct process *)data)->opened++;
}

static void
on_lost(void *data, struct link *link, const GError *error)
{
	((struct process *)data)->lost++;
}

static const struct mesh_ops handler_ops = {
    .message = on_message,
    .opened = on_opened,
    .lost = on_lost,
};

static void
process_start(struct process *process, struct pair *pair, const char *name)
{
	struct mesh_settings settings = {
	    .identity = &process->identity, .listen = "127.0.0.1:0"};

	process->identity = (struct link_identity){.process = name,
	    .role = ROLE_ENTRY,
	    .failure_domain = "x",
	    .address = ""};
	process->mesh = mesh_new(
	    pair->loop, &pair->clock.clock, &settings, NULL);
	process->address = g_strdup_printf(
	    "127.0.0.1:%d", mesh_port(process->mesh));
	process->identity.address = process->address;
	process->handler = (struct mesh_handler){
	    .kinds = MESH_KIND(MESSAGE_WINDOW),
	    .ops = &handler_ops,
	    .data = process,
	};
	mesh_add_handler(process->mesh, &process->handler);
}

static void
process_stop(struct process *process)
{
	mesh_free(process->mesh);
	g_free(process->address);
}

static void
pair_start(struct pair *pair)
{
	memset(pair, 0, sizeof(*pair));
	pair->loop = ev_loop_new(0);
	clock_manual_init(&pair->clock, 1000000);
	process_start(&pair->a, pair, "a");
	process_start(&pair->b, pair, "b");
}

static void
pair_stop(struct pair *pair)
{
	process_stop(&pair->a);
	process_stop(&pair->b);
	ev_loop_destroy(pair->loop);
}

#define RUN_UNTIL(pair, condition)                                         \
	do {                                                               \
		int iterations = 0;                                        \
		while (!(condition) && iterations++ < LOOP_ITERATIONS_MAX) \
			ev_run((pair)->loop, EVRUN_ONCE);                  \
		g_assert_true(condition);                                  \
	} while (0)

static struct message
make_window(void)
{
	return (struct message){.kind = MESSAGE_WINDOW};
}

/* Both directions use one link, whichever side has opened it. */
static void
test_shared_link(void)
{
	struct message message = make_window();
	struct pair pair;
	struct link *link;

	pair_start(&pair);
	link = mesh_get_link(pair.a.mesh, pair.b.address);
	g_assert_true(link == mesh_get_link(pair.a.mesh, pair.b.address));
	g_assert_true(mesh_send(pair.a.mesh, pair.b.address, &message));
	RUN_UNTIL(&pair, pair.b.window_messages == 1);
	g_assert_true(
	    pair.b.last_link == mesh_get_link(pair.b.mesh, pair.a.address));
	g_assert_cmpstr(
	    mesh_link_address(pair.b.last_link), ==, pair.a.address);
	g_assert_true(mesh_send(pair.b.mesh, pair.a.address, &message));
	RUN_UNTIL(&pair, pair.a.window_messages == 1);
	g_assert_true(pair.a.last_link == link);
	g_assert_cmpuint(pair.a.opened + pair.b.opened, ==, 2);
	pair_stop(&pair);
}

/* A link that has received nothing lately is not used for new requests. */
static void
test_stale_link(void)
{
	struct message message = make_window();
	struct pair pair;
	struct link *link;

	pair_start(&pair);
	link = mesh_get_link(pair.a.mesh, pair.b.address);
	RUN_UNTIL(&pair, pair.a.opened == 1 && pair.b.opened == 1);
	clock_manual_advance(&pair.clock, 2 * LINK_HEARTBEAT_MS + 1);
	g_assert_true(link != mesh_get_link(pair.a.mesh, pair.b.address));
	mesh_send(pair.a.mesh, pair.b.address, &message);
	RUN_UNTIL(&pair, pair.b.window_messages == 1);
	g_assert_cmpuint(pair.a.opened, ==, 2);
	pair_stop(&pair);
}

/* Handlers are notified of a lost link, and can get a new one at once. */
static void
test_lost_link(void)
{
	struct pair pair;
	struct link *link;

	pair_start(&pair);
	g_assert_nonnull(mesh_get_link(pair.a.mesh, pair.b.address));
	RUN_UNTIL(&pair, pair.a.opened == 1);
	mesh_free(pair.b.mesh);
	RUN_UNTIL(&pair, pair.a.lost == 1);
	link = mesh_get_link(pair.a.mesh, pair.b.address);
	g_assert_nonnull(link);
	RUN_UNTIL(&pair, pair.a.lost == 2);
	pair.b.mesh = NULL;
	pair_stop(&pair);
}

struct query_result {
	bool done;
	unsigned int answered;
	bool self;
};

static void
on_query_done(void *data, const struct mesh_peer_status *entries, size_t count)
{
	struct query_result *result = data;

	g_assert_false(result->done);
	result->done = true;
	for (size_t i = 0; i < count; i++) {
		result->answered += entries[i].answered;
		result->self |= entries[i].answered &&
		    strcmp(entries[i].process, "a") == 0;
	}
}

/* A status query includes this process, and reports dead ones as unanswered. */
static void
test_status_query(void)
{
	struct pair pair;
	struct query_result result = {0};
	const char *addresses[3];

	pair_start(&pair);
	addresses[0] = pair.a.address;
	addresses[1] = pair.b.address;
	addresses[2] = "127.0.0.1:1";
	mesh_query_status(
	    pair.a.mesh, addresses, 3, 100, on_query_done, &result);
	g_assert_false(result.done);
	RUN_UNTIL(&pair, result.done);
	g_assert_cmpuint(result.answered, ==, 2);
	g_assert_true(result.self);
	memset(&result, 0, sizeof(result));
	mesh_query_status(
	    pair.a.mesh, addresses, 2, 100000, on_query_done, &result);
	RUN_UNTIL(&pair, result.done);
	g_assert_cmpuint(result.answered, ==, 2);
	pair_stop(&pair);
}

/* A process that connects later receives the reports of earlier deaths. */
static void
test_initial_reports(void)
{
	struct pair pair;

	pair_start(&pair);
	mesh_report_upstream_death(pair.a.mesh, 7);
	mesh_report_upstream_death(pair.a.mesh, 7);
	g_assert_cmpuint(mesh_suspect_deaths(pair.b.mesh, 7), ==, 0);
	mesh_get_link(pair.b.mesh, pair.a.address);
	RUN_UNTIL(&pair, mesh_suspect_deaths(pair.b.mesh, 7) == 2);
	pair_stop(&pair);
}

/*
 * A request that one process has seen to end well is cleared in all of them,
 * also where the deaths are reported again.
 */
static void
test_survival(void)
{
	struct pair pair;
	const char *a;

	pair_start(&pair);
	a = pair.a.address;
	mesh_report_upstream_death(pair.a.mesh, 7);
	mesh_report_upstream_death(pair.a.mesh, 7);
	mesh_set_peers(pair.b.mesh, MESH_SOURCE_SEEDS, &a, 1);
	mesh_get_link(pair.b.mesh, pair.a.address);
	RUN_UNTIL(&pair, mesh_suspect_deaths(pair.b.mesh, 7) == 2);
	mesh_report_survival(pair.b.mesh, 7);
	g_assert_cmpuint(mesh_suspect_deaths(pair.b.mesh, 7), ==, 0);
	RUN_UNTIL(&pair, mesh_suspect_deaths(pair.a.mesh, 7) == 0);
	mesh_report_upstream_death(pair.a.mesh, 7);
	g_assert_cmpuint(mesh_suspect_deaths(pair.a.mesh, 7), ==, 1);
	pair_stop(&pair);
}

/*
 * A peer whose link could not be opened is unreachable until one is opened, by
 * either side, or it is no peer any more.
 */
static void
test_unreachable(void)
{
	struct pair pair;
	const char *peers[2] = {"127.0.0.1:1"};

	pair_start(&pair);
	peers[1] = pair.b.address;
	mesh_set_peers(pair.a.mesh, MESH_SOURCE_SEEDS, peers, 2);
	g_assert_true(mesh_is_reachable(pair.a.mesh, peers[0]));
	mesh_get_link(pair.a.mesh, peers[0]);
	RUN_UNTIL(&pair, !mesh_is_reachable(pair.a.mesh, peers[0]));
	mesh_get_link(pair.b.mesh, pair.a.address);
	RUN_UNTIL(&pair, mesh_is_connected(pair.a.mesh, pair.b.address));
	g_assert_true(mesh_is_reachable(pair.a.mesh, pair.b.address));
	mesh_set_peers(pair.a.mesh, MESH_SOURCE_SEEDS, &peers[1], 1);
	g_assert_true(mesh_is_reachable(pair.a.mesh, peers[0]));
	pair_stop(&pair);
}

#define SUSPECT_TTL_MS (10 * 60 * 1000)
#define SUSPECTS_MAX   1024

static const struct quarantine_limits limits = {
    .entries_max = SUSPECTS_MAX, .expiry_ms = SUSPECT_TTL_MS};

static const struct suspect_case {
	const char *name;
	struct {
		uint64_t death; /* 0 for a survival */
		uint32_t age_ms;
		bool is_new;
	} reports[4];
	size_t count;
	uint32_t deaths;
} suspect_cases[] = {
    {"one death", {{1, 0, true}}, 1, 1},
    {"a death that is reported twice counts once",
	{{1, 0, true}, {1, 0, false}}, 2, 1},
    {"deaths reported by different processes add up",
	{{1, 0, true}, {2, 0, true}}, 2, 2},
    {"further deaths change nothing",
	{{1, 0, true}, {2, 0, true}, {3, 0, false}}, 3, 2},
    {"an expired death is ignored", {{1, SUSPECT_TTL_MS, false}}, 1, 0},
    {"a survival clears the deaths before it",
	{{1, 20, true}, {2, 10, true}, {0, 5, true}}, 3, 0},
    {"a survival is reported once",
	{{1, 20, true}, {0, 5, true}, {0, 5, false}}, 3, 0},
    {"a survival does not clear the deaths after it",
	{{1, 20, true}, {2, 10, true}, {0, 15, true}}, 3, 1},
    {"a death that is reported after a survival was before it",
	{{1, 20, true}, {0, 5, true}, {2, 10, true}}, 3, 0},
    {"a death after a survival counts",
	{{1, 20, true}, {0, 5, true}, {2, 0, true}, {3, 0, true}}, 4, 2},
    {"a survival of a request without deaths is not remembered",
	{{0, 5, false}, {1, 0, true}}, 2, 1},
};

static void
test_suspect_reports(gconstpointer data)
{
	const struct suspect_case *c = data;
	struct quarantine *quarantine = quarantine_new(&limits);
	struct timespec now = time_from_ms(10000000);

	for (size_t i = 0; i < c->count; i++) {
		struct quarantine_report report = {.fingerprint = 5,
		    .cleared = c->reports[i].death == 0,
		    .death = c->reports[i].death,
		    .age_ms = c->reports[i].age_ms};

		g_assert_cmpint(
		    quarantine_merge_report(quarantine, &report, now), ==,
		    c->reports[i].is_new);
	}
	g_assert_cmpuint(
	    quarantine_count_deaths(quarantine, 5, now), ==, c->deaths);
	now = time_add_ms(now, SUSPECT_TTL_MS);
	g_assert_cmpuint(quarantine_count_deaths(quarantine, 5, now), ==, 0);
	quarantine_free(quarantine);
}

/* The table is bounded: the oldest suspect is evicted. */
static void
test_suspects_bounded(void)
{
	struct quarantine *quarantine = quarantine_new(&limits);
	struct timespec now = time_from_ms(1000);

	for (uint64_t i = 0; i <= SUSPECTS_MAX; i++)
		quarantine_merge_report(quarantine,
		    &(struct quarantine_report){.fingerprint = i, .death = 1},
		    now);
	g_assert_cmpuint(quarantine_count_deaths(quarantine, 0, now), ==, 0);
	g_assert_cmpuint(quarantine_count_deaths(quarantine, 1, now), ==, 1);
	quarantine_free(quarantine);
}

/* A proof is valid for one direction, one pair of nonces and one key. */
static void
test_link_auth(void)
{
	uint8_t local_nonce[LINK_AUTH_NONCE_BYTES],
	    remote_nonce[LINK_AUTH_NONCE_BYTES];
	uint8_t computed[LINK_AUTH_PROOF_BYTES];
	struct bytes proof = {computed, sizeof(computed)};

	link_auth_generate_nonce(local_nonce);
	link_auth_generate_nonce(remote_nonce);
	link_auth_compute_proof(
	    "key", true, local_nonce, remote_nonce, computed);
	g_assert_true(link_auth_verify_proof(
	    "key", true, local_nonce, remote_nonce, &proof));
	g_assert_false(link_auth_verify_proof(
	    "key", false, local_nonce, remote_nonce, &proof));
	g_assert_false(link_auth_verify_proof(
	    "key", true, remote_nonce, local_nonce, &proof));
	g_assert_false(link_auth_verify_proof(
	    "kez", true, local_nonce, remote_nonce, &proof));
	proof.length--;
	g_assert_false(link_auth_verify_proof(
	    "key", true, local_nonce, remote_nonce, &proof));
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	g_test_add_func("/mesh/both directions use one link", test_shared_link);
	g_test_add_func("/mesh/a silent link is not used for new requests",
	    test_stale_link);
	g_test_add_func(
	    "/mesh/a lost link is reported and can be replaced at once",
	    test_lost_link);
	g_test_add_func(
	    "/mesh/a status query includes this process and dead ones",
	    test_status_query);
	g_test_add_func(
	    "/mesh/a new process receives the reports of earlier deaths",
	    test_initial_reports);
	g_test_add_func("/mesh/a survival clears a suspect in all processes",
	    test_survival);
	g_test_add_func("/mesh/a peer that can't be reached is known as such",
	    test_unreachable);
	g_test_add_func(
	    "/mesh/the table of suspects is bounded", test_suspects_bounded);
	g_test_add_func(
	    "/mesh/a proof is valid for one direction, nonce pair and key",
	    test_link_auth);
	for (size_t i = 0; i < G_N_ELEMENTS(suspect_cases); i++) {
		g_autofree char *path = g_strdup_printf(
		    "/mesh/suspect/%s", suspect_cases[i].name);

		g_test_add_data_func(
		    path, &suspect_cases[i], test_suspect_reports);
	}
	return g_test_run();
}
