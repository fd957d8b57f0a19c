/*
 * Own links: one TCP connection that carries messages both ways, with
 * heartbeats, a bounded queue and a silence limit. A link owns its socket and
 * speaks to its owner through link_ops alone.
 *
 * Each side sends HELLO with a nonce at once and, when it has the other side's,
 * a second HELLO that answers it: with the proof of the cluster key where one
 * is set. No other frame counts before the second HELLO.
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
/* Each side makes a round trip of its own at least this often. */
#define LINK_ROUND_TRIP_INTERVAL_MS 5000
/* How far the accepting side's heartbeats are behind the opener's. */
#define LINK_ACCEPTED_HEARTBEAT_DELAY_MS 125
/* A link on which a ping has had no answer for this long is closed. */
#define LINK_PING_TIMEOUT_MS 2000
/* Heartbeats go on for this long after the last use of a link. */
#define LINK_ACTIVE_MS 3000
/*
 * A link that nobody has used for this long is closed by its opener: without
 * heartbeats it would not be given to a new user anyway.
 */
#define LINK_IDLE_TIMEOUT_MS	5000
#define LINK_CONNECT_TIMEOUT_MS 1000
#define LINK_QUEUE_MAX_BYTES	(8 * 1024 * 1024)

enum link_error {
	LINK_ERROR_ADDRESS, /* not HOST:PORT */
	LINK_ERROR_LISTEN, /* address in use or not ours */
	LINK_ERROR_CONNECT, /* refused or timed out */
	LINK_ERROR_TIMEOUT, /* nothing came for LINK_PING_TIMEOUT_MS after a
			       ping */
	LINK_ERROR_CLOSED, /* the other side closed it */
	LINK_ERROR_FRAME, /* not a frame of ours */
	LINK_ERROR_AUTH, /* the other side has not shown the cluster key */
	LINK_ERROR_IDLE, /* unused; closed by this side */
};

struct link;
struct link_server;

/* What this process says of itself on each link; strings are borrowed. */
struct link_identity {
	const char *process;
	enum role role;
	const char *failure_domain;
	const char *address;
	uint64_t incarnation;
	const char *cluster_key; /* NULL for none */
	bool draining;
	uint64_t config_version; /* put on every message that is sent */
};

struct link_ops {
	/*
	 * A listener has taken a connection; the place to link_set_data() what
	 * the link's other callbacks shall get. May be NULL.
	 */
	void (*accepted)(void *data, struct link *);
	/* The handshake is done and the other side's proof holds. */
	void (*opened)(void *data, struct link *);
	/* A message other than HELLO, PING, PONG; borrowed for the call. */
	void (*message)(void *data, struct link *, const struct message *);
	/* The queue has room again after link_send() had said no. */
	void (*writable)(void *data, struct link *);
	/*
	 * The last callback; the link is freed after it. It does not come where
	 * link_close() was called.
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
int64_t link_message_age_ms(const struct link *, const struct message *);
size_t link_queued_bytes(const struct link *);

#endif
