/*
 * Changes of the configuration that arrive faster than they are applied. Guards
 * against changes that wait without end, that go back, and that are visible in
 * part.
 */
#include <string.h>
#include <time.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/metrics.h"
#include "cases.h"
#include "gateway/routing_update.h"
#include "log_capture.h"

#define ROUTES	     200
#define CHANGES	     30
#define VERSIONS_MAX 64

/* A clock that goes on with each question, so that all slices are short. */
struct stepping_clock {
	struct clock clock;
	int64_t now_ms;
};

struct test {
	struct ev_loop *loop;
	struct stepping_clock clock;
	struct routing_update *update;
	uint64_t versions[VERSIONS_MAX]; /* in the order of their coming */
	size_t count;
	unsigned int failures;
	bool had_all; /* of the last failure */
};

static struct timespec
tell_time(struct clock *clock)
{
	struct stepping_clock *stepping = (struct stepping_clock *)clock;

	return time_from_ms(stepping->now_ms++);
}

static const struct clock_ops stepping_ops = {
    .monotonic = tell_time, .wall = tell_time};

static void
on_applied(void *data, uint64_t version)
{
	struct test *t = data;

	g_assert_cmpuint(t->count, <, VERSIONS_MAX);
	t->versions[t->count++] = version;
}

static void
on_failed(void *data, uint64_t version, bool had_all)
{
	struct test *t = data;

	t->failures++;
	t->had_all = had_all;
}

static const struct routing_update_ops ops = {
    .applied = on_applied, .failed = on_failed};

static void
set_up(struct test *t)
{
	*t = (struct test){.loop = ev_loop_new(EVFLAG_AUTO),
	    .clock = {.clock = {&stepping_ops}}};
	t->update = routing_update_new(t->loop, &t->clock.clock, &ops, t);
}

static void
tear_down(struct test *t)
{
	routing_update_free(t->update);
	ev_loop_destroy(t->loop);
}

/*
 * Adds an object, as the store has it in this version, whose routes all have
 * the name of the version in which it last changed.
 */
static void
add_object_at(struct test *t, int version, uint64_t read_at)
{
	json_t *routes = json_array();
	json_t *object;

	for (int i = 0; i < ROUTES; i++) {
		g_autofree char *prefix = g_strdup_printf("/%d/", i);
		g_autofree char *name = g_strdup_printf("%d", version);

		json_array_append_new(routes,
		    json_pack("{s:s, s:s, s:s, s:s}", "Name", name, "Host", "h",
			"PathPrefix", prefix, "Kind", "idempotent"));
	}
	object = json_pack("{s:{s:s, s:i}, s:{s:i, s:o, s:[]}}", "Metadata",
	    "Name", "main", "Revision", version, "Spec", "Version", version,
	    "Routes", routes, "Services");
	routing_update_add_object(t->update, object, read_at);
	json_decref(object);
}

/* Adds such an object, as the store has it when it changes. */
static void
add_object(struct test *t, int version)
{
	add_object_at(t, version, (uint64_t)version);
}

/* All routes are those of the configuration in force. */
static void
check_routes(const struct test *t)
{
	const struct routing_table *table = routing_update_table(t->update);
	char name[16];

	if (table == NULL)
		return;
	g_snprintf(name, sizeof(name), "%d", (int)table->version);
	for (int i = 0; i < ROUTES; i++) {
		g_autofree char *path = g_strdup_printf("/%d/x", i);
		const struct route *route = routing_table_find_route(
		    table, "h", path);

		g_assert_nonnull(route);
		g_assert_cmpstr(route->name, ==, name);
	}
}

/* Runs the loop until all changes are applied. */
static void
finish(struct test *t)
{
	while (routing_update_is_busy(t->update)) {
		ev_run(t->loop, EVRUN_ONCE);
		check_routes(t);
	}
}

/* Of the changes that arrive during another one, only the newest is applied. */
static void
test_merge(void)
{
	struct test t;

	set_up(&t);
	for (int version = 1; version <= 4; version++)
		add_object(&t, version);
	g_assert_true(routing_update_is_busy(t.update));
	finish(&t);
	g_assert_cmpuint(t.count, ==, 2);
	g_assert_cmpuint(t.versions[0], ==, 1);
	g_assert_cmpuint(t.versions[1], ==, 4);
	tear_down(&t);
}

/* An older one that arrives later does not replace the one that waits. */
static void
test_order(void)
{
	struct test t;

	set_up(&t);
	add_object(&t, 1);
	add_object(&t, 4);
	add_object(&t, 3);
	finish(&t);
	g_assert_cmpuint(t.count, ==, 2);
	g_assert_cmpuint(t.versions[1], ==, 4);
	add_object(&t, 2);
	finish(&t);
	g_assert_cmpuint(t.count, ==, 2);
	tear_down(&t);
}

/*
 * While changes arrive in every iteration of the loop, one after the other
 * comes into force, and versions only rise.
 */
static void
test_flood(void)
{
	struct test t;
	int version = 0;

	set_up(&t);
	while (t.count < CHANGES) {
		add_object(&t, ++version);
		ev_run(t.loop, EVRUN_NOWAIT);
	}
	finish(&t);
	for (size_t i = 1; i < t.count; i++)
		g_assert_cmpuint(t.versions[i], >, t.versions[i - 1]);
	g_assert_cmpuint(t.versions[t.count - 1], ==, (uint64_t)version);
	tear_down(&t);
}

/* What other processes are sent never has a part of a change. */
static void
test_encode(void)
{
	struct test t;
	uint64_t base;
	GString *text;

	set_up(&t);
	g_assert_null(routing_update_encode(t.update, 0, &base));
	add_object(&t, 1);
	g_assert_null(routing_update_encode(t.update, 0, &base));
	finish(&t);
	text = routing_update_encode(t.update, 0, &base);
	g_assert_nonnull(text);
	g_string_free(text, TRUE);
	add_object(&t, 2);
	g_assert_null(routing_update_encode(t.update, 1, &base));
	g_assert_null(routing_update_encode_object(t.update));
	finish(&t);
	tear_down(&t);
}

/*
 * After a change that fails half-way, the table in force stays, and the next
 * whole configuration replaces it.
 */
static void
test_failure(void)
{
	static const char broken[] =
	    "[{\"Object\":{\"Metadata\":{\"Name\":\"route h /0/\"},\"Spec\":"
	    "{\"Host\":\"h\",\"PathPrefix\":\"/0/\",\"Name\":\"x\"}}},"
	    "{\"Object\":{\"Metadata\":{\"Name\":\"route h /1/\"},\"Spec\":"
	    "{\"Host\":\"h\"}}},"
	    "{\"Object\":{\"Metadata\":{\"Name\":\"version\"},\"Spec\":"
	    "{\"Version\":2,\"Items\":200,\"Sum\":\"0\"}}}]";
	struct test t;
	uint64_t base;

	set_up(&t);
	add_object(&t, 1);
	finish(&t);
	g_assert_true(routing_update_add_items(
	    t.update, 1, 2, (const uint8_t *)broken, strlen(broken)));
	finish(&t);
	g_assert_cmpuint(t.failures, ==, 1);
	g_assert_false(t.had_all);
	g_assert_cmpuint(routing_update_table(t.update)->version, ==, 1);
	check_routes(&t);
	g_assert_null(routing_update_encode(t.update, 1, &base));
	g_assert_true(routing_update_add_items(
	    t.update, 1, 3, (const uint8_t *)broken, strlen(broken)));
	finish(&t);
	g_assert_cmpuint(t.failures, ==, 2);
	check_routes(&t);
	add_object(&t, 4);
	finish(&t);
	g_assert_cmpuint(routing_update_table(t.update)->version, ==, 4);
	check_routes(&t);
	tear_down(&t);
}

/*
 * Of an object and a peer's update of the same version that both wait, the one
 * that can be used is applied.
 */
static void
test_object_behind_update(void)
{
	static const char text[] =
	    "[{\"Object\":{\"Metadata\":{\"Name\":\"version\"},\"Spec\":"
	    "{\"Version\":3,\"Items\":0,\"Sum\":\"0\"}}}]";
	struct test t;

	set_up(&t);
	add_object(&t, 1);
	finish(&t);
	add_object(&t, 2);
	g_assert_true(routing_update_add_items(
	    t.update, 1, 3, (const uint8_t *)text, strlen(text)));
	add_object(&t, 3);
	finish(&t);
	g_assert_cmpuint(routing_update_table(t.update)->version, ==, 3);
	tear_down(&t);
}

/* Adds an object without routes, as a version of the configuration. */
static void
add_invalid(struct test *t, int version)
{
	json_t *object = json_pack("{s:{s:s, s:i}, s:{s:i}}", "Metadata",
	    "Name", "main", "Revision", version, "Spec", "Version", version);

	routing_update_add_object(t->update, object, (uint64_t)version);
	json_decref(object);
}

/* Adds a peer's changes to a version that is not known here. */
static void
add_unconnected(struct test *t, uint64_t version)
{
	static const char text[] =
	    "[{\"Object\":{\"Metadata\":{\"Name\":\"version\"},\"Spec\":"
	    "{\"Version\":9,\"Items\":0,\"Sum\":\"0\"}}}]";

	routing_update_add_items(t->update, version - 1, version,
	    (const uint8_t *)text, strlen(text));
}

/*
 * A configuration in force is not the newest while another one is applied, and
 * after one that could not be used, until the store or a newer one shows
 * otherwise.
 */
static void
test_behind(void)
{
	struct test t;

	set_up(&t);
	add_object(&t, 3);
	g_assert_true(routing_update_is_behind(t.update));
	finish(&t);
	g_assert_false(routing_update_is_behind(t.update));
	add_object(&t, 2);
	finish(&t);
	g_assert_false(routing_update_is_behind(t.update));
	add_invalid(&t, 4);
	finish(&t);
	g_assert_true(routing_update_has_missed(t.update));
	add_object(&t, 3);
	finish(&t);
	g_assert_true(routing_update_is_behind(t.update));
	add_object(&t, 6);
	finish(&t);
	g_assert_false(routing_update_is_behind(t.update));
	add_unconnected(&t, 9);
	finish(&t);
	g_assert_true(routing_update_has_missed(t.update));
	add_object(&t, 8);
	finish(&t);
	g_assert_true(routing_update_is_behind(t.update));
	add_object(&t, 9);
	finish(&t);
	g_assert_false(routing_update_is_behind(t.update));
	tear_down(&t);
}

#define DROPPED "heatherturn_configuration_changes_dropped "

/* Returns the number of dropped changes of this process. */
static int64_t
dropped_count(void)
{
	g_autoptr(GString) text = g_string_new(NULL);
	const char *line;

	metrics_write(text);
	line = strstr(text->str, "\n" DROPPED);
	return line == NULL
	    ? 0
	    : g_ascii_strtoll(line + strlen("\n" DROPPED), NULL, 10);
}

/* Changes that come after version 4 is in force or waits. */
static const struct dropped_case {
	const char *name;
	bool waits; /* version 4 waits behind another one */
	bool is_object;
	int version;
	bool is_dropped;
} dropped_cases[] = {
    {"an object of the version in force is dropped", false, true, 4, true},
    {"an object of an earlier version is dropped", false, true, 3, true},
    {"an object of a later version is not dropped", false, true, 5, false},
    {"items of the version in force are dropped", false, false, 4, true},
    {"an object of the version that waits is dropped", true, true, 4, true},
    {"an object later than the one that waits is not dropped", true, true, 5,
	false},
};

/* A change that is dropped as not newer is counted and logged. */
static void
test_dropped(gconstpointer data)
{
	const struct dropped_case *c = &dropped_cases[GPOINTER_TO_SIZE(data)];
	struct log_capture capture;
	g_autofree char *log = NULL;
	int64_t before = dropped_count();
	struct test t;
	json_t *line;

	set_up(&t);
	if (c->waits)
		add_object(&t, 1);
	add_object(&t, 4);
	if (!c->waits)
		finish(&t);
	log_capture_start(&capture);
	if (c->is_object)
		add_object(&t, c->version);
	else
		add_unconnected(&t, (uint64_t)c->version);
	finish(&t);
	log = log_capture_read(&capture);
	log_capture_stop(&capture);
	g_assert_cmpint(dropped_count() - before, ==, c->is_dropped);
	line = log_capture_find(
	    log, "configuration change dropped as not newer");
	g_assert_cmpint(line != NULL, ==, c->is_dropped);
	if (c->is_dropped) {
		g_assert_cmpstr(
		    json_string_value(json_object_get(line, "form")), ==,
		    c->is_object ? "object" : "items");
		g_assert_cmpint(
		    json_integer_value(json_object_get(line, "revision")), ==,
		    c->version);
		g_assert_cmpint(
		    json_integer_value(json_object_get(line, "known")), ==, 4);
	}
	json_decref(line);
	tear_down(&t);
}

/*
 * A peer's update that changes no item is used: the peer has the configuration
 * that is in force here, under a later version. If it were refused, the newest
 * configuration would count as outdated until the next change.
 */
static void
test_update_without_changes(void)
{
	struct test t;
	struct test peer;
	g_autoptr(GString) text = NULL;
	uint64_t base;

	set_up(&t);
	set_up(&peer);
	add_object_at(&t, 3, 5);
	finish(&t);
	add_object_at(&peer, 3, 9);
	finish(&peer);
	text = routing_update_encode(peer.update, 5, &base);
	g_assert_cmpuint(base, ==, 5);
	g_assert_true(routing_update_add_items(
	    t.update, base, 9, (const uint8_t *)text->str, text->len));
	finish(&t);
	g_assert_false(routing_update_is_behind(t.update));
	g_assert_cmpuint(t.versions[t.count - 1], ==, 9);
	check_routes(&t);
	tear_down(&peer);
	tear_down(&t);
}

/*
 * A peer has the version between the one in force and an object that could not
 * be used. That object is still the newest, so what the peer's version lacks
 * may exist.
 */
static void
test_missed_object(void)
{
	struct test t;
	struct test peer;
	g_autoptr(GString) text = NULL;
	uint64_t base;

	set_up(&t);
	set_up(&peer);
	add_object(&t, 3);
	finish(&t);
	add_invalid(&t, 5);
	finish(&t);
	g_assert_true(routing_update_is_behind(t.update));
	add_object(&peer, 4);
	finish(&peer);
	text = routing_update_encode(peer.update, 0, &base);
	g_assert_true(routing_update_add_items(
	    t.update, base, 4, (const uint8_t *)text->str, text->len));
	finish(&t);
	g_assert_cmpuint(t.versions[t.count - 1], ==, 4);
	g_assert_true(routing_update_is_behind(t.update));
	tear_down(&peer);
	tear_down(&t);
}

/*
 * A peer of an earlier build gives its configuration the store's revision, here
 * 9, also after it has refused a later object, here 5. The object is then read
 * from the store.
 */
static void
test_raised_version(void)
{
	struct test t;
	struct test peer;
	g_autoptr(GString) text = NULL;
	uint64_t base;

	set_up(&t);
	set_up(&peer);
	add_object(&t, 3);
	finish(&t);
	add_object_at(&peer, 3, 9);
	finish(&peer);
	text = routing_update_encode(peer.update, 3, &base);
	g_assert_true(routing_update_add_items(
	    t.update, base, 9, (const uint8_t *)text->str, text->len));
	finish(&t);
	add_object(&t, 5);
	finish(&t);
	g_assert_true(routing_update_is_behind(t.update) ||
	    routing_update_table(t.update)->version == 5);
	tear_down(&peer);
	tear_down(&t);
}

/*
 * Two gateways have a version that a peer of an earlier build raised, here
 * to 9. Then one reads two changes of the store, the other only the second of
 * them. The word of the second one must not show the first that it has the
 * newest configuration while it has only the first change.
 */
static void
test_raised_twice(void)
{
	struct test t[2];

	for (size_t i = 0; i < G_N_ELEMENTS(t); i++) {
		set_up(&t[i]);
		add_object_at(&t[i], 3, 9);
		finish(&t[i]);
	}
	add_object(&t[0], 5);
	finish(&t[0]);
	add_object(&t[1], 6);
	finish(&t[1]);
	g_assert_cmpuint(routing_update_table(t[0].update)->version, ==, 5);
	g_assert_cmpuint(routing_update_table(t[1].update)->version, ==, 6);
	g_assert_cmpuint(
	    t[0].versions[t[0].count - 1], !=, t[1].versions[t[1].count - 1]);
	for (size_t i = 0; i < G_N_ELEMENTS(t); i++)
		tear_down(&t[i]);
}

/*
 * A gateway has a version that a peer of an earlier build raised, here to 9,
 * and an object of the store at 5 can't be read at all. That object is later
 * than the one in force, so what this one lacks may exist.
 */
static void
test_unreadable_after_raise(void)
{
	struct test t;
	json_t *object = json_pack("{s:{s:s, s:i}, s:[]}", "Metadata", "Name",
	    "main", "Revision", 5, "Spec");

	set_up(&t);
	add_object_at(&t, 3, 9);
	finish(&t);
	routing_update_add_object(t.update, object, 5);
	finish(&t);
	g_assert_true(routing_update_is_behind(t.update));
	json_decref(object);
	tear_down(&t);
}

#define FEW_ORGANISATIONS 500
#define GROWTH		  8
#define KEYS		  2
#define COST_RUNS	  3

/* Adds an object with organisations that no other version has. */
static void
add_organisations(struct test *t, int version, int count)
{
	json_t *organisations = json_array();
	json_t *object;

	for (int i = 0; i < count; i++) {
		g_autofree char *name = g_strdup_printf("%d-%d", version, i);
		json_t *keys = json_array();

		for (int j = 0; j < KEYS; j++)
			json_array_append_new(
			    keys, json_sprintf("key-%d-%d-%d", version, i, j));
		json_array_append_new(organisations,
		    json_pack("{s:s, s:o}", "Name", name, "Keys", keys));
	}
	object = json_pack("{s:{s:s, s:i}, s:{s:i, s:[], s:[], s:o}}",
	    "Metadata", "Name", "main", "Revision", version, "Spec", "Version",
	    version, "Routes", "Services", "Tenants", organisations);
	routing_update_add_object(t->update, object, (uint64_t)version);
	json_decref(object);
}

/* Returns the CPU time of a change that replaces all organisations. */
static int64_t
replacement_cost_us(int count)
{
	struct test t;
	clock_t start;
	clock_t end;

	set_up(&t);
	add_organisations(&t, 1, count);
	while (routing_update_is_busy(t.update))
		ev_run(t.loop, EVRUN_ONCE);
	start = clock();
	add_organisations(&t, 2, count);
	while (routing_update_is_busy(t.update))
		ev_run(t.loop, EVRUN_ONCE);
	end = clock();
	tear_down(&t);
	return (int64_t)(end - start) * G_USEC_PER_SEC / CLOCKS_PER_SEC;
}

/*
 * All organisations of a configuration are replaced. The removal is done at
 * once, so its cost may only be that of a scan: twice its growth is allowed.
 */
static void
test_replacement_cost(void)
{
	int64_t few = INT64_MAX;
	int64_t many = INT64_MAX;

	for (int i = 0; i < COST_RUNS; i++) {
		few = MIN(few, replacement_cost_us(FEW_ORGANISATIONS));
		many = MIN(
		    many, replacement_cost_us(FEW_ORGANISATIONS * GROWTH));
	}
	g_test_message("%d us, %d us", (int)few, (int)many);
	g_assert_cmpint(many, <=, few * GROWTH * 2);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/routing_update/a peer's earlier version does not end "
			"what a refused object showed",
	    test_missed_object);
	g_test_add_func("/routing_update/a peer's raised version does not hide "
			"an object of the store",
	    test_raised_version);
	g_test_add_func("/routing_update/one version has one content after a "
			"peer has raised it",
	    test_raised_twice);
	g_test_add_func(
	    "/routing_update/an object that can't be read counts as "
	    "missed after a peer has raised the version",
	    test_unreadable_after_raise);
	g_test_add_func("/routing_update/the cost of removed organisations "
			"grows with their number",
	    test_replacement_cost);
	g_test_add_func(
	    "/routing_update/of the changes that wait, the newest is applied",
	    test_merge);
	g_test_add_func(
	    "/routing_update/an older change does not replace a newer one",
	    test_order);
	g_test_add_func("/routing_update/changes without end come into force "
			"one after the other",
	    test_flood);
	g_test_add_func(
	    "/routing_update/a part of a change is never sent", test_encode);
	g_test_add_func("/routing_update/a peer's update without changes is "
			"no newer configuration that is missing",
	    test_update_without_changes);
	g_test_add_func("/routing_update/a change that fails half-way leaves "
			"the configuration in force",
	    test_failure);
	g_test_add_func("/routing_update/an object is applied if the update of "
			"its version fails",
	    test_object_behind_update);
	g_test_add_func(
	    "/routing_update/a change that could not be used leaves "
	    "the configuration behind",
	    test_behind);
	ADD_CASES(dropped_cases, "/routing_update", test_dropped);
	return g_test_run();
}
