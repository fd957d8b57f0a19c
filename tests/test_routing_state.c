/*
 * Changes of the configuration among gateways: as items between two of this
 * build, as the store's object to and from one of the previous build. Guards
 * against gateways that keep an old configuration while a fleet is upgraded or
 * after an update that they could not use.
 */
#include <string.h>

#include <sodium.h>

#include "config_reader.h"
#include "peer_gateway.h"
#include "platform/object_watch.h"
#include "platform/store_version.h"

#define TEST_TIMEOUT_S 20.0
#define CONFIG	       "{\"Version\":1,\"Routes\":[],\"Services\":[]}"
#define SPEC(version, routes)                          \
	"{\"Version\":" version ",\"Routes\":[" routes \
	"],\"Services\":[],\"Tenants\":[],\"Limits\":{}}"
#define OBJECT(version, routes)                                   \
	"[{\"Metadata\":{\"Name\":\"main\",\"Revision\":" version \
	"},\"Spec\":" SPEC(version, routes) "}]"
#define ROUTE(name)                                                          \
	"{\"Name\":\"" name "\",\"Host\":\"" name "\",\"PathPrefix\":\"/\"," \
	"\"Kind\":\"idempotent\",\"Service\":\"s\"}"

/*
 * A peer that names only the documents that it is told to, as a gateway of
 * another build does, and sends one of them.
 */
struct peer {
	struct link_identity identity;
	struct mesh *mesh;
	struct mesh_handler handler;
	const char *document; /* that it has */
	uint64_t version;
	uint64_t base;
	const char *text; /* sent for each pull */
	uint64_t sums[CONFIG_ITEMS_BUCKETS]; /* in the last pull of it */
	size_t sum_count; /* the same */
	unsigned int pulls;
	GString *received; /* last document; or NULL */
	char *received_name;
};

struct test {
	struct ev_loop *loop;
	ev_timer timeout;
	struct fake_platform *platform;
	int era; /* of the store at the start; 0: it names none */
	struct peer_gateway first;
	struct peer_gateway second;
	struct peer peer;
};

/* Fails a test that does not end in time. */
static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	g_error("the test did not end in time");
}

/* Answers pulls and keeps documents. */
static void
on_message(void *data, struct link *link, const struct message *message)
{
	struct peer *peer = data;
	struct message answer = {
	    .kind = MESSAGE_DOCUMENT,
	    .document =
		{
		    .name = (char *)peer->document,
		    .version = peer->version,
		    .base = peer->base,
		},
	};

	if (message->kind == MESSAGE_DOCUMENT) {
		g_free(peer->received_name);
		peer->received_name = g_strdup(message->document.name);
		if (peer->received != NULL)
			g_string_free(peer->received, TRUE);
		peer->received = g_string_new_len(
		    (const char *)message->document.data.data,
		    (gssize)message->document.data.length);
	}
	if (message->kind != MESSAGE_PULL ||
	    g_strcmp0(message->pull.name, peer->document) != 0)
		return;
	peer->pulls++;
	peer->sum_count = MIN(message->pull.sums.count, CONFIG_ITEMS_BUCKETS);
	for (size_t i = 0; i < peer->sum_count; i++)
		peer->sums[i] = message->pull.sums.items[i];
	answer.document.data.data = (uint8_t *)peer->text;
	answer.document.data.length = strlen(peer->text);
	link_send(link, &answer);
}

static const struct mesh_ops peer_ops = {.message = on_message};

/* Sends the version of the peer's document to the first gateway. */
static void
announce(struct test *t)
{
	struct peer *peer = &t->peer;
	char *names[] = {(char *)peer->document};
	struct message digest = {
	    .kind = MESSAGE_DIGEST,
	    .digest = {.names = {names, 1}, .versions = {&peer->version, 1}},
	};

	mesh_send(peer->mesh, t->first.address, &digest);
}

/* Announces a document until the condition holds. */
#define ANNOUNCE_UNTIL(t, condition)                   \
	do {                                           \
		while (!(condition)) {                 \
			announce(t);                   \
			ev_run((t)->loop, EVRUN_ONCE); \
		}                                      \
	} while (0)

/* Starts two gateways, the second of which knows the first, and the peer. */
static void
set_up(struct test *t)
{
	const struct load_sync_settings first = {
	    .self = "g-1", .failure_domain = "z"};
	const struct load_sync_settings second = {
	    .self = "g-2", .failure_domain = "z", .has_seeds = true};
	const struct mesh_settings mesh = {
	    .identity = &t->peer.identity, .listen = "127.0.0.1:0"};
	const char *seeds[1];

	t->loop = ev_loop_new(EVFLAG_AUTO);
	ev_timer_init(&t->timeout, on_timeout, TEST_TIMEOUT_S, 0.0);
	ev_timer_start(t->loop, &t->timeout);
	t->platform = fake_platform_new(t->loop);
	fake_platform_set_config(t->platform, CONFIG);
	fake_platform_set_era(t->platform, t->era);
	peer_gateway_start(&t->first, t->loop, t->platform, &first);
	peer_gateway_start(&t->second, t->loop, t->platform, &second);
	seeds[0] = t->first.address;
	mesh_set_peers(t->second.mesh, MESH_SOURCE_SEEDS, seeds, 1);
	t->peer.identity = (struct link_identity){.process = "p",
	    .role = ROLE_GATEWAY,
	    .failure_domain = "z",
	    .cluster_key = "secret"};
	t->peer.mesh = mesh_new(t->loop, clock_system(), &mesh, NULL);
	t->peer.handler = (struct mesh_handler){
	    .kinds = MESH_KIND(MESSAGE_PULL) | MESH_KIND(MESSAGE_DOCUMENT),
	    .ops = &peer_ops,
	    .data = &t->peer,
	};
	mesh_add_handler(t->peer.mesh, &t->peer.handler);
	while (!routing_state_is_complete(t->first.routing_state) ||
	    !routing_state_is_complete(t->second.routing_state))
		ev_run(t->loop, EVRUN_ONCE);
}

/* Stops all. */
static void
tear_down(struct test *t)
{
	mesh_remove_handler(t->peer.mesh, &t->peer.handler);
	mesh_free(t->peer.mesh);
	if (t->peer.received != NULL)
		g_string_free(t->peer.received, TRUE);
	g_free(t->peer.received_name);
	peer_gateway_stop(&t->second);
	peer_gateway_stop(&t->first);
	fake_platform_free(t->platform);
	ev_timer_stop(t->loop, &t->timeout);
	ev_loop_destroy(t->loop);
}

/* Returns the version of the configuration in force at a gateway. */
static uint64_t
version_at(const struct peer_gateway *gateway)
{
	return routing_state_table(gateway->routing_state)->version;
}

/* Returns whether a gateway has a route for this host. */
static bool
has_route(const struct peer_gateway *gateway, const char *host)
{
	return routing_table_find_route(
		   routing_state_table(gateway->routing_state), host, "/") !=
	    NULL;
}

/*
 * A gateway takes the object from a peer that knows no items; the next gateway
 * gets it as items.
 */
static void
test_object_from_peer(void)
{
	struct test t = {.peer = {.document = DOCUMENT_ROUTES, .version = 8}};

	set_up(&t);
	t.peer.text = OBJECT("8", ROUTE("a") "," ROUTE("b"));
	ANNOUNCE_UNTIL(&t, version_at(&t.second) == 8);
	g_assert_true(has_route(&t.second, "a"));
	t.peer.version = 9;
	t.peer.text = OBJECT("9", ROUTE("b"));
	ANNOUNCE_UNTIL(&t, version_at(&t.second) == 9);
	g_assert_false(has_route(&t.second, "a"));
	g_assert_true(has_route(&t.second, "b"));
	g_assert_cmpuint(documents_version(t.second.documents, DOCUMENT_ROUTES),
	    ==, documents_version(t.second.documents, DOCUMENT_ROUTING_ITEMS));
	tear_down(&t);
}

/* A peer that knows no items is sent the object. */
static void
test_object_to_peer(void)
{
	struct test t = {.peer = {.document = DOCUMENT_ROUTES, .version = 8}};
	struct message pull = {
	    .kind = MESSAGE_PULL,
	    .pull = {.name = (char *)DOCUMENT_ROUTES, .changes = true},
	};
	json_t *list;
	const json_t *spec;

	set_up(&t);
	t.peer.text = OBJECT("8", ROUTE("a"));
	ANNOUNCE_UNTIL(&t, version_at(&t.second) == 8);
	while (t.peer.received == NULL) {
		mesh_send(t.peer.mesh, t.second.address, &pull);
		ev_run(t.loop, EVRUN_ONCE);
	}
	g_assert_cmpstr(t.peer.received_name, ==, DOCUMENT_ROUTES);
	list = json_loadb(t.peer.received->str, t.peer.received->len, 0, NULL);
	spec = json_object_get(json_array_get(list, 0), "Spec");
	g_assert_cmpint(
	    json_integer_value(json_object_get(spec, "Version")), ==, 8);
	g_assert_cmpuint(
	    json_array_size(json_object_get(spec, "Routes")), ==, 1);
	json_decref(list);
	tear_down(&t);
}

/*
 * Items that are not those of their version are refused, the configuration in
 * force stays, and a repair is requested, which is then used.
 */
static void
test_mismatch(void)
{
	struct test t = {.peer = {.document = DOCUMENT_ROUTES, .version = 8}};
	struct routing_table *table = routing_table_new();
	struct config_items *items = config_items_new(table);
	g_autoptr(GString) repair = NULL;
	json_t *list = json_loads(OBJECT("9", ROUTE("b")), 0, NULL);

	set_up(&t);
	g_assert_true(config_reader_apply(
	    config_change_new_object(json_array_get(list, 0), 9, NULL), items,
	    NULL, NULL));
	t.peer.text = OBJECT("8", ROUTE("a"));
	ANNOUNCE_UNTIL(&t, version_at(&t.first) == 8);
	t.peer.document = DOCUMENT_ROUTING_ITEMS;
	t.peer.version = 9;
	t.peer.base = 5;
	t.peer.pulls = 0;
	t.peer.text = "[{\"Object\":{\"Metadata\":{\"Name\":\"version\"},"
		      "\"Spec\":{\"Version\":9,\"Items\":9,\"Sum\":\"0\"}}}]";
	ANNOUNCE_UNTIL(&t, t.peer.pulls > 0);
	g_assert_cmpuint(t.peer.sum_count, ==, 0);
	ANNOUNCE_UNTIL(&t, t.peer.sum_count == CONFIG_ITEMS_BUCKETS);
	g_assert_cmpuint(version_at(&t.first), ==, 8);
	g_assert_true(has_route(&t.first, "a"));
	repair = config_items_encode_repair(items, t.peer.sums);
	t.peer.text = repair->str;
	ANNOUNCE_UNTIL(&t, version_at(&t.first) == 9);
	g_assert_true(has_route(&t.first, "b"));
	g_assert_false(has_route(&t.first, "a"));
	ANNOUNCE_UNTIL(&t, version_at(&t.second) == 9);
	json_decref(list);
	config_items_free(items);
	routing_table_free(table);
	tear_down(&t);
}

/*
 * Gateways that have the same configuration agree on its version, however far
 * the store's revision had risen when they read it. If not, the one with the
 * later version sends updates without content, and the others take themselves
 * for outdated.
 */
static void
test_version(void)
{
	struct test t = {.peer = {.document = DOCUMENT_ROUTES, .version = 8}};
	const struct load_sync_settings settings = {
	    .self = "g-3", .failure_domain = "z", .has_seeds = true};
	struct peer_gateway third;

	set_up(&t);
	fake_platform_raise_revision(t.platform);
	peer_gateway_start(&third, t.loop, t.platform, &settings);
	while (!routing_state_is_complete(third.routing_state))
		ev_run(t.loop, EVRUN_ONCE);
	g_assert_cmpuint(
	    documents_version(third.documents, DOCUMENT_ROUTING_ITEMS), ==,
	    documents_version(t.first.documents, DOCUMENT_ROUTING_ITEMS));
	peer_gateway_stop(&third);
	tear_down(&t);
}

/*
 * A gateway learns from a peer that the store was restored from a copy, before
 * its own watch tells it. It then takes the changes that the store has, whose
 * revisions are lower than those of before.
 */
static void
test_restored_at_peer(void)
{
	struct test t = {
	    .era = 1, .peer = {.document = DOCUMENT_ROUTING_ITEMS}};
	struct copy copy;
	g_autoptr(GString) text = NULL;

	copy_init(&copy);
	set_up(&t);
	g_assert_cmpuint(version_at(&t.first), ==, 1);
	g_assert_true(copy_apply(&copy, 3, SPEC("2", ROUTE("a"))));
	text = config_items_encode(copy.items, 0, &t.peer.base);
	t.peer.text = text->str;
	t.peer.version = store_version_make(2, 3);
	fake_platform_restore(t.platform, SPEC("2", ROUTE("a")));
	ANNOUNCE_UNTIL(&t, version_at(&t.first) == 2);
	fake_platform_change_config(t.platform, SPEC("3", ROUTE("b")));
	while (version_at(&t.first) != 3)
		ev_run(t.loop, EVRUN_ONCE);
	g_assert_true(has_route(&t.first, "b"));
	tear_down(&t);
	copy_clear(&copy);
}

#define PAUSE_MS 2500
/* Reports of the other gateway are never younger, see test_late_report(). */
#define REPORT_AGE_MS 1000

/*
 * A peer's report that the configuration is the newest is read late: the
 * process stood still for longer than a change may take. It is as old as its
 * message. The second gateway stands still too, so that it has an old report.
 */
static void
test_late_report(void)
{
	struct test t = {.peer = {.document = DOCUMENT_ROUTES, .version = 1}};
	struct message report = {.kind = MESSAGE_LOAD};
	struct timespec end;

	set_up(&t);
	end = time_add_ms(clock_monotonic(clock_system()), REPORT_AGE_MS);
	while (!mesh_is_connected(t.peer.mesh, t.first.address) ||
	    time_before(clock_monotonic(clock_system()), end)) {
		mesh_send(t.peer.mesh, t.first.address, &report);
		ev_run(t.loop, EVRUN_ONCE);
	}
	report.load.routes_version = routing_state_revision(
	    t.first.routing_state);
	mesh_send(t.peer.mesh, t.first.address, &report);
	g_usleep((gulong)PAUSE_MS * (G_USEC_PER_SEC / MS_PER_S));
	end = time_add_ms(clock_monotonic(clock_system()), REPORT_AGE_MS / 4);
	while (time_before(clock_monotonic(clock_system()), end)) {
		struct freshness freshness;

		ev_run(t.loop, EVRUN_ONCE);
		freshness = routing_state_freshness(t.first.routing_state);
		g_assert_true(!time_is_set(freshness.peer_at) ||
		    freshness_since_ms(freshness.peer_at,
			clock_monotonic(clock_system())) >= REPORT_AGE_MS);
	}
	tear_down(&t);
}

#define REVISIONS 100
#define LAPSE_MS  3000

/* Runs the loop for some time. */
static void
run_for(struct test *t, int64_t ms)
{
	struct timespec end = time_add_ms(clock_monotonic(clock_system()), ms);

	while (time_before(clock_monotonic(clock_system()), end))
		ev_run(t->loop, EVRUN_ONCE);
}

/*
 * A peer of an earlier build names the store's revision as the version of the
 * configuration, and stops before it has sent that. The store's own answers at
 * later revisions show that there is no such version.
 */
static void
test_unobtainable_version(void)
{
	struct test t = {.peer = {.document = DOCUMENT_ROUTING_ITEMS}};

	set_up(&t);
	fake_platform_end_watches(t.platform, OBJECT_STORE_WATCH_WAIT_MS);
	for (int i = 0; i < REVISIONS; i++)
		fake_platform_raise_revision(t.platform);
	t.peer.version = REVISIONS / 2;
	mesh_remove_handler(t.peer.mesh, &t.peer.handler);
	ANNOUNCE_UNTIL(&t,
	    documents_newest_version(t.first.documents, DOCUMENT_ROUTING_ITEMS,
		LAPSE_MS) == t.peer.version);
	run_for(&t, LAPSE_MS);
	mesh_add_handler(t.peer.mesh, &t.peer.handler);
	g_assert_true(routing_state_is_current(t.first.routing_state));
	tear_down(&t);
}

/* When the store answers a watch with a change, shortly before it must. */
#define LATE_EVENT_MS (OBJECT_STORE_WATCH_WAIT_MS - 20)

/*
 * A change comes late in the wait of one watch, and the next watch waits for as
 * long. All that time the store has answered as it should, so the gateway knows
 * that it has the newest configuration.
 */
static void
test_late_event(void)
{
	struct test t = {0};

	set_up(&t);
	fake_platform_change_config(t.platform, SPEC("2", ROUTE("b")));
	run_for(&t, OBJECT_WATCH_BATCH_MS + LATE_EVENT_MS);
	fake_platform_change_config(t.platform, SPEC("3", ROUTE("c")));
	while (!has_route(&t.first, "c"))
		ev_run(t.loop, EVRUN_ONCE);
	run_for(&t, OBJECT_WATCH_BATCH_MS);
	g_assert_true(routing_state_is_current(t.first.routing_state));
	run_for(&t, LATE_EVENT_MS);
	g_assert_true(routing_state_is_current(t.first.routing_state));
	tear_down(&t);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_assert_cmpint(sodium_init(), >=, 0);
	g_test_add_func("/routing_state/a gateway takes the object from a peer "
			"that knows no items",
	    test_object_from_peer);
	g_test_add_func(
	    "/routing_state/a peer that knows no items is sent the object",
	    test_object_to_peer);
	g_test_add_func("/routing_state/items that do not fit their version "
			"are refused, and a repair is requested",
	    test_mismatch);
	g_test_add_func("/routing_state/gateways that read a configuration at "
			"different times agree on its version",
	    test_version);
	g_test_add_func("/routing_state/a gateway that learns of a restored "
			"store from a peer takes later changes",
	    test_restored_at_peer);
	g_test_add_func(
	    "/routing_state/a peer's report that is read late is as "
	    "old as its message",
	    test_late_report);
	g_test_add_func("/routing_state/a version that no peer sends does not "
			"outlast the store's answers",
	    test_unobtainable_version);
	g_test_add_func(
	    "/routing_state/a change late in a watch's wait does not "
	    "end what the store's answers show",
	    test_late_event);
	return g_test_run();
}
