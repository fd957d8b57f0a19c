/*
 * Peer links: one TCP connection that carries messages in both directions, with
 * heartbeats, a bounded send queue and a ping timeout. A link owns its socket
 * and reports to its owner through link_ops only.
 *
 * Each side sends HELLO with a nonce at once. When it has received the peer's
 * HELLO, it sends a second one as the response, with the proof of the cluster
 * key if one is set. No other message is accepted before the second HELLO.
 */
#ifndef PEER_LINK_H
#define PEER_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include "base/clock.h"
#include "peer/message.h"

#define LINK_ERROR (link_error_quark())

#define LINK_HEARTBEAT_MS 500
/* Each side measures a round trip of its own at least this often. */
#define LINK_ROUND_TRIP_INTERVAL_MS 5000
/* Delay of the accepting side's heartbeats after the opener's. */
#define LINK_ACCEPTED_HEARTBEAT_DELAY_MS 125
/* A link is closed when nothing was received for this long after a ping. */
#define LINK_PING_TIMEOUT_MS 2000
/* Heartbeats continue for this long after a link was last used. */
#define LINK_ACTIVE_MS 3000
/*
 * The opener closes a link that was unused for this long: without heartbeats
 * the link is stale and new users would get another one.
 */
#define LINK_IDLE_TIMEOUT_MS	5000
#define LINK_CONNECT_TIMEOUT_MS 1000
#define LINK_QUEUE_MAX_BYTES	(8 * 1024 * 1024)

enum link_error {
	LINK_ERROR_ADDRESS, /* not HOST:PORT */
	LINK_ERROR_LISTEN, /* address in use or not local */
	LINK_ERROR_CONNECT, /* refused or timed out */
	LINK_ERROR_TIMEOUT, /* nothing received after a ping */
	LINK_ERROR_CLOSED, /* closed by the peer */
	LINK_ERROR_FRAME, /* invalid frame */
	LINK_ERROR_AUTH, /* peer did not prove that it has the cluster key */
	LINK_ERROR_IDLE, /* closed by this side because it was unused */
};

struct link;
struct link_server;

/* What this process sends about itself on each link; strings are borrowed. */
struct link_identity {
	const char *process;
	enum role role;
	const char *failure_domain;
	const char *address;
	uint64_t incarnation;
	const char *cluster_key; /* NULL for none */
	bool draining;
	uint64_t config_version; /* in the header of every message sent */
};

struct link_ops {
	/*
	 * A listener has accepted a connection. link_set_data() here sets the
	 * data of the link's other callbacks. May be NULL.
	 */
	void (*accepted)(void *data, struct link *);
	/* The handshake is complete and the peer is authenticated. */
	void (*opened)(void *data, struct link *);
	/* A message other than HELLO, PING, PONG; borrowed for the call. */
	void (*message)(void *data, struct link *, const struct message *);
	/* The queue has room again after link_send() had returned false. */
	void (*writable)(void *data, struct link *);
	/*
	 * The last callback; the link is freed after it. Not called after
	 * link_close().
	 */
	void (*closed)(void *data, struct link *, const GError *);
};

GQuark link_error_quark(void);
struct link *link_connect(struct ev_loop *, struct clock *,
    const struct link_identity *, const char *address, const struct link_ops *,
    void *data);
struct link_server *link_server_new(struct ev_loop *, struct clock *,
    const struct link_identity *, const char *address, const struct link_ops *,
    void *data, GError **);
int link_server_port(const struct link_server *);
void link_server_free(struct link_server *);

bool link_send(struct link *, struct message *);
void link_close(struct link *);
void link_check_liveness(struct link *);
void link_add_user(struct link *);
void link_remove_user(struct link *);
bool link_is_open(const struct link *);
bool link_is_stale(const struct link *);
void link_set_data(struct link *, void *);
void *link_data(const struct link *);
const struct message_hello *link_peer(const struct link *);
bool link_knows_ages(const struct link *);
int64_t link_message_age_ms(const struct link *, const struct message *);
size_t link_queued_bytes(const struct link *);

#endif
