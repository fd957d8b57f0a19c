/*
 * The configuration at gateways that watch the store and at others, which take
 * it from each other while updates are merged, lost and repaired and processes
 * restart. Guards against gateways that lack a route or key of the version that
 * they have, or still have a removed one.
 */
#include <stdlib.h>
#include <string.h>

#include <ev.h>

#include "cases.h"
#include "gateway/routing_update.h"
#include "platform/config_items.h"
#include "platform/object_set.h"

#define GATEWAYS      5
#define WATCHERS      3
#define STRANGER      (GATEWAYS - 1)
#define HOSTS	      3
#define KEYS	      5
#define PREFIXES      5
#define PREFIX_BYTES  "/a/a/b/b/"
#define STEPS	      120
#define SETTLE_ROUNDS 12
#define SEEDS	      50 /* CONFIG_REPLAY_SEEDS in the environment for others */

struct gateway {
	struct fleet *fleet;
	struct routing_update *update;
	size_t seen; /* configurations that its watch has passed on */
	uint64_t version; /* in force */
	uint64_t rejected; /* it and earlier ones are not requested again */
	bool needs_repair;
};

/* An update on its way. */
struct message {
	size_t to;
	uint64_t base;
	uint64_t version;
	GString *text;
};

struct fleet {
	struct clock clock;
	int64_t now_ms;
	struct ev_loop *loop;
	GRand *random;
	json_t *specs[STEPS + 1];
	uint64_t revisions[STEPS + 1]; /* of these configurations */
	size_t count;
	uint64_t revision; /* of the store */
	struct gateway gateways[GATEWAYS];
	GArray *messages; /* of struct message */
	const char *name;
};

static int
draw(struct fleet *fleet, int below)
{
	return g_rand_int_range(fleet->random, 0, below);
}

/* A clock that goes on with each question, so that changes have many slices. */
static struct timespec
tell_time(struct clock *clock)
{
	return time_from_ms(((struct fleet *)(void *)clock)->now_ms++);
}

static const struct clock_ops clock_ops = {
    .monotonic = tell_time, .wall = tell_time};

/*
 * Returns a configuration from one text: routes as NAME@HOST/PREFIX/=SERVICE or
 * =SERVICE+SERVICE, organisations as NAME:KEY,KEY. Without any organisation it
 * has no list of them.
 */
static json_t *
parse_spec(const char *text)
{
	g_auto(GStrv) words = g_strsplit(text, " ", -1);
	json_t *routes = json_array();
	json_t *spec = json_pack("{s:o, s:[{s:s}, {s:s}]}", "Routes", routes,
	    "Services", "Name", "s", "Name", "t");
	json_t *organisations = NULL;

	for (size_t i = 0; words[i] != NULL; i++) {
		g_auto(GStrv) parts = g_strsplit_set(words[i], "@=:", -1);
		g_auto(GStrv) list = g_strsplit_set(
		    parts[g_strv_length(parts) - 1], "+,", -1);
		const char *path = strchr(words[i], '/');
		json_t *names = json_array();

		for (size_t j = 0; list[j] != NULL; j++)
			json_array_append_new(names,
			    path != NULL ? json_pack("{s:s, s:i}", "Service",
					       list[j], "Weight", 1)
					 : json_string(list[j]));
		if (organisations == NULL && path == NULL) {
			organisations = json_array();
			json_object_set_new(spec, "Tenants", organisations);
		}
		json_array_append_new(path != NULL ? routes : organisations,
		    path != NULL ? json_pack("{s:s, s:s#, s:s, s:s, s:o}",
				       "Name", parts[0], "Host", parts[1],
				       (int)strcspn(parts[1], "/"),
				       "PathPrefix", strchr(parts[1], '/'),
				       "Kind", "idempotent", "Split", names)
				 : json_pack("{s:s, s:o}", "Name", parts[0],
				       "Keys", names));
	}
	return spec;
}

/* Returns a member's text. */
static const char *
text_of(const json_t *object, const char *member)
{
	return json_string_value(json_object_get(object, member));
}

/* Describes the route that a specification has for a host and path. */
static char *
expected_route(const json_t *spec, const char *host, const char *path)
{
	const char *longest = "";
	char *found = NULL;
	json_t *route;
	size_t i;

	json_array_foreach (json_object_get(spec, "Routes"), i, route) {
		const char *prefix = text_of(route, "PathPrefix");
		const json_t *shares = json_object_get(route, "Split");

		if (g_ascii_strcasecmp(text_of(route, "Host"), host) != 0 ||
		    !g_str_has_prefix(path, prefix) ||
		    strlen(prefix) <= strlen(longest))
			continue;
		longest = prefix;
		g_free(found);
		found = g_strdup_printf("%s %d %s", text_of(route, "Name"),
		    (int)json_array_size(shares),
		    text_of(json_array_get(shares, 0), "Service"));
	}
	return found;
}

/* Returns the organisation that a specification gives a key to; or NULL. */
static const char *
expected_owner(const json_t *spec, const char *key)
{
	const char *owner = NULL;
	json_t *organisation, *own;
	size_t i, j;

	json_array_foreach (json_object_get(spec, "Tenants"), i, organisation) {
		json_array_foreach (
		    json_object_get(organisation, "Keys"), j, own) {
			if (strcmp(json_string_value(own), key) == 0)
				owner = text_of(organisation, "Name");
		}
	}
	return owner;
}

/* Fails if a gateway's table is not that of a specification. */
static void
check_table(const struct gateway *gateway, const json_t *spec)
{
	const struct fleet *fleet = gateway->fleet;
	const struct routing_table *table = routing_update_table(
	    gateway->update);
	int at = (int)(gateway - fleet->gateways);

	if (table == NULL)
		g_error("%s, gateway %d has no table", fleet->name, at);
	for (int i = 0; i < HOSTS * PREFIXES; i++) {
		g_autofree char *host = g_strdup_printf("h%d", i / PREFIXES);
		g_autofree char *path = g_strdup_printf(
		    "%.*sx", 1 + 2 * (i % PREFIXES), PREFIX_BYTES);
		const struct route *route = routing_table_find_route(
		    table, host, path);
		g_autofree char *want = expected_route(spec, host, path);
		g_autofree char *has = route == NULL
		    ? NULL
		    : g_strdup_printf("%s %d %s", route->name,
			  (int)route->share_count, route->shares[0].service);

		if (g_strcmp0(want, has) != 0)
			g_error("%s, gateway %d, version %d, %s%s: %s, not %s",
			    fleet->name, at, (int)gateway->version, host, path,
			    has, want);
	}
	for (int i = 0; i < KEYS; i++) {
		g_autofree char *key = g_strdup_printf("k%d", i);
		const char *want = expected_owner(spec, key);
		const struct organisation
		    *has = routing_table_find_organisation(table, key);

		if (g_strcmp0(want, has == NULL ? NULL : has->name) != 0)
			g_error("%s, gateway %d, version %d, %s: %s, not %s",
			    fleet->name, at, (int)gateway->version, key,
			    has == NULL ? "unknown" : has->name, want);
	}
	g_assert_cmpuint(table->organisation_count, ==,
	    json_array_size(json_object_get(spec, "Tenants")));
	g_assert_cmpint(table->needs_key, ==,
	    json_is_array(json_object_get(spec, "Tenants")));
}

/* A gateway's table is that of the version that it says it has. */
static void
on_applied(void *data, uint64_t version)
{
	struct gateway *gateway = data;
	const struct fleet *fleet = gateway->fleet;
	size_t at = fleet->count - 1;

	while (at > 0 && fleet->revisions[at] > version)
		at--;
	gateway->version = version;
	gateway->needs_repair = false;
	check_table(gateway, fleet->specs[at]);
}

static void
on_failed(void *data, uint64_t version, bool had_all)
{
	struct gateway *gateway = data;

	gateway->needs_repair = true;
	if (had_all)
		gateway->rejected = MAX(gateway->rejected, version);
}

static const struct routing_update_ops ops = {
    .applied = on_applied, .failed = on_failed};

/* Starts a gateway that knows nothing; what was sent to it before is lost. */
static void
start_gateway(struct fleet *fleet, size_t at)
{
	struct gateway *gateway = &fleet->gateways[at];

	for (guint i = fleet->messages->len; i > 0; i--) {
		if (g_array_index(fleet->messages, struct message, i - 1).to ==
		    at)
			g_array_remove_index(fleet->messages, i - 1);
	}
	routing_update_free(gateway->update);
	*gateway = (struct gateway){.fleet = fleet};
	gateway->update = routing_update_new(
	    fleet->loop, &fleet->clock, &ops, gateway);
}

static void
clear_message(void *data)
{
	g_string_free(((struct message *)data)->text, TRUE);
}

static void
set_up(struct fleet *fleet, const char *name, uint32_t seed)
{
	*fleet = (struct fleet){.clock = {&clock_ops},
	    .loop = ev_loop_new(EVFLAG_AUTO),
	    .random = g_rand_new_with_seed(seed),
	    .messages = g_array_new(FALSE, FALSE, sizeof(struct message)),
	    .revision = 1,
	    .name = name};
	g_array_set_clear_func(fleet->messages, clear_message);
	for (size_t i = 0; i < GATEWAYS; i++)
		start_gateway(fleet, i);
}

static void
tear_down(struct fleet *fleet)
{
	for (size_t i = 0; i < GATEWAYS; i++)
		routing_update_free(fleet->gateways[i].update);
	for (size_t i = 0; i < fleet->count; i++)
		json_decref(fleet->specs[i]);
	g_array_unref(fleet->messages);
	g_rand_free(fleet->random);
	ev_loop_destroy(fleet->loop);
}

/* The operators write a configuration. */
static void
write_config(struct fleet *fleet, json_t *spec)
{
	json_object_set_new(
	    spec, "Version", json_integer((json_int_t)fleet->count * 3));
	fleet->specs[fleet->count] = spec;
	fleet->revisions[fleet->count++] = ++fleet->revision;
}

/* A call of a watcher returns with the newest object, if there is one. */
static void
watch(struct fleet *fleet, size_t at)
{
	struct gateway *gateway = &fleet->gateways[at];
	json_t *object;

	if (gateway->seen == fleet->count)
		return;
	gateway->seen = fleet->count;
	object = json_pack("{s:{s:s, s:I}, s:o}", "Metadata", "Name", "main",
	    "Revision", (json_int_t)fleet->revisions[fleet->count - 1], "Spec",
	    json_deep_copy(fleet->specs[fleet->count - 1]));
	routing_update_add_object(gateway->update, object,
	    object_last_change(object, fleet->revision));
	json_decref(object);
}

/* A gateway requests what it lacks of a newer version of another one. */
static void
pull(struct fleet *fleet, size_t from, size_t to)
{
	const struct routing_update *source = fleet->gateways[from].update;
	const struct gateway *gateway = &fleet->gateways[to];
	struct message message = {.to = to,
	    .base = gateway->version,
	    .version = fleet->gateways[from].version};
	uint64_t sums[CONFIG_ITEMS_BUCKETS];

	if (message.version <= MAX(gateway->version, gateway->rejected))
		return;
	message.text = gateway->needs_repair && gateway->version > 0
	    ? routing_update_encode_repair(
		  source, sums, routing_update_describe(gateway->update, sums))
	    : routing_update_encode(source, gateway->version, &message.base);
	if (message.text != NULL)
		g_array_append_val(fleet->messages, message);
}

/* Delivers one of the messages. */
static void
deliver(struct fleet *fleet, guint at)
{
	const struct message *message = &g_array_index(
	    fleet->messages, struct message, at);
	struct gateway *gateway = &fleet->gateways[message->to];

	if (message->version > gateway->version &&
	    !routing_update_add_items(gateway->update, message->base,
		message->version, (const uint8_t *)message->text->str,
		message->text->len))
		gateway->rejected = MAX(gateway->rejected, message->version);
	g_array_remove_index(fleet->messages, at);
}

/* Lets all gateways finish what they apply. */
static void
finish(struct fleet *fleet)
{
	for (size_t i = 0; i < GATEWAYS; i++) {
		while (routing_update_is_busy(fleet->gateways[i].update))
			ev_run(fleet->loop, EVRUN_ONCE);
	}
}

/* One gateway takes what it lacks from another one. */
static void
take(struct fleet *fleet, size_t from, size_t to)
{
	pull(fleet, from, to);
	while (fleet->messages->len > 0)
		deliver(fleet, 0);
	finish(fleet);
}

/* Lets versions spread; all gateways then have the newest, and know it. */
static void
check_all(struct fleet *fleet)
{
	finish(fleet);
	for (int i = 0; i < SETTLE_ROUNDS * GATEWAYS; i++)
		take(
		    fleet, (size_t)draw(fleet, GATEWAYS), (size_t)i % GATEWAYS);
	for (size_t i = 0; i < GATEWAYS; i++) {
		check_table(
		    &fleet->gateways[i], fleet->specs[fleet->count - 1]);
		if (routing_update_is_behind(fleet->gateways[i].update))
			g_error("%s, gateway %d takes itself for outdated",
			    fleet->name, (int)i);
	}
}

/* Returns a random configuration with few names, so that many collide. */
static json_t *
random_spec(struct fleet *fleet)
{
	GString *text = g_string_new("r@h0/=s");
	json_t *spec;

	for (int i = draw(fleet, 9); i > 0; i--)
		g_string_append_printf(text, " r%d@%c%d%.*s=%s", draw(fleet, 9),
		    draw(fleet, 5) == 0 ? 'H' : 'h', draw(fleet, HOSTS),
		    1 + 2 * draw(fleet, PREFIXES), PREFIX_BYTES,
		    draw(fleet, 2) == 0 ? "s" : "t+s");
	g_string_append(text, " o:k");
	for (int i = draw(fleet, 5); i > 0; i--)
		g_string_append_printf(text, " o%d:k%d,k%d", draw(fleet, 4),
		    draw(fleet, KEYS), draw(fleet, KEYS));
	spec = parse_spec(text->str);
	g_string_free(text, TRUE);
	return spec;
}

/* Does something at random. */
static void
step(struct fleet *fleet)
{
	size_t at = (size_t)draw(fleet, GATEWAYS);
	int message = draw(fleet, (int)fleet->messages->len + 1);
	int what = draw(fleet, 100);

	if (what < 12)
		write_config(fleet,
		    draw(fleet, 4) == 0 && fleet->count > 1
			? json_deep_copy(fleet->specs[fleet->count - 2])
			: random_spec(fleet));
	else if (what < 16)
		fleet->revision += (uint64_t)draw(fleet, 5);
	else if (what < 36)
		watch(fleet, at % WATCHERS);
	else if (what < 62)
		pull(fleet, (size_t)draw(fleet, GATEWAYS), at);
	else if (what < 84 && message > 0)
		deliver(fleet, (guint)message - 1);
	else if (what < 87 && message > 0)
		g_array_remove_index(fleet->messages, (guint)message - 1);
	else if (what == 99)
		start_gateway(fleet, at);
	else
		ev_run(fleet->loop, EVRUN_NOWAIT);
}

/* Runs one seed. */
static void
run_seed(uint32_t seed)
{
	g_autofree char *name = g_strdup_printf("seed %u", seed);
	struct fleet fleet;

	set_up(&fleet, name, seed);
	write_config(&fleet, random_spec(&fleet));
	for (int i = 1; i < STEPS; i++)
		step(&fleet);
	for (size_t i = 0; i < WATCHERS; i++)
		watch(&fleet, i);
	check_all(&fleet);
	tear_down(&fleet);
}

/* Runs the seeds from CONFIG_REPLAY_FIRST on. */
static void
test_seeds(void)
{
	const char *count = g_getenv("CONFIG_REPLAY_SEEDS");
	const char *first = g_getenv("CONFIG_REPLAY_FIRST");

	for (int i = 0; i < (count == NULL ? SEEDS : atoi(count)); i++)
		run_seed((uint32_t)(i + (first == NULL ? 1 : atoi(first))));
}

/* Versions that operators write one after the other. */
static const struct form_case {
	const char *name;
	const char *versions[6];
} forms[] = {
    {"a route moves to another service and back",
	{"r1@h0/a/=s", "r1@h0/a/=t", "r1@h0/a/=s"}},
    {"a route is split and joined again",
	{"r1@h0/a/=s", "r1@h0/a/=s+t", "r1@h0/a/=t"}},
    {"a longer prefix inside a shorter one comes and goes",
	{"r1@h0/=s", "r1@h0/=s r2@h0/a/=t", "r1@h0/=s r3@h0/a/a/=t",
	    "r1@h0/=s"}},
    {"a shorter prefix around a longer one comes and goes",
	{"r1@h0/=s r2@h0/a/=t", "r2@h0/a/=t", "r2@h0/a/=t r3@h0/=s"}},
    {"a route gets another name", {"r1@h0/a/=s", "r2@h0/a/=s", "r1@h0/a/=s"}},
    {"two routes swap their names",
	{"r1@h0/a/=s r2@h1/a/=s", "r2@h0/a/=s r1@h1/a/=s"}},
    {"routes come in another order",
	{"r1@h0/a/=s r2@h0/a/a/=t r3@h1/=s", "r3@h1/=s r2@h0/a/a/=t r1@h0/a/=s",
	    "r2@h0/a/a/=t r1@h0/a/=s"}},
    {"of two routes with a host and prefix the first or second goes",
	{"r1@h0/a/=s r2@h0/a/=t", "r2@h0/a/=t r1@h0/a/=s", "r1@h0/a/=s",
	    "r1@h0/a/=s r2@h0/a/=t", "r2@h0/a/=t"}},
    {"a host is written in other case",
	{"r1@h0/a/=s", "r1@H0/a/=s", "r1@H0/a/=t r2@h0/a/=s", "r2@h0/a/=s"}},
    {"all routes go and come back",
	{"r1@h0/=s r2@h0/a/=s o1:k1", "o1:k1", "r1@h0/=s r2@h0/a/=s o1:k1"}},
    {"a key moves to another organisation and back",
	{"o1:k1,k2 o2:k3", "o1:k2 o2:k3,k1", "o1:k1,k2 o2:k3"}},
    {"two organisations swap their keys",
	{"o1:k1 o2:k2", "o1:k2 o2:k1", "o1:k1 o2:k2"}},
    {"a key is in two organisations, of which one loses it",
	{"o1:k1 o2:k1,k2", "o1:k1 o2:k2", "o1:k1 o2:k1,k2", "o1:k3 o2:k1,k2"}},
    {"two organisations with a key in common change places",
	{"o1:k1 o2:k1", "o2:k1 o1:k1", "o1:k1 o2:k1", "o2:k1"}},
    {"an organisation gets another name and keeps its keys",
	{"o1:k1,k2", "o2:k1,k2", "o2:k1 o3:k2"}},
    {"two organisations with one name change places",
	{"o1:k1 o1:k2", "o1:k2 o1:k1", "o1:k1"}},
    {"organisations come after the first versions",
	{"r1@h0/=s", "r1@h0/=s r2@h0/a/=t", "r1@h0/=s o1:k1",
	    "r1@h0/=s o1:k2"}},
};

/*
 * Each version is right at a watcher, at one that sees every other version, at
 * the peers of both, and at a gateway that has just started.
 */
static void
test_form(gconstpointer data)
{
	const struct form_case *c = &forms[GPOINTER_TO_SIZE(data)];
	struct fleet fleet;

	set_up(&fleet, c->name, 1);
	for (size_t i = 0; i < 6 && c->versions[i] != NULL; i++) {
		write_config(&fleet, parse_spec(c->versions[i]));
		watch(&fleet, 0);
		if (i % 2 == 0)
			watch(&fleet, 1);
		start_gateway(&fleet, STRANGER);
		check_all(&fleet);
	}
	tear_down(&fleet);
}

/*
 * A key moves to another organisation and back while two watchers see different
 * steps. A peer gets the move from one that left out the step before, and the
 * way back from the other one, as a repair.
 */
static void
test_key_repaired(void)
{
	struct fleet fleet;

	set_up(&fleet, "a key that comes back", 1);
	write_config(&fleet, parse_spec("o1:k2 o2:k3"));
	watch(&fleet, 0);
	watch(&fleet, 1);
	write_config(&fleet, parse_spec("o1:k1,k2 o2:k3"));
	watch(&fleet, 0);
	finish(&fleet);
	take(&fleet, 0, STRANGER);
	write_config(&fleet, parse_spec("o1:k2 o2:k1,k3"));
	watch(&fleet, 1);
	finish(&fleet);
	take(&fleet, 1, STRANGER);
	g_assert_true(fleet.gateways[STRANGER].needs_repair);
	write_config(&fleet, parse_spec("o1:k1,k2 o2:k3"));
	watch(&fleet, 0);
	finish(&fleet);
	take(&fleet, 0, STRANGER);
	check_all(&fleet);
	tear_down(&fleet);
}

/*
 * A watcher can't use the newest version, which has no routes. Another gateway
 * that takes its items must not believe that they are that version.
 */
static void
test_refused(void)
{
	struct fleet fleet;
	uint64_t refused;

	set_up(&fleet, "a version that can't be used", 1);
	write_config(&fleet, parse_spec("r1@h0/=s o1:k1"));
	watch(&fleet, 0);
	finish(&fleet);
	write_config(&fleet, json_object());
	refused = fleet.revision++;
	watch(&fleet, 0);
	finish(&fleet);
	json_decref(fleet.specs[--fleet.count]);
	take(&fleet, 0, STRANGER);
	g_assert_cmpuint(fleet.gateways[STRANGER].version, <, refused);
	tear_down(&fleet);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(forms, "/config_replay/form", test_form);
	g_test_add_func("/config_replay/a key that moves and comes back is "
			"found after a repair",
	    test_key_repaired);
	g_test_add_func("/config_replay/a version that can't be used is not "
			"believed to be in force",
	    test_refused);
	g_test_add_func("/config_replay/random changes, orders and faults end "
			"with the newest configuration everywhere",
	    test_seeds);
	return g_test_run();
}
