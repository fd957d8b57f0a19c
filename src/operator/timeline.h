/*
 * Timeline of one request, or of one upstream, from the JSON-lines logs of many
 * processes: the log lines that carry its id, sorted by time and formatted for
 * reading.
 */
#ifndef OPERATOR_TIMELINE_H
#define OPERATOR_TIMELINE_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

struct timeline;

struct timeline *timeline_new(const char *member, const char *id);
void timeline_free(struct timeline *);
bool timeline_add_line(struct timeline *, const char *line);
size_t timeline_line_count(const struct timeline *);
size_t timeline_unreadable_count(const struct timeline *);
void timeline_write(struct timeline *, GString *out);

#endif
