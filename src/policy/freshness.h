/*
 * As of when a process knows that its copy of what the store holds is the
 * newest: by the store's own answers, or by the report of a peer that has them.
 * That something does not exist may be said only while this is not long ago: a
 * process that is cut off, was frozen or has a dead connection would otherwise
 * turn away what has been added since.
 */
#ifndef POLICY_FRESHNESS_H
#define POLICY_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

/* The age of what never happened. */
#define FRESHNESS_NEVER (-1)

struct freshness {
	struct timespec store_at; /* the store's answer held then; or unset */
	struct timespec peer_at; /* the same, of an answer to a peer */
	uint64_t newer_version; /* the last that a peer named; or 0 */
	struct timespec newer_named_at; /* when that report was read */
};

void freshness_on_store(struct freshness *, struct timespec at);
void freshness_on_peer(struct freshness *, uint64_t in_force, uint64_t version,
    struct timespec at, struct timespec now);
bool freshness_is_current(const struct freshness *, uint64_t in_force,
    int64_t max_age_ms, struct timespec now);
const char *freshness_source(const struct freshness *);
int64_t freshness_age_ms(const struct freshness *, struct timespec now);
int64_t freshness_since_ms(struct timespec at, struct timespec now);

#endif
