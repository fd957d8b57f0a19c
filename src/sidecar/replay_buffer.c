#include "sidecar/replay_buffer.h"

#include <glib.h>

/*
 * Returns the memory of a part, its struct included, so that many small parts
 * are bounded too.
 */
static size_t
memory_bytes(const struct replay_part *part)
{
	return sizeof(*part) + part->length;
}

/* Initialises an empty buffer with the entry's first window. */
void
replay_buffer_init(struct replay_buffer *buffer, uint32_t window_bytes)
{
	*buffer = (struct replay_buffer){.window_bytes = window_bytes};
	TAILQ_INIT(&buffer->parts);
}

/* Frees the oldest part; the caller updates the byte counts. */
static void
drop_first(struct replay_buffer *buffer)
{
	struct replay_part *part = TAILQ_FIRST(&buffer->parts);

	TAILQ_REMOVE(&buffer->parts, part, entry);
	g_free(part->data);
	g_free(part);
}

/* Frees all parts; keeps the last sequence number and flow-control window. */
void
replay_buffer_clear(struct replay_buffer *buffer)
{
	while (!TAILQ_EMPTY(&buffer->parts))
		drop_first(buffer);
	buffer->next = NULL;
	buffer->sent_bytes = 0;
	buffer->unsent_bytes = 0;
}

/* Appends a copy of the next part of the response. */
void
replay_buffer_add(struct replay_buffer *buffer, uint32_t tokens,
    const uint8_t *data, size_t length)
{
	struct replay_part *part = g_new0(struct replay_part, 1);

	part->sequence = ++buffer->last_sequence;
	part->tokens = tokens;
	part->data = g_memdup2(data, length);
	part->length = length;
	TAILQ_INSERT_TAIL(&buffer->parts, part, entry);
	buffer->unsent_bytes += memory_bytes(part);
	if (buffer->next == NULL)
		buffer->next = part;
}

/*
 * Returns the next part to send; NULL if there is none or the window is used
 * up.
 */
const struct replay_part *
replay_buffer_peek(const struct replay_buffer *buffer)
{
	return buffer->window_bytes > 0 ? buffer->next : NULL;
}

/*
 * Marks the part from replay_buffer_peek() as sent, and frees the oldest sent
 * parts beyond the limit.
 */
void
replay_buffer_mark_sent(struct replay_buffer *buffer)
{
	struct replay_part *part = buffer->next;

	buffer->next = TAILQ_NEXT(part, entry);
	buffer->window_bytes -= (int64_t)part->length;
	buffer->unsent_bytes -= memory_bytes(part);
	buffer->sent_bytes += memory_bytes(part);
	while (buffer->sent_bytes > REPLAY_BUFFER_SENT_MAX_BYTES) {
		buffer->sent_bytes -= memory_bytes(TAILQ_FIRST(&buffer->parts));
		drop_first(buffer);
	}
}

/* Returns whether all buffered parts are sent. */
bool
replay_buffer_is_sent(const struct replay_buffer *buffer)
{
	return buffer->next == NULL;
}

/*
 * Rewinds to the part after the given sequence, for an entry that has all parts
 * up to it. Returns false if a part that it lacks is no longer buffered.
 */
bool
replay_buffer_rewind(
    struct replay_buffer *buffer, uint64_t after, uint32_t window_bytes)
{
	struct replay_part *part = TAILQ_FIRST(&buffer->parts);
	uint64_t first_buffered = part != NULL ? part->sequence
					       : buffer->last_sequence + 1;

	if (after > buffer->last_sequence || after + 1 < first_buffered)
		return false;
	buffer->window_bytes = window_bytes;
	buffer->next = NULL;
	buffer->sent_bytes = 0;
	buffer->unsent_bytes = 0;
	TAILQ_FOREACH (part, &buffer->parts, entry) {
		if (part->sequence <= after) {
			buffer->sent_bytes += memory_bytes(part);
			continue;
		}
		if (buffer->next == NULL)
			buffer->next = part;
		buffer->unsent_bytes += memory_bytes(part);
	}
	return true;
}

/* Returns the memory of all parts, their structs included. */
size_t
replay_buffer_bytes(const struct replay_buffer *buffer)
{
	return buffer->sent_bytes + buffer->unsent_bytes;
}
