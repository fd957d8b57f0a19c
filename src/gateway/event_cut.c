#include "gateway/event_cut.h"

#include <string.h>

#define ID_FIELD     "id:"
#define ID_MAX_BYTES 24

/* Makes a cutter that holds nothing. */
void
event_cut_init(struct event_cut *cut)
{
	*cut = (struct event_cut){.held = g_byte_array_new()};
}

/* Frees what a cutter holds. */
void
event_cut_clear(struct event_cut *cut)
{
	if (cut->held != NULL)
		g_byte_array_unref(cut->held);
	cut->held = NULL;
}

/* Drops half an event: another upstream sends it anew. */
void
event_cut_restart(struct event_cut *cut)
{
	g_byte_array_set_size(cut->held, 0);
}

/* Returns the length of the first whole event, 0 for none. */
static size_t
first_event(const uint8_t *bytes, size_t length)
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

/* Reads the number of a line "id: N"; false for any other line. */
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

/* Finds an event's id; false where it has none. */
static bool
find_id(const uint8_t *bytes, size_t length, uint64_t *id)
{
	size_t start = 0;

	for (size_t i = 0; i < length; i++) {
		if (bytes[i] != '\n')
			continue;
		if (read_id(bytes + start, i - start, id))
			return true;
		start = i + 1;
	}
	return false;
}

/* Takes bytes; calls back for each event that they make whole. */
void
event_cut_feed(struct event_cut *cut, const uint8_t *bytes, size_t length,
    event_cut_fn *callback, void *data)
{
	size_t whole;
	uint64_t id = 0;
	bool has_id;

	g_byte_array_append(cut->held, bytes, (guint)length);
	while (cut->held->len > 0) {
		whole = first_event(cut->held->data, cut->held->len);
		if (whole == 0 && cut->held->len > EVENT_CUT_MAX_BYTES)
			whole = cut->held->len;
		if (whole == 0)
			return;
		has_id = find_id(cut->held->data, whole, &id);
		callback(data, cut->held->data, whole, has_id, id);
		g_byte_array_remove_range(cut->held, 0, (guint)whole);
	}
}
