/*
 * State of a link, and functions shared by the files that implement it.
 */
#ifndef PEER_LINK_INTERNAL_H
#define PEER_LINK_INTERNAL_H

#include "base/list.h"
#include "peer/clock_offset.h"
#include "peer/frames.h"
#include "peer/link.h"
#include "peer/link_auth.h"

/*
 * Longest frame before the handshake is complete, when the peer is not yet
 * authenticated.
 */
#define LINK_HANDSHAKE_MAX_BYTES 4096

/* Accepted links of one listener. */
TAILQ_HEAD(link_list, link);

enum link_state {
	LINK_CONNECTING,
	LINK_HANDSHAKING, /* HELLOs are being exchanged */
	LINK_OPEN,
	LINK_CLOSED, /* freed when its callbacks have returned */
};

struct link {
	struct ev_loop *loop;
	struct clock *clock;
	const struct link_identity *identity;
	const struct link_ops *ops;
	void *data;
	struct link_list *accepted; /* NULL on the opener's side */
	enum link_state state;
	int fd;
	unsigned int callback_depth; /* callbacks running; freed at 0 */
	ev_io readable;
	ev_io writable;
	ev_timer tick;
	struct frame_buffer in;
	struct frame_queue out;
	struct frame_queue pending; /* sent before LINK_OPEN */
	bool send_blocked; /* link_send() returned false since writable() */
	unsigned int users;
	uint8_t nonce[LINK_AUTH_NONCE_BYTES];
	int64_t hello_sent_ms;
	struct message *hello; /* the peer's first HELLO */
	struct clock_offset offset;
	struct timespec opened_at;
	struct timespec last_received_at;
	struct timespec last_used_at; /* sent or received a message */
	struct timespec peer_last_used_at; /* as its pings and pongs say */
	struct timespec last_pong_at; /* last round trip of our own */
	struct timespec unanswered_ping_at; /* cleared by any data */
	GError *connect_error; /* found in link_connect() */
	TAILQ_ENTRY(link) entry;
};

struct link *link_accept(struct ev_loop *, struct clock *,
    const struct link_identity *, const struct link_ops *, void *data, int fd,
    struct link_list *);
void link_list_close(struct link_list *);

void link_send_hello(struct link *, bool second);
void link_read(struct link *);

void link_fill_header(const struct link *, struct message *);
bool link_is_in_use(const struct link *, struct timespec now);
void link_send_ping(struct link *);
void link_schedule_write(struct link *);
void link_fail(struct link *, enum link_error, const char *text);
void link_fail_with(struct link *, GError *);
void link_begin_callback(struct link *);
void link_end_callback(struct link *);

#endif
