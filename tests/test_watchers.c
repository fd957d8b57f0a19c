/*
 * Who watches the platform: two entries of a failure domain, others when those
 * are gone, and nobody else. Entries are meshes of their own on real sockets.
 */
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "fake_store.h"
#include "store/hosts.h"
#include "store/watchers.h"

#define ENTRIES	  4
#define TURNS_MAX 100000

static const struct rank_case {
	const char *name;
	struct watcher_candidate candidates[4];
	size_t count;
	size_t wanted;
	unsigned int watching; /* of the candidates that answer */
} rank_cases[] = {
    {"nobody else is known", {{"a", true}}, 1, 2, 1},
    {"two of two watch", {{"a", true}, {"b", true}}, 2, 2, 2},
    {"two of four watch", {{"a", true}, {"b", true}, {"c", true}, {"d", true}},
	4, 2, 2},
    {"those that do not answer are passed over",
	{{"a", false}, {"b", true}, {"c", false}, {"d", true}}, 4, 2, 2},
    {"one of one that answers",
	{{"a", false}, {"b", false}, {"c", false}, {"d", true}}, 4, 2, 1},
};

static void
test_rank(gconstpointer data)
{
	const struct rank_case *c = data;
	unsigned int watching = 0;

	for (size_t i = 0; i < c->count; i++)
		watching += c->candidates[i].answers &&
		    watchers_is_elected(c->candidates, c->count,
			c->candidates[i].id, c->wanted);
	g_assert_cmpuint(watching, ==, c->watching);
}

static const struct list_case {
	const char *name;
	const char *text;
	int count; /* -1 where it is no list */
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

static const struct offer_case {
	const char *name;
	uint64_t known_ms;
	uint64_t now_ms;
	size_t length;
	bool may;
} offer_cases[] = {
    {"the first list goes out at once", 0, 1000000, 120000, true},
    {"a short list follows soon", 1000000, 1000500, 3000, true},
    {"a long list waits", 1000000, 1010000, 120000, false},
    {"a long list follows after its share of time", 1000000, 1015000, 120000,
	true},
    {"a list from a clock ahead of ours does not block", 2000000, 1000000,
	120000, true},
};

static void
test_offer(gconstpointer data)
{
	const struct offer_case *c = data;

	g_assert_cmpint(
	    hosts_may_update(c->known_ms, c->now_ms, c->length), ==, c->may);
}

struct entry {
	struct link_identity identity;
	char *process;
	char *address;
	struct mesh *mesh;
	struct documents *documents;
	struct hosts *hosts;
	struct watchers *watchers; /* NULL when dead */
};

struct bench {
	struct ev_loop *loop;
	GRand *random;
	struct store *store; /* never answers */
	struct http_client *http;
	struct entry entries[ENTRIES];
	GString *list;
};

static void
entry_start(struct bench *bench, size_t i)
{
	struct entry *entry = &bench->entries[i];
	struct mesh_settings settings = {
	    .identity = &entry->identity, .listen = "127.0.0.1:0"};

	entry->process = g_strdup_printf("entry-%zu", i);
	entry->identity = (struct link_identity){.process = entry->process,
	    .role = ROLE_ENTRY,
	    .failure_domain = "x",
	    .address = ""};
	entry->mesh = mesh_new(bench->loop, clock_system(), &settings, NULL);
	entry->address = g_strdup_printf(
	    "127.0.0.1:%d", mesh_port(entry->mesh));
	entry->identity.address = entry->address;
	entry->documents = documents_new(
	    bench->loop, clock_system(), entry->mesh, &entry->identity);
	entry->hosts = hosts_new(bench->loop, clock_system(), bench->http,
	    entry->documents, "http://127.0.0.1:1");
	entry->watchers = watchers_new(bench->loop, clock_system(),
	    bench->store, entry->mesh, entry->documents, entry->hosts,
	    &entry->identity);
	g_string_append_printf(bench->list,
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
count_watching(const struct bench *bench)
{
	unsigned int count = 0;

	for (size_t i = 0; i < ENTRIES; i++)
		count += bench->entries[i].watchers != NULL &&
		    watchers_is_watching(bench->entries[i].watchers);
	return count;
}

static unsigned int
count_first(const struct bench *bench)
{
	unsigned int count = 0;

	for (size_t i = 0; i < ENTRIES; i++)
		count += bench->entries[i].watchers != NULL &&
		    watchers_is_leader(bench->entries[i].watchers);
	return count;
}

static void
run_until_watching(struct bench *bench, unsigned int wanted)
{
	for (int i = 0; count_watching(bench) != wanted && i < TURNS_MAX; i++)
		ev_run(bench->loop, EVRUN_ONCE);
	g_assert_cmpuint(count_watching(bench), ==, wanted);
}

/* All watch while nothing is known; then two, and two again when those die. */
static void
test_takeover(void)
{
	struct bench bench = {.loop = ev_loop_new(0)};

	bench.random = g_rand_new_with_seed(1);
	bench.store = fake_store_new(clock_system(), bench.random);
	bench.http = http_client_new(bench.loop, NULL);
	bench.list = g_string_new("{\"hosts\":[");
	for (size_t i = 0; i < ENTRIES; i++)
		entry_start(&bench, i);
	g_string_append(bench.list, "]}");
	run_until_watching(&bench, ENTRIES);
	for (size_t i = 0; i < ENTRIES; i++)
		documents_update(bench.entries[i].documents, DOCUMENT_HOSTS, 1,
		    (const uint8_t *)bench.list->str, bench.list->len);
	run_until_watching(&bench, WATCHERS_PER_DOMAIN);
	for (int i = 0; count_first(&bench) != 1 && i < TURNS_MAX; i++)
		ev_run(bench.loop, EVRUN_ONCE);
	g_assert_cmpuint(count_first(&bench), ==, 1);
	for (size_t i = 0; i < ENTRIES; i++) {
		if (watchers_is_watching(bench.entries[i].watchers))
			entry_stop(&bench.entries[i]);
	}
	g_assert_cmpuint(count_watching(&bench), ==, 0);
	run_until_watching(&bench, 2);
	for (size_t i = 0; i < ENTRIES; i++)
		entry_stop(&bench.entries[i]);
	http_client_free(bench.http);
	store_free(bench.store);
	g_string_free(bench.list, TRUE);
	g_rand_free(bench.random);
	ev_loop_destroy(bench.loop);
}

#define ADD(table, prefix, test)                                     \
	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {           \
		g_autofree char *path = g_strconcat(                 \
		    "/watchers/" prefix "/", (table)[i].name, NULL); \
		g_test_add_data_func(path, &(table)[i], test);       \
	}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	ADD(rank_cases, "rank", test_rank);
	ADD(list_cases, "list", test_list);
	ADD(offer_cases, "offer", test_offer);
	g_test_add_func("/watchers/takeover", test_takeover);
	return g_test_run();
}
