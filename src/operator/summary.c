#include "operator/summary.h"

#include <stdbool.h>
#include <string.h>

#include <jansson.h>

#define MEMBERS_MAX	4
#define VALUE_MAX_BYTES 160
#define TIME_MAX_BYTES	40
#define ID_MAX_BYTES	80
/* Statuses by which a caller is told that its request is wrong. */
#define CALLERS_ERROR_MIN 300
#define CALLERS_ERROR_MAX 499

/* A kind of log line that is counted, and the members that tell its cause. */
static const struct kind {
	const char *text;
	const char *members[MEMBERS_MAX];
	const char *total; /* member whose sum is shown; may be NULL */
	const char *age; /* member in ms, shown by its class; may be NULL */
	const char *title; /* written in place of the text; may be NULL */
	bool callers_errors; /* only lines with a status from 300 to 499 */
} kinds[] = {
    {.text = "request ended", .members = {"route", "how"}, .total = "sends"},
    {.text = "request ended",
	.members = {"route", "status", "status_from"},
	.title = "request ended with a status from 300 to 499",
	.callers_errors = true},
    {.text = "request refused", .members = {"code", "why"}},
    {.text = "unknown route or key",
	.members = {"unknown", "current", "watching", "heard_from"},
	.age = "heard_ms"},
    {.text = "request rejected before it was read", .members = {"code"}},
    {.text = "request rejected by the HTTP library", .members = {"status"}},
    {.text = "response not believed", .members = {"upstream", "why"}},
    {.text = "send ended without answer", .members = {"why"}},
    {.text = "retry denied by the budget", .members = {"service"}},
    {.text = "prompt part refused", .members = {"part"}},
    {.text = "upstream avoided", .members = {"upstream"}},
    {.text = "connection to upstream broken", .members = {"upstream", "begun"}},
    {.text = "store call without answer",
	.members = {"kind", "reused_connection", "why"}},
    {.text = "configuration change ignored", .members = {"why"}},
    {.text = "configuration change dropped as not newer", .members = {"form"}},
    {.text = "document version not requested any more", .members = {"name"}},
};

#define KIND_COUNT G_N_ELEMENTS(kinds)

/* Lines of one kind with the same cause. */
struct group {
	char *cause;
	size_t count;
	json_int_t total;
	char first_time[TIME_MAX_BYTES];
	char first_request[ID_MAX_BYTES]; /* empty if the lines have none */
};

/* All lines of one kind. */
struct tally {
	size_t count;
	size_t other_count; /* of lines past SUMMARY_GROUPS_MAX */
	GHashTable *groups; /* by cause */
};

struct summary {
	size_t line_count;
	size_t unreadable_count;
	size_t dropped_count;
	struct tally tallies[KIND_COUNT];
};

/* Frees one group. */
static void
free_group(void *data)
{
	struct group *group = data;

	g_free(group->cause);
	g_free(group);
}

/* Returns an empty summary. */
struct summary *
summary_new(void)
{
	struct summary *summary = g_new0(struct summary, 1);

	for (size_t i = 0; i < KIND_COUNT; i++)
		summary->tallies[i].groups = g_hash_table_new_full(
		    g_str_hash, g_str_equal, NULL, free_group);
	return summary;
}

/* Frees a summary; NULL is allowed. */
void
summary_free(struct summary *summary)
{
	if (summary == NULL)
		return;
	for (size_t i = 0; i < KIND_COUNT; i++)
		g_hash_table_unref(summary->tallies[i].groups);
	g_free(summary);
}

/* Returns the number of lines added, the unreadable ones among them. */
size_t
summary_line_count(const struct summary *summary)
{
	return summary->line_count;
}

/* Returns how many lines could not be parsed as a log line. */
size_t
summary_unreadable_count(const struct summary *summary)
{
	return summary->unreadable_count;
}

/*
 * Appends a string up to a maximum of bytes, without its control characters,
 * which would break the lines of the summary.
 */
static void
append_clean(GString *out, const char *value)
{
	const char *end;
	size_t length = strlen(value);
	size_t from = out->len;

	g_utf8_validate(
	    value, (gssize)MIN(length, (size_t)VALUE_MAX_BYTES), &end);
	g_string_append_len(out, value, end - value);
	for (size_t i = from; i < out->len; i++) {
		if (g_ascii_iscntrl(out->str[i]))
			out->str[i] = ' ';
	}
	if (*end != '\0')
		g_string_append(out, "...");
}

/* Classes of ages; those from the last limit on have no name here. */
static const struct age_class {
	json_int_t below_ms;
	const char *name;
} age_classes[] = {
    {0, "never"},
    {500, "below 0.5 s"},
    {2000, "below 2 s"},
    {10000, "below 10 s"},
};

/* Returns the name of an age's class; a dash if it is no number. */
static const char *
age_name(const json_t *age)
{
	if (!json_is_integer(age))
		return "-";
	for (size_t i = 0; i < G_N_ELEMENTS(age_classes); i++) {
		if (json_integer_value(age) < age_classes[i].below_ms)
			return age_classes[i].name;
	}
	return "10 s or more";
}

/* Writes the cause of a line: the members of its kind with their values. */
static void
write_cause(GString *out, const struct kind *kind, const json_t *json)
{
	for (size_t i = 0; i < MEMBERS_MAX && kind->members[i] != NULL; i++) {
		const json_t *value = json_object_get(json, kind->members[i]);

		g_string_append_printf(
		    out, "%s%s ", i == 0 ? "" : ", ", kind->members[i]);
		if (json_is_string(value) && json_string_length(value) > 0)
			append_clean(out, json_string_value(value));
		else if (json_is_boolean(value))
			g_string_append(
			    out, json_is_true(value) ? "true" : "false");
		else if (json_is_integer(value))
			g_string_append_printf(out, "%" JSON_INTEGER_FORMAT,
			    json_integer_value(value));
		else
			g_string_append_c(out, '-');
	}
	if (kind->age != NULL)
		g_string_append_printf(out, ", %s %s", kind->age,
		    age_name(json_object_get(json, kind->age)));
}

/* Returns the group of a cause, or NULL if it is new and all are taken. */
static struct group *
find_group(struct tally *tally, const char *cause)
{
	struct group *group = g_hash_table_lookup(tally->groups, cause);

	if (group != NULL ||
	    g_hash_table_size(tally->groups) >= SUMMARY_GROUPS_MAX)
		return group;
	group = g_new0(struct group, 1);
	group->cause = g_strdup(cause);
	g_hash_table_insert(tally->groups, group->cause, group);
	return group;
}

/*
 * Remembers the request of a line if it is the earliest of its group: the files
 * of a fleet are read one after the other, so the first read may be a late one.
 */
static void
note_request(struct group *group, const char *time, const char *request)
{
	if (request == NULL || request[0] == '\0')
		return;
	if (group->first_request[0] != '\0' &&
	    strcmp(group->first_time, time) <= 0)
		return;
	g_strlcpy(group->first_time, time, sizeof(group->first_time));
	g_strlcpy(group->first_request, request, sizeof(group->first_request));
}

/* Counts a line of a kind. */
static void
count_line(struct tally *tally, const struct kind *kind, const json_t *json,
    const char *time)
{
	g_autoptr(GString) cause = g_string_new(NULL);
	struct group *group;

	tally->count++;
	write_cause(cause, kind, json);
	group = find_group(tally, cause->str);
	if (group == NULL) {
		tally->other_count++;
		return;
	}
	group->count++;
	if (kind->total != NULL)
		group->total += json_integer_value(
		    json_object_get(json, kind->total));
	note_request(
	    group, time, json_string_value(json_object_get(json, "request")));
}

/* Returns whether a line is counted under a kind. */
static bool
is_of_kind(const struct kind *kind, const char *text, const json_t *json)
{
	json_int_t status = json_integer_value(json_object_get(json, "status"));

	return strcmp(kind->text, text) == 0 &&
	    (!kind->callers_errors ||
		(status >= CALLERS_ERROR_MIN && status <= CALLERS_ERROR_MAX));
}

/*
 * Adds a log line. What stands before its first brace is passed over, since
 * collectors of logs put the time and the process there.
 */
void
summary_add_line(struct summary *summary, const char *line)
{
	const char *begin = strchr(line, '{');
	json_t *json = begin == NULL ? NULL : json_loads(begin, 0, NULL);
	const char *text = json_string_value(json_object_get(json, "text"));
	const char *time = json_string_value(json_object_get(json, "time"));
	json_int_t dropped = json_integer_value(
	    json_object_get(json, "lines_dropped"));

	summary->line_count++;
	if (text == NULL || time == NULL) {
		summary->unreadable_count++;
		json_decref(json);
		return;
	}
	if (dropped > 0)
		summary->dropped_count += (size_t)dropped;
	for (size_t i = 0; i < KIND_COUNT; i++) {
		if (is_of_kind(&kinds[i], text, json))
			count_line(&summary->tallies[i], &kinds[i], json, time);
	}
	json_decref(json);
}

/* Orders groups by their number of lines, largest first, then by cause. */
static int
compare_groups(const void *left, const void *right)
{
	const struct group *a = *(struct group *const *)left;
	const struct group *b = *(struct group *const *)right;

	if (a->count != b->count)
		return a->count > b->count ? -1 : 1;
	return strcmp(a->cause, b->cause);
}

/* Writes the groups of one kind, the largest first, and what is left over. */
static void
write_tally(const struct kind *kind, const struct tally *tally, GString *out)
{
	g_autoptr(GPtrArray) groups = g_ptr_array_new();
	size_t left = tally->count;
	GHashTableIter iter;
	void *value;

	g_string_append_printf(out, "\n%s: %zu\n",
	    kind->title != NULL ? kind->title : kind->text, tally->count);
	g_hash_table_iter_init(&iter, tally->groups);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(groups, value);
	g_ptr_array_sort(groups, compare_groups);
	for (guint i = 0; i < MIN(groups->len, SUMMARY_WRITTEN_MAX); i++) {
		const struct group *group = groups->pdata[i];

		left -= group->count;
		g_string_append_printf(
		    out, "%10zu  %s", group->count, group->cause);
		if (kind->total != NULL)
			g_string_append_printf(out,
			    ", %s %" JSON_INTEGER_FORMAT, kind->total,
			    group->total);
		if (group->first_request[0] != '\0') {
			g_string_append(out, ", first request ");
			append_clean(out, group->first_request);
		}
		g_string_append_c(out, '\n');
	}
	if (left > 0)
		g_string_append_printf(out, "%10zu  other\n", left);
}

/* Writes the summary; kinds without a line are left out. */
void
summary_write(const struct summary *summary, GString *out)
{
	g_string_append_printf(out,
	    "%zu lines, %zu could not be read, %zu dropped by the processes\n",
	    summary->line_count, summary->unreadable_count,
	    summary->dropped_count);
	for (size_t i = 0; i < KIND_COUNT; i++) {
		if (summary->tallies[i].count > 0)
			write_tally(&kinds[i], &summary->tallies[i], out);
	}
}
