/*
 * The configuration at many processes, which take it from each other in any
 * order. Load pattern: a storm of changes that take back what they did, of
 * which the processes that watch the store see different steps. Guards against
 * removed routes and keys that stay at some processes.
 */
#include <string.h>

#include <glib.h>

#include "config_reader.h"

#define ROUNDS	       300
#define HOSTS	       3
#define PREFIXES       4
#define KEYS	       5
#define TEXT_BYTES     64
#define WATCHERS       3
#define COPIES	       8
#define SENDS_A_ROUND  12
#define SKIPPED_ONE_IN 3
#define EMPTY	       "{\"Version\":0,\"Routes\":[],\"Services\":[]}"

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
		g_assert_cmpstr(
		    copy_key_owner(a, text), ==, copy_key_owner(b, text));
	}
	g_assert_cmpuint(
	    a->table->organisation_count, ==, b->table->organisation_count);
	g_assert_cmpint(a->table->needs_key, ==, b->table->needs_key);
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

	copy_init(&watcher);
	copy_init(&peer);
	copy_init(&stray);
	g_assert_true(copy_apply(&stray, 1, EMPTY));
	for (int round = 1; round <= ROUNDS; round++) {
		g_autofree char *spec = random_spec(round);
		struct copy fresh;

		copy_init(&fresh);
		g_assert_true(copy_apply(&fresh, 1, spec));
		g_assert_true(copy_apply(&watcher, (uint64_t)round, spec));
		assert_same_answers(&watcher, &fresh);
		if (g_test_rand_int_range(0, 3) > 0) {
			g_assert_true(
			    copy_send_changes(&watcher, &peer, 0, &base));
			assert_same_answers(&peer, &fresh);
		}
		if (g_test_rand_int_range(0, 3) > 0) {
			g_assert_true(
			    copy_send_repair(&watcher, &stray, &elements));
			assert_same_answers(&stray, &fresh);
		}
		copy_clear(&fresh);
	}
	copy_clear(&watcher);
	copy_clear(&peer);
	copy_clear(&stray);
}

/*
 * Gives each watcher most of the changes, and lets the copies take them from
 * each other. A copy that has a version answers as one that was read from it.
 */
static void
test_spread(void)
{
	struct copy copies[COPIES];
	struct copy fresh[ROUNDS + 1];
	unsigned int sent = 0;
	unsigned int repaired = 0;

	for (size_t i = 0; i < COPIES; i++)
		copy_init(&copies[i]);
	copy_init(&fresh[0]);
	for (int round = 1; round <= ROUNDS; round++) {
		g_autofree char *spec = random_spec(round);

		copy_init(&fresh[round]);
		g_assert_true(copy_apply(&fresh[round], 1, spec));
		for (size_t i = 0; i < WATCHERS; i++) {
			if (g_test_rand_int_range(0, SKIPPED_ONE_IN) > 0)
				g_assert_true(copy_apply(
				    &copies[i], (uint64_t)round, spec));
		}
		for (int i = 0; i < SENDS_A_ROUND; i++) {
			struct copy
			    *from = &copies[g_test_rand_int_range(0, COPIES)];
			struct copy
			    *to = &copies[g_test_rand_int_range(0, COPIES)];
			uint64_t version = config_items_version(from->items);
			uint64_t base;
			size_t elements;

			if (version <= config_items_version(to->items))
				continue;
			sent++;
			if (!copy_send_changes(from, to, 0, &base)) {
				repaired++;
				g_assert_true(
				    copy_send_repair(from, to, &elements));
			}
			assert_same_answers(to, &fresh[version]);
		}
	}
	g_test_message("%u updates, %u repaired", sent, repaired);
	g_assert_cmpuint(sent, >, ROUNDS);
	for (int round = 0; round <= ROUNDS; round++)
		copy_clear(&fresh[round]);
	for (size_t i = 0; i < COPIES; i++)
		copy_clear(&copies[i]);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config_spread/a table changed in place answers like "
			"a new one",
	    test_random);
	g_test_add_func("/config_spread/copies that see different changes "
			"answer alike",
	    test_spread);
	return g_test_run();
}
