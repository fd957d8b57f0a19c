/*
 * Prompt parts that crash upstreams.
 *
 * Load pattern: requests of many callers share a part of their prompts, and
 * each upstream that begins to answer one of them crashes, together with all
 * else that it runs. No two of the requests are alike and they come at every
 * gateway, several a second, so that nothing about a whole request repeats
 * while all upstreams of a service go down in turn.
 *
 * What repeats is the part. When an upstream dies, the shared parts of those
 * requests are charged with its death that had not survived their first events
 * there: doubly where the response had begun, since a crash at the first output
 * leaves just that. A part is refused once its charges weigh as much as three
 * begun responses, or as six if a request with it has survived before: several
 * crashing parts may stand beside the same sound one.
 *
 * Sound parts are charged too, by chance or because they stand beside the one
 * that crashes. Requests with them that survive clear them: a charge does not
 * count if a request with the part has begun since shortly before it and
 * survived. And a death is explained by one part: of those that could be
 * refused, the one of which nothing has survived is, and among such the one
 * that stands deepest in the prompt, since it is shared by the fewest requests.
 * The deaths that are charged to it no longer count for others.
 *
 * A part may be refused by mistake, because nothing with it happened to
 * survive. So once, PART_QUARANTINE_PROBE_MS after the last charge, one request
 * with it is sent as a probe. If it survives, the part is accepted again; if
 * its upstream dies, the late charge tells all gateways that the part has been
 * probed.
 *
 * A death has an id made of the upstream and its start, so that what several
 * gateways report of it counts once.
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
/* Maximum number of parts; the one that was used least recently is dropped. */
#define PART_QUARANTINE_PARTS_MAX 4096

struct part_quarantine;

enum part_event_kind {
	PART_SURVIVED,
	PART_CHARGED_WAITING, /* the upstream died before the response began */
	PART_CHARGED_BEGUN,
};

/* What happened to a request with a part. */
struct part_event {
	enum part_event_kind kind;
	uint64_t part;
	uint32_t depth; /* position of the part in the prompt */
	uint64_t death; /* id; 0 for a survival */
	struct timespec at; /* of the death, or the begin of the response */
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
enum part_effect part_quarantine_add(
    struct part_quarantine *, const struct part_event *, struct timespec now);
void part_quarantine_update(struct part_quarantine *, struct timespec now,
    part_refused_fn *, void *data);
bool part_quarantine_survival(
    const struct part_quarantine *, uint64_t part, struct part_event *out);
int64_t part_quarantine_left_ms(
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
