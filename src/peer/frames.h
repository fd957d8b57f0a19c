/*
 * Framing on a link's byte stream: a queue of encoded frames to be sent, and a
 * buffer of received bytes from which complete frames are parsed.
 */
#ifndef PEER_FRAMES_H
#define PEER_FRAMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "peer/message.h"

/* Length field before each frame's body. */
#define FRAME_LENGTH_BYTES 4

enum frames_status {
	FRAMES_DONE, /* all sent, or the socket would block */
	FRAMES_MORE, /* the limit per call was read; there may be more */
	FRAMES_CLOSED, /* closed by the peer, or failed as errno says */
};

struct frame_queue {
	GByteArray *bytes;
	size_t sent; /* bytes at the start that were written to the socket */
};

void frame_queue_init(struct frame_queue *);
void frame_queue_clear(struct frame_queue *);
bool frame_queue_push(struct frame_queue *, const struct message *);
void frame_queue_append(struct frame_queue *to, struct frame_queue *from);
enum frames_status frame_queue_write(struct frame_queue *, int fd);
size_t frame_queue_bytes(const struct frame_queue *);

struct frame_buffer {
	GByteArray *bytes;
	size_t consumed; /* bytes at the start that were parsed */
};

enum frame_status {
	FRAME_COMPLETE,
	FRAME_INCOMPLETE,
	FRAME_TOO_LONG,
};

void frame_buffer_init(struct frame_buffer *);
void frame_buffer_clear(struct frame_buffer *);
enum frames_status frame_buffer_read(struct frame_buffer *, int fd);
enum frame_status frame_buffer_next(struct frame_buffer *, size_t max_bytes,
    const uint8_t **body, size_t *length);
void frame_buffer_compact(struct frame_buffer *);

#endif
