/*
 * Gossip protocol that distributes new document versions to every process: whom
 * to notify, when, and what to pull. A process that receives a newer version
 * notifies a few random peers at once and a few more in later waves. In every
 * round each process compares versions with random peers, and the older side
 * pulls. Versions only increase. Most of the peers chosen are near, in the same
 * failure domain, so that a document crosses to another domain a few times
 * only, however many processes there are. Peers that could not be reached last
 * are chosen seldom: they may be gone for good, and more than the others.
 *
 * The module does no I/O, has no clock and no random source of its own: events
 * and times are passed in, actions are returned, and the same events and seed
 * give the same actions. Times are monotonic. Links are opaque handles that the
 * owner of the module passes in for the sender of an event.
 */
#ifndef POLICY_GOSSIP_H
#define POLICY_GOSSIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <glib.h>

#define GOSSIP_DOCUMENTS_MAX 8
/* Peers notified of a newer version at once, and in each later wave. */
#define GOSSIP_FANOUT 6
/*
 * Number of waves for a newer version, and the delay before the second one,
 * which doubles for each further wave.
 */
#define GOSSIP_WAVES	     3
#define GOSSIP_WAVE_DELAY_MS 250
/* Interval at which versions are compared, and the number of random peers. */
#define GOSSIP_ROUND_MS	   500
#define GOSSIP_ROUND_PEERS 1
/* Interval and number of peers while a document is missing. */
#define GOSSIP_MISSING_ROUND_MS 250
#define GOSSIP_MISSING_PEERS	4
/* One in so many peers that are chosen is far, if there are near ones. */
#define GOSSIP_FAR_ONE_IN 8
/* One in so many peers is chosen whether it could be reached last or not. */
#define GOSSIP_ANY_ONE_IN 8
/* Timeout of a pull. */
#define GOSSIP_PULL_TIMEOUT_MS 200
/*
 * Limit of peers asked concurrently after earlier pulls of the same version
 * failed.
 */
#define GOSSIP_PULLS_MAX 3
/*
 * Minimum interval between digests sent to a peer that is seen to have an older
 * version.
 */
#define GOSSIP_REMIND_INTERVAL_MS 500
/* gossip_tick() must be called at least this often. */
#define GOSSIP_TICK_MS	   100
#define GOSSIP_ACTIONS_MAX 16

enum gossip_action_kind {
	GOSSIP_SEND_DIGEST, /* versions of all documents */
	GOSSIP_SEND_PULL,
	GOSSIP_SEND_DOCUMENT,
};

struct gossip_action {
	enum gossip_action_kind kind;
	void *link; /* link to answer on; NULL if a peer is chosen */
	size_t peer; /* index of the chosen peer */
	size_t document;
	uint64_t have; /* send changes since this version; 0: whole document */
	bool reply; /* answers a digest, and must not be answered itself */
};

struct gossip_actions {
	struct gossip_action items[GOSSIP_ACTIONS_MAX];
	size_t count;
};

struct gossip;

/* Returns whether a peer, by its index, could be reached last, or not tried. */
typedef bool gossip_reachable_fn(const void *data, size_t peer);

struct gossip *gossip_new(GRand *, size_t documents);
void gossip_free(struct gossip *);
void gossip_set_peers(struct gossip *, size_t count, size_t near_count);
void gossip_set_reachable(
    struct gossip *, gossip_reachable_fn *, const void *data);
void gossip_set_required(struct gossip *, size_t index);
uint64_t gossip_version(const struct gossip *, size_t index);
uint64_t gossip_newest_version(const struct gossip *, size_t index,
    int64_t within_ms, struct timespec now);

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
