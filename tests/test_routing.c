/*
 * The routing table and the upstreams as decoded from the platform's objects,
 * and the state of upstreams from the list and from requests.
 */
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "cases.h"
#include "config_reader.h"
#include "platform/decode.h"
#include "routing/fleet.h"
#include "routing/routing_table.h"

#define CONFIG                                                                \
	"[{\"Metadata\":{\"Name\":\"main\",\"Revision\":4},\"Spec\":{"        \
	"\"Version\":7,\"Routes\":["                                          \
	"{\"Name\":\"short\",\"Host\":\"A.example\",\"PathPrefix\":\"/a/\","  \
	"\"Kind\":\"stream\",\"TimeoutMs\":900,\"CanResume\":true,"           \
	"\"Service\":\"s\",\"Attempts\":2},"                                  \
	"{\"Name\":\"long\",\"Host\":\"a.example\",\"PathPrefix\":\"/a/b/\"," \
	"\"Kind\":\"non_idempotent\",\"Public\":true,"                        \
	"\"Split\":[{\"Service\":\"s\",\"Weight\":9},"                        \
	"{\"Service\":\"t\",\"Weight\":1}]},"                                 \
	"{\"Name\":\"odd\",\"Host\":\"a.example\",\"PathPrefix\":\"/o/\","    \
	"\"Kind\":\"unheard\",\"Service\":\"s\"},"                            \
	"{\"Name\":\"no host\",\"PathPrefix\":\"/n/\"}],"                     \
	"\"Services\":[{\"Name\":\"s\",\"ColdS\":1.5,\"ColdPerS\":26,"        \
	"\"Engine\":{\"read_per_s\":177000,\"KvTokens\":9,\"delays\":["       \
	"{\"From\":\"y\",\"TargetVersion\":\"z\",\"delay_ms\":3.5},"          \
	"{\"From\":\"y\",\"TargetVersion\":\"x\",\"delay_ms\":\"far\"},"      \
	"{\"From\":\"x\"},7]}}],"                                             \
	"\"Limits\":{\"BodyBytes\":100},"                                     \
	"\"Tenants\":[{\"Name\":\"o\",\"Keys\":[\"k1\",\"k2\"],"              \
	"\"Priority\":3},{\"Keys\":[\"k3\"]}]}}]"

static const struct route_case {
	const char *name;
	const char *host;
	const char *path;
	const char *route; /* NULL for none */
} route_cases[] = {
    {"the longest prefix wins", "a.example", "/a/b/c", "long"},
    {"a shorter prefix gets the rest", "a.example", "/a/c", "short"},
    {"a prefix ends with its slash", "a.example", "/a/bc", "short"},
    {"hosts match without case and port", "A.EXAMPLE:80", "/a/x", "short"},
    {"another host has no route", "b.example", "/a/x", NULL},
    {"another path has no route", "a.example", "/b/x", NULL},
    {"a route without host is ignored", "a.example", "/n/x", NULL},
};

/* Puts a list's objects into a set and returns the changes. */
static const struct object_changes *
put_objects(struct object_set *set, const char *text)
{
	json_t *list = json_loads(text, 0, NULL);
	json_t *object;
	size_t i;

	g_assert_true(json_is_array(list));
	json_array_foreach (list, i, object)
		object_set_put(set, object);
	json_decref(list);
	return object_set_commit(set, 1);
}

/* Reads a table from the first object of a list; NULL if it can't be read. */
static struct routing_table *
read_table(const char *text, GError **error)
{
	json_t *list = json_loads(text, 0, NULL);
	struct routing_table *table = config_reader_table(
	    json_array_get(list, 0), error);

	json_decref(list);
	return table;
}

/* Reads the table of the cases. */
static struct routing_table *
decode_table(void)
{
	g_autoptr(GError) error = NULL;
	struct routing_table *table = read_table(CONFIG, &error);

	g_assert_no_error(error);
	return table;
}

/* Runs one case. */
static void
test_route(gconstpointer data)
{
	const struct route_case *c = &route_cases[GPOINTER_TO_SIZE(data)];
	struct routing_table *table = decode_table();
	const struct route *route = routing_table_find_route(
	    table, c->host, c->path);

	g_assert_cmpstr(route == NULL ? NULL : route->name, ==, c->route);
	routing_table_free(table);
}

/* All members of routes, services and organisations are decoded. */
static void
test_members(void)
{
	struct routing_table *table = decode_table();
	const struct route *first = routing_table_find_route(
	    table, "a.example", "/a/x");
	const struct route *second = routing_table_find_route(
	    table, "a.example", "/a/b/x");
	const struct route *odd = routing_table_find_route(
	    table, "a.example", "/o/x");
	const struct service_profile *service = routing_table_find_service(
	    table, "s");

	g_assert_cmpuint(table->version, ==, 7);
	g_assert_cmpuint(table->limits.body_bytes, ==, 100);
	g_assert_cmpint(first->timeout_ms, ==, 900);
	g_assert_true(route_is_repeatable(first));
	g_assert_false(route_is_repeatable(second));
	g_assert_cmpint(odd->kind, ==, CALL_NON_IDEMPOTENT);
	g_assert_true(second->public);
	g_assert_cmpstr(route_pick_service(second, 8), ==, "s");
	g_assert_cmpstr(route_pick_service(second, 9), ==, "t");
	g_assert_cmpint(service->cold_ms, ==, 1500);
	g_assert_cmpfloat(service->engine.prefill_tokens_per_ms, ==, 177.0);
	/* Delays that can't be decoded are skipped. */
	g_assert_cmpuint(service->locality.count, ==, 1);
	g_assert_cmpfloat(
	    locality_delay_ms(&service->locality, "z", "y"), ==, 3.5);
	g_assert_cmpstr(
	    routing_table_find_organisation(table, "k2")->name, ==, "o");
	g_assert_null(routing_table_find_organisation(table, "k3"));
	g_assert_null(routing_table_find_service(table, "t"));
	routing_table_free(table);
}

static const struct invalid_case {
	const char *name;
	const char *text;
	int code;
} invalid_cases[] = {
    {"no objects", "[]", DECODE_ERROR_INVALID},
    {"an empty specification", "[{\"Metadata\":{\"Name\":\"x\"},\"Spec\":{}}]",
	DECODE_ERROR_INVALID},
    {"no specification", "[{\"Metadata\":{\"Name\":\"main\"}}]",
	DECODE_ERROR_INVALID},
};

/* Runs one case. */
static void
test_invalid(gconstpointer data)
{
	const struct invalid_case *c = &invalid_cases[GPOINTER_TO_SIZE(data)];
	g_autoptr(GError) error = NULL;

	g_assert_null(read_table(c->text, &error));
	g_assert_error(error, DECODE_ERROR, c->code);
}

static const struct upstream_case {
	const char *name;
	const char *spec;
	bool used;
} upstream_cases[] = {
    {"a complete object",
	"{\"Service\":\"s\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"z\","
	"\"State\":\"ready\",\"Slots\":16}",
	true},
    {"a draining upstream",
	"{\"Service\":\"s\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"z\","
	"\"State\":\"draining\"}",
	true},
    {"an unknown state",
	"{\"Service\":\"s\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"z\","
	"\"State\":\"odd\"}",
	false},
    {"no address", "{\"Service\":\"s\",\"Zone\":\"z\",\"State\":\"ready\"}",
	false},
    {"an address of another type",
	"{\"Service\":\"s\",\"Address\":5,\"Zone\":\"z\",\"State\":\"ready\"}",
	false},
    {"slots of another type",
	"{\"Service\":\"s\",\"Address\":\"127.0.0.1:1\",\"Zone\":\"z\","
	"\"State\":\"ready\",\"Slots\":\"many\"}",
	false},
    {"text in place of an object", "\"x\"", false},
    {"nothing", "null", false},
};

/* An unusable object does not affect the other one. */
static void
test_upstream(gconstpointer data)
{
	const struct upstream_case *c = &upstream_cases[GPOINTER_TO_SIZE(data)];
	g_autofree char *text = g_strdup_printf(
	    "[{\"Metadata\":{\"Name\":\"i-1\"},\"Spec\":%s},"
	    "{\"Metadata\":{\"Name\":\"i-2\"},\"Spec\":%s}]",
	    c->spec, upstream_cases[0].spec);
	struct object_set *set = object_set_new();
	struct upstream_reports reports = decode_upstreams(
	    put_objects(set, text));

	g_assert_cmpuint(reports.items->len, ==, c->used ? 2 : 1);
	g_assert_cmpuint(reports.unusable->len, ==, c->used ? 0 : 1);
	decode_upstreams_clear(&reports);
	object_set_free(set);
}

/* Returns a report of an upstream in failure domain z. */
static struct upstream_report
report(const char *id, bool draining, int64_t start_wall_ms)
{
	return (struct upstream_report){
	    .id = id,
	    .service = "s",
	    .address = "127.0.0.1:1",
	    .failure_domain = "z",
	    .slots = 16,
	    .draining = draining,
	    .start_wall_ms = start_wall_ms,
	};
}

/* Applies a list in which one upstream changed or was removed, or none. */
static void
apply_list(struct fleet *fleet, uint64_t version,
    const struct upstream_report *one, const char *removed, struct timespec now)
{
	const struct upstream_list list = {
	    .version = version,
	    .reports = one,
	    .count = one == NULL ? 0 : 1,
	    .removed = &removed,
	    .removed_count = removed == NULL ? 0 : 1,
	};

	fleet_apply(fleet, &list, now);
}

/* Take-outs and draining make an upstream ineligible; a return, cold. */
static void
test_fleet(void)
{
	struct fleet *fleet = fleet_new();
	struct timespec now = time_from_ms(1000);
	struct upstream_report one = report("a", false, 1);
	const char *domains[] = {"z"};
	struct fleet_upstream *upstream;

	apply_list(fleet, 1, &one, NULL, now);
	upstream = fleet_find(fleet, "a");
	g_assert_true(fleet_upstream_is_eligible(fleet, upstream, now));
	fleet_set_takeouts(fleet, domains, 1, false, now);
	g_assert_false(fleet_upstream_is_eligible(fleet, upstream, now));
	fleet_set_takeouts(fleet, NULL, 0, false, now);
	g_assert_true(fleet_upstream_is_eligible(fleet, upstream, now));
	g_assert_true(time_before(now, upstream->cold_until));
	one.draining = true;
	apply_list(fleet, 2, &one, NULL, now);
	g_assert_false(fleet_upstream_is_eligible(fleet, upstream, now));
	fleet_free(fleet);
}

/*
 * An upstream that is no longer listed stays eligible for a grace period of
 * less than 2 s, after which new requests to it are forbidden. Its record is
 * kept as long as it has requests.
 */
static void
test_unlisted(void)
{
	struct fleet *fleet = fleet_new();
	struct timespec now = time_from_ms(1000);
	struct upstream_report one = report("a", false, 1);
	const char *removed = "a";
	struct fleet_upstream *upstream;

	apply_list(fleet, 1, &one, NULL, now);
	upstream = fleet_find(fleet, "a");
	fleet_add_request(fleet, upstream, now);
	apply_list(fleet, 2, NULL, removed, now);
	g_assert_true(fleet_upstream_is_eligible(fleet, upstream, now));
	now = time_add_ms(now, FLEET_UNLISTED_GRACE_MS);
	g_assert_cmpint(FLEET_UNLISTED_GRACE_MS, <, 2000);
	g_assert_false(fleet_upstream_is_eligible(fleet, upstream, now));
	apply_list(fleet, 3, NULL, NULL, now);
	g_assert_nonnull(fleet_find(fleet, "a"));
	fleet_remove_request(fleet, upstream, now);
	g_assert_null(fleet_find(fleet, "a"));
	fleet_free(fleet);
}

/* A new process with the id of an earlier one does not inherit its failures. */
static void
test_restart(void)
{
	struct fleet *fleet = fleet_new();
	struct timespec now = time_from_ms(1000);
	struct upstream_report one = report("a", false, 1);
	struct fleet_upstream *upstream;

	apply_list(fleet, 1, &one, NULL, now);
	upstream = fleet_find(fleet, "a");
	upstream->process.failures = 3;
	upstream->process.avoid_until = time_add_ms(now, 5000);
	apply_list(fleet, 2, &one, NULL, now);
	g_assert_cmpuint(upstream->process.failures, ==, 3);
	one.start_wall_ms = 2;
	apply_list(fleet, 3, &one, NULL, now);
	g_assert_cmpuint(upstream->process.failures, ==, 0);
	g_assert_false(time_before(now, upstream->process.avoid_until));
	fleet_free(fleet);
}

/* Prefill parts are computed in sequence, from the time they are added. */
static void
test_prefill_until(void)
{
	struct fleet_upstream upstream = {0};
	struct timespec now = time_from_ms(1000);

	g_assert_cmpint(
	    time_to_ms(fleet_upstream_add_prefill(&upstream, 200000, now)), ==,
	    1200);
	g_assert_cmpint(
	    time_to_ms(fleet_upstream_add_prefill(&upstream, 300000, now)), ==,
	    1500);
	now = time_from_ms(9000);
	g_assert_cmpint(
	    time_to_ms(fleet_upstream_add_prefill(&upstream, 1500000, now)), ==,
	    10500);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(route_cases, "/routing_table/route", test_route);
	ADD_CASES(invalid_cases, "/decode/invalid", test_invalid);
	ADD_CASES(upstream_cases, "/decode/upstream", test_upstream);
	g_test_add_func("/decode/all members are decoded", test_members);
	g_test_add_func(
	    "/fleet/an upstream that is draining or taken out is not eligible",
	    test_fleet);
	g_test_add_func(
	    "/fleet/an unlisted upstream stays eligible for the grace period",
	    test_unlisted);
	g_test_add_func(
	    "/fleet/a new process does not inherit an earlier one's failures",
	    test_restart);
	g_test_add_func("/fleet/prefill parts are computed in sequence",
	    test_prefill_until);
	return g_test_run();
}
