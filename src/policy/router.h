/*
 * Choice of upstream at an entry. The entry does not know the load of the
 * fleet. It probes a few candidates for offers, two of them chosen by
 * rendezvous hashing of the prompt's prefix for KV cache reuse, and selects the
 * offer with the shortest expected time to the first token. The baseline
 * policies choose without probes.
 */
#ifndef POLICY_ROUTER_H
#define POLICY_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <glib.h>

/*
 * Candidates that are probed for an offer; more would add messages without
 * improving the choice.
 */
#define ROUTER_CANDIDATES 3
/* How many of them are chosen by prefix. */
#define ROUTER_PREFIX_CANDIDATES 2
/* Back-off for an upstream that did not answer; doubles with each failure. */
#define ROUTER_BACKOFF_MIN_MS 200
#define ROUTER_BACKOFF_MAX_MS 5000
/*
 * Offers whose waits differ by no more than this are compared by cache hits,
 * then by load.
 */
#define ROUTER_WAIT_SLACK_MS 4
/*
 * The record of an upstream that was not a possible choice for this long, and
 * has no requests outstanding, is dropped within as much again.
 */
#define ROUTER_RECORD_LIFETIME_MS (10 * 60 * 1000)

enum router_policy {
	ROUTER_OFFERS, /* probes candidates for offers; the default */
	ROUTER_ROUND_ROBIN,
	ROUTER_LEAST_OUTSTANDING,
	ROUTER_TWO_CHOICES,
};

/* One upstream that may be chosen; strings are borrowed for the call. */
struct router_upstream {
	const char *id;
	bool tried; /* already tried by this request */
};

/* One candidate's offer. */
struct router_offer {
	size_t upstream; /* index into the list that was passed */
	bool accepting;
	uint32_t wait_ms; /* expected time to the first token */
	uint64_t cached_tokens;
	uint32_t running;
	uint32_t queued;
	uint32_t limit;
};

struct router;

struct router *router_new(enum router_policy, uint32_t seed);
void router_free(struct router *);
bool router_policy_parse(const char *, enum router_policy *);
bool router_uses_offers(const struct router *);
size_t router_choose_candidates(struct router *, uint64_t key,
    const struct router_upstream *, size_t count, struct timespec now,
    size_t chosen[ROUTER_CANDIDATES]);
ssize_t router_choose_offer(const struct router_offer *, size_t count);
void router_record_sent(struct router *, const char *upstream);
void router_record_done(struct router *, const char *upstream);
void router_record_load(struct router *, const char *upstream, uint32_t load);
void router_record_answer(struct router *, const char *upstream);
void router_record_failure(
    struct router *, const char *upstream, struct timespec now);
size_t router_record_count(const struct router *);

#endif
