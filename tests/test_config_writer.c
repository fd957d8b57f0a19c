/*
 * The configuration's writer: the reported outcome of a change is correct even
 * if responses are lost.
 */
#include <stdlib.h>
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "fake_store.h"
#include "store/config_writer.h"
#include "store/store.h"

#define SEEDS	40
#define WRITES	60
#define STEP_MS 10
#define STEPS	6000

/* An operator's change that adds one organisation. */
struct change {
	char id[16];
	bool done;
	int code; /* -1 for stored */
	uint64_t version;
	char *why; /* the error's message, to be freed; NULL if stored */
	int64_t retry_after_ms;
};

struct writer_fixture {
	struct ev_loop *loop;
	struct clock_manual clock;
	GRand *random;
	struct store *store;
	struct link_identity identity;
	struct mesh *mesh;
	struct documents *documents;
	struct config_writer *writers[2]; /* of two entries */
	struct change changes[WRITES];
	unsigned int outcomes[8];
};

static bool
has_organisation(
    const Heatherturn__V1__ConfigDocument *document, const char *id)
{
	for (size_t i = 0; i < document->n_organisations; i++) {
		if (strcmp(document->organisations[i]->id, id) == 0)
			return true;
	}
	return false;
}

static bool
add_organisation(
    void *data, Heatherturn__V1__ConfigDocument *document, GError **error)
{
	struct change *change = data;
	Heatherturn__V1__Organisation *organisation = malloc(
	    sizeof(*organisation));

	g_assert_false(has_organisation(document, change->id));
	heatherturn__v1__organisation__init(organisation);
	organisation->id = strdup(change->id);
	organisation->version = document->version;
	document->organisations = realloc(document->organisations,
	    (document->n_organisations + 1) *
		sizeof(Heatherturn__V1__Organisation *));
	document->organisations[document->n_organisations++] = organisation;
	return true;
}

static void
on_change(
    void *data, const GError *error, uint64_t version, int64_t retry_after_ms)
{
	struct change *change = data;

	g_assert_false(change->done);
	change->done = true;
	change->code = error != NULL ? error->code : -1;
	change->version = version;
	change->why = error != NULL ? g_strdup(error->message) : NULL;
	change->retry_after_ms = retry_after_ms;
}

static const struct config_write_ops change_ops = {
    .change = add_organisation,
    .done = on_change,
};

static const struct faults_case {
	const char *name;
	struct fake_faults faults;
} faults_cases[] = {
    {"operators write concurrently", {.latency_max_ms = 30}},
    {"responses are lost after the write",
	{.response_lost_percent = 40, .latency_max_ms = 30}},
    {"writes take effect late",
	{.effect_delayed_percent = 40,
	    .effect_delay_max_ms = 3000,
	    .latency_max_ms = 30}},
    {"all faults at once",
	{.response_lost_percent = 15,
	    .effect_delayed_percent = 15,
	    .effect_delay_max_ms = 3000,
	    .request_lost_percent = 15,
	    .unavailable_percent = 25,
	    .rate_limited_percent = 10,
	    .latency_max_ms = 100}},
};

static void
set_up(struct writer_fixture *writer_fixture, guint32 seed)
{
	static const struct mesh_settings no_listener;
	struct mesh_settings settings = no_listener;

	memset(writer_fixture, 0, sizeof(*writer_fixture));
	writer_fixture->loop = ev_loop_new(0);
	clock_manual_init(&writer_fixture->clock, 1000000);
	writer_fixture->random = g_rand_new_with_seed(seed);
	writer_fixture->store = fake_store_new(
	    &writer_fixture->clock.clock, writer_fixture->random);
	writer_fixture->identity = (struct link_identity){
	    .process = "p", .failure_domain = "a", .address = ""};
	settings.identity = &writer_fixture->identity;
	writer_fixture->mesh = mesh_new(writer_fixture->loop,
	    &writer_fixture->clock.clock, &settings, NULL);
	writer_fixture->documents = documents_new(writer_fixture->loop,
	    &writer_fixture->clock.clock, writer_fixture->mesh,
	    &writer_fixture->identity);
	for (int i = 0; i < 2; i++)
		writer_fixture->writers[i] = config_writer_new(
		    writer_fixture->loop, &writer_fixture->clock.clock,
		    writer_fixture->store, writer_fixture->documents);
}

static void
tear_down(struct writer_fixture *writer_fixture)
{
	for (int i = 0; i < 2; i++)
		config_writer_free(writer_fixture->writers[i]);
	documents_free(writer_fixture->documents);
	mesh_free(writer_fixture->mesh);
	store_free(writer_fixture->store);
	for (int i = 0; i < WRITES; i++)
		g_free(writer_fixture->changes[i].why);
	g_rand_free(writer_fixture->random);
	ev_loop_destroy(writer_fixture->loop);
}

/* Stored changes exist at their version; rejected ones do not exist. */
static void
check_changes(struct writer_fixture *writer_fixture)
{
	uint64_t version;
	const GByteArray *value = fake_store_value(
	    writer_fixture->store, "config", &version);
	Heatherturn__V1__ConfigDocument
	    *document = heatherturn__v1__config_document__unpack(
		NULL, value->len, value->data);

	g_assert_cmpuint(document->version, ==, version);
	for (int i = 0; i < WRITES; i++) {
		const struct change *change = &writer_fixture->changes[i];

		g_assert_true(change->done);
		writer_fixture->outcomes[change->code + 1]++;
		if (change->code != CONFIG_WRITE_ERROR_OUTCOME_UNKNOWN)
			g_assert_cmpint(has_organisation(document, change->id),
			    ==, change->code == -1);
		for (size_t j = 0; j < document->n_organisations; j++) {
			if (change->code == -1 &&
			    strcmp(document->organisations[j]->id,
				change->id) == 0)
				g_assert_cmpuint(
				    document->organisations[j]->version, ==,
				    change->version);
		}
	}
	heatherturn__v1__config_document__free_unpacked(document, NULL);
}

static void
run_seed(const struct faults_case *c, guint32 seed, unsigned int *outcomes)
{
	struct writer_fixture writer_fixture;

	set_up(&writer_fixture, seed);
	fake_store_set_faults(writer_fixture.store, &c->faults);
	for (int i = 0; i < STEPS; i++) {
		if (i % (STEPS / 2 / WRITES) == 0 &&
		    i / (STEPS / 2 / WRITES) < WRITES) {
			int number = i / (STEPS / 2 / WRITES);
			struct change *change = &writer_fixture.changes[number];

			g_snprintf(
			    change->id, sizeof(change->id), "o-%d", number);
			config_write_start(writer_fixture.writers[number % 2],
			    &change_ops, change);
		}
		clock_manual_advance(&writer_fixture.clock, STEP_MS);
		fake_store_run(writer_fixture.store);
		for (int j = 0; j < 2; j++)
			config_writer_tick(writer_fixture.writers[j]);
	}
	check_changes(&writer_fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(writer_fixture.outcomes); i++)
		outcomes[i] += writer_fixture.outcomes[i];
	tear_down(&writer_fixture);
}

static void
test_changes(gconstpointer data)
{
	const struct faults_case *c = data;
	unsigned int outcomes[8] = {0};

	for (guint32 seed = 1; seed <= SEEDS; seed++)
		run_seed(c, g_test_slow() ? (guint32)g_test_rand_int() : seed,
		    outcomes);
	g_test_message("%s: %u stored, %u conflicts, %u unavailable, "
		       "%u unknown",
	    c->name, outcomes[0], outcomes[CONFIG_WRITE_ERROR_CONFLICT + 1],
	    outcomes[CONFIG_WRITE_ERROR_UNAVAILABLE + 1],
	    outcomes[CONFIG_WRITE_ERROR_OUTCOME_UNKNOWN + 1]);
	g_assert_cmpuint(outcomes[0], >, 0);
	g_assert_cmpuint(outcomes[CONFIG_WRITE_ERROR_TOO_LARGE + 1], ==, 0);
	g_assert_cmpuint(outcomes[CONFIG_WRITE_ERROR_MALFORMED + 1], ==, 0);
}

/* Takes no note of the result of a call that is not the writer's. */
static void
ignore_result(void *data, const struct store_result *result)
{
}

/* Runs the store and the first writer until a change has ended. */
static void
run_until_done(struct writer_fixture *writer_fixture, struct change *change)
{
	for (int i = 0; i < 100 && !change->done; i++) {
		clock_manual_advance(&writer_fixture->clock, STEP_MS);
		config_writer_tick(writer_fixture->writers[0]);
		fake_store_run(writer_fixture->store);
	}
	g_assert_true(change->done);
}

static const struct failure_case {
	const char *name;
	struct fake_faults faults;
	enum config_write_error code;
	int64_t retry_after_ms;
	const char *why;
} failure_cases[] = {
    {"a store that is away is named as unavailable",
	{.get_error = STORE_ERROR_UNAVAILABLE}, CONFIG_WRITE_ERROR_UNAVAILABLE,
	1000, "the platform is unavailable; nothing was stored"},
    {"a read over the rate limit is named as such",
	{.get_error = STORE_ERROR_RATE_LIMITED}, CONFIG_WRITE_ERROR_UNAVAILABLE,
	1000, "the platform limits the rate of calls; nothing was stored"},
    {"a write over the rate limit is named as such",
	{.put_error = STORE_ERROR_RATE_LIMITED}, CONFIG_WRITE_ERROR_UNAVAILABLE,
	1000, "the platform limits the rate of calls; nothing was stored"},
    {"a write that the store finds too large is not an outage",
	{.put_error = STORE_ERROR_TOO_LARGE}, CONFIG_WRITE_ERROR_TOO_LARGE, 0,
	"the configuration is above the platform's limit (fake); nothing was "
	"stored"},
    {"a read whose response is not of the API is not an outage",
	{.get_error = STORE_ERROR_MALFORMED}, CONFIG_WRITE_ERROR_MALFORMED, 0,
	"the platform's response was not understood (fake); nothing was "
	"stored"},
    {"a write that the store rejects otherwise is not an outage",
	{.put_error = STORE_ERROR_MALFORMED}, CONFIG_WRITE_ERROR_MALFORMED, 0,
	"the platform's response was not understood (fake); nothing was "
	"stored"},
};

/* A change that the store rejects ends with the store's reason. */
static void
test_failure(gconstpointer data)
{
	const struct failure_case *c = data;
	struct writer_fixture writer_fixture;
	struct change *change = &writer_fixture.changes[0];

	set_up(&writer_fixture, 1);
	g_strlcpy(change->id, "o-1", sizeof(change->id));
	fake_store_set_faults(writer_fixture.store, &c->faults);
	config_write_start(writer_fixture.writers[0], &change_ops, change);
	run_until_done(&writer_fixture, change);
	g_assert_cmpstr(change->why, ==, c->why);
	g_assert_cmpint(change->code, ==, c->code);
	g_assert_cmpint(change->retry_after_ms, ==, c->retry_after_ms);
	tear_down(&writer_fixture);
}

/*
 * A write whose response was lost, before the configuration went back to an
 * earlier version, has an unknown outcome: it may have been stored and lost.
 */
static void
test_gone_back(void)
{
	struct writer_fixture writer_fixture;
	struct change *change = &writer_fixture.changes[0];

	set_up(&writer_fixture, 1);
	g_strlcpy(change->id, "o-1", sizeof(change->id));
	fake_store_put(writer_fixture.store, "config", "", 0);
	fake_store_set_faults(writer_fixture.store,
	    &(struct fake_faults){.response_lost_percent = 100});
	config_write_start(writer_fixture.writers[0], &change_ops, change);
	for (int i = 0; i < 2; i++)
		fake_store_run(writer_fixture.store);
	fake_store_set_faults(writer_fixture.store, &(struct fake_faults){0});
	store_start(writer_fixture.store,
	    &(struct store_request){
		.verb = STORE_DELETE, .key = "config", .version = 2},
	    ignore_result, NULL);
	fake_store_run(writer_fixture.store);
	run_until_done(&writer_fixture, change);
	g_assert_cmpint(change->code, ==, CONFIG_WRITE_ERROR_OUTCOME_UNKNOWN);
	g_assert_null(
	    fake_store_value(writer_fixture.store, "config", &(uint64_t){0}));
	tear_down(&writer_fixture);
}

/* After a deletion, versions of the configuration continue to increase. */
static void
test_deleted(void)
{
	struct writer_fixture writer_fixture;
	uint64_t version;
	struct change change = {.id = "o-1"};

	set_up(&writer_fixture, 1);
	fake_store_put(writer_fixture.store, "config", "", 0);
	store_start(writer_fixture.store,
	    &(struct store_request){
		.verb = STORE_DELETE, .key = "config", .version = 1},
	    ignore_result, NULL);
	fake_store_run(writer_fixture.store);
	config_write_start(writer_fixture.writers[0], &change_ops, &change);
	run_until_done(&writer_fixture, &change);
	g_assert_cmpint(change.code, ==, -1);
	fake_store_value(writer_fixture.store, "config", &version);
	g_assert_cmpuint(change.version, ==, version);
	g_assert_cmpuint(
	    documents_version(writer_fixture.documents, DOCUMENT_CONFIG), ==,
	    version);
	tear_down(&writer_fixture);
}

#define ADD(table, prefix, test)                                  \
	for (size_t i = 0; i < G_N_ELEMENTS(table); i++) {        \
		g_autofree char *path = g_strconcat(              \
		    "/store/" prefix "/", (table)[i].name, NULL); \
		g_test_add_data_func(path, &(table)[i], test);    \
	}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	ADD(faults_cases, "changes", test_changes);
	ADD(failure_cases, "failures", test_failure);
	g_test_add_func("/store/versions continue to increase after a deletion",
	    test_deleted);
	g_test_add_func("/store/a lost response before the configuration went "
			"back has an unknown outcome",
	    test_gone_back);
	return g_test_run();
}
