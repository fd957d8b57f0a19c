/*
 * The upstreams that this process can route to: what the platform's upstream
 * list reports about each, how this process's own requests fared there, and its
 * current load as counted by this process and reported by its peers.
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
#include "policy/shared_rate.h"
#include "policy/takeouts.h"
#include "policy/upstream_process.h"

/* One upstream as reported by the platform's list. */
struct upstream_report {
	const char *id;
	const char *service;
	const char *address; /* HOST:PORT */
	const char *failure_domain;
	uint32_t slots;
	bool draining; /* accepts no new requests and will stop soon */
	int64_t cold_ms; /* warm-up time left in the report */
	int64_t start_wall_ms; /* process start; 0 if not reported */
};

/* A newer version of the upstream list, or what changed in it. */
struct upstream_list {
	uint64_t version;
	bool restored; /* the store went back to a copy, see policy/departure.h
			*/
	const struct upstream_report *reports; /* added or changed */
	size_t count;
	const char *const *removed; /* ids of those that left the list */
	size_t removed_count;
};

/* The load of open requests on one upstream. */
struct upstream_load {
	uint32_t running;
	uint32_t streams[STREAM_CLASSES]; /* running streams by class */
	uint64_t context_tokens; /* sum over running requests */
	uint64_t prefill_us; /* predicted, before the first tokens */
};

struct fleet_upstream {
	char *id;
	char *service;
	char *address;
	char *failure_domain;
	uint32_t slots;
	struct upstream_process process; /* what was learned of it */
	bool listed; /* in the list; else kept until idle */
	struct timespec unlisted_until; /* if not listed: used until then */
	struct timespec cold_until;
	struct cold_rate cold_rate;
	struct shared_rate shared_rate; /* granted by this process */
	uint32_t peer_fault_reports; /* peers that report it as faulty */

	/* Load. */
	struct upstream_load own; /* requests of this process */
	struct upstream_load reported; /* own, as the peers know it */
	struct upstream_load peers; /* requests of other processes */
	uint64_t peers_sent_tokens; /* of all prompts that peers announced */
	struct timespec prefill_until; /* when all prefill work is done */

	TAILQ_ENTRY(fleet_upstream) entry;
};

TAILQ_HEAD(fleet_upstreams, fleet_upstream);

struct fleet {
	struct fleet_upstreams upstreams;
	GHashTable *by_id;
	GHashTable *unlisted; /* id -> struct unlisted, of removed upstreams */
	struct takeouts *takeouts; /* failure domains taken out */
	uint64_t version; /* of the list in use */
	struct timespec applied_at; /* when this process applied that version */
};

/*
 * An upstream that leaves the list without having been marked as draining may
 * only have expired there while the store was unreachable. It still gets
 * requests for this time, which ends well before the 2 s after which an
 * upstream that is stopping must not get new ones.
 */
#define FLEET_UNLISTED_GRACE_MS 1400

/*
 * How long an upstream counts as faulty after another upstream reported that it
 * could not prefill with it. While the store is unreachable the list does not
 * show which upstreams are stopping, and each rejected request finds only one
 * of them. An upstream that has come back is used again after this time.
 */
#define FLEET_FAULTY_MS 2000
/*
 * An upstream counts as faulty once this many peers report it. A single report
 * may come from an upstream that was itself cut off from the network.
 */
#define FLEET_FAULT_REPORTS_MIN 2

/* How long the upstreams of a domain that returns to service count as cold. */
#define FLEET_RETURNED_COLD_MS 4000
/* How long peers are told of an upstream that says that it leaves. */
#define FLEET_ANNOUNCE_MS 3000
/* How long peers are told that an upstream has begun or ceased to name a rate.
 */
#define FLEET_ANNOUNCE_RATE_MS 1000

struct fleet *fleet_new(void);
void fleet_free(struct fleet *);
void fleet_apply(
    struct fleet *, const struct upstream_list *, struct timespec now);
void fleet_set_takeouts(struct fleet *, const char *const *domains,
    size_t count, bool restored, struct timespec now);
void fleet_end_takeout(struct fleet *, const char *domain, struct timespec now);
void fleet_expire(struct fleet *, struct timespec now);
void fleet_upstream_on_leaving(
    struct fleet_upstream *, const char *source, struct timespec now);
bool fleet_upstream_announces(
    const struct fleet_upstream *, struct timespec now);
void fleet_upstream_on_quiet(
    struct fleet_upstream *, int64_t quiet_ms, struct timespec now);
bool fleet_upstream_announces_rate(
    const struct fleet_upstream *, struct timespec now);
void fleet_upstream_on_rate(
    struct fleet_upstream *, bool changed, const char *source);
struct fleet_upstream *fleet_find(const struct fleet *, const char *id);
size_t fleet_count(const struct fleet *);
bool fleet_upstream_is_eligible(
    const struct fleet *, const struct fleet_upstream *, struct timespec now);
bool fleet_upstream_is_leaving(
    const struct fleet *, const struct fleet_upstream *, struct timespec now);
bool fleet_upstream_is_avoided(
    const struct fleet_upstream *, struct timespec now);
void fleet_add_request(
    struct fleet *, struct fleet_upstream *, struct timespec now);
uint64_t fleet_upstream_prefill_us(const struct fleet_upstream *);
struct timespec fleet_upstream_add_prefill(
    struct fleet_upstream *, uint64_t part_us, struct timespec now);
void fleet_remove_request(
    struct fleet *, struct fleet_upstream *, struct timespec now);

#endif
