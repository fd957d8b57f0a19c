#include "gateway/event_splitter.h"

#include <string.h>

#include "platform/headers.h"

#define ID_MAX_BYTES 24

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

/* Parses the value of an id; false if it is no number. */
static bool
read_id(const char *value, size_t length, uint64_t *id)
{
	char text[ID_MAX_BYTES];

	if (length >= sizeof(text))
		return false;
	memcpy(text, value, length);
	text[length] = '\0';
	return g_ascii_string_to_unsigned(
	    g_strstrip(text), 10, 0, UINT64_MAX, id, NULL);
}

/* Returns whether a name of some length is this one. */
static bool
is_name(const char *name, size_t length, const char *expected)
{
	return length == strlen(expected) &&
	    memcmp(name, expected, length) == 0;
}

/* Lines of an event so far, by kind. */
struct event_lines {
	size_t ids; /* numeric or not */
	bool has_data;
	bool has_inner_comment; /* after an id or data */
	bool has_unknown; /* a line that is no field, or has a CR or NUL */
};

/* Reads one line, without its line end, that is not empty. */
static void
read_line(struct stream_event *event, struct event_lines *lines,
    const char *line, size_t length)
{
	const char *colon = memchr(line, ':', length);
	size_t name = colon == NULL ? length : (size_t)(colon - line);
	size_t value = MIN(name + 1, length);

	/* Callers take a CR alone for a line end, too. */
	lines->has_unknown |= memchr(line, '\r', length) != NULL ||
	    memchr(line, '\0', length) != NULL;
	if (name == 0) {
		lines->has_inner_comment |= lines->ids > 0 || lines->has_data;
	} else if (is_name(line, name, "id")) {
		lines->ids++;
		event->has_id = read_id(
		    line + value, length - value, &event->id);
	} else if (is_name(line, name, "data")) {
		lines->has_data = true;
	} else if (!is_name(line, name, "event") &&
	    !is_name(line, name, "retry") &&
	    !headers_is_event_line(line, name)) {
		lines->has_unknown = true;
	}
}

/* Reads the lines of a complete event. */
static struct stream_event
read_event(const uint8_t *bytes, size_t length)
{
	struct stream_event event = {.bytes = bytes, .length = length};
	struct event_lines lines = {0};
	size_t start = 0;
	size_t end;

	for (size_t i = 0; i < length; i++) {
		if (bytes[i] != '\n')
			continue;
		end = i > start && bytes[i - 1] == '\r' ? i - 1 : i;
		if (end > start)
			read_line(&event, &lines, (const char *)bytes + start,
			    end - start);
		start = i + 1;
	}
	event.is_blank = lines.ids == 0 && !lines.has_data &&
	    !lines.has_unknown;
	/* A comment in an event may be an empty line with a wrong byte. */
	event.is_malformed = lines.has_unknown || lines.ids > 1 ||
	    (lines.ids > 0 && (!lines.has_data || lines.has_inner_comment));
	return event;
}

/*
 * Buffers bytes and calls back for each event that is complete. Returns false
 * if the incomplete event exceeds EVENT_SPLITTER_MAX_BYTES.
 */
bool
event_splitter_feed(struct event_splitter *splitter, const uint8_t *bytes,
    size_t length, event_splitter_fn *callback, void *data)
{
	struct stream_event event;
	size_t event_length;

	g_byte_array_append(splitter->buffer, bytes, (guint)length);
	while (splitter->buffer->len > 0) {
		event_length = first_event_length(
		    splitter->buffer->data, splitter->buffer->len);
		if (event_length == 0)
			return splitter->buffer->len <=
			    EVENT_SPLITTER_MAX_BYTES;
		event = read_event(splitter->buffer->data, event_length);
		callback(data, &event);
		g_byte_array_remove_range(
		    splitter->buffer, 0, (guint)event_length);
	}
	return true;
}
