/*
 * Suspects: requests, by fingerprint, that were running when an upstream died,
 * replicated to all processes. A reporter is a process that saw the upstream
 * die; it reports its own total for the fingerprint. The deaths of a suspect
 * are the sum, over its reporters, of the highest total that each has reported.
 * A report that arrives twice counts once, but one death that two reporters saw
 * counts as two.
 */
#ifndef PEER_SUSPECTS_H
#define PEER_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

/* A suspect is removed this long after the last upstream death during it. */
#define SUSPECT_TTL_MS (10 * 60 * 1000)
/* Maximum number of suspects; the oldest is removed for a new one. */
#define SUSPECTS_MAX 1024
/*
 * Maximum reporters of a suspect. Each has seen at least one death, so together
 * they exceed QUARANTINE_DEATHS, and further reporters would change nothing.
 */
#define SUSPECT_REPORTERS_MAX 8

struct suspects;

struct suspect_report {
	uint64_t fingerprint;
	uint64_t reporter;
	uint32_t deaths; /* upstream deaths that this reporter has seen */
	struct timespec died_at; /* time of the last of them */
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
