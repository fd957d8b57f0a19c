#include <stdio.h>
#include <string.h>

#include "operator/ctl.h"
#include "operator/protobuf_json.h"

#define FIELDS_MAX	  24
#define INPUT_MAX_BYTES	  (1024 * 1024)
#define API_KEY_FILE_FLAG "api-key-file"
#define STANDARD_INPUT	  "-"
#define FLAG_COLUMNS	  25
#define API_KEY_FILE_HELP "file with an API key; only its digest is sent"

/* The flags of one kind's fields and the values that GLib parses into them. */
struct field_flags {
	GOptionEntry entries[FIELDS_MAX + 2];
	char *names[FIELDS_MAX];
	char *helps[FIELDS_MAX];
	char *values[FIELDS_MAX];
	char **value_lists[FIELDS_MAX];
	char *key_file;
	const ProtobufCFieldDescriptor *fields[FIELDS_MAX];
	size_t count;
};

/* Describes the value of a field's flag; free with g_free(). */
static char *
describe_value(const ProtobufCFieldDescriptor *field)
{
	const ProtobufCEnumDescriptor *descriptor = field->descriptor;
	GString *text = g_string_new(NULL);

	if (field->label == PROTOBUF_C_LABEL_REPEATED)
		g_string_append(
		    text, "list, separated by commas or repeated flags; ");
	if (field->type == PROTOBUF_C_TYPE_BOOL)
		g_string_append(text, "true or false");
	else if (field->type == PROTOBUF_C_TYPE_STRING)
		g_string_append(text, "text");
	else if (field->type != PROTOBUF_C_TYPE_ENUM)
		g_string_append(text, "integer");
	for (unsigned int i = 1;
	     field->type == PROTOBUF_C_TYPE_ENUM && i < descriptor->n_values;
	     i++) {
		g_autofree char *name = protobuf_json_enum_name(
		    descriptor, descriptor->values[i].value);

		g_string_append_printf(
		    text, "%s%s", i == 1 ? "" : " or ", name);
	}
	return g_string_free(text, FALSE);
}

/* Builds a flag for each field of a kind except id and version. */
static void
build_flags(struct field_flags *flags, const struct object_kind *kind)
{
	size_t used = 0;

	for (unsigned int i = 0; i < kind->descriptor->n_fields; i++) {
		const ProtobufCFieldDescriptor *field = &kind->descriptor
							     ->fields[i];
		bool repeated = field->label == PROTOBUF_C_LABEL_REPEATED;

		if (strcmp(field->name, "id") == 0 ||
		    strcmp(field->name, "version") == 0)
			continue;
		g_assert(used < FIELDS_MAX);
		flags->fields[used] = field;
		flags->names[used] = g_strdelimit(
		    g_strdup(field->name), "_", '-');
		flags->helps[used] = describe_value(field);
		flags->entries[used] = (GOptionEntry){
		    .long_name = flags->names[used],
		    .arg = repeated ? G_OPTION_ARG_STRING_ARRAY
				    : G_OPTION_ARG_STRING,
		    .arg_data = repeated ? (void *)&flags->value_lists[used]
					 : (void *)&flags->values[used],
		    .description = flags->helps[used],
		    .arg_description = "VALUE",
		};
		used++;
	}
	flags->count = used;
	if (kind->kind ==
	    HEATHERTURN__V1__OBJECT_KIND__OBJECT_KIND_ORGANISATION)
		flags->entries[used] = (GOptionEntry){
		    .long_name = API_KEY_FILE_FLAG,
		    .arg = G_OPTION_ARG_STRING,
		    .arg_data = &flags->key_file,
		    .description = API_KEY_FILE_HELP,
		    .arg_description = "FILE",
		};
}

/* Frees what build_flags() and GLib allocated. */
static void
clear_flags(struct field_flags *flags)
{
	for (size_t i = 0; i < flags->count; i++) {
		g_free(flags->names[i]);
		g_free(flags->helps[i]);
		g_free(flags->values[i]);
		g_strfreev(flags->value_lists[i]);
	}
	g_free(flags->key_file);
}

/* Reads a file, or up to INPUT_MAX_BYTES of standard input for "-". */
static char *
read_file(const char *path, GError **error)
{
	g_autofree char *contents = NULL;
	g_autoptr(GError) reason = NULL;
	size_t length;

	if (strcmp(path, STANDARD_INPUT) == 0) {
		contents = g_malloc0(INPUT_MAX_BYTES + 1);
		length = fread(contents, 1, INPUT_MAX_BYTES, stdin);
		if (length == INPUT_MAX_BYTES && fgetc(stdin) != EOF) {
			g_set_error(error, CTL_ERROR, CTL_ERROR_FILE,
			    "standard input is longer than %d bytes",
			    INPUT_MAX_BYTES);
			return NULL;
		}
		contents[length] = '\0';
		return g_steal_pointer(&contents);
	}
	if (g_file_get_contents(path, &contents, NULL, &reason))
		return g_steal_pointer(&contents);
	g_set_error(error, CTL_ERROR, CTL_ERROR_FILE, "'%s' can't be read: %s",
	    path, reason->message);
	return NULL;
}

/*
 * Reads an API key from a file, or from standard input for "-", strips white
 * space around it and returns its digest as stored in the configuration; free
 * with g_free(). The error is CTL_ERROR_FILE.
 */
char *
ctl_compute_key_digest(const char *path, GError **error)
{
	g_autofree char *key = read_file(path, error);

	if (key == NULL)
		return NULL;
	g_strstrip(key);
	if (key[0] == '\0') {
		g_set_error(error, CTL_ERROR, CTL_ERROR_FILE,
		    "'%s' is empty; expected an API key", path);
		return NULL;
	}
	return g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
}

/* Loads the object of --file. */
static json_t *
load_fields(const char *path, GError **error)
{
	g_autofree char *contents = read_file(path, error);
	g_autoptr(GError) reason = NULL;
	json_t *fields;

	if (contents == NULL)
		return NULL;
	fields = protobuf_json_parse(contents, strlen(contents), &reason);
	if (json_is_object(fields))
		return fields;
	json_decref(fields);
	g_set_error(error, CTL_ERROR, CTL_ERROR_FILE, "'%s': %s", path,
	    reason == NULL ? "must be an object" : reason->message);
	return NULL;
}

/* Returns an array of all values of a flag; each may be a comma-separated
 * list. */
static json_t *
split_values(char **values)
{
	json_t *array = json_array();

	for (size_t i = 0; values[i] != NULL; i++) {
		g_auto(GStrv) parts = g_strsplit(values[i], ",", -1);

		for (size_t j = 0; parts[j] != NULL; j++) {
			if (parts[j][0] != '\0')
				json_array_append_new(
				    array, json_string(parts[j]));
		}
	}
	return array;
}

/* Sets one field from its flag; numbers are sent as strings. */
static bool
apply_flag(json_t *fields, const struct field_flags *flags, size_t index,
    GError **error)
{
	const ProtobufCFieldDescriptor *field = flags->fields[index];
	const char *text = flags->values[index];

	if (flags->value_lists[index] != NULL)
		return json_object_set_new(fields, field->name,
			   split_values(flags->value_lists[index])) == 0;
	if (text == NULL)
		return true;
	if (field->type != PROTOBUF_C_TYPE_BOOL)
		return json_object_set_new(
			   fields, field->name, json_string(text)) == 0;
	if (strcmp(text, "true") != 0 && strcmp(text, "false") != 0) {
		g_set_error(error, CTL_ERROR, CTL_ERROR_USAGE,
		    "--%s: '%s' is neither true nor false", flags->names[index],
		    text);
		return false;
	}
	return json_object_set_new(fields, field->name,
		   json_boolean(strcmp(text, "true") == 0)) == 0;
}

/* Appends the digest of the key in --api-key-file to api_key_sha256. */
static bool
add_key_digest(json_t *fields, const char *path, GError **error)
{
	json_t *digests = json_object_get(fields, "api_key_sha256");
	g_autofree char *digest = ctl_compute_key_digest(path, error);

	if (digest == NULL)
		return false;
	if (digests == NULL) {
		digests = json_array();
		json_object_set_new(fields, "api_key_sha256", digests);
	}
	return json_array_append_new(digests, json_string(digest)) == 0;
}

/* Sets the fields given by flags, over those of the file. */
static bool
apply_flags(json_t *fields, const struct field_flags *flags, GError **error)
{
	for (size_t i = 0; i < flags->count; i++) {
		if (!apply_flag(fields, flags, i, error))
			return false;
	}
	return flags->key_file == NULL ||
	    add_key_digest(fields, flags->key_file, error);
}

/*
 * Parses the flags of the kind's fields, and the file of --file, into
 * ctl->fields; parsed flags are removed from argv. The error is CTL_ERROR.
 */
bool
ctl_parse_fields(struct ctl *ctl, int *argc, char ***argv, GError **error)
{
	g_autoptr(GOptionContext) context = g_option_context_new(NULL);
	g_autoptr(GError) reason = NULL;
	struct field_flags flags = {0};
	bool success = false;

	build_flags(&flags, ctl->kind);
	g_option_context_set_help_enabled(context, FALSE);
	g_option_context_add_main_entries(context, flags.entries, NULL);
	if (!g_option_context_parse(context, argc, argv, &reason)) {
		g_set_error(error, CTL_ERROR, CTL_ERROR_USAGE,
		    "%s; see heatherturn ctl %s %s --help", reason->message,
		    ctl->verb, ctl->kind->name);
	} else {
		ctl->fields = ctl->file == NULL ? json_object()
						: load_fields(ctl->file, error);
		success = ctl->fields != NULL &&
		    apply_flags(ctl->fields, &flags, error);
	}
	clear_flags(&flags);
	return success;
}

/* Returns help on the flags of a kind's fields; free with g_free(). */
char *
ctl_fields_help(const struct object_kind *kind)
{
	GString *help = g_string_new(NULL);
	struct field_flags flags = {0};

	build_flags(&flags, kind);
	g_string_append_printf(help, "Fields of %s:\n", kind->name);
	for (size_t i = 0; flags.entries[i].long_name != NULL; i++)
		g_string_append_printf(help, "  --%s=%s%*s%s\n",
		    flags.entries[i].long_name,
		    flags.entries[i].arg_description,
		    (int)(FLAG_COLUMNS - strlen(flags.entries[i].long_name)),
		    "", flags.entries[i].description);
	clear_flags(&flags);
	return g_string_free(help, FALSE);
}
