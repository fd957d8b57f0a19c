/*
 * Upstreams that ask for quiet: with a rejection they may say for how long they
 * want no requests from this process.
 *
 * Load pattern: a service is overloaded, and each of its upstreams rejects a
 * part of the requests with a time. Every retry goes to the next upstream and
 * makes it reject more, until all have asked for quiet. So none gets a request
 * before its time has ended; if that leaves no upstream, callers are rejected
 * at once and told when the first one is back, each a little later than the
 * other, so that they do not return together.
 */
#ifndef POLICY_QUIET_H
#define POLICY_QUIET_H

#include <stdbool.h>
#include <stdint.h>
#include <time.h>

#include <glib.h>

/* An upstream can't ask for more. */
#define QUIET_MAX_MS (INT64_C(3600) * 1000)

/* Zero-initialised: an upstream that has not asked for quiet. */
struct quiet {
	struct timespec until;
};

void quiet_on_request(struct quiet *, int64_t quiet_ms, struct timespec now);
bool quiet_is_wanted(const struct quiet *, struct timespec now);
int64_t quiet_left_ms(const struct quiet *, struct timespec now);

#endif
