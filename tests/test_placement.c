/*
 * Placement: rollouts, the pool and the pace of changes, with upstreams that
 * load for a while and are cold after it, in virtual time.
 */
#include <string.h>

#include <glib.h>

#include "base/clock.h"
#include "base/invariant.h"
#include "policy/placement.h"

#define UPSTREAMS 12
#define DOMAINS	  3
#define PLAN_MS	  1000
#define LOAD_MS	  30000
#define COLD_MS	  20000
#define LOADS_MAX 2
#define DEMAND_MS 60000
#define SETTLE_S  1200
#define RANDOM_S  3600
#define VERSIONS  4

/* An upstream that obeys its assignment as a sidecar would. */
struct fake {
	char id[8];
	char version[8];
	char model[8];
	uint64_t fencing;
	int64_t busy_until_ms; /* loads */
	int64_t warm_from_ms;
	bool dead;
};

struct world {
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
	struct fake fakes[UPSTREAMS];
	char ids[UPSTREAMS][8];
	Heatherturn__V1__PlacementDocument *document;
	uint32_t changes; /* of assignments */
	uint32_t documents;
	uint32_t conflicts;
	uint32_t most_loading;
};

static char *domain_names[DOMAINS] = {"a", "b", "c"};

/* Sets up a rollout in the last step of a new version. */
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

/* Makes a fleet that holds nothing; pool of them have no service. */
static void
init(struct world *world, uint32_t seed, int pool)
{
	struct placement_limits limits;

	*world = (struct world){.now_ms = 1000, .steps = {10, 50, 100}};
	world->rand = g_rand_new_with_seed(seed);
	placement_limits_init(&limits);
	for (int i = 0; i < 2; i++)
		world->planners[i] = placement_new(
		    &limits, time_from_ms(world->now_ms));
	heatherturn__v1__config_document__init(&world->config);
	for (int i = 0; i < DOMAINS; i++) {
		heatherturn__v1__failure_domain__init(&world->domains[i]);
		world->domains[i].id = domain_names[i];
		world->domain_list[i] = &world->domains[i];
	}
	for (int i = 0; i < UPSTREAMS; i++) {
		g_snprintf(world->ids[i], sizeof(world->ids[i]), "e%02d", i);
		heatherturn__v1__upstream__init(&world->upstreams[i]);
		world->upstreams[i].id = world->ids[i];
		world->upstreams[i].service = i < UPSTREAMS - pool ? "verse"
								   : "";
		world->upstreams[i].failure_domain = domain_names[i % DOMAINS];
		world->upstreams[i].dialect = "engine";
		world->upstream_list[i] = &world->upstreams[i];
	}
	init_rollout(&world->rollouts[0], "verse", "m1", world->steps);
	init_rollout(&world->rollouts[1], "chat", "m2", world->steps);
	world->rollout_list[0] = &world->rollouts[0];
	world->rollout_list[1] = &world->rollouts[1];
	world->config.n_upstreams = UPSTREAMS;
	world->config.upstreams = world->upstream_list;
	world->config.n_failure_domains = DOMAINS;
	world->config.failure_domains = world->domain_list;
	world->config.n_rollouts = pool > 0 ? 2 : 1;
	world->config.rollouts = world->rollout_list;
	world->document = g_new0(Heatherturn__V1__PlacementDocument, 1);
	heatherturn__v1__placement_document__init(world->document);
}

/* Frees the world. */
static void
clear(struct world *world)
{
	placement_free(world->planners[0]);
	placement_free(world->planners[1]);
	heatherturn__v1__placement_document__free_unpacked(
	    world->document, NULL);
	g_rand_free(world->rand);
}

/* Finds an upstream's assignment, NULL for none. */
static const Heatherturn__V1__Assignment *
assignment_of(
    const Heatherturn__V1__PlacementDocument *document, const char *id)
{
	for (size_t i = 0; i < document->n_assignments; i++) {
		if (strcmp(document->assignments[i]->upstream, id) == 0)
			return document->assignments[i];
	}
	return NULL;
}

/* Says whether a fake upstream is warm with what it is to hold. */
static bool
is_warm(const struct world *world, int i)
{
	const struct fake *fake = &world->fakes[i];

	return !fake->dead && fake->version[0] != '\0' &&
	    world->now_ms >= fake->busy_until_ms &&
	    world->now_ms >= fake->warm_from_ms;
}

/* Lets each live upstream load what it is to hold, newer orders only. */
static void
obey(struct world *world)
{
	uint32_t loading = 0;

	for (int i = 0; i < UPSTREAMS; i++) {
		struct fake *fake = &world->fakes[i];
		const Heatherturn__V1__Assignment *to = assignment_of(
		    world->document, world->ids[i]);

		if (to == NULL || fake->dead)
			continue;
		if (to->fencing > fake->fencing) {
			fake->fencing = to->fencing;
			if (strcmp(fake->version, to->model_version) != 0 ||
			    strcmp(fake->model, to->model) != 0) {
				fake->busy_until_ms = world->now_ms + LOAD_MS;
				fake->warm_from_ms = world->now_ms + LOAD_MS +
				    COLD_MS;
			}
			g_strlcpy(fake->version, to->model_version,
			    sizeof(fake->version));
			g_strlcpy(fake->model, to->model, sizeof(fake->model));
		}
		loading += world->now_ms < fake->busy_until_ms;
	}
	world->most_loading = MAX(world->most_loading, loading);
}

/* Tells a planner what can be seen. */
static void
observe(const struct world *world, struct placement *planner)
{
	for (int i = 0; i < UPSTREAMS; i++) {
		const struct fake *fake = &world->fakes[i];
		bool loaded = world->now_ms >= fake->busy_until_ms;
		struct placement_observation observed = {
		    .upstream = world->ids[i],
		    .live = !fake->dead,
		    .warm = is_warm(world, i),
		    .model = loaded ? fake->model : "",
		    .adapter = "",
		    .model_version = loaded ? fake->version : "",
		    .fencing = fake->fencing,
		};

		placement_observe(planner, &observed);
	}
}

/* Counts what a new document changes and checks its fencing numbers. */
static void
take(struct world *world, Heatherturn__V1__PlacementDocument *next)
{
	g_assert_cmpuint(next->version, ==, world->document->version + 1);
	for (size_t i = 0; i < next->n_assignments; i++) {
		const Heatherturn__V1__Assignment *to = next->assignments[i];
		const Heatherturn__V1__Assignment *from = assignment_of(
		    world->document, to->upstream);

		if (from != NULL && from->fencing == to->fencing) {
			g_assert_cmpstr(
			    from->model_version, ==, to->model_version);
			continue;
		}
		if (from != NULL)
			g_assert_cmpuint(to->fencing, >, from->fencing);
		world->changes++;
	}
	heatherturn__v1__placement_document__free_unpacked(
	    world->document, NULL);
	world->document = next;
	world->documents++;
}

/* Both planners plan from the same document; the first write wins. */
static void
plan(struct world *world, bool both)
{
	Heatherturn__V1__PlacementDocument *next[2] = {NULL, NULL};

	for (int i = 0; i <= both; i++) {
		observe(world, world->planners[i]);
		next[i] = placement_plan(world->planners[i], &world->config,
		    world->document, time_from_ms(world->now_ms));
	}
	if (next[0] != NULL && next[1] != NULL)
		world->conflicts++;
	if (next[0] != NULL && next[1] != NULL)
		heatherturn__v1__placement_document__free_unpacked(
		    next[1], NULL);
	if (next[0] != NULL)
		take(world, next[0]);
	else if (next[1] != NULL)
		take(world, next[1]);
	obey(world);
	world->now_ms += PLAN_MS;
}

/* Plans for so many seconds without any fault. */
static void
settle(struct world *world, int seconds)
{
	for (int i = 0; i < seconds; i++)
		plan(world, false);
}

/* Counts the upstreams that are to hold a version, and of what model. */
static uint32_t
count_version(const struct world *world, const char *model, const char *version)
{
	uint32_t count = 0;

	for (size_t i = 0; i < world->document->n_assignments; i++) {
		const Heatherturn__V1__Assignment *to = world->document
							    ->assignments[i];

		count += strcmp(to->model, model) == 0 &&
		    strcmp(to->model_version, version) == 0;
	}
	return count;
}

/* Counts the warm upstreams of the one service. */
static uint32_t
count_warm(const struct world *world)
{
	uint32_t count = 0;

	for (int i = 0; i < UPSTREAMS; i++)
		count += is_warm(world, i);
	return count;
}

struct rollout_case {
	const char *name;
	uint32_t step;
	Heatherturn__V1__RolloutState state;
	uint32_t v1; /* that are to hold it in the end */
	uint32_t changes; /* after all held v0 */
};

static const struct rollout_case rollout_cases[] = {
    {"/placement/the first step moves a tenth, rounded up", 0,
	HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_RUNNING, 2, 2},
    {"/placement/the second step moves half", 1,
	HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_RUNNING, 6, 6},
    {"/placement/the last step moves all, each once", 2,
	HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_RUNNING, 12, 12},
    {"/placement/a paused rollout moves nothing", 2,
	HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_PAUSED, 0, 0},
};

/* Rolls out from a fleet that holds v0, and checks pace and floor on the way.
 */
static void
test_rollout(gconstpointer data)
{
	const struct rollout_case *item = data;
	struct world world;
	uint32_t before, least = UPSTREAMS;

	init(&world, 1, 0);
	world.rollouts[0]
	    .state = HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_ROLLED_BACK;
	settle(&world, SETTLE_S);
	g_assert_cmpuint(count_version(&world, "m1", "v0"), ==, UPSTREAMS);
	before = world.changes;
	world.rollouts[0].state = item->state;
	world.rollouts[0].step = item->step;
	for (int i = 0; i < SETTLE_S; i++) {
		plan(&world, false);
		least = MIN(least, count_warm(&world));
	}
	g_test_message("v1 at %u, %u changes, at least %u of %d warm, at most "
		       "%u loading",
	    count_version(&world, "m1", "v1"), world.changes - before, least,
	    UPSTREAMS, world.most_loading);
	g_assert_cmpuint(count_version(&world, "m1", "v1"), ==, item->v1);
	g_assert_cmpuint(world.changes - before, ==, item->changes);
	g_assert_cmpuint(least, >=, 9);
	g_assert_cmpuint(world.most_loading, <=, LOADS_MAX);
	world.rollouts[0]
	    .state = HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_ROLLED_BACK;
	settle(&world, SETTLE_S);
	g_assert_cmpuint(count_version(&world, "m1", "v1"), ==, 0);
	clear(&world);
}

/* A version that never comes up stops its own rollout. */
static void
test_stuck(void)
{
	struct world world;

	init(&world, 1, 0);
	world.rollouts[0]
	    .state = HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_ROLLED_BACK;
	settle(&world, SETTLE_S);
	world.rollouts[0]
	    .state = HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_RUNNING;
	world.rollouts[0].step = 2;
	for (int i = 0; i < SETTLE_S; i++) {
		plan(&world, false);
		for (int u = 0; u < UPSTREAMS; u++) {
			if (strcmp(world.fakes[u].version, "v1") == 0)
				world.fakes[u].busy_until_ms = INT64_MAX;
		}
	}
	g_assert_cmpuint(count_version(&world, "m1", "v1"), ==, LOADS_MAX);
	g_assert_cmpuint(count_warm(&world), ==, UPSTREAMS - LOADS_MAX);
	clear(&world);
}

/* Without permits nothing is loaded. */
static void
test_permits(void)
{
	struct world world;

	init(&world, 1, 0);
	placement_on_permit_refused(
	    world.planners[0], 5 * PLAN_MS, time_from_ms(world.now_ms));
	settle(&world, 5);
	g_assert_cmpuint(world.changes, ==, 0);
	settle(&world, 2);
	g_assert_cmpuint(world.changes, ==, LOADS_MAX);
	clear(&world);
}

/* The pool follows demand, and does not swing when demand swings a little. */
static void
test_pool(void)
{
	struct world world;
	uint32_t chat, moves;

	init(&world, 1, 6);
	for (int s = 0; s < 2 * SETTLE_S; s++) {
		placement_update_demand(world.planners[0], "verse", 10000,
		    time_from_ms(world.now_ms));
		placement_update_demand(world.planners[0], "chat", 10000,
		    time_from_ms(world.now_ms));
		plan(&world, false);
	}
	chat = count_version(&world, "m2", "v0") +
	    count_version(&world, "m2", "v1");
	g_assert_cmpuint(chat, >=, 5);
	moves = world.changes;
	for (int s = 0; s < 2 * SETTLE_S; s++) {
		placement_update_demand(world.planners[0], "verse",
		    s / 120 % 2 ? 6000 : 18000, time_from_ms(world.now_ms));
		plan(&world, false);
	}
	g_assert_cmpuint(world.changes, ==, moves);
	for (int s = 0; s < 2 * SETTLE_S; s++) {
		placement_update_demand(world.planners[0], "verse", 60000,
		    time_from_ms(world.now_ms));
		plan(&world, false);
	}
	g_test_message("chat had %u of 12 at equal demand, %u at a sixth", chat,
	    count_version(&world, "m2", "v0") +
		count_version(&world, "m2", "v1"));
	g_assert_cmpuint(count_version(&world, "m2", "v0") +
		count_version(&world, "m2", "v1"),
	    <, chat);
	clear(&world);
}

/* One step of random faults and operators' changes. */
static void
strike(struct world *world)
{
	int i = g_rand_int_range(world->rand, 0, UPSTREAMS);
	static char *versions[VERSIONS] = {"v0", "v1", "v2", "v3"};

	if (g_rand_int_range(world->rand, 0, 60) == 0) {
		world->fakes[i].dead = !world->fakes[i].dead;
		if (!world->fakes[i].dead) /* starts anew, with nothing */
			world->fakes[i] = (struct fake){
			    .warm_from_ms = world->now_ms + COLD_MS};
	}
	if (g_rand_int_range(world->rand, 0, 200) == 0)
		world->domains[i % DOMAINS].state =
		    (Heatherturn__V1__FailureDomainState)g_rand_int_range(
			world->rand, 1, 3);
	if (g_rand_int_range(world->rand, 0, 150) == 0)
		world->rollouts[0].state = (Heatherturn__V1__RolloutState)
		    g_rand_int_range(world->rand, 1, 4);
	if (g_rand_int_range(world->rand, 0, 150) == 0)
		world->rollouts[0].step = (uint32_t)g_rand_int_range(
		    world->rand, 0, 3);
	if (g_rand_int_range(world->rand, 0, 600) == 0) {
		world->rollouts[0].previous_model_version = world->rollouts[0]
								.model_version;
		world->rollouts[0].model_version =
		    versions[g_rand_int_range(world->rand, 0, VERSIONS)];
	}
}

/* Whatever fails, fencing rises, and all settles when faults end. */
static void
test_random(void)
{
	for (uint32_t seed = 1; seed <= 16; seed++) {
		struct world world;
		uint32_t documents;

		init(&world, seed, 0);
		for (int s = 0; s < RANDOM_S; s++) {
			strike(&world);
			plan(&world, true);
		}
		for (int i = 0; i < UPSTREAMS; i++)
			world.fakes[i].dead = false;
		for (int i = 0; i < DOMAINS; i++)
			world.domains[i].state =
			    HEATHERTURN__V1__FAILURE_DOMAIN_STATE__FAILURE_DOMAIN_STATE_IN_SERVICE;
		world.rollouts[0].state =
		    HEATHERTURN__V1__ROLLOUT_STATE__ROLLOUT_STATE_RUNNING;
		world.rollouts[0].step = 2;
		settle(&world, 2 * SETTLE_S);
		documents = world.documents;
		settle(&world, SETTLE_S);
		g_test_message("seed %u: documents %u, changes %u, planners "
			       "in conflict %u, at most %u loading",
		    seed, world.documents, world.changes, world.conflicts,
		    world.most_loading);
		g_assert_cmpuint(world.documents, ==, documents);
		g_assert_cmpuint(count_version(&world, "m1",
				     world.rollouts[0].model_version),
		    ==, UPSTREAMS);
		g_assert_cmpuint(count_warm(&world), ==, UPSTREAMS);
		clear(&world);
	}
}

/* One entry plans, and it changes only when that entry leaves. */
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

/* Runs all tests. */
int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	invariant_set_fatal(true);
	for (gsize i = 0; i < G_N_ELEMENTS(rollout_cases); i++)
		g_test_add_data_func(
		    rollout_cases[i].name, &rollout_cases[i], test_rollout);
	g_test_add_func(
	    "/placement/a version that never comes up stops its own rollout",
	    test_stuck);
	g_test_add_func(
	    "/placement/without permits nothing is loaded", test_permits);
	g_test_add_func(
	    "/placement/the pool follows demand and does not swing", test_pool);
	g_test_add_func(
	    "/placement/one entry plans as long as it lives", test_planner);
	g_test_add_func("/placement/all settles when faults end", test_random);
	return g_test_run();
}
