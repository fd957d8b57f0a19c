/*
 * Requests that were running when upstreams died, as all processes know them.
 * Deaths are kept per reporter, so that two deaths seen apart at the same time
 * add up, and one that is told twice counts once.
 */
#ifndef PEER_SUSPECTS_H
#define PEER_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* A suspect is forgotten this long after its last death. */
#define SUSPECT_TTL_MS (10 * 60 * 1000)
/* Suspects kept; beyond these the oldest goes. */
#define SUSPECTS_MAX 1024
/* Reporters kept of one suspect: more deaths than quarantine needs. */
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
