/*
 * The election of the platform's watchers: two entries of a failure domain, and
 * others only when those have stopped. Entries use real sockets.
 */
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "fake_store.h"
#include "store/hosts.h"
#include "store/watchers.h"

#define ENTRIES		    4
#define LOOP_ITERATIONS_MAX 100000

static const struct election_case {
	const char *name;
	struct watcher_candidate candidates[4];
	size_t count;
	size_t wanted;
	unsigned int watching; /* expected, of the candidates that answer */
} election_cases[] = {
    {"a single candidate watches", {{.id = "a", .answers = true}}, 1, 2, 1},
    {"two of two candidates watch",
	{{.id = "a", .answers = true}, {.id = "b", .answers = true}}, 2, 2, 2},
    {"two of four candidates watch",
	{{.id = "a", .answers = true}, {.id = "b", .answers = true},
	    {.id = "c", .answers = true}, {.id = "d", .answers = true}},
	4, 2, 2},
    {"candidates that do not answer are skipped",
	{{.id = "a", .answers = false}, {.id = "b", .answers = true},
	    {.id = "c", .answers = false}, {.id = "d", .answers = true}},
	4, 2, 2},
    {"the only candidate that answers watches",
	{{.id = "a", .answers = false}, {.id = "b", .answers = false},
	    {.id = "c", .answers = false}, {.id = "d", .answers = true}},
	4, 2, 1},
};

static void
test_election(gconstpointer data)
{
	const struct election_case *c = data;
	unsigned int watching = 0;

	for (size_t i = 0; i < c->count; i++)
		watching += c->candidates[i].answers &&
		    watchers_is_elected(c->candidates, c->count,
			c->candidates[i].id, c->wanted);
	g_assert_cmpuint(watching, ==, c->watching);
}

/* Hosts with different CPU time, of which the first one rank highest. */
static const struct cpu_case {
	const char *name;
	uint32_t cpu_permille[4];
	bool answers[4];
	size_t watching; /* bits of the candidates that are elected, 2 wanted */
} cpu_cases[] = {
    {"the two with the most CPU time watch", {90, 500, 90, 500},
	{true, true, true, true}, 1 << 1 | 1 << 3},
    {"of equal ones the higher rank watches", {90, 90, 90, 500},
	{true, true, true, true}, 1 << 0 | 1 << 3},
    {"equal ones watch by rank", {90, 90, 90, 90}, {true, true, true, true},
	1 << 0 | 1 << 1},
    {"unknown ones watch by rank", {0, 0, 0, 0}, {true, true, true, true},
	1 << 0 | 1 << 1},
    {"unknown ones come last", {0, 0, 90, 500}, {true, true, true, true},
	1 << 2 | 1 << 3},
    {"one that does not answer is replaced", {90, 500, 90, 500},
	{true, true, true, false}, 1 << 0 | 1 << 1},
};

/* Compares candidates for sorting by descending rank without CPU time. */
static int
compare_elected(const void *a, const void *b)
{
	const struct watcher_candidate pair[] = {
	    *(const struct watcher_candidate *)a,
	    *(const struct watcher_candidate *)b};

	return watchers_is_elected(pair, G_N_ELEMENTS(pair), pair[0].id, 1) ? -1
									    : 1;
}

static void
test_cpu(gconstpointer data)
{
	const struct cpu_case *c = data;
	struct watcher_candidate candidates[] = {{.id = "a", .answers = true},
	    {.id = "b", .answers = true}, {.id = "c", .answers = true},
	    {.id = "d", .answers = true}};
	size_t watching = 0;

	qsort(candidates, G_N_ELEMENTS(candidates), sizeof(candidates[0]),
	    compare_elected);
	for (size_t i = 0; i < G_N_ELEMENTS(candidates); i++) {
		candidates[i].cpu_permille = c->cpu_permille[i];
		candidates[i].answers = c->answers[i];
	}
	for (size_t i = 0; i < G_N_ELEMENTS(candidates); i++) {
		if (candidates[i].answers &&
		    watchers_is_preferred(candidates, G_N_ELEMENTS(candidates),
			&candidates[i], 2))
			watching |= (size_t)1 << i;
	}
	g_assert_cmpuint(watching, ==, c->watching);
}

static const struct list_case {
	const char *name;
	const char *text;
	int count; /* -1 if it is malformed */
} list_cases[] = {
    {"an empty list", "{\"hosts\":[]}", 0},
    {"a host",
	"{\"hosts\":[{\"id\":\"a\",\"address\":\"1.2.3.4:5\",\"role\":"
	"\"entry\",\"failure_domain\":\"x\",\"state\":\"leaving\"}]}",
	1},
    {"no hosts at all", "{}", -1},
    {"a host without an address",
	"{\"hosts\":[{\"id\":\"a\",\"role\":\"entry\","
	"\"failure_domain\":\"x\",\"state\":\"live\"}]}",
	-1},
    {"no JSON", "<html>", -1},
};

static void
test_list(gconstpointer data)
{
	const struct list_case *c = data;
	g_autoptr(GError) error = NULL;
	g_autoptr(GPtrArray) list = hosts_parse(
	    (const uint8_t *)c->text, strlen(c->text), &error);

	g_assert_cmpint(list != NULL ? (int)list->len : -1, ==, c->count);
	if (list == NULL)
		g_assert_error(error, HOSTS_ERROR, HOSTS_ERROR_MALFORMED);
}

static const struct update_case {
	const char *name;
	uint64_t previous_ms;
	uint64_t now_ms;
	size_t length;
	bool allowed;
} update_cases[] = {
    {"the first list is sent at once", 0, 1000000, 120000, true},
    {"a short list is sent soon after the last", 1000000, 1000500, 3000, true},
    {"a long list waits", 1000000, 1010000, 120000, false},
    {"a long list is sent after its minimum interval", 1000000, 1015000, 120000,
	true},
    {"a list from a clock ahead of the local one does not block", 2000000,
	1000000, 120000, true},
};

static void
test_update_interval(gconstpointer data)
{
	const struct update_case *c = data;

	g_assert_cmpint(hosts_may_update(c->previous_ms, c->now_ms, c->length),
	    ==, c->allowed);
}

struct entry {
	struct link_identity identity;
	char *process;
	char *address;
	struct mesh *mesh;
	struct documents *documents;
	struct hosts *hosts;
	struct watchers *watchers; /* NULL when stopped */
};

struct fixture {
	struct ev_loop *loop;
	GRand *random;
	struct store
	    *store; /* never responds, as fake_store_run() is not called */
	struct http_client *http;
	struct entry entries[ENTRIES];
	GString *list;
};

static void
entry_start(struct fixture *fixture, size_t i)
{
	struct entry *entry = &fixture->entries[i];
	struct mesh_settings settings = {
	    .identity = &entry->identity, .listen = "127.0.0.1:0"};

	entry->process = g_strdup_printf("entry-%zu", i);
	entry->identity = (struct link_identity){.process = entry->process,
	    .role = ROLE_ENTRY,
	    .failure_domain = "x",
	    .address = ""};
	entry->mesh = mesh_new(fixture->loop, clock_system(), &settings, NULL);
	entry->address = g_strdup_printf(
	    "127.0.0.1:%d", mesh_port(entry->mesh));
	entry->identity.address = entry->address;
	entry->documents = documents_new(
	    fixture->loop, clock_system(), entry->mesh, &entry->identity);
	entry->hosts = hosts_new(fixture->loop, clock_system(), fixture->http,
	    entry->documents, "http://127.0.0.1:1");
	entry->watchers = watchers_new(fixture->loop, clock_system(),
	    fixture->store, entry->mesh, entry->documents, entry->hosts,
	    &entry->identity);
	g_string_append_printf(fixture->list,
	    "%s{\"id\":\"%s\",\"address\":\"%s\",\"role\":\"entry\","
	    "\"failure_domain\":\"x\",\"state\":\"live\"}",
	    i > 0 ? "," : "", entry->process, entry->address);
}

static void
entry_stop(struct entry *entry)
{
	if (entry->watchers == NULL)
		return;
	watchers_free(entry->watchers);
	entry->watchers = NULL;
	hosts_free(entry->hosts);
	documents_free(entry->documents);
	mesh_free(entry->mesh);
	g_free(entry->address);
	g_free(entry->process);
}

static unsigned int
count_watching(const struct fixture *fixture)
{
	unsigned int count = 0;

	for (size_t i = 0; i < ENTRIES; i++)
		count += fixture->entries[i].watchers != NULL &&
		    watchers_is_watching(fixture->entries[i].watchers);
	return count;
}

static unsigned int
count_leaders(const struct fixture *fixture)
{
	unsigned int count = 0;

	for (size_t i = 0; i < ENTRIES; i++)
		count += fixture->entries[i].watchers != NULL &&
		    watchers_is_leader(fixture->entries[i].watchers);
	return count;
}

static void
run_until_watching(struct fixture *fixture, unsigned int wanted)
{
	for (int i = 0;
	     count_watching(fixture) != wanted && i < LOOP_ITERATIONS_MAX; i++)
		ev_run(fixture->loop, EVRUN_ONCE);
	g_assert_cmpuint(count_watching(fixture), ==, wanted);
}

/*
 * All entries watch while no list of hosts is known; then two, and two others
 * when those stop.
 */
static void
test_takeover(void)
{
	struct fixture fixture = {.loop = ev_loop_new(0)};

	fixture.random = g_rand_new_with_seed(1);
	fixture.store = fake_store_new(clock_system(), fixture.random);
	fixture.http = http_client_new(fixture.loop, NULL);
	fixture.list = g_string_new("{\"hosts\":[");
	for (size_t i = 0; i < ENTRIES; i++)
		entry_start(&fixture, i);
	g_string_append(fixture.list, "]}");
	run_until_watching(&fixture, ENTRIES);
	for (size_t i = 0; i < ENTRIES; i++)
		documents_update(fixture.entries[i].documents, DOCUMENT_HOSTS,
		    1, (const uint8_t *)fixture.list->str, fixture.list->len);
	run_until_watching(&fixture, WATCHERS_PER_DOMAIN);
	for (int i = 0; count_leaders(&fixture) != 1 && i < LOOP_ITERATIONS_MAX;
	     i++)
		ev_run(fixture.loop, EVRUN_ONCE);
	g_assert_cmpuint(count_leaders(&fixture), ==, 1);
	for (size_t i = 0; i < ENTRIES; i++) {
		if (watchers_is_watching(fixture.entries[i].watchers))
			entry_stop(&fixture.entries[i]);
	}
	g_assert_cmpuint(count_watching(&fixture), ==, 0);
	run_until_watching(&fixture, 2);
	for (size_t i = 0; i < ENTRIES; i++)
		entry_stop(&fixture.entries[i]);
	http_client_free(fixture.http);
	store_free(fixture.store);
	g_string_free(fixture.list, TRUE);
	g_rand_free(fixture.random);
	ev_loop_destroy(fixture.loop);
}

#define ADD(table, prefix, test)                                     \
	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {           \
		g_autofree char *path = g_strconcat(                 \
		    "/watchers/" prefix "/", (table)[i].name, NULL); \
		g_test_add_data_func(path, &(table)[i], test);       \
	}

/* A host of an unknown role is left out; the others hold. */
static void
test_unknown_role(void)
{
	static const char text[] =
	    "{\"hosts\":[{\"id\":\"x\",\"address\":\"127.0.0.1:1\","
	    "\"role\":\"odd\",\"failure_domain\":\"a\",\"state\":\"live\"},"
	    "{\"id\":\"e\",\"address\":\"127.0.0.1:2\","
	    "\"role\":\"entry\",\"failure_domain\":\"a\",\"state\":\"live\"}]}";
	g_autoptr(GError) error = NULL;
	g_autoptr(GPtrArray)
	    list = hosts_parse((const uint8_t *)text, sizeof(text) - 1, &error);

	g_assert_no_error(error);
	g_assert_cmpuint(list->len, ==, 1);
	g_assert_cmpstr(((const struct host *)list->pdata[0])->id, ==, "e");
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	ADD(election_cases, "election", test_election);
	ADD(cpu_cases, "cpu", test_cpu);
	ADD(list_cases, "list", test_list);
	ADD(update_cases, "update", test_update_interval);
	g_test_add_func("/watchers/two others watch when the two watchers stop",
	    test_takeover);
	g_test_add_func("/watchers/a host of an unknown role is left out",
	    test_unknown_role);
	return g_test_run();
}
