/*
 * Deletes runs and blocks at the engine. Each deletion is retried until the
 * engine confirms it, as the engine may be down or unresponsive.
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

/* The engine has confirmed the deletion of id. */
typedef void cleanup_done_fn(void *data, const char *id);

struct cleanup *cleanup_new(struct upstream *, struct clock *);
void cleanup_free(struct cleanup *);
void cleanup_delete(struct cleanup *, enum cleanup_kind, const char *id,
    cleanup_done_fn *, void *data);
bool cleanup_has(const struct cleanup *, enum cleanup_kind, const char *id);
size_t cleanup_count(const struct cleanup *);
void cleanup_tick(struct cleanup *);

#endif
