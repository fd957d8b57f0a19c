/*
 * Buffers the parts of one response between its upstream and its entry: those
 * that wait for the entry's flow control window, and those sent recently, which
 * may be requested again. Bounded in bytes; chunk sequences start at 1.
 */
#ifndef SIDECAR_REPLAY_BUFFER_H
#define SIDECAR_REPLAY_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

/* Sent bytes that are kept for a replay. */
#define REPLAY_BUFFER_SENT_MAX_BYTES ((size_t)128 * 1024)
/* The upstream is paused from this number of unsent bytes. */
#define REPLAY_BUFFER_HIGH_WATER_BYTES ((size_t)64 * 1024)
/* The upstream is resumed below this number of unsent bytes. */
#define REPLAY_BUFFER_LOW_WATER_BYTES ((size_t)16 * 1024)

struct replay_part {
	uint64_t sequence;
	uint32_t tokens;
	uint8_t *data;
	size_t length;
	TAILQ_ENTRY(replay_part) entry;
};

struct replay_buffer {
	TAILQ_HEAD(replay_parts, replay_part) parts;
	struct replay_part *next; /* next to send; NULL if all are sent */
	uint64_t last_sequence;
	size_t sent_bytes; /* of the sent parts that are kept */
	size_t unsent_bytes;
	int64_t window_bytes; /* that the entry accepts; may be negative */
};

void replay_buffer_init(struct replay_buffer *, uint32_t window_bytes);
void replay_buffer_clear(struct replay_buffer *);
void replay_buffer_add(
    struct replay_buffer *, uint32_t tokens, const uint8_t *, size_t length);
const struct replay_part *replay_buffer_peek(const struct replay_buffer *);
void replay_buffer_mark_sent(struct replay_buffer *);
bool replay_buffer_is_sent(const struct replay_buffer *);
bool replay_buffer_rewind(
    struct replay_buffer *, uint64_t after, uint32_t window_bytes);
size_t replay_buffer_bytes(const struct replay_buffer *);

#endif
