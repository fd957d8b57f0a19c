/*
 * The bytes of a link: a queue of encoded frames that are to leave, and a
 * buffer of bytes that have come, from which whole frames are taken.
 */
#ifndef PEER_FRAMES_H
#define PEER_FRAMES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "peer/message.h"

/* Length word ahead of each frame. */
#define FRAME_LENGTH_BYTES 4

enum frames_status {
	FRAMES_DONE, /* nothing more for now */
	FRAMES_MORE, /* a turn's share was read; the socket may have more */
	FRAMES_CLOSED, /* the other side closed, or errno says what broke */
};

struct frame_queue {
	GByteArray *bytes;
	size_t sent; /* bytes at the head that have left */
};

void frame_queue_init(struct frame_queue *);
void frame_queue_clear(struct frame_queue *);
bool frame_queue_push(struct frame_queue *, const struct message *);
void frame_queue_append(struct frame_queue *to, struct frame_queue *from);
enum frames_status frame_queue_write(struct frame_queue *, int fd);
size_t frame_queue_bytes(const struct frame_queue *);

struct frame_buffer {
	GByteArray *bytes;
	size_t consumed; /* bytes at the head that were frames */
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
