/*
 * How a message reaches all processes: each exactly once, with one message to
 * each other failure domain, whichever processes are connected.
 */
#include <string.h>

#include <glib.h>

#include "cases.h"
#include "policy/fanout.h"

#define DOMAINS		5
#define PER_DOMAIN	14
#define PROCESSES	(DOMAINS * PER_DOMAIN)
#define ROUNDS		50
#define CONNECTED_SHARE 0.9
#define RELAYED_MAX	20 /* senders of one relay; the mean is 4 */

static const struct fanout_case {
	const char *name;
	struct fanout_peer peers[4]; /* with the expected roles */
} cases[] = {
    {"peers in the own domain get it directly",
	{{"a1", "a", true, FANOUT_DIRECT}, {"a2", "a", false, FANOUT_DIRECT}}},
    {"peers whose domain is unknown get it directly",
	{{"x1", NULL, true, FANOUT_DIRECT},
	    {"x2", NULL, false, FANOUT_DIRECT}}},
    {"a domain without a connected peer is tried through all of two",
	{{"b1", "b", false, FANOUT_RELAY}, {"b2", "b", false, FANOUT_RELAY}}},
    {"a connected peer is the relay of its domain",
	{{"b1", "b", false, FANOUT_NONE}, {"b2", "b", true, FANOUT_RELAY},
	    {"c1", "c", true, FANOUT_RELAY}, {"b3", "b", false, FANOUT_NONE}}},
};

/* Runs one case. */
static void
test_case(gconstpointer data)
{
	const struct fanout_case *c = &cases[GPOINTER_TO_SIZE(data)];
	struct fanout_peer peers[G_N_ELEMENTS(c->peers)];
	size_t count = 0;

	while (
	    count < G_N_ELEMENTS(c->peers) && c->peers[count].address != NULL) {
		peers[count] = c->peers[count];
		peers[count].role = FANOUT_NONE;
		count++;
	}
	fanout_assign(peers, count, "self", "a", 1);
	for (size_t i = 0; i < count; i++)
		g_assert_cmpint(peers[i].role, ==, c->peers[i].role);
}

/* A fleet; connections are drawn anew in each round. */
struct fleet_model {
	char names[PROCESSES][16];
	char domains[DOMAINS][2];
	unsigned int received[PROCESSES];
	unsigned int relayed[PROCESSES]; /* senders that use it as a relay */
	unsigned int crossings; /* messages to another domain */
};

/* Returns the domain of a process. */
static size_t
domain_of(size_t process)
{
	return process % DOMAINS;
}

/* Sends a message from one process to all others. */
static void
send_to_all(struct fleet_model *model, size_t sender, GRand *random)
{
	struct fanout_peer peers[PROCESSES - 1];
	size_t index[PROCESSES - 1];
	size_t count = 0;

	for (size_t i = 0; i < PROCESSES; i++) {
		if (i == sender)
			continue;
		index[count] = i;
		peers[count++] = (struct fanout_peer){
		    .address = model->names[i],
		    .domain = model->domains[domain_of(i)],
		    .connected = g_rand_double(random) < CONNECTED_SHARE,
		};
	}
	fanout_assign(peers, count, model->names[sender],
	    model->domains[domain_of(sender)], 1);
	for (size_t i = 0; i < count; i++) {
		if (peers[i].role == FANOUT_NONE)
			continue;
		model->received[index[i]]++;
		model->crossings += domain_of(index[i]) != domain_of(sender);
		if (peers[i].role != FANOUT_RELAY)
			continue;
		model->relayed[index[i]]++;
		for (size_t j = 0; j < PROCESSES; j++)
			model->received[j] += j != index[i] &&
			    domain_of(j) == domain_of(index[i]);
	}
}

/*
 * Seventy processes in five domains tell each other of a request each: every
 * one learns of every other exactly once, with a message for each other domain,
 * and no relay serves many senders.
 */
static void
test_fleet(void)
{
	g_autoptr(GRand) random = g_rand_new_with_seed(1);
	struct fleet_model *model = g_new0(struct fleet_model, 1);

	for (size_t i = 0; i < PROCESSES; i++)
		g_snprintf(model->names[i], sizeof(model->names[i]),
		    "10.0.0.%zu:7", i);
	for (size_t i = 0; i < DOMAINS; i++)
		model->domains[i][0] = (char)('a' + i);
	for (int round = 0; round < ROUNDS; round++) {
		memset(model->received, 0, sizeof(model->received));
		memset(model->relayed, 0, sizeof(model->relayed));
		model->crossings = 0;
		for (size_t i = 0; i < PROCESSES; i++)
			send_to_all(model, i, random);
		for (size_t i = 0; i < PROCESSES; i++) {
			g_assert_cmpuint(model->received[i], ==, PROCESSES - 1);
			g_assert_cmpuint(model->relayed[i], <, RELAYED_MAX);
		}
		g_assert_cmpuint(
		    model->crossings, ==, PROCESSES * (DOMAINS - 1));
	}
	g_free(model);
}

/*
 * After a common start no link is open: each broadcast tries two relays in each
 * other domain, and some broadcasts later all processes there were tried.
 */
static void
test_start(void)
{
	struct fanout_peer peers[PER_DOMAIN];
	char names[PER_DOMAIN][16];
	unsigned int tried[PER_DOMAIN] = {0};

	for (size_t i = 0; i < PER_DOMAIN; i++)
		g_snprintf(names[i], sizeof(names[i]), "10.0.0.%zu:7", i);
	for (uint64_t attempt = 1; attempt <= ROUNDS; attempt++) {
		size_t relays = 0;

		for (size_t i = 0; i < PER_DOMAIN; i++)
			peers[i] = (struct fanout_peer){
			    .address = names[i], .domain = "b"};
		fanout_assign(peers, PER_DOMAIN, "self", "a", attempt);
		for (size_t i = 0; i < PER_DOMAIN; i++) {
			g_assert_cmpint(peers[i].role, !=, FANOUT_DIRECT);
			relays += peers[i].role == FANOUT_RELAY;
			tried[i] += peers[i].role == FANOUT_RELAY;
		}
		g_assert_cmpuint(relays, ==, FANOUT_TRIED_RELAYS);
	}
	for (size_t i = 0; i < PER_DOMAIN; i++)
		g_assert_cmpuint(tried[i], >, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_CASES(cases, "/fanout", test_case);
	g_test_add_func(
	    "/fanout/every process gets each message once", test_fleet);
	g_test_add_func("/fanout/a domain without connected processes is tried "
			"through a few",
	    test_start);
	return g_test_run();
}
