#include "policy/gossip.h"

#include "base/clock.h"
#include "base/invariant.h"

/* Slots for recently reminded links, by a hash of their handle. */
#define REMINDED_SLOTS 64

struct reminder {
	const void *link;
	struct timespec at;
};

struct document {
	uint64_t version;
	uint64_t rejected_version; /* unusable here; 0: none */
	uint64_t pulling_version; /* version that is being pulled; 0: none */
	unsigned int attempts; /* pull attempts for this version */
	unsigned int open_pulls; /* peers asked in this attempt */
	struct timespec pull_started; /* start of this attempt */
};

struct gossip {
	GRand *random;
	struct document documents[GOSSIP_DOCUMENTS_MAX];
	size_t document_count;
	size_t required; /* index of the document that is needed at start */
	size_t peer_count;
	size_t near_count; /* the first peers are near */
	gossip_reachable_fn *reachable; /* NULL: all are */
	const void *reachable_data;
	struct timespec last_round;
	unsigned int waves_left; /* remaining waves for the newest version */
	struct timespec next_wave; /* time of the next wave */
	struct reminder reminders[REMINDED_SLOTS];
};

INVARIANT_DEFINE(versions_rise, "document_version_never_falls");

/*
 * Creates the state for a number of documents, all of them missing. The random
 * source is borrowed.
 */
struct gossip *
gossip_new(GRand *random, size_t documents)
{
	struct gossip *gossip = g_new0(struct gossip, 1);

	g_assert(documents <= GOSSIP_DOCUMENTS_MAX);
	gossip->random = random;
	gossip->document_count = documents;
	return gossip;
}

/* Frees the state; NULL is allowed. */
void
gossip_free(struct gossip *gossip)
{
	g_free(gossip);
}

/* Sets the document that is pulled more often while it is missing. */
void
gossip_set_required(struct gossip *gossip, size_t index)
{
	gossip->required = index;
}

/* Sets the number of peers to choose from, of which the first are near. */
void
gossip_set_peers(struct gossip *gossip, size_t count, size_t near_count)
{
	gossip->peer_count = count;
	gossip->near_count = near_count;
}

/* Sets how to find out which peers could be reached last. */
void
gossip_set_reachable(
    struct gossip *gossip, gossip_reachable_fn *reachable, const void *data)
{
	gossip->reachable = reachable;
	gossip->reachable_data = data;
}

/* Returns the current version of a document, or 0 if it is missing. */
uint64_t
gossip_version(const struct gossip *gossip, size_t index)
{
	return gossip->documents[index].version;
}

/*
 * Returns the newest version of a document that is known of: the current one,
 * or the one that is being pulled, unless it was last pulled longer ago than
 * within_ms. A peer that has it names it again, and it is pulled again.
 */
uint64_t
gossip_newest_version(const struct gossip *gossip, size_t index,
    int64_t within_ms, struct timespec now)
{
	const struct document *document = &gossip->documents[index];

	if (time_diff_ms(now, document->pull_started) > within_ms)
		return document->version;
	return MAX(document->version, document->pulling_version);
}

/*
 * Adds an action. If the list is full it is dropped; a later round makes up for
 * it.
 */
static void
add_action(struct gossip_actions *actions, const struct gossip_action *action)
{
	if (actions->count < GOSSIP_ACTIONS_MAX)
		actions->items[actions->count++] = *action;
}

/* Peers to choose from, by their indexes; the first are near. */
struct candidates {
	size_t *peers; /* NULL for all peers */
	size_t count;
	size_t near_count;
};

/* Finds the peers that could be reached last. Free their indexes. */
static struct candidates
find_reachable(const struct gossip *gossip)
{
	struct candidates candidates = {
	    .peers = g_new(size_t, gossip->peer_count + 1)};

	for (size_t i = 0; i < gossip->peer_count; i++) {
		if (gossip->reachable != NULL &&
		    !gossip->reachable(gossip->reachable_data, i))
			continue;
		candidates.peers[candidates.count++] = i;
		candidates.near_count += i < gossip->near_count;
	}
	return candidates;
}

/* Draws a peer; a near one if enough of them are left. */
static size_t
draw_peer(
    struct gossip *gossip, const struct candidates *candidates, size_t wanted)
{
	size_t from = 0;
	size_t below = candidates->count;
	size_t at;

	if (candidates->near_count > wanted &&
	    candidates->near_count < candidates->count) {
		if (g_rand_int_range(gossip->random, 0, GOSSIP_FAR_ONE_IN) == 0)
			from = candidates->near_count;
		else
			below = candidates->near_count;
	}
	at = (size_t)g_rand_int_range(
	    gossip->random, (gint32)from, (gint32)below);
	return candidates->peers != NULL ? candidates->peers[at] : at;
}

/* Sends the current versions to random peers, each at most once. */
static void
send_digests(
    struct gossip *gossip, size_t wanted, struct gossip_actions *actions)
{
	const struct candidates all = {
	    .count = gossip->peer_count, .near_count = gossip->near_count};
	struct candidates reachable = find_reachable(gossip);
	size_t chosen[MAX(GOSSIP_FANOUT, GOSSIP_MISSING_PEERS)];
	size_t count = 0;

	wanted = MIN(wanted, gossip->peer_count);
	while (count < wanted) {
		bool any = reachable.count < all.count &&
		    (reachable.count <= count ||
			g_rand_int_range(
			    gossip->random, 0, GOSSIP_ANY_ONE_IN) == 0);
		size_t peer = draw_peer(
		    gossip, any ? &all : &reachable, wanted);
		size_t i = 0;

		while (i < count && chosen[i] != peer)
			i++;
		if (i < count)
			continue;
		chosen[count++] = peer;
		add_action(actions,
		    &(struct gossip_action){
			.kind = GOSSIP_SEND_DIGEST, .peer = peer});
	}
	g_free(reachable.peers);
}

/*
 * Records a version that was received completely. Returns true if it is newer:
 * it is then in force, and a few peers are notified. Older versions are
 * ignored.
 */
bool
gossip_accept_document(struct gossip *gossip, size_t index, uint64_t version,
    struct timespec now, struct gossip_actions *actions)
{
	struct document *document = &gossip->documents[index];
	uint64_t before = document->version;

	if (version <= document->version)
		return false;
	document->version = version;
	if (document->pulling_version <= version)
		document->pulling_version = 0;
	invariant_check(&versions_rise, document->version > before, NULL, NULL);
	gossip->waves_left = GOSSIP_WAVES - 1;
	gossip->next_wave = time_add_ms(now, GOSSIP_WAVE_DELAY_MS);
	send_digests(gossip, GOSSIP_FANOUT, actions);
	return true;
}

/*
 * Records that a received version cannot be used here, e.g. because a newer
 * build wrote it. Only later versions are pulled from then on.
 */
void
gossip_reject_document(struct gossip *gossip, size_t index, uint64_t version)
{
	struct document *document = &gossip->documents[index];

	document->rejected_version = MAX(document->rejected_version, version);
	if (document->pulling_version <= version)
		document->pulling_version = 0;
}

/*
 * Pulls a document unless a pull of the same or a later version was started
 * recently, since bodies are large and many peers announce them at once. After
 * each failed attempt one more peer is asked concurrently.
 */
static void
pull_document(struct gossip *gossip, void *link, size_t index, uint64_t version,
    struct timespec now, struct gossip_actions *actions)
{
	struct document *document = &gossip->documents[index];

	if (version <= document->rejected_version)
		return;
	if (document->pulling_version < version)
		document->attempts = 0;
	if (document->pulling_version < version ||
	    time_diff_ms(now, document->pull_started) >=
		GOSSIP_PULL_TIMEOUT_MS) {
		document->pulling_version = version;
		document->pull_started = now;
		document->attempts++;
		document->open_pulls = 0;
	}
	if (document->open_pulls >= MIN(document->attempts, GOSSIP_PULLS_MAX))
		return;
	document->open_pulls++;
	add_action(actions,
	    &(struct gossip_action){
		.kind = GOSSIP_SEND_PULL, .link = link, .document = index});
}

/*
 * Handles a peer's digest of versions: pulls what is newer there, and sends our
 * digest to a peer that is older in any, unless this was a reply.
 */
void
gossip_on_digest(struct gossip *gossip, void *link,
    const uint64_t versions[GOSSIP_DOCUMENTS_MAX], bool reply,
    struct timespec now, struct gossip_actions *actions)
{
	bool older = false;

	for (size_t i = 0; i < gossip->document_count; i++) {
		if (versions[i] > gossip->documents[i].version)
			pull_document(
			    gossip, link, i, versions[i], now, actions);
		if (versions[i] < gossip->documents[i].version)
			older = true;
	}
	if (older && !reply)
		add_action(actions,
		    &(struct gossip_action){.kind = GOSSIP_SEND_DIGEST,
			.link = link,
			.reply = true});
}

/* Returns whether a link may be reminded now, and records that it was. */
static bool
may_remind(struct gossip *gossip, const void *link, struct timespec now)
{
	struct reminder *slot =
	    &gossip->reminders[g_direct_hash(link) / 16 % REMINDED_SLOTS];

	if (slot->link == link &&
	    time_diff_ms(now, slot->at) < GOSSIP_REMIND_INTERVAL_MS)
		return false;
	slot->link = link;
	slot->at = now;
	return true;
}

/* Handles the version of one document in a message's header. */
void
gossip_on_version(struct gossip *gossip, void *link, size_t index,
    uint64_t version, struct timespec now, struct gossip_actions *actions)
{
	uint64_t have = gossip->documents[index].version;

	if (version > have)
		pull_document(gossip, link, index, version, now, actions);
	else if (version < have && may_remind(gossip, link, now))
		add_action(actions,
		    &(struct gossip_action){.kind = GOSSIP_SEND_DIGEST,
			.link = link,
			.reply = true});
}

/*
 * Handles a peer's pull of a document newer than version have. If the peer
 * accepts changes, only those since have are sent.
 */
void
gossip_on_pull(struct gossip *gossip, void *link, size_t index, uint64_t have,
    bool changes, struct gossip_actions *actions)
{
	if (gossip->documents[index].version > have)
		add_action(actions,
		    &(struct gossip_action){.kind = GOSSIP_SEND_DOCUMENT,
			.link = link,
			.document = index,
			.have = changes ? have : 0});
}

/*
 * Returns whether a document is missing that peers may have: the required
 * document was never received, or a pull was not answered.
 */
static bool
is_missing_document(const struct gossip *gossip, struct timespec now)
{
	if (gossip->documents[gossip->required].version == 0)
		return true;
	for (size_t i = 0; i < gossip->document_count; i++) {
		const struct document *document = &gossip->documents[i];

		if (document->pulling_version > document->version &&
		    time_diff_ms(now, document->pull_started) >=
			GOSSIP_PULL_TIMEOUT_MS)
			return true;
	}
	return false;
}

/* Notifies a few more peers of a newer version when a later wave is due. */
static void
send_due_wave(
    struct gossip *gossip, struct timespec now, struct gossip_actions *actions)
{
	unsigned int done = GOSSIP_WAVES - gossip->waves_left;

	if (gossip->waves_left == 0 || time_before(now, gossip->next_wave))
		return;
	gossip->waves_left--;
	gossip->next_wave = time_add_ms(
	    now, (int64_t)GOSSIP_WAVE_DELAY_MS << done);
	send_digests(gossip, GOSSIP_FANOUT, actions);
}

/*
 * Compares versions with random peers when a round is due. After a suspension
 * of the process a round is due at once.
 */
void
gossip_tick(
    struct gossip *gossip, struct timespec now, struct gossip_actions *actions)
{
	bool lacking = is_missing_document(gossip, now);
	int64_t round_ms = lacking ? GOSSIP_MISSING_ROUND_MS : GOSSIP_ROUND_MS;

	send_due_wave(gossip, now, actions);
	if (time_is_set(gossip->last_round) &&
	    time_diff_ms(now, gossip->last_round) < round_ms)
		return;
	gossip->last_round = now;
	send_digests(gossip,
	    lacking ? GOSSIP_MISSING_PEERS : GOSSIP_ROUND_PEERS, actions);
}
