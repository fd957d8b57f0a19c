/* The state of a set of documents, for the files that implement it. */
#ifndef PEER_DOCUMENTS_INTERNAL_H
#define PEER_DOCUMENTS_INTERNAL_H

#include "base/list.h"
#include "peer/documents.h"
#include "policy/gossip.h"

#define DOCUMENTS    7
#define CONFIG_INDEX 0

struct subscriber {
	size_t document;
	documents_update_fn *callback; /* or NULL */
	documents_config_fn *config_callback; /* or NULL */
	void *data;
	TAILQ_ENTRY(subscriber) entry;
};

/* Encodes and applies a document that is not stored as bytes here. */
struct codec {
	documents_encode_fn *encode; /* NULL for none */
	documents_apply_fn *apply;
	void *data;
	documents_describe_fn *describe; /* NULL for none */
	documents_repair_fn *repair;
	bool needs_repair; /* what is here is not that of its version */
};

struct documents {
	struct ev_loop *loop;
	struct clock *clock;
	struct mesh *mesh;
	struct link_identity *identity;
	struct mesh_handler handler;
	GRand *random;
	struct gossip *spread;
	GBytes *bytes[DOCUMENTS]; /* NULL for none */
	struct codec codecs[DOCUMENTS];
	struct config *config;
	ev_timer tick;
	TAILQ_HEAD(subscriber_list, subscriber) subscribers;
};

extern const char *const documents_names[DOCUMENTS];

size_t documents_find_index(const char *name);
void documents_reject_index(struct documents *, size_t index, uint64_t version);
void documents_send_repair(struct documents *, struct link *, size_t index,
    const struct message_pull *);

#endif
