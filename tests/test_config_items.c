/*
 * The configuration as items: what other processes are sent of a change, and
 * which configurations are refused. Load pattern: a configuration with many
 * routes of which one changes each second, at gateways with little CPU.
 */
#include <string.h>

#include "cases.h"
#include "config_reader.h"
#include "platform/decode.h"
#include "platform/store_version.h"

#define ROUNDS	   300
#define HOSTS	   3
#define PREFIXES   4
#define KEYS	   5
#define TEXT_BYTES 64

/* One process's copy of the configuration. */
struct copy {
	struct routing_table *table;
	struct config_items *items;
};

static void
set_up(struct copy *copy)
{
	copy->table = routing_table_new();
	copy->items = config_items_new(copy->table);
}

static void
tear_down(struct copy *copy)
{
	config_items_free(copy->items);
	routing_table_free(copy->table);
}

/* Applies an object of the store with this specification. */
static bool
apply_spec(struct copy *copy, uint64_t version, const char *spec)
{
	g_autoptr(GError) error = NULL;
	json_t *object = json_pack("{s:{s:s, s:I}, s:o}", "Metadata", "Name",
	    "main", "Revision", (json_int_t)store_version_revision(version),
	    "Spec", json_loads(spec, 0, NULL));
	bool applied = config_reader_apply(
	    config_change_new_object(object, version, &error), copy->items,
	    copy->table, &error);

	json_decref(object);
	g_assert_true(applied == (error == NULL));
	return applied;
}

/* Sends what the other copy lacks, without the last bytes; false: refused. */
static bool
send_changes(struct copy *from, struct copy *to, size_t cut, uint64_t *base)
{
	g_autoptr(GError) error = NULL;
	g_autoptr(GString) text = config_items_encode(
	    from->items, config_items_version(to->items), base);

	return config_reader_apply(
	    config_change_new_items(*base, config_items_version(from->items),
		(const uint8_t *)text->str, text->len - cut, &error),
	    to->items, to->table, &error);
}

/* Returns the number of elements of what a process with a version is sent. */
static size_t
count_sent(const struct copy *from, uint64_t since)
{
	uint64_t base;
	g_autoptr(GString)
	    text = config_items_encode(from->items, since, &base);
	json_t *list = json_loadb(text->str, text->len, 0, NULL);
	size_t count = json_array_size(list);

	json_decref(list);
	return count;
}

/* Returns the name of the route of host h for a path; NULL for none. */
static const char *
route_name(const struct copy *copy, const char *path)
{
	const struct route *route = routing_table_find_route(
	    copy->table, "h", path);

	return route == NULL ? NULL : route->name;
}

/* Returns the name of the organisation that has a key; NULL for none. */
static const char *
key_owner(const struct copy *copy, const char *key)
{
	const struct organisation *owner = routing_table_find_organisation(
	    copy->table, key);

	return owner == NULL ? NULL : owner->name;
}

#define ROUTE(name, prefix)                                              \
	"{\"Name\":\"" name "\",\"Host\":\"h\",\"PathPrefix\":\"" prefix \
	"\",\"Kind\":\"idempotent\",\"Service\":\"s\"}"
#define SPEC(version, routes, services, tenants)                   \
	"{\"Version\":" version ",\"Routes\":[" routes             \
	"],\"Services\":[" services "],\"Tenants\":[" tenants "]," \
	"\"Limits\":{\"BodyBytes\":9}}"
#define SERVICE	    "{\"Name\":\"s\",\"ColdS\":1}"
#define OWNER(n, k) "{\"Name\":\"" n "\",\"Keys\":[" k "]}"

/* Two configurations and what holds after the second, at both copies. */
static const struct change_case {
	const char *name;
	const char *before;
	const char *after;
	size_t sent; /* items and events for a peer that has the first one */
	const char *path; /* and the name of its route */
	const char *route;
	const char *key; /* and the name of its organisation */
	const char *owner;
} change_cases[] = {
    {"a changed route is sent alone, with the version",
	SPEC("1", ROUTE("a", "/a/") "," ROUTE("b", "/b/"), SERVICE, ""),
	SPEC("2", ROUTE("a", "/a/") "," ROUTE("c", "/b/"), SERVICE, ""), 2,
	"/b/x", "c", "k", NULL},
    {"the order of members of another route does not matter",
	SPEC("1", ROUTE("a", "/a/") "," ROUTE("b", "/b/"), SERVICE, ""),
	SPEC("2", ROUTE("b", "/b/") "," ROUTE("a", "/a/"), SERVICE, ""), 1,
	"/b/x", "b", "k", NULL},
    {"a removed route uncovers that with the shorter prefix",
	SPEC("1", ROUTE("a", "/a/") "," ROUTE("b", "/a/b/"), SERVICE, ""),
	SPEC("2", ROUTE("a", "/a/"), SERVICE, ""), 2, "/a/b/x", "a", "k", NULL},
    {"the last route of a host goes", SPEC("1", ROUTE("a", "/a/"), SERVICE, ""),
	SPEC("2", "", SERVICE, ""), 2, "/a/x", NULL, "k", NULL},
    {"the first of two routes with the same host and prefix counts",
	SPEC("1", "", SERVICE, ""),
	SPEC("2", ROUTE("a", "/a/") "," ROUTE("b", "/a/"), SERVICE, ""), 2,
	"/a/x", "a", "k", NULL},
    {"the second of two such routes takes over when the first goes",
	SPEC("1", ROUTE("a", "/a/") "," ROUTE("b", "/a/"), SERVICE, ""),
	SPEC("2", ROUTE("b", "/a/"), SERVICE, ""), 2, "/a/x", "b", "k", NULL},
    {"a key moves to an organisation further up",
	SPEC("1", "", SERVICE, OWNER("o", "") "," OWNER("p", "\"k\"")),
	SPEC("2", "", SERVICE, OWNER("o", "\"k\"") "," OWNER("p", "")), 3, "/x",
	NULL, "k", "o"},
    {"a key moves to an organisation further down",
	SPEC("1", "", SERVICE, OWNER("o", "\"k\"") "," OWNER("p", "")),
	SPEC("2", "", SERVICE, OWNER("o", "") "," OWNER("p", "\"k\"")), 3, "/x",
	NULL, "k", "p"},
    {"a key moves from an organisation that goes",
	SPEC("1", "", SERVICE, OWNER("o", "\"k\"")),
	SPEC("2", "", SERVICE, OWNER("p", "\"k\"")), 3, "/x", NULL, "k", "p"},
    {"a key of two organisations belongs to the later one",
	SPEC("1", "", SERVICE, ""),
	SPEC("2", "", SERVICE, OWNER("o", "\"k\"") "," OWNER("p", "\"k\"")), 3,
	"/x", NULL, "k", "p"},
    {"a key stays with the earlier organisation when the later one goes",
	SPEC("1", "", SERVICE, OWNER("o", "\"k\"") "," OWNER("p", "\"k\"")),
	SPEC("2", "", SERVICE, OWNER("o", "\"k\"")), 3, "/x", NULL, "k", "o"},
    {"a key that is taken away is not accepted any more",
	SPEC("1", "", SERVICE, OWNER("o", "\"k\"")),
	SPEC("2", "", SERVICE, OWNER("o", "")), 2, "/x", NULL, "k", NULL},
    {"organisations with the same name keep their own keys",
	SPEC("1", "", SERVICE, OWNER("o", "\"j\"") "," OWNER("o", "\"k\"")),
	SPEC("2", "", SERVICE, OWNER("o", "\"j\"")), 3, "/x", NULL, "k", NULL},
};

/* A watcher and a process that it sends its items end with the same. */
static void
test_change(gconstpointer data)
{
	const struct change_case *c = &change_cases[GPOINTER_TO_SIZE(data)];
	struct copy copies[2];
	uint64_t base;

	set_up(&copies[0]);
	set_up(&copies[1]);
	g_assert_true(apply_spec(&copies[0], 10, c->before));
	g_assert_true(send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_cmpuint(base, ==, 0);
	g_assert_true(apply_spec(&copies[0], 11, c->after));
	g_assert_cmpuint(count_sent(&copies[0], 10), ==, c->sent);
	g_assert_true(send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_cmpuint(base, ==, 10);
	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++) {
		g_assert_cmpstr(route_name(&copies[i], c->path), ==, c->route);
		g_assert_cmpstr(key_owner(&copies[i], c->key), ==, c->owner);
		g_assert_cmpuint(copies[i].table->version, ==, 2);
		g_assert_cmpuint(copies[i].table->limits.body_bytes, ==, 9);
		tear_down(&copies[i]);
	}
}

/* A second configuration that must not come into force. */
static const struct refused_case {
	const char *name;
	const char *spec;
} refused_cases[] = {
    {"an older version", SPEC("4", "", "", "")},
    {"no version", "{\"Routes\":[],\"Services\":[],\"Tenants\":[]}"},
    {"a version of another type",
	"{\"Version\":\"6\",\"Routes\":[],\"Services\":[],\"Tenants\":[]}"},
    {"no routes", "{\"Version\":6,\"Services\":[],\"Tenants\":[]}"},
    {"no services", "{\"Version\":6,\"Routes\":[],\"Tenants\":[]}"},
    {"no organisations, which would open all routes to everyone",
	"{\"Version\":6,\"Routes\":[],\"Services\":[],\"Limits\":{}}"},
    {"no limits, which would be without effect",
	"{\"Version\":6,\"Routes\":[],\"Services\":[],\"Tenants\":[]}"},
    {"routes of another type",
	"{\"Version\":6,\"Routes\":{},\"Services\":[],\"Tenants\":[]}"},
    {"no object", "[]"},
};

/* The configuration in force stays, and a later one is applied. */
static void
test_refused(gconstpointer data)
{
	const struct refused_case *c = &refused_cases[GPOINTER_TO_SIZE(data)];
	struct copy copy;

	set_up(&copy);
	g_assert_true(apply_spec(&copy, 10,
	    SPEC("5", ROUTE("a", "/a/"), SERVICE, OWNER("o", "\"k\""))));
	g_assert_false(apply_spec(&copy, 11, c->spec));
	g_assert_cmpuint(copy.table->version, ==, 5);
	g_assert_cmpstr(route_name(&copy, "/a/x"), ==, "a");
	g_assert_cmpstr(key_owner(&copy, "k"), ==, "o");
	g_assert_true(apply_spec(&copy, 12, SPEC("6", "", "", "")));
	g_assert_null(route_name(&copy, "/a/x"));
	tear_down(&copy);
}

/* An update that is cut at any byte is refused and changes nothing. */
static void
test_cut(void)
{
	struct copy copies[2];
	g_autoptr(GString) text = NULL;
	uint64_t base;

	set_up(&copies[0]);
	set_up(&copies[1]);
	g_assert_true(apply_spec(&copies[0], 10,
	    SPEC("1", ROUTE("a", "/a/"), SERVICE, OWNER("o", "\"k\""))));
	g_assert_true(send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_true(apply_spec(&copies[0], 11,
	    SPEC("2", ROUTE("b", "/a/"), SERVICE, OWNER("o", ""))));
	text = config_items_encode(copies[0].items, 10, &base);
	for (size_t cut = 1; cut <= text->len; cut++) {
		g_assert_false(
		    send_changes(&copies[0], &copies[1], cut, &base));
		g_assert_cmpstr(route_name(&copies[1], "/a/x"), ==, "a");
		g_assert_cmpstr(key_owner(&copies[1], "k"), ==, "o");
	}
	g_assert_true(send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_cmpstr(route_name(&copies[1], "/a/x"), ==, "b");
	tear_down(&copies[0]);
	tear_down(&copies[1]);
}

/*
 * Sends what differs from the items of another copy, by their checksums, and
 * returns the number of its elements.
 */
static bool
send_repair(struct copy *from, struct copy *to, size_t *elements)
{
	g_autoptr(GError) error = NULL;
	g_autoptr(GString) text = config_items_encode_repair(
	    from->items, config_items_sums(to->items));
	json_t *list = json_loadb(text->str, text->len, 0, NULL);

	*elements = json_array_size(list);
	json_decref(list);
	return config_reader_apply(
	    config_change_new_items(config_items_version(to->items),
		config_items_version(from->items), (const uint8_t *)text->str,
		text->len, &error),
	    to->items, to->table, &error);
}

/*
 * A process that lacks a change is told so by the checksum: here the sender has
 * seen neither the addition of a key that the receiver has, nor its removal.
 * The key would stay otherwise. It is removed by a repair, which has the items
 * of the buckets that differ.
 */
static void
test_missed_change(void)
{
	struct copy copies[2];
	uint64_t base;
	size_t elements;

	set_up(&copies[0]);
	set_up(&copies[1]);
	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++)
		g_assert_true(
		    apply_spec(&copies[i], 10, SPEC("1", "", SERVICE, "")));
	g_assert_true(apply_spec(
	    &copies[1], 11, SPEC("2", "", SERVICE, OWNER("o", "\"k\""))));
	g_assert_true(apply_spec(&copies[0], 12, SPEC("3", "", SERVICE, "")));
	g_assert_false(send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_cmpuint(copies[1].table->version, ==, 2);
	g_assert_cmpstr(key_owner(&copies[1], "k"), ==, "o");
	g_assert_true(send_repair(&copies[0], &copies[1], &elements));
	g_assert_cmpuint(elements, ==, 2);
	g_assert_cmpuint(copies[1].table->version, ==, 3);
	g_assert_null(key_owner(&copies[1], "k"));
	tear_down(&copies[0]);
	tear_down(&copies[1]);
}

/*
 * A process that asks for the changes since a version before the sender's
 * history gets what has changed since by revision, and the names of all.
 */
static void
test_old_version(void)
{
	struct copy copies[3];
	uint64_t base;

	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++)
		set_up(&copies[i]);
	g_assert_true(apply_spec(&copies[0], 10,
	    SPEC("1", ROUTE("a", "/a/") "," ROUTE("b", "/b/"), SERVICE, "")));
	g_assert_true(send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_true(apply_spec(
	    &copies[0], 20, SPEC("2", ROUTE("a", "/a/"), SERVICE, "")));
	g_assert_true(send_changes(&copies[0], &copies[2], 0, &base));
	g_assert_true(send_changes(&copies[2], &copies[1], 0, &base));
	g_assert_cmpuint(base, ==, 10);
	g_assert_cmpuint(count_sent(&copies[2], 10), ==, 2);
	g_assert_cmpstr(route_name(&copies[1], "/a/x"), ==, "a");
	g_assert_null(route_name(&copies[1], "/b/x"));
	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++)
		tear_down(&copies[i]);
}

/*
 * A restored store has an older configuration with a key that was taken away
 * since: it stays away. The next newer one reaches processes of the earlier
 * era.
 */
static void
test_restored(void)
{
	struct copy copies[2];
	uint64_t base;

	set_up(&copies[0]);
	set_up(&copies[1]);
	g_assert_true(apply_spec(&copies[0], store_version_make(1, 30),
	    SPEC("5", ROUTE("a", "/a/"), SERVICE, OWNER("o", ""))));
	g_assert_true(send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_false(apply_spec(&copies[0], store_version_make(2, 20),
	    SPEC("4", ROUTE("a", "/a/"), SERVICE, OWNER("o", "\"k\""))));
	g_assert_null(key_owner(&copies[0], "k"));
	g_assert_cmpuint(copies[0].table->version, ==, 5);
	g_assert_true(apply_spec(&copies[0], store_version_make(2, 21),
	    SPEC("6", ROUTE("b", "/a/"), SERVICE, OWNER("o", ""))));
	g_assert_true(send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_cmpuint(base, ==, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++) {
		g_assert_null(key_owner(&copies[i], "k"));
		g_assert_cmpstr(route_name(&copies[i], "/a/x"), ==, "b");
		g_assert_cmpuint(copies[i].table->version, ==, 6);
		tear_down(&copies[i]);
	}
}

/*
 * Requests keep the route, service and organisation that they began with, while
 * new ones do not find them. A service may go while a route names it.
 */
static void
test_held(void)
{
	struct copy copy;
	struct route *route;
	struct service_profile *service;
	struct organisation *organisation;

	set_up(&copy);
	g_assert_true(apply_spec(&copy, 10,
	    SPEC("1", ROUTE("a", "/a/"), SERVICE, OWNER("o", "\"k\""))));
	route = route_ref(routing_table_find_route(copy.table, "h", "/a/x"));
	service = service_profile_ref(
	    routing_table_find_service(copy.table, "s"));
	organisation = organisation_ref(
	    routing_table_find_organisation(copy.table, "k"));
	g_assert_true(apply_spec(&copy, 11,
	    SPEC("2", ROUTE("a", "/a/"), "{\"Name\":\"s\",\"ColdS\":2}", "")));
	g_assert_cmpint(
	    routing_table_find_service(copy.table, "s")->cold_ms, ==, 2000);
	g_assert_true(apply_spec(&copy, 12, SPEC("3", "", "", "")));
	g_assert_null(routing_table_find_service(copy.table, "s"));
	tear_down(&copy);
	g_assert_cmpstr(route->name, ==, "a");
	g_assert_cmpint(service->cold_ms, ==, 1000);
	g_assert_cmpstr(organisation->name, ==, "o");
	route_unref(route);
	service_profile_unref(service);
	organisation_unref(organisation);
}

/* Nothing of a change is visible before its end. */
static void
test_switch(void)
{
	g_autoptr(GError) error = NULL;
	struct config_change *change;
	struct copy copy;
	json_t *object = json_pack("{s:{s:s}, s:o}", "Metadata", "Name", "main",
	    "Spec",
	    json_loads(SPEC("2", ROUTE("b", "/a/") "," ROUTE("c", "/c/"),
			   SERVICE, OWNER("o", "")),
		0, NULL));

	set_up(&copy);
	g_assert_true(apply_spec(&copy, 10,
	    SPEC("1", ROUTE("a", "/a/"), SERVICE, OWNER("o", "\"k\""))));
	change = config_change_new_object(object, 11, &error);
	g_assert_true(
	    config_change_begin(change, copy.items, copy.table, &error));
	while (config_change_step(change, 1, &error) == CONFIG_CHANGE_RUNNING)
		g_assert_no_error(error);
	g_assert_cmpstr(route_name(&copy, "/a/x"), ==, "a");
	g_assert_null(route_name(&copy, "/c/x"));
	g_assert_cmpstr(key_owner(&copy, "k"), ==, "o");
	config_change_commit(change);
	for (int i = 0; i < 2; i++) {
		g_assert_cmpstr(route_name(&copy, "/a/x"), ==, "b");
		g_assert_cmpstr(route_name(&copy, "/c/x"), ==, "c");
		g_assert_null(key_owner(&copy, "k"));
		g_assert_true(routing_table_settle(copy.table, G_MAXSIZE));
	}
	config_change_free(change);
	json_decref(object);
	tear_down(&copy);
}

/* Returns a random configuration with few names, so that many collide. */
static char *
random_spec(int version)
{
	GString *routes = g_string_new(NULL);
	GString *owners = g_string_new(NULL);
	char *spec;

	for (int i = g_test_rand_int_range(0, 8); i > 0; i--)
		g_string_append_printf(routes,
		    "%s{\"Name\":\"r%d\",\"Host\":\"h%d\",\"PathPrefix\":"
		    "\"/%.*s\",\"Service\":\"s\"}",
		    routes->len > 0 ? "," : "", g_test_rand_int_range(0, 9),
		    g_test_rand_int_range(0, HOSTS),
		    2 * g_test_rand_int_range(0, PREFIXES), "a/a/a/a/");
	for (int i = g_test_rand_int_range(0, 5); i > 0; i--)
		g_string_append_printf(owners,
		    "%s{\"Name\":\"o%d\",\"Keys\":[\"k%d\",\"k%d\"]}",
		    owners->len > 0 ? "," : "", g_test_rand_int_range(0, 4),
		    g_test_rand_int_range(0, KEYS),
		    g_test_rand_int_range(0, KEYS));
	spec = g_strdup_printf(
	    "{\"Version\":%d,\"Routes\":[%s],\"Services\":[],\"Tenants\":[%s]}",
	    version, routes->str, owners->str);
	g_string_free(routes, TRUE);
	g_string_free(owners, TRUE);
	return spec;
}

/* Two tables answer all requests in the same way. */
static void
assert_same_answers(const struct copy *a, const struct copy *b)
{
	char text[TEXT_BYTES];

	for (int host = 0; host < HOSTS; host++) {
		g_snprintf(text, sizeof(text), "h%d", host);
		for (int i = 0; i <= PREFIXES; i++) {
			g_autofree char *path = g_strdup_printf(
			    "/%.*s", 2 * i, "a/a/a/a/");
			const struct route *route_a = routing_table_find_route(
			    a->table, text, path);
			const struct route *route_b = routing_table_find_route(
			    b->table, text, path);

			g_assert_true((route_a == NULL) == (route_b == NULL));
			if (route_a != NULL)
				g_assert_cmpstr(
				    route_a->name, ==, route_b->name);
		}
	}
	for (int key = 0; key < KEYS; key++) {
		g_snprintf(text, sizeof(text), "k%d", key);
		g_assert_cmpstr(key_owner(a, text), ==, key_owner(b, text));
	}
	g_assert_cmpuint(
	    a->table->organisation_count, ==, b->table->organisation_count);
}

/*
 * A table that is changed in place, by objects or by items, answers as one that
 * was read from the last object alone.
 */
static void
test_random(void)
{
	struct copy watcher;
	struct copy peer;
	struct copy stray; /* gets repairs alone */
	uint64_t base;
	size_t elements;

	set_up(&watcher);
	set_up(&peer);
	set_up(&stray);
	g_assert_true(apply_spec(&stray, 1, SPEC("0", "", "", "")));
	for (int round = 1; round <= ROUNDS; round++) {
		g_autofree char *spec = random_spec(round);
		struct copy fresh;

		set_up(&fresh);
		g_assert_true(apply_spec(&fresh, 1, spec));
		g_assert_true(apply_spec(&watcher, (uint64_t)round, spec));
		assert_same_answers(&watcher, &fresh);
		if (g_test_rand_int_range(0, 3) > 0) {
			g_assert_true(send_changes(&watcher, &peer, 0, &base));
			assert_same_answers(&peer, &fresh);
		}
		if (g_test_rand_int_range(0, 3) > 0) {
			g_assert_true(send_repair(&watcher, &stray, &elements));
			assert_same_answers(&stray, &fresh);
		}
		tear_down(&fresh);
	}
	tear_down(&watcher);
	tear_down(&peer);
	tear_down(&stray);
}

/* A process of a build that knows no items gets the object. */
static void
test_object(void)
{
	struct copy copies[2];
	g_autoptr(GString) text = NULL;
	json_t *list;

	set_up(&copies[0]);
	set_up(&copies[1]);
	g_assert_true(apply_spec(&copies[0], 10,
	    SPEC("7", ROUTE("a", "/a/"), SERVICE, OWNER("o", "\"k\""))));
	text = config_items_encode_object(copies[0].items);
	list = json_loadb(text->str, text->len, 0, NULL);
	g_assert_true(config_reader_apply(
	    config_change_new_object(json_array_get(list, 0), 10, NULL),
	    copies[1].items, NULL, NULL));
	g_assert_cmpstr(route_name(&copies[1], "/a/x"), ==, "a");
	g_assert_cmpstr(key_owner(&copies[1], "k"), ==, "o");
	g_assert_cmpuint(copies[1].table->version, ==, 7);
	g_assert_cmpuint(copies[1].table->limits.body_bytes, ==, 9);
	g_assert_nonnull(routing_table_find_service(copies[1].table, "s"));
	json_decref(list);
	tear_down(&copies[0]);
	tear_down(&copies[1]);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(change_cases, "/config_items/change", test_change);
	ADD_CASES(refused_cases, "/config_items/refused", test_refused);
	g_test_add_func(
	    "/config_items/an update that is cut changes nothing", test_cut);
	g_test_add_func(
	    "/config_items/a process notices that it lacks a change",
	    test_missed_change);
	g_test_add_func("/config_items/changes since a version before the "
			"history are found by revision",
	    test_old_version);
	g_test_add_func("/config_items/a key that was taken away stays away "
			"when the store is restored",
	    test_restored);
	g_test_add_func(
	    "/config_items/requests keep what they began with", test_held);
	g_test_add_func(
	    "/config_items/nothing of a change is visible before its end",
	    test_switch);
	g_test_add_func("/config_items/a table changed in place answers like a "
			"new one",
	    test_random);
	g_test_add_func(
	    "/config_items/a process that knows no items gets the object",
	    test_object);
	return g_test_run();
}
