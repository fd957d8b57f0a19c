/*
 * The configuration as items: what other processes are sent of a change, and
 * which configurations are refused. Load pattern: a configuration with many
 * routes of which one changes each second, at gateways with little CPU.
 */
#include <string.h>

#include "cases.h"
#include "config_reader.h"
#include "log_capture.h"
#include "platform/decode.h"
#include "platform/store_version.h"

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

	copy_init(&copies[0]);
	copy_init(&copies[1]);
	g_assert_true(copy_apply(&copies[0], 10, c->before));
	g_assert_true(copy_send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_cmpuint(base, ==, 0);
	g_assert_true(copy_apply(&copies[0], 11, c->after));
	g_assert_cmpuint(count_sent(&copies[0], 10), ==, c->sent);
	g_assert_true(copy_send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_cmpuint(base, ==, 10);
	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++) {
		g_assert_cmpstr(route_name(&copies[i], c->path), ==, c->route);
		g_assert_cmpstr(
		    copy_key_owner(&copies[i], c->key), ==, c->owner);
		g_assert_cmpuint(copies[i].table->version, ==, 2);
		g_assert_cmpuint(copies[i].table->limits.body_bytes, ==, 9);
		copy_clear(&copies[i]);
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

	copy_init(&copy);
	g_assert_true(copy_apply(&copy, 10,
	    SPEC("5", ROUTE("a", "/a/"), SERVICE, OWNER("o", "\"k\""))));
	g_assert_false(copy_apply(&copy, 11, c->spec));
	g_assert_cmpuint(copy.table->version, ==, 5);
	g_assert_cmpstr(route_name(&copy, "/a/x"), ==, "a");
	g_assert_cmpstr(copy_key_owner(&copy, "k"), ==, "o");
	g_assert_true(copy_apply(&copy, 12, SPEC("6", "", "", "")));
	g_assert_null(route_name(&copy, "/a/x"));
	g_assert_true(copy.table->needs_key);
	/* An empty list may not go missing either. */
	g_assert_false(copy_apply(&copy, 13,
	    "{\"Version\":7,\"Routes\":[],\"Services\":[],\"Limits\":{}}"));
	copy_clear(&copy);
}

/* An update that is cut at any byte is refused and changes nothing. */
static void
test_cut(void)
{
	struct copy copies[2];
	g_autoptr(GString) text = NULL;
	uint64_t base;

	copy_init(&copies[0]);
	copy_init(&copies[1]);
	g_assert_true(copy_apply(&copies[0], 10,
	    SPEC("1", ROUTE("a", "/a/"), SERVICE, OWNER("o", "\"k\""))));
	g_assert_true(copy_send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_true(copy_apply(&copies[0], 11,
	    SPEC("2", ROUTE("b", "/a/"), SERVICE, OWNER("o", ""))));
	text = config_items_encode(copies[0].items, 10, &base);
	for (size_t cut = 1; cut <= text->len; cut++) {
		g_assert_false(
		    copy_send_changes(&copies[0], &copies[1], cut, &base));
		g_assert_cmpstr(route_name(&copies[1], "/a/x"), ==, "a");
		g_assert_cmpstr(copy_key_owner(&copies[1], "k"), ==, "o");
	}
	g_assert_true(copy_send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_cmpstr(route_name(&copies[1], "/a/x"), ==, "b");
	copy_clear(&copies[0]);
	copy_clear(&copies[1]);
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

	copy_init(&copies[0]);
	copy_init(&copies[1]);
	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++)
		g_assert_true(
		    copy_apply(&copies[i], 10, SPEC("1", "", SERVICE, "")));
	g_assert_true(copy_apply(
	    &copies[1], 11, SPEC("2", "", SERVICE, OWNER("o", "\"k\""))));
	g_assert_true(copy_apply(&copies[0], 12, SPEC("3", "", SERVICE, "")));
	g_assert_false(copy_send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_cmpuint(copies[1].table->version, ==, 2);
	g_assert_cmpstr(copy_key_owner(&copies[1], "k"), ==, "o");
	g_assert_true(copy_send_repair(&copies[0], &copies[1], &elements));
	g_assert_cmpuint(elements, ==, 2);
	g_assert_cmpuint(copies[1].table->version, ==, 3);
	g_assert_null(copy_key_owner(&copies[1], "k"));
	copy_clear(&copies[0]);
	copy_clear(&copies[1]);
}

/*
 * An invalid item leaves no trace: what the process sends after a repair is
 * what it has.
 */
static void
test_invalid_item(void)
{
	static const char invalid[] =
	    "[{\"Object\":{\"Metadata\":{\"Name\":\"route h /a/\"},\"Spec\":"
	    "{\"Host\":\"h\"}}},{\"Object\":{\"Metadata\":{\"Name\":"
	    "\"version\"},\"Spec\":{\"Version\":2,\"Items\":2,\"Sum\":\"0\"}}}"
	    "]";
	struct copy copies[3];
	uint64_t base;
	size_t elements;

	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++)
		copy_init(&copies[i]);
	g_assert_true(copy_apply(
	    &copies[0], 10, SPEC("1", ROUTE("a", "/a/"), SERVICE, "")));
	g_assert_true(copy_send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_false(config_reader_apply(
	    config_change_new_items(
		10, 11, (const uint8_t *)invalid, strlen(invalid), NULL),
	    copies[1].items, copies[1].table, NULL));
	g_assert_true(
	    copy_apply(&copies[0], 12, SPEC("3", ROUTE("a", "/a/"), "", "")));
	g_assert_true(copy_send_repair(&copies[0], &copies[1], &elements));
	g_assert_true(copy_send_changes(&copies[1], &copies[2], 0, &base));
	g_assert_cmpstr(route_name(&copies[2], "/a/x"), ==, "a");
	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++)
		copy_clear(&copies[i]);
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
		copy_init(&copies[i]);
	g_assert_true(copy_apply(&copies[0], 10,
	    SPEC("1", ROUTE("a", "/a/") "," ROUTE("b", "/b/"), SERVICE, "")));
	g_assert_true(copy_send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_true(copy_apply(
	    &copies[0], 20, SPEC("2", ROUTE("a", "/a/"), SERVICE, "")));
	g_assert_true(copy_send_changes(&copies[0], &copies[2], 0, &base));
	g_assert_true(copy_send_changes(&copies[2], &copies[1], 0, &base));
	g_assert_cmpuint(base, ==, 10);
	g_assert_cmpuint(count_sent(&copies[2], 10), ==, 2);
	g_assert_cmpstr(route_name(&copies[1], "/a/x"), ==, "a");
	g_assert_null(route_name(&copies[1], "/b/x"));
	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++)
		copy_clear(&copies[i]);
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

	copy_init(&copies[0]);
	copy_init(&copies[1]);
	g_assert_true(copy_apply(&copies[0], store_version_make(1, 30),
	    SPEC("5", ROUTE("a", "/a/"), SERVICE, OWNER("o", ""))));
	g_assert_true(copy_send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_false(copy_apply(&copies[0], store_version_make(2, 20),
	    SPEC("4", ROUTE("a", "/a/"), SERVICE, OWNER("o", "\"k\""))));
	g_assert_null(copy_key_owner(&copies[0], "k"));
	g_assert_cmpuint(copies[0].table->version, ==, 5);
	g_assert_true(copy_apply(&copies[0], store_version_make(2, 21),
	    SPEC("6", ROUTE("b", "/a/"), SERVICE, OWNER("o", ""))));
	g_assert_true(copy_send_changes(&copies[0], &copies[1], 0, &base));
	g_assert_cmpuint(base, ==, 0);
	for (size_t i = 0; i < G_N_ELEMENTS(copies); i++) {
		g_assert_null(copy_key_owner(&copies[i], "k"));
		g_assert_cmpstr(route_name(&copies[i], "/a/x"), ==, "b");
		g_assert_cmpuint(copies[i].table->version, ==, 6);
		copy_clear(&copies[i]);
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

	copy_init(&copy);
	g_assert_true(copy_apply(&copy, 10,
	    SPEC("1", ROUTE("a", "/a/"), SERVICE, OWNER("o", "\"k\""))));
	route = route_ref(routing_table_find_route(copy.table, "h", "/a/x"));
	service = service_profile_ref(
	    routing_table_find_service(copy.table, "s"));
	organisation = organisation_ref(
	    routing_table_find_organisation(copy.table, "k"));
	g_assert_true(copy_apply(&copy, 11,
	    SPEC("2", ROUTE("a", "/a/"), "{\"Name\":\"s\",\"ColdS\":2}", "")));
	g_assert_cmpint(
	    routing_table_find_service(copy.table, "s")->cold_ms, ==, 2000);
	g_assert_true(copy_apply(&copy, 12, SPEC("3", "", "", "")));
	g_assert_null(routing_table_find_service(copy.table, "s"));
	copy_clear(&copy);
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

	copy_init(&copy);
	g_assert_true(copy_apply(&copy, 10,
	    SPEC("1", ROUTE("a", "/a/"), SERVICE, OWNER("o", "\"k\""))));
	change = config_change_new_object(object, 11, &error);
	g_assert_true(
	    config_change_begin(change, copy.items, copy.table, &error));
	while (config_change_step(change, 1, &error) == CONFIG_CHANGE_RUNNING)
		g_assert_no_error(error);
	g_assert_cmpstr(route_name(&copy, "/a/x"), ==, "a");
	g_assert_null(route_name(&copy, "/c/x"));
	g_assert_cmpstr(copy_key_owner(&copy, "k"), ==, "o");
	config_change_commit(change);
	for (int i = 0; i < 2; i++) {
		g_assert_cmpstr(route_name(&copy, "/a/x"), ==, "b");
		g_assert_cmpstr(route_name(&copy, "/c/x"), ==, "c");
		g_assert_null(copy_key_owner(&copy, "k"));
		g_assert_true(routing_table_settle(copy.table, G_MAXSIZE));
	}
	config_change_free(change);
	json_decref(object);
	copy_clear(&copy);
}

/* A process of a build that knows no items gets the object. */
static void
test_object(void)
{
	struct copy copies[2];
	g_autoptr(GString) text = NULL;
	json_t *list;

	copy_init(&copies[0]);
	copy_init(&copies[1]);
	g_assert_true(copy_apply(&copies[0], 10,
	    SPEC("7", ROUTE("a", "/a/"), SERVICE, OWNER("o", "\"k\""))));
	text = config_items_encode_object(copies[0].items);
	list = json_loadb(text->str, text->len, 0, NULL);
	g_assert_true(config_reader_apply(
	    config_change_new_object(json_array_get(list, 0), 10, NULL),
	    copies[1].items, NULL, NULL));
	g_assert_cmpstr(route_name(&copies[1], "/a/x"), ==, "a");
	g_assert_cmpstr(copy_key_owner(&copies[1], "k"), ==, "o");
	g_assert_cmpuint(copies[1].table->version, ==, 7);
	g_assert_cmpuint(copies[1].table->limits.body_bytes, ==, 9);
	g_assert_nonnull(routing_table_find_service(copies[1].table, "s"));
	json_decref(list);
	copy_clear(&copies[0]);
	copy_clear(&copies[1]);
}

/* An organisation whose API keys are left out is not left out silently. */
static void
test_unnamed(void)
{
	struct log_capture capture;
	struct copy copy;
	g_autofree char *log = NULL;

	copy_init(&copy);
	log_capture_start(&capture);
	g_assert_true(copy_apply(&copy, 1,
	    SPEC("1", ROUTE("a", "/a/"), "{}",
		"{\"Keys\":[\"k\"]}," OWNER("o", "\"l\""))));
	log = log_capture_read(&capture);
	log_capture_stop(&capture);
	g_assert_null(copy_key_owner(&copy, "k"));
	g_assert_cmpstr(copy_key_owner(&copy, "l"), ==, "o");
	g_assert_nonnull(
	    strstr(log, "services or organisations skipped without a name"));
	g_assert_nonnull(strstr(log, "\"skipped\":2"));
	copy_clear(&copy);
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
	g_test_add_func(
	    "/config_items/an invalid item leaves no trace", test_invalid_item);
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
	g_test_add_func(
	    "/config_items/a process that knows no items gets the object",
	    test_object);
	g_test_add_func("/config_items/what has no name is left out and logged",
	    test_unnamed);
	return g_test_run();
}
