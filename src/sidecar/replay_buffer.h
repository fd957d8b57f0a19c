/*
 * The parts of one answer between its upstream and its entry: what waits for
 * the entry's window, and what was sent a short while ago and may be asked for
 * again. Bounded in bytes; chunk sequences count from 1.
 */
#ifndef SIDECAR_REPLAY_BUFFER_H
#define SIDECAR_REPLAY_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

/* Bytes kept after they were sent. */
#define REPLAY_BUFFER_SENT_MAX_BYTES ((size_t)128 * 1024)
/* From so many unsent bytes on the upstream is paused. */
#define REPLAY_BUFFER_HIGH_WATER_BYTES ((size_t)64 * 1024)
/* Below so many it goes on. */
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
	struct replay_part *next; /* to be sent; NULL where all is sent */
	uint64_t last_sequence;
	size_t sent_bytes; /* of those kept */
	size_t unsent_bytes;
	int64_t window_bytes; /* that the entry can take; may fall below 0 */
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
