/*
 * Records the latest attempt of each request, so that an older, duplicate or
 * delayed submit message never runs. An attempt is kept until its deadline, or
 * for ATTEMPT_RETENTION_MS if that is later; a submit that arrives after its
 * deadline is rejected for its age.
 *
 * An attempt is recorded as not run; that is cleared when it is sent to the
 * upstream, and set again if the upstream provably did not run it. A duplicate
 * of an attempt that was not run is rejected instead of reported as lost.
 */
#ifndef SIDECAR_ATTEMPT_TABLE_H
#define SIDECAR_ATTEMPT_TABLE_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* Minimum time that an attempt is kept after it arrived. */
#define ATTEMPT_RETENTION_MS 60000

enum attempt_verdict {
	ATTEMPT_LATEST, /* newer than any before; now the latest */
	ATTEMPT_DUPLICATE, /* the same attempt arrived before */
	ATTEMPT_STALE, /* a later attempt arrived before */
};

struct attempt_table;

struct attempt_table *attempt_table_new(void);
void attempt_table_free(struct attempt_table *);
enum attempt_verdict attempt_table_record(struct attempt_table *,
    const char *key, uint32_t attempt, struct timespec deadline,
    struct timespec now);
void attempt_table_set_not_run(
    struct attempt_table *, const char *key, uint32_t attempt, bool not_run);
bool attempt_table_is_not_run(const struct attempt_table *, const char *key);
void attempt_table_expire(struct attempt_table *, struct timespec now);

#endif
