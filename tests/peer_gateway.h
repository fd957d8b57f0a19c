/* A gateway's modules up to the exchange of its load, for several in a test. */
#ifndef TESTS_PEER_GATEWAY_H
#define TESTS_PEER_GATEWAY_H

#include "base/http_client.h"
#include "fake_platform.h"
#include "gateway/load_sync.h"

struct peer_gateway {
	struct link_identity identity;
	char *address; /* HOST:PORT of its peer links */
	struct clock_manual clock; /* of the exchange alone */
	struct http_client *http;
	struct mesh *mesh;
	struct documents *documents;
	struct object_store *store;
	struct routing_state *routing_state;
	struct registry *registry;
	struct load_sync *load_sync;
};

void peer_gateway_start(struct peer_gateway *, struct ev_loop *,
    const struct fake_platform *, const struct load_sync_settings *);
void peer_gateway_stop(struct peer_gateway *);

#endif
