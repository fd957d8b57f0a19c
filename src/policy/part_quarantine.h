/*
 * Prompt parts and whole requests that crash upstreams.
 *
 * Load pattern: requests of many callers share a part of their prompts, and
 * each upstream that begins to answer one of them crashes, together with all
 * else that it runs. No two of the requests are alike and they come at every
 * gateway, several a second, so that nothing about a whole request repeats
 * while all upstreams of a service go down in turn. Or one request crashes
 * whatever runs it, and its callers send it again and again. Sound requests
 * repeat as well, so that many of them are running wherever an upstream dies,
 * of whatever cause.
 *
 * What repeats is charged. When an upstream dies, the shared parts of those
 * requests are charged with its death that had not survived their first events
 * there: doubly where the response had begun, since a crash at the first output
 * leaves just that. A part is refused once its charges weigh as much as three
 * begun responses, or as six if a request with it has survived before: several
 * crashing parts may stand beside the same sound one. Deaths of one moment then
 * count once, since a failure domain or a service may go as a whole. A whole
 * request is charged in the same way, and counts as the deepest part of its
 * prompt: doubly until it has survived its first events, fourfold if it was the
 * only one at the upstream, so that two deaths are enough for one that ran
 * alone.
 *
 * Sound parts are charged too, by chance or because they stand beside the one
 * that crashes. Requests with them that survive clear them: a charge does not
 * count if a request with the part has begun since shortly before it and
 * survived. A whole request survives by a complete success, whenever it began.
 * And a death is explained by one part: of those that could be refused, the one
 * of which nothing has survived is, and among such the one that stands deepest
 * in the prompt, since it is shared by the fewest requests. The deaths that are
 * charged to it no longer count for others. Whole requests explain no part's
 * deaths: each request with a crashing part crashes upstreams on its own.
 *
 * A part may be refused by mistake, because nothing with it happened to
 * survive. So once, PART_QUARANTINE_PROBE_MS after the last charge, one request
 * with it is sent as a probe. If it survives, the part is accepted again; if
 * its upstream dies, the late charge tells all gateways that the part has been
 * probed.
 *
 * A death has an id made of the upstream and its start, so that what several
 * gateways report of it, or of several copies of a request, counts once. The
 * end of an upstream that leaves is no death.
 */
#ifndef POLICY_PART_QUARANTINE_H
#define POLICY_PART_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* A response that has had this many events has survived. */
#define PART_QUARANTINE_SURVIVED_EVENTS 2
/* A part is refused until this long after its last charge. */
#define PART_QUARANTINE_MS (10 * 60 * 1000)
/* Time after the last charge from which a refused part is probed. */
#define PART_QUARANTINE_PROBE_MS (60 * 1000)
/* Shortest time after which it is worth asking again for a refused part. */
#define PART_QUARANTINE_RETRY_MIN_MS 5000
/*
 * Maximum number of parts, and as many whole requests; the one that was used
 * least recently is dropped, charged and refused ones last.
 */
#define PART_QUARANTINE_PARTS_MAX 4096
/* Depth of a whole request. */
#define PART_DEPTH_REQUEST UINT32_MAX

struct part_quarantine;

/* What happened, in the order of the weight of charges; sent to peers. */
enum part_event_kind {
	PART_SURVIVED,
	PART_CHARGED_WEAKLY,
	PART_CHARGED,
	PART_CHARGED_ALONE, /* a request; nothing else ran at the upstream */
	PART_EVENT_KINDS,
};

/* How far a request was when its upstream died. */
struct part_death_stage {
	bool begun; /* the response */
	bool alone; /* nothing else ran at the upstream */
	bool leaving; /* the upstream's end was planned */
	uint32_t events; /* of the response */
};

/* What happened to a request with a part. */
struct part_event {
	enum part_event_kind kind;
	uint64_t part; /* or fingerprint of a whole request */
	uint32_t depth; /* position in the prompt, or PART_DEPTH_REQUEST */
	uint64_t death; /* id; 0 for a survival */
	/* Of the death; of the response's begin, or of a request's success. */
	struct timespec at;
};

enum part_effect {
	PART_KNOWN, /* nothing new */
	PART_NEW, /* to be passed on to other gateways */
	PART_REFUTED, /* a known survival refutes the charge */
};

typedef void part_event_fn(void *data, const struct part_event *);
typedef void part_refused_fn(void *data, uint64_t part, bool refused);

struct part_quarantine *part_quarantine_new(void);
void part_quarantine_free(struct part_quarantine *);
bool part_quarantine_charge(
    const struct part_death_stage *, uint32_t depth, enum part_event_kind *out);
enum part_effect part_quarantine_add(
    struct part_quarantine *, const struct part_event *, struct timespec now);
void part_quarantine_update(struct part_quarantine *, struct timespec now,
    part_refused_fn *, void *data);
bool part_quarantine_survival(
    const struct part_quarantine *, uint64_t part, struct part_event *out);
bool part_quarantine_is_request(
    const struct part_quarantine *, uint64_t part_id);
int64_t part_quarantine_left_ms(
    const struct part_quarantine *, uint64_t part, struct timespec now);
int64_t part_quarantine_retry_after_ms(
    const struct part_quarantine *, uint64_t part, struct timespec now);
bool part_quarantine_is_probe_due(
    const struct part_quarantine *, uint64_t part, struct timespec now);
void part_quarantine_on_probe(
    struct part_quarantine *, uint64_t part, struct timespec now);
uint64_t part_quarantine_digest(
    const struct part_quarantine *, struct timespec now);
void part_quarantine_for_each_charge(const struct part_quarantine *,
    struct timespec now, part_event_fn *, void *data);

#endif
