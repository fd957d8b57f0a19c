/*
 * The failure domains that are taken out of service: their upstreams get no new
 * requests.
 *
 * Load pattern: a domain is taken out, and the store goes back to a copy from
 * before that. Until the operator has written it again, a gateway that follows
 * the store sends the domain its share of the full load, to upstreams that are
 * about to stop. Leaving a domain unused for a while costs only its share of
 * the capacity, so a takeout that a restored store lacks stays in force until
 * it is confirmed, ended, or TAKEOUTS_KEEP_MS have passed.
 */
#ifndef POLICY_TAKEOUTS_H
#define POLICY_TAKEOUTS_H

#include <stdbool.h>
#include <stddef.h>
#include <time.h>

#include <glib.h>

/* How long a takeout that a restored store lacks stays in force. */
#define TAKEOUTS_KEEP_MS 15000

struct takeouts;

/* Called for each domain that is taken out or, if returned, back in service. */
typedef void takeouts_fn(
    void *data, const char *domain, bool returned, struct timespec now);

struct takeouts *takeouts_new(takeouts_fn *, void *data);
void takeouts_free(struct takeouts *);
void takeouts_apply(struct takeouts *, const char *const *domains, size_t count,
    bool restored, struct timespec now);
void takeouts_end(struct takeouts *, const char *domain, struct timespec now);
void takeouts_expire(struct takeouts *, struct timespec now);
bool takeouts_contains(const struct takeouts *, const char *domain);

#endif
