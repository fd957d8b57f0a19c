/*
 * Placement: rollouts, the pool and the rate of changes, in virtual time.
 * Upstreams take a while to load and are cold afterwards.
 */
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "policy/placement.h"

#define UPSTREAMS	  12
#define DOMAINS		  3
#define PLAN_INTERVAL_MS  1000
#define LOAD_DURATION_MS  30000
#define COLD_DURATION_MS  20000
#define LOADS_MAX	  2
#define DEMAND_MS	  60000
#define SETTLE_DURATION_S 1200
#define RANDOM_DURATION_S 3600
#define VERSIONS	  4

/* An upstream that applies its assignment as its sidecar would. */
struct fake_upstream {
	char id[8];
	char version[8];
	char model[8];
	uint64_t fencing;
	int64_t busy_until_ms; /* loading until then */
	int64_t warm_from_ms;
	bool dead;
};

struct sim {
	int64_t now_ms;
	GRand *rand;
	struct placement *planners[2];
	Heatherturn__V1__ConfigDocument config;
	Heatherturn__V1__Upstream upstreams[UPSTREAMS];
	Heatherturn__V1__Upstream *upstream_list[UPSTREAMS];
	Heatherturn__V1__FailureDomain domains[DOMAINS];
	Heatherturn__V1__FailureDomain *domain_list[DOMAINS];
	Heatherturn__V1__Rollout rollouts[2];
	Heatherturn__V1__Rollout *rollout_list[2];
	uint32_t steps[3];
	struct fake_upstream fakes[UPSTREAMS];
	char ids[UPSTREAMS][8];
	Heatherturn__V1__PlacementDocument *document;
	uint32_t changes; /* of assignments */
	uint32_t documents;
	uint32_t conflicts;
	uint32_t max_loading;
};

static char *domain_names[DOMAINS] = {"a", "b", "c"};

/* Makes a running rollout from v0 to v1, in its first step. */
static void
init_rollout(Heatherturn__V1__Rollout *rollout, char *service, char *model,
    uint32_t *steps)
{
	heatherturn__v1__rollout__init(rollout);
	rollout->id = service;
	rollout->model = model;
	rollout->adapter = "";
	rollout->model_version = "v1";
	rollout->previous_model_version = "v0";
	rollout->n_step_percent = 3;
	rollout->step_percent = steps;
	rollout->state = HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_RUNNING;
}

/* Makes a fleet with nothing loaded; `pool` upstreams have no service. */
static void
set_up(struct sim *sim, uint32_t seed, int pool)
{
	struct placement_limits limits;

	*sim = (struct sim){.now_ms = 1000, .steps = {10, 50, 100}};
	sim->rand = g_rand_new_with_seed(seed);
	placement_limits_init(&limits);
	for (int i = 0; i < 2; i++)
		sim->planners[i] = placement_new(
		    &limits, time_from_ms(sim->now_ms));
	heatherturn__v1__config_document__init(&sim->config);
	for (int i = 0; i < DOMAINS; i++) {
		heatherturn__v1__failure_domain__init(&sim->domains[i]);
		sim->domains[i].id = domain_names[i];
		sim->domain_list[i] = &sim->domains[i];
	}
	for (int i = 0; i < UPSTREAMS; i++) {
		g_snprintf(sim->ids[i], sizeof(sim->ids[i]), "e%02d", i);
		heatherturn__v1__upstream__init(&sim->upstreams[i]);
		sim->upstreams[i].id = sim->ids[i];
		sim->upstreams[i].service = i < UPSTREAMS - pool ? "verse" : "";
		sim->upstreams[i].failure_domain = domain_names[i % DOMAINS];
		sim->upstreams[i].dialect = "engine";
		sim->upstream_list[i] = &sim->upstreams[i];
	}
	init_rollout(&sim->rollouts[0], "verse", "m1", sim->steps);
	init_rollout(&sim->rollouts[1], "chat", "m2", sim->steps);
	sim->rollout_list[0] = &sim->rollouts[0];
	sim->rollout_list[1] = &sim->rollouts[1];
	sim->config.n_upstreams = UPSTREAMS;
	sim->config.upstreams = sim->upstream_list;
	sim->config.n_failure_domains = DOMAINS;
	sim->config.failure_domains = sim->domain_list;
	sim->config.n_rollouts = pool > 0 ? 2 : 1;
	sim->config.rollouts = sim->rollout_list;
	sim->document = g_new0(Heatherturn__V1__PlacementDocument, 1);
	heatherturn__v1__placement_document__init(sim->document);
}

/* Frees the simulation. */
static void
tear_down(struct sim *sim)
{
	placement_free(sim->planners[0]);
	placement_free(sim->planners[1]);
	heatherturn__v1__placement_document__free_unpacked(sim->document, NULL);
	g_rand_free(sim->rand);
}

/* Finds an upstream's assignment; NULL if there is none. */
static const Heatherturn__V1__Assignment *
find_assignment(
    const Heatherturn__V1__PlacementDocument *document, const char *id)
{
	for (size_t i = 0; i < document->n_assignments; i++) {
		if (strcmp(document->assignments[i]->upstream, id) == 0)
			return document->assignments[i];
	}
	return NULL;
}

/* Returns whether a fake upstream is warm. */
static bool
is_warm(const struct sim *sim, int i)
{
	const struct fake_upstream *fake_upstream = &sim->fakes[i];

	return !fake_upstream->dead && fake_upstream->version[0] != '\0' &&
	    sim->now_ms >= fake_upstream->busy_until_ms &&
	    sim->now_ms >= fake_upstream->warm_from_ms;
}

/* Each live upstream loads its assignment if its fencing number is newer. */
static void
apply_assignments(struct sim *sim)
{
	uint32_t loading = 0;

	for (int i = 0; i < UPSTREAMS; i++) {
		struct fake_upstream *fake_upstream = &sim->fakes[i];
		const Heatherturn__V1__Assignment *to = find_assignment(
		    sim->document, sim->ids[i]);

		if (to == NULL || fake_upstream->dead)
			continue;
		if (to->fencing > fake_upstream->fencing) {
			fake_upstream->fencing = to->fencing;
			if (strcmp(fake_upstream->version, to->model_version) !=
				0 ||
			    strcmp(fake_upstream->model, to->model) != 0) {
				fake_upstream->busy_until_ms = sim->now_ms +
				    LOAD_DURATION_MS;
				fake_upstream->warm_from_ms = sim->now_ms +
				    LOAD_DURATION_MS + COLD_DURATION_MS;
			}
			g_strlcpy(fake_upstream->version, to->model_version,
			    sizeof(fake_upstream->version));
			g_strlcpy(fake_upstream->model, to->model,
			    sizeof(fake_upstream->model));
		}
		loading += sim->now_ms < fake_upstream->busy_until_ms;
	}
	sim->max_loading = MAX(sim->max_loading, loading);
}

/* Passes the state of all upstreams to a planner. */
static void
observe(const struct sim *sim, struct placement *planner)
{
	for (int i = 0; i < UPSTREAMS; i++) {
		const struct fake_upstream *fake_upstream = &sim->fakes[i];
		bool loaded = sim->now_ms >= fake_upstream->busy_until_ms;
		struct placement_observation observed = {
		    .upstream = sim->ids[i],
		    .live = !fake_upstream->dead,
		    .warm = is_warm(sim, i),
		    .model = loaded ? fake_upstream->model : "",
		    .adapter = "",
		    .model_version = loaded ? fake_upstream->version : "",
		    .fencing = fake_upstream->fencing,
		};

		placement_observe(planner, &observed);
	}
}

/* Stores a new document, counts its changes and checks its fencing numbers. */
static void
accept_document(struct sim *sim, Heatherturn__V1__PlacementDocument *next)
{
	g_assert_cmpuint(next->version, ==, sim->document->version + 1);
	for (size_t i = 0; i < next->n_assignments; i++) {
		const Heatherturn__V1__Assignment *to = next->assignments[i];
		const Heatherturn__V1__Assignment *from = find_assignment(
		    sim->document, to->upstream);

		if (from != NULL && from->fencing == to->fencing) {
			g_assert_cmpstr(
			    from->model_version, ==, to->model_version);
			continue;
		}
		if (from != NULL)
			g_assert_cmpuint(to->fencing, >, from->fencing);
		sim->changes++;
	}
	heatherturn__v1__placement_document__free_unpacked(sim->document, NULL);
	sim->document = next;
	sim->documents++;
}

/* One or both planners plan from the same document; the first write wins. */
static void
plan(struct sim *sim, bool both)
{
	Heatherturn__V1__PlacementDocument *next[2] = {NULL, NULL};

	for (int i = 0; i <= both; i++) {
		observe(sim, sim->planners[i]);
		next[i] = placement_plan(sim->planners[i], &sim->config,
		    sim->document, time_from_ms(sim->now_ms));
	}
	if (next[0] != NULL && next[1] != NULL)
		sim->conflicts++;
	if (next[0] != NULL && next[1] != NULL)
		heatherturn__v1__placement_document__free_unpacked(
		    next[1], NULL);
	if (next[0] != NULL)
		accept_document(sim, next[0]);
	else if (next[1] != NULL)
		accept_document(sim, next[1]);
	apply_assignments(sim);
	sim->now_ms += PLAN_INTERVAL_MS;
}

/* Runs the first planner for a number of seconds without faults. */
static void
run_without_faults(struct sim *sim, int seconds)
{
	for (int i = 0; i < seconds; i++)
		plan(sim, false);
}

/* Counts the upstreams with a model's version assigned. */
static uint32_t
count_version(const struct sim *sim, const char *model, const char *version)
{
	uint32_t count = 0;

	for (size_t i = 0; i < sim->document->n_assignments; i++) {
		const Heatherturn__V1__Assignment *to = sim->document
							    ->assignments[i];

		count += strcmp(to->model, model) == 0 &&
		    strcmp(to->model_version, version) == 0;
	}
	return count;
}

/* Counts the warm upstreams. */
static uint32_t
count_warm(const struct sim *sim)
{
	uint32_t count = 0;

	for (int i = 0; i < UPSTREAMS; i++)
		count += is_warm(sim, i);
	return count;
}

struct rollout_case {
	const char *name;
	uint32_t step;
	Heatherturn__V1__RolloutState state;
	uint32_t v1; /* upstreams with v1 assigned at the end */
	uint32_t changes; /* of assignments, since all had v0 */
};

static const struct rollout_case rollout_cases[] = {
    {"/placement/the first step updates a tenth, rounded up", 0,
	HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_RUNNING, 2, 2},
    {"/placement/the second step updates half", 1,
	HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_RUNNING, 6, 6},
    {"/placement/the last step updates all, each once", 2,
	HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_RUNNING, 12, 12},
    {"/placement/a paused rollout updates nothing", 2,
	HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_PAUSED, 0, 0},
};

/*
 * Rolls out from v0 to v1 and back. Not too many may load at the same time, and
 * enough must stay warm.
 */
static void
test_rollout(gconstpointer data)
{
	const struct rollout_case *c = data;
	struct sim sim;
	uint32_t before, min_warm = UPSTREAMS;

	set_up(&sim, 1, 0);
	sim.rollouts[0]
	    .state = HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_ROLLED_BACK;
	run_without_faults(&sim, SETTLE_DURATION_S);
	g_assert_cmpuint(count_version(&sim, "m1", "v0"), ==, UPSTREAMS);
	before = sim.changes;
	sim.rollouts[0].state = c->state;
	sim.rollouts[0].step = c->step;
	for (int i = 0; i < SETTLE_DURATION_S; i++) {
		plan(&sim, false);
		min_warm = MIN(min_warm, count_warm(&sim));
	}
	g_test_message("v1 at %u, %u changes, at least %u of %d warm, at most "
		       "%u loading",
	    count_version(&sim, "m1", "v1"), sim.changes - before, min_warm,
	    UPSTREAMS, sim.max_loading);
	g_assert_cmpuint(count_version(&sim, "m1", "v1"), ==, c->v1);
	g_assert_cmpuint(sim.changes - before, ==, c->changes);
	g_assert_cmpuint(min_warm, >=, 9);
	g_assert_cmpuint(sim.max_loading, <=, LOADS_MAX);
	sim.rollouts[0]
	    .state = HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_ROLLED_BACK;
	run_without_faults(&sim, SETTLE_DURATION_S);
	g_assert_cmpuint(count_version(&sim, "m1", "v1"), ==, 0);
	tear_down(&sim);
}

/* If a new version never finishes loading, its rollout stops. */
static void
test_failing_version(void)
{
	struct sim sim;

	set_up(&sim, 1, 0);
	sim.rollouts[0]
	    .state = HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_ROLLED_BACK;
	run_without_faults(&sim, SETTLE_DURATION_S);
	sim.rollouts[0]
	    .state = HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_RUNNING;
	sim.rollouts[0].step = 2;
	for (int i = 0; i < SETTLE_DURATION_S; i++) {
		plan(&sim, false);
		for (int u = 0; u < UPSTREAMS; u++) {
			if (strcmp(sim.fakes[u].version, "v1") == 0)
				sim.fakes[u].busy_until_ms = INT64_MAX;
		}
	}
	g_assert_cmpuint(count_version(&sim, "m1", "v1"), ==, LOADS_MAX);
	g_assert_cmpuint(count_warm(&sim), ==, UPSTREAMS - LOADS_MAX);
	tear_down(&sim);
}

/* Nothing is loaded until the time given with a refused permit. */
static void
test_permits(void)
{
	struct sim sim;

	set_up(&sim, 1, 0);
	placement_on_permit_refused(
	    sim.planners[0], 5 * PLAN_INTERVAL_MS, time_from_ms(sim.now_ms));
	run_without_faults(&sim, 5);
	g_assert_cmpuint(sim.changes, ==, 0);
	run_without_faults(&sim, 2);
	g_assert_cmpuint(sim.changes, ==, LOADS_MAX);
	tear_down(&sim);
}

/* The pool follows demand, but not its short fluctuations. */
static void
test_pool(void)
{
	struct sim sim;
	uint32_t chat, moves;

	set_up(&sim, 1, 6);
	for (int s = 0; s < 2 * SETTLE_DURATION_S; s++) {
		placement_update_demand(
		    sim.planners[0], "verse", 10000, time_from_ms(sim.now_ms));
		placement_update_demand(
		    sim.planners[0], "chat", 10000, time_from_ms(sim.now_ms));
		plan(&sim, false);
	}
	chat = count_version(&sim, "m2", "v0") +
	    count_version(&sim, "m2", "v1");
	g_assert_cmpuint(chat, >=, 5);
	moves = sim.changes;
	for (int s = 0; s < 2 * SETTLE_DURATION_S; s++) {
		placement_update_demand(sim.planners[0], "verse",
		    s / 120 % 2 ? 6000 : 18000, time_from_ms(sim.now_ms));
		plan(&sim, false);
	}
	g_assert_cmpuint(sim.changes, ==, moves);
	for (int s = 0; s < 2 * SETTLE_DURATION_S; s++) {
		placement_update_demand(
		    sim.planners[0], "verse", 60000, time_from_ms(sim.now_ms));
		plan(&sim, false);
	}
	g_test_message("chat had %u of 12 at equal demand, %u at a sixth", chat,
	    count_version(&sim, "m2", "v0") + count_version(&sim, "m2", "v1"));
	g_assert_cmpuint(
	    count_version(&sim, "m2", "v0") + count_version(&sim, "m2", "v1"),
	    <, chat);
	tear_down(&sim);
}

/* Injects random faults and operators' changes for one interval. */
static void
inject_faults(struct sim *sim)
{
	int i = g_rand_int_range(sim->rand, 0, UPSTREAMS);
	static char *versions[VERSIONS] = {"v0", "v1", "v2", "v3"};

	if (g_rand_int_range(sim->rand, 0, 60) == 0) {
		sim->fakes[i].dead = !sim->fakes[i].dead;
		if (!sim->fakes[i].dead) /* restarts with nothing loaded */
			sim->fakes[i] = (struct fake_upstream){
			    .warm_from_ms = sim->now_ms + COLD_DURATION_MS};
	}
	if (g_rand_int_range(sim->rand, 0, 200) == 0)
		sim->domains[i % DOMAINS].state =
		    (Heatherturn__V1__FailureDomainState)g_rand_int_range(
			sim->rand, 1, 3);
	if (g_rand_int_range(sim->rand, 0, 150) == 0)
		sim->rollouts[0].state = (Heatherturn__V1__RolloutState)
		    g_rand_int_range(sim->rand, 1, 4);
	if (g_rand_int_range(sim->rand, 0, 150) == 0)
		sim->rollouts[0].step = (uint32_t)g_rand_int_range(
		    sim->rand, 0, 3);
	if (g_rand_int_range(sim->rand, 0, 600) == 0) {
		sim->rollouts[0].previous_model_version = sim->rollouts[0]
							      .model_version;
		sim->rollouts[0].model_version =
		    versions[g_rand_int_range(sim->rand, 0, VERSIONS)];
	}
}

/*
 * Fencing numbers increase whatever fails, and once faults end all upstreams
 * have the last version and no more documents are written.
 */
static void
test_random(void)
{
	for (uint32_t seed = 1; seed <= 16; seed++) {
		struct sim sim;
		uint32_t documents;

		set_up(&sim, seed, 0);
		for (int s = 0; s < RANDOM_DURATION_S; s++) {
			inject_faults(&sim);
			plan(&sim, true);
		}
		for (int i = 0; i < UPSTREAMS; i++)
			sim.fakes[i].dead = false;
		for (int i = 0; i < DOMAINS; i++)
			sim.domains[i].state =
			    HEATHERTURN__V1__FAILURE_DOMAIN_STATE__FAILURE_DOMAIN_STATE_IN_SERVICE;
		sim.rollouts[0].state =
		    HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_RUNNING;
		sim.rollouts[0].step = 2;
		run_without_faults(&sim, 2 * SETTLE_DURATION_S);
		documents = sim.documents;
		run_without_faults(&sim, SETTLE_DURATION_S);
		g_test_message("seed %u: documents %u, changes %u, planners "
			       "in conflict %u, at most %u loading",
		    seed, sim.documents, sim.changes, sim.conflicts,
		    sim.max_loading);
		g_assert_cmpuint(sim.documents, ==, documents);
		g_assert_cmpuint(
		    count_version(&sim, "m1", sim.rollouts[0].model_version),
		    ==, UPSTREAMS);
		g_assert_cmpuint(count_warm(&sim), ==, UPSTREAMS);
		tear_down(&sim);
	}
}

/* The planning entry changes only when that entry is lost. */
static void
test_planner(void)
{
	static const char *const entries[] = {"x", "y", "z"};
	size_t chosen = placement_choose_planner(entries, 3);
	const char *rest[2];
	size_t count = 0;

	for (size_t i = 0; i < 3; i++) {
		if (i != (chosen + 1) % 3)
			rest[count++] = entries[i];
	}
	g_assert_cmpstr(
	    rest[placement_choose_planner(rest, 2)], ==, entries[chosen]);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	for (gsize i = 0; i < G_N_ELEMENTS(rollout_cases); i++)
		g_test_add_data_func(
		    rollout_cases[i].name, &rollout_cases[i], test_rollout);
	g_test_add_func("/placement/a version that never finishes loading "
			"stops its rollout",
	    test_failing_version);
	g_test_add_func(
	    "/placement/nothing is loaded without permits", test_permits);
	g_test_add_func(
	    "/placement/the pool follows demand but not short fluctuations",
	    test_pool);
	g_test_add_func(
	    "/placement/the planner stays the same when another entry is lost",
	    test_planner);
	g_test_add_func(
	    "/placement/all upstreams converge when faults end", test_random);
	return g_test_run();
}
