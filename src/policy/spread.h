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
#ifndef POLICY_SPREAD_H
#define POLICY_SPREAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <glib.h>

#define SPREAD_DOCUMENTS_MAX 8
/* Peers that are told of a newer version at once, and in each later wave. */
#define SPREAD_FANOUT 6
/* A newer version is told in so many waves, the wait doubling from this. */
#define SPREAD_WAVES   3
#define SPREAD_WAVE_MS 250
/* Versions are compared with a few random peers this often. */
#define SPREAD_ROUND_MS	   500
#define SPREAD_ROUND_PEERS 1
/* A process that lacks a document asks faster and wider. */
#define SPREAD_START_ROUND_MS 250
#define SPREAD_START_PEERS    4
/* A pull without an answer is given up after this long. */
#define SPREAD_PULL_MS 200
/* Peers asked at once for what others were asked for in vain. */
#define SPREAD_PULLS_MAX 3
/* A peer seen to be older is not reminded more often than this. */
#define SPREAD_REMIND_MS 500
/* spread_tick() is to be called at least this often. */
#define SPREAD_TICK_MS	   100
#define SPREAD_ACTIONS_MAX 16

enum spread_action_kind {
	SPREAD_SEND_DIGEST, /* all versions that are had */
	SPREAD_SEND_PULL,
	SPREAD_SEND_DOCUMENT,
};

struct spread_action {
	enum spread_action_kind kind;
	void *link; /* whom to answer; NULL where a peer is chosen */
	size_t peer; /* index of the chosen peer */
	size_t document;
	uint64_t have; /* version from which changes are enough; 0 for whole */
	bool reply; /* a digest that answers one is not answered again */
};

struct spread_actions {
	struct spread_action items[SPREAD_ACTIONS_MAX];
	size_t count;
};

struct spread;

struct spread *spread_new(GRand *, size_t documents);
void spread_free(struct spread *);
void spread_set_peers(struct spread *, size_t count);
void spread_set_required(struct spread *, size_t index);
uint64_t spread_version(const struct spread *, size_t index);

bool spread_take(struct spread *, size_t index, uint64_t version,
    struct timespec now, struct spread_actions *);
void spread_refuse(struct spread *, size_t index, uint64_t version);
void spread_digest(struct spread *, void *link,
    const uint64_t versions[SPREAD_DOCUMENTS_MAX], bool reply,
    struct timespec now, struct spread_actions *);
void spread_head(struct spread *, void *link, size_t index, uint64_t version,
    struct timespec now, struct spread_actions *);
void spread_pull(struct spread *, void *link, size_t index, uint64_t have,
    bool changes, struct spread_actions *);
void spread_tick(struct spread *, struct timespec now, struct spread_actions *);

#endif
