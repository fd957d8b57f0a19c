#include "policy/fanout.h"

#include <string.h>

#include <glib.h>
#include <xxhash.h>

/* The best relays of a domain so far. */
struct choice {
	struct fanout_peer *relay; /* NULL if none is connected */
	uint64_t rank;
	struct fanout_peer *tried[FANOUT_TRIED_RELAYS]; /* best first */
	uint64_t tried_ranks[FANOUT_TRIED_RELAYS];
};

/* Returns the rank of a peer as a relay, for a seed of the sender. */
static uint64_t
rank(const struct fanout_peer *peer, uint64_t seed)
{
	return XXH3_64bits_withSeed(peer->address, strlen(peer->address), seed);
}

/* Considers a peer for being tried, in the order of their ranks. */
static void
consider_trying(struct choice *choice, struct fanout_peer *peer, uint64_t value)
{
	size_t at = FANOUT_TRIED_RELAYS;

	while (at > 0 &&
	    (choice->tried[at - 1] == NULL ||
		choice->tried_ranks[at - 1] < value))
		at--;
	if (at == FANOUT_TRIED_RELAYS)
		return;
	for (size_t i = FANOUT_TRIED_RELAYS - 1; i > at; i--) {
		choice->tried[i] = choice->tried[i - 1];
		choice->tried_ranks[i] = choice->tried_ranks[i - 1];
	}
	choice->tried[at] = peer;
	choice->tried_ranks[at] = value;
}

/* Considers a peer as a relay of its domain. */
static void
consider(GHashTable *choices, struct fanout_peer *peer, uint64_t seed,
    uint64_t attempt)
{
	struct choice *choice = g_hash_table_lookup(choices, peer->domain);
	uint64_t value = rank(peer, seed);

	if (choice == NULL) {
		choice = g_new0(struct choice, 1);
		g_hash_table_insert(choices, (char *)peer->domain, choice);
	}
	consider_trying(choice, peer, rank(peer, seed + attempt));
	if (peer->connected &&
	    (choice->relay == NULL || value > choice->rank)) {
		choice->relay = peer;
		choice->rank = value;
	}
}

/* Returns the role of a peer in another domain. */
static enum fanout_role
role_of(const struct choice *choice, const struct fanout_peer *peer)
{
	if (choice->relay != NULL)
		return choice->relay == peer ? FANOUT_RELAY : FANOUT_NONE;
	for (size_t i = 0; i < FANOUT_TRIED_RELAYS; i++) {
		if (choice->tried[i] == peer)
			return FANOUT_RELAY;
	}
	return FANOUT_NONE;
}

/*
 * Assigns each peer its role. A peer whose domain is not known gets the message
 * directly. A different attempt tries other relays where none is connected.
 */
void
fanout_assign(struct fanout_peer *peers, size_t count, const char *self,
    const char *own_domain, uint64_t attempt)
{
	uint64_t seed = XXH3_64bits(self, strlen(self));
	g_autoptr(GHashTable) choices = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, g_free);

	for (size_t i = 0; i < count; i++) {
		peers[i].role = FANOUT_DIRECT;
		if (peers[i].domain != NULL &&
		    strcmp(peers[i].domain, own_domain) != 0)
			consider(choices, &peers[i], seed, attempt);
	}
	for (size_t i = 0; i < count; i++) {
		const struct choice *choice = peers[i].domain == NULL
		    ? NULL
		    : g_hash_table_lookup(choices, peers[i].domain);

		if (choice != NULL)
			peers[i].role = role_of(choice, &peers[i]);
	}
}
