/*
 * Runs at the engine without an owner here, usually left by an earlier process
 * of this sidecar. Each is kept for a grace time in which its entry can resume
 * it; its id contains the organisation and the deadline.
 */
#ifndef SIDECAR_UNOWNED_RUNS_H
#define SIDECAR_UNOWNED_RUNS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include "upstream/upstream.h"

/* An unowned run that is not resumed is deleted after this time. */
#define UNOWNED_RUN_GRACE_MS 4000

struct unowned_runs;

struct unowned_run {
	uint64_t tokens;
	int64_t deadline_ms; /* wall clock */
	struct timespec seen_at;
};

void unowned_runs_format_id(char id[UPSTREAM_RUN_ID_SIZE], const char *key,
    uint32_t attempt, const char *organisation, int64_t deadline_ms);

struct unowned_runs *unowned_runs_new(void);
void unowned_runs_free(struct unowned_runs *);
bool unowned_runs_update(struct unowned_runs *, const struct upstream_item *,
    struct timespec now, int64_t wall_ms);
char *unowned_runs_take(struct unowned_runs *, const char *request,
    uint32_t attempt, const char *organisation, struct unowned_run *);
void unowned_runs_expire(struct unowned_runs *, struct timespec now);

#endif
