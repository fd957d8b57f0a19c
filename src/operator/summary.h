/*
 * Summary of the logs of many gateways: how many requests ended how, and what
 * went wrong, grouped by cause. Memory doesn't grow with the number of lines.
 */
#ifndef OPERATOR_SUMMARY_H
#define OPERATOR_SUMMARY_H

#include <stddef.h>

#include <glib.h>

/* Groups of one kind that are kept; lines of further ones count as other. */
#define SUMMARY_GROUPS_MAX 1000
/* Groups of one kind that are written; the rest is written as other. */
#define SUMMARY_WRITTEN_MAX 20

struct summary;

struct summary *summary_new(void);
void summary_free(struct summary *);
void summary_add_line(struct summary *, const char *line);
size_t summary_line_count(const struct summary *);
size_t summary_unreadable_count(const struct summary *);
void summary_write(const struct summary *, GString *out);

#endif
