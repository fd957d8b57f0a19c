/*
 * Named, versioned documents that are replicated to every process. The highest
 * version wins; a version never decreases. Peers exchange their versions by
 * gossip and pull newer documents from each other, so that few processes poll
 * the platform and all can start without it.
 */
#ifndef PEER_DOCUMENTS_H
#define PEER_DOCUMENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "config/config.h"
#include "peer/mesh.h"

#define DOCUMENT_CONFIG	   "config"
#define DOCUMENT_PLACEMENT "placement"
/* The platform's host list as last polled; the version is wall time in ms. */
#define DOCUMENT_HOSTS "hosts"
/*
 * The gateways' copies of the platform's objects; the version is the object
 * store's revision. Each has a codec, which encodes and applies the changes
 * since a version, so that peers are sent only what they lack.
 */
#define DOCUMENT_ROUTES "routes"
/* The same as items; used in place of `routes` between peers that know it. */
#define DOCUMENT_ROUTING_ITEMS "routing_items"
#define DOCUMENT_UPSTREAMS     "upstreams"
/* Failure domains that are taken out of service. */
#define DOCUMENT_TAKEOUTS "takeouts"

/* Checksums in one request. */
#define DOCUMENTS_SUMS_MAX 64

struct documents;

/* Called when a newer document is in force; bytes are borrowed for the call. */
typedef void documents_update_fn(
    void *data, uint64_t version, const uint8_t *, size_t);
/*
 * Encodes the changes since version have and sets *base to the version that
 * they apply to, 0 for the whole document. The caller frees the text. NULL if
 * it can't be sent now.
 */
typedef GString *documents_encode_fn(void *data, uint64_t have, uint64_t *base);
/*
 * Applies changes that a peer has encoded; false if they can't be used. After
 * it has applied them, it calls documents_announce() with its new version.
 */
typedef bool documents_apply_fn(
    void *data, uint64_t base, uint64_t version, const uint8_t *, size_t);
/*
 * Describes what is here by checksums, of which it writes at most
 * DOCUMENTS_SUMS_MAX, and returns their number.
 */
typedef size_t documents_describe_fn(void *data, uint64_t *sums);
/*
 * Encodes what differs from a document that a peer has described, as changes to
 * it. The caller frees the text. NULL if it can't be sent now.
 */
typedef GString *documents_repair_fn(
    void *data, const uint64_t *sums, size_t count);
/* Called when a newer configuration is in force; the snapshot is borrowed. */
typedef void documents_config_fn(void *data, struct config *);

struct documents *documents_new(
    struct ev_loop *, struct clock *, struct mesh *, struct link_identity *);
void documents_free(struct documents *);

bool documents_update(struct documents *, const char *name, uint64_t version,
    const uint8_t *, size_t);
void documents_set_codec(struct documents *, const char *name,
    documents_encode_fn *, documents_apply_fn *, void *data);
void documents_announce(struct documents *, const char *name, uint64_t version);
void documents_record(struct documents *, const char *name, uint64_t version);
void documents_set_repair(struct documents *, const char *name,
    documents_describe_fn *, documents_repair_fn *);
void documents_request_repair(struct documents *, const char *name);
void documents_reject(struct documents *, const char *name, uint64_t version);
uint64_t documents_version(const struct documents *, const char *name);
uint64_t documents_newest_version(
    const struct documents *, const char *name, int64_t within_ms);
const uint8_t *documents_get(
    const struct documents *, const char *name, size_t *length);
void documents_subscribe(
    struct documents *, const char *name, documents_update_fn *, void *data);

struct config *documents_config(const struct documents *);
void documents_subscribe_config(
    struct documents *, documents_config_fn *, void *data);

#endif
