/*
 * Many gateways that hold an upstream's rate together, in virtual time: what
 * they grant stays within the bound while gateways start, die and lose each
 * other, and in calm times the rate is used.
 */
#include <string.h>

#include "base/clock.h"
#include "cases.h"
#include "policy/shared_rate.h"

#define GATEWAYS_MAX 68
#define UPSTREAM     "i-1"
#define STEP_MS	     5
#define RUN_MS	     90000
/* As the gateways exchange and expire their reports. */
#define ROUND_MS	100
#define ROUND_PEER_MS	4
#define TIMEOUT_ROUNDS	6
#define SETTLE_MS	5000
#define LIST_MS		10000
#define LIST_START_MS	2000
#define LIST_STARTS	3
#define LIST_START_MIN	8
#define DENIED_RETRY_MS 250
/* A request that was granted arrives this much later at most. */
#define TRAVEL_MS 40
/* The most that may arrive in a window: excess, slack and length. */
#define EXCESS	  1.5
#define SLACK	  5.0
#define WINDOW_MS 4000
/* Requests that come, as a multiple of the rate. */
#define DEMAND 30.0
/* Calm times begin once all gateways have settled. */
#define CALM_FROM_MS 14000

/* What goes wrong from FAULT_FROM_MS to FAULT_TO_MS. */
enum fault {
	FAULT_NONE,
	FAULT_RESTARTS, /* one gateway after the other is killed, all the time
			 */
	FAULT_KILL_COORDINATOR, /* again and again */
	FAULT_KILL_ALL, /* at the same moment; they come back */
	FAULT_ADD, /* a gateway that was never there starts, again and again */
	FAULT_SPLIT, /* a part of the gateways is cut off from the others */
	FAULT_SCATTER, /* each gateway is cut off from all others */
	FAULT_SCATTER_IDLE, /* the same; no requests come until near the end */
	FAULT_SHIFTING_SPLIT, /* a split between other gateways every 3 s */
	FAULT_COORDINATOR_LINK, /* one gateway can't reach the coordinator */
	FAULT_LOSSY, /* half of all reports are lost */
};

#define FAULT_FROM_MS 30000
#define FAULT_TO_MS   60000
#define IDLE_FROM_MS  34000
#define IDLE_TO_MS    56000

static const struct rate_case {
	const char *name;
	size_t gateways;
	double per_s;
	enum fault fault;
	size_t part; /* gateways that are cut off */
	double used_min; /* share of the rate that is used in calm times */
} cases[] = {
    {"one gateway", 1, 1.4, FAULT_NONE, 0, 0.85},
    {"five gateways", 5, 1.4, FAULT_NONE, 0, 0.85},
    {"five gateways under a high rate", 5, 40.0, FAULT_NONE, 0, 0.85},
    {"five gateways under less than one a second", 5, 0.3, FAULT_NONE, 0, 0.8},
    {"68 gateways", 68, 1.4, FAULT_NONE, 0, 0.85},
    {"68 gateways under less than one a second", 68, 0.4, FAULT_NONE, 0, 0.8},
    {"restarts in turn", 5, 1.4, FAULT_RESTARTS, 0, 0.7},
    {"restarts in turn of 68", 68, 1.4, FAULT_RESTARTS, 0, 0.7},
    {"the coordinator dies again and again", 5, 1.4, FAULT_KILL_COORDINATOR, 0,
	0.7},
    {"the coordinator of 68 dies again and again", 68, 0.7,
	FAULT_KILL_COORDINATOR, 0, 0.7},
    {"all die at once", 5, 1.4, FAULT_KILL_ALL, 0, 0.7},
    {"68 die at once", 68, 2.0, FAULT_KILL_ALL, 0, 0.7},
    {"gateways are added", 5, 1.4, FAULT_ADD, 0, 0.7},
    {"gateways are added under a high rate", 30, 12.0, FAULT_ADD, 0, 0.7},
    {"one gateway is cut off", 5, 1.4, FAULT_SPLIT, 1, 0.7},
    {"two of five are cut off", 5, 3.0, FAULT_SPLIT, 2, 0.7},
    {"half of four are cut off", 4, 3.0, FAULT_SPLIT, 2, 0.7},
    {"half of 68 are cut off", 68, 1.0, FAULT_SPLIT, 34, 0.7},
    {"a third of 68 is cut off under a high rate", 68, 20.0, FAULT_SPLIT, 22,
	0.7},
    {"all lose each other", 5, 1.4, FAULT_SCATTER, 0, 0.7},
    {"68 lose each other", 68, 0.7, FAULT_SCATTER, 0, 0.7},
    {"40 lose each other", 40, 2.0, FAULT_SCATTER, 0, 0.7},
    {"40 that lose each other are idle, then all have requests", 40, 2.0,
	FAULT_SCATTER_IDLE, 0, 0.7},
    {"splits between changing gateways", 5, 1.4, FAULT_SHIFTING_SPLIT, 2, 0.7},
    {"splits between changing ones of 68", 68, 1.4, FAULT_SHIFTING_SPLIT, 20,
	0.7},
    {"one gateway loses the coordinator", 5, 1.4, FAULT_COORDINATOR_LINK, 0,
	0.7},
    {"one of 68 loses the coordinator", 68, 5.0, FAULT_COORDINATOR_LINK, 0,
	0.7},
    {"reports are lost", 5, 1.4, FAULT_LOSSY, 0, 0.7},
};

/* What a gateway has heard of another one. */
struct heard {
	int64_t at_ms; /* 0: nothing */
	bool may_coordinate;
	uint64_t view;
};

struct gateway {
	char name[8];
	bool alive;
	bool registered; /* ever */
	int64_t started_ms;
	int64_t round_ms; /* of the next report */
	int64_t list_ms; /* of the next read of the list */
	unsigned int reads;
	uint32_t listed; /* gateways in the list */
	struct heard heard[GATEWAYS_MAX];
	int64_t denied_until_ms;
	double group; /* those in other groups are cut off */
	struct shared_rate rate;
};

struct model {
	const struct rate_case *c;
	GRand *random;
	int64_t now_ms;
	size_t count;
	struct gateway gateways[GATEWAYS_MAX];
	size_t lost_link; /* gateway that can't reach the coordinator */
	GArray *arrivals; /* of int64_t, ms */
};

/* Starts a gateway. */
static void
start(struct model *m, size_t index)
{
	struct gateway *gateway = &m->gateways[index];

	*gateway = (struct gateway){.alive = true,
	    .registered = true,
	    .started_ms = m->now_ms,
	    .round_ms = m->now_ms + g_rand_int_range(m->random, 1, ROUND_MS),
	    .list_ms = m->now_ms + g_rand_int_range(m->random, 1, ROUND_MS),
	    .group = gateway->group};
	g_snprintf(gateway->name, sizeof(gateway->name), "g-%zu", index);
	m->count = MAX(m->count, index + 1);
}

/* Returns whether a gateway has run long enough to coordinate. */
static bool
may_coordinate(const struct model *m, const struct gateway *gateway)
{
	return m->now_ms - gateway->started_ms >= SETTLE_MS;
}

/* Fills in the members as a gateway sees them, itself first. */
static size_t
list_members(const struct model *m, size_t index,
    struct rate_member members[GATEWAYS_MAX])
{
	const struct gateway *self = &m->gateways[index];
	size_t count = 0;

	members[count++] = (struct rate_member){
	    .id = self->name, .may_coordinate = may_coordinate(m, self)};
	for (size_t i = 0; i < m->count; i++) {
		const struct heard *heard = &self->heard[i];

		if (i != index && heard->at_ms > 0)
			members[count++] = (struct rate_member){
			    .id = m->gateways[i].name,
			    .may_coordinate = heard->may_coordinate,
			    .view = heard->view,
			};
	}
	return count;
}

/* Returns whether two gateways reach each other. */
static bool
is_connected(const struct model *m, size_t a, size_t b)
{
	const char *coordinator;
	struct rate_member members[GATEWAYS_MAX];

	if (!m->gateways[a].alive || !m->gateways[b].alive ||
	    m->gateways[a].group != m->gateways[b].group)
		return false;
	if (m->lost_link == SIZE_MAX ||
	    (a != m->lost_link && b != m->lost_link))
		return true;
	for (size_t i = 0; i < m->count; i++)
		members[i] = (struct rate_member){
		    .id = m->gateways[i].name, .may_coordinate = true};
	coordinator = shared_rate_coordinator(UPSTREAM, members, m->count);
	return strcmp(m->gateways[a].name, coordinator) != 0 &&
	    strcmp(m->gateways[b].name, coordinator) != 0;
}

/* Returns the time between two reports of a gateway. */
static int64_t
round_ms(const struct model *m)
{
	return ROUND_MS + ROUND_PEER_MS * (int64_t)m->count;
}

/* Reports a gateway's state to those that it reaches. */
static void
report(struct model *m, size_t index)
{
	struct rate_member members[GATEWAYS_MAX];
	struct gateway *gateway = &m->gateways[index];
	size_t count = list_members(m, index, members);
	uint64_t view = shared_rate_view(members, count);

	gateway->round_ms = m->now_ms + round_ms(m);
	for (size_t i = 0; i < m->count; i++) {
		struct heard *heard = &m->gateways[i].heard[index];

		if (i == index || !is_connected(m, index, i) ||
		    (m->c->fault == FAULT_LOSSY && m->now_ms > FAULT_FROM_MS &&
			m->now_ms < FAULT_TO_MS && g_rand_boolean(m->random)))
			continue;
		heard->at_ms = m->now_ms;
		heard->may_coordinate = may_coordinate(m, gateway);
		heard->view = view;
	}
}

/* Drops what a gateway heard too long ago, and reads the list if it is time. */
static void
update(struct model *m, struct gateway *gateway)
{
	for (size_t i = 0; i < m->count; i++) {
		if (m->now_ms - gateway->heard[i].at_ms >
		    round_ms(m) * TIMEOUT_ROUNDS)
			gateway->heard[i].at_ms = 0;
	}
	if (m->now_ms < gateway->list_ms)
		return;
	gateway->listed = 0;
	for (size_t i = 0; i < m->count; i++) {
		gateway->listed += m->gateways[i].registered;
	}
	gateway->reads++;
	gateway->list_ms = m->now_ms +
	    (gateway->reads < LIST_STARTS ? LIST_START_MS : LIST_MS);
}

/* Returns the part of the rate that a gateway grants, and its coordinator. */
static struct rate_part
describe_part(const struct model *m, size_t index, const char **coordinator)
{
	struct rate_member members[GATEWAYS_MAX];
	const struct gateway *gateway = &m->gateways[index];
	size_t count = list_members(m, index, members);
	uint32_t known = gateway->reads < LIST_STARTS
	    ? MAX(gateway->listed, LIST_START_MIN)
	    : gateway->listed;

	*coordinator = shared_rate_coordinator(UPSTREAM, members, count);
	known = MAX(known, (uint32_t)count);
	return (struct rate_part){
	    .per_s = m->c->per_s,
	    .share = shared_rate_share(members, count, gateway->name, known),
	    .view = shared_rate_view(members, count),
	    .phase = shared_rate_phase(UPSTREAM, gateway->name),
	};
}

/* A gateway takes a permit where it is the coordinator by its own view. */
static bool
take(struct model *m, size_t index)
{
	struct gateway *gateway = &m->gateways[index];
	const char *coordinator;
	struct rate_part part = describe_part(m, index, &coordinator);

	return (coordinator == NULL ||
		   strcmp(coordinator, gateway->name) == 0) &&
	    shared_rate_take(&gateway->rate, &part, time_from_ms(m->now_ms));
}

/* A gateway has a request for the upstream: sends it if it gets a permit. */
static void
request(struct model *m, size_t index)
{
	struct gateway *gateway = &m->gateways[index];
	const char *coordinator;
	int64_t arrival = m->now_ms + g_rand_int_range(m->random, 0, TRAVEL_MS);
	size_t at = index;

	if (m->now_ms < gateway->denied_until_ms)
		return;
	describe_part(m, index, &coordinator);
	for (size_t i = 0; coordinator != NULL && i < m->count; i++) {
		if (strcmp(m->gateways[i].name, coordinator) == 0)
			at = i;
	}
	if (at != index && (!is_connected(m, index, at) || !take(m, at)))
		gateway->denied_until_ms = m->now_ms + DENIED_RETRY_MS;
	else if (at != index || take(m, index))
		g_array_append_val(m->arrivals, arrival);
}

/* Returns the index of the gateway that coordinates by its own view. */
static size_t
find_coordinator(const struct model *m)
{
	for (size_t i = 0; i < m->count; i++) {
		const char *coordinator;

		if (!m->gateways[i].alive)
			continue;
		describe_part(m, i, &coordinator);
		if (g_strcmp0(coordinator, m->gateways[i].name) == 0)
			return i;
	}
	return 0;
}

/* Kills or starts gateways, one every some seconds. */
static void
change_gateways(struct model *m)
{
	int64_t since_ms = m->now_ms - FAULT_FROM_MS;

	for (size_t i = 0; i < m->count; i++) {
		if (!m->gateways[i].alive && since_ms % 1000 == 0)
			start(m, i);
	}
	switch (m->c->fault) {
	case FAULT_RESTARTS:
		if (since_ms % 2000 == 0)
			m->gateways[(size_t)(since_ms / 2000) % m->count]
			    .alive = false;
		break;
	case FAULT_KILL_COORDINATOR:
		if (since_ms % 4000 == 500)
			m->gateways[find_coordinator(m)].alive = false;
		break;
	case FAULT_KILL_ALL:
		for (size_t i = 0; since_ms == 500 && i < m->count; i++)
			m->gateways[i].alive = false;
		break;
	case FAULT_ADD:
		if (since_ms % 3000 == 0 && m->count < GATEWAYS_MAX)
			start(m, m->count);
		break;
	default:
		break;
	}
}

/* Cuts gateways off from each other, or ends that. */
static void
change_links(struct model *m, bool faulty)
{
	size_t turn = m->c->fault == FAULT_SHIFTING_SPLIT
	    ? (size_t)(m->now_ms / 3000)
	    : 0;

	for (size_t i = 0; i < m->count; i++) {
		double group = 0.0;

		if (faulty &&
		    (m->c->fault == FAULT_SCATTER ||
			m->c->fault == FAULT_SCATTER_IDLE))
			group = (double)i;
		else if (faulty && m->c->part > 0)
			group = (i + turn * 7) % m->count < m->c->part;
		m->gateways[i].group = group;
	}
	m->lost_link = SIZE_MAX;
	if (faulty && m->c->fault == FAULT_COORDINATOR_LINK)
		m->lost_link = 1;
}

/* Returns whether no requests come. */
static bool
is_idle(const struct model *m)
{
	return m->c->fault == FAULT_SCATTER_IDLE && m->now_ms >= IDLE_FROM_MS &&
	    m->now_ms < IDLE_TO_MS;
}

/* Advances the model by one step. */
static void
step(struct model *m)
{
	bool faulty = m->now_ms >= FAULT_FROM_MS && m->now_ms < FAULT_TO_MS;

	if (faulty)
		change_gateways(m);
	for (size_t i = 0; m->now_ms == FAULT_TO_MS && i < m->count; i++) {
		if (!m->gateways[i].alive)
			start(m, i);
	}
	change_links(m, faulty);
	for (size_t i = 0; i < m->count; i++) {
		if (!m->gateways[i].alive)
			continue;
		update(m, &m->gateways[i]);
		if (m->now_ms >= m->gateways[i].round_ms)
			report(m, i);
		if (!is_idle(m) &&
		    g_rand_double(m->random) < m->c->per_s * DEMAND * STEP_MS /
			    MS_PER_S / (double)m->count)
			request(m, i);
	}
}

/* Compares two times. */
static int
compare_times(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

/* Checks all windows. */
static void
check_bound(const struct model *m)
{
	const int64_t *times = (const int64_t *)(void *)m->arrivals->data;
	double allowed = EXCESS * m->c->per_s * WINDOW_MS / MS_PER_S + SLACK;
	guint from = 0;

	qsort(
	    m->arrivals->data, m->arrivals->len, sizeof(*times), compare_times);
	for (guint i = 0; i < m->arrivals->len; i++) {
		while (times[i] - times[from] > WINDOW_MS)
			from++;
		if (i - from + 1 > allowed)
			g_test_message("window that ends at %" G_GINT64_FORMAT
				       " ms",
			    times[i]);
		g_assert_cmpfloat((double)(i - from + 1), <=, allowed);
	}
}

/* Checks that the rate is used before the fault. */
static void
check_use(const struct model *m)
{
	double calm_s = (double)(FAULT_FROM_MS - CALM_FROM_MS) / MS_PER_S;
	guint used = 0;

	if (m->c->fault == FAULT_NONE)
		calm_s = (double)(RUN_MS - CALM_FROM_MS) / MS_PER_S;
	for (guint i = 0; i < m->arrivals->len; i++) {
		int64_t at = g_array_index(m->arrivals, int64_t, i);

		used += at >= CALM_FROM_MS &&
		    at < CALM_FROM_MS + (int64_t)(calm_s * MS_PER_S);
	}
	g_test_message("used %u in %.0f s", used, calm_s);
	g_assert_cmpfloat(
	    (double)used, >=, m->c->used_min * (m->c->per_s * calm_s - 1.0));
}

/* Runs one case. */
static void
test_case(gconstpointer data)
{
	struct model *m = g_new0(struct model, 1);

	m->c = &cases[GPOINTER_TO_SIZE(data)];
	m->random = g_rand_new_with_seed((guint32)g_test_rand_int());
	m->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
	m->lost_link = SIZE_MAX;
	m->now_ms = STEP_MS;
	for (size_t i = 0; i < m->c->gateways; i++)
		start(m, i);
	for (; m->now_ms < RUN_MS; m->now_ms += STEP_MS)
		step(m);
	check_bound(m);
	check_use(m);
	g_array_unref(m->arrivals);
	g_rand_free(m->random);
	g_free(m);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/shared_rate", test_case);
	return g_test_run();
}
