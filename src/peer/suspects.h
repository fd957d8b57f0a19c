/*
 * Requests that were running when upstreams died, replicated to all processes.
 * Deaths are counted per reporter, so that two deaths seen by two reporters add
 * up, and one that is reported twice counts once.
 */
#ifndef PEER_SUSPECTS_H
#define PEER_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* A suspect is removed this long after its last death. */
#define SUSPECT_TTL_MS (10 * 60 * 1000)
/* Maximum number of suspects; the oldest is removed for a new one. */
#define SUSPECTS_MAX 1024
/* Maximum reporters of a suspect: more deaths than quarantine needs. */
#define SUSPECT_REPORTERS_MAX 8

struct suspects;

struct suspect_report {
	uint64_t fingerprint;
	uint64_t reporter;
	uint32_t deaths;
	struct timespec died_at; /* the last of them */
};

typedef void suspects_report_fn(void *data, const struct suspect_report *);

struct suspects *suspects_new(void);
void suspects_free(struct suspects *);
bool suspects_add_report(
    struct suspects *, const struct suspect_report *, struct timespec now);
uint32_t suspects_count_deaths(
    struct suspects *, uint64_t fingerprint, struct timespec now);
uint32_t suspects_count_reporter_deaths(
    struct suspects *, uint64_t fingerprint, uint64_t reporter);
void suspects_for_each_report(
    struct suspects *, struct timespec now, suspects_report_fn *, void *);

#endif
