/*
 * What the planner makes of the store's and the weight store's answers. Census
 * and permits are faked; the store is in memory, all under manual time.
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

struct world {
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

/* The fakes' answers; one world at a time. */
static struct {
	const char *held[UPSTREAMS]; /* version; NULL for no answer */
	bool cold;
	unsigned int censuses;
	unsigned int permits_left;
	unsigned int permits_given;
} fake;

static void
answer_census(struct mesh *mesh, const char *const *addresses, size_t count,
    int64_t timeout_ms, mesh_status_fn *done, void *data)
{
	struct mesh_peer_status entries[UPSTREAMS] = {0};

	g_assert_cmpuint(count, ==, UPSTREAMS);
	fake.censuses++;
	for (size_t i = 0; i < count; i++) {
		static char names[UPSTREAMS][3] = {"u0", "u1", "u2", "u3"};

		if (fake.held[i] == NULL)
			continue;
		entries[i] = (struct mesh_peer_status){
		    .answered = true,
		    .upstream = names[i],
		    .model = "m",
		    .adapter = "",
		    .model_version = (char *)fake.held[i],
		    .warm = !fake.cold,
		};
	}
	done(data, entries, count);
}

static struct weights_call *
answer_permit(struct weights *weights, const char *model, const char *version,
    const char *upstream, weights_done_fn *done, void *data)
{
	g_autoptr(GError) error = NULL;

	if (fake.permits_left == 0)
		g_set_error_literal(&error, WEIGHTS_ERROR,
		    WEIGHTS_ERROR_RATE_LIMITED, "over the rate");
	else
		fake.permits_left--;
	fake.permits_given += error == NULL;
	done(data, error, error != NULL ? 5000 : 0);
	return NULL;
}

static const struct planner_ops fake_ops = {answer_census, answer_permit};

/* Puts the configuration in force, with the rollout or without. */
static void
configure(struct world *w, bool with_rollout)
{
	Heatherturn__V1__ConfigDocument document;
	Heatherturn__V1__Rollout *rollouts[] = {&w->rollout};
	Heatherturn__V1__Upstream *upstreams[UPSTREAMS];
	uint8_t bytes[4096];

	heatherturn__v1__config_document__init(&document);
	document.version = ++w->config_version;
	document.rollouts = rollouts;
	document.n_rollouts = with_rollout;
	document.upstreams = upstreams;
	document.n_upstreams = UPSTREAMS;
	for (size_t i = 0; i < UPSTREAMS; i++)
		upstreams[i] = &w->upstreams[i];
	g_assert_cmpuint(
	    heatherturn__v1__config_document__get_packed_size(&document), <,
	    sizeof(bytes));
	g_assert_true(documents_update(w->documents, DOCUMENT_CONFIG,
	    document.version, bytes,
	    heatherturn__v1__config_document__pack(&document, bytes)));
}

static void
make_objects(struct world *w)
{
	static char ids[UPSTREAMS][3] = {"u0", "u1", "u2", "u3"};
	static uint32_t steps[] = {50, 100};

	heatherturn__v1__rollout__init(&w->rollout);
	w->rollout.id = "s";
	w->rollout.model = "m";
	w->rollout.model_version = "v2";
	w->rollout.previous_model_version = "v1";
	w->rollout.step_percent = steps;
	w->rollout.n_step_percent = G_N_ELEMENTS(steps);
	w->rollout
	    .state = HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_RUNNING;
	for (size_t i = 0; i < UPSTREAMS; i++) {
		heatherturn__v1__upstream__init(&w->upstreams[i]);
		w->upstreams[i].id = ids[i];
		w->upstreams[i].service = "s";
		w->upstreams[i].dialect = "engine";
		w->upstreams[i].sidecar_address = "127.0.0.1:2";
		fake.held[i] = "v1";
	}
}

static void
set_up(struct world *w)
{
	memset(&fake, 0, sizeof(fake));
	fake.permits_left = 100;
	w->loop = ev_loop_new(0);
	clock_manual_init(&w->clock, 1000000);
	w->identity = (struct link_identity){.process = "e",
	    .role = ROLE_ENTRY,
	    .failure_domain = "a",
	    .address = SELF};
	w->http = http_client_new(w->loop, NULL);
	w->mesh = mesh_new(w->loop, &w->clock.clock,
	    &(struct mesh_settings){.identity = &w->identity}, NULL);
	w->documents = documents_new(
	    w->loop, &w->clock.clock, w->mesh, &w->identity);
	w->hosts = hosts_new(w->loop, &w->clock.clock, w->http, w->documents,
	    "http://127.0.0.1:1");
	w->store = fake_store_new(&w->clock.clock, g_rand_new_with_seed(1));
	w->planner = planner_new(&(struct planner_settings){.loop = w->loop,
	    .clock = &w->clock.clock,
	    .mesh = w->mesh,
	    .documents = w->documents,
	    .hosts = w->hosts,
	    .store = w->store,
	    .http = w->http,
	    .platform = "http://127.0.0.1:1",
	    .identity = &w->identity,
	    .ops = &fake_ops});
	make_objects(w);
}

static void
tear_down(struct world *w)
{
	planner_free(w->planner);
	store_free(w->store);
	hosts_free(w->hosts);
	documents_free(w->documents);
	mesh_free(w->mesh);
	http_client_free(w->http);
	ev_loop_destroy(w->loop);
	g_assert_cmpuint(invariant_violations(), ==, 0);
}

/* One look of the planner's, and what the store answers. */
static void
turn(struct world *w)
{
	clock_manual_advance(&w->clock, PLAN_INTERVAL_MS);
	planner_tick(w->planner);
	fake_store_run(w->store);
}

/* Returns the stored placement's version. */
static uint64_t
stored(struct world *w)
{
	uint64_t version = 0;

	fake_store_value(w->store, DOCUMENT_PLACEMENT, &version);
	return version;
}

/* Counts upstreams that the stored placement gives a version. */
static unsigned int
assigned(struct world *w, const char *version)
{
	uint64_t at;
	const GByteArray *value = fake_store_value(
	    w->store, DOCUMENT_PLACEMENT, &at);
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

/* The watchers bring what is stored. */
static void
bring_stored(struct world *w)
{
	uint64_t version;
	const GByteArray *value = fake_store_value(
	    w->store, DOCUMENT_PLACEMENT, &version);

	documents_update(
	    w->documents, DOCUMENT_PLACEMENT, version, value->data, value->len);
}

/* The engines come to hold what the stored placement says. */
static void
obey(struct world *w)
{
	uint64_t at;
	const GByteArray *value = fake_store_value(
	    w->store, DOCUMENT_PLACEMENT, &at);
	Heatherturn__V1__PlacementDocument *document;
	const Heatherturn__V1__Assignment *one;

	document = heatherturn__v1__placement_document__unpack(
	    NULL, value->len, value->data);
	for (size_t i = 0; i < document->n_assignments; i++) {
		one = document->assignments[i];
		fake.held[one->upstream[1] - '0'] = strcmp(one->model_version,
							"v2") == 0
		    ? "v2"
		    : "v1";
	}
	heatherturn__v1__placement_document__free_unpacked(document, NULL);
}

static void
test_no_rollout(void)
{
	struct world w = {0};

	set_up(&w);
	configure(&w, false);
	for (int i = 0; i < 10; i++)
		turn(&w);
	g_assert_cmpuint(fake.censuses, ==, 0);
	g_assert_cmpuint(fake_store_calls(w.store), ==, 0);
	tear_down(&w);
}

static void
test_stored(void)
{
	struct world w = {0};

	set_up(&w);
	configure(&w, true);
	for (int i = 0; i < 20; i++) {
		turn(&w);
		obey(&w);
	}
	g_assert_cmpuint(assigned(&w, "v2"), ==, 2);
	g_assert_cmpuint(fake.permits_given, ==, 2);
	g_assert_cmpuint(fake.censuses, <=, 4);
	g_assert_cmpuint(
	    documents_version(w.documents, DOCUMENT_PLACEMENT), ==, stored(&w));
	tear_down(&w);
}

static void
test_conflict(void)
{
	struct world w = {0};
	Heatherturn__V1__PlacementDocument others;
	uint8_t bytes[64];

	set_up(&w);
	configure(&w, true);
	heatherturn__v1__placement_document__init(&others);
	others.version = 1;
	fake_store_put(w.store, DOCUMENT_PLACEMENT, bytes,
	    heatherturn__v1__placement_document__pack(&others, bytes));
	turn(&w);
	turn(&w);
	g_assert_cmpuint(stored(&w), ==, 1);
	g_assert_cmpuint(
	    documents_version(w.documents, DOCUMENT_PLACEMENT), ==, 0);
	bring_stored(&w);
	turn(&w);
	g_assert_cmpuint(stored(&w), ==, 2);
	g_assert_cmpuint(fake.permits_given, ==, assigned(&w, "v2"));
	tear_down(&w);
}

static void
test_lost_answer(void)
{
	struct world w = {0};
	uint64_t version;

	set_up(&w);
	configure(&w, true);
	fake_store_set_faults(
	    w.store, &(struct fake_faults){.lost_percent = 100});
	turn(&w);
	version = stored(&w);
	g_assert_cmpuint(version, ==, 1);
	fake_store_set_faults(w.store, &(struct fake_faults){0});
	turn(&w);
	g_assert_cmpuint(stored(&w), ==, version);
	bring_stored(&w);
	turn(&w);
	g_assert_cmpuint(stored(&w), ==, version);
	tear_down(&w);
}

static void
test_refused(void)
{
	struct world w = {0};

	set_up(&w);
	configure(&w, true);
	fake.cold = true; /* so that two load at once */
	fake.permits_left = 1;
	turn(&w);
	g_assert_cmpuint(fake.permits_given, ==, 1);
	g_assert_cmpuint(stored(&w), ==, 0);
	fake.permits_left = 1;
	turn(&w); /* too early to ask for more */
	g_assert_cmpuint(fake.permits_given, ==, 1);
	turn(&w);
	turn(&w);
	g_assert_cmpuint(assigned(&w, "v2"), ==, 2);
	g_assert_cmpuint(fake.permits_given, ==, 2);
	tear_down(&w);
}

static void
test_taken_back(void)
{
	struct world w = {0};
	unsigned int loads;

	set_up(&w);
	configure(&w, true);
	turn(&w);
	loads = assigned(&w, "v2");
	g_assert_cmpuint(loads, >=, 1);
	w.rollout
	    .state = HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_ROLLED_BACK;
	configure(&w, true);
	turn(&w);
	g_assert_cmpuint(assigned(&w, "v2"), ==, 0);
	g_assert_cmpuint(fake.permits_given, ==, 2 * loads);
	tear_down(&w);
}

static void
test_cold_counts(void)
{
	struct world w = {0};

	set_up(&w);
	configure(&w, true);
	for (int i = 0; i < 20; i++) {
		turn(&w);
		obey(&w);
	}
	w.rollout.step = 1;
	configure(&w, true);
	for (int i = 0; i < 10 && assigned(&w, "v2") == 2; i++)
		turn(&w);
	g_assert_cmpuint(assigned(&w, "v2"), ==, 3);
	w.rollout
	    .state = HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_ROLLED_BACK;
	configure(&w, true);
	turn(&w);
	g_assert_cmpuint(assigned(&w, "v2"), ==, 2);
	turn(&w); /* three of four must be warm: no other may load yet */
	g_assert_cmpuint(assigned(&w, "v2"), ==, 2);
	tear_down(&w);
}

static void
test_not_planner(void)
{
	struct world w = {0};

	set_up(&w);
	configure(&w, true);
	w.identity.draining = true;
	for (int i = 0; i < 10; i++)
		turn(&w);
	g_assert_cmpuint(fake.censuses, ==, 0);
	g_assert_cmpuint(stored(&w), ==, 0);
	tear_down(&w);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func(
	    "/planner/nothing is asked without a rollout", test_no_rollout);
	g_test_add_func(
	    "/planner/a step is stored, with a permit for each load",
	    test_stored);
	g_test_add_func(
	    "/planner/a conflict is planned anew from the newer one",
	    test_conflict);
	g_test_add_func(
	    "/planner/a lost answer is not stored twice", test_lost_answer);
	g_test_add_func(
	    "/planner/nothing is stored before its permits are there",
	    test_refused);
	g_test_add_func("/planner/a load taken back is not counted as warm",
	    test_cold_counts);
	g_test_add_func(
	    "/planner/a load taken back takes a permit again", test_taken_back);
	g_test_add_func(
	    "/planner/an entry that leaves does not plan", test_not_planner);
	return g_test_run();
}
