#include "peer/frames.h"

#include <sys/socket.h>

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>

#include "base/metrics.h"
#include "peer/traffic.h"

#define LOG_MODULE "frames"
#include "base/log.h"

#define READ_BYTES (32 * 1024)
/* Bytes read per call before control returns to the loop. */
#define READ_PER_CALL_BYTES (256 * 1024)
/* Larger buffers are freed once empty. */
#define BUFFER_KEEP_BYTES (64 * 1024)

METRIC_DEFINE(sent_bytes, METRIC_COUNTER, "heatherturn_links_sent_bytes", NULL,
    "Bytes written to links.");
METRIC_DEFINE(received_bytes, METRIC_COUNTER,
    "heatherturn_links_received_bytes", NULL, "Bytes read from links.");

/* Discards the consumed bytes of a buffer, once they are over half of it. */
static void
discard_consumed(GByteArray **bytes, size_t *consumed)
{
	if (*consumed == (*bytes)->len) {
		if (*consumed > BUFFER_KEEP_BYTES) {
			g_byte_array_unref(*bytes);
			*bytes = g_byte_array_new();
		} else {
			g_byte_array_set_size(*bytes, 0);
		}
		*consumed = 0;
	} else if (*consumed > (*bytes)->len / 2) {
		g_byte_array_remove_range(*bytes, 0, (guint)*consumed);
		*consumed = 0;
	}
}

/* Creates an empty queue. */
void
frame_queue_init(struct frame_queue *queue)
{
	queue->bytes = g_byte_array_new();
	queue->sent = 0;
}

/* Frees a queue's memory. */
void
frame_queue_clear(struct frame_queue *queue)
{
	g_byte_array_unref(queue->bytes);
}

/* Appends a message as a frame; false if it can't be encoded. */
bool
frame_queue_push(struct frame_queue *queue, const struct message *message)
{
	g_autoptr(GError) error = NULL;
	g_autoptr(GByteArray) body = message_encode(message, &error);
	uint32_t length;

	if (body == NULL) {
		LOG_ERROR(
		    "message not encoded", "{s:s}", "error", error->message);
		return false;
	}
	length = htonl(body->len);
	g_byte_array_append(
	    queue->bytes, (const uint8_t *)&length, FRAME_LENGTH_BYTES);
	g_byte_array_append(queue->bytes, body->data, body->len);
	traffic_count_sent(message->kind, FRAME_LENGTH_BYTES + body->len);
	return true;
}

/* Moves all frames of one queue, none of them partly sent, to another's end. */
void
frame_queue_append(struct frame_queue *to, struct frame_queue *from)
{
	g_byte_array_append(to->bytes, from->bytes->data, from->bytes->len);
	from->sent = from->bytes->len;
	discard_consumed(&from->bytes, &from->sent);
}

/* Writes until the queue is empty or the socket would block. */
enum frames_status
frame_queue_write(struct frame_queue *queue, int fd)
{
	enum frames_status status = FRAMES_DONE;

	while (queue->sent < queue->bytes->len) {
		ssize_t count = send(fd, queue->bytes->data + queue->sent,
		    queue->bytes->len - queue->sent, MSG_NOSIGNAL);

		if (count < 0 && errno == EINTR)
			continue;
		if (count < 0) {
			if (errno != EAGAIN && errno != EWOULDBLOCK)
				status = FRAMES_CLOSED;
			break;
		}
		queue->sent += (size_t)count;
		metric_add(&sent_bytes, count);
	}
	if (status == FRAMES_DONE)
		discard_consumed(&queue->bytes, &queue->sent);
	return status;
}

/* Returns the number of unsent bytes. */
size_t
frame_queue_bytes(const struct frame_queue *queue)
{
	return queue->bytes->len - queue->sent;
}

/* Creates an empty buffer. */
void
frame_buffer_init(struct frame_buffer *buffer)
{
	buffer->bytes = g_byte_array_new();
	buffer->consumed = 0;
}

/* Frees a buffer's memory. */
void
frame_buffer_clear(struct frame_buffer *buffer)
{
	g_byte_array_unref(buffer->bytes);
}

/*
 * Reads until the socket has no more, up to the limit per call. A read that
 * does not fill the buffer has taken all.
 */
enum frames_status
frame_buffer_read(struct frame_buffer *buffer, int fd)
{
	uint8_t bytes[READ_BYTES];
	size_t turn = 0;

	while (turn < READ_PER_CALL_BYTES) {
		ssize_t count = recv(fd, bytes, sizeof(bytes), 0);

		if (count < 0 && errno == EINTR)
			continue;
		if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return FRAMES_DONE;
		if (count <= 0) {
			errno = count == 0 ? ECONNRESET : errno;
			return FRAMES_CLOSED;
		}
		turn += (size_t)count;
		metric_add(&received_bytes, count);
		g_byte_array_append(buffer->bytes, bytes, (guint)count);
		if ((size_t)count < sizeof(bytes))
			return FRAMES_DONE;
	}
	return FRAMES_MORE;
}

/*
 * Finds the next complete frame. A length above max_bytes is rejected before
 * the body is received; the body is valid until the buffer is read into or
 * compacted.
 */
enum frame_status
frame_buffer_next(struct frame_buffer *buffer, size_t max_bytes,
    const uint8_t **body, size_t *length)
{
	const uint8_t *at = buffer->bytes->data + buffer->consumed;
	size_t left = buffer->bytes->len - buffer->consumed;
	uint32_t length_field;

	if (left < FRAME_LENGTH_BYTES)
		return FRAME_INCOMPLETE;
	memcpy(&length_field, at, FRAME_LENGTH_BYTES);
	*length = ntohl(length_field);
	if (*length > max_bytes)
		return FRAME_TOO_LONG;
	if (left - FRAME_LENGTH_BYTES < *length)
		return FRAME_INCOMPLETE;
	*body = at + FRAME_LENGTH_BYTES;
	buffer->consumed += FRAME_LENGTH_BYTES + *length;
	return FRAME_COMPLETE;
}

/* Discards the parsed frames. */
void
frame_buffer_compact(struct frame_buffer *buffer)
{
	discard_consumed(&buffer->bytes, &buffer->consumed);
}
