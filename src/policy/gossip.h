/*
 * How newer versions of documents reach every process: whom to tell, when, and
 * what to pull. A process that gets a newer version tells a few random peers at
 * once and a few more in later waves, and each process compares versions with
 * random peers in every round; whoever is older pulls. Versions only rise.
 *
 * No I/O, clock or random source of its own: events and times come in, actions
 * go out; the same events and seed give the same actions. Times are monotonic.
 * Links are opaque to it: the caller's handle of whoever sent the event.
 */
#ifndef POLICY_GOSSIP_H
#define POLICY_GOSSIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <glib.h>

#define GOSSIP_DOCUMENTS_MAX 8
/* Peers that are told of a newer version at once, and in each later wave. */
#define GOSSIP_FANOUT 6
/* A newer version is told in so many waves, the wait doubling from this. */
#define GOSSIP_WAVES	     3
#define GOSSIP_WAVE_DELAY_MS 250
/* Versions are compared with a few random peers this often. */
#define GOSSIP_ROUND_MS	   500
#define GOSSIP_ROUND_PEERS 1
/* A process that lacks a document asks faster and wider. */
#define GOSSIP_MISSING_ROUND_MS 250
#define GOSSIP_MISSING_PEERS	4
/* A pull without an answer is given up after this long. */
#define GOSSIP_PULL_TIMEOUT_MS 200
/* Peers asked at once for what others were asked for in vain. */
#define GOSSIP_PULLS_MAX 3
/* A peer seen to be older is not reminded more often than this. */
#define GOSSIP_REMIND_INTERVAL_MS 500
/* gossip_tick() is to be called at least this often. */
#define GOSSIP_TICK_MS	   100
#define GOSSIP_ACTIONS_MAX 16

enum gossip_action_kind {
	GOSSIP_SEND_DIGEST, /* all versions that are had */
	GOSSIP_SEND_PULL,
	GOSSIP_SEND_DOCUMENT,
};

struct gossip_action {
	enum gossip_action_kind kind;
	void *link; /* whom to answer; NULL where a peer is chosen */
	size_t peer; /* index of the chosen peer */
	size_t document;
	uint64_t have; /* version from which changes are enough; 0 for whole */
	bool reply; /* a digest that answers one is not answered again */
};

struct gossip_actions {
	struct gossip_action items[GOSSIP_ACTIONS_MAX];
	size_t count;
};

struct gossip;

struct gossip *gossip_new(GRand *, size_t documents);
void gossip_free(struct gossip *);
void gossip_set_peers(struct gossip *, size_t count);
void gossip_set_required(struct gossip *, size_t index);
uint64_t gossip_version(const struct gossip *, size_t index);

bool gossip_accept_document(struct gossip *, size_t index, uint64_t version,
    struct timespec now, struct gossip_actions *);
void gossip_reject_document(struct gossip *, size_t index, uint64_t version);
void gossip_on_digest(struct gossip *, void *link,
    const uint64_t versions[GOSSIP_DOCUMENTS_MAX], bool reply,
    struct timespec now, struct gossip_actions *);
void gossip_on_version(struct gossip *, void *link, size_t index,
    uint64_t version, struct timespec now, struct gossip_actions *);
void gossip_on_pull(struct gossip *, void *link, size_t index, uint64_t have,
    bool changes, struct gossip_actions *);
void gossip_tick(struct gossip *, struct timespec now, struct gossip_actions *);

#endif
