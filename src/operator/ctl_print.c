#include <string.h>

#include "operator/ctl.h"

#define COLUMNS_MAX 10
#define COLUMN_GAP  2

/* The columns of each kind's table, in this order. */
static const struct table_format {
	const char *kind;
	const char *columns[COLUMNS_MAX];
} table_formats[] = {
    {"organisation",
	{"id", "version", "weight", "services", "max_prompt_tokens",
	    "display_name"}},
    {"service",
	{"id", "version", "kind", "path_prefix", "short_deadline_ms",
	    "long_deadline_ms", "long_threshold_tokens", "repeatable"}},
    {"failure_domain", {"id", "version", "region", "state"}},
    {"rollout",
	{"id", "version", "model", "adapter", "model_version", "step_percent",
	    "step", "state"}},
    {"upstream",
	{"id", "version", "service", "failure_domain", "sidecar_address",
	    "dialect", "state", "slots", "memory_tokens"}},
    {"process",
	{"process", "role", "failure_domain", "address", "config_version",
	    "answered", "leaving"}},
};

/* Formats a value as a table cell; free with g_free(). */
static char *
format_cell(const json_t *value)
{
	GString *text = g_string_new(NULL);
	size_t index;
	json_t *item;

	if (json_is_string(value))
		g_string_append(text, json_string_value(value));
	else if (json_is_integer(value))
		g_string_append_printf(
		    text, "%" JSON_INTEGER_FORMAT, json_integer_value(value));
	else if (json_is_boolean(value))
		g_string_append(text, json_is_true(value) ? "yes" : "no");
	json_array_foreach (value, index, item) {
		g_autofree char *cell = format_cell(item);

		g_string_append_printf(
		    text, "%s%s", index == 0 ? "" : ",", cell);
	}
	if (text->len == 0)
		g_string_append_c(text, '-');
	return g_string_free(text, FALSE);
}

/* Returns the width of a column, in characters. */
static int
column_width(const char *column, json_t *rows)
{
	size_t width = strlen(column);
	size_t index;
	json_t *row;

	json_array_foreach (rows, index, row) {
		g_autofree char *cell = format_cell(
		    json_object_get(row, column));

		width = MAX(width, (size_t)g_utf8_strlen(cell, -1));
	}
	return (int)width;
}

/* Writes a cell, then padding or the end of the line. */
static void
write_cell(GString *out, const char *text, int width, bool last)
{
	int padding = width - (int)g_utf8_strlen(text, -1) + COLUMN_GAP;

	g_string_append(out, text);
	if (last)
		g_string_append_c(out, '\n');
	else
		g_string_append_printf(out, "%*s", padding, "");
}

/* Writes rows of one kind as a table with a header. */
static void
write_table(GString *out, const char *kind, json_t *rows)
{
	const struct table_format *format = &table_formats[0];
	int widths[COLUMNS_MAX];
	size_t count = 0;
	size_t index;
	json_t *row;

	for (size_t i = 0; i < G_N_ELEMENTS(table_formats); i++) {
		if (strcmp(table_formats[i].kind, kind) == 0)
			format = &table_formats[i];
	}
	while (count < COLUMNS_MAX && format->columns[count] != NULL) {
		widths[count] = column_width(format->columns[count], rows);
		count++;
	}
	for (size_t i = 0; i < count; i++) {
		g_autofree char *header = g_ascii_strup(format->columns[i], -1);

		write_cell(out, header, widths[i], i + 1 == count);
	}
	json_array_foreach (rows, index, row) {
		for (size_t i = 0; i < count; i++) {
			g_autofree char *cell = format_cell(
			    json_object_get(row, format->columns[i]));

			write_cell(out, cell, widths[i], i + 1 == count);
		}
	}
}

/* Returns a new array of the objects of one kind from Object messages. */
static json_t *
select_kind(json_t *objects, const char *kind)
{
	json_t *rows = json_array();
	size_t index;
	json_t *object;

	json_array_foreach (objects, index, object) {
		json_t *fields = json_object_get(object, kind);

		if (fields != NULL)
			json_array_append(rows, fields);
	}
	return rows;
}

/* Writes a list of Object messages, one table for each kind. */
void
ctl_print_objects(GString *out, json_t *objects)
{
	for (size_t i = 0; i < OBJECT_KINDS; i++) {
		const struct object_kind *kind = &object_kinds[i];
		json_t *rows = select_kind(objects, kind->name);

		if (json_array_size(rows) > 0) {
			if (out->len > 0)
				g_string_append_c(out, '\n');
			write_table(out, kind->name, rows);
		}
		json_decref(rows);
	}
	if (out->len == 0)
		g_string_append(out, "none\n");
}

/* Writes one Object message, one field per line. */
void
ctl_print_object(GString *out, json_t *object)
{
	const char *kind;
	const char *name;
	json_t *fields;
	json_t *value;

	json_object_foreach (object, kind, fields) {
		json_object_foreach (fields, name, value) {
			g_autofree char *cell = format_cell(value);

			g_string_append_printf(out, "%-24s%s\n", name, cell);
		}
	}
}

/* Writes a StatusResponse: a summary, then a table of processes. */
void
ctl_print_status(GString *out, json_t *status)
{
	g_string_append_printf(out,
	    "configuration version %" JSON_INTEGER_FORMAT
	    " is in force on %" JSON_INTEGER_FORMAT " of %" JSON_INTEGER_FORMAT
	    " processes\n",
	    json_integer_value(json_object_get(status, "config_version")),
	    json_integer_value(json_object_get(status, "in_force")),
	    json_integer_value(json_object_get(status, "processes")));
	write_table(out, "process", json_object_get(status, "process"));
}

/* Writes the completion script for bash, with all kinds and their fields. */
void
ctl_print_completion(GString *out)
{
	GString *kinds = g_string_new(NULL);
	GString *cases = g_string_new(NULL);

	for (size_t i = 0; i < OBJECT_KINDS; i++) {
		const struct object_kind *kind = &object_kinds[i];
		g_autofree char *name = g_strdelimit(
		    g_strdup(kind->name), "_", '-');

		g_string_append_printf(kinds, "%s%s", i == 0 ? "" : " ", name);
		g_string_append_printf(cases, "\t%s) flags+=\"", name);
		for (unsigned int j = 0; j < kind->descriptor->n_fields; j++) {
			g_autofree char *field = g_strdelimit(
			    g_strdup(kind->descriptor->fields[j].name), "_",
			    '-');

			if (strcmp(field, "id") != 0 &&
			    strcmp(field, "version") != 0)
				g_string_append_printf(cases, " --%s", field);
		}
		g_string_append(cases, "\" ;;\n");
	}
	g_string_append_printf(out,
	    "_heatherturn() {\n"
	    "\tlocal word=${COMP_WORDS[COMP_CWORD]}\n"
	    "\tlocal flags=\"--entry --token-file --ca-file --json --wait "
	    "--timeout "
	    "--file --version --help\"\n"
	    "\tlocal verbs=\"create get list update delete take-out "
	    "bring-back status explain key completion\"\n"
	    "\tlocal kinds=\"%s\"\n"
	    "\tif [ \"$COMP_CWORD\" -eq 1 ]; then\n"
	    "\t\tCOMPREPLY=($(compgen -W \"entry gateway sidecar ctl check "
	    "explain\" "
	    "-- \"$word\"))\n"
	    "\t\treturn\n"
	    "\tfi\n"
	    "\tif [ \"${COMP_WORDS[1]}:$COMP_CWORD\" = explain:2 ] && "
	    "[[ $word == -* ]]; then\n"
	    "\t\tCOMPREPLY=($(compgen -W \"--summary --upstream --help\" "
	    "-- \"$word\"))\n"
	    "\t\treturn\n"
	    "\tfi\n"
	    "\t[ \"${COMP_WORDS[1]}\" = ctl ] || return\n"
	    "\tcase \"${COMP_WORDS[3]}\" in\n%s\tesac\n"
	    "\tcase \"$COMP_CWORD:$word\" in\n"
	    "\t*:-*) COMPREPLY=($(compgen -W \"$flags\" -- \"$word\")) ;;\n"
	    "\t2:*) COMPREPLY=($(compgen -W \"$verbs\" -- \"$word\")) ;;\n"
	    "\t3:*) COMPREPLY=($(compgen -W \"$kinds\" -- \"$word\")) ;;\n"
	    "\tesac\n"
	    "}\n"
	    "complete -o default -F _heatherturn heatherturn\n",
	    kinds->str, cases->str);
	g_string_free(kinds, TRUE);
	g_string_free(cases, TRUE);
}
