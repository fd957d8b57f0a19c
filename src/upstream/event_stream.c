#include "upstream/event_stream.h"

#include <string.h>

/* Initialises a decoder. */
void
event_stream_init(struct event_stream *stream)
{
	stream->line = g_string_new(NULL);
	stream->data = g_string_new(NULL);
	stream->fault = NULL;
}

/* Frees a decoder's buffers. */
void
event_stream_clear(struct event_stream *stream)
{
	g_string_free(stream->line, TRUE);
	g_string_free(stream->data, TRUE);
}

/* Sets why the decoder stops. */
static bool
set_fault(struct event_stream *stream, const char *fault)
{
	stream->fault = fault;
	return false;
}

/* Handles one line; an empty one ends an event. */
static bool
parse_line(struct event_stream *stream, event_stream_fn *fn, void *data)
{
	static const char field[] = "data:";
	const char *text = stream->line->str;
	bool go_on;

	if (stream->line->len == 0) {
		if (stream->data->len == 0)
			return true;
		go_on = fn(data, stream->data->str, stream->data->len);
		g_string_truncate(stream->data, 0);
		return go_on;
	}
	if (strncmp(text, field, sizeof(field) - 1) != 0)
		return true;
	text += sizeof(field) - 1;
	text += *text == ' ';
	if (stream->data->len > 0)
		g_string_append_c(stream->data, '\n');
	g_string_append(stream->data, text);
	return true;
}

/*
 * Decodes bytes and calls fn for each completed event. Returns false if fn
 * returned false, or with a fault if a line exceeds the limit or has a NUL
 * byte; the decoder must not be used then.
 */
bool
event_stream_feed(struct event_stream *stream, const uint8_t *bytes,
    size_t length, event_stream_fn *fn, void *data)
{
	const uint8_t *end;
	size_t part;

	while (length > 0) {
		end = memchr(bytes, '\n', length);
		part = end != NULL ? (size_t)(end - bytes) : length;
		if (stream->line->len + part > EVENT_STREAM_LINE_MAX_BYTES)
			return set_fault(stream, "a line is too long");
		if (memchr(bytes, '\0', part) != NULL)
			return set_fault(stream, "a line has a NUL byte");
		g_string_append_len(
		    stream->line, (const char *)bytes, (gssize)part);
		if (end == NULL)
			return true;
		if (stream->line->len > 0 &&
		    stream->line->str[stream->line->len - 1] == '\r')
			g_string_truncate(stream->line, stream->line->len - 1);
		if (!parse_line(stream, fn, data))
			return false;
		g_string_truncate(stream->line, 0);
		bytes += part + 1;
		length -= part + 1;
	}
	return true;
}

/* Returns whether no event or line has begun and not ended. */
bool
event_stream_is_between_events(const struct event_stream *stream)
{
	return stream->line->len == 0 && stream->data->len == 0;
}

/* Moves a position past the next bytes of its stream. */
void
event_stream_advance(
    struct event_stream_position *position, const uint8_t *bytes, size_t length)
{
	for (size_t i = 0; i < length; i++) {
		if (bytes[i] == '\n') {
			position->in_event &= position->in_line;
			position->in_line = false;
		} else if (bytes[i] != '\r') {
			position->in_line = true;
			position->in_event = true;
		}
	}
}
