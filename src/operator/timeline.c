#include "operator/timeline.h"

#include <string.h>

#include <jansson.h>

#define MS_PER_US 0.001

/* Members that every log line has; left out of the list of its members. */
static const char *const header_members[] = {
    "time", "level", "process", "role", "failure_domain", "module", "text"};

struct timeline_line {
	size_t index; /* order of input, breaks ties between equal times */
	GDateTime *time;
	json_t *json;
};

struct timeline {
	char *member; /* member that holds the id, e.g. request */
	char *id;
	size_t unreadable_count;
	GPtrArray *lines;
};

/* Frees one line. */
static void
free_line(void *data)
{
	struct timeline_line *line = data;

	g_date_time_unref(line->time);
	json_decref(line->json);
	g_free(line);
}

/* Returns an empty timeline for log lines in which member has the value id. */
struct timeline *
timeline_new(const char *member, const char *id)
{
	struct timeline *timeline = g_new0(struct timeline, 1);

	timeline->member = g_strdup(member);
	timeline->id = g_strdup(id);
	timeline->lines = g_ptr_array_new_with_free_func(free_line);
	return timeline;
}

/* Frees a timeline; NULL is allowed. */
void
timeline_free(struct timeline *timeline)
{
	if (timeline == NULL)
		return;
	g_ptr_array_unref(timeline->lines);
	g_free(timeline->member);
	g_free(timeline->id);
	g_free(timeline);
}

/* Returns the number of lines in the timeline. */
size_t
timeline_line_count(const struct timeline *timeline)
{
	return timeline->lines->len;
}

/* Returns how many lines had the id but could not be parsed as a log line. */
size_t
timeline_unreadable_count(const struct timeline *timeline)
{
	return timeline->unreadable_count;
}

/*
 * Adds a log line if it belongs to the timeline, and returns whether it does. A
 * line that can't be parsed, such as one truncated when a process was killed,
 * is counted and skipped. What stands before the first brace is passed over,
 * since collectors of logs put the time and the process there.
 */
bool
timeline_add_line(struct timeline *timeline, const char *text)
{
	const char *begin = strchr(text, '{');
	json_t *json;
	struct timeline_line *line;
	const char *value;
	const char *time;

	if (strstr(text, timeline->id) == NULL)
		return false;
	json = begin == NULL ? NULL : json_loads(begin, 0, NULL);
	value = json_string_value(json_object_get(json, timeline->member));
	time = json_string_value(json_object_get(json, "time"));
	if (json != NULL && g_strcmp0(value, timeline->id) != 0) {
		json_decref(json);
		return false;
	}
	line = g_new0(struct timeline_line, 1);
	line->json = json;
	line->index = timeline->lines->len;
	if (time != NULL)
		line->time = g_date_time_new_from_iso8601(time, NULL);
	if (line->time == NULL) {
		timeline->unreadable_count++;
		json_decref(json);
		g_free(line);
		return false;
	}
	g_ptr_array_add(timeline->lines, line);
	return true;
}

/* Orders lines by time, then by input order. */
static int
compare_lines(const void *left, const void *right)
{
	const struct timeline_line *a = *(struct timeline_line *const *)left;
	const struct timeline_line *b = *(struct timeline_line *const *)right;
	int order = g_date_time_compare(a->time, b->time);

	if (order != 0)
		return order;
	return a->index < b->index ? -1 : 1;
}

/* Writes a value: strings without quotes, everything else as JSON. */
static void
write_value(GString *out, const json_t *value)
{
	char *text;

	if (json_is_string(value)) {
		g_string_append(out, json_string_value(value));
		return;
	}
	text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	g_string_append(out, text);
	free(text);
}

/* Returns whether a member is left out: in header_members, the id, or empty. */
static bool
is_omitted(
    const struct timeline *timeline, const char *member, const json_t *value)
{
	if (json_is_string(value) && json_string_length(value) == 0)
		return true;
	for (size_t i = 0; i < G_N_ELEMENTS(header_members); i++) {
		if (strcmp(header_members[i], member) == 0)
			return true;
	}
	return strcmp(timeline->member, member) == 0;
}

/* Writes a list, such as the candidates of a selection, one item per line. */
static void
write_list(GString *out, const char *name, const json_t *list)
{
	size_t index;
	json_t *item;

	json_array_foreach (list, index, item) {
		const char *member;
		json_t *value;

		g_string_append_printf(
		    out, "\n%14s%s %zu:", "", name, index + 1);
		if (!json_is_object(item)) {
			g_string_append_c(out, ' ');
			write_value(out, item);
		}
		json_object_foreach (item, member, value) {
			g_string_append_printf(out, " %s ", member);
			write_value(out, value);
		}
	}
}

/* Writes one line: time offset, process, text, then its members, lists last. */
static void
write_line(const struct timeline *timeline, const struct timeline_line *line,
    double after_ms, GString *out)
{
	const char *process = json_string_value(
	    json_object_get(line->json, "process"));
	const char *role = json_string_value(
	    json_object_get(line->json, "role"));
	const char *text = json_string_value(
	    json_object_get(line->json, "text"));
	const char *member;
	json_t *value;

	g_string_append_printf(out, "%+10.3f ms  %s %s: %s", after_ms,
	    role == NULL ? "process" : role, process == NULL ? "?" : process,
	    text == NULL ? "" : text);
	json_object_foreach (line->json, member, value) {
		if (is_omitted(timeline, member, value) || json_is_array(value))
			continue;
		g_string_append_printf(out, ", %s ", member);
		write_value(out, value);
	}
	json_object_foreach (line->json, member, value) {
		if (json_is_array(value))
			write_list(out, member, value);
	}
	g_string_append_c(out, '\n');
}

/* Writes the timeline, with times relative to its first line. */
void
timeline_write(struct timeline *timeline, GString *out)
{
	const struct timeline_line *first;
	g_autofree char *begin = NULL;

	if (timeline->lines->len == 0)
		return;
	g_ptr_array_sort(timeline->lines, compare_lines);
	first = timeline->lines->pdata[0];
	begin = g_date_time_format(first->time, "%Y-%m-%d %H:%M:%S.%f UTC");
	g_string_append_printf(
	    out, "%s %s, from %s\n", timeline->member, timeline->id, begin);
	for (guint i = 0; i < timeline->lines->len; i++) {
		const struct timeline_line *line = timeline->lines->pdata[i];

		write_line(timeline, line,
		    (double)g_date_time_difference(line->time, first->time) *
			MS_PER_US,
		    out);
	}
}
