#include "entry/event_id.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

/* Formats the id of the event at a position. */
void
event_id_format(
    char *out, size_t size, const struct job_stream_position *position)
{
	snprintf(out, size, "%s.%" PRIu32 ".%" PRIu64, position->upstream,
	    position->attempt, position->sequence);
}

/*
 * Parses an event id; the position's upstream is the given buffer. It is read
 * from its end, since the upstream's id may contain dots.
 */
bool
event_id_parse(const char *event, char *upstream, size_t size,
    struct job_stream_position *position)
{
	g_auto(GStrv) parts = g_strsplit(event, ".", -1);
	guint count = g_strv_length(parts);
	guint64 attempt;
	guint64 sequence;

	if (count < 3)
		return false;
	if (!g_ascii_string_to_unsigned(
		parts[count - 1], 10, 0, G_MAXUINT64, &sequence, NULL) ||
	    !g_ascii_string_to_unsigned(
		parts[count - 2], 10, 1, G_MAXUINT32, &attempt, NULL))
		return false;
	g_strlcpy(upstream, event, size);
	*strrchr(upstream, '.') = '\0';
	*strrchr(upstream, '.') = '\0';
	position->upstream = upstream;
	position->attempt = (uint32_t)attempt;
	position->sequence = sequence;
	return true;
}
