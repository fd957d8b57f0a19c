#include "policy/fanout.h"

#include <string.h>

#include <glib.h>
#include <xxhash.h>

/* The best relay of a domain so far. */
struct choice {
	struct fanout_peer *relay; /* NULL if none is connected */
	uint64_t rank;
};

/* Returns the rank of a peer as a relay of a sender. */
static uint64_t
rank(const char *self, const char *address)
{
	uint64_t seed = XXH3_64bits(self, strlen(self));

	return XXH3_64bits_withSeed(address, strlen(address), seed);
}

/* Considers a peer as the relay of its domain. */
static void
consider(GHashTable *choices, struct fanout_peer *peer, const char *self)
{
	struct choice *choice = g_hash_table_lookup(choices, peer->domain);
	uint64_t own_rank = rank(self, peer->address);

	if (choice == NULL) {
		choice = g_new0(struct choice, 1);
		g_hash_table_insert(choices, (char *)peer->domain, choice);
	}
	if (peer->connected &&
	    (choice->relay == NULL || own_rank > choice->rank)) {
		choice->relay = peer;
		choice->rank = own_rank;
	}
}

/*
 * Assigns each peer its role. A peer whose domain is not known, or in which no
 * peer is connected, gets the message directly.
 */
void
fanout_assign(struct fanout_peer *peers, size_t count, const char *self,
    const char *own_domain)
{
	g_autoptr(GHashTable) choices = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, g_free);

	for (size_t i = 0; i < count; i++) {
		peers[i].role = FANOUT_DIRECT;
		if (peers[i].domain != NULL &&
		    strcmp(peers[i].domain, own_domain) != 0)
			consider(choices, &peers[i], self);
	}
	for (size_t i = 0; i < count; i++) {
		const struct choice *choice = peers[i].domain == NULL
		    ? NULL
		    : g_hash_table_lookup(choices, peers[i].domain);

		if (choice == NULL || choice->relay == NULL)
			continue;
		peers[i].role = &peers[i] == choice->relay ? FANOUT_RELAY
							   : FANOUT_NONE;
	}
}
