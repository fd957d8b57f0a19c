/*
 * Runs and blocks that are to be deleted at the engine, until it says that each
 * is gone: an engine that is down or silent now is asked again later.
 */
#ifndef SIDECAR_CLEANUP_H
#define SIDECAR_CLEANUP_H

#include <stdbool.h>
#include <stddef.h>
#include <time.h>

#include "base/clock.h"
#include "upstream/upstream.h"

#define CLEANUP_RETRY_MS 500

struct cleanup;

enum cleanup_kind {
	CLEANUP_RUN,
	CLEANUP_BLOCK,
};

/* The engine no longer holds it. */
typedef void cleanup_done_fn(void *data, const char *id);

struct cleanup *cleanup_new(struct upstream *, struct clock *);
void cleanup_free(struct cleanup *);
void cleanup_delete(struct cleanup *, enum cleanup_kind, const char *id,
    cleanup_done_fn *, void *data);
bool cleanup_has(const struct cleanup *, enum cleanup_kind, const char *id);
size_t cleanup_count(const struct cleanup *);
void cleanup_tick(struct cleanup *);

#endif
