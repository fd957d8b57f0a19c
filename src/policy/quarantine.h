/*
 * Isolates requests that crash their upstream. The fingerprint of each request
 * that was running when an upstream crashed becomes suspect. A suspect runs
 * alone, one at a time, at the one configured upstream that its fingerprint
 * selects, and is rejected while that upstream is unavailable. After its second
 * crash it is rejected everywhere. A suspect that an upstream has run to its
 * end is cleared of the deaths before that, in all processes. Every process
 * keeps a table and reports changes to the others before it answers the caller
 * whose request was lost.
 *
 * A death has an id made of the upstream and its incarnation, so that one death
 * that is reported twice counts once, and two deaths reported by different
 * processes count as two. On the wire a report is a MESSAGE_SUSPECT.
 *
 * Guarantee for a request that crashes every upstream that runs it: at most two
 * deaths over any number of resends, sequential or concurrent, provided that
 * copies in flight before the first death is known are sent to the same
 * upstream and that reports arrive before the next resend. Each further
 * upstream that runs a copy before it has received the report of the first
 * death can crash too.
 *
 * A fingerprint is a 64-bit hash of organisation and prompt. Times are in
 * milliseconds.
 */
#ifndef POLICY_QUARANTINE_H
#define POLICY_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* Number of deaths from which a fingerprint is rejected. */
#define QUARANTINE_DEATHS 2

struct quarantine;

struct quarantine_limits {
	size_t entries_max; /* the one whose last death is oldest is dropped */
	int64_t expiry_ms; /* after the last death */
};

enum quarantine_verdict {
	QUARANTINE_CLEAN,
	QUARANTINE_SUSPECT, /* must run alone */
	QUARANTINE_REFUSED,
};

/*
 * A death, or that an upstream has survived a request with the fingerprint, to
 * be reported to the other processes as a MESSAGE_SUSPECT.
 */
struct quarantine_report {
	uint64_t fingerprint;
	bool cleared;
	uint64_t death; /* id; 0 if cleared */
	uint32_t deaths; /* number of deaths known to the sender */
	uint32_t age_ms; /* time since then */
};

void quarantine_limits_init(struct quarantine_limits *);
struct quarantine *quarantine_new(const struct quarantine_limits *);
void quarantine_free(struct quarantine *);

uint64_t quarantine_death_id(const char *upstream, uint64_t incarnation);
void quarantine_record_death(struct quarantine *, uint64_t death,
    const uint64_t *fingerprints, size_t count, struct timespec now);
void quarantine_clear_suspect(
    struct quarantine *, uint64_t fingerprint, struct timespec now);
uint32_t quarantine_count_deaths(
    const struct quarantine *, uint64_t fingerprint, struct timespec now);
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
