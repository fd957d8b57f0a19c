/*
 * Requests that crash their upstream. The fingerprint of each request that was
 * running at an upstream's death is suspect; a suspect runs alone, one at a
 * time, at the one configured upstream that its fingerprint chooses, and is
 * refused while that one is away; after its second death it is refused
 * everywhere. A suspect that ended well on its own is clean again. Every
 * process keeps a table and tells the others what it learns, before it answers
 * the caller whose request was lost.
 *
 * A death is known by an id made of the upstream and its incarnation, so that a
 * death which is reported twice counts once, and two deaths that are reported
 * by different processes count as two. On the wire a report is a
 * MESSAGE_SUSPECT whose head carries the death's id as 16 hex digits in the
 * request member.
 *
 * What is proved for a request that crashes each upstream that runs it: at most
 * two deaths over any number of resends, one after the other or at once,
 * where copies that are in flight before the first death is known are sent to
 * the same upstream and reports arrive before the next resend. Each further
 * upstream that runs a copy before it has heard of the first death can die too.
 *
 * A fingerprint is a 64-bit hash of organisation and prompt. Times are
 * milliseconds.
 */
#ifndef POLICY_QUARANTINE_H
#define POLICY_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* From so many deaths on a fingerprint is refused. */
#define QUARANTINE_DEATHS 2

struct quarantine;

struct quarantine_limits {
	size_t entries_max; /* the least recently dead is forgotten first */
	int64_t expiry_ms; /* after the last death */
};

enum quarantine_verdict {
	QUARANTINE_CLEAN,
	QUARANTINE_SUSPECT, /* run alone */
	QUARANTINE_REFUSED,
};

/* What the other processes must hear: a MESSAGE_SUSPECT. */
struct quarantine_report {
	uint64_t fingerprint;
	uint64_t death; /* as made by quarantine_death_id() */
	uint32_t deaths; /* as far as the sender knows */
	uint32_t age_ms; /* of that death */
};

void quarantine_limits_init(struct quarantine_limits *);
struct quarantine *quarantine_new(const struct quarantine_limits *);
void quarantine_free(struct quarantine *);

uint64_t quarantine_death_id(const char *upstream, uint64_t incarnation);
void quarantine_record_death(struct quarantine *, uint64_t death,
    const uint64_t *fingerprints, size_t count, struct timespec now);
void quarantine_clear_suspect(
    struct quarantine *, uint64_t fingerprint, struct timespec now);
enum quarantine_verdict quarantine_check(
    const struct quarantine *, uint64_t fingerprint, struct timespec now);

bool quarantine_merge_report(
    struct quarantine *, const struct quarantine_report *, struct timespec now);
bool quarantine_next_report(
    struct quarantine *, struct quarantine_report *, struct timespec now);
size_t quarantine_list_reports(const struct quarantine *,
    struct quarantine_report *, size_t max, struct timespec now);
size_t quarantine_choose_upstream(
    uint64_t fingerprint, const char *const *upstreams, size_t count);

#endif
