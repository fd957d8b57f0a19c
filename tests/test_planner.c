/*
 * The planner's handling of responses of the store and the weight store. Status
 * queries and permits are faked; the store is in memory, with a manual clock.
 */
#include <string.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "entry/planner.h"
#include "fake_store.h"

#define UPSTREAMS 4
#define SELF	  "127.0.0.1:1"

struct fixture {
	struct ev_loop *loop;
	struct clock_manual clock;
	struct link_identity identity;
	struct http_client *http;
	struct mesh *mesh;
	struct documents *documents;
	struct hosts *hosts;
	struct store *store;
	struct planner *planner;
	Heatherturn__V1__Rollout rollout;
	Heatherturn__V1__Upstream upstreams[UPSTREAMS];
	uint64_t config_version;
};

/* Responses of the fakes; for one fixture at a time. */
static struct {
	const char *loaded[UPSTREAMS]; /* version; NULL for no response */
	bool cold;
	unsigned int status_queries;
	unsigned int permits_left;
	unsigned int permits_granted;
} fake;

static void
fake_status_query(struct mesh *mesh, const char *const *addresses, size_t count,
    int64_t timeout_ms, mesh_status_fn *done, void *data)
{
	struct mesh_peer_status entries[UPSTREAMS] = {0};

	g_assert_cmpuint(count, ==, UPSTREAMS);
	fake.status_queries++;
	for (size_t i = 0; i < count; i++) {
		static char names[UPSTREAMS][3] = {"u0", "u1", "u2", "u3"};

		if (fake.loaded[i] == NULL)
			continue;
		entries[i] = (struct mesh_peer_status){
		    .answered = true,
		    .upstream = names[i],
		    .model = "m",
		    .adapter = "",
		    .model_version = (char *)fake.loaded[i],
		    .warm = !fake.cold,
		};
	}
	done(data, entries, count);
}

static struct weights_call *
fake_permit(struct weights *weights, const char *model, const char *version,
    const char *upstream, weights_done_fn *done, void *data)
{
	g_autoptr(GError) error = NULL;

	if (fake.permits_left == 0)
		g_set_error_literal(&error, WEIGHTS_ERROR,
		    WEIGHTS_ERROR_RATE_LIMITED, "over the rate");
	else
		fake.permits_left--;
	fake.permits_granted += error == NULL;
	done(data, error, error != NULL ? 5000 : 0);
	return NULL;
}

static const struct planner_ops fake_ops = {fake_status_query, fake_permit};

/* Puts a configuration in force, with or without the rollout. */
static void
configure(struct fixture *f, bool with_rollout)
{
	Heatherturn__V1__ConfigDocument document;
	Heatherturn__V1__Rollout *rollouts[] = {&f->rollout};
	Heatherturn__V1__Upstream *upstreams[UPSTREAMS];
	uint8_t bytes[4096];

	heatherturn__v1__config_document__init(&document);
	document.version = ++f->config_version;
	document.rollouts = rollouts;
	document.n_rollouts = with_rollout;
	document.upstreams = upstreams;
	document.n_upstreams = UPSTREAMS;
	for (size_t i = 0; i < UPSTREAMS; i++)
		upstreams[i] = &f->upstreams[i];
	g_assert_cmpuint(
	    heatherturn__v1__config_document__get_packed_size(&document), <,
	    sizeof(bytes));
	g_assert_true(documents_update(f->documents, DOCUMENT_CONFIG,
	    document.version, bytes,
	    heatherturn__v1__config_document__pack(&document, bytes)));
}

static void
make_objects(struct fixture *f)
{
	static char ids[UPSTREAMS][3] = {"u0", "u1", "u2", "u3"};
	static uint32_t steps[] = {50, 100};

	heatherturn__v1__rollout__init(&f->rollout);
	f->rollout.id = "s";
	f->rollout.model = "m";
	f->rollout.model_version = "v2";
	f->rollout.previous_model_version = "v1";
	f->rollout.step_percent = steps;
	f->rollout.n_step_percent = G_N_ELEMENTS(steps);
	f->rollout
	    .state = HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_RUNNING;
	for (size_t i = 0; i < UPSTREAMS; i++) {
		heatherturn__v1__upstream__init(&f->upstreams[i]);
		f->upstreams[i].id = ids[i];
		f->upstreams[i].service = "s";
		f->upstreams[i].dialect = "engine";
		f->upstreams[i].sidecar_address = "127.0.0.1:2";
		fake.loaded[i] = "v1";
	}
}

static void
set_up(struct fixture *f)
{
	memset(&fake, 0, sizeof(fake));
	fake.permits_left = 100;
	f->loop = ev_loop_new(0);
	clock_manual_init(&f->clock, 1000000);
	f->identity = (struct link_identity){.process = "e",
	    .role = ROLE_ENTRY,
	    .failure_domain = "a",
	    .address = SELF};
	f->http = http_client_new(f->loop, NULL);
	f->mesh = mesh_new(f->loop, &f->clock.clock,
	    &(struct mesh_settings){.identity = &f->identity}, NULL);
	f->documents = documents_new(
	    f->loop, &f->clock.clock, f->mesh, &f->identity);
	f->hosts = hosts_new(f->loop, &f->clock.clock, f->http, f->documents,
	    "http://127.0.0.1:1");
	f->store = fake_store_new(&f->clock.clock, g_rand_new_with_seed(1));
	f->planner = planner_new(&(struct planner_settings){.loop = f->loop,
	    .clock = &f->clock.clock,
	    .mesh = f->mesh,
	    .documents = f->documents,
	    .hosts = f->hosts,
	    .store = f->store,
	    .http = f->http,
	    .platform = "http://127.0.0.1:1",
	    .identity = &f->identity,
	    .ops = &fake_ops});
	make_objects(f);
}

static void
tear_down(struct fixture *f)
{
	planner_free(f->planner);
	store_free(f->store);
	hosts_free(f->hosts);
	documents_free(f->documents);
	mesh_free(f->mesh);
	http_client_free(f->http);
	ev_loop_destroy(f->loop);
	g_assert_cmpuint(invariant_violations(), ==, 0);
}

/* Runs the planner after one interval, then the store. */
static void
run_interval(struct fixture *f)
{
	clock_manual_advance(&f->clock, PLAN_INTERVAL_MS);
	planner_tick(f->planner);
	fake_store_run(f->store);
}

/* Returns the stored placement's version. */
static uint64_t
stored_version(struct fixture *f)
{
	uint64_t version = 0;

	fake_store_value(f->store, DOCUMENT_PLACEMENT, &version);
	return version;
}

/* Counts the upstreams with a version assigned in the stored placement. */
static unsigned int
count_assigned(struct fixture *f, const char *version)
{
	uint64_t at;
	const GByteArray *value = fake_store_value(
	    f->store, DOCUMENT_PLACEMENT, &at);
	Heatherturn__V1__PlacementDocument *document;
	unsigned int count = 0;

	if (value == NULL)
		return 0;
	document = heatherturn__v1__placement_document__unpack(
	    NULL, value->len, value->data);
	g_assert_nonnull(document);
	for (size_t i = 0; i < document->n_assignments; i++)
		count += strcmp(document->assignments[i]->model_version,
			     version) == 0;
	heatherturn__v1__placement_document__free_unpacked(document, NULL);
	return count;
}

/* Delivers the stored placement, as the watchers do. */
static void
deliver_stored(struct fixture *f)
{
	uint64_t version;
	const GByteArray *value = fake_store_value(
	    f->store, DOCUMENT_PLACEMENT, &version);

	documents_update(
	    f->documents, DOCUMENT_PLACEMENT, version, value->data, value->len);
}

/* The engines load the versions of the stored placement. */
static void
load_assigned(struct fixture *f)
{
	uint64_t at;
	const GByteArray *value = fake_store_value(
	    f->store, DOCUMENT_PLACEMENT, &at);
	Heatherturn__V1__PlacementDocument *document;
	const Heatherturn__V1__Assignment *assignment;

	document = heatherturn__v1__placement_document__unpack(
	    NULL, value->len, value->data);
	for (size_t i = 0; i < document->n_assignments; i++) {
		assignment = document->assignments[i];
		fake.loaded[assignment->upstream[1] - '0'] =
		    strcmp(assignment->model_version, "v2") == 0 ? "v2" : "v1";
	}
	heatherturn__v1__placement_document__free_unpacked(document, NULL);
}

static void
test_no_rollout(void)
{
	struct fixture f = {0};

	set_up(&f);
	configure(&f, false);
	for (int i = 0; i < 10; i++)
		run_interval(&f);
	g_assert_cmpuint(fake.status_queries, ==, 0);
	g_assert_cmpuint(fake_store_call_count(f.store), ==, 0);
	tear_down(&f);
}

static void
test_stored(void)
{
	struct fixture f = {0};

	set_up(&f);
	configure(&f, true);
	for (int i = 0; i < 20; i++) {
		run_interval(&f);
		load_assigned(&f);
	}
	g_assert_cmpuint(count_assigned(&f, "v2"), ==, 2);
	g_assert_cmpuint(fake.permits_granted, ==, 2);
	g_assert_cmpuint(fake.status_queries, <=, 4);
	g_assert_cmpuint(documents_version(f.documents, DOCUMENT_PLACEMENT), ==,
	    stored_version(&f));
	tear_down(&f);
}

static void
test_conflict(void)
{
	struct fixture f = {0};
	Heatherturn__V1__PlacementDocument other;
	uint8_t bytes[64];

	set_up(&f);
	configure(&f, true);
	heatherturn__v1__placement_document__init(&other);
	other.version = 1;
	fake_store_put(f.store, DOCUMENT_PLACEMENT, bytes,
	    heatherturn__v1__placement_document__pack(&other, bytes));
	run_interval(&f);
	run_interval(&f);
	g_assert_cmpuint(stored_version(&f), ==, 1);
	g_assert_cmpuint(
	    documents_version(f.documents, DOCUMENT_PLACEMENT), ==, 0);
	deliver_stored(&f);
	run_interval(&f);
	g_assert_cmpuint(stored_version(&f), ==, 2);
	g_assert_cmpuint(fake.permits_granted, ==, count_assigned(&f, "v2"));
	tear_down(&f);
}

static void
test_lost_response(void)
{
	struct fixture f = {0};
	uint64_t version;

	set_up(&f);
	configure(&f, true);
	fake_store_set_faults(
	    f.store, &(struct fake_faults){.response_lost_percent = 100});
	run_interval(&f);
	version = stored_version(&f);
	g_assert_cmpuint(version, ==, 1);
	fake_store_set_faults(f.store, &(struct fake_faults){0});
	run_interval(&f);
	g_assert_cmpuint(stored_version(&f), ==, version);
	deliver_stored(&f);
	run_interval(&f);
	g_assert_cmpuint(stored_version(&f), ==, version);
	tear_down(&f);
}

static void
test_permit_refused(void)
{
	struct fixture f = {0};

	set_up(&f);
	configure(&f, true);
	fake.cold = true; /* so that two may load at once */
	fake.permits_left = 1;
	run_interval(&f);
	g_assert_cmpuint(fake.permits_granted, ==, 1);
	g_assert_cmpuint(stored_version(&f), ==, 0);
	fake.permits_left = 1;
	run_interval(&f); /* too early to request more */
	g_assert_cmpuint(fake.permits_granted, ==, 1);
	run_interval(&f);
	run_interval(&f);
	g_assert_cmpuint(count_assigned(&f, "v2"), ==, 2);
	g_assert_cmpuint(fake.permits_granted, ==, 2);
	tear_down(&f);
}

static void
test_rollback_permits(void)
{
	struct fixture f = {0};
	unsigned int loads;

	set_up(&f);
	configure(&f, true);
	run_interval(&f);
	loads = count_assigned(&f, "v2");
	g_assert_cmpuint(loads, >=, 1);
	f.rollout
	    .state = HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_ROLLED_BACK;
	configure(&f, true);
	run_interval(&f);
	g_assert_cmpuint(count_assigned(&f, "v2"), ==, 0);
	g_assert_cmpuint(fake.permits_granted, ==, 2 * loads);
	tear_down(&f);
}

static void
test_rollback_warm(void)
{
	struct fixture f = {0};

	set_up(&f);
	configure(&f, true);
	for (int i = 0; i < 20; i++) {
		run_interval(&f);
		load_assigned(&f);
	}
	f.rollout.step = 1;
	configure(&f, true);
	for (int i = 0; i < 10 && count_assigned(&f, "v2") == 2; i++)
		run_interval(&f);
	g_assert_cmpuint(count_assigned(&f, "v2"), ==, 3);
	f.rollout
	    .state = HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_ROLLED_BACK;
	configure(&f, true);
	run_interval(&f);
	g_assert_cmpuint(count_assigned(&f, "v2"), ==, 2);
	run_interval(
	    &f); /* three of four must be warm: no other may load yet */
	g_assert_cmpuint(count_assigned(&f, "v2"), ==, 2);
	tear_down(&f);
}

static void
test_not_planner(void)
{
	struct fixture f = {0};

	set_up(&f);
	configure(&f, true);
	f.identity.draining = true;
	for (int i = 0; i < 10; i++)
		run_interval(&f);
	g_assert_cmpuint(fake.status_queries, ==, 0);
	g_assert_cmpuint(stored_version(&f), ==, 0);
	tear_down(&f);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/planner/nothing is queried without a rollout", test_no_rollout);
	g_test_add_func(
	    "/planner/a step is stored, with a permit for each load",
	    test_stored);
	g_test_add_func(
	    "/planner/after a conflict it plans again from the newer placement",
	    test_conflict);
	g_test_add_func(
	    "/planner/after a lost response it does not store again",
	    test_lost_response);
	g_test_add_func(
	    "/planner/nothing is stored before its permits are granted",
	    test_permit_refused);
	g_test_add_func(
	    "/planner/a rolled back upstream does not count as warm",
	    test_rollback_warm);
	g_test_add_func("/planner/a rollback of a load takes another permit",
	    test_rollback_permits);
	g_test_add_func(
	    "/planner/a draining entry does not plan", test_not_planner);
	return g_test_run();
}
