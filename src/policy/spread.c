#include "policy/spread.h"

#include "base/clock.h"
#include "base/invariant.h"

/* Links that were lately reminded, by a hash of their handle. */
#define REMINDED_SLOTS 64

struct reminder {
	const void *link;
	struct timespec at;
};

struct document {
	uint64_t version;
	uint64_t refused; /* came and can't be used here; 0 for none */
	uint64_t pulling; /* version that was asked for; 0 for none */
	unsigned int tries; /* times that it was asked for in vain, and now */
	unsigned int asked; /* peers that are being asked now */
	struct timespec pulled_at; /* the first of them */
};

struct spread {
	GRand *random;
	struct document documents[SPREAD_DOCUMENTS_MAX];
	size_t document_count;
	size_t required; /* index of the one that all need at once */
	size_t peer_count;
	struct timespec round_at;
	unsigned int waves; /* of the last newer version, still to come */
	struct timespec wave_at; /* of the next */
	struct reminder reminded[REMINDED_SLOTS];
};

INVARIANT_DEFINE(versions_rise, "document_version_never_falls");

/*
 * Makes the state for a number of documents, none of which is had. The random
 * source is borrowed.
 */
struct spread *
spread_new(GRand *random, size_t documents)
{
	struct spread *spread = g_new0(struct spread, 1);

	g_assert(documents <= SPREAD_DOCUMENTS_MAX);
	spread->random = random;
	spread->document_count = documents;
	return spread;
}

/* Frees the state; NULL is allowed. */
void
spread_free(struct spread *spread)
{
	g_free(spread);
}

/* Sets which document is asked for at once while it was never had. */
void
spread_set_required(struct spread *spread, size_t index)
{
	spread->required = index;
}

/* Sets how many peers there are to choose from. */
void
spread_set_peers(struct spread *spread, size_t count)
{
	spread->peer_count = count;
}

/* Returns the version that is had, 0 for none. */
uint64_t
spread_version(const struct spread *spread, size_t index)
{
	return spread->documents[index].version;
}

/* Adds an action; beyond the most that a caller takes it is left to a round. */
static void
add(struct spread_actions *actions, const struct spread_action *action)
{
	if (actions->count < SPREAD_ACTIONS_MAX)
		actions->items[actions->count++] = *action;
}

/* Sends the versions that are had to random peers, each at most once. */
static void
tell_random(
    struct spread *spread, size_t wanted, struct spread_actions *actions)
{
	size_t told[MAX(SPREAD_FANOUT, SPREAD_START_PEERS)];
	size_t count = 0;

	wanted = MIN(wanted, spread->peer_count);
	while (count < wanted) {
		size_t peer = (size_t)g_rand_int_range(
		    spread->random, 0, (gint32)spread->peer_count);
		size_t i = 0;

		while (i < count && told[i] != peer)
			i++;
		if (i < count)
			continue;
		told[count++] = peer;
		add(actions,
		    &(struct spread_action){
			.kind = SPREAD_SEND_DIGEST, .peer = peer});
	}
}

/*
 * Takes a version that has arrived whole. True where it is newer: it is in
 * force from now on and a few peers are told. Older ones change nothing.
 */
bool
spread_take(struct spread *spread, size_t index, uint64_t version,
    struct timespec now, struct spread_actions *actions)
{
	struct document *document = &spread->documents[index];
	uint64_t before = document->version;

	if (version <= document->version)
		return false;
	document->version = version;
	if (document->pulling <= version)
		document->pulling = 0;
	invariant_check(&versions_rise, document->version > before, NULL, NULL);
	spread->waves = SPREAD_WAVES - 1;
	spread->wave_at = time_add_ms(now, SPREAD_WAVE_MS);
	tell_random(spread, SPREAD_FANOUT, actions);
	return true;
}

/*
 * Notes that a version has come and can't be used here, e.g. because a newer
 * build wrote it: it is not asked for again, only a later one is.
 */
void
spread_refuse(struct spread *spread, size_t index, uint64_t version)
{
	struct document *document = &spread->documents[index];

	document->refused = MAX(document->refused, version);
	if (document->pulling <= version)
		document->pulling = 0;
}

/*
 * Asks for a document unless the same version, or a later one, has been asked
 * for just now: bodies are large and many peers tell of them at once. What was
 * asked for in vain is asked of more peers at once.
 */
static void
pull(struct spread *spread, void *link, size_t index, uint64_t version,
    struct timespec now, struct spread_actions *actions)
{
	struct document *document = &spread->documents[index];

	if (version <= document->refused)
		return;
	if (document->pulling < version)
		document->tries = 0;
	if (document->pulling < version ||
	    time_diff_ms(now, document->pulled_at) >= SPREAD_PULL_MS) {
		document->pulling = version;
		document->pulled_at = now;
		document->tries++;
		document->asked = 0;
	}
	if (document->asked >= MIN(document->tries, SPREAD_PULLS_MAX))
		return;
	document->asked++;
	add(actions,
	    &(struct spread_action){
		.kind = SPREAD_SEND_PULL, .link = link, .document = index});
}

/*
 * Takes the versions that a peer has: what is newer there is pulled, and a peer
 * that is older in any gets ours, unless it was answering us.
 */
void
spread_digest(struct spread *spread, void *link,
    const uint64_t versions[SPREAD_DOCUMENTS_MAX], bool reply,
    struct timespec now, struct spread_actions *actions)
{
	bool older = false;

	for (size_t i = 0; i < spread->document_count; i++) {
		if (versions[i] > spread->documents[i].version)
			pull(spread, link, i, versions[i], now, actions);
		if (versions[i] < spread->documents[i].version)
			older = true;
	}
	if (older && !reply)
		add(actions,
		    &(struct spread_action){.kind = SPREAD_SEND_DIGEST,
			.link = link,
			.reply = true});
}

/* Says whether a link may be reminded now, and remembers that it was. */
static bool
may_remind(struct spread *spread, const void *link, struct timespec now)
{
	struct reminder *slot =
	    &spread->reminded[g_direct_hash(link) / 16 % REMINDED_SLOTS];

	if (slot->link == link &&
	    time_diff_ms(now, slot->at) < SPREAD_REMIND_MS)
		return false;
	slot->link = link;
	slot->at = now;
	return true;
}

/* Takes the version of one document that stood in a message's head. */
void
spread_head(struct spread *spread, void *link, size_t index, uint64_t version,
    struct timespec now, struct spread_actions *actions)
{
	uint64_t have = spread->documents[index].version;

	if (version > have)
		pull(spread, link, index, version, now, actions);
	else if (version < have && may_remind(spread, link, now))
		add(actions,
		    &(struct spread_action){.kind = SPREAD_SEND_DIGEST,
			.link = link,
			.reply = true});
}

/*
 * Takes a peer's request for a document that is newer than what it has. Where
 * it takes changes, those since then are enough.
 */
void
spread_pull(struct spread *spread, void *link, size_t index, uint64_t have,
    bool changes, struct spread_actions *actions)
{
	if (spread->documents[index].version > have)
		add(actions,
		    &(struct spread_action){.kind = SPREAD_SEND_DOCUMENT,
			.link = link,
			.document = index,
			.have = changes ? have : 0});
}

/*
 * Says whether something is lacking that peers may have: the required document
 * was never had, or a pull was not answered.
 */
static bool
is_lacking(const struct spread *spread, struct timespec now)
{
	if (spread->documents[spread->required].version == 0)
		return true;
	for (size_t i = 0; i < spread->document_count; i++) {
		const struct document *document = &spread->documents[i];

		if (document->pulling > document->version &&
		    time_diff_ms(now, document->pulled_at) >= SPREAD_PULL_MS)
			return true;
	}
	return false;
}

/* Tells a few more peers of a newer version when a later wave is due. */
static void
tell_wave(
    struct spread *spread, struct timespec now, struct spread_actions *actions)
{
	unsigned int done = SPREAD_WAVES - spread->waves;

	if (spread->waves == 0 || time_before(now, spread->wave_at))
		return;
	spread->waves--;
	spread->wave_at = time_add_ms(now, (int64_t)SPREAD_WAVE_MS << done);
	tell_random(spread, SPREAD_FANOUT, actions);
}

/*
 * Compares versions with random peers when a round is due. After a stop of the
 * process a round is due at once.
 */
void
spread_tick(
    struct spread *spread, struct timespec now, struct spread_actions *actions)
{
	bool lacking = is_lacking(spread, now);
	int64_t round_ms = lacking ? SPREAD_START_ROUND_MS : SPREAD_ROUND_MS;

	tell_wave(spread, now, actions);
	if (time_is_set(spread->round_at) &&
	    time_diff_ms(now, spread->round_at) < round_ms)
		return;
	spread->round_at = now;
	tell_random(
	    spread, lacking ? SPREAD_START_PEERS : SPREAD_ROUND_PEERS, actions);
}
