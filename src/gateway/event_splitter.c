#include "gateway/event_splitter.h"

#include <string.h>

#define ID_FIELD     "id:"
#define ID_MAX_BYTES 24
/* First byte of a comment line. */
#define COMMENT ':'

/* Initialises a splitter with an empty buffer. */
void
event_splitter_init(struct event_splitter *splitter)
{
	*splitter = (struct event_splitter){.buffer = g_byte_array_new()};
}

/* Frees the splitter's buffer. */
void
event_splitter_clear(struct event_splitter *splitter)
{
	if (splitter->buffer != NULL)
		g_byte_array_unref(splitter->buffer);
	splitter->buffer = NULL;
}

/* Discards an incomplete event; after a retry the upstream sends it again. */
void
event_splitter_reset(struct event_splitter *splitter)
{
	g_byte_array_set_size(splitter->buffer, 0);
}

/* Returns whether an event has begun; empty lines between events are none. */
bool
event_splitter_is_in_event(const struct event_splitter *splitter)
{
	for (guint i = 0; i < splitter->buffer->len; i++) {
		if (splitter->buffer->data[i] != '\r' &&
		    splitter->buffer->data[i] != '\n')
			return true;
	}
	return false;
}

/* Returns whether a complete event has no fields: its lines are comments. */
bool
event_splitter_is_comment(const uint8_t *bytes, size_t length)
{
	bool at_line_start = true;

	for (size_t i = 0; i < length; i++) {
		if (at_line_start && bytes[i] != COMMENT && bytes[i] != '\r' &&
		    bytes[i] != '\n')
			return false;
		at_line_start = bytes[i] == '\n';
	}
	return true;
}

/* Returns the length of the first complete event, 0 if there is none. */
static size_t
first_event_length(const uint8_t *bytes, size_t length)
{
	for (size_t i = 1; i < length; i++) {
		if (bytes[i] != '\n')
			continue;
		if (bytes[i - 1] == '\n')
			return i + 1;
		if (bytes[i - 1] == '\r' && i >= 2 && bytes[i - 2] == '\n')
			return i + 1;
	}
	return 0;
}

/* Parses a line "id: N"; false for any other line. */
static bool
read_id(const uint8_t *line, size_t length, uint64_t *id)
{
	char text[ID_MAX_BYTES];
	size_t skip = strlen(ID_FIELD);

	if (length <= skip || length - skip >= sizeof(text) ||
	    memcmp(line, ID_FIELD, skip) != 0)
		return false;
	memcpy(text, line + skip, length - skip);
	text[length - skip] = '\0';
	return g_ascii_string_to_unsigned(
	    g_strstrip(text), 10, 0, UINT64_MAX, id, NULL);
}

/* Parses the last id of an event; false if it has no numeric one. */
static bool
find_id(const uint8_t *bytes, size_t length, uint64_t *id)
{
	size_t start = 0;
	bool found = false;

	for (size_t i = 0; i < length; i++) {
		if (bytes[i] != '\n')
			continue;
		found |= read_id(bytes + start, i - start, id);
		start = i + 1;
	}
	return found;
}

/*
 * Buffers bytes and calls back for each event that is complete. Returns false
 * if the incomplete event exceeds EVENT_SPLITTER_MAX_BYTES.
 */
bool
event_splitter_feed(struct event_splitter *splitter, const uint8_t *bytes,
    size_t length, event_splitter_fn *callback, void *data)
{
	size_t event_length;
	uint64_t id = 0;
	bool has_id;

	g_byte_array_append(splitter->buffer, bytes, (guint)length);
	while (splitter->buffer->len > 0) {
		event_length = first_event_length(
		    splitter->buffer->data, splitter->buffer->len);
		if (event_length == 0)
			return splitter->buffer->len <=
			    EVENT_SPLITTER_MAX_BYTES;
		has_id = find_id(splitter->buffer->data, event_length, &id);
		callback(
		    data, splitter->buffer->data, event_length, has_id, id);
		g_byte_array_remove_range(
		    splitter->buffer, 0, (guint)event_length);
	}
	return true;
}
