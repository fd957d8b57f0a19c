#include <errno.h>

#include "base/metrics.h"
#include "peer/link_internal.h"
#include "peer/traffic.h"

METRIC_DEFINE(opened_count, METRIC_COUNTER, "heatherturn_links_opened", NULL,
    "Links that completed the handshake.");

/* Sends HELLO; the second one answers the peer's nonce. */
void
link_send_hello(struct link *link, bool second)
{
	const struct link_identity *identity = link->identity;
	uint8_t proof[LINK_AUTH_PROOF_BYTES];
	struct message hello = {
	    .kind = MESSAGE_HELLO,
	    .hello =
		{
		    .process = (char *)identity->process,
		    .role = identity->role,
		    .failure_domain = (char *)identity->failure_domain,
		    .address = (char *)identity->address,
		    .incarnation = identity->incarnation,
		    .nonce = {link->nonce, LINK_AUTH_NONCE_BYTES},
		    .draining = identity->draining,
		},
	};

	if (second && identity->cluster_key != NULL) {
		link_auth_compute_proof(identity->cluster_key,
		    link->accepted == NULL, link->nonce,
		    link->hello->hello.nonce.data, proof);
		hello.hello.proof = (struct bytes){proof, sizeof(proof)};
	}
	link_fill_header(link, &hello);
	if (!second)
		link->hello_sent_ms = hello.sent_ms;
	frame_queue_push(&link->out, &hello);
	link_schedule_write(link);
}

/*
 * Returns whether the peer's second HELLO proves that it has our cluster key.
 */
static bool
is_authenticated(const struct link *link, const struct message_hello *second)
{
	if (link->identity->cluster_key == NULL)
		return true;
	return link_auth_verify_proof(link->identity->cluster_key,
	    link->accepted != NULL, link->hello->hello.nonce.data, link->nonce,
	    &second->proof);
}

/* Completes the handshake: sends queued messages and calls opened(). */
static void
complete_handshake(struct link *link)
{
	struct timespec now = clock_monotonic(link->clock);

	link->state = LINK_OPEN;
	link->opened_at = now;
	link->last_used_at = now;
	metric_add(&opened_count, 1);
	frame_queue_append(&link->out, &link->pending);
	link_send_ping(link);
	if (link->ops->opened != NULL)
		link->ops->opened(link->data, link);
}

/*
 * Handles a HELLO: the first is kept and answered, the second opens the link.
 */
static void
handle_hello(struct link *link, struct message **message)
{
	if (link->hello == NULL) {
		if ((*message)->hello.nonce.length != LINK_AUTH_NONCE_BYTES) {
			link_fail(link, LINK_ERROR_FRAME,
			    "HELLO nonce has the wrong length");
			return;
		}
		link->hello = g_steal_pointer(message);
		link_send_hello(link, true);
		return;
	}
	if (!is_authenticated(link, &(*message)->hello)) {
		link_fail(link, LINK_ERROR_AUTH,
		    "peer did not prove that it has the cluster key");
		return;
	}
	clock_offset_add_round_trip(&link->offset, link->hello_sent_ms,
	    (*message)->sent_ms, time_to_ms(clock_monotonic(link->clock)));
	complete_handshake(link);
}

/* Answers a ping. */
static void
send_pong(struct link *link, const struct message *ping)
{
	struct message pong = {
	    .kind = MESSAGE_PONG,
	    .sequence = link_is_in_use(link, clock_monotonic(link->clock)),
	    .pong = {.ping_sent_ms = ping->sent_ms},
	};

	link_fill_header(link, &pong);
	frame_queue_push(&link->out, &pong);
	link_schedule_write(link);
}

/*
 * Handles one message; the calling function frees it unless it was set to NULL.
 */
static void
handle_message(struct link *link, struct message **message)
{
	const struct message *received = *message;

	if (link->state == LINK_HANDSHAKING) {
		if (received->kind == MESSAGE_HELLO)
			handle_hello(link, message);
		else
			link_fail(link, LINK_ERROR_AUTH,
			    "message received before the end of the handshake");
		return;
	}
	switch (received->kind) {
	case MESSAGE_HELLO:
		break;
	case MESSAGE_PING:
		if (received->sequence > 0)
			link->peer_last_used_at = clock_monotonic(link->clock);
		send_pong(link, received);
		break;
	case MESSAGE_PONG:
		link->last_pong_at = clock_monotonic(link->clock);
		if (received->sequence > 0)
			link->peer_last_used_at = link->last_pong_at;
		clock_offset_add_round_trip(&link->offset,
		    received->pong.ping_sent_ms, received->sent_ms,
		    time_to_ms(clock_monotonic(link->clock)));
		break;
	default:
		link->last_used_at = clock_monotonic(link->clock);
		if (link->ops->message != NULL)
			link->ops->message(link->data, link, received);
		break;
	}
}

/* Decodes one frame's body and handles it. Unknown kinds are ignored. */
static void
handle_frame(struct link *link, const uint8_t *body, size_t length)
{
	GError *error = NULL;
	struct message *message = message_decode(body, length, &error);

	if (message == NULL) {
		if (!g_error_matches(
			error, MESSAGE_ERROR, MESSAGE_ERROR_UNKNOWN_KIND))
			link_fail(link, LINK_ERROR_FRAME, error->message);
		g_error_free(error);
		return;
	}
	traffic_count_received(message->kind, FRAME_LENGTH_BYTES + length);
	handle_message(link, &message);
	message_free(message);
}

/* Handles all complete frames in the buffer. */
static void
handle_frames(struct link *link)
{
	const uint8_t *body;
	size_t length;

	while (link->state != LINK_CLOSED) {
		switch (frame_buffer_next(&link->in,
		    link->state == LINK_OPEN ? FRAME_MAX_BYTES
					     : LINK_HANDSHAKE_MAX_BYTES,
		    &body, &length)) {
		case FRAME_COMPLETE:
			handle_frame(link, body, length);
			break;
		case FRAME_TOO_LONG:
			link_fail(link, LINK_ERROR_FRAME,
			    "frame exceeds the size limit");
			return;
		case FRAME_INCOMPLETE:
			frame_buffer_compact(&link->in);
			return;
		}
	}
}

/*
 * Reads from the socket, up to the limit per call, and handles the frames, also
 * those received before the peer closed the connection.
 */
void
link_read(struct link *link)
{
	size_t old_length = link->in.bytes->len;
	enum frames_status status = frame_buffer_read(&link->in, link->fd);
	int code = errno;

	if (link->in.bytes->len > old_length) {
		link->last_received_at = clock_monotonic(link->clock);
		link->unanswered_ping_at = (struct timespec){0};
		handle_frames(link);
	}
	if (status == FRAMES_CLOSED)
		link_fail(link, LINK_ERROR_CLOSED, g_strerror(code));
}
