/*
 * The upstreams as this process knows them: what the platform's list says of
 * each, what its own requests have met there, and what work lies on it as far
 * as this process and its peers have told each other.
 */
#ifndef ROUTING_FLEET_H
#define ROUTING_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

#include <glib.h>

#include "base/list.h"
#include "policy/balance.h"
#include "policy/cold_rate.h"

/* What the platform's list says of one upstream. */
struct upstream_report {
	const char *id;
	const char *service;
	const char *address; /* HOST:PORT */
	const char *failure_domain;
	uint32_t slots;
	bool draining; /* takes no new work and ends soon */
	int64_t cold_ms; /* how much longer it is cold, when it was written */
	int64_t start_wall_ms; /* start of its process; 0 where not said */
};

/* What requests are at one upstream. */
struct upstream_load {
	uint32_t running;
	uint32_t streams[STREAM_CLASSES]; /* of them */
	uint64_t context_tokens; /* of all of them */
	uint64_t prefill_us; /* of prompts without a first token */
};

struct upstream {
	char *id;
	char *service;
	char *address;
	char *failure_domain;
	uint32_t slots;
	bool draining;
	bool listed; /* in the platform's list; kept on while work runs there */
	struct timespec unlisted_at; /* when the list ceased to name it */
	int64_t start_wall_ms;
	struct timespec cold_until;
	struct cold_rate cold_rate;

	/* What requests of this process met. */
	uint32_t failures; /* in a row */
	struct timespec avoid_until; /* after failures */
	double error_share; /* of its answers lately */
	struct timespec faulty_until; /* another could not read with it */
	uint32_t peer_fault_reports; /* processes that found the same */

	/* Work that lies on it. */
	struct upstream_load own; /* of this process's requests */
	struct upstream_load peers; /* of other processes', as told */
	struct timespec prefill_until; /* all that it is known to read */

	TAILQ_ENTRY(upstream) entry;
};

TAILQ_HEAD(upstream_list, upstream);

struct fleet {
	struct upstream_list upstreams;
	GHashTable *by_id;
	GHashTable *takeouts; /* failure domains that are taken out */
	uint64_t version; /* of the list in force */
	struct timespec applied_at; /* when it came into force here */
};

/*
 * An upstream that vanishes from the list without a word may only have lapsed
 * there while the store was away. It is used on for this time, which ends well
 * before the two seconds after which a leaving one must get nothing more.
 */
#define FLEET_UNLISTED_GRACE_MS 1400

/*
 * How long an upstream that another could not read with is blamed. While the
 * store is away the list does not say who leaves, and each refusal would find
 * only one of many; one that is back is used again after this.
 */
#define FLEET_FAULTY_MS 2000
/*
 * So many peers that blame an upstream are believed. One alone may have heard
 * it from an upstream that was cut off itself.
 */
#define FLEET_FAULT_REPORTS_MIN 2

struct fleet *fleet_new(void);
void fleet_free(struct fleet *);
void fleet_apply(struct fleet *, uint64_t version,
    const struct upstream_report *, size_t count, const char *const *removed,
    size_t removed_count, struct timespec now);
void fleet_set_takeouts(struct fleet *, const char *const *domains,
    size_t count, struct timespec now, int64_t cold_ms);
struct upstream *fleet_find(const struct fleet *, const char *id);
size_t fleet_count(const struct fleet *);
bool fleet_upstream_is_eligible(
    const struct fleet *, const struct upstream *, struct timespec now);
bool upstream_is_avoided(const struct upstream *, struct timespec now);
void fleet_add_request(struct fleet *, struct upstream *, struct timespec now);
uint64_t upstream_prefill_us(const struct upstream *);
struct timespec upstream_add_prefill(
    struct upstream *, uint64_t part_us, struct timespec now);
void fleet_remove_request(
    struct fleet *, struct upstream *, struct timespec now);

#endif
