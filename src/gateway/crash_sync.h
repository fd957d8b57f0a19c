/*
 * Exchange of what gateways see of prompt parts and whole requests that crash
 * upstreams. Each new event goes to a few random peers at once, which pass it
 * on; gateways whose knowledge differs, by a digest that they compare twice a
 * second, send each other all of it, as they do when a link opens.
 */
#ifndef GATEWAY_CRASH_SYNC_H
#define GATEWAY_CRASH_SYNC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "peer/mesh.h"
#include "policy/part_quarantine.h"

struct crash_sync;

/* What of a request may crash upstreams. */
struct crash_subjects {
	uint64_t request; /* fingerprint; 0 for none */
	const uint64_t *parts; /* shared ones of its prompt, borrowed */
	size_t part_count;
};

/* Requests with a part, or with a fingerprint, are refused from now on. */
typedef void crash_sync_refused_fn(void *data, uint64_t part);

struct crash_sync *crash_sync_new(
    struct ev_loop *, struct clock *, struct mesh *, GRand *);
void crash_sync_free(struct crash_sync *);
void crash_sync_set_refused_callback(
    struct crash_sync *, crash_sync_refused_fn *, void *data);
void crash_sync_report_death(struct crash_sync *, uint64_t death,
    const struct crash_subjects *, const struct part_death_stage *);
void crash_sync_report_survival(struct crash_sync *,
    const struct crash_subjects *, struct timespec began_at);
bool crash_sync_find_probe(
    struct crash_sync *, const struct crash_subjects *, uint64_t *out);
void crash_sync_begin_probe(struct crash_sync *, uint64_t subject);
bool crash_sync_is_refused(struct crash_sync *, const struct crash_subjects *);
int64_t crash_sync_retry_after_ms(
    struct crash_sync *, const struct crash_subjects *);

#endif
